//! The resources that machines offer and tasks require.

#![warn(missing_docs)]

use crate::protocol::user::JobSpec;

/// Amounts of CPU cores, GPUs and memory, of a machine or of tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Resources {
    /// The number of CPU cores.
    pub cores: f64,
    /// The number of GPUs.
    pub gpus: f64,
    /// Memory, in GB.
    pub mem_gb: f64,
}

impl Resources {
    /// The resources that `tasks` tasks of the job require.
    pub fn of_tasks(spec: &JobSpec, tasks: f64) -> Resources {
        Resources { cores: spec.cores * tasks, gpus: spec.gpus * tasks, mem_gb: spec.mem_gb * tasks }
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
    }
}
