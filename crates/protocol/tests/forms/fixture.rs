//! Golden fixtures. Each file holds the expected bytes of one value as hex digits. Lines
//! that begin with `#` describe the value; in fixtures of CBOR values they hold its
//! diagnostic notation (RFC 8949).

use ciborium::Value;
use finchquay_protocol::decode;
use std::path::PathBuf;

/// Asserts that CBOR bytes equal those of the fixture. The diagnostic notation is compared
/// first, so that the message of a failure shows the field that differs.
pub fn assert_cbor(name: &str, actual: &[u8]) {
    let notation = diagnostic(&decode(actual).unwrap());
    assert_eq!(notation, description(name), "{name}: the encoding has changed");
    assert_eq!(actual, bytes(name), "{name}: the bytes have changed");
}

/// Returns the bytes that a fixture holds.
pub fn bytes(name: &str) -> Vec<u8> {
    let digits: Vec<u8> = text(name).lines().filter(|line| !line.starts_with('#')).flat_map(str::bytes).collect();
    digits.chunks(2).map(|pair| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap()).collect()
}

/// Returns the description of the value in a fixture, with its lines joined.
fn description(name: &str) -> String {
    text(name).lines().filter_map(|line| line.strip_prefix("# ")).collect()
}

fn path(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "tests/forms/fixtures", &format!("{name}.hex")].iter().collect()
}

fn text(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_else(|error| panic!("fixture {name}: {error}"))
}

/// Returns the diagnostic notation of a CBOR value.
pub fn diagnostic(value: &Value) -> String {
    match value {
        Value::Text(text) => format!("{text:?}"),
        Value::Integer(number) => i128::from(*number).to_string(),
        Value::Float(number) => format!("{number:?}"),
        Value::Bool(flag) => flag.to_string(),
        Value::Null => "null".into(),
        Value::Array(items) => format!("[{}]", items.iter().map(diagnostic).collect::<Vec<_>>().join(", ")),
        Value::Map(entries) => {
            let entry = |(key, value): &(Value, Value)| format!("{}: {}", diagnostic(key), diagnostic(value));
            format!("{{{}}}", entries.iter().map(entry).collect::<Vec<_>>().join(", "))
        }
        other => panic!("no message contains {other:?}"),
    }
}
