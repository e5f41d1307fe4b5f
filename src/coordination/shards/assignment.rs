//! Decides which controller may place which of a job's tasks.

#![warn(missing_docs)]

use super::queues::ShardQueue;
use crate::placement::{MachineCapacity, zone_capacity};
use crate::protocol::user::JobSpec;
use crate::state::records::TaskRange;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The data from which tasks are assigned, besides the job itself.
pub struct AssignmentInputs<'a> {
    /// The controllers to which tasks may be assigned.
    pub members: &'a [String],
    /// The capacities of all machines, with the members that own them.
    pub capacities: &'a [(String, MachineCapacity)],
    /// The tasks that already wait at each member, ahead of the job's own tasks.
    pub queues: &'a BTreeMap<String, ShardQueue>,
    /// The number of tasks whose state is in the same record. They are assigned together, so
    /// that every record has a single writer.
    pub tasks_per_record: u32,
    /// The number of the job's tasks in each zone that are, or may still be, on machines.
    pub tasks_by_zone: &'a BTreeMap<String, u32>,
    /// The number of waiting tasks with the job's image that are assigned to each member. The
    /// machines that get them will fetch the image.
    pub waiting_with_image: &'a BTreeMap<String, u32>,
}

/// The number of a job's tasks that a shard has room for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct ShardCapacity {
    tasks: u32,
    /// The part of `tasks` on machines that hold the job's image.
    with_image: u32,
}

impl ShardCapacity {
    fn plus(self, other: ShardCapacity) -> ShardCapacity {
        ShardCapacity { tasks: self.tasks + other.tasks, with_image: self.with_image + other.with_image }
    }

    fn at_most(self, tasks: u32) -> ShardCapacity {
        ShardCapacity { tasks: self.tasks.min(tasks), with_image: self.with_image.min(tasks) }
    }
}

/// How many tasks of the job each member's shard has room for. It respects the job's zone rules,
/// given the tasks that the job already has in each zone (`tasks_by_zone`).
fn capacity_by_member<'a>(
    capacities: &'a [(String, MachineCapacity)],
    spec: &JobSpec,
    tasks_by_zone: &BTreeMap<String, u32>,
) -> BTreeMap<&'a str, ShardCapacity> {
    let mut by_zone: BTreeMap<(&str, &str), ShardCapacity> = BTreeMap::new();
    for (member, capacity) in capacities {
        let tasks = capacity.fitting_tasks(spec).min(spec.task_count);
        if tasks > 0 {
            let with_image = if capacity.has_image(spec) { tasks } else { 0 };
            let in_zone = by_zone.entry((member, &capacity.zone)).or_default();
            *in_zone = in_zone.plus(ShardCapacity { tasks, with_image });
        }
    }
    let mut by_member: BTreeMap<&str, ShardCapacity> = BTreeMap::new();
    for ((member, zone), in_zone) in by_zone {
        let in_zone = in_zone.at_most(zone_capacity(spec, spec.task_count, tasks_by_zone, zone));
        let total = by_member.entry(member).or_default();
        *total = if spec.zone_affinity { (*total).max(in_zone) } else { total.plus(in_zone) };
    }
    by_member
}

/// How many tasks of the job each member's shard has room for, as [`AssignmentInputs`] counts them.
pub fn fitting_tasks_by_member<'a>(
    capacities: &'a [(String, MachineCapacity)],
    spec: &JobSpec,
    tasks_by_zone: &BTreeMap<String, u32>,
) -> BTreeMap<&'a str, u32> {
    let by_member = capacity_by_member(capacities, spec, tasks_by_zone).into_iter();
    by_member.map(|(member, capacity)| (member, capacity.tasks)).collect()
}

/// The number of tasks of the job that need as much as `cores`.
pub fn queued_tasks(spec: &JobSpec, cores: f64) -> i64 {
    (cores / spec.cores.max(f64::MIN_POSITIVE)).min(MAX_QUEUED_TASKS) as i64
}

/// What one member's shard offers a job.
struct Offer<'a> {
    member: &'a str,
    /// The number of the job's tasks for which it has room after the queued tasks that may take
    /// this room; negative if those need more than the room.
    fits: i64,
    /// The rest of the queue, in tasks of the job.
    backlog: i64,
    /// The number of the job's tasks that fit on machines which hold its image.
    with_image: u32,
    /// The number of machines that hold the image, plus that of waiting tasks whose machines will
    /// fetch it.
    image_copies: u32,
}

impl Offer<'_> {
    /// The room after `taken` tasks of the job. Where none is left, the tasks wait behind the rest
    /// of the queue as well.
    fn room_after(&self, taken: i64) -> i64 {
        let left = self.fits - taken;
        if left > 0 { left } else { left - self.backlog }
    }
}

/// The longest queue that is told from longer ones. Queues are measured in tasks of one job,
/// and tasks may need next to nothing.
const MAX_QUEUED_TASKS: f64 = u32::MAX as f64;

