//! The gateways' side of a run: calls, engine inputs, and messages to workers.

use cresswheel::WorkerId;
use cresswheel_engine::{Answer, Attempt, Client, Input, Output};
use cresswheel_protocol::{MemberState, Message, Role};

use super::event::{Event, GatewayDelivery, GatewayInput, MessageSize, WorkerDelivery, WorkerRequest};
use super::fleet::Fleet;
use crate::records::Kind;
use crate::size::call;
use crate::traffic::function_name;
use crate::worker::Task;

/// Client connections of a gateway.
const CLIENT_CONNECTIONS: u64 = 16;
/// The number of a message that belongs to no attempt or order.
const NO_NUMBER: u64 = 0;

impl Fleet<'_> {
    /// Makes one call and schedules the next.
    pub(super) fn call_arrival(&mut self) {
        if !self.has_traffic() {
            return;
        }
        let now = self.queue.now();
        let gap = self.calls.gap();
        self.queue.push(now + gap, Event::CallArrival);
        let gateway = self.calls.gateway();
        let function = self.calls.function();
        let classes = &self.settings.engine.dispatcher.classes;
        let class = &classes[self.counts.calls as usize % classes.len()].name;
        let call = call(function_name(function), class.clone(), self.scenario);
        self.counts.calls += 1;
        let number = self.counts.calls;
        self.counts.gateway_received.count(&call_message(number, &call));
        self.counts.open_calls.insert(number, now);
        let client = Client { connection: number % CLIENT_CONNECTIONS, number };
        self.give(gateway, GatewayInput { kind: Kind::Call, input: Input::Call(client, call) });
    }

    /// Wakes a gateway's engine, unless another time was scheduled since.
    pub(super) fn wake_gateway(&mut self, gateway: usize) {
        let now = self.queue.now();
        let hollow = &mut self.gateways[gateway];
        if hollow.wake_scheduled != Some(now) {
            return;
        }
        hollow.wake_scheduled = None;
        if hollow.engine.wake_at().is_some_and(|at| at <= now) {
            self.give(gateway, GatewayInput { kind: Kind::WakeUp, input: Input::Wake });
        } else {
            self.schedule_wake(gateway);
        }
    }

    fn schedule_wake(&mut self, gateway: usize) {
        let now = self.queue.now();
        let hollow = &mut self.gateways[gateway];
        let Some(at) = hollow.engine.wake_at().map(|at| at.max(now + 1)) else { return };
        if hollow.wake_scheduled.is_none_or(|scheduled| at < scheduled) {
            hollow.wake_scheduled = Some(at);
            self.queue.push(at, Event::GatewayWake(gateway));
        }
    }

    /// Counts a message of a worker and gives it to the gateway's engine.
    pub(super) fn deliver_to_gateway(&mut self, delivery: GatewayDelivery) {
        if let Some(message) = delivery.message {
            self.counts.gateway_received.add(message.kind, message.bytes);
        }
        self.give(delivery.gateway, *delivery.input);
    }

    /// Gives a gateway's engine an input and carries out its outputs.
    pub(super) fn give(&mut self, gateway: usize, GatewayInput { kind, input }: GatewayInput) {
        let mut outputs = std::mem::take(&mut self.outputs);
        let nanos = self.gateways[gateway].give(self.queue.now(), kind, input, &mut outputs);
        self.counts.add_cost(kind, nanos);
        for output in outputs.drain(..) {
            self.carry_out(gateway, output);
        }
        self.outputs = outputs;
        self.schedule_wake(gateway);
    }

    fn carry_out(&mut self, gateway: usize, output: Output) {
        match output {
            Output::Answer(client, answer) => self.answer_client(client, &answer),
            Output::Run(attempt) => self.run_attempt(gateway, &attempt),
            Output::CancelAttempt(worker, number) | Output::AttemptTimedOut(worker, number) => {
                let message = Message::CancelRun { attempt: number };
                self.send_to_worker(gateway, &worker, number, &message, WorkerRequest::Cancel);
            }
            Output::Prewarm { worker, order, function, count, shape } => {
                let function = function.to_string();
                let message =
                    Message::Hold { order, function: function.clone(), count, shape: shape.clone() };
                let request = WorkerRequest::Hold { function, count, shape };
                self.send_to_worker(gateway, &worker, order, &message, request);
            }
            Output::Unload(worker, function) => {
                let function = function.to_string();
                let message = Message::Drop { function: function.clone() };
                let request = WorkerRequest::Drop { function };
                self.send_to_worker(gateway, &worker, NO_NUMBER, &message, request);
            }
            Output::Probe(worker) => {
                let message = Message::Probe { number: NO_NUMBER };
                self.send_to_worker(gateway, &worker, NO_NUMBER, &message, WorkerRequest::Probe);
            }
            // What was sent has left at once here: nothing can be taken back.
            Output::CancelIfUnsent(..) | Output::OrderTimedOut(_) => {}
            // The list is followed from the start; calls here have no versions and none is deferred.
            Output::RequestList
            | Output::PrewarmEnded(..)
            | Output::CallCompleted { .. }
            | Output::VersionReported(..)
            | Output::Log(_) => {}
            Output::Accepted(..) | Output::Close(..) => {}
        }
    }

    fn answer_client(&mut self, client: Client, answer: &Answer) {
        let message = Message::Answer {
            number: client.number,
            status: answer.status,
            reason: answer.reason.into(),
            retry_after: answer.retry_after,
            body: answer.body.to_vec(),
            origin: None,
        };
        self.counts.gateway_sent.count(&message);
        let description = match answer.reason {
            "" => answer.status.as_str().to_owned(),
            reason => format!("{} {reason}", answer.status.as_str()),
        };
        self.counts.add_answer(self.queue.now(), client.number, description);
    }

    fn run_attempt(&mut self, gateway: usize, attempt: &Attempt) {
        let call = &attempt.call;
        let message = attempt.message();
        let request = WorkerRequest::Run {
            function: call.routed_function().to_owned(),
            shape: call.shape.clone(),
            time_left: attempt.time_left,
        };
        if let Some(worker) = self.worker_numbers.get(&attempt.worker) {
            let in_service = self.workers[*worker].entry.standing == MemberState::Active;
            self.counts.stale_attempts += u64::from(!in_service);
        }
        self.send_to_worker(gateway, &attempt.worker, attempt.number, &message, request);
    }

    fn send_to_worker(
        &mut self,
        gateway: usize,
        worker: &WorkerId,
        number: u64,
        message: &Message,
        request: WorkerRequest,
    ) {
        let Some(worker) = self.worker_numbers.get(worker).copied() else { return };
        let now = self.queue.now();
        let zone = self.gateways[gateway].zone;
        let latency = self.network.latency(zone, self.workers[worker].zone);
        let mut at = now + latency;
        if self.gateways[gateway].connect(now, worker) {
            // A connection takes a way there and back before its first message.
            at += 2 * latency;
            let zone = self.network.zone_name(zone);
            let name = format!("gateway-{gateway}");
            self.counts.gateway_sent.count(&Message::Hello { role: Role::Gateway, name, zone });
        }
        let bytes = self.counts.gateway_sent.count(message);
        let message = MessageSize { kind: message.kind(), bytes };
        let task = Task { gateway, number };
        self.queue.push(at, Event::AtWorker(WorkerDelivery { worker, task, request, message }));
    }
}

/// The message that carries a client's call.
fn call_message(number: u64, call: &cresswheel_engine::Call) -> Message {
    Message::Call {
        number,
        deferred: false,
        function: call.function.clone(),
        class: call.class.clone(),
        tenant: String::new(),
        key: String::new(),
        trace: String::new(),
        time_left: 0,
        shape: call.shape.clone(),
        body: call.body.clone(),
        account: None,
    }
}
