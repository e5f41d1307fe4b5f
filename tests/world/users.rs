//! Stand-in for users: they submit, poll and cancel jobs, and check that no answer contradicts
//! what any user had been told before the request. If a test enables it, they also query all
//! controllers within milliseconds after an answer, and send invalid requests.

#![warn(missing_docs)]

use super::events::{Pending, Source, WorldEvent};
use super::{Job, World, bytes, get, number, s, text, value};
use ciborium::{Value, cbor};
use rand::RngExt;

/// What users know of a job. `Done` and `Cancelled` are both final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConfirmedState {
    /// The submission is not confirmed.
    Nothing,
    /// The submission was confirmed.
    Accepted,
    /// The job was reported as done.
    Done,
    /// The cancellation was confirmed.
    Cancelled,
}

/// A request of a user, with the uid of the job.
pub enum Asked {
    /// The submission, which is repeated until it is confirmed.
    Submit(String),
    /// A query of the status, which is repeated.
    Poll(String),
    /// A cancellation, which is repeated until it is confirmed.
    Cancel(String),
    /// One of several requests at the same time, which is not repeated if it gets no answer.
    CloseQuery(String),
    /// A query by `World::ask`, to this controller.
    Test(String, usize),
    /// A request that must get this status.
    Invalid(String, u16),
}

impl Asked {
    /// Returns the uid of the job.
    pub fn uid(&self) -> &str {
        match self {
            Asked::Submit(uid) | Asked::Poll(uid) | Asked::Cancel(uid) | Asked::CloseQuery(uid) => uid,
            Asked::Test(uid, _) | Asked::Invalid(uid, _) => uid,
        }
    }
}

/// Makes users query all controllers, and repeat the submission, right after they learned
/// something new about a job.
#[derive(Debug, Clone, Copy)]
pub struct CloseQueries {
    /// The probability that a job is cancelled, at all controllers, as soon as it is accepted.
    pub cancel: f64,
}

/// Delays after an answer at which all controllers are queried, in milliseconds.
const CLOSE_QUERY_DELAYS_MS: [f64; 3] = [0.0, 8.0, 40.0];

impl World {
    /// Returns what users know of a job by now.
    pub(super) fn confirmed_state(&self, uid: &str) -> ConfirmedState {
        match self.jobs.get(uid) {
            Some(j) if j.confirmed_done => ConfirmedState::Done,
            Some(j) if j.cancelled_at.is_some() => ConfirmedState::Cancelled,
            Some(j) if j.accepted => ConfirmedState::Accepted,
            _ => ConfirmedState::Nothing,
        }
    }

    /// Lets the sender of a request process the answer; status 0 means that there was none.
    pub(super) fn receive_reply(&mut self, request: Pending, status: u16, body: &[u8]) {
        match request.source {
            Source::Duplicate => {}
            Source::Worker(name, heartbeat_seq) => {
                let now = self.now;
                let Some(worker) = self.workers.get_mut(&name) else { return };
                if (worker.cut || worker.hung_since.is_some()) && status != 0 {
                    return;
                }
                let started = worker.receive_response(heartbeat_seq, status, &value(body), &self.jobs, now);
                self.check_starts(&name, started);
            }
            Source::User(Asked::Test(uid, node)) => {
                self.told.insert((uid.clone(), node), text(&value(body), "status"));
                self.asked.insert((uid, node), status);
            }
            Source::User(Asked::Invalid(uid, expected)) => {
                let unavailable = matches!(status, 0 | 429 | 503);
                assert!(
                    status == expected || unavailable,
                    "seed {}: {uid} got status {status} instead of {expected}",
                    self.seed
                );
                self.counters.invalid_requests_refused += u32::from(status == expected);
            }
            Source::User(Asked::Submit(uid)) => {
                if status == 201 {
                    self.counters.acceptances.push((self.now, request.node));
                }
                assert!(status != 400 && status != 422, "seed {}: a valid submission got status {status}", self.seed);
                self.check_answer(&uid, request.confirmed_before, status, &value(body));
                self.schedule_after(1.0, WorldEvent::User(uid));
            }
            Source::User(Asked::Poll(uid)) => {
                self.check_answer(&uid, request.confirmed_before, status, &value(body));
                self.schedule_after(2.0, WorldEvent::User(uid));
            }
            Source::User(Asked::Cancel(uid)) => {
                let over = matches!(text(&value(body), "status").as_str(), "withdrawn" | "done");
                assert!(
                    status != 200 || over,
                    "seed {}: a cancellation of {uid} got status 200 but {uid} is not over",
                    self.seed
                );
                self.check_answer(&uid, request.confirmed_before, status, &value(body));
                self.schedule_after(1.0, WorldEvent::User(uid));
            }
            Source::User(Asked::CloseQuery(uid)) => {
                self.counters.close_queries += u32::from(status == 200);
                self.check_answer(&uid, request.confirmed_before, status, &value(body));
            }
        }
    }

