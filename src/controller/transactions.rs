//! Transactions: the purpose of each, the rate at which they may be sent, and what follows
//! from their outcome. All transactions with the state service are sent from this module.

use super::*;
use crate::coordination::in_flight_writes::Proof;
use crate::requests::RequestKind;
use crate::state::log_segment::LogEntries;
use ciborium::Value;

/// The transactions in flight, the keys that they lock, and the limit of their rate.
#[derive(Debug)]
pub(super) struct Transactions {
    /// Transactions without an outcome, and the evidence that resolves them.
    in_flight: InFlightWrites,
    /// Keys that a transaction in flight writes or is conditional on.
    locked_keys: BTreeSet<String>,
    /// Keys whose record in the replica is outdated, as a failed condition has shown. A
    /// write would fail again until the replica has applied this revision.
    outdated: BTreeMap<String, u64>,
    /// Limits writes to this controller's share of the store's write limit.
    rate: RateLimiter,
    /// When the store answered again after the last outage.
    store_recovered_at: Option<Instant>,
    /// Counts of transactions since the last summary, by kind.
    written: BTreeMap<&'static str, WriteCounts>,
    /// How long transactions took, in milliseconds.
    durations_ms: Histogram<u64>,
}

impl Transactions {
    /// No transactions in flight; `rate` is this controller's share of the store's write
    /// limit, in changes per second.
    pub(super) fn new(rate: f64) -> Transactions {
        Transactions {
            in_flight: InFlightWrites::default(),
            locked_keys: BTreeSet::new(),
            outdated: BTreeMap::new(),
            rate: RateLimiter::new(rate),
            store_recovered_at: None,
            written: BTreeMap::new(),
            durations_ms: Histogram::new_with_max(MAX_TXN_DURATION_MS, 2).expect("histogram bounds are valid"),
        }
    }

    /// Whether a transaction in flight writes this key or is conditional on it.
    pub(super) fn is_locked(&self, key: &str) -> bool {
        self.locked_keys.contains(key)
    }

    /// Whether a write of this key failed because of a change that the replica has not
    /// applied yet.
    pub(super) fn is_outdated(&self, key: &str) -> bool {
        self.outdated.contains_key(key)
    }

    /// Notes that the replica's record of this key is outdated until the replica has applied
    /// `revision`.
    pub(super) fn mark_outdated(&mut self, key: &str, revision: u64) {
        self.outdated.insert(key.to_string(), revision);
    }

    /// Notes that the replica has applied `revision`: records that were outdated until then may
    /// be written again.
    pub(super) fn forget_outdated(&mut self, revision: u64) {
        self.outdated.retain(|_, required| *required > revision);
    }

    /// This controller's share of the store's write limit, in changes per second.
    pub(super) fn write_rate(&self) -> f64 {
        self.rate.rate
    }

    /// Sets this controller's share of the store's write limit, in changes per second.
    pub(super) fn set_write_rate(&mut self, rate: f64) {
        self.rate.rate = rate;
    }

    /// Changes that may be written now without borrowing; negative if in debt.
    pub(super) fn unspent_writes(&self, now: Instant) -> f64 {
        self.rate.balance_at(now)
    }

    /// Notes that the store answers again after an outage, for all controllers at once.
    pub(super) fn store_recovered(&mut self, now: Instant) {
        self.rate.reset_after_outage(now);
        self.store_recovered_at = Some(now);
    }

    /// Time since the last outage of the store ended; `None` if there was none.
    pub(super) fn since_store_recovered(&self, now: Instant) -> Option<Duration> {
        self.store_recovered_at.map(|at| now.saturating_sub(at))
    }

    /// Notes a change of a key that the watch shows, after all changes before it.
    pub(super) fn observe_change(&mut self, key: &str, data: Option<&Value>, revision: u64) {
        self.in_flight.observe_change(key, data, revision);
    }

    /// Notes the value of a key that a scan shows; earlier changes of it may be missed.
    pub(super) fn observe_row(&mut self, key: &str, data: &Value, revision: u64) {
        self.in_flight.observe_value(key, Some(data), revision);
    }

    /// Notes that changes may have been missed. From then on a transaction in flight is
    /// resolved only by its answer, or by the store holding what it puts.
    pub(super) fn observe_gap(&mut self) {
        self.in_flight.mark_watch_gap();
    }

