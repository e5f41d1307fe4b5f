//! Client library for users of finchquay: it submits jobs, waits for their end and cancels
//! them. A client knows the addresses of several controllers and uses another one when a
//! call fails. By default it follows the retry rules that are published for users.
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
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::disallowed_methods))]

mod endpoints;
pub mod retry;

use endpoints::{CallOutcome, Endpoints};
use finchquay_protocol::time::scale_duration;
use finchquay_protocol::user::{ErrorBody, JobSpec, JobState, Status, is_valid_job_id};
use finchquay_protocol::{MAX_BODY_BYTES, decode, encode};
use retry::{Budget, Policy};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Why a call failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The service refused the request for good; repeating it gives the same result.
    #[error("refused with status {status}: {reason}")]
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Reason that the service gave.
        reason: String,
    },
    /// Every attempt failed until the time for retries was used up. The request may have
    /// been carried out, or may still be. It is safe to make the same call again.
    #[error("gave up after {attempts} attempts in {:.1} s; last error: {last_error}", elapsed.as_secs_f64())]
    RetriesExhausted {
        /// Number of attempts.
        attempts: u32,
        /// Time from the start of the first attempt to the end of the last.
        elapsed: Duration,
        /// Why the last attempt failed.
        last_error: String,
    },
    /// The service does not know the job.
    #[error("no such job")]
    NotFound,
    /// [`Client::wait`] reached the caller's time limit. The job continues.
    #[error("the job is still {:?}", .0.status)]
    Unfinished(JobState<'static>),
    /// The text is not a valid job id. No request was sent.
    #[error("invalid job id {0:?}: expected `run-` and 1 to 18 digits")]
    InvalidJobId(String),
    /// The list of controllers is empty.
    #[error("no controller address was given")]
    NoControllers,
    /// The HTTP client could not be built.
    #[error("cannot set up the HTTP client: {0}")]
    Setup(reqwest::Error),
}

/// Operation that a call requests from the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Submit a job.
    Submit,
    /// Read the state of a job.
    Poll,
    /// Cancel a job.
    Cancel,
}

/// One attempt at a call, as it is reported to an [`Observer`].
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Requested operation.
    pub operation: Operation,
    /// Id of the job.
    pub uid: String,
    /// Address of the controller that was called.
    pub address: SocketAddr,
    /// When the attempt started.
    pub started_at: Instant,
    /// When the response was complete, or the attempt failed.
    pub finished_at: Instant,
    /// HTTP status of the response; `None` if no complete response arrived.
    pub status: Option<u16>,
    /// State of the job, if the response contains it.
    pub state: Option<JobState<'static>>,
}

/// Receives every attempt, for example for metrics, traces or histories.
pub trait Observer: Send + Sync {
    /// Called after each attempt, in the task that made it.
    fn on_attempt(&self, attempt: &Attempt);
}

/// Timeouts, poll interval and retry policy of a client. The defaults are those published
/// for the users of the service.
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// Timeout of a submission or cancellation.
    pub change_timeout: Duration,
    /// Timeout of a poll.
    pub poll_timeout: Duration,
    /// Pause between polls while waiting for the end of a job, varied by up to 10 %.
    pub poll_interval: Duration,
    /// Policy for retries of failed calls.
    pub retry: Policy,
}

impl Default for ClientOptions {
    fn default() -> Self {
        ClientOptions {
            change_timeout: Duration::from_secs(5),
            poll_timeout: Duration::from_secs(2),
            poll_interval: Duration::from_secs(5),
            retry: Policy::default(),
        }
    }
}

/// A client of the service. It is cheap to clone: clones share their connections and the
/// recorded outcomes of calls to each controller.
#[derive(Clone)]
pub struct Client {
    inner: Arc<Inner>,
}

/// The state that the clones of a client share.
struct Inner {
    http: reqwest::Client,
    endpoints: Mutex<Endpoints>,
    options: ClientOptions,
    observer: Option<Arc<dyn Observer>>,
    /// Start of the client's clock, see [`Client::now`].
    created_at: Instant,
}

/// A complete HTTP response.
struct Response {
    status: u16,
    retry_after: Option<Duration>,
    body: Vec<u8>,
}

impl Response {
    /// The state of the job, if the body contains it.
    fn state(&self) -> Option<JobState<'static>> {
        decode(&self.body).ok()
    }

    /// The reason for a refusal, as text.
    fn reason(&self) -> String {
        decode::<ErrorBody>(&self.body).map_or_else(|_| "no reason given".into(), |body| body.error.into_owned())
    }
}

/// What a response means for the call that it answers.
enum Decision<T> {
    /// The call ends with this result.
    Final(Result<T, ClientError>),
    /// The call is attempted again.
    Retry,
}

impl Client {
    /// Creates a client with the default [`ClientOptions`] and without an observer.
    ///
    /// # Errors
    /// [`ClientError::NoControllers`] and [`ClientError::Setup`].
    pub fn new(controllers: impl IntoIterator<Item = SocketAddr>) -> Result<Client, ClientError> {
        Client::with_options(controllers, ClientOptions::default(), None)
    }

