//! How long ids are remembered, and how many.

use super::*;

#[test]
fn ids_are_remembered_for_a_while_and_within_a_bound() {
    let mut ids = AbandonedIds::new(1_000);
    ids.insert(0, "a".into());
    ids.insert(500, "b".into());
    ids.insert(600, "a".into());
    assert!(ids.contains(999, "a") && ids.contains(999, "b") && !ids.contains(999, "c"));
    assert!(!ids.contains(1_000, "a") && ids.contains(1_000, "b"), "counted from the first time");
    assert!(!ids.contains(1_500, "b") && ids.by_age.is_empty());
    (0..=MAX_IDS).for_each(|n| ids.insert(2_000, n.to_string()));
    assert!(!ids.contains(2_000, "0") && ids.contains(2_000, "1"));
    assert_eq!((ids.by_age.len(), ids.ids.len()), (MAX_IDS, MAX_IDS));
}
