//! Tests of startups with absent controllers, silent machines, outages and pauses.

use super::*;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

fn heard(heard: usize, all: usize) -> HeardCount {
    HeardCount { heard, all }
}

fn observations(members: (usize, usize), fleet: (usize, usize)) -> StartupObservations {
    let shard = heard(fleet.0 / 3, fleet.1 / 3);
    StartupObservations { fresh: true, members: heard(members.0, members.1), shard, fleet: heard(fleet.0, fleet.1) }
}

/// A leader that had just started returned machines that had not had time to send a heartbeat,
/// and assigned all machines to itself before the other controllers were back.
#[test]
fn silence_is_significant_only_after_most_machines_were_heard_from() {
    let mut start = Startup::new(s(18.0), s(9.0));
    start.record_loaded(s(1.0));
    assert_eq!(start.update(s(1.1), &observations((1, 3), (0, 900))), None);
    assert!(!start.members_known() && !start.fleet_known());
    assert_eq!(start.update(s(2.0), &observations((3, 3), (700, 900))), None);
    assert!(start.members_known() && !start.fleet_known());
    assert_eq!(start.update(s(3.0), &observations((3, 3), (810, 900))), Some(Phase::Reconciling));
    assert!(start.fleet_known());
    assert_eq!(start.update(s(4.0), &observations((3, 3), (900, 900))), Some(Phase::Settled));
}

/// One controller never returns, and more than a fifth of the machines stay silent.
#[test]
fn absent_controllers_and_machines_are_not_awaited_for_ever() {
    let mut start = Startup::new(s(18.0), s(9.0));
    start.record_loaded(s(0.0));
    start.update(s(2.9), &observations((2, 3), (500, 900)));
    assert!(!start.members_known());
    start.update(s(3.0), &observations((2, 3), (600, 900)));
    assert!(start.members_known() && !start.fleet_known());
    assert_eq!(start.update(s(18.0), &observations((2, 3), (700, 900))), Some(Phase::Settled));
}

/// A fifth of the fleet hung when all controllers restarted. For a whole lease no machines were
/// rented for arrays and no queues were reassigned.
#[test]
fn machines_that_failed_before_the_startup_delay_nothing_else() {
    let mut start = Startup::new(s(36.0), s(15.5));
    start.record_loaded(s(0.0));
    start.update(s(8.0), &observations((7, 7), (800, 1000)));
    assert_eq!(start.update(s(15.0), &observations((7, 7), (804, 1000))), None, "some may still arrive");
    assert_eq!(start.update(s(15.6), &observations((7, 7), (806, 1000))), Some(Phase::Settled));
    assert!(!start.all_agents_had_time(), "no machine counts as never started");
}

/// Agents that cannot reach their controller try the others one after another, so the fleet
/// arrives late.
#[test]
fn a_fleet_that_is_still_arriving_is_awaited() {
    let mut start = Startup::new(s(36.0), s(15.5));
    start.record_loaded(s(0.0));
    for t in 1..30 {
        let heard = 25 * t as usize;
        assert_eq!(start.update(s(f64::from(t)), &observations((7, 7), (heard, 1000))), None, "{t}");
    }
    assert_eq!(start.update(s(34.0), &observations((7, 7), (730, 1000))), Some(Phase::Settled));
}

/// The store fails while machines send heartbeats. They cannot be answered, so the silence of a
/// machine is not significant.
#[test]
fn time_does_not_count_during_a_store_outage() {
    let mut start = Startup::new(s(18.0), s(9.0));
    start.record_loaded(s(0.0));
    let outage = StartupObservations { fresh: false, ..observations((3, 3), (100, 900)) };
    (1..60).for_each(|t| assert_eq!(start.update(s(f64::from(t)), &outage), None));
    assert_eq!(start.update(s(60.5), &observations((3, 3), (100, 900))), None);
    assert!(!start.fleet_known());
}

/// A cluster without machines must be able to rent some at once.
#[test]
fn an_empty_fleet_is_settled_at_once() {
    let mut start = Startup::new(s(36.0), s(15.0));
    start.record_loaded(s(0.2));
    assert_eq!(start.update(s(0.3), &observations((7, 7), (0, 0))), Some(Phase::Settled));
}

/// Heartbeats from before a long pause of the process are outdated after it.
#[test]
fn a_suspended_process_gathers_heartbeats_again() {
    let mut start = Startup::new(s(18.0), s(9.0));
    start.record_loaded(s(0.0));
    start.update(s(1.0), &observations((3, 3), (9, 9)));
    assert_eq!(start.phase(), Phase::Settled);
    start.record_pause(s(43.0));
    assert_eq!(start.phase(), Phase::Gathering);
    assert_eq!(start.update(s(44.0), &observations((3, 3), (1, 9))), None);
    assert!(!start.fleet_known());
}
