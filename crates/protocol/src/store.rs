//! Messages and request paths between controllers and the store, a consensus-backed
//! key-value store with range reads, compare-and-swap transactions, leases and watches.

#![warn(missing_docs)]

use ciborium::Value;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error, ser::SerializeMap};

/// Condition of a transaction: the key must have this version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// Key to compare.
    pub key: String,
    /// Required version, or 0 if the key must not exist; `entry_no` on the wire.
    #[serde(rename = "entry_no")]
    pub version: u64,
}

/// Operation of a transaction. On the wire it is a map with either `put` or `delete`,
/// whose value is the key.
#[derive(Debug, Clone, PartialEq)]
pub enum Op {
    /// Write a key.
    Put {
        /// Key to write.
        key: String,
        /// New value of the key.
        data: Value,
        /// Lease that the key is attached to, if any: the key is deleted when the lease
        /// expires. `tenure` on the wire.
        lease: Option<u64>,
    },
    /// Delete a key.
    Delete {
        /// Key to delete.
        key: String,
    },
}

impl Serialize for Op {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
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

/// The fields of an operation on the wire, before they are checked to be a put or a delete.
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
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Op, D::Error> {
        match WireOp::deserialize(deserializer)? {
            WireOp { put: Some(key), delete: None, data: Some(data), lease } => Ok(Op::Put { key, data, lease }),
            WireOp { put: None, delete: Some(key), .. } => Ok(Op::Delete { key }),
            _ => Err(D::Error::custom("an operation is either a put with data or a delete")),
        }
    }
}

/// A compare-and-swap transaction: if all conditions hold, all operations are applied,
/// otherwise none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions that must all hold; `if` on the wire.
    #[serde(rename = "if", default)]
    pub conditions: Vec<Condition>,
    /// Operations that are applied together; `then` on the wire.
    #[serde(rename = "then", default)]
    pub ops: Vec<Op>,
}

impl Txn {
    /// Whether the transaction puts the key. Comparing or deleting it does not count.
    pub fn puts(&self, key: &str) -> bool {
        self.ops.iter().any(|op| matches!(op, Op::Put { key: written, .. } if written == key))
    }
}

/// Response to a transaction. Other responses of the store can be decoded as this type
/// too, to read their revision.
#[derive(Debug, Serialize, Deserialize)]
pub struct TxnResponse {
    /// Revision of the store after the transaction; `ledger_no` on the wire.
    #[serde(rename = "ledger_no")]
    pub revision: u64,
    /// Keys whose conditions did not hold; empty if the transaction was applied.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub failed: Vec<String>,
}

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the key.
    pub data: Value,
    /// Version of the key: the revision of its last write; `entry_no` on the wire.
    #[serde(rename = "entry_no")]
    pub version: u64,
    /// Lease that the key is attached to, if any; present only in the response to a read of
    /// one key. `tenure` on the wire.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "tenure")]
    pub lease: Option<u64>,
}

/// One page of a range read.
#[derive(Debug, Serialize, Deserialize)]
pub struct RowPage {
    /// Rows on the page, sorted by key.
    pub rows: Vec<Row>,
    /// Whether more rows follow after this page.
    #[serde(default)]
    pub truncated: bool,
    /// Revision at which the page was read; `ledger_no` on the wire.
    #[serde(rename = "ledger_no")]
    pub revision: u64,
}

/// A change of one key; exactly one of `put` and `delete` is present.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// Key that was put.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    /// Key that was deleted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    /// New value, if the key was put.
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
    /// Time after which the lease expires unless it is renewed, in milliseconds; within
    /// [`LEASE_TTL_RANGE_MS`].
    pub ttl_ms: u64,
}

/// Response to a [`LeaseRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Lease {
    /// Id of the lease; `tenure` on the wire.
    #[serde(rename = "tenure")]
    pub id: u64,
}

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 200;
/// Maximum number of rows on one page of a range read.
pub const MAX_PAGE_ROWS: usize = 1000;
/// Maximum size of one page of a range read, in bytes.
pub const MAX_PAGE_BYTES: usize = 512 * 1024;
/// Number of changes that the store keeps for watches. A watch that starts further back is
/// refused.
pub const WATCH_WINDOW_CHANGES: usize = 10_000;
/// Maximum time that a watch waits for a change, in milliseconds.
pub const MAX_WATCH_WAIT_MS: u64 = 60_000;
/// Range that the time to live of a lease must be in, in milliseconds.
pub const LEASE_TTL_RANGE_MS: std::ops::RangeInclusive<u64> = 100..=600_000;
/// Ratio of the maximum number of conditions in a transaction to the maximum number of
/// operations.
pub const MAX_CONDITIONS_PER_OP: usize = 4;

