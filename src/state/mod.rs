//! A controller's replica of the state kept in the store: the records and their keys, the
//! logs in which controllers record what happens to tasks, and the state derived from both.

#![warn(missing_docs)]

mod cluster_state;
mod index_ranges;
mod job;
mod job_table;
mod keys;
mod log_replay;
pub mod log_segment;
mod machine_groups;
mod machine_load;
pub mod objectives;
pub mod records;
mod resources;
pub mod service_levels;
mod sizing;
mod task_placement;
mod versioned;

pub use cluster_state::ClusterState;
pub use job::{EndedJob, Job, TaskRangeState};
pub use log_replay::{LogSlot, MemberLog};
pub use machine_load::{ImageLoad, Images, MachineLoad, PlacedTasks};
pub use resources::{Resources, heartbeat_bytes};
