//! The event loop of a controller process.

use super::listeners::{Listeners, PEER_LISTENER, USER_LISTENER};
use super::network::Network;
use super::operator_file::OperatorFile;
use crate::config::{Settings, Workers};
use crate::controller::Controller;
use crate::effects::{Action, Event, Instant};
use mio::{Events, Poll, Token};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Socket events that one poll returns at most.
const EVENT_CAPACITY: usize = 256;
/// Ticks in one heartbeat interval of the workers, within `MIN_TICK_S` and `MAX_TICK_S`.
const TICKS_PER_HEARTBEAT: f64 = 100.0;
const MIN_TICK_S: f64 = 0.01;
const MAX_TICK_S: f64 = 0.05;

/// Runs a controller until the process is killed. The file `operator` is read again
/// whenever it changes.
pub fn run(settings: Settings, operator: Option<PathBuf>) -> io::Result<()> {
    let poll = Poll::new()?;
    let listeners = Listeners::bind(&settings, poll.registry())?;
    let mut event_loop = EventLoop::new(settings, operator, poll, listeners);
    let mut ready = Events::with_capacity(EVENT_CAPACITY);
    loop {
        event_loop.turn(&mut ready)?;
    }
}

/// Time between two ticks of the controller.
fn tick_interval(workers: &Workers) -> Duration {
    let tick_s = workers.heartbeat_interval_s / TICKS_PER_HEARTBEAT;
    Duration::from_secs_f64(tick_s.clamp(MIN_TICK_S, MAX_TICK_S))
}

struct EventLoop {
    network: Network,
    listeners: Listeners,
    controller: Controller,
    operator_file: Option<OperatorFile>,
    tick: Duration,
    next_tick: Instant,
    /// What the controller emits for one event; kept to be reused.
    actions: Vec<Action>,
}

impl EventLoop {
    fn new(settings: Settings, operator: Option<PathBuf>, poll: Poll, listeners: Listeners) -> EventLoop {
        let workers = &settings.settings.workers;
        let tick = tick_interval(workers);
        let heartbeat_interval = Duration::from_secs_f64(workers.heartbeat_interval_s);
        let operator_file =
            operator.map(|path| OperatorFile::new(path, settings.settings.teams.clone(), heartbeat_interval));
        tracing::info!(member = %settings.member, others = settings.others.len(), "controller starts");
        let network = Network::new(&settings, poll);
        let wall_clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let controller = Controller::new(settings, rand::random(), wall_clock);
        let (next_tick, actions) = (Duration::ZERO, Vec::new());
        EventLoop { network, listeners, controller, operator_file, tick, next_tick, actions }
    }

    /// Waits for sockets or the next tick, and handles what there is.
    fn turn(&mut self, ready: &mut Events) -> io::Result<()> {
        self.wait(ready)?;
        self.drive_sockets(ready);
        let now = self.network.now();
        if now >= self.next_tick {
            self.next_tick = now + self.tick;
            self.on_tick(now);
        }
        self.handle_events();
        Ok(())
    }

    fn wait(&mut self, ready: &mut Events) -> io::Result<()> {
        let timeout = self.next_tick.saturating_sub(self.network.now());
        match self.network.poll.poll(ready, Some(timeout)) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            result => result,
        }
    }

    fn drive_sockets(&mut self, ready: &Events) {
        for event in ready {
            match event.token() {
                USER_LISTENER => self.network.accept_users(&self.listeners.users),
                PEER_LISTENER => self.network.accept_peers(&self.listeners.peers),
                Token(token) => self.network.drive(token),
            }
        }
    }

    fn on_tick(&mut self, now: Instant) {
        self.network.expire();
        self.network.dial_peers();
        if let Some(operator) = self.operator_file.as_mut().and_then(|file| file.poll(now)) {
            self.network.events.push_back(Event::OperatorSettings(Box::new(operator)));
        }
        self.network.events.push_back(Event::Tick);
    }

    /// Hands all events to the controller and performs its actions, which may cause more.
    fn handle_events(&mut self) {
        while let Some(event) = self.network.events.pop_front() {
            self.controller.handle(self.network.now(), event, &mut self.actions);
            for action in self.actions.drain(..) {
                self.network.perform(action);
            }
        }
    }
}
