//! Golden tests of stored records, store keys, configuration files and HTTP heads. Controllers of
//! a later version read what an earlier one stored, and operators keep their files, so renaming a
//! type or field must not change these formats.

#[path = "../../crates/protocol/tests/forms/fixture.rs"]
mod fixture;

mod configuration;
mod http_heads;
mod log_segments;
mod operator_file;
mod service_file;
mod stored_keys;
mod stored_records;
