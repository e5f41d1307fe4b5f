//! Refusal of invalid settings of the platform and of the operator.

use super::*;

const GOOD: &str = r#"
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

fn refused(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "{from}");
    let text = GOOD.replace(from, to);
    Settings::parse(&text, Path::new("f.toml")).expect_err("must be refused").to_string()
}

/// A controller that starts with impossible settings breaks its rules later.
#[test]
fn impossible_settings_are_refused_in_one_line() {
    assert!(Settings::parse(GOOD, Path::new("f.toml")).is_ok());
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
        let line = refused(from, to);
        assert!(line.contains(field) && line.starts_with("f.toml") && !line.contains('\n'), "{line}");
    }
}

/// A value that would break a campaign or a budget is refused by name.
#[test]
fn operator_files_are_validated_too() {
    let read = |t: &str| hcl::from_str::<Operator>(t).map_err(|e| e.to_string());
    assert_eq!(read("window = 100").unwrap().window, 100);
    assert!(read("windows = 100").unwrap_err().contains("windows"));
    let plan = "budget \"t\" { away = 2 }\ncampaign \"b\" { build = \"std\" }\ncampaign \"a\" { spot = true }";
    let plan = read(plan).unwrap();
    assert_eq!((plan.budget["t"].max_away, plan.campaign.len(), plan.campaign["b"].max_wave_size), (2, 2, 8));
    let refused = |t: &str| read(t).unwrap().validate(Path::new("o.hcl")).unwrap_err().to_string();
    assert!(refused("budget \"t\" { share = 1.5 }").contains("o.hcl: budget.t.share"));
    assert!(refused("campaign \"a\" { first = 9 }").contains("o.hcl: campaign.a"));
    assert!(read("campaign \"a\" { zone = \"x\" }").unwrap_err().contains("zone"));
    let bad = read("step_mb = -1").unwrap().validate(Path::new("o.hcl")).unwrap_err();
    assert!(bad.to_string().contains("o.hcl: step_mb"));
}
