//! Which answers are believed: old ones of this process and of the one before it, in every order that was thought of,
//! and in orders drawn at random.

use proptest::prelude::*;

use super::*;

const PERIOD: Micros = 200_000;
const TOLD_WITHIN: Micros = 1_500_000;
/// So many questions take longer than a list service may be behind, and three more agree then.
const LONG: usize = (TOLD_WITHIN / PERIOD) as usize + 1 + AGREEING;

fn worker(id: u32, standing: Standing, started: Micros) -> Listed {
    let (zone, kind) = ("east".to_owned(), "std".to_owned());
    Listed { id: format!("w{id}"), address: format!("10.0.0.{id}:1"), zone, kind, cell: 1, standing, started }
}

/// A list in which these workers serve and those drain.
fn list(number: u64, serving: &[u32], draining: &[u32]) -> ListVersion {
    let serving = serving.iter().map(|id| worker(*id, Standing::In, 0));
    let draining = draining.iter().map(|id| worker(*id, Standing::Draining, 0));
    ListVersion::new(number, serving.chain(draining).collect())
}

fn exchange(asked: Micros) -> Exchange {
    Exchange { asked, heard: asked + 1 }
}

/// The list in force is as old as the question of that time, and no other one has come.
fn as_of(asked: Micros) -> Weighed {
    Weighed { as_of: Some(exchange(asked)), is_new: false }
}

/// Evidence, and the questions that were answered.
struct Asked {
    evidence: ListEvidence,
    now: Micros,
}

impl Asked {
    fn after(held: &ListVersion) -> Self {
        Self { evidence: ListEvidence::new(held.clone(), TOLD_WITHIN), now: 0 }
    }

    fn answer(&mut self, list: &ListVersion) -> Weighed {
        self.now += PERIOD;
        self.evidence.weigh(exchange(self.now), list.clone())
    }

    fn answers(&mut self, times: usize, list: &ListVersion) -> Weighed {
        (0..times).map(|_| self.answer(list)).last().unwrap_or_default()
    }

    /// Workers that may get something new.
    fn usable(&self) -> Vec<String> {
        let disputed = self.evidence.disputed();
        let serving = self.evidence.held().workers().iter().filter(|w| w.standing == Standing::In);
        let usable = serving.filter(|w| !disputed.contains(&WorkerId::from(w.id.as_str())));
        usable.map(|w| w.id.clone()).collect()
    }
}

#[test]
fn what_is_held_is_as_old_as_the_first_of_three_answers_whatever_the_order_of_the_workers() {
    let mut asked = Asked::after(&list(1, &[1, 2], &[]));
    let same = ListVersion::new(1, vec![worker(2, Standing::In, 0), worker(1, Standing::In, 0)]);
    assert_eq!(asked.answers(2, &same), Weighed::default());
    assert_eq!(asked.answer(&same), as_of(PERIOD));
    assert_eq!(asked.answer(&same), as_of(2 * PERIOD));
    // After a while without answers one may be old and hold the same list by chance, and so may the next.
    asked.now += 20 * PERIOD;
    assert_eq!(asked.answer(&same), as_of(3 * PERIOD));
    assert_eq!(asked.answer(&same), as_of(4 * PERIOD));
    assert_eq!(asked.answer(&same), as_of(25 * PERIOD));
    assert!(!asked.evidence.is_in_doubt());
}

#[test]
fn news_stops_work_at_once_and_begins_it_once_three_answers_agree() {
    let mut asked = Asked::after(&list(1, &[1, 2], &[]));
    let news = list(2, &[2, 3], &[1]);
    assert_eq!(asked.answer(&news), Weighed::default());
    assert_eq!(asked.usable(), ["w2"], "w1 drains by the one, w3 is not there by the other");
    assert_eq!(asked.answer(&news), Weighed::default());
    assert_eq!(asked.answer(&news), Weighed { is_new: true, ..as_of(PERIOD) });
    assert_eq!(asked.usable(), ["w2", "w3"]);
    assert_eq!(asked.evidence.contradictions(), Contradictions::default(), "news is no contradiction");
}

#[test]
fn an_old_list_under_any_number_brings_no_host_back_and_hides_no_drain() {
    let told = list(2, &[2], &[1]);
    let old = |number| list(number, &[1, 2], &[]);
    for number in 1..=4 {
        for times in 1..AGREEING {
            // After good answers.
            let mut asked = Asked::after(&list(1, &[1, 2], &[]));
            asked.answers(AGREEING, &told);
            for _ in 0..times {
                assert!(!asked.answer(&old(number)).is_new);
                assert_eq!(asked.usable(), ["w2"], "{number} {times}");
            }
            let first = asked.now + PERIOD;
            assert_eq!(asked.answers(AGREEING, &told), as_of(first), "{number} {times}");
            assert!(!asked.evidence.is_in_doubt() && asked.evidence.held() == &told);
            assert_eq!(asked.evidence.contradictions().settled, 1);
            assert_eq!(asked.evidence.contradictions().overturned, 0);
            // As the first answers of a process, and the drain is told then.
            let mut asked = Asked::after(&list(1, &[1, 2], &[]));
            asked.answers(times, &old(number));
            asked.answer(&told);
            assert!(!asked.usable().contains(&"w1".to_owned()), "{number} {times}");
            asked.answers(AGREEING - 1, &told);
            assert!(!asked.evidence.is_in_doubt() && asked.evidence.held() == &told, "{number} {times}");
        }
    }
}

