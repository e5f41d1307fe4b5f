//! This controller's log: the exits it saw and the starts it planned go into its
//! next segment, over all jobs and machines; checkpoints of chunks free the slots
//! for later ones. A start is ordered only once its segment is in the store.

use super::quota::{FAR_FROM_LIMIT, limited};
use super::transactions::Ended;
use super::*;
use crate::coordination::log::{Draft, Limits, Need, byte_shares, fitting, wide};
use crate::coordination::parts::Limit;
use crate::placement::Start;
use crate::protocol::encode;
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::JobKind;
use crate::state::Job;
use crate::state::log_segment::{Facts, LogSegmentRecord, RING, bytes};
use crate::state::records::{Placement, TaskRangeCheckpoint};

/// This controller's log: what is written next, and what is being compacted.
#[derive(Debug, Default)]
pub(super) struct Journal {
    /// Exits of tasks that are not stored yet, by job.
    pub(super) exits: BTreeMap<String, Change>,
    /// When the next segment goes, and what is in doubt of the last ones.
    pub(super) writer: Writer,
    /// Checkpoints are under way.
    pub(super) compacting: bool,
    /// Jobs that are complete, and whose record this controller has to end.
    pub(super) ending: BTreeSet<String>,
}

/// Facts that can wait go this often, in report intervals.
const PACE_REPORTS: f64 = 1.0 / 16.0;
/// A segment's answer is waited for so long, in report intervals; what comes later
/// is void, or else the next one is.
const ANSWER_REPORTS: f64 = 0.25;
/// Slots are freed ahead of need once they are so old, as a share of the ring.
const AHEAD: f64 = 0.75;
/// Checkpoints that are written ahead in one transaction.
const FOLDS_AHEAD: usize = 8;

/// A checkpoint to be written: its condition, its put and its size.
type Fold = (Condition, Op, usize);

/// Something has to be seen or answered first.
struct NotYet;

/// How the starts of a limited team go: a condition on its record, or a change of it.
struct Quota {
    team: String,
    cond: (String, u64),
    strict: Option<records::TeamRecord>,
}

/// What a team's starts in one segment take of its limit, and how.
struct Taken {
    amounts: Resources,
    /// The team's record changes with them.
    strict: Option<records::TeamRecord>,
}

impl Controller {
    fn log_slot(&self) -> (u64, String, u64) {
        let log = self.state.logs.get(&self.process.member);
        let seq = log.map_or(0, |l| l.seq) + 1;
        let version = log.and_then(|l| l.slots.get(&(seq % RING))).map_or(0, |s| s.version);
        (seq, records::log_key(&self.process.member, seq), version)
    }

    /// Whether a segment may be put together now.
    pub(super) fn log_ready(&self) -> bool {
        !self.journal.writer.busy && !self.transactions.is_outdated(&self.log_slot().1)
    }

    /// Puts the next segment together and sends it. `order` are the jobs with
    /// something to write down, what matters most first.
    pub(super) fn write_segment(&mut self, order: &[String], mut starts: BTreeMap<String, Vec<Start>>) {
        let st = self.config.settings.state.clone();
        let (seq, key, version) = self.log_slot();
        let Ok(mut folds) = self.folds_of_slot(seq) else {
            self.scheduler.dirty = true;
            return;
        };
        let capacity = st.txn_ops.saturating_sub(2).max(1);
        let (value, beside) = byte_shares((st.value_kb * 1024.0) as usize);
        if folds.len() > capacity || folds.iter().map(|f| f.2).sum::<usize>() > beside {
            folds.truncate(capacity.min(FOLDS_AHEAD));
            return self.send_folds(folds);
        }
        let conditions = (st.txn_ops * 4).saturating_sub(folds.len() + 1);
        let mut draft = Draft::new(Limits { conditions, bytes: value });
        let mut taken: BTreeMap<String, Taken> = BTreeMap::new();
        let mut near = None;
        for uid in order {
            let starts = starts.remove(uid).unwrap_or_default();
            let full = !self.draft_exits(&mut draft, uid)
                || !self.draft_starts(&mut draft, uid, &starts, &mut taken, &mut near);
            if full {
                self.scheduler.dirty = true;
                break;
            }
        }
        if draft.is_empty() {
            if let Some((key, version)) = near {
                self.near_limit(key, version);
            }
            return;
        }
        let mut txn = Txn { conditions: draft.conditions().collect(), ops: Vec::new() };
        txn.conditions.push(Condition { key: key.clone(), version });
        let data = records::to_value(&LogSegmentRecord::of(seq, &draft.facts));
        txn.ops.push(Op::Put { key: key.clone(), data, lease: None });
        let mut keys = vec![key];
        keys.extend(draft.conditions.keys().filter(|k| k.starts_with("fq/j/")).cloned());
        let mut parts = Vec::new();
        for (team, t) in taken {
            match t.strict {
                Some(rec) => {
                    let key = records::team_key(&team);
                    txn.ops.push(Op::Put { key: key.clone(), data: records::to_value(&rec), lease: None });
                    keys.push(key);
                }
                None => {
                    self.quota.by_team.entry(team.clone()).or_default().sent(t.amounts);
                    parts.push((team, t.amounts));
                }
            }
        }
        for (cond, op, _) in folds {
            keys.push(cond.key.clone());
            txn.conditions.push(cond);
            txn.ops.push(op);
        }
        self.journal.writer.sent(self.now, self.heartbeat_intervals(PACE_REPORTS));
        let timeout = self.heartbeat_intervals(ANSWER_REPORTS);
        self.send_txn_within(txn, Why::Segment { facts: draft.facts, parts }, keys, timeout);
    }

