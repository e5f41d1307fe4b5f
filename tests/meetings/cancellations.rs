//! Cancellations that overlap with other faults: a team at its limit with unreachable machines,
//! tasks that are reassigned, an outage of the store with hanging machines, a stream of short
//! jobs at the write limit.

use super::{all_over, cancel};
use crate::reconciliation::seed_count;
use crate::world::helpers::running;
use crate::world::{CANCEL_S, CloseQueries, Job, LEASE_S, REPORT_S, SMALL, Size, World, array, gang, s, service};
use rand::RngExt;
use std::collections::BTreeSet;

/// Machines that hold tasks of the job.
fn machines_of(w: &World, uid: &str) -> Vec<String> {
    let there = |x: &&crate::world::worker::Worker| x.tasks.values().any(|t| t.job == uid);
    w.workers.values().filter(there).map(|x| x.name.clone()).collect()
}

/// Makes a machine unreachable for `for_s` seconds: cut off, hanging, deaf or mute.
fn make_unreachable(w: &mut World, name: &str, kind: u64, for_s: f64) {
    let (now, name) = (w.now.as_secs_f64(), name.to_string());
    match kind % 4 {
        0 => {
            w.cut_worker(&name, true);
            w.later(now + for_s, move |w| w.cut_worker(&name, false));
        }
        1 => {
            w.hang(&name, true);
            w.later(now + for_s, move |w| w.hang(&name, false));
        }
        2 => {
            w.workers.get_mut(&name).unwrap().deaf = true;
            w.later(now + for_s, move |w| w.workers.get_mut(&name).into_iter().for_each(|x| x.deaf = false));
        }
        _ => {
            w.workers.get_mut(&name).unwrap().mute = true;
            w.later(now + for_s, move |w| w.workers.get_mut(&name).into_iter().for_each(|x| x.mute = false));
        }
    }
}

/// Whichever controller confirms a cancellation, all owners of machines where the job runs send
/// them kill commands as soon as their watches show it, not with the next report.
#[test]
fn a_cancellation_ends_tasks_on_the_machines_of_all_owners() {
    let mut w = World::sized(9945, Size { machines: 18, ..SMALL });
    w.cloud.most = 18;
    w.run_until(10.0);
    for n in 0..6 {
        let uid = format!("run-{n}09");
        w.submit(&uid, array(60, 1e6));
        let now = w.now.as_secs_f64();
        w.run_until(now + 10.0);
        let on = machines_of(&w, &uid);
        let owners: BTreeSet<Option<usize>> = on.iter().map(|m| w.store.owner(m)).collect();
        assert!(owners.len() > 1, "{uid} runs on machines of {owners:?}");
        w.cancel(&uid);
        let now = w.now.as_secs_f64();
        w.run_until(now + REPORT_S / 10.0);
        assert!(w.jobs[&uid].cancelled_at.is_some());
        assert_eq!(running(&w, &uid), 0, "{uid} still runs");
    }
}

/// A team is at its limit. Some of its jobs are cancelled while their machines are cut off, hang
/// or receive nothing, and the leader crashes. Their tasks count for the limit until they are
/// proved gone (the world checks the limit at every step); then other jobs of the team start.
#[test]
fn a_team_at_its_limit_reuses_capacity_of_unreachable_machines() {
    for seed in 0..6 {
        let size = Size { machines: 16, team_max: 24.0, write_rps: 60.0, ..SMALL };
        let mut w = World::sized(9950 + seed, size);
        w.cloud.most = 24;
        let capped = |n: u32| Job { team: "capped".into(), ..array(n, 1e6) };
        for n in 0..4 {
            w.submit(&format!("run-1{n}9"), capped(3));
        }
        w.run_until(12.0);
        for n in 0..4 {
            w.submit(&format!("run-2{n}9"), capped(3));
        }
        w.run_until(20.0);
        let count = |w: &World, kind: &str| (0..4).map(|n| running(w, &format!("run-{kind}{n}9"))).sum::<usize>();
        assert_eq!((count(&w, "1"), count(&w, "2")), (12, 0), "seed {seed}: the team is not at its limit");
        let for_s = [3.0, LEASE_S * 0.8, LEASE_S * 1.7][seed as usize % 3];
        for uid in ["run-109", "run-119"] {
            for name in machines_of(&w, uid) {
                make_unreachable(&mut w, &name, seed % 3, for_s);
            }
            cancel(&mut w, uid, None);
        }
        let leader = w.store.leader().expect("no leader");
        w.faults.restart_s = if seed % 2 == 0 { 0.2 } else { 30.0 };
        w.later(21.5, move |w| w.crash(leader));
        w.run_until(20.0 + for_s.min(LEASE_S) + CANCEL_S);
        assert!(["run-109", "run-119"].iter().all(|uid| w.jobs[*uid].cancelled_at.is_some()), "seed {seed}");
        assert_eq!(running(&w, "run-109") + running(&w, "run-119"), 0, "seed {seed}");
        let all = count(&w, "1") + count(&w, "2");
        assert_eq!(all, 12, "seed {seed}: the capacity of the cancelled jobs was not reused");
    }
}

