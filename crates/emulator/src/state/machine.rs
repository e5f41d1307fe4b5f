//! The state machine of the emulated state service. It does no input or output and
//! reads no clock: the caller passes the time.
//!
//! Invariants: the revision only grows, except when a tail is lost on purpose; the
//! version of a key is the revision of its last change; a key is attached to at most
//! one lease, and that lease has not ended.

use crate::bucket::TokenBucket;
use ciborium::Value;
use finchquay_protocol::store::{
    LEASE_TTL_RANGE_MS, MAX_CONDITIONS_PER_OP, MAX_PAGE_BYTES, MAX_PAGE_ROWS, Op, Row, RowPage, Txn,
    WATCH_WINDOW_CHANGES, WatchEvent, is_valid_key,
};
use finchquay_protocol::{MAX_BODY_BYTES, encode};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Limits of the service, the same as in the settings of the controllers.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Requests a second.
    pub rps: f64,
    /// Changed keys a second.
    pub write_rps: f64,
    /// Largest encoded value, in KiB.
    pub value_kb: f64,
    /// Most operations in one transaction.
    pub txn_ops: usize,
}

/// The value of a key.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The value itself.
    pub data: Value,
    /// Revision of the last change of the key.
    pub version: u64,
    /// Lease that the key is attached to, if any.
    pub lease: Option<u64>,
}

/// A lease: its keys are deleted when it ends.
#[derive(Debug, Clone)]
pub struct Lease {
    /// Time to live after a grant or an extension.
    pub ttl: Duration,
    /// When it ends unless it is extended.
    pub expires_at: Duration,
    keys: BTreeSet<String>,
}

/// A change of one key. The value before it is kept so that a lost tail can be undone.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The key that changed.
    pub key: String,
    /// The value before; `None` if the key did not exist.
    pub before: Option<Entry>,
    /// The value after; `None` if the key was deleted.
    pub after: Option<Entry>,
    /// Revision of the change.
    pub revision: u64,
}

impl Change {
    /// The change as a watch reports it.
    fn watch_event(&self) -> WatchEvent {
        match &self.after {
            Some(e) => WatchEvent {
                put: Some(self.key.clone()),
                delete: None,
                data: Some(e.data.clone()),
                version: self.revision,
            },
            None => WatchEvent { put: None, delete: Some(self.key.clone()), data: None, version: self.revision },
        }
    }
}

/// How a transaction ended.
#[derive(Debug, PartialEq)]
pub enum Outcome {
    /// It was carried out.
    Committed {
        /// Revision of the store after it.
        revision: u64,
    },
    /// Some of its conditions did not hold; nothing changed.
    Conflict {
        /// Keys whose conditions did not hold.
        keys: Vec<String>,
        /// Revision of the store.
        revision: u64,
    },
    /// It names a lease that does not exist.
    NoSuchLease,
    /// It breaks a limit or names an invalid key.
    Malformed,
    /// The rate of changes is above its limit.
    RateLimited,
}

/// The store: keys, leases, and the latest changes for watches.
#[derive(Debug)]
pub struct Store {
    limits: Limits,
    keys: BTreeMap<String, Entry>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// The latest changes, oldest first, which watches are answered from.
    window: VecDeque<Change>,
    /// Revision before the oldest change in the window: watches from earlier get 410.
    window_start: u64,
    requests: TokenBucket,
    writes: TokenBucket,
    /// Changes that are not in the log yet.
    unwritten: Vec<Change>,
}

impl Store {
    /// Creates an empty store.
    pub fn new(limits: Limits) -> Store {
        Store::restore(limits, BTreeMap::new(), 0, BTreeMap::new(), 1, Duration::ZERO)
    }