    /// Whether the machine is ours by a grant that the view has reached, and that
    /// no refusal has put in doubt: then what conditions writes about it need.
    fn grant_conds(&self, machine: &str) -> Option<Vec<(String, u64)>> {
        let h = self.state.machines.get(machine).filter(|h| self.owns(h) && h.rec.granted <= self.state.revision)?;
        let group = records::machine_group_key(&h.rec.group);
        // What an earlier incarnation sent late must not take back a place that
        // its successor relies on.
        let shard = self.shard_condition();
        let known = |key: &str| !self.transactions.is_outdated(key);
        (known(&group) && known(&shard.key)).then(|| vec![(group, h.version), (shard.key, shard.version)])
    }

    /// Takes the job's exits into the draft; false if it is full.
    fn draft_exits(&mut self, draft: &mut Draft, uid: &str) -> bool {
        let Some(mut change) = self.journal.exits.remove(uid) else { return true };
        let Some(job) = self.state.jobs.get(uid) else { return true };
        let size = self.state.chunk_size;
        let mut full = false;
        let done = Need { bytes: bytes::DONE, ..Need::default() };
        change.done.retain(|index| {
            if full || job.is_done(*index, size) || job.cancelled() {
                return full;
            }
            full = !draft.take(uid, &[&done]);
            if !full && let Some(f) = draft.facts.get_mut(uid) {
                f.done.insert(*index);
            }
            full
        });
        change.clear.retain(|(index, attempt)| {
            // What is not ours to say, or known, is dropped; it is seen again.
            let place = job.place(*index, size).filter(|p| p.attempt == *attempt);
            let place = place.filter(|p| self.proved_gone(&p.machine, uid, *index, *attempt));
            let Some(conditions) = place.and_then(|p| self.grant_conds(&p.machine)).filter(|_| !full) else {
                return full;
            };
            full = !draft.take(uid, &[&Need { conditions, machine: None, bytes: bytes::GONE }]);
            if !full && let Some(f) = draft.facts.get_mut(uid) {
                f.gone.insert((*index, *attempt));
            }
            full
        });
        if full {
            self.journal.exits.insert(uid.to_string(), change);
        }
        !full
    }

    /// Whether the attempt was proved gone under the grant in force. A machine that went to
    /// another controller and came back may have run it on: what was proved before is none.
    fn proved_gone(&self, machine: &str, uid: &str, index: u32, attempt: u64) -> bool {
        let (Some(m), Some(h)) = (self.agents.machines.get(machine), self.state.machines.get(machine)) else {
            return false;
        };
        m.is_under(h.rec.term, h.rec.epoch) && m.gone.contains(&(uid.to_string(), index, attempt))
    }

