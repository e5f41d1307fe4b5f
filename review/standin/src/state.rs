//! The state service: keys, transactions, leases and watches, in memory.

use crate::cbor::{Value, encode};
use crate::http::{Answer, Request, serve};
use crate::map;
use std::collections::{BTreeMap, VecDeque};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

struct Entry {
    data: Value,
    version: u64,
    lease: Option<u64>,
}

struct Change {
    revision: u64,
    key: String,
    /// The new value; `None` if the key was deleted.
    data: Option<Value>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct Data {
    revision: u64,
    keys: BTreeMap<String, Entry>,
    changes: VecDeque<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

pub struct State {
    data: Mutex<Data>,
    changed: Condvar,
    max_ops: usize,
    max_value: usize,
}

/// Changes that the service keeps for watches.
const KEPT_CHANGES: usize = 10_000;

impl Data {
    fn record(&mut self, key: &str, data: Option<Value>) {
        self.changes.push_back(Change { revision: self.revision, key: key.into(), data });
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, entry)| entry.lease == Some(id)).map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.keys.remove(&key);
            self.record(&key, None);
        }
    }
}

impl State {
    pub fn start(listener: TcpListener, max_ops: usize, value_kb: usize) -> Arc<State> {
        let state =
            Arc::new(State { data: Mutex::default(), changed: Condvar::new(), max_ops, max_value: value_kb * 1024 });
        let served = state.clone();
        serve(listener, move |request| served.handle(&request));
        let watched = state.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(25));
                watched.end_leases();
            }
        });
        state
    }

    fn end_leases(&self) {
        let mut data = self.data.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = data.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        for id in &ended {
            data.end_lease(*id);
        }
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        let route = request.route();
        match (request.method.as_str(), route) {
            ("GET", "/store") => self.list(request),
            ("GET", "/follow") => self.follow(request),
            ("POST", "/multi") => self.transact(&request.body),
            ("POST", "/holds") => {
                let ttl = Duration::from_millis(request.body.get("ttl_ms").int());
                let mut data = self.data.lock().unwrap();
                data.next_lease += 1;
                let id = data.next_lease;
                data.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
                (200, map! {"tenure" => id})
            }
            ("GET", _) if route.starts_with("/store/") => {
                let key = &route["/store/".len()..];
                let data = self.data.lock().unwrap();
                match data.keys.get(key) {
                    Some(entry) => (
                        200,
                        map! {"key" => key, "data" => entry.data.clone(), "entry_no" => entry.version, "tenure" => entry.lease},
                    ),
                    None => (404, map! {"ledger_no" => data.revision}),
                }
            }
            ("POST" | "DELETE", _) if route.starts_with("/holds/") => {
                let id: u64 = route["/holds/".len()..].split('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let mut data = self.data.lock().unwrap();
                if request.method == "DELETE" {
                    data.end_lease(id);
                    self.changed.notify_all();
                    return (200, map! {});
                }
                match data.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.ttl;
                        (200, map! {"tenure" => id})
                    }
                    None => (404, map! {"error" => "no such lease"}),
                }
            }
            _ => (400, map! {"error" => "malformed"}),
        }
    }

    fn list(&self, request: &Request) -> Answer {
        let prefix = request.query("starts").unwrap_or("");
        let after = request.query("after").unwrap_or("");
        let page: usize = request.query("page").and_then(|page| page.parse().ok()).unwrap_or(1000).min(1000);
        let data = self.data.lock().unwrap();
        let (mut rows, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, entry) in data.keys.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after) {
            let row = map! {"key" => key.clone(), "data" => entry.data.clone(), "entry_no" => entry.version, "tenure" => entry.lease};
            bytes += encode(&row).len();
            if rows.len() >= page || bytes > 400 * 1024 {
                truncated = true;
                break;
            }
            rows.push(row);
        }
        (200, map! {"rows" => rows, "truncated" => truncated, "ledger_no" => data.revision})
    }

    fn follow(&self, request: &Request) -> Answer {
        let prefix = request.query("starts").unwrap_or("").to_string();
        let after: u64 = request.query("after").and_then(|after| after.parse().ok()).unwrap_or(0);
        let hold: u64 = request.query("hold_ms").and_then(|hold| hold.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(hold.min(60_000));
        let mut data = self.data.lock().unwrap();
        loop {
            let first = data.changes.front().map_or(0, |change| change.revision);
            if data.changes.len() >= KEPT_CHANGES && after + 1 < first {
                return (410, map! {"ledger_no" => data.revision});
            }
            let news: Vec<Value> = data
                .changes
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(|change| match &change.data {
                    Some(value) => {
                        map! {"put" => change.key.clone(), "data" => value.clone(), "entry_no" => change.revision}
                    }
                    None => map! {"delete" => change.key.clone(), "entry_no" => change.revision},
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                return (200, map! {"ledger_no" => data.revision, "news" => news});
            }
            data = self.changed.wait_timeout(data, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Value) -> Answer {
        let (conditions, ops) = (body.get("if").list(), body.get("then").list());
        let too_large = |op: &Value| encode(op.get("data")).len() > self.max_value;
        if ops.len() > self.max_ops || conditions.len() > self.max_ops * 4 || ops.iter().any(too_large) {
            return (400, map! {"error" => "too large"});
        }
        let mut data = self.data.lock().unwrap();
        let unknown_lease =
            |op: &Value| !op.get("tenure").is_null() && !data.leases.contains_key(&op.get("tenure").int());
        if ops.iter().any(unknown_lease) {
            return (400, map! {"error" => "no such lease"});
        }
        let version = |key: &str| data.keys.get(key).map_or(0, |entry| entry.version);
        let failed: Vec<Value> = conditions
            .iter()
            .filter(|condition| version(condition.get("key").text()) != condition.get("entry_no").int())
            .map(|condition| condition.get("key").clone())
            .collect();
        if !failed.is_empty() {
            return (409, map! {"failed" => failed, "ledger_no" => data.revision});
        }
        if ops.is_empty() {
            return (200, map! {"ledger_no" => data.revision});
        }
        data.revision += 1;
        let revision = data.revision;
        for op in ops {
            if !op.get("put").is_null() {
                let key = op.get("put").text().to_string();
                let value = op.get("data").clone();
                let lease = (!op.get("tenure").is_null()).then(|| op.get("tenure").int());
                data.keys.insert(key.clone(), Entry { data: value.clone(), version: revision, lease });
                data.record(&key, Some(value));
            } else {
                let key = op.get("delete").text().to_string();
                if data.keys.remove(&key).is_some() {
                    data.record(&key, None);
                }
            }
        }
        self.changed.notify_all();
        (200, map! {"ledger_no" => revision})
    }
}
