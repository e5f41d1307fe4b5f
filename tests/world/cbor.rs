//! Building and reading CBOR values by the names that go over the wire. The stand-ins use
//! these instead of the controller's types, so that a renamed field in a type is noticed.

#![warn(missing_docs)]

use ciborium::Value;

/// Returns the CBOR encoding of a value.
pub fn bytes(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(value, &mut out).unwrap();
    out
}

/// Decodes a body, or returns `Null` if it is empty or not CBOR.
pub fn value(bytes: &[u8]) -> Value {
    ciborium::from_reader(bytes).unwrap_or(Value::Null)
}

/// Returns the field `name` of a map, if the value is a map that has it.
pub fn get<'a>(map: &'a Value, name: &str) -> Option<&'a Value> {
    map.as_map()?.iter().find(|(key, _)| key.as_text() == Some(name)).map(|(_, field)| field)
}

/// Returns the text in the field `name`, or an empty string if there is none.
pub fn text(map: &Value, name: &str) -> String {
    get(map, name).and_then(Value::as_text).unwrap_or("").to_string()
}

/// Returns the unsigned integer in the field `name`, or 0 if there is none.
pub fn number(map: &Value, name: &str) -> u64 {
    get(map, name).and_then(Value::as_integer).map_or(0, |n| u64::try_from(i128::from(n)).unwrap_or(0))
}
