//! Tests of machine loads, compared with a full count of the placements.

use super::*;
use crate::state::ClusterState;
use crate::state::records::{JobRecord, TaskRangeCheckpoint};
use crate::state::versioned::to_value;

/// Loads are updated with every placement. If they deviated, the controller would rent
/// needless machines or overload those it has.
#[test]
fn loads_agree_with_a_full_count_of_placements() {
    let mut state = ClusterState::new(8);
    let mut spec = JobSpec::example("run-1");
    spec.task_count = 16;
    let rec = JobRecord {
        spec: Some(spec.clone()),
        final_status: None,
        task_count: 16,
        submitted_ms: 0,
        task_ranges: Vec::new(),
    };
    state.put("fq/j/run-1", &to_value(&rec), 1);
    let at = |index, machine: &str| Placement { index, machine: machine.into(), attempt: 1 };
    let states: [&[Placement]; 4] =
        [&[at(0, "m"), at(1, "m"), at(2, "n")], &[at(1, "m")], &[at(1, "n"), at(3, "m")], &[]];
    for (i, on) in states.iter().enumerate() {
        let checkpoint =
            TaskRangeCheckpoint { placements: on.to_vec(), highest_attempt: 1, ..TaskRangeCheckpoint::default() };
        state.put("fq/t/run-1/0", &to_value(&checkpoint), 2 + i as u64);
        for machine in ["m", "n"] {
            let placed = state.placed_tasks.get(machine).map_or(0, |p| p.len());
            let load = state.machine_loads.get(machine).cloned().unwrap_or_default();
            assert!((load.total.cores - spec.cores * placed as f64).abs() < 1e-9, "state {i}");
            assert_eq!(load.images.contains(&spec.image), placed > 0, "state {i}");
        }
    }
}
