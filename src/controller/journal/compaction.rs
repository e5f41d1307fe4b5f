//! Log compaction: checkpoints of task ranges, which free slots of the log for later segments.

#![warn(missing_docs)]

use super::LogSlot;
use crate::controller::transactions::{Transactions, TxnPurpose};
use crate::controller::{Controller, SPARE_WRITES_FRACTION};
use crate::coordination::log_writer::count_that_fit;
use crate::protocol::encode;
use crate::protocol::store::{Condition, Op, Txn};
use crate::state::log_segment::LOG_SLOTS;
use crate::state::records::TaskRangeCheckpoint;
use crate::state::{ClusterState, Job, records};
use std::collections::BTreeSet;

/// Age from which slots are freed ahead of need, as a share of the ring.
const COMPACTION_AGE_SHARE: f64 = 0.75;
/// The most checkpoints in a transaction of their own.
const MAX_CHECKPOINTS_PER_TXN: usize = 8;

/// A checkpoint to be written.
#[derive(Debug)]
pub(super) struct Checkpoint {
    /// Condition that the checkpoint's record is as the replica shows it.
    pub(super) condition: Condition,
    /// The write of the record.
    pub(super) op: Op,
    /// Size of the record, in bytes.
    size: usize,
}

/// A checkpoint may not be written yet: the replica has to catch up, or a transaction has to be
/// answered, first.
#[derive(Debug)]
pub(super) struct NotYet;

/// The size of all records, in bytes.
pub(super) fn total_size(checkpoints: &[Checkpoint]) -> usize {
    checkpoints.iter().map(|checkpoint| checkpoint.size).sum()
}

/// The checkpoint that a task range needs before the segment of `slot_version` may be
/// overwritten, if it needs one. A checkpoint stands for everything in the log up to the
/// replica's revision, so no fact of this controller in the replica may be newer than that.
fn checkpoint(
    state: &ClusterState,
    transactions: &Transactions,
    uid: &str,
    range: u32,
    slot_version: u64,
) -> Result<Option<Checkpoint>, NotYet> {
    let chunk = state.jobs.get(uid).and_then(|job: &Job| job.task_states.get(&range));
    let Some(chunk) = chunk.filter(|chunk| chunk.rec.as_of_revision < slot_version) else { return Ok(None) };
    let key = records::checkpoint_key(uid, range);
    let is_busy = transactions.is_locked(&key) || transactions.is_outdated(&key);
    if chunk.last_revision > state.revision || is_busy {
        return Err(NotYet);
    }
    let record = TaskRangeCheckpoint { as_of_revision: state.revision, ..chunk.rec.clone() };
    let size = encode(&record).len();
    let data = records::to_value(&record);
    let condition = Condition { key: key.clone(), version: chunk.version };
    Ok(Some(Checkpoint { condition, op: Op::Put { key, data, lease: None }, size }))
}

impl Controller {
    /// All checkpoints that have to be stored before, or together with, a segment in this slot.
    pub(super) fn checkpoints_for_slot(&self, next: &LogSlot) -> Result<Vec<Checkpoint>, NotYet> {
        let slots = self.state.logs.get(&self.process.member).map(|log| &log.slots);
        let Some(slot) = slots.and_then(|slots| slots.get(&(next.seq % LOG_SLOTS))) else { return Ok(Vec::new()) };
        let mut checkpoints = Vec::new();
        for (uid, range) in &slot.checkpoints {
            checkpoints.extend(checkpoint(&self.state, &self.transactions, uid, *range, slot.version)?);
        }
        Ok(checkpoints)
    }

    /// Frees slots ahead of need while the write rate has capacity to spare.
    pub(in crate::controller) fn compact_ahead(&mut self) {
        let spare = self.transactions.unspent_writes(self.now) - self.transactions.write_rate() * SPARE_WRITES_FRACTION;
        if self.journal.compacting || spare < 1.0 || !self.may_write(1.0) {
            return;
        }
        let limit = MAX_CHECKPOINTS_PER_TXN.min(spare as usize).min(self.config.deployment.state.txn_ops);
        let checkpoints = self.checkpoints_of_old_slots(limit);
        if !checkpoints.is_empty() {
            self.send_checkpoints(checkpoints);
        }
    }

    /// At most `limit` checkpoints for the slots that are overwritten next.
    fn checkpoints_of_old_slots(&self, limit: usize) -> Vec<Checkpoint> {
        let Some(log) = self.state.logs.get(&self.process.member) else { return Vec::new() };
        let oldest = (log.seq + 1).saturating_sub(LOG_SLOTS);
        let newest = log.seq.saturating_sub((LOG_SLOTS as f64 * COMPACTION_AGE_SHARE) as u64);
        let slots = (oldest..newest).filter_map(|seq| log.slots.get(&(seq % LOG_SLOTS)).filter(|slot| slot.seq == seq));
        let mut checkpoints: Vec<Checkpoint> = Vec::new();
        let mut seen = BTreeSet::new();
        for slot in slots {
            for (uid, range) in &slot.checkpoints {
                if checkpoints.len() < limit
                    && seen.insert((uid, *range))
                    && let Ok(Some(found)) = checkpoint(&self.state, &self.transactions, uid, *range, slot.version)
                {
                    checkpoints.push(found);
                }
            }
        }
        checkpoints
    }

    /// Sends checkpoints in a transaction of their own, because they are too many or too large to
    /// be sent with a segment. The segment is written once they are stored.
    pub(super) fn send_checkpoints_first(&mut self, mut checkpoints: Vec<Checkpoint>, limit: usize) {
        checkpoints.truncate(limit.min(MAX_CHECKPOINTS_PER_TXN));
        self.send_checkpoints(checkpoints);
    }

    /// Sends as many of the checkpoints as fit into one transaction, unless another one is in flight.
    fn send_checkpoints(&mut self, mut checkpoints: Vec<Checkpoint>) {
        if self.journal.compacting {
            return;
        }
        checkpoints.truncate(count_that_fit(checkpoints.iter().map(|checkpoint| checkpoint.size)));
        self.journal.compacting = true;
        let mut txn = Txn::default();
        for checkpoint in checkpoints {
            txn.conditions.push(checkpoint.condition);
            txn.ops.push(checkpoint.op);
        }
        let keys = txn.conditions.iter().map(|condition| condition.key.clone()).collect();
        self.transact_locking(txn, TxnPurpose::Fold, keys);
    }
}
