//! Leaders that end, hand over and come back, or are cut off from all but their agents
//! and users.

use super::{all_over, cancel, fleet};
use crate::known::all_are_known;
use crate::reconciliation::seeds;
use crate::world::helpers::{done, running};
use crate::world::{CANCEL_S, CloseQueries, LEASE_S, SMALL, Size, World, array, s, service};
use rand::RngExt;

/// Tasks of jobs of two or three end seconds and minutes apart.
fn far_apart(w: &mut World, jobs: usize) {
    let at = 14.0;
    for n in 0..jobs {
        let uid = format!("run-5{n:02}1");
        let tasks = 2 + n as u32 % 2;
        for index in 0..tasks {
            let run_s = w.rng.random_range(1.0..3.0) + 12.0 * f64::from(index);
            w.workers.values_mut().for_each(|x| x.runs.extend([(format!("{uid}/{index}"), run_s)]));
        }
        w.submit(&uid, array(tasks, at));
    }
}

/// An end is stored once, is not lost, and is not told before the last: the leader ends,
/// or whoever holds the job, just before or after the last report, with the end stored and
/// not folded, or with the `forget` on its way.
#[test]
fn task_ends_far_apart_survive_a_failover() {
    for seed in 0..seeds(10) {
        let mut w = fleet(9300 + seed, [3, 7][seed as usize % 2], 24);
        w.faults.restart_range_s = Some(if seed % 3 == 0 { (3.0, 12.0) } else { (0.01, 0.9) });
        w.run_until(4.0);
        far_apart(&mut w, 24);
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
        // Without a controller for a lease, an agent forgets an end that it could not tell.
        let quick = w.faults.restart_range_s.is_some_and(|(_, to)| to < 1.0);
        assert!(
            !quick || w.counters.starts_of_completed_tasks == 0,
            "seed {seed}: {} ended tasks were started again",
            w.counters.starts_of_completed_tasks
        );
        all_are_known(&mut w);
    }
}

/// The lead goes to and fro, all end, one returns first, within a second and later, while
/// what earlier processes wrote comes late.
#[test]
fn all_end_and_one_returns() {
    for seed in 0..seeds(10) {
        let mut w = fleet(9400 + seed, [3, 7][seed as usize % 2], 24);
        let nodes = w.nodes.len();
        w.faults.late_transactions = Some((0.1, (0.2, 6.0)));
        w.submit("run-999", service(24));
        w.run_until(12.0);
        far_apart(&mut w, 12);
        for n in 0..6u32 {
            let at = 14.0 + 9.0 * f64::from(n);
            let first = w.rng.random_range(0..nodes);
            let gap = w.rng.random_range(0.01..0.9);
            // From one to another and back to the first, whose old process wrote last.
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
        all_are_known(&mut w);
    }
}

/// The leader ends while machines with long tasks can't be reached, or hear nothing that
/// the new one says. Nothing of them starts elsewhere before its proof, nothing that lives
/// is returned while somebody could hear it, and all is known and finished.
#[test]
fn a_leader_ends_while_machines_are_out_of_reach() {
    for seed in 0..seeds(8) {
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
        all_are_known(&mut w);
    }
}

/// A leader that reaches neither store nor controllers goes on hearing agents and users,
/// while jobs are cancelled by the new one: its agents come over in time, and it gives no
/// answer older than one that was given.
#[test]
fn jobs_are_cancelled_past_a_leader_that_is_cut_off() {
    for seed in 0..seeds(8) {
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
            // Its user asks anybody from then on, the old leader too.
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
        all_are_known(&mut w);
    }
}

/// Ten leaders in two minutes: each ends, or is refused by the store, soon after it began;
/// some of that inside an outage of the store, after which another leads. What was said to
/// one comes to the next, jobs are cancelled throughout.
#[test]
fn leaders_change_ten_times_in_two_minutes() {
    for seed in 0..seeds(2) {
        let mut w = fleet(9830 + seed, [3, 7][seed as usize % 2], 20);
        w.faults.restart_range_s = Some(if seed % 4 < 2 { (0.01, 0.9) } else { (2.0, 9.0) });
        w.faults.duplicates_for_next_leader = Some(0.1);
        w.submit("run-999", service(20));
        for n in 0..8 {
            w.submit(&format!("run-7{n}9"), array(4, 1e6));
            let leave = 16.0 + 14.0 * f64::from(n) + w.rng.random_range(0.0..8.0);
            w.later(leave, move |w| cancel(w, &format!("run-7{n}9"), None));
        }
        for n in 0..20 {
            let at = w.rng.random_range(5.0..120.0);
            w.later(at, move |w| w.submit(&format!("run-8{n:02}1"), array(3, 4.0)));
        }
        w.run_until(14.0);
        let first = w.store.term();
        // Some of the ends fall into the outage.
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
        all_are_known(&mut w);
    }
}

/// The lead goes to another and back to the first, by an end or by a refusal of the store,
/// all end, one returns within a second, and the others with it or seconds later; each with
/// transactions that come late, or whose answers do, with cancellations, also at the moment
/// of a job's end, and with users who ask all controllers at once.
#[test]
fn failover_and_back_beside_late_transactions() {
    for seed in 0..seeds(2) {
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
        far_apart(&mut w, 10);
        for n in 0..16 {
            let at = w.rng.random_range(12.0..70.0);
            w.later(at, move |w| w.submit(&format!("run-8{n:02}1"), array(2, 4.0)));
            w.later(at, move |w| w.submit(&format!("run-9{n:02}9"), array(2, 1e6)));
            let leave = at + w.rng.random_range(0.1..12.0);
            w.later(leave, move |w| cancel(w, &format!("run-9{n:02}9"), None));
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
                // It lives, and writes what comes late, while another leads.
                w.nodes[leader].refused = true;
                w.later(at + 5.5, move |w| w.nodes[leader].refused = false);
            });
            // And from that one on, mostly back.
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
        assert!(w.counters.close_queries > 100, "seed {seed}: {} looks", w.counters.close_queries);
        assert_eq!((running(&w, "run-999"), w.counters.started_cancelled), (20, 0), "seed {seed}");
        all_are_known(&mut w);
    }
}

