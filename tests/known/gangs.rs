//! Gangs wider than a log segment: their placements are stored in several segments, no task
//! is started before the last segment is stored, and placements of an incomplete gang are
//! revoked once its tasks are proved gone.

use crate::world::helpers::{done, random_failures, running, with_spare_machines};
use crate::world::worker::TaskState;
use crate::world::{Job, SMALL, Size, World, gang, s, service};
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

/// Guards against a gang that must be spread over zones and waits forever beside idle machines of
/// several controllers: a shard with many machines in one zone counted as large enough for it, so
/// no machines were brought together.
#[test]
fn a_gang_spread_over_zones_starts_on_machines_of_several_controllers() {
    // Two machines of two controllers, and six machines of which each controller has two.
    for (seed, machines, tasks) in [(0, 2, 2), (1, 2, 3), (2, 6, 12), (3, 6, 11)] {
        let size = Size { machines, zones: &["a", "b"], ..SMALL };
        let mut w = with_spare_machines(9500 + seed, size, 0);
        w.run_until(20.0);
        w.submit("run-003", Job { zone_affinity: false, zone_anti_affinity: true, ..gang(tasks) });
        w.run_until(140.0);
        assert!(done(&w, "run-003"), "seed {seed}: {tasks} tasks wait beside {machines} idle machines");
    }
}

/// The tasks of a spread service start one by one: those that wait are assigned to the shard that
/// has room in the other zone.
#[test]
fn a_spread_service_starts_on_machines_of_several_controllers() {
    for seed in 0..4 {
        let size = Size { machines: 2, zones: &["a", "b"], ..SMALL };
        let mut w = with_spare_machines(9520 + seed, size, 0);
        w.run_until(20.0);
        w.submit("run-009", Job { zone_anti_affinity: true, ..service(4) });
        w.run_until(60.0);
        assert_eq!(running(&w, "run-009"), 4, "seed {seed}");
    }
}

/// A spread gang loses a machine, and the machines that are left in both zones belong to different
/// controllers: the gang starts again there.
#[test]
fn a_gang_spread_over_zones_starts_again_after_a_machine_is_lost() {
    for seed in 0..6 {
        let size = Size { machines: 4, zones: &["a", "b"], ..SMALL };
        let mut w = with_spare_machines(9510 + seed, size, 0);
        w.run_until(20.0);
        w.submit("run-007", Job { zone_affinity: false, zone_anti_affinity: true, ..gang(2) });
        let mut at = 20.0;
        while running(&w, "run-007") < 2 {
            at += 1.0;
            assert!(at < 90.0, "seed {seed}: the gang has not started");
            w.run_until(at);
        }
        let lost = w.workers.values().find(|x| !x.tasks.is_empty()).unwrap().name.clone();
        w.workers.remove(&lost);
        w.cloud.machines.remove(&lost);
        w.run_until(at + 120.0);
        assert!(done(&w, "run-007"), "seed {seed}: the gang waits beside idle machines");
    }
}
