//! Keeps a heartbeat within one frame, whatever the size of the fleet. A receiver drops
//! the connection at a frame above the limit, and takes each heartbeat as all that its
//! sender knows, so what is left out must make no difference to it:
//!
//! - `recent_machines`: that an owner does not receive heartbeats of a machine counts only
//!   where another controller does, or where nothing else shows that the machine is up.
//!   Such machines come before all others; then the most recent ones. Each machine comes
//!   to the front with its next heartbeat, and any decision on a machine's silence waits
//!   for several of these.
//! - `probe_answers`: a machine in `unresponsive` that is not listed here counts as missed.
//!   Answers of those machines come first, then the most recent ones.
//! - `unlisted`, `provisioned`, `image_indices`: receivers add what they are told, and
//!   remove nothing because it is absent. Successive heartbeats cover different parts.

use crate::protocol::peer::{FRAME_LIMIT, PeerHeartbeat};
use borsh::BorshSerialize;
use std::collections::BTreeSet;

/// Parts of a frame that lists get where not all fits; `recent_machines` gets the rest, at
/// least as much as all of these together with the revocations.
const IMAGES_BYTES: usize = FRAME_LIMIT / 8;
const PROVISIONED_BYTES: usize = FRAME_LIMIT / 8;
const PROBE_ANSWERS_BYTES: usize = FRAME_LIMIT / 16;
const UNLISTED_BYTES: usize = FRAME_LIMIT / 16;

/// A frame tells in one byte that it is a heartbeat.
const TAG_BYTES: usize = 1;

/// Positions of the lists of which successive heartbeats cover different parts.
#[derive(Debug, Clone, Copy)]
pub struct Rotation {
    /// Heartbeats before this one.
    pub heartbeats: usize,
    /// Heartbeats before this one that covered the images of the same machines.
    pub held: usize,
}

/// Leaves out of a heartbeat what does not fit into a frame. One that fits is not changed.
/// `must_include`: machines whose absence would make a difference to receivers.
pub fn fit(heartbeat: &mut PeerHeartbeat, turns: Rotation, must_include: impl Fn(&str) -> bool) {
    if size(heartbeat) + TAG_BYTES <= FRAME_LIMIT {
        return;
    }
    take_turns(&mut heartbeat.unlisted, UNLISTED_BYTES, turns.heartbeats);
    take_turns(&mut heartbeat.provisioned, PROVISIONED_BYTES, turns.heartbeats);
    fit_image_indices(heartbeat, turns.held);
    let asked: BTreeSet<&str> = heartbeat.unresponsive.iter().map(|(machine, _)| machine.as_str()).collect();
    heartbeat.probe_answers.sort_by_cached_key(|(machine, ago_ms)| (!asked.contains(machine.as_str()), *ago_ms));
    keep_first(&mut heartbeat.probe_answers, PROBE_ANSWERS_BYTES);
    let heard = std::mem::take(&mut heartbeat.recent_machines);
    let remaining_bytes = FRAME_LIMIT.saturating_sub(size(heartbeat) + TAG_BYTES);
    heartbeat.recent_machines = heard;
    heartbeat.recent_machines.sort_by_cached_key(|recent| (!must_include(&recent.machine), recent.ago_ms));
    keep_first(&mut heartbeat.recent_machines, remaining_bytes);
}

/// Size of a value in a frame, in bytes.
fn size(value: &impl BorshSerialize) -> usize {
    borsh::object_length(value).expect("counting bytes does not fail")
}

/// Keeps as many items from the front as fit into `bytes`.
fn keep_first<T: BorshSerialize>(list: &mut Vec<T>, bytes: usize) {
    let mut total = 0;
    let fits = list.iter().take_while(|item| {
        total += size(*item);
        total <= bytes
    });
    list.truncate(fits.count());
}

/// Keeps the part of the list whose turn it is: `turn` counts the earlier parts.
fn take_turns<T: BorshSerialize>(list: &mut Vec<T>, bytes: usize, turn: usize) {
    let largest = list.iter().map(size).max().unwrap_or(1);
    let count = (bytes / largest).max(1);
    if list.len() > count {
        let first = turn.wrapping_mul(count) % list.len();
        list.rotate_left(first);
        list.truncate(count);
    }
}

/// Keeps the part of the machines whose turn it is, and the names of their images.
fn fit_image_indices(heartbeat: &mut PeerHeartbeat, turn: usize) {
    if size(&heartbeat.image_indices) + size(&heartbeat.images) <= IMAGES_BYTES {
        return;
    }
    take_turns(&mut heartbeat.image_indices, IMAGES_BYTES.saturating_sub(size(&heartbeat.images)), turn);
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
