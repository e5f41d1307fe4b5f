//! The file by which the platform builds and starts the program.

use std::collections::BTreeMap;

#[test]
fn the_service_file_names_build_run_and_production() {
    let text = include_str!("../../deploy/service.toml");
    let service: BTreeMap<String, String> = toml::from_str(text).unwrap();
    let keys: Vec<&str> = service.keys().map(String::as_str).collect();
    assert_eq!(keys, ["build", "production", "run"]);
    assert_eq!(service["build"], "cargo build --release --locked");
    assert_eq!(service["run"], "target/release/finchquay --config");
    let commit = &service["production"];
    let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    assert!(commit.len() == 40 && commit.bytes().all(is_digit), "{commit}");
}
