//! Probability distributions from which scenarios draw numbers.

use rand::{Rng, RngExt};
use rand_distr::{Distribution as _, Exp, LogNormal};
use serde::Deserialize;

/// The 95th percentile of the standard normal distribution.
const NORMAL_P95: f64 = 1.6449;

/// A probability distribution; negative draws count as 0.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Distribution {
    /// Always this number.
    Constant(f64),
    /// Uniform between two numbers, both included.
    Uniform(f64, f64),
    /// One of these numbers, with equal probability.
    Values(Vec<f64>),
    /// Exponential with this mean.
    Exponential(f64),
    /// Lognormal, with draws above the maximum cut to it.
    Lognormal {
        /// Median.
        median: f64,
        /// 95th percentile.
        p95: f64,
        /// Largest number that is drawn.
        max: f64,
    },
}

impl Distribution {
    /// Draws one number; a negative one counts as 0.
    pub fn draw(&self, rng: &mut impl Rng) -> f64 {
        let drawn = match self {
            Distribution::Constant(x) => *x,
            Distribution::Uniform(low, high) => rng.random_range(*low..=*high),
            Distribution::Values(values) => values[rng.random_range(0..values.len())],
            Distribution::Exponential(mean) => Exp::new(1.0 / mean).map_or(*mean, |d| d.sample(rng)),
            Distribution::Lognormal { median, p95, max } => {
                let sigma = (p95 / median).ln() / NORMAL_P95;
                LogNormal::new(median.ln(), sigma).map_or(*median, |d| d.sample(rng)).min(*max)
            }
        };
        drawn.max(0.0)
    }

    /// Checks the parameters.
    ///
    /// # Errors
    /// A parameter is out of range; the error says which rule it breaks.
    pub(super) fn check(&self) -> Result<(), &'static str> {
        let valid = |x: &f64| x.is_finite() && *x >= 0.0;
        match self {
            Distribution::Constant(x) if !valid(x) => Err("must not be negative"),
            Distribution::Uniform(low, high) if !(valid(low) && valid(high) && low <= high) => {
                Err("needs two numbers, the smaller first")
            }
            Distribution::Values(values) if values.is_empty() || !values.iter().all(valid) => {
                Err("needs numbers that are not negative")
            }
            Distribution::Exponential(mean) if !(valid(mean) && *mean > 0.0) => Err("needs a mean above 0"),
            Distribution::Lognormal { median, p95, max }
                if !(*median > 0.0 && p95 >= median && max >= median && valid(max)) =>
            {
                Err("needs a median above 0, and a p95 and a max that are not below it")
            }
            _ => Ok(()),
        }
    }
}
