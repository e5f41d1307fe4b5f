//! Frames between controllers, in borsh behind a length prefix of four bytes in network
//! byte order. Borsh writes no names: the order of fields and variants is the format.

use borsh::{BorshDeserialize, BorshSerialize};
use thiserror::Error;

/// Largest frame that is accepted, in bytes, without its length prefix.
pub const FRAME_LIMIT: usize = 256 * 1024;
/// Bytes of the length prefix.
const PREFIX_BYTES: usize = size_of::<u32>();

/// Why a stream of frames cannot be read further.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length prefix is above [`FRAME_LIMIT`].
    #[error("a frame of {0} bytes is above the limit")]
    TooLong(usize),
    /// The bytes are not a frame.
    #[error("not a frame: {0}")]
    Malformed(String),
}

/// One message between controllers.
#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// First on every connection: who dialled.
    Hello {
        /// Name of the controller.
        member: String,
    },
    /// Sent to every other controller at a steady interval.
    PeerHeartbeat(Box<PeerHeartbeat>),
}

/// The newest heartbeat that the sender received from one controller.
#[derive(Debug, Clone, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Acknowledgement {
    /// Name of that controller.
    pub member: String,
    /// Incarnation (process) of that controller.
    pub incarnation: u64,
    /// Sequence number of its heartbeat.
    pub seq: u64,
}

/// A machine whose worker sent a heartbeat to the sender recently.
#[derive(Debug, Clone, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct RecentMachine {
    /// Id of the machine.
    pub machine: String,
    /// Milliseconds between its last message and this heartbeat.
    pub ago_ms: u64,
    /// Agent epoch of its last message. With `heartbeat_seq` it lets others recognize a
    /// delayed copy of an older message.
    pub agent_epoch: u64,
    /// Heartbeat sequence number of its last message.
    pub heartbeat_seq: u64,
}

/// Which of the changes after a revision matter to a controller that has not applied
/// them: it must stop the jobs, and must not act for the machines, that are listed.
#[derive(Debug, Clone, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Revocations {
    /// Of all changes after this revision that the sender knows of, none but the listed
    /// ones matter.
    pub since: u64,
    /// Jobs that were cancelled and may have tasks left, with the revision of each.
    pub cancelled: Vec<(String, u64)>,
    /// Machines that were granted, with the revision of each.
    pub granted: Vec<(String, u64)>,
}

/// Heartbeat of a controller to the others, with what it observes. All of it is
/// advisory except `revision`, `known_revision` and `revocations`, on which the read
/// index rests: its proof stands in `connectivity`, at `attested`.
#[derive(Debug, Clone, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PeerHeartbeat {
    /// Incarnation (process) of the sender.
    pub incarnation: u64,
    /// Counts the heartbeats of this incarnation, from 1.
    pub seq: u64,
    /// The newest heartbeats that the sender had received: they bound the time at which
    /// this was sent from below, and show that the sender receives ours.
    pub acknowledgements: Vec<Acknowledgement>,
    /// Revision up to which the sender's replica of the store is complete; none while it
    /// has no replica.
    pub revision: Option<u64>,
    /// The newest revision that the sender knows of, by its watch, a read or the response
    /// to a write. Whatever it told users, and whatever it acts on, is no newer.
    pub known_revision: u64,
    /// Changes that must be known to others that have not applied them; none where the
    /// sender cannot tell.
    pub revocations: Option<Revocations>,
    /// Live controllers and their incarnations; empty unless the sender's replica is fresh.
    pub members: Vec<(String, u64)>,
    /// Milliseconds since the sender's replica was known to be fresh.
    pub stale_ms: u64,
    /// Machines that sent a heartbeat to the sender recently.
    pub recent_machines: Vec<RecentMachine>,
    /// Machines of the sender's shard that stopped sending heartbeats, and the addresses
    /// of their workers: other controllers probe them.
    pub unresponsive: Vec<(String, String)>,
    /// Machines that answered a probe of the sender, and how many milliseconds ago.
    pub probe_answers: Vec<(String, u64)>,
    /// Machines of any shard that the cloud no longer lists, or lists as failed.
    pub unlisted: Vec<String>,
    /// Machines that the sender provisioned while the cluster started up.
    pub provisioned: Vec<String>,
    /// Some machines and the images that are cached on them, as indices into `images`.
    /// Successive heartbeats cover different machines.
    pub image_indices: Vec<(String, Vec<u16>)>,
    /// Names of the images that `image_indices` refers to.
    pub images: Vec<String>,
}

impl PeerHeartbeat {
    /// Adds a machine and the images that are cached on it.
    pub fn add_cached_images<'a>(&mut self, machine: &str, images: impl Iterator<Item = &'a String>) {
        let indices = images.filter_map(|image| u16::try_from(self.image_index(image)).ok()).collect();
        self.image_indices.push((machine.to_string(), indices));
    }

    /// The index of an image in the list of names, to which it is added if it is new.
    fn image_index(&mut self, image: &String) -> usize {
        self.images.iter().position(|name| name == image).unwrap_or_else(|| {
            self.images.push(image.clone());
            self.images.len() - 1
        })
    }

    /// Machines and the images that are cached on them. Indices that refer to no name are
    /// ignored.
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
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// Decodes the frame at the front of the buffer and removes its bytes; none while it is
/// not complete. After an error the rest of the stream cannot be read.
pub fn decode(buffer: &mut Vec<u8>) -> Result<Option<Frame>, FrameError> {
    let Some(prefix) = buffer.first_chunk::<PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > FRAME_LIMIT {
        return Err(FrameError::TooLong(length));
    }
    let end = PREFIX_BYTES + length;
    if buffer.len() < end {
        return Ok(None);
    }
    let frame =
        borsh::from_slice(&buffer[PREFIX_BYTES..end]).map_err(|error| FrameError::Malformed(error.to_string()))?;
    buffer.drain(..end);
    Ok(Some(frame))
}

#[cfg(test)]
mod tests;
