//! Every accepted job runs, and every controller can answer queries about it, whatever
//! messages are late or lost or were sent by an earlier incarnation of a process or machine:
//! duplicated heartbeats, machines that receive nothing, controllers that reach only their
//! agents, crashes during elections.

#![warn(missing_docs)]

mod fairness;
mod gangs;

use crate::reconciliation::seed_count;
use crate::world::helpers::{done, fleet, random_failures, running};
use crate::world::worker::{TaskState, Worker};
use crate::world::{CANCEL_S, LEASE_S, REPORT_S, SMALL, Size, World, array, s, service};
use rand::RngExt;

/// Time without an answered query after which a job counts as forgotten.
const FORGOTTEN_AFTER_S: f64 = 75.0;

/// Asserts that every controller knows every accepted job: queries each of them about each
/// job, repeatedly for as long as a job may go without an answer.
pub fn assert_all_jobs_known(w: &mut World) {
    let (seed, nodes) = (w.seed, w.nodes.len());
    let accepted: Vec<String> = w.jobs.iter().filter(|(_, j)| j.accepted).map(|(uid, _)| uid.clone()).collect();
    let pairs = || accepted.iter().flat_map(|uid| (0..nodes).map(move |i| (uid.clone(), i)));
    let until = w.now.as_secs_f64() + FORGOTTEN_AFTER_S;
    w.asked.clear();
    while w.now.as_secs_f64() < until {
        for (uid, i) in pairs() {
            if w.asked.get(&(uid.clone(), i)) != Some(&200) {
                w.ask(&uid, i);
            }
        }
        w.run_until(w.now.as_secs_f64() + 5.0);
    }
    for pair in pairs() {
        assert_eq!(w.asked[&pair], 200, "seed {seed}: no answer about {pair:?}");
    }
}

/// Random faults of all kinds, among them duplicated heartbeats of any age, then no faults.
#[test]
fn every_accepted_job_is_known_after_any_failures() {
    for seed in 0..seed_count(8) {
        any_failures(seed);
    }
}

/// Runs one world with faults of all kinds to its end.
pub fn any_failures(seed: u64) {
    let team_max = if seed.is_multiple_of(2) { 12.0 } else { 60.0 };
    let controllers = [3, 5, 7][seed as usize % 3];
    let size = Size { controllers, machines: 30, write_rps: 30.0, txn_ops: 12, team_max, zones: &["a", "b"], ..SMALL };
    let mut w = World::sized(8000 + seed, size);
    w.cloud.most = 36;
    w.faults.duplicated_heartbeats =
        Some((0.3, if seed.is_multiple_of(2) { (1.0, LEASE_S) } else { (LEASE_S, 3.0 * LEASE_S) }));
    w.faults.restart_range_s = Some((0.01, 0.9));
    let mut w = random_failures(w, 24, 20, 260.0);
    w.faults.duplicated_heartbeats = None;
    assert_all_jobs_known(&mut w);
}

/// Guards against a lost machine being kept as long as duplicates of its heartbeats arrive.
#[test]
fn duplicated_heartbeats_do_not_keep_a_lost_machine() {
    for seed in 0..6 {
        let mut w = fleet(8100 + seed, 3, 24);
        w.submit("run-009", service(24));
        w.run_until(12.0);
        let name = w.workers.iter().max_by_key(|(_, x)| x.tasks.len()).unwrap().0.clone();
        let old: Vec<u8> = w.workers.get_mut(&name).unwrap().report(w.now);
        w.run_until(16.0);
        w.cut_worker(&name, true);
        for n in 0..60 {
            let (copy, node) = (old.clone(), n % 3);
            w.later(16.0 + 0.5 * n as f64, move |w| w.send_duplicate(node, copy));
        }
        w.run_until(31.0);
        assert!(!w.workers.contains_key(&name), "seed {seed}: the lost machine counts as live");
        assert_eq!(running(&w, "run-009"), 24, "seed {seed}");
        // After its return, a duplicate must not make a controller record the machine again.
        w.run_until(60.0);
        let to = w.rng.random_range(0..3);
        w.crash(to);
        w.run_until(66.0);
        let machines = w.store.count("fq/h/");
        for n in 0..10 {
            let copy = old.clone();
            w.later(66.0 + n as f64, move |w| w.send_duplicate(to, copy));
        }
        w.run_until(80.0);
        assert_eq!(w.store.count("fq/h/"), machines, "seed {seed}: a returned machine was recorded again");
    }
}

