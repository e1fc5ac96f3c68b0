//! What a run writes down, against counts made independently of it.

use std::path::{Path, PathBuf};

use cresswheel_protocol::{ListedWorker, MemberState, Message, Role, encode};
use cresswheel_scale::{Inputs, Report, Traffic, plan, run, set_all};
use cresswheel_settings::ScaleScenario;

const SETTINGS: &str = r#"
gateway(name = "g", listen = "127.0.0.1:0", list = ["127.0.0.1:1"])
call_class(name = "c", aim = ms(600), give_up = s(5), effect = "safe")
fleet(gateways = 1, keep_alive = s(10), when_absent = "load")
"#;

const SCENARIO: &str = r#"
scale(
    settings = "settings.star",
    gateways = 6, workers = 9, functions = 40, instances = 90,
    rate = 120, hot_functions = 4, hot_share = 0.5,
    config_changes_per_hour = 1800, list_changes_per_hour = 3600,
    zones = 3, regions = 2, seconds = 10, seed = 7,
)
"#;

struct Folder(tempfile::TempDir);

impl Folder {
    fn new() -> Self {
        let folder = Self(tempfile::tempdir().unwrap());
        folder.write("settings.star", SETTINGS);
        folder.write("scenario.star", SCENARIO);
        folder
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.path(name), text).unwrap();
    }

    fn scenario(&self) -> ScaleScenario {
        cresswheel_settings::read_scale(&self.path("scenario.star")).unwrap()
    }
}

fn play(scenario: &ScaleScenario) -> Report {
    let settings = cresswheel_settings::read(Path::new(&scenario.settings)).unwrap();
    let estimate = plan(scenario, &settings, None).unwrap().expect("a small size");
    run(Inputs { scenario, settings: &settings, estimate, most_wall_s: 60 }).unwrap()
}

fn bytes(message: &Message) -> u64 {
    let mut out = Vec::new();
    encode(message, &mut out);
    out.len() as u64
}

fn of(by_kind: &std::collections::BTreeMap<String, Traffic>, kind: &str) -> Traffic {
    by_kind.get(kind).copied().unwrap_or_default()
}

#[test]
fn a_small_run_gives_counts_that_an_independent_count_confirms() {
    let folder = Folder::new();
    let report = play(&folder.scenario());
    assert!(report.is_whole(), "{report}");
    let (gateway, workers) = (&report.gateway, &report.workers);
    // 120 calls a second for 10 s: six standard errors of a Poisson count are 208.
    assert!((992..=1_408).contains(&report.calls), "{report}");
    // The clients' count, the messages' and the engines' own.
    assert_eq!(report.answers.values().sum::<u64>(), report.calls);
    assert_eq!(of(&gateway.received, "Call").messages, report.calls);
    assert_eq!(of(&gateway.sent, "Answer").messages, report.calls);
    assert_eq!(gateway.taken, report.calls);
    assert!(report.answers["served"] > report.calls * 9 / 10, "{report}");
    // Attempts: what gateways sent, what workers received, what the engines saw end.
    let sent = of(&gateway.sent, "Run");
    assert_eq!(sent.messages, gateway.attempts_ended + gateway.attempts_open);
    assert_eq!(sent, of(&workers.received, "Run"));
    assert_eq!(of(&workers.sent, "Ran").messages, of(&gateway.received, "Ran").messages);
    assert_eq!(of(&gateway.sent, "Hold").messages, gateway.orders);
    assert_eq!(gateway.costs["call"].events, report.calls);
    for cost in gateway.costs.values().filter(|cost| cost.events > 0) {
        assert!(0 < cost.median_ns && cost.median_ns <= cost.p99_ns, "{cost:?}");
        // Quantiles are told to two digits.
        assert!(cost.p99_ns as f64 <= cost.worst_ns as f64 * 1.02, "{cost:?}");
    }
    // Work of 5 ms in the mean, and ways of a quarter to 35 ms.
    assert!((1_000..200_000).contains(&report.answer_median_us), "{report}");
    assert!(report.answer_p99_us >= report.answer_median_us, "{report}");
    // A change a second from the first half second on, and one in two seconds from the first second on.
    let changes = |what: &str| report.changes.iter().filter(|change| change.what == what).count();
    assert_eq!((changes("list"), changes("settings")), (10, 5));
    assert_eq!(gateway.costs["list change"].events, 10 * 6);
    assert_eq!(gateway.costs["settings"].events, 5 * 6);
    assert_eq!(of(&gateway.received, "List").messages, 10 * 6);
    assert_eq!(of(&gateway.received, "Settings").bytes, 5 * 6 * SETTINGS.len() as u64);
}

/// The entry of a worker, as the page on the scale run tells it.
fn listed(number: usize) -> ListedWorker {
    let zone = number % 3;
    ListedWorker {
        id: format!("worker-{number}"),
        address: format!("10.0.0.{number}:9000"),
        zone: format!("region-{}-zone-{zone}", zone % 2),
        kind: "std".into(),
        cell: 0,
        standing: MemberState::Active,
        started: 0,
    }
}

