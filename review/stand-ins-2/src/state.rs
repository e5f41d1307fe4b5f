//! A state service after PROTOCOL: keys with revisions, transactions, leases and watches, all in memory.

use crate::wire::{Handler, decode, get, get_int, get_list, get_text, int, json_len, map, text};
use ciborium::Value;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The limits in the settings.
#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

const MAX_TXN_BYTES: usize = 64 * 1024;
const MAX_PAGE_BYTES: usize = 512 * 1024;
const KEPT_CHANGES: usize = 10_000;

/// A limit on a rate, with bursts of so many seconds' worth.
pub struct Bucket {
    rate: f64,
    capacity: f64,
    balance: f64,
    at: Instant,
}

impl Bucket {
    pub fn new(rate: f64, burst_s: f64) -> Bucket {
        Bucket { rate, capacity: rate * burst_s, balance: rate * burst_s, at: Instant::now() }
    }

    pub fn take(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        self.balance = (self.balance + (now - self.at).as_secs_f64() * self.rate).min(self.capacity);
        self.at = now;
        if self.balance < amount {
            return false;
        }
        self.balance -= amount;
        true
    }
}

struct Entry {
    data: Arc<Value>,
    revision: u64,
    lease: Option<u64>,
}

struct Store {
    limits: Limits,
    revision: u64,
    data: BTreeMap<String, Entry>,
    changes: VecDeque<(u64, String, Option<Value>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    requests: Bucket,
    writes: Bucket,
    /// The controller whose reads of single keys are answered this late.
    slow_reads: Option<(usize, Duration)>,
    /// When each controller last sent a read of a single key.
    read_at: HashMap<usize, Instant>,
}

/// The service.
#[derive(Clone)]
pub struct State {
    store: Arc<(Mutex<Store>, Condvar)>,
}

type Reply = Option<(u16, Option<Value>)>;

impl Store {
    fn log(&mut self, key: String, data: Option<Value>) {
        self.changes.push_back((self.revision, key, data));
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.data.iter().filter(|(_, entry)| entry.lease == Some(id)).map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.data.remove(&key);
            self.log(key, None);
        }
    }

    fn transact(&mut self, body: &[u8]) -> Reply {
        let Some(txn) = decode(body) else { return Some((400, None)) };
        let (conditions, ops) = (get_list(&txn, "if"), get_list(&txn, "then"));
        let value_limit = self.limits.value_kb * 1024.0;
        let too_large = ops.iter().filter_map(|op| get(op, "data")).any(|data| json_len(data) as f64 > value_limit);
        if ops.len() > self.limits.txn_ops
            || conditions.len() > self.limits.txn_ops * 4
            || json_len(&txn) > MAX_TXN_BYTES
            || too_large
        {
            return Some((400, Some(map(vec![("error", text("too large"))]))));
        }
        if ops.iter().filter_map(|op| get_int(op, "tenure")).any(|lease| !self.leases.contains_key(&lease)) {
            return Some((400, Some(map(vec![("error", text("no such lease"))]))));
        }
        if !self.writes.take(ops.len() as f64) {
            return Some((429, None));
        }
        let holds = |condition: &&Value| {
            let known = self.data.get(&get_text(condition, "key")).map_or(0, |entry| entry.revision);
            known == get_int(condition, "entry_no").unwrap_or(0)
        };
        let failed: Vec<Value> = conditions.iter().filter(|c| !holds(c)).map(|c| text(&get_text(c, "key"))).collect();
        if !failed.is_empty() {
            return Some((409, Some(map(vec![("failed", Value::Array(failed)), ("ledger_no", int(self.revision))]))));
        }
        if !ops.is_empty() {
            self.revision += 1;
        }
        for op in ops {
            if let Some(key) = get(op, "put").and_then(Value::as_text) {
                let data = get(op, "data").cloned().unwrap_or(Value::Null);
                let shared = Arc::new(data.clone());
                let entry = Entry { data: shared, revision: self.revision, lease: get_int(op, "tenure") };
                self.data.insert(key.to_string(), entry);
                self.log(key.to_string(), Some(data));
            } else {
                let key = get_text(op, "delete");
                if self.data.remove(&key).is_some() {
                    self.log(key, None);
                }
            }
        }
        Some((200, Some(map(vec![("ledger_no", int(self.revision))]))))
    }

