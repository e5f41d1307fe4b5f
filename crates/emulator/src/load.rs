//! Users: they submit jobs as the scenario says, follow them to their end and
//! cancel some, through the client library, and leave every attempt in the
//! history. Somebody asks about jobs that are over and about jobs that nobody
//! submitted, and some submit a job again that is over.

use crate::history::{Asked, Event, Recorder};
use crate::lock;
use crate::machine::driver::Driver;
use crate::machine::worker::Description;
use crate::scenario::{Kind, Load, Scenario};
use finchquay_client::{Attempt, Client, ClientError, Observer, Operation, Times};
use finchquay_protocol::user::{JobKind, JobSpec};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;

/// Pause between polls of one job.
const POLL_EVERY: Duration = Duration::from_secs(2);
/// Jobs whose users have seen their end.
pub type Over = Arc<Mutex<Vec<String>>>;

/// Share of finished jobs that are submitted once more.
const REPEATED: f64 = 0.1;

/// One job, and what its user will do.
#[derive(Debug, Clone)]
pub struct Planned {
    pub at_s: f64,
    pub description: Description,
    /// Withdrawn so long after it was accepted.
    pub cancel_after_s: Option<f64>,
}

/// All jobs of a scenario, by seed. `session` keeps ids of several runs on one state apart.
pub fn plan(s: &Scenario, session: u32, rng: &mut StdRng) -> Vec<Planned> {
    let mut out = Vec::new();
    let mut number = 0u32;
    for (class, load) in &s.load {
        let mut times = vec![0.0; load.initial as usize];
        if let Ok(gaps) = Exp::new(load.per_minute / 60.0) {
            let mut t = 0.0;
            loop {
                t += gaps.sample(rng);
                if t.is_nan() || t >= s.duration_s {
                    break;
                }
                times.push(t);
            }
        }
        for at_s in times {
            number += 1;
            let uid = format!("run-{session:03}{number:06}");
            out.push(job(uid, class, load, at_s, rng));
        }
    }
    out.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    out
}

fn job(uid: String, class: &str, l: &Load, at_s: f64, rng: &mut StdRng) -> Planned {
    let tasks = (l.tasks.draw(rng).round() as u32).clamp(1, finchquay_protocol::user::TASKS_LIMIT);
    let standing = l.kind == Kind::Service;
    let run_s: Vec<f32> = match l.kind {
        Kind::Service => vec![f32::INFINITY; tasks as usize],
        _ => (0..tasks).map(|_| l.run_s.draw(rng).max(0.05) as f32).collect(),
    };
    let mean = run_s.iter().map(|s| f64::from(*s)).sum::<f64>() / f64::from(tasks);
    // Estimates are often wrong by half.
    let estimated_run_s = if standing { 0.0 } else { mean * rng.random_range(0.6..1.6) };
    let lifetime = standing.then(|| l.run_s.draw(rng));
    let early = rng.random_bool(l.cancelled).then(|| rng.random_range(0.0..estimated_run_s.max(4.0) * 2.0));
    let spec = JobSpec {
        uid,
        class: class.into(),
        team: l.team.clone(),
        kind: match l.kind {
            Kind::Array => JobKind::Array,
            Kind::Gang => JobKind::Gang,
            Kind::Service => JobKind::Service,
        },
        priority: l.priority,
        task_count: tasks,
        cores: l.cpus,
        gpus: l.gpus,
        mem_gb: l.memory_gb,
        image: format!("{class}-{}", rng.random_range(0..l.images)),
        image_gb: l.image_gb,
        machine_types: None,
        zone: None,
        zone_affinity: l.one_zone,
        zone_anti_affinity: l.spread,
        spot_allowed: l.spot,
        estimated_run_s,
        checkpoint_interval_s: l.checkpoint_s,
        checkpoint_duration_s: l.save_s,
        deadline_s: l.deadline_factor.map(|f| f * estimated_run_s + 10.0),
    };
    Planned { at_s, description: Description { spec, run_s, broken: false }, cancel_after_s: early.or(lifetime) }
}

/// Writes every attempt of the client into the history.
struct Notes {
    recorder: Recorder,
    names: HashMap<SocketAddr, String>,
}

