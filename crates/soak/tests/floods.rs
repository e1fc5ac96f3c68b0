//! Which floods a seed draws, and what their clients send.

use cresswheel_soak::flood::{FloodKind, gateway};
use cresswheel_soak::plan::{PlannedFlood, Size, draw_floods};

const SIZE: Size = Size { gateways: 3, hosts: 5, lasts: 10_000_000 };

fn is_full_speed_of_canceled(flood: &PlannedFlood) -> bool {
    let canceled = matches!(flood.kind, FloodKind::CanceledLater | FloodKind::CanceledAtOnce);
    canceled && flood.connections >= 8 && flood.pause == 0
}

#[test]
fn floods_follow_each_other_and_all_kinds_and_sizes_are_drawn() {
    let all: Vec<PlannedFlood> = (0..200).flat_map(|seed| draw_floods(seed, SIZE)).collect();
    for seed in 0..200 {
        let floods = draw_floods(seed, SIZE);
        assert!(floods.windows(2).all(|pair| pair[0].at + pair[0].lasts < pair[1].at), "{floods:?}");
        assert_eq!(floods, draw_floods(seed, SIZE), "the same each time");
    }
    for kind in FloodKind::ALL {
        for connections in [1, 8, 32] {
            let is_drawn = |flood: &PlannedFlood| flood.kind == kind && flood.connections == connections;
            assert!(all.iter().any(is_drawn), "{kind:?} from {connections}");
        }
    }
}

#[test]
fn the_seeds_of_the_short_soak_hold_the_floods_that_made_answers_late() {
    for seed in [24, 28, 34] {
        let floods = draw_floods(seed, SIZE);
        let canceled = floods.iter().filter(|flood| is_full_speed_of_canceled(flood));
        assert!(canceled.map(|flood| flood.lasts).sum::<u64>() > 5_000_000, "seed {seed}: {floods:?}");
    }
}

#[test]
fn requests_of_floods_tell_their_gateway() {
    assert_eq!(gateway("ffff001200000001"), Some(0x12));
    assert_eq!(gateway("0001001200000001"), None);
}
