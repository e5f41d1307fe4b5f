//! What reports, answers and pushes prove about a machine, and the commands that follow.

use super::*;
use crate::protocol::worker::{Command, TaskReport};
use crate::state::PlacedTasks;

fn report(at: (u64, u64), fencing_token: u64, tasks: &[(&str, u64, TaskState)]) -> Heartbeat {
    Heartbeat {
        machine: "host-000001".into(),
        addr: "10.1.0.1:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: at.0,
        heartbeat_seq: at.1,
        fencing_token,
        preemption_notice_s: None,
        tasks: tasks
            .iter()
            .map(|(p, attempt, status)| TaskReport {
                task: p.to_string(),
                attempt: *attempt,
                status: *status,
                cause: None,
                kept: None,
            })
            .collect(),
    }
}

fn places(list: &[(&str, u32, u64)]) -> PlacedTasks {
    list.iter().map(|(j, i, a)| ((j.to_string(), *i), *a)).collect()
}

/// A held-back packet may deliver an old report after a newer one; acting
/// on it would kill or restart what has moved on.
#[test]
fn an_older_report_changes_nothing() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    assert!(m.take(&report((2, 5), 9, &[("run-1/0", 1, TaskState::Running)])));
    assert!(!m.take(&report((2, 5), 9, &[])));
    assert!(!m.take(&report((1, 99), 9, &[])));
    assert_eq!(m.tasks.len(), 1);
    assert!(m.take(&report((3, 1), 9, &[])));
}

/// A push without an answer may start its task minutes later. Until the
/// worker has taken a higher token, nothing may be forgotten or called absent.
#[test]
fn an_unanswered_push_blocks_forgetting_until_the_token_is_raised() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    let exited = [("run-1/0", 1, TaskState::Exited)];
    m.take(&report((1, 1), m.token(), &exited));
    let forget = Command::Forget { task: "run-1/0".into(), attempt: 1 };
    assert_eq!(m.commands(&places(&[]), &places(&[])), vec![forget.clone()]);
    m.push = Some(7);
    assert!(m.commands(&places(&[]), &places(&[])).is_empty());
    let before = m.token();
    m.push_lost();
    m.take(&report((1, 2), before, &exited));
    assert!(m.commands(&places(&[]), &places(&[])).is_empty());
    m.take(&report((1, 3), m.token(), &exited));
    assert_eq!(m.commands(&places(&[]), &places(&[])), vec![forget]);
}

/// `done` must be in the store before the worker forgets it.
#[test]
fn an_exit_that_is_not_stored_is_not_forgotten() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    m.take(&report((1, 1), m.token(), &[("run-1/0", 1, TaskState::Exited)]));
    let kept = places(&[("run-1", 0, 1)]);
    assert!(m.commands(&places(&[]), &kept).is_empty());
    assert!(m.commands(&kept, &places(&[])).is_empty());
}

/// An attempt that the store does not want here must not run beside the one that it does.
#[test]
fn unwanted_tasks_are_killed_and_missing_tasks_started() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    m.take(&report((1, 1), m.token(), &[("run-1/0", 1, TaskState::Running)]));
    let commands = m.commands(&places(&[("run-1", 0, 2)]), &places(&[]));
    let kill = Command::Kill { task: "run-1/0".into(), attempt: 1, grace_period_s: 0.0 };
    let run = Command::Run { task: "run-1/0".into(), attempt: 2 };
    assert_eq!(commands, vec![kill, run]);
}

/// An earlier owner may be cut off with the worker and still answer it.
#[test]
fn lease_expiry_counts_from_the_grant_too() {
    let s = Duration::from_secs;
    let mut m = Machine::new(1, 1, 1, s(100));
    assert!(!m.lapsed(s(147), s(18), s(48)));
    assert!(m.lapsed(s(149), s(18), s(48)));
    m.answered_at = Some(s(140));
    assert!(!m.lapsed(s(157), s(18), s(48)));
    assert!(m.lapsed(s(159), s(18), s(48)));
}

