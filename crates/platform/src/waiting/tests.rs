//! Which requests stay deferred when clients cancel or leave.

use cresswheel_platform_wire::client::Request;
use cresswheel_protocol::Shape;

use super::*;

fn request(connection: u64, stream: u32, bytes: usize) -> Ask {
    let request = Request {
        id: String::new(),
        class: String::new(),
        tenant: String::new(),
        once: String::new(),
        function: String::new(),
        wait_ms: 1,
        retry: false,
        shape: Shape { memory_mb: 0, lanes: 0, load_time: 0, work: 0 },
        body: vec![0; bytes],
    };
    Ask::Request(connection, stream, 0, request)
}

fn left(waiting: &mut Waiting) -> Vec<(u64, u32)> {
    let name = |ask| match ask {
        Ask::Request(connection, stream, ..) => (connection, stream),
        other => panic!("{other:?}"),
    };
    std::iter::from_fn(|| waiting.take()).map(name).collect()
}

#[test]
fn a_request_whose_client_went_does_not_wait_and_a_stream_used_again_does() {
    let mut waiting = Waiting::default();
    for (connection, stream) in [(1, 1), (1, 2), (2, 1), (2, 2), (3, 1)] {
        assert!(waiting.hear(request(connection, stream, 10)).is_none());
    }
    assert!(matches!(waiting.hear(Ask::TakenBack(1, 2)), Some(Ask::TakenBack(1, 2))));
    assert!(matches!(waiting.hear(Ask::Left(2)), Some(Ask::Left(2))));
    assert!(waiting.hear(request(1, 2, 10)).is_none());
    assert_eq!(left(&mut waiting), [(1, 1), (3, 1), (1, 2)]);
    assert!(waiting.is_empty() && waiting.bytes == 0);
}

#[test]
fn bodies_that_wait_are_bounded() {
    let mut waiting = Waiting::default();
    for stream in 1.. {
        waiting.hear(request(1, stream, 16 << 10));
        if waiting.is_full() {
            break;
        }
    }
    assert_eq!(waiting.bytes, MOST_BYTES);
    waiting.hear(Ask::TakenBack(1, 7));
    assert!(!waiting.is_full());
}
