//! Two or three random faults that overlap, with cancellations and queries at every step, on 40
//! or 200 machines and up to seven controllers; then no faults. A seed that fails is reduced to
//! a minimal test of its own beside this one.

#![warn(missing_docs)]

use super::{all_over, cancel, fleet};
use crate::known::assert_all_jobs_known;
use crate::reconciliation::seed_count;
use crate::world::{CANCEL_S, CloseQueries, Job, LEASE_S, World, array, gang, service};
use rand::RngExt;

/// Injects the fault of this number from `at` to `end`.
#[allow(clippy::too_many_lines, reason = "one arm for each kind of fault")]
fn inject_fault(w: &mut World, kind: u32, at: f64, end: f64) {
    let nodes = w.nodes.len();
    let node = w.rng.random_range(0..nodes);
    let (count, first) = (w.rng.random_range(1..12), w.rng.random_range(0..60));
    let picked = move |w: &World| w.workers.keys().skip(first).take(count).cloned().collect::<Vec<_>>();
    match kind {
        0 => {
            w.later(at, |w| w.faults.late_transactions = Some((0.15, (2.0, 12.0))));
            w.later(end, |w| w.faults.late_transactions = None);
        }
        1 => {
            w.later(at, |w| w.faults.duplicated_heartbeats = Some((0.3, (2.0, LEASE_S * 2.0))));
            w.later(end, |w| w.faults.duplicated_heartbeats = None);
        }
        2 => w.later(at, move |w| {
            for name in picked(w) {
                w.workers.get_mut(&name).unwrap().deaf = true;
                w.later(end, move |w| w.workers.get_mut(&name).into_iter().for_each(|x| x.deaf = false));
            }
        }),
        3 => {
            w.later(at, move |w| w.isolate(node, true));
            w.later(end, move |w| w.isolate(node, false));
        }
        4 => {
            // The store refuses the leader alone, then all controllers.
            w.later(at, |w| {
                let leader = w.store.leader().unwrap_or(0);
                w.nodes[leader].refused = true;
            });
            w.later(at + 2.0, |w| w.store.set_down(w.now, true));
            w.later(end.max(at + CANCEL_S * 1.2), |w| {
                w.store.set_down(w.now, false);
                w.nodes.iter_mut().for_each(|n| n.refused = false);
            });
        }
        5 => {
            w.later(at, move |w| w.store.mute.extend([node]));
            w.later(end, move |w| w.store.mute.retain(|n| *n != node));
        }
        6 => {
            w.later(at, |w| w.faults.late_heartbeats = Some((0.3, (0.5, 20.0))));
            w.later(end, |w| w.faults.late_heartbeats = None);
        }
        7 => {
            w.later(at, |w| w.faults.late_commands = Some((0.3, (1.0, LEASE_S))));
            w.later(end, |w| w.faults.late_commands = None);
        }
        8 => w.later(at, move |w| {
            let leader = w.store.leader().unwrap_or(node);
            w.crash(leader);
            w.crash(node);
        }),
        9 => w.later(at, move |w| (0..nodes).for_each(|i| w.crash(i))),
        10 => w.later(at, move |w| {
            for name in picked(w) {
                w.cut_worker(&name, true);
                w.later(end, move |w| w.cut_worker(&name, false));
            }
        }),
        11 => {
            w.later(at, move |w| w.nodes[node].answers_lost = true);
            w.later(end, move |w| w.nodes[node].answers_lost = false);
        }
        12 => w.later(at, move |w| {
            for name in picked(w) {
                w.workers.get_mut(&name).unwrap().mute = true;
                w.later(end, move |w| w.workers.get_mut(&name).into_iter().for_each(|x| x.mute = false));
            }
        }),
        13 => w.later(at, move |w| {
            for name in picked(w) {
                w.hang(&name, true);
                w.later(end, move |w| w.hang(&name, false));
            }
        }),
        14 => {
            w.later(at, |w| w.faults.late_answers = Some((0.25, (0.2, 6.0))));
            w.later(end, |w| w.faults.late_answers = None);
        }
        15 => {
            w.later(at, |w| w.faults.duplicates_for_next_leader = Some(0.1));
            w.later(end, |w| w.crash_leader());
            w.later(end + 20.0, |w| w.faults.duplicates_for_next_leader = None);
        }
        16 => {
            w.later(at, |w| w.faults.close_queries = Some(CloseQueries { cancel: 0.2 }));
            w.later(end, |w| w.faults.close_queries = None);
        }
        17 => {
            w.later(at, |w| w.faults.cancel_at_last_end = Some(0.5));
            w.later(end, |w| w.faults.cancel_at_last_end = None);
        }
        18 => {
            w.later(at, |w| w.faults.invalid_requests_per_s = 5.0);
            w.later(end, |w| w.faults.invalid_requests_per_s = 0.0);
        }
        19 => w.later(at, |w| {
            // Cancels up to 40 running jobs within a fifth of a second.
            let runs = |j: &&Job| j.accepted && !j.confirmed_done && !j.cancel_asked;
            let uids: Vec<String> =
                w.jobs.iter().filter(|(_, j)| runs(j)).map(|(uid, _)| uid.clone()).take(40).collect();
            for uid in uids {
                let after = w.rng.random_range(0.0..0.2);
                w.later(w.now.as_secs_f64() + after, move |w| w.cancel(&uid));
            }
        }),
        20 => {
            w.later(at, |w| w.faults.late_watches = Some((0.3, (0.05, 1.5))));
            w.later(end, |w| w.faults.late_watches = None);
        }
        21 => {
            w.later(at, move |w| w.pause(node, true));
            w.later(end, move |w| w.pause(node, false));
        }
        _ => w.later(at, move |w| {
            let now = w.now;
            for name in picked(w) {
                w.workers.get_mut(&name).unwrap().restart_agent(now);
            }
        }),
    }
}

