//! Loads: prewarm orders, fetches and memory.

use cresswheel_protocol::{Ending, FunctionProfile};

use super::function::{AcceptedJob, Function, Order};
use super::{Effect, Model};

/// Maximum number of instances in one prewarm order.
const MAX_INSTANCES: u32 = 64;

impl Model {
    /// Handles a prewarm order; a count of 0 only queries the loaded instances.
    pub fn hold(
        &mut self,
        now: u64,
        order: u64,
        name: &str,
        count: u32,
        shape: FunctionProfile,
        out: &mut Vec<Effect>,
    ) {
        self.pass(now, out);
        let function = self.functions.entry(name.into()).or_default();
        if shape.lanes > 0 || function.shape.is_none() {
            function.shape = Some(shape);
        }
        function.idle_since = now;
        let loaded = function.loaded;
        if count == 0 || loaded >= count {
            return out.push(Effect::Held(order, Ending::Ok, loaded));
        }
        if self.rejecting || self.collapsed || count > MAX_INSTANCES {
            return out.push(Effect::Held(order, Ending::Full, loaded));
        }
        let missing = count - (loaded + function.loading).min(count);
        for _ in 0..missing {
            if !self.begin_load(name) {
                return out.push(Effect::Held(order, Ending::Full, loaded));
            }
        }
        if let Some(function) = self.functions.get_mut(name) {
            function.orders.push(Order { number: order, count });
        }
        self.start_fetches(out);
    }

    /// Unloads the idle instances of a function.
    pub fn drop_idle(&mut self, name: &str) {
        if let Some(function) = self.functions.get_mut(name) {
            function.unload_idle();
        }
    }

    /// Unloads all idle instances, as happens when all functions are released anew.
    pub fn flush(&mut self) {
        self.functions.values_mut().for_each(Function::unload_idle);
    }

    /// Handles the end of a fetch; `there`: the store has the image.
    pub fn fetched(&mut self, now: u64, name: &str, there: bool, out: &mut Vec<Effect>) {
        self.pass(now, out);
        self.fetching = self.fetching.saturating_sub(1);
        let fails = self.load_fail > 0.0 && self.uniform() < self.load_fail;
        if !there || fails {
            self.load_failed(name, out);
        } else {
            let start = self.load_time(name) as f64 * (1.0 - self.profile.fetch_share) * self.slowness;
            self.starts.insert((now + start as u64, name.into()));
        }
        self.start_fetches(out);
    }

    /// Expected load time of a function, in microseconds.
    fn load_time(&self, name: &str) -> u64 {
        self.functions.get(name).map_or_else(|| Function::default().load_time(), Function::load_time)
    }

    /// Frees memory and queues a load. Returns false if there is not enough memory or too many loads wait.
    pub(super) fn begin_load(&mut self, name: &str) -> bool {
        let waiting = self.loads_waiting.len();
        let wanted = self.functions.get(name).map_or(0, Function::memory);
        if waiting >= self.profile.loads * 2 || wanted > self.profile.memory_mb {
            return false;
        }
        while self.memory() + wanted > self.profile.memory_mb {
            if !self.unload_longest_idle(name) {
                return false;
            }
        }
        self.functions.entry(name.into()).or_default().loading += 1;
        self.loads_waiting.push_back(name.into());
        true
    }

    /// Unloads an instance of the function that was idle longest, other than `except`. Returns false if none
    /// is idle.
    fn unload_longest_idle(&mut self, except: &str) -> bool {
        let idle =
            self.functions.iter_mut().filter(|(name, function)| *name != except && function.has_idle());
        match idle.min_by_key(|(_, function)| function.idle_since) {
            Some((_, function)) => {
                function.loaded -= 1;
                true
            }
            None => false,
        }
    }

    /// Starts waiting fetches up to the limit of concurrent loads.
    pub(super) fn start_fetches(&mut self, out: &mut Vec<Effect>) {
        while self.fetching < self.profile.loads
            && let Some(name) = self.loads_waiting.pop_front()
        {
            self.fetching += 1;
            let time = (self.load_time(&name) as f64 * self.profile.fetch_share) as u64;
            out.push(Effect::Fetch(name, time));
        }
    }

    /// Ends orders that can no longer be fulfilled, and calls that no instance will serve.
    fn load_failed(&mut self, name: &str, out: &mut Vec<Effect>) {
        let Some(function) = self.functions.get_mut(name) else { return };
        function.loading -= 1;
        let loaded = function.loaded;
        let expected = loaded + function.loading;
        let failed = function.orders.extract_if(.., |order| order.count > expected);
        out.extend(failed.map(|order| Effect::Held(order.number, Ending::LoadFailed, loaded)));
        if expected == 0 {
            let waiting = function.waiting.drain(..);
            let ended =
                |AcceptedJob { job, in_flight }| Effect::Ended(job.number, Ending::LoadFailed, in_flight);
            out.extend(waiting.map(ended));
        }
    }
}
