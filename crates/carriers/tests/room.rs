//! Room for attempts and orders on the connections to one worker; over loopback sockets.

use std::net::TcpListener;

use cresswheel_carriers::{CarrierLimits, ConnectionPool, DispatchError, Payload};
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, Wire};

/// Guards against orders that wait for loads and take all places, so that attempts at loaded functions find none.
#[test]
fn orders_do_not_take_the_places_of_attempts() {
    let limits = CarrierLimits {
        wire: Wire::Raw,
        connections: 1,
        streams: 2,
        spread: 1,
        connect_timeout: 10_000_000,
        idle: 10_000_000,
    };
    let mut event_loop = EventLoop::new(EventLoopLimits::default()).unwrap();
    let mut pool = ConnectionPool::default();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut send = |payload| -> Result<Connection, DispatchError> {
        let to = (&"w".into(), listener.local_addr().unwrap());
        let frame = |out: &mut Vec<u8>| out.push(0);
        pool.dispatch(&mut event_loop, &limits, to, (payload, frame), |_| true, |_| {})
    };
    let connection = send(Payload::Order(1)).unwrap();
    assert_eq!(send(Payload::Order(2)), Ok(connection));
    assert_eq!(send(Payload::Order(3)), Err(DispatchError::NoRoom), "orders have a limit of their own");
    assert_eq!(send(Payload::Attempt(4)), Ok(connection));
    assert_eq!(send(Payload::Attempt(5)), Ok(connection));
    assert_eq!(send(Payload::Attempt(6)), Err(DispatchError::NoRoom));
}