/// Guards against a duplicated heartbeat with a preemption notice that drains a machine. Where
/// it was the first message from the machine to a restarted controller, the machine was
/// drained and its services were stopped needlessly.
#[test]
fn a_duplicated_heartbeat_drains_no_machine() {
    for seed in 0..12 {
        let mut w = fleet(8200 + seed, 3, 12);
        w.submit("run-009", service(24));
        w.run_until(20.0);
        let name = w.workers.iter().max_by_key(|(_, x)| x.tasks.len()).unwrap().0.clone();
        let copy = {
            let now = w.now;
            let x: &mut Worker = w.workers.get_mut(&name).unwrap();
            x.preempted_at = Some(now + s(4.0));
            let copy = x.report(now);
            x.preempted_at = None;
            // The duplicate is the first message that the restarted controllers receive.
            x.next_report = now + s(REPORT_S);
            copy
        };
        w.faults.restart_s = 0.05;
        (0..3).for_each(|i| w.crash(i));
        for n in 0..200 {
            let copy = copy.clone();
            w.later(20.06 + 0.02 * n as f64, move |w| (0..3).for_each(|i| w.send_duplicate(i, copy.clone())));
        }
        w.run_until(40.0);
        let kills: usize = w.workers.values().map(|x| x.kills.len()).sum();
        assert_eq!((kills, running(&w, "run-009")), (0, 24), "seed {seed}");
    }
}

/// Guards against the loss of a machine whose agent restarts at once. Its counters started
/// again, and its heartbeats were refused as duplicates until the machine was given up and
/// returned.
#[test]
fn a_machine_whose_agent_restarts_at_once_continues() {
    for seed in 0..6 {
        let mut w = fleet(8300 + seed, 3, 10);
        w.cloud.most = 10;
        w.submit("run-009", service(60));
        w.run_until(20.0);
        assert_eq!(running(&w, "run-009"), 60);
        let name = w.workers.iter().max_by_key(|(_, x)| x.tasks.len()).unwrap().0.clone();
        let now = w.now;
        w.workers.get_mut(&name).unwrap().restart_agent(now);
        // Well before its heartbeats would count as missing and it would be contacted for that.
        w.run_until(20.0 + 1.4 * REPORT_S);
        assert_eq!(running(&w, "run-009"), 60, "seed {seed}");
        assert!(w.workers.contains_key(&name), "seed {seed}: the machine was returned");
    }
}

/// Guards against tasks that are on record but run nowhere. A machine whose heartbeats arrive
/// while no answer reaches it counted as having renewed its lease, indefinitely. None of its
/// tasks is stopped before its lease expires, and it is not passed from controller to
/// controller.
#[test]
fn tasks_of_a_machine_that_receives_nothing_run_elsewhere() {
    for (seed, controllers) in [(0, 3), (1, 3), (2, 7), (3, 7)] {
        let mut w = fleet(8400 + seed, controllers, 30);
        w.submit("run-009", service(60));
        w.submit("run-008", array(40, 18.0));
        w.run_until(20.0);
        let name = w.workers.iter().max_by_key(|(_, x)| x.tasks.len()).unwrap().0.clone();
        w.workers.get_mut(&name).unwrap().deaf = true;
        // The return of the machine proves its tasks gone; while the cloud is down, its expired lease does.
        w.cloud.down = seed % 2 == 1;
        let before = w.store.revision();
        let n = name.clone();
        for at in 21..37 {
            let n = n.clone();
            w.later(f64::from(at), move |w| {
                assert!(w.workers.contains_key(&n), "returned before its lease expired, at {at} s")
            });
        }
        // Its lease, a grant to a controller that receives its heartbeats, and one attempt at each controller.
        let bound = 20.0 + LEASE_S + CANCEL_S + 5.5 * controllers as f64;
        w.run_until(bound);
        assert_eq!(running(&w, "run-009"), 60, "seed {seed}");
        assert!(done(&w, "run-008"), "seed {seed}");
        let moves = w.store.changes(&format!("fq/h/{name}"), before);
        assert!(moves <= 3, "seed {seed}: passed between controllers, {moves} changes");
    }
}

/// A machine that receives answers again is used again, and one that merely missed an answer
/// is never taken out of use.
#[test]
fn a_machine_that_receives_answers_again_is_used_again() {
    let mut w = fleet(8500, 3, 8);
    w.cloud.most = 8;
    w.submit("run-009", service(40));
    w.run_until(16.0);
    let names: Vec<String> = w.workers.keys().cloned().collect();
    for (n, name) in names.iter().enumerate() {
        // Each machine misses an answer, one after the other.
        let (a, b) = (name.clone(), name.clone());
        w.later(16.0 + 3.0 * n as f64, move |w| w.workers.get_mut(&a).unwrap().deaf = true);
        w.later(18.2 + 3.0 * n as f64, move |w| w.workers.get_mut(&b).unwrap().deaf = false);
    }
    w.run_until(55.0);
    let lapsed: u32 = w.workers.values().map(|x| x.lapsed).sum();
    assert_eq!((w.workers.len(), running(&w, "run-009"), lapsed), (8, 40, 0));
    assert!(names.iter().all(|n| w.workers.contains_key(n)), "a machine was returned");
}

