//! Assertions on messages: what is written, which other encodings are read, and which are
//! refused.

use crate::fixture::{assert_cbor, bytes, diagnostic};
use ciborium::Value;
use finchquay_protocol::{decode, encode};
use serde::{Serialize, de::DeserializeOwned};

/// Asserts that a value encodes to the bytes of the fixture, and that decoding the fixture
/// and encoding the result gives the same bytes.
pub fn wire_format<T: Serialize + DeserializeOwned>(name: &str, value: &T) {
    assert_cbor(name, &encode(value));
    let decoded: T = decode(&bytes(name)).unwrap_or_else(|error| panic!("{name}: {error}"));
    assert_cbor(name, &encode(&decoded));
}

/// Asserts that an encoding that this version does not write is read as `expected`.
pub fn reads_as<T: Serialize + DeserializeOwned>(encoding: &Value, expected: &T) {
    let decoded: T = decode(&encode(encoding)).unwrap_or_else(|error| panic!("{}: {error}", diagnostic(encoding)));
    let notation = |value: &T| diagnostic(&decode(&encode(value)).unwrap());
    assert_eq!(notation(&decoded), notation(expected), "{}", diagnostic(encoding));
}

/// Asserts that an encoding is refused.
pub fn refuses<T: DeserializeOwned>(encoding: &Value) {
    assert!(decode::<T>(&encode(encoding)).is_err(), "{} must be refused", diagnostic(encoding));
}