impl AssignmentInputs<'_> {
    /// The offer of each member, in the order of `members`.
    fn offers(&self, spec: &JobSpec) -> Vec<Offer<'_>> {
        let capacities_left = capacity_by_member(self.capacities, spec, self.tasks_by_zone);
        let image_copies = self.image_copies(spec);
        let offer = |member| {
            let capacity_left = capacities_left.get(member).copied().unwrap_or_default();
            let queue = self.queues.get(member).copied().unwrap_or_default();
            Offer {
                member,
                fits: i64::from(capacity_left.tasks) - queued_tasks(spec, queue.competing_cores),
                backlog: queued_tasks(spec, queue.backlog_cores),
                with_image: capacity_left.with_image,
                image_copies: image_copies.get(member).copied().unwrap_or(0),
            }
        };
        self.members.iter().map(String::as_str).map(offer).collect()
    }

    /// The number of copies of the job's image in each member's shard, including those that
    /// waiting tasks will fetch.
    fn image_copies(&self, spec: &JobSpec) -> BTreeMap<String, u32> {
        let mut copies = self.waiting_with_image.clone();
        for (member, _) in self.capacities.iter().filter(|(_, capacity)| capacity.has_image(spec)) {
            let copies_in_shard = copies.entry(member.clone()).or_default();
            *copies_in_shard = copies_in_shard.saturating_add(1);
        }
        copies
    }

    /// The offers, ordered by how well they suit `waiting` tasks of the job: first by the tasks
    /// that find its image, then by its copies, then by the room. Of equal offers, the one of
    /// `me` comes first.
    fn offers_by_preference(&self, spec: &JobSpec, waiting: u32, me: &str) -> Vec<Offer<'_>> {
        let mut offers = self.offers(spec);
        offers.sort_by_key(|offer| {
            let with_image = offer.with_image.min(waiting);
            (Reverse(with_image), Reverse(offer.image_copies), Reverse(offer.room_after(0)), offer.member != me)
        });
        offers
    }
}

/// Assigns a job's tasks to members whose shards have room for them.
///
/// If all waiting tasks fit into one shard, that member gets all tasks. Shards that hold the
/// image, or will fetch it, are preferred, so that few machines have to fetch it. Otherwise the
/// tasks go to the shortest queues. `waiting` has the indices of the tasks for which room is
/// needed, in ascending order; the other tasks are assigned along with them. A job that must
/// stay `whole` is not split. `me` is preferred among equal members, and gets all tasks if there
/// is no member.
pub fn assign_task_ranges(
    spec: &JobSpec,
    waiting: &[u32],
    inputs: &AssignmentInputs,
    me: &str,
    whole: bool,
) -> Vec<TaskRange> {
    let count = waiting.len() as u32;
    let offers = inputs.offers_by_preference(spec, count, me);
    if offers.is_empty() {
        return all_tasks_to(spec, me);
    }
    if let Some(offer) = offers.iter().find(|offer| offer.fits >= i64::from(count)) {
        return all_tasks_to(spec, offer.member);
    }
    if whole {
        let member = member_to_wait_for(spec, &offers, inputs);
        return all_tasks_to(spec, member.unwrap_or(me));
    }
    split_by_record(spec, waiting, &offers, inputs.tasks_per_record.max(1))
}

/// Assigns all tasks of the job to one member.
fn all_tasks_to(spec: &JobSpec, member: &str) -> Vec<TaskRange> {
    vec![TaskRange { member: member.to_string(), from: 0, to: spec.task_count - 1 }]
}

/// The member for a job that fits into no shard now and is not split. It waits where the most
/// copies of its image are or will be, unless the wait there would be much longer than elsewhere.
fn member_to_wait_for<'a>(spec: &JobSpec, offers: &[Offer<'a>], inputs: &AssignmentInputs) -> Option<&'a str> {
    let most_room = offers.iter().map(|offer| offer.room_after(0)).max()?;
    let queued = |offer: &Offer| {
        let queue = inputs.queues.get(offer.member).copied().unwrap_or_default();
        queued_tasks(spec, queue.competing_cores + queue.backlog_cores)
    };
    let average_queue = offers.iter().map(queued).sum::<i64>() / offers.len() as i64;
    let tolerable = offers.iter().filter(|offer| offer.room_after(0) >= most_room - average_queue);
    let best = tolerable.max_by_key(|offer| (offer.image_copies, tie_breaker(&spec.image, offer.member)))?;
    Some(best.member)
}

/// Orders the members pseudo-randomly for an image of which they have equally many copies. All
/// controllers compute the same order.
fn tie_breaker(image: &str, member: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (image, member).hash(&mut hasher);
    hasher.finish()
}

/// Splits the waiting tasks between the members. The tasks of each record in turn go to the
/// member with the most room left. Each range extends to the beginning of the next one, so that
/// the ranges cover all of the job's tasks.
fn split_by_record(spec: &JobSpec, waiting: &[u32], offers: &[Offer], tasks_per_record: u32) -> Vec<TaskRange> {
    let mut taken = vec![0; offers.len()];
    let mut ranges: Vec<TaskRange> = Vec::new();
    for tasks in waiting.chunk_by(|a, b| a / tasks_per_record == b / tasks_per_record) {
        let most_room = |i: &usize| (offers[*i].room_after(taken[*i]), Reverse(*i));
        let Some(chosen) = (0..offers.len()).max_by_key(most_room) else { break };
        taken[chosen] += tasks.len() as i64;
        let member = offers[chosen].member;
        let mut from = 0;
        if let Some(last) = ranges.last_mut() {
            if last.member == member {
                continue;
            }
            from = tasks[0] / tasks_per_record * tasks_per_record;
            last.to = from - 1;
        }
        ranges.push(TaskRange { member: member.to_string(), from, to: spec.task_count - 1 });
    }
    ranges
}
