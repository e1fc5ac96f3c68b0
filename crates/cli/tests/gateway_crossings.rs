//! Two events that cross at `cresswheel gateway`, each pair forced by the test: see the last section of docs/CROSSINGS.md,
//! which names these tests row by row.
//!
//! Order is made by what the test withholds, by one write that holds both, or by a process that is stopped and finds
//! all of it when it is woken. Nothing is asserted about how long things take.

mod common;
mod gateway_peers;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

use common::{Bed, EXE, PATIENCE, Played, call, good_worker, listener, nobody, settings, until};
use cresswheel_protocol::{Ending, ListedWorker, MemberState, Message, encode};
use gateway_peers::*;

/// Long enough for what must not come to have come.
const QUIET: Duration = Duration::from_millis(300);

fn listed(id: &str, at: std::net::SocketAddr, standing: MemberState) -> ListedWorker {
    ListedWorker {
        id: id.into(),
        address: at.to_string(),
        zone: "a".into(),
        kind: String::new(),
        cell: 0,
        standing,
        started: 0,
    }
}

/// A gateway on a list service that the test plays.
fn gateway_on_list(limits: &str) -> (Bed, TcpListener, Played) {
    let (service, at) = listener();
    let bed = Bed::with(&[], &format!("list = [\"{at}\"]"), limits);
    let played = followed(&service);
    (bed, service, played)
}

/// The next connection to a list service, once it was asked to be followed.
fn followed(service: &TcpListener) -> Played {
    // This holds for accepting too.
    socket2::SockRef::from(service).set_read_timeout(Some(PATIENCE)).unwrap();
    let mut played = Played::accept(service);
    while played.next() != Some(Message::Follow {}) {}
    played
}

fn whole_list(version: u64, workers: Vec<ListedWorker>) -> Message {
    Message::List { whole: true, version, workers }
}

// Shutdown and start.

#[test]
fn connections_that_wait_to_be_accepted_at_term_are_answered() {
    for holders in [0, 2] {
        let mut bed = Bed::with(&[good_worker()], &format!("holders = {holders}"), "");
        let mut first = FrameClient::new(&bed);
        first.ask(1, "check", "f");
        first.is_served(1);
        let processes = processes_with_connections(&bed);
        freeze(&processes);
        // More than are accepted in one turn, on both wires.
        let mut waiting: Vec<FrameClient> = (0..100).map(|_| FrameClient::new(&bed)).collect();
        waiting.iter_mut().for_each(|client| client.ask(1, "check", "f"));
        let mut over_http: Vec<TcpStream> = (0..20).map(|_| bed.http()).collect();
        over_http.iter_mut().for_each(|s| s.write_all(invoke("check", "f").as_bytes()).unwrap());
        bed.gateway.terminate().unwrap();
        wake(&processes);
        for client in &mut waiting {
            let (number, status, ..) = client.answer();
            assert!(number == 1 && matches!(&*status, "served" | "refused"), "{status}");
        }
        for socket in &mut over_http {
            let (status, _) = response(socket).expect("a response");
            assert!(matches!(status, 200 | 503), "{status}");
        }
        assert_eq!(bed.gateway.wait(PATIENCE).unwrap(), Some(0));
    }
}

#[test]
fn what_is_unread_as_the_last_answer_leaves_is_answered_and_the_end_is_no_reset() {
    for holders in [0, 1] {
        let mut worker = Worker::new();
        let limits = "leave_over = ms(50)";
        let mut bed = Bed::with(&[worker.at], &format!("holders = {holders}"), limits);
        let mut client = FrameClient::new(&bed);
        client.ask(1, "post", "f");
        let (line, attempt, _) = worker.next_run();
        bed.gateway.terminate().unwrap();
        assert!(matches!(client.next(), Some(Message::GoingAway { .. })));
        let processes = processes_with_connections(&bed);
        freeze(&processes);
        // More than is read in one turn, and the answer that all wait for.
        let mut all = Vec::new();
        for number in 2..=60 {
            let Message::Call {
                deferred,
                function,
                class,
                tenant,
                key,
                trace,
                time_left,
                shape,
                account,
                ..
            } = call(number, "check", "f", 5_000)
            else {
                unreachable!()
            };
            let body = vec![7; 8 << 10];
            let asked = Message::Call {
                number,
                deferred,
                function,
                class,
                tenant,
                key,
                trace,
                time_left,
                shape,
                body,
                account,
            };
            encode(&asked, &mut all);
        }
        client.send_bytes(&all);
        worker.serves(line, attempt);
        if holders == 1 {
            // The gateway itself goes on meanwhile, and has answered all that it knows of.
            until("the answer", || bed.log().contains("number=1 status=served"));
        }
        wake(&processes);
        let mut answers: Vec<(u64, String)> = (1..=60)
            .map(|_| {
                let (number, status, ..) = client.answer();
                (number, status)
            })
            .collect();
        answers.sort();
        let refused = (2..=60).map(|number| (number, "refused".to_owned()));
        let wanted: Vec<(u64, String)> = [(1, "served".to_owned())].into_iter().chain(refused).collect();
        assert_eq!(answers, wanted);
        assert_eq!(client.next(), None, "an end in good order");
        drop(client);
        assert_eq!(bed.gateway.wait(PATIENCE).unwrap(), Some(0));
    }
}

