//! The service file, from which the platform learns how to build and start the program.

use std::collections::BTreeMap;

#[test]
fn the_service_file_has_build_run_and_production_keys() {
    let text = include_str!("../../deploy/service.toml");
    let service: BTreeMap<String, String> = toml::from_str(text).unwrap();
    let keys: Vec<&str> = service.keys().map(String::as_str).collect();
    assert_eq!(keys, ["build", "production", "run"]);
    assert_eq!(service["build"], "cargo build --release --locked");
    assert_eq!(service["run"], "target/release/finchquay --config");
    let commit = &service["production"];
    let is_hex_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    assert!(commit.len() == 40 && commit.bytes().all(is_hex_digit), "{commit}");
}
