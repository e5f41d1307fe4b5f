//! Restarts of all controllers at once with up to 200 machines: running tasks continue, and
//! the remaining differences are reconciled with few commands.

#![warn(missing_docs)]

use crate::world::helpers::{done, running, with_spare_machines};
use crate::world::{Job, LEASE_S, SMALL, Size, World, array, s, service};
use rand::RngExt;

/// Number of seeds for one kind of world: `default`, or the value of FINCHQUAY_SEEDS.
pub fn seed_count(default: u64) -> u64 {
    std::env::var("FINCHQUAY_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// A cluster of two zones whose cloud has 20 spare machines.
fn fleet(seed: u64, machines: u32) -> World {
    let size = Size { machines, write_rps: 100.0, zones: &["a", "b"], ..SMALL };
    with_spare_machines(seed, size, 20)
}

/// Crashes all controllers at `at_s`; they restart after `for_s`.
fn crash_all(w: &mut World, at_s: f64, for_s: f64) {
    w.faults.restart_s = for_s;
    w.later(at_s, |w| (0..w.nodes.len()).for_each(|i| w.crash(i)));
}

/// Guards against the return of idle machines after a restart. The leader returned machines
/// with no placements and no heartbeat yet, a third of the fleet, as if they had never come up.
#[test]
fn idle_machines_outlive_a_restart() {
    let mut w = fleet(20, 200);
    w.submit("run-009", service(100));
    crash_all(&mut w, 45.0, 8.0);
    // Machines that were idle for long are returned before and long after this, one by one.
    w.run_until(63.0);
    let after = w.cloud.returned.iter().filter(|r| r.0 > s(45.0)).count();
    assert_eq!(after, 0, "live machines were returned");
    w.run_until(110.0);
    assert_eq!(running(&w, "run-009"), 100);
}

/// Guards against machines that are granted one by one after a restart. All controllers were
/// down for longer than their leases at the store; the first one back took every machine with
/// one write each, and the others got theirs back one by one.
#[test]
fn shards_come_back_whole_after_leases_expired() {
    let mut w = fleet(21, 120);
    w.submit("run-009", service(60));
    w.run_until(30.0);
    let before = w.store.revision();
    w.faults.restart_s = 10.0;
    w.crash(0);
    w.faults.restart_s = 10.4;
    w.crash(1);
    w.faults.restart_s = 11.0;
    w.crash(2);
    w.run_until(60.0);
    assert_eq!(w.store.changes("fq/h/", before), 0, "machines were granted one by one");
    assert_eq!(w.store.changes("fq/b/", before), 3);
    assert_eq!(running(&w, "run-009"), 60);
    assert_eq!(w.workers.values().map(|x| x.kills.len()).sum::<usize>(), 0);
}

/// One controller never comes back: its machines are taken over before their leases expire.
#[test]
fn a_controller_that_stays_away_is_not_waited_for() {
    let mut w = fleet(22, 60);
    w.submit("run-009", service(50));
    w.run_until(30.0);
    w.faults.restart_s = 4.0;
    w.crash(0);
    w.crash(1);
    w.faults.restart_s = 1e6;
    w.crash(2);
    for at in 31..70 {
        w.later(f64::from(at), move |w| assert_eq!(running(w, "run-009"), 50, "{at} s"));
    }
    w.run_until(70.0);
    w.submit("run-001", array(30, 2.0));
    w.run_until(85.0);
    assert!(done(&w, "run-001"));
}

/// A task that ended while all controllers were down is not run again.
#[test]
fn results_during_an_outage_count() {
    let mut w = fleet(23, 60);
    w.submit("run-003", array(80, 8.0));
    w.submit("run-009", service(40));
    crash_all(&mut w, 7.0, 10.0);
    w.run_until(60.0);
    assert!(done(&w, "run-003"));
    let (commands, idle) = commands(&w);
    // One command to run each task and one to forget it, and no others.
    assert!(commands - idle <= 2 * 80 + 40, "{commands} commands, {idle} of them without effect");
}

/// The store is down when the controllers restart and goes down again while machines report;
/// then all controllers crash once more.
#[test]
fn repeatedly_interrupted_restarts_lose_no_task() {
    let mut w = fleet(24, 100);
    w.submit("run-009", service(90));
    w.later(30.0, |w| w.store.set_down(w.now, true));
    crash_all(&mut w, 31.0, 3.0);
    w.later(35.0, |w| w.store.set_down(w.now, false));
    w.later(36.0, |w| w.store.set_down(w.now, true));
    w.later(37.5, |w| w.store.set_down(w.now, false));
    w.later(39.0, |w| (0..3).for_each(|i| w.crash(i)));
    for at in 31..90 {
        w.later(f64::from(at), move |w| assert_eq!(running(w, "run-009"), 90, "{at} s"));
    }
    w.run_until(90.0);
    assert_eq!(w.cloud.returned, vec![]);
}

/// Guards against health checks that fail on all controllers at once. After an outage of the
/// store all controllers were out of the load balancer, users waited for its probes, and the
/// wait doubled each time. A controller that the store refuses alone still reports unhealthy.
#[test]
fn a_store_outage_for_all_keeps_controllers_healthy() {
    let mut w = fleet(25, 10);
    w.run_until(10.0);
    w.store.set_down(w.now, true);
    w.run_until(11.0);
    w.crash(0);
    for at in [16.0, 30.0, 60.0] {
        w.run_until(at);
        assert!((0..3).all(|i| w.healthy(i)), "{at} s");
    }
    w.store.set_down(w.now, false);
    w.run_until(62.0);
    assert!((0..3).all(|i| w.healthy(i)));
    w.nodes[1].refused = true;
    w.run_until(70.0);
    assert_eq!((w.healthy(0), w.healthy(1), w.healthy(2)), (true, false, true));
}

/// The number of commands that arrived at machines, and of those without effect.
fn commands(w: &World) -> (u32, u32) {
    w.workers.values().fold((0, 0), |sum, x| (sum.0 + x.commands.0, sum.1 + x.commands.1))
}

/// All controllers are down from a second to three leases, while machines are lost or cut off,
/// jobs end and users wait: the rules hold at every step, all jobs finish, and no restart takes
/// more than twice the commands it needs.
#[test]
fn restarts_with_faults_in_between() {
    let mut ratios = Vec::new();
    for seed in 0..seed_count(6) {
        ratios.extend(start_with_faults(seed).map(|ratio| (ratio, 4000 + seed)));
    }
    ratios.sort_by(|a, b| a.0.total_cmp(&b.0));
    if let (Some(median), Some(worst)) = (ratios.get(ratios.len() / 2), ratios.last()) {
        println!(
            "commands to those that had an effect: median {:.3}, worst {:.3} (seed {})",
            median.0, worst.0, worst.1
        );
        assert!(median.0 <= 1.3 && worst.0 <= 2.0, "median {median:?}, worst {worst:?}");
    }
}

/// Runs one world with faults during a restart. Returns the commands for each one that had an
/// effect, where there were more than 20.
pub fn start_with_faults(seed: u64) -> Option<f64> {
    let machines = 80;
    let mut w = fleet(4000 + seed, machines);
    for n in 0..10 {
        let at = w.rng.random_range(0.0..40.0);
        let job: Job = if n % 3 == 0 { service(8) } else { array(w.rng.random_range(5..60), 4.0) };
        let uid = format!("run-{n:02}{}", if n % 3 == 0 { 9 } else { n % 5 });
        if n % 4 == 0 {
            let (cancel_at, uid) = (w.rng.random_range(at..90.0), uid.clone());
            w.later(cancel_at, move |w| w.jobs.get_mut(&uid).unwrap().cancel_asked = true);
        }
        w.later(at, move |w| w.submit(&uid, job));
    }
    let down = w.rng.random_range(15.0..35.0);
    let for_s = w.rng.random_range(1.0..3.0 * LEASE_S);
    for i in 0..3 {
        let delay_s = w.rng.random_range(0.0..2.0);
        w.later(down, move |w| {
            w.faults.restart_s = for_s + delay_s;
            w.crash(i);
        });
    }
    for _ in 0..6 {
        let at = w.rng.random_range(down..down + for_s + 5.0);
        let which = w.rng.random_range(0..machines as usize);
        let end = at + w.rng.random_range(1.0..40.0);
        let dies = w.rng.random_bool(0.4);
        w.later(at, move |w| {
            let Some(name) = w.workers.keys().nth(which).cloned() else { return };
            if dies {
                w.workers.remove(&name);
                return;
            }
            w.cut_worker(&name, true);
            w.later(end, move |w| w.cut_worker(&name, false));
        });
    }
    let before = down + for_s - 0.1;
    w.run_until(before);
    let then = commands(&w);
    w.run_until(before + 30.0);
    let now = commands(&w);
    let (all, idle) = (now.0.saturating_sub(then.0), now.1.saturating_sub(then.1));
    let ratio = (all > 20).then(|| f64::from(all) / f64::from(all - idle));
    w.run_until(before + 150.0);
    for (uid, j) in &w.jobs {
        let finished = j.confirmed_done || j.cancelled_at.is_some() || j.standing;
        assert!(finished, "seed {seed}: {uid} is not finished: {j:?}");
    }
    assert!(w.now > s(before));
    ratio
}
