//! Disruption budgets: how many of a team's replicas may be away at a time. Replicas that
//! are away because of failures count first; only the rest of the budget may be used for
//! maintenance.

#![warn(missing_docs)]

use serde::Deserialize;

/// The disruption budget that a team has agreed to. The larger of the two limits applies.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DisruptionBudget {
    /// The number of replicas that may be away at a time.
    #[serde(rename = "away")]
    pub max_away: u32,
    /// The share of all the team's wanted replicas that may be away at a time.
    #[serde(rename = "share")]
    pub max_away_share: f64,
}

impl Default for DisruptionBudget {
    fn default() -> Self {
        DisruptionBudget { max_away: 1, max_away_share: 0.0 }
    }
}

impl DisruptionBudget {
    /// The number of replicas that may be away at a time, of `wanted` ones.
    pub fn allowed_away(&self, wanted: u32) -> u32 {
        self.max_away.max((f64::from(wanted) * self.max_away_share).floor() as u32)
    }
}

/// The replicas of one team's services.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamReplicas {
    /// The number of replicas that the team wants.
    pub wanted: u32,
    /// The number of replicas that are away: waiting, on a machine that no controller hears,
    /// just placed, or with a permit.
    pub away: u32,
}

impl TeamReplicas {
    /// The number of replicas that may be stopped within the budget, beside those away already.
    pub fn remaining(&self, budget: &DisruptionBudget) -> u32 {
        budget.allowed_away(self.wanted).saturating_sub(self.away)
    }
}

#[cfg(test)]
mod tests;
