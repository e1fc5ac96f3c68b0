//! Several runs that differ in one quantity, and lines through their figures.

use std::collections::BTreeMap;
use std::fmt;

use cresswheel_settings::QUANTITIES;
use serde::{Deserialize, Serialize};

use crate::fit::{Fit, Point, Verdict, fit};
use crate::report::Report;

/// A quantity and the values that it is to have.
#[derive(Clone, Debug, PartialEq)]
pub struct Sweep {
    /// The quantity.
    pub quantity: &'static str,
    /// Its values, three different ones at least.
    pub values: Vec<f64>,
}

/// Most runs of a sweep.
const MOST_RUNS: usize = 50;

impl std::str::FromStr for Sweep {
    type Err = String;

    /// Reads `functions=1000,4000,18000`.
    fn from_str(text: &str) -> Result<Self, String> {
        let (name, values) = text.split_once('=').ok_or("QUANTITY=VALUE,VALUE,VALUE is wanted")?;
        let name = name.replace('-', "_");
        let known = QUANTITIES.iter().find(|quantity| quantity.name == name);
        let quantity = known.ok_or_else(|| {
            let names: Vec<_> = QUANTITIES.iter().map(|quantity| quantity.name).collect();
            format!("{name} is no quantity; there are {}", names.join(", "))
        })?;
        let number = |text: &str| text.parse::<f64>().map_err(|_| format!("{text} is no number"));
        let values = values.split(',').map(number).collect::<Result<Vec<_>, _>>()?;
        let mut different = values.clone();
        different.sort_by(f64::total_cmp);
        different.dedup();
        if different.len() < 3 || values.len() > MOST_RUNS {
            return Err(format!("from three different values to {MOST_RUNS} are wanted"));
        }
        Ok(Self { quantity: quantity.name, values })
    }
}

/// The lines of a sweep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SweepReport {
    /// The quantity.
    pub quantity: String,
    /// The runs, in the order of the values.
    pub runs: Vec<Report>,
    /// By figure.
    pub fits: BTreeMap<String, Fit>,
}

impl SweepReport {
    /// Puts a line through each figure that all runs have.
    pub fn new(quantity: &str, runs: Vec<Report>) -> Self {
        let mut points: BTreeMap<String, Vec<Point>> = BTreeMap::new();
        for run in &runs {
            let x = run.quantities.get(quantity).copied().unwrap_or_default();
            for (name, y) in run.figures() {
                points.entry(name).or_default().push(Point { x, y });
            }
        }
        points.retain(|_, points| points.len() == runs.len());
        let fits = points.into_iter().filter_map(|(name, points)| Some((name, fit(&points).ok()?)));
        Self { quantity: quantity.into(), fits: fits.collect(), runs }
    }
}

/// A number with four digits that count.
fn short(value: f64) -> String {
    if value == 0.0 || (1e-3..1e7).contains(&value.abs()) {
        let digits = (3 - value.abs().max(1e-3).log10().floor() as i32).clamp(0, 7) as usize;
        format!("{value:.digits$}")
    } else {
        format!("{value:.3e}")
    }
}

impl fmt::Display for SweepReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for run in &self.runs {
            if let Some(why) = &run.ended_early {
                let value = run.quantities.get(&self.quantity).copied().unwrap_or_default();
                writeln!(f, "{} = {value} ENDED EARLY: {why}", self.quantity)?;
            }
        }
        for (figure, fit) in &self.fits {
            let Fit { fixed, slope, slope_within, points, residuals, bend, scatter, verdict } = fit;
            let verdict = match verdict {
                Verdict::Line => "",
                Verdict::Curved => "  NOT A LINE: it bends",
                Verdict::Scattered => "  NOT A LINE: points are far from it",
            };
            writeln!(
                f,
                "{figure}: {} + {} (± {}) x {}{verdict} (bend {:.1}%, scatter {:.1}%)",
                short(*fixed),
                short(*slope),
                short(*slope_within),
                self.quantity,
                bend * 100.0,
                scatter * 100.0
            )?;
            for (Point { x, y }, residual) in points.iter().zip(residuals) {
                writeln!(f, "    {x:>12}: {} (residual {})", short(*y), short(*residual))?;
            }
        }
        Ok(())
    }
}
