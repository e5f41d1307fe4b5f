//! Tests of what reports, answers and pushes prove about a machine, and of the resulting
//! commands.

use super::*;
use crate::coordination::fencing_token::MAX_COUNTER;
use crate::protocol::MAX_BODY_BYTES;
use crate::protocol::worker::{Command, CommandRequest, TaskReport};
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
                progress_saved: None,
            })
            .collect(),
    }
}

fn places(list: &[(&str, u32, u64)]) -> PlacedTasks {
    list.iter().map(|(j, i, a)| ((j.to_string(), *i), *a)).collect()
}

/// Guards against commands that the agent refuses because the message exceeds the limit on bodies,
/// which counts them as JSON.
#[test]
fn the_longest_commands_of_one_message_stay_within_the_limit() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    let job = "run-123456789012345678";
    let attempt = 9_999_999_999;
    let ids: Vec<String> = (90_000..92_000).map(|index| format!("{job}/{index}")).collect();
    let running: Vec<(&str, u64, TaskState)> =
        ids.iter().map(|id| (id.as_str(), attempt, TaskState::Running)).collect();
    m.apply_report(&report((1, 1), m.token(), &running));
    for index in 90_000..92_000 {
        m.preempted.insert((job.into(), index, attempt), f64::MIN_POSITIVE);
    }
    let commands = m.commands(&places(&[]), &places(&[]));
    let request = CommandRequest { fencing_token: u64::MAX, agent_epoch: u64::MAX, commands: commands.into() };
    let bytes = serde_json::to_vec(&request).unwrap().len();
    assert!(bytes > MAX_BODY_BYTES / 2 && bytes <= MAX_BODY_BYTES, "{bytes} bytes");
}

/// A delayed packet may deliver an old report after a newer one. Acting on it would kill or
/// restart tasks according to an outdated state.
#[test]
fn an_older_report_changes_nothing() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    assert!(m.apply_report(&report((2, 5), 9, &[("run-1/0", 1, TaskState::Running)])));
    assert!(!m.apply_report(&report((2, 5), 9, &[])));
    assert!(!m.apply_report(&report((1, 99), 9, &[])));
    assert_eq!(m.tasks.len(), 1);
    assert!(m.apply_report(&report((3, 1), 9, &[])));
}

/// A push without an answer may start its task minutes later. Until the agent has shown a
/// higher token, it must not be told to forget a task, and no task counts as absent.
#[test]
fn an_unanswered_push_blocks_forgetting_until_the_token_is_raised() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    let exited = [("run-1/0", 1, TaskState::Exited)];
    m.apply_report(&report((1, 1), m.token(), &exited));
    let forget = Command::Forget { task: "run-1/0".into(), attempt: 1 };
    assert_eq!(m.commands(&places(&[]), &places(&[])), vec![forget.clone()]);
    m.push_in_flight = Some(7);
    assert!(m.commands(&places(&[]), &places(&[])).is_empty());
    let before = m.token();
    m.record_lost_push();
    m.apply_report(&report((1, 2), before, &exited));
    assert!(m.commands(&places(&[]), &places(&[])).is_empty());
    m.apply_report(&report((1, 3), m.token(), &exited));
    assert_eq!(m.commands(&places(&[]), &places(&[])), vec![forget]);
}

/// An exit must be in the store before the agent is told to forget it.
#[test]
fn an_exit_that_is_not_stored_is_not_forgotten() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    m.apply_report(&report((1, 1), m.token(), &[("run-1/0", 1, TaskState::Exited)]));
    let kept = places(&[("run-1", 0, 1)]);
    assert!(m.commands(&places(&[]), &kept).is_empty());
    assert!(m.commands(&kept, &places(&[])).is_empty());
}

/// An attempt that the store does not place here must not run beside the one that it does.
#[test]
fn unwanted_tasks_are_killed_and_missing_tasks_started() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    m.apply_report(&report((1, 1), m.token(), &[("run-1/0", 1, TaskState::Running)]));
    let commands = m.commands(&places(&[("run-1", 0, 2)]), &places(&[]));
    let kill = Command::Kill { task: "run-1/0".into(), attempt: 1, grace_period_s: 0.0 };
    let run = Command::Run { task: "run-1/0".into(), attempt: 2 };
    assert_eq!(commands, vec![kill, run]);
}

