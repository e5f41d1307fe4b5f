//! Assembles log segments: selects the exits and starts that go into a segment, and the
//! conditions under which it may be stored.

#![warn(missing_docs)]

use super::{Journal, PendingExits, is_wide_gang};
use crate::config::Settings;
use crate::controller::agents::{Agents, shard_condition};
use crate::controller::process::Process;
use crate::controller::quota::{QuotaReservations, QuotaUse, has_limit};
use crate::controller::transactions::Transactions;
use crate::coordination::log_writer::{FactRequirements, SegmentBuilder, SegmentLimits};
use crate::effects::Instant;
use crate::placement::Start;
use crate::protocol::store::Condition;
use crate::protocol::time::duration_from_secs;
use crate::protocol::user::{JobKind, JobSpec};
use crate::state::log_segment::max_bytes;
use crate::state::records::{Placement, TeamRecord};
use crate::state::{ClusterState, Job, Resources, records};
use std::collections::BTreeMap;

/// The inputs for a segment, which are only read.
#[derive(Clone, Copy)]
pub(super) struct SegmentInputs<'a> {
    /// Present time on the controller's monotonic clock.
    pub(super) now: Instant,
    /// Settings of the cluster and of this controller.
    pub(super) settings: &'a Settings,
    /// This controller process.
    pub(super) process: &'a Process,
    /// This controller's replica of the cluster state.
    pub(super) state: &'a ClusterState,
    /// What is known of the agents on this controller's machines.
    pub(super) agents: &'a Agents,
    /// Transactions in flight, and records known to be newer than the replica.
    pub(super) transactions: &'a Transactions,
    /// Number that distinguishes a changed team record from all others written by this process.
    pub(super) record_count: u64,
}

/// A segment that is ready to be sent.
#[derive(Debug)]
pub(super) struct DraftedSegment {
    /// The entries of the segment, with their conditions.
    pub(super) draft: SegmentBuilder,
    /// Quota that the starts take, by team.
    pub(super) quota: BTreeMap<String, TakenQuota>,
    /// Whether some entries did not fit.
    pub(super) is_full: bool,
    /// Key and present version of the record of a team that comes near its limit. The record has
    /// to become strict before more of the team's tasks start.
    pub(super) near_limit: Option<Condition>,
}

/// The quota that a team's starts in one segment take.
#[derive(Debug)]
pub(super) struct TakenQuota {
    /// Resources of all these starts.
    pub(super) amounts: Resources,
    /// New value of the team's record, if the starts change it.
    pub(super) new_record: Option<TeamRecord>,
}

/// The decision whether a team's quota admits the starts of a job.
enum QuotaDecision {
    /// The team has no limit.
    Unlimited,
    /// The starts stay within the limit.
    Admitted(AdmittedQuota),
    /// The starts have to wait.
    Deferred,
}

/// Quota for starts that stay within their team's limit if its record is as the replica shows it.
struct AdmittedQuota {
    team: String,
    /// Key and version of the team's record.
    condition: (String, u64),
    /// New value of the record if it changes with the starts, so that they exclude others.
    new_record: Option<TeamRecord>,
}

/// A start that may go into the segment, and what it needs there.
struct PlannedStart {
    place: Placement,
    need: FactRequirements,
}

/// The segment has no room for a fact.
struct Full;

impl Journal {
    /// Assembles a segment from the exits and starts of the jobs in `order`. Exits that go into it,
    /// or need no segment any more, are removed from the journal.
    pub(super) fn draft_segment(
        &mut self,
        inputs: SegmentInputs,
        reservations: &mut QuotaReservations,
        limits: SegmentLimits,
        order: &[String],
        mut starts: BTreeMap<String, Vec<Start>>,
    ) -> DraftedSegment {
        let mut planner = SegmentPlanner {
            inputs,
            reservations,
            draft: SegmentBuilder::new(limits),
            quota: BTreeMap::new(),
            near_limit: None,
        };
        let mut is_full = false;
        for uid in order {
            let starts = starts.remove(uid).unwrap_or_default();
            is_full = match self.exits.remove(uid).map_or(Ok(()), |exits| planner.add_exits(uid, exits)) {
                Err(rest) => {
                    self.exits.insert(uid.clone(), rest);
                    true
                }
                Ok(()) => planner.add_starts(uid, &starts).is_err(),
            };
            if is_full {
                break;
            }
        }
        let SegmentPlanner { draft, quota, near_limit, .. } = planner;
        DraftedSegment { draft, quota, is_full, near_limit }
    }
}

