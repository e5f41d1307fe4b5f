//! Connects the simulated machines to the controllers. Each machine sends its heartbeats over
//! one connection to one controller at a time, and accepts commands on an address of its
//! own. Network partitions between machines and controllers are simulated here.

use super::fleet::Fleet;
use super::worker::{MachineTraits, TaskEvent};
use crate::history::{Event, Recorder};
use crate::http::{self, Connection, Request, Response};
use crate::lock;
use finchquay_protocol::worker::{CommandRequest, HeartbeatResponse, Redirect};
use finchquay_protocol::{MAX_BODY_BYTES, decode, encode};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::task::JoinHandle;

/// Shortest time between two heartbeats of a machine.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the response to a heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before another controller is tried.
const NEXT_CONTROLLER_PAUSE: Duration = Duration::from_secs(1);

/// A controller to which workers report.
#[derive(Debug, Clone)]
pub struct ReportTarget {
    /// Name of the controller.
    pub name: String,
    /// Zone of the controller.
    pub zone: String,
    /// Address for users and workers.
    pub address: SocketAddr,
}

/// Network partitions that are in effect. Commands that a controller sends to a machine during a
/// partition are held back and arrive when it ends.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Partitions {
    /// Machines that reach no controller.
    pub machines: BTreeSet<String>,
    /// Zones that are cut off from all other zones.
    pub zones: BTreeSet<String>,
    /// Controllers that no machine reaches.
    pub controllers: BTreeSet<String>,
    /// Zones and controllers that do not reach each other.
    pub links: BTreeSet<(String, String)>,
}

impl Partitions {
    /// Whether a machine in `zone` reaches a controller.
    fn reachable(&self, machine: &str, zone: &str, controller: &ReportTarget) -> bool {
        let zone_cut = zone != controller.zone && (self.zones.contains(zone) || self.zones.contains(&controller.zone));
        let link_cut = self.links.iter().any(|(cut_zone, name)| cut_zone == zone && *name == controller.name);
        !(self.machines.contains(machine) || self.controllers.contains(&controller.name) || zone_cut || link_cut)
    }

    /// Whether commands to a machine are held back. Their sender is not known, so only a cut of
    /// the machine itself or of its zone counts.
    fn holds_commands(&self, machine: &str, zone: &str) -> bool {
        self.machines.contains(machine) || self.zones.contains(zone)
    }
}

/// Handles of a machine that is connected to the controllers.
struct ConnectedMachine {
    /// Wakes the machine to report a change at once.
    report_now: Arc<Notify>,
    tasks: Vec<JoinHandle<()>>,
}

struct Shared {
    fleet: Mutex<Fleet>,
    machines: Mutex<HashMap<String, ConnectedMachine>>,
    controllers: Vec<ReportTarget>,
    partitions: watch::Sender<Partitions>,
    /// If set, answered commands arrive once more, up to this much later.
    repeat_within: Mutex<Option<Duration>>,
    heartbeat_interval: Duration,
    recorder: Recorder,
}

/// Drives all simulated machines. Clones share them.
#[derive(Clone)]
pub struct Driver {
    shared: Arc<Shared>,
}

impl Driver {
    /// Creates a driver whose machines report to one of `controllers` at the given interval.
    pub fn new(
        fleet: Fleet,
        controllers: Vec<ReportTarget>,
        heartbeat_interval: Duration,
        recorder: Recorder,
    ) -> Driver {
        Driver {
            shared: Arc::new(Shared {
                fleet: Mutex::new(fleet),
                machines: Mutex::default(),
                controllers,
                partitions: watch::Sender::default(),
                repeat_within: Mutex::default(),
                heartbeat_interval,
                recorder,
            }),
        }
    }

