//! Tracks transactions in flight and the evidence that resolves each of them.
//!
//! A transaction is resolved by the first proof of its outcome: its own answer, or what the
//! watch or a read shows of the store.
//!
//! - *Done*: the store holds every value that it puts, all at one revision that is newer than
//!   everything known when it was sent. It does not matter which client wrote them: the
//!   transaction is conditional on one of these keys. If another client wrote that key, the
//!   transaction can no longer be carried out, but the values that it would put are there.
//! - *Void*: a key that it is conditional on has changed, the watch has shown every change up
//!   to that one, and the transaction was not among them. A key that may be deleted can be
//!   absent again, so a condition on absence proves this only for keys that are never deleted.
//!
//! For a transaction that was in flight during a gap in the watch (a new scan), only *done* can
//! be proved; otherwise only its answer resolves it.

#![warn(missing_docs)]

use crate::effects::CallId;
use crate::protocol::store::{Condition, Op, Txn};
use crate::state::records::is_permanent;
use ciborium::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The proven outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Proof {
    /// All its values were stored by the change of this revision.
    Done(u64),
    /// It was not carried out and never will be, because a key that it is conditional on has
    /// changed.
    Void {
        /// The key that changed.
        key: String,
        /// The revision of that change.
        revision: u64,
    },
}

/// One transaction in flight, and the evidence about its outcome.
#[derive(Debug)]
struct InFlightWrite {
    /// The newest revision known when it was sent; its own revision can only be newer.
    sent_at_revision: u64,
    /// The values that it puts, by key. Deletes are not included.
    puts: BTreeMap<String, Value>,
    /// The versions that it is conditional on. Only keys for which any change proves that the
    /// transaction is void.
    conditions: BTreeMap<String, u64>,
    /// The keys that were seen with the value that it puts, by revision.
    matching_puts: BTreeMap<u64, BTreeSet<String>>,
    /// The first change of a key in `conditions`: key and revision.
    failed_condition: Option<(String, u64)>,
    /// Whether the watch may have missed changes since it was sent.
    watch_gap: bool,
}

impl InFlightWrite {
    fn new(txn: &Txn, sent_at_revision: u64) -> InFlightWrite {
        let put_value = |op: &Op| match op {
            Op::Put { key, data, .. } => Some((key.clone(), data.clone())),
            Op::Delete { .. } => None,
        };
        let conclusive = txn.conditions.iter().filter(|condition| any_change_proves_void(txn, condition));
        InFlightWrite {
            sent_at_revision,
            puts: txn.ops.iter().filter_map(put_value).collect(),
            conditions: conclusive.map(|c| (c.key.clone(), c.version)).collect(),
            matching_puts: BTreeMap::new(),
            failed_condition: None,
            watch_gap: false,
        }
    }

    /// The keys whose changes are evidence about this transaction. A key may occur twice.
    fn keys(&self) -> impl Iterator<Item = &String> {
        self.puts.keys().chain(self.conditions.keys())
    }

    /// The outcome, if the evidence so far proves it. *Done* takes precedence: a condition that
    /// changed later does not undo the transaction.
    fn proof(&self) -> Option<Proof> {
        let complete = self.matching_puts.iter().find(|(_, keys)| keys.len() == self.puts.len());
        if let Some((revision, _)) = complete {
            return Some(Proof::Done(*revision));
        }
        let (key, revision) = self.failed_condition.clone().filter(|_| !self.watch_gap)?;
        Some(Proof::Void { key, revision })
    }
}

/// Whether any change of the condition's key proves that the transaction will never be carried
/// out. It does not if the transaction itself deletes the key, nor if the key must be absent
/// and may be deleted again.
fn any_change_proves_void(txn: &Txn, condition: &Condition) -> bool {
    let deleted = txn.ops.iter().any(|op| matches!(op, Op::Delete { key } if *key == condition.key));
    !deleted && (condition.version > 0 || is_permanent(&condition.key))
}

/// All transactions in flight that changes and reads of the store can resolve.
///
/// Invariant: a resolved transaction is removed, so a late answer to it has no effect.
#[derive(Debug, Default)]
pub struct InFlightWrites {
    writes: BTreeMap<CallId, InFlightWrite>,
    /// The transactions for which changes of each key are evidence.
    by_key: HashMap<String, BTreeSet<CallId>>,
    /// Transactions with evidence that `take_resolved` has not examined yet.
    unexamined: BTreeSet<CallId>,
}

