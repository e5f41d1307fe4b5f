//! Where waiting tasks go: pure functions over bookkeeping. The ordinary path
//! is the knapsack per machine of `knapsack`; what stands beside it is the
//! first-fit for tasks that waited too long, reservations and gangs.

pub mod knapsack;

use crate::protocol::cloud::MachineType;
use crate::protocol::user::{JobKind, JobSpec, Priority, TASKS_LIMIT};
use crate::state::{Images, Resources};
use knapsack::{CPU_STEPS, GPU_STEPS, Group, Knapsack, value};
use std::collections::{BTreeMap, BTreeSet};

/// Free room on one machine.
#[derive(Debug, Clone)]
pub struct MachineCapacity {
    pub machine: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cores: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub total_cores: f64,
    pub total_gpus: f64,
    pub total_mem_gb: f64,
    pub pull_gb_per_s: f64,
    /// Images of the tasks placed there, and those that the machine is known
    /// to hold.
    pub images: [Images; 2],
    /// What arrays take there, which can make room for services.
    pub arrays: Resources,
    /// What is still to come of the images that it fetches.
    pub fetching_gb: f64,
}

impl MachineCapacity {
    pub fn empty(name: &str, t: &MachineType, zone: &str, spot: bool) -> MachineCapacity {
        MachineCapacity {
            machine: name.to_string(),
            machine_type: t.label.clone(),
            zone: zone.to_string(),
            spot,
            cores: t.cores,
            gpus: t.gpus,
            mem_gb: t.mem_gb,
            total_cores: t.cores,
            total_gpus: t.gpus,
            total_mem_gb: t.mem_gb,
            pull_gb_per_s: t.pull_gb_per_s,
            images: Default::default(),
            arrays: Resources::default(),
            fetching_gb: 0.0,
        }
    }

    /// Type, zone and kind of machine are allowed.
    pub fn allowed(&self, spec: &JobSpec) -> bool {
        spec.machine_types.as_ref().is_none_or(|b| b.contains(&self.machine_type))
            && spec.zone.as_ref().is_none_or(|s| *s == self.zone)
            && (spec.spot_allowed || !self.spot)
    }

    /// How many tasks like the job's there is room for, however many it has.
    pub fn fits(&self, spec: &JobSpec) -> u32 {
        self.fits_beside(spec, &Resources::default())
    }

    /// The same if `gone` were free as well.
    fn fits_beside(&self, spec: &JobSpec, gone: &Resources) -> u32 {
        if self.cores + gone.cores + SLACK < spec.cores || !self.allowed(spec) {
            return 0;
        }
        let times = |free: f64, need: f64| {
            if need > 0.0 { ((free + SLACK) / need).floor().max(0.0) } else { f64::INFINITY }
        };
        let n = times(self.cores + gone.cores, spec.cores)
            .min(times(self.gpus + gone.gpus, spec.gpus))
            .min(times(self.mem_gb + gone.mem_gb, spec.mem_gb));
        n.min(f64::from(TASKS_LIMIT)) as u32
    }

    /// The part of the machine that is free, by what is scarcest there: on a
    /// machine whose GPUs are taken, free cores are no room.
    pub fn free_share(&self) -> f64 {
        let part = |free: f64, total: f64| if total > 0.0 { (free / total).max(0.0) } else { 1.0 };
        part(self.cores, self.total_cores)
            .min(part(self.gpus, self.total_gpus))
            .min(part(self.mem_gb, self.total_mem_gb))
    }

    /// The same, as so many of its cores.
    pub fn free_cores(&self) -> f64 {
        self.free_share() * self.total_cores
    }

    pub fn has_image(&self, spec: &JobSpec) -> bool {
        self.images.iter().any(|i| i.contains(&spec.image))
    }

    /// Seconds until the image is there. Fetches share the machine's rate, so
    /// all that is under way counts.
    pub fn image_s(&self, spec: &JobSpec) -> f64 {
        let gb = match () {
            _ if self.images[1].contains(&spec.image) => 0.0,
            _ if self.images[0].contains(&spec.image) => self.fetching_gb,
            _ => self.fetching_gb + spec.image_gb,
        };
        if gb > 0.0 { gb / self.pull_gb_per_s } else { 0.0 }
    }

    /// Whether the image is on the machine, or comes within that time.
    pub fn starts_within(&self, spec: &JobSpec, seconds: f64) -> bool {
        self.image_s(spec) <= seconds * FETCH_MARGIN
    }

