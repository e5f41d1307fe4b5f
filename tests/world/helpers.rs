//! Helpers that several scenarios share: clusters of usual kinds, what users do, and how far jobs are.

use super::worker::{TaskState, Worker};
use super::{Job, LEASE_S, SMALL, Size, World, array, s, service};
use rand::RngExt;

/// A cluster whose cloud has so many machines more than are up at the beginning.
pub fn with_spare_machines(seed: u64, size: Size, spare: usize) -> World {
    let mut w = World::sized(seed, size);
    w.cloud.most = size.machines as usize + spare;
    w
}

/// A cluster of two zones whose store takes 60 changes a second.
pub fn fleet(seed: u64, controllers: usize, machines: u32) -> World {
    let size = Size { controllers, machines, write_rps: 60.0, txn_ops: 24, zones: &["a", "b"], ..SMALL };
    with_spare_machines(seed, size, 10)
}

/// Whether the job's user was told that it is done.
pub fn done(w: &World, uid: &str) -> bool {
    w.jobs[uid].confirmed_done
}

/// Tasks of the job that run.
pub fn running(w: &World, uid: &str) -> usize {
    let on = |w: &Worker| w.tasks.values().filter(|t| t.job == uid && t.state == TaskState::Running).count();
    w.workers.values().map(on).sum()
}

/// All jobs that somebody waits for are over, and every machine is answered again.
pub fn all_over(w: &World) {
    let mute: Vec<&str> =
        w.workers.values().filter(|x| w.now > x.lease_from + s(LEASE_S)).map(|x| x.name.as_str()).collect();
    assert!(mute.is_empty(), "seed {}: nobody whom they listen to answers {mute:?}", w.seed);
    for (uid, j) in &w.jobs {
        let over = j.confirmed_done || j.cancelled_at.is_some() || j.standing && !j.cancel_asked;
        assert!(over, "seed {}: {uid} is not over: {j:?}", w.seed);
    }
}

/// Its user asks to cancel it, by this controller alone where one is named.
pub fn cancel(w: &mut World, uid: &str, via: Option<usize>) {
    let j: &mut Job = w.jobs.get_mut(uid).expect("was submitted");
    (j.cancel_asked, j.via) = (true, via);
}

/// Plays jobs and failures at random; the world at the end, all of whose jobs are over.
pub fn random_failures(mut w: World, jobs: usize, failures: usize, end_s: f64) -> World {
    let (nodes, machines) = (w.nodes.len(), w.workers.len());
    for n in 0..jobs {
        let at = w.rng.random_range(0.0..70.0);
        let uid = format!("run-{n:02}{}", if n % 4 == 0 { 9 } else { n % 5 });
        let mut j = if n % 4 == 0 { service(2) } else { array(w.rng.random_range(1..12), 4.0) };
        if n % 3 == 0 {
            j.team = "capped".into();
        }
        let leave = w.rng.random_range(at..110.0);
        let (a, b) = (uid.clone(), uid);
        w.later(at, move |w| w.submit(&a, j));
        if n % 4 == 0 || n % 7 == 0 {
            w.later(leave, move |w| w.jobs.get_mut(&b).unwrap().cancel_asked = true);
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
