//! Stand-in for the store: keys, versions, leases, watches.

use super::{bytes, get, number, text};
use ciborium::{Value, cbor};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

struct Entry {
    data: Value,
    version: u64,
    lease: Option<u64>,
}

struct Watch {
    node: usize,
    id: u64,
    after: u64,
    until: Duration,
}

#[derive(Default)]
pub struct Store {
    keys: BTreeMap<String, Entry>,
    revision: u64,
    changes: Vec<(u64, String, Option<Value>)>,
    leases: BTreeMap<u64, (Duration, Duration)>,
    watches: Vec<Watch>,
    next_lease: u64,
    pub down: bool,
    /// Transactions get no answer and are held; reads are served.
    pub holds_writes: bool,
    /// The watches of these controllers stand still; all else is served.
    pub mute: BTreeSet<usize>,
    /// The next watch of these controllers is told that it is too old.
    pub forgets: BTreeSet<usize>,
    held: Vec<Value>,
    /// Puts and deletes a second, with a burst worth one second.
    pub write_rps: f64,
    /// Rows in a page: few, so that paging is always exercised.
    pub page: usize,
    pub txn_ops: usize,
    tokens: (f64, Duration),
    down_since: Option<Duration>,
}

type Answer = Option<(u16, Vec<u8>)>;

impl Store {
    pub fn new(write_rps: f64, txn_ops: usize) -> Store {
        Store { write_rps, txn_ops, page: 7, ..Store::default() }
    }

    fn ok(v: Value) -> Answer {
        Some((200, bytes(&v)))
    }

    pub fn set_down(&mut self, now: Duration, down: bool) {
        self.down = down;
        if down {
            self.down_since = Some(now);
        } else if self.down_since.take().is_some() {
            // After an outage every lease has its full time again.
            for (ttl, until) in self.leases.values_mut() {
                *until = now + *ttl;
            }
        }
    }

    pub fn expire(&mut self, now: Duration) {
        if self.down {
            return;
        }
        let dead: Vec<u64> = self.leases.iter().filter(|(_, l)| l.1 < now).map(|(id, _)| *id).collect();
        for id in dead {
            self.leases.remove(&id);
            let keys: Vec<String> =
                self.keys.iter().filter(|(_, e)| e.lease == Some(id)).map(|(k, _)| k.clone()).collect();
            for k in keys {
                self.revision += 1;
                self.keys.remove(&k);
                self.changes.push((self.revision, k, None));
            }
        }
    }

    pub fn due_watches(&mut self, now: Duration) -> Vec<(usize, u64, u16, Vec<u8>)> {
        if self.down {
            return Vec::new();
        }
        let revision = self.revision;
        let due = |w: &Watch| (w.after < revision || w.until <= now) && !self.mute.contains(&w.node);
        let (due, rest): (Vec<Watch>, Vec<Watch>) = std::mem::take(&mut self.watches).into_iter().partition(due);
        self.watches = rest;
        due.into_iter().map(|w| (w.node, w.id, 200, self.news(w.after))).collect()
    }

    fn news(&self, after: u64) -> Vec<u8> {
        let news: Vec<Value> = self
            .changes
            .iter()
            .filter(|c| c.0 > after)
            .map(|(rev, key, data)| match data {
                Some(d) => cbor!({"put" => key.clone(), "data" => d.clone(), "entry_no" => *rev}).unwrap(),
                None => cbor!({"delete" => key.clone(), "entry_no" => *rev}).unwrap(),
            })
            .collect();
        bytes(&cbor!({"ledger_no" => self.revision, "news" => news}).unwrap())
    }

