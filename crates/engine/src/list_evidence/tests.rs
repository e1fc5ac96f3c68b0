//! Which responses are accepted: with stale ones of this process and of the one before it, in chosen and in
//! random orders.

use proptest::prelude::*;

use super::*;

const PERIOD: Micros = 200_000;
const NOTIFIED_WITHIN: Micros = 1_500_000;
/// This many polls take longer than a list service may lag behind, and include [`REQUIRED_CONFIRMATIONS`] responses
/// after that.
const POLLS_TO_OVERTURN: usize = (NOTIFIED_WITHIN / PERIOD) as usize + 1 + REQUIRED_CONFIRMATIONS;

fn worker(id: u32, standing: MemberState, started: Micros) -> ListedWorker {
    let (zone, kind) = ("east".to_owned(), "std".to_owned());
    ListedWorker {
        id: format!("w{id}"),
        address: format!("10.0.0.{id}:1"),
        zone,
        kind,
        cell: 1,
        standing,
        started,
    }
}

/// A list with these workers in service and those draining.
fn list(number: u64, serving: &[u32], draining: &[u32]) -> ListVersion {
    let serving = serving.iter().map(|id| worker(*id, MemberState::Active, 0));
    let draining = draining.iter().map(|id| worker(*id, MemberState::Draining, 0));
    ListVersion::new(number, serving.chain(draining).collect())
}

fn exchange(polled_at: Micros) -> PollTimes {
    PollTimes { polled_at, received_at: polled_at + 1 }
}

/// The accepted list is as old as the poll of that time, and was not replaced.
fn as_of(polled_at: Micros) -> ListEvaluation {
    ListEvaluation { as_of: Some(exchange(polled_at)), is_new: false }
}

/// The list evidence, and a simulated list service that responds to each poll.
struct PolledService {
    evidence: ListValidator,
    now: Micros,
}

impl PolledService {
    fn starting_with(accepted: &ListVersion) -> Self {
        Self { evidence: ListValidator::new(accepted.clone(), NOTIFIED_WITHIN), now: 0 }
    }

    fn respond(&mut self, list: &ListVersion) -> ListEvaluation {
        self.now += PERIOD;
        self.evidence.evaluate(exchange(self.now), list.clone())
    }

    fn respond_times(&mut self, times: usize, list: &ListVersion) -> ListEvaluation {
        (0..times).map(|_| self.respond(list)).last().unwrap_or_default()
    }

    /// Workers that may get new work.
    fn usable(&self) -> Vec<String> {
        let disputed = self.evidence.disputed();
        let serving = self.evidence.accepted().workers().iter().filter(|w| w.standing == MemberState::Active);
        let usable = serving.filter(|w| !disputed.contains(&WorkerId::from(w.id.as_str())));
        usable.map(|w| w.id.clone()).collect()
    }
}

#[test]
fn the_accepted_list_is_as_old_as_the_first_of_three_responses_in_any_order_of_workers() {
    let mut service = PolledService::starting_with(&list(1, &[1, 2], &[]));
    let same =
        ListVersion::new(1, vec![worker(2, MemberState::Active, 0), worker(1, MemberState::Active, 0)]);
    assert_eq!(service.respond_times(2, &same), ListEvaluation::default());
    assert_eq!(service.respond(&same), as_of(PERIOD));
    assert_eq!(service.respond(&same), as_of(2 * PERIOD));
    // After a period without responses the next one may be stale with the same list by chance, and so may the
    // second.
    service.now += 20 * PERIOD;
    assert_eq!(service.respond(&same), as_of(3 * PERIOD));
    assert_eq!(service.respond(&same), as_of(4 * PERIOD));
    assert_eq!(service.respond(&same), as_of(25 * PERIOD));
    assert!(!service.evidence.has_discrepancy());
}

#[test]
fn a_change_stops_work_at_once_and_starts_it_after_three_agreeing_responses() {
    let mut service = PolledService::starting_with(&list(1, &[1, 2], &[]));
    let changed = list(2, &[2, 3], &[1]);
    assert_eq!(service.respond(&changed), ListEvaluation::default());
    assert_eq!(service.usable(), ["w2"], "w1 drains in the response, w3 is missing on the accepted list");
    assert_eq!(service.respond(&changed), ListEvaluation::default());
    assert_eq!(service.respond(&changed), ListEvaluation { is_new: true, ..as_of(PERIOD) });
    assert_eq!(service.usable(), ["w2", "w3"]);
    assert_eq!(service.evidence.contradictions(), Contradictions::default(), "a change is no contradiction");
}

