//! Tests that invalid settings of the platform and of the operator are refused.

use super::*;

/// A valid file of the platform.
const VALID: &str = r#"
member = "perch-0"
zone = "z"
public_addr = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
unknown = 7
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
zones = ["z"]
[settings.workers]
report_s = 2.0
lease_s = 18.0
gang_wait_s = 40.0
gang_peer_s = 4.0
cancel_s = 48.0
[settings.state]
rps = 200.0
write_rps = 80.0
value_kb = 8.0
txn_ops = 32
[settings.cloud]
rps = 3.0
list_lag_s = 8.0
[settings.machine_limits]
core_share = 0.08
ram_mb = 56.0
max_connections = 800
"#;

/// The error for the valid file with one text replaced.
fn refusal(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from}");
    let text = VALID.replace(from, to);
    Settings::parse(&text, Path::new("f.toml")).expect_err("must be refused").to_string()
}

/// A controller that started with invalid settings would break its guarantees later.
#[test]
fn invalid_settings_are_refused_with_a_one_line_error() {
    assert!(Settings::parse(VALID, Path::new("f.toml")).is_ok());
    for (from, to, field) in [
        ("report_s = 2.0", "", "report_s"),
        ("report_s = 2.0", "report_s = 0.0", "settings.workers.report_s"),
        ("cancel_s = 48.0", "cancel_s = 18.0", "settings.workers.cancel_s"),
        ("cancel_s = 48.0", "cancel_s = 20.0", "settings.workers.cancel_s"),
        (
            "zones = [\"z\"]",
            "zones = [\"z\"]\nteams = [{ name = \"t\", gpus = 9.0, gpus_max = 8.0 }]",
            "settings.teams.t",
        ),
        ("10.2.0.1:2379", "store", "state"),
        ("zones = [\"z\"]", "zones = []", "settings.zones"),
        ("rps = 3.0", "rps = nan", "settings.cloud.rps"),
        ("member = \"perch-0\"", "member = \"\"", "member"),
    ] {
        let line = refusal(from, to);
        assert!(line.contains(field) && line.starts_with("f.toml") && !line.contains('\n'), "{line}");
    }
}

/// An invalid value in an operator's file is refused with an error that names the field.
#[test]
fn invalid_operator_settings_are_refused() {
    let parse = |text: &str| hcl::from_str::<Operator>(text).map_err(|e| e.to_string());
    assert_eq!(parse("window = 100").unwrap().window, 100);
    assert!(parse("windows = 100").unwrap_err().contains("windows"));
    let text = "budget \"t\" { away = 2 }\ncampaign \"b\" { build = \"std\" }\ncampaign \"a\" { spot = true }";
    let operator = parse(text).unwrap();
    assert_eq!(
        (operator.budget["t"].max_away, operator.campaign.len(), operator.campaign["b"].max_wave_size),
        (2, 2, 8)
    );
    let refusal = |text: &str| parse(text).unwrap().validate(Path::new("o.hcl")).unwrap_err().to_string();
    assert!(refusal("budget \"t\" { share = 1.5 }").contains("o.hcl: budget.t.share"));
    assert!(refusal("campaign \"a\" { first = 9 }").contains("o.hcl: campaign.a"));
    assert!(parse("campaign \"a\" { zone = \"x\" }").unwrap_err().contains("zone"));
    let error = parse("step_mb = -1").unwrap().validate(Path::new("o.hcl")).unwrap_err();
    assert!(error.to_string().contains("o.hcl: step_mb"));
}
