//! The controllers' logs under failures: batches that are late or whose answers are lost, two
//! incarnations of one writer, rings that wrap around. The world checks at every step that no
//! task runs in two places and that all limits hold.

#![warn(missing_docs)]

use crate::reconciliation::seed_count;
use crate::world::helpers::{done, running, with_spare_machines};
use crate::world::{SMALL, Size, World, array, s, service};
use ciborium::cbor;
use rand::RngExt;

/// A cluster of two zones whose cloud has ten spare machines.
fn fleet(seed: u64, controllers: usize, machines: u32) -> World {
    let size = Size { controllers, machines, write_rps: 60.0, zones: &["a", "b"], team_max: 40.0, ..SMALL };
    with_spare_machines(seed, size, 10)
}

/// Submits arrays at random times until `until_s`; some are of a limited team, some are cancelled.
fn submit_arrays(w: &mut World, jobs: usize, until_s: f64) {
    for n in 0..jobs {
        let at = w.rng.random_range(2.0..until_s);
        let mut j = array(w.rng.random_range(5..40), 3.0);
        if n % 3 == 0 {
            j.team = "capped".into();
        }
        let uid = format!("run-{n:03}{}", n % 4);
        if n % 6 == 5 {
            let (cancel_at, uid) = (w.rng.random_range(at..until_s + 10.0), uid.clone());
            w.later(cancel_at, move |w| w.jobs.get_mut(&uid).unwrap().cancel_asked = true);
        }
        w.later(at, move |w| w.submit(&uid, j));
    }
}

/// Asserts that all jobs are finished.
fn assert_all_finished(w: &World) {
    for (uid, j) in &w.jobs {
        let finished = j.confirmed_done || j.cancelled_at.is_some() || j.standing;
        assert!(finished, "seed {}: {uid} is not finished: {j:?}", w.seed);
    }
}

/// Guards against writes in proportion to the number of tasks, as each start used to change
/// its job's record. A batch carries all starts that gathered while the one before was in
/// flight.
#[test]
fn writes_grow_with_time_and_not_with_tasks() {
    let mut per_task = Vec::new();
    for (machines, tasks) in [(30, 100), (120, 400)] {
        let mut w = fleet(60, 3, machines);
        w.submit("run-000", array(machines * 4, 2.0)); // every machine has the image
        w.run_until(20.0);
        let before = w.store.revision();
        for n in 1..11 {
            w.submit(&format!("run-{n:02}2"), array(tasks / 5, 2.0));
        }
        w.run_until(50.0);
        assert!((1..11).all(|n| done(&w, &format!("run-{n:02}2"))));
        let segments = w.store.changes("fq/l/", before);
        per_task.push((segments, f64::from(tasks * 2) / segments as f64));
    }
    let (small, large) = (per_task[0], per_task[1]);
    assert!(large.1 > small.1 * 2.0 && large.0 < small.0 * 2, "{per_task:?}");
}

/// Answers to batches are lost, or the batches arrive up to 40 s late, after the writer
/// restarted and its machines had other owners.
#[test]
fn batches_in_doubt_start_nothing_twice() {
    for seed in 0..seed_count(8) {
        batches_in_doubt(seed);
    }
}

/// Runs one world with lost answers and late batches to its end.
pub fn batches_in_doubt(seed: u64) {
    let mut w = fleet(6100 + seed, 5, 60);
    w.submit("run-009", service(20));
    submit_arrays(&mut w, 20, 60.0);
    for _ in 0..8 {
        let at = w.rng.random_range(6.0..60.0);
        let end = at + w.rng.random_range(0.3..40.0);
        let i = w.rng.random_range(0..5);
        if w.rng.random_bool(0.5) {
            w.later(at, move |w| w.nodes[i].answers_lost = true);
            w.later(end, move |w| w.nodes[i].answers_lost = false);
        } else {
            w.later(at, move |w| w.nodes[i].store_cut = true);
            // Restarted while its batch is held back: the batch arrives later.
            if w.rng.random_bool(0.5) {
                let back = w.rng.random_range(at..end);
                w.later(back, move |w| w.crash(i));
            }
            w.later(end, move |w| w.reconnect_store(i));
        }
    }
    w.run_until(240.0);
    assert_all_finished(&w);
    assert_eq!(running(&w, "run-009"), 20, "seed {seed}");
}

/// A later version has written to the store, whose records this one would misread.
#[test]
fn state_of_a_later_format_is_not_modified() {
    let mut w = fleet(61, 3, 10);
    let term = cbor!({"then" => [{"put" => "fq/term", "data" => {"term" => 3, "form" => 99}}]}).unwrap();
    w.store.apply(s(0.1), &term);
    w.submit("run-009", service(4));
    w.run_until(40.0);
    assert_eq!((w.store.leader(), w.store.count("fq/"), running(&w, "run-009")), (None, 1, 0));
    assert!((0..3).all(|i| !w.healthy(i)));
}

/// One job of a batch is refused because it was cancelled or reassigned meanwhile: the other
/// jobs are stored with the next batch.
#[test]
fn one_job_that_changed_does_not_hold_up_the_batch() {
    let mut w = fleet(62, 3, 60);
    for n in 0..30 {
        w.submit(&format!("run-{n:02}3"), array(12, 4.0));
    }
    for n in 0..30 {
        w.later(1.0 + 0.05 * f64::from(n), move |w| {
            if n % 2 == 0 {
                w.jobs.get_mut(&format!("run-{n:02}3")).unwrap().cancel_asked = true;
            }
        });
    }
    w.run_until(60.0);
    assert_all_finished(&w);
}

/// The log rings wrap around many times, with services that outlive the segments of their
/// starts, while controllers restart and the store is down for a time.
#[test]
fn overwritten_segments_are_in_checkpoints() {
    for seed in 0..seed_count(3) {
        let mut w = fleet(6200 + seed, 2, 40);
        for n in 0..8 {
            w.later(2.0 + f64::from(n), move |w| w.submit(&format!("run-{n}09"), service(4)));
        }
        submit_arrays(&mut w, 140, 230.0);
        for n in 0..5 {
            let at = 20.0 + 18.0 * f64::from(n);
            w.later(at, move |w| w.crash(n as usize % 2));
        }
        w.later(50.0, |w| w.store.set_down(w.now, true));
        w.later(53.0, |w| w.store.set_down(w.now, false));
        w.later(232.0, |w| (0..2).for_each(|i| w.crash(i)));
        w.run_until(420.0);
        assert_all_finished(&w);
        for n in 0..8 {
            assert_eq!(running(&w, &format!("run-{n}09")), 4, "seed {seed}: service {n}");
        }
        let newest = w.store.newest_segment();
        assert!(newest > 256 + 64, "{newest} segments: the ring did not wrap around");
    }
}