    fn scan(&self, prefix: &str, after: &str, page: usize) -> Reply {
        let (mut rows, mut size, mut truncated) = (Vec::new(), 0, false);
        for (key, entry) in self.data.range(prefix.to_string()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if key.as_str() <= after {
                continue;
            }
            let row =
                map(vec![("key", text(key)), ("data", Value::clone(&entry.data)), ("entry_no", int(entry.revision))]);
            size += json_len(&row) + 1;
            if rows.len() == page.min(1000) || size > MAX_PAGE_BYTES - 100 {
                truncated = true;
                break;
            }
            rows.push(row);
        }
        let body = vec![
            ("rows", Value::Array(rows)),
            ("truncated", Value::Bool(truncated)),
            ("ledger_no", int(self.revision)),
        ];
        Some((200, Some(map(body))))
    }
}

/// The value of a parameter of a query.
pub fn parameter(query: &str, name: &str) -> Option<String> {
    query.split('&').filter_map(|p| p.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v.to_string())
}

impl State {
    pub fn new(limits: Limits) -> State {
        let store = Store {
            limits,
            revision: 0,
            data: BTreeMap::new(),
            changes: VecDeque::new(),
            leases: HashMap::new(),
            next_lease: 1,
            requests: Bucket::new(limits.rps, 1.0),
            writes: Bucket::new(limits.write_rps, 1.0),
            slow_reads: None,
            read_at: HashMap::new(),
        };
        let state = State { store: Arc::new((Mutex::new(store), Condvar::new())) };
        let expiring = state.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let mut store = expiring.store.0.lock().unwrap();
                let now = Instant::now();
                let over: Vec<u64> =
                    store.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(id, _)| *id).collect();
                for id in over {
                    store.end_lease(id);
                    expiring.store.1.notify_all();
                }
            }
        });
        state
    }

    /// Answers the requests of one controller.
    pub fn handler(&self, controller: usize) -> Handler {
        let state = self.clone();
        Arc::new(move |method, path, body| {
            let mut late = None;
            if method == "GET" && path.starts_with("/store/") {
                let mut store = state.store.0.lock().unwrap();
                store.read_at.insert(controller, Instant::now());
                late = store.slow_reads.filter(|(slow, _)| *slow == controller).map(|(_, late)| late);
            }
            let reply = state.handle(method, path, body);
            if let Some(late) = late {
                std::thread::sleep(late);
            }
            reply
        })
    }

    /// Puts copies of the value of a key under other keys, as transactions long ago would have. Returns whether the
    /// key exists.
    pub fn copy(&self, key: &str, to: impl Iterator<Item = String>) -> bool {
        let mut store = self.store.0.lock().unwrap();
        let Some(data) = store.data.get(key).map(|entry| entry.data.clone()) else { return false };
        for key in to {
            store.revision += 1;
            let entry = Entry { data: data.clone(), revision: store.revision, lease: None };
            store.data.insert(key, entry);
        }
        true
    }

    /// The keys that end with this text.
    pub fn keys_ending(&self, end: &str) -> Vec<String> {
        let store = self.store.0.lock().unwrap();
        store.data.keys().filter(|key| key.ends_with(end)).cloned().collect()
    }

    /// Answers the reads of single keys of one controller late.
    pub fn set_slow_reads(&self, slow: Option<(usize, Duration)>) {
        self.store.0.lock().unwrap().slow_reads = slow;
    }

    /// Whether the controller sent a read of a single key after `since`.
    pub fn has_read_since(&self, controller: usize, since: Instant) -> bool {
        self.store.0.lock().unwrap().read_at.get(&controller).is_some_and(|at| *at > since)
    }

    fn handle(&self, method: &str, path: &str, body: &[u8]) -> Reply {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let mut store = self.store.0.lock().unwrap();
        if !store.requests.take(1.0) {
            return Some((429, None));
        }
        match (method, path) {
            ("POST", "/multi") => {
                let reply = store.transact(body);
                self.store.1.notify_all();
                reply
            }
            ("POST", "/holds") => {
                let ttl = decode(body).and_then(|b| get_int(&b, "ttl_ms")).filter(|t| (100..=600_000).contains(t));
                let Some(ttl) = ttl.map(Duration::from_millis) else { return Some((400, None)) };
                let id = store.next_lease;
                store.next_lease += 1;
                store.leases.insert(id, (ttl, Instant::now() + ttl));
                Some((200, Some(map(vec![("tenure", int(id))]))))
            }
            ("GET", "/store") => {
                let prefix = parameter(query, "starts").unwrap_or_default();
                let after = parameter(query, "after").unwrap_or_default();
                let page = parameter(query, "page").and_then(|p| p.parse().ok()).unwrap_or(1000);
                store.scan(&prefix, &after, page)
            }
            ("GET", "/follow") => {
                let prefix = parameter(query, "starts").unwrap_or_default();
                let after: u64 = parameter(query, "after").and_then(|p| p.parse().ok()).unwrap_or(0);
                let hold = parameter(query, "hold_ms").and_then(|p| p.parse().ok()).unwrap_or(0u64).min(60_000);
                let until = Instant::now() + Duration::from_millis(hold);
                loop {
                    if store.changes.len() == KEPT_CHANGES && store.changes.front().is_some_and(|c| c.0 > after + 1) {
                        return Some((410, None));
                    }
                    let is_news = |c: &&(u64, String, Option<Value>)| c.0 > after && c.1.starts_with(&prefix);
                    let left = until.saturating_duration_since(Instant::now());
                    if store.changes.iter().any(|c| is_news(&c)) || left.is_zero() {
                        let news = store.changes.iter().filter(is_news).map(|(revision, key, data)| match data {
                            Some(data) => {
                                map(vec![("put", text(key)), ("data", data.clone()), ("entry_no", int(*revision))])
                            }
                            None => map(vec![("delete", text(key)), ("entry_no", int(*revision))]),
                        });
                        let news = Value::Array(news.collect());
                        return Some((200, Some(map(vec![("ledger_no", int(store.revision)), ("news", news)]))));
                    }
                    store = self.store.1.wait_timeout(store, left).unwrap().0;
                }
            }
            ("GET", _) => match path.strip_prefix("/store/") {
                Some(key) => match store.data.get(key) {
                    Some(entry) => {
                        let mut body = vec![
                            ("key", text(key)),
                            ("data", Value::clone(&entry.data)),
                            ("entry_no", int(entry.revision)),
                        ];
                        body.extend(entry.lease.map(|lease| ("tenure", int(lease))));
                        Some((200, Some(map(body))))
                    }
                    None => Some((404, Some(map(vec![("ledger_no", int(store.revision))])))),
                },
                None => Some((400, None)),
            },
            _ => {
                let Some(rest) = path.strip_prefix("/holds/") else { return Some((400, None)) };
                let id = rest.strip_suffix("/extend").unwrap_or(rest).parse::<u64>().unwrap_or(0);
                if !store.leases.contains_key(&id) {
                    return Some((404, None));
                }
                if method == "DELETE" {
                    store.end_lease(id);
                    self.store.1.notify_all();
                } else if let Some((ttl, until)) = store.leases.get_mut(&id) {
                    *until = Instant::now() + *ttl;
                }
                Some((200, Some(map(vec![("tenure", int(id))]))))
            }
        }
    }
}