/// A zone with half of the machines receives nothing for a while: none of them is returned.
#[test]
fn machines_of_a_zone_that_receives_nothing_are_not_returned() {
    let mut w = fleet(8600, 3, 30);
    w.submit("run-009", service(60));
    w.run_until(20.0);
    let zone: Vec<String> = w.workers.values().filter(|x| x.zone == "a").map(|x| x.name.clone()).collect();
    zone.iter().for_each(|n| w.workers.get_mut(n).unwrap().deaf = true);
    let names = zone.clone();
    w.later(20.0 + 1.5 * LEASE_S, move |w| {
        assert!(names.iter().all(|n| w.workers.contains_key(n)), "some were returned");
        names.iter().for_each(|n| w.workers.get_mut(n).unwrap().deaf = false);
    });
    w.run_until(150.0);
    assert_eq!(running(&w, "run-009"), 60);
    assert!(w.counters.tasks_lost_on_reachable_machines == 0);
}

/// Controllers, among them the leader, lose the store and the other controllers, but not
/// their agents: no running task is lost, and they do not overwrite what other controllers
/// stored meanwhile.
#[test]
fn controllers_isolated_with_their_agents_step_down_in_time() {
    for (seed, isolated, leads) in [(0, 1, false), (1, 1, true), (2, 3, true)] {
        let mut w = fleet(8700 + seed, 7, 70);
        w.submit("run-009", service(140));
        w.submit("run-008", array(60, 18.0));
        w.run_until(20.0);
        let leader = w.store.leader().unwrap();
        let first = if leads { leader } else { (leader + 1) % 7 };
        let isolated_nodes: Vec<usize> = (0..isolated).map(|n| (first + n) % 7).collect();
        isolated_nodes.iter().for_each(|i| w.isolate(*i, true));
        w.later(26.0, |w| w.submit("run-001", array(20, 4.0)));
        let back = isolated_nodes.clone();
        w.later(80.0, move |w| back.iter().for_each(|i| w.isolate(*i, false)));
        w.run_until(45.0);
        assert!(w.jobs["run-001"].accepted, "seed {seed}: no controller accepts jobs");
        assert!(
            isolated_nodes.iter().all(|i| !w.healthy(*i)),
            "seed {seed}: users are still routed to isolated controllers"
        );
        w.run_until(130.0);
        assert!(done(&w, "run-001") && done(&w, "run-008"), "seed {seed}");
        assert_eq!(running(&w, "run-009"), 140, "seed {seed}");
        assert_eq!(w.counters.tasks_lost_on_reachable_machines, 0, "seed {seed}");
        assert_all_jobs_known(&mut w);
    }
}

/// Each leader crashes as soon as it leads and is back 10 to 900 ms later, together with
/// another controller; agents of machines restart meanwhile. There is a leader in the end,
/// and no grant is lost.
#[test]
fn crashes_during_elections_lose_no_grant() {
    for seed in 0..seed_count(8) {
        ends_in_elections(seed);
    }
}

/// Runs one world with crashes of leaders to its end.
pub fn ends_in_elections(seed: u64) {
    let mut w = fleet(8800 + seed, if seed.is_multiple_of(2) { 3 } else { 7 }, 40);
    let nodes = w.nodes.len();
    w.submit("run-009", service(80));
    w.run_until(20.0);
    w.faults.restart_range_s = Some((0.01, 0.9));
    w.faults.crashes_in_exchanges_until = s(45.0);
    for n in 0..40 {
        let at = 20.0 + 0.6 * f64::from(n) + w.rng.random_range(0.0..0.5);
        let other = w.rng.random_range(0..nodes);
        w.later(at, move |w| {
            if let Some(leader) = w.store.leader() {
                w.crash(leader);
            }
            w.crash(other);
            let now = w.now;
            let which = w.rng.random_range(0..w.workers.len());
            if n % 5 == 0 {
                w.workers.values_mut().nth(which).unwrap().restart_agent(now);
            }
        });
    }
    w.later(46.0, |w| w.submit("run-001", array(20, 4.0)));
    w.run_until(75.0);
    assert!(w.store.leader().is_some(), "seed {seed}: no leader");
    assert!(done(&w, "run-001"), "seed {seed}");
    assert_eq!(running(&w, "run-009"), 80, "seed {seed}");
    let running_on = |x: &Worker| x.tasks.values().filter(|t| t.state == TaskState::Running).count();
    assert!(w.workers.values().filter(|x| running_on(x) > 0).count() > 5);
    assert_all_jobs_known(&mut w);
}
