//! Frames between controllers: a length prefix of four bytes in network byte order, then
//! the frame encoded with borsh. Borsh writes no names, so the order of fields and
//! variants is the format.

#![warn(missing_docs)]

use borsh::{BorshDeserialize, BorshSerialize};
use thiserror::Error;

/// Maximum size of a frame, in bytes, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Size of the length prefix, in bytes.
const LENGTH_PREFIX_BYTES: usize = size_of::<u32>();

/// The error after which no more frames can be read from a stream.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length prefix exceeds [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes exceeds the limit")]
    TooLong(usize),
    /// The bytes after the length prefix are not a valid frame.
    #[error("not a frame: {0}")]
    Malformed(String),
}

/// A message between controllers.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// The first frame on every connection, sent by the controller that opened it.
    Hello {
        /// Name of the sender.
        member: String,
    },
    /// A heartbeat, sent to every other controller at a steady interval.
    PeerHeartbeat(Box<PeerHeartbeat>),
}

/// The newest heartbeat that the sender of the frame has received from one controller.
#[derive(Debug, Clone, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Acknowledgement {
    /// Name of the controller that sent the heartbeat.
    pub member: String,
    /// Incarnation (process) of that controller.
    pub incarnation: u64,
    /// Sequence number of the heartbeat.
    pub seq: u64,
}

/// A machine whose worker recently sent a heartbeat to the sender of the frame.
#[derive(Debug, Clone, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct RecentMachine {
    /// Id of the machine.
    pub machine: String,
    /// Milliseconds between the worker's last message and this controller heartbeat.
    pub ago_ms: u64,
    /// Agent epoch of the worker's last message. Together with `heartbeat_seq` it lets
    /// other controllers recognize a delayed copy of an older message.
    pub agent_epoch: u64,
    /// Heartbeat sequence number of the worker's last message.
    pub heartbeat_seq: u64,
}

/// The changes after a revision that restrict a controller that has not applied them yet:
/// it must stop the listed jobs, and it must not act for the listed machines.
#[derive(Debug, Clone, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Revocations {
    /// Revision after which the lists are complete: of all later changes that the sender
    /// knows of, only the listed ones restrict the receiver.
    pub since: u64,
    /// Jobs that were cancelled and may still have tasks, each with the revision of its
    /// cancellation.
    pub cancelled: Vec<(String, u64)>,
    /// Machines that were granted to a controller, each with the revision of its grant.
    pub granted: Vec<(String, u64)>,
}

/// Heartbeat of a controller to the other controllers, with its observations. All fields
/// are advisory except `revision`, `known_revision` and `revocations`, which the read
/// index depends on. The proof of the read index is at `PeerTable::read_index_time`.
#[derive(Debug, Clone, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PeerHeartbeat {
    /// Incarnation (process) of the sender.
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation, from 1.
    pub seq: u64,
    /// The newest heartbeat that the sender had received from each controller. An
    /// acknowledgement of the receiver's own heartbeat proves that the sender receives
    /// them, and that this heartbeat was sent no earlier than that one.
    pub acknowledgements: Vec<Acknowledgement>,
    /// Revision up to which the sender's replica of the store is complete; `None` while
    /// it has no replica.
    pub revision: Option<u64>,
    /// The newest revision that the sender knows of, from its watch, a read or the
    /// response to a write. No answer that it gave to a user, and no state that it acts
    /// on, is newer.
    pub known_revision: u64,
    /// Changes that controllers which have not applied them must know of; `None` if the
    /// sender cannot tell which these are.
    pub revocations: Option<Revocations>,
    /// Live controllers with their incarnations; empty unless the sender's replica is
    /// fresh.
    pub members: Vec<(String, u64)>,
    /// Milliseconds since the sender's replica was last known to be fresh.
    pub stale_ms: u64,
    /// Machines whose workers recently sent a heartbeat to the sender.
    pub recent_machines: Vec<RecentMachine>,
    /// Machines of the sender's shard that stopped sending heartbeats, each with the
    /// address of its worker, which other controllers probe.
    pub unresponsive: Vec<(String, String)>,
    /// Machines that answered a probe by the sender, each with the milliseconds since the
    /// answer.
    pub probe_answers: Vec<(String, u64)>,
    /// Machines of any shard that the cloud no longer lists, or lists as failed.
    pub unlisted: Vec<String>,
    /// Machines that the sender provisioned during the startup of the cluster.
    pub provisioned: Vec<String>,
    /// Machines with the images that are cached on them, as indices into `images`. Each
    /// heartbeat covers some of the machines, and successive ones cover different ones.
    pub image_indices: Vec<(String, Vec<u16>)>,
    /// Names of the images that `image_indices` refers to.
    pub images: Vec<String>,
}

impl PeerHeartbeat {
    /// Adds a machine and the images that are cached on it. Images whose index does not
    /// fit into 16 bits are left out.
    pub fn add_cached_images<'a>(&mut self, machine: &str, images: impl Iterator<Item = &'a String>) {
        let indices = images.filter_map(|image| u16::try_from(self.image_index(image)).ok()).collect();
        self.image_indices.push((machine.to_string(), indices));
    }

    /// Returns the index of an image in the list of names, adding it if it is missing.
    fn image_index(&mut self, image: &String) -> usize {
        self.images.iter().position(|name| name == image).unwrap_or_else(|| {
            self.images.push(image.clone());
            self.images.len() - 1
        })
    }

    /// Iterates over the machines and the images that are cached on them. Indices without
    /// a name are ignored.
    pub fn cached_images(&self) -> impl Iterator<Item = (&str, Vec<&String>)> {
        let name = |index: &u16| self.images.get(usize::from(*index));
        self.image_indices
            .iter()
            .map(move |(machine, indices)| (machine.as_str(), indices.iter().filter_map(name).collect()))
    }
}

/// Encodes a frame with its length prefix.
pub fn encode(frame: &Frame) -> Vec<u8> {
    let body = borsh::to_vec(frame).expect("writing to memory does not fail");
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Removes the frame at the front of the buffer and decodes it. Returns `None`, and leaves
/// the buffer as it is, while the frame is incomplete.
///
/// # Errors
/// [`FrameError`], after which the rest of the stream cannot be read.
pub fn decode(buffer: &mut Vec<u8>) -> Result<Option<Frame>, FrameError> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let end = LENGTH_PREFIX_BYTES + length;
    if buffer.len() < end {
        return Ok(None);
    }
    let frame = borsh::from_slice(&buffer[LENGTH_PREFIX_BYTES..end])
        .map_err(|error| FrameError::Malformed(error.to_string()))?;
    buffer.drain(..end);
    Ok(Some(frame))
}

#[cfg(test)]
mod tests;