#[test]
fn last_answers_larger_than_the_buffers_reach_a_client_that_reads_slowly() {
    const BODY: usize = 200 << 10;
    for holders in [0, 1] {
        let mut worker = Worker::new();
        let limits = "stop_within = s(4), leave_over = ms(50)";
        let mut bed = Bed::with(&[worker.at], &format!("holders = {holders}"), limits);
        let mut client = FrameClient::narrow(&bed);
        (1..=4).for_each(|number| client.ask(number, "post", "f"));
        for n in 1..=4 {
            let (line, attempt, _) = worker.next_run();
            worker.ran(line, attempt, Ending::Ok, &vec![n; BODY]);
        }
        logged_times(&bed, "status=served", 4);
        bed.gateway.terminate().unwrap();
        bed.logged("stopping");
        // More than the half second for which answers were once waited for goes by without a byte being read.
        std::thread::sleep(Duration::from_millis(1_200));
        for _ in 1..=4 {
            let (_, status, _, body) = client.answer();
            assert_eq!((status.as_str(), body.len()), ("served", BODY));
            assert!(body.iter().all(|byte| *byte == body[0]));
        }
        assert!(matches!(client.next(), Some(Message::GoingAway { .. })));
        assert_eq!(client.next(), None, "an end in good order");
        drop(client);
        assert_eq!(bed.gateway.wait(PATIENCE).unwrap(), Some(0));
    }
}

#[test]
fn term_twice_and_hup_between_change_nothing_about_the_way_to_the_end() {
    let mut worker = Worker::new();
    let mut bed = Bed::new(&[worker.at]);
    let mut client = FrameClient::new(&bed);
    client.ask(1, "post", "f");
    let (line, attempt, _) = worker.next_run();
    bed.gateway.terminate().unwrap();
    bed.logged("stopping");
    bed.gateway.signal("HUP").unwrap();
    bed.logged("new settings are in force");
    bed.gateway.terminate().unwrap();
    worker.serves(line, attempt);
    client.is_served(1);
    drop(client);
    assert_eq!(bed.gateway.wait(PATIENCE).unwrap(), Some(0));
    assert_eq!(bed.log().matches("stopping signal").count(), 1);
}

#[test]
fn term_while_the_port_is_waited_for_ends_the_process() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = tempfile::tempdir().unwrap();
    let file = settings(folder.path(), &[good_worker()], "", "");
    let script = std::fs::read_to_string(&file).unwrap();
    let at = taken.local_addr().unwrap().to_string();
    std::fs::write(&file, script.replacen("127.0.0.1:0", &at, 1)).unwrap();
    let mut command = Command::new(EXE);
    command.args(["gateway", file.to_str().unwrap()]).stdin(Stdio::null());
    let mut child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap();
    // TERM, signal 15, is blocked: it is kept for the loop, which does not run yet.
    until("blocked signals", || {
        let blocked = status(child.id(), "SigBlk:");
        let mask = blocked.split_whitespace().last().and_then(|text| u64::from_str_radix(text, 16).ok());
        mask.is_some_and(|mask| mask & (1 << 14) != 0)
    });
    assert!(Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap().success());
    // It ends without the port, or stops in good order once it has it: whichever comes first.
    drop(taken);
    let code = child.wait().unwrap().code();
    assert!(matches!(code, Some(0 | 1)), "{code:?}");
}

// Clients.

/// How a client gives up what it asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GivesUp {
    Cancels,
    HalfCloses,
    Closes,
    Resets,
}

const WAYS: [GivesUp; 4] = [GivesUp::Cancels, GivesUp::HalfCloses, GivesUp::Closes, GivesUp::Resets];

impl GivesUp {
    /// What the client was, if it is still to be kept.
    fn done_by(self, mut client: FrameClient, number: u64) -> Option<FrameClient> {
        match self {
            Self::Cancels => client.cancel(number),
            Self::HalfCloses => client.half_close(),
            Self::Closes => return None,
            Self::Resets => {
                client.reset();
                return None;
            }
        }
        Some(client)
    }
}

/// The load is there now; what waited was given up, so only what is asked now may be sent.
fn only_what_is_asked_now_is_sent(bed: &Bed, worker: &mut Worker, line: usize, order: u64) {
    worker.holds(line, order);
    let mut other = FrameClient::new(bed);
    other.ask(77, "check", "f2");
    let (line, attempt, trace) = worker.next_run();
    assert_eq!(trace, "t77", "a call was sent on whose client gave it up while it waited");
    worker.serves(line, attempt);
    other.is_served(77);
    let more = worker.next_run_within(QUIET);
    assert_eq!(more, None);
}

