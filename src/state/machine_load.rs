//! The load of each machine: the total resources of the tasks placed on it.
//!
//! Totals are updated with every placement, so that placement planning never has to add up
//! all tasks of the fleet.

#![warn(missing_docs)]

use super::resources::Resources;
use super::task_placement::Placement;
use crate::protocol::user::{JobKind, JobSpec};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// A set of container image names, shared because placement planning copies it often.
pub type Images = Rc<BTreeSet<String>>;

/// The tasks placed on one machine: the attempt number by the job's uid and the task's index.
pub type PlacedTasks = BTreeMap<(String, u32), u64>;

/// Totals over the tasks placed on one machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MachineLoad {
    /// The resources of all tasks.
    pub total: Resources,
    /// The part of `total` that belongs to array tasks, which can be preempted.
    pub array_tasks: Resources,
    /// The number of service replicas by job class.
    pub service_replicas: BTreeMap<String, u32>,
    /// The tasks that use each image, by the image's name.
    pub by_image: BTreeMap<String, ImageLoad>,
    /// The names of the images in use, which are the keys of `by_image`.
    pub images: Images,
}

/// The tasks on one machine that use the same image.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ImageLoad {
    /// The number of tasks.
    tasks: u32,
    /// The number of array tasks among them.
    pub array_tasks: u32,
    /// The size of the image, in GB.
    pub image_gb: f64,
}

impl MachineLoad {
    fn add_task(&mut self, spec: &JobSpec) {
        self.total.add(spec, 1.0);
        if spec.kind == JobKind::Array {
            self.array_tasks.add(spec, 1.0);
        }
        if spec.kind == JobKind::Service {
            increment(&mut self.service_replicas, &spec.class);
        }
        self.add_image_user(spec);
    }

    fn remove_task(&mut self, spec: &JobSpec) {
        self.total.add(spec, -1.0);
        if spec.kind == JobKind::Array {
            self.array_tasks.add(spec, -1.0);
        }
        if spec.kind == JobKind::Service {
            decrement(&mut self.service_replicas, &spec.class);
        }
        self.remove_image_user(spec);
    }

    fn add_image_user(&mut self, spec: &JobSpec) {
        let image = match self.by_image.get_mut(&spec.image) {
            Some(image) => image,
            None => {
                Rc::make_mut(&mut self.images).insert(spec.image.clone());
                self.by_image.entry(spec.image.clone()).or_default()
            }
        };
        image.tasks += 1;
        image.array_tasks += u32::from(spec.kind == JobKind::Array);
        image.image_gb = spec.image_gb;
    }

    fn remove_image_user(&mut self, spec: &JobSpec) {
        let Some(image) = self.by_image.get_mut(&spec.image) else { return };
        image.tasks -= 1;
        image.array_tasks -= u32::from(spec.kind == JobKind::Array);
        if image.tasks == 0 {
            self.by_image.remove(&spec.image);
            Rc::make_mut(&mut self.images).remove(&spec.image);
        }
    }
}

/// Increases the count of a key.
fn increment(counts: &mut BTreeMap<String, u32>, key: &str) {
    match counts.get_mut(key) {
        Some(count) => *count += 1,
        None => {
            counts.insert(key.to_string(), 1);
        }
    }
}

/// Decreases the count of a key, and removes the key when its count reaches zero.
fn decrement(counts: &mut BTreeMap<String, u32>, key: &str) {
    let Some(count) = counts.get_mut(key) else { return };
    *count -= 1;
    if *count == 0 {
        counts.remove(key);
    }
}

/// Adds a placement of one of the job's tasks to `placed` and `loads`.
pub(super) fn add_placement(
    placed: &mut HashMap<String, PlacedTasks>,
    loads: &mut HashMap<String, MachineLoad>,
    spec: &JobSpec,
    placement: &Placement,
) {
    let on_machine = placed.entry(placement.machine.clone()).or_default();
    if on_machine.insert((spec.uid.clone(), placement.index), placement.attempt).is_none() {
        loads.entry(placement.machine.clone()).or_default().add_task(spec);
    }
}

/// Removes a placement from `placed` and `loads`, unless another attempt of the task has been
/// placed on the machine since.
pub(super) fn remove_placement(
    placed: &mut HashMap<String, PlacedTasks>,
    loads: &mut HashMap<String, MachineLoad>,
    spec: &JobSpec,
    placement: &Placement,
) {
    let Some(on_machine) = placed.get_mut(&placement.machine) else { return };
    let task = (spec.uid.clone(), placement.index);
    if on_machine.get(&task) != Some(&placement.attempt) {
        return;
    }
    on_machine.remove(&task);
    if on_machine.is_empty() {
        placed.remove(&placement.machine);
        loads.remove(&placement.machine);
    } else if let Some(load) = loads.get_mut(&placement.machine) {
        load.remove_task(spec);
    }
}

#[cfg(test)]
mod tests;
