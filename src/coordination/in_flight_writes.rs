//! Transactions in flight, and the evidence that resolves each of them.
//!
//! A transaction is resolved by the first proof of any kind: its own answer, or what the
//! watch or a read shows of the store.
//!
//! - *Done*: the store holds every value that it puts, all at one revision that is newer than
//!   everything known when it was sent. It does not matter which client wrote them: the
//!   transaction is conditional on one of these keys, so if another client wrote that key,
//!   ours can no longer be carried out, and what it was to bring about is there.
//! - *Void*: a key that it is conditional on has changed, and the watch has shown every
//!   change up to that one, and ours was not among them. A key that may be deleted can be
//!   absent again, so a condition on absence proves this only where keys are never deleted.
//!
//! After a gap in the watch (a new scan) only *done* can be proved, until the transaction is
//! answered.

use crate::effects::CallId;
use crate::protocol::store::{Condition, Op, Txn};
use crate::state::records::lasts;
use ciborium::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Proof of what became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Proof {
    /// It was carried out, by the change of this revision.
    Done(u64),
    /// It was not carried out and never will be: this key changed at that revision.
    Void { key: String, revision: u64 },
}

/// One transaction in flight, and what is known of it.
#[derive(Debug)]
struct InFlightWrite {
    /// The newest revision known when it was sent: its own is newer.
    sent_at_revision: u64,
    /// The values that it puts, by key.
    puts: BTreeMap<String, Value>,
    /// The versions that it is conditional on, of the keys of which any change makes it
    /// void for good.
    conditions: BTreeMap<String, u64>,
    /// Keys that were shown with the value it puts, by the revision they were shown at.
    matching_puts: BTreeMap<u64, BTreeSet<String>>,
    /// The first change of a condition: key and revision.
    failed_condition: Option<(String, u64)>,
    /// Changes may have been missed since it was sent.
    watch_gap: bool,
}

impl InFlightWrite {
    fn new(txn: &Txn, sent_at_revision: u64) -> InFlightWrite {
        let put = |op: &Op| match op {
            Op::Put { key, data, .. } => Some((key.clone(), data.clone())),
            Op::Delete { .. } => None,
        };
        let voiding = txn.conditions.iter().filter(|condition| voids_for_good(txn, condition));
        InFlightWrite {
            sent_at_revision,
            puts: txn.ops.iter().filter_map(put).collect(),
            conditions: voiding.map(|c| (c.key.clone(), c.version)).collect(),
            matching_puts: BTreeMap::new(),
            failed_condition: None,
            watch_gap: false,
        }
    }

    /// The keys that have to do with this transaction.
    fn keys(&self) -> impl Iterator<Item = &String> {
        self.puts.keys().chain(self.conditions.keys())
    }

    fn proof(&self) -> Option<Proof> {
        let complete = self.matching_puts.iter().find(|(_, keys)| keys.len() == self.puts.len());
        if let Some((revision, _)) = complete {
            return Some(Proof::Done(*revision));
        }
        let (key, revision) = self.failed_condition.clone().filter(|_| !self.watch_gap)?;
        Some(Proof::Void { key, revision })
    }
}

/// Whether any change of the condition's key means that the transaction will never be
/// carried out. It does not where the transaction itself deletes the key, nor where the key
/// has to be absent and may be deleted again.
fn voids_for_good(txn: &Txn, condition: &Condition) -> bool {
    let deleted = txn.ops.iter().any(|op| matches!(op, Op::Delete { key } if *key == condition.key));
    !deleted && (condition.version > 0 || lasts(&condition.key))
}

/// All transactions in flight that what the store shows can resolve.
///
/// Invariant: a transaction that is resolved is forgotten, so a late answer finds nothing.
#[derive(Debug, Default)]
pub struct InFlightWrites {
    writes: BTreeMap<CallId, InFlightWrite>,
    /// The transactions that each key has to do with.
    by_key: HashMap<String, BTreeSet<CallId>>,
    /// Transactions with new evidence since the last look at what is resolved.
    touched: BTreeSet<CallId>,
}

