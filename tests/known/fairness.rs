//! Teams without a guaranteed share, and the largest jobs: borrowed capacity is given back,
//! and all jobs finish in the end.

use crate::world::helpers::{done, running, with_spare_machines};
use crate::world::{Job, SMALL, Size, World, array, s, service};

/// A cluster of three controllers with no spare machines in the cloud.
fn fleet(seed: u64, machines: u32) -> World {
    let size = Size { controllers: 3, machines, write_rps: 60.0, txn_ops: 24, ..SMALL };
    with_spare_machines(seed, size, 0)
}

/// A low-priority array of single-core tasks.
fn low_priority_array(tasks: u32, run_s: f64) -> Job {
    Job { idle: true, cores: 1.0, ..array(tasks, run_s) }
}

/// Guards against standard arrays that miss their objective behind low-priority work. An array
/// of long low-priority tasks occupied all machines, and each standard array waited until one
/// of these tasks ended: for minutes, while its objective was to finish within one minute.
#[test]
fn low_priority_gives_way_to_arrays_with_an_objective() {
    for seed in 0..4 {
        let mut w = fleet(9000 + seed, 6);
        for x in w.workers.values_mut() {
            x.runs.insert("run-901".into(), 300.0);
        }
        w.submit("run-901", low_priority_array(300, 300.0));
        w.run_until(20.0);
        assert_eq!(running(&w, "run-901"), 48, "the low-priority tasks do not occupy all machines");
        for n in 0..4 {
            w.later(20.0 + 5.0 * f64::from(n), move |w| {
                w.submit(&format!("run-{n}03"), Job { aimed: true, ..array(8, 8.0) });
            });
        }
        w.run_until(60.0);
        assert!((0..4).all(|n| done(&w, &format!("run-{n}03"))), "seed {seed}");
        // Capacity is freed for the waiting tasks only.
        let kills: usize = w.workers.values().map(|x| x.kills.len()).sum();
        assert!(kills <= 4 * 8 * 2 + 8, "seed {seed}: {kills} stopped for 32 tasks of two cores");
        w.run_until(70.0);
        assert_eq!(running(&w, "run-901"), 48, "seed {seed}: the low-priority tasks do not run again");
    }
}

/// A job of 3,000 tasks runs beside 150 jobs of a single task and a stream of arrays: the wide
/// job starts, and all jobs finish.
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
    assert!(running(&w, "run-900") > 0, "the wide job has not started");
    w.run_until(110.0);
    let finished = |j: &&Job| j.confirmed_done;
    let (all, left) = (w.jobs.len(), w.jobs.values().filter(|j| !finished(j)).count());
    assert_eq!(left, 0, "jobs of {all} are not finished");
    assert!(w.now >= s(110.0));
}

/// Guards against a failing job that quarantines healthy machines. One job failed on every
/// machine, and each machine on which three of its tasks failed was quarantined, so other
/// jobs waited. A machine on which everything fails is quarantined.
#[test]
fn a_failing_job_quarantines_nothing_and_a_faulty_machine_is_quarantined() {
    for seed in 0..4 {
        let mut w = fleet(9500 + seed, 8);
        for x in w.workers.values_mut() {
            x.broken.insert("run-903".into());
        }
        let faulty = w.workers.keys().nth(seed as usize).unwrap().clone();
        w.run_until(6.0);
        w.submit("run-903", array(60, 8.0));
        w.run_until(30.0);
        w.workers.get_mut(&faulty).unwrap().sick = true;
        let before: u32 = w.workers.values().map(|x| x.failed).sum();
        for n in 0..12 {
            w.later(30.0 + 4.0 * f64::from(n), move |w| w.submit(&format!("run-4{n:02}2"), array(8, 6.0)));
        }
        w.run_until(90.0);
        let late: Vec<&String> =
            w.jobs.iter().filter(|(u, j)| *u != "run-903" && !j.confirmed_done).map(|j| j.0).collect();
        assert!(late.is_empty(), "seed {seed}: {late:?} are not finished");
        let failed = |name: &str| w.workers.get(name).map_or(0, |x| x.failed);
        let others: u32 =
            w.workers.values().map(|x| x.failed).sum::<u32>() - failed(&faulty) - before.min(failed(&faulty));
        assert!(failed(&faulty) < 40, "seed {seed}: {} tasks failed on the faulty machine", failed(&faulty));
        // The failing job is retried less and less often.
        assert!(others < before + 30, "seed {seed}: {others} failures on other machines, {before} at first");
        assert_eq!(w.jobs["run-903"].done.len(), 0);
        w.jobs.get_mut("run-903").unwrap().cancel_asked = true;
        w.run_until(100.0);
        assert!(w.jobs["run-903"].cancelled_at.is_some());
    }
}

/// An array of one task that takes half a machine.
fn small_job() -> Job {
    Job { cores: 4.0, ..array(1, 4.0) }
}

/// Lets users submit eight small jobs from `from_s` on, and asserts that all are done within a minute.
fn assert_small_jobs_run(w: &mut World, from_s: f64) {
    for n in 0..8 {
        w.later(from_s + 0.5 * f64::from(n), move |w| w.submit(&format!("run-8{n}1"), small_job()));
    }
    w.run_until(from_s + 64.0);
    let waiting: Vec<String> = (0..8).map(|n| format!("run-8{n}1")).filter(|uid| !done(w, uid)).collect();
    assert!(waiting.is_empty(), "seed {}: {waiting:?} wait beside idle machines", w.seed);
}

/// Guards against jobs that never start while a job that fails on every machine waits for its user:
/// its waiting tasks counted as the queue of the controllers with machines, so later jobs were
/// assigned to a controller without any.
#[test]
fn jobs_beside_a_failing_job_are_not_assigned_to_a_controller_without_machines() {
    for seed in 0..4 {
        let mut w = fleet(9600 + seed, 2);
        for x in w.workers.values_mut() {
            x.broken.insert("run-903".into());
        }
        w.run_until(10.0);
        w.submit("run-903", Job { cores: 4.0, ..array(30, 3.0) });
        assert_small_jobs_run(&mut w, 15.0);
    }
}

/// Guards against jobs that wait for the machines of other controllers, on which services run, beside
/// a controller whose machine is idle: its queue counted although none of it can start, here that
/// of a job that fails everywhere and that of a team at its limit.
#[test]
fn tasks_that_cannot_start_do_not_count_as_a_queue() {
    for seed in 0..8 {
        let capped = seed % 2 == 0;
        let mut w = fleet(9610 + seed, 3);
        for x in w.workers.values_mut() {
            x.broken.insert("run-903".into());
        }
        w.run_until(10.0);
        // Services take all of two machines; the team `capped` is at its limit of 8 CPUs with one.
        w.submit("run-909", Job { cores: 8.0, team: "capped".into(), ..service(1) });
        w.submit("run-919", Job { cores: 8.0, ..service(1) });
        w.run_until(20.0);
        assert_eq!(running(&w, "run-909") + running(&w, "run-919"), 2, "seed {seed}");
        let team = if capped { "capped" } else { "free" };
        w.submit("run-903", Job { cores: 4.0, team: team.into(), ..array(30, 3.0) });
        assert_small_jobs_run(&mut w, 25.0);
    }
}