    /// Checks that an answer about a job is not older than what users knew when the request was
    /// sent, and updates what they know.
    fn check_answer(&mut self, uid: &str, confirmed_before: ConfirmedState, status: u16, body: &Value) {
        let (seed, now) = (self.seed, self.now);
        let before = self.confirmed_state(uid);
        let job = self.jobs.get_mut(uid).unwrap();
        let known = confirmed_before >= ConfirmedState::Accepted;
        assert!(
            !known || !matches!(status, 400 | 404 | 422),
            "seed {seed}, {now:?}: the accepted {uid} got status {status}"
        );
        if status != 200 && status != 201 {
            return;
        }
        let state = text(body, "status");
        match confirmed_before {
            ConfirmedState::Done => assert_eq!(state, "done", "seed {seed}, {now:?}: the status of {uid} went back"),
            ConfirmedState::Cancelled => {
                assert_eq!(state, "withdrawn", "seed {seed}, {now:?}: the status of {uid} went back")
            }
            ConfirmedState::Nothing | ConfirmedState::Accepted => {}
        }
        job.accepted = true;
        if state == "done" {
            assert_eq!(job.done.len() as u32, job.tasks, "seed {seed}: {uid} is reported as done too early");
            job.confirmed_done = true;
        }
        if state == "withdrawn" {
            assert!(job.cancel_asked, "seed {seed}: {uid} is cancelled but nobody asked for that");
            job.cancelled_at = job.cancelled_at.or(Some(now));
        }
        assert!(
            !job.confirmed_done || job.cancelled_at.is_none(),
            "seed {seed}: {uid} is reported as both done and cancelled"
        );
        job.running = number(body, "running") as u32;
        let after = self.confirmed_state(uid);
        if let Some(queries) = self.faults.close_queries.filter(|_| after > before) {
            let cancel = after == ConfirmedState::Accepted && self.rng.random_bool(queries.cancel);
            for ms in CLOSE_QUERY_DELAYS_MS {
                let uid = uid.to_string();
                self.schedule_after(ms / 1000.0, WorldEvent::Run(Box::new(move |w| w.query_all_nodes(&uid, cancel))));
            }
        }
    }

    /// Repeats the submission of a job and queries its status at every controller, after a
    /// cancellation if `cancel` is set.
    fn query_all_nodes(&mut self, uid: &str, cancel: bool) {
        let job = self.jobs.get_mut(uid).unwrap();
        job.cancel_asked |= cancel;
        let body = bytes(&submission(uid, job));
        for node in (0..self.nodes.len()).filter(|i| self.nodes[*i].controller.is_some()).collect::<Vec<_>>() {
            let mut ask = |method: &str, path: &str, body: Vec<u8>| {
                let conn =
                    self.send_request(node, Source::User(Asked::CloseQuery(uid.into())), method, path, body, false);
                self.schedule_after(5.0, WorldEvent::Timeout(conn));
            };
            if cancel {
                ask("POST", &format!("/work/{uid}/withdraw"), vec![]);
            }
            ask("POST", "/work", body.clone());
            ask("GET", &format!("/work/{uid}"), vec![]);
        }
    }

    /// Repeats the submission of a job and queries its status at every controller.
    pub fn query_closely(&mut self, uid: &str) {
        self.query_all_nodes(uid, false);
    }

    /// Cancels a job now, through a random controller. The user repeats the cancellation until it
    /// is confirmed.
    pub fn cancel(&mut self, uid: &str) {
        let node = self.rng.random_range(0..self.nodes.len());
        self.cancel_at_node(uid, node);
    }

    /// Cancels a job now, through this controller. The user repeats the cancellation until it is
    /// confirmed.
    pub fn cancel_at_node(&mut self, uid: &str, node: usize) {
        self.jobs.get_mut(uid).unwrap().cancel_asked = true;
        let source = Source::User(Asked::CloseQuery(uid.into()));
        let conn = self.send_request(node, source, "POST", &format!("/work/{uid}/withdraw"), vec![], false);
        self.schedule_after(5.0, WorldEvent::Timeout(conn));
    }

