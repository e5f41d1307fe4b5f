//! Requests of users: submissions, queries, cancellations, health.

use super::transactions::Ended;
use super::*;
use crate::connectivity::peer_table::Peer;
use crate::coordination::health::{Facts, healthy};
use crate::protocol::store::{Condition, Op};
use crate::protocol::user::{ErrorBody, JobKind, JobSpec, JobState, Route, Status, route, valid_uid};
use crate::protocol::{decode, encode};
use crate::requests::{Answer, Event, KnownStatus, Request, RequestKind, Stage, WriteOutcome};
use crate::retry::Side;

/// Requests of users that are under way, and what clients are told to do.
#[derive(Debug, Default)]
pub(super) struct Api {
    /// Requests that were not answered yet.
    requests: Requests,
    /// Spreads the times at which refused clients come back.
    retry_after: RetryAfter,
    /// The last answer to a health check.
    was_healthy: Option<bool>,
}

impl Api {
    /// Whether requests wait for a fresh read of the store.
    pub(super) fn awaits_read(&self) -> bool {
        self.requests.queued()
    }
}

/// Seconds after which a client is told to come back.
const COME_BACK: u32 = 1;
/// Users wait so long for an answer about a job (PROTOCOL). What cannot be given in
/// this part of it is refused, so that they ask again rather than in vain.
const USERS_WAIT_S: f64 = 2.0;
const ANSWERED_WITHIN: f64 = 0.75;

impl Controller {
    pub(super) fn request(&mut self, conn: ConnId, method: &str, path: &str, body: &[u8]) {
        match route(method, path.split('?').next().unwrap_or("")) {
            Route::Health => {
                let ok = self.healthy();
                if self.api.was_healthy.replace(ok) != Some(ok) {
                    let stale_ms = self.store.session.staleness(self.now).map(|s| s.as_millis() as u64);
                    tracing::info!(ok, loaded = self.store.session.following(), stale_ms, "health as users see it");
                }
                self.respond(conn, if ok { 200 } else { 503 }, Vec::new());
            }
            Route::Submit => self.submit(conn, body),
            Route::Poll(uid) => self.poll(conn, uid),
            Route::Cancel(uid) => self.cancel(conn, uid),
            Route::Heartbeat => match decode::<Heartbeat>(body) {
                Ok(report) => self.receive_heartbeat(conn, report),
                Err(_) => self.refuse(conn, 400, "not a report"),
            },
            Route::WrongMethod => self.refuse(conn, 405, "wrong method"),
            Route::Unknown => self.refuse(conn, 404, "no such path"),
        }
    }

    pub(super) fn respond(&mut self, conn: ConnId, status: u16, body: Vec<u8>) {
        let retry_after = matches!(status, 429 | 503).then_some(COME_BACK);
        self.outbox.push(Action::Respond { conn, status, body, retry_after });
    }

    /// Refuses a change that may not be written now: the store is away, or writes are
    /// wanting, and then with a place in what can be written.
    fn not_now(&mut self, conn: ConnId, error: &str) {
        if self.retry.is_open(Side::Store) {
            return self.refuse(conn, 503, "the state service does not answer");
        }
        let retry_after = Some(self.api.retry_after.after(self.now, self.transactions.write_rate()));
        let body = encode(&ErrorBody { error: error.into() });
        self.outbox.push(Action::Respond { conn, status: 429, body, retry_after });
    }

    pub(super) fn refuse(&mut self, conn: ConnId, status: u16, error: &str) {
        self.respond(conn, status, encode(&ErrorBody { error: error.into() }));
    }

    /// Whether the load balancer should send users here.
    fn healthy(&self) -> bool {
        let margin = self.heartbeat_intervals(1.0);
        let since = |p: &Peer| self.now.saturating_sub(p.at);
        let recent = self.connectivity.peers().peers().map(|(_, p)| p).filter(|p| since(p) < margin);
        healthy(&Facts {
            age: self.now,
            loaded: self.store.session.following(),
            stale: self.store.session.staleness(self.now),
            has_others: !self.config.others.is_empty(),
            others: recent.map(|p| p.stale.saturating_add(since(p))).collect(),
            entitled: self.entitled(),
            store_away: self.retry.is_open(Side::Store),
            margin,
        })
    }

