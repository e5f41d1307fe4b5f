//! The stand-ins play each trouble that the drawn days ask of them: what never happens
//! in them proves nothing.

use super::{cancel, fleet};
use crate::world::helpers::running;
use crate::world::{CANCEL_S, CloseQueries, LEASE_S, array, service};

/// Machines that open no connection lose what they run with each lease, are reached by
/// direct commands meanwhile, and serve again; machines that hang go on with what they
/// had, but for what their lease ended.
#[test]
fn machines_mute_and_hanging() {
    let mut w = fleet(9800, 3, 24);
    w.submit("run-999", service(24));
    w.run_until(15.0);
    let names: Vec<String> =
        w.workers.values().filter(|x| !x.tasks.is_empty()).map(|x| x.name.clone()).take(4).collect();
    assert_eq!(names.len(), 4);
    for name in &names[..2] {
        w.workers.get_mut(name).unwrap().mute = true;
    }
    let there = |w: &crate::world::World, name: &String| w.workers[name].tasks.len();
    let (short, long) = (names[2].clone(), names[3].clone());
    let before = there(&w, &short);
    w.hang(&short, true);
    w.hang(&long, true);
    w.run_until(17.0);
    w.hang(&short, false);
    assert_eq!(there(&w, &short), before, "it went on with all it had");
    w.run_until(15.0 + LEASE_S + 2.0);
    w.hang(&long, false);
    assert!(w.workers.get(&long).is_none_or(|x| x.tasks.is_empty()), "its lease is over");
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
    let left = w.jobs.values().filter(|j| j.cancelled_at.is_some()).count();
    assert!(
        w.counters.close_queries > 400 && w.counters.invalid_requests_refused > 200,
        "{} looks, {} refusals",
        w.counters.close_queries,
        w.counters.invalid_requests_refused
    );
    assert!(left > 0 && w.jobs.values().any(|j| j.confirmed_done), "{left} of 20 were cancelled");
}

/// The drawn faults include late answers of the store and heartbeats delivered again to the next leader.
#[test]
fn answers_late_and_copies_for_the_next_leader() {
    let mut w = fleet(9802, 3, 24);
    (w.faults.late_answers, w.faults.duplicates_for_next_leader) = (Some((0.3, (0.5, 9.0))), Some(0.2));
    w.submit("run-999", service(24));
    for n in 0..3 {
        w.later(20.0 + 20.0 * f64::from(n), |w| w.crash_leader());
    }
    w.run_until(80.0);
    (w.faults.late_answers, w.faults.duplicates_for_next_leader) = (None, None);
    assert!(w.counters.duplicates_for_next_leader > 20, "{} copies came", w.counters.duplicates_for_next_leader);
    cancel(&mut w, "run-999", None);
    w.run_until(100.0);
    assert_eq!(running(&w, "run-999"), 0);
    assert_eq!(w.counters.started_cancelled, 0, "starts after a confirmed cancellation");
}