impl InFlightWrites {
    /// A transaction is sent; `newest_revision` is the newest one of which anything is
    /// known. A transaction that puts none of the keys it is conditional on is resolved by
    /// its answer alone.
    pub fn sent(&mut self, id: CallId, txn: &Txn, newest_revision: u64) {
        if !txn.conditions.iter().any(|condition| txn.puts(&condition.key)) {
            return;
        }
        let write = InFlightWrite::new(txn, newest_revision);
        for key in write.keys() {
            self.by_key.entry(key.clone()).or_default().insert(id);
        }
        self.writes.insert(id, write);
    }

    /// A transaction was answered, or given up.
    pub fn ended(&mut self, id: CallId) {
        let Some(write) = self.writes.remove(&id) else { return };
        self.touched.remove(&id);
        for key in write.keys() {
            if let Some(ids) = self.by_key.get_mut(key) {
                ids.remove(&id);
                if ids.is_empty() {
                    self.by_key.remove(key);
                }
            }
        }
    }

    /// The watch shows a change of a key, after all changes before it. `data` is `None` if
    /// the key was deleted.
    pub fn changed(&mut self, key: &str, data: Option<&Value>, revision: u64) {
        self.shows(key, data, revision);
        for id in self.by_key.get(key).into_iter().flatten() {
            if let Some(write) = self.writes.get_mut(id)
                && write.conditions.get(key).is_some_and(|version| revision > *version)
                && write.failed_condition.is_none()
            {
                write.failed_condition = Some((key.to_string(), revision));
                self.touched.insert(*id);
            }
        }
    }

    /// The store holds this value at this revision, whatever it held before.
    pub fn shows(&mut self, key: &str, data: Option<&Value>, revision: u64) {
        let Some(data) = data else { return };
        for id in self.by_key.get(key).into_iter().flatten() {
            if let Some(write) = self.writes.get_mut(id)
                && revision > write.sent_at_revision
                && write.puts.get(key).is_some_and(|ours| same_data(ours, data))
            {
                write.matching_puts.entry(revision).or_default().insert(key.to_string());
                self.touched.insert(*id);
            }
        }
    }

    /// Changes may be missed from here on.
    pub fn gap(&mut self) {
        for write in self.writes.values_mut() {
            write.watch_gap = true;
        }
    }

    /// Takes out the transactions that are resolved, with their proofs. To be called once
    /// all of a response has been applied.
    pub fn settled(&mut self) -> Vec<(CallId, Proof)> {
        let touched = std::mem::take(&mut self.touched);
        let proofs = touched.into_iter().filter_map(|id| Some((id, self.writes.get(&id)?.proof()?)));
        let proofs: Vec<(CallId, Proof)> = proofs.collect();
        for (id, _) in &proofs {
            self.ended(*id);
        }
        proofs
    }

    /// Whether no transaction is in flight that what the store shows could resolve.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }
}

/// Whether two values are the same data, however they are encoded: a map has no order, a
/// null may be left out, and a number is its value.
fn same_data(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Map(a), Value::Map(b)) => includes(b, a) && includes(a, b),
        (Value::Array(a), Value::Array(b)) => a.len() == b.len() && a.iter().zip(b).all(|(a, b)| same_data(a, b)),
        (Value::Integer(i), Value::Float(f)) | (Value::Float(f), Value::Integer(i)) => i128::from(*i) as f64 == *f,
        _ => a == b,
    }
}

/// Whether `map` has the same data as `entries` under each of their keys.
fn includes(map: &[(Value, Value)], entries: &[(Value, Value)]) -> bool {
    entries.iter().all(|(key, value)| {
        let other = map.iter().find(|(name, _)| name == key).map_or(&Value::Null, |(_, value)| value);
        same_data(value, other)
    })
}

#[cfg(test)]
mod tests;
