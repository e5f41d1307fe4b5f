//! Cuts that leave some links up, at some hundred machines: nothing that some
//! controller could answer for loses its lease, and nothing that lives is returned.

use crate::reconciliation::seeds;
use crate::world::helpers::{running, with_spare_machines};
use crate::world::{CANCEL_S, LEASE_S, SMALL, Size, World, array, s, service};
use rand::RngExt;

fn fleet(seed: u64, controllers: usize, machines: u32, write_rps: f64) -> World {
    let size = Size { controllers, machines, write_rps, zones: &["a", "b"], ..SMALL };
    with_spare_machines(seed, size, 20)
}

/// Tasks that a lapsed lease ended.
fn lapsed(w: &World) -> u32 {
    w.workers.values().map(|x| x.lapsed).sum()
}

/// The store takes less than submissions and starts of services want to write;
/// they overdraw, and the claim to a vacant lead waited for a level above nothing.
/// Nobody led for a minute, and the tasks of the leader's shard lapsed.
#[test]
fn leadership_is_taken_however_much_is_written() {
    let mut w = fleet(30, 5, 60, 12.0);
    w.submit("run-009", service(60));
    w.run_until(30.0);
    // Services come at twice the rate at which they can be written down.
    for n in 0..700 {
        w.later(30.0 + 0.06 * f64::from(n), move |w| w.submit(&format!("run-{n:03}19"), service(1)));
    }
    let leader = w.store.leader().unwrap();
    w.later(32.0, move |w| w.nodes[leader].refused = true);
    w.run_until(42.0);
    assert!(w.store.leader().is_some_and(|l| l != leader), "nobody leads");
    w.run_until(70.0);
    assert_eq!(lapsed(&w), 0);
    assert!(running(&w, "run-009") == 60);
}

/// A deaf controller's machines went from one to the other for three report
/// intervals and more; their leases ran out, and the deaf one returned them.
#[test]
fn the_machines_of_a_deaf_controller_go_to_others() {
    for (seed, leads) in [(31, false), (32, true), (33, false)] {
        let mut w = fleet(seed, 3, 150, 100.0);
        w.submit("run-009", service(300));
        w.run_until(30.0);
        let leader = w.store.leader().unwrap();
        let deaf = if leads { leader } else { (leader + 1) % 3 };
        w.nodes[deaf].deaf = true;
        w.later(80.0, move |w| w.nodes[deaf].deaf = false);
        w.run_until(120.0);
        assert_eq!((lapsed(&w), w.counters.tasks_lost_on_reachable_machines), (0, 0), "seed {seed}");
        assert_eq!(running(&w, "run-009"), 300, "seed {seed}");
    }
}

/// Cut from the store, held or refused, with answers lost: the shard goes to those
/// that reach it, before a lease runs out.
#[test]
fn the_machines_of_a_controller_without_the_store_go_to_others() {
    for seed in 34..40 {
        let mut w = fleet(seed, 5, 150, 60.0);
        w.submit("run-009", service(300));
        w.run_until(30.0);
        let leader = w.store.leader().unwrap();
        // The leader, and another.
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
        assert_eq!((lapsed(&w), w.counters.tasks_lost_on_reachable_machines), (0, 0), "seed {seed}");
        assert_eq!(running(&w, "run-009"), 300, "seed {seed}");
    }
}

/// A third of the machines reach one controller only, which does not own them.
#[test]
fn machines_go_to_the_controller_that_they_reach() {
    let mut w = fleet(41, 3, 90, 100.0);
    w.submit("run-009", service(180));
    w.run_until(30.0);
    for (n, x) in w.workers.values_mut().enumerate() {
        if n % 3 == 0 {
            x.unreached.extend([1, 2]);
        }
    }
    w.run_until(80.0);
    assert_eq!((lapsed(&w), w.counters.tasks_lost_on_reachable_machines), (0, 0));
    assert_eq!(running(&w, "run-009"), 180);
}

