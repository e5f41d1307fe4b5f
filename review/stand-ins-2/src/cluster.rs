//! The controllers, started with the command of the deploy file, and the users who send them requests.

use crate::cloud::{Build, Capacity, Cloud};
use crate::record::Record;
use crate::state::{Limits, State};
use crate::wire::{Client, encode, get_int, get_text, serve};
use crate::worker::{JobInfo, Times, World, submission};
use ciborium::Value;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The settings of a deployment.
#[derive(Clone)]
pub struct Site {
    pub zones: Vec<&'static str>,
    /// Name, `cpus` and `cpus_max` of each team.
    pub teams: Vec<(&'static str, f64, f64)>,
    /// The `[[settings.objectives]]` of the settings file.
    pub objectives: &'static str,
    pub times: Times,
    pub cancel_s: f64,
    pub state: Limits,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub core_share: f64,
    pub ram_mb: f64,
    pub max_connections: u32,
    pub builds: Vec<Build>,
    pub capacity: Capacity,
    pub boot_s: f64,
}

pub struct Controller {
    pub member: String,
    pub public: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Cluster {
    pub site: Site,
    pub state: State,
    pub cloud: Cloud,
    pub world: Arc<World>,
    pub record: Record,
    pub controllers: Vec<Controller>,
    program: PathBuf,
    arguments: Vec<String>,
    next_node: AtomicU64,
}

/// The processes that have to be ended, for the watchdog.
pub static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_children() {
    for pid in CHILDREN.lock().unwrap().drain(..) {
        signal(pid, "KILL");
    }
}

/// Sends a signal to a process that this program started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("sh").args(["-c", &format!("kill -{name} {pid}")]).stderr(Stdio::null()).status();
}

/// An address for a controller. The host part is this process's own, so that neither another run nor an outgoing
/// connection takes the port before the controller listens there.
fn free_address(n: usize) -> SocketAddr {
    let pid = std::process::id();
    let host = format!("127.{}.{}.{}:0", 10 + (pid >> 8) % 200, pid & 255, 10 + n);
    TcpListener::bind(host).and_then(|listener| listener.local_addr()).expect("a free port")
}

impl Controller {
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// The memory that the process itself holds, without the pages of files; 0 if it does not run.
    pub fn own_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
}

impl Cluster {
    /// Starts the stand-ins and three controllers. `root` is the repository, `dir` a temporary folder.
    pub fn start(site: Site, root: &std::path::Path, dir: &std::path::Path, record: Record) -> Cluster {
        let state = State::new(site.state);
        // Each controller has an address of its own for the state service, so that it can be told apart.
        let state_addrs: Vec<SocketAddr> = (0..3)
            .map(|n| {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                let addr = listener.local_addr().expect("it is bound");
                serve(listener, state.handler(n), Arc::new(|| true));
                addr
            })
            .collect();
        let members: Vec<(String, SocketAddr, SocketAddr)> =
            (0..3).map(|n| (format!("perch-{n}"), free_address(n), free_address(n))).collect();
        let nodes = members.iter().map(|(name, public, _)| (name.clone(), *public)).collect();
        let world = World::new(site.times, nodes, record.clone());
        let cloud = Cloud::new(
            &world,
            site.builds.clone(),
            site.capacity.clone(),
            site.cloud_rps,
            site.list_lag_s,
            site.boot_s,
        );
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let cloud_addr = listener.local_addr().expect("it is bound");
        serve(listener, cloud.handler(), Arc::new(|| true));
        let deploy = std::fs::read_to_string(root.join("deploy/service.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"')).expect("run");
        let mut words = run.split_whitespace().map(str::to_string);
        let program = root.join(words.next().expect("a program"));
        let mut cluster = Cluster {
            site,
            state,
            cloud,
            world,
            record,
            controllers: Vec::new(),
            program,
            arguments: words.collect(),
            next_node: AtomicU64::new(0),
        };
        for (n, (member, public, peer)) in members.iter().enumerate() {
            let config = dir.join(format!("{member}.toml"));
            let text = cluster.settings(n, &members, state_addrs[n], cloud_addr, *public, *peer);
            std::fs::write(&config, text).expect("the temporary folder can be written");
            let log = dir.join(format!("{member}.log"));
            cluster.controllers.push(Controller { member: member.clone(), public: *public, config, log, child: None });
        }
        for n in 0..3 {
            cluster.start_controller(n);
        }
        cluster
    }

    fn settings(
        &self,
        own: usize,
        members: &[(String, SocketAddr, SocketAddr)],
        state: SocketAddr,
        cloud: SocketAddr,
        public: SocketAddr,
        peer: SocketAddr,
    ) -> String {
        let site = &self.site;
        let zone = |n: usize| site.zones[n % site.zones.len()];
        let mut text = format!("member = \"{}\"\nzone = \"{}\"\n", members[own].0, zone(own));
        text += &format!("public_addr = \"{public}\"\npeer_bind = \"{peer}\"\n");
        for (n, (member, _, peer)) in members.iter().enumerate().filter(|(n, _)| *n != own) {
            text += &format!("[[others]]\nmember = \"{member}\"\nzone = \"{}\"\npeer_addr = \"{peer}\"\n", zone(n));
        }
        text += &format!("[outside]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n");
        text += &format!("[settings]\ninitial_size = 3\nzones = {:?}\ntime_bound_ms = 100.0\n", site.zones);
        for (name, cpus, max) in &site.teams {
            text += &format!("[[settings.teams]]\nname = \"{name}\"\ncpus = {cpus:?}\ncpus_max = {max:?}\n");
            text += "gpus = 0.0\ngpus_max = 0.0\n";
        }
        text += site.objectives;
        let times = site.times;
        text += &format!(
            "\n[settings.workers]\nreport_s = {:?}\nlease_s = {:?}\ngang_wait_s = {:?}\ngang_peer_s = {:?}\ncancel_s = {:?}\n",
            times.report_s, times.lease_s, times.gang_wait_s, times.gang_peer_s, site.cancel_s
        );
        let limits = site.state;
        text += &format!(
            "[settings.state]\nrps = {:?}\nwrite_rps = {:?}\nvalue_kb = {:?}\ntxn_ops = {}\n",
            limits.rps, limits.write_rps, limits.value_kb, limits.txn_ops
        );
        text += &format!("[settings.cloud]\nrps = {:?}\nlist_lag_s = {:?}\n", site.cloud_rps, site.list_lag_s);
        text += &format!(
            "[settings.machine_limits]\ncore_share = {:?}\nram_mb = {:?}\nmax_connections = {}\n",
            site.core_share, site.ram_mb, site.max_connections
        );
        text
    }

    pub fn start_controller(&mut self, n: usize) {
        let controller = &mut self.controllers[n];
        let log = File::options().create(true).append(true).open(&controller.log).expect("the log can be written");
        let child = Command::new(&self.program)
            .args(&self.arguments)
            .arg(&controller.config)
            .env("LOG_LEVEL", std::env::var("CASE_LOG").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = match child {
            Ok(child) => child,
            Err(error) => {
                eprintln!("the controller program cannot be started: {error}");
                end_children();
                std::process::exit(2);
            }
        };
        CHILDREN.lock().unwrap().push(child.id());
        controller.child = Some(child);
        self.record.line(&format!("{}: started", controller.member));
    }

    pub fn kill_controller(&mut self, n: usize) {
        if let Some(mut child) = self.controllers[n].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            CHILDREN.lock().unwrap().retain(|pid| *pid != child.id());
            self.record.line(&format!("{}: killed", self.controllers[n].member));
        }
    }

    fn next_node(&self) -> usize {
        self.next_node.fetch_add(1, Ordering::SeqCst) as usize % self.controllers.len()
    }

    /// Waits until every controller is healthy, as the load balancer sees it.
    pub fn wait_healthy(&self, limit_s: f64) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs_f64(limit_s);
        for controller in &self.controllers {
            loop {
                let answer = Client::default().send(controller.public, "GET", "/healthz", &[], Duration::from_secs(1));
                if answer.is_some_and(|answer| answer.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("{} is not healthy", controller.member));
                }
                std::thread::sleep(Duration::from_millis(200));
            }
        }
        Ok(())
    }

