//! Compares the knapsack with an exhaustive search.

use super::*;
use rand::{RngExt, SeedableRng, rngs::StdRng};

/// The greatest value of any set of tasks that fits, found by trying all sets.
fn best_value(groups: &[TaskGroup], free: Steps) -> f32 {
    let Some((first, rest)) = groups.split_first() else {
        return 0.0;
    };
    let mut best: f32 = 0.0;
    for count in 0..=first.count {
        let left = [0, 1, 2].map(|d| free[d].checked_sub(count * first.steps()[d]));
        let [Some(mem), Some(cpu), Some(gpu)] = left else { break };
        best = best.max(count as f32 * first.value + best_value(rest, [mem, cpu, gpu]));
    }
    best
}

/// Covers all dimensions. Many of the cases have dimensions that cannot bind: leaving those out
/// must not change the value.
#[test]
fn the_value_is_that_of_an_exhaustive_search() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut knapsack = Knapsack::default();
    for round in 0..600 {
        let gpus = if round % 3 == 0 { 1 } else { 5 };
        let groups: Vec<TaskGroup> = (0..rng.random_range(1..5))
            .map(|id| TaskGroup {
                id,
                count: rng.random_range(0..6),
                mem: rng.random_range(0..9),
                cpu: rng.random_range(0..9),
                gpu: rng.random_range(0..gpus),
                value: task_value(rng.random_range(0.0..8.0), 8.0),
            })
            .collect();
        let free = [rng.random_range(0..30), rng.random_range(0..30), rng.random_range(0..12)];
        let chosen = knapsack.solve(&groups, free);
        let total = |f: &dyn Fn(&TaskGroup) -> f32| -> f32 {
            chosen.iter().map(|(id, count)| f(&groups[*id]) * *count as f32).sum()
        };
        for (d, free) in free.iter().enumerate() {
            assert!(total(&|g| g.steps()[d] as f32) <= *free as f32, "round {round}");
        }
        assert!(chosen.iter().all(|(id, count)| *count <= groups[*id].count));
        let (found, expected) = (total(&|g| g.value), best_value(&groups, free));
        assert!((found - expected).abs() < 1e-3, "round {round}: {found} {expected}");
    }
}
