//! All simulated machines with what they share. Gangs live here, since their
//! tasks are on several machines: they start together, end together, and
//! notice within `gang_peer` that one of them is gone. Pure: the time comes in.

use super::worker::{Description, Happening, Shared, Traits, Worker};
use finchquay_protocol::worker::{Cause, Command, CommandRequest, Heartbeat, TaskId};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

/// One attempt of a gang.
#[derive(Debug, Default)]
struct Gang {
    /// Where its tasks are, from the moment they wait for each other.
    members: BTreeMap<u32, String>,
    /// When it started to run, and the work that was left then.
    started: Option<(Duration, f64)>,
    /// Speed of its slowest machine.
    speed: f64,
    /// The first orderly stop: when, and the progress that it saves.
    stop: Option<(Duration, f64)>,
    told: BTreeSet<u32>,
    /// When a running gang lost a task.
    broken: Option<Duration>,
}

impl Gang {
    fn progress(&self, total: f64, now: Duration) -> f64 {
        let ran =
            self.started.map_or(0.0, |(at, left)| total - left + now.saturating_sub(at).as_secs_f64() * self.speed);
        ran.min(total)
    }
}

/// What happened on which machine.
pub type Told = (String, Happening);

pub struct Fleet {
    workers: HashMap<String, Worker>,
    shared: Shared,
    gangs: BTreeMap<(String, u64), Gang>,
    gang_peer: Duration,
    /// When each machine has something to do next.
    agenda: BTreeSet<(Duration, String)>,
    due: HashMap<String, Duration>,
    told: Vec<Told>,
    changed: BTreeSet<String>,
}

impl Fleet {
    pub fn new(gang_peer: Duration) -> Fleet {
        Fleet {
            workers: HashMap::new(),
            shared: Shared::default(),
            gangs: BTreeMap::new(),
            gang_peer,
            agenda: BTreeSet::new(),
            due: HashMap::new(),
            told: Vec::new(),
            changed: BTreeSet::new(),
        }
    }

    pub fn upload(&mut self, desc: Description) {
        self.shared.jobs.insert(desc.spec.uid.clone(), Arc::new(desc));
    }

    /// A task that completed in an earlier run: its result is kept.
    pub fn finished(&mut self, job: &str, index: u32) {
        self.shared.done.insert(TaskId { job: job.into(), index });
    }

    pub fn boot(&mut self, traits: Traits, now: Duration) {
        let name = traits.name.clone();
        self.workers.insert(name.clone(), Worker::new(traits, now));
        self.after(&name, now);
    }

    pub fn vanish(&mut self, name: &str, now: Duration) {
        self.with(name, now, |w, shared| w.drop_all(now, "vanished", shared));
        self.workers.remove(name);
        if let Some(at) = self.due.remove(name) {
            self.agenda.remove(&(at, name.to_string()));
        }
    }

    pub fn worker(&self, name: &str) -> Option<&Worker> {
        self.workers.get(name)
    }

    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Changes one machine, and follows up what that means for gangs.
    pub fn with<T>(&mut self, name: &str, now: Duration, f: impl FnOnce(&mut Worker, &mut Shared) -> T) -> Option<T> {
        let w = self.workers.get_mut(name)?;
        let out = f(w, &mut self.shared);
        self.after(name, now);
        Some(out)
    }

    pub fn report(&mut self, name: &str, now: Duration) -> Option<Heartbeat> {
        self.with(name, now, |w, shared| {
            w.advance(now, shared);
            w.report(now)
        })
    }

    pub fn answered(
        &mut self,
        name: &str,
        now: Duration,
        sent: Duration,
        agent_epoch: u64,
        fencing_token: Option<u64>,
        commands: &[Command],
    ) {
        self.with(name, now, |w, shared| {
            w.advance(now, shared);
            w.answered(now, sent, agent_epoch, fencing_token, commands, shared)
        });
    }

    pub fn pushed(&mut self, name: &str, now: Duration, push: &CommandRequest) -> Option<(u16, Heartbeat)> {
        self.with(name, now, |w, shared| (w.pushed(now, push, shared), w.report(now)))
    }

    /// Lets time pass on every machine and gang with something to do.
    pub fn advance(&mut self, now: Duration) {
        while let Some((at, name)) = self.agenda.first().cloned().filter(|(at, _)| *at <= now) {
            self.agenda.remove(&(at, name.clone()));
            self.due.remove(&name);
            // At its own time, however late this is called.
            self.with(&name, at, |w, shared| w.advance(at, shared));
        }
        self.gangs_turn(now);
    }

    /// What has happened, and which machines have a change to report.
    pub fn take(&mut self) -> (Vec<Told>, BTreeSet<String>) {
        (std::mem::take(&mut self.told), std::mem::take(&mut self.changed))
    }

    /// After a change of one machine: its agenda, and its gangs.
    fn after(&mut self, name: &str, now: Duration) {
        let mut queue = vec![name.to_string()];
        while let Some(name) = queue.pop() {
            let Some(w) = self.workers.get_mut(&name) else { continue };
            let happened = w.take_happenings();
            if w.take_changed() {
                self.changed.insert(name.clone());
            }
            if let Some(old) = self.due.remove(&name) {
                self.agenda.remove(&(old, name.clone()));
            }
            if let Some(next) = w.next() {
                self.agenda.insert((next, name.clone()));
                self.due.insert(name.clone(), next);
            }
            for h in happened {
                queue.extend(self.gang_happening(&name, &h, now));
                if matches!(h, Happening::Start { .. } | Happening::Stop { .. }) {
                    self.told.push((name.clone(), h));
                }
            }
        }
    }

