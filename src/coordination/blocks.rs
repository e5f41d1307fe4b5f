//! Which controller holds which machines, and which tasks it may place: what
//! the leader wants, as pure functions over the view.

use crate::bookkeeping::View;
use crate::bookkeeping::records::Share;
use crate::placement::Room;
use crate::protocol::user::JobSpec;
use std::collections::BTreeMap;

/// One machine that shall go to another controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    pub machine: String,
    pub to: String,
}

/// Moves that give every machine a live owner and level the blocks, by type.
/// `deaf` are machines that do not reach their owner, but do reach `.1`.
pub fn wanted_moves(view: &View, deaf: &[(String, String)], may_level: bool, limit: usize) -> Vec<Move> {
    if view.members.is_empty() {
        return Vec::new();
    }
    let mut moves = Vec::new();
    let mut load: BTreeMap<(&str, &str), i64> = BTreeMap::new();
    let mut total: BTreeMap<&str, i64> = view.members.keys().map(|m| (m.as_str(), 0)).collect();
    for h in view.hosts.values().filter(|h| view.owned(&h.rec)) {
        *load.entry((&h.rec.build, &h.rec.owner)).or_default() += 1;
        *total.entry(&h.rec.owner).or_default() += 1;
    }
    for (name, h) in view.hosts.iter().filter(|(_, h)| !view.owned(&h.rec)) {
        let build = h.rec.build.as_str();
        let Some(to) = lightest(&load, &total, build) else { break };
        *load.entry((build, to)).or_default() += 1;
        *total.entry(to).or_default() += 1;
        moves.push(Move { machine: name.clone(), to: to.to_string() });
    }
    for (machine, to) in deaf {
        if view.members.contains_key(to) && view.hosts.get(machine).is_some_and(|h| h.rec.owner != *to) {
            moves.push(Move { machine: machine.clone(), to: to.clone() });
        }
    }
    if moves.is_empty() && may_level {
        moves.extend(level(view, &load, &total));
    }
    moves.truncate(limit);
    moves
}

fn lightest<'a>(load: &BTreeMap<(&str, &str), i64>, total: &BTreeMap<&'a str, i64>, build: &str) -> Option<&'a str> {
    total.iter().min_by_key(|(m, n)| (load.get(&(build, **m)).copied().unwrap_or(0), **n)).map(|(m, _)| *m)
}

/// One machine from the heaviest block to the lightest, where that levels them.
fn level(view: &View, load: &BTreeMap<(&str, &str), i64>, total: &BTreeMap<&str, i64>) -> Option<Move> {
    let builds: std::collections::BTreeSet<&str> = load.keys().map(|k| k.0).collect();
    for build in builds {
        let of = |m: &str| load.get(&(build, m)).copied().unwrap_or(0);
        let low = total.keys().min_by_key(|m| (of(m), total[**m]))?;
        let high = total.keys().max_by_key(|m| (of(m), total[**m]))?;
        if of(high) - of(low) >= 2 {
            let machine = view
                .hosts
                .iter()
                .filter(|(_, h)| h.rec.build == build && h.rec.owner == *high && view.owned(&h.rec))
                .min_by_key(|(name, _)| view.placed.get(*name).map_or(0, |p| p.len()))
                .map(|(name, _)| name.clone())?;
            return Some(Move { machine, to: low.to_string() });
        }
    }
    None
}

/// How many tasks of the job each member's block has room for.
pub fn room_by_member<'a>(rooms: &'a [(String, Room)], spec: &JobSpec) -> BTreeMap<&'a str, (u32, u32)> {
    let mut out: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
    for (member, room) in rooms {
        let n = room.fits(spec).min(spec.parcels);
        if n == 0 {
            continue;
        }
        let e = out.entry(member).or_default();
        e.0 += n;
        if room.has_image(spec) {
            e.1 += n;
        }
    }
    out
}

/// Leases a job's tasks to the members whose blocks can hold them: whole to
/// one where it fits, best where the image is; else by room; what fits nowhere
/// is split evenly. `waits` are the tasks in question, all others go along.
pub fn lease(
    spec: &JobSpec,
    waits: &[u32],
    members: &[String],
    rooms: &[(String, Room)],
    me: &str,
    whole: bool,
    grain: u32,
) -> Vec<Share> {
    let everything = |m: &str| vec![Share { member: m.to_string(), from: 0, to: spec.parcels - 1 }];
    let room = room_by_member(rooms, spec);
    let n = waits.len() as u32;
    let mut order: Vec<(&String, u32, u32)> = members
        .iter()
        .map(|m| {
            let (fits, local) = room.get(m.as_str()).copied().unwrap_or_default();
            (m, fits, local)
        })
        .collect();
    order.sort_by_key(|(m, fits, local)| (std::cmp::Reverse((*local).min(n)), std::cmp::Reverse(*fits), *m != me));
    let Some(first) = order.first() else {
        return everything(me);
    };
    if whole {
        let best = order.iter().max_by_key(|o| o.1).unwrap_or(first);
        return everything(best.0);
    }
    if let Some(holds) = order.iter().find(|o| o.1 >= n) {
        return everything(holds.0);
    }
    let fits: u32 = order.iter().map(|o| o.1).sum();
    let rest = n.saturating_sub(fits);
    // Every part has its own writer: what waits is not split finer than `grain`.
    let k = (order.len() as u32).min(rest.div_ceil(grain.max(1))).max(1);
    let mut shares: Vec<Share> = Vec::new();
    let mut next = 0usize;
    for (i, (m, fit, _)) in order.iter().enumerate() {
        let i = i as u32;
        let part = fit + if i < k { rest / k + u32::from(i < rest % k) } else { 0 };
        let part = part.min(n - next as u32);
        if part == 0 {
            continue;
        }
        let from = if next == 0 { 0 } else { waits[next] };
        if let Some(last) = shares.last_mut() {
            last.to = from - 1;
        }
        shares.push(Share { member: m.to_string(), from, to: spec.parcels - 1 });
        next += part as usize;
    }
    shares
}
