//! Fits a heartbeat into one frame, whatever the size of the fleet.
//!
//! A receiver closes the connection at a frame above the limit, and takes each heartbeat as
//! all that its sender knows. So whatever is left out must make no difference to it:
//!
//! - `recent_machines`: that an owner does not receive heartbeats of a machine matters only if
//!   another controller does, or if nothing else shows that the machine is up. Such machines
//!   come before all others; the rest follow, the most recent first. A machine becomes the
//!   most recent with its next heartbeat, and every decision on a silent machine waits for
//!   several of these.
//! - `probe_answers`: a machine in `unresponsive` that is not listed here counts as missed.
//!   The answers of those machines come first; the rest follow, the most recent first.
//! - `unlisted`, `provisioned`, `image_indices`: receivers only add what these lists contain,
//!   and remove nothing that is absent. Successive heartbeats cover different parts of them.

#![warn(missing_docs)]

use crate::protocol::peer::{MAX_FRAME_BYTES, PeerHeartbeat};
use borsh::BorshSerialize;
use std::collections::BTreeSet;

/// Limits of the lists in a heartbeat that does not fit, in bytes. `recent_machines` gets the
/// rest, which is at least as much as these limits and the revocations take together.
const MAX_IMAGES_BYTES: usize = MAX_FRAME_BYTES / 8;
const MAX_PROVISIONED_BYTES: usize = MAX_FRAME_BYTES / 8;
const MAX_PROBE_ANSWERS_BYTES: usize = MAX_FRAME_BYTES / 16;
const MAX_UNLISTED_BYTES: usize = MAX_FRAME_BYTES / 16;

/// Size of the tag by which a frame is recognized as a heartbeat, in bytes.
const TAG_BYTES: usize = 1;

/// Positions in the lists of which successive heartbeats cover different parts.
#[derive(Debug, Clone, Copy)]
pub struct Rotation {
    /// Number of heartbeats sent before this one.
    pub heartbeats: usize,
    /// Number of earlier heartbeats that covered the images of the same machines.
    pub image_rounds: usize,
}

/// Removes from a heartbeat what does not fit into a frame, and leaves one that fits as it is.
/// `must_include` selects the machines whose absence would make a difference to receivers.
pub fn fit_to_frame(heartbeat: &mut PeerHeartbeat, rotation: Rotation, must_include: impl Fn(&str) -> bool) {
    if encoded_bytes(heartbeat) + TAG_BYTES <= MAX_FRAME_BYTES {
        return;
    }
    keep_part(&mut heartbeat.unlisted, MAX_UNLISTED_BYTES, rotation.heartbeats);
    keep_part(&mut heartbeat.provisioned, MAX_PROVISIONED_BYTES, rotation.heartbeats);
    fit_image_indices(heartbeat, rotation.image_rounds);
    let unresponsive: BTreeSet<&str> = heartbeat.unresponsive.iter().map(|(machine, _)| machine.as_str()).collect();
    heartbeat.probe_answers.sort_by_cached_key(|(machine, ago_ms)| (!unresponsive.contains(machine.as_str()), *ago_ms));
    keep_first(&mut heartbeat.probe_answers, MAX_PROBE_ANSWERS_BYTES);
    let recent_machines = std::mem::take(&mut heartbeat.recent_machines);
    let remaining_bytes = MAX_FRAME_BYTES.saturating_sub(encoded_bytes(heartbeat) + TAG_BYTES);
    heartbeat.recent_machines = recent_machines;
    heartbeat.recent_machines.sort_by_cached_key(|recent| (!must_include(&recent.machine), recent.ago_ms));
    keep_first(&mut heartbeat.recent_machines, remaining_bytes);
}

/// Encoded size of a value, in bytes.
fn encoded_bytes(value: &impl BorshSerialize) -> usize {
    borsh::object_length(value).expect("counting bytes does not fail")
}

/// Keeps as many items from the front as fit into `bytes`.
fn keep_first<T: BorshSerialize>(list: &mut Vec<T>, bytes: usize) {
    let mut total = 0;
    let fits = list.iter().take_while(|item| {
        total += encoded_bytes(*item);
        total <= bytes
    });
    list.truncate(fits.count());
}

/// Keeps one part of the list that fits into `bytes`; `turn` is the number of earlier parts.
fn keep_part<T: BorshSerialize>(list: &mut Vec<T>, bytes: usize, turn: usize) {
    let largest = list.iter().map(encoded_bytes).max().unwrap_or(1);
    let part_len = (bytes / largest).max(1);
    if list.len() > part_len {
        let start = turn.wrapping_mul(part_len) % list.len();
        list.rotate_left(start);
        list.truncate(part_len);
    }
}

/// Keeps the images of one part of the machines, and the image names that these refer to.
fn fit_image_indices(heartbeat: &mut PeerHeartbeat, turn: usize) {
    if encoded_bytes(&heartbeat.image_indices) + encoded_bytes(&heartbeat.images) <= MAX_IMAGES_BYTES {
        return;
    }
    keep_part(&mut heartbeat.image_indices, MAX_IMAGES_BYTES.saturating_sub(encoded_bytes(&heartbeat.images)), turn);
    let kept = PeerHeartbeat {
        image_indices: std::mem::take(&mut heartbeat.image_indices),
        images: std::mem::take(&mut heartbeat.images),
        ..PeerHeartbeat::default()
    };
    for (machine, images) in kept.cached_images() {
        heartbeat.add_cached_images(machine, images.into_iter());
    }
}

#[cfg(test)]
mod tests;
