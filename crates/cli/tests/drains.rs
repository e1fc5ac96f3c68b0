//! News of a drain that comes late, is lost, or crosses work that is on its way: nothing new may reach a host once the
//! grace after the news is over, whatever kept the gateway from reading it. See docs/CROSSINGS.md, "Drains".
//!
//! The directory counts an event as told when an answer that holds it is sent, and 1.5 s after it happened at the
//! latest; the grace in the settings of these tests is 1 s.

mod peers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use peers::{Client, Directory, Do, Host, Node, Played, config, good, host, invokes, request};

/// An event counts as told by then, and the grace after it is over.
const KEPT_AFTER: Duration = Duration::from_millis(2_700);

/// So many answers in a row that say the same are believed.
const AGREEING: usize = 3;

const PRIORITY_READY: u16 = 0;
const PRIORITY_DRAINING: u16 = 1;

fn id(number: u32) -> String {
    format!("{number:016x}")
}

/// What a silent directory would have told counts as told, and the grace after it is over.
const KEPT_IN_SILENCE_AFTER: Duration = Duration::from_millis(5_700);

/// Two hosts, a directory that knows both, and the configuration of a gateway before them.
struct Fleet {
    hosts: Vec<(&'static str, Host)>,
    /// Each host drains, and says so when it is asked.
    draining: Vec<Arc<AtomicBool>>,
    directory: Directory,
}

/// A host that answers probes, and serves on while it drains.
fn probed_host(draining: &Arc<AtomicBool>) -> Host {
    let draining = draining.clone();
    host(move |word, before| match word {
        "alive" if draining.load(Ordering::SeqCst) => Do::Answer("DOWN", "-", b""),
        "alive" => Do::Answer("UP", "-", b""),
        _ => good(word, before),
    })
}

impl Fleet {
    fn new() -> Self {
        let draining = vec![Arc::default(), Arc::default()];
        let hosts = vec![("s-1", probed_host(&draining[0])), ("s-2", probed_host(&draining[1]))];
        let fleet = Self { hosts, draining, directory: Directory::new(1) };
        fleet.tell_draining(1, None);
        fleet
    }

    /// The configuration of a gateway that may probe hosts.
    fn probing(&self) -> String {
        // Connections stand through the silences of these tests.
        let more = "\"cancel\":true,\"probes\":true,\"idle_close\":60000000";
        self.config().replace("\"cancel\":true", more)
    }

    /// The directory says nothing from now on, and after it a host begins to drain.
    fn drain_in_silence(&self, host: usize) {
        self.directory.answers_each(0);
        std::thread::sleep(Duration::from_millis(100));
        self.draining[host].store(true, Ordering::SeqCst);
    }

    fn config(&self) -> String {
        let listed: Vec<_> = self.hosts.iter().map(|(id, host)| ((*id).to_owned(), host.at)).collect();
        config(&listed, self.directory.at, "load")
    }

    /// The directory knows, from now on, that this host drains.
    fn tell_draining(&self, serial: u32, draining: Option<usize>) {
        self.directory.tell(serial, &self.listed(draining));
    }

    /// Both hosts, of which this one drains.
    fn listed(&self, draining: Option<usize>) -> Vec<(&'static str, SocketAddr, u16)> {
        let priority = |number| if Some(number) == draining { PRIORITY_DRAINING } else { PRIORITY_READY };
        let hosts = self.hosts.iter().enumerate();
        hosts.map(|(number, (id, host))| (*id, host.at, priority(number))).collect()
    }

    /// The next so many answers are a list of the gateway's former life, under the number it had then: both hosts serve.
    fn answer_stale(&self, times: usize, serial: u32) {
        self.directory.answer_stale(times, serial, &self.listed(None));
    }

    /// A gateway of which an earlier process was told lists up to number 3; numbers begin anew with the next process.
    fn restarted(&self, config: &str) -> Node {
        let mut former = Node::with(config);
        self.tell_draining(3, None);
        former.logged("list serial=3");
        former.child.kill().unwrap();
        former.child.wait().unwrap();
        self.tell_draining(1, None);
        Node::with(config)
    }

    /// Has a request served, and gives the number of the host that served it: its function is there from now on.
    fn home(&self, client: &mut Client, number: u32) -> usize {
        let before = self.invokes();
        client.ask_as(number, &id(number), "check", "3000");
        assert_eq!(client.answer(), (number, 0));
        let after = self.invokes();
        (0..self.hosts.len()).find(|host| after[*host] > before[*host]).expect("a host that served it")
    }

