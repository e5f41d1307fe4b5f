//! Assertions on messages: what is written, what else is read, and what is refused.

use crate::fixture::{assert_cbor, bytes, diagnostic};
use ciborium::Value;
use finchquay_protocol::{decode, encode};
use serde::{Serialize, de::DeserializeOwned};

/// Asserts that a value encodes to the fixture, and that the fixture decodes to a value
/// that encodes to the same bytes.
pub fn wire_format<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    assert_cbor(name, &encode(value));
    let decoded: T = decode(&bytes(name)).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_cbor(name, &encode(&decoded));
}

/// Asserts that a form that this version does not write is read as `expected`.
pub fn reads_as<T: Serialize + DeserializeOwned>(kind: &Value, expected: &T) {
    let decoded: T = decode(&encode(kind)).unwrap_or_else(|e| panic!("{}: {e}", diagnostic(kind)));
    let notation = |value: &T| diagnostic(&decode(&encode(value)).unwrap());
    assert_eq!(notation(&decoded), notation(expected), "{}", diagnostic(kind));
}

/// Asserts that a form is refused.
pub fn refuses<T: DeserializeOwned>(kind: &Value) {
    assert!(decode::<T>(&encode(kind)).is_err(), "{} must be refused", diagnostic(kind));
}
