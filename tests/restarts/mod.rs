//! Processes that restart within a fraction of a second: nothing may depend on the crash of the
//! earlier process having been noticed, on its lease having expired, or on its last message
//! having arrived. Up to 190 machines and seven controllers; the rules hold at every step.

#![warn(missing_docs)]

use crate::reconciliation::seed_count;
use crate::world::helpers::{done, random_failures, running};
use crate::world::{Job, SMALL, Size, World, array, s, service};
use rand::RngExt;

/// A cluster of seven controllers that restart within 50 ms.
fn fleet(seed: u64, machines: u32) -> World {
    let size = Size { controllers: 7, machines, write_rps: 60.0, txn_ops: 24, zones: &["a", "b"], ..SMALL };
    let mut w = World::sized(seed, size);
    w.cloud.most = machines as usize + 20;
    w.faults.restart_s = 0.05;
    // As many pages as a fleet of two thousand has.
    w.store.page = 100;
    w
}

/// Crashes all controllers.
fn crash_all(w: &mut World) {
    (0..w.nodes.len()).for_each(|i| w.crash(i));
}

/// All controllers crash three times, 3 s apart, and are back after 50 ms: running tasks
/// continue, no machine is given up, and jobs are accepted and done in between.
#[test]
fn quick_restarts_of_all_stop_nothing() {
    let mut w = fleet(5000, 190);
    w.submit("run-009", service(1400));
    for at in [30.0, 33.0, 36.0] {
        w.later(at, crash_all);
        w.later(at + 1.0, move |w| w.submit(&format!("run-{at:.0}1"), array(20, 3.0)));
        w.later(at + 2.9, move |w| assert!(w.jobs[&format!("run-{at:.0}1")].accepted, "not accepted after {at} s"));
    }
    for at in 25..80 {
        w.later(f64::from(at), move |w| assert_eq!(running(w, "run-009"), 1400, "{at} s"));
    }
    w.run_until(80.0);
    assert!(["run-301", "run-331", "run-361"].iter().all(|uid| done(&w, uid)));
    // Machines that were idle for long are returned long after this.
    let window = s(30.0)..s(50.0);
    let returned = w.cloud.returned.iter().filter(|r| window.contains(&r.0)).count();
    assert_eq!(returned, 0, "live machines were returned");
    assert_eq!(w.workers.values().map(|x| x.kills.len()).sum::<usize>(), 0);
}

/// The load balancer removes a controller after two failed probes, a second apart. A
/// controller that restarts quickly must not fail the second one while the store works.
#[test]
fn a_quick_restart_is_over_before_the_next_probe() {
    for seed in 0..10 {
        let mut w = fleet(5100 + seed, 150);
        w.submit("run-009", service(100));
        for n in 0..40 {
            w.submit(&format!("run-{n:02}1"), array(20, 8.0));
        }
        w.run_until(20.0);
        w.faults.restart_s = 0.2;
        crash_all(&mut w);
        w.run_until(20.25);
        assert!((0..7).all(|i| w.healthy(i)), "seed {seed}: unhealthy while all controllers restart");
        w.run_until(20.3);
        w.submit("run-999", array(1, 1.0));
        w.run_until(21.0);
        assert!((0..7).all(|i| w.healthy(i)), "seed {seed}");
        w.run_until(22.5);
        assert!(w.jobs["run-999"].accepted, "seed {seed}: no controller accepted the job");
    }
}