    pub fn serve(&mut self, now: Duration, node: usize, id: u64, method: &str, path: &str, body: &Value) -> Answer {
        let arg = |name: &str| {
            let q = path.split('?').nth(1).unwrap_or("");
            q.split('&').find_map(|p| p.strip_prefix(&format!("{name}="))).unwrap_or("").to_string()
        };
        if method == "POST" && path == "/multi" {
            if self.holds_writes {
                self.held.push(body.clone());
                return None;
            }
            return Some(self.multi(now, body));
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
            let after: u64 = arg("after").parse().unwrap();
            let hold: u64 = arg("hold_ms").parse().unwrap();
            self.watches.push(Watch { node, id, after, until: now + Duration::from_millis(hold) });
            return None;
        }
        if let Some(key) = path.strip_prefix("/store/") {
            return match self.keys.get(key) {
                Some(e) => Self::ok(cbor!({"key" => key, "data" => e.data.clone(), "entry_no" => e.version}).unwrap()),
                None => Some((404, bytes(&cbor!({"ledger_no" => self.revision}).unwrap()))),
            };
        }
        let (prefix, after) = (arg("starts"), arg("after"));
        let all: Vec<(&String, &Entry)> =
            self.keys.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after).collect();
        let rows: Vec<Value> = all
            .iter()
            .take(self.page)
            .map(|(k, e)| cbor!({"key" => (*k).clone(), "data" => e.data.clone(), "entry_no" => e.version}).unwrap())
            .collect();
        Self::ok(cbor!({"rows" => rows, "truncated" => all.len() > self.page, "ledger_no" => self.revision}).unwrap())
    }

    /// Carries out a transaction that nobody waits for any more; whether it was.
    pub fn apply(&mut self, now: Duration, body: &Value) -> bool {
        self.multi(now, body).0 == 200
    }

    /// Carries out late what was held.
    pub fn let_go(&mut self, now: Duration) {
        self.holds_writes = false;
        for body in std::mem::take(&mut self.held) {
            self.multi(now, &body);
        }
    }

    fn multi(&mut self, now: Duration, body: &Value) -> (u16, Vec<u8>) {
        let list = |name| get(body, name).and_then(Value::as_array).cloned().unwrap_or_default();
        let (conditions, ops) = (list("if"), list("then"));
        let (level, at) = self.tokens;
        let level = (level + (now - at).as_secs_f64() * self.write_rps).min(self.write_rps);
        if level < ops.len() as f64 {
            return (429, vec![]);
        }
        self.tokens = (level - ops.len() as f64, now);
        let lease_of = |o: &Value| get(o, "tenure").map(|_| number(o, "tenure"));
        if ops.iter().filter_map(lease_of).any(|l| !self.leases.contains_key(&l)) {
            return (400, vec![]);
        }
        let version = |k: &str| self.keys.get(k).map_or(0, |e| e.version);
        if conditions.iter().any(|c| version(&text(c, "key")) != number(c, "entry_no")) {
            return (409, bytes(&cbor!({"failed" => [], "ledger_no" => self.revision}).unwrap()));
        }
        let fits = ops.len() <= self.txn_ops && conditions.len() <= 4 * self.txn_ops && bytes(body).len() <= 65536;
        assert!(fits, "transaction over the limits");
        // Whatever changes a pack looks at its owner's shard: carried out late, after that
        // was granted anew, it would bring a dead grant or a lower token back.
        for key in ops.iter().map(|o| text(o, "put") + &text(o, "delete")).filter(|k| k.starts_with("fq/h/")) {
            if let Some(e) = self.keys.get(&key) {
                let shard = format!("fq/b/{}", text(&e.data, "owner"));
                assert!(
                    conditions.iter().any(|c| text(c, "key") == shard),
                    "{key} is changed without a look at {shard}"
                );
            }
        }
        self.revision += 1;
        for o in &ops {
            let key = text(o, "put");
            if key.is_empty() {
                let key = text(o, "delete");
                self.keys.remove(&key);
                self.changes.push((self.revision, key, None));
                continue;
            }
            let data = get(o, "data").cloned().unwrap();
            assert!(bytes(&data).len() <= 8192, "{key} is over the value limit");
            self.changes.push((self.revision, key.clone(), Some(data.clone())));
            self.keys.insert(key, Entry { data, version: self.revision, lease: lease_of(o) });
        }
        (200, bytes(&cbor!({"ledger_no" => self.revision}).unwrap()))
    }

    /// Changes of keys with this prefix after a revision.
    pub fn changes(&self, prefix: &str, after: u64) -> usize {
        self.changes.iter().filter(|c| c.0 > after && c.1.starts_with(prefix)).count()
    }

    /// The number of the controller that leads.
    pub fn leader(&self) -> Option<usize> {
        let leader = &self.keys.get("fq/lead")?.data;
        node(leader, "member")
    }

    /// The number of the controller to whose shard the machine belongs.
    pub fn owner(&self, machine: &str) -> Option<usize> {
        let holds = |d: &Value| {
            get(d, "machines")
                .and_then(Value::as_array)
                .is_some_and(|all| all.iter().any(|m| m.as_text() == Some(machine)))
        };
        let group = self.keys.iter().find(|(k, e)| k.starts_with("fq/h/") && holds(&e.data))?;
        node(&group.1.data, "owner")
    }

    /// The term of whoever leads, or led last.
    pub fn term(&self) -> u64 {
        self.keys.get("fq/term").map_or(0, |e| number(&e.data, "term"))
    }

    /// The highest number of any segment in the logs.
    pub fn newest_segment(&self) -> u64 {
        let logs = self.keys.iter().filter(|(k, _)| k.starts_with("fq/l/"));
        logs.map(|(_, e)| number(&e.data, "n")).max().unwrap_or(0)
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// How many machines the records hold.
    pub fn count(&self, prefix: &str) -> usize {
        self.keys.keys().filter(|k| k.starts_with(prefix)).count()
    }
}

/// The number of the controller that this field of a record names.
fn node(record: &Value, field: &str) -> Option<usize> {
    text(record, field).trim_start_matches("perch-").parse().ok()
}
