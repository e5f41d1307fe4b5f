//! The free capacity of a machine, and which jobs it suits.

use super::SLACK;
use crate::protocol::cloud::MachineType;
use crate::protocol::user::{JobSpec, TASKS_LIMIT};
use crate::state::{Images, Resources};

/// The part of a time within which a fetch is expected to end: fetch rates vary by a third,
/// and fetches share them.
const FETCH_MARGIN: f64 = 0.7;

/// The free capacity of one machine, in a plan that counts what it starts.
#[derive(Debug, Clone)]
pub struct MachineCapacity {
    pub machine: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cores: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub total_cores: f64,
    pub total_gpus: f64,
    pub total_mem_gb: f64,
    pub pull_gb_per_s: f64,
    /// Images of the tasks placed there, and those that the machine is known to hold.
    pub images: [Images; 2],
    /// What arrays use there, which can be preempted for services.
    pub arrays: Resources,
    /// What is still to be fetched of the images that it is fetching, in GB.
    pub fetching_gb: f64,
}

impl MachineCapacity {
    /// An empty machine of this type, without images.
    pub fn empty(name: &str, t: &MachineType, zone: &str, spot: bool) -> MachineCapacity {
        MachineCapacity {
            machine: name.to_string(),
            machine_type: t.label.clone(),
            zone: zone.to_string(),
            spot,
            cores: t.cores,
            gpus: t.gpus,
            mem_gb: t.mem_gb,
            total_cores: t.cores,
            total_gpus: t.gpus,
            total_mem_gb: t.mem_gb,
            pull_gb_per_s: t.pull_gb_per_s,
            images: Default::default(),
            arrays: Resources::default(),
            fetching_gb: 0.0,
        }
    }

    /// Whether the job allows the machine's type, its zone, and spot machines if it is one.
    pub fn allowed(&self, spec: &JobSpec) -> bool {
        spec.machine_types.as_ref().is_none_or(|b| b.contains(&self.machine_type))
            && spec.zone.as_ref().is_none_or(|s| *s == self.zone)
            && (spec.spot_allowed || !self.spot)
    }

    /// How many tasks like the job's there is room for, however many tasks the job has.
    pub fn fits(&self, spec: &JobSpec) -> u32 {
        self.fits_beside(spec, &Resources::default())
    }

    /// The same if what `preempted` takes were free as well.
    pub(super) fn fits_beside(&self, spec: &JobSpec, preempted: &Resources) -> u32 {
        if self.cores + preempted.cores + SLACK < spec.cores || !self.allowed(spec) {
            return 0;
        }
        let times = |free: f64, need: f64| {
            if need > 0.0 { ((free + SLACK) / need).floor().max(0.0) } else { f64::INFINITY }
        };
        let count = times(self.cores + preempted.cores, spec.cores)
            .min(times(self.gpus + preempted.gpus, spec.gpus))
            .min(times(self.mem_gb + preempted.mem_gb, spec.mem_gb));
        count.min(f64::from(TASKS_LIMIT)) as u32
    }

    /// The part of the machine that is free, by its scarcest resource: on a machine whose GPUs
    /// are in use, free cores are not usable.
    pub fn free_share(&self) -> f64 {
        let part = |free: f64, total: f64| if total > 0.0 { (free / total).max(0.0) } else { 1.0 };
        part(self.cores, self.total_cores)
            .min(part(self.gpus, self.total_gpus))
            .min(part(self.mem_gb, self.total_mem_gb))
    }

    /// The same, as a number of its cores.
    pub fn free_cores(&self) -> f64 {
        self.free_share() * self.total_cores
    }

    /// Whether the machine holds the job's image, or will have fetched it.
    pub fn has_image(&self, spec: &JobSpec) -> bool {
        self.images.iter().any(|i| i.contains(&spec.image))
    }

    /// Seconds until the machine holds the job's image. Fetches share the machine's rate, so
    /// all fetches in progress count.
    pub fn image_s(&self, spec: &JobSpec) -> f64 {
        let gb = match () {
            _ if self.images[1].contains(&spec.image) => 0.0,
            _ if self.images[0].contains(&spec.image) => self.fetching_gb,
            _ => self.fetching_gb + spec.image_gb,
        };
        if gb > 0.0 { gb / self.pull_gb_per_s } else { 0.0 }
    }

    /// Whether the machine holds the job's image, or will within that time.
    pub fn starts_within(&self, spec: &JobSpec, seconds: f64) -> bool {
        self.image_s(spec) <= seconds * FETCH_MARGIN
    }

    /// A task that was counted has preempted.
    pub fn put_back(&mut self, spec: &JobSpec) {
        self.cores += spec.cores;
        self.gpus += spec.gpus;
        self.mem_gb += spec.mem_gb;
    }

    /// Takes what `count` tasks of the job need.
    pub fn take(&mut self, spec: &JobSpec, count: u32) {
        self.cores -= spec.cores * f64::from(count);
        self.gpus -= spec.gpus * f64::from(count);
        self.mem_gb -= spec.mem_gb * f64::from(count);
    }
}
