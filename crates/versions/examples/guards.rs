//! Simulates three ways to detect a bad version: each gateway by its own counts, the operator's tool by the
//! sums over all gateways, and each gateway by reports that the gateways gossip to each other.
//!
//! `cargo run --release -p cresswheel-versions --example guards [GATEWAYS] [CALLS_A_SECOND_EACH] [RUNS]`

use cresswheel_versions::{Guard, RegressionTest, Tally, expected_calls_to_detection};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

const SHARE: f64 = 0.01;
/// Duration of a run in seconds.
const SECONDS: usize = 300;
/// Peers to which a gateway reports per second.
const GOSSIP_PEERS: usize = 2;

type Tallies = [Tally; 2];

struct Fleet {
    gateways: usize,
    calls_per_second: u32,
    bad: [f64; 2],
    rng: Pcg32,
}

impl Fleet {
    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// Counts of a second at a gateway, of the old and the new version.
    fn simulate_second(&mut self, rolled_back: bool) -> Tallies {
        let mut both = Tallies::default();
        for _ in 0..self.calls_per_second {
            let side = usize::from(!rolled_back && self.random() < SHARE);
            let bad = self.random() < self.bad[side];
            both[side].answered += 1;
            both[side].erred += u64::from(bad);
        }
        both
    }
}

fn plus(a: &Tallies, b: &Tallies) -> Tallies {
    [a[0].plus(&b[0]), a[1].plus(&b[1])]
}

fn since(a: &Tallies, b: &Tallies) -> Tallies {
    [a[0].since(&b[0]), a[1].since(&b[1])]
}

/// Result of a run: calls that the new version answered, gateways that rolled back, and the second of the
/// last rollback.
#[derive(Default)]
struct Run {
    new_calls: u64,
    rolled_back: usize,
    last: usize,
}

fn by_own_counts(fleet: &mut Fleet, guard: &Guard) -> Run {
    let mut judges = vec![RegressionTest::new(guard, fleet.gateways as u32); fleet.gateways];
    let mut rolled_back = vec![false; fleet.gateways];
    let mut run = Run::default();
    for second in 1..=SECONDS {
        for at in 0..fleet.gateways {
            let both = fleet.simulate_second(rolled_back[at]);
            run.new_calls += both[1].answered;
            if !rolled_back[at] {
                judges[at].add("c", &both[0], &both[1]);
                if judges[at].verdict().is_some() {
                    rolled_back[at] = true;
                    (run.rolled_back, run.last) = (run.rolled_back + 1, second);
                }
            }
        }
        if run.rolled_back == fleet.gateways {
            break;
        }
    }
    run
}

fn by_sums(fleet: &mut Fleet, guard: &Guard) -> Run {
    let mut judge = RegressionTest::new(guard, 1);
    let mut run = Run::default();
    for second in 1..=SECONDS {
        let mut sum = Tallies::default();
        for _ in 0..fleet.gateways {
            sum = plus(&sum, &fleet.simulate_second(false));
        }
        run.new_calls += sum[1].answered;
        judge.add("c", &sum[0], &sum[1]);
        if judge.verdict().is_some() {
            (run.rolled_back, run.last) = (fleet.gateways, second);
            break;
        }
    }
    run
}

fn by_reports(fleet: &mut Fleet, guard: &Guard) -> Run {
    let n = fleet.gateways;
    let mut judges = vec![RegressionTest::new(guard, n as u32); n];
    // What each gateway knows of each: the second of the latest counts, and the counts.
    let mut known = vec![vec![(0u32, Tallies::default()); n]; n];
    let mut judged = vec![Tallies::default(); n];
    let mut rolled_back = vec![false; n];
    let mut run = Run::default();
    for second in 1..=SECONDS {
        for at in 0..n {
            let both = fleet.simulate_second(rolled_back[at]);
            run.new_calls += both[1].answered;
            known[at][at] = (second as u32, plus(&known[at][at].1, &both));
        }
        for at in 0..n {
            for _ in 0..GOSSIP_PEERS {
                let to = fleet.rng.next_u32() as usize % n;
                if to == at {
                    continue;
                }
                let (from, to_row) = (known[at].clone(), &mut known[to]);
                for (mine, theirs) in to_row.iter_mut().zip(from) {
                    if theirs.0 > mine.0 {
                        *mine = theirs;
                    }
                }
                // A report of a rollback makes its receiver roll back as well.
                if rolled_back[at] && !std::mem::replace(&mut rolled_back[to], true) {
                    (run.rolled_back, run.last) = (run.rolled_back + 1, second);
                }
            }
        }
        for at in 0..n {
            let sum = known[at].iter().fold(Tallies::default(), |sum, (_, both)| plus(&sum, both));
            let [old, new] = since(&sum, &judged[at]);
            judged[at] = sum;
            judges[at].add("c", &old, &new);
            if !rolled_back[at] && judges[at].verdict().is_some() {
                rolled_back[at] = true;
                (run.rolled_back, run.last) = (run.rolled_back + 1, second);
            }
        }
        if run.rolled_back == n {
            break;
        }
    }
    run
}

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<u32>().expect("a number"));
    let (gateways, calls) = (args.next().unwrap_or(260) as usize, args.next().unwrap_or(20));
    let runs = args.next().unwrap_or(40);
    let guard = Guard::new(vec!["c".into()]);
    println!(
        "simulated: {gateways} gateways, {calls} calls a second each, {SHARE} to the new version, {SECONDS} s, {runs} runs, \
         false alarm {}",
        guard.false_alarm
    );
    println!(
        "old bad  new bad  way     rolled back  calls of the new version (mean, worst)  last rollback (mean s)  expected"
    );
    type Way = fn(&mut Fleet, &Guard) -> Run;
    let ways: [(&str, Way, u32); 3] = [
        ("own", by_own_counts, gateways as u32),
        ("sums", by_sums, 1),
        ("reports", by_reports, gateways as u32),
    ];
    for bad in [[0.005, 0.005], [0.005, 0.5], [0.005, 0.05], [0.005, 0.02]] {
        for (name, way, judges) in ways {
            let mut fleet = Fleet { gateways, calls_per_second: calls, bad, rng: Pcg32::new(260, 7) };
            let all: Vec<Run> = (0..runs).map(|_| way(&mut fleet, &guard)).collect();
            let mean = |value: fn(&Run) -> f64| all.iter().map(value).sum::<f64>() / all.len() as f64;
            let back = mean(|run| run.rolled_back as f64) / gateways as f64;
            let worst = all.iter().map(|run| run.new_calls).max().unwrap_or(0);
            let expected = match bad[0] < bad[1] {
                // Without reports, each gateway needs the evidence by itself.
                true if name == "own" => {
                    expected_calls_to_detection(&guard, judges, SHARE, bad.into()) * gateways as f64
                }
                true => expected_calls_to_detection(&guard, judges, SHARE, bad.into()),
                false => f64::INFINITY,
            };
            let any = all.iter().filter(|run| run.rolled_back > 0).count();
            println!(
                "{:<8} {:<8} {name:<9} {:>5.1}% ({any:>2} runs) {:>14.0} {worst:>10} {:>28.1} {expected:>18.0}",
                bad[0],
                bad[1],
                back * 100.0,
                mean(|run| run.new_calls as f64),
                mean(|run| run.last as f64)
            );
        }
    }
}
