//! Three places where a bad version could be noticed, in simulation: each gateway by its own figures, the operator's
//! tool by the sums of all, each gateway by reports that gateways pass on to each other.
//!
//! `cargo run --release -p cresswheel-versions --example guards [GATEWAYS] [CALLS_A_SECOND_EACH] [RUNS]`

use cresswheel_versions::{Guard, Judge, Tally, promised_calls};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

const SHARE: f64 = 0.01;
/// Seconds of a run.
const SECONDS: usize = 300;
/// Peers that a gateway reports to each second.
const TOLD: usize = 2;

type Both = [Tally; 2];

struct Fleet {
    gateways: usize,
    calls: u32,
    bad: [f64; 2],
    rng: Pcg32,
}

impl Fleet {
    fn lot(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// A second at a gateway: of the old version, of the new.
    fn second(&mut self, backed: bool) -> Both {
        let mut both = Both::default();
        for _ in 0..self.calls {
            let side = usize::from(!backed && self.lot() < SHARE);
            let bad = self.lot() < self.bad[side];
            both[side].answered += 1;
            both[side].erred += u64::from(bad);
        }
        both
    }
}

fn plus(a: &Both, b: &Both) -> Both {
    [a[0].plus(&b[0]), a[1].plus(&b[1])]
}

fn since(a: &Both, b: &Both) -> Both {
    [a[0].since(&b[0]), a[1].since(&b[1])]
}

/// Calls that the new version answered, the gateways that went back, the second of the last one's.
#[derive(Default)]
struct Run {
    harmed: u64,
    backed: usize,
    last: usize,
}

fn own(fleet: &mut Fleet, guard: &Guard) -> Run {
    let mut judges = vec![Judge::new(guard, fleet.gateways as u32); fleet.gateways];
    let mut backed = vec![false; fleet.gateways];
    let mut run = Run::default();
    for second in 1..=SECONDS {
        for at in 0..fleet.gateways {
            let both = fleet.second(backed[at]);
            run.harmed += both[1].answered;
            if !backed[at] {
                judges[at].add("c", &both[0], &both[1]);
                if judges[at].verdict().is_some() {
                    backed[at] = true;
                    (run.backed, run.last) = (run.backed + 1, second);
                }
            }
        }
        if run.backed == fleet.gateways {
            break;
        }
    }
    run
}

fn sums(fleet: &mut Fleet, guard: &Guard) -> Run {
    let mut judge = Judge::new(guard, 1);
    let mut run = Run::default();
    for second in 1..=SECONDS {
        let mut sum = Both::default();
        for _ in 0..fleet.gateways {
            sum = plus(&sum, &fleet.second(false));
        }
        run.harmed += sum[1].answered;
        judge.add("c", &sum[0], &sum[1]);
        if judge.verdict().is_some() {
            (run.backed, run.last) = (fleet.gateways, second);
            break;
        }
    }
    run
}

fn reports(fleet: &mut Fleet, guard: &Guard) -> Run {
    let n = fleet.gateways;
    let mut judges = vec![Judge::new(guard, n as u32); n];
    // What each knows of each: counts so far, and whether it went back.
    let mut known = vec![vec![(0u32, Both::default()); n]; n];
    let mut judged = vec![Both::default(); n];
    let mut backed = vec![false; n];
    let mut run = Run::default();
    for second in 1..=SECONDS {
        for at in 0..n {
            let both = fleet.second(backed[at]);
            run.harmed += both[1].answered;
            known[at][at] = (second as u32, plus(&known[at][at].1, &both));
        }
        for at in 0..n {
            for _ in 0..TOLD {
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
                // One who went back says so, and who hears it does as well.
                if backed[at] && !std::mem::replace(&mut backed[to], true) {
                    (run.backed, run.last) = (run.backed + 1, second);
                }
            }
        }
        for at in 0..n {
            let sum = known[at].iter().fold(Both::default(), |sum, (_, both)| plus(&sum, both));
            let [old, new] = since(&sum, &judged[at]);
            judged[at] = sum;
            judges[at].add("c", &old, &new);
            if !backed[at] && judges[at].verdict().is_some() {
                backed[at] = true;
                (run.backed, run.last) = (run.backed + 1, second);
            }
        }
        if run.backed == n {
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
        "old bad  new bad  way       went back  calls of the new version (mean, worst)  last went back (mean s)  promised"
    );
    type Way = fn(&mut Fleet, &Guard) -> Run;
    let ways: [(&str, Way, u32); 3] =
        [("own", own, gateways as u32), ("sums", sums, 1), ("reports", reports, gateways as u32)];
    for bad in [[0.005, 0.005], [0.005, 0.5], [0.005, 0.05], [0.005, 0.02]] {
        for (name, way, judges) in ways {
            let mut fleet = Fleet { gateways, calls, bad, rng: Pcg32::new(260, 7) };
            let all: Vec<Run> = (0..runs).map(|_| way(&mut fleet, &guard)).collect();
            let mean = |value: fn(&Run) -> f64| all.iter().map(value).sum::<f64>() / all.len() as f64;
            let back = mean(|run| run.backed as f64) / gateways as f64;
            let worst = all.iter().map(|run| run.harmed).max().unwrap_or(0);
            let promised = match bad[0] < bad[1] {
                // Each gateway alone has to be sure; a report tells all.
                true if name == "own" => promised_calls(&guard, judges, SHARE, bad.into()) * gateways as f64,
                true => promised_calls(&guard, judges, SHARE, bad.into()),
                false => f64::INFINITY,
            };
            let any = all.iter().filter(|run| run.backed > 0).count();
            println!(
                "{:<8} {:<8} {name:<9} {:>5.1}% ({any:>2} runs) {:>14.0} {worst:>10} {:>28.1} {promised:>18.0}",
                bad[0],
                bad[1],
                back * 100.0,
                mean(|run| run.harmed as f64),
                mean(|run| run.last as f64)
            );
        }
    }
}