    /// Has requests 2 to 5 served, none of them by the host that drains.
    fn served_without(&self, draining: usize, client: &mut Client) {
        let before = self.invokes();
        for number in 2..=5 {
            client.ask_as(number, &id(number), "check", "3000");
            assert_eq!(client.answer(), (number, 0), "the other host serves it");
        }
        let after = self.invokes();
        assert_eq!(after[draining], before[draining], "sent to a host past the grace of its drain");
    }

    /// Has functions served until a connection stands to each host.
    fn reach_all(&self, client: &mut Client) {
        for number in 100..200 {
            let function = format!("{number:016x}");
            client.send(&request(number, &id(number), "check", "3000", &function, b"in"));
            assert_eq!(client.answer(), (number, 0));
            if self.invokes().iter().all(|invokes| *invokes > 0) {
                return;
            }
        }
        panic!("one host gets nothing: {:?}", self.invokes());
    }

    fn invokes(&self) -> Vec<usize> {
        self.hosts.iter().map(|(_, host)| invokes(host)).collect()
    }
}

#[test]
fn a_gateway_that_stood_still_sends_nothing_to_a_host_that_drained_meanwhile() {
    let fleet = Fleet::new();
    let node = Node::with(&fleet.config());
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    node.freeze();
    let before = fleet.invokes();
    fleet.tell_draining(2, Some(home));
    client.ask_as(2, &id(2), "check", "5000");
    std::thread::sleep(KEPT_AFTER);
    node.wake();
    assert_eq!(client.answer(), (2, 0), "the other host serves it");
    assert_eq!(fleet.invokes()[home], before[home], "sent to a host past the grace of its drain");
}

#[test]
fn what_was_begun_in_a_long_turn_does_not_leave_for_a_host_that_drained_meanwhile() {
    let fleet = Fleet::new();
    let (node, log) = Node::piped(&fleet.config());
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    // Half of what the pipe holds, then a turn whose log is longer than the rest: the process stands in the middle of
    // it, with requests begun that have not left.
    log.read(false);
    for _ in 0..250 {
        client.ask_as(99, &id(99), "no-such-class", "5000");
        assert_eq!(client.answer(), (99, 8));
    }
    node.freeze();
    let mut others: Vec<Client> = (0..20).map(|_| node.client()).collect();
    for (n, other) in others.iter_mut().enumerate() {
        let first = 1_000 + 100 * n as u32;
        let all = (1..=32).flat_map(|m| request(m, &id(first + m), "check", "5000", peers::F, b"in"));
        other.send(&all.collect::<Vec<u8>>());
    }
    let before = fleet.invokes();
    node.wake();
    std::thread::sleep(Duration::from_millis(300));
    fleet.tell_draining(2, Some(home));
    std::thread::sleep(KEPT_AFTER);
    log.read(true);
    for other in &mut others {
        (0..32).for_each(|_| _ = other.answer());
    }
    assert_eq!(fleet.invokes()[home], before[home], "sent to a host past the grace of its drain");
}

#[test]
fn a_drain_is_kept_to_though_the_directory_answers_late() {
    let fleet = Fleet::new();
    // Slower than any event may stay untold: 1.5 s.
    fleet.directory.answers_after(Duration::from_secs(2));
    let node = Node::with(&fleet.config());
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    fleet.tell_draining(2, Some(home));
    std::thread::sleep(KEPT_AFTER);
    fleet.served_without(home, &mut client);
}

#[test]
fn while_the_directory_is_silent_hosts_are_asked_and_one_that_drains_gets_nothing_new() {
    let fleet = Fleet::new();
    let node = Node::with(&fleet.probing());
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    fleet.drain_in_silence(home);
    std::thread::sleep(KEPT_IN_SILENCE_AFTER);
    let before = fleet.invokes();
    fleet.served_without(home, &mut client);
    // The directory comes back, with a list that does not know it yet, and then with one that names it anew.
    fleet.directory.answers_each(usize::MAX);
    node.logged("the directory answers again");
    client.ask_as(6, &id(6), "check", "3000");
    assert_eq!(client.answer(), (6, 0));
    assert_eq!(fleet.invokes()[home], before[home], "its own word is newer than the list");
}

#[test]
fn what_is_sent_instead_of_something_taken_back_is_asked_about_as_well() {
    let fleet = Fleet::new();
    let node = Node::with(&fleet.probing());
    let mut client = node.client();
    fleet.reach_all(&mut client);
    fleet.drain_in_silence(0);
    fleet.drain_in_silence(1);
    std::thread::sleep(KEPT_IN_SILENCE_AFTER);
    let before = fleet.invokes();
    for number in 2..=5 {
        client.ask_as(number, &id(number), "check", "2000");
        let (stream, code) = client.answer();
        assert!(stream == number && code != 0, "all hosts drain: {code}");
    }
    assert_eq!(fleet.invokes(), before, "sent to a host that would have said that it drains");
}

#[test]
fn after_a_standstill_a_slow_directory_is_not_taken_for_a_silent_one() {
    let fleet = Fleet::new();
    let node = Node::with(&fleet.probing());
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    node.freeze();
    fleet.draining[home].store(true, Ordering::SeqCst);
    fleet.tell_draining(2, Some(home));
    fleet.directory.answers_after(Duration::from_millis(1_000));
    std::thread::sleep(KEPT_AFTER);
    let before = fleet.invokes();
    client.ask_as(2, &id(2), "check", "5000");
    node.wake();
    assert_eq!(client.answer(), (2, 0), "the other host says that it serves");
    assert_eq!(fleet.invokes()[home], before[home], "sent to a host past the grace of its drain");
}

#[test]
fn a_host_that_says_it_drains_is_used_again_once_a_later_list_says_otherwise() {
    let fleet = Fleet::new();
    let node = Node::with(&fleet.probing());
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    fleet.drain_in_silence(home);
    std::thread::sleep(KEPT_IN_SILENCE_AFTER);
    client.ask_as(2, &id(2), "check", "3000");
    assert_eq!(client.answer(), (2, 0));
    fleet.directory.answers_each(usize::MAX);
    node.logged("the directory answers again");
    // A list as of 1.5 s after its word knows what happened before it.
    std::thread::sleep(Duration::from_secs(2));
    let before = fleet.invokes();
    fleet.draining[1 - home].store(true, Ordering::SeqCst);
    fleet.tell_draining(2, Some(1 - home));
    node.logged("list serial=2");
    client.ask_as(3, &id(3), "check", "3000");
    assert_eq!(client.answer(), (3, 0));
    assert_eq!(fleet.invokes()[home], before[home] + 1);
}

#[test]
fn where_hosts_may_not_be_asked_those_known_last_serve_while_the_directory_is_silent() {
    let fleet = Fleet::new();
    let node = Node::with(&fleet.config());
    let mut client = node.client();
    fleet.home(&mut client, 1);
    fleet.directory.answers_each(0);
    std::thread::sleep(KEPT_IN_SILENCE_AFTER);
    client.ask_as(2, &id(2), "check", "3000");
    assert_eq!(client.answer(), (2, 0));
    let probes =
        |host: &Host| host.seen.lock().unwrap().iter().filter(|seen| seen.starts_with("alive")).count();
    assert_eq!(
        fleet.hosts.iter().map(|(_, host)| probes(host)).sum::<usize>(),
        0,
        "settings allow no probes"
    );
}

#[test]
fn an_answer_of_the_former_directory_that_crosses_a_reload_still_tells() {
    let fleet = Fleet::new();
    let silent = Directory::new(1);
    let node = Node::with(&fleet.config());
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    fleet.directory.answers_after(Duration::from_millis(700));
    fleet.tell_draining(2, Some(home));
    // Asked by now, and the answer is on its way.
    std::thread::sleep(Duration::from_millis(350));
    node.configure(&fleet.config().replace(&fleet.directory.at.to_string(), &silent.at.to_string()));
    node.signal("-HUP");
    node.logged("another directory");
    node.logged("list serial=2");
    let before = fleet.invokes();
    client.ask_as(2, &id(2), "check", "3000");
    assert_eq!(client.answer(), (2, 0));
    assert_eq!(fleet.invokes()[home], before[home], "sent to a host of whose drain it was told");
}

/// The number behind a name in the fields of a command.
fn field(command: &[String], name: &str) -> u64 {
    let mut fields = command[2].split(',').filter_map(|field| field.split_once('='));
    fields.find(|(n, _)| *n == name).and_then(|(_, value)| value.parse().ok()).expect("the field")
}

#[test]
fn what_came_while_the_process_stood_still_has_the_time_that_is_left() {
    const STANDS: u64 = 1_000;
    let (mut one, directory) = (Played::new(), Directory::new(1));
    let node = Node::with(&config(&[("s-1".to_owned(), one.at)], directory.at, "load"));
    let mut client = node.client();
    client.ask_as(1, &id(1), "check", "3000");
    let (line, command) = one.next_of("invoke");
    one.answer(line, &command[1], "OK", "-", b"out");
    assert_eq!(client.answer(), (1, 0));
    node.freeze();
    client.ask_as(2, &id(2), "check", &(STANDS / 2).to_string());
    client.ask_as(3, &id(3), "check", &(2 * STANDS).to_string());
    std::thread::sleep(Duration::from_millis(STANDS));
    node.wake();
    // One whose time is over is answered at once, and not sent; the other has half of its time, and 0.15 s of slack.
    assert_eq!(client.answer(), (2, 8));
    let (line, command) = one.next_of("invoke");
    assert_eq!(command[1], id(3));
    assert!(field(&command, "patience") <= STANDS + 150, "{command:?}");
    one.answer(line, &command[1], "OK", "-", b"out");
    assert_eq!(client.answer(), (3, 0));
}

#[test]
fn a_request_that_waits_for_its_connection_names_the_time_that_is_left_then() {
    const WAITS: u64 = 600;
    let (mut one, directory) = (Played::slow(), Directory::new(1));
    let roomy = config(&[("s-1".to_owned(), one.at)], directory.at, "load")
        .replace("\"memory_mb\":64", "\"memory_mb\":256")
        .replace("\"sockets\":256", "\"sockets\":26");
    let node = Node::with(&roomy);
    let mut client = node.client();
    // The host reads nothing, and its one connection is full of the requests before.
    one.deaf = true;
    const BEFORE: u32 = 25;
    for number in 1..=BEFORE {
        client.send(&request(number, &id(number), "check", "5000", peers::F, &[7; 16 << 10]));
    }
    // Not repeatable, so that its attempt has all of the client's time.
    client.ask_as(BEFORE + 1, &id(BEFORE + 1), "post", "5000");
    node.logged(&format!("run id={}", id(BEFORE + 1)));
    std::thread::sleep(Duration::from_millis(WAITS));
    one.deaf = false;
    loop {
        let (_, command) = one.next_of("invoke");
        if command[1] == id(BEFORE + 1) {
            return assert!(field(&command, "patience") <= 5_000 - WAITS + 150, "{command:?}");
        }
    }
}

#[test]
fn a_list_of_the_former_life_under_a_higher_number_hides_no_drain() {
    let fleet = Fleet::new();
    let node = fleet.restarted(&fleet.config());
    fleet.answer_stale(1, 3);
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    fleet.directory.gave_stale();
    fleet.tell_draining(2, Some(home));
    std::thread::sleep(KEPT_AFTER);
    fleet.served_without(home, &mut client);
}

#[test]
fn a_list_of_the_former_life_under_the_next_number_hides_no_drain() {
    let fleet = Fleet::new();
    let node = fleet.restarted(&fleet.config());
    fleet.answer_stale(1, 2);
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    fleet.directory.gave_stale();
    fleet.tell_draining(2, Some(home));
    std::thread::sleep(KEPT_AFTER);
    fleet.served_without(home, &mut client);
}

#[test]
fn a_host_that_drains_is_not_brought_back_by_old_lists_twice_in_a_row() {
    let fleet = Fleet::new();
    let node = fleet.restarted(&fleet.config());
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    fleet.tell_draining(2, Some(home));
    node.logged("list serial=2");
    std::thread::sleep(KEPT_AFTER);
    // From here on nothing but the old lists is heard.
    fleet.directory.answer_stale_then_nothing(AGREEING - 1, 3, &fleet.listed(None));
    fleet.directory.gave_stale();
    std::thread::sleep(Duration::from_millis(100));
    fleet.served_without(home, &mut client);
}

#[test]
fn old_lists_of_two_former_lives_hide_no_drain() {
    let fleet = Fleet::new();
    let mut node = fleet.restarted(&fleet.config());
    node.child.kill().unwrap();
    node.child.wait().unwrap();
    node = fleet.restarted(&fleet.config());
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    fleet.tell_draining(2, Some(home));
    fleet.answer_stale(1, 5);
    fleet.answer_stale(1, 3);
    fleet.directory.gave_stale();
    std::thread::sleep(KEPT_AFTER);
    fleet.served_without(home, &mut client);
    node.logged("answers agree again");
}

#[test]
fn an_old_list_that_a_directory_named_by_a_reload_gives_first_hides_no_drain() {
    let fleet = Fleet::new();
    let node = fleet.restarted(&fleet.config());
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    let other = Directory::new(1);
    other.answer_stale(1, 3, &fleet.listed(None));
    other.tell(2, &fleet.listed(Some(home)));
    node.configure(&fleet.config().replace(&fleet.directory.at.to_string(), &other.at.to_string()));
    node.signal("-HUP");
    other.gave_stale();
    std::thread::sleep(KEPT_AFTER);
    fleet.served_without(home, &mut client);
}

#[test]
fn an_old_list_without_the_present_hosts_costs_no_request() {
    let fleet = Fleet::new();
    let node = fleet.restarted(&fleet.config());
    let mut client = node.client();
    fleet.home(&mut client, 1);
    let gone = [("s-0", SocketAddr::from(([127, 0, 0, 1], 1)), PRIORITY_READY)];
    for times in 1..=4 {
        fleet.directory.answer_stale(1, 3, &gone);
        node.logged_times("an answer contradicts the list", times);
        let number = times as u32 + 1;
        client.ask_as(number, &id(number), "check", "3000");
        assert_eq!(client.answer(), (number, 0), "it waits until answers agree");
        node.logged_times("answers agree again", times);
    }
}

/// Both hosts are disputed by an old list, and nothing more is heard.
fn disputed_in_silence(fleet: &Fleet, config: &str) -> (Node, Client) {
    let node = fleet.restarted(config);
    let mut client = node.client();
    fleet.home(&mut client, 1);
    let gone = [("s-0", SocketAddr::from(([127, 0, 0, 1], 1)), PRIORITY_READY)];
    fleet.directory.answer_stale_then_nothing(AGREEING - 1, 3, &gone);
    fleet.directory.gave_stale();
    node.logged("the directory is silent");
    (node, client)
}

#[test]
fn hosts_that_an_old_list_right_before_a_silence_disputes_are_asked_themselves() {
    let fleet = Fleet::new();
    let (_node, mut client) = disputed_in_silence(&fleet, &fleet.probing());
    client.ask_as(2, &id(2), "check", "3000");
    assert_eq!(client.answer(), (2, 0), "a host says that it serves");
    fleet.draining.iter().for_each(|draining| draining.store(true, Ordering::SeqCst));
    // A host's word counts as long as a list does.
    std::thread::sleep(KEPT_AFTER);
    let before = fleet.invokes();
    client.ask_as(3, &id(3), "check", "2000");
    assert_ne!(client.answer().1, 0, "both say that they drain");
    assert_eq!(fleet.invokes(), before);
}

#[test]
fn where_hosts_may_not_be_asked_a_disputed_one_gets_nothing_until_answers_agree() {
    let fleet = Fleet::new();
    let (node, mut client) = disputed_in_silence(&fleet, &fleet.config());
    let before = fleet.invokes();
    client.ask_as(2, &id(2), "check", "1000");
    assert_ne!(client.answer().1, 0, "no host is called ready by all answers");
    assert_eq!(fleet.invokes(), before);
    fleet.directory.answers_each(usize::MAX);
    node.logged("answers agree again");
    client.ask_as(3, &id(3), "check", "3000");
    assert_eq!(client.answer(), (3, 0));
}

#[test]
fn a_reload_takes_no_list_and_no_number_from_its_file() {
    let fleet = Fleet::new();
    let node = Node::with(&fleet.config());
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    // The file of a later start: other hosts, and a number far ahead.
    let gone = [("s-0".to_owned(), SocketAddr::from(([127, 0, 0, 1], 1)))];
    let other = Directory::new(1);
    other.tell(1, &fleet.listed(None));
    let later = config(&gone, other.at, "load").replace("\"pos\":1", "\"pos\":9");
    node.configure(&later);
    node.signal("-HUP");
    node.logged("another directory");
    client.ask_as(2, &id(2), "check", "3000");
    assert_eq!(client.answer(), (2, 0), "the hosts stay");
    other.tell(2, &fleet.listed(Some(home)));
    node.logged("list serial=2");
    fleet.served_without(home, &mut client);
}

#[test]
fn what_an_answer_told_that_was_lost_right_before_a_standstill_is_kept_to() {
    let fleet = Fleet::new();
    let node = Node::with(&fleet.config());
    let mut client = node.client();
    let home = fleet.home(&mut client, 1);
    // At least one answer with the drain is sent and lost, and fewer than would be a silence.
    fleet.directory.answers_each(0);
    fleet.tell_draining(2, Some(home));
    std::thread::sleep(Duration::from_millis(230));
    node.freeze();
    std::thread::sleep(Duration::from_millis(1_300));
    let before = fleet.invokes();
    client.ask_as(2, &id(2), "check", "5000");
    fleet.directory.answers_each(usize::MAX);
    node.wake();
    assert_eq!(client.answer(), (2, 0), "the other host serves it");
    assert_eq!(fleet.invokes()[home], before[home], "sent to a host past the grace of its drain");
}
