//! Lines through planted points: a parabola is told from a line, with noise and without.

use cresswheel_scale::Sweep;
use cresswheel_scale::fit::{Fit, Point, TooFewPoints, Verdict, fit};

fn through(xs: &[f64], y: impl Fn(f64) -> f64) -> Fit {
    let points: Vec<Point> = xs.iter().map(|x| Point { x: *x, y: y(*x) }).collect();
    fit(&points).expect("enough points")
}

/// A part of the value, up to `share` either way, that differs from point to point.
fn noise(x: f64, share: f64) -> f64 {
    1.0 + share * (x * 12.9898).sin()
}

const THREE: [f64; 3] = [1_000.0, 4_000.0, 18_000.0];
const SIX: [f64; 6] = [1_000.0, 2_000.0, 4_000.0, 8_000.0, 12_000.0, 18_000.0];

#[test]
fn a_planted_line_is_found_with_its_slope() {
    for xs in [&THREE[..], &SIX[..]] {
        let found = through(xs, |x| 250.0 + 0.125 * x);
        assert!(found.verdict == Verdict::Line, "{found:?}");
        assert!((found.fixed - 250.0).abs() < 1e-6 && (found.slope - 0.125).abs() < 1e-9, "{found:?}");
        assert!(found.residuals.iter().all(|residual| residual.abs() < 1e-6), "{found:?}");
    }
}

#[test]
fn a_planted_parabola_is_no_line() {
    for xs in [&THREE[..], &SIX[..]] {
        let found = through(xs, |x| 250.0 + 1e-5 * x * x);
        assert!(found.verdict == Verdict::Curved, "{found:?}");
    }
    let noisy = through(&SIX, |x| (250.0 + 1e-5 * x * x) * noise(x, 0.03));
    assert!(noisy.verdict == Verdict::Curved, "{noisy:?}");
}

#[test]
fn a_noisy_line_and_a_flat_one_are_lines() {
    let noisy = through(&SIX, |x| (250.0 + 0.125 * x) * noise(x, 0.05));
    assert!(noisy.verdict == Verdict::Line, "{noisy:?}");
    assert!((noisy.slope - 0.125).abs() <= noisy.slope_within, "{noisy:?}");
    for xs in [&THREE[..], &SIX[..]] {
        let flat = through(xs, |x| 400.0 * noise(x, 0.02));
        assert!(flat.verdict == Verdict::Line, "{flat:?}");
    }
    assert_eq!(through(&THREE, |_| 0.0).verdict, Verdict::Line);
}

#[test]
fn a_curve_that_is_no_parabola_is_no_line() {
    // Five points each of one sweep: what levels off, and what rose and fell.
    let xs = [1_000.0, 2_000.0, 4_000.0, 8_000.0, 18_000.0];
    let levelling = [4_061_184.0, 5_789_696.0, 6_897_664.0, 7_825_408.0, 8_476_672.0];
    let hump = [7_809.0, 29_176.0, 25_925.0, 11_993.0, 8_694.0];
    for ys in [levelling, hump] {
        let points: Vec<Point> = xs.into_iter().zip(ys).map(|(x, y)| Point { x, y }).collect();
        assert_eq!(fit(&points).unwrap().verdict, Verdict::Scattered);
    }
}

#[test]
fn the_interval_is_that_of_students_t() {
    // By hand: residuals -1, 2, -1 of x = 0, 1, 2; s² = 6 / 1, spread 2, error sqrt(3), t = 12.706.
    let found = through(&[0.0, 1.0, 2.0], |x| [9.0, 13.0, 11.0][x as usize]);
    assert!((found.slope - 1.0).abs() < 1e-9 && (found.fixed - 10.0).abs() < 1e-9, "{found:?}");
    assert!((found.slope_within - 12.706 * 3f64.sqrt()).abs() < 1e-6, "{found:?}");
}

#[test]
fn two_quantities_are_no_sweep() {
    let points = [1.0, 1.0, 2.0].map(|x| Point { x, y: x });
    assert_eq!(fit(&points), Err(TooFewPoints));
    assert_eq!(fit(&[]), Err(TooFewPoints));
    let sweep = |text: &str| text.parse::<Sweep>();
    assert_eq!(sweep("functions=1000,4000,18000").unwrap().values, THREE);
    assert_eq!(sweep("rate-fraction=0.1,0.2,0.3").unwrap().quantity, "rate_fraction");
    assert!(sweep("functions=1,1,2").unwrap_err().contains("three different values"));
    assert!(sweep("funktions=1,2,3").unwrap_err().contains("funktions is no quantity"));
    assert!(sweep("functions=1,x,3").unwrap_err().contains("x is no number"));
    assert!(sweep("functions").unwrap_err().contains("is wanted"));
}