/// A controller stands still for longer than a lease, its clock running on, while others
/// take its machines over; it goes on, reckons the leases there to be over, and its machines
/// come back to it before it has written that. They ran on all the while: what was proved
/// under the old grant proves nothing under the new one.
#[test]
fn a_paused_controller_has_its_machines_back() {
    for seed in 0..seeds(8) {
        let rps = [6.0, 10.0, 16.0, 30.0][seed as usize % 4];
        let mut w = World::sized(9690 + seed, Size { machines: 18, write_rps: rps, ..SMALL });
        w.cloud.most = 18;
        w.submit("run-999", array(60, 1e6));
        w.run_until(70.0);
        let node = seed as usize % 3;
        w.pause(node, true);
        let on = 70.0 + LEASE_S + 2.5 + 0.2 * seed as f64;
        w.later(on, move |w| w.pause(node, false));
        // The watch brings that they went and, seconds later, that they are back.
        w.later(on + 0.03 + 0.02 * seed as f64, move |w| _ = w.store.mute.insert(node));
        w.later(on + 7.0, |w| w.store.mute.clear());
        w.run_until(140.0);
        assert_eq!(running(&w, "run-999"), 60, "seed {seed}");
    }
}

/// Machines leave a controller whose watch stands still, and come back to it, running on
/// all the while; it learns of both at once, a moment after a report of before, which was
/// held back, had it reckon their leases to be over. What it proved by that, under the
/// grant of before, is no proof under the new one.
#[test]
fn proofs_from_before_a_reassignment_do_not_count() {
    let mut came_back = 0;
    for seed in 0..seeds(4) {
        let mut w = World::sized(9700 + seed, Size { machines: 18, ..SMALL });
        w.cloud.most = 18;
        w.submit("run-999", array(60, 1e6));
        w.run_until(60.0);
        let leader = w.store.leader().expect("somebody leads");
        let node = (leader + 1) % 3;
        // Nothing passes between it and half of its machines; a report to it is held back.
        let busy = w.workers.values().filter(|x| !x.tasks.is_empty() && w.store.owner(&x.name) == Some(node));
        let cut: Vec<String> = busy.take(3).map(|x| x.name.clone()).collect();
        let now = w.now;
        let held: Vec<Vec<u8>> = cut.iter().map(|m| w.workers.get_mut(m).unwrap().report(now)).collect();
        cut.iter().for_each(|m| _ = w.workers.get_mut(m).unwrap().unreached.insert(node));
        w.store.mute.insert(node);
        // They go to the leader, which ends, and with its machines to those that live.
        w.run_until(64.8);
        // Nor does it hear from others what the machines say since.
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
    assert!(came_back > 0, "none went and came back");
}
