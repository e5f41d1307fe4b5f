//! Which controller holds which machines, and which tasks it may place: what
//! the leader wants, as pure functions over the view.

use crate::placement::{MachineCapacity, zone_capacity};
use crate::protocol::user::JobSpec;
use crate::state::ClusterState;
use crate::state::records::{MachineGroupRecord, TaskRange};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Machines that share a record and shall go to another controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    pub group: String,
    pub to: String,
}

/// Machines that each member holds, by type and in all; members without any
/// count, those that are deaf do not.
struct Loads<'a> {
    by_machine_type: BTreeMap<(&'a str, &'a str), i64>,
    total: BTreeMap<&'a str, i64>,
}

impl<'a> Loads<'a> {
    fn of(view: &'a ClusterState, deaf: &BTreeSet<&str>) -> Loads<'a> {
        let total = view.members.keys().map(|m| (m.as_str(), 0)).filter(|(m, _)| !deaf.contains(m)).collect();
        let mut loads = Loads { by_machine_type: BTreeMap::new(), total };
        for p in view.machine_groups.values() {
            loads.add(&p.rec.machine_type, &p.rec.owner, p.rec.machines.len() as i64);
        }
        loads
    }

    /// What is held by no member counts for nobody.
    fn add(&mut self, machine_type: &'a str, member: &'a str, machines: i64) {
        if let Some(n) = self.total.get_mut(member) {
            *n += machines;
            *self.by_machine_type.entry((machine_type, member)).or_default() += machines;
        }
    }

    fn of_machine_type(&self, machine_type: &str, member: &str) -> i64 {
        self.by_machine_type.get(&(machine_type, member)).copied().unwrap_or(0)
    }

    fn lightest(&self, machine_type: &str) -> Option<&'a str> {
        self.total.iter().min_by_key(|(m, n)| (self.of_machine_type(machine_type, m), **n)).map(|(m, _)| *m)
    }
}

/// Moves that give every machine an owner that lives and hears it, `limit` at
/// most. `deaf` are members that do not hear their machines; `unreached` are
/// machines that do not reach their owner, but do reach `.1`.
pub fn wanted_moves(
    view: &ClusterState,
    deaf: &BTreeSet<&str>,
    unreached: &[(String, String)],
    limit: usize,
) -> Vec<Move> {
    let mut moves = Vec::new();
    let mut loads = Loads::of(view, deaf);
    let left = |owner: &str| !view.members.contains_key(owner) || deaf.contains(owner);
    for (name, p) in view.machine_groups.iter().filter(|(_, p)| left(&p.rec.owner)) {
        if moves.len() == limit {
            return moves;
        }
        let Some(to) = loads.lightest(&p.rec.machine_type) else { return moves };
        loads.add(&p.rec.machine_type, to, p.rec.machines.len() as i64);
        moves.push(Move { group: name.clone(), to: to.to_string() });
    }
    for (machine, to) in unreached {
        if let Some(h) = view.machines.get(machine).filter(|h| h.rec.owner != *to)
            && view.members.contains_key(to)
            && !moves.iter().any(|m| m.group == h.rec.group)
        {
            moves.push(Move { group: h.rec.group.clone(), to: to.clone() });
        }
    }
    moves.truncate(limit);
    moves
}

/// The lightest of `members` for each of so many machines of a type.
pub fn spread<'a>(
    view: &'a ClusterState,
    deaf: &BTreeSet<&str>,
    machine_type: &'a str,
    machines: usize,
    group: usize,
) -> Vec<&'a str> {
    let mut loads = Loads::of(view, deaf);
    let mut out = Vec::new();
    for _ in 0..machines.div_ceil(group.max(1)) {
        let Some(to) = loads.lightest(machine_type) else { break };
        out.push(to);
        loads.by_machine_type.entry((machine_type, to)).and_modify(|n| *n += group as i64).or_insert(group as i64);
        loads.total.entry(to).and_modify(|n| *n += group as i64);
    }
    out
}

