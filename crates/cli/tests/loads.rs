//! Load orders as they pass on the sockets.

mod common;

use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use common::*;
use cresswheel_protocol::{Ending, Message};

/// A worker that takes two milliseconds for each call, one after the other; it tells the counts ordered of it.
fn slow_worker(room_for: u32) -> (std::net::SocketAddr, Receiver<u32>) {
    let (listener, at) = listener();
    let (tell, told) = channel();
    std::thread::spawn(move || {
        loop {
            let (mut played, tell) = (Played::accept(&listener), tell.clone());
            std::thread::spawn(move || {
                while let Some(message) = played.next() {
                    match message {
                        Message::Run { attempt, .. } => {
                            std::thread::sleep(Duration::from_millis(2));
                            // What it holds beside this one, as it must say: the client keeps 24 out.
                            let (ending, body) = (Ending::Ok, b"out".to_vec());
                            played.send(&Message::Ran { attempt, ending, crowd: 23, body, origin: None });
                        }
                        Message::Hold { order, count, .. } => {
                            let _ = tell.send(count);
                            let ending = if count <= room_for { Ending::Ok } else { Ending::Full };
                            played.send(&Message::Held { order, ending, standing: count.min(room_for) });
                        }
                        _ => {}
                    }
                }
            });
        }
    });
    (at, told)
}

#[test]
fn a_function_hotter_than_its_one_home_is_ordered_more_instances_and_served_on_when_there_is_no_room() {
    for room_for in [64, 1] {
        let (at, told) = slow_worker(room_for);
        let bed = Bed::new(&[at]);
        let mut client = bed.client();
        let (mut number, mut served, mut after) = (0, 0, 0);
        let end = Instant::now() + PATIENCE;
        let (mut largest, mut orders) = (0, 0);
        // Forty more served after the order: that there was no room for more is no word against what stands.
        while after < 40 {
            assert!(
                Instant::now() < end,
                "room for {room_for}: {served} served, {largest} ordered, {after} after"
            );
            while number < served + 24 {
                number += 1;
                client.send(&call(number, "check", "hot", 5_000)).unwrap();
            }
            let (_, status, reason) = answer(&mut client);
            assert_eq!(status, "served", "{reason}");
            served += 1;
            for count in told.try_iter() {
                largest = largest.max(count);
                orders += 1;
            }
            after += u64::from(largest > 1);
        }
        assert!((2..=64).contains(&largest), "{largest}");
        assert!(orders < 20, "{orders} orders within moments");
    }
}

/// Guards against blame for a lack of room on this side: a worker with all its connections in use is not
/// 'not-connected', and is used again as soon as a connection has room.
#[test]
fn a_worker_whose_connections_are_full_is_not_counted_as_unreachable() {
    let (listener, at) = listener();
    let bed = Bed::with(&[at], "", "worker_connections = 1, worker_streams = 1,");
    let mut client = bed.client();
    client.send(&call(1, "check", "first", 5_000)).unwrap();
    let mut worker = Played::accept(&listener);
    let (attempt, ..) = worker.run();
    client.send(&call(2, "check", "second", 5_000)).unwrap();
    assert_eq!(answer(&mut client), (2, "refused".into(), "taken-back".into()));
    worker.ran(attempt, Ending::Ok);
    assert_eq!(answer(&mut client).1, "served");
    client.send(&call(3, "check", "third", 5_000)).unwrap();
    let (attempt, ..) = worker.run();
    worker.ran(attempt, Ending::Ok);
    assert_eq!(answer(&mut client).1, "served");
    assert!(!bed.page("/metrics").contains("not-connected"));
}
