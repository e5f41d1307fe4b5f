//! The free capacity of a machine, and which jobs may run on it.

#![warn(missing_docs)]

use super::ROUNDING_TOLERANCE;
use crate::protocol::cloud::MachineType;
use crate::protocol::heartbeat_size::{TASKS_BYTES, task_bytes};
use crate::protocol::user::{JobSpec, MAX_TASKS_PER_JOB};
use crate::state::{Images, Resources, heartbeat_bytes};

/// The share of a time limit within which an image fetch must be expected to end for the limit
/// to count as met: fetch rates vary by a third, and concurrent fetches share the rate.
const FETCH_TIME_SHARE: f64 = 0.7;

/// The free capacity of one machine. A plan reduces it by every task that it starts there.
#[derive(Debug, Clone)]
pub struct MachineCapacity {
    /// Name of the machine.
    pub machine: String,
    /// Label of the machine's type.
    pub machine_type: String,
    /// Zone that the machine is in.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Free cores.
    pub cores: f64,
    /// Free GPUs.
    pub gpus: f64,
    /// Free memory, in GB.
    pub mem_gb: f64,
    /// Free space in the machine's heartbeat, in bytes.
    pub heartbeat_bytes: f64,
    /// Cores of the empty machine.
    pub total_cores: f64,
    /// GPUs of the empty machine.
    pub total_gpus: f64,
    /// Memory of the empty machine, in GB.
    pub total_mem_gb: f64,
    /// Disk space for images, in GB.
    pub disk_gb: f64,
    /// Rate at which the machine fetches images, in GB per second, shared by all its fetches.
    pub pull_gb_per_s: f64,
    /// Two sets of images: those of the tasks placed on the machine, which it holds or
    /// fetches, and those that it is known to hold.
    pub images: [Images; 2],
    /// Resources used by array tasks, which can be preempted for services.
    pub used_by_arrays: Resources,
    /// Amount still to be fetched of the images that the machine is fetching, in GB.
    pub fetching_gb: f64,
}

impl MachineCapacity {
    /// The capacity of an empty machine of this type that holds no images.
    pub fn empty(name: &str, machine_type: &MachineType, zone: &str, spot: bool) -> MachineCapacity {
        MachineCapacity {
            machine: name.to_string(),
            machine_type: machine_type.name.clone(),
            zone: zone.to_string(),
            spot,
            cores: machine_type.cores,
            gpus: machine_type.gpus,
            mem_gb: machine_type.mem_gb,
            heartbeat_bytes: TASKS_BYTES as f64,
            total_cores: machine_type.cores,
            total_gpus: machine_type.gpus,
            total_mem_gb: machine_type.mem_gb,
            disk_gb: machine_type.disk_gb,
            pull_gb_per_s: machine_type.pull_gb_per_s,
            images: Default::default(),
            used_by_arrays: Resources::default(),
            fetching_gb: 0.0,
        }
    }

    /// Whether the job may run on the machine's type, in its zone and, if it is a spot machine,
    /// on spot machines.
    pub fn allowed(&self, spec: &JobSpec) -> bool {
        spec.machine_types.as_ref().is_none_or(|types| types.contains(&self.machine_type))
            && spec.zone.as_ref().is_none_or(|zone| *zone == self.zone)
            && (spec.spot_allowed || !self.spot)
    }

    /// The number of tasks of the job's size that fit, regardless of how many tasks the job has.
    pub fn fitting_tasks(&self, spec: &JobSpec) -> u32 {
        self.fits_beside(spec, &Resources::default())
    }

    /// Like [`fitting_tasks`](Self::fitting_tasks), as if the resources in `preempted` were free as well.
    pub(super) fn fits_beside(&self, spec: &JobSpec, preempted: &Resources) -> u32 {
        if self.cores + preempted.cores + ROUNDING_TOLERANCE < spec.cores
            || !self.allowed(spec)
            || !self.holds_image(spec)
        {
            return 0;
        }
        let quotient = |free: f64, need: f64| {
            if need > 0.0 { ((free + ROUNDING_TOLERANCE) / need).floor().max(0.0) } else { f64::INFINITY }
        };
        let count = quotient(self.cores + preempted.cores, spec.cores)
            .min(quotient(self.gpus + preempted.gpus, spec.gpus))
            .min(quotient(self.mem_gb + preempted.mem_gb, spec.mem_gb))
            .min(quotient(self.heartbeat_bytes + preempted.heartbeat_bytes, heartbeat_bytes(spec)));
        count.min(f64::from(MAX_TASKS_PER_JOB)) as u32
    }

