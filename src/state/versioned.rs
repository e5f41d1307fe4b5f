//! Records with the version of their key, and the application of changes to them.

#![warn(missing_docs)]

use ciborium::Value;
use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;

/// A record and the store's version of its key, which compare-and-swap conditions of
/// transactions refer to.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The record.
    pub rec: T,
    /// The revision at which the key was last written.
    pub version: u64,
}

/// Versioned records by name.
pub type Versions<T> = BTreeMap<String, Versioned<T>>;

/// The stored form of a record.
pub fn to_value<T: Serialize>(rec: &T) -> Value {
    Value::serialized(rec).expect("records are plain data")
}

/// Reads a stored record; `None` if the value is not a record of this type.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

/// Applies a put to a record, if the put is newer and its value can be read.
pub(super) fn update<T: DeserializeOwned>(current: &mut Option<Versioned<T>>, data: &Value, version: u64) {
    if current.as_ref().is_some_and(|known| known.version >= version) {
        return;
    }
    if let Some(rec) = from_value(data) {
        *current = Some(Versioned { rec, version });
    }
}

/// Applies a put to the record of that name, if the put is newer and its value can be read.
pub(super) fn update_named<T: DeserializeOwned>(records: &mut Versions<T>, name: &str, data: &Value, version: u64) {
    let mut current = records.remove(name);
    update(&mut current, data, version);
    if let Some(updated) = current {
        records.insert(name.to_string(), updated);
    }
}

/// Removes the record if the deletion is newer.
pub(super) fn remove<T>(current: &mut Option<Versioned<T>>, version: u64) {
    if current.as_ref().is_some_and(|known| known.version < version) {
        *current = None;
    }
}

/// Removes the record of that name if the deletion is newer.
pub(super) fn remove_named<T>(records: &mut Versions<T>, name: &str, version: u64) {
    if records.get(name).is_some_and(|known| known.version < version) {
        records.remove(name);
    }
}