    fn submit(&mut self, conn: ConnId, body: &[u8]) {
        let spec = match decode::<JobSpec>(body) {
            Ok(s) if s.well_formed() => s,
            _ => return self.refuse(conn, 400, "malformed submission"),
        };
        if self.state.ended.contains_key(spec.uid.as_str()) || self.state.jobs.contains_key(&spec.uid) {
            let uid = spec.uid.clone();
            return self.poll(conn, &uid);
        }
        if !self.store.session.following() || self.cloud.catalog().is_empty() {
            return self.refuse(conn, 503, "not ready");
        }
        let key = records::job_key(&spec.uid);
        if self.transactions.is_locked(&key) {
            // Ours is under way; its user may have been told more elsewhere than that
            // it is accepted.
            return self.ask(conn, &spec.uid, RequestKind::Submitted);
        }
        // Without the store nothing can be accepted: say so rather than wait.
        if !self.fresh() {
            return self.refuse(conn, 503, "the state service does not answer");
        }
        if self.never_runs(&spec) {
            return self.ask(conn, &spec.uid, RequestKind::Impossible);
        }
        if !self.may_write_as(WritePriority::Responses) {
            return self.not_now(conn, "too many submissions");
        }
        let uid = spec.uid.clone();
        let waits: Vec<u32> = (0..spec.task_count).collect();
        let counted = self.counted(&spec);
        let (capacities, queues) = (self.capacities_counting(true, counted), self.queues(counted, spec.priority));
        let task_ranges = self.task_ranges_for(&spec, &waits, &capacities, &queues, &BTreeMap::new());
        let rec = records::JobRecord {
            task_count: spec.task_count,
            spec: Some(spec),
            end: None,
            at_ms: self.wall_ms(),
            task_ranges,
        };
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), version: 0 }],
            ops: vec![Op::Put { key, data: records::to_value(&rec), lease: None }],
        };
        let until = self.now + self.answered_within();
        self.api.requests.came(conn, &uid, RequestKind::Submitted, Stage::Writing, until);
        self.txn_within(txn, Why::Accept(uid), self.answered_within());
    }

    /// Unknown team, no machine type for a task, or more than the team's limit.
    fn never_runs(&self, spec: &JobSpec) -> bool {
        let Some(team) = self.config.settings.teams.iter().find(|t| t.name == spec.team) else {
            return true;
        };
        let at_once = if spec.kind == JobKind::Array { 1 } else { spec.task_count };
        let over = |each: f64, max: f64| max > 0.0 && each * f64::from(at_once) > max + 1e-9;
        if over(spec.cores, team.cpus_max) || over(spec.gpus, team.gpus_max) {
            return true;
        }
        // All in one zone, and no more than half of them in any.
        if spec.zone_affinity && spec.zone_anti_affinity && spec.task_count > 1 {
            return true;
        }
        !self.cloud.catalog().iter().any(|t| {
            spec.machine_types.as_ref().is_none_or(|b| b.contains(&t.label))
                && spec.zone.as_ref().is_none_or(|s| t.zones.contains(s))
                && t.cores >= spec.cores
                && t.gpus >= spec.gpus
                && t.mem_gb >= spec.mem_gb
        })
    }

    fn poll(&mut self, conn: ConnId, uid: &str) {
        if !valid_uid(uid) {
            return self.refuse(conn, 404, "no such job");
        }
        let over = matches!(self.state.status(uid), Some((Status::Done | Status::Cancelled, ..)));
        if over {
            return self.tell(conn, uid);
        }
        if !self.store.session.following() {
            return self.refuse(conn, 503, "not ready");
        }
        self.ask(conn, uid, RequestKind::State);
    }

    /// So long a user's request is worked on.
    fn answered_within(&self) -> Duration {
        self.heartbeat_intervals(0.75).min(self.secs(USERS_WAIT_S * ANSWERED_WITHIN))
    }

    fn ask(&mut self, conn: ConnId, uid: &str, asked: RequestKind) {
        let until = self.now + self.answered_within();
        self.api.requests.came(conn, uid, asked, Stage::Queued, until);
    }

    fn tell(&mut self, conn: ConnId, uid: &str) {
        match self.state.status(uid) {
            Some((status, done, running)) => {
                let body = encode(&JobState { uid: uid.into(), status, done, running });
                self.respond(conn, 200, body);
            }
            None => self.refuse(conn, 404, "no such job"),
        }
    }

    /// Something happened that requests may wait for.
    pub(super) fn answer_requests(&mut self, event: Event) {
        let view = &self.state;
        let answered = self.api.requests.event(event, |uid| known(view, uid));
        self.answer_and_cancel(answered);
    }

    /// A write ended that was made because users asked this about the job.
    pub(super) fn request_written(&mut self, uid: &str, asked: RequestKind, ended: &Ended) {
        let how = match ended {
            Ended::Done(_) => WriteOutcome::Done,
            Ended::Void { .. } => WriteOutcome::Void,
            Ended::Refused(429) => WriteOutcome::Limited,
            Ended::Refused(_) | Ended::Unknown => WriteOutcome::Failed,
        };
        let view = &self.state;
        let answered = self.api.requests.written(uid, asked, how, |uid| known(view, uid));
        self.answer_with(answered);
        let accepted = asked == RequestKind::Submitted && how == WriteOutcome::Done;
        if let Some(j) = self.state.jobs.get(uid).filter(|_| accepted) {
            let to: Vec<&str> = j.rec.rec.task_ranges.iter().map(|s| s.member.as_str()).collect();
            tracing::debug!(job = %uid, class = %j.spec.class, tasks = j.spec.task_count, ?to, "accepted");
        }
    }

    fn answer_with(&mut self, answered: Vec<(Request, Answer)>) {
        for (r, answer) in answered {
            match answer {
                Answer::Accepted => {
                    let state = JobState { uid: r.uid.into(), status: Status::Queued, done: 0, running: 0 };
                    self.respond(r.conn, 201, encode(&state));
                }
                Answer::Tell => self.tell(r.conn, &r.uid),
                Answer::Unknown => self.refuse(r.conn, 404, "no such job"),
                Answer::NeverRuns => self.refuse(r.conn, 422, "can never run"),
                Answer::Limited => self.not_now(r.conn, "not stored"),
                // It may have been stored all the same; a repeat will find out.
                Answer::Later => self.refuse(r.conn, 503, "not known yet"),
            }
        }
    }

    pub(super) fn requests_tick(&mut self) {
        let view = &self.state;
        let answered = self.api.requests.due(self.now, |uid| known(view, uid));
        self.answer_and_cancel(answered);
    }

    /// Answers, and takes up cancellations that may be written now.
    fn answer_and_cancel(&mut self, answered: Vec<(Request, Answer)>) {
        self.answer_with(answered);
        for uid in self.api.requests.cancelling() {
            self.send_cancel(&uid);
        }
    }

    fn cancel(&mut self, conn: ConnId, uid: &str) {
        if !valid_uid(uid) {
            return self.refuse(conn, 404, "no such job");
        }
        if !self.store.session.following() {
            return self.refuse(conn, 503, "not ready");
        }
        let over = matches!(self.state.status(uid), Some((Status::Done | Status::Cancelled, ..)));
        if over {
            return self.tell(conn, uid);
        }
        if self.retry.is_open(Side::Store) {
            return self.not_now(conn, "not stored");
        }
        if !self.state.jobs.contains_key(uid) {
            // Accepted elsewhere a moment ago, perhaps: a fresh read decides.
            return self.ask(conn, uid, RequestKind::Cancelled);
        }
        let until = self.now + self.answered_within();
        self.api.requests.came(conn, uid, RequestKind::Cancelled, Stage::Writing, until);
        self.send_cancel(uid);
    }

    fn send_cancel(&mut self, uid: &str) {
        let key = records::job_key(uid);
        if self.transactions.is_locked(&key) {
            return; // taken up again by the next tick
        }
        if !self.may_write_as(WritePriority::Critical) {
            let view = &self.state;
            let answered =
                self.api.requests.written(uid, RequestKind::Cancelled, WriteOutcome::Limited, |uid| known(view, uid));
            return self.answer_with(answered);
        }
        let Some(job) = self.state.jobs.get(uid) else { return };
        let rec = records::JobRecord { end: Some(Status::Cancelled), ..job.rec.rec.clone() };
        let txn = Txn {
            conditions: vec![Condition { key: key.clone(), version: job.rec.version }],
            ops: vec![Op::Put { key, data: records::to_value(&rec), lease: None }],
        };
        self.txn_within(txn, Why::Cancel(uid.to_string()), self.answered_within());
    }
}

/// What the view has of a job, for the table.
fn known(view: &ClusterState, uid: &str) -> KnownStatus {
    match view.status(uid).map(|s| s.0) {
        None => KnownStatus::Nothing,
        Some(Status::Queued) => KnownStatus::Queued,
        Some(Status::Running) => KnownStatus::Running,
        Some(Status::Done | Status::Cancelled) => KnownStatus::Over,
    }
}