/// One pack from the heaviest block to the lightest, where that levels them.
/// `reach` says whether a machine reaches a member, as far as is known.
pub fn level(view: &ClusterState, deaf: &BTreeSet<&str>, reach: impl Fn(&str, &str) -> bool) -> Option<Move> {
    let loads = Loads::of(view, deaf);
    let machine_types: BTreeSet<&str> = loads.by_machine_type.keys().map(|k| k.0).collect();
    for machine_type in machine_types {
        let of = |m: &str| loads.of_machine_type(machine_type, m);
        let low = loads.total.keys().min_by_key(|m| (of(m), loads.total[**m]))?;
        let high = loads.total.keys().max_by_key(|m| (of(m), loads.total[**m]))?;
        if of(high) - of(low) >= 2 {
            let most = (of(high) - of(low)) / 2;
            let placed = |p: &MachineGroupRecord| {
                p.machines.iter().map(|m| view.placed.get(m).map_or(0, |p| p.len())).sum::<usize>()
            };
            let group = view
                .machine_groups
                .iter()
                .filter(|(_, p)| {
                    p.rec.machine_type == machine_type && p.rec.owner == *high && p.rec.machines.len() as i64 <= most
                })
                .filter(|(_, p)| view.held(p) && p.rec.machines.iter().all(|m| reach(m, low)))
                .min_by_key(|(_, p)| placed(&p.rec))
                .map(|(name, _)| name.clone());
            if let Some(group) = group {
                return Some(Move { group, to: low.to_string() });
            }
        }
    }
    None
}

/// Moves that bring machines of one zone into one block, so that a gang fits
/// there which no block has room for though all together do. The block with most
/// of that room gets the rest.
pub fn gather(view: &ClusterState, capacities: &[(String, MachineCapacity)], spec: &JobSpec) -> Vec<Move> {
    let mut zones: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
    for (member, capacity) in capacities.iter().filter(|(m, _)| view.members.contains_key(m)) {
        let n = capacity.fits(spec).min(spec.task_count);
        let zone = if spec.zone_affinity { capacity.zone.as_str() } else { "" };
        if n > 0 {
            *zones.entry(zone).or_default().entry(member).or_default() += n;
        }
    }
    let most = |held: &BTreeMap<&str, u32>| held.values().copied().max().unwrap_or(0);
    if zones.values().any(|held| most(held) >= spec.task_count) {
        return Vec::new(); // a lease will do
    }
    let able = zones.iter().filter(|(_, held)| held.values().sum::<u32>() >= spec.task_count);
    let Some((zone, held)) = able.max_by_key(|(_, held)| most(held)) else { return Vec::new() };
    let Some((to, has)) = held.iter().max_by_key(|(_, n)| **n) else { return Vec::new() };
    let mut missing = spec.task_count.saturating_sub(*has);
    let there = |r: &MachineCapacity| (!spec.zone_affinity || r.zone == *zone) && r.fits(spec) > 0;
    let mut others: Vec<&MachineCapacity> =
        capacities.iter().filter(|(m, r)| m != to && there(r)).map(|(_, r)| r).collect();
    others.sort_by_key(|r| std::cmp::Reverse(r.fits(spec)));
    let mut moves: Vec<Move> = Vec::new();
    for capacity in others {
        if missing == 0 {
            break;
        }
        let Some(h) = view.machines.get(&capacity.machine).filter(|h| view.owned(&h.rec)) else { continue };
        if !moves.iter().any(|m| m.group == h.rec.group) {
            moves.push(Move { group: h.rec.group.clone(), to: to.to_string() });
        }
        missing = missing.saturating_sub(capacity.fits(spec));
    }
    moves
}

/// How many tasks of the job each member's block has room for, in zones where
/// the job may have them, given those it has in each; and those of them that
/// find the image.
fn capacity_by_member<'a>(
    capacities: &'a [(String, MachineCapacity)],
    spec: &JobSpec,
    zones: &BTreeMap<String, u32>,
) -> BTreeMap<&'a str, (u32, u32)> {
    let mut by_zone: BTreeMap<(&str, &str), (u32, u32)> = BTreeMap::new();
    for (member, capacity) in capacities {
        let n = capacity.fits(spec).min(spec.task_count);
        if n == 0 {
            continue;
        }
        let e = by_zone.entry((member, &capacity.zone)).or_default();
        e.0 += n;
        if capacity.has_image(spec) {
            e.1 += n;
        }
    }
    let mut out: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for ((member, zone), (all, local)) in by_zone {
        let most = zone_capacity(spec, spec.task_count, zones, zone);
        let e = out.entry(member).or_default();
        if spec.zone_affinity {
            *e = (*e).max((all.min(most), local.min(most)));
        } else {
            *e = (e.0 + all.min(most), e.1 + local.min(most));
        }
    }
    out
}

