//! Shifts between versions over sockets: splits, kills, deferred calls, lying workers, operators at odds.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use common::*;
use cresswheel_protocol::{Ending, FunctionProfile, Message, Origin};
use cresswheel_rehearsal::{Client, Process};
use cresswheel_versions::{
    Compare, Guard, OrderKind, Plan, Record, Share, ShareOverride, Side, Status, Step, VersionReply,
    VersionRequest, point,
};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

/// Gateways with a state folder each, over the same workers.
struct Fleet {
    folder: tempfile::TempDir,
    gateways: Vec<Process>,
    workers: Vec<Process>,
}

impl Fleet {
    /// `miss`: loads only by order.
    fn new(gateways: usize, workers: usize, miss: bool) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut fleet = Self { folder, gateways: Vec::new(), workers: Vec::new() };
        for n in 0..workers {
            let mut args = vec!["worker", "--listen", "127.0.0.1:0", "--warm"];
            args.extend(miss.then_some("--miss"));
            fleet.workers.push(fleet.process(&args, &format!("worker-{n}")));
        }
        let workers: Vec<SocketAddr> = fleet.workers.iter().map(|worker| worker.main).collect();
        for n in 0..gateways {
            fleet.settings(n, &workers, "127.0.0.1:0", if miss { "miss" } else { "load" }, gateways);
            let gateway = fleet.gateway(n);
            fleet.gateways.push(gateway);
        }
        fleet
    }

    fn process(&self, args: &[&str], name: &str) -> Process {
        let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
        Process::start(Path::new(EXE), &args, &self.folder.path().join(format!("{name}.log"))).unwrap()
    }

    fn file(&self, n: usize) -> PathBuf {
        self.folder.path().join(format!("gateway-{n}.star"))
    }

    fn settings(&self, n: usize, workers: &[SocketAddr], listen: &str, absent: &str, gateways: usize) {
        let state = self.folder.path().join(format!("state-{n}"));
        let mut script = format!(
            "gateway(name = \"g{n}\", listen = \"{listen}\", http = \"127.0.0.1:0\", answer_margin = ms(20), state = {state:?})\n\
             call_class(name = \"check\", aim = ms(600), give_up = s(5), effect = \"safe\")\n\
             call_class(name = \"post\", aim = ms(600), give_up = s(5), effect = \"unsafe\")\n\
             fleet(gateways = {gateways}, when_absent = {absent:?}, keep_alive = s(10))\nversions(open = True)\n"
        );
        for at in workers {
            script += &format!("worker(address = \"{at}\")\n");
        }
        std::fs::write(self.file(n), script).unwrap();
    }

    fn gateway(&self, n: usize) -> Process {
        let file = self.file(n);
        self.process(&["--log", "debug", "gateway", file.to_str().unwrap()], &format!("gateway-{n}"))
    }

    /// Kills a gateway with -9 and starts it again where it was.
    fn again(&mut self, n: usize) {
        let at = self.gateways[n].main;
        self.gateways[n].kill();
        let script = std::fs::read_to_string(self.file(n)).unwrap();
        let script = script.replacen("listen = \"127.0.0.1:0\"", &format!("listen = \"{at}\""), 1);
        std::fs::write(self.file(n), script).unwrap();
        self.gateways[n] = self.gateway(n);
    }

    fn client(&self, n: usize) -> Client {
        Client::connect(self.gateways[n].main, "test").unwrap()
    }

    fn order(&self, record: &Record) {
        for n in 0..self.gateways.len() {
            order(&mut self.client(n), record);
        }
    }

    fn status(&self, n: usize) -> Status {
        status(&mut self.client(n))
    }

    /// Waits until this holds at a gateway.
    fn until(&self, n: usize, what: &str, holds: impl Fn(&Status) -> bool) {
        let mut client = self.client(n);
        let end = Instant::now() + PATIENCE;
        loop {
            let status = status(&mut client);
            if holds(&status) {
                return;
            }
            assert!(Instant::now() < end, "never {what}: {status:?}");
            std::thread::sleep(std::time::Duration::from_millis(10));
        }
    }

    fn tool(&self, args: &[&str]) -> Command {
        let mut command = Command::new(EXE);
        command.arg("versions").args(args).args(["--by", "test", "--every", "50"]);
        self.gateways.iter().for_each(|g| _ = command.arg("--gateway").arg(g.main.to_string()));
        command
    }

    fn run(&self, args: &[&str]) -> Output {
        self.tool(args).output().unwrap()
    }

    fn fault(&self, worker: usize, words: &str) {
        let at = self.workers[worker].main.to_string();
        let done = Command::new(EXE).args(["fault", &at, words]).output().unwrap();
        assert!(done.status.success(), "{words}: {done:?}");
    }
}

