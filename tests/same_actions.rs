//! Mends that are not meant to change a decision leave every action as it was: ten drawn sequences of events give
//! the actions, byte for byte, that the module gave before it was made to bear its planned size.

mod common;

use common::streams::{SEQUENCES, play};

/// Digests of all actions, and of all but the wake-ups asked for. Recorded by this test at commit d1acefb, with no
/// change in `src`: `cargo test -p cresswheel --test same_actions` prints those that it finds. One is later: with
/// orders off (the fifth sequence, then 0xcec35d4d251a04a3 and 0x6ca2b5af052be860) nothing is wanted any more, so
/// that a worker that left is forgotten without waiting for the last forecast that wanted an instance there.
const RECORDED: [(u64, u64); SEQUENCES as usize] = [
    (0x1cc080e5760c2144, 0x1e3fdff1082de79a),
    (0xf6e2cbafa114cff6, 0x970a0dc790a22abd),
    (0xd08542a429328221, 0x1ab47420f558c9a8),
    (0x820f2c60bd83f220, 0x1470b70d57b21ca7),
    (0x39d3a6443f8a153e, 0xff554fabd30bbeeb),
    (0x98e5e3ede03219fc, 0xe7af6cd0e512ab57),
    (0x418ab4eb606fe02e, 0xd0a3b369158f8aac),
    (0x8e5f06060c7a3435, 0xc6c5820f0554e517),
    (0x1717b83624f7cf11, 0x6bb58450c2d13912),
    (0x5aa90cd00105aafd, 0x3670ce8bfe27a6f3),
];

#[test]
fn drawn_sequences_give_the_recorded_actions() {
    let streams = std::thread::scope(|scope| {
        let players: Vec<_> = (0..SEQUENCES).map(|sequence| scope.spawn(move || play(sequence))).collect();
        players.into_iter().map(|player| player.join().expect("a whole sequence")).collect::<Vec<_>>()
    });
    let mut found = Vec::new();
    for stream in &streams {
        println!("(0x{:016x}, 0x{:016x}), {:?}", stream.digest, stream.digest_without_wakes, stream.actions);
        assert!(
            stream.actions["send"] > 10_000 && stream.actions["forget"] > 20,
            "a sequence with much in it"
        );
        found.push((stream.digest, stream.digest_without_wakes));
    }
    assert!(
        streams.iter().filter(|s| s.actions.get("hold") > Some(&1_000)).count() == 8,
        "orders, where allowed"
    );
    assert_eq!(found, RECORDED);
}