/// A zone is cut off from all for less than a lease: nothing in it is returned,
/// and when it is back its tasks go on. Before, a quarter of each shard went.
#[test]
fn a_zone_that_comes_back_in_time_loses_nothing() {
    let mut w = fleet(42, 3, 150, 100.0);
    w.submit("run-009", service(300));
    w.run_until(30.0);
    let names: Vec<String> = w.workers.values().filter(|x| x.zone == "b").map(|x| x.name.clone()).collect();
    names.iter().for_each(|n| w.cut_worker(n, true));
    w.run_until(44.0);
    names.iter().for_each(|n| w.cut_worker(n, false));
    w.run_until(80.0);
    assert_eq!((lapsed(&w), w.counters.tasks_lost_on_reachable_machines), (0, 0));
    assert_eq!(w.cloud.returned.iter().filter(|r| names.contains(&r.1)).count(), 0);
    assert_eq!(running(&w, "run-009"), 300);
}

/// With the links between controllers refused nobody can say that nobody hears a
/// machine: a dead one's tasks wait for its lease, and no longer.
#[test]
fn without_links_between_controllers_a_lease_is_waited_for() {
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
    assert!(w.workers.contains_key(&name), "returned on the word of one");
    w.run_until(36.0 + LEASE_S + 12.0);
    let elsewhere = running(&w, "run-009");
    assert!(elsewhere >= 120, "{elsewhere}");
}

/// Machines that the cloud lists no more are proved gone sooner than by silence.
#[test]
fn machines_that_are_listed_no_more_are_not_waited_for() {
    let mut w = fleet(44, 3, 90, 100.0);
    w.submit("run-009", service(180));
    w.run_until(50.0);
    // Half of one zone at once: silence alone would count as a cut.
    let names: Vec<String> = w.workers.values().filter(|x| x.zone == "b").map(|x| x.name.clone()).step_by(2).collect();
    for n in names.iter().chain(names.iter()) {
        w.cloud.machines.remove(n);
        w.workers.remove(n);
    }
    w.run_until(50.0 + 16.0);
    assert_eq!(running(&w, "run-009"), 180);
}

/// The store refuses all for longer than one controller may act by itself: all
/// attest that nobody can have been told of a cancellation, and nothing stops.
#[test]
fn an_outage_of_the_store_for_all_stops_nothing_while_all_attest() {
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
    assert_eq!((running(&w, "run-009"), lapsed(&w)), (160, 0));
}

/// One that says nothing ends the attestation: it might have told a user that the
/// job is cancelled. The world checks that no task outlives that by `cancel_s`.
#[test]
fn a_missing_peer_ends_the_attestation_in_time() {
    for seed in 0..4 {
        let mut w = fleet(46 + seed, 5, 60, 60.0);
        w.submit("run-009", service(120));
        w.run_until(30.0);
        // One controller alone still has the store, and is not heard by the others.
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

/// Links of every kind cut at random, several at once, held, refused, one way.
#[test]
fn rules_hold_under_random_cuts() {
    // 12: a new owner returned a machine that its old one, which saw nothing any
    // more, still answered. 28: a job was complete while its holder was no member,
    // and nobody ended it when that was back.
    for seed in (0..seeds(5)).chain([12, 28]) {
        random_cuts(seed);
    }
}

/// One world with cuts, to its end.
pub fn random_cuts(seed: u64) {
    let (nodes, machines) = (7, 120);
    let mut w = fleet(5000 + seed, nodes, machines, 60.0);
    w.submit("run-009", service(120));
    for n in 0..12 {
        let at = w.rng.random_range(0.0..80.0);
        let uid = format!("run-{n:02}{}", n % 5);
        let job = array(w.rng.random_range(4..60), 4.0);
        if n % 4 == 1 {
            let (gone, uid) = (w.rng.random_range(at..100.0), uid.clone());
            w.later(gone, move |w| w.jobs.get_mut(&uid).unwrap().cancel_asked = true);
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
                // A zone's machines reach one controller only.
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
    assert_eq!(w.counters.tasks_lost_on_reachable_machines, 0, "seed {seed}: tasks on machines that live were lost");
    for (uid, j) in &w.jobs {
        let over = j.confirmed_done || j.cancelled_at.is_some() || j.standing;
        assert!(over, "seed {seed}: {uid} is not over: {j:?}");
    }
    assert!(w.now == s(260.0));
}
