//! All connections of the process: opening, driving and closing them.

use super::calls::QueuedCall;
use super::connection::{Connection, Progress, Role, StreamState};
use super::listeners::FIRST_CONNECTION;
use super::peers::PeerConnection;
use crate::config::Settings;
use crate::effects::{Action, Event, Instant, NoAnswer, Target};
use crate::protocol::{BODY_LIMIT, peer};
use mio::net::TcpStream;
use mio::{Interest, Poll, Token};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Largest response that is read from the store or the cloud, as a share of the machine's
/// memory: 1 part in this many.
const RESPONSE_SHARE: usize = 8;
/// Of the sockets that the machine allows, 1 part in this many is left for listeners and
/// for what is accepted before it is counted.
const SPARE_SOCKETS: usize = 16;
/// Of the sockets that the machine allows, 1 part in this many is for peers that connect.
const PEER_SOCKETS: usize = 16;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// All connections, and the events that they caused.
pub(super) struct Network {
    pub(super) poll: Poll,
    start: std::time::Instant,
    pub(super) connections: HashMap<usize, Connection>,
    next_token: usize,
    /// Connections of ours that no call uses.
    pub(super) idle: HashMap<Target, Vec<usize>>,
    /// How many connections of ours there are.
    pub(super) open: HashMap<Target, usize>,
    /// Calls that wait for a connection.
    pub(super) queue: VecDeque<QueuedCall>,
    pub(super) peers: HashMap<String, PeerConnection>,
    /// Name of this controller.
    pub(super) member: String,
    pub(super) store: SocketAddr,
    cloud: SocketAddr,
    /// Connections of users, workers and load balancers: how many there are, and may be.
    pub(super) servers: usize,
    pub(super) max_servers: usize,
    /// Connections of all kinds; above it idle ones are closed for new ones.
    pub(super) max_connections: usize,
    /// Peer connections that were accepted; each peer needs one, and more while old ones
    /// time out.
    pub(super) peers_in: usize,
    pub(super) max_peers_in: usize,
    /// Largest response that is read, in bytes.
    pub(super) response_limit: usize,
    /// How long a client may take to send one request, and a peer to connect.
    pub(super) request_timeout: Duration,
    /// How long a connection may be idle.
    pub(super) idle_timeout: Duration,
    pub(super) events: VecDeque<Event>,
}

impl Network {
    /// No connections yet; `poll` is where they are registered.
    pub(super) fn new(settings: &Settings, poll: Poll) -> Network {
        let workers = &settings.settings.workers;
        let limits = &settings.settings.machine_limits;
        let peers = settings.others.iter().map(|other| (other.member.clone(), PeerConnection::new(other.peer_addr)));
        Network {
            poll,
            start: std::time::Instant::now(),
            connections: HashMap::new(),
            next_token: FIRST_CONNECTION,
            idle: HashMap::new(),
            open: HashMap::new(),
            queue: VecDeque::new(),
            peers: peers.collect(),
            member: settings.member.clone(),
            store: settings.outside.state,
            cloud: settings.outside.cloud,
            servers: 0,
            max_servers: limits.max_connections * 3 / 4,
            max_connections: limits.max_connections - limits.max_connections / SPARE_SOCKETS,
            peers_in: 0,
            max_peers_in: limits.max_connections / PEER_SOCKETS,
            response_limit: (limits.ram_mb * BYTES_PER_MB) as usize / RESPONSE_SHARE,
            request_timeout: Duration::from_secs_f64(workers.heartbeat_interval_s * 2.0),
            idle_timeout: Duration::from_secs_f64(workers.lease_s * 2.0),
            events: VecDeque::new(),
        }
    }

    /// Time since the process started.
    pub(super) fn now(&self) -> Instant {
        self.start.elapsed()
    }

    /// The address of the store, the cloud or a worker.
    pub(super) fn address(&self, target: Target) -> SocketAddr {
        match target {
            Target::Store => self.store,
            Target::Cloud => self.cloud,
            Target::Worker(address) => address,
        }
    }

    /// Registers a connection; none if that fails.
    pub(super) fn add(
        &mut self,
        mut stream: TcpStream,
        role: Role,
        connected: bool,
        deadline: Instant,
    ) -> Option<usize> {
        let token = self.next_token;
        self.next_token += 1;
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(token), interest).ok()?;
        let _ = stream.set_nodelay(true);
        self.connections.insert(token, Connection::new(stream, role, connected, deadline));
        Some(token)
    }

    /// Removes a connection.
    pub(super) fn remove(&mut self, token: usize) -> Option<Connection> {
        let mut connection = self.connections.remove(&token)?;
        let _ = self.poll.registry().deregister(&mut connection.stream);
        Some(connection)
    }

    /// Closes a connection; a call that was waiting on it gets no answer.
    pub(super) fn close(&mut self, token: usize) {
        let Some(connection) = self.remove(token) else {
            return;
        };
        match connection.role {
            Role::Server { .. } => self.servers -= 1,
            Role::Client { target, call } => {
                self.forget_call_connection(target, token);
                if let Some(id) = call {
                    self.events.push_back(Event::CallEnded { id, result: Err(NoAnswer) });
                }
                self.pump_queue();
            }
            Role::PeerIn { .. } => self.peers_in -= 1,
            Role::PeerOut { member } => self.peer_closed(&member),
        }
    }

    /// Reads and writes as far as the socket allows, then handles whole messages.
    pub(super) fn drive(&mut self, token: usize) {
        let response_limit = self.response_limit;
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        match connection.progress() {
            Progress::Established => {}
            Progress::Pending => return,
            Progress::Failed => return self.close(token),
        }
        let limit = match connection.role {
            Role::Server { .. } => BODY_LIMIT * 2,
            Role::Client { .. } => response_limit,
            Role::PeerIn { .. } | Role::PeerOut { .. } => peer::FRAME_LIMIT * 2,
        };
        let stream = connection.receive(limit);
        match connection.role {
            Role::Server { .. } => self.read_requests(token),
            Role::Client { .. } => self.read_response(token),
            Role::PeerIn { .. } => self.read_frames(token),
            Role::PeerOut { .. } => {}
        }
        self.flush(token);
        if stream == StreamState::Ended {
            self.close(token);
        }
    }

    /// Writes as much as the socket takes.
    pub(super) fn flush(&mut self, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if connection.connected && (connection.write_buffered() == StreamState::Ended || connection.is_finished()) {
            self.close(token);
        }
    }

    /// Closes connections and ends calls whose deadline has passed.
    pub(super) fn expire(&mut self) {
        let now = self.now();
        let expired = self.connections.iter().filter(|(_, connection)| connection.deadline <= now);
        let expired: Vec<usize> = expired.map(|(token, _)| *token).collect();
        for token in expired {
            self.close(token);
        }
        while let Some(index) = self.queue.iter().position(|call| call.deadline <= now) {
            if let Some(call) = self.queue.remove(index) {
                self.events.push_back(Event::CallEnded { id: call.id, result: Err(NoAnswer) });
            }
        }
    }

    /// Carries out an action of the controller.
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Respond { conn, status, body, retry_after } => {
                self.respond(conn as usize, status, &body, retry_after);
            }
            Action::Call { id, target, method, path, body, timeout } => {
                let address = self.address(target).to_string();
                let deadline = self.now() + timeout;
                self.queue.push_back(QueuedCall::new(id, target, method, &address, &path, body.as_deref(), deadline));
                self.pump_queue();
            }
            Action::Send { member, frame } => self.send_frame(&member, &frame),
        }
    }
}
