//! Who is admitted when many calls are open.

use super::*;

const LIMITS: AdmissionLimits =
    AdmissionLimits { open_calls: 80, open_bytes: 1_000, per_connection: 60, functions: 100 };

fn admit(admission: &mut Admission, caller: Caller) -> Result<(), &'static str> {
    admission.admit("f", 1, caller)
}

/// Admits calls of one connection until one is rejected.
fn admit_all(admission: &mut Admission, connection: u64, connections: usize) -> (usize, &'static str) {
    let mut pending = 0;
    loop {
        match admit(admission, Caller { connection, pending, connections }) {
            Ok(()) => pending += 1,
            Err(why) => return (pending, why),
        }
    }
}

#[test]
fn the_last_calls_go_to_connections_with_less_than_an_equal_share() {
    let mut admission = Admission::new(LIMITS);
    // One alone is stopped by its own limit, and two equal ones get all there is.
    assert_eq!(admit_all(&mut admission, 1, 1), (60, "connection-full"));
    assert_eq!(admit_all(&mut admission, 2, 2), (20, "gateway-full"));
    // As calls end, the one with more than its share is not admitted again, the others are.
    (0..15).for_each(|_| admission.release("f", 1, true));
    let first = Caller { connection: 1, pending: 45, connections: 2 };
    assert_eq!(admit(&mut admission, first), Err("gateway-full"));
    assert_eq!(admit(&mut admission, Caller { connection: 3, pending: 0, connections: 2 }), Ok(()));
    // However many connections there are, one without an open call is admitted while there is room at all.
    let newcomers = (4..).take_while(|connection| {
        admit(&mut admission, Caller { connection: *connection, pending: 0, connections: 1_000 }).is_ok()
    });
    assert_eq!(newcomers.count(), 14);
    assert_eq!(admission.calls, LIMITS.open_calls);
    // Below the shared part, everybody is admitted.
    (0..21).for_each(|_| admission.release("f", 1, true));
    assert_eq!(admit(&mut admission, first), Ok(()));
}
