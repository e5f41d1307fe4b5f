//! Connections between controllers: each dials all others and sends frames on its own
//! connections only.

use super::connection::Role;
use super::network::Network;
use crate::effects::{Event, Instant};
use crate::protocol::peer::{self, Frame};
use mio::net::TcpStream;
use std::net::SocketAddr;
use std::time::Duration;

/// A peer is dialled again after one part in this many of the request timeout.
const RETRY_SHARE: u32 = 8;

/// Our connection to one other controller.
pub(super) struct PeerConnection {
    address: SocketAddr,
    /// Token of the connection, while there is one.
    token: Option<usize>,
    /// When it may be dialled again.
    retry_at: Instant,
}

impl PeerConnection {
    /// Not dialled yet.
    pub(super) fn new(address: SocketAddr) -> PeerConnection {
        PeerConnection { address, token: None, retry_at: Duration::ZERO }
    }
}

impl Network {
    /// Dials peers that are not connected.
    pub(super) fn dial_peers(&mut self) {
        let now = self.now();
        let due = self.peers.iter().filter(|(_, peer)| peer.token.is_none() && peer.retry_at <= now);
        let due: Vec<(String, SocketAddr)> = due.map(|(member, peer)| (member.clone(), peer.address)).collect();
        for (member, address) in due {
            let token = self.dial_peer(&member, address, now + self.request_timeout);
            let retry_at = now + self.request_timeout / RETRY_SHARE;
            if let Some(peer) = self.peers.get_mut(&member) {
                (peer.token, peer.retry_at) = (token, retry_at);
            }
        }
    }

    fn dial_peer(&mut self, member: &str, address: SocketAddr, deadline: Instant) -> Option<usize> {
        let stream = TcpStream::connect(address).ok()?;
        let token = self.add(stream, Role::PeerOut { member: member.to_string() }, false, deadline)?;
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.write = peer::encode(&Frame::Hello { member: self.member.clone() });
        }
        Some(token)
    }

    /// Our connection to a peer was closed.
    pub(super) fn peer_closed(&mut self, member: &str) {
        let retry_at = self.now() + self.request_timeout / RETRY_SHARE;
        if let Some(peer) = self.peers.get_mut(member) {
            (peer.token, peer.retry_at) = (None, retry_at);
        }
    }

    /// Handles all frames that were received whole. An unknown peer, a frame before the
    /// hello, or bytes that are no frame close the connection.
    pub(super) fn read_frames(&mut self, token: usize) {
        let deadline = self.now() + self.idle_timeout;
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        let Role::PeerIn { member } = &mut connection.role else {
            return;
        };
        loop {
            match peer::decode(&mut connection.read) {
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

    /// Sends a frame to a peer, if it is connected. A peer that does not read loses
    /// frames, so that they do not fill our memory.
    pub(super) fn send_frame(&mut self, member: &str, frame: &Frame) {
        let deadline = self.now() + self.idle_timeout;
        let Some(token) = self.peers.get(member).and_then(|peer| peer.token) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&token)
            && connection.connected
            && connection.write.len() < peer::FRAME_LIMIT
        {
            if connection.write.is_empty() {
                connection.deadline = deadline;
            }
            connection.write.extend(peer::encode(frame));
        }
        self.flush(token);
    }
}
