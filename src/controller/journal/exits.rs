//! Exits of tasks that are not in the store yet.

use crate::effects::Instant;
use std::collections::BTreeSet;

/// Exits of one job's tasks that are not stored yet.
#[derive(Debug)]
pub(in crate::controller) struct PendingExits {
    /// When the first of them was seen.
    pub(in crate::controller) since: Instant,
    /// Tasks that have finished.
    pub(in crate::controller) done: BTreeSet<u32>,
    /// Attempts known to be gone from their machine, by task index.
    pub(in crate::controller) gone: BTreeSet<(u32, u64)>,
}

impl PendingExits {
    /// None yet.
    pub(super) fn new(since: Instant) -> PendingExits {
        PendingExits { since, done: BTreeSet::new(), gone: BTreeSet::new() }
    }
}
