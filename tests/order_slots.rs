//! Load orders that find no free slot on the connections to their worker.

mod common;

use std::collections::VecDeque;

use common::*;
use cresswheel::*;

const FUNCTIONS: usize = 30;
const WORKERS: usize = 3;

fn settings_with_load_orders() -> Settings {
    Settings { miss_policy: MissPolicy::Miss, ..settings() }
}

/// A harness with one waiting request for each function, and the orders that were issued for them.
fn harness_with_waiting_requests(settings: Settings) -> (Harness, Vec<(WorkerId, FunctionId)>) {
    let mut harness = Harness::new(settings);
    harness.handle(workers(WORKERS));
    let mut orders = Vec::new();
    for number in 0..FUNCTIONS {
        let arrived = Event::Arrived(request(&format!("r{number}"), 0, &format!("f{number}")));
        orders.extend(prewarm_orders(&harness.handle(arrived)));
    }
    (harness, orders)
}

fn not_sent(worker: &WorkerId, function: &FunctionId) -> Event {
    prewarm_answer(worker, &function.0, Outcome::NotSent, 0)
}

/// Ends all orders as unsent, and those that are issued in return, at the same time. Returns their number.
fn end_all_as_not_sent(harness: &mut Harness, orders: Vec<(WorkerId, FunctionId)>) -> usize {
    let (mut pending, mut count) = (VecDeque::from(orders), 0);
    while let Some((worker, function)) = pending.pop_front() {
        count += 1;
        assert!(count <= 10 * FUNCTIONS * WORKERS, "orders are issued without end at one point in time");
        pending.extend(prewarm_orders(&harness.handle(not_sent(&worker, &function))));
    }
    count
}

/// Guards against the standstill of review case 1: two waiting functions ordered each other's load without end
/// within one turn of the event loop.
#[test]
fn orders_without_a_free_slot_end_within_one_turn() {
    let (mut harness, orders) = harness_with_waiting_requests(settings_with_load_orders());
    assert_eq!(orders.len(), FUNCTIONS);
    let count = end_all_as_not_sent(&mut harness, orders);
    assert!(count <= FUNCTIONS + WORKERS, "{count} orders");
    // From now on, one order is tried at each worker in a sweep interval, however many requests wait.
    let sweep_interval = harness.checker.settings.classes[0].latency_objective / 16;
    let (mut tried, intervals) = (0, 10);
    for _ in 0..intervals {
        let until = harness.now + sweep_interval;
        let actions = harness.run_to(until);
        tried += end_all_as_not_sent(&mut harness, prewarm_orders(&actions));
    }
    assert!((WORKERS..=(intervals + 1) * WORKERS).contains(&tried), "{tried} orders");
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}

/// Guards against worker failures that are none: an order that was not sent says nothing about its worker.
#[test]
fn orders_without_a_free_slot_do_not_make_a_worker_suspect() {
    let (mut harness, orders) = harness_with_waiting_requests(settings_with_load_orders());
    let (worker, function) = orders[0].clone();
    let (_, loaded) = orders.iter().find(|(at, name)| *at == worker && *name != function).unwrap().clone();
    harness.handle(prewarm_answer(&worker, &loaded.0, Outcome::Ok, S));
    for _ in 0..5 {
        harness.handle(not_sent(&worker, &function));
    }
    // Requests of a function that is loaded there are still sent there.
    let actions = harness.handle(Event::Arrived(request("next", 0, &loaded.0)));
    assert_eq!(sends(&actions), [("next".into(), worker)]);
}

#[test]
fn a_freed_slot_is_used_once() {
    let (mut harness, orders) = harness_with_waiting_requests(settings_with_load_orders());
    let (waiting, sent) = orders.split_at(FUNCTIONS / 2);
    end_all_as_not_sent(&mut harness, waiting.to_vec());
    let (worker, function) = sent[0].clone();
    harness.handle(prewarm_answer(&worker, &function.0, Outcome::Ok, 0));
    // Two more functions want a load there: the slot is for one of them, the other one is sent elsewhere or waits.
    let mut orders_at_worker = Vec::new();
    for number in 0..2 * FUNCTIONS {
        let arrived = Event::Arrived(request(&format!("n{number}"), 0, &format!("g{number}")));
        let actions = harness.handle(arrived);
        orders_at_worker.extend(prewarm_orders(&actions).into_iter().filter(|(at, _)| *at == worker));
    }
    assert_eq!(orders_at_worker.len(), 1, "{orders_at_worker:?}");
}

/// Guards against a budget that is used up by orders that never left: needed loads would then be held back.
#[test]
fn orders_that_were_not_sent_do_not_count_for_the_order_budget() {
    let order_rate_limit =
        Some(OrderRateLimit { window: 10 * S, base_orders: FUNCTIONS as f64, per_request: 0.0 });
    let settings = Settings { order_rate_limit, ..settings_with_load_orders() };
    let (mut harness, orders) = harness_with_waiting_requests(settings);
    assert_eq!(orders.len(), FUNCTIONS, "the budget allows one for each function");
    end_all_as_not_sent(&mut harness, orders);
    let until = harness.now + S / 10;
    let again = prewarm_orders(&harness.run_to(until));
    assert!(!again.is_empty(), "the budget is free again");
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}

/// Guards against pauses that end each other: a refused connection keeps the function that met it from the
/// worker for two latency objectives, whatever becomes of other functions there.
#[test]
fn a_refused_connection_does_not_end_the_pause_of_another_function() {
    let mut harness = Harness::new(settings_with_load_orders());
    harness.handle(workers(2));
    let refused = |(worker, function): (WorkerId, FunctionId)| {
        prewarm_answer(&worker, &function.0, Outcome::ConnectFailed, 0)
    };
    let arrive_and_refuse = |harness: &mut Harness, names: [&str; 2]| -> usize {
        let arrive = |name: &&str| prewarm_orders(&harness.handle(Event::Arrived(request(name, 0, name))));
        let mut pending: VecDeque<_> = names.iter().flat_map(arrive).collect();
        let mut count = 0;
        while let Some(order) = pending.pop_front() {
            count += 1;
            assert!(count <= 100, "orders are issued without end at one point in time");
            pending.extend(prewarm_orders(&harness.handle(refused(order))));
        }
        count
    };
    // First all workers become suspects, so that their health is ignored at the next refresh.
    arrive_and_refuse(&mut harness, ["a", "b"]);
    harness.run_to(S);
    let orders = arrive_and_refuse(&mut harness, ["c", "d"]);
    assert_eq!(orders, 4, "one for each function and worker");
}
