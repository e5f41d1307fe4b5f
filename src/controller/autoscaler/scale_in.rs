//! Scaling in: machines that never came up, and those that stood idle for long.

use super::*;
use crate::placement::MachineCapacity;
use crate::protocol::cloud::{Phase, RELEASE_LIMIT};
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::JobKind;
use crate::scaling::fits;
use records::MachineRecord;

/// Tasks that waited this many boot times ago still count as waiting; the
/// second holds while cost is saved.
const WAITING_ARRAYS_BOOTS: [f64; 2] = [4.0, 1.0];
/// Idle machines are kept this many times longer while objectives are missed.
const OBJECTIVES_MISSED_KEEP: [f64; 2] = [20.0, 4.0];

impl Controller {
    pub(super) fn late_s(&self, machine_type: &str) -> f64 {
        self.machine_type(machine_type).map_or(f64::MAX, |t| t.startup_s * self.config.operator.late_boots)
    }

    /// Which machines are up, or were before they fell silent.
    pub(super) fn update_up_times(&mut self) {
        let now = self.now;
        let mut up_at = std::mem::take(&mut self.autoscaler.up_at);
        up_at.retain(|name, _| self.state.machines.contains_key(name));
        for name in self.state.machines.keys().filter(|name| self.is_up(name)) {
            match up_at.get_mut(name) {
                Some(at) => *at = now,
                None => _ = up_at.insert(name.clone(), now),
            }
        }
        self.autoscaler.up_at = up_at;
    }

    /// Whether the machine was up before it fell silent, not long ago: it is not coming,
    /// and its owner, which knows what fell silent with it, decides what becomes of it.
    pub(super) fn fell_silent(&self, name: &str) -> bool {
        let long = self.secs(self.config.settings.workers.lease_s * agents::CUT_LEASES);
        let listed = !self.cloud.unlisted().contains(name);
        listed && self.autoscaler.up_at.get(name).is_some_and(|t| self.now.saturating_sub(*t) < long)
    }

    /// Machines that failed, or were rented and never came up, are returned.
    pub(super) fn return_failed_machines(&mut self) {
        let mut names = Vec::new();
        // Recorded, but neither listed nor heard: it never comes up either.
        let now = self.now;
        let before = std::mem::take(&mut self.autoscaler.unseen_since);
        let mut left = Vec::new();
        let mut unseen = HashMap::new();
        for (name, h) in self.state.machines.iter().filter(|(name, _)| !self.is_up(name)) {
            let since = before.get(name).copied().unwrap_or(now);
            unseen.insert(name.clone(), since);
            if self.releases.is_released(name) {
                left.push(name.clone());
            } else if now.saturating_sub(since).as_secs_f64() > self.late_s(&h.rec.machine_type)
                && !self.releases.is_released_or_in_flight(name)
                && !self.fell_silent(name)
            {
                names.push(name.clone());
            }
        }
        self.autoscaler.unseen_since = unseen;
        self.forget_machines(left);
        for (name, l) in self.cloud.machines() {
            let known = self.is_up(name) || names.contains(name) || self.fell_silent(name);
            let late = l.phase != Phase::Failed && l.rented_s > self.late_s(&l.machine_type);
            if !known && (late || l.phase == Phase::Failed) && !self.releases.is_released_or_in_flight(name) {
                names.push(name.clone());
            }
        }
        names.truncate(RELEASE_LIMIT);
        if !names.is_empty() && self.may_call_cloud(Retry::Release) {
            tracing::info!(machines = names.len(), reason = "never came up", "machines are returned");
            self.release(names);
        }
    }

