//! Failures in a simulated cluster of a few controllers on a fake clock. The world checks the
//! rules at every step. The tests assert which jobs still complete and which services still run.

mod behaviour;
mod connectivity;
mod known;
mod limits;
mod log;
mod maintenance;
mod meetings;
mod reconciliation;
mod requests_sent;
mod restarts;
mod world;

use rand::RngExt;
use world::helpers::{done, random_failures, running};
use world::{Job, SMALL, Size, World, array, gang, s, service};

/// Without faults, arrays complete, services stay up, and a cancelled service leaves no tasks
/// and no checkpoints behind.
#[test]
fn arrays_services_and_cancellations_work_without_faults() {
    let mut w = World::new(1, 4);
    w.submit("run-001", array(12, 4.0));
    w.submit("run-009", service(2));
    w.run_until(20.0);
    assert!(done(&w, "run-001"));
    assert_eq!(running(&w, "run-009"), 2);
    w.jobs.get_mut("run-009").unwrap().cancel_asked = true;
    w.run_until(25.0);
    assert!(w.jobs["run-009"].cancelled_at.is_some());
    assert_eq!(running(&w, "run-009"), 0);
    // Once the tasks are proved gone, their checkpoints are deleted.
    assert_eq!(w.store.count("fq/t/"), 0);
}

/// A restart of one controller loses no task of an array or a service.
#[test]
fn one_controller_restarts() {
    for node in 0..3 {
        let mut w = World::new(2, 4);
        w.submit("run-004", array(16, 10.0));
        w.submit("run-009", service(3));
        w.later(8.0, move |w| w.crash(node));
        w.run_until(50.0);
        assert!(done(&w, "run-004"), "node {node}");
        assert_eq!(running(&w, "run-009"), 3, "node {node}");
    }
}

/// A restart of all controllers at once loses no task of an array or a service.
#[test]
fn all_controllers_restart_at_once() {
    let mut w = World::new(3, 4);
    w.submit("run-002", array(10, 6.0));
    w.submit("run-004", array(16, 10.0));
    w.submit("run-009", service(3));
    w.later(9.0, |w| (0..3).for_each(|i| w.crash(i)));
    w.run_until(45.0);
    assert!(done(&w, "run-002") && done(&w, "run-004"));
    // The services never stopped, because the leases of their agents outlast a restart.
    assert_eq!(running(&w, "run-009"), 3);
}

/// Restarts of all controllers, one after the other, lose no task of an array or a service.
#[test]
fn each_controller_restarts_in_turn() {
    let mut w = World::new(4, 4);
    w.submit("run-009", service(4));
    for i in 0..3 {
        w.later(10.0 + 8.0 * i as f64, move |w| w.crash(i));
        w.later(12.0 + 8.0 * i as f64, move |w| w.submit(&format!("run-{}1", i + 1), array(6, 4.0)));
    }
    w.run_until(70.0);
    for uid in ["run-11", "run-21", "run-31"] {
        assert!(done(&w, uid), "{uid}");
    }
    assert_eq!(running(&w, "run-009"), 4);
}

/// A machine whose heartbeats stop is released. That proves its tasks gone, so they start
/// elsewhere well before its lease would have expired.
#[test]
fn tasks_of_a_lost_machine_restart_before_its_lease_expires() {
    for seed in 0..10 {
        let mut w = World::new(seed, 4);
        w.submit("run-009", service(6));
        w.run_until(10.0);
        let name = w.workers.iter().max_by_key(|(_, x)| x.tasks.len()).unwrap().0.clone();
        w.cut_worker(&name, true);
        w.run_until(25.5);
        assert!(!w.workers.contains_key(&name), "seed {seed}");
        assert_eq!(running(&w, "run-009"), 6, "seed {seed}");
    }
}

