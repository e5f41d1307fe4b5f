//! Reading and building CBOR values in the tests' own words, not through the controller's types.

use ciborium::Value;

pub fn bytes(v: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(v, &mut out).unwrap();
    out
}

pub fn value(b: &[u8]) -> Value {
    ciborium::from_reader(b).unwrap_or(Value::Null)
}

pub fn get<'a>(v: &'a Value, name: &str) -> Option<&'a Value> {
    v.as_map()?.iter().find(|(k, _)| k.as_text() == Some(name)).map(|(_, v)| v)
}

pub fn text(v: &Value, name: &str) -> String {
    get(v, name).and_then(Value::as_text).unwrap_or("").to_string()
}

pub fn number(v: &Value, name: &str) -> u64 {
    get(v, name).and_then(Value::as_integer).map_or(0, |n| u64::try_from(i128::from(n)).unwrap_or(0))
}
