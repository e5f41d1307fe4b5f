//! Tests of scenario files, distributions and random faults.

use super::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

const GOOD: &str = include_str!("../../scenarios/filing-eve.hcl");

/// Replaces text in a valid scenario; returns the error that it then gets.
fn refused(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "{from}");
    let e = Scenario::parse("s.hcl", &GOOD.replacen(from, to, 1)).expect_err(to).to_string();
    assert!(!e.contains('\n'), "{e}");
    e
}

#[test]
fn invalid_scenarios_are_refused_with_line_and_key() {
    Scenario::parse("s.hcl", GOOD).unwrap();
    for (from, to, key) in [
        ("settle_s", "setle_s", "setle_s"),
        ("duration_s = ", "duration_s = -", "duration_s"),
        ("kind = \"store_slow\"", "kind = \"store_sloww\"", "fault.late-store.kind"),
        ("late_s = ", "late_s = -", "fault.late-store.late_s"),
        ("kind = \"store_slow\"", "kind = \"store_outage\"", "fault.late-store.late_s"),
        ("team = \"preparers\"", "team = \"nobody\"", "load.return-assembly.team"),
    ] {
        let line = refused(from, to);
        let line_no: usize = line.strip_prefix("s.hcl:").and_then(|l| l.split(':').next()).unwrap().parse().unwrap();
        assert!(line.contains(&format!(" {key}: ")), "{line}");
        let last_part = key.rsplit('.').next().unwrap();
        assert!(GOOD.replacen(from, to, 1).lines().nth(line_no - 1).unwrap().contains(last_part), "{line}");
    }
}

#[test]
fn distributions_have_their_parameters() {
    let mut rng = StdRng::seed_from_u64(3);
    let lognormal = Distribution::Lognormal { median: 25.0, p95: 60.0, max: 100.0 };
    let mut x: Vec<f64> = (0..20_000).map(|_| lognormal.draw(&mut rng)).collect();
    x.sort_by(f64::total_cmp);
    assert!((x[10_000] - 25.0).abs() < 1.0 && (x[19_000] - 60.0).abs() < 3.0 && x[19_999] <= 100.0);
    let mean = (0..20_000).map(|_| Distribution::Exponential(4.0).draw(&mut rng)).sum::<f64>() / 20_000.0;
    assert!((mean - 4.0).abs() < 0.15, "{mean}");
}

/// Random faults are the same for the same seed, and valid.
#[test]
fn random_faults_follow_the_seed_and_pass_the_checks() {
    let text = GOOD.to_string()
        + "\ndraw {\n count = 40\n kinds = [\"store_outage\", \"die\", \"write_late\", \"zone_cut\", \"scarce\", \"controller_freeze\"]\n from_s = 1\n to_s = 9\n for_s = { constant = 3 }\n}\n";
    let s = Scenario::parse("s.hcl", &text).unwrap();
    let draw = |seed| format!("{:?}", s.faults(&mut StdRng::seed_from_u64(seed)));
    assert_eq!(draw(1), draw(1));
    assert_ne!(draw(1), draw(2));
    let file = File::parse(Path::new("s.hcl"), text.clone()).unwrap();
    for (name, f) in s.faults(&mut StdRng::seed_from_u64(5)) {
        s.check_fault(&file, &name, &f).unwrap();
    }
}
