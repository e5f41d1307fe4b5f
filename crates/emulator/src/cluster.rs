//! The controllers: real processes, started as a user starts them, watched,
//! ended and frozen. Links between them pass relays that can refuse.

use crate::history::{Event, Recorder};
use crate::scenario::Scenario;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};

#[derive(Debug, Error)]
pub enum ClusterError {
    #[error("{}: no controller program there; build it with `cargo build --release` or name one with --controller", .0.display())]
    NoBinary(PathBuf),
    #[error("{address}: {cause}")]
    Address { address: SocketAddr, cause: std::io::Error },
    #[error("{}: {cause}", file.display())]
    File { file: PathBuf, cause: std::io::Error },
    #[error("{0}")]
    Settings(toml::ser::Error),
}

/// One controller's addresses.
#[derive(Debug, Clone)]
pub struct Place {
    pub member: String,
    pub zone: String,
    pub public: SocketAddr,
    peers: SocketAddr,
    relay: SocketAddr,
    /// Its own way to the state service.
    pub state: SocketAddr,
}

enum Order {
    /// Back after this long, or as the scenario has it.
    Kill(Option<Duration>),
    Stop,
}

struct Member {
    commands: mpsc::UnboundedSender<Order>,
    pid: Arc<AtomicI32>,
    watcher: JoinHandle<()>,
}

pub struct Cluster {
    pub places: Vec<Place>,
    members: Vec<Member>,
    refused: Vec<Arc<AtomicBool>>,
    _relays: JoinSet<()>,
}

/// Sockets that the emulator holds for the controllers.
pub struct Sockets {
    pub state: Vec<TcpListener>,
    pub cloud: TcpListener,
}

/// Binds a listener, saying which address could not be had.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, ClusterError> {
    TcpListener::bind(address).await.map_err(|cause| ClusterError::Address { address, cause })
}

/// A port that is free on an address, or an error if `wanted` is not.
pub fn port(ip: Ipv4Addr, wanted: u16) -> Result<SocketAddr, ClusterError> {
    let address = SocketAddr::from((ip, wanted));
    let at = StdListener::bind(address).and_then(|l| l.local_addr());
    at.map_err(|cause| ClusterError::Address { address, cause })
}

impl Cluster {
    /// Chooses addresses, writes settings and starts the controllers.
    /// `public_port` 0 takes free ports.
    pub async fn start(
        scenario: &Scenario,
        binary: &Path,
        dir: &Path,
        public_port: u16,
        recorder: &Recorder,
    ) -> Result<(Cluster, Sockets), ClusterError> {
        if !binary.is_file() {
            return Err(ClusterError::NoBinary(binary.into()));
        }
        let ip = |net: u8, i: usize| Ipv4Addr::new(127, 0, net, i as u8 + 1);
        let local = |l: &TcpListener, address| l.local_addr().map_err(|cause| ClusterError::Address { address, cause });
        let (mut places, mut state, mut relays) = (Vec::new(), Vec::new(), Vec::new());
        for i in 0..scenario.controllers.count {
            let any = SocketAddr::from((ip(2, i), 0));
            let (store, relay) = (bind(any).await?, bind(SocketAddr::from((ip(4, i), 0))).await?);
            places.push(Place {
                member: format!("perch-{i}"),
                zone: scenario.zones[i % scenario.zones.len()].clone(),
                public: port(ip(1, i), public_port)?,
                peers: port(ip(1, i), 0)?,
                relay: local(&relay, any)?,
                state: local(&store, any)?,
            });
            state.push(store);
            relays.push(relay);
        }
        let any = SocketAddr::from((ip(3, 0), 0));
        let cloud = bind(any).await?;
        let cloud_at = local(&cloud, any)?;
        let (mut running, mut refused) = (JoinSet::new(), Vec::new());
        for (place, relay) in places.iter().zip(relays) {
            let off = Arc::new(AtomicBool::new(false));
            running.spawn(relay_loop(relay, place.peers, off.clone()));
            refused.push(off);
        }
        let mut members = Vec::new();
        for (i, place) in places.iter().enumerate() {
            let file = dir.join(format!("{}.toml", place.member));
            let text = settings(scenario, &places, i, cloud_at).map_err(ClusterError::Settings)?;
            std::fs::write(&file, text).map_err(|cause| ClusterError::File { file: file.clone(), cause })?;
            let log = dir.join(format!("{}.log", place.member));
            let (commands, inbox) = mpsc::unbounded_channel();
            let pid = Arc::new(AtomicI32::new(0));
            let watched = Watched {
                member: place.member.clone(),
                binary: binary.into(),
                settings: file,
                log,
                restart: Duration::from_secs_f64(scenario.controllers.restart_s),
                pid: pid.clone(),
                recorder: recorder.clone(),
            };
            let watcher = tokio::spawn(watched.watch(inbox));
            members.push(Member { commands, pid, watcher });
        }
        Ok((Cluster { places, members, refused, _relays: running }, Sockets { state, cloud }))
    }

