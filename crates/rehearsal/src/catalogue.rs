//! The ready scenes.

use crate::scene::{ClassSpec, Event, FleetTerms, GatewaySpec, Scene, Timed, Traffic, WorkerSpec};

/// Names of the ready scenes, and what each shows.
pub const SCENES: [(&str, &str); 5] = [
    (
        "month-end",
        "a surge, workers and a gateway killed, a building cut off, lost answers, a drain, a cold return",
    ),
    ("short", "the same kinds of trouble within twenty seconds, for continuous integration"),
    ("wake", "idle connections wake together: through a worker's death, a drain and a gateway's stop"),
    ("shift", "two functions go from version 1 to 2 in steps and back, through faults and kills of gateways"),
    ("quiet", "nothing goes wrong: what the fleet does on a good day"),
];

/// The ready scene of this name.
pub fn scene(name: &str, seed: u64) -> Option<Scene> {
    match name {
        "month-end" => Some(month_end(seed)),
        "short" => Some(short(seed)),
        "wake" => Some(wake(seed)),
        "shift" => Some(shift(seed)),
        "quiet" => {
            let Scene { length_ms, traffic, .. } = short(seed);
            Some(Scene { length_ms, traffic, ..base("quiet", seed, 2, 4) })
        }
        _ => None,
    }
}

fn class(name: &str, share: f64, effect: &str, work_ms: f64) -> ClassSpec {
    ClassSpec {
        name: name.into(),
        share,
        effect: effect.into(),
        aim_ms: 600,
        give_up_ms: 3_000,
        worth: 2.0,
        work_ms,
        functions: 12,
        memory_mb: 500,
        lanes: 4,
        load_ms: 400,
    }
}

fn base(name: &str, seed: u64, gateways: usize, workers: usize) -> Scene {
    let zone = |n: usize| ["block-a", "block-b"][n % 2].to_owned();
    let worker = |n: usize| WorkerSpec {
        zone: zone(n),
        kind: "std".into(),
        cell: (n / 4 * 2 + n % 2) as u64,
        cores: 4,
        memory_mb: 16_000,
    };
    Scene {
        name: name.into(),
        about: SCENES.iter().find(|(n, _)| *n == name).map_or("", |(_, about)| about).into(),
        seed,
        length_ms: 0,
        gateways: (0..gateways).map(|n| GatewaySpec { zone: zone(n), holders: 0 }).collect(),
        workers: (0..workers).map(worker).collect(),
        classes: vec![
            class("balance-check", 0.5, "safe", 25.0),
            ClassSpec { worth: 3.0, aim_ms: 1_200, ..class("charge-estimate", 0.2, "safe", 40.0) },
            ClassSpec { worth: 3.0, ..class("payment-post", 0.2, "unsafe", 25.0) },
            ClassSpec { worth: 1.0, ..class("receipt-note", 0.1, "keyed zone 2000", 20.0) },
        ],
        terms: FleetTerms {
            miss: true,
            keep_alive_ms: 5_000,
            drain_grace_ms: 1_000,
            cold_from: 0.2,
            warm_up_ms: 5_000,
            fall_multiple: 2.0,
            fall_window_ms: 2_000,
            ration: (5_000, 6.0, 0.3),
            max_attempts: 4,
            list_delay_ms: 300,
            list_notice_ms: 1_000,
            store: (8, 64),
        },
        traffic: Traffic {
            crowd: 0,
            rate: 150.0,
            curve: vec![(0, 1.0)],
            deferred: 0.2,
            zipf: 1.1,
            hasty: 0.03,
            retries: 1,
            try_share: 0.8,
            front_notice_ms: 1_000,
        },
        events: Vec::new(),
        unplayed: Vec::new(),
    }
}

fn at(at_ms: u64, event: Event) -> Timed {
    Timed { at_ms, event }
}

fn fault(at_ms: u64, worker: usize, words: &str) -> Timed {
    at(at_ms, Event::Fault(worker, words.into()))
}

fn month_end(seed: u64) -> Scene {
    let mut scene = base("month-end", seed, 4, 8);
    scene.length_ms = 60_000;
    // The month ends: twice the calls for ten seconds, then more than usual.
    scene.traffic.curve = vec![(0, 0.7), (8_000, 1.0), (14_000, 2.0), (24_000, 1.2), (40_000, 1.0)];
    scene.events = vec![
        // Two workers die with payment posts in hand (made slow first, so that there are some), and come back
        // cold together.
        fault(4_600, 0, "slow 15 400"),
        fault(4_600, 3, "slow 15 400"),
        at(5_000, Event::KillWorker(0)),
        at(5_050, Event::KillWorker(3)),
        at(9_000, Event::StartWorker(0)),
        at(9_000, Event::StartWorker(3)),
        // In the surge a gateway is killed and answers vanish on a third of the workers while probes pass.
        at(15_000, Event::KillGateway(1)),
        at(17_000, Event::StartGateway(1)),
        fault(16_000, 2, "lose 0.3 8000"),
        fault(16_000, 5, "lose 0.3 8000"),
        at(18_000, Event::Hot { share: 0.2, functions: 1, ms: 5_000 }),
        // One worker hangs, one fails fast, one answers twice and strays.
        fault(26_000, 4, "hang 4000"),
        fault(27_000, 6, "fail 0.7 4000"),
        fault(28_000, 7, "twice 0.5 4000"),
        fault(28_000, 7, "stray 4000"),
        // A building is cut off, and while it is a worker in it dies.
        at(33_000, Event::CutZone("block-b".into(), 6_000)),
        at(35_000, Event::KillWorker(1)),
        at(39_500, Event::StartWorker(1)),
        // A drain, with the list late.
        at(42_000, Event::List("delay 800".into())),
        fault(43_000, 2, "drain"),
        at(46_000, Event::KillWorker(2)),
        at(48_000, Event::StartWorker(2)),
        // The store stops while a worker comes back, connections break, the list freezes and lies.
        at(47_500, Event::Store("down 1500".into())),
        fault(50_000, 5, "reset 0.3 3000"),
        at(51_000, Event::List("ghost 127.0.0.1:9 127.0.0.1:9".into())),
        at(52_000, Event::List("freeze 3000".into())),
        fault(52_200, 6, "slow 15 300"),
        at(52_500, Event::KillWorker(6)),
        at(54_000, Event::StartWorker(6)),
        fault(55_000, 4, "pause 600"),
        at(56_000, Event::StopGateway(2)),
        at(58_000, Event::StartGateway(2)),
    ];
    scene
}