fn ask(client: &mut Client, question: &VersionRequest) -> VersionReply {
    let json = serde_json::to_vec(question).unwrap();
    client.send(&Message::Versions { number: 77, key: String::new(), json }).unwrap();
    loop {
        match client.receive_within(PATIENCE).unwrap() {
            Message::Versioned { number: 77, json } => return serde_json::from_slice(&json).unwrap(),
            Message::Answer { .. } | Message::Accepted { .. } => {}
            other => panic!("{other:?}"),
        }
    }
}

fn order(client: &mut Client, record: &Record) -> Status {
    match ask(client, &VersionRequest::Order(Box::new(record.clone()))) {
        VersionReply::Status(mut statuses) => statuses.remove(0),
        other => panic!("{other:?}"),
    }
}

fn status(client: &mut Client) -> Status {
    match ask(client, &VersionRequest::Status(Some("f".into()))) {
        VersionReply::Status(mut statuses) => statuses.remove(0),
        other => panic!("{other:?}"),
    }
}

fn plan(shares: &[u16]) -> Plan {
    let step = |share: &u16| Step { share: Share::new(*share).unwrap(), hold: 0 };
    Plan {
        steps: shares.iter().map(step).collect(),
        guard: Guard::new(vec!["check".into(), "post".into()]),
        keep_old: S,
        ..Plan::new("f", "1", "2", [11, 12])
    }
}

fn start(plan: Plan) -> Record {
    Record::start(plan, None, 1, 1, "test", "").unwrap()
}

fn then(record: &Record, kind: OrderKind, id: u64) -> Record {
    record.next(kind, id, 1, "test", "").unwrap()
}

fn about(number: u64, class: &str, account: &str, deferred: bool) -> Message {
    Message::Call {
        number,
        deferred,
        function: "f".into(),
        class: class.into(),
        tenant: String::new(),
        key: String::new(),
        trace: format!("t{number}"),
        time_left: 4_000 * MS,
        shape: FunctionProfile { memory_mb: 10, lanes: 1_000, load_time: 20 * MS, work: 100 },
        body: b"in".to_vec(),
        account: Some(account.into()),
    }
}

/// The next answer: its number, status, reason and what ran.
fn answered(client: &mut Client) -> (u64, String, String, Origin) {
    loop {
        match client.receive_within(PATIENCE).unwrap() {
            Message::Answer { number, status, reason, origin, .. } => {
                let none = Origin { function: String::new(), digest: String::new() };
                return (number, status.as_str().into(), reason, origin.unwrap_or(none));
            }
            Message::Accepted { .. } => {}
            other => panic!("{other:?}"),
        }
    }
}

/// Calls about so many accounts, spread over the gateways; how many each version served. Each answer must name the
/// version that the account's point stands for.
fn calls(fleet: &Fleet, share: u16, accounts: u64) -> [u64; 2] {
    let plan = plan(&[share.max(1)]);
    let share = Share::new(share).unwrap();
    let mut served = [0, 0];
    for n in 0..fleet.gateways.len() as u64 {
        let mut client = fleet.client(n as usize);
        let numbers: Vec<u64> =
            (0..accounts).filter(|number| number % fleet.gateways.len() as u64 == n).collect();
        for some in numbers.chunks(200) {
            some.iter().for_each(|number| {
                client.send(&about(*number, "check", &format!("a{number}"), false)).unwrap()
            });
            for _ in some {
                let (number, status, reason, origin) = answered(&mut client);
                assert_eq!((status.as_str(), reason.as_str()), ("served", ""));
                let new = share.includes(point(plan.salt, &format!("a{number}")));
                let side = if new { Side::New } else { Side::Old };
                assert_eq!(origin.function, plan.routed_name(side));
                assert_eq!(origin.digest, cresswheel_standins::digest(&origin.function));
                served[usize::from(new)] += 1;
            }
        }
    }
    served
}

