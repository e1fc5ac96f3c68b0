//! Idle connections, which the worker may be closing at the same time; over loopback sockets.

use std::net::TcpListener;
use std::time::Duration;

use cresswheel_carriers::{CarrierLimits, ConnectionPool, Payload};
use cresswheel_transport::{Connection, EventLoop, EventLoopLimits, LoopEvent, Wire};

const IDLE: Duration = Duration::from_millis(50);

/// An event loop, its connections to one worker, and the worker's listener. The listener never accepts:
/// connections stay in the kernel's backlog.
struct Fixture {
    hub: EventLoop,
    carriers: ConnectionPool,
    worker: TcpListener,
    limits: CarrierLimits,
}

impl Fixture {
    fn new(connections: usize) -> Self {
        let (wire, idle) = (Wire::Raw, IDLE.as_micros() as u64);
        let limits =
            CarrierLimits { wire, connections, streams: 10, spread: 1, connect_timeout: 10_000_000, idle };
        let worker = TcpListener::bind("127.0.0.1:0").unwrap();
        Self {
            hub: EventLoop::new(EventLoopLimits::default()).unwrap(),
            carriers: ConnectionPool::default(),
            worker,
            limits,
        }
    }

    fn send(&mut self, cargo: Payload) -> Option<Connection> {
        let to = (&"w".into(), self.worker.local_addr().unwrap());
        let frame = |out: &mut Vec<u8>| out.push(0);
        self.carriers.dispatch(&mut self.hub, &self.limits, to, (cargo, frame), |_| true, |_| {}).ok()
    }

    /// Waits until a connection is established.
    fn await_established(&mut self, connection: Connection) {
        let end = self.hub.clock().now() + 10_000_000;
        loop {
            while let Some(notice) = self.hub.next_event() {
                if matches!(notice, LoopEvent::Connected(which) if which == connection) {
                    return self.carriers.mark_established(connection);
                }
            }
            assert!(self.hub.clock().now() < end, "the connection was not established");
            self.hub.wait(Some(end)).unwrap();
        }
    }
}

#[test]
fn attempts_avoid_a_connection_without_recent_attempts_even_if_orders_use_it() {
    let mut fixture = Fixture::new(1);
    let first = fixture.send(Payload::Attempt(1)).unwrap();
    fixture.await_established(first);
    fixture.carriers.complete(&fixture.hub, 1);
    // Before the idle timeout the connection is reused.
    assert_eq!(fixture.send(Payload::Attempt(2)), Some(first));
    fixture.carriers.complete(&fixture.hub, 2);
    std::thread::sleep(IDLE);
    // Orders still use it: the worker does not count them, and may be closing the connection now.
    assert_eq!(fixture.send(Payload::Order(3)), Some(first));
    fixture.carriers.complete(&fixture.hub, 3);
    assert_eq!(fixture.send(Payload::Order(4)), Some(first));
    // The idle connection doesn't count against the limit, so that the attempt gets another one.
    let second = fixture.send(Payload::Attempt(5)).expect("a connection");
    assert_ne!(second, first);
    fixture.await_established(second);
    // While the order is in flight the connection stays open; after that it is closed.
    let idle = fixture.limits.idle;
    fixture.carriers.close_idle(&mut fixture.hub, idle);
    assert!(fixture.hub.is_open(first));
    fixture.carriers.complete(&fixture.hub, 4);
    fixture.carriers.close_idle(&mut fixture.hub, idle);
    assert!(!fixture.hub.is_open(first) && fixture.hub.is_open(second));
}