/// What a lease goes by besides the job itself.
pub struct Shards<'a> {
    pub members: &'a [String],
    /// Rooms of all blocks, with their holders.
    pub capacities: &'a [(String, MachineCapacity)],
    /// Cores that tasks leased to each member wait for, ahead of the job's own.
    pub queues: &'a BTreeMap<String, f64>,
    /// Tasks whose state shares a record: they are not split, so that every
    /// record has one writer.
    pub grain: u32,
    /// Tasks of the job per zone that are, or may still be, on machines.
    pub zones: &'a BTreeMap<String, u32>,
    /// Waiting tasks with the job's image that are leased to each member: it
    /// will be fetched there.
    pub alike: &'a BTreeMap<String, u32>,
}

/// What one member's block has to offer a job.
struct Offer<'a> {
    member: &'a str,
    /// Tasks it has room for once its queue is served, less than none where
    /// the queue is longer.
    fits: i64,
    /// Those of them that find the image.
    local: u32,
    /// Machines that have the image, and tasks that will fetch it.
    alike: u32,
}

impl Shards<'_> {
    /// Tasks of the job that each member has room for once its queue is
    /// served, less than none where the queue is longer.
    pub fn capacity(&self, spec: &JobSpec) -> Vec<(&str, i64)> {
        self.offers(spec).into_iter().map(|o| (o.member, o.fits)).collect()
    }

    fn queued(&self, spec: &JobSpec, member: &str) -> i64 {
        (self.queues.get(member).copied().unwrap_or(0.0) / spec.cores.max(f64::MIN_POSITIVE)) as i64
    }

    fn offers(&self, spec: &JobSpec) -> Vec<Offer<'_>> {
        let capacity = capacity_by_member(self.capacities, spec, self.zones);
        let mut alike = self.alike.clone();
        for (member, _) in self.capacities.iter().filter(|(_, r)| r.has_image(spec)) {
            *alike.entry(member.clone()).or_default() += 1;
        }
        let offer = |m: &'_ String| {
            let (all, local) = capacity.get(m.as_str()).copied().unwrap_or_default();
            let fits = i64::from(all) - self.queued(spec, m);
            (fits, local, alike.get(m).copied().unwrap_or(0))
        };
        let offers = self.members.iter().map(|m| (m, offer(m)));
        offers.map(|(m, (fits, local, alike))| Offer { member: m, fits, local, alike }).collect()
    }
}

/// Draws lots for an image that no block has: all members draw the same.
fn lot(image: &str, member: &str) -> u64 {
    let mut h = DefaultHasher::new();
    (image, member).hash(&mut h);
    h.finish()
}

/// Leases a job's tasks to the members whose blocks can hold them: whole to
/// one where it fits, best where the image is or will be, so that few machines
/// fetch it; else to the shortest queues. `waits` are the tasks in question,
/// all others go along.
pub fn lease(spec: &JobSpec, waits: &[u32], shards: &Shards, me: &str, whole: bool) -> Vec<TaskRange> {
    let everything = |m: &str| vec![TaskRange { member: m.to_string(), from: 0, to: spec.task_count - 1 }];
    let n = waits.len() as u32;
    let mut order = shards.offers(spec);
    order.sort_by_key(|o| {
        use std::cmp::Reverse;
        (Reverse(o.local.min(n)), Reverse(o.alike), Reverse(o.fits), o.member != me)
    });
    let Some(most) = order.iter().map(|o| o.fits).max() else {
        return everything(me);
    };
    if let Some(holds) = order.iter().find(|o| o.fits >= i64::from(n)) {
        return everything(holds.member);
    }
    if whole {
        // It has to wait: with others of its image, unless much longer there.
        let queue = order.iter().map(|o| shards.queued(spec, o.member)).sum::<i64>() / order.len() as i64;
        let bears = order.iter().filter(|o| o.fits >= most - queue);
        let to = bears.max_by_key(|o| (o.alike, lot(&spec.image, o.member)));
        return everything(to.map_or(me, |o| o.member));
    }
    let grain = shards.grain.max(1);
    let mut given = vec![0i64; order.len()];
    let mut task_ranges: Vec<TaskRange> = Vec::new();
    for part in waits.chunk_by(|a, b| a / grain == b / grain) {
        let free = |i: &usize| order[*i].fits - given[*i];
        let Some(i) = (0..order.len()).max_by_key(|i| (free(i), std::cmp::Reverse(*i))) else { break };
        given[i] += part.len() as i64;
        match task_ranges.last_mut() {
            Some(last) if last.member == order[i].member => {}
            last => {
                let from = last.map_or(0, |l| {
                    l.to = part[0] / grain * grain - 1;
                    l.to + 1
                });
                task_ranges.push(TaskRange { member: order[i].member.to_string(), from, to: spec.task_count - 1 });
            }
        }
    }
    task_ranges
}

#[cfg(test)]
mod tests;
