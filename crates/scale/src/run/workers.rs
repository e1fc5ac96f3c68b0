//! The workers' side of a run: requests, timers, and messages to gateways.

use cresswheel::WorkerId;
use cresswheel_engine::{AttemptEnd, Input, OrderEnd};
use cresswheel_protocol::{Ending, MemberState, Message};
use cresswheel_standins::Effect;

use super::event::{
    Event, FetchEnd, GatewayDelivery, GatewayInput, MessageSize, WorkerDelivery, WorkerRequest,
};
use super::fleet::Fleet;
use crate::records::Kind;
use crate::worker::Task;

/// Bytes of a worker's answer.
const ANSWER_BYTES: usize = 200;

impl Fleet<'_> {
    /// Counts a message and gives it to its worker, or fails it if the worker's process is gone.
    pub(super) fn deliver_to_worker(&mut self, delivery: WorkerDelivery) {
        let WorkerDelivery { worker, task, request, message } = delivery;
        self.counts.worker_received.add(message.kind, message.bytes);
        if self.workers[worker].is_up() {
            self.handle_request(worker, task, request);
        } else {
            self.refuse_connection(worker, task, &request);
        }
    }

    fn refuse_connection(&mut self, worker: usize, task: Task, request: &WorkerRequest) {
        let input = match request {
            WorkerRequest::Run { .. } => attempt_ended(task.number, AttemptEnd::NotConnected, Vec::new()),
            WorkerRequest::Hold { .. } => order_ended(task.number, OrderEnd::NotConnected, 0),
            WorkerRequest::Cancel | WorkerRequest::Drop { .. } | WorkerRequest::Probe => return,
        };
        self.gateways[task.gateway].disconnect(worker);
        self.send_to_gateway(worker, task.gateway, input, None);
    }

    fn handle_request(&mut self, worker: usize, task: Task, request: WorkerRequest) {
        let now = self.queue.now();
        let target = &mut self.workers[worker];
        let effects = match request {
            WorkerRequest::Run { function, shape, time_left } => {
                target.run(now, task, function, shape, time_left)
            }
            WorkerRequest::Cancel => target.cancel(task),
            WorkerRequest::Hold { function, count, shape } => target.hold(now, task, &function, count, shape),
            WorkerRequest::Drop { function } => {
                target.drop_idle(&function);
                Vec::new()
            }
            WorkerRequest::Probe => return self.answer_probe(worker, task.gateway),
        };
        self.apply_effects(worker, effects);
    }

    fn answer_probe(&mut self, worker: usize, gateway: usize) {
        let message = Message::Probed { number: 0, held: 0, queued: 0 };
        let id = WorkerId::from(self.workers[worker].entry.id.as_str());
        let input = GatewayInput { kind: Kind::Probed, input: Input::ProbeAnswered(id) };
        self.send_message(worker, gateway, &message, input);
    }

    /// Lets a worker's time pass, unless another time was scheduled since.
    pub(super) fn worker_timer(&mut self, worker: usize) {
        let now = self.queue.now();
        let target = &mut self.workers[worker];
        if target.pass_scheduled == Some(now) {
            target.pass_scheduled = None;
            let effects = target.pass(now);
            self.apply_effects(worker, effects);
        }
    }

    /// Ends a fetch, unless the process that began it is gone.
    pub(super) fn end_fetch(&mut self, end: &FetchEnd) {
        let target = &mut self.workers[end.worker];
        if target.life == end.life {
            let effects = target.fetched(self.queue.now(), &end.function);
            self.apply_effects(end.worker, effects);
        }
    }

    fn apply_effects(&mut self, worker: usize, effects: Vec<Effect>) {
        for effect in effects {
            self.apply_effect(worker, effect);
        }
        self.schedule_timer(worker);
    }

    fn schedule_timer(&mut self, worker: usize) {
        let now = self.queue.now();
        let target = &mut self.workers[worker];
        let Some(at) = target.next().map(|at| at.max(now + 1)) else { return };
        if target.pass_scheduled.is_none_or(|scheduled| at < scheduled) {
            target.pass_scheduled = Some(at);
            self.queue.push(at, Event::WorkerTimer(worker));
        }
    }

    fn apply_effect(&mut self, worker: usize, effect: Effect) {
        match effect {
            Effect::Began(_) => {}
            Effect::Ended(code, ending, crowd) => {
                self.workers[worker].answered(code);
                let Task { gateway, number } = Task::of(code);
                let body = if ending == Ending::Ok { vec![0; ANSWER_BYTES] } else { Vec::new() };
                let message =
                    Message::Ran { attempt: number, ending, crowd, body: body.clone(), origin: None };
                let input = attempt_ended(number, AttemptEnd::Answered(ending, crowd), body);
                self.send_message(worker, gateway, &message, input);
            }
            Effect::Held(code, ending, standing) => {
                self.workers[worker].answered(code);
                let Task { gateway, number } = Task::of(code);
                let message = Message::Held { order: number, ending, standing };
                let input = order_ended(number, OrderEnd::Answered(ending), standing);
                self.send_message(worker, gateway, &message, input);
            }
            Effect::Fetch(function, time) => {
                let end = FetchEnd { worker, life: self.workers[worker].life, function };
                self.queue.push(self.queue.now() + time, Event::FetchEnd(end));
            }
            Effect::Fell(..) => self.counts.falls += 1,
        }
    }

    /// Ends a worker's process; what it had not answered breaks off.
    pub(super) fn stop_worker(&mut self, worker: usize) {
        let unanswered = self.workers[worker].stop();
        self.workers[worker].entry.standing = MemberState::Removed;
        for (task, is_order) in unanswered {
            self.gateways[task.gateway].disconnect(worker);
            let input = if is_order {
                order_ended(task.number, OrderEnd::Broken, 0)
            } else {
                attempt_ended(task.number, AttemptEnd::Broken, Vec::new())
            };
            self.send_to_gateway(worker, task.gateway, input, None);
        }
    }

    fn send_message(&mut self, worker: usize, gateway: usize, message: &Message, input: GatewayInput) {
        let bytes = self.counts.worker_sent.count(message);
        let size = MessageSize { kind: message.kind(), bytes };
        self.send_to_gateway(worker, gateway, input, Some(size));
    }

    fn send_to_gateway(
        &mut self,
        worker: usize,
        gateway: usize,
        input: GatewayInput,
        message: Option<MessageSize>,
    ) {
        let latency = self.network.latency(self.workers[worker].zone, self.gateways[gateway].zone);
        let delivery = GatewayDelivery { gateway, input: Box::new(input), message };
        self.queue.push(self.queue.now() + latency, Event::AtGateway(delivery));
    }
}

/// The input that ends an attempt.
fn attempt_ended(number: u64, end: AttemptEnd, body: Vec<u8>) -> GatewayInput {
    GatewayInput { kind: Kind::AttemptEnd, input: Input::AttemptEnded(number, end, body, None) }
}

/// The input that ends a load order.
fn order_ended(number: u64, end: OrderEnd, standing: u32) -> GatewayInput {
    GatewayInput { kind: Kind::OrderEnd, input: Input::OrderEnded(number, end, standing) }
}
