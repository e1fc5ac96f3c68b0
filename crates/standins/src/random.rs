//! Random draws that stand-ins and clients share.

use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

/// A uniform random number in [0, 1).
pub fn uniform(rng: &mut Pcg32) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}
