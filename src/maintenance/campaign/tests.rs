//! Tests of the steps of a maintenance campaign.

use super::*;

fn permit(machine: &str, index: u32) -> DisruptionPermit {
    DisruptionPermit { job: "run-1".into(), index, attempt: 1, machine: machine.into() }
}

fn machine(name: &str, replicas: std::ops::Range<u32>) -> Candidate {
    let replicas = replicas.map(|i| (permit(name, i), "t".to_string())).collect();
    Candidate { name: name.into(), replicas, heard: true, ..Candidate::default() }
}

fn step(rec: &MaintenanceRecord, remaining: &[Candidate], wanted: u32, away: u32, budget: DisruptionBudget) -> Step {
    let teams = BTreeMap::from([("t".to_string(), TeamReplicas { wanted, away })]);
    let limits = StepLimits { wave_machines: 10, new_permits: 10, permits: 100 };
    next_step(rec, &Campaign::default(), remaining, &teams, |_| budget, limits)
}

#[test]
fn waves_grow_and_start_with_the_machines_that_have_the_fewest_replicas() {
    let mut left = vec![machine("a", 0..3), machine("b", 3..4), machine("c", 4..4), machine("d", 5..7)];
    left[2].heard = false;
    let two = DisruptionBudget { max_away: 2, max_away_share: 0.0 };
    assert_eq!(step(&MaintenanceRecord::default(), &left, 7, 0, two).wave, ["b"]);
    let rec = MaintenanceRecord { finished_waves: 1, ..MaintenanceRecord::default() };
    assert_eq!(step(&rec, &left, 7, 0, two).wave, ["b", "d"]);
    left.iter_mut().for_each(|candidate| candidate.has_gang = true);
    assert_eq!(step(&rec, &left, 7, 0, two).wait, Some(WaitReason::NoDrainableMachine(4)));
    assert!(step(&rec, &[], 7, 0, two).finished);
}

/// At most two permits are issued at a time, however many replicas are in the wave; none
/// while failures use up the budget, and none twice.
#[test]
fn permits_stay_within_the_remaining_budget() {
    let left = [machine("a", 0..3), machine("b", 3..5)];
    let rec = MaintenanceRecord { wave: vec!["a".into(), "b".into()], ..MaintenanceRecord::default() };
    let two = DisruptionBudget { max_away: 2, max_away_share: 0.0 };
    let s = step(&rec, &left, 9, 0, two);
    assert_eq!(s.permits, [permit("a", 0), permit("a", 1)]);
    assert_eq!(s.wait, Some(WaitReason::BudgetUsedUp("t".into())));
    assert_eq!(step(&rec, &left, 9, 1, two).permits, [permit("a", 0)]);
    assert_eq!(step(&rec, &left, 9, 2, two).permits, []);
    let rec = MaintenanceRecord { permits: vec![permit("a", 0)], ..rec };
    assert_eq!(step(&rec, &left, 9, 1, two).permits, [permit("a", 1)]);
    let none = DisruptionBudget { max_away: 0, max_away_share: 0.01 };
    assert_eq!(step(&rec, &left, 9, 0, none).wait, Some(WaitReason::BudgetForbids("t".into())));
}

/// The next wave waits until the replicas of the last one run, and while failures alone
/// use up a budget.
#[test]
fn no_wave_begins_before_the_replicas_of_the_last_one_run() {
    let left = [machine("a", 0..3)];
    let one = DisruptionBudget::default();
    let rec = MaintenanceRecord { permits: vec![permit("z", 8)], ..MaintenanceRecord::default() };
    assert_eq!(step(&rec, &left, 9, 1, one).wait, Some(WaitReason::ReplicasStarting(1)));
    let s = step(&MaintenanceRecord::default(), &left, 9, 4, one);
    assert_eq!((s.wave.len(), s.wait), (0, Some(WaitReason::BudgetUsedUp("t".into()))));
}

/// Guards against a campaign that never begins or never goes on, because its record exceeds the
/// store's limit on values: the operator's waves and budgets may be of any size.
#[test]
fn a_large_wave_of_a_campaign_fits_its_record() {
    let value_bytes = 8 * 1024;
    let name = |n: u32| format!("host-{n:06}");
    let job = "run-123456789012345678";
    let permit = |n: u32| DisruptionPermit { job: job.into(), index: n, attempt: 9_999_999_999, machine: name(n) };
    let candidate = |n| Candidate { replicas: vec![(permit(n), "t".into())], ..machine(&name(n), 0..0) };
    let remaining: Vec<Candidate> = (90_000..91_000).map(candidate).collect();
    let campaign = Campaign { first_wave_size: 1_000, max_wave_size: 1_000, ..Campaign::default() };
    let teams = BTreeMap::from([("t".to_string(), TeamReplicas { wanted: 1_000, away: 0 })]);
    let budget = DisruptionBudget { max_away: 1_000, max_away_share: 0.0 };
    let limits = StepLimits::for_record(value_bytes, name(0).len(), 1_000);
    let next = |rec: &MaintenanceRecord| next_step(rec, &campaign, &remaining, &teams, |_| budget, limits);
    let mut rec = MaintenanceRecord { name: "replace-all".into(), ..MaintenanceRecord::default() };
    rec.wave = next(&rec).wave;
    rec.permits = next(&rec).permits;
    assert!(rec.wave.len() > 200 && rec.permits.len() > 10, "{} and {}", rec.wave.len(), rec.permits.len());
    assert_eq!(next(&rec).permits, []);
    let bytes = serde_json::to_vec(&rec).unwrap().len();
    assert!(bytes <= value_bytes, "{bytes} bytes");
}
