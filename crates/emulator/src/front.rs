//! Front end for users other than the generated load, such as `finchquayctl`: forwards
//! their requests to a controller, uploads the descriptions of their jobs for the simulated
//! machines, and records the requests in the history.

use crate::history::{Event, Recorder, UserOperation};
use crate::http::{self, Connection, Request, Response};
use crate::lock;
use crate::machine::driver::Driver;
use crate::machine::worker::JobDescription;
use finchquay_protocol::user::{JobKind, JobSpec, JobState, Route, route};
use finchquay_protocol::{MAX_BODY_BYTES, decode};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;

/// Longest wait for the response of a controller.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Front end that forwards requests to the controllers.
#[derive(Clone)]
pub struct FrontEnd {
    /// Names and addresses of the controllers.
    controllers: Arc<Vec<(String, SocketAddr)>>,
    driver: Driver,
    recorder: Recorder,
    /// Jobs that were submitted here.
    submitted: Arc<Mutex<HashSet<String>>>,
}

impl FrontEnd {
    /// Creates a front end for controllers with these names and addresses.
    pub fn new(controllers: Vec<(String, SocketAddr)>, driver: Driver, recorder: Recorder) -> FrontEnd {
        FrontEnd { controllers: Arc::new(controllers), driver, recorder, submitted: Arc::default() }
    }

    /// Serves a listener until the returned future is dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, MAX_BODY_BYTES, move |request| self.clone().forward(request)).await;
    }

    /// Forwards one request and records it, if it is about a job that was submitted here.
    async fn forward(self, request: Request) -> Response {
        let operation = match route(&request.method, &request.path) {
            Route::Submit => decode::<JobSpec>(&request.body).ok().filter(JobSpec::is_well_formed).map(|spec| {
                let uid = spec.uid.clone();
                self.upload(spec);
                (UserOperation::Submit, uid)
            }),
            Route::JobStatus(uid) => Some((UserOperation::Poll, uid.to_string())),
            Route::Cancel(uid) => Some((UserOperation::Cancel, uid.to_string())),
            Route::Health | Route::Heartbeat | Route::WrongMethod | Route::Unknown => None,
        };
        let began_s = self.recorder.now().as_secs_f64();
        let first = rand::random_range(0..self.controllers.len().max(1));
        let mut answer = None;
        // Like a load balancer, tries the next controller when a request fails.
        for (member, address) in self.controllers.iter().cycle().skip(first).take(self.controllers.len()) {
            let mut connection = Connection::default();
            let response =
                connection.send(*address, &request.method, &request.path, request.body.clone(), RESPONSE_TIMEOUT).await;
            if let Some(response) = response {
                answer = Some((member.clone(), response));
                break;
            }
        }
        if let Some((operation, uid)) = operation.filter(|(_, uid)| self.submitted().contains(uid)) {
            let response = answer.as_ref().map(|(_, response)| response);
            let state = response.and_then(|response| decode::<JobState>(&response.body).ok());
            self.recorder.record(Event::UserRequest {
                operation,
                uid,
                controller: answer.as_ref().map_or_else(String::new, |(member, _)| member.clone()),
                began_s,
                status: response.map(|response| response.status),
                state: state.as_ref().map(|state| state.status),
                done: state.map_or(0, |state| state.done),
            });
        }
        answer.map_or_else(|| Response::empty(503), |(_, response)| response)
    }

    fn submitted(&self) -> std::sync::MutexGuard<'_, HashSet<String>> {
        lock(&self.submitted)
    }

    /// Uploads the description of a new job. Its tasks run exactly as long as estimated in
    /// the submission.
    fn upload(&self, spec: JobSpec) {
        if !self.submitted().insert(spec.uid.clone()) {
            return;
        }
        self.recorder.record(Event::Job { spec: spec.clone() });
        let task_run_s =
            if spec.kind == JobKind::Service { f32::INFINITY } else { spec.estimated_run_s.max(0.05) as f32 };
        let run_s = vec![task_run_s; spec.task_count as usize];
        self.driver.fleet().upload(JobDescription { spec, run_s, always_fails: false });
    }
}
