//! Leaders that crash, hand over and lead again, or are cut off from all but their agents and
//! users.

use super::{all_over, cancel, fleet};
use crate::known::assert_all_jobs_known;
use crate::reconciliation::seed_count;
use crate::world::helpers::{done, running};
use crate::world::{CANCEL_S, CloseQueries, LEASE_S, SMALL, Size, World, array, s, service};
use rand::RngExt;

/// Submits jobs of two or three tasks that end at least ten seconds apart.
fn submit_staggered_jobs(w: &mut World, jobs: usize) {
    let run_s = 14.0;
    for n in 0..jobs {
        let uid = format!("run-5{n:02}1");
        let tasks = 2 + n as u32 % 2;
        for index in 0..tasks {
            let run_s = w.rng.random_range(1.0..3.0) + 12.0 * f64::from(index);
            w.workers.values_mut().for_each(|x| x.runs.extend([(format!("{uid}/{index}"), run_s)]));
        }
        w.submit(&uid, array(tasks, run_s));
    }
}

/// The end of each task is stored once and is not lost, and a job is not reported as done before
/// its last task ended. The leader or the holder of the job crashes just before or after the
/// last heartbeat, when the end is stored and not folded into a checkpoint, or when the `forget`
/// command is in flight.
#[test]
fn task_ends_far_apart_survive_a_failover() {
    for seed in 0..seed_count(10) {
        let mut w = fleet(9300 + seed, [3, 7][seed as usize % 2], 24);
        w.faults.restart_range_s = Some(if seed % 3 == 0 { (3.0, 12.0) } else { (0.01, 0.9) });
        w.run_until(4.0);
        submit_staggered_jobs(&mut w, 24);
        for n in 0..8u32 {
            let at = 6.0 + 3.4 * f64::from(n) + w.rng.random_range(0.0..2.0);
            w.later(at, move |w| {
                let leader = w.store.leader().unwrap_or(0);
                let other = w.rng.random_range(0..w.nodes.len());
                w.crash(if n % 2 == 0 { leader } else { other });
            });
        }
        w.run_until(120.0);
        all_over(&w);
        // Without a controller for the length of a lease, an agent forgets an end that it could not report.
        let quick = w.faults.restart_range_s.is_some_and(|(_, to)| to < 1.0);
        assert!(
            !quick || w.counters.starts_of_completed_tasks == 0,
            "seed {seed}: {} ended tasks were started again",
            w.counters.starts_of_completed_tasks
        );
        assert_all_jobs_known(&mut w);
    }
}

/// Leadership moves to another controller and back, then all controllers crash and one returns
/// first, within a second, the others later, while writes of earlier processes arrive late.
#[test]
fn all_controllers_crash_and_one_returns_first() {
    for seed in 0..seed_count(10) {
        let mut w = fleet(9400 + seed, [3, 7][seed as usize % 2], 24);
        let nodes = w.nodes.len();
        w.faults.late_transactions = Some((0.1, (0.2, 6.0)));
        w.submit("run-999", service(24));
        w.run_until(12.0);
        submit_staggered_jobs(&mut w, 12);
        for n in 0..6u32 {
            let at = 14.0 + 9.0 * f64::from(n);
            let first = w.rng.random_range(0..nodes);
            let gap = w.rng.random_range(0.01..0.9);
            // From one controller to another and back to the first, whose old process wrote last.
            w.later(at, move |w| {
                w.faults.restart_s = gap;
                w.crash_leader();
            });
            w.later(at + gap * 2.0, |w| w.crash_leader());
            if n % 2 == 0 {
                w.later(at + 4.0, move |w| {
                    for i in 0..nodes {
                        w.faults.restart_s = if i == first { gap / 2.0 } else { 2.5 };
                        w.crash(i);
                    }
                });
            }
        }
        w.later(75.0, |w| w.faults.late_transactions = None);
        w.run_until(160.0);
        all_over(&w);
        assert_eq!(running(&w, "run-999"), 24, "seed {seed}");
        assert_all_jobs_known(&mut w);
    }
}