    /// Waits until a condition holds.
    pub fn wait(&self, what: &str, limit_s: f64, mut holds: impl FnMut() -> bool) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs_f64(limit_s);
        while !holds() {
            if Instant::now() > until {
                return Err(format!("not within {limit_s} s: {what}"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }

    /// Submits a job as a user does, and returns whether it was accepted. `first` is the node that the load
    /// balancer chooses first; `None` for the next one.
    pub fn submit(
        &self,
        uid: &str,
        class: &str,
        team: &str,
        info: &JobInfo,
        more: Vec<(&str, Value)>,
        first: Option<usize>,
    ) -> Result<(), String> {
        self.world.jobs.lock().unwrap().insert(uid.to_string(), info.clone());
        let body = encode(&submission(uid, class, team, info, more));
        let begun = Instant::now();
        let mut node = first.unwrap_or_else(|| self.next_node());
        let mut last = String::new();
        while begun.elapsed().as_secs_f64() < 60.0 {
            let to = &self.controllers[node % 3];
            let answer = Client::default().send(to.public, "POST", "/work", &body, Duration::from_secs(5));
            last = answer.as_ref().map_or("no answer".into(), |answer| answer.status.to_string());
            self.record.line(&format!("user: POST /work {uid} ({}) at {}: {last}", info.form, to.member));
            match answer {
                Some(answer) if matches!(answer.status, 200 | 201) => return Ok(()),
                Some(answer) if matches!(answer.status, 400 | 422) => break,
                answer => {
                    let pause = answer.and_then(|answer| answer.retry_after).unwrap_or(1).clamp(1, 30);
                    std::thread::sleep(Duration::from_secs(pause));
                }
            }
            node += 1;
        }
        Err(format!("{uid} was not accepted: {last}"))
    }

    /// Asks one controller for the status of a job.
    pub fn poll_at(&self, uid: &str, node: usize) -> Option<String> {
        let (to, path) = (&self.controllers[node], format!("/work/{uid}"));
        let answer = Client::default().send(to.public, "GET", &path, &[], Duration::from_secs(2));
        let status = answer.as_ref().map_or("no answer".to_string(), |answer| answer.status.to_string());
        let told = answer.filter(|answer| answer.status == 200).map(|answer| get_text(&answer.body, "status"));
        self.record.line(&format!("user: GET {path} at {}: {status} {told:?}", to.member));
        told
    }

    /// Cancels a job at one controller, once.
    pub fn withdraw_at(&self, uid: &str, node: usize) -> Option<String> {
        let (to, path) = (&self.controllers[node], format!("/work/{uid}/withdraw"));
        let answer = Client::default().send(to.public, "POST", &path, &[], Duration::from_secs(5));
        let status = answer.as_ref().map_or("no answer".to_string(), |answer| answer.status.to_string());
        let told = answer.filter(|answer| answer.status == 200).map(|answer| get_text(&answer.body, "status"));
        self.record.line(&format!("user: POST {path} at {}: {status} {told:?}", to.member));
        told
    }

    /// Sends a signal to a controller.
    pub fn signal(&self, node: usize, name: &str) {
        signal(self.controllers[node].pid(), name);
        self.record.line(&format!("{}: SIG{name}", self.controllers[node].member));
    }

    /// Asks for the state of a job: status, done and running. `None` if there is no answer with 200.
    pub fn poll(&self, uid: &str) -> Option<(String, u64, u64)> {
        let to = &self.controllers[self.next_node()];
        let path = format!("/work/{uid}");
        let answer = Client::default().send(to.public, "GET", &path, &[], Duration::from_secs(2));
        let answer = match answer {
            Some(answer) if answer.status == 200 => answer.body,
            other => {
                let status = other.map_or("no answer".to_string(), |answer| answer.status.to_string());
                self.record.line(&format!("user: GET {path} at {}: {status}", to.member));
                return None;
            }
        };
        let state = (get_text(&answer, "status"), get_int(&answer, "done")?, get_int(&answer, "running")?);
        Some(state)
    }

    /// Like [`Cluster::poll`], written to the record.
    pub fn poll_recorded(&self, uid: &str) -> Option<(String, u64, u64)> {
        let state = self.poll(uid);
        if let Some((status, done, running)) = &state {
            self.record.line(&format!("user: GET /work/{uid}: {status}, done {done}, running {running}"));
        }
        state
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for n in 0..self.controllers.len() {
            self.kill_controller(n);
        }
    }
}
