//! Checks the sizes of bodies against the limit of the protocol, which counts them as JSON.

#![warn(missing_docs)]

use super::value;
use ciborium::Value;
use finchquay::protocol::MAX_BODY_BYTES;

/// JSON takes at most this many times the bytes of CBOR: a null takes one byte there and four as
/// JSON, a string of control characters six times its bytes.
const MAX_JSON_GROWTH: usize = 6;

/// Returns whether a body exceeds the protocol's limit, which counts it as JSON.
pub fn exceeds_limit(body: &[u8]) -> bool {
    body.len() * MAX_JSON_GROWTH > MAX_BODY_BYTES && json_bytes(body) > MAX_BODY_BYTES
}

/// Returns the size of a body as JSON.
fn json_bytes(body: &[u8]) -> usize {
    serde_json::to_vec::<Value>(&value(body)).map_or(usize::MAX, |json| json.len())
}
