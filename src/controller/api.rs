//! The HTTP interface: submissions, status queries and cancellations of users, health checks
//! of the load balancer, and the dispatch of workers' heartbeats.

use super::task_ranges::AssignmentView;
use super::transactions::TxnOutcome;
use super::*;
use crate::connectivity::peer_table::Peer;
use crate::coordination::health::{HealthInputs, is_healthy};
use crate::coordination::shards::ShardMachineKinds;
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::{ErrorBody, JobKind, JobSpec, JobState, Route, Status, is_valid_job_id, route};
use crate::protocol::{decode, encode};
use crate::requests::{Answer, Event, KnownStatus, Request, RequestKind, Stage, WriteOutcome};
use crate::retry::RemoteService;

/// The open requests of users, and the retry times that refused clients are given.
#[derive(Debug, Default)]
pub(super) struct Api {
    /// Requests that have not been answered yet.
    requests: Requests,
    /// Spreads the times at which refused clients retry.
    retry_after: RetryAfter,
    /// The result of the last health check.
    was_healthy: Option<bool>,
    /// What was answered since the last summary.
    summary: ApiSummary,
}

/// What happened to requests about jobs since the last summary.
#[derive(Debug, Default)]
struct ApiSummary {
    /// Reads of the store that were sent to prove the replica fresh.
    reads: u64,
    /// Answers to requests that had waited for a read or a write, by kind.
    answers: BTreeMap<Answer, u64>,
    /// Requests that were refused because their deadline had passed.
    expired: usize,
}

impl Api {
    /// Counts a read of the store that proves the replica fresh.
    pub(super) fn count_read(&mut self) {
        self.summary.reads += 1;
    }

    /// Logs what happened since the last summary, and resets it.
    pub(super) fn log_summary(&mut self) {
        let ApiSummary { reads, answers, expired } = std::mem::take(&mut self.summary);
        tracing::debug!(reads, ?answers, expired, "reads and answers to users");
    }

    /// Whether requests wait for a read of the store to be sent.
    pub(super) fn awaits_read(&self) -> bool {
        self.requests.any_awaits_read()
    }
}

/// Seconds after which a client may retry, unless the answer depends on the write rate.
const RETRY_AFTER_S: u32 = 1;
/// The time that users wait for an answer about a job (PROTOCOL).
const USER_TIMEOUT_S: f64 = 2.0;
/// The part of [`USER_TIMEOUT_S`] after which an open request is refused, so that users
/// repeat it instead of waiting in vain.
const DEADLINE_FRACTION: f64 = 0.75;

impl Controller {
    /// Handles a request of a user, a worker or the load balancer.
    pub(super) fn handle_request(&mut self, conn: ConnId, method: &str, path: &str, body: &[u8]) {
        match route(method, path.split('?').next().unwrap_or("")) {
            Route::Health => {
                let ok = self.is_healthy();
                if self.api.was_healthy.replace(ok) != Some(ok) {
                    let stale_ms = self.store.session.staleness(self.now).map(|s| s.as_millis() as u64);
                    tracing::info!(ok, loaded = self.store.session.is_following(), stale_ms, "health status changed");
                }
                self.respond(conn, if ok { 200 } else { 503 }, Vec::new());
            }
            Route::Submit => self.submit(conn, body),
            Route::JobStatus(uid) => self.poll(conn, uid),
            Route::Cancel(uid) => self.cancel(conn, uid),
            Route::Heartbeat => match decode::<Heartbeat>(body) {
                Ok(heartbeat) => self.receive_heartbeat(conn, heartbeat),
                Err(_) => self.refuse(conn, 400, "not a report"),
            },
            Route::WrongMethod => self.refuse(conn, 405, "wrong method"),
            Route::Unknown => self.refuse(conn, 404, "no such path"),
        }
    }

    /// Responds to a request; statuses 429 and 503 come with the default retry time.
    pub(super) fn respond(&mut self, conn: ConnId, status: u16, body: Vec<u8>) {
        let retry_after = matches!(status, 429 | 503).then_some(RETRY_AFTER_S);
        self.outbox.push(Action::Respond { conn, status, body, retry_after });
    }

