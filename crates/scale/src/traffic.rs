//! The calls of a fleet's clients: a Poisson stream, drawn by seed.

use cresswheel_protocol::Micros;
use cresswheel_settings::ScaleScenario;
use rand_pcg::Pcg32;
use rand_pcg::rand_core::Rng;

/// Draws which gateway gets the next call, when, and of which function.
pub struct Calls {
    rng: Pcg32,
    rate: f64,
    gateways: usize,
    functions: usize,
    hot_functions: usize,
    hot_share: f64,
}

const STREAM: u64 = 0x5ca1e;

impl Calls {
    /// The calls of a scenario.
    pub fn new(scenario: &ScaleScenario) -> Self {
        Self {
            rng: Pcg32::new(scenario.seed, STREAM),
            rate: scenario.made_rate(),
            gateways: scenario.gateways,
            functions: scenario.functions,
            hot_functions: scenario.hot_functions,
            hot_share: scenario.hot_share,
        }
    }

    fn lot(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    fn below(&mut self, bound: usize) -> usize {
        ((self.lot() * bound as f64) as usize).min(bound.saturating_sub(1))
    }

    /// Time until the next call.
    pub fn gap(&mut self) -> Micros {
        (-(1.0 - self.lot()).ln() / self.rate * 1e6) as Micros
    }

    /// The gateway that gets it.
    pub fn gateway(&mut self) -> usize {
        self.below(self.gateways)
    }

    /// The function that it calls.
    pub fn function(&mut self) -> usize {
        let rare = self.functions - self.hot_functions;
        if self.lot() < self.hot_share || rare == 0 {
            self.below(self.hot_functions)
        } else {
            self.hot_functions + self.below(rare)
        }
    }
}

/// Functions that one gateway is expected to have been called for within a span.
pub fn expected_functions(scenario: &ScaleScenario, span: Micros) -> f64 {
    let rare = scenario.functions - scenario.hot_functions;
    let calls = scenario.made_rate() / scenario.gateways as f64 * span as f64 / 1e6;
    let heard = |functions: usize, share: f64| match functions {
        0 => 0.0,
        n => n as f64 * (1.0 - (-calls * share / n as f64).exp()),
    };
    heard(scenario.hot_functions, scenario.hot_share) + heard(rare, 1.0 - scenario.hot_share)
}

/// A function's name.
pub fn function_name(number: usize) -> String {
    format!("function-{number}")
}