    /// Whether the machine has the disk space for the job's image.
    fn holds_image(&self, spec: &JobSpec) -> bool {
        spec.image_gb <= self.disk_gb + ROUNDING_TOLERANCE
    }

    /// Whether a task of the job could run on the machine if that were empty.
    pub(super) fn could_hold(&self, spec: &JobSpec) -> bool {
        self.allowed(spec)
            && self.holds_image(spec)
            && spec.cores <= self.total_cores + ROUNDING_TOLERANCE
            && spec.gpus <= self.total_gpus + ROUNDING_TOLERANCE
            && spec.mem_gb <= self.total_mem_gb + ROUNDING_TOLERANCE
    }

    /// The free share of the machine's scarcest resource: free cores are not usable on a machine
    /// whose GPUs are all in use, or whose heartbeat has no space for another task.
    pub fn free_share(&self) -> f64 {
        if self.heartbeat_bytes < task_bytes("", 1) as f64 {
            return 0.0;
        }
        let share = |free: f64, total: f64| if total > 0.0 { (free / total).max(0.0) } else { 1.0 };
        share(self.cores, self.total_cores)
            .min(share(self.gpus, self.total_gpus))
            .min(share(self.mem_gb, self.total_mem_gb))
    }

    /// The free share ([`free_share`](Self::free_share)) as a number of cores.
    pub fn free_cores(&self) -> f64 {
        self.free_share() * self.total_cores
    }

    /// Whether the machine holds the job's image or fetches it for a task placed there.
    pub fn has_image(&self, spec: &JobSpec) -> bool {
        self.images.iter().any(|images| images.contains(&spec.image))
    }

    /// Seconds until the machine holds the job's image. Fetches share the machine's rate, so all
    /// fetches in progress are included.
    pub fn seconds_until_image(&self, spec: &JobSpec) -> f64 {
        let gb = match () {
            _ if self.images[1].contains(&spec.image) => 0.0,
            _ if self.images[0].contains(&spec.image) => self.fetching_gb,
            _ => self.fetching_gb + spec.image_gb,
        };
        if gb > 0.0 { gb / self.pull_gb_per_s } else { 0.0 }
    }

    /// Whether the machine holds the job's image, or is expected to within `seconds` with a
    /// margin for slow fetches.
    pub fn starts_within(&self, spec: &JobSpec, seconds: f64) -> bool {
        self.seconds_until_image(spec) <= seconds * FETCH_TIME_SHARE
    }

    /// Adds the resources of one task of the job back to the free capacity.
    pub fn release(&mut self, spec: &JobSpec) {
        self.release_ended(spec);
        self.heartbeat_bytes += heartbeat_bytes(spec);
    }

    /// Adds the resources of one ended task of the job back to the free capacity, except for its
    /// space in the heartbeat: the agent reports the task until it may forget it.
    pub fn release_ended(&mut self, spec: &JobSpec) {
        self.cores += spec.cores;
        self.gpus += spec.gpus;
        self.mem_gb += spec.mem_gb;
    }

    /// Removes the resources of `count` tasks of the job from the free capacity.
    pub fn take(&mut self, spec: &JobSpec, count: u32) {
        self.subtract(&Resources::of_tasks(spec, f64::from(count)));
    }

    /// Removes these resources from the free capacity.
    pub fn subtract(&mut self, used: &Resources) {
        self.cores -= used.cores;
        self.gpus -= used.gpus;
        self.mem_gb -= used.mem_gb;
        self.heartbeat_bytes -= used.heartbeat_bytes;
    }
}
