//! Stand-in for the state service: keys with versions, transactions, leases and watches.

#![warn(missing_docs)]

use super::{bytes, get, number, text};
use ciborium::{Value, cbor};
use finchquay::effects::STATUS_TOO_LARGE;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A key's value, the revision that wrote it, and the lease with which it expires.
struct Entry {
    data: Value,
    version: u64,
    lease: Option<u64>,
}

/// A watch of a controller: it is answered once there are changes after the revision `after`,
/// at the latest at the time `until`.
struct Watch {
    node: usize,
    id: u64,
    after: u64,
    until: Duration,
}

/// The state service.
#[derive(Default)]
pub struct Store {
    keys: BTreeMap<String, Entry>,
    revision: u64,
    /// All changes: revision, key, and the new value unless the key was deleted.
    changes: Vec<(u64, String, Option<Value>)>,
    /// Time to live and expiry time of each lease.
    leases: BTreeMap<u64, (Duration, Duration)>,
    watches: Vec<Watch>,
    next_lease: u64,
    /// Whether it refuses every request with status 503.
    pub down: bool,
    /// Whether transactions get no answer and are held. Reads are still served.
    pub holds_transactions: bool,
    /// Controllers whose watches get no answers. Their other requests are served.
    pub mute: BTreeSet<usize>,
    /// Controllers whose next watch is refused with status 410, as its revision is too old.
    pub forgets: BTreeSet<usize>,
    /// The number of changes above which the response to a watch is too large for a controller.
    pub most_changes: Option<usize>,
    held_transactions: Vec<Value>,
    /// Puts and deletes admitted per second, with bursts of one second's worth.
    pub write_rps: f64,
    /// Rows on a page of a list; few, so that paging is always exercised.
    pub page: usize,
    /// The largest number of puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Tokens of the write limit, and when they were counted.
    tokens: (f64, Duration),
    down_since: Option<Duration>,
}

/// Status and body, or no answer for now.
type Answer = Option<(u16, Vec<u8>)>;

impl Store {
    /// Creates an empty store with these write limits.
    pub fn new(write_rps: f64, txn_ops: usize) -> Store {
        Store { write_rps, txn_ops, page: 7, ..Store::default() }
    }

    fn ok(body: Value) -> Answer {
        Some((200, bytes(&body)))
    }

    /// Begins or ends an outage.
    pub fn set_down(&mut self, now: Duration, down: bool) {
        self.down = down;
        if down {
            self.down_since = Some(now);
        } else if self.down_since.take().is_some() {
            // After an outage every lease lasts for its full time to live again.
            for (ttl, until) in self.leases.values_mut() {
                *until = now + *ttl;
            }
        }
    }

    /// Ends the expired leases and deletes their keys, except during an outage.
    pub fn expire(&mut self, now: Duration) {
        if self.down {
            return;
        }
        let expired: Vec<u64> = self.leases.iter().filter(|(_, l)| l.1 < now).map(|(id, _)| *id).collect();
        for id in expired {
            self.leases.remove(&id);
            let keys: Vec<String> =
                self.keys.iter().filter(|(_, e)| e.lease == Some(id)).map(|(k, _)| k.clone()).collect();
            for key in keys {
                self.revision += 1;
                self.keys.remove(&key);
                self.changes.push((self.revision, key, None));
            }
        }
    }

    /// Removes the watches that are answered now: controller, call id, status, body.
    pub fn due_watches(&mut self, now: Duration) -> Vec<(usize, u64, u16, Vec<u8>)> {
        if self.down {
            return Vec::new();
        }
        let revision = self.revision;
        let due = |w: &Watch| (w.after < revision || w.until <= now) && !self.mute.contains(&w.node);
        let (due, rest): (Vec<Watch>, Vec<Watch>) = std::mem::take(&mut self.watches).into_iter().partition(due);
        self.watches = rest;
        let is_too_large = |w: &Watch| self.most_changes.is_some_and(|most| self.changes("", w.after) > most);
        let answer = |w: Watch| match is_too_large(&w) {
            true => (w.node, w.id, STATUS_TOO_LARGE, Vec::new()),
            false => (w.node, w.id, 200, self.encode_changes(w.after)),
        };
        due.into_iter().map(answer).collect()
    }