impl InFlightWrites {
    /// Starts to track a transaction that is sent now. `newest_revision` is the newest revision
    /// of the store that is known. A transaction that puts none of the keys that it is
    /// conditional on is not tracked: only its answer resolves it.
    pub fn track(&mut self, id: CallId, txn: &Txn, newest_revision: u64) {
        if !txn.conditions.iter().any(|condition| txn.puts(&condition.key)) {
            return;
        }
        let write = InFlightWrite::new(txn, newest_revision);
        for key in write.keys() {
            self.by_key.entry(key.clone()).or_default().insert(id);
        }
        self.writes.insert(id, write);
    }

    /// Stops tracking a transaction that was answered or given up.
    pub fn stop_tracking(&mut self, id: CallId) {
        let Some(write) = self.writes.remove(&id) else { return };
        self.unexamined.remove(&id);
        for key in write.keys() {
            if let Some(ids) = self.by_key.get_mut(key) {
                ids.remove(&id);
                if ids.is_empty() {
                    self.by_key.remove(key);
                }
            }
        }
    }

    /// Records a change of a key that the watch shows. The watch must have shown all earlier
    /// changes, except where `mark_watch_gap` was called. `data` is `None` if the key was deleted.
    pub fn observe_change(&mut self, key: &str, data: Option<&Value>, revision: u64) {
        self.observe_value(key, data, revision);
        for id in self.by_key.get(key).into_iter().flatten() {
            if let Some(write) = self.writes.get_mut(id)
                && write.conditions.get(key).is_some_and(|version| revision > *version)
                && write.failed_condition.is_none()
            {
                write.failed_condition = Some((key.to_string(), revision));
                self.unexamined.insert(*id);
            }
        }
    }

    /// Records a value that the store holds at this revision, from the watch or from a read.
    /// Nothing is assumed about earlier changes.
    pub fn observe_value(&mut self, key: &str, data: Option<&Value>, revision: u64) {
        let Some(data) = data else { return };
        for id in self.by_key.get(key).into_iter().flatten() {
            if let Some(write) = self.writes.get_mut(id)
                && revision > write.sent_at_revision
                && write.puts.get(key).is_some_and(|expected| same_data(expected, data))
            {
                write.matching_puts.entry(revision).or_default().insert(key.to_string());
                self.unexamined.insert(*id);
            }
        }
    }

    /// Records that the watch may miss changes from now on.
    pub fn mark_watch_gap(&mut self) {
        for write in self.writes.values_mut() {
            write.watch_gap = true;
        }
    }

    /// Removes the resolved transactions and returns them with their proofs. Call this only
    /// after a response has been applied completely, because its changes are evidence together.
    pub fn take_resolved(&mut self) -> Vec<(CallId, Proof)> {
        let unexamined = std::mem::take(&mut self.unexamined);
        let proofs = unexamined.into_iter().filter_map(|id| Some((id, self.writes.get(&id)?.proof()?)));
        let proofs: Vec<(CallId, Proof)> = proofs.collect();
        for (id, _) in &proofs {
            self.stop_tracking(*id);
        }
        proofs
    }

    /// Whether no transaction is tracked.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }
}

/// Whether two values are equal apart from their encoding: the order of a map's entries does
/// not matter, an entry that is null may be left out, and an integer equals a float of the same
/// value.
fn same_data(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Map(a), Value::Map(b)) => includes(b, a) && includes(a, b),
        (Value::Array(a), Value::Array(b)) => a.len() == b.len() && a.iter().zip(b).all(|(a, b)| same_data(a, b)),
        (Value::Integer(i), Value::Float(f)) | (Value::Float(f), Value::Integer(i)) => i128::from(*i) as f64 == *f,
        _ => a == b,
    }
}

/// Whether `map` has the same data as `entries` under each key of `entries`.
fn includes(map: &[(Value, Value)], entries: &[(Value, Value)]) -> bool {
    entries.iter().all(|(key, value)| {
        let other = map.iter().find(|(name, _)| name == key).map_or(&Value::Null, |(_, value)| value);
        same_data(value, other)
    })
}

#[cfg(test)]
mod tests;