/// The leader crashes while machines with long tasks are unreachable or do not receive what the
/// new leader sends. None of their tasks starts elsewhere before it is proved gone, no live
/// machine is returned while a controller receives its heartbeats, and all jobs stay known and
/// finish.
#[test]
fn a_leader_crashes_while_machines_are_unreachable() {
    for seed in 0..seed_count(8) {
        let mut w = fleet(9500 + seed, [3, 7][seed as usize % 2], 24);
        for n in 0..6 {
            let uid = format!("run-6{n}1");
            w.workers.values_mut().for_each(|x| x.runs.extend([(uid.clone(), 55.0)]));
            w.submit(&uid, array(8, 50.0));
        }
        w.run_until(15.0);
        let names: Vec<String> = w.workers.keys().take(8).cloned().collect();
        for (i, name) in names.into_iter().enumerate() {
            let back = 20.0 + [4.0, LEASE_S, CANCEL_S][i % 3] + w.rng.random_range(0.0..3.0);
            if i % 2 == 0 {
                w.cut_worker(&name, true);
                w.later(back, move |w| w.cut_worker(&name, false));
            } else {
                w.workers.get_mut(&name).unwrap().deaf = true;
                w.later(back, move |w| w.workers.get_mut(&name).into_iter().for_each(|x| x.deaf = false));
            }
        }
        w.faults.restart_s = [0.05, 2.0, 30.0][seed as usize % 3];
        w.later(16.0, |w| w.crash_leader());
        w.run_until(260.0);
        all_over(&w);
        assert_all_jobs_known(&mut w);
    }
}

/// A leader that reaches neither the store nor other controllers still serves agents and users,
/// while jobs are cancelled at the new leader: its agents move to other controllers in time, and
/// it gives no answer older than one that was given.
#[test]
fn jobs_are_cancelled_while_the_old_leader_is_isolated() {
    for seed in 0..seed_count(8) {
        let mut w = fleet(9600 + seed, [3, 7][seed as usize % 2], 24);
        let nodes = w.nodes.len();
        for n in 0..6 {
            w.submit(&format!("run-7{n}9"), array(6, 1e6));
        }
        w.submit("run-999", service(24));
        w.run_until(15.0);
        let leader = w.store.leader().unwrap();
        let back = 16.0 + [8.0, 40.0, 100.0][seed as usize % 3];
        w.isolate(leader, true);
        for n in 0..6 {
            let at = 16.0 + 4.0 * f64::from(n);
            let via = (leader + 1 + n as usize % (nodes - 1)) % nodes;
            let uid = format!("run-7{n}9");
            w.later(at, move |w| cancel(w, &uid, Some(via)));
            // From then on the user asks any controller, the old leader too.
            let uid = format!("run-7{n}9");
            w.later(at + 6.0, move |w| w.jobs.get_mut(&uid).unwrap().via = None);
        }
        w.later(20.0, |w| w.submit("run-001", array(12, 4.0)));
        w.later(back, move |w| w.isolate(leader, false));
        w.run_until(back.max(60.0) + 90.0);
        all_over(&w);
        assert!(done(&w, "run-001"), "seed {seed}");
        assert!((0..6).all(|n| running(&w, &format!("run-7{n}9")) == 0), "seed {seed}");
        assert_eq!(running(&w, "run-999"), 24, "seed {seed}");
        assert_all_jobs_known(&mut w);
    }
}