/// Waits until the gateway has seen how the client gave up.
fn seen_to(bed: &Bed, way: GivesUp) {
    bed.logged(if way == GivesUp::Cancels { "call canceled" } else { "client left" });
}

#[test]
fn what_waits_for_a_load_is_not_sent_on_when_its_client_gives_it_up() {
    for holders in [0, 1] {
        for way in WAYS {
            let mut worker = Worker::new();
            let bed = gateway_that_loads_first(&[worker.at], &format!("holders = {holders}"), "");
            let mut client = FrameClient::new(&bed);
            client.ask(9, "check", "f2");
            let (line, order) = worker.next_hold();
            let _kept = way.done_by(client, 9);
            seen_to(&bed, way);
            only_what_is_asked_now_is_sent(&bed, &mut worker, line, order);
        }
    }
}

#[test]
fn what_waits_for_a_load_is_not_sent_on_when_its_http_client_leaves() {
    for half in [true, false] {
        let mut worker = Worker::new();
        let bed = gateway_that_loads_first(&[worker.at], "", "");
        let mut client = bed.http();
        client.write_all(invoke("check", "f2").as_bytes()).unwrap();
        let (line, order) = worker.next_hold();
        if half {
            client.shutdown(Shutdown::Write).unwrap();
        }
        let _kept = half.then_some(client);
        bed.logged("client left");
        only_what_is_asked_now_is_sent(&bed, &mut worker, line, order);
    }
}

#[test]
fn a_call_whose_client_left_before_it_was_read_is_not_sent_on() {
    for holders in [0, 1] {
        for is_accepted in [true, false] {
            for way in WAYS {
                let mut worker = Worker::new();
                let bed = Bed::with(&[worker.at], &format!("holders = {holders}"), "");
                let mut client = FrameClient::new(&bed);
                client.ask(1, "check", "f");
                let (line, attempt, _) = worker.next_run();
                worker.serves(line, attempt);
                client.is_served(1);
                let mut processes = processes_with_connections(&bed);
                processes.extend((holders > 0).then_some(bed.gateway.id()));
                freeze(&processes);
                let mut client = if is_accepted { client } else { FrameClient::new(&bed) };
                client.ask(2, "check", "f");
                let _kept = way.done_by(client, 2);
                std::thread::sleep(QUIET);
                wake(&processes);
                let mut other = FrameClient::new(&bed);
                other.ask(3, "check", "f");
                let (line, attempt, trace) = worker.next_run();
                assert_eq!(trace, "t3", "{holders} holders, accepted: {is_accepted}, {way:?}");
                worker.serves(line, attempt);
                other.is_served(3);
                assert_eq!(worker.next_run_within(QUIET / 3), None, "{way:?}");
            }
        }
    }
}

/// Has a connection that is not read answered with far more than the bound on its backlog.
fn stall(bed: &Bed, worker: &mut Worker, client: &mut FrameClient, numbers: std::ops::RangeInclusive<u64>) {
    let asked = numbers.clone().count();
    numbers.for_each(|number| client.ask(number, "check", "f"));
    for _ in 0..asked {
        let (line, attempt, _) = worker.next_run();
        worker.ran(line, attempt, Ending::Ok, &vec![0; 250 << 10]);
    }
    until("a stalled client", || bed.metric("cresswheel_paused_clients") == 1.0);
}

#[test]
fn a_client_that_does_not_read_can_still_give_up_what_waits() {
    for holders in [0, 1] {
        for way in [GivesUp::Cancels, GivesUp::HalfCloses] {
            let mut worker = Worker::new();
            let more = format!("holders = {holders}");
            let bed = gateway_that_loads_first(&[worker.at], &more, "client_backlog = kb(64)");
            let mut client = FrameClient::narrow(&bed);
            // `f` stands loaded, `f2` waits for its load.
            let mut first = FrameClient::new(&bed);
            first.ask(1, "check", "f");
            let (line, attempt, _) = worker.next_run();
            worker.serves(line, attempt);
            first.is_served(1);
            client.ask(9, "check", "f2");
            let (line, order) = worker.next_hold();
            stall(&bed, &mut worker, &mut client, 1..=3);
            // What it asks meanwhile waits in its turn, before what gives up.
            client.ask(10, "check", "f2");
            client.ask(11, "check", "f2");
            client.cancel(11);
            let kept = way.done_by(client, 9);
            seen_to(&bed, way);
            worker.holds(line, order);
            let mut other = FrameClient::new(&bed);
            other.ask(77, "check", "f2");
            let (line, attempt, trace) = worker.next_run();
            assert_eq!(trace, "t77", "{holders} holders, {way:?}");
            worker.serves(line, attempt);
            other.is_served(77);
            if way == GivesUp::Cancels {
                // As it reads, the rest of what it asked is seen to.
                let mut kept = kept.unwrap();
                let mut served: Vec<u64> = (0..3).map(|_| kept.answer().0).collect();
                served.sort_unstable();
                assert_eq!(served, [1, 2, 3]);
                let (line, attempt, trace) = worker.next_run();
                assert_eq!(trace, "t10");
                worker.serves(line, attempt);
                kept.is_served(10);
            }
            assert_eq!(worker.next_run_within(QUIET), None, "{way:?}");
        }
    }
}