    /// Creates a store with the contents of its log. Leases have their full time again,
    /// and watches from before the restart get 410.
    pub fn restore(
        limits: Limits,
        keys: BTreeMap<String, Entry>,
        revision: u64,
        ttls: BTreeMap<u64, Duration>,
        next_lease: u64,
        now: Duration,
    ) -> Store {
        let lease = |(id, ttl)| (id, Lease { ttl, expires_at: now + ttl, keys: BTreeSet::new() });
        let mut leases: BTreeMap<u64, Lease> = ttls.into_iter().map(lease).collect();
        for (key, e) in &keys {
            if let Some(l) = e.lease.and_then(|id| leases.get_mut(&id)) {
                l.keys.insert(key.clone());
            }
        }
        Store {
            requests: TokenBucket::new(limits.rps, 1.0),
            writes: TokenBucket::new(limits.write_rps, 1.0),
            limits,
            keys,
            revision,
            leases,
            next_lease,
            window: VecDeque::new(),
            window_start: revision,
            unwritten: Vec::new(),
        }
    }

    /// Revision of the store: it grows by one with every transaction that has operations and
    /// with every lease that ends with keys.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Id of the next lease to grant.
    pub fn next_lease(&self) -> u64 {
        self.next_lease
    }

    /// Number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Takes the changes that are to be written to the log.
    pub fn take_unwritten(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.unwritten)
    }

    /// Counts one request against the limit; false if it is above it.
    pub fn admit_request(&mut self, now: Duration) -> bool {
        self.requests.try_take(now, 1.0)
    }

    /// Reads one key.
    pub fn get(&self, key: &str) -> Option<Row> {
        let e = self.keys.get(key)?;
        Some(Row { key: key.into(), data: e.data.clone(), version: e.version, lease: e.lease })
    }

    /// Reads a page of the keys under a prefix, from the first one behind `after`; no page
    /// is larger than the limits on rows and bytes of the protocol.
    pub fn scan(&self, prefix: &str, after: &str, page: usize) -> RowPage {
        use std::ops::Bound::{Excluded, Included, Unbounded};
        let low = if after >= prefix { Excluded(after) } else { Included(prefix) };
        let mut rows = Vec::new();
        let (mut bytes, mut truncated) = (0, false);
        for (key, e) in self.keys.range::<str, _>((low, Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            bytes += key.len() + encode(&e.data).len() + 32;
            if rows.len() >= page.min(MAX_PAGE_ROWS) || (bytes > MAX_PAGE_BYTES && !rows.is_empty()) {
                truncated = true;
                break;
            }
            rows.push(Row { key: key.clone(), data: e.data.clone(), version: e.version, lease: None });
        }
        RowPage { rows, truncated, revision: self.revision }
    }

    /// Changes under a prefix since a revision; `None` if the window does not reach back
    /// to that revision.
    pub fn changes_since(&self, prefix: &str, after: u64) -> Option<Vec<WatchEvent>> {
        if after < self.window_start {
            return None;
        }
        let first = self.window.partition_point(|c| c.revision <= after);
        Some(self.window.range(first..).filter(|c| c.key.starts_with(prefix)).map(Change::watch_event).collect())
    }

    /// Checks a transaction and, where its conditions hold, carries it out.
    pub fn transact(&mut self, now: Duration, txn: &Txn) -> Outcome {
        self.transact_or_lose(now, txn, true)
    }

    /// Answers a transaction as if it were carried out, and loses it: the revision counts
    /// it, but no key changes and no watch reports it.
    pub fn acknowledge_and_lose(&mut self, now: Duration, txn: &Txn) -> Outcome {
        self.transact_or_lose(now, txn, false)
    }

    fn transact_or_lose(&mut self, now: Duration, txn: &Txn, apply: bool) -> Outcome {
        if !self.well_formed(txn) {
            return Outcome::Malformed;
        }
        if !self.writes.try_take(now, txn.ops.len() as f64) {
            return Outcome::RateLimited;
        }
        let lease_is_gone = |op: &Op| matches!(op, Op::Put { lease: Some(id), .. } if !self.leases.contains_key(id));
        if txn.ops.iter().any(lease_is_gone) {
            return Outcome::NoSuchLease;
        }
        let version = |key: &str| self.keys.get(key).map_or(0, |e| e.version);
        let conflicts: Vec<String> =
            txn.conditions.iter().filter(|c| version(&c.key) != c.version).map(|c| c.key.clone()).collect();
        if !conflicts.is_empty() {
            return Outcome::Conflict { keys: conflicts, revision: self.revision };
        }
        if txn.ops.is_empty() {
            return Outcome::Committed { revision: self.revision };
        }
        self.revision += 1;
        if apply {
            for op in &txn.ops {
                match op {
                    Op::Put { key, data, lease } => {
                        let entry = Entry { data: data.clone(), version: self.revision, lease: *lease };
                        self.set(key, Some(entry));
                    }
                    Op::Delete { key } => self.set(key, None),
                }
            }
        }
        Outcome::Committed { revision: self.revision }
    }

    /// Whether a transaction is within all limits and names valid keys only.
    fn well_formed(&self, txn: &Txn) -> bool {
        let value_limit = self.limits.value_kb * 1024.0;
        let fits = |op: &Op| match op {
            Op::Put { key, data, .. } => is_valid_key(key) && encode(data).len() as f64 <= value_limit,
            Op::Delete { key } => is_valid_key(key),
        };
        txn.ops.len() <= self.limits.txn_ops
            && txn.conditions.len() <= self.limits.txn_ops * MAX_CONDITIONS_PER_OP
            && txn.ops.iter().all(fits)
            && txn.conditions.iter().all(|c| is_valid_key(&c.key))
            && encode(txn).len() <= MAX_BODY_BYTES
    }

    /// Sets or deletes one key at the current revision.
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
        let change = Change { key: key.to_string(), before, after, revision: self.revision };
        self.unwritten.push(change.clone());
        self.window.push_back(change);
        while self.window.len() > WATCH_WINDOW_CHANGES {
            if let Some(old) = self.window.pop_front() {
                self.window_start = old.revision;
            }
        }
    }

    /// Grants a lease and returns its id; `None` if the requested time is out of bounds.
    pub fn grant(&mut self, now: Duration, ttl_ms: u64) -> Option<u64> {
        if !LEASE_TTL_RANGE_MS.contains(&ttl_ms) {
            return None;
        }
        let (id, ttl) = (self.next_lease, Duration::from_millis(ttl_ms));
        self.next_lease += 1;
        self.leases.insert(id, Lease { ttl, expires_at: now + ttl, keys: BTreeSet::new() });
        Some(id)
    }

    /// Gives a lease its full time again; false if there is no such lease.
    pub fn extend(&mut self, now: Duration, id: u64) -> bool {
        let lease = self.leases.get_mut(&id);
        lease.map(|l| l.expires_at = now + l.ttl).is_some()
    }

    /// Ends a lease and deletes its keys; false if there is no such lease.
    pub fn revoke(&mut self, id: u64) -> bool {
        let Some(lease) = self.leases.remove(&id) else { return false };
        if !lease.keys.is_empty() {
            self.revision += 1;
            lease.keys.iter().for_each(|key| self.set(key, None));
        }
        true
    }

    /// Ends the leases whose time is over, and returns their ids.
    pub fn expire(&mut self, now: Duration) -> Vec<u64> {
        let expired: Vec<u64> = self.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(id, _)| *id).collect();
        for id in &expired {
            self.revoke(*id);
        }
        expired
    }

    /// Gives every lease its full time again, as after an outage.
    pub fn renew_all(&mut self, now: Duration) {
        self.leases.values_mut().for_each(|l| l.expires_at = now + l.ttl);
    }

    /// All leases with their time to live.
    pub fn leases(&self) -> impl Iterator<Item = (u64, Duration)> {
        self.leases.iter().map(|(id, l)| (*id, l.ttl))
    }

    /// Loses the last transactions, as a crash loses the tail of a log: the revision goes
    /// back and their changes are undone. Returns the undone changes, newest first.
    pub fn lose_tail(&mut self, transactions: u64) -> Vec<Change> {
        let target = self.revision.saturating_sub(transactions).max(self.window_start);
        let mut undone = Vec::new();
        while let Some(change) = self.window.pop_back_if(|c| c.revision > target) {
            undone.push(change);
        }
        // Newest first, so that the oldest value of a key is set last.
        for change in &undone {
            if let Some(l) = change.after.as_ref().and_then(|e| e.lease).and_then(|id| self.leases.get_mut(&id)) {
                l.keys.remove(&change.key);
            }
            match &change.before {
                // A key whose lease has ended since must not come back: nothing would delete it.
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
        self.revision = target;
        undone
    }
}

#[cfg(test)]
mod tests;
