//! Messages between the event loop and the controller's logic: events in, actions out.
//! The logic never touches a socket or a clock.

use crate::config::Operator;
use crate::protocol::peer::Frame;
use std::net::SocketAddr;
use std::time::Duration;

/// Id of a connection on which a user, worker or load balancer waits for a response.
pub type ConnId = u64;
/// Id of a call to the store, the cloud or a worker.
pub type CallId = u64;
/// Time since the process started, by the monotonic clock.
pub type Instant = Duration;

/// What a call goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Target {
    /// The store.
    State,
    /// The cloud.
    Cloud,
    /// The worker at this address.
    Worker(SocketAddr),
}

/// What the controller has the event loop do.
#[derive(Debug)]
pub enum Action {
    /// Answer a request.
    Respond {
        /// Connection of the request.
        conn: ConnId,
        /// Status code.
        status: u16,
        /// Body, empty for none.
        body: Vec<u8>,
        /// Seconds after which the client may retry.
        retry_after: Option<u32>,
    },
    /// Send a request; its result comes back as [`Event::Answer`].
    Call {
        /// Id that the result has.
        id: CallId,
        /// Where it goes.
        target: Target,
        /// HTTP method.
        method: &'static str,
        /// Path and query.
        path: String,
        /// Body, if it has one.
        body: Option<Vec<u8>>,
        /// Time after which it counts as not answered, from now on.
        timeout: Duration,
    },
    /// Send a frame to another controller; it is dropped if that is not connected.
    Send {
        /// Name of the controller.
        member: String,
        /// The frame.
        frame: Frame,
    },
}

/// Response to a call.
#[derive(Debug)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Body, empty for none.
    pub body: Vec<u8>,
}

/// A call got no response: it may have been carried out, or may still be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no answer")]
pub struct NoAnswer;

/// What the controller is told of.
#[derive(Debug)]
pub enum Event {
    /// A request of a user, worker or load balancer.
    Request {
        /// Connection to respond on.
        conn: ConnId,
        /// HTTP method.
        method: String,
        /// Path and query.
        path: String,
        /// Body, empty for none.
        body: Vec<u8>,
    },
    /// A call ended.
    Answer {
        /// Id of the call.
        id: CallId,
        /// The response, if there was one in time.
        result: Result<Reply, NoAnswer>,
    },
    /// A frame of another controller.
    Peer {
        /// Name of the controller.
        member: String,
        /// The frame.
        frame: Frame,
    },
    /// The operator's file has changed, and is valid.
    Operator(Box<Operator>),
    /// Time has passed.
    Tick,
}
