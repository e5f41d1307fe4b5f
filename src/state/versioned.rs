//! Records together with the version of their key.

use ciborium::Value;
use serde::{Serialize, de::DeserializeOwned};
use std::collections::BTreeMap;

/// A record and the store's version of its key, which compare-and-swap refers to.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    pub rec: T,
    pub version: u64,
}

/// Versioned records by name.
pub type Versions<T> = BTreeMap<String, Versioned<T>>;

/// The stored form of a record.
pub fn to_value<T: Serialize>(rec: &T) -> Value {
    Value::serialized(rec).expect("records are plain data")
}

/// Reads a stored record; `None` if the value has another form.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}

/// Replaces the record if the put is newer and readable.
pub(super) fn update<T: DeserializeOwned>(current: &mut Option<Versioned<T>>, data: &Value, version: u64) {
    if current.as_ref().is_some_and(|known| known.version >= version) {
        return;
    }
    if let Some(rec) = from_value(data) {
        *current = Some(Versioned { rec, version });
    }
}

/// Replaces the record of that name if the put is newer and readable.
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