#[test]
fn the_same_number_with_another_list_is_a_contradiction() {
    let mut asked = Asked::after(&list(2, &[1, 2], &[]));
    assert_eq!(asked.answer(&list(2, &[2], &[1])), Weighed::default());
    assert_eq!(asked.usable(), ["w2"]);
    assert!(asked.evidence.contradicted_since().is_some());
}

#[test]
fn a_worker_that_began_anew_is_another_one() {
    let mut asked = Asked::after(&list(1, &[1, 2], &[]));
    let anew = vec![worker(1, Standing::In, 5), worker(2, Standing::In, 0)];
    asked.answer(&ListVersion::new(2, anew));
    assert_eq!(asked.usable(), ["w2"], "by one answer it is cold");
}

#[test]
fn a_list_that_was_believed_wrongly_is_overturned_by_lower_numbers() {
    let mut asked = Asked::after(&list(1, &[1, 2], &[]));
    asked.answers(AGREEING, &list(9, &[1, 2, 3], &[]));
    let told = list(2, &[2], &[1]);
    for _ in 1..LONG {
        assert!(!asked.answer(&told).is_new, "the service may be behind");
        assert_eq!(asked.usable(), ["w2"], "from the first answer on that contradicts");
    }
    assert!(asked.answer(&told).is_new);
    assert_eq!((asked.usable(), asked.evidence.is_in_doubt()), (vec!["w2".to_owned()], false));
    let counted = asked.evidence.contradictions();
    assert_eq!((counted.settled, counted.overturned), (1, 1));
    let lasted = (LONG as Micros - 1) * PERIOD;
    assert_eq!((counted.lasted, counted.longest), (lasted, lasted));
}

#[test]
fn a_service_that_is_behind_for_as_long_as_it_may_be_brings_no_host_back() {
    let (before, told) = (list(1, &[1, 2], &[]), list(2, &[2], &[1]));
    let mut asked = Asked::after(&before);
    asked.answers(AGREEING, &told);
    for _ in 0..TOLD_WITHIN / PERIOD {
        assert!(!asked.answer(&before).is_new);
        assert_eq!(asked.usable(), ["w2"]);
    }
    asked.answers(AGREEING, &told);
    assert_eq!((asked.evidence.held(), asked.evidence.is_in_doubt()), (&told, false));
    assert_eq!(asked.evidence.contradictions().overturned, 0);
}

#[test]
fn numbers_that_begin_anew_and_change_with_every_answer_come_into_force_as_well() {
    let mut asked = Asked::after(&list(1, &[1], &[]));
    asked.answers(AGREEING, &list(500, &[1], &[]));
    let taken = (2..30).filter(|number| asked.answer(&list(*number, &[1, *number as u32], &[])).is_new);
    assert!(taken.count() >= 4 && asked.evidence.held().number < 30, "{:?}", asked.evidence);
}

#[test]
fn a_list_of_the_configuration_that_no_answer_confirms_is_given_up_for_three() {
    // The configuration may say of a host what the service words in another way.
    let mut asked = Asked::after(&list(1, &[1, 2], &[]));
    let told = ListVersion::new(1, vec![worker(1, Standing::In, 5), worker(2, Standing::In, 5)]);
    assert!(asked.answers(AGREEING, &told).is_new);
    assert_eq!(asked.usable(), ["w1", "w2"]);
}

#[test]
fn one_list_that_was_in_force_before_disputes_nobody_but_a_second_one_does() {
    let (first, second) = (list(1, &[1], &[]), list(2, &[1, 2], &[]));
    let mut asked = Asked::after(&first);
    asked.answers(AGREEING, &second);
    assert_eq!(asked.answer(&first).as_of, None, "it makes nothing younger");
    assert_eq!(asked.usable(), ["w1", "w2"]);
    assert_eq!(asked.answer(&first).as_of, None);
    assert_eq!(asked.usable(), ["w1"]);
    // One that never was in force does at once.
    let mut asked = Asked::after(&second);
    asked.answer(&first);
    assert_eq!(asked.usable(), ["w1"]);
}

#[test]
fn a_second_answer_to_a_question_confirms_nothing() {
    let news = list(2, &[2], &[1]);
    let mut asked = Asked::after(&list(1, &[1, 2], &[]));
    for _ in 0..4 {
        assert_eq!(asked.evidence.weigh(exchange(1), news.clone()), Weighed::default());
    }
    assert!(asked.evidence.is_in_doubt());
    // Nor does a second answer that says something else pass unseen.
    let mut asked = Asked::after(&list(1, &[1, 2], &[]));
    asked.answer(&list(1, &[1, 2], &[]));
    assert_eq!(asked.evidence.weigh(exchange(asked.now), list(3, &[1], &[2])), Weighed::default());
    assert_eq!(asked.usable(), ["w1"]);
}

