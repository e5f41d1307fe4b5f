//! Answers to users: queries at all controllers within milliseconds after another answer, when
//! the last task of a job ends, and while answers of the store are lost.

use super::{all_over, cancel, fleet};
use crate::known::assert_all_jobs_known;
use crate::reconciliation::seed_count;
use crate::world::{CloseQueries, Job, World, array, service};
use rand::RngExt;

/// Submits jobs of one to three tasks over half a minute. Returns their times and ids.
fn submit_small_arrays(w: &mut World, jobs: usize) -> Vec<(f64, String)> {
    let mut all = Vec::new();
    for n in 0..jobs {
        let (at, tasks) = (w.rng.random_range(4.0..34.0), w.rng.random_range(1..4));
        let uid = format!("run-{n:03}{}", n % 5);
        all.push((at, uid.clone()));
        w.later(at, move |w| w.submit(&uid, array(tasks, 3.0)));
    }
    all
}

/// No controller gives an answer older than one that was given. Users query all controllers for
/// a job, repeat its submission, and some cancel it, right after it was accepted, ended or
/// cancelled; meanwhile one controller loses the store, one reloads its state, one restarts and
/// the watch of one is stalled.
#[test]
fn answers_do_not_go_back_across_controllers() {
    let mut queries = 0;
    for seed in 0..seed_count(4) {
        let nodes = [3, 7][seed as usize % 2];
        let mut w = fleet(9900 + seed, nodes, 12);
        w.faults.close_queries = Some(CloseQueries { cancel: 0.3 });
        w.faults.late_answers = Some((0.25, (0.05, 1.4)));
        w.faults.late_watches = Some((0.3, (0.05, 0.8)));
        w.faults.restart_range_s = Some((0.01, 0.5));
        submit_small_arrays(&mut w, 30);
        for n in 0..8 {
            let (node, at) = (w.rng.random_range(0..nodes), 5.0 + 4.0 * f64::from(n));
            w.later(at, move |w| match n % 4 {
                0 => w.nodes[node].refused = true,
                1 => w.crash(node),
                2 => w.store.forgets.extend([node]),
                _ => w.store.mute.extend([node]),
            });
            w.later(at + 3.0, move |w| {
                w.nodes[node].refused = false;
                w.store.mute.clear();
            });
        }
        w.run_until(50.0);
        (w.faults.late_answers, w.faults.late_watches, w.faults.close_queries) = (None, None, None);
        w.run_until(70.0);
        all_over(&w);
        assert_all_jobs_known(&mut w);
        queries += w.counters.close_queries;
    }
    assert!(queries > 1000, "{queries} queries");
}

/// A controller's acceptance of a job is in flight, its answer a second late and its watch
/// stalled, when another controller confirms that the job is cancelled; then the submission is
/// repeated at the first one. It must not be answered by the acceptance in flight.
#[test]
fn a_repeated_submission_does_not_join_one_in_flight() {
    let mut cancelled = 0;
    for seed in 0..seed_count(6) {
        let mut w = fleet(9920 + seed, 3, 12);
        w.faults.close_queries = Some(CloseQueries { cancel: 0.0 });
        w.faults.late_answers = Some((1.0, (0.9, 1.2)));
        w.run_until(5.0);
        for n in 0..8 {
            let (at, uid, node) = (6.0 + 4.0 * f64::from(n), format!("run-{n}01"), n as usize % 3);
            let job = Job { via: Some(node), ..array(1, 60.0) };
            let (first, second) = (uid.clone(), uid);
            w.later(at - 0.1, move |w| w.store.mute.extend([node]));
            w.later(at, move |w| w.submit(&first, job));
            w.later(at + 0.3, move |w| w.cancel(&second));
            w.later(at + 1.8, |w| w.store.mute.clear());
        }
        w.run_until(50.0);
        w.faults.late_answers = None;
        w.jobs.values_mut().for_each(|j| j.via = None);
        w.run_until(70.0);
        all_over(&w);
        cancelled += w.jobs.values().filter(|j| j.cancelled_at.is_some()).count();
    }
    assert!(cancelled >= 30, "{cancelled} of 48 were cancelled");
}

/// Jobs are cancelled as soon as they are accepted, and their submission is repeated at all
/// controllers right after the cancellation is confirmed. A watch event that was sent before the
/// cancellation arrives after the repeated submission. That another controller accepted the job
/// does not prove its status at the time of the query.
#[test]
fn a_lagging_watch_does_not_decide_the_status_of_a_job() {
    let mut cancelled = 0;
    for seed in 0..seed_count(6) {
        let mut w = fleet(9930 + seed, [3, 7][seed as usize % 2], 12);
        w.faults.close_queries = Some(CloseQueries { cancel: 0.9 });
        w.faults.late_watches = Some((0.5, (0.05, 0.5)));
        w.faults.late_answers = Some((0.5, (0.05, 0.6)));
        submit_small_arrays(&mut w, 60);
        w.run_until(50.0);
        (w.faults.late_watches, w.faults.late_answers, w.faults.close_queries) = (None, None, None);
        w.run_until(80.0);
        all_over(&w);
        assert_all_jobs_known(&mut w);
        cancelled += w.jobs.values().filter(|j| j.cancelled_at.is_some()).count();
    }
    assert!(cancelled > 200, "{cancelled} of 360 were cancelled");
}