    /// A task that was counted has gone.
    pub fn put_back(&mut self, spec: &JobSpec) {
        self.cores += spec.cores;
        self.gpus += spec.gpus;
        self.mem_gb += spec.mem_gb;
    }

    pub fn take(&mut self, spec: &JobSpec, n: u32) {
        self.cores -= spec.cores * f64::from(n);
        self.gpus -= spec.gpus * f64::from(n);
        self.mem_gb -= spec.mem_gb * f64::from(n);
    }
}

/// Fetch rates vary by a third, and fetches share them.
const FETCH_MARGIN: f64 = 0.7;
/// Weight of the order among tasks of equal value; too small to outweigh value.
const TIE: f32 = 1e-3;
/// A job that has an aim is taken first-fit only after this many times it.
const AIMS_WAITED: f64 = 4.0;
/// Gangs that wait hold no more than this part of the machines.
const MOST_HELD: f64 = 0.25;
/// Rounding allowed when amounts are summed and compared.
const SLACK: f64 = 1e-6;

/// A job's tasks that wait here.
#[derive(Debug)]
pub struct Waiting<'a> {
    pub spec: &'a JobSpec,
    /// In order; no longer than the window.
    pub tasks: Vec<u32>,
    pub waited_s: f64,
    /// Tasks of the job per zone that are, or may still be, on machines.
    pub zones: BTreeMap<String, u32>,
    /// What its aim leaves after a run of the expected length; negative: the
    /// aim is missed already. Infinite for jobs without one.
    pub slack_s: f64,
    /// Work left, in CPU seconds.
    pub work: f64,
    /// The aim asks for a start this soon after the submission.
    pub start_within_s: Option<f64>,
    /// No machine of the block would start it soon enough.
    pub hopeless: bool,
    /// The aim asks for the end this soon after the submission.
    pub aim_s: Option<f64>,
    /// So many of its tasks find a place where the image is before it could be
    /// fetched elsewhere.
    pub stay: u32,
}

impl Waiting<'_> {
    fn late(&self) -> bool {
        self.slack_s < 0.0
    }

    fn starts_soon(&self, capacity: &MachineCapacity) -> bool {
        self.start_within_s.is_none_or(|s| capacity.starts_within(self.spec, s))
    }

    fn zone_capacity(&self, zone: &str) -> u32 {
        zone_capacity(self.spec, self.spec.task_count, &self.zones, zone)
    }
}

/// How many more tasks a job of `tasks` may have in this zone, given those
/// that are, or may still be, on machines in each.
pub fn zone_capacity(spec: &JobSpec, task_count: u32, zones: &BTreeMap<String, u32>, zone: &str) -> u32 {
    let here = zones.get(zone).copied().unwrap_or(0);
    if spec.zone_affinity && zones.iter().any(|(z, n)| z != zone && *n > 0) {
        return 0;
    }
    if spec.zone_anti_affinity {
        return task_count.div_ceil(2).saturating_sub(here);
    }
    u32::MAX
}

/// Knobs of a round.
#[derive(Debug, Clone)]
pub struct Rules {
    pub window: usize,
    pub step_gb: f64,
    pub wait_limit_s: f64,
    /// So many empty ordinary machines are kept from jobs that may use spot
    /// ones: gangs that may not wait somewhere.
    pub keep: usize,
}

/// One task to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    pub uid: String,
    pub index: u32,
    pub machine: String,
}