    /// Ends a controller without a signal that it could handle; it comes back after
    /// `restart`, or as the scenario has it.
    pub fn kill(&self, i: usize, restart: Option<Duration>) {
        if let Some(m) = self.members.get(i) {
            let _ = m.commands.send(Order::Kill(restart));
        }
    }

    /// Stops or resumes a controller's execution; its clocks run on.
    pub fn freeze(&self, i: usize, on: bool) {
        let pid = self.members.get(i).and_then(|m| Pid::from_raw(m.pid.load(Ordering::SeqCst)));
        if let Some(pid) = pid {
            let _ = kill_process(pid, if on { Signal::STOP } else { Signal::CONT });
        }
    }

    /// Refuses connections to a controller from the others, and cuts those that are open.
    pub fn refuse_peers(&self, i: usize, on: bool) {
        if let Some(r) = self.refused.get(i) {
            r.store(on, Ordering::SeqCst);
        }
    }

    /// Memory in MB and processor time in seconds of each controller.
    pub fn usage(&self) -> BTreeMap<String, (f64, f64)> {
        let mut out = BTreeMap::new();
        for (place, m) in self.places.iter().zip(&self.members) {
            let pid = m.pid.load(Ordering::SeqCst);
            let stat = (pid > 0).then(|| procfs::process::Process::new(pid).and_then(|p| p.stat()).ok()).flatten();
            if let Some(s) = stat {
                let mb = s.rss as f64 * procfs::page_size() as f64 / 1_048_576.0;
                let cpu = (s.utime + s.stime) as f64 / procfs::ticks_per_second() as f64;
                out.insert(place.member.clone(), (mb, cpu));
            }
        }
        out
    }

    /// Ends every controller for good.
    pub async fn stop(self) {
        for m in &self.members {
            let _ = m.commands.send(Order::Stop);
        }
        for m in self.members {
            let _ = m.watcher.await;
        }
    }
}

/// One controller's process, started again whenever it ends.
struct Watched {
    member: String,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    restart: Duration,
    pid: Arc<AtomicI32>,
    recorder: Recorder,
}

impl Watched {
    fn spawn(&self) -> std::io::Result<Child> {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        Command::new(&self.binary)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            // A Ctrl-C in the terminal is for us; we end our children.
            .process_group(0)
            .kill_on_drop(true)
            .spawn()
    }

    fn note(&self, what: &str) {
        self.recorder.record(Event::Controller { controller: self.member.clone(), what: what.into() });
    }