/// A cancellation, a query and a repeated submission arrive as the last task of a job ends, with
/// no other fault: all controllers report the same final status, done or cancelled, and it does
/// not change.
#[test]
fn a_cancellation_races_with_the_end_of_the_last_task() {
    let (mut done, mut cancelled) = (0, 0);
    for seed in 0..seed_count(4) {
        let mut w = fleet(9940 + seed, [3, 7][seed as usize % 2], 12);
        w.faults.cancel_at_last_end = Some(0.8);
        w.faults.close_queries = Some(CloseQueries { cancel: 0.0 });
        submit_small_arrays(&mut w, 40);
        w.run_until(60.0);
        all_over(&w);
        assert_eq!((w.counters.unanswered_user_requests, w.counters.started_cancelled), (0, 0), "seed {seed}");
        assert_all_jobs_known(&mut w);
        done += w.jobs.values().filter(|j| j.confirmed_done).count();
        cancelled += w.jobs.values().filter(|j| j.cancelled_at.is_some()).count();
    }
    assert!(done > 20 && cancelled > 20, "{done} done, {cancelled} cancelled");
}

/// A quarter of all transactions are committed at once and their answers are lost, while other
/// controllers read what was written: the watch resolves them. No request stays unanswered, and
/// submissions and starts are hardly slower.
#[test]
fn lost_answers_are_resolved_by_the_watch() {
    for seed in 0..seed_count(4) {
        let mut w = fleet(9960 + seed, [3, 7][seed as usize % 2], 24);
        w.run_until(4.0);
        w.faults.late_answers = Some((0.25, (4.0, 200.0)));
        let mut jobs = submit_small_arrays(&mut w, 60);
        for n in 0..20 {
            let (at, uid) = (w.rng.random_range(4.0..34.0), format!("run-9{n:02}9"));
            jobs.push((at, uid.clone()));
            w.later(at, move |w| w.submit(&uid, service(1)));
        }
        jobs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut quick, mut running) = (0, 0);
        let all = jobs.len();
        for (at, uid) in jobs {
            w.run_until(w.now.as_secs_f64().max(at + 0.3));
            quick += usize::from(w.jobs[&uid].accepted);
            if uid.ends_with('9') {
                w.run_until(w.now.as_secs_f64().max(at + 2.5));
                running += crate::world::helpers::running(&w, &uid);
            }
        }
        assert!(quick * 100 >= all * 95, "seed {seed}: {quick} of {all} within 300 ms");
        assert!(running >= 18, "seed {seed}: {running} of 20 services run after 2.5 s");
        for n in 0..20 {
            cancel(&mut w, &format!("run-9{n:02}9"), None);
        }
        w.run_until(60.0);
        assert_eq!(w.counters.unanswered_user_requests, 0, "seed {seed}: requests without an answer");
        all_over(&w);
        assert_all_jobs_known(&mut w);
    }
}

/// Half of all transactions are committed 2 to 12 s late and are not visible before: users are
/// told to retry before their request times out.
#[test]
fn no_user_waits_for_an_unconfirmed_write() {
    for seed in 0..seed_count(3) {
        let mut w = fleet(9980 + seed, [3, 7][seed as usize % 2], 12);
        w.faults.late_transactions = Some((0.5, (2.0, 12.0)));
        for (at, uid) in submit_small_arrays(&mut w, 40) {
            w.later(at + 3.0, move |w| cancel(w, &uid, None));
        }
        w.run_until(60.0);
        w.faults.late_transactions = None;
        w.run_until(90.0);
        assert_eq!(w.counters.unanswered_user_requests, 0, "seed {seed}: requests without an answer");
        all_over(&w);
    }
}

/// Cancellations are confirmed while their controller reloads its state, and pages that it read
/// earlier lack them; its watch is stalled, and no other controller informs it. It answers no
/// agent from the reloaded replica, which lacks cancellations that were confirmed.
#[test]
fn a_reloaded_replica_answers_no_agent_before_it_has_confirmed_cancellations() {
    for (seed, slow) in [(9991, 0.12), (9992, 0.14)] {
        let mut w = fleet(seed, 3, 24);
        w.submit("run-999", service(48));
        w.run_until(20.0);
        let leader = w.store.leader().expect("no leader");
        let node = (leader + 1) % 3;
        w.nodes[node].deaf = true;
        let uids: Vec<String> = (0..30).map(|n| format!("run-{n:02}9")).collect();
        for uid in &uids {
            w.submit(uid, Job { via: Some(node), ..array(1, 1e6) });
        }
        w.run_until(21.2);
        // In flight when the controller starts to reload, committed half-way through.
        w.faults.transaction_delay_s = slow;
        uids.iter().for_each(|uid| w.cancel_at_node(uid, node));
        w.run_until(21.21);
        w.faults.transaction_delay_s = 0.0;
        w.store.forgets.insert(node);
        w.submit("run-888", Job { via: Some(leader), ..array(1, 1.0) });
        w.run_until(21.3);
        let others = (0..3).filter(|o| *o != node);
        w.faults.peers_cut.extend(others.map(|o| (o, node)));
        w.store.mute.insert(node);
        w.nodes[node].deaf = false;
        w.run_until(22.0);
        assert!(w.jobs.values().filter(|j| j.cancelled_at.is_some()).count() > 10, "seed {seed}");
        let before = w.nodes[node].served;
        w.run_until(25.5);
        let served = w.nodes[node].served - before;
        assert_eq!(served, 0, "seed {seed}: agents were answered from a replica that lacks cancellations");
        w.store.mute.clear();
        w.faults.peers_cut.clear();
        w.jobs.values_mut().for_each(|j| j.via = None);
        w.run_until(45.0);
        assert_eq!(w.counters.started_cancelled, 0, "seed {seed}");
        all_over(&w);
    }
}
