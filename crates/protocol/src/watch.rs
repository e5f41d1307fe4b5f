//! Decoding of the store's response to a watch, one change at a time.
//!
//! The response has no size limit. As values in memory, its changes take up to twenty times the
//! space of their encoding, so they are not all decoded at once.

#![warn(missing_docs)]

use crate::store::WatchEvent;
use crate::{DecodeError, MAX_NESTING_DEPTH};
use ciborium::de::from_reader_with_recursion_limit;
use ciborium_ll::{Decoder, Header};
use serde::de::{DeserializeOwned, IgnoredAny};

/// Name of the revision up to which the changes are complete.
const REVISION: &str = "ledger_no";
/// Name of the list of changes.
const EVENTS: &str = "news";
/// The byte that ends a list or map whose length is not given.
const BREAK: u8 = 0xff;

/// Decodes a [`WatchResponse`](crate::store::WatchResponse), and passes on each change in turn.
/// Returns the revision up to which the changes are complete.
///
/// # Errors
/// [`DecodeError`] if the body is not a valid response. The changes before the invalid one have
/// been passed on then.
pub fn decode_watch_response(body: &[u8], mut on_event: impl FnMut(WatchEvent)) -> Result<u64, DecodeError> {
    let mut reader = Reader { rest: body };
    let mut revision = None;
    let mut fields = reader.begin_map()?;
    while reader.has_next(&mut fields) {
        match reader.item::<String>()?.as_str() {
            REVISION => revision = Some(reader.item()?),
            EVENTS => {
                let mut events = reader.begin_list()?;
                while reader.has_next(&mut events) {
                    on_event(reader.item()?);
                }
            }
            _ => _ = reader.item::<IgnoredAny>()?,
        }
    }
    if !reader.rest.is_empty() {
        return Err(DecodeError("trailing bytes after the item".into()));
    }
    revision.ok_or_else(|| DecodeError(format!("missing field `{REVISION}`")))
}

/// Reads CBOR items one after the other.
struct Reader<'a> {
    rest: &'a [u8],
}

/// The number of items that are left in a list or map; `None` if a break ends it.
type ItemsLeft = Option<usize>;

impl Reader<'_> {
    /// Reads one item.
    fn item<T: DeserializeOwned>(&mut self) -> Result<T, DecodeError> {
        from_reader_with_recursion_limit(&mut self.rest, MAX_NESTING_DEPTH)
            .map_err(|error| DecodeError(error.to_string()))
    }

    /// Reads the head of an item.
    fn header(&mut self) -> Result<Header, DecodeError> {
        Decoder::from(&mut self.rest).pull().map_err(|error| DecodeError(format!("{error:?}")))
    }

    /// Reads the beginning of a map.
    fn begin_map(&mut self) -> Result<ItemsLeft, DecodeError> {
        match self.header()? {
            Header::Map(length) => Ok(length),
            header => Err(DecodeError(format!("expected a map, found {header:?}"))),
        }
    }

    /// Reads the beginning of a list.
    fn begin_list(&mut self) -> Result<ItemsLeft, DecodeError> {
        match self.header()? {
            Header::Array(length) => Ok(length),
            header => Err(DecodeError(format!("expected a list, found {header:?}"))),
        }
    }

    /// Whether another item follows in a list or map; if so, it counts as read.
    fn has_next(&mut self, left: &mut ItemsLeft) -> bool {
        match left {
            Some(left) => {
                let has_next = *left > 0;
                *left = left.saturating_sub(1);
                has_next
            }
            None => {
                let is_over = self.rest.first() == Some(&BREAK);
                if is_over {
                    self.rest = &self.rest[1..];
                }
                !is_over
            }
        }
    }
}

#[cfg(test)]
mod tests;
