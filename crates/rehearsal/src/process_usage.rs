//! CPU, memory and wake-ups of processes, from `/proc`.

use anyhow::Context;

/// CPU that a process has had, all threads that still run together, in microseconds.
pub fn cpu_us(process: u32) -> anyhow::Result<f64> {
    let folder = format!("/proc/{process}/task");
    let mut nanoseconds = 0.0;
    for thread in std::fs::read_dir(&folder).context(folder)? {
        let path = thread?.path().join("schedstat");
        let text = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
        let on_cpu = text.split_whitespace().next().context("schedstat")?;
        nanoseconds += on_cpu.parse::<f64>()?;
    }
    Ok(nanoseconds / 1e3)
}

/// Resident memory of a process, in bytes.
pub fn resident_bytes(process: u32) -> anyhow::Result<f64> {
    kilobytes(&format!("/proc/{process}/status"), "VmRSS:")
}

/// Memory that a process has to itself, and its part of what it shares with others, in bytes.
pub fn proportional_bytes(process: u32) -> anyhow::Result<f64> {
    kilobytes(&format!("/proc/{process}/smaps_rollup"), "Pss:")
}

/// Memory that the kernel holds in its own structures, in bytes.
pub fn kernel_slab_bytes() -> anyhow::Result<f64> {
    kilobytes("/proc/meminfo", "Slab:")
}

/// How often a process has waited, and so was woken.
pub fn voluntary_switches(process: u32) -> anyhow::Result<f64> {
    field(&format!("/proc/{process}/status"), "voluntary_ctxt_switches:")
}

/// Processes that a process's first thread started and that still run.
pub fn children(process: u32) -> anyhow::Result<Vec<u32>> {
    let path = format!("/proc/{process}/task/{process}/children");
    let children = std::fs::read_to_string(&path).context(path)?;
    Ok(children.split_whitespace().filter_map(|child| child.parse().ok()).collect())
}

/// A value that the kernel tells in kB, in bytes.
fn kilobytes(path: &str, name: &str) -> anyhow::Result<f64> {
    Ok(field(path, name)? * 1024.0)
}

/// A number behind a name in one of the kernel's files.
fn field(path: &str, name: &str) -> anyhow::Result<f64> {
    let text = std::fs::read_to_string(path).with_context(|| path.to_owned())?;
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.with_context(|| format!("{path}: {name}"))?;
    Ok(value.trim().trim_end_matches("kB").trim().parse()?)
}
