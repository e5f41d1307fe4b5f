//! The way in for users beside the load, such as `finchquayctl`: passes their
//! requests on to a controller, and keeps what a user would upload for the
//! machines: the descriptions of the jobs. What passes is in the history.

use crate::history::{Asked, Event, Recorder};
use crate::http::{self, Connection, Reply, Request};
use crate::lock;
use crate::machine::driver::Driver;
use crate::machine::worker::Description;
use finchquay_protocol::user::{JobKind, JobSpec, JobState, Route, route};
use finchquay_protocol::{BODY_LIMIT, decode};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;

/// Longest wait for a controller's answer.
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Clone)]
pub struct Front {
    places: Arc<Vec<(String, SocketAddr)>>,
    driver: Driver,
    recorder: Recorder,
    /// Jobs that came in here.
    known: Arc<Mutex<HashSet<String>>>,
}

impl Front {
    pub fn new(places: Vec<(String, SocketAddr)>, driver: Driver, recorder: Recorder) -> Front {
        Front { places: Arc::new(places), driver, recorder, known: Arc::default() }
    }

    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, BODY_LIMIT, move |request| self.clone().pass(request)).await;
    }

    async fn pass(self, request: Request) -> Reply {
        let about = match route(&request.method, &request.path) {
            Route::Submit => decode::<JobSpec>(&request.body).ok().filter(JobSpec::well_formed).map(|spec| {
                let uid = spec.uid.clone();
                self.upload(spec);
                (Asked::Submit, uid)
            }),
            Route::Poll(uid) => Some((Asked::Poll, uid.to_string())),
            Route::Cancel(uid) => Some((Asked::Cancel, uid.to_string())),
            Route::Health | Route::Heartbeat | Route::WrongMethod | Route::Unknown => None,
        };
        let began_s = self.recorder.now().as_secs_f64();
        let first = rand::random_range(0..self.places.len().max(1));
        let mut answer = None;
        // As a load balancer does: another one where a connection fails.
        for (member, address) in self.places.iter().cycle().skip(first).take(self.places.len()) {
            let mut connection = Connection::default();
            let sent = connection.send(*address, &request.method, &request.path, request.body.clone(), PATIENCE).await;
            if let Some(reply) = sent {
                answer = Some((member.clone(), reply));
                break;
            }
        }
        if let Some((asked, uid)) = about.filter(|(_, uid)| self.known().contains(uid)) {
            let reply = answer.as_ref().map(|(_, r)| r);
            let state = reply.and_then(|r| decode::<JobState>(&r.body).ok());
            self.recorder.record(Event::Call {
                asked,
                uid,
                controller: answer.as_ref().map_or_else(String::new, |(m, _)| m.clone()),
                began_s,
                status: reply.map(|r| r.status),
                state: state.as_ref().map(|s| s.status),
                done: state.map_or(0, |s| s.done),
            });
        }
        answer.map_or_else(|| Reply::empty(503), |(_, reply)| reply)
    }

    fn known(&self) -> std::sync::MutexGuard<'_, HashSet<String>> {
        lock(&self.known)
    }

    /// What the owner estimates is how long the tasks take here.
    fn upload(&self, spec: JobSpec) {
        if !self.known().insert(spec.uid.clone()) {
            return;
        }
        self.recorder.record(Event::Job { spec: spec.clone() });
        let run = if spec.kind == JobKind::Service { f32::INFINITY } else { spec.estimated_run_s.max(0.05) as f32 };
        let run_s = vec![run; spec.task_count as usize];
        self.driver.fleet().upload(Description { spec, run_s, broken: false });
    }
}
