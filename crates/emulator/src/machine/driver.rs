//! Connects the simulated machines to the controllers: each reports over one
//! connection to one controller at a time, and takes orders on an address of
//! its own. Cuts of the network live here.

use super::fleet::Fleet;
use super::worker::{Happening, Traits};
use crate::history::{Event, Recorder};
use crate::http::{self, Connection, Reply, Request};
use crate::lock;
use finchquay_protocol::worker::{CommandRequest, HeartbeatResponse, Redirect};
use finchquay_protocol::{BODY_LIMIT, decode, encode};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

/// Shortest time between two reports.
const GAP: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a report.
const PATIENCE: Duration = Duration::from_secs(4);
/// Pause before the next controller is tried.
const NEXT_NODE: Duration = Duration::from_secs(1);

/// A controller as workers see it.
#[derive(Debug, Clone)]
pub struct Node {
    pub member: String,
    pub zone: String,
    pub address: SocketAddr,
}

/// Which ways are cut. Packets of a cut are held back: what controllers sent
/// straight to a machine arrives when the cut is over.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Cuts {
    pub machines: BTreeSet<String>,
    /// Zones cut off from everything outside.
    pub zones: BTreeSet<String>,
    /// Controllers that no machine reaches.
    pub controllers: BTreeSet<String>,
    /// Zones and controllers that do not reach each other.
    pub links: BTreeSet<(String, String)>,
}

impl Cuts {
    fn reach(&self, machine: &str, zone: &str, node: &Node) -> bool {
        let across = zone != node.zone && (self.zones.contains(zone) || self.zones.contains(&node.zone));
        let link = self.links.iter().any(|(cut_zone, member)| cut_zone == zone && *member == node.member);
        !(self.machines.contains(machine) || self.controllers.contains(&node.member) || across || link)
    }

    /// Whether pushes, whose sender is not known, are held back.
    fn holds(&self, machine: &str, zone: &str) -> bool {
        self.machines.contains(machine) || self.zones.contains(zone)
    }
}

struct Running {
    notify: Arc<Notify>,
    tasks: Vec<JoinHandle<()>>,
}

struct Shared {
    fleet: Mutex<Fleet>,
    running: Mutex<HashMap<String, Running>>,
    nodes: Vec<Node>,
    cuts: watch::Sender<Cuts>,
    report: Duration,
    recorder: Recorder,
}

#[derive(Clone)]
pub struct Driver {
    shared: Arc<Shared>,
}

