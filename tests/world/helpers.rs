//! Helpers that several tests share: the usual clusters, the actions of users, checks on the
//! state of jobs, and random failures.

#![warn(missing_docs)]

use super::worker::{TaskState, Worker};
use super::{Job, LEASE_S, SMALL, Size, World, array, s, service};
use rand::RngExt;

/// Creates a cluster that can rent `spare` machines more than are up at the beginning.
pub fn with_spare_machines(seed: u64, size: Size, spare: usize) -> World {
    let mut w = World::sized(seed, size);
    w.cloud.most = size.machines as usize + spare;
    w
}

/// Creates a cluster of two zones with ten spare machines, whose store takes 60 writes per
/// second.
pub fn fleet(seed: u64, controllers: usize, machines: u32) -> World {
    let size = Size { controllers, machines, write_rps: 60.0, txn_ops: 24, zones: &["a", "b"], ..SMALL };
    with_spare_machines(seed, size, 10)
}

/// Returns whether a controller has told the user of the job that it is done.
pub fn done(w: &World, uid: &str) -> bool {
    w.jobs[uid].confirmed_done
}

/// Returns how many tasks of the job run.
pub fn running(w: &World, uid: &str) -> usize {
    let on = |w: &Worker| w.tasks.values().filter(|t| t.job == uid && t.state == TaskState::Running).count();
    w.workers.values().map(on).sum()
}

/// Asserts that no machine's lease has expired, and that every job is done, cancelled, or a
/// service that nobody wants cancelled.
pub fn all_over(w: &World) {
    let expired: Vec<&str> =
        w.workers.values().filter(|x| w.now > x.lease_from + s(LEASE_S)).map(|x| x.name.as_str()).collect();
    assert!(expired.is_empty(), "seed {}: the leases of {expired:?} have expired", w.seed);
    for (uid, j) in &w.jobs {
        let over = j.confirmed_done || j.cancelled_at.is_some() || j.standing && !j.cancel_asked;
        assert!(over, "seed {}: {uid} is not over: {j:?}", w.seed);
    }
}

/// Makes the user of a job cancel it, through the controller `via` alone if one is given.
pub fn cancel(w: &mut World, uid: &str, via: Option<usize>) {
    let job: &mut Job = w.jobs.get_mut(uid).expect("the job was submitted");
    (job.cancel_asked, job.via) = (true, via);
}

/// Runs a world with random jobs and failures until `end_s`, asserts that all jobs are then
/// done, cancelled or services, and returns the world.
pub fn random_failures(mut w: World, jobs: usize, failures: usize, end_s: f64) -> World {
    let (nodes, machines) = (w.nodes.len(), w.workers.len());
    for n in 0..jobs {
        let at = w.rng.random_range(0.0..70.0);
        let uid = format!("run-{n:02}{}", if n % 4 == 0 { 9 } else { n % 5 });
        let mut job = if n % 4 == 0 { service(2) } else { array(w.rng.random_range(1..12), 4.0) };
        if n % 3 == 0 {
            job.team = "capped".into();
        }
        let cancel_at = w.rng.random_range(at..110.0);
        let cancelled_uid = uid.clone();
        w.later(at, move |w| w.submit(&uid, job));
        if n % 4 == 0 || n % 7 == 0 {
            w.later(cancel_at, move |w| w.jobs.get_mut(&cancelled_uid).unwrap().cancel_asked = true);
        }
    }
    for _ in 0..failures {
        let at = w.rng.random_range(5.0..85.0);
        let end = at + w.rng.random_range(1.0..25.0);
        let node = w.rng.random_range(0..nodes);
        let which = w.rng.random_range(0..machines);
        match w.rng.random_range(0..10) {
            0 | 1 => w.later(at, move |w| w.crash(node)),
            2 => {
                w.later(at, |w| w.store.set_down(w.now, true));
                w.later(end, |w| w.store.set_down(w.now, false));
            }
            3 => {
                w.later(at, move |w| w.nodes[node].refused = true);
                w.later(end, move |w| w.nodes[node].refused = false);
            }
            4 => {
                w.later(at, move |w| w.nodes[node].deaf = true);
                w.later(end, move |w| w.nodes[node].deaf = false);
            }
            5 => {
                w.later(at, move |w| w.isolate(node, true));
                w.later(end, move |w| w.isolate(node, false));
            }
            6 => w.later(at, move |w| {
                let Some(name) = w.workers.keys().nth(which).cloned() else { return };
                w.workers.get_mut(&name).unwrap().deaf = true;
                w.later(end, move |w| w.workers.get_mut(&name).into_iter().for_each(|x| x.deaf = false));
            }),
            7 => w.later(at, move |w| {
                let now = w.now;
                if let Some(x) = w.workers.values_mut().nth(which) {
                    x.restart_agent(now);
                }
            }),
            _ => w.later(at, move |w| {
                let Some(name) = w.workers.keys().nth(which).cloned() else { return };
                w.cut_worker(&name, true);
                w.later(end, move |w| w.cut_worker(&name, false));
            }),
        }
    }
    w.run_until(end_s);
    for (uid, j) in &w.jobs {
        let over = j.confirmed_done || j.cancelled_at.is_some() || j.standing;
        assert!(over, "seed {}: {uid} is not over: {j:?}", w.seed);
    }
    assert!(w.now == s(end_s));
    w
}
