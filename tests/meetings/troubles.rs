//! The simulated world really produces each fault that random scenarios ask for: a fault that
//! never occurs proves nothing.

use super::{cancel, fleet};
use crate::world::helpers::running;
use crate::world::{CANCEL_S, CloseQueries, LEASE_S, array, service};

/// Machines that open no connection lose their tasks with their lease, receive direct commands
/// meanwhile, and serve again later. Machines that hang continue with their tasks, except for
/// those that ended with the lease.
#[test]
fn mute_machines_lose_tasks_with_their_lease_and_hanging_ones_continue() {
    let mut w = fleet(9800, 3, 24);
    w.submit("run-999", service(24));
    w.run_until(15.0);
    let names: Vec<String> =
        w.workers.values().filter(|x| !x.tasks.is_empty()).map(|x| x.name.clone()).take(4).collect();
    assert_eq!(names.len(), 4);
    for name in &names[..2] {
        w.workers.get_mut(name).unwrap().mute = true;
    }
    let tasks_on = |w: &crate::world::World, name: &String| w.workers[name].tasks.len();
    let (short, long) = (names[2].clone(), names[3].clone());
    let before = tasks_on(&w, &short);
    w.hang(&short, true);
    w.hang(&long, true);
    w.run_until(17.0);
    w.hang(&short, false);
    assert_eq!(tasks_on(&w, &short), before, "tasks were lost within the lease");
    w.run_until(15.0 + LEASE_S + 2.0);
    w.hang(&long, false);
    assert!(w.workers.get(&long).is_none_or(|x| x.tasks.is_empty()), "tasks outlived their lease");
    w.run_until(15.0 + CANCEL_S * 2.0);
    w.workers.values_mut().for_each(|x| x.mute = false);
    w.run_until(15.0 + CANCEL_S * 3.0);
    assert_eq!(running(&w, "run-999"), 24);
}

/// The drawn faults include users who query all controllers at once and send invalid requests.
#[test]
fn users_who_query_closely_and_send_invalid_requests() {
    let mut w = fleet(9801, 3, 24);
    w.faults.close_queries = Some(CloseQueries { cancel: 0.2 });
    w.faults.invalid_requests_per_s = 20.0;
    w.faults.cancel_at_last_end = Some(0.5);
    for n in 0..20 {
        w.later(2.0 + f64::from(n), move |w| w.submit(&format!("run-1{n:02}1"), array(2, 4.0)));
    }
    w.run_until(60.0);
    let cancelled = w.jobs.values().filter(|j| j.cancelled_at.is_some()).count();
    assert!(
        w.counters.close_queries > 400 && w.counters.invalid_requests_refused > 200,
        "{} queries, {} refusals",
        w.counters.close_queries,
        w.counters.invalid_requests_refused
    );
    assert!(cancelled > 0 && w.jobs.values().any(|j| j.confirmed_done), "{cancelled} of 20 were cancelled");
}

/// The drawn faults include late answers of the store and heartbeats delivered again to the next leader.
#[test]
fn late_answers_and_heartbeats_duplicated_for_the_next_leader() {
    let mut w = fleet(9802, 3, 24);
    (w.faults.late_answers, w.faults.duplicates_for_next_leader) = (Some((0.3, (0.5, 9.0))), Some(0.2));
    w.submit("run-999", service(24));
    for n in 0..3 {
        w.later(20.0 + 20.0 * f64::from(n), |w| w.crash_leader());
    }
    w.run_until(80.0);
    (w.faults.late_answers, w.faults.duplicates_for_next_leader) = (None, None);
    assert!(w.counters.duplicates_for_next_leader > 20, "{} duplicates arrived", w.counters.duplicates_for_next_leader);
    cancel(&mut w, "run-999", None);
    w.run_until(100.0);
    assert_eq!(running(&w, "run-999"), 0);
    assert_eq!(w.counters.started_cancelled, 0, "starts after a confirmed cancellation");
}
