//! Teams without a guarantee, and the largest jobs: what was borrowed is given back, and
//! all of it is served in the end.

use crate::world::helpers::{done, running, with_spare_machines};
use crate::world::{Job, SMALL, Size, World, array, s};

fn fleet(seed: u64, machines: u32) -> World {
    let size = Size { controllers: 3, machines, write_rps: 60.0, txn_ops: 24, ..SMALL };
    with_spare_machines(seed, size, 0)
}

fn sweep(tasks: u32, run_s: f64) -> Job {
    Job { idle: true, cores: 1.0, ..array(tasks, run_s) }
}

/// A guest's sweep of long idle tasks had taken the fleet, and each standard array waited
/// until one of them ended: for minutes, while its aim was to be over within one.
#[test]
fn low_priority_gives_way_to_arrays_with_an_objective() {
    for seed in 0..4 {
        let mut w = fleet(9000 + seed, 6);
        for x in w.workers.values_mut() {
            x.runs.insert("run-901".into(), 300.0);
        }
        w.submit("run-901", sweep(300, 300.0));
        w.run_until(20.0);
        assert_eq!(running(&w, "run-901"), 48, "the fleet is theirs");
        for n in 0..4 {
            w.later(20.0 + 5.0 * f64::from(n), move |w| {
                w.submit(&format!("run-{n}03"), Job { aimed: true, ..array(8, 8.0) });
            });
        }
        w.run_until(60.0);
        assert!((0..4).all(|n| done(&w, &format!("run-{n}03"))), "seed {seed}");
        // Room is made for those that wait, not for more.
        let kills: usize = w.workers.values().map(|x| x.kills.len()).sum();
        assert!(kills <= 4 * 8 * 2 + 8, "seed {seed}: {kills} stopped for 32 tasks of two cores");
        w.run_until(70.0);
        assert_eq!(running(&w, "run-901"), 48, "seed {seed}: they have it back");
    }
}

/// A huge job, a swarm of single tasks and arrays that keep coming: the huge one begins,
/// and all are over once the others are.
#[test]
fn wide_jobs_and_many_small_jobs_are_served_beside_others() {
    let mut w = fleet(9100, 20);
    w.submit("run-900", Job { idle: true, cores: 1.0, ..array(3_000, 2.0) });
    for n in 0..150 {
        w.later(5.0 + 0.1 * f64::from(n), move |w| {
            w.submit(&format!("run-2{n:03}0"), Job { idle: true, ..array(1, 2.0) })
        });
    }
    for n in 0..12 {
        w.later(5.0 + 4.0 * f64::from(n), move |w| {
            w.submit(&format!("run-3{n:02}2"), Job { aimed: true, ..array(30, 6.0) });
        });
    }
    w.run_until(15.0);
    assert!(running(&w, "run-900") > 0, "the huge job has not begun");
    w.run_until(110.0);
    let over = |j: &&Job| j.confirmed_done;
    let (all, left) = (w.jobs.len(), w.jobs.values().filter(|j| !over(j)).count());
    assert_eq!(left, 0, "of {all}");
    assert!(w.now >= s(110.0));
}

/// One job with a mistake failed on every machine, and each that failed three of its
/// tasks was shut: the work of others waited. A machine that fails everything is shut.
#[test]
fn a_failing_job_quarantines_nothing_and_a_faulty_machine_is_quarantined() {
    for seed in 0..4 {
        let mut w = fleet(9500 + seed, 8);
        for x in w.workers.values_mut() {
            x.broken.insert("run-903".into());
        }
        let sick = w.workers.keys().nth(seed as usize).unwrap().clone();
        w.run_until(6.0);
        w.submit("run-903", array(60, 8.0));
        w.run_until(30.0);
        w.workers.get_mut(&sick).unwrap().sick = true;
        let before: u32 = w.workers.values().map(|x| x.failed).sum();
        for n in 0..12 {
            w.later(30.0 + 4.0 * f64::from(n), move |w| w.submit(&format!("run-4{n:02}2"), array(8, 6.0)));
        }
        w.run_until(90.0);
        let late: Vec<&String> =
            w.jobs.iter().filter(|(u, j)| *u != "run-903" && !j.confirmed_done).map(|j| j.0).collect();
        assert!(late.is_empty(), "seed {seed}: {late:?} wait");
        let failed = |name: &str| w.workers.get(name).map_or(0, |x| x.failed);
        let others: u32 = w.workers.values().map(|x| x.failed).sum::<u32>() - failed(&sick) - before.min(failed(&sick));
        assert!(failed(&sick) < 40, "seed {seed}: {} tasks were given to it", failed(&sick));
        // The failing job is tried ever more rarely.
        assert!(others < before + 30, "seed {seed}: {others} failures, {before} at first");
        assert_eq!(w.jobs["run-903"].done.len(), 0);
        w.jobs.get_mut("run-903").unwrap().cancel_asked = true;
        w.run_until(100.0);
        assert!(w.jobs["run-903"].cancelled_at.is_some());
    }
}
