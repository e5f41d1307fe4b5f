//! What the state service knows, and every change to it. Pure: the time comes
//! in. Invariants: the ledger only grows, but for a tail that is lost on
//! purpose; a key's version is the ledger number of its last change; a key
//! hangs on at most one lease, and that lease lives.

use crate::bucket::Bucket;
use ciborium::Value;
use finchquay_protocol::store::{
    CONDITIONS_PER_OP, Op, PAGE_BYTES, PAGE_LIMIT, Row, Rows, TTL_MS, Txn, WATCH_WINDOW, WatchEvent, valid_key,
};
use finchquay_protocol::{BODY_LIMIT, encode};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// What the service allows, as in the settings of the controllers.
#[derive(Debug, Clone)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub data: Value,
    pub version: u64,
    pub lease: Option<u64>,
}

#[derive(Debug, Clone)]
pub struct Lease {
    pub ttl: Duration,
    pub until: Duration,
    keys: BTreeSet<String>,
}

/// One key's change: what it was before, for a tail that is lost, and after.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    pub key: String,
    pub before: Option<Entry>,
    pub after: Option<Entry>,
    pub ledger: u64,
}

impl Change {
    fn news(&self) -> WatchEvent {
        match &self.after {
            Some(e) => WatchEvent {
                put: Some(self.key.clone()),
                delete: None,
                data: Some(e.data.clone()),
                version: self.ledger,
            },
            None => WatchEvent { put: None, delete: Some(self.key.clone()), data: None, version: self.ledger },
        }
    }
}

/// How a transaction ended.
#[derive(Debug, PartialEq)]
pub enum Outcome {
    Done {
        ledger: u64,
    },
    /// Conditions that did not hold.
    Failed {
        keys: Vec<String>,
        ledger: u64,
    },
    NoSuchLease,
    Malformed,
    /// Over the rate of changes.
    TooMany,
}

#[derive(Debug)]
pub struct Store {
    limits: Limits,
    keys: BTreeMap<String, Entry>,
    ledger: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// The last changes, oldest first.
    window: VecDeque<Change>,
    /// TxnResponse number before the oldest change that the window holds.
    window_from: u64,
    requests: Bucket,
    writes: Bucket,
    /// Changes since the log last asked.
    fresh: Vec<Change>,
}

impl Store {
    pub fn new(limits: Limits) -> Store {
        Store::restored(limits, BTreeMap::new(), 0, BTreeMap::new(), 1, Duration::ZERO)
    }

    /// A store as its log had it: leases have their full time again, and
    /// watches from before get 410.
    pub fn restored(
        limits: Limits,
        keys: BTreeMap<String, Entry>,
        ledger: u64,
        ttls: BTreeMap<u64, Duration>,
        next_lease: u64,
        now: Duration,
    ) -> Store {
        let lease = |(id, ttl)| (id, Lease { ttl, until: now + ttl, keys: BTreeSet::new() });
        let mut leases: BTreeMap<u64, Lease> = ttls.into_iter().map(lease).collect();
        for (key, e) in &keys {
            if let Some(l) = e.lease.and_then(|id| leases.get_mut(&id)) {
                l.keys.insert(key.clone());
            }
        }
        Store {
            requests: Bucket::new(limits.rps, 1.0),
            writes: Bucket::new(limits.write_rps, 1.0),
            limits,
            keys,
            ledger,
            leases,
            next_lease,
            window: VecDeque::new(),
            window_from: ledger,
            fresh: Vec::new(),
        }
    }

    pub fn ledger(&self) -> u64 {
        self.ledger
    }

    pub fn next_lease(&self) -> u64 {
        self.next_lease
    }

