//! Which requests stay deferred when clients cancel or leave.

use cresswheel_platform_wire::client::Request;
use cresswheel_protocol::FunctionProfile;

use super::*;

fn request(connection: u64, stream: u32, bytes: usize) -> ClientEvent {
    let request = Request {
        id: String::new(),
        class: String::new(),
        tenant: String::new(),
        once: String::new(),
        function: String::new(),
        wait_ms: 1,
        retry: false,
        shape: FunctionProfile { memory_mb: 0, lanes: 0, load_time: 0, work: 0 },
        body: vec![0; bytes],
    };
    ClientEvent::Request(connection, stream, 0, request)
}

fn remaining(deferred: &mut DeferredRequests) -> Vec<(u64, u32)> {
    let name = |event| match event {
        ClientEvent::Request(connection, stream, ..) => (connection, stream),
        other => panic!("{other:?}"),
    };
    std::iter::from_fn(|| deferred.take()).map(name).collect()
}

#[test]
fn requests_of_departed_clients_are_dropped_and_reused_streams_are_kept() {
    let mut deferred = DeferredRequests::default();
    for (connection, stream) in [(1, 1), (1, 2), (2, 1), (2, 2), (3, 1)] {
        assert!(deferred.push(request(connection, stream, 10)).is_none());
    }
    assert!(matches!(deferred.push(ClientEvent::Canceled(1, 2)), Some(ClientEvent::Canceled(1, 2))));
    assert!(matches!(deferred.push(ClientEvent::Left(2)), Some(ClientEvent::Left(2))));
    assert!(deferred.push(request(1, 2, 10)).is_none());
    assert_eq!(remaining(&mut deferred), [(1, 1), (3, 1), (1, 2)]);
    assert!(deferred.is_empty() && deferred.bytes == 0);
}

#[test]
fn deferred_bodies_are_bounded() {
    let mut deferred = DeferredRequests::default();
    for stream in 1.. {
        deferred.push(request(1, stream, 16 << 10));
        if deferred.is_full() {
            break;
        }
    }
    assert_eq!(deferred.bytes, MAX_BYTES);
    deferred.push(ClientEvent::Canceled(1, 7));
    assert!(!deferred.is_full());
}