    /// Takes the job's starts into the draft; false if it is full.
    fn draft_starts(
        &mut self,
        draft: &mut Draft,
        uid: &str,
        starts: &[Start],
        taken: &mut BTreeMap<String, Taken>,
        near: &mut Option<(String, u64)>,
    ) -> bool {
        let Some(job) = self.state.jobs.get(uid).filter(|j| !j.cancelled() && !starts.is_empty()) else { return true };
        let key = records::job_key(uid);
        // Whoever could start its tasks before us did so before the job's record
        // was what it is: the view has to have come that far.
        let known = job.rec.version <= self.state.revision;
        if !known || self.transactions.is_locked(&key) || self.transactions.is_outdated(&key) {
            return true;
        }
        let size = self.state.chunk_size;
        let highest_attempt = job.chunks.values().map(|c| c.rec.highest_attempt).max().unwrap_or(0);
        // A gang that lost a task before it started is completed under the
        // same attempt: its tasks find each other by that. So is a wide one, whose
        // places go into several segments.
        let gang = job.spec.kind == JobKind::Gang;
        let attempt = if gang && job.placed > 0 { highest_attempt } else { highest_attempt + 1 };
        let gang = gang && !self.is_wide(&job.spec);
        let mut wanted: Vec<(Placement, Need)> = Vec::new();
        for s in starts {
            let free = !job.is_done(s.index, size) && job.place(s.index, size).is_none();
            let Some(mut conditions) = self.grant_conds(&s.machine).filter(|_| free) else {
                if gang {
                    return true; // all or nothing
                }
                continue;
            };
            conditions.push((key.clone(), job.rec.version));
            let place = Placement { index: s.index, machine: s.machine.clone(), attempt };
            wanted.push((place, Need { conditions, machine: Some(s.machine.clone()), bytes: bytes::START }));
        }
        let spec = job.spec.clone();
        let Some(quota) = self.quota(&spec, wanted.len(), taken, near) else { return true };
        if let Some(q) = &quota {
            wanted.iter_mut().for_each(|(_, n)| n.conditions.push(q.cond.clone()));
        }
        if gang {
            let all: Vec<&Need> = wanted.iter().map(|w| &w.1).collect();
            if !draft.take(uid, &all) {
                return draft.is_empty(); // of a gang too large for any segment the rest goes without
            }
        }
        let mut started = 0;
        let mut full = false;
        for (place, need) in wanted {
            if !gang && !draft.take(uid, &[&need]) {
                full = true;
                break;
            }
            tracing::debug!(job = %uid, index = place.index, machine = %place.machine, attempt, "start");
            started += 1;
            if let Some(f) = draft.facts.get_mut(uid) {
                f.starts.push(place);
            }
        }
        if let Some(q) = quota.filter(|_| started > 0) {
            let new = Taken { amounts: Resources::default(), strict: q.strict };
            let t = taken.entry(q.team).or_insert(new);
            t.amounts.plus(Resources::of(&spec, f64::from(started)), 1.0);
        }
        !full
    }

    /// Whether the job is a gang whose places may not fit into one segment.
    pub(super) fn is_wide(&self, spec: &crate::protocol::user::JobSpec) -> bool {
        let st = &self.config.settings.state;
        spec.kind == JobKind::Gang && wide(spec.task_count, st.txn_ops, (st.value_kb * 1024.0) as usize)
    }

    /// How the starts of so many tasks go with their team's limit, if it has one;
    /// none if they have to wait.
    fn quota(
        &mut self,
        spec: &crate::protocol::user::JobSpec,
        tasks: usize,
        taken: &BTreeMap<String, Taken>,
        near: &mut Option<(String, u64)>,
    ) -> Option<Option<Quota>> {
        let Some(team) = self.config.settings.teams.iter().find(|t| t.name == spec.team && limited(t)) else {
            return Some(None);
        };
        let key = records::team_key(&team.name);
        if self.transactions.is_outdated(&key) {
            return None;
        }
        let (cpus, gpus) = self.used(team);
        let before = taken.get(&team.name).map(|t| t.amounts).unwrap_or_default();
        let mut need = Resources::of(spec, tasks as f64);
        need.plus(before, 1.0);
        let (n, age) = (self.config.controllers(), self.heartbeat_intervals(1.0));
        let name = team.name.clone();
        let rec = self.state.teams.get(&name);
        let (strict, version) = rec.map_or((false, 0), |r| (r.rec.strict, r.version));
        let parts = self.quota.by_team.entry(name.clone()).or_default();
        let allowed = parts.allow(need, cpus, gpus, n, self.now, age);
        if !allowed && !strict {
            // Nothing is started until all see that starts exclude each other now.
            if !taken.contains_key(&name) {
                *near = Some((key, version));
            }
            return None;
        }
        if !strict {
            return Some(Some(Quota { team: name, cond: (key, version), strict: None }));
        }
        // The view must show what was started before the record was.
        if self.transactions.is_locked(&key) || self.state.revision < version {
            return None;
        }
        let far = |l: Limit| l.max <= 0.0 || l.used <= l.max * FAR_FROM_LIMIT;
        let rec = records::TeamRecord { strict: !(far(cpus) && far(gpus)), count: self.outbox.next_call_id() };
        Some(Some(Quota { team: name, cond: (key, version), strict: Some(rec) }))
    }

    /// The checkpoint that a chunk needs before the segment of `slot_version` may
    /// be written over, if it needs one. It holds all that the ledger has up to
    /// the view's revision, so nothing of ours may be ahead of that in it.
    fn fold(&self, uid: &str, n: u32, slot_version: u64) -> Result<Option<Fold>, NotYet> {
        let chunk = self.state.jobs.get(uid).and_then(|j: &Job| j.chunks.get(&n));
        let Some(chunk) = chunk.filter(|c| c.rec.as_of_revision < slot_version) else { return Ok(None) };
        let key = records::chunk_key(uid, n);
        if chunk.last > self.state.revision || self.transactions.is_locked(&key) || self.transactions.is_outdated(&key)
        {
            return Err(NotYet);
        }
        let rec = TaskRangeCheckpoint { as_of_revision: self.state.revision, ..chunk.rec.clone() };
        let size = encode(&rec).len();
        let data = records::to_value(&rec);
        let cond = Condition { key: key.clone(), version: chunk.version };
        Ok(Some((cond, Op::Put { key, data, lease: None }, size)))
    }

