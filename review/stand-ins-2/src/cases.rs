//! The cases. Each returns an error if it could not run, and otherwise whether the rule held.

use crate::cloud::{Build, Capacity};
use crate::cluster::{Cluster, Site};
use crate::record::Record;
use crate::state::Limits;
use crate::worker::{JobInfo, Times};
use ciborium::Value;
use std::path::PathBuf;
use std::time::{Duration, Instant};

pub struct Context {
    pub root: PathBuf,
    pub dir: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

type Outcome = Result<Result<(), String>, String>;

pub fn run(case: &str, context: &Context) -> Outcome {
    match case {
        "ended-jobs" => ended_jobs(context),
        "broken-job" => broken_job(context),
        "apart-gang" => apart_gang(context),
        "small-tasks" => small_tasks(context),
        "stale-answer" => stale_answer(context),
        _ => Err(format!("no such case: {case}")),
    }
}

impl Context {
    fn start(&self, site: Site) -> Cluster {
        Cluster::start(site, &self.root, &self.dir, self.record.clone())
    }
}

/// The first deployment of the brief: its machines, limits, teams and aims.
fn returns_site() -> Site {
    let objectives = "
[[settings.objectives]]
kind = \"wait\"
class = \"intake-portal\"
within_s = 6.0
share = 0.9
[[settings.objectives]]
kind = \"finished\"
class = \"return-assembly\"
within_s = 120.0
share = 0.88
[[settings.objectives]]
kind = \"deadline\"
class = \"notice-recon\"
share = 0.9
times = 1.0
";
    let build = |label, cores, mem_gb, hourly, spot_price, startup_s| Build {
        label,
        cores,
        mem_gb,
        pull_gb_per_s: 0.5,
        hourly,
        spot_price,
        startup_s,
        sites: vec!["tbilisi-dc"],
    };
    Site {
        zones: vec!["tbilisi-dc"],
        teams: vec![
            ("intake-desk", 0.0, 0.0),
            ("preparers", 0.0, 0.0),
            ("payroll-unit", 0.0, 0.0),
            ("review-cell", 0.0, 0.0),
            ("audit-analytics", 0.0, 0.0),
        ],
        objectives,
        times: Times { report_s: 2.0, lease_s: 18.0, gang_wait_s: 40.0, gang_peer_s: 4.0 },
        cancel_s: 48.0,
        state: Limits { rps: 200.0, write_rps: 80.0, value_kb: 8.0, txn_ops: 32 },
        cloud_rps: 3.0,
        list_lag_s: 8.0,
        core_share: 0.08,
        ram_mb: 56.0,
        max_connections: 800,
        builds: vec![
            build("kutaisi-small", 4.0, 16.0, 0.15, 0.05, 25.0),
            build("batumi-std", 8.0, 64.0, 0.37, 0.14, 40.0),
        ],
        capacity: Capacity::new(),
        boot_s: 20.0,
    }
}

fn batch(parcels: u64, cores: f64, mem_gb: f64, run_s: f64) -> JobInfo {
    JobInfo {
        form: "batch".into(),
        parcels,
        cores,
        mem_gb,
        bundle: "img-01".into(),
        size_gb: 0.6,
        run_s,
        broken: false,
    }
}

fn sleep_s(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// Waits until every machine is answered by a controller, each by another one.
fn wait_for_owners(cluster: &Cluster, names: &[String], limit_s: f64) -> Result<Vec<String>, String> {
    let owners = || -> Vec<String> {
        names.iter().map(|name| cluster.cloud.worker(name).map_or(String::new(), |worker| worker.owner())).collect()
    };
    cluster.wait("all machines are answered by controllers", limit_s, || owners().iter().all(|o| !o.is_empty()))?;
    sleep_s(6.0);
    let owners = owners();
    cluster.record.line(&format!("machines {names:?} are answered by {owners:?}"));
    Ok(owners)
}

/// Polls the jobs until all are done or the time is over, and returns those that are not done.
fn wait_until_done(cluster: &Cluster, uids: &[String], limit_s: f64) -> Vec<String> {
    let until = Instant::now() + Duration::from_secs_f64(limit_s);
    let mut left: Vec<String> = uids.to_vec();
    while !left.is_empty() && Instant::now() < until {
        sleep_s(2.0);
        left.retain(|uid| cluster.poll(uid).is_none_or(|(status, ..)| status != "done"));
    }
    for uid in uids {
        cluster.poll_recorded(uid);
    }
    left
}

/// The second deployment of the brief: its machines, limits, teams and aims.
fn transfers_site() -> Site {
    let objectives = "
[[settings.objectives]]
kind = \"wait\"
class = \"transfer-switch\"
within_s = 1.0
share = 0.95
[[settings.objectives]]
kind = \"deadline\"
class = \"fraud-score\"
share = 0.97
times = 1.0
";
    let build = |label, cores, mem_gb, pull_gb_per_s, hourly, spot_price, startup_s, sites| Build {
        label,
        cores,
        mem_gb,
        pull_gb_per_s,
        hourly,
        spot_price,
        startup_s,
        sites,
    };
    Site {
        zones: vec!["montevideo-a", "paysandu-b"],
        teams: ["switch-team", "treasury", "risk-desk", "member-research"].map(|name| (name, 0.0, 0.0)).to_vec(),
        objectives,
        times: Times { report_s: 3.0, lease_s: 36.0, gang_wait_s: 35.0, gang_peer_s: 8.0 },
        cancel_s: 56.0,
        state: Limits { rps: 200.0, write_rps: 50.0, value_kb: 8.0, txn_ops: 24 },
        cloud_rps: 8.0,
        list_lag_s: 5.0,
        core_share: 0.24,
        ram_mb: 104.0,
        max_connections: 3500,
        builds: vec![
            build("cerro-16", 16.0, 128.0, 0.3, 1.05, 0.43, 30.0, vec!["montevideo-a", "paysandu-b"]),
            build("rambla-64", 64.0, 512.0, 0.2, 4.2, 1.7, 25.0, vec!["montevideo-a"]),
        ],
        capacity: Capacity::new(),
        boot_s: 20.0,
    }
}

/// One job of many small tasks: the report of the machine that gets them exceeds 64 KiB.
fn small_tasks(context: &Context) -> Outcome {
    let cluster = context.start(transfers_site());
    let machine = cluster.cloud.add_running("rambla-64", "montevideo-a", false, 0);
    cluster.wait_healthy(20.0)?;
    wait_for_owners(&cluster, std::slice::from_ref(&machine), 20.0)?;
    let mut service = batch(1, 1.0, 5.0, 0.0);
    service.form = "standing".into();
    let production = || vec![("urgency", Value::Text("production".into()))];
    cluster.submit("run-000001", "transfer-switch", "switch-team", &service, production(), None)?;
    cluster.wait("the service runs", 20.0, || cluster.world.started("run-000001") == 1)?;
    let tasks = if context.trouble { 2000 } else { 800 };
    cluster.submit("run-000100", "quick-tabs", "member-research", &batch(tasks, 0.03, 0.2, 10.0), vec![], None)?;
    let begun = Instant::now();
    let mut status = String::new();
    while begun.elapsed().as_secs_f64() < 95.0 && status != "done" {
        sleep_s(5.0);
        if let Some(worker) = cluster.cloud.worker(&machine) {
            let (session, answers, largest) = worker.summary();
            cluster.record.line(&format!(
                "{machine}: session {session}, reports by answer {answers:?}, largest report {largest} bytes"
            ));
        }
        status = cluster.poll_recorded("run-000100").map_or(status, |state| state.0);
    }
    let (starts, service_starts) = (cluster.world.started("run-000100"), cluster.world.started("run-000001"));
    let text = format!(
        "{tasks} tasks, {starts} starts, the service beside them started {service_starts} times, status {status}"
    );
    cluster.record.line(&text);
    if status == "done" && service_starts == 1 { Ok(Ok(())) } else { Ok(Err(text)) }
}

/// A gang whose tasks must be in two zones loses a spot machine, and is not started again on the two machines
/// that are left for it.
fn apart_gang(context: &Context) -> Outcome {
    let mut site = transfers_site();
    for zone in ["montevideo-a", "paysandu-b"] {
        site.capacity.insert(("cerro-16", zone, false), 5);
    }
    // The first controller has a machine in each zone, the others have one machine each. A machine that comes to
    // another controller first is a reason to begin again.
    let mut attempts = 0;
    let (cluster, taken) = loop {
        let cluster = context.start(site.clone());
        cluster.wait_healthy(20.0)?;
        sleep_s(1.2);
        let add = |site: &str, loaners: bool, first: usize| cluster.cloud.add_running("cerro-16", site, loaners, first);
        let taken = add("montevideo-a", true, 0);
        let names =
            vec![taken.clone(), add("paysandu-b", false, 0), add("montevideo-a", true, 1), add("paysandu-b", false, 2)];
        let owners = wait_for_owners(&cluster, &names, 20.0)?;
        if owners[0] == owners[1] && owners[0] != owners[2] && owners[0] != owners[3] {
            break (cluster, taken);
        }
        attempts += 1;
        if attempts == 3 {
            return Err(format!("the machines are answered by {owners:?}"));
        }
    };
    let mut gang = batch(2, 4.0, 24.0, 15.0);
    gang.form = "ensemble".into();
    let apart = || vec![("apart", Value::Bool(true)), ("loaners", Value::Bool(true))];
    let uid = "run-000100".to_string();
    cluster.submit(&uid, "end-of-day", "treasury", &gang, apart(), None)?;
    cluster.wait("the gang runs", 25.0, || cluster.world.started(&uid) == 2)?;
    sleep_s(3.0);
    if context.trouble {
        cluster.cloud.take_machine(&taken);
    }
    let left = wait_until_done(&cluster, std::slice::from_ref(&uid), 70.0);
    // The same gang without the condition on zones shows that the machines take gangs.
    cluster.submit("run-000101", "end-of-day", "treasury", &JobInfo { run_s: 3.0, ..gang }, vec![], None)?;
    let other = wait_until_done(&cluster, &["run-000101".to_string()], 10.0);
    cluster
        .record
        .line(&format!("a gang without the condition on zones, submitted now, is done: {}", other.is_empty()));
    if left.is_empty() { Ok(Ok(())) } else { Ok(Err(format!("{uid} waits since its machine was taken"))) }
}

/// A job that fails on every machine waits for its user; jobs that come after it are given to a controller that
/// has no machine, and never start.
fn broken_job(context: &Context) -> Outcome {
    let cluster = context.start(transfers_site());
    let names: Vec<String> = (0..2).map(|n| cluster.cloud.add_running("cerro-16", "montevideo-a", false, n)).collect();
    cluster.wait_healthy(20.0)?;
    wait_for_owners(&cluster, &names, 20.0)?;
    let mut broken = batch(30, 4.0, 24.0, 3.0);
    broken.broken = context.trouble;
    let good = batch(1, 4.0, 24.0, 2.0);
    let uids: Vec<String> = (0..24).map(|n| format!("run-{:06}", 100 + n)).collect();
    for (n, uid) in uids.iter().enumerate() {
        if n == 18 {
            cluster.submit("run-000900", "survey-weights", "member-research", &broken, vec![], None)?;
            sleep_s(5.0);
        }
        cluster.submit(uid, "census-join", "member-research", &good, vec![], None)?;
        sleep_s(0.3);
    }
    let left = wait_until_done(&cluster, &uids, 70.0);
    for uid in &left {
        cluster.record.line(&format!("{uid}: accepted, started {} times", cluster.world.started(uid)));
    }
    if left.is_empty() { Ok(Ok(())) } else { Ok(Err(format!("never started: {left:?}"))) }
}

/// A controller stands still while a poll waits there. Its user cancels the job at another controller meanwhile,
/// and is then told by the first one that the job runs.
fn stale_answer(context: &Context) -> Outcome {
    let cluster = context.start(returns_site());
    let names: Vec<String> =
        (0..3).map(|n| cluster.cloud.add_running("kutaisi-small", "tbilisi-dc", false, n)).collect();
    cluster.wait_healthy(20.0)?;
    wait_for_owners(&cluster, &names, 20.0)?;
    let uids: Vec<String> = (0..8).map(|n| format!("run-{:06}", 100 + n)).collect();
    for uid in &uids {
        let mut service = batch(1, 1.0, 2.0, 0.0);
        service.form = "standing".into();
        cluster.submit(uid, "client-pages", "intake-desk", &service, vec![], None)?;
    }
    cluster.wait("the services run", 30.0, || uids.iter().all(|uid| cluster.world.started(uid) == 1))?;
    sleep_s(4.0);
    let mut broken = None;
    for (round, uid) in uids.iter().enumerate() {
        let (still, other) = (round % 3, (round + 1) % 3);
        // Answers of the state service take a few hundred milliseconds now and then.
        cluster.state.set_slow_reads(Some((still, Duration::from_millis(200))));
        sleep_s(1.0);
        let (cancelled, cancelled_at, polled) = std::thread::scope(|scope| {
            let sent = Instant::now();
            let poll = scope.spawn(|| (cluster.poll_at(uid, still), Instant::now()));
            // The controller has sent the read that its answer to the poll waits for: the first one after the poll.
            let asked = sent + Duration::from_millis(3);
            while !cluster.state.has_read_since(still, asked) && sent.elapsed().as_millis() < 1000 {
                std::thread::sleep(Duration::from_millis(2));
            }
            if context.trouble {
                cluster.signal(still, "STOP");
            }
            std::thread::sleep(Duration::from_millis(if context.trouble { 300 } else { 0 }));
            let cancelled = cluster.withdraw_at(uid, other);
            let cancelled_at = Instant::now();
            if context.trouble {
                std::thread::sleep(Duration::from_millis(100));
                cluster.signal(still, "CONT");
            }
            (cancelled, cancelled_at, poll.join().unwrap_or((None, sent)))
        });
        cluster.state.set_slow_reads(None);
        let is_later = polled.1 > cancelled_at;
        cluster.record.line(&format!("{uid}: told {cancelled:?}, and by the poll {:?} (later: {is_later})", polled.0));
        let is_old = polled.0.as_ref().is_some_and(|state| state != "withdrawn");
        if cancelled.as_deref() == Some("withdrawn") && is_later && is_old {
            broken = Some(format!("{uid} was reported as {:?} after it was reported cancelled", polled.0));
        }
        sleep_s(3.0);
    }
    match broken {
        Some(broken) => Ok(Err(broken)),
        None => Ok(Ok(())),
    }
}

/// The service has run for weeks, and keeps the ends of all jobs, when its controllers are restarted: each of them
/// goes over its memory while it reads them, and is killed.
fn ended_jobs(context: &Context) -> Outcome {
    let site = returns_site();
    let limit_kb = (site.ram_mb * 1024.0) as u64;
    let mut cluster = context.start(site);
    cluster.cloud.add_running("kutaisi-small", "tbilisi-dc", false, 0);
    cluster.wait_healthy(20.0)?;
    if cluster.controllers.iter().any(|controller| controller.own_memory_kb() == 0) {
        return Err("the memory of the processes cannot be read here".into());
    }
    let uid = "run-000100".to_string();
    cluster.submit(&uid, "return-assembly", "preparers", &batch(1, 1.0, 4.2, 1.0), vec![], None)?;
    if !wait_until_done(&cluster, std::slice::from_ref(&uid), 20.0).is_empty() {
        return Err("the first job is not done".into());
    }
    sleep_s(1.0);
    for node in 0..3 {
        cluster.kill_controller(node);
    }
    // What the service itself stored of the job that is over is there for every job of the weeks before.
    let jobs: u64 = if context.trouble { 1_000_000 } else { 100_000 };
    let keys = cluster.state.keys_ending(&uid);
    for key in &keys {
        let prefix = key.strip_suffix(uid.as_str()).unwrap_or_default().to_string();
        cluster.state.copy(key, (0..jobs).map(|n| format!("{prefix}run-{:07}", 1_000_000 + n)));
    }
    cluster.record.line(&format!("the state service holds {jobs} more jobs that are over, as {keys:?} has one"));
    for node in 0..3 {
        cluster.start_controller(node);
    }
    let begun = Instant::now();
    let (mut killed, mut answered, mut asked) = (0, 0, 0);
    let mut back_at: [Option<Instant>; 3] = [None; 3];
    let mut highest = 0;
    let mut next_poll = Instant::now();
    while begun.elapsed().as_secs_f64() < if context.trouble { 95.0 } else { 30.0 } {
        sleep_s(0.02);
        for (node, back) in back_at.iter_mut().enumerate() {
            if back.is_some_and(|at| at <= Instant::now()) {
                *back = None;
                cluster.start_controller(node);
            }
            let held_kb = cluster.controllers[node].own_memory_kb();
            highest = highest.max(held_kb);
            if held_kb > limit_kb {
                cluster.record.line(&format!("{} holds {held_kb} KiB of {limit_kb}", cluster.controllers[node].member));
                cluster.kill_controller(node);
                killed += 1;
                *back = Some(Instant::now() + Duration::from_secs(8));
            }
        }
        if next_poll <= Instant::now() {
            next_poll = Instant::now() + Duration::from_secs(5);
            asked += 1;
            answered += u32::from(cluster.poll_recorded("run-1000007").is_some());
        }
    }
    let text = format!("{killed} ends for memory, {answered} of {asked} polls answered, at most {highest} KiB");
    cluster.record.line(&text);
    if killed == 0 && answered > 0 { Ok(Ok(())) } else { Ok(Err(text)) }
}