/// One machine of a gang had its image long before the others: its task gave
/// up, the whole gang was started anew, elsewhere, and gave up again.
#[test]
fn a_gang_task_that_gave_up_waiting_is_started_again() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    let mut r = report((1, 1), m.token(), &[("run-1/0", 2, TaskState::Exited)]);
    r.tasks[0].cause = Some(Cause::GangIncomplete);
    m.take(&r);
    let here = places(&[("run-1", 0, 2)]);
    let forget = Command::Forget { task: "run-1/0".into(), attempt: 2 };
    let run = Command::Run { task: "run-1/0".into(), attempt: 2 };
    assert_eq!(m.commands(&here, &here), vec![forget, run]);
    assert!(m.gathers("run-1", 0, 2) && m.over().next().is_none());
    // With a push under way nothing is forgotten.
    m.push = Some(7);
    assert!(m.commands(&here, &here).is_empty() && !m.gathers("run-1", 0, 2));
}

/// Tasks that can save lost their work when they were stopped for others.
#[test]
fn a_preempted_task_gets_its_grace_period() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    m.take(&report((1, 1), m.token(), &[("run-1/0", 2, TaskState::Running)]));
    let kill = |grace_period_s| vec![Command::Kill { task: "run-1/0".into(), attempt: 2, grace_period_s }];
    m.preempted.insert(("run-1".into(), 0, 2), 5.0);
    assert_eq!(m.commands(&places(&[]), &places(&[("run-1", 0, 2)])), kill(5.0));
    // Withdrawn meanwhile: its work is of no use to anyone.
    m.preempted.clear();
    assert_eq!(m.commands(&places(&[]), &places(&[("run-1", 0, 2)])), kill(0.0));
}

/// A machine ended and was back at once, and a copy of what it said before its end came
/// after our first answer to its present life: above all that this had said. It voided
/// that answer, so the lease counted as over, and its tasks were started elsewhere; an exit
/// in it ended a task that runs.
#[test]
fn a_copy_from_an_earlier_incarnation_proves_nothing() {
    let s = Duration::from_secs;
    let mut m = Machine::new(1, 1, 1, s(0));
    let old = m.token();
    let says = |m: &mut Machine, at, fencing_token, now| {
        assert!(m.take(&report(at, fencing_token, &[("run-1/0", 1, TaskState::Exited)])));
        m.observe_report(true, now);
    };
    says(&mut m, (1, 8), old, s(10));
    assert!(m.sure && m.answer(s(10)) == old);
    m.restart_incarnation(&report((1, 2), 0, &[]));
    assert!(m.token() > old && !m.contradicts_token(0));
    m.answer(s(20));
    says(&mut m, (1, 7), old, s(21));
    assert!(!m.sure, "it is no proof of the exit that it shows");
    assert_eq!(m.answered_at, Some(s(20)), "our answer may have come");
    // Another that goes on from there is no better; the worker's own shows that it did.
    says(&mut m, (1, 9), old, s(22));
    assert!(!m.sure && m.answered_at == Some(s(20)));
    let token = m.token();
    says(&mut m, (1, 10), token, s(23));
    m.ready = true;
    assert!(m.sure && m.contradicts_token(old) && !m.contradicts_token(token));
}

