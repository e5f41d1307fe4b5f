//! Golden tests of the controllers' behaviour. Each test runs a scenario in the same way as the
//! test that it comes from, and compares everything that the controllers emit, byte by byte and
//! nanosecond by nanosecond, with what they emitted when `digests.txt` was written. A change
//! that keeps the behaviour keeps the digests. Each test has the name of its scenario in
//! `digests.txt`.

use crate::meetings::drawn;
use crate::world::digest::{CHECKPOINT, Recording, record};
use crate::{connectivity, known, log, maintenance, reconciliation, restarts};
use std::fmt::Write;

/// The expected recordings. Each line describes one world: the scenario, the seed, the number of
/// actions, the digest, and the digests at the checkpoints, separated by commas.
const PINNED: &str = include_str!("../world/digests.txt");

/// Runs a scenario, and compares the recordings of all its worlds with the pinned ones.
fn check(scenario: &str, run: impl FnOnce()) {
    let expected = pinned(scenario);
    let actual = record(run);
    let mut differences = String::new();
    if expected.len() != actual.len() {
        writeln!(differences, "{} worlds are pinned, {} were run", expected.len(), actual.len()).unwrap();
    }
    for (nth, (expected, actual)) in expected.iter().zip(&actual).enumerate() {
        if expected != actual {
            let (seed, interval) = (expected.seed, first_difference(expected, actual));
            writeln!(differences, "world {nth}, seed {seed}: differs {interval}").unwrap();
        }
    }
    let recorded: String = actual.iter().map(|recording| line(scenario, recording)).collect();
    assert!(differences.is_empty(), "{scenario} behaves differently:\n{differences}recorded:\n{recorded}");
}

/// Returns the pinned recordings of a scenario, in the order in which its worlds run.
fn pinned(scenario: &str) -> Vec<Recording> {
    let lines = PINNED.lines().map(|line| line.split(' ').collect::<Vec<_>>());
    lines.filter(|fields| fields[0] == scenario).map(|fields| parse(&fields)).collect()
}

/// Parses the fields of a line.
fn parse(fields: &[&str]) -> Recording {
    let [_, seed, actions, digest, checkpoints] = fields else { panic!("a pinned line has five fields: {fields:?}") };
    Recording {
        seed: seed.parse().unwrap(),
        actions: actions.parse().unwrap(),
        digest: digest.to_string(),
        checkpoints: checkpoints.split(',').filter(|part| !part.is_empty()).map(String::from).collect(),
    }
}

/// Formats the recording of one world as a line of `digests.txt`.
fn line(scenario: &str, recording: &Recording) -> String {
    let Recording { seed, actions, digest, checkpoints } = recording;
    format!("{scenario} {seed} {actions} {digest} {}\n", checkpoints.join(","))
}

/// Describes the interval of simulated time in which two recordings begin to differ.
fn first_difference(expected: &Recording, actual: &Recording) -> String {
    let pairs = expected.checkpoints.iter().zip(&actual.checkpoints);
    let same = pairs.take_while(|(expected, actual)| expected == actual).count() as u32;
    format!("between {:?} and {:?}", CHECKPOINT * same, CHECKPOINT * (same + 1))
}

#[test]
fn quiet_day() {
    check("quiet_day", crate::arrays_services_and_cancellations_work_without_faults);
}

#[test]
fn one_restart() {
    check("one_restart", crate::one_controller_restarts);
}

#[test]
fn restarts_in_turn() {
    check("restarts_in_turn", crate::each_controller_restarts_in_turn);
}

#[test]
fn store_outage() {
    check("store_outage", crate::a_store_outage_stops_nothing_that_runs);
}

#[test]
fn refused_controller() {
    check("refused_controller", crate::a_controller_that_the_store_refuses_loses_its_machines);
}

#[test]
fn pushes_held_back() {
    check("pushes_held_back", crate::commands_held_back_by_a_cut_start_no_task_twice);
}

#[test]
fn proof_not_stored() {
    check("proof_not_stored", crate::tasks_proved_gone_before_a_delayed_write_start_elsewhere);
}

#[test]
fn team_limit() {
    check("team_limit", crate::a_team_never_exceeds_its_limit);
}

#[test]
fn random_failures() {
    check("random_failures", crate::rules_hold_under_random_failures);
}

#[test]
fn machines_under_notice() {
    check("machines_under_notice", crate::tasks_leave_machines_that_are_to_be_preempted_in_order);
}

#[test]
fn gangs_and_zones() {
    check("gangs_and_zones", || (0..2).for_each(crate::gangs_and_zones));
}

#[test]
fn pairs_and_triples_of_troubles() {
    check("pairs_and_triples_of_troubles", || (1..3).for_each(drawn::troubles));
}

#[test]
fn any_failures() {
    check("any_failures", || (0..2).for_each(known::any_failures));
}

#[test]
fn ends_in_elections() {
    check("ends_in_elections", || (0..2).for_each(known::ends_in_elections));
}

#[test]
fn ends_in_exchanges() {
    check("ends_in_exchanges", || {
        (0..2).for_each(|seed| {
            restarts::ends_in_exchanges(seed);
        })
    });
}

#[test]
fn late_writes() {
    check("late_writes", || (0..2).for_each(restarts::late_writes));
}

#[test]
fn random_cuts() {
    check("random_cuts", || connectivity::random_cuts(0));
}

#[test]
fn starts_with_faults() {
    check("starts_with_faults", || {
        (0..2).for_each(|seed| {
            reconciliation::start_with_faults(seed);
        })
    });
}

#[test]
fn failures_during_replacement() {
    check("failures_during_replacement", || maintenance::failures_during_replacement(0));
}

#[test]
fn failures_and_budget() {
    check("failures_and_budget", || maintenance::failures_and_budget(0));
}

#[test]
fn batches_in_doubt() {
    check("batches_in_doubt", || log::batches_in_doubt(0));
}
