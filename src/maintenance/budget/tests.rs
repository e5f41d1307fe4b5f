//! Tests of disruption budgets.

use super::*;

/// Guards against stopping replicas for maintenance in addition to those that are away
/// because a zone is partitioned.
#[test]
fn failures_count_against_the_budget_first() {
    let budget = DisruptionBudget { max_away: 2, max_away_share: 0.1 };
    assert_eq!(TeamReplicas { wanted: 50, away: 0 }.remaining(&budget), 5);
    assert_eq!(TeamReplicas { wanted: 50, away: 4 }.remaining(&budget), 1);
    assert_eq!(TeamReplicas { wanted: 50, away: 30 }.remaining(&budget), 0);
    assert_eq!(TeamReplicas { wanted: 8, away: 0 }.remaining(&budget), 2);
}