fn short(seed: u64) -> Scene {
    let mut scene = base("short", seed, 2, 4);
    scene.length_ms = 18_000;
    scene.traffic.rate = 60.0;
    scene.traffic.curve = vec![(0, 1.0), (5_000, 1.8), (9_000, 1.0)];
    scene.events = vec![
        fault(1_500, 0, "slow 20 500"),
        at(2_000, Event::KillWorker(0)),
        at(4_000, Event::StartWorker(0)),
        fault(5_000, 1, "lose 0.4 2500"),
        at(6_000, Event::KillGateway(1)),
        at(7_500, Event::StartGateway(1)),
        fault(8_000, 2, "twice 0.5 2000"),
        fault(8_000, 2, "stray 2000"),
        at(9_000, Event::CutZone("block-b".into(), 2_000)),
        fault(12_000, 3, "drain"),
        at(13_500, Event::KillWorker(3)),
        at(14_500, Event::StartWorker(3)),
        fault(15_000, 2, "hang 1500"),
        fault(15_500, 1, "reset 0.3 1500"),
    ];
    scene
}

fn wake(seed: u64) -> Scene {
    let mut scene = base("wake", seed, 2, 4);
    scene.length_ms = 15_000;
    scene.traffic.rate = 30.0;
    scene.traffic.crowd = 300;
    scene.gateways.iter_mut().for_each(|gateway| gateway.holders = 2);
    let wakes = |share: f64| Event::Wake { share, ms: 100 };
    scene.events = vec![
        at(2_000, wakes(0.1)),
        fault(3_800, 0, "slow 20 500"),
        at(4_000, wakes(0.1)),
        at(4_060, Event::KillWorker(0)),
        at(5_500, Event::StartWorker(0)),
        fault(7_000, 3, "drain"),
        at(7_000, wakes(0.1)),
        at(9_000, Event::StopGateway(1)),
        at(9_050, wakes(0.1)),
        at(10_500, Event::StartGateway(1)),
        at(12_000, wakes(1.0)),
    ];
    scene
}

/// A plan as an operator would write it.
fn shift_plan(function: &str, class: &str, shares: [u32; 3]) -> String {
    let steps: String =
        shares.iter().map(|share| format!("step(share = percent({share}), hold = ms(1500))\n")).collect();
    format!(
        "shift(function = {function:?}, old = \"1\", new = \"2\", stick = \"account\", lease = s(12), \
         preload = s(1), keep_old = s(10))\n{steps}\
         guard(classes = [{class:?}], least = 0, worse = 4, false_alarm = 0.001, settle = ms(500))\n"
    )
}

fn shift(seed: u64) -> Scene {
    let mut scene = base("shift", seed, 3, 4);
    scene.length_ms = 26_000;
    scene.traffic.rate = 150.0;
    scene.classes.iter_mut().for_each(|class| class.functions = 3);
    let order = |at_ms, order: &str, plan: Option<String>, exits| {
        at(at_ms, Event::Versions { order: order.into(), plan, exits })
    };
    let (estimate, post) = ("charge-estimate/f0", "payment-post/f0");
    scene.events = vec![
        order(500, "start --every 200", Some(shift_plan(estimate, "charge-estimate", [1, 30, 100])), 0),
        order(700, "start --every 200", Some(shift_plan(post, "payment-post", [1, 50, 100])), 0),
        // A gateway dies in the middle of a step and comes back to the present one.
        at(3_000, Event::KillGateway(1)),
        at(4_200, Event::StartGateway(1)),
        // Answers of payment posts are lost, answers come twice, a worker dies and comes back cold.
        fault(5_000, 1, "lose 0.2 1500"),
        fault(6_500, 2, "twice 0.5 1500"),
        fault(7_800, 0, "slow 15 400"),
        at(8_200, Event::KillWorker(0)),
        at(10_500, Event::StartWorker(0)),
        // Back again: one gateway dies as the order comes, and hears it when it is up.
        order(19_000, "rollback payment-post/f0 --within 8000 --why tried", None, 0),
        at(19_010, Event::KillGateway(2)),
        order(19_500, "rollback charge-estimate/f0 --within 8000 --why tried", None, 0),
        at(20_500, Event::StartGateway(2)),
        fault(21_000, 3, "reset 0.3 1000"),
    ];
    scene
}
