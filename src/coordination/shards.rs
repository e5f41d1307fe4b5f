//! Decides which controller owns which machines and which tasks it may place. These are the
//! leader's decisions, as pure functions of the replicated state.
//!
//! - `machine_moves`: moves of machine groups to other owners, and the owners of new machines
//! - `assignment`: the ranges of a job's tasks that each controller may place

#![warn(missing_docs)]

mod assignment;
mod machine_moves;

pub use assignment::{AssignmentInputs, assign_task_ranges};
pub use machine_moves::{GroupMove, gather_for_gang, owners_for_new_machines, rebalance, required_moves};

#[cfg(test)]
mod tests;