    /// Locks the fleet.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.shared.fleet)
    }

    fn machines(&self) -> MutexGuard<'_, HashMap<String, ConnectedMachine>> {
        lock(&self.shared.machines)
    }

    /// Changes which network partitions are in effect.
    pub fn change_partitions(&self, change: impl FnOnce(&mut Partitions)) {
        self.shared.partitions.send_modify(change);
    }

    /// Lets commands that are carried out and answered from now on arrive once more, up to `within`
    /// later, or no longer.
    pub fn repeat_commands(&self, within: Option<Duration>) {
        *lock(&self.shared.repeat_within) = within;
    }

    /// Delivers a copy of commands that the machine carried out, if copies are to arrive.
    fn schedule_copy(&self, machine: &str, commands: CommandRequest<'static>) {
        let Some(within) = *lock(&self.shared.repeat_within) else { return };
        let (driver, machine) = (self.clone(), machine.to_string());
        tokio::spawn(async move {
            tokio::time::sleep(within.mul_f64(rand::random_range(0.0..1.0))).await;
            let now = driver.now();
            driver.fleet().handle_commands(&machine, now, &commands);
            driver.publish_changes();
        });
    }

    fn now(&self) -> Duration {
        self.shared.recorder.now()
    }

    /// Adds a machine that has booted. From now on it sends heartbeats and accepts commands
    /// at `listen`.
    pub async fn boot(&self, traits: MachineTraits, listen: SocketAddr) -> std::io::Result<()> {
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
        let report_now = Arc::new(Notify::new());
        let heartbeats = tokio::spawn(self.clone().heartbeat_loop(name.clone(), zone.clone(), report_now.clone()));
        let (driver, machine) = (self.clone(), name.clone());
        let commands = tokio::spawn(http::serve(listener, MAX_BODY_BYTES, move |request| {
            let (driver, machine, zone) = (driver.clone(), machine.clone(), zone.clone());
            // A task of its own: the request is handled even if the sender gives up meanwhile.
            let handled = tokio::spawn(async move { driver.handle_request(&machine, &zone, request).await });
            async move { handled.await.unwrap_or_else(|_| Response::empty(500)) }
        }));
        self.machines().insert(name, ConnectedMachine { report_now, tasks: vec![heartbeats, commands] });
        Ok(())
    }

    /// Removes a machine with everything on it. `why` goes into the history.
    pub fn remove(&self, name: &str, why: &str) {
        let Some(machine) = self.machines().remove(name) else { return };
        machine.tasks.iter().for_each(JoinHandle::abort);
        self.fleet().remove(name, self.now());
        self.publish_changes();
        self.shared.recorder.record(Event::MachineGone { machine: name.into(), why: why.into() });
    }

    /// Advances the clock of the fleet. Has to be called often.
    pub fn advance(&self) {
        let now = self.now();
        self.fleet().advance(now);
        self.publish_changes();
    }

    /// Records the starts and stops of tasks, and wakes machines with a change to report.
    fn publish_changes(&self) {
        let mut fleet = self.fleet();
        let (events, changed) = fleet.take_changes();
        for (machine, event) in events {
            match event {
                TaskEvent::Start { task, attempt } => {
                    self.shared.recorder.record(Event::Start { machine, job: task.job, index: task.index, attempt });
                }
                TaskEvent::Stop { task, attempt, cause } => {
                    let cause = cause.into();
                    let (job, index) = (task.job, task.index);
                    self.shared.recorder.record(Event::Stop { machine, job, index, attempt, cause });
                }
                _ => {}
            }
        }
        drop(fleet);
        let machines = self.machines();
        changed.iter().filter_map(|name| machines.get(name)).for_each(|machine| machine.report_now.notify_one());
    }

    /// Waits until a machine does not hang. Returns false if it is gone.
    async fn wait_while_hung(&self, name: &str) -> bool {
        loop {
            match self.fleet().worker(name).map(|worker| worker.is_hung()) {
                None => return false,
                Some(false) => return true,
                Some(true) => {}
            }
            tokio::time::sleep(MIN_HEARTBEAT_INTERVAL / 5).await;
        }
    }

    /// Handles a request to a worker.
    async fn handle_request(&self, machine: &str, zone: &str, request: Request) -> Response {
        let mut partitions = self.shared.partitions.subscribe();
        let _ = partitions.wait_for(|partitions| !partitions.holds_commands(machine, zone)).await;
        if !self.wait_while_hung(machine).await {
            return Response::empty(503);
        }
        let now = self.now();
        let response = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/show") => match self.fleet().heartbeat(machine, now) {
                Some(heartbeat) => Response::new(200, encode(&heartbeat)),
                None => Response::empty(503),
            },
            ("POST", "/commands") => match decode::<CommandRequest>(&request.body) {
                Err(_) => Response::empty(400),
                Ok(commands) => {
                    let answer = self.fleet().handle_commands(machine, now, &commands);
                    if answer.as_ref().is_some_and(|(status, _)| *status == 200) {
                        self.schedule_copy(machine, commands);
                    }
                    answer.map_or(Response::empty(503), |(status, heartbeat)| Response::new(status, encode(&heartbeat)))
                }
            },
            (_, "/show" | "/commands") => Response::empty(405),
            _ => Response::empty(404),
        };
        self.publish_changes();
        response
    }

    /// Sends heartbeats of a machine until it is gone. A controller that does not answer, or
    /// redirects the machine, is replaced by another one.
    async fn heartbeat_loop(self, name: String, zone: String, report_now: Arc<Notify>) {
        let controllers = &self.shared.controllers;
        let mut current = rand::random_range(0..controllers.len().max(1));
        let mut connection = Connection::default();
        loop {
            if !self.wait_while_hung(&name).await {
                return;
            }
            let controller = &controllers[current];
            let sent = self.now();
            let heartbeat = self.fleet().heartbeat(&name, sent);
            self.publish_changes();
            let Some(heartbeat) = heartbeat else { return };
            let reachable = || self.shared.partitions.borrow().reachable(&name, &zone, controller);
            let mut response = None;
            if reachable() {
                response = connection.post(controller.address, "/checkin", encode(&heartbeat), RESPONSE_TIMEOUT).await;
                // A response that arrives during a partition is lost.
                if !reachable() || !self.wait_while_hung(&name).await {
                    response = None;
                    connection.close();
                }
            } else {
                connection.close();
                tokio::time::sleep(RESPONSE_TIMEOUT).await;
            }
            // Controller to switch to, and the pause before its first heartbeat.
            let mut switch = None;
            match response {
                Some(response) if response.status == 200 => {
                    let decoded = decode::<HeartbeatResponse>(&response.body).ok();
                    let (fencing_token, commands) = decoded.map_or((None, Vec::new()), |decoded| {
                        (Some(decoded.fencing_token), decoded.commands.into_owned())
                    });
                    let now = self.now();
                    let agent_epoch = heartbeat.agent_epoch;
                    self.fleet().handle_response(&name, now, sent, agent_epoch, fencing_token, &commands);
                    self.publish_changes();
                }
                Some(response) if response.status == 421 => {
                    let owner = decode::<Redirect>(&response.body).ok().and_then(|redirect| redirect.controller);
                    let owner_index = owner
                        .and_then(|owner| controllers.iter().position(|c| c.name == owner))
                        .filter(|index| *index != current);
                    switch = Some(match owner_index {
                        Some(index) => (index, Duration::from_secs_f64(rand::random_range(0.0..0.5))),
                        None => ((current + 1) % controllers.len(), NEXT_CONTROLLER_PAUSE),
                    });
                }
                _ => switch = Some(((current + 1) % controllers.len(), NEXT_CONTROLLER_PAUSE)),
            }
            match switch {
                Some((index, pause)) => {
                    connection.close();
                    current = index;
                    tokio::time::sleep(pause).await;
                }
                None => {
                    let next = sent + self.shared.heartbeat_interval.mul_f64(rand::random_range(0.75..1.25));
                    let remaining = next.saturating_sub(self.now());
                    let _ = tokio::time::timeout(remaining, report_now.notified()).await;
                    // A change is reported at once, but not before the shortest interval is over.
                    tokio::time::sleep((sent + MIN_HEARTBEAT_INTERVAL).saturating_sub(self.now())).await;
                }
            }
        }
    }
}
