//! Timers: ends of calls, loads and idle instances.

use cresswheel_protocol::Ending;

use super::function::AcceptedJob;
use super::{Effect, Model};

impl Model {
    /// Advances the model to the time `now`.
    pub fn pass(&mut self, now: u64, out: &mut Vec<Effect>) {
        while let Some((at, number)) = self.running.first().filter(|(at, _)| *at <= now).copied() {
            self.running.pop_first();
            self.end_call(at, number, out);
        }
        while let Some((at, name)) = self.starts.first().filter(|(at, _)| *at <= now).cloned() {
            self.starts.pop_first();
            self.end_load(at, &name, out);
        }
        let keep_alive = self.profile.keep_alive;
        for function in self.functions.values_mut() {
            if function.has_idle() && function.idle_since + keep_alive <= now {
                function.unload_idle();
            }
        }
    }

    fn end_call(&mut self, at: u64, number: u64, out: &mut Vec<Effect>) {
        let Some(AcceptedJob { job, in_flight }) = self.jobs.remove(&number) else { return };
        out.push(Effect::Ended(number, Ending::Ok, in_flight));
        if let Some(function) = self.functions.get_mut(&job.function) {
            function.running -= 1;
            function.idle_since = at;
        }
        self.start_waiting(at, &job.function, out);
    }

    fn end_load(&mut self, at: u64, name: &str, out: &mut Vec<Effect>) {
        if let Some(function) = self.functions.get_mut(name) {
            function.loading -= 1;
            function.loaded += 1;
            function.idle_since = at;
            let loaded = function.loaded;
            let fulfilled = function.orders.extract_if(.., |order| order.count <= loaded);
            out.extend(fulfilled.map(|order| Effect::Held(order.number, Ending::Ok, loaded)));
        }
        self.start_waiting(at, name, out);
    }
}
