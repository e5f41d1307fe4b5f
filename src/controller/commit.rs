//! Transactions: what each is for, how many may go, and what follows from their
//! answers. The one place that writes to the state service.

use super::*;
use crate::bookkeeping::segment::Facts;

/// What a transaction was for.
#[derive(Debug)]
pub(super) enum Why {
    Accept(String),
    Withdraw(String),
    /// Starts and exits, and the parts of limits that starts took without
    /// changing the teams' records.
    Segment {
        facts: BTreeMap<String, Facts>,
        parts: Vec<(String, Amounts)>,
    },
    /// Checkpoints.
    Fold,
    Lead,
    Member,
    Enrol,
    Grant,
    /// The end of a job whose last task is gone.
    Close,
    Relet,
    /// A machine is to be drained, or not any more.
    Mark,
    /// A machine that was released leaves the records.
    Forget,
    /// A team comes near its limit.
    Limit,
    /// What the cloud offers.
    Catalog,
    /// A campaign goes on.
    Upkeep,
}

impl Why {
    pub(super) fn name(&self) -> &'static str {
        match self {
            Why::Accept(_) => "accept",
            Why::Withdraw(_) => "withdraw",
            Why::Segment { .. } => "segment",
            Why::Fold => "fold",
            Why::Lead => "lead",
            Why::Member => "member",
            Why::Enrol => "enrol",
            Why::Grant => "grant",
            Why::Close => "close",
            Why::Relet => "relet",
            Why::Mark => "mark",
            Why::Catalog => "catalog",
            Why::Upkeep => "upkeep",
            Why::Forget => "forget",
            Why::Limit => "limit",
        }
    }
}

/// Transactions of one kind since the last summary.
#[derive(Debug, Default)]
pub(super) struct Writes {
    pub(super) sent: u32,
    pub(super) changes: usize,
    /// Carried out nothing: a record had changed, or the store said no.
    pub(super) failed: u32,
}

/// Whether the transaction writes the key, rather than only look at it.
fn puts(txn: &Txn, key: &str) -> bool {
    txn.ops.iter().any(|op| matches!(op, store::Op::Put { key: k, .. } if k == key))
}

impl Controller {
    /// Whether `n` changes may be written now that could also wait.
    pub(super) fn may_write(&self, n: f64) -> bool {
        self.retry.may(Retry::Write, self.now) && self.writes.has(self.now, n)
    }

    /// Whether a change of this order may be written now, though others wait.
    pub(super) fn may_write_as(&mut self, order: Order) -> bool {
        self.retry.may(Retry::Write, self.now) && self.writes.admits(order, self.now)
    }

    /// Sends a transaction; its keys are left alone until it is answered.
    pub(super) fn txn(&mut self, txn: Txn, why: Why) {
        let mut keys: Vec<String> = txn.conds.iter().map(|c| c.key.clone()).collect();
        keys.retain(|k| !k.starts_with("fq/h/") && !k.starts_with(records::BLOCKS) && k != records::LEAD_KEY);
        // A team's record that is only looked at keeps nobody else from it.
        keys.retain(|k| !k.starts_with(records::TEAMS) || puts(&txn, k));
        self.send_txn(txn, why, keys);
    }

    /// Sends a transaction that keeps `keys` busy until it is answered.
    pub(super) fn send_txn(&mut self, txn: Txn, why: Why, keys: Vec<String>) {
        self.send_txn_within(txn, why, keys, self.report_s(1.0));
    }

    /// The same, given up after `timeout`.
    pub(super) fn send_txn_within(&mut self, txn: Txn, why: Why, keys: Vec<String>, timeout: Duration) {
        debug_assert!(self.retry.may(Retry::Write, self.now), "{} goes past the retry policy", why.name());
        let charge = self.writes.charge(self.now, txn.ops.len() as f64);
        let written = self.written.entry(why.name()).or_default();
        written.sent += 1;
        written.changes += txn.ops.len();
        self.busy.extend(keys.iter().cloned());
        let body = crate::protocol::encode(&txn);
        self.call(
            Target::State,
            "POST",
            store::TXN.into(),
            Some(body),
            timeout,
            Purpose::Txn { txn, why, keys, charge, sent: self.now },
        );
    }

    pub(super) fn txn_answer(&mut self, txn: Txn, why: Why, result: Result<Reply, NoAnswer>) {
        let ledger = |r: &Reply| crate::protocol::decode::<store::Ledger>(&r.body).ok().map(|l| l.ledger_no);
        let done = match &result {
            Ok(r) if r.status == 200 => ledger(r),
            _ => None,
        };
        if let Some(revision) = done {
            self.view.learn(revision);
            for op in &txn.ops {
                // Deletes wait for the watch: it could still bring an older put.
                if let store::Op::Put { key, data, .. } = op {
                    self.view.put(key, data, revision);
                }
            }
            self.dirty = true;
        }
        let status = result.as_ref().map_or(0, |r| r.status);
        if done.is_none() {
            self.written.entry(why.name()).or_default().failed += 1;
            let changed = result.as_ref().ok().and_then(|r| crate::protocol::decode::<store::Ledger>(&r.body).ok());
            let changed = changed.map(|l| l.failed).unwrap_or_default();
            tracing::debug!(status, ?why, ?changed, "transaction not carried out");
        }
        if done.is_some() {
            self.record_changed(&txn);
        }
        match why {
            Why::Accept(uid) => {
                let beaten = result.ok().filter(|r| r.status == 409).and_then(|r| ledger(&r));
                self.accept_answer(&uid, done.is_some(), status, beaten);
            }
            Why::Withdraw(uid) => self.withdraw_answer(&uid, done.is_some(), status),
            Why::Segment { facts, parts } => self.segment_answer(&txn, facts, parts, &result),
            Why::Fold => {
                self.folding = false;
                self.dirty = true;
                if status == 409 {
                    self.note_outdated(&txn, &result);
                }
            }
            Why::Close if status == 409 => {
                self.note_outdated(&txn, &result);
            }
            Why::Enrol => self.enrol_rentals(),
            _ => {}
        }
        self.view_changed();
    }

    /// A transaction whose host keys count as busy as well, and blocks that it grants.
    pub(super) fn txn_keyed(&mut self, txn: Txn, why: Why) {
        let mut keys: Vec<String> = txn.conds.iter().map(|c| c.key.clone()).collect();
        keys.retain(|k| k != records::LEAD_KEY && (!k.starts_with(records::BLOCKS) || puts(&txn, k)));
        self.send_txn(txn, why, keys);
    }
}
