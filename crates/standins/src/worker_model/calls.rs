//! Calls: accepting, rejecting, canceling and starting.

use cresswheel_protocol::Ending;

use super::cold_start::Overload;
use super::function::AcceptedJob;
use super::{Effect, Job, Model};

impl Model {
    /// Handles a new call.
    pub fn run(&mut self, now: u64, job: Job, out: &mut Vec<Effect>) {
        self.pass(now, out);
        self.add_work(now, Self::work(&job.shape), out);
        let function = self.functions.entry(job.function.clone()).or_default();
        function.shape = Some(job.shape.clone());
        let in_flight = function.in_flight();
        if let Some(ending) = self.rejection(&job.function) {
            return out.push(Effect::Ended(job.number, ending, in_flight));
        }
        let name = job.function.clone();
        if let Some(function) = self.functions.get_mut(&name) {
            function.waiting.push_back(AcceptedJob { job, in_flight });
        }
        self.start_waiting(now, &name, out);
        self.start_fetches(out);
    }

    /// The ending of a call that can't be accepted. Queues a load if the function has no instance.
    fn rejection(&mut self, name: &str) -> Option<Ending> {
        let is_present = self.functions.get(name).is_some_and(|f| f.loaded + f.loading > 0);
        if self.rejecting || self.collapsed {
            return Some(Ending::Full);
        }
        if self.fail > 0.0 && self.uniform() < self.fail {
            return Some(Ending::Error);
        }
        if !is_present && !self.profile.load_on_call {
            return Some(Ending::Miss);
        }
        if !is_present && !self.begin_load(name) {
            return Some(Ending::Full);
        }
        let (_, waiting) = self.in_flight();
        (waiting as usize >= self.profile.queue).then_some(Ending::Full)
    }

    /// Cancels a waiting call; a running call is not interrupted.
    pub fn cancel(&mut self, number: u64, out: &mut Vec<Effect>) {
        for function in self.functions.values_mut() {
            if let Some(at) = function.waiting.iter().position(|waiting| waiting.job.number == number)
                && let Some(AcceptedJob { job, in_flight }) = function.waiting.remove(at)
            {
                out.push(Effect::Ended(job.number, Ending::Cancelled, in_flight));
            }
        }
    }

    /// Starts waiting calls of a function while its loaded instances have free concurrency.
    pub(super) fn start_waiting(&mut self, now: u64, name: &str, out: &mut Vec<Effect>) {
        loop {
            let Some(function) = self.functions.get_mut(name) else { return };
            if function.running >= function.loaded * function.concurrency() {
                return;
            }
            let Some(accepted) = function.waiting.pop_front() else { return };
            let number = accepted.job.number;
            if accepted.job.deadline <= now {
                // Past the client's deadline: answered without a run.
                out.push(Effect::Ended(number, Ending::Full, accepted.in_flight));
                continue;
            }
            function.running += 1;
            let duration = self.draw_duration(now, Self::work(&accepted.job.shape));
            self.running.insert((now + duration, number));
            out.push(Effect::Began(number));
            self.jobs.insert(number, accepted);
        }
    }

    /// Draws how long a call takes that starts now: exponentially distributed work on shared cores, slowed
    /// down by the capacity that a cold worker lacks and by the fault 'slow'.
    fn draw_duration(&mut self, now: u64, work: u64) -> u64 {
        let draw = -(1.0 - self.uniform()).ln();
        let contention = ((self.running.len() + 1) as f64 / f64::from(self.profile.cores)).max(1.0);
        let speed = self.profile.speed * self.capacity(now) / self.slowness;
        let duration = work as f64 * draw * contention / speed.max(1e-3);
        (duration as u64).max(1)
    }

    /// Adds work to the load of a cold worker, which may make it collapse.
    fn add_work(&mut self, now: u64, work: u64, out: &mut Vec<Effect>) {
        if self.collapsed {
            return;
        }
        if let Some(Overload { sent, limit }) = self.cold_start.add(now, work) {
            self.collapsed = true;
            out.push(Effect::Fell(sent, limit));
        }
    }
}
