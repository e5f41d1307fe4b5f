//! Processes that are suspended while their clocks run on, for any length of time, and resume with
//! everything that arrived meanwhile in their sockets: an answer that came in proves what was true
//! when its request was sent, not what is true now.

use super::fleet;
use crate::world::helpers::with_spare_machines;
use crate::world::{LEASE_S, REPORT_S, SMALL, World, array, s, service};

/// Lengths of suspensions, in seconds: from little more than two ticks to several leases.
const SUSPENSIONS_S: [f64; 8] = [0.05, 0.1, 0.4, 1.2, 1.9, 5.0, 15.0, 60.0];
/// Steps of a user's request at which its controller is suspended, in milliseconds after it was sent.
const STEPS_MS: [u32; 16] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 15, 18, 21, 24, 27, 30, 33];

/// The id of the job for the step at which a controller is suspended.
fn uid_of(step_ms: u32) -> String {
    format!("run-{step_ms:02}9")
}

/// Creates a cluster with one service for each step at which a controller is suspended.
fn with_services(seed: u64) -> World {
    let mut w = fleet(seed, 3, 9);
    STEPS_MS.iter().for_each(|step| w.submit(&uid_of(*step), service(1)));
    w.run_until(25.0);
    w
}

/// Creates a cluster without jobs.
fn without_jobs(seed: u64) -> World {
    let mut w = fleet(seed, 3, 9);
    w.run_until(10.0);
    w
}

/// Runs the world for this many seconds more.
fn run_for(w: &mut World, seconds: f64) {
    let end_s = w.now.as_secs_f64() + seconds;
    w.run_until(end_s);
}

/// Cancels a job through a controller, and runs until that is confirmed or `within_s` has passed.
fn cancel_and_confirm(w: &mut World, uid: &str, node: usize, within_s: f64) -> bool {
    let until = w.now + s(within_s);
    w.cancel_at_node(uid, node);
    while w.jobs[uid].cancelled_at.is_none() && w.now < until {
        run_for(w, 0.001);
    }
    w.jobs[uid].cancelled_at.is_some()
}

/// Submits a job to a controller, and returns whether it was accepted after this many seconds.
fn accept(w: &mut World, uid: &str, node: usize, within_s: f64) -> bool {
    w.submit_to(uid, &array(1, 1.0), node);
    run_for(w, within_s);
    w.asked[&(uid.to_string(), node)] == 201
}

/// Submits an array of six tasks to a controller, and runs for this long. Writes take a while then,
/// so that some are in flight at the end.
fn submit_while_writes_are_slow(w: &mut World, uid: &str, node: usize, step_ms: u32) {
    w.submit_to(uid, &array(6, 1e6), node);
    w.faults.transaction_delay_s = 0.04;
    run_for(w, f64::from(step_ms) / 1000.0);
    w.faults.transaction_delay_s = 0.0;
}

/// Returns how many tasks of the job are on machines, in any state.
fn on_machines(w: &World, uid: &str) -> usize {
    w.workers.values().flat_map(|x| x.tasks.values()).filter(|task| task.job == uid).count()
}

/// Suspends a controller for this long, while the user of a job cancels it at another one. Returns
/// whether that was confirmed; the controller is still to be resumed.
fn suspend_and_cancel(w: &mut World, node: usize, uid: &str, other: usize, length_s: f64) -> bool {
    w.pause(node, true);
    let resumed_at_s = w.now.as_secs_f64() + length_s;
    run_for(w, 0.05);
    let cancelled = cancel_and_confirm(w, uid, other, length_s - 0.06);
    w.run_until(resumed_at_s);
    cancelled
}