/// Every team is at its limit, with as many tasks waiting as running. Jobs of each are cancelled
/// while their machines are unreachable (cut off, hanging, deaf or mute), and leaders crash
/// before, during and after that time. No team ever exceeds its limit (the world checks at
/// every step), and each uses all of it again once the cancelled tasks are proved gone.
#[test]
fn teams_keep_to_their_limits_while_leaders_change() {
    const LIMIT_CORES: f64 = 36.0;
    let mut cancelled = 0;
    for seed in 0..seed_count(6) {
        let controllers = [3, 7][seed as usize % 2];
        let size =
            Size { controllers, machines: 16, free_max: LIMIT_CORES, team_max: LIMIT_CORES, write_rps: 60.0, ..SMALL };
        let mut w = World::sized(9990 + seed, size);
        w.cloud.most = 20;
        let teams = ["free", "capped"];
        let of = |team: &str, job: Job| Job { team: team.into(), ..job };
        for (t, team) in teams.into_iter().enumerate() {
            for n in 0..12 {
                w.submit(&format!("run-{t}{n:02}9"), of(team, array(3, 1e6)));
            }
        }
        w.run_until(16.0);
        let full =
            |w: &World| teams.map(|team| w.used().get(team).copied().unwrap_or(0.0)) == [LIMIT_CORES, LIMIT_CORES];
        assert!(full(&w), "seed {seed}: {:?}", w.used());
        let for_s = [4.0, LEASE_S * 0.8, LEASE_S * 1.6][seed as usize % 3];
        w.faults.restart_range_s = Some(if seed % 2 == 0 { (0.02, 0.9) } else { (4.0, 30.0) });
        for n in 0..3 {
            let at = [15.9, 17.0, 16.0 + for_s][n] + w.rng.random_range(0.0..0.3);
            w.later(at, |w| w.crash_leader());
        }
        let runs: Vec<String> = w.jobs.keys().filter(|uid| running(&w, uid) > 0).cloned().collect();
        for (n, uid) in runs.iter().enumerate().filter(|(n, _)| n % 3 == 0) {
            for name in machines_of(&w, uid) {
                make_unreachable(&mut w, &name, seed + n as u64 / 3, for_s);
            }
            let (uid, at) = (uid.clone(), 16.0 + w.rng.random_range(0.2..3.0));
            w.later(at, move |w| w.cancel(&uid));
            cancelled += 1;
        }
        w.run_until(16.0 + for_s + CANCEL_S * 1.5);
        for (uid, j) in w.jobs.iter().filter(|(_, j)| j.cancel_asked) {
            assert!(j.cancelled_at.is_some() && running(&w, uid) == 0, "seed {seed}: {uid} is still there");
        }
        assert!(full(&w), "seed {seed}: capacity was not reused: {:?}", w.used());
    }
    assert!(cancelled > 15, "{cancelled} were cancelled");
}

/// Submits jobs of each kind, most before 8 s and some between 19 and 24 s. Returns the jobs to
/// cancel, about half of them.
fn submit_mixed_jobs(w: &mut World) -> Vec<String> {
    let mut to_cancel = Vec::new();
    for n in 0..24 {
        let at = if n % 4 == 3 { w.rng.random_range(19.0..24.0) } else { w.rng.random_range(1.0..8.0) };
        let uid = format!("run-3{n:02}9");
        let job = match n % 3 {
            0 => service(2),
            1 => Job { run_s: 1e6, ..gang(2) },
            _ => array(6, 1e6),
        };
        let name = uid.clone();
        w.later(at, move |w| w.submit(&name, job));
        if n % 3 == n / 3 % 3 || n % 4 == 3 {
            to_cancel.push(uid);
        }
    }
    to_cancel
}

