//! Library for users of finchquay: submit a job, follow it to its end,
//! cancel it. Knows several controllers, turns to another when one fails,
//! and keeps the published rules for retries by default.
//!
//! ```no_run
//! # async fn f() -> Result<(), Box<dyn std::error::Error>> {
//! use finchquay_client::Client;
//! use finchquay_protocol::user::JobSpec;
//! let client = Client::new(["127.0.0.1:8080".parse()?])?;
//! client.submit(&JobSpec::example("run-000001")).await?;
//! let end = client.wait("run-000001", None).await?;
//! # Ok(()) }
//! ```

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::unwrap_used))]

mod endpoints;
pub mod retry;

use endpoints::{CallOutcome, Endpoints};
use finchquay_protocol::user::{ErrorBody, JobSpec, JobState, Status, valid_uid};
use finchquay_protocol::{BODY_LIMIT, decode, encode};
use retry::{Budget, Policy};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Why a call came to nothing.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The service will never take this; repeating it is of no use.
    #[error("refused with status {status}: {what}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// The reason that the service gave.
        what: String,
    },
    /// Every try failed until the time for tries was used up. What was asked
    /// may have been carried out, or may still be: the same call may be made again.
    #[error("no answer after {tries} tries in {:.1} s, the last: {last}", within.as_secs_f64())]
    Exhausted {
        /// Number of tries.
        tries: u32,
        /// Time from the first try to the last.
        within: Duration,
        /// Why the last try failed.
        last: String,
    },
    /// The job is not known to the service.
    #[error("no such job")]
    NotFound,
    /// `wait` reached the caller's limit; the job goes on.
    #[error("the job is still {:?}", .0.status)]
    Unfinished(JobState<'static>),
    /// The id has not the form of a job's id; nothing was sent.
    #[error("{0:?} is not a job id: `run-` and 1 to 18 digits")]
    BadUid(String),
    /// The client was built without any controller.
    #[error("no controller address was given")]
    NoAddress,
    /// The HTTP client could not be built.
    #[error("the HTTP client cannot be set up: {0}")]
    Setup(reqwest::Error),
}

/// What is asked of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Submit a job.
    Submit,
    /// Read a job's state.
    Poll,
    /// Cancel a job.
    Cancel,
}

/// One try of one call, as an observer sees it.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// What was asked.
    pub operation: Operation,
    /// The job's id.
    pub uid: String,
    /// The controller that was called.
    pub address: SocketAddr,
    /// When the request was sent.
    pub began: Instant,
    /// When the answer was complete, or the attempt failed.
    pub ended: Instant,
    /// HTTP status; `None`: no answer.
    pub status: Option<u16>,
    /// The job's state, where the answer told it.
    pub state: Option<JobState<'static>>,
}

/// Told of every attempt; for metrics, traces and histories.
pub trait Observer: Send + Sync {
    /// Called when an attempt ended, in the task that made it.
    fn attempt(&self, attempt: &Attempt);
}

/// Times of the calls. The defaults are those that the service's users keep.
#[derive(Debug, Clone)]
pub struct Times {
    /// Longest wait for the answer to a submission or cancellation.
    pub change: Duration,
    /// Longest wait for the answer to a poll.
    pub poll: Duration,
    /// Pause between polls while waiting for a job's end.
    pub poll_every: Duration,
    /// When a failed call is made again.
    pub retry: Policy,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            change: Duration::from_secs(5),
            poll: Duration::from_secs(2),
            poll_every: Duration::from_secs(5),
            retry: Policy::default(),
        }
    }
}

/// A client of the service. Cheap to clone; clones share connections and what is known of controllers.
#[derive(Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

struct Inner {
    http: reqwest::Client,
    endpoints: Mutex<Endpoints>,
    times: Times,
    observer: Option<Arc<dyn Observer>>,
    began: Instant,
}

/// An answer that arrived.
struct Answer {
    status: u16,
    retry_after: Option<Duration>,
    body: Vec<u8>,
}

impl Answer {
    fn state(&self) -> Option<JobState<'static>> {
        decode(&self.body).ok()
    }

    fn what(&self) -> String {
        decode::<ErrorBody>(&self.body).map_or_else(|_| "no reason given".into(), |e| e.error.into_owned())
    }
}