/// A segment while entries are added to it.
struct SegmentPlanner<'a> {
    inputs: SegmentInputs<'a>,
    /// Quota taken by earlier starts of this controller.
    reservations: &'a mut QuotaReservations,
    draft: SegmentBuilder,
    /// Quota that the starts in the segment take, by team.
    quota: BTreeMap<String, TakenQuota>,
    /// See [`DraftedSegment::near_limit`].
    near_limit: Option<Condition>,
}

impl SegmentPlanner<'_> {
    /// Adds the job's exits; returns those that do not fit as an error.
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

    /// Adds the fact that a task has finished, unless it is stored already or the job is cancelled.
    fn add_done(&mut self, uid: &str, job: &Job, index: u32) -> Result<(), Full> {
        if job.is_done(index, self.inputs.state.checkpoint_size) || job.cancelled() {
            return Ok(());
        }
        self.take(uid, &[&FactRequirements { bytes: max_bytes::COMPLETION, ..FactRequirements::default() }])?;
        if let Some(entries) = self.draft.entries.get_mut(uid) {
            entries.done.insert(index);
        }
        Ok(())
    }

    /// Adds the fact that an attempt is gone. It is dropped if this controller must not state it or
    /// it is stored already. If it still holds, it will be observed again.
    fn add_gone(&mut self, uid: &str, job: &Job, index: u32, attempt: u64) -> Result<(), Full> {
        let place = job.placement(index, self.inputs.state.checkpoint_size).filter(|place| place.attempt == attempt);
        let proved = place.filter(|place| self.is_proved_gone(&place.machine, uid, index, attempt));
        let Some(conditions) = proved.and_then(|place| self.grant_conditions(&place.machine)) else { return Ok(()) };
        self.take(uid, &[&FactRequirements { conditions, machine: None, bytes: max_bytes::REMOVAL }])?;
        if let Some(entries) = self.draft.entries.get_mut(uid) {
            entries.gone.insert((index, attempt));
        }
        Ok(())
    }

    /// Adds those of the job's starts that are still possible and within quota.
    fn add_starts(&mut self, uid: &str, starts: &[Start]) -> Result<(), Full> {
        let Some(job) = self.inputs.state.jobs.get(uid) else { return Ok(()) };
        if job.cancelled() || starts.is_empty() || !self.may_start_tasks_of(uid, job) {
            return Ok(());
        }
        // A wide gang goes into several segments; any other gang is started as a whole.
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
            if !self.draft.try_reserve(uid, &needs) {
                // A gang that does not even fit into an empty segment must not hold up other jobs.
                return if self.draft.is_empty() { Ok(()) } else { Err(Full) };
            }
        }
        let planned_count = planned.len();
        let started = self.add_planned(uid, planned, as_a_whole);
        if let Some(quota) = quota.filter(|_| started > 0) {
            self.take_quota(quota, Resources::of_tasks(&job.spec, started as f64));
        }
        if started < planned_count { Err(Full) } else { Ok(()) }
    }

    /// Whether the replica shows all starts of the job by controllers that its tasks were assigned
    /// to before: those starts were stored before the job's record got its present version.
    fn may_start_tasks_of(&self, uid: &str, job: &Job) -> bool {
        let key = records::job_key(uid);
        job.rec.version <= self.inputs.state.revision && !self.is_locked(&key) && !self.is_outdated(&key)
    }

    /// The starts that are still possible, and what each needs in the segment. `None` if they go as
    /// a whole and one of them is not possible.
    fn planned_starts(&self, uid: &str, job: &Job, starts: &[Start], as_a_whole: bool) -> Option<Vec<PlannedStart>> {
        let size = self.inputs.state.checkpoint_size;
        let attempt = next_attempt(job);
        let mut planned = Vec::new();
        for start in starts {
            let is_free = !job.is_done(start.index, size) && job.placement(start.index, size).is_none();
            let Some(mut conditions) = self.grant_conditions(&start.machine).filter(|_| is_free) else {
                if as_a_whole {
                    return None;
                }
                continue;
            };
            conditions.push((records::job_key(uid), job.rec.version));
            let place = Placement { index: start.index, machine: start.machine.clone(), attempt };
            let need = FactRequirements { conditions, machine: Some(start.machine.clone()), bytes: max_bytes::START };
            planned.push(PlannedStart { place, need });
        }
        Some(planned)
    }

    /// Adds starts until one does not fit, and returns how many were added. Room for starts that go
    /// as a whole has been taken by the caller.
    fn add_planned(&mut self, uid: &str, planned: Vec<PlannedStart>, as_a_whole: bool) -> usize {
        let mut started = 0;
        for PlannedStart { place, need } in planned {
            if !as_a_whole && !self.draft.try_reserve(uid, &[&need]) {
                break;
            }
            tracing::debug!(
                job = %uid,
                index = place.index,
                machine = %place.machine,
                attempt = place.attempt,
                "task start planned"
            );
            started += 1;
            if let Some(entries) = self.draft.entries.get_mut(uid) {
                entries.starts.push(place);
            }
        }
        started
    }

    /// Counts the amounts as taken of the team's quota by this segment.
    fn take_quota(&mut self, quota: AdmittedQuota, amounts: Resources) {
        let new = TakenQuota { amounts: Resources::default(), new_record: quota.new_record };
        self.quota.entry(quota.team).or_insert(new).amounts.add_scaled(amounts, 1.0);
    }

    /// Decides whether the quota of the job's team admits the starts of `tasks` tasks.
    fn decide_quota(&mut self, spec: &JobSpec, tasks: usize) -> QuotaDecision {
        let inputs = self.inputs;
        let teams = &inputs.settings.deployment.teams;
        let Some(team) = teams.iter().find(|team| team.name == spec.team && has_limit(team)) else {
            return QuotaDecision::Unlimited;
        };
        let key = records::team_key(&team.name);
        if self.is_outdated(&key) {
            return QuotaDecision::Deferred;
        }
        let quota_use = QuotaUse::of(team, inputs.state);
        let mut need = Resources::of_tasks(spec, tasks as f64);
        need.add_scaled(self.quota.get(&team.name).map(|taken| taken.amounts).unwrap_or_default(), 1.0);
        let record = inputs.state.teams.get(&team.name);
        let (is_strict, version) = record.map_or((false, 0), |record| (record.rec.strict, record.version));
        let controllers = inputs.settings.controllers();
        let replica_age = duration_from_secs(inputs.settings.deployment.workers.heartbeat_interval_s);
        let admitted = self.reservations.admits(&team.name, need, quota_use, controllers, inputs.now, replica_age);
        if !is_strict {
            if admitted {
                let condition = (key, version);
                return QuotaDecision::Admitted(AdmittedQuota { team: team.name.clone(), condition, new_record: None });
            }
            // No task starts until all controllers see that starts exclude each other from now on.
            if !self.quota.contains_key(&team.name) {
                self.near_limit = Some(Condition { key, version });
            }
            return QuotaDecision::Deferred;
        }
        // The replica must show all starts that were stored before the record was.
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

    /// The conditions for entries about a machine: that it belongs to this controller by a grant that
    /// the replica has reached. `None` if it does not, or if a refused write has put that in doubt.
    fn grant_conditions(&self, machine: &str) -> Option<Vec<(String, u64)>> {
        let SegmentInputs { state, process, .. } = self.inputs;
        let machine = state.machines.get(machine)?;
        if !process.owns(&machine.rec) || machine.rec.grant_revision > state.revision {
            return None;
        }
        let group = records::machine_group_key(&machine.rec.group);
        // A segment of an earlier incarnation that arrives late must not remove a placement that
        // its successor relies on.
        let shard = shard_condition(state, &process.member);
        if self.is_outdated(&group) || self.is_outdated(&shard.key) {
            return None;
        }
        Some(vec![(group, machine.version), (shard.key, shard.version)])
    }

    /// Whether the attempt was proved gone under the grant in force. Earlier proofs do not count:
    /// a machine that was granted to another controller and back may have gone on running it.
    fn is_proved_gone(&self, machine: &str, uid: &str, index: u32, attempt: u64) -> bool {
        let SegmentInputs { state, agents, .. } = self.inputs;
        let (Some(agent), Some(record)) = (agents.machine(machine), state.machines.get(machine)) else {
            return false;
        };
        agent.is_under(record.rec.term, record.rec.epoch)
            && agent.proven_ended.contains(&(uid.to_string(), index, attempt))
    }

    /// Takes room in the segment for entries of the job.
    fn take(&mut self, uid: &str, needs: &[&FactRequirements]) -> Result<(), Full> {
        if self.draft.try_reserve(uid, needs) { Ok(()) } else { Err(Full) }
    }

    /// Whether a transaction in flight changes the record or depends on it.
    fn is_locked(&self, key: &str) -> bool {
        self.inputs.transactions.is_locked(key)
    }

    /// Whether the record is known to be newer in the store than in the replica.
    fn is_outdated(&self, key: &str) -> bool {
        self.inputs.transactions.is_outdated(key)
    }
}

/// The attempt number for the job's next starts. A gang that lost a task before it started is
/// completed under the same attempt number, by which its tasks find each other. So is a wide
/// gang, whose placements go into several segments.
fn next_attempt(job: &Job) -> u64 {
    let highest = job.highest_attempt();
    if job.spec.kind == JobKind::Gang && job.placed > 0 { highest } else { highest + 1 }
}
