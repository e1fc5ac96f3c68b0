//! A line through measured points by least squares, and whether a line describes them.
//!
//! Points are curved if a parabola departs from the line by more than [`MOST_BEND`] of what the points rise, and the
//! parabola's own term is beyond chance (Student's t at 95%, which needs four points at least). With three points
//! chance can't be told from a bend, and the bound is [`MOST_BEND`] of the greatest value. Points are scattered if one
//! of four or more is further from the line than [`MOST_SCATTER`] of what they rise: noise, or a curve that is no
//! parabola. Points that rise by less than [`FLAT`] of the greatest value are a line, without a slope to speak of.

use serde::{Deserialize, Serialize};

/// A point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The quantity.
    pub x: f64,
    /// What was measured.
    pub y: f64,
}

/// A line, and how far the points are from it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// At a quantity of 0.
    pub fixed: f64,
    /// For each one more.
    pub slope: f64,
    /// Half of the slope's 95% interval.
    pub slope_within: f64,
    /// The points.
    pub points: Vec<Point>,
    /// Measured less the line, point by point.
    pub residuals: Vec<f64>,
    /// The parabola's greatest distance from the line within the points, over their rise.
    pub bend: f64,
    /// The greatest residual, over what the points rise.
    pub scatter: f64,
    /// Whether a line describes the points.
    pub verdict: Verdict,
}

/// Whether a line describes points.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It does.
    Line,
    /// They bend away from it.
    Curved,
    /// They are too far from it, without being a parabola.
    Scattered,
}

/// Greatest bend of a line.
pub const MOST_BEND: f64 = 0.05;
/// Greatest distance of a point from the line, over what the points rise.
pub const MOST_SCATTER: f64 = 0.1;
/// Points that rise less than this part of the greatest value are flat.
pub const FLAT: f64 = 0.05;
/// Student's t for 95%, two-sided, by degrees of freedom from 1.
const STUDENT: [f64; 10] = [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228];

fn student(freedom: usize) -> f64 {
    match freedom {
        0 => f64::INFINITY,
        n => STUDENT.get(n - 1).copied().unwrap_or(2.1),
    }
}

/// Fewer than three different quantities tell nothing about a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooFewPoints;

/// Puts a line through points.
pub fn fit(points: &[Point]) -> Result<Fit, TooFewPoints> {
    let mut quantities: Vec<f64> = points.iter().map(|point| point.x).collect();
    quantities.sort_by(f64::total_cmp);
    quantities.dedup();
    let (Some(least), Some(most)) = (quantities.first().copied(), quantities.last().copied()) else {
        return Err(TooFewPoints);
    };
    if quantities.len() < 3 {
        return Err(TooFewPoints);
    }
    // Quantities from -1 to 1 keep the sums of their powers well conditioned.
    let (centre, half) = ((least + most) / 2.0, (most - least) / 2.0);
    let scaled: Vec<Point> = points.iter().map(|p| Point { x: (p.x - centre) / half, y: p.y }).collect();
    let line = coefficients(&scaled, 2);
    let parabola = coefficients(&scaled, 3);
    let slope = line[1] / half;
    let fixed = line[0] - slope * centre;
    let residuals: Vec<f64> = points.iter().map(|p| p.y - (fixed + slope * p.x)).collect();
    let spread: f64 = points.iter().map(|p| (p.x - centre_of(points)).powi(2)).sum();
    let squares: f64 = residuals.iter().map(|residual| residual * residual).sum();
    let freedom = points.len() - 2;
    let slope_error = (squares / freedom as f64 / spread).sqrt();
    let (bend, scatter, verdict) = judge(&scaled, &line, &parabola);
    Ok(Fit {
        fixed,
        slope,
        slope_within: student(freedom) * slope_error,
        points: points.to_vec(),
        residuals,
        bend,
        scatter,
        verdict,
    })
}

fn centre_of(points: &[Point]) -> f64 {
    points.iter().map(|p| p.x).sum::<f64>() / points.len() as f64
}

