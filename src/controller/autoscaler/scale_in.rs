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

/// The least that stayed free, over the time for which idle machines are kept.
#[derive(Debug)]
struct LeastFreeCores {
    /// For on-demand machines where cost is saved.
    ordinary: f64,
    /// For machines that are cheap beside what stands there.
    cheap: f64,
}

/// Machines that shall be returned.
#[derive(Debug, Default)]
struct IdleMachines {
    machines: Vec<IdleMachine>,
    /// Their names by machine group.
    groups: BTreeMap<String, Vec<String>>,
}

/// A machine that shall be returned, and what is free of it.
#[derive(Debug)]
struct IdleMachine {
    name: String,
    free_cores: f64,
}

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
        let long = self.secs(self.config.settings.workers.lease_s * agents::CUT_OFF_LEASES);
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
        let with_owners = self.capacities(true);
        let capacities: Vec<MachineCapacity> = with_owners.into_iter().map(|(_, r)| r).collect();
        let saves_cost = self.saves_cost(&capacities);
        let least_free = self.update_free_cores(&capacities, saves_cost);
        let removable = self.removable_machines(&capacities, &least_free, saves_cost);
        let chosen = self.choose_idle(&removable, &least_free, saves_cost);
        if chosen.machines.is_empty() || !self.demand_fits_without(&chosen, &capacities) {
            return;
        }
        for (group, names) in &chosen.groups {
            if self.mark_drain(group, names, true) {
                let in_group = chosen.machines.iter().filter(|machine| names.contains(&machine.name));
                self.autoscaler.free_cores.remove_cores(in_group.map(|machine| machine.free_cores).sum());
            }
        }
    }

    /// Records how many cores are free; the least that stayed free of late.
    fn update_free_cores(&mut self, capacities: &[MachineCapacity], saves_cost: bool) -> LeastFreeCores {
        let now = self.now;
        if self.state.jobs.values().any(|j| j.waiting_count() > 0 && j.spec.kind != JobKind::Service) {
            self.autoscaler.arrays_waited_at = Some(now);
        }
        let free_cores = capacities.iter().map(|r| r.free_cores()).sum();
        self.autoscaler.free_cores.record(now, free_cores);
        let ordinary = self.idle_window(1.0);
        let cheap = self.idle_window(self.keep_cheap_times(saves_cost));
        let longest = self.idle_window(OBJECTIVES_MISSED_KEEP[0]);
        self.autoscaler.free_cores.drop_older_than(now, longest);
        let tolerance = self.heartbeat_intervals(1.0);
        let least = |window| self.autoscaler.free_cores.least_over(now, window, tolerance);
        LeastFreeCores { ordinary: least(ordinary), cheap: least(cheap) }
    }

    /// How many times longer cheap machines are kept. Missed objectives are a reason to
    /// keep machines only where tasks waited of late.
    fn keep_cheap_times(&self, saves_cost: bool) -> f64 {
        let policy = usize::from(saves_cost);
        let recent = self.secs(self.cloud.longest_startup_s() * WAITING_ARRAYS_BOOTS[policy]);
        let arrays_waited = self.autoscaler.arrays_waited_at.is_some_and(|t| self.now.saturating_sub(t) < recent);
        let missed = arrays_waited && self.service_levels.objectives.behind();
        if missed { OBJECTIVES_MISSED_KEEP[policy] } else { 1.0 }
    }

    /// How long room stays free before its machine is returned. Whatever replaces a
    /// machine has to wait for a boot and an image.
    fn idle_window(&self, times: f64) -> Duration {
        let pull_gb_per_s = self.cloud.fastest_pull_gb_per_s();
        let image_s = self.state.jobs.values().map(|j| j.spec.image_gb / pull_gb_per_s);
        let mean_image_s = image_s.sum::<f64>() / (self.state.jobs.len() as f64).max(1.0);
        let replacement_s = self.cloud.longest_startup_s() + mean_image_s;
        self.secs(replacement_s * self.config.operator.idle_boots * times)
    }

    /// Machines that may be returned, in the order in which they are: services are not
    /// moved for this; of the rest, the dearer kind goes first, and then the least used.
    fn removable_machines<'a>(
        &self,
        capacities: &'a [MachineCapacity],
        least_free: &LeastFreeCores,
        saves_cost: bool,
    ) -> Vec<&'a MachineCapacity> {
        let has_services = |name: &str| self.state.loads.get(name).is_some_and(|load| !load.standing.is_empty());
        let group_locked =
            |machine: &MachineRecord| self.transactions.is_locked(&records::machine_group_key(&machine.group));
        let mut removable: Vec<&MachineCapacity> = capacities
            .iter()
            .filter(|r| r.total_cores <= if r.spot || !saves_cost { least_free.cheap } else { least_free.ordinary })
            .filter(|r| !has_services(&r.machine))
            .filter(|r| self.state.machines.get(&r.machine).is_some_and(|h| !h.rec.base && !group_locked(&h.rec)))
            .collect();
        removable.sort_by(|a, b| {
            let used = |r: &MachineCapacity| r.total_cores - r.free_cores();
            a.spot.cmp(&b.spot).then(used(a).total_cmp(&used(b))).then_with(|| b.machine.cmp(&a.machine))
        });
        removable
    }

    /// As many of the machines as were free all the time, and as many groups as may be
    /// written now.
    fn choose_idle(
        &self,
        removable: &[&MachineCapacity],
        least_free: &LeastFreeCores,
        saves_cost: bool,
    ) -> IdleMachines {
        let spare_writes = self.transactions.unspent_writes(self.now) - self.transactions.write_rate() * SPARE_WRITES;
        let most_groups = if self.may_write(0.0) { spare_writes.max(0.0) as usize } else { 0 };
        // Machines beside a standing fleet go one by one: room that several
        // free at once may be wanted again before new ones are up.
        let most_machines = if saves_cost { usize::MAX } else { 1 };
        let mut cores_left = least_free.ordinary.max(least_free.cheap);
        let mut chosen = IdleMachines::default();
        for capacity in removable {
            if chosen.machines.len() >= most_machines {
                break;
            }
            let Some(machine) = self.state.machines.get(&capacity.machine) else { continue };
            let group = &machine.rec.group;
            let over_groups = chosen.groups.len() >= most_groups && !chosen.groups.contains_key(group);
            if capacity.total_cores > cores_left || over_groups {
                continue;
            }
            cores_left -= capacity.total_cores;
            let (name, free_cores) = (capacity.machine.clone(), capacity.free_cores());
            chosen.machines.push(IdleMachine { name, free_cores });
            chosen.groups.entry(group.clone()).or_default().push(capacity.machine.clone());
        }
        chosen
    }

    /// Whether all demand fits without these machines, and nothing would be rented in
    /// their place.
    fn demand_fits_without(&self, chosen: &IdleMachines, capacities: &[MachineCapacity]) -> bool {
        let demand = self.demand(capacities);
        let leaving: BTreeSet<&str> = chosen.machines.iter().map(|machine| machine.name.as_str()).collect();
        let stays = |r: &MachineCapacity| !leaving.contains(r.machine.as_str());
        let lasting = self.capacities_counting(true, Counted::Lasting).into_iter().map(|(_, r)| r);
        let mut for_services: Vec<MachineCapacity> = lasting.filter(stays).collect();
        let mut for_arrays: Vec<MachineCapacity> = capacities.iter().filter(|r| stays(r)).cloned().collect();
        fits(&demand.services, &mut for_services) && fits(&demand.arrays, &mut for_arrays)
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
        let p = self.state.machine_groups.get(group).filter(|_| !self.transactions.is_locked(&key))?;
        let mut rec = self.state.with_current_grant(p);
        rec.drain.retain(|m| !names.contains(m));
        if drain {
            rec.drain.extend_from_slice(names);
        }
        let conditions = [Condition { key: key.clone(), version: p.version }, self.shard_condition_of(&p.rec.owner)];
        Some((conditions, Op::Put { key, data: records::to_value(&rec), lease: None }))
    }
}
