//! This controller's log in the state service.
//!
//! The exits that the controller has seen and the starts that it has planned, for all jobs and
//! machines, go into the next segment of its log. The log is a ring of slots: checkpoints of
//! task ranges free slots for later segments. A start is ordered from its agent only once its
//! segment is in the store.

#![warn(missing_docs)]

mod compaction;
mod exits;
mod segment;

use super::Controller;
use super::quota::Reservation;
use super::transactions::{TxnOutcome, TxnPurpose};
use crate::config::Settings;
use crate::coordination::log_writer::{LogWriter, SegmentLimits, byte_limits, may_exceed_segment};
use crate::effects::Instant;
use crate::placement::Start;
use crate::protocol::store::{Condition, Op, Txn};
use crate::protocol::user::{JobKind, JobSpec};
use crate::state::log_segment::{LOG_SLOTS, LogEntries, LogSegmentRecord};
use crate::state::{ClusterState, records};
use compaction::Checkpoint;
pub(super) use exits::PendingExits;
use segment::{DraftedSegment, SegmentInputs};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What is to be written to the log next, and what of it is in flight.
#[derive(Debug, Default)]
pub(super) struct Journal {
    /// Exits that are not stored yet, by job.
    exits: BTreeMap<String, PendingExits>,
    /// Decides when the next segment is sent.
    writer: LogWriter,
    /// Quota reserved for the starts of segments without an answer. Whether a segment was carried
    /// out is known once its slot is written.
    in_doubt: Vec<Reservation>,
    /// Whether a transaction with checkpoints is in flight.
    compacting: bool,
    /// Complete jobs whose records this controller has to end.
    jobs_to_end: BTreeSet<String>,
}

/// The slot of the log that the next segment is written to.
#[derive(Debug)]
struct LogSlot {
    /// Sequence number of the segment.
    seq: u64,
    /// Key of the slot in the store.
    key: String,
    /// Version of the slot's present value, 0 if it is empty.
    version: u64,
}

/// Interval at which entries that can wait are written, in heartbeat intervals.
const SEGMENT_INTERVAL_HEARTBEATS: f64 = 1.0 / 16.0;
/// How long the answer to a segment is waited for, in heartbeat intervals. The next segment then
/// goes to the same slot, so that only one of the two can be carried out.
const SEGMENT_TIMEOUT_HEARTBEATS: f64 = 0.25;
/// The number of conditions that a transaction may have for each change that it may have.
const MAX_CONDITIONS_PER_OP: usize = 4;
const BYTES_PER_KB: f64 = 1024.0;
/// Prefix of the keys of log slots.
const LOG_PREFIX: &str = "fq/l/";
/// Prefix of the keys of job records.
const JOB_PREFIX: &str = "fq/j/";

impl Journal {
    /// Whether a segment with only entries that can wait is due.
    pub(super) fn is_due(&self, now: Instant) -> bool {
        self.writer.due(now)
    }

    /// Whether exits wait to be stored.
    pub(super) fn has_exits(&self) -> bool {
        !self.exits.is_empty()
    }

    /// The jobs with exits that are not stored yet.
    pub(super) fn jobs_with_exits(&self) -> impl Iterator<Item = &String> {
        self.exits.keys()
    }

    /// The job's exits that are not stored yet.
    pub(super) fn exits_of(&self, uid: &str) -> Option<&PendingExits> {
        self.exits.get(uid)
    }

    /// Records that a task has finished, unless that is recorded already. Returns whether it is
    /// new.
    pub(super) fn record_done(&mut self, uid: &str, index: u32, now: Instant) -> bool {
        self.pending_exits(uid, now).done.insert(index)
    }

    /// Records the proof that an attempt is gone from its machine, unless that is recorded already.
    /// Returns whether it is new.
    pub(super) fn record_gone(&mut self, uid: &str, index: u32, attempt: u64, now: Instant) -> bool {
        self.pending_exits(uid, now).gone.insert((index, attempt))
    }

    /// The job's pending exits, which are created with the date `now` if there are none.
    fn pending_exits(&mut self, uid: &str, now: Instant) -> &mut PendingExits {
        self.exits.entry(uid.to_string()).or_insert_with(|| PendingExits::new(now))
    }

