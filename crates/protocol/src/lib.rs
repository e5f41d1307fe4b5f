//! Typed messages of every interface, and their validation. This is the only
//! place that knows wire names; everything else works with these types.
//!
//! Messages to users, workers, the store and the cloud are CBOR maps; where a wire
//! name differs from the field, it stands in a serde attribute. Controllers exchange
//! borsh frames among themselves, see [`peer`].

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::unwrap_used))]

pub mod cloud;
pub mod peer;
pub mod store;
pub mod user;
pub mod worker;

use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Largest request body, and largest response to users and workers.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Deepest nesting of a CBOR item; keeps hostile input from exhausting the stack.
const NESTING_LIMIT: usize = 32;

/// A body is not the one CBOR item that was expected.
#[derive(Debug, Error)]
#[error("body is not the CBOR expected: {0}")]
pub struct DecodeError(String);

/// Decodes one CBOR item that must fill the whole input.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, NESTING_LIMIT)
        .map_err(|e| DecodeError(e.to_string()))?;
    if !rest.is_empty() {
        return Err(DecodeError("bytes after the item".into()));
    }
    Ok(value)
}

/// Encodes a message as one CBOR item.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(value, &mut out).expect("writing to memory does not fail");
    out
}

/// The value of one parameter of a query string, without percent-decoding: no interface
/// escapes its parameters.
pub fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|part| part.split_once('=').filter(|(k, _)| *k == name).map(|(_, v)| v))
}

/// Deserializes an amount: a float, though some encoders shorten 4.0 to the integer 4.
pub(crate) fn amount<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    Ok(Amount::deserialize(d)?.into())
}

/// Deserializes an optional amount; `null` reads as none.
pub(crate) fn amount_or_null<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    Ok(Option::<Amount>::deserialize(d)?.map(Into::into))
}

/// An amount as it stands on the wire.
#[derive(Deserialize)]
#[serde(untagged)]
enum Amount {
    Whole(i64),
    Decimal(f64),
}

impl From<Amount> for f64 {
    fn from(amount: Amount) -> f64 {
        match amount {
            Amount::Whole(whole) => whole as f64,
            Amount::Decimal(decimal) => decimal,
        }
    }
}
