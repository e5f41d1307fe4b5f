//! Requests of users: submissions, queries, withdrawals, health.

use super::*;
use crate::coordination::health::{Facts, healthy};
use crate::links::table::Peer;
use crate::protocol::store::{Cond, Op};
use crate::protocol::user::{ErrorBody, Form, JobSpec, JobState, Route, Status, route, valid_uid};
use crate::protocol::{decode, encode};
use crate::retry::Side;

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
                if self.was_healthy.replace(ok) != Some(ok) {
                    let stale_ms = self.ses.staleness(self.now).map(|s| s.as_millis() as u64);
                    tracing::info!(ok, loaded = self.ses.following(), stale_ms, "health as users see it");
                }
                self.respond(conn, if ok { 200 } else { 503 }, Vec::new());
            }
            Route::Submit => self.submit(conn, body),
            Route::Poll(uid) => self.poll(conn, uid),
            Route::Withdraw(uid) => self.withdraw(conn, uid),
            Route::Report => match decode::<Report>(body) {
                Ok(report) => self.report(conn, report),
                Err(_) => self.refuse(conn, 400, "not a report"),
            },
            Route::WrongMethod => self.refuse(conn, 405, "wrong method"),
            Route::Unknown => self.refuse(conn, 404, "no such path"),
        }
    }

    pub(super) fn respond(&mut self, conn: ConnId, status: u16, body: Vec<u8>) {
        let retry_after = matches!(status, 429 | 503).then_some(COME_BACK);
        self.out.push(Action::Respond { conn, status, body, retry_after });
    }

    /// Refuses a change for want of writes, with a place in what can be written.
    fn put_off(&mut self, conn: ConnId, error: &str) {
        let retry_after = Some(self.returns.after(self.now, self.writes.rate));
        let body = encode(&ErrorBody { error: error.into() });
        self.out.push(Action::Respond { conn, status: 429, body, retry_after });
    }

    /// Refuses a change that may not be written now.
    fn not_now(&mut self, conn: ConnId, error: &str) {
        if self.retry.is_open(Side::State) {
            return self.refuse(conn, 503, "the state service does not answer");
        }
        self.put_off(conn, error);
    }

    pub(super) fn refuse(&mut self, conn: ConnId, status: u16, error: &str) {
        self.respond(conn, status, encode(&ErrorBody { error: error.into() }));
    }

    /// Whether the load balancer should send users here.
    fn healthy(&self) -> bool {
        let margin = self.report_s(1.0);
        let since = |p: &Peer| self.now.saturating_sub(p.at);
        let recent = self.links.peers().map(|(_, p)| p).filter(|p| since(p) < margin);
        healthy(&Facts {
            age: self.now,
            loaded: self.ses.following(),
            stale: self.ses.staleness(self.now),
            has_others: !self.set.others.is_empty(),
            others: recent.map(|p| p.stale.saturating_add(since(p))).collect(),
            entitled: self.entitled(),
            store_away: self.retry.is_open(Side::State),
            margin,
        })
    }

    fn submit(&mut self, conn: ConnId, body: &[u8]) {
        let spec = match decode::<JobSpec>(body) {
            Ok(s) if s.well_formed() => s,
            _ => return self.refuse(conn, 400, "malformed submission"),
        };
        if self.view.ended.contains_key(spec.uid.as_str()) || self.view.jobs.contains_key(&spec.uid) {
            let uid = spec.uid.clone();
            return self.poll(conn, &uid);
        }
        if !self.ses.following() || self.types.is_empty() {
            return self.refuse(conn, 503, "not ready");
        }
        if let Some(conns) = self.accepting.get_mut(&spec.uid) {
            conns.push(conn);
            return;
        }
        // Without the store nothing can be accepted: say so rather than wait.
        if !self.fresh() {
            return self.refuse(conn, 503, "the state service does not answer");
        }
        if self.never_runs(&spec) {
            return self.refuse(conn, 422, "can never run");
        }
        let key = records::job_key(&spec.uid);
        if self.busy.contains(&key) || !self.may_write_as(Order::Answers) {
            return self.not_now(conn, "too many submissions");
        }
        let uid = spec.uid.clone();
        let waits: Vec<u32> = (0..spec.parcels).collect();
        let counted = self.counted(&spec);
        let (rooms, queues) = (self.rooms_beside(true, counted), self.queues(counted, spec.urgency));
        let shares = self.shares_for(&spec, &waits, &rooms, &queues, &BTreeMap::new());
        let rec = records::JobRec { parcels: spec.parcels, spec: Some(spec), end: None, at_ms: self.wall_ms(), shares };
        let txn = Txn {
            conds: vec![Cond { key: key.clone(), entry_no: 0 }],
            ops: vec![Op::Put { key, data: records::to_value(&rec), lease: None }],
        };
        self.accepting.insert(uid.clone(), vec![conn]);
        self.txn(txn, Why::Accept(uid));
    }

    pub(super) fn accept_answer(&mut self, uid: &str, done: bool, status: u16, beaten: Option<u64>) {
        let conns = self.accepting.remove(uid).unwrap_or_default();
        if done {
            if let Some(j) = self.view.jobs.get(uid) {
                let to: Vec<&str> = j.rec.rec.shares.iter().map(|s| s.member.as_str()).collect();
                tracing::debug!(job = %uid, class = %j.spec.docket, tasks = j.spec.parcels, ?to, "accepted");
            }
            let body = encode(&JobState { uid: uid.into(), status: Status::Pending, done: 0, running: 0 });
            for conn in conns {
                self.respond(conn, 201, body.clone());
            }
            return;
        }
        for conn in conns {
            match beaten {
                // Known already, though not to this view: say what the store says.
                Some(revision) => {
                    let until = self.now + self.report_s(0.75);
                    let stage = Stage::Need(revision);
                    self.queries.push(Query { conn, uid: uid.to_string(), withdraw: false, stage, until });
                }
                // It may have been stored all the same; a repeat will find out.
                None if status == 429 => self.put_off(conn, "not stored"),
                None => self.refuse(conn, 503, "not stored"),
            }
        }
    }

    /// Unknown team, no machine type for a task, or more than the team's limit.
    fn never_runs(&self, spec: &JobSpec) -> bool {
        let Some(team) = self.set.settings.teams.iter().find(|t| t.name == spec.desk) else {
            return true;
        };
        let at_once = if spec.form == Form::Batch { 1 } else { spec.parcels };
        let over = |each: f64, max: f64| max > 0.0 && each * f64::from(at_once) > max + 1e-9;
        if over(spec.cores, team.cpus_max) || over(spec.gpus, team.gpus_max) {
            return true;
        }
        // All in one zone, and no more than half of them in any.
        if spec.together && spec.apart && spec.parcels > 1 {
            return true;
        }
        !self.types.iter().any(|t| {
            spec.builds.as_ref().is_none_or(|b| b.contains(&t.label))
                && spec.site.as_ref().is_none_or(|s| t.sites.contains(s))
                && t.cores >= spec.cores
                && t.gpus >= spec.gpus
                && t.mem_gb >= spec.mem_gb
        })
    }

    fn poll(&mut self, conn: ConnId, uid: &str) {
        if !valid_uid(uid) {
            return self.refuse(conn, 404, "no such job");
        }
        let over = matches!(self.view.status(uid), Some((Status::Done | Status::Withdrawn, ..)));
        if over {
            return self.tell(conn, uid);
        }
        if !self.ses.following() {
            return self.refuse(conn, 503, "not ready");
        }
        self.ask(conn, uid, false);
    }

    fn ask(&mut self, conn: ConnId, uid: &str, withdraw: bool) {
        let until = self.now + self.report_s(0.75).min(self.secs(USERS_WAIT_S * ANSWERED_WITHIN));
        self.queries.push(Query { conn, uid: uid.to_string(), withdraw, stage: Stage::Queued, until });
    }

    fn tell(&mut self, conn: ConnId, uid: &str) {
        match self.view.status(uid) {
            Some((status, done, running)) => {
                let body = encode(&JobState { uid: uid.into(), status, done, running });
                self.respond(conn, 200, body);
            }
            None => self.refuse(conn, 404, "no such job"),
        }
    }

    /// Answers queries whose barrier the view has reached.
    pub(super) fn answer_queries(&mut self) {
        let revision = self.view.revision;
        let ready = |q: &Query| matches!(q.stage, Stage::Need(n) if n <= revision);
        let (go, wait): (Vec<Query>, Vec<Query>) = std::mem::take(&mut self.queries).into_iter().partition(ready);
        self.queries = wait;
        for q in go {
            if q.withdraw && self.view.jobs.contains_key(&q.uid) {
                self.withdraw(q.conn, &q.uid);
            } else {
                self.tell(q.conn, &q.uid);
            }
        }
    }

    pub(super) fn requests_tick(&mut self) {
        self.withdraw_tick();
        let now = self.now;
        let (late, wait): (Vec<Query>, Vec<Query>) =
            std::mem::take(&mut self.queries).into_iter().partition(|q| q.until <= now);
        self.queries = wait;
        for q in late {
            self.refuse(q.conn, 503, "the state service does not answer");
        }
    }

    fn withdraw(&mut self, conn: ConnId, uid: &str) {
        if !valid_uid(uid) {
            return self.refuse(conn, 404, "no such job");
        }
        if !self.ses.following() {
            return self.refuse(conn, 503, "not ready");
        }
        let over = matches!(self.view.status(uid), Some((Status::Done | Status::Withdrawn, ..)));
        if over {
            return self.tell(conn, uid);
        }
        if self.retry.is_open(Side::State) {
            return self.not_now(conn, "not stored");
        }
        if !self.view.jobs.contains_key(uid) {
            // Accepted elsewhere a moment ago, perhaps: a fresh read decides.
            return self.ask(conn, uid, true);
        }
        let conns = self.withdrawing.entry(uid.to_string()).or_default();
        conns.push(conn);
        if conns.len() == 1 {
            self.send_withdraw(uid);
        }
    }

    fn send_withdraw(&mut self, uid: &str) {
        let key = records::job_key(uid);
        if self.busy.contains(&key) {
            return; // taken up again by `withdraw_tick`
        }
        if !self.may_write_as(Order::First) {
            for conn in self.withdrawing.remove(uid).unwrap_or_default() {
                self.not_now(conn, "too many withdrawals");
            }
            return;
        }
        let Some(job) = self.view.jobs.get(uid) else { return };
        let rec = records::JobRec { end: Some(Status::Withdrawn), ..job.rec.rec.clone() };
        let txn = Txn {
            conds: vec![Cond { key: key.clone(), entry_no: job.rec.version }],
            ops: vec![Op::Put { key, data: records::to_value(&rec), lease: None }],
        };
        self.txn(txn, Why::Withdraw(uid.to_string()));
    }

    pub(super) fn withdraw_answer(&mut self, uid: &str, done: bool, status: u16) {
        let conns = self.withdrawing.remove(uid).unwrap_or_default();
        for conn in conns {
            if done {
                self.tell(conn, uid);
            } else if status == 409 {
                // The record moved on; the user repeats and meets the new one.
                self.refuse(conn, 503, "changed meanwhile");
            } else if status == 429 {
                self.put_off(conn, "not stored");
            } else {
                self.refuse(conn, 503, "not stored");
            }
        }
        let machines: Vec<String> = self.machines.keys().cloned().collect();
        for m in machines {
            self.push(&m);
        }
    }

    /// Withdrawals that found their job's record in another transaction.
    fn withdraw_tick(&mut self) {
        let uids: Vec<String> = self.withdrawing.keys().cloned().collect();
        for uid in uids {
            match self.view.status(&uid) {
                Some((Status::Done | Status::Withdrawn, ..)) | None => {
                    for conn in self.withdrawing.remove(&uid).unwrap_or_default() {
                        self.tell(conn, &uid);
                    }
                }
                Some(_) => self.send_withdraw(&uid),
            }
        }
    }
}
