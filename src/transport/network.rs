//! All connections of the process: registering, reading, writing and closing them.

use super::calls::QueuedCall;
use super::connection::{ConnectProgress, Connection, Role, StreamState};
use super::listeners::FIRST_CONNECTION_TOKEN;
use super::peers::PeerConnection;
use crate::config::Settings;
use crate::effects::{Action, Event, Instant, NoAnswer, Target};
use crate::protocol::time::duration_from_secs;
use crate::protocol::{MAX_BODY_BYTES, peer};
use mio::net::TcpStream;
use mio::{Interest, Poll, Token};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum size of a response that is read from the store, the cloud or a worker, as a part of
/// the controller's memory.
const RESPONSE_MEMORY_SHARE: f64 = 1.0 / 8.0;
/// The machine's socket limit divided by this is the number of sockets that are reserved for
/// the listeners and for connections that are accepted before they are counted.
const RESERVED_SOCKETS_DIVISOR: usize = 16;
/// The machine's socket limit divided by this is the number of sockets that users and workers
/// do not get.
const UNSERVED_SOCKETS_DIVISOR: usize = 4;
/// The machine's socket limit divided by this is the maximum number of accepted connections
/// of peers.
const PEER_SOCKETS_DIVISOR: usize = 16;

/// All connections, and the events that they have caused.
pub(super) struct Network {
    /// The poll instance with which all sockets are registered.
    pub(super) poll: Poll,
    /// When the process started.
    started_at: std::time::Instant,
    /// All connections, by token.
    pub(super) connections: HashMap<usize, Connection>,
    /// The token of the next connection; tokens are not reused.
    next_token: usize,
    /// The idle client connections to each target, by token.
    pub(super) idle_client_connections: HashMap<Target, Vec<usize>>,
    /// The number of client connections to each target, idle or not.
    pub(super) open_client_connections: HashMap<Target, usize>,
    /// Calls that wait for a connection.
    pub(super) queued_calls: VecDeque<QueuedCall>,
    /// The connections to the other controllers, by their names.
    pub(super) peers: HashMap<String, PeerConnection>,
    /// The name of this controller.
    pub(super) member: String,
    /// The address of the store.
    pub(super) store_address: SocketAddr,
    /// The address of the cloud provider's interface.
    cloud_address: SocketAddr,
    /// The number of accepted connections of users, workers and load balancers.
    pub(super) server_connections: usize,
    /// The limit on `server_connections`: three quarters of the machine's sockets.
    pub(super) max_server_connections: usize,
    /// The number of connections of all kinds at which idle ones are closed for new ones.
    pub(super) max_connections: usize,
    /// The number of accepted connections of other controllers.
    pub(super) inbound_peers: usize,
    /// The limit on `inbound_peers`. Each peer needs one connection, and more while its old
    /// ones have not timed out.
    pub(super) max_inbound_peers: usize,
    /// The maximum size of a response, in bytes.
    pub(super) response_limit: usize,
    /// How long a client may take to send one request, and how long a connection to or from a
    /// peer may take to be established.
    pub(super) request_timeout: Duration,
    /// How long a connection may be idle.
    pub(super) idle_timeout: Duration,
    /// Events for the controller, in the order of their occurrence.
    pub(super) events: VecDeque<Event>,
}

impl Network {
    /// Returns a network without connections, which registers its sockets with `poll`.
    pub(super) fn new(settings: &Settings, poll: Poll) -> Network {
        let workers = &settings.deployment.workers;
        let limits = &settings.deployment.machine_limits;
        let peers = settings.peers.iter().map(|other| (other.member.clone(), PeerConnection::new(other.peer_addr)));
        Network {
            poll,
            started_at: std::time::Instant::now(),
            connections: HashMap::new(),
            next_token: FIRST_CONNECTION_TOKEN,
            idle_client_connections: HashMap::new(),
            open_client_connections: HashMap::new(),
            queued_calls: VecDeque::new(),
            peers: peers.collect(),
            member: settings.member.clone(),
            store_address: settings.external.state,
            cloud_address: settings.external.cloud,
            server_connections: 0,
            max_server_connections: limits.max_connections - limits.max_connections.div_ceil(UNSERVED_SOCKETS_DIVISOR),
            max_connections: limits.max_connections - limits.max_connections / RESERVED_SOCKETS_DIVISOR,
            inbound_peers: 0,
            max_inbound_peers: limits.max_connections / PEER_SOCKETS_DIVISOR,
            response_limit: limits.memory_share(RESPONSE_MEMORY_SHARE),
            request_timeout: duration_from_secs(workers.heartbeat_interval_s * 2.0),
            idle_timeout: duration_from_secs(workers.lease_s * 2.0),
            events: VecDeque::new(),
        }
    }