    /// Notes that a transaction is sent with this call: charges it and locks its keys.
    fn begin(
        &mut self,
        id: CallId,
        txn: Txn,
        purpose: TxnPurpose,
        keys: Vec<String>,
        known_revision: u64,
        now: Instant,
    ) -> PendingTransaction {
        let charge = self.rate.charge(now, txn.ops.len() as f64);
        let counts = self.written.entry(purpose.name()).or_default();
        counts.sent += 1;
        counts.changes += txn.ops.len();
        self.locked_keys.extend(keys.iter().cloned());
        self.in_flight.track(id, &txn, known_revision);
        PendingTransaction { txn, purpose, keys, charge, sent_at: now }
    }

    /// Handles the end of a transaction's call: what the store shows no longer resolves the
    /// transaction. If the store refused it with status 503, it was not written, and its
    /// charge is refunded.
    fn end_call(&mut self, id: CallId, charge: Charge, result: &Result<Reply, NoAnswer>, now: Instant) {
        self.in_flight.stop_tracking(id);
        if result.as_ref().is_ok_and(|reply| reply.status == 503) {
            self.rate.refund(now, charge);
        }
    }

    /// Unlocks the keys of a transaction that has ended, and counts its duration.
    fn finish(&mut self, pending: &PendingTransaction, ended: &TxnOutcome, now: Instant) {
        let duration_ms = now.saturating_sub(pending.sent_at).as_millis() as u64;
        self.durations_ms.saturating_record(duration_ms);
        for key in &pending.keys {
            self.locked_keys.remove(key);
        }
        if !matches!(ended, TxnOutcome::Done(_)) {
            self.written.entry(pending.purpose.name()).or_default().failed += 1;
        }
    }

    /// Logs the counts and durations since the last summary, and resets them.
    pub(super) fn log_summary(&mut self) {
        for (kind, counts) in std::mem::take(&mut self.written) {
            tracing::debug!(
                kind,
                sent = counts.sent,
                changes = counts.changes,
                failed = counts.failed,
                "transactions by kind"
            );
        }
        let p50_ms = self.durations_ms.value_at_quantile(0.5);
        let p99_ms = self.durations_ms.value_at_quantile(0.99);
        tracing::debug!(count = self.durations_ms.len(), p50_ms, p99_ms, "transaction durations");
        self.durations_ms.reset();
    }
}

/// A transaction in flight, with what is needed when it ends.
#[derive(Debug)]
pub(super) struct PendingTransaction {
    txn: Txn,
    purpose: TxnPurpose,
    /// Keys that are locked until the transaction ends.
    keys: Vec<String>,
    /// What it took from the write rate; refunded if the store refuses it with status 503.
    charge: Charge,
    sent_at: Instant,
}

/// The purpose of a transaction.
#[derive(Debug)]
pub(super) enum TxnPurpose {
    /// Accepts the submission of this job.
    Accept(String),
    /// Cancels this job.
    Cancel(String),
    /// Appends a segment to this controller's log of starts and exits.
    Segment {
        /// What the segment says of each job.
        facts: BTreeMap<String, LogEntries>,
        /// Parts of team limits that its starts reserve without changing the teams' records.
        reservations: Vec<super::quota::Reservation>,
    },
    /// Compacts log segments into checkpoints.
    Fold,
    /// Makes this controller the leader.
    Election,
    /// Writes this controller's member record.
    RegisterMember,
    /// Records new machines.
    RegisterMachines,
    /// Grants machine groups or a whole shard to a controller.
    Grant,
    /// Ends a job whose last task is gone.
    Close,
    /// Moves waiting tasks between controllers.
    ReassignTasks,
    /// Marks machines for draining, or removes the mark.
    Mark,
    /// Gives up the grant of a machine group, so that the leader makes a new one.
    GiveUpGrant,
    /// Removes machines that were released from the records.
    Forget,
    /// Makes a team's limit strict, because the team has come near it.
    Limit,
    /// Stores the cloud's machine types.
    Catalog,
    /// Advances a maintenance campaign.
    Maintenance,
}