#[test]
fn a_client_that_asks_on_without_reading_and_leaves_has_what_waits_called_off() {
    let mut worker = Worker::new();
    let limits = "client_backlog = kb(64), calls_per_connection = 20";
    let bed = gateway_that_loads_first(&[worker.at], "", limits);
    let mut client = FrameClient::narrow(&bed);
    let mut first = FrameClient::new(&bed);
    first.ask(1, "check", "f");
    let (line, attempt, _) = worker.next_run();
    worker.serves(line, attempt);
    first.is_served(1);
    client.ask(9, "check", "f2");
    let (line, order) = worker.next_hold();
    stall(&bed, &mut worker, &mut client, 1..=3);
    // More than is read ahead of a client that does not read: its end waits behind it in the kernel.
    (100..200).for_each(|number| client.ask(number, "check", "f2"));
    client.half_close();
    bed.logged("client left");
    only_what_is_asked_now_is_sent(&bed, &mut worker, line, order);
}

#[test]
fn a_client_that_sent_no_frame_and_leaves_gives_up_what_waits() {
    let mut worker = Worker::new();
    let bed = gateway_that_loads_first(&[worker.at], "", "");
    let mut client = FrameClient::new(&bed);
    client.ask(9, "check", "f2");
    let (line, order) = worker.next_hold();
    client.send_bytes(&[0, 0, 0, 2, 9, 1]);
    assert!(matches!(client.next(), Some(Message::Bye { .. })), "it is told");
    drop(client);
    bed.logged("client left");
    only_what_is_asked_now_is_sent(&bed, &mut worker, line, order);
}

#[test]
fn an_http_client_that_sent_no_request_and_half_closes_gives_up_what_waits() {
    let mut worker = Worker::new();
    let bed = gateway_that_loads_first(&[worker.at], "", "");
    let mut client = bed.http();
    client.write_all(invoke("check", "f2").as_bytes()).unwrap();
    let (line, order) = worker.next_hold();
    // Its refusal waits for the answer before it.
    client.write_all(b"nonsense\r\n\r\n").unwrap();
    std::thread::sleep(Duration::from_millis(100));
    client.shutdown(Shutdown::Write).unwrap();
    bed.logged("client left");
    only_what_is_asked_now_is_sent(&bed, &mut worker, line, order);
}

#[test]
fn what_waits_for_a_workers_connection_is_not_sent_on_when_its_client_cancels_it() {
    let mut worker = Worker::narrow();
    worker.is_deaf = true;
    let slow = [("max_attempts = 4", "max_attempts = 4, connect_timeout = s(4)")];
    // One call to a connection.
    let bed = gateway_with(&[worker.at], "", "worker_streams = 1", &slow);
    // The first takes the one place that the machine holds, the others have to wait for their connections.
    let mut clients: Vec<FrameClient> = (1..=3).map(|_| FrameClient::new(&bed)).collect();
    for (number, client) in (1..).zip(&mut clients) {
        client.ask(number, "check", "f");
        logged_times(&bed, ": run worker=", number as usize);
    }
    for (number, client) in (1..).zip(&mut clients).skip(1) {
        client.cancel(number);
    }
    logged_times(&bed, "call canceled", 2);
    worker.is_deaf = false;
    let (line, attempt, trace) = worker.next_run();
    assert_eq!(trace, "t1");
    // Long enough for the kernel to try the connections again.
    assert_eq!(worker.next_run_within(Duration::from_millis(1_500)), None);
    worker.serves(line, attempt);
    clients[0].is_served(1);
}

#[test]
fn a_cancel_that_crosses_its_answer_settles_nothing_else() {
    for holders in [0, 1] {
        let mut worker = Worker::new();
        let limits = "ping_after = ms(200), ping_wait = ms(200)";
        let bed = Bed::with(&[worker.at], &format!("holders = {holders}"), limits);
        let mut client = FrameClient::new(&bed);
        client.ask(1, "post", "f");
        let (line, attempt, _) = worker.next_run();
        client.ask(2, "post", "f");
        let (second_line, second, _) = worker.next_run();
        worker.serves(line, attempt);
        client.is_served(1);
        // The answer was on its way as it was given up. The other call is open all the same, so its connection is not
        // idle: it is not pinged, nor closed for the silence after it.
        client.cancel(1);
        std::thread::sleep(Duration::from_millis(900));
        worker.serves(second_line, second);
        assert!(
            matches!(client.next(), Some(Message::Answer { number: 2, status, .. }) if status.as_str() == "served")
        );
    }
}

