//! Which controller holds which machines, and which tasks it may place: what
//! the leader wants, as pure functions over the view.

use crate::bookkeeping::View;
use crate::bookkeeping::records::{PackRec, Share};
use crate::placement::{Room, zone_room};
use crate::protocol::user::JobSpec;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Machines that share a record and shall go to another controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    pub pack: String,
    pub to: String,
}

/// Machines that each member holds, by type and in all; members without any
/// count, those that are deaf do not.
struct Loads<'a> {
    by_build: BTreeMap<(&'a str, &'a str), i64>,
    total: BTreeMap<&'a str, i64>,
}

impl<'a> Loads<'a> {
    fn of(view: &'a View, deaf: &BTreeSet<&str>) -> Loads<'a> {
        let total = view.members.keys().map(|m| (m.as_str(), 0)).filter(|(m, _)| !deaf.contains(m)).collect();
        let mut loads = Loads { by_build: BTreeMap::new(), total };
        for p in view.packs.values() {
            loads.add(&p.rec.build, &p.rec.owner, p.rec.machines.len() as i64);
        }
        loads
    }

    /// What is held by no member counts for nobody.
    fn add(&mut self, build: &'a str, member: &'a str, machines: i64) {
        if let Some(n) = self.total.get_mut(member) {
            *n += machines;
            *self.by_build.entry((build, member)).or_default() += machines;
        }
    }

    fn of_build(&self, build: &str, member: &str) -> i64 {
        self.by_build.get(&(build, member)).copied().unwrap_or(0)
    }

    fn lightest(&self, build: &str) -> Option<&'a str> {
        self.total.iter().min_by_key(|(m, n)| (self.of_build(build, m), **n)).map(|(m, _)| *m)
    }
}

/// Moves that give every machine an owner that lives and hears it, `limit` at
/// most. `deaf` are members that do not hear their machines; `unreached` are
/// machines that do not reach their owner, but do reach `.1`.
pub fn wanted_moves(view: &View, deaf: &BTreeSet<&str>, unreached: &[(String, String)], limit: usize) -> Vec<Move> {
    let mut moves = Vec::new();
    let mut loads = Loads::of(view, deaf);
    let left = |owner: &str| !view.members.contains_key(owner) || deaf.contains(owner);
    for (name, p) in view.packs.iter().filter(|(_, p)| left(&p.rec.owner)) {
        if moves.len() == limit {
            return moves;
        }
        let Some(to) = loads.lightest(&p.rec.build) else { return moves };
        loads.add(&p.rec.build, to, p.rec.machines.len() as i64);
        moves.push(Move { pack: name.clone(), to: to.to_string() });
    }
    for (machine, to) in unreached {
        if let Some(h) = view.hosts.get(machine).filter(|h| h.rec.owner != *to)
            && view.members.contains_key(to)
            && !moves.iter().any(|m| m.pack == h.rec.pack)
        {
            moves.push(Move { pack: h.rec.pack.clone(), to: to.clone() });
        }
    }
    moves.truncate(limit);
    moves
}

/// The lightest of `members` for each of so many machines of a type.
pub fn spread<'a>(view: &'a View, deaf: &BTreeSet<&str>, build: &'a str, machines: usize, pack: usize) -> Vec<&'a str> {
    let mut loads = Loads::of(view, deaf);
    let mut out = Vec::new();
    for _ in 0..machines.div_ceil(pack.max(1)) {
        let Some(to) = loads.lightest(build) else { break };
        out.push(to);
        loads.by_build.entry((build, to)).and_modify(|n| *n += pack as i64).or_insert(pack as i64);
        loads.total.entry(to).and_modify(|n| *n += pack as i64);
    }
    out
}

