//! Tests of the simulated machines: commands, heartbeats, leases, gangs and faults.

use super::*;
use finchquay_protocol::user::{JobKind, JobSpec};
use finchquay_protocol::worker::TaskState;

const LEASE_S: f64 = 18.0;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

/// A fleet of machines named `host-0`, `host-1` and so on, which all boot at 0 s.
fn fleet(machines: u32) -> Fleet {
    let mut f = Fleet::new(s(4.0));
    for i in 0..machines {
        let traits = MachineTraits {
            name: format!("host-{i}"),
            addr: "127.0.0.1:1".into(),
            machine_type: "std".into(),
            zone: "a".into(),
            spot: false,
            cores: 4.0,
            gpus: 0.0,
            mem_gb: 16.0,
            cache_gb: 50.0,
            gb_per_s: 1.0,
            speed: 1.0,
            lease: s(LEASE_S),
            gang_wait: s(10.0),
        };
        f.boot(traits, s(0.0));
    }
    f
}

fn upload_job(f: &mut Fleet, uid: &str, kind: JobKind, tasks: u32, run_s: f32, checkpoint_interval_s: f64) {
    let spec =
        JobSpec { kind, task_count: tasks, checkpoint_interval_s, checkpoint_duration_s: 1.0, ..JobSpec::example(uid) };
    f.upload(JobDescription { spec, run_s: vec![run_s; tasks as usize], always_fails: false });
}

fn run(task: &str, attempt: u64) -> Command {
    Command::Run { task: task.into(), attempt }
}

fn kill(task: &str, attempt: u64, grace_period_s: f64) -> Command {
    Command::Kill { task: task.into(), attempt, grace_period_s }
}

/// Sends commands to a machine at `at` seconds. Returns the HTTP status of the response.
fn commands(f: &mut Fleet, machine: &str, at: f64, token: u64, commands: &[Command]) -> u16 {
    let agent_epoch = f.worker(machine).unwrap().agent_epoch();
    f.handle_commands(machine, s(at), &CommandRequest { fencing_token: token, agent_epoch, commands: commands.into() })
        .unwrap()
        .0
}

/// State of a task, why it ended, and whether its progress was saved, as the machine reports
/// them at `at` seconds.
fn state(f: &mut Fleet, machine: &str, at: f64, task: &str) -> Option<(TaskState, Option<Cause>, Option<bool>)> {
    f.advance(s(at));
    let heartbeat = f.heartbeat(machine, s(at)).unwrap();
    heartbeat.tasks.iter().find(|t| t.task == task).map(|t| (t.status, t.cause, t.progress_saved))
}

#[test]
fn an_array_task_fetches_runs_and_completes_once() {
    let mut f = fleet(1);
    upload_job(&mut f, "run-1", JobKind::Array, 2, 5.0, 0.0);
    assert_eq!(commands(&mut f, "host-0", 0.0, 3, &[run("run-1/0", 7), run("run-1/0", 8), run("run-2/0", 1)]), 200);
    assert_eq!(state(&mut f, "host-0", 0.5, "run-1/0").unwrap().0, TaskState::Fetching);
    assert_eq!(state(&mut f, "host-0", 0.5, "run-2/0").unwrap().1, Some(Cause::UnknownTask));
    let heartbeat = f.heartbeat("host-0", s(0.5)).unwrap();
    assert_eq!(heartbeat.tasks.iter().find(|t| t.attempt == 8).unwrap().cause, Some(Cause::AlreadyPresent));
    assert_eq!(state(&mut f, "host-0", 1.1, "run-1/0").unwrap().0, TaskState::Running);
    assert_eq!(state(&mut f, "host-0", 6.2, "run-1/0").unwrap().1, Some(Cause::Done));
    // As its result is kept, a second start exits at once.
    commands(&mut f, "host-0", 7.0, 3, &[Command::Forget { task: "run-1/0".into(), attempt: 7 }, run("run-1/0", 9)]);
    let (events, _) = f.take_changes();
    let stops = events.iter().filter(|(_, event)| matches!(event, TaskEvent::Stop { cause: "done", .. })).count();
    assert_eq!(stops, 2);
}

/// Commands with a lower fencing token or for another agent epoch are not executed, and a
/// lapsed lease ends all tasks.
#[test]
fn stale_tokens_and_epochs_are_rejected_and_a_lapsed_lease_ends_all_tasks() {
    let mut f = fleet(1);
    upload_job(&mut f, "run-1", JobKind::Service, 1, 1e9, 0.0);
    assert_eq!(commands(&mut f, "host-0", 0.0, 5, &[run("run-1/0", 1)]), 200);
    assert_eq!(commands(&mut f, "host-0", 0.1, 4, &[kill("run-1/0", 1, 0.0)]), 409);
    f.handle_response("host-0", s(0.2), s(0.1), 1, Some(4), &[kill("run-1/0", 1, 0.0)]);
    f.handle_response("host-0", s(0.2), s(0.1), 2, Some(9), &[kill("run-1/0", 1, 0.0)]);
    f.handle_response("host-0", s(0.2), s(0.1), 1, None, &[kill("run-1/0", 1, 0.0)]);
    assert_eq!(state(&mut f, "host-0", 2.0, "run-1/0").unwrap().0, TaskState::Running);
    f.handle_response("host-0", s(6.0), s(5.0), 1, Some(5), &[]);
    assert!(
        state(&mut f, "host-0", 5.0 + LEASE_S - 0.1, "run-1/0").is_some(),
        "the lease counts from when the heartbeat was sent"
    );
    assert_eq!(state(&mut f, "host-0", 5.0 + LEASE_S + 0.1, "run-1/0"), None);
    assert_eq!(f.worker("host-0").unwrap().agent_epoch(), 2);
    assert!(f.take_changes().0.iter().any(|(_, event)| matches!(event, TaskEvent::Stop { cause: "lapsed", .. })));
}