/// Jobs are cancelled while machines are granted, task ranges are reassigned and segments are in
/// flight. Both owners are alive, or the first is down, or it is back at once as a new
/// incarnation.
#[test]
fn jobs_are_cancelled_while_their_tasks_are_reassigned() {
    let (mut confirmed, mut segments) = (0, 0);
    for seed in 0..6 {
        let size = Size { machines: 24, write_rps: 60.0, zones: &["a", "b"], ..SMALL };
        let mut w = World::sized(9960 + seed, size);
        w.cloud.most = 30;
        let to_cancel = submit_mixed_jobs(&mut w);
        w.run_until(20.0);
        let node = (w.store.leader().expect("no leader") + seed as usize) % 3;
        match seed % 3 {
            0 => {
                // Its watch shows no grants, and it receives no heartbeats from its machines.
                w.nodes[node].deaf = true;
                w.store.mute.insert(node);
                w.later(55.0, move |w| {
                    w.nodes[node].deaf = false;
                    w.store.mute.clear();
                });
            }
            1 => {
                w.faults.restart_s = 40.0;
                w.crash(node);
            }
            _ => {
                w.faults.restart_s = w.rng.random_range(0.02..0.9);
                w.crash(node);
            }
        }
        // Watch events are late by up to 0.9 s, differently on each controller.
        w.faults.late_watches = Some((0.5, (0.05, 0.9))).filter(|_| seed % 2 == 1);
        w.later(32.0, |w| w.faults.late_watches = None);
        // Watches are stalled for short times, and some new jobs are cancelled as soon as they are accepted.
        for k in 0..15 {
            let at = 20.0 + 0.8 * f64::from(k);
            w.later(at, |w| w.store.mute.extend(0..3));
            w.later(at + 0.4, move |w| w.store.mute.retain(|n| *n == node && seed % 3 == 0));
        }
        w.faults.close_queries = Some(CloseQueries { cancel: 0.5 });
        w.later(32.0, |w| w.faults.close_queries = None);
        for n in 0..40 {
            let at = w.rng.random_range(20.0..30.0);
            w.later(at, move |w| w.submit(&format!("run-6{n:02}9"), array(2, 1e6)));
        }
        let ledger = w.store.revision();
        for (n, uid) in to_cancel.iter().enumerate() {
            // While machines are granted, at the moment of a start, and after.
            let at = w.rng.random_range(20.1..[22.0, 26.0, 32.0][n % 3]);
            let uid = uid.clone();
            w.later(at, move |w| {
                if w.jobs.get(&uid).is_some_and(|j| j.accepted) {
                    w.cancel(&uid);
                } else if w.jobs.contains_key(&uid) {
                    cancel(w, &uid, None);
                }
            });
        }
        assert_no_late_starts(&mut w, 36.0);
        segments += w.store.changes("fq/l/", ledger);
        w.run_until(35.0 + CANCEL_S);
        for (uid, j) in w.jobs.iter().filter(|(_, j)| j.cancel_asked) {
            assert!(j.cancelled_at.is_some(), "seed {seed}: the cancellation of {uid} is not confirmed");
            assert_eq!(machines_of(&w, uid).len(), 0, "seed {seed}: {uid} is still there");
            confirmed += 1;
        }
        assert_others_run(&w);
    }
    assert!(confirmed >= 60 && segments >= 100, "{confirmed} cancellations, {segments} segments meanwhile");
}

/// Time after the confirmed cancellation of a job from which none of its tasks starts. Watches
/// lag by less, and a command that is in flight then may still arrive (see PROTOCOL).
const LATEST_START_AFTER_CANCELLATION_S: f64 = 1.0;

/// Runs until `until` and asserts that no task starts late after its job's cancellation.
fn assert_no_late_starts(w: &mut World, until: f64) {
    let mut seen: BTreeSet<(String, u64)> = BTreeSet::new();
    while w.now.as_secs_f64() < until {
        for x in w.workers.values() {
            for ((task, attempt), t) in &x.tasks {
                let new = seen.insert((task.clone(), *attempt));
                let confirmed =
                    w.jobs[&t.job].cancelled_at.is_some_and(|at| w.now > at + s(LATEST_START_AFTER_CANCELLATION_S));
                assert!(!new || !confirmed, "seed {}: {task} starts long after its cancellation", w.seed);
            }
        }
        w.run_until(w.now.as_secs_f64() + 0.1);
    }
}

/// Asserts that all tasks of jobs that were not cancelled run.
fn assert_others_run(w: &World) {
    for (uid, j) in w.jobs.iter().filter(|(_, j)| !j.cancel_asked) {
        assert_eq!(running(w, uid), j.tasks as usize, "seed {}: {uid} does not run", w.seed);
    }
}

