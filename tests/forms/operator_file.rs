//! The operator's file. Every attribute and block is read by its name, unknown names are refused,
//! and absent attributes have their defaults.

use finchquay::config::{Operator, Settings, Team};
use std::path::{Path, PathBuf};

/// Returns the path of an operator's file with all attributes and blocks.
fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/forms/fixtures/operator.hcl")
}

/// Returns the teams in the settings of the platform.
fn teams() -> Vec<Team> {
    let platform = Settings::parse(include_str!("fixtures/settings.toml"), Path::new("settings.toml"));
    platform.unwrap().deployment.teams
}

/// Loads an operator's file with this text, or returns the error message.
fn load(text: &str) -> Result<Operator, String> {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("operator.hcl");
    std::fs::write(&file, text).unwrap();
    Operator::load(&file, &teams()).map_err(|e| e.to_string())
}

#[test]
fn attributes_are_read() {
    let operator = Operator::load(&fixture(), &teams()).unwrap();
    assert_eq!((operator.wait_limit_s, operator.window, operator.step_mb), (31.5, 501, 257.0));
    assert_eq!((operator.idle_boots, operator.late_boots), (1.25, 3.25));
    assert_eq!((operator.silent_reports, operator.spare_share), (2.75, 0.2));
}

#[test]
fn budgets_are_read() {
    let operator = Operator::load(&fixture(), &teams()).unwrap();
    let budgets: Vec<_> =
        operator.budget.iter().map(|(team, b)| (team.as_str(), b.max_away, b.max_away_share)).collect();
    assert_eq!(budgets, [("open", 1, 0.0), ("search", 2, 0.02)]);
}

#[test]
fn campaigns_are_read() {
    let operator = Operator::load(&fixture(), &teams()).unwrap();
    assert_eq!(operator.campaign.len(), 2);
    let full = &operator.campaign["2026-12-hall-a"];
    assert_eq!(
        (full.machine_type.as_deref(), full.zone.as_deref(), full.spot),
        (Some("std"), Some("zone-a"), Some(true))
    );
    assert_eq!(full.machines.as_deref(), Some(&["host-000231".to_string(), "host-000232".to_string()][..]));
    assert_eq!((full.first_wave_size, full.max_wave_size), (2, 16));
    let plain = &operator.campaign["2026-12-hall-b"];
    assert_eq!((&plain.machine_type, &plain.zone, plain.spot, &plain.machines), (&None, &None, None, &None));
    assert_eq!((plain.first_wave_size, plain.max_wave_size), (1, 8));
}

#[test]
fn absent_attributes_have_their_defaults() {
    let operator = load("").unwrap();
    assert_eq!((operator.wait_limit_s, operator.window, operator.step_mb), (30.0, 500, 256.0));
    assert_eq!((operator.idle_boots, operator.late_boots), (1.5, 3.0));
    assert_eq!((operator.silent_reports, operator.spare_share), (2.5, 0.15));
    assert!(operator.budget.is_empty() && operator.campaign.is_empty());
}

#[test]
fn unknown_names_are_refused() {
    for (text, name) in [
        ("windows = 100", "windows"),
        ("budget \"search\" { gone = 1 }", "gone"),
        ("campaign \"a\" { zone = \"zone-a\" }", "zone"),
        ("budget \"nobody\" { away = 1 }", "budget.nobody"),
    ] {
        let error = load(text).expect_err(text);
        assert!(error.contains(name), "{error}");
    }
}

#[test]
fn the_example_in_the_repository_is_accepted() {
    let text = include_str!("../../deploy/maintenance.hcl");
    assert!(load(text).is_ok());
}
