//! Which processors processes run on.

use anyhow::Context;
use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};

/// The gateway's processor, and those for all else.
pub struct Processors {
    pub gateway: Vec<usize>,
    pub others: Vec<usize>,
}

impl Processors {
    /// The first of those that this thread may use is the gateway's.
    pub fn available() -> anyhow::Result<Self> {
        let set = sched_getaffinity(None::<Pid>)?;
        let all: Vec<usize> = (0..CpuSet::MAX_CPU).filter(|number| set.is_set(*number)).collect();
        let (first, rest) = all.split_first().context("no processor")?;
        let others = if rest.is_empty() { vec![*first] } else { rest.to_vec() };
        Ok(Self { gateway: vec![*first], others })
    }

    /// All of them.
    pub fn all(&self) -> Vec<usize> {
        self.gateway.iter().chain(&self.others).copied().collect()
    }
}

/// Lets this thread, and what it starts, run on these processors only.
pub fn pin(processors: &[usize]) -> anyhow::Result<()> {
    let mut set = CpuSet::new();
    processors.iter().for_each(|number| set.set(*number));
    sched_setaffinity(None::<Pid>, &set).context("choose processors")
}
