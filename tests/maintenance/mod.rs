//! Maintenance campaigns drain machines in waves while services run on them and failures
//! occur: no team has more replicas stopped on purpose than its disruption budget allows, and
//! campaigns end.

#![warn(missing_docs)]

use crate::reconciliation::seed_count;
use crate::world::helpers::{random_failures, running};
use crate::world::{SMALL, Size, World, array, s, service};
use finchquay::config::Operator;
use finchquay::maintenance::budget::DisruptionBudget;
use finchquay::maintenance::campaign::Campaign;
use rand::RngExt;

/// Replicas of the service.
const REPLICAS: usize = 60;
/// Replicas that may be away at a time in most tests.
const MAX_AWAY: usize = 2;

/// Operator settings with this disruption budget and a campaign over zone `a`.
fn operator(max_away: u32) -> Operator {
    let mut operator = Operator::default();
    operator.budget.insert("free".into(), DisruptionBudget { max_away, max_away_share: 0.0 });
    let campaign = Campaign { zone: Some("a".into()), max_wave_size: 4, ..Campaign::default() };
    operator.campaign.insert("hall-a".into(), campaign);
    operator
}

/// Twenty machines in two zones with sixty replicas; the campaign is configured at 30 s.
fn fleet(seed: u64, max_away: u32) -> World {
    let size = Size { controllers: 3, machines: 20, write_rps: 60.0, zones: &["a", "b"], ..SMALL };
    let mut w = World::sized(seed, size);
    w.cloud.most = 40;
    w.faults.restart_s = 0.05;
    w.submit("run-009", service(REPLICAS as u32));
    w.run_until(30.0);
    assert_eq!(running(&w, "run-009"), REPLICAS);
    w.reload_operator_settings(operator(max_away));
    w
}

/// The number of tasks that were killed on machines that are left.
fn kills(w: &World) -> usize {
    w.workers.values().map(|x| x.kills.len()).sum()
}

/// The number of original machines of zone `a` that are left.
fn original_machines(w: &World) -> usize {
    w.workers.values().filter(|x| x.zone == "a" && x.name.as_str() < "host-000020").count()
}

/// Runs until `until_s` in small steps and asserts that whenever a replica is stopped, no more
/// than `allowed` are away, failures included. Returns the least number of replicas that ran.
fn run_checking_budget(w: &mut World, until_s: f64, allowed: usize) -> usize {
    let mut least = REPLICAS;
    while w.now < s(until_s) {
        let (killed_before, ran_before) = (kills(w), running(w, "run-009"));
        let t = w.now.as_secs_f64() + 0.1;
        w.run_until(t);
        let stopped = kills(w).saturating_sub(killed_before);
        let runs_now = running(w, "run-009");
        assert!(
            stopped == 0 || ran_before + allowed >= REPLICAS + stopped.min(ran_before.saturating_sub(runs_now)),
            "seed {}, {t:.1} s: {stopped} stopped, {ran_before} ran before",
            w.seed
        );
        least = least.min(runs_now);
    }
    least
}

/// Runs until `until_s` and asserts that the budget was kept throughout, that all original
/// machines of the zone are gone, and that every replica runs.
fn assert_zone_replaced(w: &mut World, until_s: f64) {
    let least = run_checking_budget(w, until_s, MAX_AWAY);
    assert!(least >= REPLICAS - MAX_AWAY, "seed {}: only {least} ran", w.seed);
    assert_eq!((original_machines(w), running(w, "run-009")), (0, REPLICAS), "seed {}", w.seed);
}

/// A rolling replacement of a zone never has more replicas away than the disruption budget.
#[test]
fn a_zone_is_replaced_within_the_budget() {
    let mut w = fleet(8000, MAX_AWAY as u32);
    assert_eq!(original_machines(&w), 10);
    assert_zone_replaced(&mut w, 330.0);
}

/// All controllers crash and restart at once, repeatedly, between permit, kill and proof that
/// a replica is gone: permits are in the store, so none is spent twice, and the campaign ends.
#[test]
fn restarts_during_a_campaign_spend_no_permit_twice() {
    for seed in 0..seed_count(3) {
        let mut w = fleet(8100 + seed, MAX_AWAY as u32);
        for n in 0..12 {
            let at = 36.0 + 11.0 * f64::from(n) + w.rng.random_range(0.0..8.0);
            w.later(at, |w| (0..3).for_each(|i| w.crash(i)));
        }
        assert_zone_replaced(&mut w, 420.0);
    }
}

/// Machines become unreachable while others are drained: replicas lost that way count against
/// the budget first, and none is stopped on purpose until they run again.
#[test]
fn failures_use_up_the_budget_first() {
    for seed in 0..seed_count(4) {
        failures_and_budget(seed);
    }
}