#[test]
fn an_answer_that_crosses_its_cancel_is_dropped_and_the_next_call_gets_its_own() {
    for holders in [0, 1] {
        let mut worker = Worker::new();
        let bed = Bed::with(&[worker.at], &format!("holders = {holders}"), "");
        let mut client = FrameClient::new(&bed);
        client.ask(1, "post", "f");
        let (line, attempt, _) = worker.next_run();
        let processes = processes_with_connections(&bed);
        freeze(&processes);
        // Both are there when it looks: the cancel, and the answer to what is canceled.
        client.cancel(1);
        client.ask(2, "post", "f");
        worker.ran(line, attempt, Ending::Ok, b"first");
        if holders == 1 {
            until("the answer", || bed.log().contains("number=1 status=served"));
        }
        wake(&processes);
        let (line, attempt, trace) = worker.next_run();
        assert_eq!(trace, "t2");
        worker.ran(line, attempt, Ending::Ok, b"second");
        // Whichever it read first, the second call gets its own answer, and the first has one at most.
        let (mut number, _, _, mut body) = client.answer();
        if number == 1 {
            assert_eq!(body, b"first");
            (number, _, _, body) = client.answer();
        }
        assert_eq!((number, body.as_slice()), (2, b"second".as_slice()), "{holders} holders");
    }
}

#[test]
fn a_place_is_not_taken_from_a_connection_on_which_a_call_has_just_come() {
    let bed = Bed::with(&[good_worker()], "", "connections = 8, evict_after = ms(100)");
    let mut clients: Vec<FrameClient> = (0..8).map(|_| FrameClient::new(&bed)).collect();
    for client in &mut clients {
        client.ask(1, "check", "f");
        client.is_served(1);
    }
    std::thread::sleep(Duration::from_millis(200));
    let processes = processes_with_connections(&bed);
    freeze(&processes);
    // The one that has been idle the longest asks, and another comes: both are there when it looks.
    clients[0].ask(2, "check", "f");
    let mut newcomer = FrameClient::new(&bed);
    newcomer.ask(3, "check", "f");
    wake(&processes);
    clients[0].is_served(2);
    newcomer.is_served(3);
    assert_eq!(clients[1].next(), None, "the next longest gives way");
}

#[test]
fn a_call_that_comes_as_the_time_of_its_silent_connection_is_up_is_served() {
    let bed = Bed::with(&[good_worker()], "", "client_idle = ms(400), pings_per_s = 0");
    let mut client = FrameClient::new(&bed);
    let mut http = bed.http();
    client.ask(1, "check", "f");
    client.is_served(1);
    http.write_all(invoke("check", "f").as_bytes()).unwrap();
    assert_eq!(response(&mut http).unwrap().0, 200);
    let processes = processes_with_connections(&bed);
    freeze(&processes);
    std::thread::sleep(Duration::from_millis(600));
    client.ask(2, "check", "f");
    http.write_all(invoke("check", "f").as_bytes()).unwrap();
    wake(&processes);
    client.is_served(2);
    assert_eq!(response(&mut http).unwrap().0, 200);
}

#[test]
fn half_a_message_ends_its_connection_only_after_what_is_open_there_is_answered() {
    for holders in [0, 1] {
        let mut worker = Worker::new();
        let more = format!("holders = {holders}");
        let bed = Bed::with(&[worker.at], &more, "half_request = ms(200)");
        let mut client = FrameClient::new(&bed);
        client.ask(1, "post", "f");
        let first = worker.next_run();
        let mut http = bed.http();
        http.write_all(invoke("post", "f").as_bytes()).unwrap();
        let second = worker.next_run();
        client.send_bytes(&[0, 0, 0, 100, 1, 10, 7]);
        http.write_all(b"POST /v1/functions/f/inv").unwrap();
        let ended = "cresswheel_connections_closed_total{reason=\"half-sent\"} 2";
        until("the end of their time", || bed.page("/metrics").contains(ended));
        worker.serves(first.0, first.1);
        worker.serves(second.0, second.1);
        client.is_served(1);
        assert!(matches!(client.next(), Some(Message::Bye { .. })), "it is told");
        assert_eq!(client.next(), None, "an end in good order");
        assert_eq!(response(&mut http), Some((200, "out".to_owned())));
        assert_eq!(response(&mut http), None, "an end in good order");
    }
}

