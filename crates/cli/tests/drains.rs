//! Notice of a drain that arrives late, is lost, or crosses work that is in flight: nothing new may reach a
//! host once the grace period after the notice is over, whatever kept the gateway from reading it. See
//! docs/CROSSINGS.md, "Drains".
//!
//! The directory counts a gateway as notified of an event when an answer that contains it is sent, and at the
//! latest 1.5 s after the event. The drain grace in the settings of these tests is 1 s.

mod peers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use peers::{
    Client, Directory, Gateway, Host, HostAction, ManualHost, answer_ok, config, invoke_count, request_frame,
    start_host,
};

/// The gateway counts as notified by then, and the grace period after that is over.
const AFTER_DRAIN_GRACE: Duration = Duration::from_millis(2_700);

/// This many consecutive answers that agree are trusted.
const AGREEING_ANSWERS: usize = 3;

const PRIORITY_READY: u16 = 0;
const PRIORITY_DRAINING: u16 = 1;

fn id(number: u32) -> String {
    format!("{number:016x}")
}

/// The gateway counts as notified of what a silent directory didn't report, and the grace period after that
/// is over.
const AFTER_SILENCE_GRACE: Duration = Duration::from_millis(5_700);

/// Two hosts, a directory that lists both, and the configuration of a gateway in front of them.
struct Fleet {
    hosts: Vec<(&'static str, Host)>,
    /// Set while the host drains; it reports that to probes.
    draining: Vec<Arc<AtomicBool>>,
    directory: Directory,
}

/// A host that answers probes, and still serves while it drains.
fn probed_host(draining: &Arc<AtomicBool>) -> Host {
    let draining = draining.clone();
    start_host(move |name, before| match name {
        "alive" if draining.load(Ordering::SeqCst) => HostAction::Answer("DOWN", "-", b""),
        "alive" => HostAction::Answer("UP", "-", b""),
        _ => answer_ok(name, before),
    })
}

impl Fleet {
    fn new() -> Self {
        let draining = vec![Arc::default(), Arc::default()];
        let hosts = vec![("s-1", probed_host(&draining[0])), ("s-2", probed_host(&draining[1]))];
        let fleet = Self { hosts, draining, directory: Directory::new(1) };
        fleet.set_draining(1, None);
        fleet
    }

    /// The configuration of a gateway that may probe hosts.
    fn config_with_probes(&self) -> String {
        // Connections have to stay open while the directory is silent.
        let more = "\"cancel\":true,\"probes\":true,\"idle_close\":60000000";
        self.config().replace("\"cancel\":true", more)
    }

    /// Silences the directory, and starts the drain of a host after that.
    fn drain_in_silence(&self, host: usize) {
        self.directory.limit_answers_per_address(0);
        std::thread::sleep(Duration::from_millis(100));
        self.draining[host].store(true, Ordering::SeqCst);
    }

    fn config(&self) -> String {
        let listed: Vec<_> = self.hosts.iter().map(|(id, host)| ((*id).to_owned(), host.address)).collect();
        config(&listed, self.directory.address, "load")
    }

    /// From now on the directory lists this host as draining.
    fn set_draining(&self, serial: u32, draining: Option<usize>) {
        self.directory.set_hosts(serial, &self.listed(draining));
    }

    /// Both hosts, of which this one drains.
    fn listed(&self, draining: Option<usize>) -> Vec<(&'static str, SocketAddr, u16)> {
        let priority = |number| if Some(number) == draining { PRIORITY_DRAINING } else { PRIORITY_READY };
        let hosts = self.hosts.iter().enumerate();
        hosts.map(|(number, (id, host))| (*id, host.address, priority(number))).collect()
    }

    /// The next `times` answers are a list that an earlier gateway process was sent, with its serial from
    /// then; it has both hosts ready.
    fn queue_stale_answers(&self, times: usize, serial: u32) {
        self.directory.queue_stale_answers(times, serial, &self.listed(None));
    }

    /// Starts a gateway whose previous process was sent lists up to serial 3. Serials start again with the
    /// new process.
    fn restarted(&self, config: &str) -> Gateway {
        let mut previous = Gateway::with_config(config);
        self.set_draining(3, None);
        previous.wait_for_log("list serial=3");
        previous.child.kill().unwrap();
        previous.child.wait().unwrap();
        self.set_draining(1, None);
        Gateway::with_config(config)
    }

