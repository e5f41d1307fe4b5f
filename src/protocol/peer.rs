//! Frames between controllers, in borsh behind a length prefix.

use borsh::{BorshDeserialize, BorshSerialize};

/// Largest frame that is accepted.
pub const FRAME_LIMIT: usize = 256 * 1024;

#[derive(Debug, Clone, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// First on every connection: who is speaking.
    Hello { member: String },
    /// Sent at a steady interval.
    Beat(Beat),
}

/// What one controller tells the others about what it sees. Hints only: no
/// rule rests on a beat alone.
#[derive(Debug, Clone, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Beat {
    pub incarnation: u64,
    /// Milliseconds since the sender's view of the store was known fresh.
    pub stale_ms: u64,
    /// Machines that reported to the sender of late, and how long ago.
    pub heard: Vec<(String, u64)>,
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