#[test]
fn three_gateways_shift_from_one_to_a_hundred_percent_and_back() {
    let mut fleet = Fleet::new(3, 2, false);
    let mut record = start(plan(&[100, 2_500, 10_000]));
    for (at, share) in [100, 2_500, 10_000].into_iter().enumerate() {
        if at > 0 {
            record = then(&record, OrderKind::Widen, at as u64 + 1);
        }
        fleet.order(&record);
        let accounts = 3_000;
        let [old, new] = calls(&fleet, share, accounts);
        // Five standard deviations of a binomial count: chance goes beyond that once in two million.
        let (n, p) = (accounts as f64, f64::from(share) / 1e4);
        let off = (new as f64 - n * p).abs();
        assert!(off <= 5.0 * (n * p * (1.0 - p)).sqrt(), "{new} of {n} at {share}");
        assert_eq!(old + new, accounts);
        // A gateway that was killed goes on at the present step, without a word from anybody.
        fleet.again(at);
        let status = fleet.status(at);
        assert_eq!(
            (status.record.precedence(), status.share.ten_thousandths()),
            (record.precedence(), share)
        );
    }
    record = then(&record, OrderKind::RollBack, 9);
    fleet.order(&record);
    assert_eq!(calls(&fleet, 0, 300), [300, 0]);
    fleet.again(1);
    assert_eq!(calls(&fleet, 0, 300), [300, 0], "a rollback outlives a kill");
    let said = String::from_utf8(fleet.run(&["history", "f"]).stdout).unwrap();
    let kinds: Vec<&str> = said.lines().map(|line| line.split([' ', ':']).nth(2).unwrap()).collect();
    assert_eq!(kinds, ["start", "widen", "widen", "rollback"], "{said}");
}

#[test]
fn a_deferred_call_in_flight_and_a_load_under_way_keep_their_version_through_a_rollback() {
    let (listener, at) = listener();
    let mut fleet = Fleet::new(0, 0, false);
    fleet.settings(0, &[at], "127.0.0.1:0", "miss", 1);
    let gateway = fleet.gateway(0);
    fleet.gateways.push(gateway);
    let record = start(plan(&[10_000]));
    let mut client = fleet.client(0);
    order(&mut client, &record);
    client.send(&about(1, "post", "a", true)).unwrap();
    let Message::Accepted { id, .. } = client.receive_within(PATIENCE).unwrap() else {
        panic!("not accepted")
    };
    let mut played = Played::accept(&listener);
    // The call waits for a load of the new version, or is there already; the rollback comes meanwhile.
    let (mut hold, mut run) = (None, None);
    while run.is_none() && hold.is_none() {
        match played.next().unwrap() {
            Message::Hold { order, function, .. } if function == "f@2" => hold = Some(order),
            Message::Run { attempt, function, .. } => run = Some((attempt, function)),
            _ => {}
        }
    }
    order(&mut client, &then(&record, OrderKind::RollBack, 2));
    if let Some(order) = hold {
        played.send(&Message::Held { order, ending: Ending::Ok, standing: 1 });
    }
    let mut next = |run: Option<(u64, String)>| {
        run.unwrap_or_else(|| {
            loop {
                match played.next().unwrap() {
                    Message::Run { attempt, function, .. } => break (attempt, function),
                    Message::Hold { order, .. } => {
                        played.send(&Message::Held { order, ending: Ending::Ok, standing: 1 });
                    }
                    _ => {}
                }
            }
        })
    };
    let (first, function) = next(run);
    assert_eq!(function, "f@2", "the version of its arrival");
    // It provably never ran, and goes again: as the same version, though that has no calls any more.
    let never =
        |attempt, origin| Message::Ran { attempt, ending: Ending::Miss, crowd: 0, body: vec![], origin };
    played.send(&never(first, None));
    let mut next = || loop {
        match played.next().unwrap() {
            Message::Run { attempt, function, trace, .. } => break (attempt, function, trace),
            Message::Hold { order, .. } => {
                played.send(&Message::Held { order, ending: Ending::Ok, standing: 1 });
            }
            _ => {}
        }
    };
    let (second, function, trace) = next();
    assert_eq!((function.as_str(), trace.as_str()), ("f@2", "t1"));
    client.send(&about(2, "post", "a", false)).unwrap();
    let (other, function, trace) = next();
    assert_eq!((function.as_str(), trace.as_str()), ("f@1", "t2"), "a call that came after");
    let origin = |function: &str| Some(Origin { function: function.into(), digest: "d".into() });
    for (attempt, function) in [(second, "f@2"), (other, "f@1")] {
        let (ending, body) = (Ending::Ok, b"out".to_vec());
        played.send(&Message::Ran { attempt, ending, crowd: 0, body, origin: origin(function) });
    }
    let (number, status, _, origin) = answered(&mut client);
    assert_eq!((number, status.as_str(), origin.function.as_str()), (2, "served", "f@1"));
    client.send(&Message::Await { number: 3, id, wait: 4 * S }).unwrap();
    let (number, status, _, origin) = answered(&mut client);
    assert_eq!((number, status.as_str(), origin.function.as_str()), (3, "served", "f@2"));
}

