//! Transactions: what each is for, how many may go, and what follows from their
//! answers. The one place that writes to the state service.

use super::*;
use crate::coordination::in_flight_writes::Proof;
use crate::requests::RequestKind;
use crate::state::log_segment::Facts;
use ciborium::Value;

/// Transactions under way, the records that they lock, and their rate.
#[derive(Debug)]
pub(super) struct Transactions {
    /// Transactions without a result, and what settles them.
    in_flight: InFlightWrites,
    /// Keys that a transaction under way writes or rests on.
    locked_keys: BTreeSet<String>,
    /// Records that a refused write had outdated: it would be refused again until
    /// the replica has come to this revision.
    outdated: BTreeMap<String, u64>,
    /// This controller's part of the store's write limit.
    rate: RateLimiter,
    /// When the store answered again after the last outage.
    store_recovered_at: Option<Instant>,
    /// What was written since the last summary, by kind.
    written: BTreeMap<&'static str, Writes>,
    /// How long the store took over transactions, in milliseconds.
    durations_ms: Histogram<u64>,
}

impl Transactions {
    /// Nothing under way; `rate` is this controller's part of the changes a second.
    pub(super) fn new(rate: f64) -> Transactions {
        Transactions {
            in_flight: InFlightWrites::default(),
            locked_keys: BTreeSet::new(),
            outdated: BTreeMap::new(),
            rate: RateLimiter::new(rate),
            store_recovered_at: None,
            written: BTreeMap::new(),
            durations_ms: Histogram::new_with_max(LONGEST_TXN_MS, 2).expect("bounds are good"),
        }
    }

    /// Whether a transaction under way writes or rests on this key.
    pub(super) fn is_locked(&self, key: &str) -> bool {
        self.locked_keys.contains(key)
    }

    /// Whether a write of this key was refused for a change that the replica lacks yet.
    pub(super) fn is_outdated(&self, key: &str) -> bool {
        self.outdated.contains_key(key)
    }

    /// The replica's record of this key is older than `revision`.
    pub(super) fn mark_outdated(&mut self, key: &str, revision: u64) {
        self.outdated.insert(key.to_string(), revision);
    }

    /// The replica has come to `revision`: what was outdated up to it may be written again.
    pub(super) fn forget_outdated(&mut self, revision: u64) {
        self.outdated.retain(|_, needed| *needed > revision);
    }

    /// This controller's part of the store's write limit, in changes a second.
    pub(super) fn write_rate(&self) -> f64 {
        self.rate.rate
    }

    /// Sets this controller's part of the store's write limit.
    pub(super) fn set_write_rate(&mut self, rate: f64) {
        self.rate.rate = rate;
    }

    /// Changes that may be written now without borrowing.
    pub(super) fn unspent_writes(&self, now: Instant) -> f64 {
        self.rate.level(now)
    }

    /// The store answers again after an outage, for all controllers at once.
    pub(super) fn store_recovered(&mut self, now: Instant) {
        self.rate.store_is_back(now);
        self.store_recovered_at = Some(now);
    }

    /// How long ago the last outage of the store ended.
    pub(super) fn since_store_recovered(&self, now: Instant) -> Option<Duration> {
        self.store_recovered_at.map(|at| now.saturating_sub(at))
    }

    /// The watch shows a change of a key, after all changes before it.
    pub(super) fn observe_change(&mut self, key: &str, data: Option<&Value>, revision: u64) {
        self.in_flight.changed(key, data, revision);
    }

    /// A read shows what a key holds, whatever it held before.
    pub(super) fn observe_row(&mut self, key: &str, data: &Value, revision: u64) {
        self.in_flight.shows(key, Some(data), revision);
    }

    /// Changes may be missed from here on: only answers, or what a transaction put, settle
    /// those under way.
    pub(super) fn observe_gap(&mut self) {
        self.in_flight.gap();
    }

    /// A transaction goes out under this call: it is charged and its keys are locked.
    fn begin(
        &mut self,
        id: CallId,
        txn: Txn,
        why: Why,
        keys: Vec<String>,
        known_revision: u64,
        now: Instant,
    ) -> PendingTransaction {
        let charge = self.rate.charge(now, txn.ops.len() as f64);
        let written = self.written.entry(why.name()).or_default();
        written.sent += 1;
        written.changes += txn.ops.len();
        self.locked_keys.extend(keys.iter().cloned());
        self.in_flight.sent(id, &txn, known_revision);
        PendingTransaction { txn, why, keys, charge, sent_at: now }
    }

    /// The call of a transaction has ended: nothing that the store shows settles it any
    /// more. What the store refused for now was not written, and is not charged.
    fn end_call(&mut self, id: CallId, charge: Charge, result: &Result<Reply, NoAnswer>, now: Instant) {
        self.in_flight.ended(id);
        if result.as_ref().is_ok_and(|reply| reply.status == 503) {
            self.rate.give_back(now, charge);
        }
    }

