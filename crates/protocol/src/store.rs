//! Messages between controllers and the store, a consensus-backed key-value store:
//! reads, compare-and-swap transactions, leases and watches; and the request paths.

use ciborium::Value;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error, ser::SerializeMap};

/// Condition of a transaction: the key has this version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// Key to compare.
    pub key: String,
    /// Version it must have, 0 for a key that must not exist; `entry_no` on the wire.
    #[serde(rename = "entry_no")]
    pub version: u64,
}

/// Operation of a transaction. On the wire a map with `put` or `delete`, which holds
/// the key.
#[derive(Debug, Clone, PartialEq)]
pub enum Op {
    /// Write a key.
    Put {
        /// Key to write.
        key: String,
        /// Its new value.
        data: Value,
        /// Lease whose expiry deletes the key, if any; `tenure` on the wire.
        lease: Option<u64>,
    },
    /// Delete a key.
    Delete {
        /// Key to delete.
        key: String,
    },
}

impl Serialize for Op {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut map = s.serialize_map(None)?;
        match self {
            Op::Put { key, data, lease } => {
                map.serialize_entry("put", key)?;
                map.serialize_entry("data", data)?;
                if let Some(id) = lease {
                    map.serialize_entry("tenure", id)?;
                }
            }
            Op::Delete { key } => map.serialize_entry("delete", key)?,
        }
        map.end()
    }
}

/// An operation as it stands on the wire, before it is known to be one of the two.
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

/// A compare-and-swap transaction: all operations are carried out if all conditions
/// hold, and else none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions; `if` on the wire.
    #[serde(rename = "if", default)]
    pub conditions: Vec<Condition>,
    /// Operations; `then` on the wire.
    #[serde(rename = "then", default)]
    pub ops: Vec<Op>,
}

impl Txn {
    /// Whether it writes the key, rather than only compare or delete it.
    pub fn puts(&self, key: &str) -> bool {
        self.ops.iter().any(|op| matches!(op, Op::Put { key: written, .. } if written == key))
    }
}

/// Response to a transaction; other responses are read as one for their revision.
#[derive(Debug, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Revision of the store after it; `ledger_no` on the wire.
    #[serde(rename = "ledger_no")]
    pub revision: u64,
    /// Of a refused transaction: the keys whose conditions did not hold.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value.
    pub data: Value,
    /// Version: the revision of its last write; `entry_no` on the wire.
    #[serde(rename = "entry_no")]
    pub version: u64,
    /// Lease whose expiry deletes the key; only in the response to a read of one key.
    /// `tenure` on the wire.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "tenure")]
    pub lease: Option<u64>,
}

/// One page of a range read.
#[derive(Debug, Serialize, Deserialize)]
pub struct Rows {
    /// Rows of the page, by key.
    pub rows: Vec<Row>,
    /// Whether more follow.
    #[serde(default)]
    pub truncated: bool,
    /// Revision at which the page was read; `ledger_no` on the wire.
    #[serde(rename = "ledger_no")]
    pub revision: u64,
}

/// A change of one key: either `put` or `delete` is present.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key that was written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// Key that was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// Value that was written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<Value>,
    /// Version of the key: the revision of this change; `entry_no` on the wire.
    #[serde(rename = "entry_no")]
    pub version: u64,
}

/// Response to a watch.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which `events` is complete; `ledger_no` on the wire.
    #[serde(rename = "ledger_no")]
    pub revision: u64,
    /// Changes in the order of their revisions; `news` on the wire.
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}

/// Request for a new lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time after which it expires unless it is renewed, in milliseconds, see [`TTL_MS`].
    pub ttl_ms: u64,
}

/// Response to a [`LeaseRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the lease; `tenure` on the wire.
    #[serde(rename = "tenure")]
    pub id: u64,
}

