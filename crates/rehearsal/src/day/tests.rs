//! Tests of reading bench days.

use super::*;

#[test]
fn positions_keep_their_share() {
    assert_eq!(scaled(&[0, 9, 19], 20, 10), [0, 4]);
    assert_eq!(scaled(&[16], 20, 10), [8]);
    assert!(scaled(&[], 20, 10).is_empty());
    assert_eq!(scaled(&(0..20).collect::<Vec<_>>(), 20, 4), [0, 1, 2, 3]);
}

#[test]
fn what_is_no_day_is_named() {
    assert!(read("{}", 1).unwrap_err().starts_with("no bench day: missing field"));
    assert!(read("x", 1).unwrap_err().starts_with("no bench day: expected value at line 1"));
}
