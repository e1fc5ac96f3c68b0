//! News of a drain that comes late, is lost, or crosses work that is on its way: nothing new may reach a host once the
//! grace after the news is over, whatever kept the gateway from reading it. See docs/CROSSINGS.md, "Drains".
//!
//! The directory counts an event as told when an answer that holds it is sent, and 1.5 s after it happened at the
//! latest; the grace in the settings of these tests is 1 s.

mod peers;

use std::time::Duration;

use peers::{Client, Directory, Host, Node, config, good, host, invokes, request};

/// An event counts as told by then, and the grace after it is over.
const KEPT_AFTER: Duration = Duration::from_millis(2_700);

const PRIORITY_READY: u16 = 0;
const PRIORITY_DRAINING: u16 = 1;

fn id(number: u32) -> String {
    format!("{number:016x}")
}

/// Two hosts, a directory that knows both, and the configuration of a gateway before them.
struct Fleet {
    hosts: Vec<(&'static str, Host)>,
    directory: Directory,
}

impl Fleet {
    fn new() -> Self {
        let fleet =
            Self { hosts: vec![("s-1", host(good)), ("s-2", host(good))], directory: Directory::new(1) };
        fleet.tell_draining(1, None);
        fleet
    }

    fn config(&self) -> String {
        let listed: Vec<_> = self.hosts.iter().map(|(id, host)| ((*id).to_owned(), host.at)).collect();
        config(&listed, self.directory.at, "load")
    }

    /// The directory knows, from now on, that this host drains.
    fn tell_draining(&self, serial: u32, draining: Option<usize>) {
        let priority = |number| if Some(number) == draining { PRIORITY_DRAINING } else { PRIORITY_READY };
        let hosts = self.hosts.iter().enumerate();
        let listed: Vec<_> = hosts.map(|(number, (id, host))| (*id, host.at, priority(number))).collect();
        self.directory.tell(serial, &listed);
    }

    /// Has a request served, and gives the number of the host that served it: its function is there from now on.
    fn home(&self, client: &mut Client, number: u32) -> usize {
        let before = self.invokes();
        client.ask_as(number, &id(number), "check", "3000");
        assert_eq!(client.answer(), (number, 0));
        let after = self.invokes();
        (0..self.hosts.len()).find(|host| after[*host] > before[*host]).expect("a host that served it")
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
    let before = fleet.invokes();
    for number in 2..=5 {
        client.ask_as(number, &id(number), "check", "3000");
        assert_eq!(client.answer(), (number, 0), "the other host serves it");
    }
    assert_eq!(fleet.invokes()[home], before[home], "sent to a host past the grace of its drain");
}
