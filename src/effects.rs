//! What passes between the event loop and the controller's logic: events in,
//! actions out. The logic never touches a socket or a clock.

use crate::protocol::peer::Frame;
use crate::settings::Operator;
use std::net::SocketAddr;
use std::time::Duration;

/// One open request of a user, worker or load balancer.
pub type ConnId = u64;
/// One request of ours to the store, the cloud or a worker.
pub type CallId = u64;
/// Time since the process started, by the steady clock.
pub type Instant = Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Target {
    State,
    Cloud,
    Worker(SocketAddr),
}

#[derive(Debug)]
pub enum Action {
    Respond {
        conn: ConnId,
        status: u16,
        body: Vec<u8>,
        /// Seconds after which the client may come back.
        retry_after: Option<u32>,
    },
    Call {
        id: CallId,
        target: Target,
        method: &'static str,
        path: String,
        body: Option<Vec<u8>>,
        timeout: Duration,
    },
    Send {
        member: String,
        frame: Frame,
    },
}

#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

/// The call failed: it may have been carried out, or may still be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no answer")]
pub struct NoAnswer;

#[derive(Debug)]
pub enum Event {
    Request {
        conn: ConnId,
        method: String,
        path: String,
        body: Vec<u8>,
    },
    Answer {
        id: CallId,
        result: Result<Reply, NoAnswer>,
    },
    Peer {
        member: String,
        frame: Frame,
    },
    /// The operator's file has changed, and is good.
    Operator(Box<Operator>),
    Tick,
}
