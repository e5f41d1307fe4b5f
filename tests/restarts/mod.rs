//! Processes that are back within a fraction of a second: nothing may rest on the one
//! before having been noticed, on its lease being over, or on its last message having
//! arrived. A few hundred machines, seven controllers; the rules hold at every step.

use crate::reconciliation::seeds;
use crate::world::helpers::{done, random_failures, running};
use crate::world::{Job, SMALL, Size, World, array, s, service};
use rand::RngExt;

fn fleet(seed: u64, machines: u32) -> World {
    let size = Size { controllers: 7, machines, write_rps: 60.0, txn_ops: 24, zones: &["a", "b"], ..SMALL };
    let mut w = World::sized(seed, size);
    w.cloud.most = machines as usize + 20;
    w.faults.restart_s = 0.05;
    // As many pages as a fleet of two thousand has.
    w.store.page = 100;
    w
}

fn crash_all(w: &mut World) {
    (0..w.nodes.len()).for_each(|i| w.crash(i));
}

/// All controllers end three times, 3 s apart, and are back after 50 ms: what runs
/// goes on, no machine is given up, and work is taken and done in between.
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
    // What stood idle for long goes back long after.
    let window = s(30.0)..s(50.0);
    let returned = w.cloud.returned.iter().filter(|r| window.contains(&r.0)).count();
    assert_eq!(returned, 0, "machines that live were returned");
    assert_eq!(w.workers.values().map(|x| x.kills.len()).sum::<usize>(), 0);
}

/// The load balancer takes a controller out after two failed probes, a second apart. One
/// that was away for a moment must not fail the second, with the store well.
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
        assert!((0..7).all(|i| w.healthy(i)), "seed {seed}: a start that everybody shares");
        w.run_until(20.3);
        w.submit("run-999", array(1, 1.0));
        w.run_until(21.0);
        assert!((0..7).all(|i| w.healthy(i)), "seed {seed}");
        w.run_until(22.5);
        assert!(w.jobs["run-999"].accepted, "seed {seed}: nobody could take it");
    }
}

/// One process ends again and again: its shard stays where it is, the others serve,
/// and each end costs a few changes.
#[test]
fn a_crash_loop_harms_nobody_else() {
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
    assert!(changes <= 40 * 2, "{changes} changes for 40 ends");
    // Single machines are levelled, and rented ones returned; a shard of ten that went
    // to others and came back with each end would make hundreds of changes.
    let moved = w.store.changes("fq/h/", before);
    assert!(moved < 20, "its block travelled: {moved} changes");
    w.run_until(75.0);
    assert!(done(&w, "run-001"));
}

/// The cloud's interface is down when all controllers end: what they knew of the
/// machine types is in the store, so users are served all the same.
#[test]
fn the_catalog_outlives_its_readers() {
    let mut w = fleet(5300, 30);
    w.submit("run-009", service(10));
    w.run_until(20.0);
    w.cloud.down = true;
    crash_all(&mut w);
    w.run_until(22.0);
    w.submit("run-001", array(8, 3.0));
    w.run_until(40.0);
    assert!(done(&w, "run-001"), "nothing was accepted without the cloud");
}

/// Ends in the middle of every kind of exchange, with restarts from 10 ms up, among
/// all other failures.
#[test]
fn rules_hold_with_crashes_during_store_requests() {
    let mut broke = 0;
    for seed in 0..seeds(8) {
        broke += ends_in_exchanges(seed);
    }
    assert!(broke > 20, "only {broke} ends in the middle of an exchange");
}

/// One world of this kind; how many exchanges a process ended in.
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

/// A controller that is cut off from the store ends and comes back, twice, and what
/// its processes wrote arrives minutes later, in order, after the work moved on.
#[test]
fn late_writes_of_earlier_processes_change_nothing() {
    for seed in 0..seeds(6) {
        late_writes(seed);
    }
}

/// One world with late writes, to its end.
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
        assert!(j.confirmed_done || j.standing, "seed {seed}: {uid} is not over: {j:?}");
    }
    assert_eq!(running(&w, "run-009"), 20, "seed {seed}");
}
