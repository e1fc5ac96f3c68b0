//! The auditor finds a planted violation of each rule, and finds nothing in a sound run.

use cresswheel_rehearsal::{AuditLimits, Verdict, audit};
use cresswheel_standins::{Record, RecordedEvent};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

fn limits() -> AuditLimits {
    let effects = [("check", "safe"), ("post", "unsafe"), ("note", "keyed zone 2000")];
    let effects = effects.map(|(class, effect)| (class.to_owned(), effect.to_owned()));
    AuditLimits {
        effects: effects.into_iter().collect(),
        aims: [("check".to_owned(), 600 * MS)].into_iter().collect(),
        answer_slack: 8 * MS,
        drain_grace: S,
        ration: (5 * S, 2.0, 0.5),
        transit: 100 * MS,
    }
}

struct Story(Vec<Record>);

impl Story {
    /// Two warm workers in zone a, one in zone b, and a call that may run any number of times.
    fn new() -> Self {
        let mut story = Self(Vec::new());
        for (worker, zone) in [("w1", "a"), ("w2", "a"), ("w3", "b")] {
            story.starts(0, worker, zone, 0);
        }
        story.asked(0, "x", "check").answered(0, "x", "served");
        story
    }

    fn add(&mut self, at: u64, by: &str, what: RecordedEvent) -> &mut Self {
        self.0.push(Record { at, by: by.into(), what });
        self
    }

    fn starts(&mut self, at: u64, worker: &str, zone: &str, started: u64) {
        let what = RecordedEvent::Started {
            started,
            zone: zone.into(),
            cell: 1,
            power: 4.0,
            fall_multiple: 2.0,
            fall_window: 2 * S,
            cold_from: 0.2,
            warm_up: 10 * S,
        };
        self.add(at, worker, what);
    }

    fn asked(&mut self, at: u64, trace: &str, class: &str) -> &mut Self {
        let (gateway, class, deadline) = ("g".into(), class.into(), at + 3 * S);
        self.add(
            at,
            "c",
            RecordedEvent::Asked { trace: trace.into(), gateway, class, deferred: false, deadline },
        )
    }

    fn answered(&mut self, at: u64, trace: &str, status: &str) -> &mut Self {
        let (status, reason) = (status.into(), String::new());
        self.add(at, "c", RecordedEvent::answered(trace.into(), status, reason, None))
    }

    fn run(&mut self, at: u64, worker: &str, trace: &str) -> &mut Self {
        let (gateway, class, function) = ("g".into(), String::new(), "f".into());
        let what =
            RecordedEvent::Run { gateway, trace: trace.into(), attempt: 1, class, function, work: 100 * MS };
        self.add(at, worker, what)
    }

    fn began(&mut self, at: u64, worker: &str, trace: &str) -> &mut Self {
        self.add(at, worker, RecordedEvent::Began { trace: trace.into(), class: String::new() })
    }

    fn ran(&mut self, at: u64, worker: &str, trace: &str, ending: &str, lost: bool) -> &mut Self {
        self.add(
            at,
            worker,
            RecordedEvent::Ran { trace: trace.into(), ending: ending.into(), lost, image: String::new() },
        )
    }

    fn hold(&mut self, at: u64, worker: &str) -> &mut Self {
        self.add(at, worker, RecordedEvent::Hold { gateway: "g".into(), function: "f".into(), count: 1 })
    }

    fn told(&mut self, at: u64, whole: bool, workers: &[(&str, &str)]) -> &mut Self {
        let workers = workers.iter().map(|(w, s)| ((*w).into(), (*s).into())).collect();
        self.add(at, "list", RecordedEvent::Told { gateway: "g".into(), whole, workers })
    }

    fn scene(&mut self, at: u64, words: &str) -> &mut Self {
        self.add(at, "scene", RecordedEvent::Scene { words: words.into() })
    }

    fn verdict(&self) -> Verdict {
        audit(&self.0, &limits())
    }

    /// The story breaks this rule and no other, for this reason.
    fn breaks(&self, rule: usize, why: &str) {
        let verdict = self.verdict();
        for (number, found) in verdict.rules.iter().enumerate() {
            assert_eq!(
                !found.violations.is_empty(),
                number + 1 == rule,
                "rule {}: {:?}",
                number + 1,
                found.violations
            );
        }
        let violations = &verdict.rules[rule - 1].violations;
        assert!(violations.iter().any(|violation| violation.contains(why)), "{violations:?}");
    }

    fn holds(&self) {
        let verdict = self.verdict();
        assert!(verdict.is_passed(), "{verdict}");
    }
}

