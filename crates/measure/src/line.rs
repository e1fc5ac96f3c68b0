//! Linear fits of a measured value against a quantity, from repeated runs.

use std::fmt;

/// The minimum, median and maximum of several runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The minimum.
    pub least: f64,
    /// The median.
    pub median: f64,
    /// The maximum.
    pub greatest: f64,
}

impl Spread {
    /// The spread of these values; all zero if there are none.
    pub fn of(values: &[f64]) -> Self {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |index: usize| sorted.get(index).copied().unwrap_or(0.0);
        Self { least: at(0), median: at(sorted.len() / 2), greatest: at(sorted.len().saturating_sub(1)) }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({} to {})", short(self.median), short(self.least), short(self.greatest))
    }
}

/// The value with about four significant digits.
fn short(value: f64) -> String {
    let digits = match value.abs() {
        x if x >= 1_000.0 => 0,
        x if x >= 100.0 => 1,
        x if x >= 10.0 => 2,
        x if x >= 1.0 => 3,
        _ => 4,
    };
    format!("{value:.digits$}")
}

/// A linear function: `fixed + slope * quantity`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// The value at quantity 0.
    pub fixed: f64,
    /// Increase of the value per unit of the quantity.
    pub slope: f64,
}

impl LinearFit {
    /// The least-squares fit of the points; its slope is 0 if there are fewer than two distinct quantities.
    pub fn least_squares(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        let sum_xy = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        Self { fixed: mean_y - slope * mean_x, slope }
    }

    /// The value at a quantity.
    pub fn at(&self, quantity: f64) -> f64 {
        self.fixed + self.slope * quantity
    }
}

/// Largest relative residual at which a series still counts as linear.
const MAX_RELATIVE_RESIDUAL: f64 = 0.15;

/// A value measured at several quantities, several times at each.
#[derive(Clone, Debug)]
pub struct Series {
    name: String,
    unit: String,
    quantity: String,
    points: Vec<(f64, Vec<f64>)>,
}

impl Series {
    /// An empty series. `quantity` names what the value may grow with.
    pub fn new(name: &str, unit: &str, quantity: &str) -> Self {
        Self { name: name.into(), unit: unit.into(), quantity: quantity.into(), points: Vec::new() }
    }

    /// Adds the runs at one quantity.
    pub fn add(&mut self, quantity: usize, runs: Vec<f64>) {
        self.points.push((quantity as f64, runs));
    }

    /// The linear fit of the medians.
    pub fn line(&self) -> LinearFit {
        let medians = self.points.iter().map(|(x, runs)| (*x, Spread::of(runs).median));
        LinearFit::least_squares(&medians.collect::<Vec<_>>())
    }

    /// The slopes of the fits of the first runs, the second runs and so on.
    pub fn slopes(&self) -> Spread {
        let runs = self.points.iter().map(|(_, runs)| runs.len()).min().unwrap_or(0);
        let of_run = |run: usize| {
            let points = self.points.iter().map(|(x, runs)| (*x, runs[run]));
            LinearFit::least_squares(&points.collect::<Vec<_>>()).slope
        };
        Spread::of(&(0..runs).map(of_run).collect::<Vec<_>>())
    }

    /// The largest residual of a median, relative to the median, and its quantity. Only the upper half of the
    /// quantities counts: below it the fixed part and noise outweigh the slope.
    pub fn worst_residual(&self) -> (f64, f64) {
        let line = self.line();
        let upper = &self.points[self.points.len() / 2..];
        let residuals = upper.iter().map(|(x, runs)| {
            let median = Spread::of(runs).median;
            ((line.at(*x) - median).abs() / median.abs().max(f64::MIN_POSITIVE), *x)
        });
        residuals.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, 0.0))
    }

    /// Whether the linear fit describes the measured values.
    pub fn is_linear(&self) -> bool {
        self.worst_residual().0 <= MAX_RELATIVE_RESIDUAL
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, {}, by {}", self.name, self.unit, self.quantity)?;
        for (x, runs) in &self.points {
            writeln!(f, "  {x:>8}  {}", Spread::of(runs))?;
        }
        let (residual, at) = self.worst_residual();
        let (line, verdict) = (self.line(), if self.is_linear() { "a line" } else { "NO LINE" });
        write!(f, "  {verdict}: fixed {}, slope {}; ", short(line.fixed), self.slopes())?;
        writeln!(f, "furthest residual {:.1}% at {at}", residual * 100.0)
    }
}