/// Longest key, in bytes.
pub const KEY_LIMIT: usize = 200;
/// Most rows in one page of a read.
pub const PAGE_LIMIT: usize = 1000;
/// Most bytes in one page of a read.
pub const PAGE_BYTES: usize = 512 * 1024;
/// Changes that the store keeps for watches; one that starts further back is refused.
pub const WATCH_WINDOW: usize = 10_000;
/// Longest that a watch may wait, in milliseconds.
pub const HOLD_LIMIT_MS: u64 = 60_000;
/// Shortest and longest time of a lease, in milliseconds.
pub const TTL_MS: std::ops::RangeInclusive<u64> = 100..=600_000;
/// Conditions that a transaction may have for each operation that it may have.
pub const CONDITIONS_PER_OP: usize = 4;

/// Whether a key may be stored: 1 to 200 bytes without spaces.
pub fn valid_key(key: &str) -> bool {
    (1..=KEY_LIMIT).contains(&key.len()) && !key.contains(' ')
}

/// What a request to the store asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// Read one key: `GET /store/<key>`.
    Get(&'a str),
    /// Read a range of keys: `GET /store`.
    Scan {
        /// Prefix of the keys; `starts` on the wire.
        prefix: &'a str,
        /// Only keys after this one; empty for the first page.
        after: &'a str,
        /// Most rows of the page.
        page: usize,
    },
    /// Run a transaction: `POST /multi`.
    Multi,
    /// Grant a lease: `POST /holds`.
    Grant,
    /// Renew the lease with this id: `POST /holds/<id>/extend`.
    Extend(u64),
    /// Revoke the lease with this id: `DELETE /holds/<id>`.
    Revoke(u64),
    /// Wait for changes: `GET /follow`.
    Watch {
        /// Prefix of the keys; `starts` on the wire.
        prefix: &'a str,
        /// Only changes after this revision.
        after: u64,
        /// How long to wait for a change, in milliseconds.
        hold_ms: u64,
    },
}

/// Tells what a request asks for, by its method and path; none is one that gets 400.
pub fn route<'a>(method: &str, path: &'a str) -> Option<Route<'a>> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let parameter = |name| crate::query(query, name);
    match (method, path) {
        ("POST", TXN) => Some(Route::Multi),
        ("POST", LEASES) => Some(Route::Grant),
        ("GET", "/store") => {
            let page = parameter("page").map_or(Ok(PAGE_LIMIT), str::parse).ok().filter(|page| *page > 0)?;
            let after = parameter("after").unwrap_or("");
            Some(Route::Scan { prefix: parameter("starts")?, after, page: page.min(PAGE_LIMIT) })
        }
        ("GET", "/follow") => {
            let hold_ms: u64 = parameter("hold_ms").map_or(Ok(0), str::parse).ok()?;
            let after = parameter("after")?.parse().ok()?;
            Some(Route::Watch { prefix: parameter("starts")?, after, hold_ms: hold_ms.min(HOLD_LIMIT_MS) })
        }
        _ => match (method, path.strip_prefix("/holds/")) {
            ("POST", Some(rest)) => Some(Route::Extend(rest.strip_suffix("/extend")?.parse().ok()?)),
            ("DELETE", Some(rest)) => Some(Route::Revoke(rest.parse().ok()?)),
            ("GET", None) => path.strip_prefix("/store/").filter(|key| valid_key(key)).map(Route::Get),
            _ => None,
        },
    }
}

/// Path of transactions.
pub const TXN: &str = "/multi";
/// Path of leases.
pub const LEASES: &str = "/holds";

/// Path to read one key.
pub fn key_path(key: &str) -> String {
    format!("/store/{key}")
}

/// Path of the page of keys with this prefix after `after`, which is empty for the first.
pub fn scan_path(prefix: &str, after: &str) -> String {
    let page = PAGE_LIMIT;
    if after.is_empty() {
        format!("/store?starts={prefix}&page={page}")
    } else {
        format!("/store?starts={prefix}&after={after}&page={page}")
    }
}

/// Path of a watch on keys with this prefix for changes after a revision, which waits
/// `hold_ms` milliseconds at most.
pub fn watch_path(prefix: &str, after: u64, hold_ms: u64) -> String {
    format!("/follow?starts={prefix}&after={after}&hold_ms={hold_ms}")
}

/// Path to renew a lease.
pub fn renew_path(id: u64) -> String {
    format!("/holds/{id}/extend")
}

#[cfg(test)]
mod tests;
