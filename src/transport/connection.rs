//! A TCP connection with its buffers and its role.

use crate::effects::{CallId, Instant, Target};
use mio::net::TcpStream;
use std::io::{self, Read, Write};

/// Maximum number of bytes that one system call reads from a socket.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// What a connection is used for.
pub(super) enum Role {
    /// An accepted connection of a user, a worker or a load balancer, on which this process is
    /// the HTTP server.
    Server {
        /// Whether a request has been passed to the controller and not been answered yet.
        busy: bool,
        /// Whether the connection is closed once its last response has been sent.
        close: bool,
    },
    /// A connection opened by this process to the store, the cloud or a worker, on which it is
    /// the HTTP client.
    Client {
        /// The service at the other end.
        target: Target,
        /// The call whose response is awaited; `None` while the connection is idle.
        call: Option<CallId>,
    },
    /// An accepted connection of another controller, on which frames are received.
    InboundPeer {
        /// The name of the other controller, once it has sent its hello frame.
        member: Option<String>,
    },
    /// A connection opened by this process to another controller, on which frames are sent.
    OutboundPeer {
        /// The name of the other controller.
        member: String,
    },
}

/// State of the TCP handshake of a connection.
pub(super) enum ConnectProgress {
    /// The connection can be read and written.
    Established,
    /// The handshake has not ended yet.
    Pending,
    /// The connection could not be established.
    Failed,
}

/// Whether a connection can still be used after a read or a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamState {
    /// It can be read and written further.
    Open,
    /// The other side has closed it or sent more than it may, or an I/O error occurred.
    Ended,
}

/// A connection that is open or being opened, with its buffers.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) role: Role,
    /// Bytes received and not yet parsed.
    pub(super) read_buffer: Vec<u8>,
    /// Bytes not yet written to the socket.
    pub(super) write_buffer: Vec<u8>,
    /// Whether the TCP handshake is known to be complete.
    pub(super) connected: bool,
    /// The time at which the connection is closed; use of the connection extends it.
    pub(super) deadline: Instant,
}

impl Connection {
    /// Returns a connection with empty buffers. `connected` is `true` for an accepted stream.
    pub(super) fn new(stream: TcpStream, role: Role, connected: bool, deadline: Instant) -> Connection {
        Connection { stream, role, read_buffer: Vec::new(), write_buffer: Vec::new(), connected, deadline }
    }

    /// Checks whether the TCP handshake is complete, and records it if so.
    pub(super) fn connect_progress(&mut self) -> ConnectProgress {
        if self.connected {
            return ConnectProgress::Established;
        }
        if matches!(self.stream.take_error(), Ok(Some(_)) | Err(_)) {
            return ConnectProgress::Failed;
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.connected = true;
                ConnectProgress::Established
            }
            Err(error) if error.kind() == io::ErrorKind::NotConnected => ConnectProgress::Pending,
            Err(_) => ConnectProgress::Failed,
        }
    }

    /// Appends what the socket has received to the read buffer. The connection ends if the
    /// buffer then holds more than `limit` bytes.
    pub(super) fn receive(&mut self, limit: usize) -> StreamState {
        let mut chunk = [0u8; READ_CHUNK_BYTES];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return StreamState::Ended,
                Ok(count) => {
                    self.read_buffer.extend_from_slice(&chunk[..count]);
                    if self.read_buffer.len() > limit {
                        return StreamState::Ended;
                    }
                    // A short read has emptied the socket; further bytes cause a new event.
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

    /// Writes as much of the write buffer as the socket accepts.
    pub(super) fn write_buffered(&mut self) -> StreamState {
        while !self.write_buffer.is_empty() {
            match self.stream.write(&self.write_buffer) {
                Ok(0) => return StreamState::Ended,
                Ok(count) => {
                    self.write_buffer.drain(..count);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return StreamState::Open,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return StreamState::Ended,
            }
        }
        StreamState::Open
    }

    /// Whether its last response has been sent and the connection is to be closed.
    pub(super) fn is_finished(&self) -> bool {
        self.write_buffer.is_empty() && matches!(self.role, Role::Server { busy: false, close: true })
    }
}