#[test]
fn a_client_that_reads_slowly_is_waited_for_and_one_that_reads_nothing_is_not() {
    const BODY: usize = 250 << 10;
    for reads in [true, false] {
        let mut worker = Worker::new();
        let limits = "client_backlog = kb(64), read_stall = ms(800)";
        let bed = Bed::with(&[worker.at], "", limits);
        let mut client = FrameClient::narrow(&bed);
        // One that will be answered last of all; a client of which nothing is open is waited for only as it reads.
        let mut open = None;
        if reads {
            client.ask(5, "post", "f");
            open = Some(worker.next_run());
        }
        (1..=4).for_each(|number| client.ask(number, "post", "f"));
        for n in 1..=4 {
            let (line, attempt, _) = worker.next_run();
            worker.ran(line, attempt, Ending::Ok, &vec![n; BODY]);
        }
        if !reads {
            let ended = "cresswheel_connections_closed_total{reason=\"does-not-read\"} 1";
            until("its end", || bed.page("/metrics").contains(ended));
            continue;
        }
        // Longer than the time for which one that reads nothing is waited for.
        for _ in 0..6 {
            client.read_some(4 << 10);
            std::thread::sleep(Duration::from_millis(300));
        }
        let (line, attempt, _) = open.unwrap();
        worker.serves(line, attempt);
        for _ in 1..=4 {
            let (_, status, _, body) = client.answer();
            assert_eq!((status.as_str(), body.len()), ("served", BODY));
        }
        client.is_served(5);
    }
}

#[test]
fn calls_whose_client_leaves_while_clients_are_left_unread_are_not_begun() {
    // One call is begun in each turn, and clients are left unread from 1,000 that wait until half of them are begun.
    let limits = "intake_calls = 1000, calls_per_turn = 1, calls_per_connection = 100000";
    let bed = Bed::with(&[good_worker()], "", limits);
    let mut all = Vec::new();
    (1..=1_400).for_each(|number| encode(&call(number, "note", "f", 5_000), &mut all));
    let mut client = FrameClient::new(&bed);
    client.send_bytes(&all);
    // Its end is behind what is not read.
    drop(client);
    bed.logged("client left");
    let begun = bed.log().matches(": run worker=").count();
    assert!(begun < 450, "{begun} calls were begun, most of them after their client had left");
}

// Workers.

#[test]
fn a_late_second_copy_of_miss_is_not_taken_for_the_word_on_the_next_attempt() {
    let mut worker = Worker::new();
    let bed = gateway_that_loads_first(&[worker.at], "", "");
    let mut client = FrameClient::new(&bed);
    client.ask(1, "post", "f");
    let (line, first, _) = worker.next_run();
    worker.ran(line, first, Ending::Miss, b"");
    let (second_line, second, _) = worker.next_run();
    assert_ne!(first, second);
    // It runs there now, and the first answer comes a second time, on both connections that there may be.
    worker.ran(line, first, Ending::Miss, b"");
    worker.ran(second_line, first, Ending::Miss, b"");
    assert_eq!(worker.next_run_within(QUIET), None, "a post was sent again while it runs");
    worker.serves(second_line, second);
    client.is_served(1);
}

#[test]
fn an_answer_that_breaks_off_fails_a_post_and_one_that_comes_with_the_end_counts() {
    for (way, wanted) in [("end", "failed"), ("reset", "failed"), ("whole", "served")] {
        let mut worker = Worker::new();
        let bed = Bed::new(&[worker.at]);
        let mut client = FrameClient::new(&bed);
        client.ask(1, "post", "f");
        let (line, attempt, _) = worker.next_run();
        let processes = processes_with_connections(&bed);
        freeze(&processes);
        let mut whole = Vec::new();
        encode(&ran(attempt, Ending::Ok, b"out"), &mut whole);
        let cut = if way == "whole" { whole.len() } else { whole.len() - 4 };
        worker.send_bytes(line, &whole[..cut]);
        if way == "reset" {
            worker.reset(line);
        } else {
            worker.end(line);
        }
        wake(&processes);
        let (number, status, ..) = client.answer();
        assert_eq!((number, status.as_str()), (1, wanted), "{way}");
        assert_eq!(worker.next_run_within(QUIET), None, "{way}");
    }
}

#[test]
fn a_connection_that_never_comes_up_says_nothing_of_a_worker_that_is_heard_on_another() {
    let mut worker = Worker::narrow();
    let quick = [("max_attempts = 4", "max_attempts = 4, connect_timeout = ms(300)")];
    let bed = gateway_with(&[worker.at], "", "worker_streams = 1", &quick);
    let mut clients: Vec<FrameClient> = (1..=3).map(|_| FrameClient::new(&bed)).collect();
    clients[0].ask(1, "check", "f");
    let (line, attempt, _) = worker.next_run();
    worker.is_deaf = true;
    for (number, client) in (1..).zip(&mut clients).skip(1) {
        client.ask(number, "check", "f");
        logged_times(&bed, ": run worker=", number as usize);
    }
    worker.serves(line, attempt);
    clients[0].is_served(1);
    bed.logged("never_stood=true");
    bed.logged("no connection in time");
    until("the end of the attempt", || attempts_ended(&bed, "not-written") > 0);
    assert_eq!(attempts_ended(&bed, "not-connected"), 0);
}