    /// Has a request served, and returns the index of the host that served it, which has the function loaded
    /// from then on.
    fn serving_host(&self, client: &mut Client, number: u32) -> usize {
        let before = self.invoke_counts();
        client.send_request_with_id(number, &id(number), "check", "3000");
        assert_eq!(client.next_answer(), (number, 0));
        let after = self.invoke_counts();
        (0..self.hosts.len()).find(|host| after[*host] > before[*host]).expect("a host that served it")
    }

    /// Has requests 2 to 5 served, and checks that the draining host serves none of them.
    fn assert_served_without(&self, draining: usize, client: &mut Client) {
        let before = self.invoke_counts();
        for number in 2..=5 {
            client.send_request_with_id(number, &id(number), "check", "3000");
            assert_eq!(client.next_answer(), (number, 0), "the other host serves it");
        }
        let after = self.invoke_counts();
        assert_eq!(after[draining], before[draining], "sent to a host after its drain grace");
    }

    /// Has requests for new functions served until every host has a connection.
    fn connect_to_all(&self, client: &mut Client) {
        for number in 100..200 {
            let function = format!("{number:016x}");
            client.send_bytes(&request_frame(number, &id(number), "check", "3000", &function, b"in"));
            assert_eq!(client.next_answer(), (number, 0));
            if self.invoke_counts().iter().all(|invokes| *invokes > 0) {
                return;
            }
        }
        panic!("one host got nothing: {:?}", self.invoke_counts());
    }

