//! Calls to the store, the cloud and workers: a queue, and a pool of connections.

use super::connection::{Connection, Role};
use super::http::{self, Parsed};
use super::network::Network;
use crate::effects::{CallId, Event, Instant, NoAnswer, Reply, Target};
use mio::net::TcpStream;
use std::collections::VecDeque;

/// Parallel connections to the store, the cloud or one worker.
const CONNECTIONS_PER_TARGET: usize = 8;

/// A call that waits for a connection.
pub(super) struct QueuedCall {
    pub(super) id: CallId,
    target: Target,
    /// The request as it is sent.
    request: Vec<u8>,
    pub(super) deadline: Instant,
}

/// Where a queued call goes.
enum Route {
    /// A connection that is free or was just opened.
    Connection(usize),
    /// Nowhere yet: all connections that it may use are busy.
    Wait,
    /// Its target cannot be dialled.
    Fail,
}

impl QueuedCall {
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
    /// Puts queued calls on idle or new connections, within the limits.
    pub(super) fn pump_queue(&mut self) {
        let mut waiting = VecDeque::new();
        let mut full = false;
        while let Some(call) = self.queue.pop_front() {
            match self.route(&call, &mut full) {
                Route::Connection(token) => self.start_call(token, call),
                Route::Wait => waiting.push_back(call),
                Route::Fail => self.events.push_back(Event::CallEnded { id: call.id, result: Err(NoAnswer) }),
            }
        }
        self.queue = waiting;
    }

    /// Finds or opens a connection for a call. `full` is set once no socket is left; only
    /// calls to workers wait then.
    fn route(&mut self, call: &QueuedCall, full: &mut bool) -> Route {
        if let Some(token) = self.idle.get_mut(&call.target).and_then(Vec::pop) {
            return Route::Connection(token);
        }
        if self.open.get(&call.target).copied().unwrap_or(0) >= CONNECTIONS_PER_TARGET {
            return Route::Wait;
        }
        *full = *full || !self.make_capacity();
        if *full && matches!(call.target, Target::Worker(_)) {
            return Route::Wait;
        }
        self.dial(call).map_or(Route::Fail, Route::Connection)
    }

    fn dial(&mut self, call: &QueuedCall) -> Option<usize> {
        let stream = TcpStream::connect(self.address(call.target)).ok()?;
        let role = Role::Client { target: call.target, call: None };
        let token = self.add(stream, role, false, call.deadline)?;
        *self.open.entry(call.target).or_default() += 1;
        Some(token)
    }

    fn start_call(&mut self, token: usize, queued: QueuedCall) {
        if let Some(connection) = self.connections.get_mut(&token) {
            if let Role::Client { call, .. } = &mut connection.role {
                *call = Some(queued.id);
            }
            connection.deadline = queued.deadline;
            connection.write.extend(queued.request);
        }
        self.flush(token);
    }

    /// Handles a response, if it was received whole.
    pub(super) fn read_response(&mut self, token: usize) {
        let now = self.now();
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let Role::Client { target, call } = &mut connection.role else {
            return;
        };
        if connection.read.is_empty() {
            return;
        }
        match http::parse_response(&connection.read, self.response_limit) {
            Parsed::Partial => {}
            Parsed::Bad(_) => self.close(token),
            Parsed::Whole(response, _) => {
                let (target, id) = (*target, call.take());
                connection.read = Vec::new();
                connection.deadline = now + self.idle_timeout;
                self.finish_call(token, target, id, response);
            }
        }
    }

    /// Passes a response on, and frees its connection or closes it. A response that no
    /// call awaits closes it.
    fn finish_call(&mut self, token: usize, target: Target, call: Option<CallId>, response: http::Response) {
        if let Some(id) = call {
            let reply = Reply { status: response.status, body: response.body };
            self.events.push_back(Event::CallEnded { id, result: Ok(reply) });
        }
        if response.close || call.is_none() {
            self.close(token);
        } else {
            self.idle.entry(target).or_default().push(token);
            self.pump_queue();
        }
    }

    /// Closes the idle connection to a worker that is nearest its deadline. False if none
    /// is idle.
    pub(super) fn shed_idle_call(&mut self) -> bool {
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
            self.forget_call_connection(target, token);
        }
        true
    }

    /// A connection of ours to this target was closed.
    pub(super) fn forget_call_connection(&mut self, target: Target, token: usize) {
        if let Some(idle) = self.idle.get_mut(&target) {
            idle.retain(|other| *other != token);
        }
        let Some(open) = self.open.get_mut(&target) else {
            return;
        };
        *open -= 1;
        if *open == 0 {
            self.open.remove(&target);
            self.idle.remove(&target);
        }
    }
}
