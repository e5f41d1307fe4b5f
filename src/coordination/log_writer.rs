//! Decides when the next segment of this controller's log is sent and what fits into it.
//!
//! One segment is in flight at a time. Facts accumulate meanwhile, so batches grow with the
//! load, while an idle controller sends a start as soon as it has decided on it.
//!
//! A segment that got no answer may still be stored minutes later. The next segment is written
//! to the same slot, on the condition that the slot has not been written: whichever of the two
//! is stored first makes the other void. The same holds for the first segment after a restart
//! of the controller, which is written to the slot that the previous process would have used
//! next.

#![warn(missing_docs)]

use crate::effects::Instant;
use crate::protocol::store::Condition;
use crate::state::log_segment::{LogEntries, max_bytes};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The schedule of the log's segments.
#[derive(Debug, Default)]
pub struct LogWriter {
    /// Whether a segment is in flight.
    pub segment_in_flight: bool,
    /// The earliest time at which entries that can wait are sent.
    next_at: Instant,
}

impl LogWriter {
    /// Whether entries that can wait may be sent now.
    pub fn due(&self, now: Instant) -> bool {
        now >= self.next_at
    }

    /// Records that a segment is sent. Facts that can wait are sent `interval` later at the
    /// earliest.
    pub fn record_sent(&mut self, now: Instant, interval: Duration) {
        self.segment_in_flight = true;
        self.next_at = now + interval;
    }
}

/// The largest size of a transaction.
const MAX_TXN_BYTES: usize = 64 * 1024;
/// The fraction of a transaction's size that its values may use. Conditions and keys need the
/// rest.
const VALUES_FRACTION: f64 = 0.75;
/// The largest total size of a transaction's values.
pub const MAX_VALUES_BYTES: usize = (MAX_TXN_BYTES as f64 * VALUES_FRACTION) as usize;

/// The largest size of a segment, and of all checkpoints that are written with it in one
/// transaction. `value_limit` is the largest size of a single value; all sizes are in bytes.
pub fn byte_limits(value_limit: usize) -> (usize, usize) {
    let segment = value_limit.min(MAX_VALUES_BYTES / 4 * 3);
    (segment, MAX_VALUES_BYTES - segment)
}

/// How many checkpoints of these sizes, taken in order, fit into a transaction of their own. At
/// least one does, since no value is larger than a transaction.
pub fn count_that_fit(sizes: impl IntoIterator<Item = usize>) -> usize {
    let running_totals = sizes.into_iter().scan(0, |total, size| {
        *total += size;
        Some(*total)
    });
    running_totals.take_while(|total| *total <= MAX_VALUES_BYTES).count().max(1)
}

/// Whether a gang of this many tasks may be too large for a segment that contains nothing else:
/// each task may need a condition on a separate record, and names its machine.
pub fn may_exceed_segment(task_count: u32, txn_ops: usize, value_limit: usize) -> bool {
    // Conditions are also needed for the slot, the job, the shard and the team, and for the
    // checkpoints that are written with the segment.
    let conditions = (txn_ops * 4).saturating_sub(txn_ops + 4);
    let bytes_per_task = max_bytes::START + LONGEST_NAME_BYTES;
    let bytes_for_tasks = byte_limits(value_limit).0.saturating_sub(max_bytes::OVERHEAD + LONGEST_NAME_BYTES);
    task_count as usize > conditions.min(bytes_for_tasks / bytes_per_task)
}

/// The longest expected name of a machine or a job. A segment holds fewer entries if names are
/// longer.
const LONGEST_NAME_BYTES: usize = 24;

/// The limits of a segment and of the transaction that writes it.
#[derive(Debug, Clone, Copy)]
pub struct SegmentLimits {
    /// The largest number of conditions of the transaction.
    pub conditions: usize,
    /// The largest encoded size of the segment, in bytes.
    pub bytes: usize,
}

/// Collects the entries of the next segment.
///
/// Invariant: the encoded segment and its conditions stay within the limits. Facts are counted
/// with upper bounds of their sizes.
#[derive(Debug)]
pub struct SegmentBuilder {
    limits: SegmentLimits,
    /// An upper bound of the encoded size of the segment.
    bytes: usize,
    /// The versions that the transaction is conditional on, by key.
    pub conditions: BTreeMap<String, u64>,
    /// The entries of each job.
    pub entries: BTreeMap<String, LogEntries>,
    /// The machines that the segment names. Each name is stored once.
    machines: BTreeSet<String>,
}

/// What a segment needs to hold one fact.
#[derive(Debug, Clone, Default)]
pub struct FactRequirements {
    /// The keys on which the fact depends, with the versions that they must have.
    pub conditions: Vec<(String, u64)>,
    /// The machine that the fact names.
    pub machine: Option<String>,
    /// The size of the fact without names, in bytes.
    pub bytes: usize,
}

impl SegmentBuilder {
    /// An empty segment.
    pub fn new(limits: SegmentLimits) -> SegmentBuilder {
        SegmentBuilder {
            limits,
            bytes: max_bytes::OVERHEAD,
            conditions: BTreeMap::new(),
            entries: BTreeMap::new(),
            machines: BTreeSet::new(),
        }
    }

    /// Whether the segment has no entries yet.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Reserves room for all the given entries of one job, or for none of them if they do not fit
    /// together. Returns whether they fit. If they do, the caller adds them to the job's entry
    /// in `entries`.
    pub fn try_reserve(&mut self, uid: &str, requirements: &[&FactRequirements]) -> bool {
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
        self.entries.entry(uid.to_string()).or_default();
        true
    }

    /// The number of keys in the requirements on which the transaction is not conditional yet.
    fn count_new_conditions(&self, requirements: &[&FactRequirements]) -> usize {
        let keys = requirements.iter().flat_map(|r| &r.conditions).map(|(key, _)| key.as_str());
        let new_keys: BTreeSet<&str> = keys.filter(|key| !self.conditions.contains_key(*key)).collect();
        new_keys.len()
    }

    /// The machines in the requirements that the segment does not name yet.
    fn new_machines<'a>(&self, requirements: &[&'a FactRequirements]) -> BTreeSet<&'a str> {
        let machines = requirements.iter().filter_map(|r| r.machine.as_deref());
        machines.filter(|machine| !self.machines.contains(*machine)).collect()
    }

    /// How many bytes the entries add to the segment, with all names that are new in it.
    fn added_bytes(&self, uid: &str, new_machines: &BTreeSet<&str>, requirements: &[&FactRequirements]) -> usize {
        let job_name = if self.entries.contains_key(uid) { 0 } else { max_bytes::name(uid) };
        let machine_names = new_machines.iter().map(|machine| max_bytes::name(machine)).sum::<usize>();
        job_name + machine_names + requirements.iter().map(|r| r.bytes).sum::<usize>()
    }

    /// The conditions of the transaction.
    pub fn conditions(&self) -> impl Iterator<Item = Condition> + '_ {
        self.conditions.iter().map(|(key, version)| Condition { key: key.clone(), version: *version })
    }
}

#[cfg(test)]
mod tests;
