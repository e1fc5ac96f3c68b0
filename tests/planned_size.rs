//! The slopes of the module's work and memory, as counts of entries, not as times: a wake-up costs by what is due,
//! a changed worker by the functions that it concerns, and memory does not grow with workers times functions.

mod common;

use common::*;
use cresswheel::*;

/// Time between the two calls of each function: its forecast lasts for longer than that after the second.
const GAP: Micros = 100 * S;

/// A gateway at which all functions are called twice; workers answer at once, orders find their instances loaded.
struct Gateway {
    module: Dispatcher,
    now: Micros,
    wake: Option<Micros>,
    functions: usize,
    calls: usize,
    orders: usize,
    events: u64,
}

impl Gateway {
    fn new(functions: usize, workers: usize, settings: Settings) -> Self {
        let module = Dispatcher::new(settings, 3).expect("sensible settings");
        let mut gateway = Self { module, now: 0, wake: None, functions, calls: 0, orders: 0, events: 0 };
        gateway.give(whole_list(workers));
        for round in 0..2 {
            gateway.run_to(round * GAP);
            for number in 0..functions {
                gateway.call(&format!("f{number}"));
            }
        }
        // Long enough for each forecast to want its instance, and for the budget of pre-loads to be spent.
        gateway.run_to(GAP + 20 * S);
        gateway
    }

    fn give(&mut self, event: Event) {
        self.events += 1;
        let mut actions = Vec::new();
        self.module.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::WakeAfter(span) => self.wake = Some((self.now + span).next_multiple_of(2 * MS)),
                Action::Send { request, worker, .. } => self.give(ended(&request.0, 0, &worker, Outcome::Ok)),
                Action::Hold { worker, function, .. } => {
                    self.orders += 1;
                    self.give(held(&worker, &function.0, Outcome::Ok, MS));
                }
                _ => {}
            }
        }
    }

    fn run_to(&mut self, until: Micros) {
        while let Some(at) = self.wake.filter(|at| *at <= until) {
            (self.now, self.wake) = (at, None);
            self.give(Event::Wake);
        }
        self.now = until;
    }

    fn call(&mut self, function: &str) {
        self.calls += 1;
        self.give(Event::Arrived(request(&format!("r{}", self.calls), 0, function)));
    }

    /// Ten seconds in which one function is called ten times a second.
    fn ten_seconds(&mut self) {
        for _ in 0..100 {
            self.run_to(self.now + 100 * MS);
            self.call("hot");
        }
    }
}

fn whole_list(count: usize) -> Event {
    let entry = |number: usize| WorkerEntry {
        id: WorkerId::from(format!("10.0.{}.{}:9000", number / 200, number % 200).as_str()),
        ..worker(number)
    };
    Event::List(ListNews::Whole((0..count).map(entry).collect()))
}

fn with_orders() -> Settings {
    Settings { classes: vec![class("safe", Effect::Safe)], ..settings() }
}

/// Entries looked at for each event, wake-ups included, while one function is called, and what waits meanwhile.
fn looked_at_for_an_event(functions: usize) -> (f64, usize) {
    let mut gateway = Gateway::new(functions, 100, with_orders());
    let (before, events) = (gateway.module.tally(), gateway.events);
    gateway.ten_seconds();
    let after = gateway.module.tally();
    assert!(gateway.orders > 50, "the budget is spent: {}", gateway.orders);
    // Forecasts that are due ask again, four times in a renewal (0.6 of the keep-alive) at most.
    let most = functions as u64 * 10 * 4 / 6 + functions as u64;
    assert!(after.asked - before.asked <= most, "{} asked", after.asked - before.asked);
    ((after.looked_at - before.looked_at) as f64 / (gateway.events - events) as f64, after.wanted)
}

#[test]
fn an_event_costs_by_what_is_due_and_not_by_what_is_known() {
    let (few, few_wanted) = looked_at_for_an_event(500);
    let (many, many_wanted) = looked_at_for_an_event(4_000);
    assert!(few_wanted > 300 && many_wanted > 3_500, "most wait: {few_wanted}, {many_wanted}");
    assert!(few < 4.0 && many < 4.0, "{few} and {many} entries an event");
}

#[test]
fn memory_does_not_grow_with_workers_times_functions() {
    let kept = |workers| {
        let gateway = Gateway::new(1_000, workers, with_orders());
        let tally = gateway.module.tally();
        assert_eq!(tally.ring_points, workers * 100);
        assert!(tally.places <= gateway.calls + gateway.orders, "{tally:?}");
        tally.places + tally.wanted
    };
    let (few, many) = (kept(100), kept(1_000));
    assert!(few >= 1_000 && many <= few + few / 10, "{few} entries with 100 workers, {many} with 1,000");
}

#[test]
fn a_changed_worker_costs_by_the_functions_that_it_concerns() {
    let mut gateway = Gateway::new(4_000, 100, with_orders());
    let Event::List(ListNews::Whole(entries)) = whole_list(100) else { unreachable!("a whole list") };
    for entry in entries.into_iter().take(20) {
        for state in [WorkerState::Out, WorkerState::In] {
            let before = gateway.module.tally();
            let entry = WorkerEntry { state, ..entry.clone() };
            gateway.give(Event::List(ListNews::Changes(vec![entry])));
            gateway.run_to(gateway.now + 40 * MS);
            let looked_at = gateway.module.tally().looked_at - before.looked_at;
            // A hundredth of the functions, twice that for an uneven ring; each with wants at a home and a former
            // one, and each of these found, taken out of its ranking and put in: eight looks.
            assert!(looked_at < 4_000 / 100 * 2 * 8, "{looked_at} entries for one worker");
        }
    }
}

#[test]
fn with_orders_off_nothing_is_wanted() {
    let mut gateway = Gateway::new(1_000, 20, Settings { may_order: false, ..with_orders() });
    gateway.ten_seconds();
    let tally = gateway.module.tally();
    assert_eq!((tally.wanted, tally.asked, gateway.orders), (0, 0, 0));
    assert!(gateway.functions == 1_000 && tally.places >= 1_000, "they are known all the same");
}
