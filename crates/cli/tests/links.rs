//! A link between gateway and worker that delays, cuts and resets.

mod common;

use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use common::*;
use cresswheel_standins::Link;

const MS: u64 = 1_000;

/// A link to `to`, for twenty seconds, in a thread that ends with the test's process.
fn link(to: SocketAddr, delay: u64, cut: Option<(u64, u64)>, reset: Option<u64>) -> SocketAddr {
    let (tell, told) = channel();
    std::thread::spawn(move || {
        let mut link = Link::start("127.0.0.1:0".parse().unwrap(), to, delay * MS).unwrap();
        link.plan(cut.map(|(from, until)| (from * MS, until * MS)), reset.map(|at| at * MS));
        tell.send(link.address()).unwrap();
        link.run(20_000 * MS).unwrap();
    });
    told.recv().unwrap()
}

#[test]
fn a_slow_link_delays_each_way() {
    let bed = Bed::new(&[link(good_worker(), 40, None, None)]);
    let mut client = bed.client();
    let began = Instant::now();
    client.send(&call(1, "post", "f", 5_000)).unwrap();
    assert_eq!(answer(&mut client).1, "served");
    assert!(began.elapsed() >= Duration::from_millis(80), "twice the delay");
}

#[test]
fn through_a_cut_a_post_is_silent_fails_in_time_and_later_ones_are_served() {
    let bed = Bed::new(&[link(good_worker(), 0, Some((0, 1_500)), None)]);
    let mut client = bed.client();
    client.send(&call(1, "post", "f", 300)).unwrap();
    assert_eq!(answer(&mut client), (1, "failed".into(), "timeout".into()));
    // What the cut held back comes after it: a late answer, which nobody hears of.
    client.send(&call(2, "post", "f", 5_000)).unwrap();
    let (number, status, reason) = answer(&mut client);
    // The worker is left alone for a while after its silence; a post that was not sent there is refused.
    assert!(status == "served" || (status == "refused" && reason == "no-worker"), "{status}: {reason}");
    assert_eq!(number, 2);
    let end = Instant::now() + PATIENCE;
    while bed.metric("cresswheel_late_answers_total") < 1.0 {
        assert!(Instant::now() < end, "the late answer never came");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_reset_link_breaks_what_is_in_flight_and_carries_what_comes_after() {
    let (listener, at) = listener();
    let bed = Bed::new(&[link(at, 0, None, Some(300))]);
    let mut client = bed.client();
    client.send(&call(1, "post", "f", 5_000)).unwrap();
    let mut played = Played::accept(&listener);
    assert_eq!(played.run().1, "t1");
    assert_eq!(answer(&mut client), (1, "failed".into(), "broken".into()));
    client.send(&call(2, "check", "f", 5_000)).unwrap();
    let mut played = Played::accept(&listener);
    let (attempt, ..) = played.run();
    played.ran(attempt, cresswheel_protocol::Ending::Ok);
    assert_eq!(answer(&mut client).1, "served");
}
