//! The resources that machines offer and tasks require.

#![warn(missing_docs)]

use crate::protocol::heartbeat_size::task_bytes;
use crate::protocol::user::JobSpec;

/// Amounts of CPU cores, GPUs, memory and space in the heartbeat, of a machine or of tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// The number of CPU cores.
    pub cores: f64,
    /// The number of GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub mem_gb: f64,
    /// Space in the heartbeat of the machine, which lists every task, in bytes.
    pub heartbeat_bytes: f64,
}

impl Resources {
    /// The resources that `tasks` tasks of the job require.
    pub fn of_tasks(spec: &JobSpec, tasks: f64) -> Resources {
        Resources {
            cores: spec.cores * tasks,
            gpus: spec.gpus * tasks,
            mem_gb: spec.mem_gb * tasks,
            heartbeat_bytes: heartbeat_bytes(spec) * tasks,
        }
    }

    /// Adds the resources that `tasks` tasks of the job require. A negative number subtracts
    /// them.
    pub fn add(&mut self, spec: &JobSpec, tasks: f64) {
        self.add_scaled(Resources::of_tasks(spec, tasks), 1.0);
    }

    /// Adds `other` multiplied by `factor`.
    pub fn add_scaled(&mut self, other: Resources, factor: f64) {
        self.cores += other.cores * factor;
        self.gpus += other.gpus * factor;
        self.mem_gb += other.mem_gb * factor;
        self.heartbeat_bytes += other.heartbeat_bytes * factor;
    }
}

/// The space that one task of the job takes in the heartbeat of its machine, in bytes.
pub fn heartbeat_bytes(spec: &JobSpec) -> f64 {
    task_bytes(&spec.uid, spec.task_count) as f64
}