/// One controller crashes repeatedly: its shard stays with it, the other controllers serve
/// users, and each crash costs a few changes of the store.
#[test]
fn a_crash_loop_affects_no_other_controller() {
    let mut w = fleet(5200, 70);
    w.submit("run-009", service(500));
    w.run_until(30.0);
    let before = w.store.revision();
    for n in 0..40 {
        w.later(30.0 + 0.5 * f64::from(n), |w| w.crash(3));
    }
    w.later(35.0, |w| w.submit("run-001", array(30, 3.0)));
    for at in 30..75 {
        w.later(f64::from(at), move |w| assert_eq!(running(w, "run-009"), 500, "{at} s"));
    }
    w.run_until(50.0);
    let changes = w.store.changes("fq/b/", before) + w.store.changes("fq/m/", before);
    assert!(changes <= 40 * 2, "{changes} changes for 40 crashes");
    // Single machines are rebalanced, and rented ones returned. A shard of ten machines that
    // moved away and back with each crash would make hundreds of changes.
    let moved = w.store.changes("fq/h/", before);
    assert!(moved < 20, "its shard moved: {moved} changes");
    w.run_until(75.0);
    assert!(done(&w, "run-001"));
}

/// The cloud API is down when all controllers crash: the catalog of machine types is in the
/// store, so jobs are accepted and done all the same.
#[test]
fn the_catalog_outlives_a_restart_of_all_controllers() {
    let mut w = fleet(5300, 30);
    w.submit("run-009", service(10));
    w.run_until(20.0);
    w.cloud.down = true;
    crash_all(&mut w);
    w.run_until(22.0);
    w.submit("run-001", array(8, 3.0));
    w.run_until(40.0);
    assert!(done(&w, "run-001"), "the job is not done without the cloud");
}

/// Controllers crash during every kind of exchange with the store and restart after 10 ms and
/// more, among all other failures.
#[test]
fn rules_hold_with_crashes_during_store_requests() {
    let mut crashes = 0;
    for seed in 0..seed_count(8) {
        crashes += ends_in_exchanges(seed);
    }
    assert!(crashes > 20, "only {crashes} crashes during an exchange");
}

/// Runs one world with crashes during exchanges and returns their number.
pub fn ends_in_exchanges(seed: u64) -> u32 {
    let team_max = if seed.is_multiple_of(2) { 12.0 } else { 60.0 };
    let size = Size {
        controllers: if seed.is_multiple_of(3) { 3 } else { 7 },
        machines: 40,
        write_rps: 30.0,
        txn_ops: 12,
        team_max,
        zones: &["a", "b"],
        ..SMALL
    };
    let mut w = World::sized(6000 + seed, size);
    w.cloud.most = 46;
    w.faults.restart_range_s = Some(if seed % 4 == 3 { (0.01, 4.0) } else { (0.01, 0.3) });
    w.faults.crashes_in_exchanges_until = s(80.0);
    random_failures(w, 24, 14, 260.0).counters.crashes_in_exchanges
}

/// A controller that is cut off from the store crashes and restarts twice. The writes of its
/// processes arrive up to 9 s late, in order, after its tasks were reassigned.
#[test]
fn late_writes_of_earlier_processes_change_nothing() {
    for seed in 0..seed_count(6) {
        late_writes(seed);
    }
}

/// Runs one world with late writes to its end.
pub fn late_writes(seed: u64) {
    let mut w = fleet(7000 + seed, 30);
    w.submit("run-009", service(20));
    for n in 0..8 {
        let job: Job = array(w.rng.random_range(5..30), 4.0);
        let at = w.rng.random_range(1.0..40.0);
        let uid = format!("run-{n}{}1", seed % 5);
        w.later(at, move |w| w.submit(&uid, job));
    }
    let node = w.rng.random_range(0..7);
    let cut = w.rng.random_range(8.0..12.0);
    w.later(cut, move |w| w.nodes[node].store_cut = true);
    for end in [0.3, 2.0] {
        w.later(cut + end, move |w| w.crash(node));
    }
    w.later(cut + 9.0, move |w| w.reconnect_store(node));
    w.later(cut + 30.0, move |w| w.crash(node));
    w.run_until(140.0);
    for (uid, j) in &w.jobs {
        assert!(j.confirmed_done || j.standing, "seed {seed}: {uid} is not finished: {j:?}");
    }
    assert_eq!(running(&w, "run-009"), 20, "seed {seed}");
}