/// Suspends a controller this long after its user sent a request, while `meanwhile` happens, and
/// resumes it. Returns whether the request waited there all the time, and `meanwhile` took place.
fn suspend(w: &mut World, node: usize, uid: &str, length_s: f64, meanwhile: impl FnOnce(&mut World) -> bool) -> bool {
    w.pause(node, true);
    let resumed_at_s = w.now.as_secs_f64() + length_s;
    // An answer that was given before the suspension arrives now.
    run_for(w, 0.01);
    let waits = w.asked[&(uid.to_string(), node)] == 0;
    let happened = meanwhile(w);
    w.run_until(resumed_at_s);
    w.resume_with_answers(node);
    run_for(w, 0.5);
    waits && happened
}

/// Runs a suspension of a controller at each step of a request of a user, for each length. `start`
/// creates the cluster, `send` sends the request about a job to a controller, `meanwhile` is what
/// another controller does for the user within the given seconds, and `check` gets what the resumed
/// one answered.
fn suspend_at_each_step(
    seed: u64,
    start: impl Fn(u64) -> World,
    send: impl Fn(&mut World, &str, usize),
    meanwhile: impl Fn(&mut World, &str, usize, f64) -> bool,
    mut check: impl FnMut(&World, &str, usize, f64),
) {
    for (nth, length_s) in SUSPENSIONS_S.into_iter().enumerate() {
        let mut w = start(seed + nth as u64);
        for step_ms in STEPS_MS {
            let uid = uid_of(step_ms);
            let (node, other) = (step_ms as usize % 3, (step_ms as usize + 1) % 3);
            send(&mut w, &uid, node);
            run_for(&mut w, f64::from(step_ms) / 1000.0);
            if suspend(&mut w, node, &uid, length_s, |w| meanwhile(w, &uid, other, length_s - 0.02)) {
                check(&w, &uid, node, length_s);
            }
            // The machines that moved away return.
            run_for(&mut w, if length_s > 1.0 { 8.0 } else { 1.0 });
        }
    }
}

/// A controller was suspended while a poll waited there for a read of the store; the answer to the
/// read came meanwhile. Resumed, it answered `running` (`went_back`) after another controller had
/// told the user that the job is cancelled.
#[test]
fn a_resumed_controller_answers_no_poll_by_a_read_from_before_its_suspension() {
    let (mut polls, mut answered, mut went_back) = (0, 0, Vec::new());
    suspend_at_each_step(9800, with_services, World::ask, cancel_and_confirm, |w, uid, node, length_s| {
        let told = w.told.get(&(uid.to_string(), node)).map_or("", String::as_str);
        if !matches!(told, "" | "withdrawn") {
            went_back.push(format!("{uid} after {length_s} s: {told}"));
        }
        polls += 1;
        answered += u32::from(length_s < 1.0 && told == "withdrawn");
    });
    assert!(went_back.is_empty(), "{} of {polls} polls went back: {went_back:?}", went_back.len());
    assert!(polls > 40, "only {polls} polls waited through a suspension and a cancellation");
    assert!(answered > 15, "only {answered} polls were answered after a short suspension");
}

/// The same with a job that another controller accepted meanwhile: the resumed one answered 404
/// (`forgotten`).
#[test]
fn a_resumed_controller_denies_no_job_by_a_read_from_before_its_suspension() {
    let (mut polls, mut forgotten) = (0, Vec::new());
    suspend_at_each_step(9810, without_jobs, World::ask, accept, |w, uid, node, length_s| {
        polls += 1;
        if w.asked[&(uid.to_string(), node)] == 404 {
            forgotten.push(format!("{uid} after {length_s} s"));
        }
    });
    assert!(forgotten.is_empty(), "{} of {polls} polls got 404: {forgotten:?}", forgotten.len());
    assert!(polls > 40, "only {polls} polls waited through a suspension and an acceptance");
}

