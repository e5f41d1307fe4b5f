//! Request paths of the store and decoding of transactions.

use super::*;
use crate::{decode, encode};

/// Both ends of a path: what the controller builds is what the store parses, and what is
/// malformed gets 400.
#[test]
fn request_paths_are_parsed_as_they_were_built() {
    let long = "k".repeat(KEY_LIMIT + 1);
    let cases = [
        ("GET", key_path("a/b"), Some(Route::Get("a/b"))),
        ("GET", scan_path("c/", "c/7"), Some(Route::Scan { prefix: "c/", after: "c/7", page: PAGE_LIMIT })),
        ("GET", watch_path("c/", 9, 99_999), Some(Route::Watch { prefix: "c/", after: 9, hold_ms: HOLD_LIMIT_MS })),
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

/// An operation that is both a put and a delete, or a put without data, must be refused
/// whole rather than be carried out in part.
#[test]
fn transactions_round_trip_and_malformed_operations_are_refused() {
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
