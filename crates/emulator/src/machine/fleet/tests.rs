//! Tests of the emulated machines: commands, heartbeats, leases and faults.

use super::*;
use finchquay_protocol::user::{JobKind, JobSpec};
use finchquay_protocol::worker::TaskState;

const LEASE: f64 = 18.0;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

fn fleet(machines: u32) -> Fleet {
    let mut f = Fleet::new(s(4.0));
    for i in 0..machines {
        let traits = Traits {
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
            lease: s(LEASE),
            gang_wait: s(10.0),
        };
        f.boot(traits, s(0.0));
    }
    f
}

fn job(f: &mut Fleet, uid: &str, kind: JobKind, tasks: u32, run_s: f32, checkpoint_interval_s: f64) {
    let spec =
        JobSpec { kind, task_count: tasks, checkpoint_interval_s, checkpoint_duration_s: 1.0, ..JobSpec::example(uid) };
    f.upload(Description { spec, run_s: vec![run_s; tasks as usize], broken: false });
}

fn run(task: &str, attempt: u64) -> Command {
    Command::Run { task: task.into(), attempt }
}

fn kill(task: &str, attempt: u64, grace_period_s: f64) -> Command {
    Command::Kill { task: task.into(), attempt, grace_period_s }
}

fn commands(f: &mut Fleet, machine: &str, at: f64, token: u64, commands: &[Command]) -> u16 {
    let agent_epoch = f.worker(machine).unwrap().agent_epoch();
    f.pushed(machine, s(at), &CommandRequest { fencing_token: token, agent_epoch, commands: commands.into() })
        .unwrap()
        .0
}

fn state(f: &mut Fleet, machine: &str, at: f64, task: &str) -> Option<(TaskState, Option<Cause>, Option<bool>)> {
    f.advance(s(at));
    let r = f.report(machine, s(at)).unwrap();
    r.tasks.iter().find(|t| t.task == task).map(|t| (t.status, t.cause, t.kept))
}

#[test]
fn an_array_task_fetches_runs_and_is_done_once() {
    let mut f = fleet(1);
    job(&mut f, "run-1", JobKind::Array, 2, 5.0, 0.0);
    assert_eq!(commands(&mut f, "host-0", 0.0, 3, &[run("run-1/0", 7), run("run-1/0", 8), run("run-2/0", 1)]), 200);
    assert_eq!(state(&mut f, "host-0", 0.5, "run-1/0").unwrap().0, TaskState::Fetching);
    assert_eq!(state(&mut f, "host-0", 0.5, "run-2/0").unwrap().1, Some(Cause::UnknownTask));
    let report = f.report("host-0", s(0.5)).unwrap();
    assert_eq!(report.tasks.iter().find(|t| t.attempt == 8).unwrap().cause, Some(Cause::AlreadyPresent));
    assert_eq!(state(&mut f, "host-0", 1.1, "run-1/0").unwrap().0, TaskState::Running);
    assert_eq!(state(&mut f, "host-0", 6.2, "run-1/0").unwrap().1, Some(Cause::Done));
    // Its result is kept: a second start exits at once.
    commands(&mut f, "host-0", 7.0, 3, &[Command::Forget { task: "run-1/0".into(), attempt: 7 }, run("run-1/0", 9)]);
    let (happenings, _) = f.take();
    let stops = happenings.iter().filter(|(_, h)| matches!(h, Happening::Stop { cause: "done", .. })).count();
    assert_eq!(stops, 2);
}

/// Lower tokens and other sessions carry out nothing; a lapsed lease ends all.
#[test]
fn tokens_sessions_and_leases_fence() {
    let mut f = fleet(1);
    job(&mut f, "run-1", JobKind::Service, 1, 1e9, 0.0);
    assert_eq!(commands(&mut f, "host-0", 0.0, 5, &[run("run-1/0", 1)]), 200);
    assert_eq!(commands(&mut f, "host-0", 0.1, 4, &[kill("run-1/0", 1, 0.0)]), 409);
    f.answered("host-0", s(0.2), s(0.1), 1, Some(4), &[kill("run-1/0", 1, 0.0)]);
    f.answered("host-0", s(0.2), s(0.1), 2, Some(9), &[kill("run-1/0", 1, 0.0)]);
    f.answered("host-0", s(0.2), s(0.1), 1, None, &[kill("run-1/0", 1, 0.0)]);
    assert_eq!(state(&mut f, "host-0", 2.0, "run-1/0").unwrap().0, TaskState::Running);
    f.answered("host-0", s(6.0), s(5.0), 1, Some(5), &[]);
    assert!(state(&mut f, "host-0", 5.0 + LEASE - 0.1, "run-1/0").is_some(), "renewed from when it was sent");
    assert_eq!(state(&mut f, "host-0", 5.0 + LEASE + 0.1, "run-1/0"), None);
    assert_eq!(f.worker("host-0").unwrap().agent_epoch(), 2);
    assert!(f.take().0.iter().any(|(_, h)| matches!(h, Happening::Stop { cause: "lapsed", .. })));
}