#[test]
fn a_worker_that_runs_the_old_version_under_the_new_name_is_found_out() {
    let fleet = Fleet::new(1, 1, false);
    let digest = cresswheel_standins::digest("f@2");
    let record = start(Plan { new_digest: digest.clone(), ..plan(&[10_000]) });
    fleet.order(&record);
    let mut client = fleet.client(0);
    client.send(&about(1, "post", "a", false)).unwrap();
    let (_, status, _, origin) = answered(&mut client);
    assert_eq!((status.as_str(), &origin.digest), ("served", &digest));
    fleet.fault(0, "swap f@2 f@1 60000");
    client.send(&about(2, "post", "a", false)).unwrap();
    let (number, status, reason, origin) = answered(&mut client);
    // It may have run something: it is not tried again, and its answer is not given out as the new version's.
    assert_eq!((number, status.as_str(), reason.as_str()), (2, "failed", "wrong-version"));
    assert_eq!(origin, Origin { function: "f@2".into(), digest: String::new() });
    let status = fleet.status(0);
    assert_eq!((status.wrong, status.answers["post"][1].errors), (1, 1));
    let told = &status.ran["f@2"];
    assert_eq!(told.get(&cresswheel_standins::digest("f@1")), Some(&1), "{told:?}");
}

#[test]
fn a_rollback_finds_the_old_version_dropped_everywhere_and_has_it_loaded() {
    let fleet = Fleet::new(1, 2, true);
    let record = start(plan(&[10_000]));
    fleet.order(&record);
    let mut client = fleet.client(0);
    client.send(&about(1, "check", "a", false)).unwrap();
    assert_eq!(answered(&mut client).3.function, "f@2");
    (0..2).for_each(|worker| fleet.fault(worker, "flush"));
    fleet.order(&then(&record, OrderKind::RollBack, 2));
    client.send(&about(2, "post", "a", false)).unwrap();
    let (_, status, _, origin) = answered(&mut client);
    assert_eq!((status.as_str(), origin.function.as_str()), ("served", "f@1"));
}

#[test]
fn a_version_that_does_not_exist_gets_no_call() {
    let mut fleet = Fleet::new(0, 0, true);
    let store = fleet.process(&["store", "--listen", "127.0.0.1:0"], "store");
    let told = Command::new(EXE).args(["fault", &store.main.to_string(), "absent f@2"]).output().unwrap();
    assert!(told.status.success(), "{told:?}");
    let at = store.main.to_string();
    let args = ["worker", "--listen", "127.0.0.1:0", "--warm", "--miss", "--store", &at];
    let worker = fleet.process(&args, "worker-0");
    fleet.settings(0, &[worker.main], "127.0.0.1:0", "miss", 1);
    let gateway = fleet.gateway(0);
    fleet.gateways.push(gateway);
    fleet.workers.push(worker);
    fleet.order(&start(Plan { preload: 60 * S, ..plan(&[10_000]) }));
    let mut client = fleet.client(0);
    // Orders for loads are earned by calls.
    for number in 0..20 {
        client.send(&about(number, "check", "a", false)).unwrap();
        assert_eq!(answered(&mut client).3.function, "f@1");
    }
    fleet.until(0, "found that loads fail", |status| status.hold == Some(ShareOverride::LoadsFail));
    client.send(&about(99, "post", "a", false)).unwrap();
    assert_eq!(answered(&mut client).3.function, "f@1");
}