/// One pack from the heaviest block to the lightest, where that levels them.
/// `reach` says whether a machine reaches a member, as far as is known.
pub fn level(view: &View, deaf: &BTreeSet<&str>, reach: impl Fn(&str, &str) -> bool) -> Option<Move> {
    let loads = Loads::of(view, deaf);
    let builds: BTreeSet<&str> = loads.by_build.keys().map(|k| k.0).collect();
    for build in builds {
        let of = |m: &str| loads.of_build(build, m);
        let low = loads.total.keys().min_by_key(|m| (of(m), loads.total[**m]))?;
        let high = loads.total.keys().max_by_key(|m| (of(m), loads.total[**m]))?;
        if of(high) - of(low) >= 2 {
            let most = (of(high) - of(low)) / 2;
            let placed =
                |p: &PackRec| p.machines.iter().map(|m| view.placed.get(m).map_or(0, |p| p.len())).sum::<usize>();
            let pack = view
                .packs
                .iter()
                .filter(|(_, p)| p.rec.build == build && p.rec.owner == *high && p.rec.machines.len() as i64 <= most)
                .filter(|(_, p)| view.held(p) && p.rec.machines.iter().all(|m| reach(m, low)))
                .min_by_key(|(_, p)| placed(&p.rec))
                .map(|(name, _)| name.clone());
            if let Some(pack) = pack {
                return Some(Move { pack, to: low.to_string() });
            }
        }
    }
    None
}

/// Moves that bring machines of one zone into one block, so that a gang fits
/// there which no block has room for though all together do. The block with most
/// of that room gets the rest.
pub fn gather(view: &View, rooms: &[(String, Room)], spec: &JobSpec) -> Vec<Move> {
    let mut zones: BTreeMap<&str, BTreeMap<&str, u32>> = BTreeMap::new();
    for (member, room) in rooms.iter().filter(|(m, _)| view.members.contains_key(m)) {
        let n = room.fits(spec).min(spec.parcels);
        let site = if spec.together { room.site.as_str() } else { "" };
        if n > 0 {
            *zones.entry(site).or_default().entry(member).or_default() += n;
        }
    }
    let most = |held: &BTreeMap<&str, u32>| held.values().copied().max().unwrap_or(0);
    if zones.values().any(|held| most(held) >= spec.parcels) {
        return Vec::new(); // a lease will do
    }
    let able = zones.iter().filter(|(_, held)| held.values().sum::<u32>() >= spec.parcels);
    let Some((site, held)) = able.max_by_key(|(_, held)| most(held)) else { return Vec::new() };
    let Some((to, has)) = held.iter().max_by_key(|(_, n)| **n) else { return Vec::new() };
    let mut missing = spec.parcels.saturating_sub(*has);
    let there = |r: &Room| (!spec.together || r.site == *site) && r.fits(spec) > 0;
    let mut others: Vec<&Room> = rooms.iter().filter(|(m, r)| m != to && there(r)).map(|(_, r)| r).collect();
    others.sort_by_key(|r| std::cmp::Reverse(r.fits(spec)));
    let mut moves: Vec<Move> = Vec::new();
    for room in others {
        if missing == 0 {
            break;
        }
        let Some(h) = view.hosts.get(&room.machine).filter(|h| view.owned(&h.rec)) else { continue };
        if !moves.iter().any(|m| m.pack == h.rec.pack) {
            moves.push(Move { pack: h.rec.pack.clone(), to: to.to_string() });
        }
        missing = missing.saturating_sub(room.fits(spec));
    }
    moves
}

