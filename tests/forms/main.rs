//! Golden tests of stored records, keys, configuration files and request paths. A
//! controller of a later version reads what an earlier one stored, and operators keep
//! their files: a renamed type or field must not change either.

#[path = "../../crates/protocol/tests/forms/fixture.rs"]
mod fixture;

mod configuration;
mod http_heads;
mod log_segments;
mod operator_file;
mod service_file;
mod stored_keys;
mod stored_records;