#[test]
fn a_gateway_cut_off_goes_back_by_itself_and_comes_back_to_the_present_step() {
    let fleet = Fleet::new(2, 1, false);
    let record = start(Plan { lease: 600 * MS, ..plan(&[10_000]) });
    fleet.order(&record);
    let mut client = fleet.client(0);
    client.send(&about(1, "check", "a", false)).unwrap();
    assert_eq!(answered(&mut client).3.function, "f@2");
    fleet.until(0, "lapsed", |status| status.hold == Some(ShareOverride::Lapsed));
    client.send(&about(2, "check", "a", false)).unwrap();
    assert_eq!(answered(&mut client).3.function, "f@1");
    let VersionReply::Status(said) =
        ask(&mut client, &VersionRequest::Renew("f".into(), record.precedence()))
    else {
        panic!()
    };
    assert_eq!((said[0].share, &said[0].hold), (Share::ALL, &None));
    // A rollback that reaches one only: the other holds for its lease, frozen meanwhile, and then goes back.
    ask(&mut fleet.client(1), &VersionRequest::Renew("f".into(), record.precedence()));
    fleet.gateways[1].signal("STOP").unwrap();
    order(&mut client, &then(&record, OrderKind::RollBack, 2));
    fleet.gateways[1].signal("CONT").unwrap();
    fleet.until(1, "lapsed", |status| {
        status.hold == Some(ShareOverride::Lapsed) && status.share == Share::NONE
    });
}

#[test]
fn operators_who_order_opposite_things_end_with_one_order_everywhere() {
    let fleet = Fleet::new(3, 1, false);
    for round in 0..5u64 {
        let before = if round == 0 { None } else { Some(fleet.status(0).record) };
        let record = Record::start(plan(&[5_000]), before.as_ref(), round, 1, "test", "").unwrap();
        fleet.order(&record);
        let both =
            [fleet.tool(&["promote", "f"]).spawn().unwrap(), fleet.tool(&["rollback", "f"]).spawn().unwrap()];
        for mut tool in both {
            assert!(tool.wait().unwrap().code().is_some_and(|code| code <= 1));
        }
        let marks: Vec<_> = (0..3).map(|n| fleet.status(n).record.precedence()).collect();
        assert!(marks.iter().all(|mark| *mark == marks[0]), "{marks:?}");
        // Whoever was overruled may repeat; a rollback is possible from either end.
        let back = fleet.run(&["rollback", "f"]);
        assert!(back.status.success(), "{back:?}");
        let again = fleet.run(&["rollback", "f"]);
        assert!(again.status.success(), "safe to repeat: {again:?}");
        assert!((0..3).all(|n| fleet.status(n).share == Share::NONE));
    }
}

struct Stops<'a>(&'a AtomicBool);

impl Drop for Stops<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn plan_file(fleet: &Fleet, text: &str) -> String {
    let file = fleet.folder.path().join("plan.star");
    std::fs::write(&file, text).unwrap();
    file.display().to_string()
}

#[test]
fn the_tool_conducts_a_plan_and_rolls_a_bad_version_back() {
    let fleet = Fleet::new(2, 1, false);
    let file = plan_file(
        &fleet,
        "shift(function = \"f\", old = \"1\", new = \"2\", stick = \"account\", lease = s(20), preload = ms(100))\n\
         step(share = percent(50), hold = ms(300))\nstep(share = percent(100), hold = ms(300))\n\
         guard(classes = [\"check\"], least = 20)\n",
    );
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        // Also when an assertion fails: the callers would go on for ever.
        let _stops = Stops(&stop);
        // Both gateways are called all the while.
        for n in 0..2 {
            let (fleet, stop) = (&fleet, &stop);
            scope.spawn(move || {
                let mut client = fleet.client(n);
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    client.send(&about(number, "check", &format!("a{number}"), false)).unwrap();
                    answered(&mut client);
                    std::thread::sleep(std::time::Duration::from_millis(2));
                }
            });
        }
        let good = fleet.run(&["start", &file]);
        let said = String::from_utf8(good.stdout).unwrap();
        assert_eq!(good.status.code(), Some(0), "{said}");
        assert!(said.contains("epoch 3 promote: f@1 to f@2, promoted by plan"), "{said}");
        // Not again from here: the function runs version 2 now.
        let again = fleet.run(&["start", &file]);
        assert!(String::from_utf8_lossy(&again.stderr).contains("f runs version \"2\""), "{again:?}");
        fleet.fault(0, "bad-version 3 0.8 60000");
        let text =
            std::fs::read_to_string(&file).unwrap().replace("\"2\"", "\"3\"").replace("\"1\"", "\"2\"");
        let bad = fleet.run(&["start", &plan_file(&fleet, &text)]);
        let said = String::from_utf8(bad.stdout).unwrap();
        assert_eq!(bad.status.code(), Some(1), "{said}");
        // Told by the sums, or by a gateway's own figures if those came first.
        let why = said.split("rolled back by guard: ").nth(1).expect("by the guard");
        assert!(why.lines().next().unwrap().contains("check: more errors than the old version's"), "{said}");
    });
    let shares: BTreeMap<String, Share> =
        (0..2).map(|n| fleet.status(n)).map(|status| (status.gateway, status.share)).collect();
    assert!(shares.values().all(|share| *share == Share::NONE), "{shares:?}");
}