#[test]
fn a_stale_list_with_any_number_restores_no_host_and_hides_no_drain() {
    let current = list(2, &[2], &[1]);
    let stale = |number| list(number, &[1, 2], &[]);
    for number in 1..=4 {
        for times in 1..REQUIRED_CONFIRMATIONS {
            // After current responses.
            let mut service = PolledService::starting_with(&list(1, &[1, 2], &[]));
            service.respond_times(REQUIRED_CONFIRMATIONS, &current);
            for _ in 0..times {
                assert!(!service.respond(&stale(number)).is_new);
                assert_eq!(service.usable(), ["w2"], "{number} {times}");
            }
            let first = service.now + PERIOD;
            assert_eq!(
                service.respond_times(REQUIRED_CONFIRMATIONS, &current),
                as_of(first),
                "{number} {times}"
            );
            assert!(!service.evidence.has_discrepancy() && service.evidence.accepted() == &current);
            assert_eq!(service.evidence.contradictions().settled, 1);
            assert_eq!(service.evidence.contradictions().overturned, 0);
            // As the first responses of a process, before the drain is notified.
            let mut service = PolledService::starting_with(&list(1, &[1, 2], &[]));
            service.respond_times(times, &stale(number));
            service.respond(&current);
            assert!(!service.usable().contains(&"w1".to_owned()), "{number} {times}");
            service.respond_times(REQUIRED_CONFIRMATIONS - 1, &current);
            assert!(
                !service.evidence.has_discrepancy() && service.evidence.accepted() == &current,
                "{number} {times}"
            );
        }
    }
}

#[test]
fn the_same_number_with_another_list_is_a_contradiction() {
    let mut service = PolledService::starting_with(&list(2, &[1, 2], &[]));
    assert_eq!(service.respond(&list(2, &[2], &[1])), ListEvaluation::default());
    assert_eq!(service.usable(), ["w2"]);
    assert!(service.evidence.contradicted_since().is_some());
}

#[test]
fn a_restarted_worker_is_a_different_one() {
    let mut service = PolledService::starting_with(&list(1, &[1, 2], &[]));
    let restarted = vec![worker(1, MemberState::Active, 5), worker(2, MemberState::Active, 0)];
    service.respond(&ListVersion::new(2, restarted));
    assert_eq!(service.usable(), ["w2"], "w1 restarted by one response");
}

#[test]
fn a_wrongly_accepted_list_is_overturned_by_lower_numbers() {
    let mut service = PolledService::starting_with(&list(1, &[1, 2], &[]));
    service.respond_times(REQUIRED_CONFIRMATIONS, &list(9, &[1, 2, 3], &[]));
    let current = list(2, &[2], &[1]);
    for _ in 1..POLLS_TO_OVERTURN {
        assert!(!service.respond(&current).is_new, "the service may lag");
        assert_eq!(service.usable(), ["w2"], "from the first contradicting response on");
    }
    assert!(service.respond(&current).is_new);
    assert_eq!((service.usable(), service.evidence.has_discrepancy()), (vec!["w2".to_owned()], false));
    let counted = service.evidence.contradictions();
    assert_eq!((counted.settled, counted.overturned), (1, 1));
    let lasted = (POLLS_TO_OVERTURN as Micros - 1) * PERIOD;
    assert_eq!((counted.lasted, counted.longest), (lasted, lasted));
}

#[test]
fn a_service_that_lags_up_to_its_limit_restores_no_host() {
    let (before, current) = (list(1, &[1, 2], &[]), list(2, &[2], &[1]));
    let mut service = PolledService::starting_with(&before);
    service.respond_times(REQUIRED_CONFIRMATIONS, &current);
    for _ in 0..NOTIFIED_WITHIN / PERIOD {
        assert!(!service.respond(&before).is_new);
        assert_eq!(service.usable(), ["w2"]);
    }
    service.respond_times(REQUIRED_CONFIRMATIONS, &current);
    assert_eq!((service.evidence.accepted(), service.evidence.has_discrepancy()), (&current, false));
    assert_eq!(service.evidence.contradictions().overturned, 0);
}

