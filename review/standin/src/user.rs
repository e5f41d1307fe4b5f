//! Users: they submit jobs, ask about them and cancel them, as PROTOCOL describes it.

use crate::cbor::Value;
use crate::http::{Answer, call};
use crate::world::World;
use std::time::{Duration, Instant};

/// The path of jobs.
const JOBS: &str = "/work";

/// A job, with the fields that a case does not set at plain values.
pub fn job(uid: &str, fields: &[(&str, Value)]) -> Value {
    let mut job = crate::map! {
        "uid" => uid, "docket" => "return-assembly", "desk" => "preparers", "form" => "batch", "urgency" => "standard",
        "parcels" => 1u64, "cores" => 1.0, "gpus" => 0.0, "mem_gb" => 1.0, "bundle" => "img-01", "size_gb" => 0.2,
        "builds" => Value::Null, "site" => Value::Null, "together" => false, "apart" => false, "loaners" => false,
        "expected_s" => 0.0, "stamp_every_s" => 0.0, "stamp_s" => 0.0, "due_s" => Value::Null,
    };
    if let Value::Map(entries) = &mut job {
        for (key, value) in fields {
            if let Some(entry) = entries.iter_mut().find(|(name, _)| name == key) {
                entry.1 = value.clone();
            }
        }
    }
    job
}

/// Sends a request to one controller after the other until it gets an answer that counts, for
/// `limit` in all.
fn insist(
    world: &World,
    method: &str,
    path: &str,
    body: Option<&Value>,
    timeout: f64,
    limit: f64,
    counts: &[u16],
) -> Option<Answer> {
    let start = Instant::now();
    let mut node = path.len() + path.bytes().last().unwrap_or(0) as usize;
    loop {
        node += 1;
        let address = world.nodes[node % world.nodes.len()].1;
        if let Ok((status, body)) = call(&mut None, address, method, path, body, Duration::from_secs_f64(timeout))
            && counts.contains(&status)
        {
            return Some((status, body));
        }
        if start.elapsed().as_secs_f64() > limit {
            return None;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// Submits a job; the status of the answer, 0 if there was none that counts within 60 s.
pub fn submit(world: &World, job: &Value) -> u16 {
    let uid = job.get("uid").text().to_string();
    world.jobs.lock().unwrap().insert(uid.clone(), job.clone());
    let answer = insist(world, "POST", JOBS, Some(job), 5.0, 60.0, &[200, 201, 400, 422]);
    let status = answer.map_or(0, |answer| answer.0);
    world.note(format!("user submitted {uid}: {status}"));
    status
}

/// The status of a job as one poll of the controllers shows it; `None` if none answered.
pub fn poll(world: &World, uid: &str) -> Option<String> {
    let answer = insist(world, "GET", &format!("{JOBS}/{uid}"), None, 2.0, 0.0, &[200, 404])?;
    Some(if answer.0 == 404 { "404".into() } else { answer.1.get("status").text().to_string() })
}

/// Whether a controller is healthy.
pub fn is_healthy(world: &World, node: usize) -> bool {
    let address = world.nodes[node].1;
    call(&mut None, address, "GET", "/healthz", None, Duration::from_secs(1)).is_ok_and(|answer| answer.0 == 200)
}