#[test]
fn wrong_plans_are_named_with_their_place_and_start_nothing() {
    let fleet = Fleet::new(1, 1, false);
    let sound = "shift(function = \"f\", old = \"1\", new = \"2\")\nstep(share = percent(1), hold = s(1))\nguard(classes = [\"check\"])\n";
    let cases = [
        (
            sound.replace("percent(1)", "percent(101)"),
            ":2:6: share = percent(101): a share such as percent(1)",
        ),
        (sound.replace("percent(1)", "1"), ":2:6: share = 1: a share such as percent(1)"),
        (
            sound.replace("percent(1)", "percent(0.005)"),
            ":2:14: percent(0.005): shares go in steps of 0.01 percent",
        ),
        (sound.replace("s(1)", "1"), ":2:26: hold = 1: a time such as ms(600) or s(5) is wanted"),
        (sound.replace(", hold = s(1)", ""), ":2:1: step: hold is missing"),
        (sound.replace("share = percent(1), ", ""), ":2:1: step: share is missing"),
        (sound.replace("new = \"2\"", "new = \"1\""), ":1:1: old and new are both \"1\""),
        (sound.replace("[\"check\"]", "[]"), ":1:1: the guard names no class"),
        (sound.replace("guard(classes = [\"check\"])", ""), ":1:1: there is no guard(...)"),
        (format!("{sound}step(share = percent(1), hold = s(1))\n"), ":4:1: steps[1]: 1% comes after 1%"),
        (format!("{sound}fleet(gateways = 1)\n"), ":4:1: fleet(...) belongs in a gateway's settings"),
        (sound.replace("new =", "knew ="), ":1:34: shift: unknown name knew = \"2\"; did you mean new?"),
    ];
    for (text, words) in cases {
        let done = fleet.run(&["start", &plan_file(&fleet, &text)]);
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!(done.status.code(), Some(2), "{said}");
        assert!(said.contains(words), "{words}\n{said}");
    }
    assert!(
        matches!(ask(&mut fleet.client(0), &VersionRequest::Status(None)), VersionReply::Status(all) if all.is_empty())
    );
    let none = fleet.run(&["rollback", "f"]);
    assert!(String::from_utf8_lossy(&none.stderr).contains("no gateway has a plan for f"), "{none:?}");
}

