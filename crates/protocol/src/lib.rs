//! Typed messages of every interface of the scheduler, and their validation. The names
//! that message fields have on the wire appear only in this crate; all other code works
//! with these types.
//!
//! Messages to and from users, workers, the store and the cloud are CBOR maps. Where a
//! wire name differs from the name of the field, a serde attribute gives the wire name.
//! Controllers exchange borsh frames among themselves, see [`peer`].

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::disallowed_methods))]

pub mod cloud;
pub mod heartbeat_size;
pub mod peer;
pub mod store;
pub mod time;
pub mod user;
pub mod watch;
pub mod worker;

use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Maximum size of a request body, and of a response to a user or worker, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum nesting depth of a CBOR item. It keeps hostile input from exhausting the stack.
const MAX_NESTING_DEPTH: usize = 32;

/// The error for a body that is not exactly one CBOR item of the expected type.
#[derive(Debug, Error)]
#[error("body is not one CBOR item of the expected type: {0}")]
pub struct DecodeError(String);

/// Decodes one CBOR item, which must be the whole input.
///
/// # Errors
/// [`DecodeError`] if the input is not valid CBOR, is nested too deeply, does not match
/// `T`, or has bytes after the item.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_NESTING_DEPTH)
        .map_err(|error| DecodeError(error.to_string()))?;
    if !rest.is_empty() {
        return Err(DecodeError("trailing bytes after the item".into()));
    }
    Ok(value)
}

/// Encodes a message as one CBOR item.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to memory does not fail");
    bytes
}

/// Returns the value of the first parameter with this name in a query string. The value
/// is not percent-decoded, because no interface escapes its parameters.
pub fn query_parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|parameter| parameter.split_once('=').filter(|(key, _)| *key == name).map(|(_, value)| value))
}

/// Deserializes a number. It is specified as a float, but an integer is accepted too,
/// because some encoders shorten 4.0 to 4.
pub(crate) fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    Ok(WireNumber::deserialize(deserializer)?.into())
}

/// Deserializes an optional number like [`number`]; `null` is read as `None`.
pub(crate) fn optional_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    Ok(Option::<WireNumber>::deserialize(deserializer)?.map(Into::into))
}

/// Whether a number can be an amount: it is finite and not negative.
pub(crate) fn is_valid_amount(amount: f64) -> bool {
    amount.is_finite() && amount >= 0.0
}

/// A number in either of its encodings on the wire.
#[derive(Deserialize)]
#[serde(untagged)]
enum WireNumber {
    Integer(i64),
    Float(f64),
}

impl From<WireNumber> for f64 {
    fn from(number: WireNumber) -> f64 {
        match number {
            WireNumber::Integer(integer) => integer as f64,
            WireNumber::Float(float) => float,
        }
    }
}