/// The store refuses the leader alone at the time of the cancellations, and a second later all
/// controllers, for longer than `cancel_s`. Machines hang when kill commands reach them and
/// continue within their lease or after it.
#[test]
fn cancellations_just_before_an_outage_with_hanging_machines() {
    let mut confirmed = 0;
    for seed in 0..8 {
        let mut w = World::sized(9970 + seed, Size { machines: 8, ..SMALL });
        w.cloud.most = 8;
        let to_cancel = ["run-109", "run-209", "run-309", "run-409"];
        let jobs = [array(2, 1e6), array(8, 1e6), Job { run_s: 1e6, ..gang(2) }, service(4)];
        for (uid, j) in to_cancel.iter().zip(jobs) {
            w.submit(uid, j);
        }
        w.submit("run-509", service(8));
        w.run_until(20.0);
        assert!(to_cancel.iter().all(|uid| running(&w, uid) > 0), "seed {seed}: nothing to cancel");
        let leader = w.store.leader().expect("no leader");
        w.nodes[leader].refused = true;
        // Writes of the other controllers are answered, and their watches are stalled.
        w.store.mute.extend((0..3).filter(|_| seed % 4 < 2));
        // Each cancellation is sent four times, as the leader gives no answer.
        to_cancel.iter().for_each(|uid| (0..4).for_each(|_| w.cancel(uid)));
        let (at, hang_s) = (20.0 + 0.3 * (seed / 2) as f64, [LEASE_S * 0.6, LEASE_S * 1.5][seed as usize % 2]);
        let hang: Vec<String> = to_cancel.iter().flat_map(|uid| machines_of(&w, uid)).take(4).collect();
        for name in &hang {
            let (name, again) = (name.clone(), name.clone());
            w.later(at, move |w| w.hang(&name, true));
            w.later(at + hang_s, move |w| w.hang(&again, false));
        }
        w.later(21.0, |w| w.store.set_down(w.now, true));
        w.run_until(21.0);
        confirmed += to_cancel.iter().filter(|uid| w.jobs[**uid].cancelled_at.is_some()).count();
        w.run_until(21.0 + CANCEL_S * 1.4);
        let lapsed: u32 = w.workers.values().filter(|x| !hang.contains(&x.name)).map(|x| x.lapsed).sum();
        assert_eq!(lapsed, 0, "seed {seed}: tasks that were not cancelled ended with their leases");
        w.store.mute.clear();
        w.store.set_down(w.now, false);
        w.nodes[leader].refused = false;
        w.run_until(21.0 + CANCEL_S * 1.4 + 30.0);
        for uid in to_cancel {
            let over = w.jobs[uid].cancelled_at.is_some() && running(&w, uid) == 0;
            assert!(over, "seed {seed}: {uid} is still there");
        }
        assert_eq!(running(&w, "run-509"), 8, "seed {seed}");
        assert_eq!(w.counters.started_cancelled, 0, "seed {seed}: starts after a confirmed cancellation");
    }
    assert!(confirmed >= 24, "{confirmed} of 32 cancellations were confirmed before the outage");
}

/// Four jobs a second, a quarter of them cancelled within 3 s, at so low a write limit that users
/// are told to retry: accepted jobs start within 5 s, and only jobs in progress have records.
#[test]
fn a_stream_of_one_task_jobs_at_the_write_limit() {
    let size = Size { machines: 16, write_rps: 9.0, zones: &["a", "b"], ..SMALL };
    let mut w = World::sized(9980, size);
    w.cloud.most = 16;
    w.run_until(10.0);
    let (from_s, for_s) = (10.0, 90.0);
    for n in 0..(for_s as u32 * 4) {
        let at = from_s + 0.25 * f64::from(n);
        let uid = format!("run-4{n:03}0");
        let name = uid.clone();
        w.later(at, move |w| w.submit(&name, array(1, 2.0)));
        if n % 4 == 0 {
            let after = w.rng.random_range(0.3..3.0);
            w.later(at + after, move |w| cancel(w, &uid, None));
        }
    }
    let mut waiting_since: std::collections::BTreeMap<String, f64> = Default::default();
    let (mut longest, mut most) = (0.0, 0);
    while w.now.as_secs_f64() < from_s + for_s {
        let now = w.now.as_secs_f64() + 0.5;
        w.run_until(now);
        for (uid, j) in w.jobs.iter().filter(|(_, j)| j.accepted) {
            let begun = !j.done.is_empty() || running(&w, uid) > 0;
            if begun || j.cancel_asked {
                waiting_since.remove(uid);
            } else {
                let since = *waiting_since.entry(uid.clone()).or_insert(now);
                longest = f64::max(longest, now - since);
            }
        }
        most = most.max(w.store.count("fq/t/"));
    }
    assert!(longest <= 5.0, "an accepted job waited for {longest} s beside free capacity");
    assert!(most <= 100, "{most} checkpoints");
    w.calm_from(from_s + for_s);
    w.run_until(from_s + for_s + 90.0);
    all_over(&w);
    assert_eq!(w.counters.started_cancelled, 0, "starts after a confirmed cancellation");
    assert_eq!(w.store.count("fq/t/"), 0, "records of finished jobs are left");
}