/// An earlier owner may be in the same partition as the agent and still answer it.
#[test]
fn lease_expiry_counts_from_the_grant_too() {
    let s = Duration::from_secs;
    let mut m = Machine::new(1, 1, 1, s(100));
    assert!(!m.lease_expired(s(147), s(18), s(48)));
    assert!(m.lease_expired(s(149), s(18), s(48)));
    m.answered_at = Some(s(140));
    assert!(!m.lease_expired(s(157), s(18), s(48)));
    assert!(m.lease_expired(s(159), s(18), s(48)));
}

/// One machine of a gang fetched the image long before the others. Its task stopped waiting,
/// so the whole gang was started again on other machines, where the same happened.
#[test]
fn a_gang_task_that_gave_up_waiting_is_started_again() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    let mut r = report((1, 1), m.token(), &[("run-1/0", 2, TaskState::Exited)]);
    r.tasks[0].cause = Some(Cause::GangIncomplete);
    m.apply_report(&r);
    let here = places(&[("run-1", 0, 2)]);
    let forget = Command::Forget { task: "run-1/0".into(), attempt: 2 };
    let run = Command::Run { task: "run-1/0".into(), attempt: 2 };
    assert_eq!(m.commands(&here, &here), vec![forget, run]);
    assert!(m.is_waiting_for_gang("run-1", 0, 2) && m.ended_attempts().next().is_none());
    // While a push is in flight, nothing is forgotten.
    m.push_in_flight = Some(7);
    assert!(m.commands(&here, &here).is_empty() && !m.is_waiting_for_gang("run-1", 0, 2));
}

/// Preempted tasks that can write checkpoints lost their work when they got no grace period.
#[test]
fn a_preempted_task_gets_its_grace_period() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    m.apply_report(&report((1, 1), m.token(), &[("run-1/0", 2, TaskState::Running)]));
    let kill = |grace_period_s| vec![Command::Kill { task: "run-1/0".into(), attempt: 2, grace_period_s }];
    m.preempted.insert(("run-1".into(), 0, 2), 5.0);
    assert_eq!(m.commands(&places(&[]), &places(&[("run-1", 0, 2)])), kill(5.0));
    // Its job was cancelled meanwhile, so its checkpoint is not needed.
    m.preempted.clear();
    assert_eq!(m.commands(&places(&[]), &places(&[("run-1", 0, 2)])), kill(0.0));
}

/// An agent was restarted at once, and a delayed copy of a report from before its restart
/// arrived after the first answer to the new incarnation. It was newer than all reports of the
/// new incarnation. That answer was taken for lost, so the lease counted as expired and the
/// tasks were started elsewhere; an exit in the copy ended a task that was running.
#[test]
fn a_delayed_report_of_an_earlier_incarnation_proves_nothing() {
    let s = Duration::from_secs;
    let mut m = Machine::new(1, 1, 1, s(0));
    let old = m.token();
    let observe = |m: &mut Machine, at, fencing_token, now| {
        assert!(m.apply_report(&report(at, fencing_token, &[("run-1/0", 1, TaskState::Exited)])));
        m.observe_report(true, now);
    };
    observe(&mut m, (1, 8), old, s(10));
    assert!(m.report_proven && m.record_answer(&[], s(10)) == old);
    m.restart_incarnation(&report((1, 2), 0, &[]));
    assert!(m.token() > old && !m.contradicts_token(0));
    m.record_answer(&[], s(20));
    observe(&mut m, (1, 7), old, s(21));
    assert!(!m.report_proven, "the copy does not prove the exit that it shows");
    assert_eq!(m.answered_at, Some(s(20)), "the answer may have arrived");
    // Another copy from the same incarnation proves nothing either. The agent's own report
    // shows the token of the answer.
    observe(&mut m, (1, 9), old, s(22));
    assert!(!m.report_proven && m.answered_at == Some(s(20)));
    let token = m.token();
    observe(&mut m, (1, 10), token, s(23));
    m.token_confirmed = true;
    assert!(m.report_proven && m.contradicts_token(old) && !m.contradicts_token(token));
}

