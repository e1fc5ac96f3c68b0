//! Fault commands: parsing and duration.

use cresswheel_standins::Faults;

#[test]
fn faults_end_after_their_duration_and_errors_name_the_command() {
    let mut faults = Faults::default();
    faults.begin(1_000, "lose 0.3 10").unwrap();
    faults.begin(1_000, "cut b 5").unwrap();
    assert_eq!((faults.share(1_000, "lose"), faults.share(11_000, "lose")), (0.3, 0.0));
    assert!(faults.cuts(5_999, "b") && !faults.cuts(5_999, "a") && !faults.cuts(6_000, "b"));
    assert_eq!(faults.next_end(1_000), Some(6_000));
    for wrong in ["", "lose 2 10", "lose 0.1", "slow 0 5", "hang soon", "dance 5"] {
        assert!(faults.begin(0, wrong).unwrap_err().starts_with(wrong));
    }
}