#[test]
fn a_sound_run_holds_and_is_counted() {
    let mut story = Story::new();
    story.told(0, true, &[("w1", "in"), ("w2", "in")]);
    story.asked(S, "1", "check").run(S, "w1", "1").began(S, "w1", "1").ran(S, "w1", "1", "ok", false);
    story.answered(S + 100 * MS, "1", "served");
    story.asked(S, "2", "post").run(S, "w1", "2").ran(S, "w1", "2", "full", false);
    story.run(S + MS, "w2", "2").began(S + MS, "w2", "2").answered(3 * S, "2", "failed");
    story.asked(S, "3", "check").add(2 * S, "c", RecordedEvent::GaveUp { trace: "3".into() });
    story.hold(S, "w1").hold(S, "w2");
    story.holds();
    let verdict = story.verdict();
    assert_eq!((verdict.classes["check"].in_time, verdict.classes["check"].left), (2, 1));
    assert_eq!(verdict.classes["post"].failed, 1);
    let looked = verdict.rules.each_ref().map(|rule| rule.checked);
    assert_eq!(looked, [4, 1, 5, 0, 2]);
}

#[test]
fn rule_one_lost_late_double_and_unasked() {
    let mut story = Story::new();
    story.asked(S, "1", "check");
    story.breaks(1, "no answer");

    let mut story = Story::new();
    story.asked(S, "1", "check").answered(4 * S + 9 * MS, "1", "served");
    story.breaks(1, "9000 us after the deadline");

    let mut story = Story::new();
    story.asked(S, "1", "check").answered(S, "1", "served").answered(2 * S, "1", "refused");
    story.breaks(1, "2 answers");

    let mut story = Story::new();
    story.answered(S, "ghost", "served");
    story.breaks(1, "an answer to nothing");
}

#[test]
fn rule_one_a_gateway_that_was_not_killed_owes_its_calls() {
    let gone = |unreached| RecordedEvent::GatewayGone { trace: "1".into(), unreached };
    let mut story = Story::new();
    story.asked(S, "1", "check").add(2 * S, "c", gone(false));
    story.breaks(1, "closed its connection unasked");
    let mut killed = Story::new();
    killed.asked(S, "1", "check").scene(2 * S - MS, "kill g").add(2 * S, "c", gone(false));
    killed.holds();
    let mut unreached = Story::new();
    unreached.asked(S, "1", "check").add(2 * S, "c", gone(true));
    unreached.holds();
}

#[test]
fn rule_two_an_unsafe_call_that_runs_twice_or_goes_again() {
    let mut story = Story::new();
    story.asked(S, "1", "post").run(S, "w1", "1").began(S, "w1", "1");
    story.run(S + MS, "w2", "1").began(S + MS, "w2", "1").answered(2 * S, "1", "served");
    story.breaks(2, "ran 2 times");

    // The first worker died with it: whether it ran nobody knows.
    let mut story = Story::new();
    story.asked(S, "1", "post").run(S, "w1", "1").run(2 * S, "w2", "1").answered(3 * S, "1", "served");
    story.breaks(2, "after w1 may have run it");

    // Its 'full' was lost: the gateway could not know.
    let mut story = Story::new();
    story.asked(S, "1", "post").run(S, "w1", "1").ran(S, "w1", "1", "full", true).run(2 * S, "w2", "1");
    story.answered(3 * S, "1", "served");
    story.breaks(2, "after w1 may have run it");
}

#[test]
fn rule_two_a_refusal_of_what_ran_or_may_have_run() {
    let mut story = Story::new();
    story.asked(S, "1", "post").run(S, "w1", "1").began(S, "w1", "1").ran(S, "w1", "1", "ok", true);
    story.answered(2 * S, "1", "refused");
    story.breaks(2, "ran and was refused");

    let mut story = Story::new();
    story.asked(S, "1", "post").run(S, "w1", "1").answered(2 * S, "1", "refused");
    story.breaks(2, "refused while w1 may have run it");
}

#[test]
fn rule_two_a_keyed_call_outside_its_group_or_memory() {
    let mut story = Story::new();
    story.asked(S, "1", "note").run(S, "w1", "1").run(2 * S, "w2", "1").answered(2 * S, "1", "served");
    story.holds();
    let mut story = Story::new();
    story.asked(S, "1", "note").run(S, "w1", "1").run(2 * S, "w3", "1").answered(2 * S, "1", "served");
    story.breaks(2, "went to w3 after w1");
    let mut story = Story::new();
    story.asked(S, "1", "note").run(S, "w1", "1").run(3 * S + 200 * MS, "w2", "1").answered(
        4 * S,
        "1",
        "served",
    );
    story.breaks(2, "went to w2 after w1");
}

