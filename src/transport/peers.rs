//! Connections between controllers. Each controller dials all others, and sends frames only on
//! the connections that it has opened itself.

use super::connection::Role;
use super::network::Network;
use crate::effects::{Event, Instant};
use crate::protocol::peer::{self, Frame};
use mio::net::TcpStream;
use std::net::SocketAddr;
use std::time::Duration;

/// The request timeout divided by this is the delay before a peer is dialled again.
const REDIAL_DELAY_DIVISOR: u32 = 8;

/// The state of the connection that this process opens to another controller.
pub(super) struct PeerConnection {
    /// The address on which the peer listens for other controllers.
    address: SocketAddr,
    /// The token of the connection, while there is one.
    token: Option<usize>,
    /// When the peer may be dialled again.
    retry_at: Instant,
}

impl PeerConnection {
    /// Returns the state of a peer that has not been dialled yet.
    pub(super) fn new(address: SocketAddr) -> PeerConnection {
        PeerConnection { address, token: None, retry_at: Duration::ZERO }
    }
}

impl Network {
    /// Dials the peers without a connection whose delay before the next attempt has passed.
    pub(super) fn dial_peers(&mut self) {
        let now = self.now();
        let due = self.peers.iter().filter(|(_, peer)| peer.token.is_none() && peer.retry_at <= now);
        let due: Vec<(String, SocketAddr)> = due.map(|(member, peer)| (member.clone(), peer.address)).collect();
        for (member, address) in due {
            let token = self.dial_peer(&member, address, now + self.request_timeout);
            let retry_at = now + self.request_timeout / REDIAL_DELAY_DIVISOR;
            if let Some(peer) = self.peers.get_mut(&member) {
                (peer.token, peer.retry_at) = (token, retry_at);
            }
        }
    }

    /// Opens a connection to a peer, with the hello frame to be sent first. Returns its token,
    /// or `None` if that fails.
    fn dial_peer(&mut self, member: &str, address: SocketAddr, deadline: Instant) -> Option<usize> {
        let stream = TcpStream::connect(address).ok()?;
        let token = self.register(stream, Role::OutboundPeer { member: member.to_string() }, false, deadline)?;
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.write_buffer = peer::encode(&Frame::Hello { member: self.member.clone() });
        }
        Some(token)
    }

    /// Records that the connection to a peer was closed, and sets when to dial it again.
    pub(super) fn on_peer_closed(&mut self, member: &str) {
        let retry_at = self.now() + self.request_timeout / REDIAL_DELAY_DIVISOR;
        if let Some(peer) = self.peers.get_mut(member) {
            (peer.token, peer.retry_at) = (None, retry_at);
        }
    }

    /// Handles all frames that have been received completely. The connection is closed after a
    /// hello frame of an unknown peer, any frame before the hello, or an invalid frame.
    pub(super) fn read_frames(&mut self, token: usize) {
        let deadline = self.now() + self.idle_timeout;
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let Role::InboundPeer { member } = &mut connection.role else {
            return;
        };
        loop {
            match peer::decode(&mut connection.read_buffer) {
                Ok(None) => return,
                Err(_) => return self.close(token),
                Ok(Some(Frame::Hello { member: name })) => {
                    if !self.peers.contains_key(&name) {
                        return self.close(token);
                    }
                    *member = Some(name);
                }
                Ok(Some(frame)) => {
                    let Some(member) = member.clone() else {
                        return self.close(token);
                    };
                    connection.deadline = deadline;
                    self.events.push_back(Event::Peer { member, frame });
                }
            }
        }
    }

    /// Sends a frame to a peer. The frame is dropped if the peer is not connected, or if it does
    /// not read and too many bytes are still to be written: this bounds the memory in use.
    pub(super) fn send_frame(&mut self, member: &str, frame: &Frame) {
        let deadline = self.now() + self.idle_timeout;
        let Some(token) = self.peers.get(member).and_then(|peer| peer.token) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&token)
            && connection.connected
            && connection.write_buffer.len() < peer::MAX_FRAME_BYTES
        {
            if connection.write_buffer.is_empty() {
                connection.deadline = deadline;
            }
            connection.write_buffer.extend(peer::encode(frame));
        }
        self.flush(token);
    }
}