    /// Refuses a change that may not be written now. While the store is unavailable the status
    /// is 503; otherwise the write rate is exhausted, and the retry time is when the rate
    /// allows this write.
    fn refuse_write(&mut self, conn: ConnId, error: &str) {
        if self.retry.is_open(RemoteService::Store) {
            return self.refuse(conn, 503, "the state service does not answer");
        }
        let retry_after = Some(self.api.retry_after.next_delay_s(self.now, self.transactions.write_rate()));
        let body = encode(&ErrorBody { error: error.into() });
        self.outbox.push(Action::Respond { conn, status: 429, body, retry_after });
    }

    /// Responds with an error message.
    pub(super) fn refuse(&mut self, conn: ConnId, status: u16, error: &str) {
        self.respond(conn, status, encode(&ErrorBody { error: error.into() }));
    }

    /// Whether the load balancer should send users to this controller.
    fn is_healthy(&self) -> bool {
        let freshness_limit = self.heartbeat_intervals(1.0);
        let since = |peer: &Peer| self.now.saturating_sub(peer.received_at);
        let recent =
            self.connectivity.peers().peers().map(|(_, peer)| peer).filter(|peer| since(peer) < freshness_limit);
        is_healthy(&HealthInputs {
            uptime: self.now,
            loaded: self.store.session.is_following(),
            staleness: self.store.session.staleness(self.now),
            has_others: !self.config.peers.is_empty(),
            other_staleness: recent.map(|peer| peer.replica_age.saturating_add(since(peer))).collect(),
            may_act: self.may_act(),
            store_unavailable: self.retry.is_open(RemoteService::Store),
            freshness_limit,
        })
    }