#[test]
fn numbers_that_restart_and_change_with_every_response_are_accepted() {
    let mut service = PolledService::starting_with(&list(1, &[1], &[]));
    service.respond_times(REQUIRED_CONFIRMATIONS, &list(500, &[1], &[]));
    let accepted = (2..30).filter(|number| service.respond(&list(*number, &[1, *number as u32], &[])).is_new);
    assert!(accepted.count() >= 4 && service.evidence.accepted().number < 30, "{:?}", service.evidence);
}

#[test]
fn an_unconfirmed_configured_list_is_replaced_after_three_responses() {
    // The configuration may describe a host differently from the service.
    let mut service = PolledService::starting_with(&list(1, &[1, 2], &[]));
    let current =
        ListVersion::new(1, vec![worker(1, MemberState::Active, 5), worker(2, MemberState::Active, 5)]);
    assert!(service.respond_times(REQUIRED_CONFIRMATIONS, &current).is_new);
    assert_eq!(service.usable(), ["w1", "w2"]);
}

#[test]
fn one_formerly_accepted_list_disputes_no_worker_but_a_second_one_does() {
    let (first, second) = (list(1, &[1], &[]), list(2, &[1, 2], &[]));
    let mut service = PolledService::starting_with(&first);
    service.respond_times(REQUIRED_CONFIRMATIONS, &second);
    assert_eq!(service.respond(&first).as_of, None, "it confirms nothing");
    assert_eq!(service.usable(), ["w1", "w2"]);
    assert_eq!(service.respond(&first).as_of, None);
    assert_eq!(service.usable(), ["w1"]);
    // A list that was never accepted disputes at once.
    let mut service = PolledService::starting_with(&second);
    service.respond(&first);
    assert_eq!(service.usable(), ["w1"]);
}

#[test]
fn a_second_response_to_a_poll_confirms_nothing() {
    let changed = list(2, &[2], &[1]);
    let mut service = PolledService::starting_with(&list(1, &[1, 2], &[]));
    for _ in 0..4 {
        assert_eq!(service.evidence.evaluate(exchange(1), changed.clone()), ListEvaluation::default());
    }
    assert!(service.evidence.has_discrepancy());
    // A second response that differs is a contradiction.
    let mut service = PolledService::starting_with(&list(1, &[1, 2], &[]));
    service.respond(&list(1, &[1, 2], &[]));
    assert_eq!(
        service.evidence.evaluate(exchange(service.now), list(3, &[1], &[2])),
        ListEvaluation::default()
    );
    assert_eq!(service.usable(), ["w1"]);
}

#[test]
fn a_late_response_to_an_earlier_poll_contradicts_only_with_a_later_number() {
    let accepted = list(3, &[1, 2], &[]);
    let mut service = PolledService::starting_with(&accepted);
    service.respond(&accepted);
    service.evidence.evaluate(exchange(service.now - 1), list(2, &[1], &[]));
    assert!(!service.evidence.has_discrepancy(), "an event between the two polls explains it");
    service.evidence.evaluate(exchange(service.now - 1), list(4, &[1], &[]));
    assert_eq!(service.usable(), ["w1"]);
    let first = service.now + PERIOD;
    assert_eq!(service.respond_times(REQUIRED_CONFIRMATIONS, &accepted), as_of(first));
}

#[test]
fn a_list_that_changes_with_every_response_is_still_accepted() {
    let mut service = PolledService::starting_with(&list(1, &[1], &[]));
    let mut accepted = Vec::new();
    for number in 2..20 {
        let serving: Vec<u32> = (1..=number).collect();
        if service.respond(&list(u64::from(number), &serving, &[])).is_new {
            accepted.push(service.evidence.accepted().number);
        }
        assert!(service.usable().contains(&"w1".to_owned()), "all of them list it in service");
    }
    assert!(accepted.len() >= 4 && accepted.windows(2).all(|pair| pair[0] < pair[1]), "{accepted:?}");
    assert_eq!(service.evidence.contradictions(), Contradictions::default());
}