/// Runs one world with unreachable machines during a campaign to its end.
pub fn failures_and_budget(seed: u64) {
    let mut w = fleet(8200 + seed, MAX_AWAY as u32);
    for n in 0..6 {
        let at = 40.0 + 20.0 * f64::from(n) + w.rng.random_range(0.0..10.0);
        let which = w.rng.random_range(0..15);
        let comes_back = n % 2 == 0;
        w.later(at, move |w| {
            let Some(name) = w.workers.keys().nth(which).cloned() else { return };
            w.cut_worker(&name, true);
            if comes_back {
                w.later(at + 9.0, move |w| w.cut_worker(&name, false));
            }
        });
    }
    w.later(60.0, |w| w.submit("run-001", array(40, 4.0)));
    run_checking_budget(&mut w, 500.0, MAX_AWAY + 8);
    assert_eq!((original_machines(&w), running(&w, "run-009")), (0, REPLICAS), "seed {seed}");
    assert!(w.jobs["run-001"].confirmed_done, "seed {seed}");
}

/// The campaign is removed from the operator settings half-way: partly drained machines
/// accept tasks again, and no further machine is removed.
#[test]
fn a_cancelled_campaign_leaves_no_machine_drained() {
    let mut w = fleet(8300, 1);
    let mut slow = w.operator.clone();
    slow.campaign.get_mut("hall-a").unwrap().max_wave_size = 1;
    w.reload_operator_settings(slow);
    while original_machines(&w) > 7 && w.now < s(60.0) {
        let t = w.now.as_secs_f64() + 0.5;
        run_checking_budget(&mut w, t, 1);
    }
    assert!((3..8).contains(&original_machines(&w)), "the campaign did not start or was over too soon");
    w.reload_operator_settings(Operator::default());
    w.run_until(60.0);
    let left = original_machines(&w);
    let stopped = kills(&w);
    w.submit("run-109", service(40));
    w.run_until(95.0);
    assert_eq!((original_machines(&w), kills(&w)), (left, stopped));
    assert_eq!(running(&w, "run-009") + running(&w, "run-109"), REPLICAS + 40);
}

/// A second campaign whose name sorts first is added to the operator settings: it waits for
/// the first campaign, which is not interrupted, and then runs.
#[test]
fn campaigns_run_one_after_the_other() {
    let mut w = fleet(8600, MAX_AWAY as u32);
    run_checking_budget(&mut w, 34.0, MAX_AWAY);
    let mut both = w.operator.clone();
    both.campaign.insert("first-by-name".into(), Campaign { zone: Some("b".into()), ..Campaign::default() });
    assert!("first-by-name" < "hall-a");
    w.reload_operator_settings(both);
    let original_in_b =
        |w: &World| w.workers.values().filter(|x| x.zone == "b" && x.name.as_str() < "host-000020").count();
    let mut left_in_b = original_in_b(&w);
    while original_machines(&w) > 0 && w.now < s(400.0) {
        let t = w.now.as_secs_f64() + 1.0;
        run_checking_budget(&mut w, t, MAX_AWAY);
        left_in_b = original_in_b(&w);
    }
    assert_eq!(original_machines(&w), 0, "the first campaign did not end");
    assert!(left_in_b > 2, "the second campaign did not wait");
    let least = run_checking_budget(&mut w, 700.0, MAX_AWAY);
    assert_eq!((original_in_b(&w), running(&w, "run-009")), (0, REPLICAS));
    assert!(least >= REPLICAS - MAX_AWAY, "only {least} ran");
}

/// No replica of a team with a disruption budget of zero is stopped on purpose.
#[test]
fn a_budget_of_zero_is_kept() {
    let mut w = fleet(8400, 0);
    let least = run_checking_budget(&mut w, 150.0, 0);
    assert_eq!((least, kills(&w)), (REPLICAS, 0));
    assert!(original_machines(&w) > 0);
}

/// A campaign over all machines, with a team that has a limit, among all other failures and
/// restarts that take 10 ms and more: the rules hold at every step, and all jobs finish.
#[test]
fn rules_hold_while_machines_are_replaced() {
    for seed in 0..seed_count(6) {
        failures_during_replacement(seed);
    }
}

/// Runs one world with random failures during a campaign to its end.
pub fn failures_during_replacement(seed: u64) {
    let size = Size { controllers: 5, machines: 24, write_rps: 40.0, zones: &["a", "b"], ..SMALL };
    let mut w = World::sized(8500 + seed, size);
    w.cloud.most = 36;
    w.faults.restart_range_s = Some((0.01, 1.0));
    w.faults.crashes_in_exchanges_until = s(60.0);
    let all = Campaign { first_wave_size: 2, max_wave_size: 6, ..Campaign::default() };
    let mut operator = Operator::default();
    operator.campaign.insert("all".into(), all);
    operator.budget.insert("capped".into(), DisruptionBudget { max_away: 1, max_away_share: 0.1 });
    w.reload_operator_settings(operator);
    random_failures(w, 24, 12, 300.0);
}
