//! Simulated users: they submit the jobs of a scenario through the client library, follow
//! them to their end, cancel some of them, and record every attempt in the history. Besides,
//! some users submit a finished job again, and one more client asks for the status of
//! finished jobs and of jobs that nobody submitted.

use crate::history::{Event, Recorder, UserOperation};
use crate::lock;
use crate::machine::driver::Driver;
use crate::machine::worker::JobDescription;
use crate::scenario::{JobClass, LoadKind, Scenario};
use finchquay_client::{Attempt, Client, ClientError, ClientOptions, Observer, Operation};
use finchquay_protocol::user::{JobKind, JobSpec};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;

/// Pause between two polls of one job.
const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Share of finished jobs that are submitted once more.
const RESUBMITTED_SHARE: f64 = 0.1;

/// Ids of the jobs whose final status was reported to their users.
pub type FinishedJobs = Arc<Mutex<Vec<String>>>;

/// A job to be submitted, and what its user will do with it.
#[derive(Debug, Clone)]
pub struct PlannedJob {
    /// When it is submitted, in seconds after the start of the load.
    pub at_s: f64,
    /// Specification and true behaviour of the job.
    pub description: JobDescription,
    /// Time between the acceptance of the job and its cancellation; `None` if its user does
    /// not cancel it.
    pub cancel_after_s: Option<f64>,
}

/// Draws all jobs of a scenario, in the order of submission. The number of the `session` is
/// part of the job ids, so that those of several runs on the same state differ.
pub fn plan(scenario: &Scenario, session: u32, rng: &mut StdRng) -> Vec<PlannedJob> {
    let mut planned = Vec::new();
    let mut number = 0u32;
    for (class, load) in &scenario.load {
        let mut times = vec![0.0; load.initial as usize];
        if let Ok(gaps) = Exp::new(load.per_minute / 60.0) {
            let mut t = 0.0;
            loop {
                t += gaps.sample(rng);
                if t.is_nan() || t >= scenario.duration_s {
                    break;
                }
                times.push(t);
            }
        }
        for at_s in times {
            number += 1;
            let uid = format!("run-{session:03}{number:06}");
            planned.push(plan_job(uid, class, load, at_s, rng));
        }
    }
    planned.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    planned
}

fn plan_job(uid: String, class: &str, load: &JobClass, at_s: f64, rng: &mut StdRng) -> PlannedJob {
    let tasks = (load.tasks.draw(rng).round() as u32).clamp(1, finchquay_protocol::user::MAX_TASKS_PER_JOB);
    let is_service = load.kind == LoadKind::Service;
    let run_s: Vec<f32> = match load.kind {
        LoadKind::Service => vec![f32::INFINITY; tasks as usize],
        _ => (0..tasks).map(|_| load.run_s.draw(rng).max(0.05) as f32).collect(),
    };
    let mean_s = run_s.iter().map(|s| f64::from(*s)).sum::<f64>() / f64::from(tasks);
    // Estimates by users are often wrong by about half.
    let estimated_run_s = if is_service { 0.0 } else { mean_s * rng.random_range(0.6..1.6) };
    let lifetime_s = is_service.then(|| load.run_s.draw(rng));
    let early_cancel_s =
        rng.random_bool(load.cancelled_share).then(|| rng.random_range(0.0..estimated_run_s.max(4.0) * 2.0));
    let spec = JobSpec {
        uid,
        class: class.into(),
        team: load.team.clone(),
        kind: match load.kind {
            LoadKind::Array => JobKind::Array,
            LoadKind::Gang => JobKind::Gang,
            LoadKind::Service => JobKind::Service,
        },
        priority: load.priority,
        task_count: tasks,
        cores: load.cpus,
        gpus: load.gpus,
        mem_gb: load.memory_gb,
        image: format!("{class}-{}", rng.random_range(0..load.images)),
        image_gb: load.image_gb,
        machine_types: None,
        zone: None,
        zone_affinity: load.zone_affinity,
        zone_anti_affinity: load.zone_anti_affinity,
        spot_allowed: load.spot,
        estimated_run_s,
        checkpoint_interval_s: load.checkpoint_interval_s,
        checkpoint_duration_s: load.checkpoint_duration_s,
        deadline_s: load.deadline_factor.map(|factor| factor * estimated_run_s + 10.0),
    };
    PlannedJob {
        at_s,
        description: JobDescription { spec, run_s, always_fails: false },
        cancel_after_s: early_cancel_s.or(lifetime_s),
    }
}

/// Records every attempt of the client in the history.
struct AttemptRecorder {
    recorder: Recorder,
    /// Names of the controllers by address.
    names: HashMap<SocketAddr, String>,
}