    /// At random steps, repeats the submission of an accepted job, cancels a job that is done, or
    /// sends a submission that must be refused.
    pub(super) fn send_invalid_request(&mut self) {
        if self.faults.invalid_requests_per_s <= 0.0
            || !self.rng.random_bool((self.faults.invalid_requests_per_s * 0.02).min(1.0))
        {
            return;
        }
        let node = self.rng.random_range(0..self.nodes.len());
        let nth = self.rng.random_range(0..1000);
        let pick = |w: &World, f: fn(&Job) -> bool| {
            let all: Vec<&String> = w.jobs.iter().filter(|(_, j)| f(j)).map(|(uid, _)| uid).collect();
            all.get(nth % all.len().max(1)).map(|uid| (*uid).clone())
        };
        let (uid, source, path, body) = match nth % 4 {
            0 => {
                let Some(uid) = pick(self, |j| j.accepted && !j.confirmed_done && j.cancelled_at.is_none()) else {
                    return;
                };
                let body = bytes(&submission(&uid, &self.jobs[&uid]));
                (uid.clone(), Asked::CloseQuery(uid), "/work".to_string(), body)
            }
            1 => {
                let Some(uid) = pick(self, |j| j.confirmed_done && !j.cancel_asked) else { return };
                (uid.clone(), Asked::CloseQuery(uid.clone()), format!("/work/{uid}/withdraw"), vec![])
            }
            _ => {
                let uid = format!("run-77{nth:04}");
                let (body, status) = invalid_request(&uid, nth / 4);
                (uid.clone(), Asked::Invalid(uid, status), "/work".to_string(), bytes(&body))
            }
        };
        let invalid = matches!(&source, Asked::Invalid(..));
        let conn = self.send_request(node, Source::User(source), "POST", &path, body, false);
        self.schedule_after(5.0, WorldEvent::Timeout(conn));
        if invalid {
            // A refused job must not be known afterwards.
            let query = Source::User(Asked::Invalid(uid.clone(), 404));
            let conn = self.send_request(node, query, "GET", &format!("/work/{uid}"), vec![], false);
            self.schedule_after(5.0, WorldEvent::Timeout(conn));
        }
    }

    /// Lets the user of a job send the next request: the submission, a cancellation or a poll.
    pub(super) fn act_as_user(&mut self, uid: &str) {
        let job = self.jobs.get_mut(uid).unwrap();
        let reachable = |i: &usize| job.via.is_none_or(|only| only == *i);
        let up: Vec<usize> =
            (0..self.nodes.len()).filter(|i| self.nodes[*i].controller.is_some()).filter(reachable).collect();
        if up.is_empty() {
            return self.schedule_after(1.0, WorldEvent::User(uid.to_string()));
        }
        let (path, source, method, body) = if !job.accepted {
            job.submitted = true;
            ("/work".to_string(), Asked::Submit(uid.into()), "POST", bytes(&submission(uid, job)))
        } else if job.cancel_asked && job.cancelled_at.is_none() && !job.confirmed_done {
            (format!("/work/{uid}/withdraw"), Asked::Cancel(uid.into()), "POST", vec![])
        } else {
            (format!("/work/{uid}"), Asked::Poll(uid.into()), "GET", vec![])
        };
        let node = up[self.rng.random_range(0..up.len())];
        let conn = self.send_request(node, Source::User(source), method, &path, body, false);
        self.schedule_after(2.0, WorldEvent::Timeout(conn));
    }

    /// Submits a job like `job` with other values in some fields to a controller, which must
    /// answer with this status unless it refuses all requests.
    pub fn submit_fields(&mut self, node: usize, uid: &str, job: Job, fields: &[(&str, Value)], expected: u16) {
        let mut body = submission(uid, &job);
        for (name, value) in fields {
            let entries = body.as_map_mut().unwrap().iter_mut();
            entries.filter(|(key, _)| key.as_text() == Some(name)).for_each(|entry| entry.1 = value.clone());
        }
        let amount = |name| get(&body, name).and_then(Value::as_float).unwrap_or_default();
        let (cores, gpus) = (amount("cores"), amount("gpus"));
        self.jobs.insert(uid.to_string(), Job { submitted: true, cores, gpus, ..job });
        let source = Source::User(Asked::Invalid(uid.to_string(), expected));
        let conn = self.send_request(node, source, "POST", "/work", bytes(&body), false);
        self.schedule_after(5.0, WorldEvent::Timeout(conn));
    }

    /// Queries the status of a job at this controller. `asked` and `told` hold the answer.
    pub fn ask(&mut self, uid: &str, node: usize) {
        self.send_test_request(uid, node, "GET", &format!("/work/{uid}"), vec![], 2.0);
    }