/// The bend, the scatter, and what they say.
fn judge(scaled: &[Point], line: &[f64; 3], parabola: &[f64; 3]) -> (f64, f64, Verdict) {
    const STEPS: i32 = 50;
    let distance = |x: f64| (at(parabola, x) - at(line, x)).abs();
    let furthest = (-STEPS..=STEPS).map(|n| distance(f64::from(n) / f64::from(STEPS))).fold(0.0, f64::max);
    let residual = scaled.iter().map(|p| (p.y - at(line, p.x)).abs()).fold(0.0, f64::max);
    let ys = || scaled.iter().map(|p| p.y);
    let rise = ys().fold(f64::MIN, f64::max) - ys().fold(f64::MAX, f64::min);
    let tallest = ys().map(f64::abs).fold(0.0, f64::max);
    let over = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
    let (bend, scatter) = (over(furthest, rise), over(residual, rise));
    let verdict = if rise <= FLAT * tallest {
        Verdict::Line
    } else if scaled.len() == 3 {
        if over(furthest, tallest) <= MOST_BEND { Verdict::Line } else { Verdict::Curved }
    } else if bend > MOST_BEND && is_beyond_chance(scaled, parabola) {
        Verdict::Curved
    } else if scatter > MOST_SCATTER {
        Verdict::Scattered
    } else {
        Verdict::Line
    };
    (bend, scatter, verdict)
}

/// Whether the parabola's own term is more than its points' noise can make.
fn is_beyond_chance(scaled: &[Point], parabola: &[f64; 3]) -> bool {
    let squares: f64 = scaled.iter().map(|p| (p.y - at(parabola, p.x)).powi(2)).sum();
    let freedom = scaled.len() - 3;
    let error = (squares / freedom as f64 * inverse_corner(scaled)).sqrt();
    parabola[2].abs() > student(freedom) * error
}

fn at(coefficients: &[f64; 3], x: f64) -> f64 {
    coefficients[0] + x * (coefficients[1] + x * coefficients[2])
}

/// The normal equations' matrix of 1, x, x².
fn normal(points: &[Point]) -> [[f64; 3]; 3] {
    let mut matrix = [[0.0; 3]; 3];
    for point in points {
        let powers = [1.0, point.x, point.x * point.x];
        for (row, left) in matrix.iter_mut().zip(powers) {
            row.iter_mut().zip(powers).for_each(|(cell, right)| *cell += left * right);
        }
    }
    matrix
}

/// The least-squares polynomial of `terms` terms.
fn coefficients(points: &[Point], terms: usize) -> [f64; 3] {
    let mut right = [0.0; 3];
    for point in points {
        let powers = [1.0, point.x, point.x * point.x];
        right.iter_mut().zip(powers).for_each(|(cell, power)| *cell += power * point.y);
    }
    solve(normal(points), right, terms)
}

/// The last diagonal cell of the normal matrix's inverse: the variance of x²'s coefficient over that of a point.
fn inverse_corner(points: &[Point]) -> f64 {
    solve(normal(points), [0.0, 0.0, 1.0], 3)[2]
}

/// Gauss's elimination with pivots, over the first `terms` rows.
fn solve(mut matrix: [[f64; 3]; 3], mut right: [f64; 3], terms: usize) -> [f64; 3] {
    for column in 0..terms {
        let greater = |a: &usize, b: &usize| matrix[*a][column].abs().total_cmp(&matrix[*b][column].abs());
        let pivot = (column..terms).max_by(greater).unwrap_or(column);
        matrix.swap(column, pivot);
        right.swap(column, pivot);
        let row = matrix[column];
        for below in column + 1..terms {
            let factor = matrix[below][column] / row[column];
            matrix[below].iter_mut().zip(row).for_each(|(cell, above)| *cell -= factor * above);
            right[below] -= factor * right[column];
        }
    }
    let mut found = [0.0; 3];
    for row in (0..terms).rev() {
        let known: f64 = (row + 1..terms).map(|column| matrix[row][column] * found[column]).sum();
        found[row] = (right[row] - known) / matrix[row][row];
    }
    found
}