#[test]
fn a_machine_that_hangs_goes_on_within_its_lease_only() {
    for (back, alive) in [(10.0, true), (LEASE + 1.0, false)] {
        let mut f = fleet(1);
        job(&mut f, "run-1", JobKind::Array, 1, 5.0, 0.0);
        commands(&mut f, "host-0", 0.0, 1, &[run("run-1/0", 1)]);
        f.advance(s(3.0));
        f.with("host-0", s(3.0), |w, sh| w.hang(s(3.0), true, sh));
        f.advance(s(back));
        // Its tasks start elsewhere once the lease is over, not once it wakes.
        let lapsed = f.take().0.iter().any(|(_, h)| matches!(h, Happening::Stop { cause: "lapsed", .. }));
        assert_eq!(lapsed, !alive, "{back}");
        f.with("host-0", s(back), |w, sh| w.hang(s(back), false, sh));
        assert_eq!(state(&mut f, "host-0", back + 1.0, "run-1/0").is_some(), alive, "{back}");
        if alive {
            assert_eq!(state(&mut f, "host-0", back + 3.1, "run-1/0").unwrap().1, Some(Cause::Done));
        }
    }
}

#[test]
fn a_gang_starts_ends_and_breaks_together() {
    let mut f = fleet(3);
    job(&mut f, "run-1", JobKind::Gang, 2, 20.0, 8.0);
    commands(&mut f, "host-0", 0.0, 1, &[run("run-1/0", 1)]);
    commands(&mut f, "host-1", 3.0, 1, &[run("run-1/1", 1)]);
    assert_eq!(state(&mut f, "host-0", 3.5, "run-1/0").unwrap().0, TaskState::WaitingForGang);
    assert_eq!(state(&mut f, "host-0", 4.1, "run-1/0").unwrap().0, TaskState::Running);
    ["host-0", "host-1", "host-2"].iter().for_each(|m| f.answered(m, s(10.0), s(10.0), 1, Some(1), &[]));
    // The other vanishes at 14: ten seconds of progress, the checkpoint at eight counts.
    f.vanish("host-1", s(14.0));
    assert_eq!(state(&mut f, "host-0", 17.9, "run-1/0").unwrap().0, TaskState::Running);
    assert_eq!(state(&mut f, "host-0", 18.1, "run-1/0").unwrap().1, Some(Cause::GangMemberLost));
    // Twelve seconds are left; the last image comes at 20.
    let forget = Command::Forget { task: "run-1/0".into(), attempt: 1 };
    commands(&mut f, "host-0", 18.1, 1, &[forget, run("run-1/0", 2)]);
    commands(&mut f, "host-2", 18.2, 1, &[run("run-1/1", 2)]);
    f.answered("host-0", s(19.0), s(19.0), 1, Some(1), &[]);
    f.answered("host-2", s(19.0), s(19.0), 1, Some(1), &[]);
    assert_eq!(state(&mut f, "host-2", 31.0, "run-1/1").unwrap().0, TaskState::Running);
    assert_eq!(state(&mut f, "host-2", 31.4, "run-1/1").unwrap().1, Some(Cause::Done));
    assert_eq!(state(&mut f, "host-0", 31.4, "run-1/0").unwrap().1, Some(Cause::Done));
}

/// Progress is safe only if every task of the gang was told in time.
#[test]
fn an_orderly_stop_of_a_gang_needs_all_its_tasks() {
    for (second_at, kept) in [(10.5, true), (20.0, false)] {
        let mut f = fleet(2);
        job(&mut f, "run-1", JobKind::Gang, 2, 60.0, 30.0);
        commands(&mut f, "host-0", 0.0, 1, &[run("run-1/0", 1)]);
        commands(&mut f, "host-1", 0.0, 1, &[run("run-1/1", 1)]);
        f.advance(s(1.1));
        commands(&mut f, "host-0", 10.0, 1, &[kill("run-1/0", 1, 5.0)]);
        f.answered("host-0", s(10.1), s(10.1), 1, Some(1), &[]);
        f.answered("host-1", s(10.1), s(10.1), 1, Some(1), &[]);
        f.advance(s(second_at));
        commands(&mut f, "host-1", second_at, 1, &[kill("run-1/1", 1, 5.0)]);
        let got = state(&mut f, "host-0", 14.5_f64.max(second_at), "run-1/0").unwrap();
        assert_eq!((got.1, got.2), (Some(Cause::Stopped), Some(kept)));
        let saved = f.shared.saved.values().copied().fold(0.0, f64::max);
        assert_eq!(saved > 8.0, kept, "{saved}");
    }
}

#[test]
fn a_gang_that_is_not_complete_gives_up_and_capacity_is_counted() {
    let mut f = fleet(1);
    job(&mut f, "run-1", JobKind::Gang, 9, 60.0, 0.0);
    let all: Vec<Command> = (0..5).map(|i| run(&format!("run-1/{i}"), 1)).collect();
    commands(&mut f, "host-0", 0.0, 1, &all);
    assert_eq!(state(&mut f, "host-0", 1.0, "run-1/4").unwrap().1, Some(Cause::NoCapacity));
    assert_eq!(state(&mut f, "host-0", 11.2, "run-1/3").unwrap().1, Some(Cause::GangIncomplete));
    assert!(f.gangs.is_empty());
}