/// An outage of the store stops no running task. A job submitted meanwhile is accepted only after
/// the outage.
#[test]
fn a_store_outage_stops_nothing_that_runs() {
    let mut w = World::new(6, 4);
    w.submit("run-009", service(4));
    w.submit("run-008", array(8, 18.0));
    w.later(10.0, |w| w.store.set_down(w.now, true));
    w.later(11.0, |w| w.submit("run-001", array(2, 4.0)));
    w.later(25.0, |w| {
        assert_eq!(running(w, "run-009"), 4);
        assert!(!w.jobs["run-001"].accepted);
        w.store.set_down(w.now, false);
    });
    w.run_until(45.0);
    assert!(done(&w, "run-008") && done(&w, "run-001"));
}

/// A controller that the store refuses does not learn of cancellations. It must stop answering
/// its agents early enough for a cancellation to take effect in time, and the other controllers
/// take its machines over.
#[test]
fn a_controller_that_the_store_refuses_loses_its_machines() {
    let mut w = World::new(7, 4);
    w.submit("run-009", service(4));
    w.later(10.0, |w| w.nodes[1].refused = true);
    w.later(12.0, |w| w.jobs.get_mut("run-009").unwrap().cancel_asked = true);
    w.later(14.0, |w| w.submit("run-003", array(12, 8.0)));
    w.run_until(70.0);
    assert_eq!(running(&w, "run-009"), 0);
    assert!(done(&w, "run-003"));
}

/// Start commands pushed to a machine that is cut off arrive when the cut ends. By then their
/// tasks may run elsewhere, and only the fencing token prevents them from running twice.
#[test]
fn commands_held_back_by_a_cut_start_no_task_twice() {
    for seed in 0..6 {
        let mut w = World::new(100 + seed, 3);
        w.run_until(4.0);
        w.cloud.down = seed % 2 == 0; // without a release, the expired lease must prove the tasks gone
        w.submit("run-006", array(9, 14.0));
        let names: Vec<String> = w.workers.keys().cloned().collect();
        let name = names[seed as usize % 3].clone();
        w.run_until(4.0 + 0.01 * seed as f64);
        w.cut_worker(&name, true);
        let cut = name.clone();
        w.later(20.0 + 3.0 * seed as f64, move |w| w.cut_worker(&cut, false));
        w.run_until(110.0);
        assert!(done(&w, "run-006"), "seed {seed}");
    }
}

/// The tasks of a machine that is cut off for longer than its lease are proved gone. If it sends
/// heartbeats again before that is stored, it must not be told to run them again: they start
/// elsewhere as soon as the write succeeds.
#[test]
fn tasks_proved_gone_before_a_delayed_write_start_elsewhere() {
    for seed in 0..6 {
        let mut w = World::new(200 + seed, 4);
        w.submit("run-009", service(8));
        w.run_until(10.0);
        w.cloud.down = true;
        let name = w.workers.iter().max_by_key(|(_, x)| x.tasks.len()).unwrap().0.clone();
        w.cut_worker(&name, true);
        w.later(40.0 + seed as f64, |w| w.store.holds_transactions = true);
        w.later(66.0, move |w| w.cut_worker(&name, false));
        w.later(75.0, |w| w.store.apply_held_transactions(w.now));
        w.run_until(100.0);
        assert_eq!(running(&w, "run-009"), 8, "seed {seed}");
    }
}

/// Guards against a fault by which the store refused, again and again, the transaction of a job on
/// more machines than one transaction may name, so that the tasks never started.
#[test]
fn a_job_on_more_machines_than_a_transaction_holds_starts_in_parts() {
    let mut w = World::sized(9, Size { txn_ops: 4, machines: 60, ..SMALL });
    let mut j = array(55, 3.0);
    j.cores = 8.0;
    w.submit("run-003", j);
    w.run_until(30.0);
    assert!(done(&w, "run-003"));
}