    /// Returns the time since the process started.
    pub(super) fn now(&self) -> Instant {
        self.started_at.elapsed()
    }

    /// Returns the address of the store, the cloud or a worker.
    pub(super) fn address(&self, target: Target) -> SocketAddr {
        match target {
            Target::Store => self.store_address,
            Target::Cloud => self.cloud_address,
            Target::Worker(address) => address,
        }
    }

    /// Registers a connection and returns its token, or `None` if that fails.
    pub(super) fn register(
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

    /// Removes a connection and deregisters its socket, which is closed when the returned value
    /// is dropped. Unlike [`Network::close`], this updates neither the connection counts nor the
    /// pool of idle connections.
    pub(super) fn remove(&mut self, token: usize) -> Option<Connection> {
        let mut connection = self.connections.remove(&token)?;
        let _ = self.poll.registry().deregister(&mut connection.stream);
        Some(connection)
    }

    /// Closes a connection. A call that awaits its response on it ends without an answer.
    pub(super) fn close(&mut self, token: usize) {
        let Some(connection) = self.remove(token) else {
            return;
        };
        match connection.role {
            Role::Server { .. } => self.server_connections -= 1,
            Role::Client { target, call } => {
                self.forget_client_connection(target, token);
                if let Some(id) = call {
                    self.events.push_back(Event::CallEnded { id, result: Err(NoAnswer) });
                }
                self.start_queued_calls();
            }
            Role::InboundPeer { .. } => self.inbound_peers -= 1,
            Role::OutboundPeer { member } => self.on_peer_closed(&member),
        }
    }

    /// Reads from a connection as far as the socket allows, handles complete messages, and
    /// writes as far as the socket allows. Closes the connection if it has ended.
    pub(super) fn drive(&mut self, token: usize) {
        let response_limit = self.response_limit;
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        match connection.connect_progress() {
            ConnectProgress::Established => {}
            ConnectProgress::Pending => return,
            ConnectProgress::Failed => return self.close(token),
        }
        let limit = match connection.role {
            Role::Server { .. } => MAX_BODY_BYTES * 2,
            Role::Client { .. } => response_limit,
            Role::InboundPeer { .. } | Role::OutboundPeer { .. } => peer::MAX_FRAME_BYTES * 2,
        };
        let stream_state = connection.receive(limit);
        match connection.role {
            Role::Server { .. } => self.read_requests(token),
            Role::Client { .. } => self.read_response(token),
            Role::InboundPeer { .. } => self.read_frames(token),
            Role::OutboundPeer { .. } => {}
        }
        self.flush(token);
        if stream_state == StreamState::Ended {
            self.close(token);
        }
    }

    /// Writes as much of the write buffer as the socket accepts. Closes the connection if it
    /// has ended or its last response has been sent.
    pub(super) fn flush(&mut self, token: usize) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if connection.connected && (connection.write_buffered() == StreamState::Ended || connection.is_finished()) {
            self.close(token);
        }
    }

    /// Closes the connections and ends the queued calls whose deadline has passed.
    pub(super) fn close_expired(&mut self) {
        let now = self.now();
        let expired = self.connections.iter().filter(|(_, connection)| connection.deadline <= now);
        let expired: Vec<usize> = expired.map(|(token, _)| *token).collect();
        for token in expired {
            self.close(token);
        }
        while let Some(index) = self.queued_calls.iter().position(|call| call.deadline <= now) {
            if let Some(call) = self.queued_calls.remove(index) {
                self.events.push_back(Event::CallEnded { id: call.id, result: Err(NoAnswer) });
            }
        }
    }

    /// Performs an action of the controller.
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Respond { conn, status, body, retry_after } => {
                self.respond(conn as usize, status, &body, retry_after);
            }
            Action::Call { id, target, method, path, body, timeout } => {
                let address = self.address(target).to_string();
                let deadline = self.now() + timeout;
                let call = QueuedCall::new(id, target, method, &address, &path, body.as_deref(), deadline);
                self.queued_calls.push_back(call);
                self.start_queued_calls();
            }
            Action::Send { member, frame } => self.send_frame(&member, &frame),
        }
    }
}