/// Attempts that ended in this word.
fn attempts_ended(bed: &Bed, word: &str) -> u64 {
    let page = bed.page("/metrics");
    let is_count =
        |line: &&str| line.starts_with("cresswheel_attempts_total{") && line.contains(&format!("\"{word}\""));
    page.lines()
        .filter(is_count)
        .map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap() as u64)
        .sum()
}

#[test]
fn what_waits_for_the_connection_of_a_worker_that_drains_or_goes_is_not_sent_there() {
    for after in [MemberState::Draining, MemberState::Removed] {
        let (service, at) = listener();
        let list = format!("list = [\"{at}\"]");
        let slow = [("max_attempts = 4", "max_attempts = 4, connect_timeout = s(4)")];
        let bed = gateway_with(&[], &list, "worker_streams = 1", &slow);
        let mut service = followed(&service);
        let mut worker = Worker::narrow();
        worker.is_deaf = true;
        service.send(&whole_list(1, vec![listed("w", worker.at, MemberState::Active)]));
        bed.logged("worker list");
        // The first takes the one place that the machine holds, the second has to wait for its connection.
        let mut clients: Vec<FrameClient> = (1..=2).map(|_| FrameClient::new(&bed)).collect();
        for (number, client) in (1..).zip(&mut clients) {
            client.ask(number, "post", "f");
            logged_times(&bed, ": run worker=w ", number as usize);
        }
        let other = listed("o", good_worker(), MemberState::Active);
        service.send(&whole_list(2, vec![listed("w", worker.at, after), other]));
        logged_times(&bed, "worker list", 2);
        // It is served elsewhere, and nothing of it comes to the worker as the connection comes up.
        worker.is_deaf = false;
        while let Some((line, attempt, trace)) = worker.next_run_within(Duration::from_millis(1_500)) {
            assert_eq!(trace, "t1", "sent to a worker that left the list: {after:?}");
            worker.serves(line, attempt);
        }
        clients[1].is_served(2);
    }
}

#[test]
fn an_address_that_passes_to_another_id_serves_under_that_id_alone() {
    for is_turned in [false, true] {
        let (bed, _service, mut service) = gateway_on_list("");
        let (mut one, other) = (Worker::new(), good_worker());
        service.send(&whole_list(1, vec![listed("w1", one.at, MemberState::Active)]));
        let mut client = FrameClient::new(&bed);
        client.ask(1, "check", "f");
        let (line, attempt, _) = one.next_run();
        one.serves(line, attempt);
        client.is_served(1);
        let mut list =
            vec![listed("w2", one.at, MemberState::Active), listed("w3", other, MemberState::Draining)];
        if is_turned {
            list.reverse();
        }
        service.send(&whole_list(2, list));
        logged_times(&bed, "worker list", 2);
        for number in 2..6 {
            client.ask(number, "post", "f");
            let (line, attempt, _) = one.next_run();
            one.serves(line, attempt);
            client.is_served(number);
        }
        let under = |id: &str| bed.log().matches(&format!(": run worker={id} ")).count();
        assert_eq!((under("w1"), under("w2"), under("w3")), (1, 4, 0));
    }
}

#[test]
fn a_worker_that_moves_to_another_address_gets_nothing_new_at_the_old_one() {
    let (bed, _service, mut service) = gateway_on_list("");
    let (mut old, mut new) = (Worker::new(), Worker::new());
    service.send(&whole_list(1, vec![listed("w", old.at, MemberState::Active)]));
    let mut client = FrameClient::new(&bed);
    client.ask(1, "check", "f");
    let (line, attempt, _) = old.next_run();
    old.serves(line, attempt);
    client.is_served(1);
    service.send(&whole_list(2, vec![listed("w", new.at, MemberState::Active)]));
    logged_times(&bed, "worker list", 2);
    client.ask(2, "check", "f");
    let (line, attempt, _) = new.next_run();
    new.serves(line, attempt);
    client.is_served(2);
}

#[test]
fn the_same_call_again_while_its_first_attempt_is_out_is_an_attempt_of_its_own() {
    let mut worker = Worker::new();
    let bed = Bed::new(&[worker.at]);
    let mut client = FrameClient::new(&bed);
    let mut again = FrameClient::new(&bed);
    client.ask(1, "check", "f");
    let (line, first, _) = worker.next_run();
    client.cancel(1);
    bed.logged("call canceled");
    again.ask(1, "check", "f");
    let (second_line, second, _) = worker.next_run();
    worker.ran(line, first, Ending::Ok, b"first");
    worker.ran(second_line, second, Ending::Ok, b"second");
    let (number, _, _, body) = again.answer();
    assert_eq!((number, body.as_slice()), (1, b"second".as_slice()));
}

// The list.

