//! The tables for a person.

use std::fmt::{self, Write};

use super::{ClassOutcome, Found, Wave};

/// The tables of all sizes.
pub fn report(all: &[Found]) -> Result<String, fmt::Error> {
    let mut text = String::new();
    write_sizes(&mut text, all)?;
    for found in all {
        for (number, wave) in found.waves.iter().enumerate() {
            write_wave(&mut text, found.connections, &format!("wave {}", number + 1), wave)?;
        }
        write_wave(&mut text, found.connections, "all", &found.all)?;
        writeln!(text, "after the waves: {:.0} bytes each\n{}", found.after_bytes, found.verdict.trim_end())?;
    }
    Ok(text)
}

fn write_sizes(text: &mut String, all: &[Found]) -> fmt::Result {
    writeln!(
        text,
        "{:>12}{:>10}{:>11}{:>12}{:>13}{:>13}{:>11}{:>11}{:>13}{:>10}",
        "connections",
        "processes",
        "accepts/s",
        "accept, us",
        "bytes each",
        "kernel, B",
        "idle CPU",
        "wakes/s",
        "pinged CPU",
        "pings/s"
    )?;
    for found in all {
        writeln!(
            text,
            "{:>12}{:>10}{:>11.0}{:>12.1}{:>13.0}{:>13.0}{:>10.2}%{:>11.1}{:>12.2}%{:>10.1}",
            found.connections,
            found.processes,
            found.accepts_per_s,
            found.accept_cpu_us,
            found.process_bytes,
            found.kernel_bytes,
            found.idle_cpu * 100.0,
            found.idle_wakes,
            found.pinged_cpu * 100.0,
            found.pings_per_s
        )?;
    }
    Ok(())
}

fn write_wave(text: &mut String, connections: usize, name: &str, wave: &Wave) -> fmt::Result {
    writeln!(text, "\n{connections} connections, {name}: {} calls; times in ms", wave.asked)?;
    writeln!(
        text,
        "{:>18}{:>8}{:>10}{:>7}{:>9}{:>8}{:>9}{:>9}{:>9}{:>9}{:>9}",
        "", "asked", "in time", "late", "refused", "failed", "p50", "p90", "p99", "p99.9", "max"
    )?;
    wave.classes.iter().try_for_each(|outcome| write_class(text, outcome))
}

fn write_class(text: &mut String, outcome: &ClassOutcome) -> fmt::Result {
    let ClassOutcome { class, asked, late, refused, failed, .. } = outcome;
    let in_time = outcome.in_time_percent();
    write!(text, "{class:>18}{asked:>8}{in_time:>9.2}%{late:>7}{refused:>9}{failed:>8}")?;
    outcome.quantiles_ms.iter().try_for_each(|ms| write!(text, "{ms:>9.1}"))?;
    writeln!(text)
}
