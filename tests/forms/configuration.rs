//! The settings file that the platform hands over. Every field is read from its key.

use finchquay::config::Settings;
use std::path::Path;

/// A settings file with all fields.
const SETTINGS_FILE: &str = include_str!("fixtures/settings.toml");

/// Parses the text of a settings file, or returns the error message.
fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(text, Path::new("settings.toml")).map_err(|e| e.to_string())
}

/// Returns the settings in the fixture.
fn settings() -> Settings {
    parse(SETTINGS_FILE).unwrap()
}

#[test]
fn addresses_and_names_are_read() {
    let settings = settings();
    assert_eq!(settings.member, "perch-0");
    assert_eq!(settings.zone, "zone-a");
    assert_eq!(settings.public_addr.to_string(), "10.0.0.1:8080");
    assert_eq!(settings.peer_bind.to_string(), "10.0.0.1:8081");
    assert_eq!(settings.external.cloud.to_string(), "10.2.0.2:8443");
    assert_eq!(settings.external.state.to_string(), "10.2.0.1:2379");
    let others = settings.peers.iter().map(|o| (o.member.as_str(), o.zone.as_str(), o.peer_addr.to_string()));
    let expected = [("perch-1", "zone-b", "10.0.0.2:8081".into()), ("perch-2", "zone-c", "10.0.0.3:8081".into())];
    assert_eq!(others.collect::<Vec<_>>(), expected);
    assert_eq!(settings.deployment.zones, ["zone-a", "zone-b", "zone-c"]);
}

#[test]
fn teams_are_read() {
    let teams = settings().deployment.teams;
    let values: Vec<_> = teams.iter().map(|t| (t.name.as_str(), t.cpus, t.cpus_max, t.gpus, t.gpus_max)).collect();
    assert_eq!(values, [("search", 100.0, 200.0, 4.0, 8.0), ("open", 0.0, 0.0, 0.0, 0.0)]);
}

#[test]
fn objectives_are_read() {
    let objectives = settings().deployment.objectives;
    let values: Vec<_> = objectives
        .iter()
        .map(|o| (o.kind.as_str(), o.class.as_deref(), o.within_s, o.share, o.deadline_factor))
        .collect();
    let expected = [("start", Some("nightly"), Some(30.0), Some(0.95), Some(3.0)), ("cost", None, None, None, None)];
    assert_eq!(values, expected);
}

#[test]
fn limits_are_read() {
    let params = settings().deployment;
    let workers = params.workers;
    assert_eq!((workers.heartbeat_interval_s, workers.lease_s), (2.0, 18.0));
    assert_eq!((workers.gang_wait_s, workers.gang_peer_s, workers.cancel_s), (40.0, 4.0, 48.0));
    let state = params.state;
    assert_eq!((state.rps, state.write_rps, state.value_kb, state.txn_ops), (200.0, 80.0, 8.0, 32));
    assert_eq!((params.cloud.rps, params.cloud.list_lag_s), (3.0, 7.5));
    let machine = params.machine_limits;
    assert_eq!((machine.core_share, machine.ram_mb, machine.max_connections), (0.08, 56.0, 800));
}

/// Fields other than lists are required, and the error for an absent one names it.
#[test]
fn required_fields_are_named_when_absent() {
    for field in [
        "member",
        "zone",
        "public_addr",
        "peer_bind",
        "cloud",
        "state",
        "zones",
        "report_s",
        "lease_s",
        "gang_wait_s",
        "gang_peer_s",
        "cancel_s",
        "write_rps",
        "value_kb",
        "txn_ops",
        "list_lag_s",
        "core_share",
        "ram_mb",
        "max_connections",
    ] {
        let key = format!("{field} =");
        let mut found = false;
        let lines = SETTINGS_FILE.lines().filter(|line| {
            let first = !found && line.starts_with(&key);
            found |= first;
            !first
        });
        let text = lines.collect::<Vec<_>>().join("\n");
        assert!(found, "{field}");
        let error = parse(&text).expect_err(field);
        assert!(error.contains(&format!("missing field `{field}`")), "{field}: {error}");
    }
}

#[test]
fn lists_may_be_left_out() {
    let start = SETTINGS_FILE.find("[[settings.teams]]").unwrap();
    let end = SETTINGS_FILE.find("[settings.workers]").unwrap();
    let others = SETTINGS_FILE.find("[[others]]").unwrap()..SETTINGS_FILE.find("[outside]").unwrap();
    let text =
        format!("{}{}{}", &SETTINGS_FILE[..others.start], &SETTINGS_FILE[others.end..start], &SETTINGS_FILE[end..]);
    let settings = parse(&text).unwrap();
    assert_eq!(
        (settings.peers.len(), settings.deployment.teams.len(), settings.deployment.objectives.len()),
        (0, 0, 0)
    );
}