    /// Accepts a job, or refuses it; a job that is known already is answered with its status.
    fn submit(&mut self, conn: ConnId, body: &[u8]) {
        let spec = match decode::<JobSpec>(body) {
            Ok(spec) if spec.is_well_formed() => spec,
            _ => return self.refuse(conn, 400, "malformed submission"),
        };
        if self.state.ended_jobs.contains_key(spec.uid.as_str()) || self.state.jobs.contains_key(&spec.uid) {
            let uid = spec.uid.clone();
            return self.poll(conn, &uid);
        }
        if !self.store.session.is_following() || self.cloud.catalog().is_empty() {
            return self.refuse(conn, 503, "not ready");
        }
        let key = records::job_key(&spec.uid);
        if self.transactions.is_locked(&key) {
            // Our write of the job is in flight. Another controller may have told the user
            // already that the job runs, so a read decides the answer.
            return self.queue_request(conn, &spec.uid, RequestKind::Submit);
        }
        // Without the store nothing can be accepted, so the request is refused at once.
        if !self.is_replica_fresh() {
            return self.refuse(conn, 503, "the state service does not answer");
        }
        if self.can_never_run(&spec) {
            return self.queue_request(conn, &spec.uid, RequestKind::SubmitImpossible);
        }
        if !self.may_write_with_priority(WritePriority::Responses) {
            return self.refuse_write(conn, "too many submissions");
        }
        let uid = spec.uid.clone();
        let waiting: Vec<u32> = (0..spec.task_count).collect();
        let counted = self.counted_tasks(&spec);
        let view = AssignmentView {
            capacities: &self.capacities_counting(true, counted),
            kinds: &ShardMachineKinds::of(&self.state),
            queues: &self.queues_by_controller(counted, spec.priority),
            tasks_by_zone: &BTreeMap::new(),
        };
        let task_ranges = self.task_ranges_for(&spec, &waiting, &view);
        let record = records::JobRecord {
            task_count: spec.task_count,
            spec: Some(spec),
            final_status: None,
            submitted_ms: self.wall_ms(),
            task_ranges,
        };
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), version: 0 }],
            ops: vec![Op::Put { key, data: records::to_value(&record), lease: None }],
        };
        let deadline = self.now + self.request_timeout();
        self.api.requests.add(conn, &uid, RequestKind::Submit, Stage::Writing, deadline);
        self.transact_within(txn, TxnPurpose::Accept(uid), self.request_timeout());
    }

    /// Whether the job can never run: its team is unknown, the tasks that must run at once
    /// exceed the team's limit, its zone constraints contradict each other, or no machine type
    /// fits a task.
    fn can_never_run(&self, spec: &JobSpec) -> bool {
        let Some(team) = self.config.deployment.teams.iter().find(|team| team.name == spec.team) else {
            return true;
        };
        let simultaneous = if spec.kind == JobKind::Array { 1 } else { spec.task_count };
        let exceeds = |each: f64, max: f64| max > 0.0 && each * f64::from(simultaneous) > max + 1e-9;
        if exceeds(spec.cores, team.cpus_max) || exceeds(spec.gpus, team.gpus_max) {
            return true;
        }
        // All tasks in one zone, but no more than half of them in any zone.
        if spec.zone_affinity && spec.zone_anti_affinity && spec.task_count > 1 {
            return true;
        }
        !self.cloud.any_type_can_run(spec)
    }

    /// Answers a status query: at once if the job has ended, otherwise after a read.
    fn poll(&mut self, conn: ConnId, uid: &str) {
        if !is_valid_job_id(uid) {
            return self.refuse(conn, 404, "no such job");
        }
        let has_ended = matches!(self.state.status(uid), Some((Status::Done | Status::Cancelled, ..)));
        if has_ended {
            return self.respond_with_status(conn, uid);
        }
        if !self.store.session.is_following() {
            return self.refuse(conn, 503, "not ready");
        }
        self.queue_request(conn, uid, RequestKind::Status);
    }

    /// The time after which an open request is refused.
    fn request_timeout(&self) -> Duration {
        self.heartbeat_intervals(0.75).min(self.secs(USER_TIMEOUT_S * DEADLINE_FRACTION))
    }

    /// Adds a request that is answered after the next read of the store.
    fn queue_request(&mut self, conn: ConnId, uid: &str, kind: RequestKind) {
        let deadline = self.now + self.request_timeout();
        self.api.requests.add(conn, uid, kind, Stage::Queued, deadline);
    }

    /// Responds with the job's status in the replica, or with 404 if the replica lacks it.
    fn respond_with_status(&mut self, conn: ConnId, uid: &str) {
        match self.state.status(uid) {
            Some((status, done, running)) => {
                let body = encode(&JobState { uid: uid.into(), status, done, running });
                self.respond(conn, 200, body);
            }
            None => self.refuse(conn, 404, "no such job"),
        }
    }

    /// Applies an event to the open requests, and answers those that waited for it.
    pub(super) fn answer_requests(&mut self, event: Event) {
        let replica = &self.state;
        let answered = self.api.requests.apply_event(event, |uid| known_status(replica, uid));
        self.answer_and_cancel(answered);
    }

    /// Answers the requests that asked this about the job, now that the write for them has
    /// ended.
    pub(super) fn request_written(&mut self, uid: &str, kind: RequestKind, ended: &TxnOutcome) {
        let write_outcome = match ended {
            TxnOutcome::Done(_) => WriteOutcome::Done,
            TxnOutcome::Void { .. } => WriteOutcome::Void,
            TxnOutcome::Refused(429) => WriteOutcome::Limited,
            TxnOutcome::Refused(_) | TxnOutcome::Unknown => WriteOutcome::Failed,
        };
        let replica = &self.state;
        let answered =
            self.api.requests.apply_write_outcome(uid, kind, write_outcome, |uid| known_status(replica, uid));
        self.send_answers(answered);
        let accepted = kind == RequestKind::Submit && write_outcome == WriteOutcome::Done;
        if let Some(job) = self.state.jobs.get(uid).filter(|_| accepted) {
            let to: Vec<&str> = job.rec.rec.task_ranges.iter().map(|range| range.member.as_str()).collect();
            tracing::debug!(job = %uid, class = %job.spec.class, tasks = job.spec.task_count, ?to, "job accepted");
        }
    }

    /// Sends the answers to requests.
    fn send_answers(&mut self, answered: Vec<(Request, Answer)>) {
        for (request, answer) in answered {
            *self.api.summary.answers.entry(answer).or_default() += 1;
            match answer {
                Answer::Accepted => {
                    let state = JobState { uid: request.uid.into(), status: Status::Queued, done: 0, running: 0 };
                    self.respond(request.conn, 201, encode(&state));
                }
                Answer::Status => self.respond_with_status(request.conn, &request.uid),
                Answer::Unknown => self.refuse(request.conn, 404, "no such job"),
                Answer::CanNeverRun => self.refuse(request.conn, 422, "can never run"),
                Answer::Limited => self.refuse_write(request.conn, "not stored"),
                // The change may have been stored all the same; a repeated request shows it.
                Answer::RetryLater => self.refuse(request.conn, 503, "not known yet"),
            }
        }
    }

    /// Answers the requests whose deadline has passed, and retries pending cancellations.
    pub(super) fn answer_due_requests(&mut self) {
        let replica = &self.state;
        let answered = self.api.requests.expire(self.now, |uid| known_status(replica, uid));
        self.api.summary.expired += answered.iter().filter(|(_, answer)| *answer == Answer::RetryLater).count();
        self.answer_and_cancel(answered);
    }

    /// Sends the answers to requests, and then the cancellations that are to be written.
    fn answer_and_cancel(&mut self, answered: Vec<(Request, Answer)>) {
        self.send_answers(answered);
        for uid in self.api.requests.jobs_to_cancel() {
            self.send_cancel(&uid);
        }
    }

    /// Cancels a job; one that has ended is answered with its status.
    fn cancel(&mut self, conn: ConnId, uid: &str) {
        if !is_valid_job_id(uid) {
            return self.refuse(conn, 404, "no such job");
        }
        if !self.store.session.is_following() {
            return self.refuse(conn, 503, "not ready");
        }
        let has_ended = matches!(self.state.status(uid), Some((Status::Done | Status::Cancelled, ..)));
        if has_ended {
            return self.respond_with_status(conn, uid);
        }
        if self.retry.is_open(RemoteService::Store) {
            return self.refuse_write(conn, "not stored");
        }
        if !self.state.jobs.contains_key(uid) {
            // Another controller may just have accepted the job: a new read decides.
            return self.queue_request(conn, uid, RequestKind::Cancel);
        }
        let deadline = self.now + self.request_timeout();
        self.api.requests.add(conn, uid, RequestKind::Cancel, Stage::Writing, deadline);
        self.send_cancel(uid);
    }

    /// Writes the cancellation of a job, unless a write of its record is in flight. If the
    /// write rate does not allow it, the requests for it are refused.
    fn send_cancel(&mut self, uid: &str) {
        let key = records::job_key(uid);
        if self.transactions.is_locked(&key) {
            return; // the next tick tries again
        }
        if !self.may_write_with_priority(WritePriority::Critical) {
            let (kind, outcome) = (RequestKind::Cancel, WriteOutcome::Limited);
            let replica = &self.state;
            let answered = self.api.requests.apply_write_outcome(uid, kind, outcome, |uid| known_status(replica, uid));
            return self.send_answers(answered);
        }
        let Some(job) = self.state.jobs.get(uid) else { return };
        let record = records::JobRecord { final_status: Some(Status::Cancelled), ..job.rec.rec.clone() };
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), version: job.rec.version }],
            ops: vec![Op::Put { key, data: records::to_value(&record), lease: None }],
        };
        self.transact_within(txn, TxnPurpose::Cancel(uid.to_string()), self.request_timeout());
    }
}

/// What the replica knows of a job, as the state machine of requests distinguishes it.
fn known_status(replica: &ClusterState, uid: &str) -> KnownStatus {
    match replica.status(uid).map(|(status, ..)| status) {
        None => KnownStatus::Unknown,
        Some(Status::Queued) => KnownStatus::Queued,
        Some(Status::Running) => KnownStatus::Running,
        Some(Status::Done | Status::Cancelled) => KnownStatus::Ended,
    }
}