    /// A transaction has ended: its keys are free, and its duration is counted.
    fn finish(&mut self, pending: &PendingTransaction, ended: &Ended, now: Instant) {
        let took = now.saturating_sub(pending.sent_at).as_millis() as u64;
        self.durations_ms.saturating_record(took);
        for key in &pending.keys {
            self.locked_keys.remove(key);
        }
        if !matches!(ended, Ended::Done(_)) {
            self.written.entry(pending.why.name()).or_default().failed += 1;
        }
    }

    /// Logs what was written since the last summary, and starts to count anew.
    pub(super) fn log_summary(&mut self) {
        for (kind, writes) in std::mem::take(&mut self.written) {
            tracing::debug!(
                kind,
                sent = writes.sent,
                changes = writes.changes,
                failed = writes.failed,
                "transactions_by_kind"
            );
        }
        let p50_ms = self.durations_ms.value_at_quantile(0.5);
        let p99_ms = self.durations_ms.value_at_quantile(0.99);
        tracing::debug!(count = self.durations_ms.len(), p50_ms, p99_ms, "transaction_durations");
        self.durations_ms.reset();
    }
}

/// A transaction that was sent, and what its end needs to know of it.
#[derive(Debug)]
pub(super) struct PendingTransaction {
    txn: Txn,
    why: Why,
    /// Keys that are locked until it ends.
    keys: Vec<String>,
    /// What it took of the write rate; given back if it was refused.
    charge: Charge,
    sent_at: Instant,
}

/// What a transaction was for.
#[derive(Debug)]
pub(super) enum Why {
    Accept(String),
    Cancel(String),
    /// Starts and exits, and the parts of limits that starts took without
    /// changing the teams' records.
    Segment {
        facts: BTreeMap<String, Facts>,
        reservations: Vec<super::quota::Reservation>,
    },
    /// Checkpoints.
    Fold,
    Lead,
    Member,
    Enrol,
    Grant,
    /// The end of a job whose last task is gone.
    Close,
    ReassignTasks,
    /// A machine is to be drained, or not any more.
    Mark,
    /// A machine that was released leaves the records.
    Forget,
    /// A team comes near its limit.
    Limit,
    /// What the cloud offers.
    Catalog,
    /// A campaign goes on.
    Maintenance,
}

impl Why {
    pub(super) fn name(&self) -> &'static str {
        match self {
            Why::Accept(_) => "accept",
            Why::Cancel(_) => "withdraw",
            Why::Segment { .. } => "segment",
            Why::Fold => "fold",
            Why::Lead => "lead",
            Why::Member => "member",
            Why::Enrol => "enrol",
            Why::Grant => "grant",
            Why::Close => "close",
            Why::ReassignTasks => "relet",
            Why::Mark => "mark",
            Why::Catalog => "catalog",
            Why::Maintenance => "upkeep",
            Why::Forget => "forget",
            Why::Limit => "limit",
        }
    }
}

/// How a transaction ended, by whatever proof came first.
#[derive(Debug)]
pub(super) enum Ended {
    /// Carried out, by the change of this revision.
    Done(u64),
    /// Never carried out: these keys had changed, as of a revision; all of them may have
    /// where none is named.
    Void { failed: Vec<String>, revision: u64 },
    /// Not carried out: the store said no.
    Refused(u16),
    /// It may be carried out yet.
    Unknown,
}

impl Ended {
    fn of(result: &Result<Reply, NoAnswer>) -> Ended {
        let Ok(r) = result else { return Ended::Unknown };
        let ledger = crate::protocol::decode::<store::TxnResponse>(&r.body);
        match (r.status, ledger) {
            (200, Ok(l)) => Ended::Done(l.revision),
            (409, Ok(l)) => Ended::Void { failed: l.failed, revision: l.revision },
            (200, Err(_)) => Ended::Unknown,
            (status, _) => Ended::Refused(status),
        }
    }
}

/// Transactions of one kind since the last summary.
#[derive(Debug, Default)]
struct Writes {
    sent: u32,
    changes: usize,
    /// Carried out nothing: a record had changed, or the store said no.
    failed: u32,
}

impl Controller {
    /// Whether `n` changes may be written now that could also wait.
    pub(super) fn may_write(&self, n: f64) -> bool {
        self.retry.may(Retry::Write, self.now) && self.transactions.rate.has(self.now, n)
    }

    /// Whether a change of this order may be written now, though others wait.
    pub(super) fn may_write_as(&mut self, order: WritePriority) -> bool {
        self.retry.may(Retry::Write, self.now) && self.transactions.rate.admits(order, self.now)
    }

    /// Sends a transaction; its keys are left alone until it is answered.
    pub(super) fn txn(&mut self, txn: Txn, why: Why) {
        self.txn_within(txn, why, self.heartbeat_intervals(1.0));
    }

