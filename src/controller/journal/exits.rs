//! Exits of tasks that are not stored yet.

#![warn(missing_docs)]

use crate::effects::Instant;
use std::collections::BTreeSet;

/// The exits of one job's tasks that are not stored yet.
#[derive(Debug)]
pub(in crate::controller) struct PendingExits {
    /// When the first of these exits was seen.
    pub(in crate::controller) since: Instant,
    /// Indices of tasks that have finished.
    pub(in crate::controller) done: BTreeSet<u32>,
    /// Attempts proved to be gone from their machines, as task index and attempt number.
    pub(in crate::controller) gone: BTreeSet<(u32, u64)>,
}

impl PendingExits {
    /// No exits; the first one is seen at `since`.
    pub(super) fn new(since: Instant) -> PendingExits {
        PendingExits { since, done: BTreeSet::new(), gone: BTreeSet::new() }
    }
}
