//! Putting a log segment together: which exits and starts go into it, and on what
//! conditions.

use super::{Journal, PendingExits, is_wide_gang};
use crate::config::Settings;
use crate::controller::agents::{Agents, shard_condition};
use crate::controller::process::Process;
use crate::controller::quota::{QuotaReservations, QuotaUse, has_limit};
use crate::controller::transactions::Transactions;
use crate::coordination::log_writer::{FactRequirements, Limits, SegmentBuilder};
use crate::effects::Instant;
use crate::placement::Start;
use crate::protocol::store::Condition;
use crate::protocol::user::{JobKind, JobSpec};
use crate::state::log_segment::bytes;
use crate::state::records::{Placement, TeamRecord};
use crate::state::{ClusterState, Job, Resources, records};
use std::collections::BTreeMap;
use std::time::Duration;

/// What a segment is made from, none of which is changed.
#[derive(Clone, Copy)]
pub(super) struct SegmentInputs<'a> {
    pub(super) now: Instant,
    pub(super) settings: &'a Settings,
    pub(super) process: &'a Process,
    pub(super) state: &'a ClusterState,
    pub(super) agents: &'a Agents,
    pub(super) transactions: &'a Transactions,
    /// Distinguishes a changed team record from all others of this process.
    pub(super) record_count: u64,
}

/// A segment that is ready to be sent.
#[derive(Debug)]
pub(super) struct DraftedSegment {
    pub(super) draft: SegmentBuilder,
    /// What the starts take of their teams' limits.
    pub(super) quota: BTreeMap<String, TakenQuota>,
    /// Some facts found no room.
    pub(super) is_full: bool,
    /// The record of a team that comes near its limit, as it is now: it has to become
    /// strict before more of the team's tasks start.
    pub(super) near_limit: Option<Condition>,
}

/// What a team's starts in one segment take of its limit.
#[derive(Debug)]
pub(super) struct TakenQuota {
    pub(super) amounts: Resources,
    /// The team's record changes with them to this.
    pub(super) new_record: Option<TeamRecord>,
}

/// How a team's limit bears on starts of its tasks.
enum QuotaDecision {
    Unlimited,
    Admitted(AdmittedQuota),
    /// They have to wait.
    Deferred,
}

/// Starts that stay within their team's limit if its record is as seen.
struct AdmittedQuota {
    team: String,
    /// Key and version of the team's record.
    condition: (String, u64),
    /// The record changes with the starts, so that they exclude others.
    new_record: Option<TeamRecord>,
}

/// A start that may go into the segment.
struct PlannedStart {
    place: Placement,
    need: FactRequirements,
}

/// The segment has no room for more.
struct Full;

impl Journal {
    /// Puts a segment together from the exits and starts of the jobs in `order`.
    /// Exits that go into it are no longer listed here.
    pub(super) fn draft_segment(
        &mut self,
        inputs: SegmentInputs,
        reservations: &mut QuotaReservations,
        limits: Limits,
        order: &[String],
        mut starts: BTreeMap<String, Vec<Start>>,
    ) -> DraftedSegment {
        let mut builder = SegmentPlanner {
            inputs,
            reservations,
            draft: SegmentBuilder::new(limits),
            quota: BTreeMap::new(),
            near_limit: None,
        };
        let mut is_full = false;
        for uid in order {
            let starts = starts.remove(uid).unwrap_or_default();
            is_full = match self.exits.remove(uid).map_or(Ok(()), |exits| builder.add_exits(uid, exits)) {
                Err(rest) => {
                    self.exits.insert(uid.clone(), rest);
                    true
                }
                Ok(()) => builder.add_starts(uid, &starts).is_err(),
            };
            if is_full {
                break;
            }
        }
        let SegmentPlanner { draft, quota, near_limit, .. } = builder;
        DraftedSegment { draft, quota, is_full, near_limit }
    }
}

struct SegmentPlanner<'a> {
    inputs: SegmentInputs<'a>,
    reservations: &'a mut QuotaReservations,
    draft: SegmentBuilder,
    quota: BTreeMap<String, TakenQuota>,
    near_limit: Option<Condition>,
}