/// Ten leaders in two minutes: each crashes, or is refused by the store, soon after it started
/// to lead, in some cases during an outage of the store, after which another one leads.
/// Heartbeats to one leader reach the next one, and jobs are cancelled throughout.
#[test]
fn leaders_change_ten_times_in_two_minutes() {
    for seed in 0..seed_count(2) {
        let mut w = fleet(9830 + seed, [3, 7][seed as usize % 2], 20);
        w.faults.restart_range_s = Some(if seed % 4 < 2 { (0.01, 0.9) } else { (2.0, 9.0) });
        w.faults.duplicates_for_next_leader = Some(0.1);
        w.submit("run-999", service(20));
        for n in 0..8 {
            w.submit(&format!("run-7{n}9"), array(4, 1e6));
            let cancel_at = 16.0 + 14.0 * f64::from(n) + w.rng.random_range(0.0..8.0);
            w.later(cancel_at, move |w| cancel(w, &format!("run-7{n}9"), None));
        }
        for n in 0..20 {
            let at = w.rng.random_range(5.0..120.0);
            w.later(at, move |w| w.submit(&format!("run-8{n:02}1"), array(3, 4.0)));
        }
        w.run_until(14.0);
        let first = w.store.term();
        // Some of the crashes fall into the outage.
        let (down, up) = (50.0, 50.0 + [22.0, CANCEL_S + 6.0][seed as usize % 2]);
        w.later(down, |w| w.store.set_down(w.now, true));
        w.later(up, |w| w.store.set_down(w.now, false));
        for n in 0..20u32 {
            let at = 14.0 + 6.0 * f64::from(n) + w.rng.random_range(0.0..2.0);
            w.later(at, move |w| {
                let Some(leader) = w.store.leader() else { return };
                w.faults.heartbeats_held_for_next_leader =
                    w.workers.keys().skip(n as usize % 3).step_by(3).map(|x| (x.clone(), 4.0)).collect();
                if n % 3 < 2 {
                    return w.crash(leader);
                }
                w.nodes[leader].refused = true;
                w.later(at + LEASE_S, move |w| w.nodes[leader].refused = false);
            });
        }
        w.later(135.0, |w| w.faults.duplicates_for_next_leader = None);
        w.calm_from(155.0);
        w.run_until(260.0);
        let changes = w.store.term() - first;
        assert!(changes >= 10, "seed {seed}: {changes} leaders");
        all_over(&w);
        assert_eq!(running(&w, "run-999"), 20, "seed {seed}");
        assert_eq!(w.counters.started_cancelled, 0, "seed {seed}");
        assert_all_jobs_known(&mut w);
    }
}

/// Leadership moves to another controller and back to the first, by a crash or because the store
/// refuses the leader; all controllers crash, one returns within a second, and the others with
/// it or seconds later. Meanwhile transactions or their answers are late, jobs are cancelled,
/// also as they end, and users query all controllers at once.
#[test]
fn leadership_moves_and_returns_with_late_transactions() {
    for seed in 0..seed_count(2) {
        let mut w = fleet(9850 + seed, [3, 7][seed as usize % 2], 20);
        let nodes = w.nodes.len();
        w.submit("run-999", service(20));
        w.run_until(12.0);
        if seed % 3 < 2 {
            w.faults.late_transactions = Some((0.1, (0.2, 9.0)));
        }
        if seed % 3 > 0 {
            w.faults.late_answers = Some((0.25, (0.2, 6.0)));
        }
        w.faults.close_queries = Some(CloseQueries { cancel: 0.15 });
        w.faults.cancel_at_last_end = Some(0.3);
        submit_staggered_jobs(&mut w, 10);
        for n in 0..16 {
            let at = w.rng.random_range(12.0..70.0);
            w.later(at, move |w| w.submit(&format!("run-8{n:02}1"), array(2, 4.0)));
            w.later(at, move |w| w.submit(&format!("run-9{n:02}9"), array(2, 1e6)));
            let cancel_at = at + w.rng.random_range(0.1..12.0);
            w.later(cancel_at, move |w| cancel(w, &format!("run-9{n:02}9"), None));
        }
        for n in 0..5u32 {
            let at = 14.0 + 12.0 * f64::from(n);
            let gap = w.rng.random_range(0.01..0.9);
            let first = w.rng.random_range(0..nodes);
            w.later(at, move |w| {
                let Some(leader) = w.store.leader() else { return };
                w.faults.restart_s = gap;
                if n % 2 == 0 {
                    return w.crash(leader);
                }
                // It stays alive, and its late writes arrive while another controller leads.
                w.nodes[leader].refused = true;
                w.later(at + 5.5, move |w| w.nodes[leader].refused = false);
            });
            // And from that controller to the next, mostly back to the first.
            w.later(at + 6.0, |w| w.crash_leader());
            if n % 2 == 1 {
                w.later(at + 8.0, move |w| {
                    for i in 0..nodes {
                        w.faults.restart_s = if i == first { gap } else { gap + [0.05, 2.5][n as usize / 2 % 2] };
                        w.crash(i);
                    }
                });
            }
        }
        w.later(80.0, |w| {
            (w.faults.late_transactions, w.faults.late_answers, w.faults.close_queries, w.faults.cancel_at_last_end) =
                (None, None, None, None);
        });
        w.calm_from(100.0);
        w.run_until(200.0);
        all_over(&w);
        assert!(w.counters.close_queries > 100, "seed {seed}: {} queries", w.counters.close_queries);
        assert_eq!((running(&w, "run-999"), w.counters.started_cancelled), (20, 0), "seed {seed}");
        assert_all_jobs_known(&mut w);
    }
}