/// One round over the machines of this controller's block.
pub fn plan(
    capacities: &mut [MachineCapacity],
    waiting: &mut [Waiting],
    rules: &Rules,
    knapsack: &mut Knapsack,
) -> Vec<Start> {
    let mut starts = Vec::new();
    waiting.sort_by(|a, b| b.spec.priority.cmp(&a.spec.priority).then(b.waited_s.total_cmp(&a.waited_s)));
    for w in waiting.iter_mut() {
        // Waiting pays only for room that there is, or that arrays can make.
        w.hopeless = !capacities
            .iter()
            .any(|r| w.starts_soon(r) && w.zone_capacity(&r.zone) > 0 && r.fits_beside(w.spec, &r.arrays) > 0);
    }
    let least = waiting.iter().map(|w| w.spec.cores).fold(f64::INFINITY, f64::min);
    let mut reserved = BTreeSet::new();
    for level in [Priority::Production, Priority::High, Priority::Normal, Priority::Low] {
        let mut jobs: Vec<&mut Waiting> = waiting.iter_mut().filter(|w| w.spec.priority == level).collect();
        // The oldest tasks, and the oldest of jobs that can still meet their
        // aim: a backlog of late ones would hide those.
        let (mut oldest, mut saved) = (rules.window, rules.window);
        for w in jobs.iter_mut().filter(|w| w.spec.kind != JobKind::Gang) {
            w.tasks.truncate(if w.late() { oldest } else { oldest.max(saved) });
            oldest = oldest.saturating_sub(w.tasks.len());
            if !w.late() {
                saved = saved.saturating_sub(w.tasks.len());
            }
        }
        for w in &mut jobs {
            if w.spec.kind == JobKind::Gang {
                gang(capacities, w, &reserved, &mut starts);
                hold(capacities, w, &mut reserved);
            } else if w.waited_s >= rules.wait_limit(w) {
                first_fit(capacities, w, &reserved, &mut starts);
            }
            if w.waited_s >= rules.wait_limit(w) && !w.tasks.is_empty() {
                reserve(capacities, w, &mut reserved);
            }
        }
        let kept = keep(capacities, rules.keep);
        // Among equals the job with the least work left goes first: that way
        // most jobs meet their aim when there is not room for all.
        jobs.sort_by(|a, b| a.work.total_cmp(&b.work));
        // Jobs that can still meet their aim go first, and for each machines
        // that hold the image.
        for tier in [false, true].into_iter().flat_map(|late| PASSES.map(|p| (late, p))) {
            for capacity in capacities.iter_mut() {
                if capacity.cores + SLACK >= least && !reserved.contains(&capacity.machine) {
                    let kept = kept.contains(&capacity.machine);
                    fill(capacity, kept, &mut jobs, tier, rules, knapsack, &mut starts);
                }
            }
        }
    }
    starts
}