impl Observer for AttemptRecorder {
    fn on_attempt(&self, attempt: &Attempt) {
        self.recorder.record(Event::UserRequest {
            operation: match attempt.operation {
                Operation::Submit => UserOperation::Submit,
                Operation::Poll => UserOperation::Poll,
                Operation::Cancel => UserOperation::Cancel,
            },
            uid: attempt.uid.clone(),
            controller: self.names.get(&attempt.address).cloned().unwrap_or_default(),
            began_s: self.recorder.seconds_at(attempt.started_at),
            status: attempt.status,
            state: attempt.state.as_ref().map(|state| state.status),
            done: attempt.state.as_ref().map_or(0, |state| state.done),
        });
    }
}

/// Creates the client of the users, whose attempts are recorded in the history.
/// `controllers` are names and addresses.
pub fn client(controllers: &[(String, SocketAddr)], recorder: &Recorder) -> Result<Client, ClientError> {
    let names = controllers.iter().map(|(name, address)| (*address, name.clone())).collect();
    let observer = AttemptRecorder { recorder: recorder.clone(), names };
    let options = ClientOptions { poll_interval: POLL_INTERVAL, ..ClientOptions::default() };
    Client::with_options(controllers.iter().map(|(_, address)| *address), options, Some(Arc::new(observer)))
}

/// Spawns a task for the user of each job. The set is empty once every user has followed
/// its job to the end. Ids of finished jobs are added to `finished`.
pub fn spawn_users(
    jobs: Vec<PlannedJob>,
    client: &Client,
    driver: &Driver,
    recorder: &Recorder,
    seed: u64,
    finished: &FinishedJobs,
) -> JoinSet<()> {
    let mut users = JoinSet::new();
    let began = recorder.now();
    for (i, job) in jobs.into_iter().enumerate() {
        let (client, driver, recorder, finished) = (client.clone(), driver.clone(), recorder.clone(), finished.clone());
        let rng = StdRng::seed_from_u64(seed.wrapping_add(i as u64));
        users.spawn(async move {
            let submit_at = began + Duration::from_secs_f64(job.at_s);
            tokio::time::sleep(submit_at.saturating_sub(recorder.now())).await;
            recorder.record(Event::Job { spec: job.description.spec.clone() });
            driver.fleet().upload(job.description.clone());
            follow_job(&client, &job, rng, &finished).await;
        });
    }
    users
}

/// Queries the status of jobs until the future is dropped: finished jobs, whose final status must not
/// change, and every sixteenth time an id that nobody uses, which must get 404.
pub async fn query_jobs(client: Client, finished: FinishedJobs) {
    let mut count = 0;
    loop {
        tokio::time::sleep(POLL_INTERVAL / 8).await;
        count += 1;
        if count % 16 == 0 {
            let _ = client.status(&format!("run-999{count:09}")).await;
            continue;
        }
        let uid = {
            let finished = lock(&finished);
            (!finished.is_empty()).then(|| finished[rand::random_range(0..finished.len())].clone())
        };
        if let Some(uid) = uid {
            let _ = client.status(&uid).await;
        }
    }
}

/// Follows a job of an earlier run on the same state to its end, or cancels it.
pub async fn follow_earlier_job(client: Client, uid: String, cancel: bool) {
    if cancel {
        let _ = client.cancel(&uid).await;
    } else {
        let _ = client.wait(&uid, None).await;
    }
}

/// Acts as the user of one job, from its submission until after its end.
async fn follow_job(client: &Client, job: &PlannedJob, mut rng: impl Rng, finished: &FinishedJobs) {
    let spec = &job.description.spec;
    if client.submit(spec).await.is_err() {
        return;
    }
    let end = match job.cancel_after_s {
        None => client.wait(&spec.uid, None).await,
        Some(after_s) => match client.wait(&spec.uid, Some(Duration::from_secs_f64(after_s))).await {
            Ok(end) => Ok(end),
            Err(_) => loop {
                // The user repeats the cancellation until it is answered.
                match client.cancel(&spec.uid).await {
                    Err(ClientError::RetriesExhausted { .. }) => {}
                    other => break other,
                }
            },
        },
    };
    if end.is_err() {
        return;
    }
    lock(finished).push(spec.uid.clone());
    tokio::time::sleep(Duration::from_secs_f64(rng.random_range(0.5..4.0))).await;
    if rng.random_bool(RESUBMITTED_SHARE) {
        let _ = client.submit(spec).await;
    } else {
        let _ = client.status(&spec.uid).await;
    }
}

#[cfg(test)]
mod tests;