    /// Records that this controller has to end the records of these jobs.
    pub(super) fn mark_jobs_to_end(&mut self, uids: impl IntoIterator<Item = String>) {
        self.jobs_to_end.extend(uids);
    }

    /// Takes the list of jobs whose records are to be ended.
    pub(super) fn take_jobs_to_end(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.jobs_to_end)
    }

    /// Records that the transaction with checkpoints was answered or abandoned.
    pub(super) fn compaction_ended(&mut self) {
        self.compacting = false;
    }

    /// Records that a segment was sent; one with entries that can wait is due again after `interval`.
    fn segment_sent(&mut self, now: Instant, interval: Duration) {
        self.writer.record_sent(now, interval);
    }

    /// Records that the segment in flight was answered or abandoned. If its slot is known to be
    /// written, returns the reservations of earlier segments, which that settles.
    fn segment_ended(&mut self, slot_is_written: bool) -> Vec<Reservation> {
        self.writer.segment_in_flight = false;
        if slot_is_written { std::mem::take(&mut self.in_doubt) } else { Vec::new() }
    }

    /// Takes back the exits of a segment that was not carried out, so that they are written again.
    fn restore_exits(&mut self, uid: &str, entries: LogEntries, now: Instant) {
        let exits = self.pending_exits(uid, now);
        exits.done.extend(entries.done);
        exits.gone.extend(entries.gone);
    }
}

impl LogSlot {
    /// The slot for the next segment of a controller.
    fn next(state: &ClusterState, member: &str) -> LogSlot {
        let log = state.logs.get(member);
        let seq = log.map_or(0, |log| log.seq) + 1;
        let version = log.and_then(|log| log.slots.get(&(seq % LOG_SLOTS))).map_or(0, |slot| slot.version);
        LogSlot { seq, key: records::log_key(member, seq), version }
    }
}

impl Controller {
    /// Whether a segment may be written now: none is in flight, and the replica shows the slot's
    /// newest known version.
    pub(super) fn can_write_segment(&self) -> bool {
        let slot = LogSlot::next(&self.state, &self.process.member);
        !self.journal.writer.segment_in_flight && !self.transactions.is_outdated(&slot.key)
    }

    /// Assembles the next segment and sends it, unless checkpoints have to be stored first. `order`
    /// lists the jobs with something to write, most urgent first.
    pub(super) fn write_segment(&mut self, order: &[String], starts: BTreeMap<String, Vec<Start>>) {
        let store = &self.config.deployment.state;
        let slot = LogSlot::next(&self.state, &self.process.member);
        let Ok(checkpoints) = self.checkpoints_for_slot(&slot) else {
            return self.scheduler.request_round();
        };
        let max_checkpoints = store.txn_ops.saturating_sub(2).max(1);
        let (segment_bytes, checkpoint_bytes) = byte_limits(max_value_bytes(&self.config));
        if checkpoints.len() > max_checkpoints || compaction::total_size(&checkpoints) > checkpoint_bytes {
            return self.send_checkpoints_first(checkpoints, max_checkpoints);
        }
        let conditions = store.txn_ops.saturating_mul(MAX_CONDITIONS_PER_OP).saturating_sub(checkpoints.len() + 1);
        let limits = SegmentLimits { conditions, bytes: segment_bytes };
        let inputs = SegmentInputs {
            now: self.now,
            settings: &self.config,
            process: &self.process,
            state: &self.state,
            agents: &self.agents,
            transactions: &self.transactions,
            record_count: self.outbox.next_call_id(),
        };
        let segment = self.journal.draft_segment(inputs, &mut self.quota, limits, order, starts);
        self.scheduler.request_round_if(segment.is_full);
        if !segment.draft.is_empty() {
            self.send_segment(slot, segment, checkpoints);
        } else if let Some(condition) = segment.near_limit {
            self.make_quota_strict(condition);
        }
    }