#[test]
fn a_late_answer_to_an_earlier_question_contradicts_only_with_a_later_number() {
    let held = list(3, &[1, 2], &[]);
    let mut asked = Asked::after(&held);
    asked.answer(&held);
    asked.evidence.weigh(exchange(asked.now - 1), list(2, &[1], &[]));
    assert!(!asked.evidence.is_in_doubt(), "an event lay between the two");
    asked.evidence.weigh(exchange(asked.now - 1), list(4, &[1], &[]));
    assert_eq!(asked.usable(), ["w1"]);
    let first = asked.now + PERIOD;
    assert_eq!(asked.answers(AGREEING, &held), as_of(first));
}

#[test]
fn a_list_that_changes_with_every_answer_still_comes_into_force() {
    let mut asked = Asked::after(&list(1, &[1], &[]));
    let mut taken = Vec::new();
    for number in 2..20 {
        let serving: Vec<u32> = (1..=number).collect();
        if asked.answer(&list(u64::from(number), &serving, &[])).is_new {
            taken.push(asked.evidence.held().number);
        }
        assert!(asked.usable().contains(&"w1".to_owned()), "all of them call it ready");
    }
    assert!(taken.len() >= 4 && taken.windows(2).all(|pair| pair[0] < pair[1]), "{taken:?}");
    assert_eq!(asked.evidence.contradictions(), Contradictions::default());
}

#[test]
fn what_is_kept_is_bounded() {
    let mut asked = Asked::after(&list(0, &[1], &[]));
    for number in 1..1_000 {
        asked.answers(AGREEING, &list(number, &[1, number as u32 + 1], &[]));
        asked.answer(&list(1_000 - number, &[1], &[2]));
        assert!(asked.evidence.superseded.len() <= SUPERSEDED && asked.evidence.recent.len() < SUCCESSIVE);
    }
}

/// What happens between two questions, and what the next one is answered.
#[derive(Clone, Debug)]
struct Step {
    /// Which worker's standing changes, if one's does.
    changes: Option<u32>,
    /// Which old list is given in place of the current one, if one is.
    old: Option<usize>,
    is_lost: bool,
}

fn step() -> impl Strategy<Value = Step> {
    let changes = prop::option::weighted(0.3, 1..6_u32);
    let old = prop::option::weighted(0.3, 0..1_000_usize);
    (changes, old, prop::bool::weighted(0.1)).prop_map(|(changes, old, is_lost)| Step {
        changes,
        old,
        is_lost,
    })
}

/// A worker serves, drains, goes, and another process comes in its place.
fn change(workers: &mut Vec<Listed>, id: u32, now: Micros) {
    match workers.iter_mut().find(|w| w.id == format!("w{id}")) {
        Some(w) if w.standing == Standing::In => w.standing = Standing::Draining,
        Some(_) => workers.retain(|w| w.id != format!("w{id}")),
        None => workers.push(worker(id, Standing::In, now)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(51), ..ProptestConfig::with_cases(2_000) })]

    /// Two lives of a process, with old lists of both among the answers of the second, two in a row at most. Whoever
    /// may get something new was in service since the time that the list in force is said to be as old as; and once
    /// only current answers come, the current list is in force.
    #[test]
    fn old_lists_bring_nobody_back_and_the_current_one_comes_into_force(
        former in prop::collection::vec(1..6_u32, 1..8),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut workers: Vec<Listed> = (1..6).map(|id| worker(id, Standing::In, 0)).collect();
        let mut old = vec![ListVersion::new(1, workers.clone())];
        for (number, id) in former.iter().enumerate() {
            change(&mut workers, *id, 1);
            old.push(ListVersion::new(2 + number as u64, workers.clone()));
        }
        let mut current = ListVersion::new(1, workers.clone());
        let mut asked = Asked::after(&current);
        // The current list at each question, and how far the age of the one in force goes.
        let (mut truths, mut as_of, mut old_in_a_row) = (vec![current.clone()], 0, 0);
        for step in steps {
            if let Some(id) = step.changes {
                old.push(current.clone());
                change(&mut workers, id, asked.now);
                current = ListVersion::new(current.number + 1, workers.clone());
            }
            truths.push(current.clone());
            if step.is_lost {
                asked.now += PERIOD;
                continue;
            }
            let given = step.old.filter(|_| old_in_a_row < AGREEING - 1).map(|at| old[at % old.len()].clone());
            old_in_a_row = if given.is_some() { old_in_a_row + 1 } else { 0 };
            let weighed = asked.answer(&given.unwrap_or(current.clone()));
            as_of = weighed.as_of.map_or(as_of, |as_of| (as_of.asked / PERIOD) as usize);
            for id in asked.usable() {
                let served = |truth: &ListVersion| truth.workers().iter().any(|w| w.id == id && w.standing == Standing::In);
                prop_assert!(truths[as_of..].iter().any(served), "{id} as of {as_of}, {:?}", asked.evidence);
            }
        }
        asked.answers(LONG + AGREEING, &current);
        prop_assert!(!asked.evidence.is_in_doubt() && asked.evidence.held() == &current, "{:?}", asked.evidence);
    }
}