#[test]
fn after_hup_a_list_that_only_the_new_service_tells_is_taken() {
    for is_connected in [true, false] {
        let (one, two) = (good_worker(), good_worker());
        let (old, old_at) = listener();
        let (new, new_at) = listener();
        let list = |at| format!("list = [\"{at}\"]");
        let bed = Bed::with(&[one], &list(old_at), "list_retry = ms(50)");
        let mut service = followed(&old);
        if !is_connected {
            drop((service, old));
            bed.logged("the list service can't be reached");
        } else {
            service.send(&whole_list(1, vec![listed("w1", one, MemberState::Active)]));
            bed.logged("worker list");
        }
        settings(bed.folder.path(), &[one], &list(new_at), "list_retry = ms(50)");
        bed.gateway.signal("HUP").unwrap();
        bed.logged("new settings are in force");
        let mut service = followed(&new);
        service.send(&whole_list(7, vec![listed("w2", two, MemberState::Active)]));
        bed.logged("version=7");
        let mut client = FrameClient::new(&bed);
        client.ask(1, "post", "f");
        client.is_served(1);
        bed.logged(": run worker=w2 ");
    }
}

#[test]
fn a_first_list_service_that_hup_names_is_followed() {
    let one = good_worker();
    let (service, at) = listener();
    let bed = Bed::new(&[one]);
    settings(bed.folder.path(), &[one], &format!("list = [\"{at}\"]"), "");
    bed.gateway.signal("HUP").unwrap();
    bed.logged("new settings are in force");
    let mut service = followed(&service);
    service.send(&whole_list(3, vec![listed("w2", good_worker(), MemberState::Active)]));
    bed.logged("version=3");
}

#[test]
fn a_list_service_that_ends_with_half_a_list_changes_nothing_and_the_next_is_asked() {
    let one = good_worker();
    let (first, first_at) = listener();
    let (second, second_at) = listener();
    let list = format!("list = [\"{first_at}\", \"{second_at}\"]");
    let bed = Bed::with(&[], &list, "list_retry = ms(50)");
    let mut service = followed(&first);
    service.send(&whole_list(1, vec![listed("w1", one, MemberState::Active)]));
    bed.logged("worker list");
    let mut cut = Vec::new();
    encode(&whole_list(2, vec![listed("w2", nobody(), MemberState::Active)]), &mut cut);
    service.send_bytes(&cut[..cut.len() - 3]);
    drop(service);
    let mut service = followed(&second);
    let mut client = FrameClient::new(&bed);
    client.ask(1, "post", "f");
    client.is_served(1);
    assert_eq!(bed.log().matches("worker list").count(), 1);
    service.send(&whole_list(3, vec![listed("w3", good_worker(), MemberState::Active)]));
    bed.logged("version=3");
    client.ask(2, "post", "f");
    client.is_served(2);
    bed.logged(": run worker=w3 ");
}

#[test]
fn out_of_descriptors_with_idle_clients_the_list_and_its_workers_are_still_reached() {
    // Nobody listens there until later.
    let (reserved, list_at) = listener();
    drop(reserved);
    let folder = tempfile::tempdir().unwrap();
    let more = format!("list = [\"{list_at}\"], holders = 0");
    let file = settings(folder.path(), &[], &more, "list_retry = ms(50)");
    let script = format!("ulimit -n 128; exec {EXE} --log debug gateway {}", file.display());
    let bed = Bed::of(folder, Path::new("/bin/sh"), &["-c", &script]);
    let mut first = FrameClient::new(&bed);
    first.ask(1, "check", "f");
    // The idle ones are more than there are descriptors: some wait in the kernel.
    let crowd: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(bed.gateway.main).unwrap()).collect();
    bed.logged("all places are taken");
    let service = TcpListener::bind(list_at).unwrap();
    let mut service = followed(&service);
    let workers = (0..10).map(|n| listed(&format!("w{n}"), good_worker(), MemberState::Active));
    service.send(&whole_list(1, workers.collect()));
    first.is_served(1);
    for number in 2..40 {
        first.send(&call(number, "post", &format!("f{number}"), 5_000));
        first.is_served(number);
    }
    drop(crowd);
}

// What is unread at the end of a connection of HTTP.

#[test]
fn requests_behind_one_that_closes_its_connection_are_passed_over_without_a_reset() {
    let bed = Bed::new(&[good_worker()]);
    let mut http = bed.http();
    let last = invoke("check", "f").replacen("\r\nhost", "\r\nconnection: close\r\nhost", 1);
    let mut all = last.into_bytes();
    (0..400).for_each(|_| all.extend_from_slice(invoke("check", "f").as_bytes()));
    http.write_all(&all).unwrap();
    assert_eq!(response(&mut http), Some((200, "out".to_owned())));
    let mut rest = Vec::new();
    assert!(http.read_to_end(&mut rest).is_ok(), "an end in good order");
}