    /// Sends a transaction that stores the segment, its team records and the checkpoints, and
    /// reserves the quota that the starts take.
    fn send_segment(&mut self, slot: LogSlot, segment: DraftedSegment, checkpoints: Vec<Checkpoint>) {
        let DraftedSegment { draft, quota, .. } = segment;
        let mut txn = Txn { conditions: draft.conditions().collect(), ops: Vec::new() };
        let mut keys = vec![slot.key.clone()];
        keys.extend(draft.conditions.keys().filter(|key| key.starts_with(JOB_PREFIX)).cloned());
        txn.conditions.push(Condition { key: slot.key.clone(), version: slot.version });
        let data = records::to_value(&LogSegmentRecord::from_entries(slot.seq, &draft.entries));
        txn.ops.push(Op::Put { key: slot.key, data, lease: None });
        let mut reservations = Vec::new();
        for (team, taken) in quota {
            if let Some(record) = taken.new_record {
                let key = records::team_key(&team);
                txn.ops.push(Op::Put { key: key.clone(), data: records::to_value(&record), lease: None });
                keys.push(key);
            } else {
                let reservation = Reservation { team, amounts: taken.amounts };
                self.quota.reserve(&reservation);
                reservations.push(reservation);
            }
        }
        for checkpoint in checkpoints {
            keys.push(checkpoint.condition.key.clone());
            txn.conditions.push(checkpoint.condition);
            txn.ops.push(checkpoint.op);
        }
        self.journal.segment_sent(self.now, self.heartbeat_intervals(SEGMENT_INTERVAL_HEARTBEATS));
        let timeout = self.heartbeat_intervals(SEGMENT_TIMEOUT_HEARTBEATS);
        self.transact_locking_within(txn, TxnPurpose::Segment { facts: draft.entries, reservations }, keys, timeout);
    }

    /// Handles the answer to a segment, or that there was none.
    pub(super) fn handle_segment_result(
        &mut self,
        txn: &Txn,
        entries: BTreeMap<String, LogEntries>,
        reservations: Vec<Reservation>,
        ended: &TxnOutcome,
    ) {
        self.scheduler.request_round();
        let carried_out = matches!(ended, TxnOutcome::Done(_));
        if matches!(ended, TxnOutcome::Unknown) {
            self.journal.in_doubt.extend(reservations);
        } else {
            for reservation in reservations {
                self.quota.settle(reservation, carried_out, self.now);
            }
        }
        let slot_lost = self.mark_outdated_records(txn, ended);
        // If this segment took the slot, those in doubt were not carried out; if the slot was
        // lost, one of them was.
        for reservation in self.journal.segment_ended(carried_out || slot_lost) {
            self.quota.settle(reservation, slot_lost, self.now);
        }
        if carried_out {
            self.push_starts(&entries);
        } else {
            for (uid, entries) in entries {
                if self.state.jobs.contains_key(&uid) {
                    self.journal.restore_exits(&uid, entries, self.now);
                }
            }
        }
    }

    /// Sends commands to the machines of these starts, which are in the store now.
    fn push_starts(&mut self, entries: &BTreeMap<String, LogEntries>) {
        let places = entries.values().flat_map(|entries| &entries.starts);
        let machines: BTreeSet<&String> = places.map(|place| &place.machine).collect();
        for machine in machines {
            self.push_commands(machine);
        }
    }

    /// Marks the records whose conditions failed as outdated until the replica shows their new
    /// versions. Returns whether a log slot is among them.
    pub(super) fn mark_outdated_records(&mut self, txn: &Txn, ended: &TxnOutcome) -> bool {
        let TxnOutcome::Void { failed, revision } = ended else { return false };
        // Without a list of the failed conditions any of them may have failed.
        let all = txn.conditions.iter().map(|condition| &condition.key).filter(|_| failed.is_empty());
        let mut slot_lost = false;
        for key in failed.iter().chain(all) {
            slot_lost |= key.starts_with(LOG_PREFIX);
            if *revision > self.state.revision {
                self.transactions.mark_outdated(key, *revision);
            }
        }
        slot_lost
    }
}

/// Whether the job is a gang whose placements may not fit into one segment.
pub(super) fn is_wide_gang(spec: &JobSpec, settings: &Settings) -> bool {
    let max_ops = settings.deployment.state.txn_ops;
    spec.kind == JobKind::Gang && may_exceed_segment(spec.task_count, max_ops, max_value_bytes(settings))
}

/// The largest size of a value in the store, in bytes.
pub(super) fn max_value_bytes(settings: &Settings) -> usize {
    (settings.deployment.state.value_kb * BYTES_PER_KB) as usize
}

#[cfg(test)]
mod tests;
