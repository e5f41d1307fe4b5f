//! Frames between controllers, in borsh behind a length prefix.

use borsh::{BorshDeserialize, BorshSerialize};

/// Largest frame that is accepted.
pub const FRAME_LIMIT: usize = 256 * 1024;

#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// First on every connection: who is speaking.
    Hello { member: String },
    /// Sent at a steady interval.
    PeerHeartbeat(Box<PeerHeartbeat>),
}

/// The newest beat that the sender had from one controller.
#[derive(Debug, Clone, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Acknowledgement {
    pub member: String,
    pub incarnation: u64,
    pub seq: u64,
}

/// A machine that spoke to the sender of late.
#[derive(Debug, Clone, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Heard {
    pub machine: String,
    pub ago_ms: u64,
    /// What it said last: others know a copy of something older by it.
    pub agent_epoch: u64,
    pub heartbeat_seq: u64,
}

/// What of the changes after a revision matters to a controller that has not seen
/// them: it must stop what it has of these, or not go on.
#[derive(Debug, Clone, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Revocations {
    /// Nothing that the sender knows of changes after this matters, but:
    pub since: u64,
    /// Jobs that were cancelled, and may have tasks left, and
    pub cancelled: Vec<(String, u64)>,
    /// machines that were granted, with the revision of each.
    pub granted: Vec<(String, u64)>,
}

/// What one controller tells the others about what it sees. Hints only, but for
/// `revision`, `known_revision` and `revocations`: the proof stands at `links::table::attested`.
#[derive(Debug, Clone, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct PeerHeartbeat {
    pub incarnation: u64,
    /// Counts the beats of this incarnation.
    pub seq: u64,
    /// What the sender had heard: tells when this was sent, and that it hears us.
    pub acknowledgements: Vec<Acknowledgement>,
    /// Revision of the sender's view, all up to which it has taken in; none while it
    /// has none.
    pub revision: Option<u64>,
    /// The newest change of which the sender knows anything, by its watch, a read or
    /// the answer to a write. Whatever it told users, and whatever it acts on, is no newer.
    pub known_revision: u64,
    /// What others that have not come that far must know; none where it cannot be said.
    pub revocations: Option<Revocations>,
    /// Live controllers and their incarnations, while the sender's view is fresh.
    pub members: Vec<(String, u64)>,
    /// Milliseconds since the sender's view of the store was known fresh.
    pub stale_ms: u64,
    /// Machines that reported to the sender of late.
    pub heard: Vec<Heard>,
    /// Machines of the sender's that fell silent, and their addresses: does anybody
    /// reach them?
    pub silent: Vec<(String, String)>,
    /// Silent machines that answered the sender's own call, and how long ago.
    pub reached: Vec<(String, u64)>,
    /// Machines of any block that the cloud lists no more, or as failed.
    pub unlisted: Vec<String>,
    /// Machines that the sender rented while the cluster began.
    pub rented: Vec<String>,
    /// Images on some of the machines, as far as the sender knows; each beat
    /// tells of others. Numbers stand for the names in `images`.
    pub held: Vec<(String, Vec<u16>)>,
    pub images: Vec<String>,
}

impl PeerHeartbeat {
    /// Notes the images that a machine holds.
    pub fn note_images<'a>(&mut self, machine: &str, images: impl Iterator<Item = &'a String>) {
        let mut numbers = Vec::new();
        for image in images {
            let at = self.images.iter().position(|i| i == image).unwrap_or_else(|| {
                self.images.push(image.clone());
                self.images.len() - 1
            });
            numbers.extend(u16::try_from(at));
        }
        self.held.push((machine.to_string(), numbers));
    }

    /// Machines and the images that they hold.
    pub fn images(&self) -> impl Iterator<Item = (&str, Vec<&String>)> {
        let names = |n: &[u16]| n.iter().filter_map(|n| self.images.get(usize::from(*n))).collect();
        self.held.iter().map(move |(machine, n)| (machine.as_str(), names(n)))
    }
}

pub fn encode(frame: &Frame) -> Vec<u8> {
    let body = borsh::to_vec(frame).expect("writing to memory does not fail");
    let mut out = (body.len() as u32).to_be_bytes().to_vec();
    out.extend(body);
    out
}

/// Takes one frame off the front of `buf`. `Err` means the stream is spoilt.
#[allow(clippy::result_unit_err)]
pub fn take(buf: &mut Vec<u8>) -> Result<Option<Frame>, ()> {
    let Some(head) = buf.first_chunk::<4>() else {
        return Ok(None);
    };
    let len = u32::from_be_bytes(*head) as usize;
    if len > FRAME_LIMIT {
        return Err(());
    }
    if buf.len() < 4 + len {
        return Ok(None);
    }
    let frame = borsh::from_slice(&buf[4..4 + len]).map_err(|_| ())?;
    buf.drain(..4 + len);
    Ok(Some(frame))
}

#[cfg(test)]
mod tests;