/// Whether a key may be stored: it has 1 to [`MAX_KEY_BYTES`] bytes and no spaces.
pub fn is_valid_key(key: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && !key.contains(' ')
}

/// Operation that a request to the store selects by its method and path.
#[derive(Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// Read one key: `GET /store/<key>`.
    Get(&'a str),
    /// Read a range of keys: `GET /store`.
    Scan {
        /// Prefix of the keys to read; `starts` on the wire.
        prefix: &'a str,
        /// Only keys after this one; empty for the first page.
        after: &'a str,
        /// Maximum number of rows on the page.
        page: usize,
    },
    /// Run a transaction: `POST /multi`.
    Txn,
    /// Grant a lease: `POST /holds`.
    Grant,
    /// Renew the lease with this id: `POST /holds/<id>/extend`.
    Renew(u64),
    /// Revoke the lease with this id: `DELETE /holds/<id>`.
    Revoke(u64),
    /// Wait for changes: `GET /follow`.
    Watch {
        /// Prefix of the keys to watch; `starts` on the wire.
        prefix: &'a str,
        /// Only changes after this revision.
        after: u64,
        /// Maximum time to wait for a change, in milliseconds.
        max_wait_ms: u64,
    },
}

/// Parses the method and path of a request; `None` if the store answers them with status
/// 400.
pub fn route<'a>(method: &str, path: &'a str) -> Option<Route<'a>> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let parameter = |name| crate::query_parameter(query, name);
    match (method, path) {
        ("POST", TXN_PATH) => Some(Route::Txn),
        ("POST", LEASES_PATH) => Some(Route::Grant),
        ("GET", "/store") => {
            let page = parameter("page").map_or(Ok(MAX_PAGE_ROWS), str::parse).ok().filter(|page| *page > 0)?;
            let after = parameter("after").unwrap_or("");
            Some(Route::Scan { prefix: parameter("starts")?, after, page: page.min(MAX_PAGE_ROWS) })
        }
        ("GET", "/follow") => {
            let max_wait_ms: u64 = parameter("hold_ms").map_or(Ok(0), str::parse).ok()?;
            let after = parameter("after")?.parse().ok()?;
            Some(Route::Watch { prefix: parameter("starts")?, after, max_wait_ms: max_wait_ms.min(MAX_WATCH_WAIT_MS) })
        }
        _ => match (method, path.strip_prefix("/holds/")) {
            ("POST", Some(rest)) => Some(Route::Renew(rest.strip_suffix("/extend")?.parse().ok()?)),
            ("DELETE", Some(rest)) => Some(Route::Revoke(rest.parse().ok()?)),
            ("GET", None) => path.strip_prefix("/store/").filter(|key| is_valid_key(key)).map(Route::Get),
            _ => None,
        },
    }
}

/// Path of transactions (POST).
pub const TXN_PATH: &str = "/multi";
/// Path to grant leases (POST).
pub const LEASES_PATH: &str = "/holds";

/// Returns the path to read one key.
pub fn key_path(key: &str) -> String {
    format!("/store/{key}")
}

/// Returns the path of the page of keys with this prefix after the key `after`, which is
/// empty for the first page.
pub fn scan_path(prefix: &str, after: &str) -> String {
    let page = MAX_PAGE_ROWS;
    if after.is_empty() {
        format!("/store?starts={prefix}&page={page}")
    } else {
        format!("/store?starts={prefix}&after={after}&page={page}")
    }
}

/// Returns the path of a watch on the keys with this prefix for changes after the revision
/// `after`. The watch waits at most `max_wait_ms` milliseconds for a change.
pub fn watch_path(prefix: &str, after: u64, max_wait_ms: u64) -> String {
    format!("/follow?starts={prefix}&after={after}&hold_ms={max_wait_ms}")
}

/// Returns the path to renew a lease.
pub fn renew_path(id: u64) -> String {
    format!("/holds/{id}/extend")
}

#[cfg(test)]
mod tests;
