//! Outgoing calls to the store, the cloud and the workers: the queue of calls, and the pool
//! of connections on which they are sent.

use super::connection::{Connection, Role};
use super::http::{self, Parsed};
use super::network::Network;
use crate::effects::{CallId, Event, Instant, NoAnswer, Reply, STATUS_TOO_LARGE, Target};
use mio::net::TcpStream;
use std::collections::VecDeque;

/// Maximum number of parallel connections to the store, the cloud or one worker.
const MAX_CONNECTIONS_PER_TARGET: usize = 8;

/// A call that waits in the queue for a connection.
pub(super) struct QueuedCall {
    pub(super) id: CallId,
    target: Target,
    /// The encoded HTTP request.
    request: Vec<u8>,
    /// The time at which the call ends without an answer.
    pub(super) deadline: Instant,
}

/// How a queued call proceeds.
enum Route {
    /// It is sent on the connection with this token, which is idle or was just opened.
    Connection(usize),
    /// It stays in the queue: no connection is idle, and none may be opened.
    Wait,
    /// It ends without an answer: no connection to its target could be opened.
    Fail,
}

impl QueuedCall {
    /// Encodes the request of a call to `target`, whose socket address is `address`.
    pub(super) fn new(
        id: CallId,
        target: Target,
        method: &str,
        address: &str,
        path: &str,
        body: Option<&[u8]>,
        deadline: Instant,
    ) -> QueuedCall {
        let mut request = Vec::new();
        http::write_request(&mut request, method, address, path, body);
        QueuedCall { id, target, request, deadline }
    }
}

impl Network {
    /// Sends as many queued calls as the connection limits allow, on idle or new connections.
    /// The others stay in the queue, in their order.
    pub(super) fn start_queued_calls(&mut self) {
        let mut waiting = VecDeque::new();
        let mut at_limit = false;
        while let Some(call) = self.queued_calls.pop_front() {
            match self.route(&call, &mut at_limit) {
                Route::Connection(token) => self.start_call(token, call),
                Route::Wait => waiting.push_back(call),
                Route::Fail => self.events.push_back(Event::CallEnded { id: call.id, result: Err(NoAnswer) }),
            }
        }
        self.queued_calls = waiting;
    }

    /// Finds an idle connection for a call or opens one. `at_limit` is set once no socket can
    /// be freed; from then on calls to workers wait, whereas calls to the store and the cloud
    /// still open connections.
    fn route(&mut self, call: &QueuedCall, at_limit: &mut bool) -> Route {
        if let Some(token) = self.idle_client_connections.get_mut(&call.target).and_then(Vec::pop) {
            return Route::Connection(token);
        }
        if self.open_client_connections.get(&call.target).copied().unwrap_or(0) >= MAX_CONNECTIONS_PER_TARGET {
            return Route::Wait;
        }
        *at_limit = *at_limit || !self.ensure_capacity();
        if *at_limit && matches!(call.target, Target::Worker(_)) {
            return Route::Wait;
        }
        self.dial(call).map_or(Route::Fail, Route::Connection)
    }

    /// Opens a connection to the target of a call and returns its token, or `None` if that
    /// fails.
    fn dial(&mut self, call: &QueuedCall) -> Option<usize> {
        let stream = TcpStream::connect(self.address(call.target)).ok()?;
        let role = Role::Client { target: call.target, call: None };
        let token = self.register(stream, role, false, call.deadline)?;
        *self.open_client_connections.entry(call.target).or_default() += 1;
        Some(token)
    }

    /// Sends the request of a call on a connection, which gets the deadline of the call.
    fn start_call(&mut self, token: usize, queued: QueuedCall) {
        if let Some(connection) = self.connections.get_mut(&token) {
            if let Role::Client { call, .. } = &mut connection.role {
                *call = Some(queued.id);
            }
            connection.deadline = queued.deadline;
            connection.write_buffer.extend(queued.request);
        }
        self.flush(token);
    }

    /// Handles a response once it has been received completely. A malformed response closes
    /// the connection, and so does one that is too large, whose call ends with a status of its own.
    pub(super) fn read_response(&mut self, token: usize) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let Role::Client { target, call } = &mut connection.role else {
            return;
        };
        if connection.read_buffer.is_empty() {
            return;
        }
        match http::parse_response(&connection.read_buffer, self.response_limit) {
            Parsed::Partial => {}
            Parsed::Invalid(STATUS_TOO_LARGE) => {
                if let Some(id) = call.take() {
                    let reply = Reply { status: STATUS_TOO_LARGE, body: Vec::new() };
                    self.events.push_back(Event::CallEnded { id, result: Ok(reply) });
                }
                self.close(token);
            }
            Parsed::Invalid(_) => self.close(token),
            Parsed::Complete(response, _) => {
                let (target, id) = (*target, call.take());
                connection.read_buffer = Vec::new();
                connection.deadline = now + self.idle_timeout;
                self.finish_call(token, target, id, response);
            }
        }
    }

    /// Passes a response to the controller and returns its connection to the pool. The
    /// connection is closed instead if the response says so, or if no call awaits the response.
    fn finish_call(&mut self, token: usize, target: Target, call: Option<CallId>, response: http::Response) {
        if let Some(id) = call {
            let reply = Reply { status: response.status, body: response.body };
            self.events.push_back(Event::CallEnded { id, result: Ok(reply) });
        }
        if response.close_connection || call.is_none() {
            self.close(token);
        } else {
            self.idle_client_connections.entry(target).or_default().push(token);
            self.start_queued_calls();
        }
    }

    /// Closes the idle connection to a worker whose deadline is the earliest. Returns `false`
    /// if there is no idle one.
    pub(super) fn close_idle_worker_connection(&mut self) -> bool {
        let idle_until = |connection: &Connection| match connection.role {
            Role::Client { target: Target::Worker(_), call: None } => Some(connection.deadline),
            _ => None,
        };
        let idle = self.connections.iter().filter_map(|(token, connection)| Some((idle_until(connection)?, *token)));
        let Some((_, token)) = idle.min() else {
            return false;
        };
        let Some(connection) = self.remove(token) else {
            return false;
        };
        if let Role::Client { target, .. } = connection.role {
            self.forget_client_connection(target, token);
        }
        true
    }

    /// Removes a closed connection to a target from the pool and from the connection count.
    pub(super) fn forget_client_connection(&mut self, target: Target, token: usize) {
        if let Some(idle) = self.idle_client_connections.get_mut(&target) {
            idle.retain(|other| *other != token);
        }
        let Some(open) = self.open_client_connections.get_mut(&target) else {
            return;
        };
        *open -= 1;
        if *open == 0 {
            self.open_client_connections.remove(&target);
            self.idle_client_connections.remove(&target);
        }
    }
}