/// A controller is paused for longer than a lease, with its clock running, while others take
/// over its machines. It resumes, treats the leases of these machines as expired, and gets the
/// machines back before it has stored that. Their tasks never stopped: a proof from under the
/// old grant proves nothing under the new one.
#[test]
fn a_paused_controller_gets_its_machines_back() {
    for seed in 0..seed_count(8) {
        let rps = [6.0, 10.0, 16.0, 30.0][seed as usize % 4];
        let mut w = World::sized(9690 + seed, Size { machines: 18, write_rps: rps, ..SMALL });
        w.cloud.most = 18;
        w.submit("run-999", array(60, 1e6));
        w.run_until(70.0);
        let node = seed as usize % 3;
        w.pause(node, true);
        let resumed = 70.0 + LEASE_S + 2.5 + 0.2 * seed as f64;
        w.later(resumed, move |w| w.pause(node, false));
        // The watch shows that the machines moved away and, seconds later, that they are back.
        w.later(resumed + 0.03 + 0.02 * seed as f64, move |w| _ = w.store.mute.insert(node));
        w.later(resumed + 7.0, |w| w.store.mute.clear());
        w.run_until(140.0);
        assert_eq!(running(&w, "run-999"), 60, "seed {seed}");
    }
}

/// Machines are reassigned from a controller whose watch is stalled and back to it, and their
/// tasks run throughout. It learns of both at once, just after an earlier heartbeat that was
/// held back made it treat their leases as expired. A proof from under the earlier grant is no
/// proof under the new one.
#[test]
fn proofs_from_before_a_reassignment_do_not_count() {
    let mut came_back = 0;
    for seed in 0..seed_count(4) {
        let mut w = World::sized(9700 + seed, Size { machines: 18, ..SMALL });
        w.cloud.most = 18;
        w.submit("run-999", array(60, 1e6));
        w.run_until(60.0);
        let leader = w.store.leader().expect("no leader");
        let node = (leader + 1) % 3;
        // Nothing passes between it and up to three of its machines; a heartbeat to it is held back.
        let busy = w.workers.values().filter(|x| !x.tasks.is_empty() && w.store.owner(&x.name) == Some(node));
        let cut: Vec<String> = busy.take(3).map(|x| x.name.clone()).collect();
        let now = w.now;
        let held: Vec<Vec<u8>> = cut.iter().map(|m| w.workers.get_mut(m).unwrap().report(now)).collect();
        cut.iter().for_each(|m| _ = w.workers.get_mut(m).unwrap().unreached.insert(node));
        w.store.mute.insert(node);
        // They go to the leader, which crashes, and with its machines to the live controllers.
        w.run_until(64.8);
        // Nor do other controllers inform it of later heartbeats of the machines.
        w.faults.peers_cut.extend((0..3).map(|from| (from, node)));
        w.run_until(76.0);
        w.faults.restart_s = 60.0;
        w.crash(leader);
        let back = |w: &World| cut.iter().filter(|m| w.store.owner(m) == Some(node)).count();
        while back(&w) == 0 && w.now < s(86.0) {
            let next = w.now.as_secs_f64() + 0.02;
            w.run_until(next);
        }
        came_back += back(&w);
        held.into_iter().for_each(|body| w.send_duplicate(node, body));
        let seen = w.now.as_secs_f64() + 0.03;
        w.later(seen, |w| {
            w.store.mute.clear();
            w.faults.peers_cut.clear();
        });
        w.run_until(seen + 3.0);
        w.workers.values_mut().for_each(|x| x.unreached.clear());
        w.run_until(140.0);
        assert_eq!(running(&w, "run-999"), 60, "seed {seed}");
    }
    assert!(came_back > 0, "no machine was reassigned and came back");
}