    /// Creates a client with the given options and, optionally, an observer that receives
    /// every attempt.
    ///
    /// # Errors
    /// [`ClientError::NoControllers`] and [`ClientError::Setup`].
    pub fn with_options(
        controllers: impl IntoIterator<Item = SocketAddr>,
        options: ClientOptions,
        observer: Option<Arc<dyn Observer>>,
    ) -> Result<Client, ClientError> {
        let endpoints = Endpoints::new(controllers);
        if endpoints.is_empty() {
            return Err(ClientError::NoControllers);
        }
        let http = reqwest::Client::builder()
            .connect_timeout(options.poll_timeout / 4)
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .build()
            .map_err(ClientError::Setup)?;
        let endpoints = Mutex::new(endpoints);
        Ok(Client { inner: Arc::new(Inner { http, endpoints, options, observer, created_at: Instant::now() }) })
    }

    /// Submits a job, with retries. Submitting a job that was accepted before is not an
    /// error; the result is then its current state.
    ///
    /// # Errors
    /// [`ClientError::InvalidJobId`], [`ClientError::Refused`] and [`ClientError::RetriesExhausted`].
    pub async fn submit(&self, spec: &JobSpec) -> Result<JobState<'static>, ClientError> {
        check_job_id(&spec.uid)?;
        let body = encode(spec);
        self.call_with_retries(Operation::Submit, &spec.uid, Some(body), |response| match response.status {
            200 | 201 => match response.state() {
                Some(state) => Decision::Final(Ok(state)),
                None => Decision::Retry,
            },
            400 | 422 => {
                Decision::Final(Err(ClientError::Refused { status: response.status, reason: response.reason() }))
            }
            _ => Decision::Retry,
        })
        .await
    }

    /// Reads the current state of a job, with retries, because a controller refuses the
    /// request while it cannot give an up-to-date answer.
    ///
    /// # Errors
    /// [`ClientError::InvalidJobId`], [`ClientError::NotFound`], [`ClientError::Refused`] and
    /// [`ClientError::RetriesExhausted`].
    pub async fn status(&self, uid: &str) -> Result<JobState<'static>, ClientError> {
        check_job_id(uid)?;
        self.call_with_retries(Operation::Poll, uid, None, decide_on_poll).await
    }

    /// Polls a job until it is done or cancelled, or until the time `limit` has passed.
    /// Failed polls are repeated at the usual interval, however many there are.
    ///
    /// # Errors
    /// [`ClientError::Unfinished`] if the job has not ended within `limit`, and the errors of
    /// [`Client::status`].
    pub async fn wait(&self, uid: &str, limit: Option<Duration>) -> Result<JobState<'static>, ClientError> {
        check_job_id(uid)?;
        let deadline = limit.map(|limit| Instant::now() + limit);
        loop {
            let last_state = match self.call_once(Operation::Poll, uid, None).await {
                Ok(response) => match decide_on_poll(&response) {
                    Decision::Final(Ok(state)) if is_final(state.status) => return Ok(state),
                    Decision::Final(Ok(state)) => Some(state),
                    Decision::Final(Err(error)) => return Err(error),
                    Decision::Retry => None,
                },
                Err(_) => None,
            };
            let pause = scale_duration(self.inner.options.poll_interval, rand::random_range(0.9..1.1));
            if deadline.is_some_and(|deadline| Instant::now() + pause > deadline) {
                // If the last poll failed, one call with retries still gets the job's state.
                let state = match last_state {
                    Some(state) => state,
                    None => self.status(uid).await?,
                };
                return if is_final(state.status) { Ok(state) } else { Err(ClientError::Unfinished(state)) };
            }
            tokio::time::sleep(pause).await;
        }
    }

    /// Cancels a job, with retries. The result is the final state: cancelled, or done if
    /// the job was complete first.
    ///
    /// # Errors
    /// [`ClientError::InvalidJobId`], [`ClientError::NotFound`], [`ClientError::Refused`] and
    /// [`ClientError::RetriesExhausted`].
    pub async fn cancel(&self, uid: &str) -> Result<JobState<'static>, ClientError> {
        check_job_id(uid)?;
        self.call_with_retries(Operation::Cancel, uid, Some(Vec::new()), |response| {
            match (response.status, response.state()) {
                (200, Some(state)) if is_final(state.status) => Decision::Final(Ok(state)),
                (404, _) => Decision::Final(Err(ClientError::NotFound)),
                (400, _) => Decision::Final(Err(ClientError::Refused { status: 400, reason: response.reason() })),
                _ => Decision::Retry,
            }
        })
        .await
    }

    /// Makes attempts until `decide` calls a response final or the retry budget is used up.
    async fn call_with_retries<T>(
        &self,
        operation: Operation,
        uid: &str,
        body: Option<Vec<u8>>,
        decide: impl Fn(&Response) -> Decision<T>,
    ) -> Result<T, ClientError> {
        let mut budget = Budget::new(self.inner.options.retry.clone(), self.now());
        loop {
            let (last_error, retry_after) = match self.call_once(operation, uid, body.clone()).await {
                Ok(response) => match decide(&response) {
                    Decision::Final(result) => return result,
                    Decision::Retry => (format!("status {}", response.status), response.retry_after),
                },
                Err(error) => (error, None),
            };
            match budget.next_pause(self.now(), retry_after, rand::random()) {
                Some(pause) => tokio::time::sleep(pause).await,
                None => {
                    let (attempts, elapsed) = (budget.failed_attempts(), self.now() - budget.started_at());
                    return Err(ClientError::RetriesExhausted { attempts, elapsed, last_error });
                }
            }
        }
    }

    /// Makes one attempt at a controller that [`Endpoints::pick`] chooses, records its
    /// outcome and reports it to the observer.
    async fn call_once(&self, operation: Operation, uid: &str, body: Option<Vec<u8>>) -> Result<Response, String> {
        let (index, address) = self.with_endpoints(|endpoints, now| endpoints.pick(now, rand::random()));
        let started_at = Instant::now();
        let result = self.send(operation, uid, address, body).await;
        let outcome = match &result {
            Ok(response) if response.status < 500 && response.status != 429 => CallOutcome::Served,
            Ok(_) => CallOutcome::Refused,
            Err(_) => CallOutcome::Unanswered,
        };
        self.with_endpoints(|endpoints, now| endpoints.record(index, now, outcome));
        if let Some(observer) = &self.inner.observer {
            observer.on_attempt(&Attempt {
                operation,
                uid: uid.to_string(),
                address,
                started_at,
                finished_at: Instant::now(),
                status: result.as_ref().ok().map(|response| response.status),
                state: result.as_ref().ok().and_then(Response::state),
            });
        }
        result
    }

    /// Sends one request to a controller and reads the response, which may be no longer
    /// than [`MAX_BODY_BYTES`]. An error is text that names the address and the cause.
    async fn send(
        &self,
        operation: Operation,
        uid: &str,
        address: SocketAddr,
        body: Option<Vec<u8>>,
    ) -> Result<Response, String> {
        let (path, timeout) = match operation {
            Operation::Submit => ("/work".to_string(), self.inner.options.change_timeout),
            Operation::Poll => (format!("/work/{uid}"), self.inner.options.poll_timeout),
            Operation::Cancel => (format!("/work/{uid}/withdraw"), self.inner.options.change_timeout),
        };
        let url = format!("http://{address}{path}");
        let request = match body {
            Some(body) => self.inner.http.post(url).header("content-type", "application/cbor").body(body),
            None => self.inner.http.get(url),
        };
        let root_cause = |error: reqwest::Error| {
            let mut cause: &dyn std::error::Error = &error;
            while let Some(source) = cause.source() {
                cause = source;
            }
            format!("{address}: {cause}")
        };
        let mut response = request.timeout(timeout).send().await.map_err(root_cause)?;
        let status = response.status().as_u16();
        let retry_after = response
            .headers()
            .get("retry-after")
            .and_then(|value| value.to_str().ok()?.trim().parse().ok())
            .map(Duration::from_secs);
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(root_cause)? {
            body.extend_from_slice(&chunk);
            if body.len() > MAX_BODY_BYTES {
                return Err(format!("{address}: the response exceeds {MAX_BODY_BYTES} bytes"));
            }
        }
        Ok(Response { status, retry_after, body })
    }

    /// The time since the client was created, which the endpoints and retry budgets use as
    /// their clock.
    fn now(&self) -> Duration {
        self.inner.created_at.elapsed()
    }

    /// Runs `f` on the endpoints and the current time, under the lock of the endpoints.
    fn with_endpoints<T>(&self, f: impl FnOnce(&mut Endpoints, Duration) -> T) -> T {
        let now = self.now();
        f(&mut self.inner.endpoints.lock().unwrap_or_else(PoisonError::into_inner), now)
    }
}

/// Decides how to continue after the response to a poll.
fn decide_on_poll(response: &Response) -> Decision<JobState<'static>> {
    match (response.status, response.state()) {
        (200, Some(state)) => Decision::Final(Ok(state)),
        (404, _) => Decision::Final(Err(ClientError::NotFound)),
        (400, _) => Decision::Final(Err(ClientError::Refused { status: 400, reason: response.reason() })),
        _ => Decision::Retry,
    }
}

/// Whether a job with this status has ended.
fn is_final(status: Status) -> bool {
    matches!(status, Status::Done | Status::Cancelled)
}

/// Returns an error unless the text is a valid job id.
fn check_job_id(uid: &str) -> Result<(), ClientError> {
    if is_valid_job_id(uid) { Ok(()) } else { Err(ClientError::InvalidJobId(uid.into())) }
}