/// One that hears nothing since it came, and a copy of what it said first in an earlier
/// life, look alike: neither voids an answer. So that its places come free all the same
/// it is not answered until its lease must be over, and as soon as it shows our token.
#[test]
fn the_lease_of_an_agent_that_no_answer_reached_is_waited_out() {
    let s = Duration::from_secs;
    let (lease, cancel) = (s(18), s(48));
    let says = |m: &mut Machine, heartbeat_seq, fencing_token, now| {
        assert!(m.take(&report((1, heartbeat_seq), fencing_token, &[])));
        m.observe_report(true, now);
    };
    let mut unreachable = Machine::new(1, 1, 1, s(0));
    for n in 0..15 {
        says(&mut unreachable, 1 + n, 3, s(2 * n));
        assert!(!unreachable.must_await_lease_expiry(s(2 * n), lease, cancel), "an earlier owner may answer it");
        unreachable.answer(s(2 * n));
    }
    says(&mut unreachable, 30, 3, s(31));
    assert!(unreachable.answers_are_lost() && !unreachable.sure && unreachable.answered_at == Some(s(28)));
    assert!(
        unreachable.must_await_lease_expiry(s(31), lease, cancel)
            && unreachable.must_await_lease_expiry(s(48), lease, cancel)
    );
    assert!(unreachable.lapsed(s(49), lease, cancel) && !unreachable.must_await_lease_expiry(s(49), lease, cancel));
    // It hears again: it is answered at once, and what ran there goes on.
    let token = unreachable.token();
    says(&mut unreachable, 31, token, s(33));
    unreachable.ready = true;
    assert!(unreachable.sure && !unreachable.must_await_lease_expiry(s(33), lease, cancel));
    // From then on a report without our newest token is its own, and voids.
    unreachable.answer(s(33));
    unreachable.push_lost();
    says(&mut unreachable, 32, token, s(35));
    unreachable.answer(s(35));
    says(&mut unreachable, 33, token, s(37));
    assert!(unreachable.sure && unreachable.answered_at == Some(s(33)));
}

/// A machine ended and was back, and its owner had heard nothing of it in either life. Its
/// first words were answered with its tasks; then came a copy of what it had said first in
/// the life before, with the token (none) that the present one came with. That voided the
/// answer, the lease counted as over, and what had just started was started elsewhere too.
#[test]
fn a_copy_of_the_first_report_of_an_earlier_incarnation_voids_no_answer() {
    let s = Duration::from_secs;
    let mut m = Machine::new(1, 1, 1, s(0));
    for (heartbeat_seq, at) in [(1, 47), (4, 49), (5, 50)] {
        assert!(m.take(&report((1, heartbeat_seq), 0, &[])));
        m.observe_report(heartbeat_seq > 1, s(at));
        if heartbeat_seq == 1 {
            m.answer(s(at));
        }
    }
    assert_eq!(m.answered_at, Some(s(47)), "our answer may have come");
    assert!(!m.lapsed(s(50), s(18), s(48)) && m.lapsed(s(66), s(18), s(48)));
    assert!(m.must_await_lease_expiry(s(50), s(18), s(48)));
}

/// A machine ended while what it had reported last was held back, and was back; its owner
/// had heard too little of the earlier life to tell. A report of that life that showed our
/// token came after the present one had been answered with its tasks: it passed for the
/// newest, listed none of them, and so they were called absent and started elsewhere.
#[test]
fn a_report_from_before_an_unnoticed_restart_proves_nothing() {
    let s = Duration::from_secs;
    let mut m = Machine::new(1, 1, 1, s(0));
    m.take(&report((1, 3), 0, &[]));
    m.observe_report(false, s(1));
    let old = m.answer(s(1));
    // The present life: above all that is known.
    m.take(&report((1, 5), 0, &[]));
    m.observe_report(true, s(3));
    m.answer(s(3));
    m.take(&report((1, 6), old, &[("run-1/0", 1, TaskState::Exited)]));
    m.observe_report(true, s(4));
    assert!(!m.confirmed() && !m.sure && m.answered_at == Some(s(3)));
    // The present life's own shows what only it was given.
    let token = m.answer(s(5));
    m.take(&report((1, 7), token, &[("run-1/0", 1, TaskState::Running)]));
    m.observe_report(true, s(6));
    assert!(m.confirmed() && m.sure);
}

/// A machine that opened no connection lost what it had with its lease; its next session,
/// of which nobody had heard, began then. What was pushed to it was held to have ended with
/// the lease of the last answer, long before, and was started elsewhere while it ran.
#[test]
fn a_pushed_start_may_run_for_a_whole_lease() {
    let s = Duration::from_secs;
    let (lease, cancel) = (s(18), s(48));
    let mut m = Machine::new(1, 1, 1, s(0));
    m.answer(s(100));
    assert!(!m.lapsed(s(118), lease, cancel) && m.lapsed(s(119), lease, cancel));
    m.pushes(7, s(130));
    m.push = None;
    assert!(!m.lapsed(s(148), lease, cancel) && m.lapsed(s(149), lease, cancel));
}
