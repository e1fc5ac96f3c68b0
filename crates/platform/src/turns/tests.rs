//! The order of turns.

use super::*;

#[test]
fn a_connection_stands_once_and_gets_no_second_turn_before_the_others() {
    let mut turns = Turns::default();
    for connection in [1, 2, 1, 3, 1] {
        turns.push(connection);
    }
    assert_eq!((turns.len(), turns.iter().collect::<Vec<_>>()), (3, vec![1, 2, 3]));
    // The first has more to do after each turn.
    let order: Vec<Connection> = (0..4)
        .filter_map(|_| {
            let connection = turns.next()?;
            if connection == 1 {
                turns.push(1);
            }
            Some(connection)
        })
        .collect();
    assert_eq!(order, [1, 2, 3, 1]);
    assert_eq!(turns.next(), Some(1));
    assert!(turns.is_empty() && turns.next().is_none());
}
