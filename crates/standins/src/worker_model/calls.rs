//! Calls: accepted, rejected, cancelled, started.

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
        if let Some(ending) = self.refusal(&job.function) {
            return out.push(Effect::Ended(job.number, ending, in_flight));
        }
        let name = job.function.clone();
        if let Some(function) = self.functions.get_mut(&name) {
            function.waiting.push_back(AcceptedJob { job, in_flight });
        }
        self.start_waiting(now, &name, out);
        self.start_fetches(out);
    }

    /// How a call of this function ends at once, if it is not accepted. Queues the load of an absent function.
    fn refusal(&mut self, name: &str) -> Option<Ending> {
        let is_present = self.functions.get(name).is_some_and(|f| f.loaded + f.loading > 0);
        if self.refusing || self.fallen {
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

    /// Cancels a waiting call; running ones go on.
    pub fn cancel(&mut self, number: u64, out: &mut Vec<Effect>) {
        for function in self.functions.values_mut() {
            if let Some(at) = function.waiting.iter().position(|waiting| waiting.job.number == number)
                && let Some(AcceptedJob { job, in_flight }) = function.waiting.remove(at)
            {
                out.push(Effect::Ended(job.number, Ending::Cancelled, in_flight));
            }
        }
    }

    /// Starts waiting calls of a function while lanes are free.
    pub(super) fn start_waiting(&mut self, now: u64, name: &str, out: &mut Vec<Effect>) {
        loop {
            let Some(function) = self.functions.get_mut(name) else { return };
            if function.running >= function.loaded * function.lanes() {
                return;
            }
            let Some(accepted) = function.waiting.pop_front() else { return };
            let number = accepted.job.number;
            if accepted.job.deadline <= now {
                // Past the client's deadline: answered as not run.
                out.push(Effect::Ended(number, Ending::Full, accepted.in_flight));
                continue;
            }
            function.running += 1;
            let took = self.draw_duration(now, Self::work(&accepted.job.shape));
            self.running.insert((now + took, number));
            out.push(Effect::Began(number));
            self.jobs.insert(number, accepted);
        }
    }

    /// How long a call takes that starts now: exponential work, shared cores, what is left of the capacity.
    fn draw_duration(&mut self, now: u64, work: u64) -> u64 {
        let drawn = -(1.0 - self.uniform()).ln();
        let shared = ((self.running.len() + 1) as f64 / f64::from(self.profile.cores)).max(1.0);
        let pace = self.profile.speed * self.capacity(now) / self.slowness;
        let took = work as f64 * drawn * shared / pace.max(1e-3);
        (took as u64).max(1)
    }

    /// Counts work against the capacity of a cold worker.
    fn add_work(&mut self, now: u64, work: u64, out: &mut Vec<Effect>) {
        if self.fallen {
            return;
        }
        if let Some(Overload { sent, bearable }) = self.cold_start.add(now, work) {
            self.fallen = true;
            out.push(Effect::Fell(sent, bearable));
        }
    }
}
