//! Keeps a beat within one frame, whatever the size of the fleet. A receiver drops the
//! connection at a frame above the limit, and takes each beat as all that its sender
//! knows, so what is left out must mean nothing to it:
//!
//! - `heard`: that an owner does not hear a machine counts only where another controller
//!   does, or where nothing else shows that it is up. Such machines come before all
//!   others; then those heard last. Each comes to the front with its next report, and what
//!   rests on a machine's silence waits for several of these.
//! - `reached`: an asked machine that is not there is missed. Answers to what this beat
//!   asks come first, then the newest.
//! - `unlisted`, `rented`, `held`: receivers add what they are told, and forget none of it
//!   for its absence. Successive beats tell different parts.

use crate::protocol::peer::{FRAME_LIMIT, PeerHeartbeat};
use borsh::BorshSerialize;
use std::collections::BTreeSet;

/// Parts of a frame that lists have where not all fits; `heard` has the rest, at least
/// as much as all of these with what is owed.
const HELD_BYTES: usize = FRAME_LIMIT / 8;
const RENTED_BYTES: usize = FRAME_LIMIT / 8;
const REACHED_BYTES: usize = FRAME_LIMIT / 16;
const UNLISTED_BYTES: usize = FRAME_LIMIT / 16;

/// A frame says in one byte that it is a beat.
const TAG_BYTES: usize = 1;

/// How often the lists that are told in turns have been told.
#[derive(Debug, Clone, Copy)]
pub struct Turns {
    /// Beats before this one.
    pub heartbeats: usize,
    /// Beats before this one that told of images on the same machines.
    pub held: usize,
}

/// Leaves out of a beat what does not fit into a frame. One that fits is not changed.
/// `told_first`: machines whose absence would mean something.
pub fn fit(heartbeat: &mut PeerHeartbeat, turns: Turns, told_first: impl Fn(&str) -> bool) {
    if size(heartbeat) + TAG_BYTES <= FRAME_LIMIT {
        return;
    }
    take_turns(&mut heartbeat.unlisted, UNLISTED_BYTES, turns.heartbeats);
    take_turns(&mut heartbeat.provisioned, RENTED_BYTES, turns.heartbeats);
    fit_held(heartbeat, turns.held);
    let asked: BTreeSet<&str> = heartbeat.unresponsive.iter().map(|(machine, _)| machine.as_str()).collect();
    heartbeat.probe_answers.sort_by_cached_key(|(machine, ago_ms)| (!asked.contains(machine.as_str()), *ago_ms));
    keep_first(&mut heartbeat.probe_answers, REACHED_BYTES);
    let heard = std::mem::take(&mut heartbeat.recent_machines);
    let left = FRAME_LIMIT.saturating_sub(size(heartbeat) + TAG_BYTES);
    heartbeat.recent_machines = heard;
    heartbeat.recent_machines.sort_by_cached_key(|h| (!told_first(&h.machine), h.ago_ms));
    keep_first(&mut heartbeat.recent_machines, left);
}

/// Bytes that a value takes in a frame.
fn size(value: &impl BorshSerialize) -> usize {
    borsh::object_length(value).expect("counting bytes does not fail")
}

/// Keeps as many as `bytes` have room for, from the front.
fn keep_first<T: BorshSerialize>(list: &mut Vec<T>, bytes: usize) {
    let mut sum = 0;
    let fits = list.iter().take_while(|item| {
        sum += size(*item);
        sum <= bytes
    });
    list.truncate(fits.count());
}

/// Keeps the part of the list whose turn it is.
fn take_turns<T: BorshSerialize>(list: &mut Vec<T>, bytes: usize, turn: usize) {
    let largest = list.iter().map(size).max().unwrap_or(1);
    let count = (bytes / largest).max(1);
    if list.len() > count {
        let first = turn.wrapping_mul(count) % list.len();
        list.rotate_left(first);
        list.truncate(count);
    }
}

/// Keeps the machines whose turn it is, and the names of their images.
fn fit_held(heartbeat: &mut PeerHeartbeat, turn: usize) {
    if size(&heartbeat.image_indices) + size(&heartbeat.images) <= HELD_BYTES {
        return;
    }
    take_turns(&mut heartbeat.image_indices, HELD_BYTES.saturating_sub(size(&heartbeat.images)), turn);
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
