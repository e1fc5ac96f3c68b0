//! The verdict as text.

use std::fmt;

use super::RULES;
use super::verdict::{ClassTable, InstanceCost, RuleVerdict, Verdict};

/// What is judged of functions with versions.
const VERSIONS: &str = "one version for each call, and the answer names it";
/// So many violations of a rule, and unreadable lines, are shown.
const SHOWN: usize = 5;

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (rule, verdict) in RULES.iter().zip(&self.rules) {
            write_rule(f, rule, verdict)?;
        }
        if self.versions.checked > 0 {
            write_rule(f, VERSIONS, &self.versions)?;
        }
        for line in self.unreadable.iter().take(SHOWN) {
            writeln!(f, "records can't be read: {line}")?;
        }
        self.write_classes(f)?;
        self.write_totals(f)
    }
}

fn write_rule(f: &mut fmt::Formatter<'_>, rule: &str, verdict: &RuleVerdict) -> fmt::Result {
    let word = if verdict.violations.is_empty() { "held" } else { "BROKEN" };
    writeln!(f, "{word:6}  {rule} ({} looked at)", verdict.checked)?;
    for violation in verdict.violations.iter().take(SHOWN) {
        writeln!(f, "        {violation}")?;
    }
    if verdict.violations.len() > SHOWN {
        writeln!(f, "        and {} more", verdict.violations.len() - SHOWN)?;
    }
    Ok(())
}

fn write_class(f: &mut fmt::Formatter<'_>, class: &str, table: &ClassTable) -> fmt::Result {
    let ClassTable { asked, in_time, late, refused, failed, left, gone, .. } = table;
    write!(f, "{class:18}")?;
    for count in [asked, in_time, late, refused, failed, left, gone] {
        write!(f, "{count:9}")?;
    }
    writeln!(f, "{:9.1}{:9.1}", table.quantile_ms(0.5), table.quantile_ms(0.99))
}

fn write_reasons(f: &mut fmt::Formatter<'_>, class: &str, table: &ClassTable) -> fmt::Result {
    if table.reasons.is_empty() {
        return Ok(());
    }
    let reasons: Vec<String> = table.reasons.iter().map(|(why, count)| format!("{why} {count}")).collect();
    writeln!(f, "{class}: {}", reasons.join(", "))
}

impl Verdict {
    fn write_classes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\n{:18}", "class")?;
        for head in ["asked", "in time", "late", "refused", "failed", "left", "gone", "p50 ms", "p99 ms"] {
            write!(f, "{head:>9}")?;
        }
        writeln!(f)?;
        for (class, table) in &self.classes {
            write_class(f, class, table)?;
        }
        for (class, table) in &self.classes {
            write_reasons(f, class, table)?;
        }
        Ok(())
    }

    fn write_totals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let InstanceCost { memory_gb_s, load_orders } = self.instances;
        writeln!(
            f,
            "workers held {memory_gb_s:.1} GB seconds of instances, gateways gave {load_orders} load orders"
        )?;
        if !self.served.is_empty() {
            let served: Vec<String> =
                self.served.iter().map(|(name, count)| format!("{name} {count}")).collect();
            writeln!(f, "served by version: {}", served.join(", "))?;
        }
        if self.deferred_lost > 0 {
            let lost = self.deferred_lost;
            writeln!(f, "{lost} deferred calls were lost with a killed gateway (docs/OPERATIONS.md)")?;
        }
        Ok(())
    }
}
