//! The interface between the event loop and the controller's logic: events go in, actions
//! come out. The logic itself uses no sockets and no clock.

#![warn(missing_docs)]

use crate::config::Operator;
use crate::protocol::peer::Frame;
use std::net::SocketAddr;
use std::time::Duration;

/// The id of a connection on which a user, a worker or the load balancer waits for a response.
pub type ConnId = u64;
/// The id of a call to the store, the cloud or a worker.
pub type CallId = u64;
/// A time, given as the monotonic time since the process started.
pub type Instant = Duration;

/// The service to which a call is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Target {
    /// The state service, which is also called the store.
    Store,
    /// The cloud provider's interface.
    Cloud,
    /// The worker at this address.
    Worker(SocketAddr),
}

/// What the event loop is to do for the controller.
#[derive(Debug)]
pub enum Action {
    /// Respond to a request.
    Respond {
        /// The connection of the request.
        conn: ConnId,
        /// Status code.
        status: u16,
        /// Body, empty for none.
        body: Vec<u8>,
        /// Seconds after which the client may retry.
        retry_after: Option<u32>,
    },
    /// Send a request; its result is returned as [`Event::CallEnded`].
    Call {
        /// The id that its result will have.
        id: CallId,
        /// The service to which it is sent.
        target: Target,
        /// HTTP method.
        method: &'static str,
        /// Path and query.
        path: String,
        /// Body, if the request has one.
        body: Option<Vec<u8>>,
        /// Time from now on after which the call ends without an answer.
        timeout: Duration,
    },
    /// Send a frame to another controller. It is dropped if there is no connection.
    Send {
        /// The name of the other controller.
        member: String,
        /// The frame.
        frame: Frame,
    },
}

/// Status code of a message whose body is too large. A call whose response has a larger body than
/// fits into memory ends with it.
pub const STATUS_TOO_LARGE: u16 = 413;

/// The response to a call.
#[derive(Debug)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Body, empty for none.
    pub body: Vec<u8>,
}

/// The error of a call that got no response in time. The request may have been carried out,
/// or may still be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no answer")]
pub struct NoAnswer;

/// What the event loop tells the controller.
#[derive(Debug)]
pub enum Event {
    /// A request of a user, a worker or the load balancer.
    Request {
        /// The connection to respond on.
        conn: ConnId,
        /// HTTP method.
        method: String,
        /// Path and query.
        path: String,
        /// Body, empty for none.
        body: Vec<u8>,
    },
    /// The end of a call.
    CallEnded {
        /// The id of the call.
        id: CallId,
        /// The response, or an error if none came in time.
        result: Result<Reply, NoAnswer>,
    },
    /// A frame from another controller.
    Peer {
        /// The name of the other controller.
        member: String,
        /// The frame.
        frame: Frame,
    },
    /// A new version of the operator's file, which has been validated.
    OperatorSettings(Box<Operator>),
    /// The passage of time, sent at short intervals.
    Tick,
}
