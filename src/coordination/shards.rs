//! Decides which controller owns which machines and which tasks it may place. These are the
//! leader's decisions, as pure functions of the replicated state.
//!
//! - `machine_moves`: moves of machine groups to other owners, and the owners of new machines
//! - `gang_gathering`: the moves that bring machines into one shard for a gang
//! - `assignment`: the ranges of a job's tasks that each controller may place
//! - `queues`: what the tasks that wait at each controller need, and which of them are stalled
//! - `machine_kinds`: the controllers with machines on which a job could run at all

#![warn(missing_docs)]

mod assignment;
mod gang_gathering;
mod machine_kinds;
mod machine_moves;
mod queues;

pub use assignment::{AssignmentInputs, assign_task_ranges, fitting_tasks_by_member, queued_tasks};
pub use gang_gathering::gather_for_gang;
pub use machine_kinds::ShardMachineKinds;
pub use machine_moves::{GroupMove, owners_for_new_machines, rebalance, required_moves};
pub use queues::{JobProgress, ShardQueue, StalledJobs};

#[cfg(test)]
mod tests;
