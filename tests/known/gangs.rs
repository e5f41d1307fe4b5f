//! Gangs wider than a log segment: their placements are stored in several segments, no task
//! is started before the last segment is stored, and placements of an incomplete gang are
//! revoked once its tasks are proved gone.

use crate::world::helpers::{done, random_failures, running, with_spare_machines};
use crate::world::worker::TaskState;
use crate::world::{SMALL, Size, World, gang, s, service};
use rand::RngExt;

/// A cluster whose transactions of four changes name fewer machines than the gangs need.
fn fleet(seed: u64, controllers: usize, machines: u32) -> World {
    let size = Size { controllers, machines, write_rps: 30.0, txn_ops: 4, fetch_s: 3.0, ..SMALL };
    with_spare_machines(seed, size, 0)
}

/// Guards against a gang that is accepted and never starts because no segment can hold its
/// placements.
#[test]
fn a_gang_wider_than_a_segment_starts() {
    for seed in 0..4 {
        let mut w = fleet(9200 + seed, 1, 24);
        w.submit("run-003", gang(40));
        w.run_until(60.0);
        assert!(done(&w, "run-003"), "seed {seed}");
    }
}

/// Controllers crash, machines are lost or restart, and a gang is cancelled while its
/// placements are being stored: it is completed or revoked and never started in part. The
/// rules hold at every step.
#[test]
fn a_gang_stored_in_parts_survives_faults_in_between() {
    for seed in 0..12 {
        let mut w = fleet(9300 + seed, 1 + 2 * (seed as usize % 2), 30);
        w.submit("run-003", gang(24));
        w.submit("run-013", gang(20));
        w.submit("run-009", service(6));
        let mut last = 0.0f64;
        for _ in 0..6 {
            let at = w.rng.random_range(4.0..14.0);
            let which = w.rng.random_range(0..30);
            last = last.max(at);
            w.later(at, move |w| {
                let nodes = w.nodes.len();
                match which % 3 {
                    0 => w.crash(which % nodes),
                    1 => {
                        let now = w.now;
                        w.workers.values_mut().nth(which).into_iter().for_each(|x| x.restart_agent(now));
                    }
                    _ => {
                        let Some(name) = w.workers.keys().nth(which).cloned() else { return };
                        w.cut_worker(&name, true);
                        w.later(w.now.as_secs_f64() + 8.0, move |w| w.cut_worker(&name, false));
                    }
                }
            });
        }
        if seed % 4 == 3 {
            w.later(8.0, |w| w.jobs.get_mut("run-013").unwrap().cancel_asked = true);
        }
        w.run_until(240.0);
        for uid in ["run-003", "run-013"] {
            let j = &w.jobs[uid];
            assert!(j.confirmed_done || j.cancelled_at.is_some(), "seed {seed}: {uid} is not finished");
        }
        assert_eq!(running(&w, "run-009"), 6, "seed {seed}");
    }
}

/// Wide gangs among random faults of all kinds: no gang waits forever for its placements.
#[test]
fn wide_gangs_hold_under_random_failures() {
    for seed in 0..4 {
        let mut w = fleet(9400 + seed, 3, 24);
        for n in 0..3 {
            w.later(20.0 * f64::from(n), move |w| w.submit(&format!("run-7{n}1"), gang(12 + 2 * n)));
        }
        let w = random_failures(w, 6, 6, 400.0);
        let waiting =
            w.workers.values().flat_map(|x| x.tasks.values()).filter(|t| t.state == TaskState::WaitingForGang).count();
        assert_eq!(waiting, 0, "seed {seed}: {waiting} tasks wait forever for their gang");
        assert!(w.now >= s(400.0));
    }
}