/// How many tasks of the job each member's block has room for, in zones where
/// the job may have them, given those it has in each; and those of them that
/// find the image.
fn room_by_member<'a>(
    rooms: &'a [(String, Room)],
    spec: &JobSpec,
    zones: &BTreeMap<String, u32>,
) -> BTreeMap<&'a str, (u32, u32)> {
    let mut by_zone: BTreeMap<(&str, &str), (u32, u32)> = BTreeMap::new();
    for (member, room) in rooms {
        let n = room.fits(spec).min(spec.parcels);
        if n == 0 {
            continue;
        }
        let e = by_zone.entry((member, &room.site)).or_default();
        e.0 += n;
        if room.has_image(spec) {
            e.1 += n;
        }
    }
    let mut out: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for ((member, site), (all, local)) in by_zone {
        let most = zone_room(spec, spec.parcels, zones, site);
        let e = out.entry(member).or_default();
        if spec.together {
            *e = (*e).max((all.min(most), local.min(most)));
        } else {
            *e = (e.0 + all.min(most), e.1 + local.min(most));
        }
    }
    out
}

/// What a lease goes by besides the job itself.
pub struct Blocks<'a> {
    pub members: &'a [String],
    /// Rooms of all blocks, with their holders.
    pub rooms: &'a [(String, Room)],
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

impl Blocks<'_> {
    /// Tasks of the job that each member has room for once its queue is
    /// served, less than none where the queue is longer.
    pub fn room(&self, spec: &JobSpec) -> Vec<(&str, i64)> {
        self.offers(spec).into_iter().map(|o| (o.member, o.fits)).collect()
    }

    fn queued(&self, spec: &JobSpec, member: &str) -> i64 {
        (self.queues.get(member).copied().unwrap_or(0.0) / spec.cores.max(f64::MIN_POSITIVE)) as i64
    }

    fn offers(&self, spec: &JobSpec) -> Vec<Offer<'_>> {
        let room = room_by_member(self.rooms, spec, self.zones);
        let mut alike = self.alike.clone();
        for (member, _) in self.rooms.iter().filter(|(_, r)| r.has_image(spec)) {
            *alike.entry(member.clone()).or_default() += 1;
        }
        let offer = |m: &'_ String| {
            let (all, local) = room.get(m.as_str()).copied().unwrap_or_default();
            let fits = i64::from(all) - self.queued(spec, m);
            (fits, local, alike.get(m).copied().unwrap_or(0))
        };
        let offers = self.members.iter().map(|m| (m, offer(m)));
        offers.map(|(m, (fits, local, alike))| Offer { member: m, fits, local, alike }).collect()
    }
}

/// Draws lots for an image that no block has: all members draw the same.
fn lot(bundle: &str, member: &str) -> u64 {
    let mut h = DefaultHasher::new();
    (bundle, member).hash(&mut h);
    h.finish()
}

