//! Partial network partitions with up to 150 machines: no machine that a controller
//! could serve loses its lease, and no live machine is returned to the cloud.

#![warn(missing_docs)]

use crate::reconciliation::seed_count;
use crate::world::helpers::{running, with_spare_machines};
use crate::world::{CANCEL_S, LEASE_S, SMALL, Size, World, array, s, service};
use rand::RngExt;

/// A cluster of two zones whose cloud has 20 spare machines.
fn fleet(seed: u64, controllers: usize, machines: u32, write_rps: f64) -> World {
    let size = Size { controllers, machines, write_rps, zones: &["a", "b"], ..SMALL };
    with_spare_machines(seed, size, 20)
}

/// The number of tasks that ended because a lease expired.
fn tasks_ended_by_leases(w: &World) -> u32 {
    w.workers.values().map(|x| x.lapsed).sum()
}

/// Guards against a missing leader under write overload. Submissions and starts of services
/// exceeded the write limit of the store and overdrew the write budget; the claim to the
/// vacant leadership waited until the budget was above zero. There was no leader for a
/// minute, and the leases in the old leader's shard expired.
#[test]
fn leadership_is_taken_under_write_overload() {
    let mut w = fleet(30, 5, 60, 12.0);
    w.submit("run-009", service(60));
    w.run_until(30.0);
    // Services are submitted at twice the rate at which they can be stored.
    for n in 0..700 {
        w.later(30.0 + 0.06 * f64::from(n), move |w| w.submit(&format!("run-{n:03}19"), service(1)));
    }
    let leader = w.store.leader().unwrap();
    w.later(32.0, move |w| w.nodes[leader].refused = true);
    w.run_until(42.0);
    assert!(w.store.leader().is_some_and(|l| l != leader), "no new leader");
    w.run_until(70.0);
    assert_eq!(tasks_ended_by_leases(&w), 0);
    assert!(running(&w, "run-009") == 60);
}

/// Guards against the loss of machines whose controller receives no heartbeats. The machines
/// moved from controller to controller for three report intervals and more; their leases
/// expired, and the controller without heartbeats returned them.
#[test]
fn machines_of_a_controller_without_heartbeats_are_reassigned() {
    for (seed, leads) in [(31, false), (32, true), (33, false)] {
        let mut w = fleet(seed, 3, 150, 100.0);
        w.submit("run-009", service(300));
        w.run_until(30.0);
        let leader = w.store.leader().unwrap();
        let deaf = if leads { leader } else { (leader + 1) % 3 };
        w.nodes[deaf].deaf = true;
        w.later(80.0, move |w| w.nodes[deaf].deaf = false);
        w.run_until(120.0);
        assert_eq!((tasks_ended_by_leases(&w), w.counters.tasks_lost_on_reachable_machines), (0, 0), "seed {seed}");
        assert_eq!(running(&w, "run-009"), 300, "seed {seed}");
    }
}

/// Two controllers lose the store: their requests are held or refused, or the answers are
/// lost. Their shards move to controllers that reach the store before a lease expires.
#[test]
fn machines_of_a_controller_without_the_store_are_reassigned() {
    for seed in 34..40 {
        let mut w = fleet(seed, 5, 150, 60.0);
        w.submit("run-009", service(300));
        w.run_until(30.0);
        let leader = w.store.leader().unwrap();
        // The leader and another controller.
        for node in [leader, (leader + 1) % 5] {
            match seed % 3 {
                0 => w.nodes[node].store_cut = true,
                1 => w.nodes[node].refused = true,
                _ => w.nodes[node].answers_lost = true,
            }
            w.later(85.0, move |w| {
                (w.nodes[node].refused, w.nodes[node].answers_lost) = (false, false);
                w.reconnect_store(node);
            });
        }
        w.later(33.0, |w| w.jobs.get_mut("run-009").unwrap().cancel_asked = false);
        w.run_until(130.0);
        assert_eq!((tasks_ended_by_leases(&w), w.counters.tasks_lost_on_reachable_machines), (0, 0), "seed {seed}");
        assert_eq!(running(&w, "run-009"), 300, "seed {seed}");
    }
}

