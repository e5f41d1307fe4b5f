//! The two listeners of a controller, and the server side of HTTP: the connections of users,
//! workers and load balancers.

use super::connection::{Connection, Role};
use super::http::{self, Parsed};
use super::network::Network;
use crate::config::Settings;
use crate::effects::{ConnId, Event};
use crate::protocol::MAX_BODY_BYTES;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::io;

/// Token of the listener for users, workers and load balancers.
pub(super) const USER_LISTENER: Token = Token(0);
/// Token of the listener for other controllers.
pub(super) const PEER_LISTENER: Token = Token(1);
/// Token of the first connection; the ones below belong to the listeners.
pub(super) const FIRST_CONNECTION_TOKEN: usize = 2;

/// The listening sockets of a controller.
pub(super) struct Listeners {
    /// Listens for users, workers and load balancers.
    pub(super) users: TcpListener,
    /// Listens for other controllers.
    pub(super) peers: TcpListener,
}

impl Listeners {
    /// Binds both sockets and registers them for polling.
    pub(super) fn bind(settings: &Settings, registry: &Registry) -> io::Result<Listeners> {
        let mut users = TcpListener::bind(settings.public_addr)?;
        let mut peers = TcpListener::bind(settings.peer_bind)?;
        registry.register(&mut users, USER_LISTENER, Interest::READABLE)?;
        registry.register(&mut peers, PEER_LISTENER, Interest::READABLE)?;
        Ok(Listeners { users, peers })
    }
}

/// Accepts the next pending connection, or returns `None` if there is none or accepting fails.
fn accept_next(listener: &TcpListener) -> Option<TcpStream> {
    loop {
        match listener.accept() {
            Ok((stream, _)) => return Some(stream),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

impl Network {
    /// Accepts connections of users, workers and load balancers. At the limit on them, an idle
    /// one is closed for each new one; if none is idle, the new one is dropped.
    pub(super) fn accept_users(&mut self, listener: &TcpListener) {
        while let Some(stream) = accept_next(listener) {
            let deadline = self.now() + self.idle_timeout;
            if self.server_connections >= self.max_server_connections && !self.close_idle_server_connection() {
                continue;
            }
            self.ensure_capacity();
            self.server_connections += 1;
            match self.register(stream, Role::Server { busy: false, close: false }, true, deadline) {
                Some(token) => self.drive(token),
                None => self.server_connections -= 1,
            }
        }
    }

    /// Accepts connections of other controllers. At the limit on them, new ones are dropped.
    pub(super) fn accept_peers(&mut self, listener: &TcpListener) {
        while let Some(stream) = accept_next(listener) {
            // A peer sends its hello frame at once, so a connection without one is closed soon.
            let deadline = self.now() + self.request_timeout;
            if self.inbound_peers >= self.max_inbound_peers {
                continue;
            }
            self.inbound_peers += 1;
            match self.register(stream, Role::InboundPeer { member: None }, true, deadline) {
                Some(token) => self.drive(token),
                None => self.inbound_peers -= 1,
            }
        }
    }

    /// Closes the idle connection of a user, worker or load balancer whose deadline is the
    /// earliest. Returns `false` if there is no idle one.
    pub(super) fn close_idle_server_connection(&mut self) -> bool {
        let is_idle = |connection: &Connection| matches!(connection.role, Role::Server { busy: false, .. });
        let idle = self.connections.iter().filter(|(_, connection)| is_idle(connection));
        let Some((_, token)) = idle.map(|(token, connection)| (connection.deadline, *token)).min() else {
            return false;
        };
        self.close(token);
        true
    }

    /// Makes sure that a new connection stays within [`Network::max_connections`]. At the limit
    /// it closes an idle connection to a worker, or else an idle one of a user, worker or load
    /// balancer. This is needed because a large shard has more workers than there are sockets,
    /// and each worker that was called would keep one. Returns `false` if no connection is idle.
    pub(super) fn ensure_capacity(&mut self) -> bool {
        self.connections.len() < self.max_connections
            || self.close_idle_worker_connection()
            || self.close_idle_server_connection()
    }

    /// Passes the next request to the controller, if it has been received completely and no
    /// earlier one on the connection is still being answered. An invalid request is answered at
    /// once, and the connection is closed.
    pub(super) fn read_requests(&mut self, token: usize) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let Role::Server { busy, close } = &mut connection.role else {
            return;
        };
        if *busy || *close || connection.read_buffer.is_empty() {
            return;
        }
        match http::parse_request(&connection.read_buffer, MAX_BODY_BYTES) {
            // Once a request has begun, the rest of it must arrive within the request timeout.
            Parsed::Partial => connection.deadline = connection.deadline.min(now + self.request_timeout),
            Parsed::Invalid(status) => {
                tracing::debug!(status, "invalid request refused");
                *close = true;
                http::write_response(&mut connection.write_buffer, status, &[], None, true);
            }
            Parsed::Complete(request, used) => {
                connection.read_buffer.drain(..used);
                if connection.read_buffer.is_empty() {
                    connection.read_buffer = Vec::new();
                }
                (*busy, *close) = (true, request.close_connection);
                connection.deadline = now + self.idle_timeout;
                let http::Request { method, path, body, .. } = request;
                self.events.push_back(Event::Request { conn: token as ConnId, method, path, body });
            }
        }
    }

    /// Sends the response to the request that was received on a connection. Does nothing if
    /// the connection has been closed in the meantime.
    pub(super) fn respond(&mut self, token: usize, status: u16, body: &[u8], retry_after: Option<u32>) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let Role::Server { busy, close } = &mut connection.role else {
            return;
        };
        *busy = false;
        http::write_response(&mut connection.write_buffer, status, body, retry_after, *close);
        self.flush(token);
        // The next request may have been received already.
        self.read_requests(token);
    }
}
