//! CPU time and memory, as the kernel accounts them.

use std::io;
use std::process::Command;
use std::time::Duration;

use nix::time::clock_getcpuclockid;
use nix::unistd::Pid;
use rustix::time::{ClockId, clock_gettime};

/// CPU time used by this thread.
pub fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// CPU time used by all threads of a process, including threads that have ended.
pub fn process_cpu_time(process: u32) -> io::Result<Duration> {
    let process = i32::try_from(process).map_err(|_| io::ErrorKind::NotFound)?;
    let time = clock_getcpuclockid(Pid::from_raw(process))?.now()?;
    Ok(Duration::from(time))
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> io::Result<f64> {
    resident_bytes_of(std::process::id())
}

/// Resident memory of a process, in bytes.
pub fn resident_bytes_of(process: u32) -> io::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()).and_then(|n| n.parse::<f64>().ok());
    kilobytes.map(|kilobytes| kilobytes * 1024.0).ok_or(io::ErrorKind::InvalidData.into())
}

/// Runs this program again with these arguments and parses the last line of its output as a number. Each
/// measurement of memory needs a new process: what the allocator keeps of an earlier run would hide growth.
pub fn run_child_for_value(arguments: &[String]) -> io::Result<f64> {
    let output = Command::new(std::env::current_exe()?).args(arguments).output()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let value = text.lines().last().and_then(|line| line.trim().parse().ok());
    value.ok_or_else(|| {
        io::Error::other(format!("{arguments:?}: {text}{}", String::from_utf8_lossy(&output.stderr)))
    })
}
