//! One TCP connection, and what it is used for.

use crate::effects::{CallId, Instant, Target};
use mio::net::TcpStream;
use std::io::{self, Read, Write};

/// Bytes that one read takes at most.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// What a connection is used for.
pub(super) enum Role {
    /// A user, worker or load balancer that connected to us.
    Server {
        /// A request is being answered.
        busy: bool,
        /// It is closed once the response is sent.
        close: bool,
    },
    /// Our connection to the store, the cloud or a worker.
    Client {
        target: Target,
        /// The call whose response is awaited.
        call: Option<CallId>,
    },
    /// Another controller that connected to us.
    PeerIn {
        /// Its name, once it has sent its hello.
        member: Option<String>,
    },
    /// Our connection to another controller.
    PeerOut { member: String },
}

/// What is known of a connection that is being established.
pub(super) enum Progress {
    Established,
    Pending,
    Failed,
}

/// Whether a connection goes on after a read or write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamState {
    Open,
    /// The other side closed it, it failed, or it sent more than it may.
    Ended,
}

/// An open connection with its buffers.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) role: Role,
    /// Received and not handled yet.
    pub(super) read: Vec<u8>,
    /// To be sent.
    pub(super) write: Vec<u8>,
    pub(super) connected: bool,
    /// It is closed when this passes.
    pub(super) deadline: Instant,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, role: Role, connected: bool, deadline: Instant) -> Connection {
        Connection { stream, role, read: Vec::new(), write: Vec::new(), connected, deadline }
    }

    /// Checks on a connection that is being established.
    pub(super) fn progress(&mut self) -> Progress {
        if self.connected {
            return Progress::Established;
        }
        if matches!(self.stream.take_error(), Ok(Some(_)) | Err(_)) {
            return Progress::Failed;
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.connected = true;
                Progress::Established
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Progress::Pending,
            Err(_) => Progress::Failed,
        }
    }

    /// Reads what the socket has, into a buffer of at most `limit` bytes.
    pub(super) fn receive(&mut self, limit: usize) -> StreamState {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return StreamState::Ended,
                Ok(count) => {
                    self.read.extend_from_slice(&chunk[..count]);
                    if self.read.len() > limit {
                        return StreamState::Ended;
                    }
                    // A short read has emptied the socket; more brings a new event.
                    if count < chunk.len() {
                        return StreamState::Open;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return StreamState::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return StreamState::Ended,
            }
        }
    }

    /// Writes as much as the socket takes.
    pub(super) fn write_buffered(&mut self) -> StreamState {
        while !self.write.is_empty() {
            match self.stream.write(&self.write) {
                Ok(0) => return StreamState::Ended,
                Ok(count) => {
                    self.write.drain(..count);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return StreamState::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return StreamState::Ended,
            }
        }
        StreamState::Open
    }

    /// Whether it is to be closed now that the last response is sent.
    pub(super) fn is_finished(&self) -> bool {
        self.write.is_empty() && matches!(self.role, Role::Server { busy: false, close: true })
    }
}