#[test]
fn a_hung_machine_resumes_only_within_its_lease() {
    for (resumed_at, survives) in [(10.0, true), (LEASE_S + 1.0, false)] {
        let mut f = fleet(1);
        upload_job(&mut f, "run-1", JobKind::Array, 1, 5.0, 0.0);
        commands(&mut f, "host-0", 0.0, 1, &[run("run-1/0", 1)]);
        f.advance(s(3.0));
        f.update("host-0", s(3.0), |worker, job_data| worker.set_hung(s(3.0), true, job_data));
        f.advance(s(resumed_at));
        // The tasks end when the lease lapses, not when the machine resumes: from then on
        // they may start elsewhere.
        let lapsed =
            f.take_changes().0.iter().any(|(_, event)| matches!(event, TaskEvent::Stop { cause: "lapsed", .. }));
        assert_eq!(lapsed, !survives, "{resumed_at}");
        f.update("host-0", s(resumed_at), |worker, job_data| worker.set_hung(s(resumed_at), false, job_data));
        assert_eq!(state(&mut f, "host-0", resumed_at + 1.0, "run-1/0").is_some(), survives, "{resumed_at}");
        if survives {
            assert_eq!(state(&mut f, "host-0", resumed_at + 3.1, "run-1/0").unwrap().1, Some(Cause::Done));
        }
    }
}

#[test]
fn a_gang_starts_ends_and_fails_together() {
    let mut f = fleet(3);
    upload_job(&mut f, "run-1", JobKind::Gang, 2, 20.0, 8.0);
    commands(&mut f, "host-0", 0.0, 1, &[run("run-1/0", 1)]);
    commands(&mut f, "host-1", 3.0, 1, &[run("run-1/1", 1)]);
    assert_eq!(state(&mut f, "host-0", 3.5, "run-1/0").unwrap().0, TaskState::WaitingForGang);
    assert_eq!(state(&mut f, "host-0", 4.1, "run-1/0").unwrap().0, TaskState::Running);
    ["host-0", "host-1", "host-2"].iter().for_each(|m| f.handle_response(m, s(10.0), s(10.0), 1, Some(1), &[]));
    // The other machine is removed at 14 s, after 10 s of progress: the checkpoint at 8 s counts.
    f.remove("host-1", s(14.0));
    assert_eq!(state(&mut f, "host-0", 17.9, "run-1/0").unwrap().0, TaskState::Running);
    assert_eq!(state(&mut f, "host-0", 18.1, "run-1/0").unwrap().1, Some(Cause::GangMemberLost));
    // 12 s of work are left. The last image is fetched at 19.2 s.
    let forget = Command::Forget { task: "run-1/0".into(), attempt: 1 };
    commands(&mut f, "host-0", 18.1, 1, &[forget, run("run-1/0", 2)]);
    commands(&mut f, "host-2", 18.2, 1, &[run("run-1/1", 2)]);
    f.handle_response("host-0", s(19.0), s(19.0), 1, Some(1), &[]);
    f.handle_response("host-2", s(19.0), s(19.0), 1, Some(1), &[]);
    assert_eq!(state(&mut f, "host-2", 31.0, "run-1/1").unwrap().0, TaskState::Running);
    assert_eq!(state(&mut f, "host-2", 31.4, "run-1/1").unwrap().1, Some(Cause::Done));
    assert_eq!(state(&mut f, "host-0", 31.4, "run-1/0").unwrap().1, Some(Cause::Done));
}

/// The progress of a gang is saved only if all its tasks are told to stop in time.
#[test]
fn a_gang_saves_its_progress_only_if_all_tasks_are_stopped_in_time() {
    for (second_at, kept) in [(10.5, true), (20.0, false)] {
        let mut f = fleet(2);
        upload_job(&mut f, "run-1", JobKind::Gang, 2, 60.0, 30.0);
        commands(&mut f, "host-0", 0.0, 1, &[run("run-1/0", 1)]);
        commands(&mut f, "host-1", 0.0, 1, &[run("run-1/1", 1)]);
        f.advance(s(1.1));
        commands(&mut f, "host-0", 10.0, 1, &[kill("run-1/0", 1, 5.0)]);
        f.handle_response("host-0", s(10.1), s(10.1), 1, Some(1), &[]);
        f.handle_response("host-1", s(10.1), s(10.1), 1, Some(1), &[]);
        f.advance(s(second_at));
        commands(&mut f, "host-1", second_at, 1, &[kill("run-1/1", 1, 5.0)]);
        let (_, cause, was_kept) = state(&mut f, "host-0", 14.5_f64.max(second_at), "run-1/0").unwrap();
        assert_eq!((cause, was_kept), (Some(Cause::Stopped), Some(kept)));
        let saved_s = f.job_data.saved_s.values().copied().fold(0.0, f64::max);
        assert_eq!(saved_s > 8.0, kept, "{saved_s}");
    }
}

#[test]
fn an_incomplete_gang_gives_up_and_tasks_beyond_the_capacity_are_refused() {
    let mut f = fleet(1);
    upload_job(&mut f, "run-1", JobKind::Gang, 9, 60.0, 0.0);
    let runs: Vec<Command> = (0..5).map(|i| run(&format!("run-1/{i}"), 1)).collect();
    commands(&mut f, "host-0", 0.0, 1, &runs);
    assert_eq!(state(&mut f, "host-0", 1.0, "run-1/4").unwrap().1, Some(Cause::NoCapacity));
    assert_eq!(state(&mut f, "host-0", 11.2, "run-1/3").unwrap().1, Some(Cause::GangIncomplete));
    assert!(f.gangs.is_empty());
}
