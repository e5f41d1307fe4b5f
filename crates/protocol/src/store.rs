//! The state service's interface: reads, transactions, leases, watches.

use ciborium::Value;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error, ser::SerializeMap};

/// One comparison: the key has this version (0: does not exist).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    pub key: String,
    #[serde(rename = "entry_no")]
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Op {
    Put { key: String, data: Value, lease: Option<u64> },
    Delete { key: String },
}

impl Serialize for Op {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut m = s.serialize_map(None)?;
        match self {
            Op::Put { key, data, lease } => {
                m.serialize_entry("put", key)?;
                m.serialize_entry("data", data)?;
                if let Some(id) = lease {
                    m.serialize_entry("tenure", id)?;
                }
            }
            Op::Delete { key } => m.serialize_entry("delete", key)?,
        }
        m.end()
    }
}

/// An op as it stands on the wire, before it is known to be one of the two.
#[derive(Deserialize)]
struct WireOp {
    #[serde(default)]
    put: Option<String>,
    #[serde(default)]
    delete: Option<String>,
    #[serde(default)]
    data: Option<Value>,
    #[serde(default)]
    #[serde(rename = "tenure")]
    lease: Option<u64>,
}

impl<'de> Deserialize<'de> for Op {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Op, D::Error> {
        match WireOp::deserialize(d)? {
            WireOp { put: Some(key), delete: None, data: Some(data), lease } => Ok(Op::Put { key, data, lease }),
            WireOp { put: None, delete: Some(key), .. } => Ok(Op::Delete { key }),
            _ => Err(D::Error::custom("an op is either a put with data or a delete")),
        }
    }
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    #[serde(rename = "if", default)]
    pub conditions: Vec<Condition>,
    #[serde(rename = "then", default)]
    pub ops: Vec<Op>,
}

impl Txn {
    /// Whether it writes the key, rather than only look at it or delete it.
    pub fn puts(&self, key: &str) -> bool {
        self.ops.iter().any(|op| matches!(op, Op::Put { key: k, .. } if k == key))
    }
}