/// Leases a job's tasks to the members whose blocks can hold them: whole to
/// one where it fits, best where the image is or will be, so that few machines
/// fetch it; else to the shortest queues. `waits` are the tasks in question,
/// all others go along.
pub fn lease(spec: &JobSpec, waits: &[u32], blocks: &Blocks, me: &str, whole: bool) -> Vec<Share> {
    let everything = |m: &str| vec![Share { member: m.to_string(), from: 0, to: spec.parcels - 1 }];
    let n = waits.len() as u32;
    let mut order = blocks.offers(spec);
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
        let queue = order.iter().map(|o| blocks.queued(spec, o.member)).sum::<i64>() / order.len() as i64;
        let bears = order.iter().filter(|o| o.fits >= most - queue);
        let to = bears.max_by_key(|o| (o.alike, lot(&spec.bundle, o.member)));
        return everything(to.map_or(me, |o| o.member));
    }
    let grain = blocks.grain.max(1);
    let mut given = vec![0i64; order.len()];
    let mut shares: Vec<Share> = Vec::new();
    for part in waits.chunk_by(|a, b| a / grain == b / grain) {
        let free = |i: &usize| order[*i].fits - given[*i];
        let Some(i) = (0..order.len()).max_by_key(|i| (free(i), std::cmp::Reverse(*i))) else { break };
        given[i] += part.len() as i64;
        match shares.last_mut() {
            Some(last) if last.member == order[i].member => {}
            last => {
                let from = last.map_or(0, |l| {
                    l.to = part[0] / grain * grain - 1;
                    l.to + 1
                });
                shares.push(Share { member: order[i].member.to_string(), from, to: spec.parcels - 1 });
            }
        }
    }
    shares
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A job leased whole to a controller with a queue waited there while
    /// other blocks stood free a second later.
    #[test]
    fn tasks_that_wait_go_to_the_shortest_queues() {
        let mut s = JobSpec::example("run-1");
        s.cores = 1.0;
        s.parcels = 30;
        let members = ["a", "b", "c"].map(String::from);
        let queues = BTreeMap::from([("a".to_string(), 40.0), ("b".to_string(), 5.0)]);
        let blocks = Blocks {
            members: &members,
            rooms: &[],
            queues: &queues,
            grain: 10,
            zones: &BTreeMap::new(),
            alike: &BTreeMap::new(),
        };
        let waits: Vec<u32> = (0..30).collect();
        let shares = lease(&s, &waits, &blocks, "a", false);
        let of = |m: &str| shares.iter().filter(|s| s.member == m).map(|s| s.to - s.from + 1).sum::<u32>();
        assert_eq!((of("a"), of("b"), of("c")), (0, 10, 20));
        // Two writers of one record would refuse each other's starts.
        assert!(shares.iter().all(|s| s.from % 10 == 0));
        assert_eq!(lease(&s, &waits, &blocks, "a", true)[0].member, "c");
    }

    /// A block with much room in one zone only cannot hold a job that must be
    /// apart, nor one with little room in each a gang that must be together.
    #[test]
    fn a_lease_counts_room_where_the_job_may_have_it() {
        let mut s = JobSpec::example("run-1");
        s.parcels = 4;
        let room = |m: &str, site: &str, cores| {
            let mut r = crate::placement::tests::room("m", cores, "");
            r.site = site.into();
            (m.to_string(), r)
        };
        let rooms = [room("a", "x", 8.0), room("b", "x", 2.0), room("b", "y", 3.0)];
        let members = ["a", "b"].map(String::from);
        let (queues, zones, alike) = Default::default();
        let blocks =
            Blocks { members: &members, rooms: &rooms, queues: &queues, grain: 8, zones: &zones, alike: &alike };
        let holder = |s: &JobSpec| lease(s, &[0, 1, 2, 3], &blocks, "a", true)[0].member.clone();
        s.apart = true;
        assert_eq!(holder(&s), "b");
        (s.apart, s.together) = (false, true);
        assert_eq!(holder(&s), "a");
    }

    /// Each block had a few replicas of every image, each on a machine of its
    /// own that had to fetch it: jobs wait where their image is or will be.
    #[test]
    fn jobs_with_one_image_gather_in_one_block() {
        let mut s = JobSpec::example("run-1");
        s.form = crate::protocol::user::Form::Standing;
        let members = ["a", "b", "c"].map(String::from);
        let holder = |queues: &[(&str, f64)], alike: &[(&str, u32)]| {
            let queues = queues.iter().map(|(m, q)| (m.to_string(), *q)).collect();
            let alike = alike.iter().map(|(m, n)| (m.to_string(), *n)).collect();
            let zones = BTreeMap::new();
            let blocks =
                Blocks { members: &members, rooms: &[], queues: &queues, grain: 8, zones: &zones, alike: &alike };
            lease(&s, &[0, 1], &blocks, "a", true)[0].member.clone()
        };
        assert_eq!(holder(&[("a", 4.0), ("b", 2.0), ("c", 6.0)], &[("c", 2)]), "c");
        assert_eq!(holder(&[("a", 4.0), ("b", 2.0), ("c", 6.0)], &[("b", 1), ("c", 2)]), "c");
        // Not behind a queue that is much longer than the others.
        assert_eq!(holder(&[("a", 4.0), ("b", 2.0), ("c", 60.0)], &[("c", 2)]), "b");
    }
}