#[test]
fn bytes_are_those_of_the_main_protocol() {
    let folder = Folder::new();
    let mut scenario = folder.scenario();
    set_all(&mut scenario, &[("rate", 0.001), ("seconds", 1.0), ("config_changes_per_hour", 0.0)]).unwrap();
    let report = play(&scenario);
    let whole = Message::List { whole: true, version: 0, workers: (0..9).map(listed).collect() };
    let sent: u64 = report.startup.sent.iter().map(|sent| of(sent, "List").bytes).sum();
    assert_eq!(sent, 6 * bytes(&whole));
    let hello = |number: usize| {
        let zone = number % 3;
        let zone = format!("region-{}-zone-{zone}", zone % 2);
        bytes(&Message::Hello { role: Role::Gateway, name: format!("gateway-{number}"), zone })
    };
    let received: u64 = report.startup.received.iter().map(|received| of(received, "Hello").bytes).sum();
    assert_eq!(received, (0..6).map(hello).sum::<u64>());
    // One change, at half a second: the first worker drains.
    let change = ListedWorker { standing: MemberState::Draining, ..listed(0) };
    let change = Message::List { whole: false, version: 1, workers: vec![change] };
    assert_eq!(of(&report.gateway.received, "List"), Traffic { messages: 6, bytes: 6 * bytes(&change) });
}

#[test]
fn a_change_reaches_the_last_gateway_after_the_longest_way() {
    let folder = Folder::new();
    let mut scenario = folder.scenario();
    set_all(&mut scenario, &[("rate", 0.001), ("seconds", 1.0), ("config_changes_per_hour", 0.0)]).unwrap();
    // One source, so that half of the gateways are in another region.
    scenario.sources = 1;
    scenario.source_bytes_per_s = 1_000_000;
    let report = play(&scenario);
    let change = ListedWorker { standing: MemberState::Draining, ..listed(0) };
    let change = bytes(&Message::List { whole: false, version: 1, workers: vec![change] });
    // At a megabyte a second a byte takes a microsecond. Gateways are told in turn; the last in the other region is
    // the fifth, zone 1.
    assert_eq!(report.worst_in_force("list"), Some(5 * change + scenario.between_regions));
    assert_eq!(report.changes[0].gateways, 6);
}

#[test]
fn the_same_seed_gives_the_same_run_and_another_one_another() {
    let folder = Folder::new();
    let mut scenario = folder.scenario();
    let counts = |report: &Report| (report.calls, report.answers.clone(), report.gateway.sent.clone());
    let first = counts(&play(&scenario));
    assert_eq!(first, counts(&play(&scenario)));
    set_all(&mut scenario, &[("seed", 8.0)]).unwrap();
    assert_ne!(first, counts(&play(&scenario)));
}

#[test]
fn a_size_that_needs_too_much_memory_is_refused_with_its_figure() {
    let folder = Folder::new();
    let scenario = folder.scenario();
    let settings = cresswheel_settings::read(&scenario.settings).unwrap();
    let refused = plan(&scenario, &settings, Some(1 << 10)).unwrap().expect_err("a kilobyte is too little");
    assert!(refused.0.all > 6 * 100 * 1_024, "six gateways and their workers: {refused}");
    assert!(refused.to_string().contains(" MB of memory"), "{refused}");
}

#[test]
fn a_real_gateway_gets_the_settings_that_the_simulated_ones_have() {
    let folder = Folder::new();
    let more = r#"
call_class(name = "k", aim = ms(900), give_up = s(4), effect = keyed(group = "zone", memory = s(3)), worth = 2.5)
call_class(name = "u", aim = s(1), give_up = s(6), effect = "unsafe", late_worth = 0.3)
tenant(name = "north", quota_per_s = 40)
tenant(name = "south")
cold_start(from_share = 0.15, warm_up = s(18), multiple = 1.5, window = s(2))
ration(window = s(10), free = 4, per_call = 0.3)
"#;
    let fleet = r#"fleet(gateways = 7, keep_alive = s(9.9), when_absent = "miss", may_cancel = False, tells_crowd = False,
    must_follow = True, ask_within = s(3), most_instances = 2, max_attempts = 3, retry_after = True,
    max_retry_after = s(2), over_quota_worth = 0.5, kind_memory = {"std": mb(16000)}, may_duplicate = True)"#;
    let text = SETTINGS.replace("fleet(gateways = 1, keep_alive = s(10), when_absent = \"load\")", fleet);
    folder.write("settings.star", &format!("{text}{more}"));
    let settings = cresswheel_settings::read(&folder.path("settings.star")).unwrap();
    let list = "127.0.0.1:7".parse().unwrap();
    folder.write("real.star", &cresswheel_scale::real::script(&settings, list, 123));
    let real = cresswheel_settings::read(&folder.path("real.star")).unwrap();
    assert_eq!(real.engine.dispatcher, settings.engine.dispatcher);
    assert_eq!((real.list_services, real.engine.admission.open_calls), (vec![list], 123));
}

#[test]
fn a_run_that_may_take_no_time_ends_early_and_says_so() {
    let folder = Folder::new();
    let mut scenario = folder.scenario();
    set_all(&mut scenario, &[("seconds", 86_400.0)]).unwrap();
    let settings = cresswheel_settings::read(&scenario.settings).unwrap();
    let estimate = plan(&scenario, &settings, None).unwrap().expect("a small size");
    let report = run(Inputs { scenario: &scenario, settings: &settings, estimate, most_wall_s: 0 }).unwrap();
    assert!(report.ended_early.as_ref().is_some_and(|why| why.contains("wall time")), "{report}");
    assert!(!report.is_whole());
}
