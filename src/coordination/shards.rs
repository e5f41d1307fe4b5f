//! Which controller owns which machines, and which tasks it may place: what the leader
//! decides, as pure functions of the replicated state.
//!
//! - `machine_moves`: machine groups that change their owner, and owners of new machines
//! - `assignment`: the ranges of a job's tasks that each controller may place

mod assignment;
mod machine_moves;

pub use assignment::{AssignmentInputs, assign_task_ranges};
pub use machine_moves::{Move, gather_for_gang, rebalance, spread, wanted_moves};

#[cfg(test)]
mod tests;