/// A third of the machines reach a single controller only, which owns few of them, and are
/// reassigned to it.
#[test]
fn machines_are_reassigned_to_the_controller_that_they_reach() {
    let mut w = fleet(41, 3, 90, 100.0);
    w.submit("run-009", service(180));
    w.run_until(30.0);
    for (n, x) in w.workers.values_mut().enumerate() {
        if n % 3 == 0 {
            x.unreached.extend([1, 2]);
        }
    }
    w.run_until(80.0);
    assert_eq!((tasks_ended_by_leases(&w), w.counters.tasks_lost_on_reachable_machines), (0, 0));
    assert_eq!(running(&w, "run-009"), 180);
}

/// A zone is cut off from all controllers for less than a lease: no machine in it is
/// returned, and its tasks continue. Before, a quarter of each shard was returned.
#[test]
fn a_zone_cut_off_for_less_than_a_lease_loses_no_task() {
    let mut w = fleet(42, 3, 150, 100.0);
    w.submit("run-009", service(300));
    w.run_until(30.0);
    let names: Vec<String> = w.workers.values().filter(|x| x.zone == "b").map(|x| x.name.clone()).collect();
    names.iter().for_each(|n| w.cut_worker(n, true));
    w.run_until(44.0);
    names.iter().for_each(|n| w.cut_worker(n, false));
    w.run_until(80.0);
    assert_eq!((tasks_ended_by_leases(&w), w.counters.tasks_lost_on_reachable_machines), (0, 0));
    assert_eq!(w.cloud.returned.iter().filter(|r| names.contains(&r.1)).count(), 0);
    assert_eq!(running(&w, "run-009"), 300);
}

/// While the links between controllers are cut, no controller can establish that all of them
/// lost a machine: the tasks of a lost machine wait for the end of its lease, and no longer.
#[test]
fn a_lost_machine_keeps_its_lease_while_controllers_are_disconnected() {
    let mut w = fleet(43, 3, 60, 100.0);
    w.submit("run-009", service(120));
    w.run_until(30.0);
    for a in 0..3 {
        w.faults.peers_cut.extend((0..3).map(|b| (a, b)));
    }
    w.run_until(36.0);
    let name = w.workers.values().max_by_key(|x| x.tasks.len()).unwrap().name.clone();
    w.cut_worker(&name, true);
    w.run_until(36.0 + LEASE_S - 4.0);
    assert!(w.workers.contains_key(&name), "returned because a single controller lost it");
    w.run_until(36.0 + LEASE_S + 12.0);
    let elsewhere = running(&w, "run-009");
    assert!(elsewhere >= 120, "{elsewhere}");
}

/// Machines that the cloud no longer lists are proved gone sooner than by missing heartbeats.
#[test]
fn machines_missing_from_the_cloud_list_are_not_waited_for() {
    let mut w = fleet(44, 3, 90, 100.0);
    w.submit("run-009", service(180));
    w.run_until(50.0);
    // Half of one zone at once: missing heartbeats alone would count as a network partition.
    let names: Vec<String> = w.workers.values().filter(|x| x.zone == "b").map(|x| x.name.clone()).step_by(2).collect();
    for n in names.iter().chain(names.iter()) {
        w.cloud.machines.remove(n);
        w.workers.remove(n);
    }
    w.run_until(50.0 + 16.0);
    assert_eq!(running(&w, "run-009"), 180);
}

/// The store is down for all controllers for longer than one of them may act alone: all
/// attest that no cancellation can have been confirmed to a user, and no task stops.
#[test]
fn a_store_outage_stops_no_task_while_all_controllers_attest() {
    let mut w = fleet(45, 5, 80, 60.0);
    w.submit("run-009", service(160));
    w.run_until(30.0);
    w.store.set_down(w.now, true);
    for at in 31..(30 + 3 * CANCEL_S as u32) {
        w.later(f64::from(at), move |w| assert_eq!(running(w, "run-009"), 160, "{at} s"));
    }
    w.run_until(30.0 + 3.0 * CANCEL_S);
    w.store.set_down(w.now, false);
    w.run_until(60.0 + 3.0 * CANCEL_S);
    assert_eq!((running(&w, "run-009"), tasks_ended_by_leases(&w)), (160, 0));
}

