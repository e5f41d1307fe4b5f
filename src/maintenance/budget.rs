//! Budgets of disruption: how many of a team's replicas may be away at a time. What
//! fails by itself counts first; what is left may be spent on purpose.

use serde::Deserialize;

/// What a team agreed to. The larger of the two counts.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    /// Replicas away at a time.
    pub away: u32,
    /// Share of all replicas that the team wants.
    pub share: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { away: 1, share: 0.0 }
    }
}

impl Budget {
    pub fn allows(&self, wanted: u32) -> u32 {
        self.away.max((f64::from(wanted) * self.share).floor() as u32)
    }
}

/// The replicas of one team's services.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamReplicas {
    pub wanted: u32,
    /// Waiting, on a machine that nobody hears, just placed, or under a ticket.
    pub away: u32,
}

impl TeamReplicas {
    /// What may still be spent.
    pub fn left(&self, budget: &Budget) -> u32 {
        budget.allows(self.wanted).saturating_sub(self.away)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A zone was cut, and what was stopped on purpose came on top of it.
    #[test]
    fn what_fails_by_itself_is_spent_first() {
        let budget = Budget { away: 2, share: 0.1 };
        assert_eq!(TeamReplicas { wanted: 50, away: 0 }.left(&budget), 5);
        assert_eq!(TeamReplicas { wanted: 50, away: 4 }.left(&budget), 1);
        assert_eq!(TeamReplicas { wanted: 50, away: 30 }.left(&budget), 0);
        assert_eq!(TeamReplicas { wanted: 8, away: 0 }.left(&budget), 2);
    }
}
