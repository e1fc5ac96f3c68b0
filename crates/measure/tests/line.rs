//! Linear fits of generated series: a linear one is recognized, a quadratic one is rejected.

use cresswheel_measure::{LinearFit, Series, Spread};

const QUANTITIES: [usize; 4] = [100, 1_000, 4_000, 18_000];

fn generated_series(value: impl Fn(f64) -> f64) -> Series {
    let mut series = Series::new("generated", "us", "functions");
    for quantity in QUANTITIES {
        let value = value(quantity as f64);
        series.add(quantity, vec![value * 0.99, value, value * 1.01]);
    }
    series
}

#[test]
fn fits_a_linear_series() {
    let series = generated_series(|x| 50.0 + 3.0 * x);
    let line = series.line();
    assert!((line.slope - 3.0).abs() < 1e-9 && (line.fixed - 50.0).abs() < 1e-6, "{line:?}");
    let slopes = series.slopes();
    assert!(slopes.least < 3.0 && slopes.greatest > 3.0, "{slopes:?}");
    assert!(series.is_linear());
    assert!((line.at(1_000.0) - 3_050.0).abs() < 1e-6);
}

#[test]
fn rejects_a_quadratic_series() {
    let series = generated_series(|x| 0.01 * x * x);
    assert!(!series.is_linear());
    assert!(series.to_string().contains("NO LINE"));
}

#[test]
fn handles_empty_and_single_values() {
    assert_eq!(Spread::of(&[]), Spread { least: 0.0, median: 0.0, greatest: 0.0 });
    assert_eq!(Spread::of(&[3.0, 1.0]).median, 3.0);
    assert_eq!(LinearFit::least_squares(&[(5.0, 2.0)]).at(9.0), 2.0);
    assert_eq!(LinearFit::least_squares(&[]).slope, 0.0);
    assert!(Series::new("nothing", "us", "functions").is_linear());
}