impl SegmentPlanner<'_> {
    /// Adds the job's exits; gives those back that found no room.
    fn add_exits(&mut self, uid: &str, mut exits: PendingExits) -> Result<(), PendingExits> {
        let Some(job) = self.inputs.state.jobs.get(uid) else { return Ok(()) };
        let mut full = false;
        exits.done.retain(|index| {
            full = full || self.add_done(uid, job, *index).is_err();
            full
        });
        exits.gone.retain(|(index, attempt)| {
            full = full || self.add_gone(uid, job, *index, *attempt).is_err();
            full
        });
        if full { Err(exits) } else { Ok(()) }
    }

    /// Adds that a task has finished, unless that is stored already.
    fn add_done(&mut self, uid: &str, job: &Job, index: u32) -> Result<(), Full> {
        if job.is_done(index, self.inputs.state.checkpoint_size) || job.cancelled() {
            return Ok(());
        }
        self.take(uid, &[&FactRequirements { bytes: bytes::DONE, ..FactRequirements::default() }])?;
        if let Some(facts) = self.draft.facts.get_mut(uid) {
            facts.done.insert(index);
        }
        Ok(())
    }

    /// Adds that an attempt is gone. What is not ours to say, or known, is dropped: it
    /// will be seen again.
    fn add_gone(&mut self, uid: &str, job: &Job, index: u32, attempt: u64) -> Result<(), Full> {
        let place = job.place(index, self.inputs.state.checkpoint_size).filter(|place| place.attempt == attempt);
        let proved = place.filter(|place| self.is_proved_gone(&place.machine, uid, index, attempt));
        let Some(conditions) = proved.and_then(|place| self.grant_conditions(&place.machine)) else { return Ok(()) };
        self.take(uid, &[&FactRequirements { conditions, machine: None, bytes: bytes::GONE }])?;
        if let Some(facts) = self.draft.facts.get_mut(uid) {
            facts.gone.insert((index, attempt));
        }
        Ok(())
    }

    /// Adds the job's starts.
    fn add_starts(&mut self, uid: &str, starts: &[Start]) -> Result<(), Full> {
        let Some(job) = self.inputs.state.jobs.get(uid) else { return Ok(()) };
        if job.cancelled() || starts.is_empty() || !self.may_start_tasks_of(uid, job) {
            return Ok(());
        }
        // A wide gang goes into several segments; all others are started as a whole.
        let as_a_whole = job.spec.kind == JobKind::Gang && !is_wide_gang(&job.spec, self.inputs.settings);
        let Some(mut planned) = self.planned_starts(uid, job, starts, as_a_whole) else { return Ok(()) };
        let quota = match self.decide_quota(&job.spec, planned.len()) {
            QuotaDecision::Deferred => return Ok(()),
            QuotaDecision::Unlimited => None,
            QuotaDecision::Admitted(quota) => Some(quota),
        };
        if let Some(quota) = &quota {
            planned.iter_mut().for_each(|start| start.need.conditions.push(quota.condition.clone()));
        }
        if as_a_whole {
            let needs: Vec<&FactRequirements> = planned.iter().map(|start| &start.need).collect();
            if !self.draft.take(uid, &needs) {
                // A gang too large for any segment does not keep the others waiting.
                return if self.draft.is_empty() { Ok(()) } else { Err(Full) };
            }
        }
        let planned_count = planned.len();
        let started = self.add_planned(uid, planned, as_a_whole);
        if let Some(quota) = quota.filter(|_| started > 0) {
            self.take_quota(quota, Resources::of(&job.spec, started as f64));
        }
        if started < planned_count { Err(Full) } else { Ok(()) }
    }

    /// Whether the replica shows all that was started of the job before us: whoever could
    /// start its tasks did so before the job's record was what it is.
    fn may_start_tasks_of(&self, uid: &str, job: &Job) -> bool {
        let key = records::job_key(uid);
        job.rec.version <= self.inputs.state.revision && !self.is_locked(&key) && !self.is_outdated(&key)
    }

    /// The starts that are still possible, and what each needs in the segment; none if
    /// one of those that go as a whole is not.
    fn planned_starts(&self, uid: &str, job: &Job, starts: &[Start], as_a_whole: bool) -> Option<Vec<PlannedStart>> {
        let size = self.inputs.state.checkpoint_size;
        let attempt = next_attempt(job);
        let mut planned = Vec::new();
        for start in starts {
            let is_free = !job.is_done(start.index, size) && job.place(start.index, size).is_none();
            let Some(mut conditions) = self.grant_conditions(&start.machine).filter(|_| is_free) else {
                if as_a_whole {
                    return None;
                }
                continue;
            };
            conditions.push((records::job_key(uid), job.rec.version));
            let place = Placement { index: start.index, machine: start.machine.clone(), attempt };
            let need = FactRequirements { conditions, machine: Some(start.machine.clone()), bytes: bytes::START };
            planned.push(PlannedStart { place, need });
        }
        Some(planned)
    }

    /// Adds starts until one finds no room; how many went in. Room for those that go as
    /// a whole is taken already.
    fn add_planned(&mut self, uid: &str, planned: Vec<PlannedStart>, as_a_whole: bool) -> usize {
        let mut started = 0;
        for PlannedStart { place, need } in planned {
            if !as_a_whole && !self.draft.take(uid, &[&need]) {
                break;
            }
            tracing::debug!(
                job = %uid,
                index = place.index,
                machine = %place.machine,
                attempt = place.attempt,
                "task_start_planned"
            );
            started += 1;
            if let Some(facts) = self.draft.facts.get_mut(uid) {
                facts.starts.push(place);
            }
        }
        started
    }

    fn take_quota(&mut self, quota: AdmittedQuota, amounts: Resources) {
        let new = TakenQuota { amounts: Resources::default(), new_record: quota.new_record };
        self.quota.entry(quota.team).or_insert(new).amounts.plus(amounts, 1.0);
    }

    /// Whether the team's limit, if it has one, admits the starts of so many tasks.
    fn decide_quota(&mut self, spec: &JobSpec, tasks: usize) -> QuotaDecision {
        let inputs = self.inputs;
        let teams = &inputs.settings.settings.teams;
        let Some(team) = teams.iter().find(|team| team.name == spec.team && has_limit(team)) else {
            return QuotaDecision::Unlimited;
        };
        let key = records::team_key(&team.name);
        if self.is_outdated(&key) {
            return QuotaDecision::Deferred;
        }
        let quota_use = QuotaUse::of(team, inputs.state);
        let mut need = Resources::of(spec, tasks as f64);
        need.plus(self.quota.get(&team.name).map(|taken| taken.amounts).unwrap_or_default(), 1.0);
        let record = inputs.state.teams.get(&team.name);
        let (is_strict, version) = record.map_or((false, 0), |record| (record.rec.strict, record.version));
        let controllers = inputs.settings.controllers();
        let replica_age = Duration::from_secs_f64(inputs.settings.settings.workers.heartbeat_interval_s.max(0.0));
        let admitted = self.reservations.admits(&team.name, need, quota_use, controllers, inputs.now, replica_age);
        if !is_strict {
            if admitted {
                let condition = (key, version);
                return QuotaDecision::Admitted(AdmittedQuota { team: team.name.clone(), condition, new_record: None });
            }
            // Nothing is started until all see that starts exclude each other now.
            if !self.quota.contains_key(&team.name) {
                self.near_limit = Some(Condition { key, version });
            }
            return QuotaDecision::Deferred;
        }
        // The replica must show what was started before the record was written.
        if self.is_locked(&key) || inputs.state.revision < version {
            return QuotaDecision::Deferred;
        }
        let new_record = TeamRecord { strict: !quota_use.is_far_from_limits(), count: inputs.record_count };
        QuotaDecision::Admitted(AdmittedQuota {
            team: team.name.clone(),
            condition: (key, version),
            new_record: Some(new_record),
        })
    }

    /// The conditions for writes about a machine: that it is ours by a grant that the
    /// replica has reached. None if it is not, or a refusal has put that in doubt.
    fn grant_conditions(&self, machine: &str) -> Option<Vec<(String, u64)>> {
        let SegmentInputs { state, process, .. } = self.inputs;
        let machine = state.machines.get(machine)?;
        if !process.owns(&machine.rec) || machine.rec.granted > state.revision {
            return None;
        }
        let group = records::machine_group_key(&machine.rec.group);
        // What an earlier incarnation sent late must not take back a place that
        // its successor relies on.
        let shard = shard_condition(state, &process.member);
        if self.is_outdated(&group) || self.is_outdated(&shard.key) {
            return None;
        }
        Some(vec![(group, machine.version), (shard.key, shard.version)])
    }

    /// Whether the attempt was proved gone under the grant in force. A machine that went to
    /// another controller and came back may have run it on: earlier proofs do not count.
    fn is_proved_gone(&self, machine: &str, uid: &str, index: u32, attempt: u64) -> bool {
        let SegmentInputs { state, agents, .. } = self.inputs;
        let (Some(agent), Some(record)) = (agents.machine(machine), state.machines.get(machine)) else {
            return false;
        };
        agent.is_under(record.rec.term, record.rec.epoch) && agent.gone.contains(&(uid.to_string(), index, attempt))
    }

    fn take(&mut self, uid: &str, needs: &[&FactRequirements]) -> Result<(), Full> {
        if self.draft.take(uid, needs) { Ok(()) } else { Err(Full) }
    }

    fn is_locked(&self, key: &str) -> bool {
        self.inputs.transactions.is_locked(key)
    }

    fn is_outdated(&self, key: &str) -> bool {
        self.inputs.transactions.is_outdated(key)
    }
}

/// The attempt number for the job's next starts. A gang that lost a task before it
/// started is completed under the same attempt: its tasks find each other by that. So is
/// a wide one, whose places go into several segments.
fn next_attempt(job: &Job) -> u64 {
    let highest = job.chunks.values().map(|chunk| chunk.rec.highest_attempt).max().unwrap_or(0);
    if job.spec.kind == JobKind::Gang && job.placed > 0 { highest } else { highest + 1 }
}