/// Guards against a fault by which a job of 25,000 tasks was never accepted: the task
/// ranges in its record alone exceeded the size limit of a value.
#[test]
fn a_job_of_25000_tasks_starts() {
    let size = Size { controllers: 7, machines: 60, write_rps: 50.0, txn_ops: 24, ..SMALL };
    let mut w = World::sized(10, size);
    w.cloud.most = 60;
    w.submit("run-001", array(25_000, 20.0));
    // Tasks start and complete; at some time nearly all machines must be full.
    let mut most = 0;
    for at in 5..20 {
        w.run_until(f64::from(at));
        most = most.max(running(&w, "run-001"));
    }
    assert!(most >= 200, "{most} of 240 ran at once");
    w.jobs.get_mut("run-001").unwrap().cancel_asked = true;
    w.run_until(60.0);
    assert!(w.jobs["run-001"].cancelled_at.is_some());
    assert_eq!(running(&w, "run-001"), 0);
}

/// The jobs of a team together never use more than its limit, also when a controller crashes.
#[test]
fn a_team_never_exceeds_its_limit() {
    let mut w = World::new(8, 4);
    for n in 1..4 {
        let mut j = array(8, 6.0);
        j.team = "capped".into();
        w.submit(&format!("run-0{n}1"), j);
    }
    w.later(9.0, |w| w.crash(1));
    w.run_until(90.0);
    assert!(["run-011", "run-021", "run-031"].iter().all(|u| done(&w, u)));
}

/// Guards against a fault by which a shard was granted again only after the leases of its agents
/// had expired, because each machine took a write of its own: the store's write limit must not
/// determine how long a restart takes.
#[test]
fn shards_are_granted_again_before_leases_expire() {
    let mut w = World::sized(
        11,
        Size { controllers: 7, machines: 60, write_rps: 12.0, txn_ops: 8, zones: &["a", "b"], ..SMALL },
    );
    w.cloud.most = 60;
    for n in 0..10 {
        w.submit(&format!("run-{n}09"), service(30));
    }
    w.run_until(70.0);
    let up = |w: &World| (0..10).map(|n| running(w, &format!("run-{n}09"))).sum::<usize>();
    assert_eq!(up(&w), 300);
    (0..7).for_each(|i| w.crash(i));
    for at in 71..110 {
        w.later(f64::from(at), move |w| assert_eq!(up(w), 300, "{at} s"));
    }
    w.run_until(110.0);
}

/// The rules hold under random failures, alone and overlapping, with fixed seeds.
#[test]
fn rules_hold_under_random_failures() {
    for seed in 0..12 {
        let team_max = if seed % 2 == 0 { 8.0 } else { 24.0 };
        let mut w = World::sized(1000 + seed, Size { machines: 5, team_max, ..SMALL });
        w.cloud.most = 7;
        random_failures(w, 14, 9, 200.0);
    }
}

/// The rules hold under random failures with seven controllers, two zones, and a store whose
/// limits bind.
#[test]
fn rules_hold_in_a_large_cluster_under_random_failures() {
    for seed in 0..3 {
        // The smallest limit always binds; the largest is divided among the controllers.
        let team_max = [20.0, 60.0, 120.0][seed as usize];
        let size =
            Size { controllers: 7, machines: 100, write_rps: 12.0, txn_ops: 8, team_max, zones: &["a", "b"], ..SMALL };
        let mut w = World::sized(2000 + seed, size);
        w.cloud.most = 110;
        random_failures(w, 60, 16, 400.0);
    }
}

/// The rules hold under random failures with gangs in four zones, images that take a different
/// time on each machine, scarce GPUs, and a service with zone anti-affinity.
#[test]
fn rules_hold_for_gangs_and_zones_under_random_failures() {
    for seed in 0..10 {
        gangs_and_zones(seed);
    }
}