impl Observer for Notes {
    fn attempt(&self, a: &Attempt) {
        self.recorder.record(Event::Call {
            asked: match a.operation {
                Operation::Submit => Asked::Submit,
                Operation::Poll => Asked::Poll,
                Operation::Cancel => Asked::Cancel,
            },
            uid: a.uid.clone(),
            controller: self.names.get(&a.address).cloned().unwrap_or_default(),
            began_s: self.recorder.seconds(a.began),
            status: a.status,
            state: a.state.as_ref().map(|s| s.status),
            done: a.state.as_ref().map_or(0, |s| s.done),
        });
    }
}

/// The users' client, noting all it does.
pub fn client(places: &[(String, SocketAddr)], recorder: &Recorder) -> Result<Client, ClientError> {
    let names = places.iter().map(|(n, a)| (*a, n.clone())).collect();
    let notes = Notes { recorder: recorder.clone(), names };
    let times = Times { poll_every: POLL_EVERY, ..Times::default() };
    Client::with(places.iter().map(|(_, a)| *a), times, Some(Arc::new(notes)))
}

/// Plays all users; the set is empty once every one has seen the end of its job.
pub fn play(
    jobs: Vec<Planned>,
    client: &Client,
    driver: &Driver,
    recorder: &Recorder,
    seed: u64,
    over: &Over,
) -> JoinSet<()> {
    let mut users = JoinSet::new();
    let began = recorder.now();
    for (i, job) in jobs.into_iter().enumerate() {
        let (client, driver, recorder, over) = (client.clone(), driver.clone(), recorder.clone(), over.clone());
        let rng = StdRng::seed_from_u64(seed.wrapping_add(i as u64));
        users.spawn(async move {
            let at = began + Duration::from_secs_f64(job.at_s);
            tokio::time::sleep(at.saturating_sub(recorder.now())).await;
            recorder.record(Event::Job { spec: job.description.spec.clone() });
            driver.fleet().upload(job.description.clone());
            user(&client, &job, rng, &over).await;
        });
    }
    users
}

/// Asks until it is dropped: about jobs that are over, whose end must stay,
/// and now and then about ids that nobody uses, whose answer must be 404.
pub async fn curious(client: Client, over: Over) {
    let mut n = 0;
    loop {
        tokio::time::sleep(POLL_EVERY / 8).await;
        n += 1;
        if n % 16 == 0 {
            let _ = client.status(&format!("run-999{n:09}")).await;
            continue;
        }
        let uid = {
            let over = lock(&over);
            (!over.is_empty()).then(|| over[rand::random_range(0..over.len())].clone())
        };
        if let Some(uid) = uid {
            let _ = client.status(&uid).await;
        }
    }
}

/// Follows a job of an earlier run on the same state to its end.
pub async fn resume(client: Client, uid: String, cancel: bool) {
    if cancel {
        let _ = client.cancel(&uid).await;
    } else {
        let _ = client.wait(&uid, None).await;
    }
}

async fn user(client: &Client, job: &Planned, mut rng: impl Rng, over: &Over) {
    let spec = &job.description.spec;
    if client.submit(spec).await.is_err() {
        return;
    }
    let end = match job.cancel_after_s {
        None => client.wait(&spec.uid, None).await,
        Some(after) => match client.wait(&spec.uid, Some(Duration::from_secs_f64(after))).await {
            Ok(end) => Ok(end),
            Err(_) => loop {
                // A user who wants it gone goes on asking.
                match client.cancel(&spec.uid).await {
                    Err(ClientError::Exhausted { .. }) => {}
                    other => break other,
                }
            },
        },
    };
    if end.is_err() {
        return;
    }
    lock(over).push(spec.uid.clone());
    tokio::time::sleep(Duration::from_secs_f64(rng.random_range(0.5..4.0))).await;
    if rng.random_bool(REPEATED) {
        let _ = client.submit(spec).await;
    } else {
        let _ = client.status(&spec.uid).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_same_seed_plans_the_same_jobs_and_all_are_well_formed() {
        let s = Scenario::parse("s", include_str!("../scenarios/filing-eve.hcl")).unwrap();
        let plan = |seed| plan(&s, 1, &mut StdRng::seed_from_u64(seed));
        let (a, b) = (plan(4), plan(4));
        assert!(a.len() > 10 && a.iter().all(|j| j.description.spec.well_formed()));
        assert_eq!(format!("{a:?}"), format!("{b:?}"));
        assert_ne!(format!("{a:?}"), format!("{:?}", plan(5)));
        assert!(
            a.iter().all(|j| (j.description.spec.kind == JobKind::Service) == j.description.run_s[0].is_infinite())
        );
        assert!(a.is_sorted_by(|x, y| x.at_s <= y.at_s));
    }
}
