//! The jobs of a replica: how their records, their cancellation and their end are applied.

#![warn(missing_docs)]

use super::cluster_state::ClusterState;
use super::job::{EndedJob, Job};
use super::machine_load::remove_placement;
use super::records::JobRecord;
use super::versioned::Versioned;
use crate::protocol::user::{JobSpec, Status};
use std::collections::BTreeMap;

impl ClusterState {
    /// Jobs that were cancelled after revision `since` and may still have tasks on machines,
    /// each with the revision of its record.
    ///
    /// Jobs that are over are left out: a job is recorded as over only once each of its tasks
    /// is proved to be gone.
    pub fn cancelled_since(&self, since: u64) -> impl Iterator<Item = (&String, u64)> {
        let jobs = self.jobs.iter().filter(move |(_, job)| job.cancelled() && job.rec.version > since);
        jobs.map(|(uid, job)| (uid, job.rec.version))
    }

    /// Applies a cancellation that another controller has reported. It was stored at
    /// `revision`, which this replica may not have applied yet.
    pub fn apply_remote_cancellation(&mut self, uid: &str, revision: u64) {
        let Some(job) = self.jobs.get(uid).filter(|job| !job.cancelled()) else { return };
        let record = JobRecord { final_status: Some(Status::Cancelled), ..job.rec.rec.clone() };
        self.observe_revision(revision);
        self.put_job(uid, record, revision);
    }

    /// Whether no task of the job may start or keep running, because the job is cancelled, over
    /// or unknown.
    pub fn must_not_run(&self, uid: &str) -> bool {
        self.jobs.get(uid).is_none_or(Job::cancelled)
    }

    /// The status of a job, and the numbers of its completed and of its placed tasks. `None` if
    /// the job is unknown.
    pub fn status(&self, uid: &str) -> Option<(Status, u32, u32)> {
        if let Some(ended) = self.ended_jobs.get(uid) {
            let done = if ended.status == Status::Done { ended.task_count } else { 0 };
            return Some((ended.status, done, 0));
        }
        let job = self.jobs.get(uid)?;
        Some((job.status(), job.done, job.placed))
    }

    /// The number of the job's tasks that are or may be on machines, by zone. Empty for a job
    /// that has neither zone affinity nor zone anti-affinity.
    pub fn tasks_by_zone(&self, job: &Job) -> BTreeMap<String, u32> {
        let mut tasks_by_zone = BTreeMap::new();
        if !job.spec.zone_affinity && !job.spec.zone_anti_affinity {
            return tasks_by_zone;
        }
        for placement in job.placements() {
            if let Some(machine) = self.machines.get(&placement.machine) {
                *tasks_by_zone.entry(machine.rec.zone.clone()).or_default() += 1;
            }
        }
        tasks_by_zone
    }

    /// Applies a put of a job's record.
    ///
    /// The record of a cancelled job keeps its specification until the last of its tasks
    /// is known to be gone: they still take up resources and count for their team.
    pub(super) fn put_job(&mut self, uid: &str, record: JobRecord, version: u64) {
        if self.ended_jobs.contains_key(uid) {
            return;
        }
        if !record.has_valid_numbers() {
            tracing::error!(job = %uid, "job record with invalid numbers");
            return;
        }
        match record.spec.clone() {
            None => self.end_job(uid, &record),
            Some(_) if self.jobs.contains_key(uid) => self.update_job(uid, record, version),
            Some(spec) => self.add_job(uid, spec, record, version),
        }
    }

    /// Applies the record of a job that is over.
    fn end_job(&mut self, uid: &str, record: &JobRecord) {
        let Some(status) = record.final_status else { return };
        if status == Status::Done
            && let Some(job) = self.jobs.get(uid)
        {
            self.newly_done.push((job.spec.clone(), job.rec.rec.submitted_ms));
        }
        self.drop_job(uid);
        let ended = EndedJob { status, task_count: record.task_count };
        self.ended_jobs.insert(uid.into(), ended);
    }

    /// Applies a newer record of a known job, and queues the job if it is newly cancelled or has
    /// become complete.
    fn update_job(&mut self, uid: &str, record: JobRecord, version: u64) {
        let Some(job) = self.jobs.get_mut(uid).filter(|job| version > job.rec.version) else { return };
        let was_cancelled = job.cancelled();
        job.rec = Versioned { rec: record, version };
        if job.cancelled() && !was_cancelled {
            self.newly_cancelled.push(uid.to_string());
        }
        self.queue_if_complete(uid);
    }

    /// Adds a job, and applies the checkpoints that arrived before its record.
    fn add_job(&mut self, uid: &str, spec: JobSpec, record: JobRecord, version: u64) {
        let job = Job::new(spec, Versioned { rec: record, version });
        self.jobs.insert(uid.to_string(), job);
        let checkpoints = self.checkpoints_without_job.remove(uid).unwrap_or_default();
        for (number, checkpoint) in checkpoints {
            self.put_checkpoint(uid, number, checkpoint.rec, checkpoint.version);
        }
    }

    /// Removes a job, its placements and its share of the machines' loads.
    fn drop_job(&mut self, uid: &str) {
        if let Some(job) = self.jobs.remove(uid) {
            for placement in job.placements() {
                remove_placement(&mut self.placed_tasks, &mut self.machine_loads, &job.spec, placement);
            }
        }
        self.checkpoints_without_job.remove(uid);
    }

    /// Queues the job to have its end recorded if it is complete.
    pub(super) fn queue_if_complete(&mut self, uid: &str) {
        if self.jobs.get(uid).is_some_and(Job::complete) {
            self.newly_complete.push(uid.to_string());
        }
    }
}
