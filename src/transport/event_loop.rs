//! The event loop of a controller process: it waits for sockets and ticks, passes events to
//! the controller, and performs the actions that the controller returns.

use super::listeners::{Listeners, PEER_LISTENER, USER_LISTENER};
use super::network::Network;
use super::operator_file::OperatorFile;
use crate::config::Settings;
use crate::controller::Controller;
use crate::effects::{Action, Event, Instant};
use crate::protocol::time::duration_from_secs;
use mio::{Events, Poll, Token};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Maximum number of socket events that one poll returns.
const EVENT_CAPACITY: usize = 256;

/// Runs a controller until the process is killed or an I/O error occurs. The operator file at
/// `operator_path` is read again whenever it changes.
///
/// # Errors
/// The error of binding a listener or of polling the sockets.
pub fn run(settings: Settings, operator_path: Option<PathBuf>) -> io::Result<()> {
    let poll = Poll::new()?;
    let listeners = Listeners::bind(&settings, poll.registry())?;
    let mut event_loop = EventLoop::new(settings, operator_path, poll, listeners);
    let mut socket_events = Events::with_capacity(EVENT_CAPACITY);
    loop {
        event_loop.run_once(&mut socket_events)?;
    }
}

/// The controller, its connections, and the time of the next tick.
struct EventLoop {
    network: Network,
    listeners: Listeners,
    controller: Controller,
    operator_file: Option<OperatorFile>,
    tick_interval: Duration,
    /// When the next tick is due.
    next_tick: Instant,
    /// The actions that the controller returns for one event. The allocation is reused.
    actions: Vec<Action>,
}

impl EventLoop {
    /// Creates the controller and its network, on listeners that are already bound.
    fn new(settings: Settings, operator_path: Option<PathBuf>, poll: Poll, listeners: Listeners) -> EventLoop {
        let workers = &settings.deployment.workers;
        let tick_interval = workers.tick_interval();
        let heartbeat_interval = duration_from_secs(workers.heartbeat_interval_s);
        let operator_file =
            operator_path.map(|path| OperatorFile::new(path, settings.deployment.teams.clone(), heartbeat_interval));
        tracing::info!(member = %settings.member, others = settings.peers.len(), "controller started");
        let network = Network::new(&settings, poll);
        let wall_clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let controller = Controller::new(settings, rand::random(), wall_clock);
        let (next_tick, actions) = (Duration::ZERO, Vec::new());
        EventLoop { network, listeners, controller, operator_file, tick_interval, next_tick, actions }
    }

    /// Waits for sockets or for the next tick, then handles all resulting events.
    fn run_once(&mut self, socket_events: &mut Events) -> io::Result<()> {
        self.wait(socket_events)?;
        self.drive_sockets(socket_events);
        let now = self.network.now();
        if now >= self.next_tick {
            self.next_tick = now + self.tick_interval;
            self.on_tick(now);
        }
        self.handle_events();
        Ok(())
    }

    /// Polls the sockets until one is ready or the next tick is due.
    fn wait(&mut self, socket_events: &mut Events) -> io::Result<()> {
        let timeout = self.next_tick.saturating_sub(self.network.now());
        match self.network.poll.poll(socket_events, Some(timeout)) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            result => result,
        }
    }

    /// Accepts new connections, and reads and writes the ready ones.
    fn drive_sockets(&mut self, socket_events: &Events) {
        for event in socket_events {
            match event.token() {
                USER_LISTENER => self.network.accept_users(&self.listeners.users),
                PEER_LISTENER => self.network.accept_peers(&self.listeners.peers),
                Token(token) => self.network.drive(token),
            }
        }
    }

    /// Does the periodic work: closes expired connections, dials peers, checks the operator
    /// file, and passes a tick to the controller.
    fn on_tick(&mut self, now: Instant) {
        self.network.close_expired();
        self.network.dial_peers();
        if let Some(operator) = self.operator_file.as_mut().and_then(|file| file.poll(now)) {
            self.network.events.push_back(Event::OperatorSettings(Box::new(operator)));
        }
        self.network.events.push_back(Event::Tick);
    }

    /// Passes events to the controller and performs the actions that it returns, until no event
    /// is left. The actions may cause further events.
    fn handle_events(&mut self) {
        while let Some(event) = self.network.events.pop_front() {
            self.controller.handle(self.network.now(), event, &mut self.actions);
            for action in self.actions.drain(..) {
                self.network.perform(action);
            }
        }
    }
}