    async fn watch(self, mut commands: mpsc::UnboundedReceiver<Order>) {
        loop {
            let mut child = match self.spawn() {
                Ok(c) => c,
                Err(e) => {
                    eprintln!("finchquay-emulator: {}: {e}", self.binary.display());
                    self.note("not started");
                    return;
                }
            };
            self.pid.store(child.id().map_or(0, |p| p as i32), Ordering::SeqCst);
            self.note("started");
            let order = tokio::select! {
                _ = child.wait() => None,
                order = commands.recv() => Some(order),
            };
            self.pid.store(0, Ordering::SeqCst);
            let _ = child.kill().await;
            let restart = match order {
                None => {
                    self.note("ended");
                    None
                }
                Some(Some(Order::Kill(restart))) => {
                    self.note("killed");
                    restart
                }
                Some(Some(Order::Stop) | None) => return,
            };
            let back = tokio::time::sleep(restart.unwrap_or(self.restart));
            tokio::pin!(back);
            loop {
                tokio::select! {
                    () = &mut back => break,
                    order = commands.recv() => if matches!(order, Some(Order::Stop) | None) { return },
                }
            }
        }
    }
}

/// Passes bytes on to a controller's peer port unless that is refused.
async fn relay_loop(listener: TcpListener, to: SocketAddr, refused: Arc<AtomicBool>) {
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((mut near, _)) = accepted else { continue };
                if refused.load(Ordering::SeqCst) {
                    continue;
                }
                let _ = near.set_nodelay(true);
                links.spawn(async move {
                    if let Ok(mut far) = TcpStream::connect(to).await {
                        let _ = far.set_nodelay(true);
                        let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
                    }
                });
            }
            Some(_) = links.join_next() => {}
            () = tokio::time::sleep(Duration::from_millis(100)) => {
                if refused.load(Ordering::SeqCst) {
                    links.abort_all();
                }
            }
        }
    }
}

/// The settings file of one controller, as a platform would hand it over.
fn settings(s: &Scenario, places: &[Place], i: usize, cloud: SocketAddr) -> Result<String, toml::ser::Error> {
    let me = &places[i];
    let others: Vec<_> = places
        .iter()
        .filter(|p| p.member != me.member)
        .map(|p| json!({"member": p.member, "zone": p.zone, "peer_addr": p.relay}))
        .collect();
    let teams: Vec<_> = s
        .team
        .iter()
        .map(|(name, t)| {
            json!({"name": name, "cpus": t.cpus, "cpus_max": t.cpus_max, "gpus": t.gpus, "gpus_max": t.gpus_max})
        })
        .collect();
    let mut objectives = Vec::new();
    for (class, l) in &s.load {
        if let Some(within) = l.start_within_s {
            objectives.push(json!({"kind": "wait", "class": class, "within_s": within, "share": 0.9}));
        }
        if l.deadline_factor.is_some() {
            objectives.push(json!({"kind": "deadline", "class": class, "times": 1.0, "share": 0.9}));
        }
    }
    let w = &s.workers;
    toml::to_string(&json!({
        "member": me.member,
        "zone": me.zone,
        "public_addr": me.public,
        "peer_bind": me.peers,
        "others": others,
        "outside": {"cloud": cloud, "state": me.state},
        "settings": {
            "initial_size": places.len(),
            "zones": s.zones,
            "time_bound_ms": 100.0,
            "teams": teams,
            "objectives": objectives,
            "workers": {
                "report_s": w.heartbeat_interval_s, "lease_s": w.lease_s, "gang_wait_s": w.gang_wait_s,
                "gang_peer_s": w.gang_peer_s, "cancel_s": w.cancel_s,
            },
            "state": {
                "rps": s.state.rps, "write_rps": s.state.write_rps, "value_kb": s.state.value_kb,
                "txn_ops": s.state.txn_ops,
            },
            "cloud": {"rps": s.cloud.rps, "list_lag_s": s.cloud.list_lag_s},
            "machine_limits": {
                "core_share": s.controllers.core_share, "ram_mb": s.controllers.ram_mb,
                "max_connections": s.controllers.max_connections,
            },
        },
    }))
}

#[cfg(test)]
mod tests;
