//! How the module's work and memory scale, counted in table entries instead of time: a wake-up costs in
//! proportion to what is due, a changed worker to the functions on it, and memory does not grow with workers
//! times functions.

mod common;

use common::*;
use cresswheel::*;

/// Time between the two calls of each function. After the second call its forecast lasts longer than this.
const GAP: Micros = 100 * S;

/// A gateway that has had two calls of every function. Workers answer at once, and find the ordered instances
/// loaded.
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
        let module = Dispatcher::new(settings, 3).expect("valid settings");
        let mut gateway = Self { module, now: 0, wake: None, functions, calls: 0, orders: 0, events: 0 };
        gateway.handle(complete_list(workers));
        for round in 0..2 {
            gateway.run_to(round * GAP);
            for number in 0..functions {
                gateway.call(&format!("f{number}"));
            }
        }
        // Long enough for each forecast to want its instance, and for the budget of prewarm orders to be
        // spent.
        gateway.run_to(GAP + 20 * S);
        gateway
    }

    fn handle(&mut self, event: Event) {
        self.events += 1;
        let mut actions = Vec::new();
        self.module.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::WakeAfter(delay) => self.wake = Some((self.now + delay).next_multiple_of(2 * MS)),
                Action::Send { request, worker, .. } => {
                    self.handle(ended(&request.0, 0, &worker, Outcome::Ok))
                }
                Action::Hold { worker, function, .. } => {
                    self.orders += 1;
                    self.handle(prewarm_answer(&worker, &function.0, Outcome::Ok, MS));
                }
                _ => {}
            }
        }
    }

    fn run_to(&mut self, until: Micros) {
        while let Some(at) = self.wake.filter(|at| *at <= until) {
            (self.now, self.wake) = (at, None);
            self.handle(Event::Wake);
        }
        self.now = until;
    }

    fn call(&mut self, function: &str) {
        self.calls += 1;
        self.handle(Event::Arrived(request(&format!("r{}", self.calls), 0, function)));
    }

    /// Ten seconds in which one function is called ten times a second.
    fn run_ten_seconds(&mut self) {
        for _ in 0..100 {
            self.run_to(self.now + 100 * MS);
            self.call("hot");
        }
    }
}

/// A complete list of this many workers.
fn complete_list(count: usize) -> Event {
    let entry = |number: usize| WorkerEntry {
        id: WorkerId::from(format!("10.0.{}.{}:9000", number / 200, number % 200).as_str()),
        ..worker(number)
    };
    Event::List(WorkerListUpdate::Complete((0..count).map(entry).collect()))
}

fn with_orders() -> Settings {
    Settings { classes: vec![class("safe", Effect::Safe)], ..settings() }
}

/// The table entries visited per event (wake-ups included) while one function is called, and the number of
/// wanted instances then.
fn entries_visited_per_event(functions: usize) -> (f64, usize) {
    let mut gateway = Gateway::new(functions, 100, with_orders());
    let (before, events) = (gateway.module.stats(), gateway.events);
    gateway.run_ten_seconds();
    let after = gateway.module.stats();
    assert!(gateway.orders > 50, "the order budget is spent: {}", gateway.orders);
    // Forecasts that are due ask again, at most four times per renewal interval (0.6 of the keep-alive).
    let max_asked = functions as u64 * 10 * 4 / 6 + functions as u64;
    assert!(
        after.prewarm_requests - before.prewarm_requests <= max_asked,
        "{} asked",
        after.prewarm_requests - before.prewarm_requests
    );
    (
        (after.entries_visited - before.entries_visited) as f64 / (gateway.events - events) as f64,
        after.queued_prewarms,
    )
}

#[test]
fn the_cost_of_an_event_depends_on_what_is_due_and_not_on_the_number_of_functions() {
    let (few, few_wanted) = entries_visited_per_event(500);
    let (many, many_wanted) = entries_visited_per_event(4_000);
    assert!(few_wanted > 300 && many_wanted > 3_500, "most are wanted: {few_wanted}, {many_wanted}");
    assert!(few < 4.0 && many < 4.0, "{few} and {many} entries per event");
}

#[test]
fn memory_does_not_grow_with_workers_times_functions() {
    let entries = |workers| {
        let gateway = Gateway::new(1_000, workers, with_orders());
        let tally = gateway.module.stats();
        assert_eq!(tally.ring_points, workers * 100);
        assert!(tally.placements <= gateway.calls + gateway.orders, "{tally:?}");
        tally.placements + tally.queued_prewarms
    };
    let (few, many) = (entries(100), entries(1_000));
    assert!(few >= 1_000 && many <= few + few / 10, "{few} entries with 100 workers, {many} with 1,000");
}

#[test]
fn the_cost_of_a_changed_worker_depends_on_the_functions_on_it() {
    let mut gateway = Gateway::new(4_000, 100, with_orders());
    let Event::List(WorkerListUpdate::Complete(entries)) = complete_list(100) else {
        unreachable!("a complete list")
    };
    for entry in entries.into_iter().take(20) {
        for state in [WorkerState::OutOfService, WorkerState::InService] {
            let before = gateway.module.stats();
            let entry = WorkerEntry { state, ..entry.clone() };
            gateway.handle(Event::List(WorkerListUpdate::Changes(vec![entry])));
            gateway.run_to(gateway.now + 40 * MS);
            let looked_at = gateway.module.stats().entries_visited - before.entries_visited;
            // A hundredth of the functions, times two for an uneven hash ring. Each function has a wanted
            // instance at a home and one at a former home, and each is found, removed from its ranking and
            // inserted: eight visits.
            assert!(looked_at < 4_000 / 100 * 2 * 8, "{looked_at} entries for one worker");
        }
    }
}

#[test]
fn with_orders_off_nothing_is_wanted() {
    let mut gateway = Gateway::new(1_000, 20, Settings { may_prewarm: false, ..with_orders() });
    gateway.run_ten_seconds();
    let tally = gateway.module.stats();
    assert_eq!((tally.queued_prewarms, tally.prewarm_requests, gateway.orders), (0, 0, 0));
    assert!(gateway.functions == 1_000 && tally.placements >= 1_000, "the functions are known nevertheless");
}