    /// Returns the answer to a watch: all changes after a revision.
    fn encode_changes(&self, after: u64) -> Vec<u8> {
        let changes: Vec<Value> = self
            .changes
            .iter()
            .filter(|c| c.0 > after)
            .map(|(revision, key, data)| match data {
                Some(d) => cbor!({"put" => key.clone(), "data" => d.clone(), "entry_no" => *revision}).unwrap(),
                None => cbor!({"delete" => key.clone(), "entry_no" => *revision}).unwrap(),
            })
            .collect();
        bytes(&cbor!({"ledger_no" => self.revision, "news" => changes}).unwrap())
    }

    /// Executes a request of a controller. A watch has no answer before `due_watches` returns it.
    pub fn serve(&mut self, now: Duration, node: usize, id: u64, method: &str, path: &str, body: &Value) -> Answer {
        let parameter = |name: &str| {
            let query = path.split('?').nth(1).unwrap_or("");
            query.split('&').find_map(|part| part.strip_prefix(&format!("{name}="))).unwrap_or("").to_string()
        };
        if method == "POST" && path == "/multi" {
            if self.holds_transactions {
                self.held_transactions.push(body.clone());
                return None;
            }
            return Some(self.execute_transaction(now, body));
        }
        if method == "POST" && path == "/holds" {
            self.next_lease += 1;
            let ttl = Duration::from_millis(number(body, "ttl_ms"));
            self.leases.insert(self.next_lease, (ttl, now + ttl));
            return Self::ok(cbor!({"tenure" => self.next_lease}).unwrap());
        }
        if let Some(rest) = path.strip_prefix("/holds/") {
            let lease: u64 = rest.trim_end_matches("/extend").parse().unwrap();
            return match self.leases.get_mut(&lease) {
                Some((ttl, until)) => {
                    *until = now + *ttl;
                    Self::ok(cbor!({"tenure" => lease}).unwrap())
                }
                None => Some((404, vec![])),
            };
        }
        if path.starts_with("/follow?") && self.forgets.remove(&node) {
            return Some((410, vec![]));
        }
        if path.starts_with("/follow?") {
            let after: u64 = parameter("after").parse().unwrap();
            let hold_ms: u64 = parameter("hold_ms").parse().unwrap();
            self.watches.push(Watch { node, id, after, until: now + Duration::from_millis(hold_ms) });
            return None;
        }
        if let Some(key) = path.strip_prefix("/store/") {
            return match self.keys.get(key) {
                Some(e) => Self::ok(cbor!({"key" => key, "data" => e.data.clone(), "entry_no" => e.version}).unwrap()),
                None => Some((404, bytes(&cbor!({"ledger_no" => self.revision}).unwrap()))),
            };
        }
        let (prefix, after) = (parameter("starts"), parameter("after"));
        let all: Vec<(&String, &Entry)> =
            self.keys.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after).collect();
        let rows: Vec<Value> = all
            .iter()
            .take(self.page)
            .map(|(k, e)| cbor!({"key" => (*k).clone(), "data" => e.data.clone(), "entry_no" => e.version}).unwrap())
            .collect();
        Self::ok(cbor!({"rows" => rows, "truncated" => all.len() > self.page, "ledger_no" => self.revision}).unwrap())
    }

    /// Executes a transaction whose sender no longer waits, and returns whether it succeeded.
    pub fn apply(&mut self, now: Duration, body: &Value) -> bool {
        self.execute_transaction(now, body).0 == 200
    }

    /// Stops holding transactions, and executes those that were held.
    pub fn apply_held_transactions(&mut self, now: Duration) {
        self.holds_transactions = false;
        for body in std::mem::take(&mut self.held_transactions) {
            self.execute_transaction(now, &body);
        }
    }

    /// Executes a transaction if its conditions hold, and returns the status and the body. Panics
    /// if the transaction violates a limit of the store.
    fn execute_transaction(&mut self, now: Duration, body: &Value) -> (u16, Vec<u8>) {
        let list = |name| get(body, name).and_then(Value::as_array).cloned().unwrap_or_default();
        let (conditions, ops) = (list("if"), list("then"));
        let (tokens, counted_at) = self.tokens;
        let tokens = (tokens + (now - counted_at).as_secs_f64() * self.write_rps).min(self.write_rps);
        if tokens < ops.len() as f64 {
            return (429, vec![]);
        }
        self.tokens = (tokens - ops.len() as f64, now);
        let lease_of = |o: &Value| get(o, "tenure").map(|_| number(o, "tenure"));
        if ops.iter().filter_map(lease_of).any(|l| !self.leases.contains_key(&l)) {
            return (400, vec![]);
        }
        let version = |k: &str| self.keys.get(k).map_or(0, |e| e.version);
        if conditions.iter().any(|c| version(&text(c, "key")) != number(c, "entry_no")) {
            return (409, bytes(&cbor!({"failed" => [], "ledger_no" => self.revision}).unwrap()));
        }
        let fits = ops.len() <= self.txn_ops && conditions.len() <= 4 * self.txn_ops && bytes(body).len() <= 65536;
        assert!(fits, "a transaction exceeds the limits of the store");
        // Each transaction that changes a machine group must have a condition on the shard grant
        // of the group's owner. Without one, a transaction executed late, after the shard was
        // granted again, would restore an outdated grant or a lower fencing token.
        for key in ops.iter().map(|o| text(o, "put") + &text(o, "delete")).filter(|k| k.starts_with("fq/h/")) {
            if let Some(e) = self.keys.get(&key) {
                let shard = format!("fq/b/{}", text(&e.data, "owner"));
                assert!(
                    conditions.iter().any(|c| text(c, "key") == shard),
                    "{key} is changed without a condition on {shard}"
                );
            }
        }
        self.revision += 1;
        for op in &ops {
            let key = text(op, "put");
            if key.is_empty() {
                let key = text(op, "delete");
                self.keys.remove(&key);
                self.changes.push((self.revision, key, None));
                continue;
            }
            let data = get(op, "data").cloned().unwrap();
            assert!(bytes(&data).len() <= 8192, "{key} exceeds the value limit");
            self.changes.push((self.revision, key.clone(), Some(data.clone())));
            self.keys.insert(key, Entry { data, version: self.revision, lease: lease_of(op) });
        }
        (200, bytes(&cbor!({"ledger_no" => self.revision}).unwrap()))
    }

    /// Returns how many changes of keys with this prefix there were after a revision.
    pub fn changes(&self, prefix: &str, after: u64) -> usize {
        self.changes.iter().filter(|c| c.0 > after && c.1.starts_with(prefix)).count()
    }

    /// Returns the number of the controller that is the leader, if there is one.
    pub fn leader(&self) -> Option<usize> {
        let leader = &self.keys.get("fq/lead")?.data;
        controller_number(leader, "member")
    }

    /// Returns the number of the controller whose shard the machine belongs to.
    pub fn owner(&self, machine: &str) -> Option<usize> {
        let holds = |d: &Value| {
            get(d, "machines")
                .and_then(Value::as_array)
                .is_some_and(|all| all.iter().any(|m| m.as_text() == Some(machine)))
        };
        let group = self.keys.iter().find(|(k, e)| k.starts_with("fq/h/") && holds(&e.data))?;
        controller_number(&group.1.data, "owner")
    }

    /// Returns the term of the present or the last leader.
    pub fn term(&self) -> u64 {
        self.keys.get("fq/term").map_or(0, |e| number(&e.data, "term"))
    }

    /// Returns the highest sequence number of any log segment.
    pub fn newest_segment(&self) -> u64 {
        let logs = self.keys.iter().filter(|(k, _)| k.starts_with("fq/l/"));
        logs.map(|(_, e)| number(&e.data, "n")).max().unwrap_or(0)
    }

    /// Returns the revision of the latest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns how many keys have this prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|k| k.starts_with(prefix)).count()
    }
}

/// Returns the number of the controller that this field of a record names.
fn controller_number(record: &Value, field: &str) -> Option<usize> {
    text(record, field).trim_start_matches("perch-").parse().ok()
}