/// A controller was suspended while its write for a submission was in flight. Resumed, it answered
/// the submission with `pending` (`went_back`) after another controller had told the user that the
/// job is cancelled: that its write was carried out says nothing of what came after it.
#[test]
fn a_resumed_controller_accepts_no_job_that_was_cancelled_during_its_suspension() {
    let (mut submissions, mut answered, mut went_back) = (0, 0, Vec::new());
    let send = |w: &mut World, uid: &str, node| w.submit_to(uid, &array(1, 1e6), node);
    suspend_at_each_step(9820, without_jobs, send, cancel_and_confirm, |w, uid, node, length_s| {
        submissions += 1;
        let told = w.told.get(&(uid.to_string(), node)).map_or("", String::as_str);
        if !matches!(told, "" | "withdrawn") {
            went_back.push(format!("{uid} after {length_s} s: {told}"));
        }
        answered += u32::from(told == "withdrawn");
    });
    assert!(went_back.is_empty(), "{} of {submissions} went back: {went_back:?}", went_back.len());
    assert!(answered > 0, "none of {submissions} submissions was answered after a suspension");
}

/// A controller was suspended between the placement of a task and the command to start it. Resumed,
/// it started the task although another controller had told the user meanwhile that the job is
/// cancelled: that the placement is stored says nothing of what came after it.
#[test]
fn a_resumed_controller_starts_no_task_of_a_job_that_was_cancelled_during_its_suspension() {
    let (mut suspensions, mut started) = (0, Vec::new());
    for (nth, length_s) in SUSPENSIONS_S.into_iter().enumerate().skip(1) {
        let mut w = fleet(9830 + nth as u64, 3, 12);
        w.run_until(10.0);
        for step_ms in (20..400).step_by(10) {
            let (uid, node) = (format!("run-{step_ms:03}9"), step_ms as usize / 10 % 3);
            let other = (node + 1) % 3;
            submit_while_writes_are_slow(&mut w, &uid, node, step_ms);
            let cancelled = suspend_and_cancel(&mut w, node, &uid, other, length_s);
            let before = w.counters.started_cancelled;
            w.resume_with_answers(node);
            run_for(&mut w, 0.5);
            if cancelled {
                suspensions += 1;
                let late = w.counters.started_cancelled - before;
                started.extend((late > 0).then(|| format!("{late} of {uid} after {length_s} s")));
            }
            w.cancel_at_node(&uid, other);
            run_for(&mut w, if length_s > 1.0 { 8.0 } else { 1.0 });
        }
    }
    assert!(started.is_empty(), "tasks started in {} of {suspensions}: {started:?}", started.len());
    assert!(suspensions > 100, "only {suspensions} suspensions in which a job was cancelled");
}

/// The cloud refused a rental while the leader was suspended. Resumed, the leader took the refusal
/// for the present, and asked for no machine of that offer until a lease after its resumption.
#[test]
fn a_refusal_that_waited_through_a_suspension_delays_no_rental_longer() {
    for seed in 0..6 {
        let mut w = with_spare_machines(9840 + seed, SMALL, 0);
        w.run_until(30.0);
        w.submit("run-009", service(60));
        while w.cloud.rental_requests.is_empty() {
            run_for(&mut w, 0.001);
            assert!(w.now < s(60.0), "seed {seed}: no machine was requested");
        }
        let leader = w.store.leader().expect("no leader");
        let (requested_at, spot) = w.cloud.rental_requests[0];
        w.pause(leader, true);
        run_for(&mut w, 2.0);
        w.resume_with_answers(leader);
        let resumed_at = w.now;
        run_for(&mut w, LEASE_S + 4.0);
        assert_eq!(w.store.leader(), Some(leader), "seed {seed}: another leader");
        let is_next = |request: &&(_, bool)| request.0 > resumed_at && request.1 == spot;
        let next = w.cloud.rental_requests.iter().find(is_next).expect("no second request for the offer");
        let waited_s = (next.0 - requested_at).as_secs_f64();
        assert!(waited_s < LEASE_S + 1.0, "seed {seed}: requested again {waited_s:.2} s after the refused request");
    }
}