/// Number of kinds of faults.
const FAULT_KINDS: u32 = 23;

/// The rules hold where two or three faults, drawn at random, overlap.
#[test]
fn rules_hold_under_two_or_three_overlapping_faults() {
    for seed in 0..seed_count(8) {
        troubles(seed);
    }
}

/// Runs one world with overlapping random faults to its end.
pub fn troubles(seed: u64) {
    let machines = if seed.is_multiple_of(8) { 200 } else { 40 };
    let mut w = fleet(9700 + seed, [7, 3, 5][seed as usize % 3], machines);
    w.faults.restart_range_s = Some(if seed.is_multiple_of(2) { (0.01, 0.9) } else { (0.05, 6.0) });
    let jobs = machines / 2;
    for n in 0..jobs {
        let at = w.rng.random_range(0.0..80.0);
        let tasks = w.rng.random_range(1..10);
        let (uid, job) = match n % 5 {
            0 => (format!("run-{n:03}9"), service(2)),
            1 => (format!("run-{n:03}{}", n % 5), gang(2)),
            2 => (format!("run-{n:03}9"), array(tasks, 1e6)),
            _ => (format!("run-{n:03}{}", n % 7), array(tasks, 6.0)),
        };
        let (a, b) = (uid.clone(), uid);
        w.later(at, move |w| w.submit(&a, job));
        if n % 5 == 2 || n % 3 == 0 {
            let cancel_at = w.rng.random_range(at..110.0);
            w.later(cancel_at, move |w| cancel(w, &b, None));
        }
    }
    for _ in 0..2 {
        let at = w.rng.random_range(8.0..40.0);
        for _ in 0..w.rng.random_range(2..4) {
            let kind = w.rng.random_range(0..FAULT_KINDS);
            let from = at + w.rng.random_range(0.0..4.0);
            let end = from + w.rng.random_range(2.0..40.0);
            inject_fault(&mut w, kind, from, end);
        }
    }
    // The last fault ends at 110 s at the latest, and messages that it held back arrive soon after.
    w.calm_from(130.0);
    w.run_until(240.0);
    all_over(&w);
    assert_all_jobs_known(&mut w);
}
