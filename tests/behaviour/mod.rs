//! The behaviour of the controllers, pinned: each scenario is played as its own test
//! plays it, and everything that the controllers emit is compared, byte by byte and
//! nanosecond by nanosecond, with what they emitted when `digests.txt` was written. A
//! change that keeps behaviour keeps these digests.

use crate::meetings::drawn;
use crate::world::digest::{CHECKPOINT, Recording, record};
use crate::{connectivity, known, log, maintenance, reconciliation, restarts};
use std::fmt::Write;

/// One line per world: scenario, seed, number of actions, digest, and the digests at
/// the checkpoints with commas between them.
const PINNED: &str = include_str!("../world/digests.txt");

/// Plays a scenario and compares all its worlds with the pinned ones.
fn check(scenario: &str, play: impl FnOnce()) {
    let expected = pinned(scenario);
    let actual = record(play);
    let mut differences = String::new();
    if expected.len() != actual.len() {
        writeln!(differences, "{} worlds are pinned, {} were played", expected.len(), actual.len()).unwrap();
    }
    for (nth, (expected, actual)) in expected.iter().zip(&actual).enumerate() {
        if expected != actual {
            let (seed, from) = (expected.seed, first_difference(expected, actual));
            writeln!(differences, "world {nth}, seed {seed}: differs {from}").unwrap();
        }
    }
    let played: String = actual.iter().map(|recording| line(scenario, recording)).collect();
    assert!(differences.is_empty(), "{scenario} behaves differently:\n{differences}played:\n{played}");
}

/// The pinned recordings of a scenario, in the order in which it plays them.
fn pinned(scenario: &str) -> Vec<Recording> {
    let lines = PINNED.lines().map(|line| line.split(' ').collect::<Vec<_>>());
    lines.filter(|fields| fields[0] == scenario).map(|fields| parse(&fields)).collect()
}

fn parse(fields: &[&str]) -> Recording {
    let [_, seed, actions, digest, checkpoints] = fields else { panic!("a pinned line has five fields: {fields:?}") };
    Recording {
        seed: seed.parse().unwrap(),
        actions: actions.parse().unwrap(),
        digest: digest.to_string(),
        checkpoints: checkpoints.split(',').filter(|part| !part.is_empty()).map(String::from).collect(),
    }
}

/// The line of `digests.txt` for one world.
fn line(scenario: &str, recording: &Recording) -> String {
    let Recording { seed, actions, digest, checkpoints } = recording;
    format!("{scenario} {seed} {actions} {digest} {}\n", checkpoints.join(","))
}

/// The simulated time within which two recordings begin to differ.
fn first_difference(expected: &Recording, actual: &Recording) -> String {
    let pairs = expected.checkpoints.iter().zip(&actual.checkpoints);
    let same = pairs.take_while(|(expected, actual)| expected == actual).count() as u32;
    format!("between {:?} and {:?}", CHECKPOINT * same, CHECKPOINT * (same + 1))
}

#[test]
fn quiet_day() {
    check("quiet_day", crate::a_quiet_day_runs_arrays_and_services_and_cancels);
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
    check("refused_controller", crate::a_refused_controller_yields);
}

#[test]
fn pushes_held_back() {
    check("pushes_held_back", crate::pushes_held_back_by_a_cut_start_nothing_twice);
}

#[test]
fn proof_not_stored() {
    check("proof_not_stored", crate::a_proof_that_is_not_stored_yet_is_not_forgotten);
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
    check("machines_under_notice", crate::machines_under_notice_are_left_in_order);
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