/// Starts that are withheld after a short suspension wait for a read of the store, not for the next
/// heartbeats of the machines, nor until a read is due anyway.
#[test]
fn starts_withheld_after_a_suspension_are_pushed_within_a_tenth_of_a_heartbeat_interval() {
    let mut slowest_s: f64 = 0.0;
    let mut w = fleet(9860, 3, 12);
    w.run_until(10.0);
    for step_ms in (20..200).step_by(10) {
        let (uid, node) = (format!("run-{step_ms:03}9"), step_ms as usize / 10 % 3);
        submit_while_writes_are_slow(&mut w, &uid, node, step_ms);
        w.pause(node, true);
        run_for(&mut w, 0.1);
        w.resume_with_answers(node);
        let resumed_at = w.now;
        while on_machines(&w, &uid) < 6 && w.now < resumed_at + s(3.0) {
            run_for(&mut w, 0.005);
        }
        slowest_s = slowest_s.max((w.now - resumed_at).as_secs_f64());
        cancel_and_confirm(&mut w, &uid, node, 1.0);
        run_for(&mut w, 1.0);
    }
    assert!(slowest_s < REPORT_S / 10.0, "the slowest start took {slowest_s:.2} s after the suspension");
}

/// The leader was suspended after a job had come for which there was no capacity. Resumed, it rented
/// machines for the job although another controller had told the user meanwhile that it is cancelled.
#[test]
fn a_resumed_leader_rents_no_machine_for_a_job_that_was_cancelled_during_its_suspension() {
    let (mut suspensions, mut rented) = (0, Vec::new());
    for (nth, length_s) in [0.2, 0.4, 0.8, 1.2, 1.6, 1.9, 5.0].into_iter().enumerate() {
        for step_ms in (10..300).step_by(20) {
            let mut w = with_spare_machines(9850 + nth as u64, SMALL, 40);
            w.run_until(12.0 + f64::from(step_ms) / 500.0);
            let leader = w.store.leader().expect("no leader");
            let other = (leader + 1) % 3;
            w.submit_to("run-009", &service(200), other);
            run_for(&mut w, f64::from(step_ms) / 1000.0);
            let cancelled = suspend_and_cancel(&mut w, leader, "run-009", other, length_s);
            let before = w.cloud.rental_requests.len();
            w.resume_with_answers(leader);
            run_for(&mut w, 0.5);
            if cancelled && before == 0 {
                suspensions += 1;
                let requests = w.cloud.rental_requests.len() - before;
                rented.extend((requests > 0).then(|| format!("{requests} at step {step_ms} ms, after {length_s} s")));
            }
        }
    }
    assert!(rented.is_empty(), "machines were rented in {} of {suspensions}: {rented:?}", rented.len());
    assert!(suspensions > 30, "only {suspensions} suspensions in which a job was cancelled");
}

/// A controller with too little processor time handles events only every tenth of a second, which is
/// five times its tick interval. Each of these gaps counted as a suspension, so no read was ever
/// confirmed: polls got no answer, and tasks were not started.
#[test]
fn a_controller_that_is_late_at_every_tick_still_answers_and_starts_tasks() {
    let mut w = fleet(9870, 3, 12);
    w.submit("run-009", service(1));
    w.run_until(20.0);
    for node in 0..3 {
        let uid = format!("run-{node}19");
        w.submit_to(&uid, &array(6, 1e6), node);
        let (mut polls, mut answered) = (0, 0);
        for turn in 0..60 {
            w.pause(node, true);
            if turn % 20 == 0 {
                w.ask("run-009", node);
                polls += 1;
            }
            run_for(&mut w, 0.1);
            w.resume_with_answers(node);
            run_for(&mut w, 0.001);
            answered += u32::from(turn % 20 == 19 && w.asked[&("run-009".to_string(), node)] == 200);
        }
        assert_eq!(answered, polls, "answers of controller {node} within the two seconds that users wait");
        assert_eq!(on_machines(&w, &uid), 6, "tasks that controller {node} started");
        run_for(&mut w, 5.0);
    }
}
