//! The two listeners, and the connections of users, workers and load balancers.

use super::connection::{Connection, Role};
use super::http::{self, Parsed};
use super::network::Network;
use crate::config::Settings;
use crate::effects::{ConnId, Event};
use crate::protocol::BODY_LIMIT;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::io;

/// Token of the listener for users, workers and load balancers.
pub(super) const USER_LISTENER: Token = Token(0);
/// Token of the listener for other controllers.
pub(super) const PEER_LISTENER: Token = Token(1);
/// The first token of a connection.
pub(super) const FIRST_CONNECTION: usize = 2;

/// The listening sockets of a controller.
pub(super) struct Listeners {
    pub(super) users: TcpListener,
    pub(super) peers: TcpListener,
}

impl Listeners {
    /// Binds both sockets.
    pub(super) fn bind(settings: &Settings, registry: &Registry) -> io::Result<Listeners> {
        let mut users = TcpListener::bind(settings.public_addr)?;
        let mut peers = TcpListener::bind(settings.peer_bind)?;
        registry.register(&mut users, USER_LISTENER, Interest::READABLE)?;
        registry.register(&mut peers, PEER_LISTENER, Interest::READABLE)?;
        Ok(Listeners { users, peers })
    }
}

/// The next connection that waits to be accepted.
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
    /// Accepts users, workers and load balancers, within the limits.
    pub(super) fn accept_users(&mut self, listener: &TcpListener) {
        while let Some(stream) = accept_next(listener) {
            let deadline = self.now() + self.idle_timeout;
            if self.servers >= self.max_servers && !self.shed_idle_server() {
                continue;
            }
            self.make_capacity();
            self.servers += 1;
            match self.add(stream, Role::Server { busy: false, close: false }, true, deadline) {
                Some(token) => self.drive(token),
                None => self.servers -= 1,
            }
        }
    }

    /// Accepts other controllers, within the limit.
    pub(super) fn accept_peers(&mut self, listener: &TcpListener) {
        while let Some(stream) = accept_next(listener) {
            // A peer sends its hello at once; anything else is closed soon.
            let deadline = self.now() + self.request_timeout;
            if self.peers_in >= self.max_peers_in {
                continue;
            }
            self.peers_in += 1;
            match self.add(stream, Role::PeerIn { member: None }, true, deadline) {
                Some(token) => self.drive(token),
                None => self.peers_in -= 1,
            }
        }
    }

    /// Closes the idle connection of a user, worker or load balancer that is nearest its
    /// deadline. False if none is idle.
    pub(super) fn shed_idle_server(&mut self) -> bool {
        let is_idle = |connection: &Connection| matches!(connection.role, Role::Server { busy: false, .. });
        let idle = self.connections.iter().filter(|(_, connection)| is_idle(connection));
        let Some((_, token)) = idle.map(|(token, connection)| (connection.deadline, *token)).min() else {
            return false;
        };
        self.close(token);
        true
    }

    /// Keeps one socket free for a new connection while the machine's limit is near: an
    /// idle connection to a worker is closed, or else an idle one of a client. A large
    /// shard has more workers than there are sockets, and each that was called would keep
    /// one. False where all are in use.
    pub(super) fn make_capacity(&mut self) -> bool {
        self.connections.len() < self.max_connections || self.shed_idle_call() || self.shed_idle_server()
    }

    /// Handles the next request, if it was received whole and none is being answered.
    pub(super) fn read_requests(&mut self, token: usize) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let Role::Server { busy, close } = &mut connection.role else {
            return;
        };
        if *busy || *close || connection.read.is_empty() {
            return;
        }
        match http::parse_request(&connection.read, BODY_LIMIT) {
            // A request that has begun must be received whole soon.
            Parsed::Partial => connection.deadline = connection.deadline.min(now + self.request_timeout),
            Parsed::Bad(status) => {
                *close = true;
                http::write_response(&mut connection.write, status, &[], None, true);
            }
            Parsed::Whole(request, used) => {
                connection.read.drain(..used);
                if connection.read.is_empty() {
                    connection.read = Vec::new();
                }
                (*busy, *close) = (true, request.close);
                connection.deadline = now + self.idle_timeout;
                let http::Request { method, path, body, .. } = request;
                self.events.push_back(Event::Request { conn: token as ConnId, method, path, body });
            }
        }
    }

    /// Answers the request that was received on a connection.
    pub(super) fn respond(&mut self, token: usize, status: u16, body: &[u8], retry_after: Option<u32>) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let Role::Server { busy, close } = &mut connection.role else {
            return;
        };
        *busy = false;
        http::write_response(&mut connection.write, status, body, retry_after, *close);
        self.flush(token);
        // The client may have sent its next request already.
        self.read_requests(token);
    }
}