    /// Works one happening into its gang; names machines that changed by it.
    fn gang_happening(&mut self, machine: &str, h: &Happening, now: Duration) -> Vec<String> {
        match h {
            Happening::Gathers { task, attempt } => {
                let gang = self.gangs.entry((task.job.clone(), *attempt)).or_default();
                gang.members.insert(task.index, machine.to_string());
                let Some(desc) = self.shared.jobs.get(&task.job) else { return Vec::new() };
                if gang.members.len() < desc.spec.task_count as usize || gang.started.is_some() {
                    return Vec::new();
                }
                let id = TaskId { job: task.job.clone(), index: 0 };
                let saved = self.shared.saved.get(&id).copied().unwrap_or(0.0);
                let total = desc.run_s.first().map_or(f64::INFINITY, |s| f64::from(*s));
                gang.started = Some((now, (total - saved).max(0.0)));
                let speeds = gang.members.values().filter_map(|m| self.workers.get(m)).map(|w| w.traits.speed);
                gang.speed = speeds.fold(f64::INFINITY, f64::min);
                let mut touched = Vec::new();
                for (index, m) in &gang.members {
                    if let Some(w) = self.workers.get_mut(m) {
                        w.set_running(now, &(TaskId { job: task.job.clone(), index: *index }, *attempt));
                        touched.push(m.clone());
                    }
                }
                touched
            }
            Happening::Winds { task, attempt } => {
                let key = (task.job.clone(), *attempt);
                let total = self.total(&task.job);
                if let Some(g) = self.gangs.get_mut(&key) {
                    let progress = g.progress(total, now);
                    g.stop.get_or_insert((now, progress));
                    g.told.insert(task.index);
                }
                Vec::new()
            }
            Happening::Leaves { task, attempt } => {
                let key = (task.job.clone(), *attempt);
                if let Some(g) = self.gangs.get_mut(&key) {
                    g.members.remove(&task.index);
                    if g.started.is_some() {
                        g.broken.get_or_insert(now);
                    }
                    if g.members.is_empty() {
                        self.gangs.remove(&key);
                    }
                }
                Vec::new()
            }
            Happening::Start { .. } | Happening::Stop { .. } => Vec::new(),
        }
    }

    fn total(&self, job: &str) -> f64 {
        let run = self.shared.jobs.get(job).and_then(|d| d.run_s.first());
        run.map_or(f64::INFINITY, |s| f64::from(*s))
    }

    /// Gangs that are done, saved or broken come to their end.
    fn gangs_turn(&mut self, now: Duration) {
        let running: Vec<(String, u64)> =
            self.gangs.iter().filter(|(_, g)| g.started.is_some()).map(|(k, _)| k.clone()).collect();
        for key in running {
            let total = self.total(&key.0);
            let desc = self.shared.jobs.get(&key.0).cloned();
            let (Some(g), Some(desc)) = (self.gangs.get(&key), desc) else { continue };
            let spec = &desc.spec;
            let wait_over = |at: Duration| now >= at + self.gang_peer;
            // Where the first checkpoint before now lies, for gangs that fall back.
            let until = g.broken.or(g.stop.map(|(at, _)| at)).unwrap_or(now);
            let every = spec.checkpoint_interval_s;
            let fallback = if every > 0.0 { (g.progress(total, until) / every).floor() * every } else { 0.0 };
            let all_told = g.told.len() == spec.task_count as usize && g.broken.is_none();
            let ends: Option<(Cause, Cause, Option<bool>, f64)> = match (g.stop, g.broken) {
                (Some((at, progress)), None) if all_told => {
                    let saved = now >= at + Duration::from_secs_f64(spec.checkpoint_duration_s);
                    saved.then_some((Cause::Stopped, Cause::Stopped, Some(true), progress))
                }
                (Some((at, _)), _) if wait_over(at) => {
                    Some((Cause::Stopped, Cause::GangMemberLost, Some(false), fallback))
                }
                (None, Some(at)) if wait_over(at) => {
                    Some((Cause::GangMemberLost, Cause::GangMemberLost, None, fallback))
                }
                (None, None) if g.progress(total, now) >= total => Some((Cause::Done, Cause::Done, None, total)),
                _ => None,
            };
            let Some((told, others, kept, progress)) = ends else { continue };
            let Some(g) = self.gangs.remove(&key) else { continue };
            let id = TaskId { job: key.0.clone(), index: 0 };
            let saved = self.shared.saved.entry(id).or_default();
            *saved = saved.max(progress);
            for (index, machine) in g.members {
                let was_told = g.told.contains(&index);
                let cause = if was_told { told } else { others };
                let task = (TaskId { job: key.0.clone(), index }, key.1);
                self.with(&machine, now, |w, shared| w.exit(now, &task, cause, kept.filter(|_| was_told), shared));
            }
        }
    }
}

#[cfg(test)]
mod tests {
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
        let spec = JobSpec {
            kind,
            task_count: tasks,
            checkpoint_interval_s,
            checkpoint_duration_s: 1.0,
            ..JobSpec::example(uid)
        };
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
        commands(
            &mut f,
            "host-0",
            7.0,
            3,
            &[Command::Forget { task: "run-1/0".into(), attempt: 7 }, run("run-1/0", 9)],
        );
        let (told, _) = f.take();
        let stops = told.iter().filter(|(_, h)| matches!(h, Happening::Stop { cause: "done", .. })).count();
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
}