/// The reports of an agent that no answer has reached look like delayed copies of the first
/// reports of an earlier incarnation, so neither proves that an answer was lost. To free the
/// placements nevertheless, the agent is not answered until its lease must have expired. Once
/// it shows the current token, it is answered again at once.
#[test]
fn the_lease_of_an_agent_that_no_answer_reached_is_waited_out() {
    let s = Duration::from_secs;
    let (lease, cancel) = (s(18), s(48));
    let observe = |m: &mut Machine, heartbeat_seq, fencing_token, now| {
        assert!(m.apply_report(&report((1, heartbeat_seq), fencing_token, &[])));
        m.observe_report(true, now);
    };
    let mut unreachable = Machine::new(1, 1, 1, s(0));
    for n in 0..15 {
        observe(&mut unreachable, 1 + n, 3, s(2 * n));
        assert!(!unreachable.must_await_lease_expiry(s(2 * n), lease, cancel), "an earlier owner may still answer it");
        unreachable.record_answer(&[], s(2 * n));
    }
    observe(&mut unreachable, 30, 3, s(31));
    assert!(unreachable.answers_are_lost() && !unreachable.report_proven && unreachable.answered_at == Some(s(28)));
    assert!(
        unreachable.must_await_lease_expiry(s(31), lease, cancel)
            && unreachable.must_await_lease_expiry(s(48), lease, cancel)
    );
    assert!(
        unreachable.lease_expired(s(49), lease, cancel) && !unreachable.must_await_lease_expiry(s(49), lease, cancel)
    );
    // Answers reach it again: it is answered at once, and its tasks go on.
    let token = unreachable.token();
    observe(&mut unreachable, 31, token, s(33));
    unreachable.token_confirmed = true;
    assert!(unreachable.report_proven && !unreachable.must_await_lease_expiry(s(33), lease, cancel));
    // From then on a report without the newest token is proved to be the agent's own, and shows
    // that an answer was lost.
    unreachable.record_answer(&[], s(33));
    unreachable.record_lost_push();
    observe(&mut unreachable, 32, token, s(35));
    unreachable.record_answer(&[], s(35));
    observe(&mut unreachable, 33, token, s(37));
    assert!(unreachable.report_proven && unreachable.answered_at == Some(s(33)));
}

/// An agent was restarted, and its owner had got no report from either incarnation before. The
/// first report was answered with commands to run its tasks. Then a delayed copy of the first
/// report of the earlier incarnation arrived, without a token, as the new incarnation had
/// reported too. The answer was taken for lost, the lease counted as expired, and tasks that had
/// just started were started elsewhere too.
#[test]
fn a_delayed_first_report_of_an_earlier_incarnation_does_not_show_a_lost_answer() {
    let s = Duration::from_secs;
    let mut m = Machine::new(1, 1, 1, s(0));
    for (heartbeat_seq, at) in [(1, 47), (4, 49), (5, 50)] {
        assert!(m.apply_report(&report((1, heartbeat_seq), 0, &[])));
        m.observe_report(heartbeat_seq > 1, s(at));
        if heartbeat_seq == 1 {
            m.record_answer(&[], s(at));
        }
    }
    assert_eq!(m.answered_at, Some(s(47)), "the answer may have arrived");
    assert!(!m.lease_expired(s(50), s(18), s(48)) && m.lease_expired(s(66), s(18), s(48)));
    assert!(m.must_await_lease_expiry(s(50), s(18), s(48)));
}

/// An agent was restarted while its last report was delayed, and its owner had got too few
/// reports of the earlier incarnation to notice. The delayed report, which showed the current
/// token, arrived after the new incarnation had been answered with commands to run its tasks. It
/// was taken for the newest report and listed none of these tasks, so they counted as absent
/// and were started elsewhere.
#[test]
fn a_report_from_before_an_unnoticed_restart_proves_nothing() {
    let s = Duration::from_secs;
    let mut m = Machine::new(1, 1, 1, s(0));
    m.apply_report(&report((1, 3), 0, &[]));
    m.observe_report(false, s(1));
    let old = m.record_answer(&[], s(1));
    // A report of the new incarnation, newer than all reports known.
    m.apply_report(&report((1, 5), 0, &[]));
    m.observe_report(true, s(3));
    m.record_answer(&[], s(3));
    m.apply_report(&report((1, 6), old, &[("run-1/0", 1, TaskState::Exited)]));
    m.observe_report(true, s(4));
    assert!(!m.confirmed() && !m.report_proven && m.answered_at == Some(s(3)));
    // The next report of the new incarnation shows the token that only it was given.
    let token = m.record_answer(&[], s(5));
    m.apply_report(&report((1, 7), token, &[("run-1/0", 1, TaskState::Running)]));
    m.observe_report(true, s(6));
    assert!(m.confirmed() && m.report_proven);
}