impl Driver {
    pub fn new(fleet: Fleet, nodes: Vec<Node>, report: Duration, recorder: Recorder) -> Driver {
        Driver {
            shared: Arc::new(Shared {
                fleet: Mutex::new(fleet),
                running: Mutex::default(),
                nodes,
                cuts: watch::Sender::default(),
                report,
                recorder,
            }),
        }
    }

    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.shared.fleet)
    }

    fn running(&self) -> MutexGuard<'_, HashMap<String, Running>> {
        lock(&self.shared.running)
    }

    pub fn cut(&self, change: impl FnOnce(&mut Cuts)) {
        self.shared.cuts.send_modify(change);
    }

    fn now(&self) -> Duration {
        self.shared.recorder.now()
    }

    /// A machine is up: it reports from now on.
    pub async fn boot(&self, traits: Traits, listen: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(listen).await?;
        let name = traits.name.clone();
        self.shared.recorder.record(Event::MachineUp {
            machine: name.clone(),
            machine_type: traits.machine_type.clone(),
            zone: traits.zone.clone(),
            spot: traits.spot,
        });
        let zone = traits.zone.clone();
        self.fleet().boot(traits, self.now());
        let notify = Arc::new(Notify::new());
        let reports = tokio::spawn(self.clone().report_loop(name.clone(), zone.clone(), notify.clone()));
        let (driver, machine) = (self.clone(), name.clone());
        let commands = tokio::spawn(http::serve(listener, BODY_LIMIT, move |request| {
            let (driver, machine, zone) = (driver.clone(), machine.clone(), zone.clone());
            // Carried out even when the sender gives up meanwhile.
            let carried = tokio::spawn(async move { driver.command(&machine, &zone, request).await });
            async move { carried.await.unwrap_or_else(|_| Reply::empty(500)) }
        }));
        self.running().insert(name, Running { notify, tasks: vec![reports, commands] });
        Ok(())
    }

    /// A machine and everything on it is gone.
    pub fn vanish(&self, name: &str, why: &str) {
        let Some(r) = self.running().remove(name) else { return };
        r.tasks.iter().for_each(JoinHandle::abort);
        self.fleet().vanish(name, self.now());
        self.settle();
        self.shared.recorder.record(Event::MachineGone { machine: name.into(), why: why.into() });
    }

    /// Lets time pass; to be called often.
    pub fn advance(&self) {
        let now = self.now();
        self.fleet().advance(now);
        self.settle();
    }

    /// Records what happened and wakes machines with a change to report.
    fn settle(&self) {
        let mut fleet = self.fleet();
        let (happenings, changed) = fleet.take();
        for (machine, h) in happenings {
            match h {
                Happening::Start { task, attempt } => {
                    self.shared.recorder.record(Event::Start { machine, job: task.job, index: task.index, attempt });
                }
                Happening::Stop { task, attempt, cause } => {
                    let cause = cause.into();
                    let (job, index) = (task.job, task.index);
                    self.shared.recorder.record(Event::Stop { machine, job, index, attempt, cause });
                }
                _ => {}
            }
        }
        drop(fleet);
        let running = self.running();
        changed.iter().filter_map(|m| running.get(m)).for_each(|r| r.notify.notify_one());
    }

    /// Waits until the machine executes again, or is gone.
    async fn awake(&self, name: &str) -> bool {
        loop {
            match self.fleet().worker(name).map(|w| w.hangs()) {
                None => return false,
                Some(false) => return true,
                Some(true) => {}
            }
            tokio::time::sleep(GAP / 5).await;
        }
    }

    async fn command(&self, machine: &str, zone: &str, request: Request) -> Reply {
        let mut cuts = self.shared.cuts.subscribe();
        let _ = cuts.wait_for(|c| !c.holds(machine, zone)).await;
        if !self.awake(machine).await {
            return Reply::empty(503);
        }
        let now = self.now();
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/show") => match self.fleet().report(machine, now) {
                Some(report) => Reply::new(200, encode(&report)),
                None => Reply::empty(503),
            },
            ("POST", "/commands") => match decode::<CommandRequest>(&request.body) {
                Err(_) => Reply::empty(400),
                Ok(push) => match self.fleet().pushed(machine, now, &push) {
                    Some((status, report)) => Reply::new(status, encode(&report)),
                    None => Reply::empty(503),
                },
            },
            (_, "/show" | "/commands") => Reply::empty(405),
            _ => Reply::empty(404),
        };
        self.settle();
        reply
    }

    async fn report_loop(self, name: String, zone: String, notify: Arc<Notify>) {
        let nodes = &self.shared.nodes;
        let mut at = rand::random_range(0..nodes.len().max(1));
        let mut connection = Connection::default();
        loop {
            if !self.awake(&name).await {
                return;
            }
            let node = &nodes[at];
            let sent = self.now();
            let report = self.fleet().report(&name, sent);
            self.settle();
            let Some(report) = report else { return };
            let reach = || self.shared.cuts.borrow().reach(&name, &zone, node);
            let mut reply = None;
            if reach() {
                reply = connection.post(node.address, "/checkin", encode(&report), PATIENCE).await;
                // An answer that comes when the way is cut does not come.
                if !reach() || !self.awake(&name).await {
                    reply = None;
                    connection.close();
                }
            } else {
                connection.close();
                tokio::time::sleep(PATIENCE).await;
            }
            let mut next = None;
            match reply {
                Some(r) if r.status == 200 => {
                    let answer = decode::<HeartbeatResponse>(&r.body).ok();
                    let (fencing_token, commands) =
                        answer.map_or((None, Vec::new()), |a| (Some(a.fencing_token), a.commands.into_owned()));
                    let now = self.now();
                    self.fleet().answered(&name, now, sent, report.agent_epoch, fencing_token, &commands);
                    self.settle();
                }
                Some(r) if r.status == 421 => {
                    let controller = decode::<Redirect>(&r.body).ok().and_then(|r| r.controller);
                    let to = controller.and_then(|h| nodes.iter().position(|n| n.member == h)).filter(|i| *i != at);
                    next = Some(match to {
                        Some(i) => (i, Duration::from_secs_f64(rand::random_range(0.0..0.5))),
                        None => ((at + 1) % nodes.len(), NEXT_NODE),
                    });
                }
                _ => next = Some(((at + 1) % nodes.len(), NEXT_NODE)),
            }
            match next {
                Some((node, pause)) => {
                    connection.close();
                    at = node;
                    tokio::time::sleep(pause).await;
                }
                None => {
                    let until = sent + self.shared.report.mul_f64(rand::random_range(0.75..1.25));
                    let rest = until.saturating_sub(self.now());
                    let _ = tokio::time::timeout(rest, notify.notified()).await;
                    // A change is told at once, but never less than a gap later.
                    tokio::time::sleep((sent + GAP).saturating_sub(self.now())).await;
                }
            }
        }
    }
}
