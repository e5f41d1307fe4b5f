//! Decides which controller owns which machines and which tasks it may place. These are the
//! leader's decisions, as pure functions of the replicated state.
//!
//! - `machine_moves`: moves of machine groups to other owners, and the owners of new machines
//! - `gang_gathering`: the moves that bring machines into one shard for a gang
//! - `assignment`: the ranges of a job's tasks that each controller may place

#![warn(missing_docs)]

mod assignment;
mod gang_gathering;
mod machine_moves;

pub use assignment::{AssignmentInputs, assign_task_ranges};
pub use gang_gathering::gather_for_gang;
pub use machine_moves::{GroupMove, owners_for_new_machines, rebalance, required_moves};

#[cfg(test)]
mod tests;