/// An agent that could not open connections lost its lease and its tasks, and started a new
/// incarnation that no controller had heard of. A push to it began a new lease. The pushed tasks
/// were assumed to have ended with the lease of the last answer, long before, and were started
/// elsewhere while they ran.
#[test]
fn a_pushed_task_may_run_for_a_whole_lease() {
    let s = Duration::from_secs;
    let (lease, cancel) = (s(18), s(48));
    let mut m = Machine::new(1, 1, 1, s(0));
    m.record_answer(&[], s(100));
    assert!(!m.lease_expired(s(118), lease, cancel) && m.lease_expired(s(119), lease, cancel));
    m.record_push(7, &[], s(130));
    m.push_in_flight = None;
    assert!(!m.lease_expired(s(148), lease, cancel) && m.lease_expired(s(149), lease, cancel));
}

/// A task was commanded to run in the answer to a heartbeat, and a report that the agent sent
/// before it received that answer, as the answer to a push, counted as proof that the task was
/// not there. It was started on another machine, and then here by the late answer.
#[test]
fn a_task_that_a_late_answer_may_start_is_not_absent() {
    let s = Duration::from_secs;
    let mut m = Machine::new(1, 1, 1, s(0));
    let (token, key) = (m.token(), ("run-1".to_string(), 0, 1));
    let observe = |m: &mut Machine, heartbeat_seq, tasks: &[(&str, u64, TaskState)]| {
        assert!(m.apply_report(&report((1, heartbeat_seq), token, tasks)));
        m.observe_report(true, s(heartbeat_seq));
    };
    observe(&mut m, 1, &[]);
    assert!(m.is_absent(&key));
    m.record_answer(&m.commands(&places(&[("run-1", 0, 1)]), &places(&[])), s(1));
    assert!(!m.is_absent(&key), "the heartbeat is older than the answer to it");
    m.apply_report(&report((1, 2), token, &[]));
    m.set_report_proven(true);
    assert!(m.confirmed() && !m.is_absent(&key), "the answer to a push may be older than the answer to the heartbeat");
    assert!(m.is_absent(&("run-2".to_string(), 0, 1)), "nothing has commanded this task to run");
    // The agent has one heartbeat in flight, so the answer has arrived or was dropped.
    observe(&mut m, 3, &[]);
    assert!(m.is_absent(&key));
}

/// A gang's task that stopped waiting was commanded to run again in the answer to a heartbeat.
/// The answer to a push that the agent sent before it received that command showed the earlier
/// exit, which counted as final when the gang was not being started any more. The task was started
/// on another machine, and then here by the late answer.
#[test]
fn an_exit_that_a_late_answer_may_undo_is_not_final() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    let mut exited = report((1, 1), m.token(), &[("run-1/0", 2, TaskState::Exited), ("run-2/0", 1, TaskState::Exited)]);
    (exited.tasks[0].cause, exited.tasks[1].cause) = (Some(Cause::GangIncomplete), Some(Cause::Error));
    m.apply_report(&exited);
    m.observe_report(true, Duration::ZERO);
    let are_final = |m: &Machine| m.tasks.iter().map(|task| m.has_finally_exited(task)).collect::<Vec<bool>>();
    assert_eq!(are_final(&m), [true, true]);
    let here = places(&[("run-1", 0, 2), ("run-2", 0, 1)]);
    m.record_answer(&m.commands(&here, &here), Duration::ZERO);
    exited.heartbeat_seq = 2;
    m.apply_report(&exited);
    m.set_report_proven(true);
    assert_eq!(are_final(&m), [false, true]);
    exited.heartbeat_seq = 3;
    m.apply_report(&exited);
    m.observe_report(true, Duration::ZERO);
    assert_eq!(are_final(&m), [true, true]);
}

/// What was pushed to an agent was remembered as long as the agent ran, so that the controller's
/// memory grew with every task that it started.
#[test]
fn pushed_commands_are_remembered_as_long_as_they_can_be_derived() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    for n in 0..1_000u64 {
        let (task, placed) = (format!("run-{n}/0"), places(&[(&format!("run-{n}"), 0, 1)]));
        m.apply_report(&report((1, 2 * n + 1), m.token(), &[]));
        let run = m.select_pushes(m.commands(&placed, &placed));
        assert_eq!(run, [Command::Run { task: task.clone(), attempt: 1 }]);
        m.prune_pushed(|(job, index, _)| placed.contains_key(&(job.clone(), *index)));
        assert!(m.select_pushes(m.commands(&placed, &placed)).is_empty(), "it was pushed already");
        m.apply_report(&report((1, 2 * n + 2), m.token(), &[(&task, 1, TaskState::Running)]));
        m.prune_pushed(|_| false);
        assert_eq!(m.pushed.len(), 1, "it is on the machine");
    }
    m.apply_report(&report((1, 9_999), m.token(), &[]));
    m.prune_pushed(|_| false);
    assert!(m.pushed.is_empty());
}

