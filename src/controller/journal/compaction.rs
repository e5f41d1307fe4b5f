//! Checkpoints of task ranges, which free the slots of the log for later segments.

use super::LogSlot;
use crate::controller::transactions::{Transactions, Why};
use crate::controller::{Controller, SPARE_WRITES};
use crate::coordination::log_writer::fitting;
use crate::protocol::encode;
use crate::protocol::store::{Condition, Op, Txn};
use crate::state::log_segment::LOG_SLOTS;
use crate::state::records::TaskRangeCheckpoint;
use crate::state::{ClusterState, Job, records};
use std::collections::BTreeSet;

/// Slots are freed ahead of need once they are so old, as a share of the ring.
const AHEAD: f64 = 0.75;
/// Checkpoints that are written ahead in one transaction.
const MAX_CHECKPOINTS_AHEAD: usize = 8;

/// A checkpoint to be written.
#[derive(Debug)]
pub(super) struct Checkpoint {
    pub(super) condition: Condition,
    pub(super) op: Op,
    /// Bytes of its value.
    size: usize,
}

/// Something has to be seen or answered before a checkpoint may be written.
#[derive(Debug)]
pub(super) struct NotYet;

/// Bytes of all values.
pub(super) fn total_size(checkpoints: &[Checkpoint]) -> usize {
    checkpoints.iter().map(|checkpoint| checkpoint.size).sum()
}

/// The checkpoint that a task range needs before the segment of `slot_version` may be
/// written over, if it needs one. It holds all that the log has up to the replica's
/// revision, so nothing of ours in the replica may be ahead of that.
fn checkpoint(
    state: &ClusterState,
    transactions: &Transactions,
    uid: &str,
    range: u32,
    slot_version: u64,
) -> Result<Option<Checkpoint>, NotYet> {
    let chunk = state.jobs.get(uid).and_then(|job: &Job| job.chunks.get(&range));
    let Some(chunk) = chunk.filter(|chunk| chunk.rec.as_of_revision < slot_version) else { return Ok(None) };
    let key = records::checkpoint_key(uid, range);
    let is_busy = transactions.is_locked(&key) || transactions.is_outdated(&key);
    if chunk.last > state.revision || is_busy {
        return Err(NotYet);
    }
    let record = TaskRangeCheckpoint { as_of_revision: state.revision, ..chunk.rec.clone() };
    let size = encode(&record).len();
    let data = records::to_value(&record);
    let condition = Condition { key: key.clone(), version: chunk.version };
    Ok(Some(Checkpoint { condition, op: Op::Put { key, data, lease: None }, size }))
}

impl Controller {
    /// All checkpoints that have to be stored before a segment takes the slot.
    pub(super) fn checkpoints_for_slot(&self, next: &LogSlot) -> Result<Vec<Checkpoint>, NotYet> {
        let slots = self.state.logs.get(&self.process.member).map(|log| &log.slots);
        let Some(slot) = slots.and_then(|slots| slots.get(&(next.seq % LOG_SLOTS))) else { return Ok(Vec::new()) };
        let mut checkpoints = Vec::new();
        for (uid, range) in &slot.touched {
            checkpoints.extend(checkpoint(&self.state, &self.transactions, uid, *range, slot.version)?);
        }
        Ok(checkpoints)
    }

    /// Frees slots ahead of need while there are writes to spare.
    pub(in crate::controller) fn compact_ahead(&mut self) {
        let spare = self.transactions.unspent_writes(self.now) - self.transactions.write_rate() * SPARE_WRITES;
        if self.journal.compacting || spare < 1.0 || !self.may_write(1.0) {
            return;
        }
        let limit = MAX_CHECKPOINTS_AHEAD.min(spare as usize).min(self.config.settings.state.txn_ops);
        let checkpoints = self.checkpoints_of_old_slots(limit);
        if !checkpoints.is_empty() {
            self.send_checkpoints(checkpoints);
        }
    }

    /// Checkpoints, `limit` at most, of the slots that are to be written over next.
    fn checkpoints_of_old_slots(&self, limit: usize) -> Vec<Checkpoint> {
        let Some(log) = self.state.logs.get(&self.process.member) else { return Vec::new() };
        let oldest = (log.seq + 1).saturating_sub(LOG_SLOTS);
        let newest = log.seq.saturating_sub((LOG_SLOTS as f64 * AHEAD) as u64);
        let slots = (oldest..newest).filter_map(|seq| log.slots.get(&(seq % LOG_SLOTS)).filter(|slot| slot.seq == seq));
        let mut checkpoints: Vec<Checkpoint> = Vec::new();
        let mut seen = BTreeSet::new();
        for slot in slots {
            for (uid, range) in &slot.touched {
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

    /// Sends checkpoints in a transaction of their own because they are too many to go
    /// with a segment.
    pub(super) fn send_checkpoints_first(&mut self, mut checkpoints: Vec<Checkpoint>, limit: usize) {
        checkpoints.truncate(limit.min(MAX_CHECKPOINTS_AHEAD));
        self.send_checkpoints(checkpoints);
    }

    fn send_checkpoints(&mut self, mut checkpoints: Vec<Checkpoint>) {
        if self.journal.compacting {
            return;
        }
        checkpoints.truncate(fitting(checkpoints.iter().map(|checkpoint| checkpoint.size)));
        self.journal.compacting = true;
        let mut txn = Txn::default();
        for checkpoint in checkpoints {
            txn.conditions.push(checkpoint.condition);
            txn.ops.push(checkpoint.op);
        }
        let keys = txn.conditions.iter().map(|condition| condition.key.clone()).collect();
        self.send_txn(txn, Why::Fold, keys);
    }
}
