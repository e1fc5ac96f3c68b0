//! Memory of this process and of the machine, from /proc.

use std::io;

fn field(path: &str, name: &str) -> io::Result<u64> {
    let text = std::fs::read_to_string(path)?;
    let value = text.lines().find_map(|line| line.strip_prefix(name));
    let kib = value.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    let missing = || io::Error::other(format!("{path} has no {name}"));
    kib.map(|kib| kib * 1024).ok_or_else(missing)
}

/// Resident bytes of this process.
pub fn resident() -> io::Result<u64> {
    field("/proc/self/status", "VmRSS:")
}

/// The most that this process ever had resident, in bytes.
pub fn peak() -> io::Result<u64> {
    field("/proc/self/status", "VmHWM:")
}

/// Memory of the machine, in bytes: all, and what is to be had now.
pub fn machine() -> io::Result<(u64, u64)> {
    Ok((field("/proc/meminfo", "MemTotal:")?, field("/proc/meminfo", "MemAvailable:")?))
}
