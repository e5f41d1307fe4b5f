//! Machines are emptied in waves while services run on them, with failures in between:
//! no team misses more replicas on purpose than its budget leaves, and campaigns end.

use crate::reconciliation::seeds;
use crate::world::helpers::{random_failures, running};
use crate::world::{SMALL, Size, World, array, s, service};
use finchquay::config::Operator;
use finchquay::maintenance::budget::DisruptionBudget;
use finchquay::maintenance::campaign::Campaign;
use rand::RngExt;

const REPLICAS: usize = 60;
const AWAY: usize = 2;

fn operator(away: u32) -> Operator {
    let mut o = Operator::default();
    o.budget.insert("free".into(), DisruptionBudget { max_away: away, max_away_share: 0.0 });
    let campaign = Campaign { zone: Some("a".into()), max_wave_size: 4, ..Campaign::default() };
    o.campaign.insert("hall-a".into(), campaign);
    o
}

/// Twenty machines in two zones with sixty replicas; the file gets the campaign at 30 s.
fn fleet(seed: u64, away: u32) -> World {
    let size = Size { controllers: 3, machines: 20, write_rps: 60.0, zones: &["a", "b"], ..SMALL };
    let mut w = World::sized(seed, size);
    w.cloud.most = 40;
    w.faults.restart_s = 0.05;
    w.submit("run-009", service(REPLICAS as u32));
    w.run_until(30.0);
    assert_eq!(running(&w, "run-009"), REPLICAS);
    w.reload_operator_settings(operator(away));
    w
}

fn kills(w: &World) -> usize {
    w.workers.values().map(|x| x.kills.len()).sum()
}

/// Machines that were there at the start and belong to the zone.
fn old(w: &World) -> usize {
    w.workers.values().filter(|x| x.zone == "a" && x.name.as_str() < "host-000020").count()
}

/// Plays on in small steps; whenever a replica is stopped, no more than the budget may
/// be away by then, failures included.
fn watch(w: &mut World, until_s: f64, allowed: usize) -> usize {
    let mut least = REPLICAS;
    while w.now < s(until_s) {
        let (before, then) = (kills(w), running(w, "run-009"));
        let t = w.now.as_secs_f64() + 0.1;
        w.run_until(t);
        let stopped = kills(w).saturating_sub(before);
        let runs = running(w, "run-009");
        assert!(
            stopped == 0 || then + allowed >= REPLICAS + stopped.min(then.saturating_sub(runs)),
            "seed {}, {t:.1} s: {stopped} stopped, {then} ran before",
            w.seed
        );
        least = least.min(runs);
    }
    least
}

/// Plays until then: never fewer ran than the budget leaves, and all machines of the
/// zone are gone with every replica running.
fn is_replaced(w: &mut World, until_s: f64) {
    let least = watch(w, until_s, AWAY);
    assert!(least >= REPLICAS - AWAY, "seed {}: only {least} ran", w.seed);
    assert_eq!((old(w), running(w, "run-009")), (0, REPLICAS), "seed {}", w.seed);
}

/// A rolling replacement of a zone never has more replicas away than the disruption budget.
#[test]
fn a_zone_is_replaced_within_the_budget() {
    let mut w = fleet(8000, AWAY as u32);
    assert_eq!(old(&w), 10);
    is_replaced(&mut w, 330.0);
}

/// All controllers end and are back at once, again and again, between permit, kill and
/// proof: permits are in the store, so none is spent twice, and the campaign ends.
#[test]
fn restarts_in_the_middle_spend_nothing_twice() {
    for seed in 0..seeds(3) {
        let mut w = fleet(8100 + seed, AWAY as u32);
        for n in 0..12 {
            let at = 36.0 + 11.0 * f64::from(n) + w.rng.random_range(0.0..8.0);
            w.later(at, |w| (0..3).for_each(|i| w.crash(i)));
        }
        is_replaced(&mut w, 420.0);
    }
}

/// Machines fall silent while others are emptied: what that costs counts first, and
/// nothing is stopped on purpose until it runs again.
#[test]
fn failures_use_up_the_budget_first() {
    for seed in 0..seeds(4) {
        failures_and_budget(seed);
    }
}