    /// Submits a job to this controller, or repeats its submission. `asked` and `told` hold the
    /// answer.
    pub fn submit_to(&mut self, uid: &str, job: &Job, node: usize) {
        let body = bytes(&submission(uid, job));
        self.jobs.entry(uid.to_string()).or_insert_with(|| Job { submitted: true, ..job.clone() });
        self.send_test_request(uid, node, "POST", "/work", body, 5.0);
    }

    /// Sends a request whose answer `asked` and `told` hold, unless it comes after `wait_s`.
    fn send_test_request(&mut self, uid: &str, node: usize, method: &str, path: &str, body: Vec<u8>, wait_s: f64) {
        self.asked.insert((uid.to_string(), node), 0);
        self.told.remove(&(uid.to_string(), node));
        let source = Source::User(Asked::Test(uid.to_string(), node));
        let conn = self.send_request(node, source, method, path, body, false);
        self.schedule_after(wait_s, WorldEvent::Timeout(conn));
    }

    /// Declares that all faults end at this time, so that the capacity rule holds from then on.
    pub fn calm_from(&mut self, at_s: f64) {
        self.later(at_s, |w| w.faults_ended_at = Some(s(w.now.as_secs_f64())));
    }
}

/// Fields without which a submission is malformed, which are all that may not be null.
const REQUIRED_FIELDS: [&str; 17] = [
    "uid",
    "docket",
    "desk",
    "form",
    "urgency",
    "parcels",
    "cores",
    "gpus",
    "mem_gb",
    "together",
    "apart",
    "loaners",
    "bundle",
    "size_gb",
    "expected_s",
    "stamp_every_s",
    "stamp_s",
];

/// Returns a submission that must be refused, and the expected status. Either it lacks a field
/// (400), or it can never run (422): its team is unknown, no machine type fits it in one
/// resource, by its allowed types or by its zone, or it exceeds the limit of its team. That
/// limit applies to all tasks of a gang or service together, and to each task of an array.
fn invalid_request(uid: &str, nth: usize) -> (Value, u16) {
    let gang = |cores: f64, tasks: u32| Job { team: "capped".into(), cores, gpus: 0.0, ..super::gang(tasks) };
    let with = |name: &str, v: Value| {
        let mut body = submission(uid, &super::array(3, 5.0));
        let fields = body.as_map_mut().unwrap();
        fields.iter_mut().filter(|(k, _)| k.as_text() == Some(name)).for_each(|f| f.1 = v.clone());
        body
    };
    match nth % (REQUIRED_FIELDS.len() + 10) {
        n if n < REQUIRED_FIELDS.len() => {
            let mut body = submission(uid, &super::array(3, 5.0));
            assert!(get(&body, REQUIRED_FIELDS[n]).is_some());
            body.as_map_mut().unwrap().retain(|(k, _)| k.as_text() != Some(REQUIRED_FIELDS[n]));
            (body, 400)
        }
        n => {
            let case = n - REQUIRED_FIELDS.len();
            let body = match case {
                0 => with("desk", Value::Text("nobody".into())),
                1 => with("cores", Value::Float(8.5)),
                2 => with("gpus", Value::Float(5.0)),
                3 => with("mem_gb", Value::Float(32.5)),
                4 => with("builds", cbor!(["other"]).unwrap()),
                5 => with("builds", cbor!([]).unwrap()),
                6 => with("site", Value::Text("elsewhere".into())),
                7 => submission(uid, &gang(8.0, 1000)),
                8 => submission(uid, &Job { standing: true, gang: false, ..gang(8.0, 1000) }),
                _ => with("builds", cbor!(["other", "none"]).unwrap()),
            };
            (body, 422)
        }
    }
}

/// Returns the body of a job's submission.
fn submission(uid: &str, job: &Job) -> Value {
    let (kind, priority, class) = match () {
        _ if job.standing => ("standing", "urgent", "web"),
        _ if job.gang => ("ensemble", "standard", "train"),
        _ if job.idle => ("batch", "idle", "sweep"),
        _ if job.aimed => ("batch", "standard", "report"),
        _ => ("batch", "standard", "calc"),
    };
    cbor!({
        "uid" => uid, "docket" => class, "desk" => job.team.clone(), "form" => kind, "urgency" => priority,
        "parcels" => job.tasks, "cores" => job.cores, "gpus" => job.gpus, "mem_gb" => job.mem_gb, "bundle" => "img-1",
        "size_gb" => 0.5, "builds" => null, "site" => job.zone, "together" => job.zone_affinity, "apart" => job.zone_anti_affinity,
        "loaners" => true, "expected_s" => job.run_s.min(100.0), "stamp_every_s" => if job.gang || job.idle { 2.0 } else { 0.0 }, "stamp_s" => 1.5, "due_s" => null
    })
    .unwrap()
}