/// The call of a push.
const CALL: CallId = 7;

/// Pushes the start of an attempt and applies the agent's answer, which shows it as exited.
fn push_start_that_exits(m: &mut Machine, heartbeat_seq: u64) {
    let run = Command::Run { task: "run-1/0".into(), attempt: 1 };
    m.record_push(CALL, &[run], Duration::ZERO);
    m.push_in_flight = None;
    m.apply_report(&report((1, heartbeat_seq), m.token(), &[("run-1/0", 1, TaskState::Exited)]));
    m.set_report_proven(true);
}

#[test]
fn an_attempt_is_forgotten_under_a_higher_token_than_the_push_that_started_it() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    push_start_that_exits(&mut m, 1);
    let (pushed_under, key) = (m.token(), ("run-1".to_string(), 0, 1));
    let mut commands = m.commands(&places(&[]), &places(&[]));
    m.raise_token_to_forget(&mut commands);
    assert_eq!(commands, vec![Command::Forget { task: "run-1/0".into(), attempt: 1 }]);
    assert!(m.token() > pushed_under);
    assert!(m.confirmed(), "other commands are pushed meanwhile");
    assert_eq!(m.select_pushes(vec![Command::Run { task: "run-2/0".into(), attempt: 1 }]).len(), 1);
    m.apply_report(&report((1, 2), pushed_under, &[]));
    m.set_report_proven(true);
    assert!(!m.is_absent(&key), "a copy of the push may start it");
    m.apply_report(&report((1, 3), m.token(), &[]));
    m.set_report_proven(true);
    assert!(m.is_absent(&key));
    // Nothing that was pushed under the present token is forgotten now, so it need not rise.
    let token = m.token();
    m.raise_token_to_forget(&mut commands);
    assert_eq!(m.token(), token);
}

#[test]
fn a_token_that_cannot_be_raised_voids_no_push_and_calls_for_a_new_grant() {
    let mut m = Machine::new(1, 1, 1, Duration::ZERO);
    m.apply_report(&report((1, 1), FencingToken::new(1, 1, MAX_COUNTER).0, &[]));
    assert!(m.raise_token_above_agent() && !m.needs_new_grant());
    push_start_that_exits(&mut m, 2);
    let mut commands = m.commands(&places(&[]), &places(&[]));
    m.raise_token_to_forget(&mut commands);
    assert!(commands.is_empty() && m.needs_new_grant(), "a copy of the push could start the attempt again");
    assert!(m.confirmed());
    m.record_lost_push();
    assert!(!m.confirmed(), "the lost push may still be carried out");
}

#[test]
fn an_agent_that_does_not_report_a_new_token_in_time_is_not_left_without_tasks_for_an_interval() {
    let s = Duration::from_secs;
    let mut m = Machine::new(1, 2, 1, s(0));
    m.apply_report(&report((1, 1), FencingToken::new(1, 9, 3).0, &[]));
    m.observe_report(true, s(10));
    assert!(!m.awaits_token(s(20), s(1)), "it was not given the token yet");
    m.record_answer(&[], s(10));
    assert!(!m.awaits_token(s(10), s(1)) && m.awaits_token(s(11), s(1)));
    m.record_push(CALL, &[], s(11));
    assert!(!m.awaits_token(s(12), s(1)), "one push at a time");
    m.push_in_flight = None;
    m.apply_report(&report((1, 2), m.token(), &[]));
    m.set_report_proven(true);
    assert!(m.confirmed() && !m.awaits_token(s(20), s(1)));
    // Its reports show that an answer did not reach it: it may be cut off.
    m.record_lost_push();
    m.record_answer(&[], s(20));
    m.apply_report(&report((1, 3), FencingToken::new(2, 1, 0).0, &[]));
    m.observe_report(true, s(28));
    m.record_answer(&[], s(28));
    assert!(!m.awaits_token(s(30), s(1)));
}
