//! Transactions that are under way, and what settles each: the first proof of any
//! kind. Its answer is one; what the watch or a read shows of the store is another.
//!
//! - *Done*: every put of it stands in the store, at one revision newer than all that
//!   was known when it was sent, with just the values put. Whose hand wrote them does not
//!   matter: one of these keys is a condition of ours too, so if it was another's, ours is
//!   void and what it was to bring about is there.
//! - *Void*: a key that it is conditional on has changed, and the watch has shown every
//!   change up to that, ours not among them. A key that may be deleted can be absent
//!   again, so a condition on absence proves this only where keys are never deleted.
//!
//! After a gap in what is shown (a load) only the first holds, until it is answered.
//! Invariant: what is settled is forgotten, so that a late answer finds nothing.

use crate::effects::CallId;
use crate::protocol::store::{Op, Txn};
use crate::state::records::lasts;
use ciborium::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Proof {
    /// Carried out, by the change of this revision.
    Done(u64),
    /// Never carried out: this key changed at that revision.
    Void { key: String, revision: u64 },
}

/// One transaction under way.
#[derive(Debug)]
struct Write {
    /// The newest change known when it was sent: its own is newer.
    since: u64,
    puts: BTreeMap<String, Value>,
    /// Conditions of which a change voids it for good.
    conditions: BTreeMap<String, u64>,
    /// Puts that were shown, by revision.
    shown: BTreeMap<u64, BTreeSet<String>>,
    void: Option<(String, u64)>,
    /// Changes may have been missed since it was sent.
    gap: bool,
}

#[derive(Debug, Default)]
pub struct Writes {
    open: BTreeMap<CallId, Write>,
    /// Which of them have to do with a key.
    by_key: HashMap<String, BTreeSet<CallId>>,
    touched: BTreeSet<CallId>,
}

impl Write {
    fn new(txn: &Txn, since: u64) -> Write {
        let put = |op: &Op| match op {
            Op::Put { key, data, .. } => Some((key.clone(), data.clone())),
            Op::Delete { .. } => None,
        };
        let deletes = |k: &str| txn.ops.iter().any(|op| matches!(op, Op::Delete { key } if key == k));
        let proves = |c: &&crate::protocol::store::Condition| !deletes(&c.key) && (c.version > 0 || lasts(&c.key));
        Write {
            since,
            puts: txn.ops.iter().filter_map(put).collect(),
            conditions: txn.conditions.iter().filter(proves).map(|c| (c.key.clone(), c.version)).collect(),
            shown: BTreeMap::new(),
            void: None,
            gap: false,
        }
    }

    fn proof(&self) -> Option<Proof> {
        let whole = self.shown.iter().find(|(_, keys)| keys.len() == self.puts.len());
        if let Some((revision, _)) = whole {
            return Some(Proof::Done(*revision));
        }
        let (key, revision) = self.void.clone().filter(|_| !self.gap)?;
        Some(Proof::Void { key, revision })
    }
}

impl Writes {
    /// A transaction goes out; `since` is the newest change of which anything is known.
    /// One that puts nothing it is conditional on is settled by its answer alone.
    pub fn sent(&mut self, id: CallId, txn: &Txn, since: u64) {
        if !txn.conditions.iter().any(|c| txn.puts(&c.key)) {
            return;
        }
        let write = Write::new(txn, since);
        for key in write.puts.keys().chain(write.conditions.keys()) {
            self.by_key.entry(key.clone()).or_default().insert(id);
        }
        self.open.insert(id, write);
    }

    /// It was answered, or given up.
    pub fn ended(&mut self, id: CallId) {
        let Some(write) = self.open.remove(&id) else { return };
        self.touched.remove(&id);
        for key in write.puts.keys().chain(write.conditions.keys()) {
            if let Some(ids) = self.by_key.get_mut(key) {
                ids.remove(&id);
                if ids.is_empty() {
                    self.by_key.remove(key);
                }
            }
        }
    }

    /// The watch shows a change, after all changes before it.
    pub fn changed(&mut self, key: &str, data: Option<&Value>, revision: u64) {
        self.shows(key, data, revision);
        for id in self.by_key.get(key).into_iter().flatten() {
            if let Some(w) = self.open.get_mut(id)
                && w.conditions.get(key).is_some_and(|known| revision > *known)
                && w.void.is_none()
            {
                w.void = Some((key.to_string(), revision));
                self.touched.insert(*id);
            }
        }
    }

    /// The store holds this, whatever it held before.
    pub fn shows(&mut self, key: &str, data: Option<&Value>, revision: u64) {
        let Some(data) = data else { return };
        for id in self.by_key.get(key).into_iter().flatten() {
            if let Some(w) = self.open.get_mut(id)
                && revision > w.since
                && w.puts.get(key).is_some_and(|ours| alike(ours, data))
            {
                w.shown.entry(revision).or_default().insert(key.to_string());
                self.touched.insert(*id);
            }
        }
    }

    /// Changes may be missed from here on.
    pub fn gap(&mut self) {
        for w in self.open.values_mut() {
            w.gap = true;
        }
    }

    /// Those that are settled, all of a response having been taken in, and by what.
    pub fn settled(&mut self) -> Vec<(CallId, Proof)> {
        let touched = std::mem::take(&mut self.touched);
        let proofs = touched.into_iter().filter_map(|id| Some((id, self.open.get(&id)?.proof()?)));
        let proofs: Vec<(CallId, Proof)> = proofs.collect();
        for (id, _) in &proofs {
            self.ended(*id);
        }
        proofs
    }

    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}

/// The same data, however it is written down: a map has no order, a null may be left
/// out, and a number is its value.
fn alike(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Map(a), Value::Map(b)) => {
            let holds = |b: &[(Value, Value)], (k, v): &(Value, Value)| {
                let other = b.iter().find(|(name, _)| name == k).map_or(&Value::Null, |(_, v)| v);
                alike(v, other)
            };
            a.iter().all(|e| holds(b, e)) && b.iter().all(|e| holds(a, e))
        }
        (Value::Array(a), Value::Array(b)) => a.len() == b.len() && a.iter().zip(b).all(|(a, b)| alike(a, b)),
        (Value::Integer(i), Value::Float(f)) | (Value::Float(f), Value::Integer(i)) => i128::from(*i) as f64 == *f,
        _ => a == b,
    }
}

#[cfg(test)]
mod tests;