    /// Marks machines for return once their room, or as much, stayed free for
    /// long: they take nothing new and go when they are empty. The time is the
    /// boot time, at which keeping a machine has cost as much as renting again.
    /// While objectives are missed cheap ones are kept for longer.
    pub(super) fn return_idle(&mut self) {
        let now = self.now;
        let capacities = self.capacities(true);
        let boot = self.cloud.longest_startup_s();
        let waits = self.state.jobs.values().any(|j| j.waiting_count() > 0 && j.spec.kind != JobKind::Service);
        if waits {
            self.autoscaler.arrays_waited_at = Some(now);
        }
        let plain: Vec<MachineCapacity> = capacities.iter().map(|(_, r)| r.clone()).collect();
        let saves_cost = usize::from(self.saves_cost(&plain));
        // Missed objectives are a reason to keep machines only where tasks waited of late.
        let arrays_waited = self
            .autoscaler
            .arrays_waited_at
            .is_some_and(|t| now.saturating_sub(t) < self.secs(boot * WAITING_ARRAYS_BOOTS[saves_cost]));
        let keeps = if arrays_waited && self.service_levels.objectives.behind() {
            OBJECTIVES_MISSED_KEEP[saves_cost]
        } else {
            1.0
        };
        let free: f64 = capacities.iter().map(|(_, r)| r.free_cores()).sum();
        self.autoscaler.free_cores.push_back((now, free));
        // Whoever comes after a machine has to wait for a boot and an image.
        let pull = self.cloud.fastest_pull_gb_per_s();
        let images = self.state.jobs.values().map(|j| j.spec.image_gb / pull);
        let again = boot + images.sum::<f64>() / (self.state.jobs.len() as f64).max(1.0);
        let window = |times: f64| self.secs(again * self.config.operator.idle_boots * times);
        let (short, long) = (window(1.0), window(keeps));
        let longest = window(OBJECTIVES_MISSED_KEEP[0]);
        while self.autoscaler.free_cores.front().is_some_and(|(t, _)| now.saturating_sub(*t) > longest) {
            self.autoscaler.free_cores.pop_front();
        }
        // The least that was free over a whole window; nothing before that.
        let least = |window: Duration| {
            let whole = self
                .autoscaler
                .free_cores
                .front()
                .is_some_and(|(t, _)| now.saturating_sub(*t) + self.heartbeat_intervals(1.0) > window);
            let within = self.autoscaler.free_cores.iter().rev().take_while(|(t, _)| now.saturating_sub(*t) <= window);
            if whole { within.map(|s| s.1).fold(f64::INFINITY, f64::min) } else { 0.0 }
        };
        let (least_short, least_long) = (least(short), least(long));
        let standing = |name: &str| self.state.loads.get(name).is_some_and(|l| !l.standing.is_empty());
        let group_busy =
            |h: &MachineRecord| self.transactions.locked_keys.contains(&records::machine_group_key(&h.group));
        // Services are not moved for this; of the rest, the dearer kind goes
        // first, and then the least used.
        let mut able: Vec<&MachineCapacity> = capacities
            .iter()
            .map(|(_, r)| r)
            .filter(|r| {
                r.total_cores <= if r.spot || saves_cost == 0 { least_long } else { least_short }
                    && !standing(&r.machine)
            })
            .filter(|r| self.state.machines.get(&r.machine).is_some_and(|h| !h.rec.base && !group_busy(&h.rec)))
            .collect();
        able.sort_by(|a, b| {
            let used = |r: &MachineCapacity| r.total_cores - r.free_cores();
            a.spot.cmp(&b.spot).then(used(a).total_cmp(&used(b))).then_with(|| b.machine.cmp(&a.machine))
        });
        let spare = self.transactions.rate.level(now) - self.transactions.rate.rate * SPARE_WRITES;
        let most = if self.may_write(0.0) { spare.max(0.0) as usize } else { 0 };
        // Machines beside a standing fleet go one by one: room that several
        // free at once may be wanted again before new ones are up.
        let most_machines = if saves_cost == 0 { 1 } else { usize::MAX };
        let mut left = least_short.max(least_long);
        let mut chosen: Vec<(String, f64)> = Vec::new();
        let mut machine_groups: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for r in able {
            let Some(h) = self.state.machines.get(&r.machine) else { continue };
            if chosen.len() >= most_machines {
                break;
            }
            if r.total_cores > left || (machine_groups.len() >= most && !machine_groups.contains_key(&h.rec.group)) {
                continue;
            }
            left -= r.total_cores;
            chosen.push((r.machine.clone(), r.free_cores()));
            machine_groups.entry(h.rec.group.clone()).or_default().push(r.machine.clone());
        }
        if chosen.is_empty() {
            return;
        }
        let (services, arrays) = self.demand(&plain);
        let stays = |capacities: Vec<(String, MachineCapacity)>| -> Vec<MachineCapacity> {
            let gone: BTreeSet<&str> = chosen.iter().map(|c| c.0.as_str()).collect();
            capacities.into_iter().map(|(_, r)| r).filter(|r| !gone.contains(r.machine.as_str())).collect()
        };
        let lasting = self.capacities_counting(true, Counted::Lasting);
        if !fits(&services, &mut stays(lasting)) || !fits(&arrays, &mut stays(capacities)) {
            return;
        }
        for (group, names) in machine_groups {
            if self.mark_drain(&group, &names, true) {
                let cores: f64 = chosen.iter().filter(|c| names.contains(&c.0)).map(|c| c.1).sum();
                for s in &mut self.autoscaler.free_cores {
                    s.1 -= cores;
                }
            }
        }
    }

    /// Marks machines of one machine group.
    pub(super) fn mark_drain(&mut self, group: &str, names: &[String], drain: bool) -> bool {
        let Some((conditions, op)) = self.marked_group(group, names, drain) else { return false };
        tracing::debug!(machines = ?names, drain, "machines marked");
        let mut txn = Txn { conditions: vec![self.leader_condition()], ops: vec![op] };
        txn.conditions.extend(conditions);
        self.txn_keyed(txn, Why::Mark);
        true
    }

    /// The change that marks machines of one machine group; none while another is under way.
    pub(in crate::controller) fn marked_group(
        &self,
        group: &str,
        names: &[String],
        drain: bool,
    ) -> Option<([Condition; 2], Op)> {
        let key = records::machine_group_key(group);
        let p = self.state.machine_groups.get(group).filter(|_| !self.transactions.locked_keys.contains(&key))?;
        let mut rec = self.state.in_force(p);
        rec.drain.retain(|m| !names.contains(m));
        if drain {
            rec.drain.extend_from_slice(names);
        }
        let conditions = [Condition { key: key.clone(), version: p.version }, self.shard_condition_of(&p.rec.owner)];
        Some((conditions, Op::Put { key, data: records::to_value(&rec), lease: None }))
    }
}
