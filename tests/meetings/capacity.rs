//! More work than capacity, and free capacity that controllers overlook: once the faults are
//! over, no job waits for 90 s while a suitable machine has free capacity and its team is below
//! its limit (the world checks that from `calm_from` on).

use super::{all_over, cancel, fleet};
use crate::known::assert_all_jobs_known;
use crate::reconciliation::seed_count;
use crate::world::helpers::running;
use crate::world::{Job, World, array, gang, service};
use rand::RngExt;

/// The job as one of the team with a limit.
fn capped(j: Job) -> Job {
    Job { team: "capped".into(), ..j }
}

/// Urgent and low-priority jobs, arrays with an objective and without, gangs, and a team at its
/// limit need several times the capacity, over links that take up to half a second, while
/// leaders crash.
#[test]
fn more_work_than_capacity_over_slow_links() {
    for seed in 0..seed_count(2) {
        let mut w = fleet(9900 + seed, [7, 3][seed as usize % 2], 12);
        w.faults.slow_links = Some((0.02, [0.1, 0.5][seed as usize % 2]));
        for n in 0..3 {
            w.submit(&format!("run-1{n}2"), Job { idle: true, ..array(80, 6.0) });
        }
        for n in 0..40u32 {
            let at = w.rng.random_range(4.0..60.0);
            let (uid, job) = match n % 5 {
                0 => (format!("run-2{n:02}9"), service(2 + n % 3)),
                1 => (format!("run-2{n:02}2"), Job { aimed: true, ..array(20, 6.0) }),
                2 => (format!("run-2{n:02}1"), gang(2 + n % 3)),
                3 => (format!("run-2{n:02}3"), capped(array(6, 8.0))),
                _ => (format!("run-2{n:02}2"), array(30, 6.0)),
            };
            let (a, b) = (uid.clone(), uid);
            w.later(at, move |w| w.submit(&a, job));
            if n % 10 == 0 {
                w.later(at + 25.0, move |w| cancel(w, &b, None));
            }
        }
        for at in [30.0, 50.0] {
            w.later(at, |w| w.crash_leader());
        }
        w.later(90.0, |w| w.faults.slow_links = None);
        w.calm_from(90.0);
        w.run_until(280.0);
        all_over(&w);
        assert_all_jobs_known(&mut w);
    }
}

/// All machines of one controller are lost while it holds task ranges of waiting jobs, and the
/// cloud has no more machines for it: other controllers have capacity for these task ranges.
#[test]
fn task_ranges_leave_a_controller_without_capacity() {
    for seed in 0..seed_count(4) {
        let mut w = fleet(9920 + seed, 3, 18);
        w.cloud.most = 18;
        w.submit("run-999", service(18));
        w.run_until(12.0);
        w.cloud.most = 0;
        w.submit("run-101", array(100, 4.0));
        w.submit("run-102", array(60, 6.0));
        w.run_until(13.0);
        let node = seed as usize % 3;
        let there: Vec<String> = w.workers.values().filter(|x| x.node == node).map(|x| x.name.clone()).collect();
        assert!(!there.is_empty(), "seed {seed}");
        for name in &there {
            w.workers.remove(name);
            w.cloud.machines.remove(name);
        }
        w.calm_from(14.0);
        w.run_until(160.0);
        all_over(&w);
        assert_eq!(running(&w, "run-999"), 18, "seed {seed}");
    }
}

/// A team reaches its limit, its record becomes strict, and half of its running jobs are
/// cancelled: its waiting jobs start, whichever controller holds them, while the leader crashes.
#[test]
fn jobs_of_a_team_start_once_it_is_below_its_limit() {
    for seed in 0..seed_count(6) {
        let mut w = fleet(9940 + seed, [3, 7][seed as usize % 2], 16);
        for n in 0..4 {
            w.submit(&format!("run-3{n}9"), capped(Job { cores: 1.0, ..service(2) }));
        }
        w.run_until(15.0);
        for n in 0..4 {
            w.submit(&format!("run-4{n}3"), capped(array(4, 8.0)));
        }
        w.later(20.0, |w| w.crash_leader());
        for n in 0..2 {
            w.later(20.0 + 0.3 * f64::from(n), move |w| cancel(w, &format!("run-3{n}9"), None));
        }
        w.calm_from(22.0);
        w.run_until(200.0);
        all_over(&w);
        assert_eq!((2..4).map(|n| running(&w, &format!("run-3{n}9"))).sum::<usize>(), 4, "seed {seed}");
    }
}

/// All machines are faulty for a while (all their tasks fail, they receive nothing, hang or are
/// cut off) and recover: failed tasks are retried on them, and none stays quarantined.
#[test]
fn recovered_machines_run_tasks_again() {
    for seed in 0..seed_count(6) {
        let mut w = fleet(9960 + seed, 3, 12);
        w.cloud.most = 12;
        w.run_until(8.0);
        for n in 0..6 {
            w.submit(&format!("run-5{n}4"), array(12, 10.0));
        }
        let names: Vec<String> = w.workers.keys().cloned().collect();
        for (i, name) in names.into_iter().enumerate() {
            let from = 9.0 + w.rng.random_range(0.0..10.0);
            let to = from + w.rng.random_range(5.0..30.0);
            let with =
                move |f: fn(&mut World, &str, bool), name: String, on: bool| move |w: &mut World| f(w, &name, on);
            let f: fn(&mut World, &str, bool) = match i % 4 {
                0 => |w, name, on| w.workers.get_mut(name).into_iter().for_each(|x| x.sick = on),
                1 => |w, name, on| w.workers.get_mut(name).into_iter().for_each(|x| x.deaf = on),
                2 => |w, name, on| w.hang(name, on),
                _ => |w, name, on| w.cut_worker(name, on),
            };
            w.later(from, with(f, name.clone(), true));
            w.later(to, with(f, name, false));
        }
        // Later all machines are needed with all of their capacity.
        w.later(80.0, |w| w.submit("run-599", service(96)));
        w.calm_from(50.0);
        w.run_until(240.0);
        all_over(&w);
        assert_eq!(running(&w, "run-599"), 96, "seed {seed}");
        assert_all_jobs_known(&mut w);
    }
}