#[test]
fn rule_three_calls_and_orders_to_a_draining_or_gone_worker() {
    let told = |story: &mut Story| {
        story.told(0, true, &[("w1", "in"), ("w2", "in"), ("w3", "in")]).told(
            S,
            false,
            &[("w1", "draining")],
        );
        story.told(S, true, &[("w1", "draining"), ("w2", "in")]);
    };
    let mut story = Story::new();
    told(&mut story);
    story.run(2 * S, "w1", "x").run(9 * S, "w2", "x");
    story.holds();
    for worker in ["w1", "w3"] {
        let mut call = Story::new();
        told(&mut call);
        call.run(2 * S + 200 * MS, worker, "x");
        call.breaks(3, &format!("g sent to {worker} 1200 ms after"));
        let mut order = Story::new();
        told(&mut order);
        order.hold(2 * S + 200 * MS, worker);
        order.breaks(3, &format!("g sent to {worker} 1200 ms after"));
    }
    // Back in service, or a new life of the gateway: nothing is barred.
    let mut back = Story::new();
    told(&mut back);
    back.told(2 * S, false, &[("w1", "in")]).run(5 * S, "w1", "x").scene(6 * S, "start g").run(
        7 * S,
        "w3",
        "x",
    );
    back.holds();
}

#[test]
fn rule_four_a_cold_worker_that_is_pushed_over() {
    let push = |calls: u64, started: u64| {
        let mut story = Story::new();
        story.starts(started, "w1", "a", started);
        for number in 0..calls {
            story.run(20 * S + number, "w1", "x");
        }
        story
    };
    // 4 cores at a fifth, twice that for 2 s: 3.2 core-seconds, 32 calls of 100 ms.
    push(32, 20 * S).holds();
    push(34, 20 * S).breaks(4, "w1 was sent 1.0");
    push(100, 10 * S).holds();
    let mut fell = Story::new();
    fell.add(S, "w1", RecordedEvent::Fell { sent: 2, bearable: 1 });
    fell.breaks(4, "w1 fell over");
}

#[test]
fn rule_five_more_orders_than_the_ration() {
    let mut story = Story::new();
    story.asked(S, "1", "check").answered(S, "1", "served").asked(S, "2", "check").answered(S, "2", "served");
    story.hold(2 * S, "w1").hold(2 * S, "w2").hold(2 * S, "w3");
    story.holds();
    story.hold(2 * S + MS, "w1");
    story.breaks(5, "g gave 4 orders for 3 calls");
    // Another life has a ration of its own.
    let mut lives = Story::new();
    lives.hold(S, "w1").hold(S, "w2").scene(S + MS, "start g").hold(2 * S, "w1");
    lives.holds();
}

/// A call to version 2 that a worker ran as it was asked.
fn versioned(image: &str, told: &str, digest: &str) -> Story {
    let mut story = Story::new();
    story.asked(S, "v", "post");
    let (gateway, class) = ("g".into(), "post".into());
    let run = RecordedEvent::Run {
        gateway,
        trace: "v".into(),
        attempt: 1,
        class,
        function: "f@2".into(),
        work: MS,
    };
    story.add(S + MS, "w1", run).began(S + MS, "w1", "v");
    let (ending, image) = ("ok".into(), image.into());
    story.add(S + 2 * MS, "w1", RecordedEvent::Ran { trace: "v".into(), ending, lost: false, image });
    let (function, digest) = (told.into(), digest.into());
    let (status, reason) = ("served".into(), String::new());
    story.add(
        S + 3 * MS,
        "c",
        RecordedEvent::Answered { trace: "v".into(), status, reason, function, digest },
    );
    story
}

#[test]
fn a_call_that_crosses_versions_or_whose_answer_names_another() {
    let digest = cresswheel_standins::digest;
    let broken = |story: &Story| audit(&story.0, &limits()).versions.violations;
    assert_eq!(broken(&versioned("f@2", "f@2", &digest("f@2"))), Vec::<String>::new());
    let lied = broken(&versioned("f@1", "f@2", &digest("f@2")));
    assert!(lied[0].contains("and other bytes ran"), "{lied:?}");
    let forged = broken(&versioned("f@2", "f@2", "sha256:0"));
    assert!(forged[0].contains("and other bytes ran"), "{forged:?}");
    let other = broken(&versioned("f@2", "f@3", &digest("f@3")));
    assert!(other[0].contains("which no worker was asked for"), "{other:?}");
    let mut crossed = versioned("f@2", "f@2", &digest("f@2"));
    crossed.run(S + MS / 2, "w2", "v");
    let crossed = broken(&crossed);
    assert!(crossed[0].contains("went to workers as {\"f\", \"f@2\"}"), "{crossed:?}");
}

#[test]
fn missing_records_are_no_proof() {
    let mut verdict = Story::new().verdict();
    verdict.unreadable.push("w1.jsonl:3: cut".into());
    assert!(!verdict.is_passed());
}