#[test]
fn orders_need_the_key_and_a_gateway_that_takes_them() {
    let bed = Bed::new(&[nobody()]);
    let json = serde_json::to_vec(&VersionRequest::Status(None)).unwrap();
    let reply = |client: &mut Client, key: &str, json: Vec<u8>| {
        client.send(&Message::Versions { number: 1, key: key.into(), json }).unwrap();
        match client.receive_within(PATIENCE).unwrap() {
            Message::Versioned { json, .. } => serde_json::from_slice::<VersionReply>(&json).unwrap(),
            other => panic!("{other:?}"),
        }
    };
    let refused = |reply: VersionReply| match reply {
        VersionReply::Refused(why) => why,
        other => panic!("{other:?}"),
    };
    assert!(refused(reply(&mut bed.client(), "", json.clone())).contains("takes no version orders"));

    let fleet = Fleet::new(0, 0, false);
    let key = fleet.folder.path().join("key");
    std::fs::write(&key, "0123456789abcdef\n").unwrap();
    fleet.settings(0, &[nobody()], "127.0.0.1:0", "load", 1);
    let script = std::fs::read_to_string(fleet.file(0)).unwrap();
    let keyed = format!("versions(key_file = {:?})", key.display().to_string());
    std::fs::write(fleet.file(0), script.replace("versions(open = True)", &keyed)).unwrap();
    let gateway = fleet.gateway(0);
    let mut client = Client::connect(gateway.main, "test").unwrap();
    for wrong in ["", "0123456789abcdeF", "0123456789abcde", "0123456789abcdef0"] {
        assert!(refused(reply(&mut client, wrong, json.clone())).contains("order key"), "{wrong:?}");
    }
    assert_eq!(reply(&mut client, "0123456789abcdef", json), VersionReply::Status(vec![]));
    let garbage = refused(reply(&mut client, "0123456789abcdef", b"{\"order\": 5}".to_vec()));
    assert!(garbage.starts_with("not understood: "), "{garbage}");
    let status = Command::new(EXE)
        .args(["versions", "status", "--gateway", &gateway.main.to_string(), "--key-file"])
        .arg(&key)
        .output()
        .unwrap();
    assert!(status.status.success(), "{status:?}");
}

#[test]
fn a_damaged_store_is_named_and_the_gateway_does_not_start_without_its_orders() {
    let mut fleet = Fleet::new(1, 1, false);
    fleet.order(&start(plan(&[10_000])));
    fleet.gateways[0].kill();
    let path = fleet.folder.path().join("state-0/versions.redb");
    std::fs::write(&path, vec![7; 5_000]).unwrap();
    let done = Command::new(EXE).arg("gateway").arg(fleet.file(0)).output().unwrap();
    let said = String::from_utf8_lossy(&done.stderr).into_owned();
    assert_eq!(done.status.code(), Some(1), "{said}");
    assert!(said.contains("versions.redb: "), "{said}");
    fleet.gateways.clear();
}

#[test]
fn answers_of_both_versions_to_the_same_calls_are_compared() {
    let (listener, at) = listener();
    let mut fleet = Fleet::new(0, 0, false);
    fleet.settings(0, &[at], "127.0.0.1:0", "load", 1);
    let gateway = fleet.gateway(0);
    fleet.gateways.push(gateway);
    let mut plan = plan(&[10_000]);
    plan.guard.compare = Some(Compare { share: Share::ALL, differ: 0.01, within: 0.01 });
    let mut client = fleet.client(0);
    order(&mut client, &start(plan));
    let worker = std::thread::spawn(move || {
        let mut played = Played::accept(&listener);
        let mut ran = BTreeMap::new();
        while let Some(message) = played.next() {
            let Message::Run { attempt, function, trace, .. } = message else { continue };
            let number: u64 = trace.trim_start_matches('t').trim_end_matches("~twin").parse().unwrap();
            // Every third answer of the new version is far off, the others a little.
            let value = match (function.as_str(), number % 3) {
                ("f@1", _) => "100",
                (_, 0) => "250",
                _ => "100.4",
            };
            *ran.entry(function.clone()).or_insert(0) += 1;
            let origin = Some(Origin { function, digest: "d".into() });
            let (ending, body) = (Ending::Ok, format!("{{\"due\": {value}}}").into_bytes());
            played.send(&Message::Ran { attempt, ending, crowd: 0, body, origin });
        }
        ran
    });
    for number in 1..=30 {
        client.send(&about(number, "check", "a", false)).unwrap();
        let (answered, status, _, origin) = answered(&mut client);
        assert_eq!((answered, status.as_str(), origin.function.as_str()), (number, "served", "f@2"));
    }
    // A post never has a twin.
    client.send(&about(31, "post", "a", false)).unwrap();
    answered(&mut client);
    fleet.until(0, "compared all", |status| status.compared == [30, 10]);
    let status = fleet.status(0);
    assert_eq!(status.answers["check"][0].answered, 0, "twins are nobody's answers");
    assert_eq!(status.answers["check"][1].answered, 30);
    fleet.gateways.clear();
    let ran = worker.join().unwrap();
    assert_eq!((ran["f@2"], ran["f@1"]), (31, 30));
}