impl TxnPurpose {
    /// The name of this kind of transaction in log fields.
    pub(super) fn name(&self) -> &'static str {
        match self {
            TxnPurpose::Accept(_) => "accept",
            TxnPurpose::Cancel(_) => "withdraw",
            TxnPurpose::Segment { .. } => "segment",
            TxnPurpose::Fold => "fold",
            TxnPurpose::Election => "lead",
            TxnPurpose::RegisterMember => "member",
            TxnPurpose::RegisterMachines => "enrol",
            TxnPurpose::Grant => "grant",
            TxnPurpose::Close => "close",
            TxnPurpose::ReassignTasks => "relet",
            TxnPurpose::Mark => "mark",
            TxnPurpose::GiveUpGrant => "give_up",
            TxnPurpose::Catalog => "catalog",
            TxnPurpose::Maintenance => "upkeep",
            TxnPurpose::Forget => "forget",
            TxnPurpose::Limit => "limit",
        }
    }
}

/// The outcome of a transaction, by the first proof of any kind.
#[derive(Debug)]
pub(super) enum TxnOutcome {
    /// Carried out at this revision.
    Done(u64),
    /// Not carried out and never will be, because records that it is conditional on have
    /// changed.
    Void {
        /// Keys whose conditions failed. If empty, any of the conditions may have failed.
        failed: Vec<String>,
        /// The store's revision at which they had changed.
        revision: u64,
    },
    /// Not carried out: the store refused it with this status.
    Refused(u16),
    /// No usable answer: it may have been carried out, or may still be.
    Unknown,
}

impl TxnOutcome {
    /// The outcome that the result of the call proves.
    fn of(result: &Result<Reply, NoAnswer>) -> TxnOutcome {
        let Ok(reply) = result else { return TxnOutcome::Unknown };
        let response = crate::protocol::decode::<store::TxnResponse>(&reply.body);
        match (reply.status, response) {
            (200, Ok(response)) => TxnOutcome::Done(response.revision),
            (409, Ok(response)) => TxnOutcome::Void { failed: response.failed, revision: response.revision },
            (200, Err(_)) => TxnOutcome::Unknown,
            (status, _) => TxnOutcome::Refused(status),
        }
    }
}

/// Counts of transactions of one kind since the last summary.
#[derive(Debug, Default)]
struct WriteCounts {
    sent: u32,
    /// Changes in all transactions that were sent.
    changes: usize,
    /// Transactions that are not known to have been carried out.
    failed: u32,
}

impl Controller {
    /// Whether this many changes that can also wait may be written now.
    pub(super) fn may_write(&self, changes: f64) -> bool {
        self.retry.allows(RetryPurpose::Write, self.now) && self.transactions.rate.has_balance_for(self.now, changes)
    }

    /// Whether a change of this priority may be written now. One that may not is remembered
    /// as waiting.
    pub(super) fn may_write_with_priority(&mut self, priority: WritePriority) -> bool {
        self.retry.allows(RetryPurpose::Write, self.now) && self.transactions.rate.admits(priority, self.now)
    }

    /// Sends a transaction with the timeout of one heartbeat interval. See
    /// [`Controller::transact_within`] for the keys that it locks.
    pub(super) fn transact(&mut self, txn: Txn, purpose: TxnPurpose) {
        self.transact_within(txn, purpose, self.heartbeat_intervals(1.0));
    }

    /// Sends a transaction that times out after `timeout`. It locks the keys of its
    /// conditions, except those of machine groups, shard grants and the leader, and of teams
    /// whose record it does not write.
    pub(super) fn transact_within(&mut self, txn: Txn, purpose: TxnPurpose, timeout: Duration) {
        let mut keys: Vec<String> = txn.conditions.iter().map(|c| c.key.clone()).collect();
        keys.retain(|key| {
            !key.starts_with("fq/h/") && !key.starts_with(records::SHARD_GRANTS_PREFIX) && key != records::LEADER_KEY
        });
        // A condition on a team's record alone does not keep others from writing the record.
        keys.retain(|key| !key.starts_with(records::TEAMS_PREFIX) || txn.puts(key));
        self.transact_locking_within(txn, purpose, keys, timeout);
    }

    /// Sends a transaction that locks `keys` until it ends, with the timeout of one
    /// heartbeat interval.
    pub(super) fn transact_locking(&mut self, txn: Txn, purpose: TxnPurpose, keys: Vec<String>) {
        self.transact_locking_within(txn, purpose, keys, self.heartbeat_intervals(1.0));
    }