    pub fn len(&self) -> usize {
        self.keys.len()
    }

    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Changes that the log has not been given yet.
    pub fn take_fresh(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.fresh)
    }

    /// Counts one request against the limit.
    pub fn request(&mut self, now: Duration) -> bool {
        self.requests.take(now, 1.0)
    }

    pub fn get(&self, key: &str) -> Option<Row> {
        let e = self.keys.get(key)?;
        Some(Row { key: key.into(), data: e.data.clone(), version: e.version, lease: e.lease })
    }

    pub fn scan(&self, starts: &str, after: &str, page: usize) -> Rows {
        use std::ops::Bound::{Excluded, Included, Unbounded};
        let low = if after >= starts { Excluded(after) } else { Included(starts) };
        let mut rows = Vec::new();
        let (mut bytes, mut truncated) = (0, false);
        for (key, e) in self.keys.range::<str, _>((low, Unbounded)) {
            if !key.starts_with(starts) {
                break;
            }
            bytes += key.len() + encode(&e.data).len() + 32;
            if rows.len() >= page.min(PAGE_LIMIT) || (bytes > PAGE_BYTES && !rows.is_empty()) {
                truncated = true;
                break;
            }
            rows.push(Row { key: key.clone(), data: e.data.clone(), version: e.version, lease: None });
        }
        Rows { rows, truncated, revision: self.ledger }
    }

    /// Changes under a prefix after a ledger number; `None`: that is too old.
    pub fn changes(&self, starts: &str, after: u64) -> Option<Vec<WatchEvent>> {
        if after < self.window_from {
            return None;
        }
        let first = self.window.partition_point(|c| c.ledger <= after);
        Some(self.window.range(first..).filter(|c| c.key.starts_with(starts)).map(Change::news).collect())
    }

    /// Judges and carries out a transaction.
    pub fn transact(&mut self, now: Duration, txn: &Txn) -> Outcome {
        self.transact_as(now, txn, true)
    }

    /// Answers a transaction as if it were carried out, and forgets it: the
    /// ledger counts it, no key changes, no watch shows it.
    pub fn lose(&mut self, now: Duration, txn: &Txn) -> Outcome {
        self.transact_as(now, txn, false)
    }

    fn transact_as(&mut self, now: Duration, txn: &Txn, keep: bool) -> Outcome {
        if !self.well_formed(txn) {
            return Outcome::Malformed;
        }
        if !self.writes.take(now, txn.ops.len() as f64) {
            return Outcome::TooMany;
        }
        let dead = |op: &Op| matches!(op, Op::Put { lease: Some(id), .. } if !self.leases.contains_key(id));
        if txn.ops.iter().any(dead) {
            return Outcome::NoSuchLease;
        }
        let version = |key: &str| self.keys.get(key).map_or(0, |e| e.version);
        let failed: Vec<String> =
            txn.conditions.iter().filter(|c| version(&c.key) != c.version).map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return Outcome::Failed { keys: failed, ledger: self.ledger };
        }
        if txn.ops.is_empty() {
            return Outcome::Done { ledger: self.ledger };
        }
        self.ledger += 1;
        if keep {
            for op in &txn.ops {
                match op {
                    Op::Put { key, data, lease } => {
                        let entry = Entry { data: data.clone(), version: self.ledger, lease: *lease };
                        self.set(key, Some(entry));
                    }
                    Op::Delete { key } => self.set(key, None),
                }
            }
        }
        Outcome::Done { ledger: self.ledger }
    }

    fn well_formed(&self, txn: &Txn) -> bool {
        let value_limit = self.limits.value_kb * 1024.0;
        let fits = |op: &Op| match op {
            Op::Put { key, data, .. } => valid_key(key) && encode(data).len() as f64 <= value_limit,
            Op::Delete { key } => valid_key(key),
        };
        txn.ops.len() <= self.limits.txn_ops
            && txn.conditions.len() <= self.limits.txn_ops * CONDITIONS_PER_OP
            && txn.ops.iter().all(fits)
            && txn.conditions.iter().all(|c| valid_key(&c.key))
            && encode(txn).len() <= BODY_LIMIT
    }

    /// Puts or removes one key under the current ledger number.
    fn set(&mut self, key: &str, after: Option<Entry>) {
        let before = self.keys.get(key).cloned();
        if before.is_none() && after.is_none() {
            return;
        }
        if let Some(l) = before.as_ref().and_then(|e| e.lease).and_then(|id| self.leases.get_mut(&id)) {
            l.keys.remove(key);
        }
        match &after {
            Some(e) => {
                if let Some(l) = e.lease.and_then(|id| self.leases.get_mut(&id)) {
                    l.keys.insert(key.to_string());
                }
                self.keys.insert(key.to_string(), e.clone());
            }
            None => {
                self.keys.remove(key);
            }
        }
        let change = Change { key: key.to_string(), before, after, ledger: self.ledger };
        self.fresh.push(change.clone());
        self.window.push_back(change);
        while self.window.len() > WATCH_WINDOW {
            if let Some(old) = self.window.pop_front() {
                self.window_from = old.ledger;
            }
        }
    }

    /// Grants a lease; `None` where the time asked for is out of bounds.
    pub fn grant(&mut self, now: Duration, ttl_ms: u64) -> Option<u64> {
        if !TTL_MS.contains(&ttl_ms) {
            return None;
        }
        let (id, ttl) = (self.next_lease, Duration::from_millis(ttl_ms));
        self.next_lease += 1;
        self.leases.insert(id, Lease { ttl, until: now + ttl, keys: BTreeSet::new() });
        Some(id)
    }

    /// Whether the lease was there to be extended.
    pub fn extend(&mut self, now: Duration, id: u64) -> bool {
        let lease = self.leases.get_mut(&id);
        lease.map(|l| l.until = now + l.ttl).is_some()
    }

    /// Ends a lease; its keys go.
    pub fn revoke(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.remove(&id) else { return false };
        if !lease.keys.is_empty() {
            self.ledger += 1;
            lease.keys.iter().for_each(|key| self.set(key, None));
        }
        true
    }

    /// Ends leases whose time is over; names them.
    pub fn expire(&mut self, now: Duration) -> Vec<u64> {
        let over: Vec<u64> = self.leases.iter().filter(|(_, l)| l.until <= now).map(|(id, _)| *id).collect();
        for id in &over {
            self.revoke(*id);
        }
        over
    }

    /// After an outage every lease has its full time again.
    pub fn renew_all(&mut self, now: Duration) {
        self.leases.values_mut().for_each(|l| l.until = now + l.ttl);
    }

    pub fn leases(&self) -> impl Iterator<Item = (u64, Duration)> {
        self.leases.iter().map(|(id, l)| (*id, l.ttl))
    }

    /// Loses the last transactions, as a crash loses the tail of a log: the
    /// ledger goes back and their changes are undone. Says what was undone.
    pub fn lose_tail(&mut self, transactions: u64) -> Vec<Change> {
        let to = self.ledger.saturating_sub(transactions).max(self.window_from);
        let mut undone = Vec::new();
        while let Some(change) = self.window.pop_back_if(|c| c.ledger > to) {
            undone.push(change);
        }
        // Newest first, so that the oldest state of a key comes last.
        for change in &undone {
            if let Some(l) = change.after.as_ref().and_then(|e| e.lease).and_then(|id| self.leases.get_mut(&id)) {
                l.keys.remove(&change.key);
            }
            match &change.before {
                // A key whose lease has ended since must not come back for ever.
                Some(e) if e.lease.is_none_or(|id| self.leases.contains_key(&id)) => {
                    if let Some(l) = e.lease.and_then(|id| self.leases.get_mut(&id)) {
                        l.keys.insert(change.key.clone());
                    }
                    self.keys.insert(change.key.clone(), e.clone());
                }
                _ => {
                    self.keys.remove(&change.key);
                }
            }
        }
        self.ledger = to;
        undone
    }
}

#[cfg(test)]
mod tests;
