//! Heartbeats that reach a new leader late: duplicates kept for it, from earlier sessions,
//! attempts and agent epochs of a machine, and heartbeats that were held back until the leader
//! had acted.

use super::{all_over, cancel, fleet};
use crate::known::assert_all_jobs_known;
use crate::reconciliation::seed_count;
use crate::world::helpers::running;
use crate::world::worker::Worker;
use crate::world::{CANCEL_S, Job, LEASE_S, REPORT_S, World, array, gang, service};
use rand::RngExt;

/// Guards against tasks that start twice after an agent restart. An agent restarted unnoticed,
/// and its first heartbeat reached a controller that knew of neither epoch, just before the
/// controller could treat its lease as expired. A duplicate of the first heartbeat of the
/// earlier epoch shows the same token (none) as the first one of the current epoch. It
/// invalidated the answer by which the current epoch had started its tasks, and they were
/// started elsewhere too.
#[test]
fn first_heartbeats_of_an_earlier_agent_epoch_invalidate_no_answer() {
    let mut met = 0;
    for step in 0..16 {
        let mut w = fleet(9800, 1, 6);
        w.cloud.most = 6;
        let name = w.workers.keys().next().unwrap().clone();
        // Heartbeats from before the first answer.
        let first: Vec<Vec<u8>> = (0..8).map(|_| w.workers.get_mut(&name).unwrap().report(w.now)).collect();
        w.submit("run-009", service(24));
        w.run_until(20.0);
        assert!(!w.workers[&name].tasks.is_empty());
        w.cut_worker(&name, true);
        // The machine cannot be returned meanwhile.
        w.cloud.down = true;
        w.faults.restart_s = 0.05;
        w.crash(0);
        let back = 20.0 + CANCEL_S + 0.5 + 0.1 * f64::from(step);
        w.later(back, {
            let name = name.clone();
            move |w| {
                w.cut_worker(&name, false);
                let now = w.now;
                w.workers.get_mut(&name).unwrap().restart_agent(now);
            }
        });
        for (n, copy) in first.into_iter().enumerate() {
            w.later(back + 0.05 * (n + 1) as f64, move |w| w.send_duplicate(0, copy));
        }
        w.run_until(back + 0.6);
        met += usize::from(!w.workers[&name].tasks.is_empty());
        w.run_until(back + 60.0);
        assert_eq!(running(&w, "run-009"), 24, "step {step}");
    }
    assert!(met > 3, "the current epoch had started its tasks in {met} of 16 steps");
}

/// Rounds, in each of which the leader crashes.
const ROUNDS: u32 = 7;
/// Time between two rounds.
const ROUND_S: f64 = 12.0;

/// When the leader of this round crashes.
fn crash_time_s(round: u32) -> f64 {
    14.0 + ROUND_S * f64::from(round)
}

/// Submits jobs of all kinds, whose tasks are attempted again (machines on which everything
/// fails for a while, gangs that give up waiting), and some of which are cancelled. A team is
/// at its limit meanwhile: the job that uses all of it is cancelled in each round, a second
/// before the leader crashes and while its machines are unreachable, and the next job of the
/// team waits for that.
fn submit_jobs(w: &mut World, jobs: usize) {
    w.submit("run-999", service(16));
    for n in 0..jobs {
        let at = w.rng.random_range(0.0..crash_time_s(ROUNDS - 1));
        let tasks = w.rng.random_range(1..9);
        let (uid, job) = match n % 3 {
            0 => (format!("run-{n:02}9"), service(2)),
            1 => (format!("run-{n:02}{}", n % 5), gang(2)),
            _ => (format!("run-{n:02}{}", n % 5), array(tasks, 4.0)),
        };
        let (a, b) = (uid.clone(), uid);
        w.later(at, move |w| w.submit(&a, job));
        if n % 3 == 0 || n % 5 == 0 {
            let cancel_at = w.rng.random_range(at..crash_time_s(ROUNDS));
            w.later(cancel_at, move |w| cancel(w, &b, None));
        }
    }
    for n in 0..ROUNDS {
        let job = Job { team: "capped".into(), ..array(4, 1e6) };
        w.later(if n == 0 { 4.0 } else { crash_time_s(n - 1) - 2.0 }, move |w| w.submit(&format!("run-6{n}9"), job));
        let at = crash_time_s(n);
        w.later(at - 1.5, move |w| {
            let on = |x: &Worker| x.tasks.values().any(|t| t.job == format!("run-6{n}9"));
            let names: Vec<String> = w.workers.values().filter(|x| on(x)).map(|x| x.name.clone()).collect();
            for name in names {
                w.cut_worker(&name, true);
                w.later(at + 4.0, move |w| w.cut_worker(&name, false));
            }
        });
        w.later(at - 1.0, move |w| cancel(w, &format!("run-6{n}9"), None));
    }
}