#[test]
fn state_is_bounded() {
    let mut service = PolledService::starting_with(&list(0, &[1], &[]));
    for number in 1..1_000 {
        service.respond_times(REQUIRED_CONFIRMATIONS, &list(number, &[1, number as u32 + 1], &[]));
        service.respond(&list(1_000 - number, &[1], &[2]));
        assert!(
            service.evidence.superseded.len() <= MAX_SUPERSEDED
                && service.evidence.recent.len() < MAX_PENDING_RESPONSES
        );
    }
}

/// What happens between two polls, and the response to the next one.
#[derive(Clone, Debug)]
struct Step {
    /// The worker whose standing changes, if any.
    changes: Option<u32>,
    /// The stale list that is returned instead of the current one, if any.
    stale: Option<usize>,
    is_lost: bool,
}

fn step() -> impl Strategy<Value = Step> {
    let changes = prop::option::weighted(0.3, 1..6_u32);
    let stale = prop::option::weighted(0.3, 0..1_000_usize);
    (changes, stale, prop::bool::weighted(0.1)).prop_map(|(changes, stale, is_lost)| Step {
        changes,
        stale,
        is_lost,
    })
}

/// Moves a worker on: in service, draining, gone, then restarted as another process.
fn change(workers: &mut Vec<ListedWorker>, id: u32, now: Micros) {
    match workers.iter_mut().find(|w| w.id == format!("w{id}")) {
        Some(w) if w.standing == MemberState::Active => w.standing = MemberState::Draining,
        Some(_) => workers.retain(|w| w.id != format!("w{id}")),
        None => workers.push(worker(id, MemberState::Active, now)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(51), ..ProptestConfig::with_cases(2_000) })]

    /// Two incarnations of a process, with stale lists of both among the responses to the second, at most two
    /// in a row. Every worker that may get new work was in service at some time since the age of the accepted
    /// list; and once only current responses arrive, the current list is accepted.
    #[test]
    fn stale_lists_restore_no_worker_and_the_current_one_is_accepted(
        former in prop::collection::vec(1..6_u32, 1..8),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut workers: Vec<ListedWorker> = (1..6).map(|id| worker(id, MemberState::Active, 0)).collect();
        let mut stale = vec![ListVersion::new(1, workers.clone())];
        for (number, id) in former.iter().enumerate() {
            change(&mut workers, *id, 1);
            stale.push(ListVersion::new(2 + number as u64, workers.clone()));
        }
        let mut current = ListVersion::new(1, workers.clone());
        let mut service = PolledService::starting_with(&current);
        // The current list at each poll, and the poll that the accepted list is as old as.
        let (mut current_lists, mut as_of, mut stale_in_a_row) = (vec![current.clone()], 0, 0);
        for step in steps {
            if let Some(id) = step.changes {
                stale.push(current.clone());
                change(&mut workers, id, service.now);
                current = ListVersion::new(current.number + 1, workers.clone());
            }
            current_lists.push(current.clone());
            if step.is_lost {
                service.now += PERIOD;
                continue;
            }
            let stale_response =
                step.stale.filter(|_| stale_in_a_row < REQUIRED_CONFIRMATIONS - 1).map(|n| stale[n % stale.len()].clone());
            stale_in_a_row = if stale_response.is_some() { stale_in_a_row + 1 } else { 0 };
            let weighed = service.respond(&stale_response.unwrap_or(current.clone()));
            as_of = weighed.as_of.map_or(as_of, |as_of| (as_of.polled_at / PERIOD) as usize);
            for id in service.usable() {
                let served =
                    |list: &ListVersion| list.workers().iter().any(|w| w.id == id && w.standing == MemberState::Active);
                prop_assert!(
                    current_lists[as_of..].iter().any(served),
                    "{id} as of {as_of}, {:?}",
                    service.evidence
                );
            }
        }
        service.respond_times(POLLS_TO_OVERTURN + REQUIRED_CONFIRMATIONS, &current);
        prop_assert!(
            !service.evidence.has_discrepancy() && service.evidence.accepted() == &current,
            "{:?}",
            service.evidence
        );
    }
}
