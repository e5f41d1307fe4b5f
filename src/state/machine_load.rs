//! What the tasks placed on each machine take up.
//!
//! The totals are updated with every placement, so that planning never has to add up
//! all tasks of the fleet.

use super::resources::Resources;
use super::task_placement::Placement;
use crate::protocol::user::{JobKind, JobSpec};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// The names of container images, shared because planning copies them often.
pub type Images = Rc<BTreeSet<String>>;

/// The tasks placed on one machine: attempt number by job and task index.
pub type PlacedTasks = BTreeMap<(String, u32), u64>;

/// Totals over the tasks placed on one machine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct MachineLoad {
    pub all: Resources,
    /// The part of `all` that belongs to array tasks, which can be preempted.
    pub arrays: Resources,
    /// The number of service replicas by job class.
    pub standing: BTreeMap<String, u32>,
    pub by_image: BTreeMap<String, ImageLoad>,
    /// The keys of `by_image`.
    pub images: Images,
}

/// The tasks on one machine that use the same image.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ImageLoad {
    tasks: u32,
    /// The number of array tasks among them.
    pub arrays: u32,
    pub image_gb: f64,
}

impl MachineLoad {
    fn add_task(&mut self, spec: &JobSpec) {
        self.all.add(spec, 1.0);
        if spec.kind == JobKind::Array {
            self.arrays.add(spec, 1.0);
        }
        if spec.kind == JobKind::Service {
            increment(&mut self.standing, &spec.class);
        }
        self.add_image_user(spec);
    }

    fn remove_task(&mut self, spec: &JobSpec) {
        self.all.add(spec, -1.0);
        if spec.kind == JobKind::Array {
            self.arrays.add(spec, -1.0);
        }
        if spec.kind == JobKind::Service {
            decrement(&mut self.standing, &spec.class);
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
        image.arrays += u32::from(spec.kind == JobKind::Array);
        image.image_gb = spec.image_gb;
    }

    fn remove_image_user(&mut self, spec: &JobSpec) {
        let Some(image) = self.by_image.get_mut(&spec.image) else { return };
        image.tasks -= 1;
        image.arrays -= u32::from(spec.kind == JobKind::Array);
        if image.tasks == 0 {
            self.by_image.remove(&spec.image);
            Rc::make_mut(&mut self.images).remove(&spec.image);
        }
    }
}

fn increment(counts: &mut BTreeMap<String, u32>, key: &str) {
    match counts.get_mut(key) {
        Some(count) => *count += 1,
        None => {
            counts.insert(key.to_string(), 1);
        }
    }
}

/// Counts one less; a key whose count reaches zero is removed.
fn decrement(counts: &mut BTreeMap<String, u32>, key: &str) {
    let Some(count) = counts.get_mut(key) else { return };
    *count -= 1;
    if *count == 0 {
        counts.remove(key);
    }
}

/// Records a placement of one of the job's tasks in both tables.
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

/// Reverts `add_placement`, unless another attempt of the task has been placed on the
/// machine since.
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
