//! Wire format of the messages and request paths between controllers and the store.

use crate::message::{reads_as, refuses, wire_format};
use ciborium::{Value, cbor};
use finchquay_protocol::store::{
    self, Condition, Lease, LeaseRequest, Op, Route, Row, RowPage, Txn, TxnResponse, WatchEvent, WatchResponse,
    key_path, renew_path, route, scan_path, watch_path,
};

fn data() -> Value {
    cbor!({"incarnation" => 7}).unwrap()
}

fn key() -> String {
    "fq/m/perch-0".into()
}

fn full_row() -> Row {
    Row { key: key(), data: data(), version: 17, lease: Some(5) }
}

fn put_event() -> WatchEvent {
    WatchEvent { put: Some(key()), delete: None, data: Some(data()), version: 18 }
}

fn delete_event() -> WatchEvent {
    WatchEvent { put: None, delete: Some(key()), data: None, version: 19 }
}

/// Transactions, which the store reads, with and without optional fields.
#[test]
fn transactions_keep_their_wire_format() {
    let put = Op::Put { key: key(), data: data(), lease: Some(5) };
    let put_without_lease = Op::Put { key: key(), data: data(), lease: None };
    let delete = Op::Delete { key: key() };
    wire_format("store-op-put", &put);
    wire_format("store-op-put-without-lease", &put_without_lease);
    wire_format("store-op-delete", &delete);
    let conditions = vec![Condition { key: key(), version: 0 }, Condition { key: "fq/term".into(), version: 300 }];
    wire_format("store-txn", &Txn { conditions, ops: vec![put, put_without_lease, delete] });
    wire_format("store-txn-empty", &Txn::default());
    reads_as(&cbor!({}).unwrap(), &Txn::default());
}

/// An operation that is both a put and a delete, or neither, must be refused as a whole
/// instead of being applied in part.
#[test]
fn malformed_operations_are_refused() {
    for operation in [
        cbor!({"put" => "k"}),
        cbor!({"put" => "k", "delete" => "k", "data" => 1}),
        cbor!({"data" => 1}),
        cbor!({"put" => "k", "data" => 1, "tenure" => "x"}),
        cbor!({}),
    ] {
        refuses::<Op>(&operation.unwrap());
    }
}

/// Responses to reads and transactions.
#[test]
fn responses_keep_their_wire_format() {
    wire_format("store-ledger", &TxnResponse { revision: 42, failed: Vec::new() });
    wire_format("store-ledger-refused", &TxnResponse { revision: 42, failed: vec![key()] });
    wire_format("store-row", &full_row());
    let row = Row { lease: None, ..full_row() };
    wire_format("store-row-without-lease", &row);
    wire_format("store-rows", &RowPage { rows: vec![full_row()], truncated: true, revision: 42 });
    let without_optional_fields = cbor!({
        "rows" => [{"key" => "fq/m/perch-0", "data" => {"incarnation" => 7}, "entry_no" => 17}],
        "ledger_no" => 42,
    });
    reads_as(&without_optional_fields.unwrap(), &RowPage { rows: vec![row], truncated: false, revision: 42 });
}

/// Changes that a watch returns, and a response without changes.
#[test]
fn watches_keep_their_wire_format() {
    wire_format("store-news-put", &put_event());
    wire_format("store-news-delete", &delete_event());
    wire_format("store-followed", &WatchResponse { revision: 42, events: vec![put_event(), delete_event()] });
    reads_as(&cbor!({"ledger_no" => 42}).unwrap(), &WatchResponse { revision: 42, events: Vec::new() });
}

/// The request for a lease, and the response to it.
#[test]
fn leases_keep_their_wire_format() {
    wire_format("store-lease-request", &LeaseRequest { ttl_ms: 18_000 });
    wire_format("store-lease", &Lease { id: 5 });
}

/// Controllers must build the paths that deployed stores serve.
#[test]
fn paths_that_controllers_request_are_stable() {
    assert_eq!((store::TXN_PATH, store::LEASES_PATH), ("/multi", "/holds"));
    assert_eq!(key_path("fq/none"), "/store/fq/none");
    assert_eq!(scan_path("fq/", ""), "/store?starts=fq/&page=1000");
    assert_eq!(scan_path("fq/", "fq/j/run-1"), "/store?starts=fq/&after=fq/j/run-1&page=1000");
    assert_eq!(watch_path("fq/", 42, 9000), "/follow?starts=fq/&after=42&hold_ms=9000");
    assert_eq!(renew_path(5), "/holds/5/extend");
}

/// The store must serve these paths and methods and refuse all others.
#[test]
fn paths_that_the_store_serves_are_stable() {
    for (method, path, expected) in [
        ("GET", "/store/fq/none", Some(Route::Get("fq/none"))),
        ("GET", "/store?starts=fq/", Some(Route::Scan { prefix: "fq/", after: "", page: 1000 })),
        ("GET", "/store?starts=fq/&after=fq/j&page=7", Some(Route::Scan { prefix: "fq/", after: "fq/j", page: 7 })),
        ("GET", "/store?starts=fq/&page=5000", Some(Route::Scan { prefix: "fq/", after: "", page: 1000 })),
        ("POST", "/multi", Some(Route::Txn)),
        ("POST", "/holds", Some(Route::Grant)),
        ("POST", "/holds/5/extend", Some(Route::Renew(5))),
        ("DELETE", "/holds/5", Some(Route::Revoke(5))),
        ("GET", "/follow?starts=fq/&after=42", Some(Route::Watch { prefix: "fq/", after: 42, max_wait_ms: 0 })),
        (
            "GET",
            "/follow?starts=fq/&after=42&hold_ms=99999",
            Some(Route::Watch { prefix: "fq/", after: 42, max_wait_ms: 60_000 }),
        ),
        ("GET", "/multi", None),
        ("GET", "/holds", None),
        ("POST", "/holds/5/renew", None),
        ("GET", "/store", None),
        ("GET", "/follow?starts=fq/", None),
        ("POST", "/txn", None),
    ] {
        assert_eq!(route(method, path), expected, "{method} {path}");
    }
}

/// Controllers and the store both depend on these limits.
#[test]
fn limits_of_the_store_are_stable() {
    assert_eq!((store::MAX_KEY_BYTES, store::MAX_PAGE_ROWS, store::MAX_PAGE_BYTES), (200, 1000, 524_288));
    assert_eq!(
        (store::WATCH_WINDOW_CHANGES, store::MAX_WATCH_WAIT_MS, store::MAX_CONDITIONS_PER_OP),
        (10_000, 60_000, 4)
    );
    assert_eq!(store::LEASE_TTL_RANGE_MS, 100..=600_000);
}