/// Injects a fault on one machine at `at`, a few seconds before a leader crashes, so that its
/// earlier heartbeats reach the next leader.
fn inject_machine_fault(w: &mut World, kind: u32, at: f64) {
    let which = w.rng.random_range(0..14);
    let name = move |w: &World| w.workers.keys().nth(which).cloned();
    w.later(at, move |w| {
        let (now, Some(name)) = (w.now, name(w)) else { return };
        let x = w.workers.get_mut(&name).unwrap();
        match kind % 4 {
            // Its agent restarts: another epoch.
            0 => x.restart_agent(now),
            // Its lease expires: another session.
            1 => {
                w.cut_worker(&name, true);
                w.later(at + LEASE_S + 4.0, move |w| w.cut_worker(&name, false));
            }
            // Its tasks fail and are retried: other attempts.
            2 => {
                x.sick = true;
                w.later(at + 6.0, move |w| w.workers.get_mut(&name).into_iter().for_each(|x| x.sick = false));
            }
            // It receives nothing for a while; then its agent restarts.
            _ => {
                x.deaf = true;
                w.later(at + 7.0, move |w| {
                    let now = w.now;
                    let Some(x) = w.workers.get_mut(&name) else { return };
                    x.deaf = false;
                    x.restart_agent(now);
                });
            }
        }
    });
}

/// Half of all heartbeats reach every controller once more as another leader starts, and some
/// of them again at later leaders. Meanwhile agents restart, lose their leases, fail tasks and
/// receive nothing, so that the duplicates are of other epochs, sessions and attempts.
#[test]
fn old_heartbeats_reach_every_controller_as_a_term_begins() {
    for seed in 0..seed_count(2) {
        let mut w = fleet(9810 + seed, [3, 7][seed as usize % 2], 16);
        w.faults.duplicates_for_next_leader = Some(0.5);
        w.faults.restart_range_s = Some(if seed % 4 < 2 { (0.01, 0.9) } else { (2.0, 9.0) });
        submit_jobs(&mut w, 20);
        for n in 0..ROUNDS {
            let at = crash_time_s(n);
            for i in 0..2 {
                let before = w.rng.random_range(0.0..5.0);
                inject_machine_fault(&mut w, n + i, at - before);
            }
            w.later(at, move |w| {
                w.crash_leader();
                if n % 3 < 2 {
                    (0..w.nodes.len()).for_each(|i| w.crash(i));
                }
            });
        }
        w.later(crash_time_s(ROUNDS), |w| w.faults.duplicates_for_next_leader = None);
        w.calm_from(crash_time_s(ROUNDS) + 25.0);
        w.run_until(200.0);
        all_over(&w);
        assert_eq!(running(&w, "run-999"), 16, "seed {seed}");
        assert_all_jobs_known(&mut w);
        assert!(
            w.counters.duplicates_for_next_leader > 100,
            "seed {seed}: {} duplicates arrived",
            w.counters.duplicates_for_next_leader
        );
    }
}

/// One heartbeat of each machine is held back until another leader has started and acted for up
/// to 3 s. Then it arrives, while its machine still waits for the answer or has long contacted
/// the next controller. It counts as sent when it was sent, not when it arrived.
#[test]
fn heartbeats_delayed_past_a_failover_keep_their_age() {
    let mut held = (0, 0);
    for seed in 0..seed_count(2) {
        let mut w = fleet(9820 + seed, [3, 7][seed as usize % 2], 16);
        w.faults.restart_range_s = Some(if seed % 4 < 2 { (0.01, 0.9) } else { (2.0, 9.0) });
        submit_jobs(&mut w, 20);
        for n in 0..ROUNDS {
            let at = crash_time_s(n);
            // The last heartbeat before the leader crashes, or one from before the team's tasks.
            let (held_at, within_s) = if n % 3 == 0 { (at - REPORT_S, 0.5) } else { (at + 4.0 - ROUND_S, 3.0) };
            w.later(held_at, move |w| {
                w.faults.heartbeats_held_for_next_leader = w.workers.keys().map(|x| (x.clone(), within_s)).collect()
            });
            let before = w.rng.random_range(0.0..5.0);
            inject_machine_fault(&mut w, n, at - before);
            w.later(at, move |w| {
                w.faults.heartbeats_held_for_next_leader.clear();
                w.crash_leader();
                if n % 3 > 0 {
                    (0..w.nodes.len()).for_each(|i| w.crash(i));
                }
            });
        }
        w.calm_from(crash_time_s(ROUNDS) + 25.0);
        w.run_until(200.0);
        all_over(&w);
        assert_eq!(running(&w, "run-999"), 16, "seed {seed}");
        assert_all_jobs_known(&mut w);
        held = (held.0 + w.counters.held_heartbeats.0, held.1 + w.counters.held_heartbeats.1);
    }
    assert!(held.0 > 10 && held.1 > 50, "{held:?} held-back heartbeats arrived");
}
