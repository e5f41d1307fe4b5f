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
    next_step(rec, &Campaign::default(), remaining, &teams, |_| budget, 10)
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