    /// The same, given up after `timeout`.
    pub(super) fn txn_within(&mut self, txn: Txn, why: Why, timeout: Duration) {
        let mut keys: Vec<String> = txn.conditions.iter().map(|c| c.key.clone()).collect();
        keys.retain(|k| {
            !k.starts_with("fq/h/") && !k.starts_with(records::SHARD_GRANTS_PREFIX) && k != records::LEADER_KEY
        });
        // A team's record that is only looked at keeps nobody else from it.
        keys.retain(|k| !k.starts_with(records::TEAMS_PREFIX) || txn.puts(k));
        self.send_txn_within(txn, why, keys, timeout);
    }

    /// Sends a transaction that keeps `keys` busy until it is answered.
    pub(super) fn send_txn(&mut self, txn: Txn, why: Why, keys: Vec<String>) {
        self.send_txn_within(txn, why, keys, self.heartbeat_intervals(1.0));
    }

    /// The same, given up after `timeout`. The one place from which any goes out.
    pub(super) fn send_txn_within(&mut self, txn: Txn, why: Why, keys: Vec<String>, timeout: Duration) {
        debug_assert!(self.retry.may(Retry::Write, self.now), "{} goes past the retry policy", why.name());
        let body = crate::protocol::encode(&txn);
        let id = self.outbox.next_call_id();
        let pending = self.transactions.begin(id, txn, why, keys, self.state.known_revision(), self.now);
        self.call(Target::State, "POST", store::TXN.into(), Some(body), timeout, Purpose::Txn(pending));
    }

    /// What the store has shown settles what is under way; a later answer finds nothing.
    /// The watch has brought what was put; of a read's rows the view may lack some.
    pub(super) fn settle(&mut self, by_read: bool) {
        for (id, proof) in self.transactions.in_flight.settled() {
            let Some(Purpose::Txn(pending)) = self.outbox.end_call(id) else { continue };
            let ended = match proof {
                Proof::Done(revision) => Ended::Done(revision),
                Proof::Void { key, revision } => Ended::Void { failed: vec![key], revision },
            };
            if let Ended::Done(revision) = ended {
                self.retry.ended(Retry::Write, Outcome::Answered, self.now);
                if by_read {
                    self.view_puts(&pending.txn, revision);
                }
            }
            tracing::debug!(kind = pending.why.name(), ?ended, "transaction_settled_by_store");
            self.txn_ended(pending, ended);
        }
    }

    /// Its answer came, or nothing within its time.
    pub(super) fn txn_answer(&mut self, id: CallId, pending: PendingTransaction, result: &Result<Reply, NoAnswer>) {
        self.transactions.end_call(id, pending.charge, result, self.now);
        let ended = Ended::of(result);
        if let Ended::Done(revision) = ended {
            self.view_puts(&pending.txn, revision);
        }
        self.txn_ended(pending, ended);
    }

    fn view_puts(&mut self, txn: &Txn, revision: u64) {
        self.state.observe_revision(revision);
        for op in &txn.ops {
            // Deletes wait for the watch: it could still bring an older put.
            if let store::Op::Put { key, data, .. } = op {
                self.state.put(key, data, revision);
            }
        }
    }

    /// What follows from the end of a transaction. What it put is in the view.
    fn txn_ended(&mut self, pending: PendingTransaction, ended: Ended) {
        self.transactions.finish(&pending, &ended, self.now);
        let PendingTransaction { txn, why, .. } = pending;
        if matches!(ended, Ended::Done(_)) {
            self.scheduler.request_round();
            self.quota.records_changed(&txn);
        } else {
            tracing::debug!(?ended, ?why, "transaction_not_applied");
        }
        match why {
            Why::Accept(uid) => self.request_written(&uid, RequestKind::Submitted, &ended),
            Why::Cancel(uid) => self.request_written(&uid, RequestKind::Cancelled, &ended),
            Why::Segment { facts, reservations } => self.segment_answer(&txn, facts, reservations, &ended),
            Why::Fold => {
                self.journal.compaction_ended();
                self.scheduler.request_round();
                self.mark_outdated_records(&txn, &ended);
            }
            Why::Close => {
                self.mark_outdated_records(&txn, &ended);
            }
            Why::Enrol => self.enrol_rentals(),
            _ => {}
        }
        self.view_changed();
    }

    /// A transaction whose host keys count as busy as well, and blocks that it grants.
    pub(super) fn txn_keyed(&mut self, txn: Txn, why: Why) {
        let mut keys: Vec<String> = txn.conditions.iter().map(|c| c.key.clone()).collect();
        keys.retain(|k| k != records::LEADER_KEY && (!k.starts_with(records::SHARD_GRANTS_PREFIX) || txn.puts(k)));
        self.send_txn(txn, why, keys);
    }
}

#[cfg(test)]
mod tests;
