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
    stopped: BTreeSet<u32>,
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
pub type MachineHappening = (String, Happening);

pub struct Fleet {
    workers: HashMap<String, Worker>,
    shared: Shared,
    gangs: BTreeMap<(String, u64), Gang>,
    gang_peer: Duration,
    /// When each machine has something to do next.
    agenda: BTreeSet<(Duration, String)>,
    due: HashMap<String, Duration>,
    happenings: Vec<MachineHappening>,
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
            happenings: Vec::new(),
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
    pub fn take(&mut self) -> (Vec<MachineHappening>, BTreeSet<String>) {
        (std::mem::take(&mut self.happenings), std::mem::take(&mut self.changed))
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
                    self.happenings.push((name.clone(), h));
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
                    g.stopped.insert(task.index);
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
            let all_stopped = g.stopped.len() == spec.task_count as usize && g.broken.is_none();
            let ends: Option<(Cause, Cause, Option<bool>, f64)> = match (g.stop, g.broken) {
                (Some((at, progress)), None) if all_stopped => {
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
            let Some((stopped_cause, others, kept, progress)) = ends else { continue };
            let Some(g) = self.gangs.remove(&key) else { continue };
            let id = TaskId { job: key.0.clone(), index: 0 };
            let saved = self.shared.saved.entry(id).or_default();
            *saved = saved.max(progress);
            for (index, machine) in g.members {
                let was_stopped = g.stopped.contains(&index);
                let cause = if was_stopped { stopped_cause } else { others };
                let task = (TaskId { job: key.0.clone(), index }, key.1);
                self.with(&machine, now, |w, shared| w.exit(now, &task, cause, kept.filter(|_| was_stopped), shared));
            }
        }
    }
}

#[cfg(test)]
mod tests;
