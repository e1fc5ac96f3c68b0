//! Connections that a worker may be closing, over loopback sockets.

use std::net::TcpListener;
use std::time::Duration;

use cresswheel_carriers::{Cargo, CarrierLimits, Carriers};
use cresswheel_transport::{Connection, Hub, HubLimits, Notice, Wire};

const IDLE: Duration = Duration::from_millis(50);

/// A hub, its connections to one worker, and the worker's listener, which takes none: the kernel holds them.
struct Bed {
    hub: Hub,
    carriers: Carriers,
    worker: TcpListener,
    limits: CarrierLimits,
}

impl Bed {
    fn new(connections: usize) -> Self {
        let (wire, idle) = (Wire::Raw, IDLE.as_micros() as u64);
        let limits =
            CarrierLimits { wire, connections, streams: 10, spread: 1, connect_timeout: 10_000_000, idle };
        let worker = TcpListener::bind("127.0.0.1:0").unwrap();
        Self { hub: Hub::new(HubLimits::default()).unwrap(), carriers: Carriers::default(), worker, limits }
    }

    fn give(&mut self, cargo: Cargo) -> Option<Connection> {
        let to = (&"w".into(), self.worker.local_addr().unwrap());
        let frame = |out: &mut Vec<u8>| out.push(0);
        self.carriers.give(&mut self.hub, &self.limits, to, (cargo, frame), |_| true, |_| {})
    }

    /// Waits until a connection stands.
    fn stands(&mut self, connection: Connection) {
        let end = self.hub.clock().now() + 10_000_000;
        loop {
            while let Some(notice) = self.hub.take_notice() {
                if matches!(notice, Notice::Connected(which) if which == connection) {
                    return self.carriers.stands(connection);
                }
            }
            assert!(self.hub.clock().now() < end, "it never stood");
            self.hub.wait(Some(end)).unwrap();
        }
    }
}

#[test]
fn an_attempt_keeps_off_a_connection_on_which_none_was_for_long_whatever_orders_go_there() {
    let mut bed = Bed::new(1);
    let first = bed.give(Cargo::Attempt(1)).unwrap();
    bed.stands(first);
    bed.carriers.done(&bed.hub, 1);
    // At once it is as good as any.
    assert_eq!(bed.give(Cargo::Attempt(2)), Some(first));
    bed.carriers.done(&bed.hub, 2);
    std::thread::sleep(IDLE);
    // Orders begin and end there: the worker does not count them, and may be closing it now.
    assert_eq!(bed.give(Cargo::Order(3)), Some(first));
    bed.carriers.done(&bed.hub, 3);
    assert_eq!(bed.give(Cargo::Order(4)), Some(first));
    // It takes no place from the one that the attempt needs.
    let second = bed.give(Cargo::Attempt(5)).expect("a connection");
    assert_ne!(second, first);
    bed.stands(second);
    // The order is still out, so the connection stays; then it goes.
    let idle = bed.limits.idle;
    bed.carriers.close_idle(&mut bed.hub, idle);
    assert!(bed.hub.is_open(first));
    bed.carriers.done(&bed.hub, 4);
    bed.carriers.close_idle(&mut bed.hub, idle);
    assert!(!bed.hub.is_open(first) && bed.hub.is_open(second));
}