/// Runs one world with gangs, zones and random failures until its end.
fn gangs_and_zones(seed: u64) {
    let size =
        Size { controllers: 5, machines: 16, zones: &["a", "b", "c", "d"], fetch_s: 10.0, team_max: 24.0, ..SMALL };
    let mut w = World::sized(3000 + seed, size);
    w.cloud.most = 20;
    for n in 0..8 {
        let at = w.rng.random_range(0.0..60.0);
        let uid = format!("run-7{n}{}", n % 5);
        w.later(at, move |w| w.submit(&uid, gang(1 + n % 4)));
    }
    let zone_anti_affinity = Job { zone_anti_affinity: true, gpus: 1.0, ..service(4) };
    w.later(3.0, move |w| w.submit("run-809", zone_anti_affinity));
    random_failures(w, 10, 9, 300.0);
}

/// One task of a gang is reported as `done`, and the machine with the other task is lost before
/// that one is reported. The gang is done all the same.
#[test]
fn a_gang_is_done_when_its_first_task_completes() {
    for seed in 0..8 {
        let mut w = World::new(300 + seed, 4);
        let mut j = gang(2);
        j.cores = 8.0;
        w.submit("run-004", j);
        w.run_until(11.0);
        let machines: Vec<String> = w
            .workers
            .values()
            .filter(|x| x.tasks.values().any(|t| t.job == "run-004"))
            .map(|x| x.name.clone())
            .collect();
        assert_eq!(machines.len(), 2, "seed {seed}");
        // One of the machines is cut off for good just before both tasks complete.
        w.run_until(15.0);
        let lost = machines[seed as usize % 2].clone();
        w.cut_worker(&lost, true);
        w.run_until(60.0);
        assert!(done(&w, "run-004"), "seed {seed}");
    }
}

/// Services leave a machine with a preemption notice before it goes. A gang with a task there is
/// stopped in order: all its tasks are killed at the same time, with a grace period to save.
#[test]
fn tasks_leave_machines_that_are_to_be_preempted_in_order() {
    let mut w = World::new(500, 12);
    // An array leaves the image on all machines.
    w.submit("run-000", array(48, 2.0));
    w.run_until(8.0);
    w.submit("run-009", service(12));
    let mut j = gang(2);
    j.cores = 6.0;
    w.submit("run-004", j);
    w.run_until(16.0);
    let on = |x: &world::worker::Worker, job: &str| {
        x.tasks.values().any(|t| t.job == job && t.state == world::worker::TaskState::Running)
    };
    let name = w.workers.values().find(|x| on(x, "run-004")).unwrap().name.clone();
    let other = w.workers.values().find(|x| on(x, "run-009") && x.name != name).unwrap().name.clone();
    for n in [&name, &other] {
        w.workers.get_mut(n).unwrap().preempted_at = Some(s(24.0));
    }
    w.run_until(20.0);
    let kills: Vec<(std::time::Duration, f64)> =
        w.workers.values().flat_map(|x| &x.kills).filter(|k| k.1 == "run-004").map(|k| (k.0, k.2)).collect();
    assert_eq!(kills.len(), 2);
    assert!(kills.iter().all(|k| k.1 >= 1.5 && k.0.abs_diff(kills[0].0) < s(world::GANG_PEER_S)), "{kills:?}");
    assert!(!on(&w.workers[&other], "run-009"));
    assert_eq!(running(&w, "run-009"), 12);
    w.run_until(50.0);
    assert!(done(&w, "run-004"));
}

/// The machines of a gang fetch the image at different times, further apart than the tasks wait
/// for each other. The gang keeps waiting instead of starting again and again.
#[test]
fn a_gang_waits_for_its_slowest_image_fetch() {
    let mut w = World::new(400, 2);
    let fetch = [1.0, 20.0];
    for (x, f) in w.workers.values_mut().zip(fetch) {
        x.fetch_s = f;
    }
    w.cloud.most = 2;
    let mut j = gang(2);
    j.cores = 8.0;
    w.submit("run-002", j);
    w.run_until(45.0);
    assert!(done(&w, "run-002"));
}
