//! Tests of the store's log of changes.

use super::*;
use ciborium::Value;
use finchquay_protocol::store::{Op, Txn};

fn limits() -> Limits {
    Limits { rps: 1e6, write_rps: 1e6, value_kb: 8.0, txn_ops: 32 }
}

fn batch(store: &mut Store) -> Batch {
    Batch {
        changes: store.take_unwritten(),
        revision: store.revision(),
        next_lease: store.next_lease(),
        leases: store.leases().map(|(id, ttl)| (id, Some(ttl))).collect(),
        ..Batch::default()
    }
}

/// A transaction that was answered survives a kill; one that was not written in whole
/// leaves no part of itself.
#[test]
fn reopened_log_has_exactly_the_written_changes() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("state.redb");
    let now = Duration::ZERO;
    let put = |k: &str, lease| Op::Put { key: k.into(), data: Value::Text(k.into()), lease };
    {
        let log = Log::open(&path, false).unwrap();
        let mut store = log.load(limits(), now).unwrap();
        let id = store.grant(now, 5000).unwrap();
        store.transact(now, &Txn { conditions: vec![], ops: vec![put("a", Some(id)), put("b", None)] });
        log.write(&batch(&mut store)).unwrap();
        store.transact(now, &Txn { conditions: vec![], ops: vec![put("c", None), Op::Delete { key: "b".into() }] });
        // The process is killed here, before the second transaction was written.
    }
    let log = Log::open(&path, false).unwrap();
    let mut store = log.load(limits(), now).unwrap();
    assert_eq!((store.revision(), store.len(), store.next_lease()), (1, 2, 2));
    assert!(store.get("c").is_none() && store.get("b").is_some());
    assert_eq!(store.changes_since("", 0), None, "a watch from before the restart gets 410");
    assert_eq!(store.changes_since("", 1), Some(vec![]));
    assert_eq!(store.expire(Duration::from_secs(5)), [1]);
    assert!(store.get("a").is_none());
}
