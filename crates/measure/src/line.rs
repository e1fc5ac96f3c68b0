//! Repeated runs at several quantities, and the straight line through them.

use std::fmt;

/// The least, the middle and the greatest of several runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The least.
    pub least: f64,
    /// The median.
    pub median: f64,
    /// The greatest.
    pub greatest: f64,
}

impl Spread {
    /// Of these values; all zero if there are none.
    pub fn of(values: &[f64]) -> Self {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |place: usize| sorted.get(place).copied().unwrap_or(0.0);
        Self { least: at(0), median: at(sorted.len() / 2), greatest: at(sorted.len().saturating_sub(1)) }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({} to {})", short(self.median), short(self.least), short(self.greatest))
    }
}

/// Four digits that count.
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

/// `fixed + slope x quantity`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at quantity 0.
    pub fixed: f64,
    /// Growth by one of the quantity.
    pub slope: f64,
}

impl Line {
    /// The line of least squares through the points; with fewer than two quantities a level one.
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        let common = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
        let slope = if spread > 0.0 { common / spread } else { 0.0 };
        Self { fixed: mean_y - slope * mean_x, slope }
    }

    /// The value at a quantity.
    pub fn at(&self, quantity: f64) -> f64 {
        self.fixed + self.slope * quantity
    }
}

/// A residual beyond this part of the measured value makes a line none.
const STRAIGHT: f64 = 0.15;

/// One figure measured at several quantities, several times at each.
#[derive(Clone, Debug)]
pub struct Series {
    name: String,
    unit: String,
    quantity: String,
    points: Vec<(f64, Vec<f64>)>,
}

impl Series {
    /// Nothing measured yet. `quantity` names what the figure may grow with.
    pub fn new(name: &str, unit: &str, quantity: &str) -> Self {
        Self { name: name.into(), unit: unit.into(), quantity: quantity.into(), points: Vec::new() }
    }

    /// Adds the runs at one quantity.
    pub fn add(&mut self, quantity: usize, runs: Vec<f64>) {
        self.points.push((quantity as f64, runs));
    }

    /// The line through the medians.
    pub fn line(&self) -> Line {
        let medians = self.points.iter().map(|(x, runs)| (*x, Spread::of(runs).median));
        Line::through(&medians.collect::<Vec<_>>())
    }

    /// The slopes of the lines through the first runs, the second runs and so on.
    pub fn slopes(&self) -> Spread {
        let runs = self.points.iter().map(|(_, runs)| runs.len()).min().unwrap_or(0);
        let of_run = |run: usize| {
            let points = self.points.iter().map(|(x, runs)| (*x, runs[run]));
            Line::through(&points.collect::<Vec<_>>()).slope
        };
        Spread::of(&(0..runs).map(of_run).collect::<Vec<_>>())
    }

    /// The median that lies furthest from the line, as a part of itself, and its quantity. Only the upper half of the
    /// quantities counts: below it the fixed part and chance outweigh the slope.
    pub fn furthest(&self) -> (f64, f64) {
        let line = self.line();
        let upper = &self.points[self.points.len() / 2..];
        let distances = upper.iter().map(|(x, runs)| {
            let median = Spread::of(runs).median;
            ((line.at(*x) - median).abs() / median.abs().max(f64::MIN_POSITIVE), *x)
        });
        distances.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((0.0, 0.0))
    }

    /// Whether the line describes what was measured.
    pub fn is_straight(&self) -> bool {
        self.furthest().0 <= STRAIGHT
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}, {}, by {}", self.name, self.unit, self.quantity)?;
        for (x, runs) in &self.points {
            writeln!(f, "  {x:>8}  {}", Spread::of(runs))?;
        }
        let (distance, at) = self.furthest();
        let (line, verdict) = (self.line(), if self.is_straight() { "a line" } else { "NO LINE" });
        write!(f, "  {verdict}: fixed {}, slope {}; ", short(line.fixed), self.slopes())?;
        writeln!(f, "furthest residual {:.1}% at {at}", distance * 100.0)
    }
}
