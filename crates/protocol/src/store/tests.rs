//! Tests of the request paths of the store and of the decoding of transactions.

use super::*;
use crate::{decode, encode};

/// The store must parse every path that a controller builds, and must refuse malformed
/// paths.
#[test]
fn built_paths_are_parsed_and_malformed_paths_are_refused() {
    let oversized_key = "k".repeat(MAX_KEY_BYTES + 1);
    let cases = [
        ("GET", key_path("a/b"), Some(Route::Get("a/b"))),
        ("GET", scan_path("c/", "c/7"), Some(Route::Scan { prefix: "c/", after: "c/7", page: MAX_PAGE_ROWS })),
        (
            "GET",
            watch_path("c/", 9, 99_999),
            Some(Route::Watch { prefix: "c/", after: 9, max_wait_ms: MAX_WATCH_WAIT_MS }),
        ),
        ("POST", renew_path(7), Some(Route::Renew(7))),
        ("DELETE", "/holds/7".into(), Some(Route::Revoke(7))),
        ("POST", TXN_PATH.into(), Some(Route::Txn)),
        ("GET", TXN_PATH.into(), None),
        ("GET", "/store?page=0&starts=c/".into(), None),
        ("GET", "/store/".into(), None),
        ("GET", key_path(&oversized_key), None),
        ("POST", renew_path(7).replace('7', "-7"), None),
        ("GET", "/follow?starts=c/&after=x".into(), None),
    ];
    for (method, path, expected) in cases {
        assert_eq!(route(method, &path), expected, "{method} {path}");
    }
}

/// An operation that is both a put and a delete, or a put without data, must be refused
/// as a whole instead of being applied in part.
#[test]
fn transactions_round_trip_and_malformed_operations_are_refused() {
    let data = Value::Text("x".into());
    let put = Op::Put { key: "a".into(), data: data.clone(), lease: Some(3) };
    let txn = Txn {
        conditions: vec![Condition { key: "a".into(), version: 0 }],
        ops: vec![put, Op::Delete { key: "b".into() }],
    };
    assert_eq!(decode::<Txn>(&encode(&txn)).unwrap(), txn);
    let txn_with_op = |fields: &[&str]| {
        let map = fields.iter().map(|field| (Value::Text((*field).into()), data.clone())).collect();
        encode(&Value::Map(vec![(Value::Text("then".into()), Value::Array(vec![Value::Map(map)]))]))
    };
    assert!(decode::<Txn>(&txn_with_op(&["put", "data"])).is_ok());
    for malformed in [&["put"][..], &["put", "delete", "data"], &["data"], &["put", "data", "tenure"]] {
        assert!(decode::<Txn>(&txn_with_op(malformed)).is_err(), "{malformed:?}");
    }
}