/// What an answer means for the call that got it.
enum Verdict<T> {
    Final(Result<T, ClientError>),
    /// Worth another try.
    Again,
}

impl Client {
    /// A client with the default times.
    pub fn new(controllers: impl IntoIterator<Item = SocketAddr>) -> Result<Client, ClientError> {
        Client::with(controllers, Times::default(), None)
    }

    /// A client with its own times, and an observer that is told of every attempt.
    ///
    /// # Errors
    /// [`ClientError::NoAddress`] and [`ClientError::Setup`].
    pub fn with(
        controllers: impl IntoIterator<Item = SocketAddr>,
        times: Times,
        observer: Option<Arc<dyn Observer>>,
    ) -> Result<Client, ClientError> {
        let endpoints = Endpoints::new(controllers);
        if endpoints.is_empty() {
            return Err(ClientError::NoAddress);
        }
        let http = reqwest::Client::builder()
            .connect_timeout(times.poll / 4)
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .build()
            .map_err(ClientError::Setup)?;
        let endpoints = Mutex::new(endpoints);
        Ok(Client { inner: Arc::new(Inner { http, endpoints, times, observer, began: Instant::now() }) })
    }

    /// Submits a job, again until it is answered or the time for tries is
    /// over. A job that was accepted before is no error: the answer is its state.
    pub async fn submit(&self, spec: &JobSpec) -> Result<JobState<'static>, ClientError> {
        check(&spec.uid)?;
        let body = encode(spec);
        self.insist(Operation::Submit, &spec.uid, Some(body), |a| match a.status {
            200 | 201 => match a.state() {
                Some(s) => Verdict::Final(Ok(s)),
                None => Verdict::Again,
            },
            400 | 422 => Verdict::Final(Err(ClientError::Refused { status: a.status, what: a.what() })),
            _ => Verdict::Again,
        })
        .await
    }

    /// The job's state now. Tries again like the others, since a controller
    /// that cannot answer freshly says so.
    pub async fn status(&self, uid: &str) -> Result<JobState<'static>, ClientError> {
        check(uid)?;
        self.insist(Operation::Poll, uid, None, poll_verdict).await
    }

    /// Follows a job until it is done or cancelled, or until `limit`.
    pub async fn wait(&self, uid: &str, limit: Option<Duration>) -> Result<JobState<'static>, ClientError> {
        check(uid)?;
        let end = limit.map(|l| Instant::now() + l);
        loop {
            let last = match self.once(Operation::Poll, uid, None).await {
                Ok(a) => match poll_verdict(&a) {
                    Verdict::Final(Ok(s)) if ended(s.status) => return Ok(s),
                    Verdict::Final(Ok(s)) => Some(s),
                    Verdict::Final(Err(e)) => return Err(e),
                    Verdict::Again => None,
                },
                Err(_) => None,
            };
            let pause = self.inner.times.poll_every.mul_f64(rand::random_range(0.9..1.1));
            if end.is_some_and(|e| Instant::now() + pause > e) {
                // Where the last poll failed, the caller still gets the job's state.
                let state = match last {
                    Some(s) => s,
                    None => self.status(uid).await?,
                };
                return if ended(state.status) { Ok(state) } else { Err(ClientError::Unfinished(state)) };
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Cancels a job. The answer says how it ended: `cancelled`, or `done`
    /// where that came first.
    pub async fn cancel(&self, uid: &str) -> Result<JobState<'static>, ClientError> {
        check(uid)?;
        self.insist(Operation::Cancel, uid, Some(Vec::new()), |a| match (a.status, a.state()) {
            (200, Some(s)) if ended(s.status) => Verdict::Final(Ok(s)),
            (404, _) => Verdict::Final(Err(ClientError::NotFound)),
            (400, _) => Verdict::Final(Err(ClientError::Refused { status: 400, what: a.what() })),
            _ => Verdict::Again,
        })
        .await
    }

    /// Tries until the verdict is final or the retry budget is used up.
    async fn insist<T>(
        &self,
        operation: Operation,
        uid: &str,
        body: Option<Vec<u8>>,
        judge: impl Fn(&Answer) -> Verdict<T>,
    ) -> Result<T, ClientError> {
        let mut budget = Budget::new(self.inner.times.retry.clone(), self.now());
        loop {
            let (last, retry_after) = match self.once(operation, uid, body.clone()).await {
                Ok(a) => match judge(&a) {
                    Verdict::Final(result) => return result,
                    Verdict::Again => (format!("status {}", a.status), a.retry_after),
                },
                Err(what) => (what, None),
            };
            match budget.next(self.now(), retry_after, rand::random()) {
                Some(pause) => tokio::time::sleep(pause).await,
                None => {
                    let (tries, within) = (budget.tries(), self.now() - budget.began());
                    return Err(ClientError::Exhausted { tries, within, last });
                }
            }
        }
    }

    /// One try at the controller that looks best.
    async fn once(&self, operation: Operation, uid: &str, body: Option<Vec<u8>>) -> Result<Answer, String> {
        let (index, address) = self.endpoints(|e, now| e.pick(now, rand::random()));
        let began = Instant::now();
        let result = self.exchange(operation, uid, address, body).await;
        let outcome = match &result {
            Ok(answer) if answer.status < 500 && answer.status != 429 => CallOutcome::Served,
            Ok(_) => CallOutcome::Refused,
            Err(_) => CallOutcome::Unanswered,
        };
        self.endpoints(|endpoints, now| endpoints.record(index, now, outcome));
        if let Some(observer) = &self.inner.observer {
            observer.attempt(&Attempt {
                operation,
                uid: uid.to_string(),
                address,
                began,
                ended: Instant::now(),
                status: result.as_ref().ok().map(|a| a.status),
                state: result.as_ref().ok().and_then(Answer::state),
            });
        }
        result
    }

    async fn exchange(
        &self,
        operation: Operation,
        uid: &str,
        address: SocketAddr,
        body: Option<Vec<u8>>,
    ) -> Result<Answer, String> {
        let (path, timeout) = match operation {
            Operation::Submit => ("/work".to_string(), self.inner.times.change),
            Operation::Poll => (format!("/work/{uid}"), self.inner.times.poll),
            Operation::Cancel => (format!("/work/{uid}/withdraw"), self.inner.times.change),
        };
        let url = format!("http://{address}{path}");
        let request = match body {
            Some(body) => self.inner.http.post(url).header("content-type", "application/cbor").body(body),
            None => self.inner.http.get(url),
        };
        let text = |e: reqwest::Error| {
            let mut cause: &dyn std::error::Error = &e;
            while let Some(inner) = cause.source() {
                cause = inner;
            }
            format!("{address}: {cause}")
        };
        let mut response = request.timeout(timeout).send().await.map_err(text)?;
        let status = response.status().as_u16();
        let retry_after = response
            .headers()
            .get("retry-after")
            .and_then(|v| v.to_str().ok()?.trim().parse().ok())
            .map(Duration::from_secs);
        let mut bytes = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(text)? {
            bytes.extend_from_slice(&chunk);
            if bytes.len() > BODY_LIMIT {
                return Err(format!("{address}: the answer is over {BODY_LIMIT} bytes"));
            }
        }
        Ok(Answer { status, retry_after, body: bytes })
    }

    fn now(&self) -> Duration {
        self.inner.began.elapsed()
    }

    fn endpoints<T>(&self, f: impl FnOnce(&mut Endpoints, Duration) -> T) -> T {
        let now = self.now();
        f(&mut self.inner.endpoints.lock().unwrap_or_else(PoisonError::into_inner), now)
    }
}

fn poll_verdict(a: &Answer) -> Verdict<JobState<'static>> {
    match (a.status, a.state()) {
        (200, Some(s)) => Verdict::Final(Ok(s)),
        (404, _) => Verdict::Final(Err(ClientError::NotFound)),
        (400, _) => Verdict::Final(Err(ClientError::Refused { status: 400, what: a.what() })),
        _ => Verdict::Again,
    }
}

fn ended(status: Status) -> bool {
    matches!(status, Status::Done | Status::Cancelled)
}

fn check(uid: &str) -> Result<(), ClientError> {
    if valid_uid(uid) { Ok(()) } else { Err(ClientError::BadUid(uid.into())) }
}
