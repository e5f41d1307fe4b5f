//! Writing this controller's log: what fits into the next segment, when the segment is
//! sent.
//!
//! One segment is in flight at a time. Facts accumulate meanwhile, so batches grow with the
//! load, while the start that an idle controller decides on is sent at once.
//!
//! A segment whose answer is missing may still be carried out, minutes later. The next
//! segment is written to the same slot, on the condition that the slot has not been written:
//! whichever of the two is carried out first makes the other void. The same holds for the
//! first segment of a restarted controller, which is written to the slot that its
//! predecessor would have used next.

use crate::effects::Instant;
use crate::protocol::store::Condition;
use crate::state::log_segment::{Facts, bytes};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// When segments are sent.
#[derive(Debug, Default)]
pub struct LogWriter {
    /// A segment is in flight.
    pub busy: bool,
    /// Facts that can wait are sent from then on.
    next_at: Instant,
}

impl LogWriter {
    /// Whether facts that can wait have waited long enough.
    pub fn due(&self, now: Instant) -> bool {
        now >= self.next_at
    }

    /// A segment is sent; facts that can wait go with the next one, `interval` later.
    pub fn sent(&mut self, now: Instant, interval: Duration) {
        self.busy = true;
        self.next_at = now + interval;
    }
}

/// The most bytes that a transaction may have.
const TXN_BYTES: usize = 64 * 1024;
/// The part of a transaction that its values may have. Conditions and keys need the rest.
const VALUES_SHARE: f64 = 0.75;
/// The bytes that all values of a transaction may have.
const VALUES_BYTES: usize = (TXN_BYTES as f64 * VALUES_SHARE) as usize;

/// The bytes for a segment, and for checkpoints that are written with it in one transaction,
/// where a single value may have `value_limit` bytes.
pub fn byte_shares(value_limit: usize) -> (usize, usize) {
    let segment = value_limit.min(VALUES_BYTES / 4 * 3);
    (segment, VALUES_BYTES - segment)
}

/// How many of the checkpoints of these sizes fit into a transaction of their own, in order.
/// At least one does, since no value is larger than a transaction.
pub fn fitting(sizes: impl IntoIterator<Item = usize>) -> usize {
    let sums = sizes.into_iter().scan(0, |sum, size| {
        *sum += size;
        Some(*sum)
    });
    sums.take_while(|sum| *sum <= VALUES_BYTES).count().max(1)
}

/// Whether a gang of this many tasks may not fit into one segment, even if nothing else is
/// in it: each task may need a condition on a record of its own, and names its machine.
pub fn wide(task_count: u32, txn_ops: usize, value_limit: usize) -> bool {
    // The other conditions: the slot, the job, the shard, the team, and checkpoints that are
    // written with it.
    let conditions = (txn_ops * 4).saturating_sub(txn_ops + 4);
    let bytes_per_task = bytes::START + LONGEST_NAME;
    let bytes_for_tasks = byte_shares(value_limit).0.saturating_sub(bytes::FRAME + LONGEST_NAME);
    task_count as usize > conditions.min(bytes_for_tasks / bytes_per_task)
}

/// The longest expected name of a machine or a job, in bytes. With longer ones a segment
/// takes fewer of them.
const LONGEST_NAME: usize = 24;

/// What one transaction may hold.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub conditions: usize,
    pub bytes: usize,
}

/// Builds the next segment, fact by fact.
///
/// Invariant: the encoded segment and its conditions stay within the limits; the sizes of
/// facts are counted as upper bounds.
#[derive(Debug)]
pub struct SegmentBuilder {
    limits: Limits,
    /// An upper bound of the encoded size.
    bytes: usize,
    /// The versions that the transaction is conditional on, by key.
    pub conditions: BTreeMap<String, u64>,
    /// The facts of each job.
    pub facts: BTreeMap<String, Facts>,
    /// The machines that the segment names; each name is stored once.
    machines: BTreeSet<String>,
}

/// What one fact needs in a segment.
#[derive(Debug, Clone, Default)]
pub struct FactRequirements {
    /// Keys and the versions that they must have.
    pub conditions: Vec<(String, u64)>,
    /// The machine that the fact names.
    pub machine: Option<String>,
    /// The size of the fact without names.
    pub bytes: usize,
}

impl SegmentBuilder {
    pub fn new(limits: Limits) -> SegmentBuilder {
        SegmentBuilder {
            limits,
            bytes: bytes::FRAME,
            conditions: BTreeMap::new(),
            facts: BTreeMap::new(),
            machines: BTreeSet::new(),
        }
    }

    /// Whether there are no facts yet.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Reserves room for facts of one job, for all of them or for none. Returns whether they
    /// fit; the caller then adds them to the job's `facts`.
    pub fn take(&mut self, uid: &str, requirements: &[&FactRequirements]) -> bool {
        let new_machines = self.new_machines(requirements);
        let size = self.added_bytes(uid, &new_machines, requirements);
        let fits = self.conditions.len() + self.count_new_conditions(requirements) <= self.limits.conditions
            && self.bytes + size <= self.limits.bytes;
        if !fits {
            return false;
        }
        let new_machines: Vec<String> = new_machines.into_iter().map(Into::into).collect();
        self.bytes += size;
        self.machines.extend(new_machines);
        for (key, version) in requirements.iter().flat_map(|r| &r.conditions) {
            self.conditions.insert(key.clone(), *version);
        }
        self.facts.entry(uid.to_string()).or_default();
        true
    }

    /// The keys among the requirements that the transaction is not conditional on yet.
    fn count_new_conditions(&self, requirements: &[&FactRequirements]) -> usize {
        let keys = requirements.iter().flat_map(|r| &r.conditions).map(|(key, _)| key.as_str());
        let new_keys: BTreeSet<&str> = keys.filter(|key| !self.conditions.contains_key(*key)).collect();
        new_keys.len()
    }

    /// The machines among the requirements that the segment does not name yet.
    fn new_machines<'a>(&self, requirements: &[&'a FactRequirements]) -> BTreeSet<&'a str> {
        let machines = requirements.iter().filter_map(|r| r.machine.as_deref());
        machines.filter(|machine| !self.machines.contains(*machine)).collect()
    }

    /// What the facts add to the size of the segment.
    fn added_bytes(&self, uid: &str, new_machines: &BTreeSet<&str>, requirements: &[&FactRequirements]) -> usize {
        let job_name = if self.facts.contains_key(uid) { 0 } else { bytes::name(uid) };
        let machine_names = new_machines.iter().map(|machine| bytes::name(machine)).sum::<usize>();
        job_name + machine_names + requirements.iter().map(|r| r.bytes).sum::<usize>()
    }

    /// The conditions of the transaction.
    pub fn conditions(&self) -> impl Iterator<Item = Condition> + '_ {
        self.conditions.iter().map(|(key, version)| Condition { key: key.clone(), version: *version })
    }
}

#[cfg(test)]
mod tests;