    /// All that has to be in checkpoints before segment `seq` takes its slot.
    fn folds_of_slot(&self, seq: u64) -> Result<Vec<Fold>, NotYet> {
        let slot = self.state.logs.get(&self.process.member).and_then(|l| l.slots.get(&(seq % RING)));
        let Some(slot) = slot else { return Ok(Vec::new()) };
        let mut folds = Vec::new();
        for (uid, n) in &slot.touched {
            folds.extend(self.fold(uid, *n, slot.version)?);
        }
        Ok(folds)
    }

    /// Frees slots ahead of need while there are writes to spare.
    pub(super) fn fold_tick(&mut self) {
        let spare = self.transactions.unspent_writes(self.now) - self.transactions.write_rate() * SPARE_WRITES;
        if self.journal.compacting || spare < 1.0 || !self.may_write(1.0) {
            return;
        }
        let Some(log) = self.state.logs.get(&self.process.member) else { return };
        let most = FOLDS_AHEAD.min(spare as usize).min(self.config.settings.state.txn_ops);
        let oldest = (log.seq + 1).saturating_sub(RING);
        let newest = log.seq.saturating_sub((RING as f64 * AHEAD) as u64);
        let mut folds: Vec<Fold> = Vec::new();
        let mut seen = BTreeSet::new();
        for slot in (oldest..newest).filter_map(|seq| log.slots.get(&(seq % RING)).filter(|s| s.seq == seq)) {
            for (uid, n) in &slot.touched {
                if folds.len() < most
                    && seen.insert((uid, *n))
                    && let Ok(Some(fold)) = self.fold(uid, *n, slot.version)
                {
                    folds.push(fold);
                }
            }
        }
        if !folds.is_empty() {
            self.send_folds(folds);
        }
    }

    fn send_folds(&mut self, mut folds: Vec<Fold>) {
        if self.journal.compacting {
            return;
        }
        folds.truncate(fitting(folds.iter().map(|f| f.2)));
        self.journal.compacting = true;
        let mut txn = Txn::default();
        for (cond, op, _) in folds {
            txn.conditions.push(cond);
            txn.ops.push(op);
        }
        let keys = txn.conditions.iter().map(|c| c.key.clone()).collect();
        self.send_txn(txn, Why::Fold, keys);
    }

    /// The segment was answered, or not.
    pub(super) fn segment_answer(
        &mut self,
        txn: &Txn,
        facts: BTreeMap<String, Facts>,
        parts: Vec<(String, Resources)>,
        ended: &Ended,
    ) {
        self.journal.writer.busy = false;
        self.scheduler.dirty = true;
        let now = self.now;
        let carried_out = matches!(ended, Ended::Done(_));
        if matches!(ended, Ended::Unknown) {
            // Not known, until the slot is written.
            self.journal.writer.doubt.extend(parts);
        } else {
            for (team, amounts) in parts {
                self.quota.by_team.entry(team).or_default().answered(amounts, Some(carried_out), now);
            }
        }
        let slot_lost = self.note_outdated(txn, ended);
        if carried_out || slot_lost {
            // Ours took the slot, and voids what was in doubt; or that did.
            for (team, amounts) in std::mem::take(&mut self.journal.writer.doubt) {
                self.quota.by_team.entry(team).or_default().answered(amounts, Some(slot_lost), now);
            }
        }
        if carried_out {
            let machines: BTreeSet<String> =
                facts.values().flat_map(|f| &f.starts).map(|p| p.machine.clone()).collect();
            for m in machines {
                self.push(&m);
            }
            return;
        }
        for (uid, f) in facts {
            if self.state.jobs.contains_key(&uid) {
                let change = self.journal.exits.entry(uid).or_insert_with(|| Change::new(now));
                change.done.extend(f.done);
                change.clear.extend(f.gone);
            }
        }
    }

    /// Remembers which records had changed, until the view shows it; whether the
    /// log's slot was one of them.
    pub(super) fn note_outdated(&mut self, txn: &Txn, ended: &Ended) -> bool {
        let Ended::Void { failed, revision } = ended else { return false };
        let all = txn.conditions.iter().map(|c| &c.key).filter(|_| failed.is_empty());
        let mut slot = false;
        for key in failed.iter().chain(all) {
            slot |= key.starts_with(LOG);
            if *revision > self.state.revision {
                self.transactions.mark_outdated(key, *revision);
            }
        }
        slot
    }
}

/// Where the logs lie.
const LOG: &str = "fq/l/";