/// Any answer that says how far the ledger has come.
#[derive(Debug, Serialize, Deserialize)]
pub struct TxnResponse {
    #[serde(rename = "ledger_no")]
    pub revision: u64,
    /// Of a refused transaction: the keys that had changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub key: String,
    pub data: Value,
    #[serde(rename = "entry_no")]
    pub version: u64,
    /// The lease that the key hangs on; told when one key is read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "tenure")]
    pub lease: Option<u64>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Rows {
    pub rows: Vec<Row>,
    #[serde(default)]
    pub truncated: bool,
    #[serde(rename = "ledger_no")]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<Value>,
    #[serde(rename = "entry_no")]
    pub version: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    #[serde(rename = "ledger_no")]
    pub revision: u64,
    #[serde(default)]
    pub news: Vec<WatchEvent>,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub ttl_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct Lease {
    #[serde(rename = "tenure")]
    pub id: u64,
}

/// Longest key, in bytes.
pub const KEY_LIMIT: usize = 200;
/// Most rows in one page of a read.
pub const PAGE_LIMIT: usize = 1000;
/// Most bytes in one page of a read.
pub const PAGE_BYTES: usize = 512 * 1024;
/// Changes that the service keeps for watches.
pub const WATCH_WINDOW: usize = 10_000;
/// Longest that a watch may wait, in milliseconds.
pub const HOLD_LIMIT_MS: u64 = 60_000;
/// Shortest and longest time of a lease, in milliseconds.
pub const TTL_MS: std::ops::RangeInclusive<u64> = 100..=600_000;
/// Conditions that a transaction may have for each op that it may have.
pub const CONDITIONS_PER_OP: usize = 4;

/// Whether a key may be stored: 1 to 200 bytes without spaces.
pub fn valid_key(key: &str) -> bool {
    (1..=KEY_LIMIT).contains(&key.len()) && !key.contains(' ')
}

/// What a request to the state service asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Route<'a> {
    Get(&'a str),
    Scan { starts: &'a str, after: &'a str, page: usize },
    Multi,
    Grant,
    Extend(u64),
    Revoke(u64),
    Watch { starts: &'a str, after: u64, hold_ms: u64 },
}

/// Tells what a request line asks for; `None` is one that gets 400.
pub fn route<'a>(method: &str, path: &'a str) -> Option<Route<'a>> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let arg = |name| crate::query(query, name);
    match (method, path) {
        ("POST", TXN) => Some(Route::Multi),
        ("POST", LEASES) => Some(Route::Grant),
        ("GET", "/store") => {
            let page = arg("page").map_or(Ok(PAGE_LIMIT), str::parse).ok().filter(|p| *p > 0)?;
            Some(Route::Scan { starts: arg("starts")?, after: arg("after").unwrap_or(""), page: page.min(PAGE_LIMIT) })
        }
        ("GET", "/follow") => {
            let hold_ms: u64 = arg("hold_ms").map_or(Ok(0), str::parse).ok()?;
            let after = arg("after")?.parse().ok()?;
            Some(Route::Watch { starts: arg("starts")?, after, hold_ms: hold_ms.min(HOLD_LIMIT_MS) })
        }
        _ => match (method, path.strip_prefix("/holds/")) {
            ("POST", Some(rest)) => Some(Route::Extend(rest.strip_suffix("/extend")?.parse().ok()?)),
            ("DELETE", Some(rest)) => Some(Route::Revoke(rest.parse().ok()?)),
            ("GET", None) => path.strip_prefix("/store/").filter(|k| valid_key(k)).map(Route::Get),
            _ => None,
        },
    }
}

pub const TXN: &str = "/multi";
pub const LEASES: &str = "/holds";

pub fn key_path(key: &str) -> String {
    format!("/store/{key}")
}

pub fn scan_path(prefix: &str, after: &str) -> String {
    let page = PAGE_LIMIT;
    if after.is_empty() {
        format!("/store?starts={prefix}&page={page}")
    } else {
        format!("/store?starts={prefix}&after={after}&page={page}")
    }
}

pub fn watch_path(prefix: &str, after: u64, hold_ms: u64) -> String {
    format!("/follow?starts={prefix}&after={after}&hold_ms={hold_ms}")
}

pub fn renew_path(id: u64) -> String {
    format!("/holds/{id}/extend")
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{decode, encode};

    #[test]
    fn what_a_controller_asks_for_is_what_the_service_reads() {
        let long = "k".repeat(KEY_LIMIT + 1);
        let cases = [
            ("GET", key_path("a/b"), Some(Route::Get("a/b"))),
            ("GET", scan_path("c/", "c/7"), Some(Route::Scan { starts: "c/", after: "c/7", page: PAGE_LIMIT })),
            ("GET", watch_path("c/", 9, 99_999), Some(Route::Watch { starts: "c/", after: 9, hold_ms: HOLD_LIMIT_MS })),
            ("POST", renew_path(7), Some(Route::Extend(7))),
            ("DELETE", "/holds/7".into(), Some(Route::Revoke(7))),
            ("POST", TXN.into(), Some(Route::Multi)),
            ("GET", TXN.into(), None),
            ("GET", "/store?page=0&starts=c/".into(), None),
            ("GET", "/store/".into(), None),
            ("GET", key_path(&long), None),
            ("POST", renew_path(7).replace('7', "-7"), None),
            ("GET", "/follow?starts=c/&after=x".into(), None),
        ];
        for (method, path, want) in cases {
            assert_eq!(route(method, &path), want, "{method} {path}");
        }
    }

    /// An op that is both, or a put without data, must not be half carried out.
    #[test]
    fn transactions_come_through_and_spoilt_ops_do_not() {
        let data = Value::Text("x".into());
        let put = Op::Put { key: "a".into(), data: data.clone(), lease: Some(3) };
        let txn = Txn {
            conditions: vec![Condition { key: "a".into(), version: 0 }],
            ops: vec![put, Op::Delete { key: "b".into() }],
        };
        assert_eq!(decode::<Txn>(&encode(&txn)).unwrap(), txn);
        let wire = |fields: &[&str]| {
            let map = fields.iter().map(|f| (Value::Text((*f).into()), data.clone())).collect();
            encode(&Value::Map(vec![(Value::Text("then".into()), Value::Array(vec![Value::Map(map)]))]))
        };
        assert!(decode::<Txn>(&wire(&["put", "data"])).is_ok());
        for bad in [&["put"][..], &["put", "delete", "data"], &["data"], &["put", "data", "tenure"]] {
            assert!(decode::<Txn>(&wire(bad)).is_err(), "{bad:?}");
        }
    }
}
