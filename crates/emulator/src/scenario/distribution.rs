//! Distributions that scenarios draw numbers from.

use rand::{Rng, RngExt};
use rand_distr::{Distribution as _, Exp, LogNormal};
use serde::Deserialize;

/// z of the 95th percentile of the normal distribution.
const Z95: f64 = 1.6449;

/// A named distribution; negative draws count as 0.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Distribution {
    Constant(f64),
    /// From, to.
    Uniform(f64, f64),
    /// One of these, each as likely.
    Values(Vec<f64>),
    /// Mean.
    Exponential(f64),
    Lognormal {
        median: f64,
        p95: f64,
        max: f64,
    },
}

impl Distribution {
    /// Draws one number; a negative one counts as 0.
    pub fn draw(&self, rng: &mut impl Rng) -> f64 {
        let drawn = match self {
            Distribution::Constant(x) => *x,
            Distribution::Uniform(a, b) => rng.random_range(*a..=*b),
            Distribution::Values(v) => v[rng.random_range(0..v.len())],
            Distribution::Exponential(mean) => Exp::new(1.0 / mean).map_or(*mean, |d| d.sample(rng)),
            Distribution::Lognormal { median, p95, max } => {
                let sigma = (p95 / median).ln() / Z95;
                LogNormal::new(median.ln(), sigma).map_or(*median, |d| d.sample(rng)).min(*max)
            }
        };
        drawn.max(0.0)
    }

    /// Checks the parameters.
    ///
    /// # Errors
    /// What is wrong with them.
    pub(super) fn check(&self) -> Result<(), &'static str> {
        let ok = |x: &f64| x.is_finite() && *x >= 0.0;
        match self {
            Distribution::Constant(x) if !ok(x) => Err("must not be negative"),
            Distribution::Uniform(a, b) if !(ok(a) && ok(b) && a <= b) => Err("needs two numbers, the smaller first"),
            Distribution::Values(v) if v.is_empty() || !v.iter().all(ok) => Err("needs numbers that are not negative"),
            Distribution::Exponential(m) if !(ok(m) && *m > 0.0) => Err("needs a mean above 0"),
            Distribution::Lognormal { median, p95, max }
                if !(*median > 0.0 && p95 >= median && max >= median && ok(max)) =>
            {
                Err("needs a median above 0, and p95 and max not below it")
            }
            _ => Ok(()),
        }
    }
}