impl Rules {
    fn wait_limit(&self, w: &Waiting) -> f64 {
        let aim = w.spec.deadline_s.or(w.aim_s).unwrap_or(0.0);
        self.wait_limit_s.max(aim * AIMS_WAITED)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pass {
    /// The machine holds the image.
    Held,
    /// It fetches the image already.
    Coming,
    /// It fetches nothing, and takes tasks of one image only: images that are
    /// fetched at the same time come the later for all.
    Alone,
    /// The image comes soon enough for the aim.
    Soon,
    /// The aim is lost, or no machine of the block could keep it.
    Any,
}

const PASSES: [Pass; 5] = [Pass::Held, Pass::Coming, Pass::Alone, Pass::Soon, Pass::Any];

fn start(capacity: &mut MachineCapacity, w: &mut Waiting, n: u32, starts: &mut Vec<Start>) {
    capacity.take(w.spec, n);
    if !capacity.has_image(w.spec) {
        std::rc::Rc::make_mut(&mut capacity.images[0]).insert(w.spec.image.clone());
        capacity.fetching_gb += w.spec.image_gb;
    }
    *w.zones.entry(capacity.zone.clone()).or_default() += n;
    for index in w.tasks.drain(..n as usize) {
        starts.push(Start { uid: w.spec.uid.clone(), index, machine: capacity.machine.clone() });
    }
}

fn able(capacity: &MachineCapacity, w: &Waiting) -> u32 {
    capacity.fits(w.spec).min(w.zone_capacity(&capacity.zone)).min(w.tasks.len() as u32)
}

/// The knapsack over one machine's free memory.
fn fill(
    capacity: &mut MachineCapacity,
    kept: bool,
    jobs: &mut [&mut Waiting],
    tier: (bool, Pass),
    rules: &Rules,
    knapsack: &mut Knapsack,
    starts: &mut Vec<Start>,
) {
    let steps = |amount: f64, per_one: f64| ((amount - SLACK) * per_one).ceil().max(0.0) as u32;
    let mem_steps = 1.0 / rules.step_gb;
    let mut groups = Vec::new();
    let mut image: Option<&str> = None;
    for (id, w) in jobs.iter().enumerate() {
        let (late, pass) = tier;
        if w.spec.kind == JobKind::Gang || w.tasks.is_empty() || w.late() != late || (kept && w.spec.spot_allowed) {
            continue;
        }
        let lost = || w.hopeless || w.start_within_s.is_none_or(|s| w.waited_s > s);
        let goes = match pass {
            Pass::Held => capacity.images[1].contains(&w.spec.image),
            Pass::Coming => capacity.has_image(w.spec),
            Pass::Alone => {
                capacity.fetching_gb <= 0.0
                    && image.is_none_or(|i| i == w.spec.image)
                    && (w.starts_soon(capacity) || lost())
            }
            Pass::Soon => w.starts_soon(capacity),
            Pass::Any => lost(),
        };
        let local = matches!(pass, Pass::Held | Pass::Coming);
        let stay = if local { 0 } else { w.stay };
        let count = if goes { able(capacity, w).min((w.tasks.len() as u32).saturating_sub(stay)) } else { 0 };
        if count == 0 {
            continue;
        }
        if pass == Pass::Alone {
            image = Some(&w.spec.image);
        }
        groups.push(Group {
            id,
            count,
            mem: steps(w.spec.mem_gb, mem_steps),
            cpu: steps(w.spec.cores, CPU_STEPS),
            gpu: steps(w.spec.gpus, GPU_STEPS),
            value: value(w.spec.cores, capacity.total_cores) + TIE * (1.0 - id as f32 / jobs.len() as f32),
        });
    }
    if groups.is_empty() {
        return;
    }
    let free = |amount: f64, per_one: f64| ((amount + SLACK) * per_one).floor().max(0.0) as u32;
    let free = [free(capacity.mem_gb, mem_steps), free(capacity.cores, CPU_STEPS), free(capacity.gpus, GPU_STEPS)];
    for (id, n) in knapsack.fill(&groups, free) {
        start(capacity, jobs[id], n, starts);
    }
}

fn first_fit(
    capacities: &mut [MachineCapacity],
    w: &mut Waiting,
    reserved: &BTreeSet<String>,
    starts: &mut Vec<Start>,
) {
    for capacity in capacities.iter_mut().filter(|r| !reserved.contains(&r.machine)) {
        let n = able(capacity, w);
        if n > 0 {
            start(capacity, w, n, starts);
        }
    }
}

/// A task that could be stopped for a more urgent one.
#[derive(Debug, Clone)]
pub struct Victim<'a> {
    pub uid: String,
    pub index: u32,
    pub attempt: u64,
    pub spec: &'a JobSpec,
    /// Work that is lost with it, in CPU seconds.
    pub cost: f64,
    /// Its job keeps an aim if it runs on, and would miss it.
    pub keeps: bool,
}

/// The part of an array's task that may be lost for it.
const WORTH: f64 = 0.5;

fn may_stop(v: &Victim, spec: &JobSpec) -> bool {
    // For an array less work is lost than half of what is made room for.
    let cheap = || v.cost <= spec.cores * spec.estimated_run_s * WORTH;
    v.spec.priority < spec.priority && (spec.kind == JobKind::Service || !v.keeps && cheap())
}

/// Which tasks to stop so that `spec` fits on a machine where it starts soon,
/// in a zone where the job may have it: the set that loses least work. The rules
/// allow it for higher urgency only; one aim is not kept at the cost of another,
/// unless a service waits.
pub fn preempt<'a>(
    spec: &JobSpec,
    within_s: f64,
    zones: &BTreeMap<String, u32>,
    capacities: &[(MachineCapacity, Vec<Victim<'a>>)],
) -> Option<(usize, Vec<Victim<'a>>)> {
    let mut best: Option<(f64, usize, Vec<Victim>)> = None;
    for (at, (capacity, victims)) in capacities.iter().enumerate() {
        let may = capacity.allowed(spec) && zone_capacity(spec, spec.task_count, zones, &capacity.zone) > 0;
        if !may || !capacity.starts_within(spec, within_s) {
            continue;
        }
        let mut able: Vec<&Victim> = victims.iter().filter(|v| may_stop(v, spec)).collect();
        able.sort_by(|a, b| a.spec.priority.cmp(&b.spec.priority).then(a.cost.total_cmp(&b.cost)));
        // An image on the machine is worth the work lost while it would be fetched.
        let fetch = capacity.image_s(spec) * spec.cores;
        let mut capacity = capacity.clone();
        let mut chosen: Vec<Victim> = Vec::new();
        for v in able {
            if capacity.fits(spec) > 0 {
                break;
            }
            capacity.put_back(v.spec);
            chosen.push(v.clone());
        }
        let cost = chosen.iter().map(|v| v.cost).sum::<f64>() + fetch;
        if capacity.fits(spec) > 0 && !chosen.is_empty() && best.as_ref().is_none_or(|b| cost < b.0) {
            best = Some((cost, at, chosen));
        }
    }
    best.map(|(_, at, chosen)| (at, chosen))
}

/// All tasks of an ensemble, or none: where the image is there first, as the
/// whole gang waits for the last fetch; else on the fullest machines.
fn gang(capacities: &mut [MachineCapacity], w: &mut Waiting, reserved: &BTreeSet<String>, starts: &mut Vec<Start>) {
    let mut zones: Vec<Option<String>> = vec![None];
    if w.spec.zone_affinity {
        let all: BTreeSet<String> = capacities.iter().map(|r| r.zone.clone()).collect();
        zones = all.into_iter().map(Some).collect();
    }
    let mut able: Vec<(usize, u32)> = capacities
        .iter()
        .enumerate()
        .map(|(i, r)| (i, able(r, w)))
        .filter(|(i, n)| *n > 0 && !reserved.contains(&capacities[*i].machine))
        .collect();
    let image_s: Vec<f64> = able.iter().map(|(i, _)| capacities[*i].image_s(w.spec)).collect();
    let mut order: Vec<usize> = (0..able.len()).collect();
    order.sort_by(|a, b| {
        let free = |k: &usize| capacities[able[*k].0].free_cores();
        image_s[*a].total_cmp(&image_s[*b]).then(free(a).total_cmp(&free(b))).then(a.cmp(b))
    });
    let mut best: Option<(f64, Vec<(usize, u32)>)> = None;
    for zone in zones {
        let mut left = w.tasks.len() as u32;
        let mut zones = w.zones.clone();
        let mut last_s: f64 = 0.0;
        let mut found = Vec::new();
        for k in order.iter().copied() {
            let (i, n) = &mut able[k];
            let here = &capacities[*i].zone;
            if left == 0 || zone.as_ref().is_some_and(|s| s != here) {
                continue;
            }
            let n = (*n).min(left).min(zone_capacity(w.spec, w.spec.task_count, &zones, here));
            if n > 0 {
                *zones.entry(here.clone()).or_default() += n;
                left -= n;
                last_s = last_s.max(image_s[k]);
                found.push((*i, n));
            }
        }
        if left == 0 && best.as_ref().is_none_or(|b| last_s < b.0) {
            best = Some((last_s, found));
        }
    }
    for (i, n) in best.map_or(Vec::new(), |b| b.1) {
        start(&mut capacities[i], w, n, starts);
    }
}

/// Keeps what a gang found, in the zone where it found most, until the rest
/// comes free or up: other tasks took it one by one, and the gang waited for
/// several machines at the same moment. Only so many machines are held at a
/// time, so that gangs do not idle a fleet.
fn hold(capacities: &[MachineCapacity], w: &Waiting, reserved: &mut BTreeSet<String>) {
    if w.tasks.is_empty() {
        return;
    }
    let most = ((capacities.len() as f64 * MOST_HELD) as usize).saturating_sub(reserved.len());
    let mut by_zone: BTreeMap<&str, Vec<&MachineCapacity>> = BTreeMap::new();
    for r in capacities.iter().filter(|r| able(r, w) > 0 && !reserved.contains(&r.machine)) {
        let zone = if w.spec.zone_affinity { r.zone.as_str() } else { "" };
        by_zone.entry(zone).or_default().push(r);
    }
    let found = by_zone.into_values().max_by_key(|found| found.len()).unwrap_or_default();
    reserved.extend(found.iter().take(most.min(w.tasks.len())).map(|r| r.machine.clone()));
}

/// Empty ordinary machines, so many at most.
fn keep(capacities: &[MachineCapacity], most: usize) -> BTreeSet<String> {
    let empty = capacities.iter().filter(|r| !r.spot && r.free_share() > 1.0 - SLACK);
    empty.take(most).map(|r| r.machine.clone()).collect()
}

/// Keeps the emptiest machines that could ever hold the job's next task free.
fn reserve(capacities: &[MachineCapacity], w: &Waiting, reserved: &mut BTreeSet<String>) {
    let need = if w.spec.kind == JobKind::Gang { w.tasks.len() } else { 1 };
    let mut able: Vec<&MachineCapacity> = capacities
        .iter()
        .filter(|r| r.allowed(w.spec) && r.total_cores + SLACK >= w.spec.cores && !reserved.contains(&r.machine))
        .collect();
    able.sort_by(|a, b| b.cores.total_cmp(&a.cores).then(a.machine.cmp(&b.machine)));
    reserved.extend(able.iter().take(need).map(|r| r.machine.clone()));
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub(crate) fn capacity(name: &str, cores: f64, image: &str) -> MachineCapacity {
        MachineCapacity {
            machine: name.into(),
            machine_type: "std".into(),
            zone: "a".into(),
            spot: false,
            cores,
            gpus: 0.0,
            mem_gb: 32.0,
            total_cores: 8.0,
            total_gpus: 0.0,
            total_mem_gb: 32.0,
            pull_gb_per_s: 0.25,
            images: [Images::default(), Images::new([image.to_string()].into())],
            arrays: Resources::default(),
            fetching_gb: 0.0,
        }
    }

    fn waits(spec: &JobSpec, tasks: u32, slack_s: f64, work: f64) -> Waiting<'_> {
        Waiting {
            spec,
            tasks: (0..tasks).collect(),
            waited_s: 1.0,
            zones: BTreeMap::new(),
            slack_s,
            work,
            start_within_s: None,
            hopeless: false,
            aim_s: None,
            stay: 0,
        }
    }

    fn run(capacities: &mut [MachineCapacity], mut waiting: Vec<Waiting>) -> Vec<Start> {
        let rules = Rules { window: 500, step_gb: 0.25, wait_limit_s: 30.0, keep: 0 };
        plan(capacities, &mut waiting, &rules, &mut Knapsack::default())
    }

    /// An ensemble that starts in part holds machines and makes no progress.
    #[test]
    fn an_ensemble_starts_whole_or_not_at_all() {
        let mut gang = JobSpec::example("run-1");
        gang.kind = JobKind::Gang;
        gang.task_count = 5;
        assert!(
            run(&mut [capacity("m1", 3.0, ""), capacity("m2", 1.0, "")], vec![waits(&gang, 5, 1.0, 1.0)]).is_empty()
        );
        assert_eq!(
            run(&mut [capacity("m1", 3.0, ""), capacity("m2", 2.0, "")], vec![waits(&gang, 5, 1.0, 1.0)]).len(),
            5
        );
        gang.zone_affinity = true;
        let mut far = capacity("m2", 4.0, "");
        far.zone = "b".into();
        assert!(run(&mut [capacity("m1", 3.0, ""), far], vec![waits(&gang, 5, 1.0, 1.0)]).is_empty());
    }

    /// A backlog of late jobs, all older, filled the window of the oldest
    /// tasks, and jobs that could still be saved were never looked at.
    #[test]
    fn a_late_backlog_does_not_hide_what_can_be_saved() {
        let (late, new) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
        let mut old = waits(&late, 600, -5.0, 9.0);
        old.waited_s = 20.0;
        let starts = run(&mut [capacity("m1", 4.0, "")], vec![old, waits(&new, 3, 5.0, 9.0)]);
        assert_eq!(starts.iter().filter(|s| s.uid == "run-2").count(), 3);
    }

    /// In an overload all tasks weigh the same and ties decide: serving late
    /// jobs first made every job late.
    #[test]
    fn jobs_that_can_meet_their_aim_go_before_late_ones() {
        let (late, big, small) = (JobSpec::example("run-1"), JobSpec::example("run-2"), JobSpec::example("run-3"));
        let waiting = vec![waits(&late, 2, -1.0, 1.0), waits(&big, 2, 5.0, 9.0), waits(&small, 2, 5.0, 2.0)];
        let starts = run(&mut [capacity("m1", 3.0, "")], waiting);
        let count = |uid: &str| starts.iter().filter(|s| s.uid == uid).count();
        assert_eq!((count("run-3"), count("run-2"), count("run-1")), (2, 1, 0));
    }

    #[test]
    fn constraints_of_a_job_are_kept() {
        let mut s = JobSpec::example("run-1");
        s.spot_allowed = false;
        let mut spot = capacity("m1", 8.0, "");
        spot.spot = true;
        assert!(run(&mut [spot], vec![waits(&s, 2, 1.0, 1.0)]).is_empty());
        s.machine_types = Some(vec!["other".into()]);
        assert!(run(&mut [capacity("m1", 8.0, "")], vec![waits(&s, 2, 1.0, 1.0)]).is_empty());
        s.machine_types = None;
        s.zone_anti_affinity = true;
        s.task_count = 2;
        assert_eq!(run(&mut [capacity("m1", 8.0, "")], vec![waits(&s, 2, 1.0, 1.0)]).len(), 1);
        s.zone_anti_affinity = false;
        s.mem_gb = 20.0;
        assert_eq!(run(&mut [capacity("m1", 8.0, "")], vec![waits(&s, 2, 1.0, 1.0)]).len(), 1);
    }

    /// The service's image is on a full machine: the task there that lost
    /// least makes room, and no task of the same urgency ever does.
    #[test]
    fn preemption_takes_the_cheapest_victim_where_the_image_is() {
        let mut service = JobSpec::example("run-1");
        service.priority = Priority::High;
        let array = JobSpec::example("run-2");
        let victim = |index, spec, cost| Victim { uid: "run-2".into(), index, attempt: 1, spec, cost, keeps: false };
        let capacities = vec![
            (capacity("m1", 0.0, "other"), vec![victim(0, &array, 0.0)]),
            (capacity("m2", 0.0, "img"), vec![victim(1, &array, 9.0), victim(2, &array, 3.0)]),
        ];
        let mut zones = BTreeMap::new();
        let (at, chosen) = preempt(&service, 1.0, &zones, &capacities).expect("room can be made");
        assert_eq!((at, chosen.len(), chosen[0].index), (1, 1, 2));
        // Where the job may have no more tasks room is made in vain, and was
        // made again ten times a second.
        service.zone_anti_affinity = true;
        zones.insert("a".into(), 1);
        assert!(preempt(&service, 1.0, &zones, &capacities).is_none());
        service.zone_anti_affinity = false;
        service.priority = Priority::Normal;
        assert!(preempt(&service, 1.0, &zones, &capacities).is_none());
        // An array takes the room of less urgent work, but not of what would miss its
        // own aim for it; a service does.
        let idle = JobSpec { priority: Priority::Low, ..array.clone() };
        let keeps = |keeps| vec![(capacity("m1", 0.0, "img"), vec![Victim { keeps, ..victim(0, &idle, 1.0) }])];
        assert!(preempt(&array, f64::INFINITY, &zones, &keeps(false)).is_some());
        assert!(preempt(&array, f64::INFINITY, &zones, &keeps(true)).is_none());
        // Tasks that cannot save lost more work than the arrays that took their room did.
        let dear = array.cores * array.estimated_run_s * 0.6;
        let costs = vec![(capacity("m1", 0.0, "img"), vec![victim(0, &idle, dear)])];
        assert!(preempt(&array, f64::INFINITY, &zones, &costs).is_none());
        let service = JobSpec { kind: JobKind::Service, ..array.clone() };
        assert!(preempt(&service, f64::INFINITY, &zones, &costs).is_some());
        assert!(preempt(&service, f64::INFINITY, &zones, &keeps(true)).is_some());
    }

    /// Four tasks with four images on one empty machine all waited for the sum
    /// of the fetches: while it fetches one image it takes tasks of that only,
    /// where other machines are free.
    #[test]
    fn an_empty_machine_takes_tasks_of_one_image() {
        let (a, mut b) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
        b.image = "other".into();
        let mut capacities = [capacity("m1", 8.0, ""), capacity("m2", 8.0, "")];
        let starts = run(&mut capacities, vec![waits(&a, 2, 1.0, 1.0), waits(&b, 2, 1.0, 2.0)]);
        assert!(starts.iter().all(|s| (s.uid == "run-1") == (s.machine == "m1")), "{starts:?}");
        // Where there is no other, the second image comes after the first.
        let starts = run(&mut [capacity("m1", 8.0, "")], vec![waits(&a, 2, 1.0, 1.0), waits(&b, 2, 1.0, 2.0)]);
        assert_eq!(starts.len(), 4);
    }

    /// Tasks shorter than the fetch were sent to machines without the image,
    /// and started later than those that stayed where it was.
    #[test]
    fn tasks_stay_where_their_image_is_if_that_is_sooner() {
        let s = JobSpec::example("run-1");
        let mut w = waits(&s, 6, 1.0, 1.0);
        w.stay = 2;
        let starts = run(&mut [capacity("m1", 1.0, "img"), capacity("m2", 8.0, "")], vec![w]);
        let on = |m: &str| starts.iter().filter(|s| s.machine == m).count();
        assert_eq!((on("m1"), on("m2")), (1, 3));
    }

    /// GPUs bind where cores are left: a set that cannot stand is no answer,
    /// and a machine with its GPUs taken is full.
    #[test]
    fn gpus_bind_like_cores() {
        let (mut big, mut small) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
        (big.gpus, small.gpus) = (2.0, 1.0);
        let mut r = capacity("m1", 8.0, "img");
        (r.gpus, r.total_gpus) = (4.0, 4.0);
        let starts = run(std::slice::from_mut(&mut r), vec![waits(&big, 4, 1.0, 1.0), waits(&small, 3, 1.0, 2.0)]);
        assert_eq!(starts.iter().filter(|s| s.uid == "run-2").count(), 2);
        assert_eq!(starts.iter().filter(|s| s.uid == "run-1").count(), 1);
        assert_eq!(r.free_cores(), 0.0);
    }

    /// A gang waits for its last fetch, and its first tasks give up meanwhile:
    /// it goes where all of it finds the image, whatever the machines' names.
    #[test]
    fn a_gang_goes_where_its_image_is() {
        let mut gang = JobSpec::example("run-1");
        gang.kind = JobKind::Gang;
        gang.zone_affinity = true;
        gang.cores = 8.0;
        let at =
            |name: &str, zone: &str, image: &str| MachineCapacity { zone: zone.into(), ..capacity(name, 8.0, image) };
        let zones = [("m1", "a", "img"), ("m2", "a", ""), ("m3", "b", ""), ("m4", "b", "img"), ("m5", "b", "img")];
        let mut capacities = zones.map(|(name, zone, image)| at(name, zone, image));
        let starts = run(&mut capacities, vec![waits(&gang, 2, 1.0, 1.0)]);
        let on: Vec<&str> = starts.iter().map(|s| s.machine.as_str()).collect();
        assert_eq!(on, ["m4", "m5"]);
    }

    /// A replica waited for a machine with its image that was full of other
    /// services: only room that is there, or that arrays can make, is waited for.
    #[test]
    fn nothing_is_waited_for_where_no_capacity_can_come() {
        let mut service = JobSpec::example("run-1");
        (service.kind, service.image_gb) = (JobKind::Service, 10.0);
        let wait = || Waiting { start_within_s: Some(4.0), ..waits(&service, 1, 1.0, 1.0) };
        let full = capacity("m1", 0.0, "img");
        let starts = run(&mut [full.clone(), capacity("m2", 8.0, "")], vec![wait()]);
        assert_eq!(starts.len(), 1);
        let yields = MachineCapacity { arrays: Resources { cores: 2.0, gpus: 0.0, mem_gb: 2.0 }, ..full };
        assert!(run(&mut [yields, capacity("m2", 8.0, "")], vec![wait()]).is_empty());
    }

    /// Gangs of two waited 90 s while gangs of one started at once: the first
    /// machine that came free was taken before there was a second.
    #[test]
    fn a_gang_holds_what_it_found() {
        let mut gang = JobSpec::example("run-1");
        gang.kind = JobKind::Gang;
        gang.zone_affinity = true;
        gang.cores = 8.0;
        let array = JobSpec::example("run-2");
        let mut capacities: Vec<MachineCapacity> = ["m1", "m2", "m3", "m4"].map(|m| capacity(m, 2.0, "img")).into();
        capacities[2] = capacity("m3", 8.0, "img");
        let starts = run(&mut capacities, vec![waits(&gang, 2, 1.0, 1.0), waits(&array, 9, 1.0, 1.0)]);
        assert_eq!(starts.iter().filter(|s| s.machine != "m3").count(), 6);
        assert_eq!(starts.iter().filter(|s| s.machine == "m3").count(), 0);
        // A small block is not idled by its gangs.
        let starts =
            run(&mut [capacity("m3", 8.0, "img")], vec![waits(&gang, 2, 1.0, 1.0), waits(&array, 9, 1.0, 1.0)]);
        assert_eq!(starts.len(), 8);
    }

    /// Ordinary machines that came up for gangs were taken by arrays, which may
    /// use spot ones, in blocks where no gang waited yet; more were rented.
    #[test]
    fn machines_are_kept_for_gangs_that_wait_elsewhere() {
        let (array, mut ordinary) = (JobSpec::example("run-1"), JobSpec::example("run-2"));
        ordinary.spot_allowed = false;
        let mut capacities = [capacity("m1", 8.0, "img"), capacity("m2", 8.0, "img"), capacity("m3", 7.0, "img")];
        capacities[1].spot = true;
        let rules = Rules { window: 500, step_gb: 0.25, wait_limit_s: 30.0, keep: 1 };
        let mut waiting = vec![waits(&array, 30, 1.0, 1.0), waits(&ordinary, 1, 1.0, 2.0)];
        let starts = plan(&mut capacities, &mut waiting, &rules, &mut Knapsack::default());
        let on = |m: &str| starts.iter().filter(|s| s.machine == m && s.uid == "run-1").count();
        assert_eq!((on("m1"), on("m2"), on("m3")), (0, 8, 7));
        assert!(starts.iter().any(|s| s.uid == "run-2" && s.machine == "m1"));
    }
}