/// A controller whose heartbeats are missing ends the attestation, as it may have confirmed
/// to a user that the job is cancelled. The world checks that no task outlives that
/// confirmation by `cancel_s`.
#[test]
fn a_missing_peer_ends_the_attestation_in_time() {
    for seed in 0..4 {
        let mut w = fleet(46 + seed, 5, 60, 60.0);
        w.submit("run-009", service(120));
        w.run_until(30.0);
        // One controller alone reaches the store, and the others do not receive its heartbeats.
        let isolated = w.rng.random_range(0..5);
        for n in (0..5).filter(|n| *n != isolated) {
            w.nodes[n].refused = true;
            w.faults.peers_cut.insert((isolated, n));
            if seed % 2 == 0 {
                w.faults.peers_cut.insert((n, isolated));
            }
        }
        w.later(31.0, |w| w.jobs.get_mut("run-009").unwrap().cancel_asked = true);
        w.run_until(130.0);
        assert!(w.jobs["run-009"].cancelled_at.is_some(), "seed {seed}");
        assert_eq!(running(&w, "run-009"), 0, "seed {seed}");
    }
}

/// Links of every kind fail at random, several at once: held back, refused, or in one direction.
#[test]
fn rules_hold_under_random_cuts() {
    // Seed 12: a new owner returned a machine that its old owner, whose watch was stalled,
    // still answered. Seed 28: a job was complete while the holder of its lease was not a
    // member, and no controller closed the job when the holder was back.
    for seed in (0..seed_count(5)).chain([12, 28]) {
        random_cuts(seed);
    }
}

/// Runs one world with random link failures to its end.
pub fn random_cuts(seed: u64) {
    let (nodes, machines) = (7, 120);
    let mut w = fleet(5000 + seed, nodes, machines, 60.0);
    w.submit("run-009", service(120));
    for n in 0..12 {
        let at = w.rng.random_range(0.0..80.0);
        let uid = format!("run-{n:02}{}", n % 5);
        let job = array(w.rng.random_range(4..60), 4.0);
        if n % 4 == 1 {
            let (cancel_at, uid) = (w.rng.random_range(at..100.0), uid.clone());
            w.later(cancel_at, move |w| w.jobs.get_mut(&uid).unwrap().cancel_asked = true);
        }
        w.later(at, move |w| w.submit(&uid, job));
    }
    for _ in 0..10 {
        let at = w.rng.random_range(15.0..85.0);
        let end = at + w.rng.random_range(2.0..40.0);
        let (i, j) = (w.rng.random_range(0..nodes), w.rng.random_range(0..nodes));
        let which = w.rng.random_range(0..machines as usize);
        match w.rng.random_range(0..9) {
            0 => {
                w.later(at, move |w| w.nodes[i].store_cut = true);
                w.later(end, move |w| w.reconnect_store(i));
            }
            1 => {
                w.later(at, move |w| w.nodes[i].answers_lost = true);
                w.later(end, move |w| w.nodes[i].answers_lost = false);
            }
            2 => {
                w.later(at, move |w| w.nodes[i].refused = true);
                w.later(end, move |w| w.nodes[i].refused = false);
            }
            3 => {
                w.later(at, move |w| w.nodes[i].deaf = true);
                w.later(end, move |w| w.nodes[i].deaf = false);
            }
            4 => {
                w.later(at, move |w| w.faults.peers_cut.extend([(i, j)]));
                w.later(end, move |w| w.faults.peers_cut.retain(|c| *c != (i, j)));
            }
            5 => {
                let all = move || (0..nodes).flat_map(move |a| (0..nodes).map(move |b| (a, b)));
                w.later(at, move |w| w.faults.peers_cut.extend(all()));
                w.later(end, move |w| w.faults.peers_cut.clear());
            }
            6 => {
                // The machines of a zone reach a single controller only.
                let set = move |w: &mut World, on: bool| {
                    for x in w.workers.values_mut().filter(|x| x.zone == "b") {
                        x.unreached = if on { (0..nodes).filter(|n| *n != i).collect() } else { [].into() };
                    }
                };
                w.later(at, move |w| set(w, true));
                w.later(end, move |w| set(w, false));
            }
            7 => {
                w.later(at, |w| w.store.set_down(w.now, true));
                w.later(end, |w| w.store.set_down(w.now, false));
            }
            _ => w.later(at, move |w| {
                let Some(name) = w.workers.keys().nth(which).cloned() else { return };
                w.cut_worker(&name, true);
                w.later(end, move |w| w.cut_worker(&name, false));
            }),
        }
    }
    w.run_until(260.0);
    assert_eq!(w.counters.tasks_lost_on_reachable_machines, 0, "seed {seed}: tasks on reachable machines were lost");
    for (uid, j) in &w.jobs {
        let finished = j.confirmed_done || j.cancelled_at.is_some() || j.standing;
        assert!(finished, "seed {seed}: {uid} is not finished: {j:?}");
    }
    assert!(w.now == s(260.0));
}