    fn invoke_counts(&self) -> Vec<usize> {
        self.hosts.iter().map(|(_, host)| invoke_count(host)).collect()
    }
}

#[test]
fn a_paused_gateway_sends_nothing_to_a_host_that_drained_meanwhile() {
    let fleet = Fleet::new();
    let gateway = Gateway::with_config(&fleet.config());
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    gateway.pause();
    let before = fleet.invoke_counts();
    fleet.set_draining(2, Some(serving));
    client.send_request_with_id(2, &id(2), "check", "5000");
    std::thread::sleep(AFTER_DRAIN_GRACE);
    gateway.resume();
    assert_eq!(client.next_answer(), (2, 0), "the other host serves it");
    assert_eq!(fleet.invoke_counts()[serving], before[serving], "sent to a host after its drain grace");
}

#[test]
fn attempts_started_in_a_long_loop_iteration_are_not_sent_to_a_host_that_drained_meanwhile() {
    let fleet = Fleet::new();
    let (gateway, log) = Gateway::with_piped_log(&fleet.config());
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    // Fill half of the log pipe, then cause a loop iteration that logs more than the rest: the process blocks
    // in the middle of it, with attempts started but not sent.
    log.set_reading(false);
    for _ in 0..250 {
        client.send_request_with_id(99, &id(99), "no-such-class", "5000");
        assert_eq!(client.next_answer(), (99, 8));
    }
    gateway.pause();
    let mut others: Vec<Client> = (0..20).map(|_| gateway.connect()).collect();
    for (n, other) in others.iter_mut().enumerate() {
        let first = 1_000 + 100 * n as u32;
        let all =
            (1..=32).flat_map(|m| request_frame(m, &id(first + m), "check", "5000", peers::FUNCTION, b"in"));
        other.send_bytes(&all.collect::<Vec<u8>>());
    }
    let before = fleet.invoke_counts();
    gateway.resume();
    std::thread::sleep(Duration::from_millis(300));
    fleet.set_draining(2, Some(serving));
    std::thread::sleep(AFTER_DRAIN_GRACE);
    log.set_reading(true);
    for other in &mut others {
        (0..32).for_each(|_| _ = other.next_answer());
    }
    assert_eq!(fleet.invoke_counts()[serving], before[serving], "sent to a host after its drain grace");
}

#[test]
fn a_drain_is_respected_when_the_directory_answers_late() {
    let fleet = Fleet::new();
    // Slower than the 1.5 s after which a gateway counts as notified.
    fleet.directory.set_answer_delay(Duration::from_secs(2));
    let gateway = Gateway::with_config(&fleet.config());
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    fleet.set_draining(2, Some(serving));
    std::thread::sleep(AFTER_DRAIN_GRACE);
    fleet.assert_served_without(serving, &mut client);
}

#[test]
fn hosts_are_probed_while_the_directory_is_silent_and_a_draining_one_gets_nothing_new() {
    let fleet = Fleet::new();
    let gateway = Gateway::with_config(&fleet.config_with_probes());
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    fleet.drain_in_silence(serving);
    std::thread::sleep(AFTER_SILENCE_GRACE);
    let before = fleet.invoke_counts();
    fleet.assert_served_without(serving, &mut client);
    // The directory returns with a list that doesn't contain the drain yet.
    fleet.directory.limit_answers_per_address(usize::MAX);
    gateway.wait_for_log("the directory answers again");
    client.send_request_with_id(6, &id(6), "check", "3000");
    assert_eq!(client.next_answer(), (6, 0));
    assert_eq!(
        fleet.invoke_counts()[serving],
        before[serving],
        "the probe answer of the host is newer than the list"
    );
}

#[test]
fn a_host_is_also_probed_for_an_attempt_that_replaces_a_canceled_one() {
    let fleet = Fleet::new();
    let gateway = Gateway::with_config(&fleet.config_with_probes());
    let mut client = gateway.connect();
    fleet.connect_to_all(&mut client);
    fleet.drain_in_silence(0);
    fleet.drain_in_silence(1);
    std::thread::sleep(AFTER_SILENCE_GRACE);
    let before = fleet.invoke_counts();
    for number in 2..=5 {
        client.send_request_with_id(number, &id(number), "check", "2000");
        let (stream, code) = client.next_answer();
        assert!(stream == number && code != 0, "all hosts drain: {code}");
    }
    assert_eq!(fleet.invoke_counts(), before, "sent to a host without a probe");
}

#[test]
fn after_a_pause_a_slow_directory_is_not_treated_as_silent() {
    let fleet = Fleet::new();
    let gateway = Gateway::with_config(&fleet.config_with_probes());
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    gateway.pause();
    fleet.draining[serving].store(true, Ordering::SeqCst);
    fleet.set_draining(2, Some(serving));
    fleet.directory.set_answer_delay(Duration::from_millis(1_000));
    std::thread::sleep(AFTER_DRAIN_GRACE);
    let before = fleet.invoke_counts();
    client.send_request_with_id(2, &id(2), "check", "5000");
    gateway.resume();
    assert_eq!(client.next_answer(), (2, 0), "the other host reports that it is ready");
    assert_eq!(fleet.invoke_counts()[serving], before[serving], "sent to a host after its drain grace");
}

#[test]
fn a_host_that_reports_draining_is_used_again_once_a_later_list_says_it_is_ready() {
    let fleet = Fleet::new();
    let gateway = Gateway::with_config(&fleet.config_with_probes());
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    fleet.drain_in_silence(serving);
    std::thread::sleep(AFTER_SILENCE_GRACE);
    client.send_request_with_id(2, &id(2), "check", "3000");
    assert_eq!(client.next_answer(), (2, 0));
    fleet.directory.limit_answers_per_address(usize::MAX);
    gateway.wait_for_log("the directory answers again");
    // A list generated 1.5 s after the host's probe answer contains everything that happened before that
    // answer.
    std::thread::sleep(Duration::from_secs(2));
    let before = fleet.invoke_counts();
    fleet.draining[1 - serving].store(true, Ordering::SeqCst);
    fleet.set_draining(2, Some(1 - serving));
    gateway.wait_for_log("list serial=2");
    client.send_request_with_id(3, &id(3), "check", "3000");
    assert_eq!(client.next_answer(), (3, 0));
    assert_eq!(fleet.invoke_counts()[serving], before[serving] + 1);
}

#[test]
fn without_probes_the_last_known_hosts_serve_while_the_directory_is_silent() {
    let fleet = Fleet::new();
    let gateway = Gateway::with_config(&fleet.config());
    let mut client = gateway.connect();
    fleet.serving_host(&mut client, 1);
    fleet.directory.limit_answers_per_address(0);
    std::thread::sleep(AFTER_SILENCE_GRACE);
    client.send_request_with_id(2, &id(2), "check", "3000");
    assert_eq!(client.next_answer(), (2, 0));
    let probes = |host: &Host| {
        host.commands.lock().unwrap().iter().filter(|command| command.starts_with("alive")).count()
    };
    assert_eq!(
        fleet.hosts.iter().map(|(_, host)| probes(host)).sum::<usize>(),
        0,
        "the settings allow no probes"
    );
}

#[test]
fn an_answer_of_the_previous_directory_that_crosses_a_reload_still_counts() {
    let fleet = Fleet::new();
    let silent = Directory::new(1);
    let gateway = Gateway::with_config(&fleet.config());
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    fleet.directory.set_answer_delay(Duration::from_millis(700));
    fleet.set_draining(2, Some(serving));
    // By now the query was sent, and its answer is in flight.
    std::thread::sleep(Duration::from_millis(350));
    gateway.write_config(
        &fleet.config().replace(&fleet.directory.address.to_string(), &silent.address.to_string()),
    );
    gateway.signal("-HUP");
    gateway.wait_for_log("another directory");
    gateway.wait_for_log("list serial=2");
    let before = fleet.invoke_counts();
    client.send_request_with_id(2, &id(2), "check", "3000");
    assert_eq!(client.next_answer(), (2, 0));
    assert_eq!(
        fleet.invoke_counts()[serving],
        before[serving],
        "sent to a host although its drain was known"
    );
}

/// The number of a named field of a command.
fn field(command: &[String], name: &str) -> u64 {
    let mut fields = command[2].split(',').filter_map(|field| field.split_once('='));
    fields.find(|(n, _)| *n == name).and_then(|(_, value)| value.parse().ok()).expect("the field")
}

#[test]
fn requests_that_arrive_during_a_pause_get_only_their_remaining_time() {
    const PAUSE_MS: u64 = 1_000;
    let (mut host, directory) = (ManualHost::new(), Directory::new(1));
    let gateway =
        Gateway::with_config(&config(&[("s-1".to_owned(), host.address)], directory.address, "load"));
    let mut client = gateway.connect();
    client.send_request_with_id(1, &id(1), "check", "3000");
    let (connection, command) = host.next_command_named("invoke");
    host.send_answer(connection, &command[1], "OK", "-", b"out");
    assert_eq!(client.next_answer(), (1, 0));
    gateway.pause();
    client.send_request_with_id(2, &id(2), "check", &(PAUSE_MS / 2).to_string());
    client.send_request_with_id(3, &id(3), "check", &(2 * PAUSE_MS).to_string());
    std::thread::sleep(Duration::from_millis(PAUSE_MS));
    gateway.resume();
    // A request whose time has expired is answered at once and not sent; the other has half of its time left,
    // plus 0.15 s of slack.
    assert_eq!(client.next_answer(), (2, 8));
    let (connection, command) = host.next_command_named("invoke");
    assert_eq!(command[1], id(3));
    assert!(field(&command, "patience") <= PAUSE_MS + 150, "{command:?}");
    host.send_answer(connection, &command[1], "OK", "-", b"out");
    assert_eq!(client.next_answer(), (3, 0));
}

#[test]
fn a_request_that_waited_for_its_connection_carries_its_remaining_time() {
    const WAIT_MS: u64 = 600;
    let (mut host, directory) = (ManualHost::with_small_receive_buffer(), Directory::new(1));
    let large_memory_config = config(&[("s-1".to_owned(), host.address)], directory.address, "load")
        .replace("\"memory_mb\":64", "\"memory_mb\":256")
        .replace("\"sockets\":256", "\"sockets\":26");
    let gateway = Gateway::with_config(&large_memory_config);
    let mut client = gateway.connect();
    // The host reads nothing, and its only connection is full of the earlier requests.
    host.accepts_paused = true;
    const QUEUED: u32 = 25;
    for number in 1..=QUEUED {
        client.send_bytes(&request_frame(
            number,
            &id(number),
            "check",
            "5000",
            peers::FUNCTION,
            &[7; 16 << 10],
        ));
    }
    // At most once, so that its attempt gets all of the client's time.
    client.send_request_with_id(QUEUED + 1, &id(QUEUED + 1), "post", "5000");
    gateway.wait_for_log(&format!("run id={}", id(QUEUED + 1)));
    std::thread::sleep(Duration::from_millis(WAIT_MS));
    host.accepts_paused = false;
    loop {
        let (_, command) = host.next_command_named("invoke");
        if command[1] == id(QUEUED + 1) {
            return assert!(field(&command, "patience") <= 5_000 - WAIT_MS + 150, "{command:?}");
        }
    }
}

#[test]
fn a_list_of_the_previous_process_with_a_higher_serial_hides_no_drain() {
    let fleet = Fleet::new();
    let gateway = fleet.restarted(&fleet.config());
    fleet.queue_stale_answers(1, 3);
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    fleet.directory.wait_until_stale_sent();
    fleet.set_draining(2, Some(serving));
    std::thread::sleep(AFTER_DRAIN_GRACE);
    fleet.assert_served_without(serving, &mut client);
}

#[test]
fn a_list_of_the_previous_process_with_the_next_serial_hides_no_drain() {
    let fleet = Fleet::new();
    let gateway = fleet.restarted(&fleet.config());
    fleet.queue_stale_answers(1, 2);
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    fleet.directory.wait_until_stale_sent();
    fleet.set_draining(2, Some(serving));
    std::thread::sleep(AFTER_DRAIN_GRACE);
    fleet.assert_served_without(serving, &mut client);
}

#[test]
fn two_old_lists_in_a_row_do_not_return_a_draining_host_to_service() {
    let fleet = Fleet::new();
    let gateway = fleet.restarted(&fleet.config());
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    fleet.set_draining(2, Some(serving));
    gateway.wait_for_log("list serial=2");
    std::thread::sleep(AFTER_DRAIN_GRACE);
    // From here on the gateway receives only the old lists.
    fleet.directory.queue_stale_answers_then_silence(AGREEING_ANSWERS - 1, 3, &fleet.listed(None));
    fleet.directory.wait_until_stale_sent();
    std::thread::sleep(Duration::from_millis(100));
    fleet.assert_served_without(serving, &mut client);
}

#[test]
fn old_lists_of_two_previous_processes_hide_no_drain() {
    let fleet = Fleet::new();
    let mut gateway = fleet.restarted(&fleet.config());
    gateway.child.kill().unwrap();
    gateway.child.wait().unwrap();
    gateway = fleet.restarted(&fleet.config());
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    fleet.set_draining(2, Some(serving));
    fleet.queue_stale_answers(1, 5);
    fleet.queue_stale_answers(1, 3);
    fleet.directory.wait_until_stale_sent();
    std::thread::sleep(AFTER_DRAIN_GRACE);
    fleet.assert_served_without(serving, &mut client);
    gateway.wait_for_log("answers agree again");
}

#[test]
fn an_old_list_sent_first_by_a_directory_from_a_reload_hides_no_drain() {
    let fleet = Fleet::new();
    let gateway = fleet.restarted(&fleet.config());
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    let other = Directory::new(1);
    other.queue_stale_answers(1, 3, &fleet.listed(None));
    other.set_hosts(2, &fleet.listed(Some(serving)));
    gateway.write_config(
        &fleet.config().replace(&fleet.directory.address.to_string(), &other.address.to_string()),
    );
    gateway.signal("-HUP");
    other.wait_until_stale_sent();
    std::thread::sleep(AFTER_DRAIN_GRACE);
    fleet.assert_served_without(serving, &mut client);
}

#[test]
fn an_old_list_without_the_current_hosts_fails_no_request() {
    let fleet = Fleet::new();
    let gateway = fleet.restarted(&fleet.config());
    let mut client = gateway.connect();
    fleet.serving_host(&mut client, 1);
    let gone = [("s-0", SocketAddr::from(([127, 0, 0, 1], 1)), PRIORITY_READY)];
    for times in 1..=4 {
        fleet.directory.queue_stale_answers(1, 3, &gone);
        gateway.wait_for_log_count("an answer contradicts the list", times);
        let number = times as u32 + 1;
        client.send_request_with_id(number, &id(number), "check", "3000");
        assert_eq!(client.next_answer(), (number, 0), "the request waits until answers agree");
        gateway.wait_for_log_count("answers agree again", times);
    }
}

/// Both hosts are disputed by an old list, and the directory is silent after it.
fn disputed_in_silence(fleet: &Fleet, config: &str) -> (Gateway, Client) {
    let gateway = fleet.restarted(config);
    let mut client = gateway.connect();
    fleet.serving_host(&mut client, 1);
    let gone = [("s-0", SocketAddr::from(([127, 0, 0, 1], 1)), PRIORITY_READY)];
    fleet.directory.queue_stale_answers_then_silence(AGREEING_ANSWERS - 1, 3, &gone);
    fleet.directory.wait_until_stale_sent();
    gateway.wait_for_log("the directory is silent");
    (gateway, client)
}

#[test]
fn hosts_disputed_by_an_old_list_right_before_a_silence_are_probed() {
    let fleet = Fleet::new();
    let (_gateway, mut client) = disputed_in_silence(&fleet, &fleet.config_with_probes());
    client.send_request_with_id(2, &id(2), "check", "3000");
    assert_eq!(client.next_answer(), (2, 0), "a host reports that it is ready");
    fleet.draining.iter().for_each(|draining| draining.store(true, Ordering::SeqCst));
    // A probe answer of a host is valid as long as a list is.
    std::thread::sleep(AFTER_DRAIN_GRACE);
    let before = fleet.invoke_counts();
    client.send_request_with_id(3, &id(3), "check", "2000");
    assert_ne!(client.next_answer().1, 0, "both report that they drain");
    assert_eq!(fleet.invoke_counts(), before);
}

#[test]
fn without_probes_a_disputed_host_gets_nothing_until_answers_agree() {
    let fleet = Fleet::new();
    let (gateway, mut client) = disputed_in_silence(&fleet, &fleet.config());
    let before = fleet.invoke_counts();
    client.send_request_with_id(2, &id(2), "check", "1000");
    assert_ne!(client.next_answer().1, 0, "not all answers list a host as ready");
    assert_eq!(fleet.invoke_counts(), before);
    fleet.directory.limit_answers_per_address(usize::MAX);
    gateway.wait_for_log("answers agree again");
    client.send_request_with_id(3, &id(3), "check", "3000");
    assert_eq!(client.next_answer(), (3, 0));
}

#[test]
fn a_reload_ignores_the_list_and_serial_in_its_file() {
    let fleet = Fleet::new();
    let gateway = Gateway::with_config(&fleet.config());
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    // The file of a later start, with other hosts and a much higher serial.
    let gone = [("s-0".to_owned(), SocketAddr::from(([127, 0, 0, 1], 1)))];
    let other = Directory::new(1);
    other.set_hosts(1, &fleet.listed(None));
    let later_config = config(&gone, other.address, "load").replace("\"pos\":1", "\"pos\":9");
    gateway.write_config(&later_config);
    gateway.signal("-HUP");
    gateway.wait_for_log("another directory");
    client.send_request_with_id(2, &id(2), "check", "3000");
    assert_eq!(client.next_answer(), (2, 0), "the hosts stay");
    other.set_hosts(2, &fleet.listed(Some(serving)));
    gateway.wait_for_log("list serial=2");
    fleet.assert_served_without(serving, &mut client);
}

#[test]
fn a_drain_in_an_answer_lost_right_before_a_pause_is_respected() {
    let fleet = Fleet::new();
    let gateway = Gateway::with_config(&fleet.config());
    let mut client = gateway.connect();
    let serving = fleet.serving_host(&mut client, 1);
    // At least one answer that contains the drain is sent and lost, but fewer than count as a silence.
    fleet.directory.limit_answers_per_address(0);
    fleet.set_draining(2, Some(serving));
    std::thread::sleep(Duration::from_millis(230));
    gateway.pause();
    std::thread::sleep(Duration::from_millis(1_300));
    let before = fleet.invoke_counts();
    client.send_request_with_id(2, &id(2), "check", "5000");
    fleet.directory.limit_answers_per_address(usize::MAX);
    gateway.resume();
    assert_eq!(client.next_answer(), (2, 0), "the other host serves it");
    assert_eq!(fleet.invoke_counts()[serving], before[serving], "sent to a host after its drain grace");
}
