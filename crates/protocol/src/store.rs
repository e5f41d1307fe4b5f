//! The state service's interface: reads, transactions, leases, watches.

use ciborium::Value;
use serde::{Deserialize, Serialize, Serializer, ser::SerializeMap};

/// One comparison: the key has this version (0: does not exist).
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Cond {
    pub key: String,
    pub entry_no: u64,
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

#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Txn {
    #[serde(rename = "if")]
    pub conds: Vec<Cond>,
    #[serde(rename = "then")]
    pub ops: Vec<Op>,
}

/// Any answer that says how far the ledger has come.
#[derive(Debug, Deserialize)]
pub struct Ledger {
    pub ledger_no: u64,
    /// Of a refused transaction: the keys that had changed.
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Debug, Deserialize)]
pub struct Row {
    pub key: String,
    pub data: Value,
    pub entry_no: u64,
}

#[derive(Debug, Deserialize)]
pub struct Rows {
    pub rows: Vec<Row>,
    #[serde(default)]
    pub truncated: bool,
    pub ledger_no: u64,
}

#[derive(Debug, Deserialize)]
pub struct News {
    #[serde(default)]
    pub put: Option<String>,
    #[serde(default)]
    pub delete: Option<String>,
    #[serde(default)]
    pub data: Option<Value>,
    pub entry_no: u64,
}

#[derive(Debug, Deserialize)]
pub struct Followed {
    pub ledger_no: u64,
    #[serde(default)]
    pub news: Vec<News>,
}

#[derive(Debug, Serialize)]
pub struct LeaseRequest {
    pub ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
pub struct Lease {
    #[serde(rename = "tenure")]
    pub id: u64,
}

pub const TXN: &str = "/multi";
pub const LEASES: &str = "/holds";

pub fn key_path(key: &str) -> String {
    format!("/store/{key}")
}

pub fn scan_path(prefix: &str, after: &str) -> String {
    let page = 200;
    if after.is_empty() {
        format!("/store?starts={prefix}&page={page}")
    } else {
        format!("/store?starts={prefix}&after={after}&page={page}")
    }
}

pub fn follow_path(prefix: &str, after: u64, hold_ms: u64) -> String {
    format!("/follow?starts={prefix}&after={after}&hold_ms={hold_ms}")
}

pub fn renew_path(id: u64) -> String {
    format!("/holds/{id}/extend")
}
