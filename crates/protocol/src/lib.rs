//! Typed messages of every interface, and their validation. This is the only
//! place that knows wire names; everything else works with these types.

pub mod cloud;
pub mod peer;
pub mod store;
pub mod user;
pub mod worker;

use serde::{Deserialize, Deserializer, Serialize, de::DeserializeOwned};
use thiserror::Error;

/// Largest request body, and largest response to users and workers.
pub const BODY_LIMIT: usize = 64 * 1024;

#[derive(Debug, Error)]
#[error("body is not the CBOR expected: {0}")]
pub struct DecodeError(String);

/// Decodes one CBOR item that must fill the whole input.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let mut rest = bytes;
    // The depth cap keeps hostile nesting from exhausting the stack.
    let value =
        ciborium::de::from_reader_with_recursion_limit(&mut rest, 32).map_err(|e| DecodeError(e.to_string()))?;
    if !rest.is_empty() {
        return Err(DecodeError("bytes after the item".into()));
    }
    Ok(value)
}

pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(value, &mut out).expect("writing to memory does not fail");
    out
}

/// One argument of a query string, as it was sent: nothing on these interfaces is escaped.
pub fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|part| part.split_once('=').filter(|(k, _)| *k == name).map(|(_, v)| v))
}

/// An amount: decimal on the wire, though some encoders shorten 4.0 to 4.
pub(crate) fn amount<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    Ok(Amount::deserialize(d)?.into())
}

pub(crate) fn amount_or_null<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    Ok(Option::<Amount>::deserialize(d)?.map(Into::into))
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Amount {
    Whole(i64),
    Decimal(f64),
}

impl From<Amount> for f64 {
    fn from(a: Amount) -> f64 {
        match a {
            Amount::Whole(n) => n as f64,
            Amount::Decimal(x) => x,
        }
    }
}