    /// Sends a transaction that locks `keys` until it ends, and times out after `timeout`.
    /// Every transaction is sent from here.
    pub(super) fn transact_locking_within(
        &mut self,
        txn: Txn,
        purpose: TxnPurpose,
        keys: Vec<String>,
        timeout: Duration,
    ) {
        debug_assert!(
            self.retry.allows(RetryPurpose::Write, self.now),
            "transaction \"{}\" is sent against the retry policy",
            purpose.name()
        );
        let body = crate::protocol::encode(&txn);
        let id = self.outbox.next_call_id();
        let pending = self.transactions.begin(id, txn, purpose, keys, self.state.known_revision(), self.now);
        self.call(Target::Store, "POST", store::TXN_PATH.into(), Some(body), timeout, CallPurpose::Txn(pending));
    }

    /// Ends the transactions in flight whose outcome the store has shown; a later answer to
    /// them is ignored. `after_scan` says that a scan has shown it: unlike after the watch,
    /// the replica may then lack some of what they put.
    pub(super) fn resolve_transactions(&mut self, after_scan: bool) {
        for (id, proof) in self.transactions.in_flight.take_resolved() {
            let Some(CallPurpose::Txn(pending)) = self.outbox.end_call(id) else { continue };
            let ended = match proof {
                Proof::Done(revision) => TxnOutcome::Done(revision),
                Proof::Void { key, revision } => TxnOutcome::Void { failed: vec![key], revision },
            };
            if let TxnOutcome::Done(revision) = ended {
                self.retry.record_outcome(RetryPurpose::Write, Outcome::Answered, self.now);
                if after_scan {
                    self.apply_puts(&pending.txn, revision);
                }
            }
            tracing::debug!(kind = pending.purpose.name(), ?ended, "transaction resolved by watch or scan");
            self.end_txn(pending, ended);
        }
    }

    /// Handles the result of a transaction's call.
    pub(super) fn handle_txn_result(
        &mut self,
        id: CallId,
        pending: PendingTransaction,
        result: &Result<Reply, NoAnswer>,
    ) {
        self.transactions.end_call(id, pending.charge, result, self.now);
        let ended = TxnOutcome::of(result);
        if let TxnOutcome::Done(revision) = ended {
            self.apply_puts(&pending.txn, revision);
        }
        self.end_txn(pending, ended);
    }

    /// Applies what a transaction has put to the replica.
    fn apply_puts(&mut self, txn: &Txn, revision: u64) {
        self.state.observe_revision(revision);
        for op in &txn.ops {
            // Deletions are left to the watch, which may still show an older put.
            if let store::Op::Put { key, data, .. } = op {
                self.state.put(key, data, revision);
            }
        }
    }

    /// Does what follows from the outcome of a transaction. If it was carried out, the
    /// replica shows what it put.
    fn end_txn(&mut self, pending: PendingTransaction, ended: TxnOutcome) {
        self.transactions.finish(&pending, &ended, self.now);
        let PendingTransaction { txn, purpose, .. } = pending;
        if matches!(ended, TxnOutcome::Done(_)) {
            self.scheduler.request_round();
            self.quota.records_changed(&txn);
        } else {
            tracing::debug!(?ended, why = ?purpose, "transaction not applied");
        }
        match purpose {
            TxnPurpose::Accept(uid) => self.request_written(&uid, RequestKind::Submit, &ended),
            TxnPurpose::Cancel(uid) => self.request_written(&uid, RequestKind::Cancel, &ended),
            TxnPurpose::Segment { facts: entries, reservations } => {
                self.handle_segment_result(&txn, entries, reservations, &ended)
            }
            TxnPurpose::Fold => {
                self.journal.compaction_ended();
                self.scheduler.request_round();
                self.mark_outdated_records(&txn, &ended);
            }
            TxnPurpose::Close => {
                self.mark_outdated_records(&txn, &ended);
            }
            TxnPurpose::RegisterMachines => self.register_rented_machines(),
            _ => {}
        }
        self.replica_changed();
    }

    /// Sends a transaction that also locks the machine groups that it is conditional on, and
    /// the shard grants that it writes.
    pub(super) fn transact_locking_machines(&mut self, txn: Txn, purpose: TxnPurpose) {
        let mut keys: Vec<String> = txn.conditions.iter().map(|c| c.key.clone()).collect();
        keys.retain(|key| {
            key != records::LEADER_KEY && (!key.starts_with(records::SHARD_GRANTS_PREFIX) || txn.puts(key))
        });
        self.transact_locking(txn, purpose, keys);
    }
}

#[cfg(test)]
mod tests;