/// One world of this kind, to its end.
pub fn failures_and_budget(seed: u64) {
    let mut w = fleet(8200 + seed, AWAY as u32);
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
    watch(&mut w, 500.0, AWAY + 8);
    assert_eq!((old(&w), running(&w, "run-009")), (0, REPLICAS), "seed {seed}");
    assert!(w.jobs["run-001"].confirmed_done, "seed {seed}");
}

/// The campaign is taken out of the file in the middle: machines that are half empty
/// take work again, and none goes any more.
#[test]
fn a_campaign_that_is_cancelled_leaves_no_machine_drained() {
    let mut w = fleet(8300, 1);
    let mut slow = w.operator.clone();
    slow.campaign.get_mut("hall-a").unwrap().max_wave_size = 1;
    w.reload_operator_settings(slow);
    while old(&w) > 7 && w.now < s(60.0) {
        let t = w.now.as_secs_f64() + 0.5;
        watch(&mut w, t, 1);
    }
    assert!((3..8).contains(&old(&w)), "it did not begin, or was over too soon to tell");
    w.reload_operator_settings(Operator::default());
    w.run_until(60.0);
    let left = old(&w);
    let stopped = kills(&w);
    w.submit("run-109", service(40));
    w.run_until(95.0);
    assert_eq!((old(&w), kills(&w)), (left, stopped));
    assert_eq!(running(&w, "run-009") + running(&w, "run-109"), REPLICAS + 40);
}

/// A second campaign with an earlier name comes into the file: it waits for the first,
/// which is not ended half-way, and then runs itself.
#[test]
fn campaigns_run_one_after_the_other() {
    let mut w = fleet(8600, AWAY as u32);
    watch(&mut w, 34.0, AWAY);
    let mut both = w.operator.clone();
    both.campaign.insert("first-by-name".into(), Campaign { zone: Some("b".into()), ..Campaign::default() });
    assert!("first-by-name" < "hall-a");
    w.reload_operator_settings(both);
    let of_b = |w: &World| w.workers.values().filter(|x| x.zone == "b" && x.name.as_str() < "host-000020").count();
    let mut b_while_a = of_b(&w);
    while old(&w) > 0 && w.now < s(400.0) {
        let t = w.now.as_secs_f64() + 1.0;
        watch(&mut w, t, AWAY);
        b_while_a = of_b(&w);
    }
    assert_eq!(old(&w), 0, "the first is over");
    assert!(b_while_a > 2, "the second did not wait");
    let least = watch(&mut w, 700.0, AWAY);
    assert_eq!((of_b(&w), running(&w, "run-009")), (0, REPLICAS));
    assert!(least >= REPLICAS - AWAY, "only {least} ran");
}

/// A team that agreed to miss nothing is never stopped on purpose.
#[test]
fn a_budget_of_nothing_is_kept() {
    let mut w = fleet(8400, 0);
    let least = watch(&mut w, 150.0, 0);
    assert_eq!((least, kills(&w)), (REPLICAS, 0));
    assert!(old(&w) > 0);
}

/// A campaign over everything, with a team that has a limit, beside all other failures
/// and restarts from 10 ms up: rules hold at every step, and nothing is left undone.
#[test]
fn rules_hold_while_machines_are_replaced() {
    for seed in 0..seeds(6) {
        failures_during_replacement(seed);
    }
}

/// One world of this kind, to its end.
pub fn failures_during_replacement(seed: u64) {
    let size = Size { controllers: 5, machines: 24, write_rps: 40.0, zones: &["a", "b"], ..SMALL };
    let mut w = World::sized(8500 + seed, size);
    w.cloud.most = 36;
    w.faults.restart_range_s = Some((0.01, 1.0));
    w.faults.crashes_in_exchanges_until = s(60.0);
    let all = Campaign { first_wave_size: 2, max_wave_size: 6, ..Campaign::default() };
    let mut o = Operator::default();
    o.campaign.insert("all".into(), all);
    o.budget.insert("capped".into(), DisruptionBudget { max_away: 1, max_away_share: 0.1 });
    w.reload_operator_settings(o);
    random_failures(w, 24, 12, 300.0);
}
