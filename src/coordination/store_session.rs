//! This controller's session with the state service: its lease, the initial scan of all keys,
//! the watch that follows the scan, and the read barriers that prove the replica fresh.

#![warn(missing_docs)]

use super::token_bucket::TokenBucket;
use crate::effects::Instant;
use std::time::Duration;

/// The progress of the replica of the stored state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncState {
    /// The keys are being read, page by page.
    Reading,
    /// All keys have been read, and the watch keeps the replica current.
    Following,
}

/// The progress and the timing of the session's calls. The controller makes the calls itself.
#[derive(Debug)]
pub struct StoreSession {
    /// The progress of the replica.
    pub sync_state: SyncState,
    /// The identifier of this controller's lease in the store, while it has one.
    pub lease: Option<u64>,
    /// When the last answer about the lease arrived.
    pub lease_answered_at: Instant,
    /// Whether a grant or renewal of the lease is in flight.
    pub lease_call_in_flight: bool,
    /// When the next grant or renewal of the lease is due.
    pub lease_renewal_at: Instant,
    /// Whether the read of a page is in flight.
    pub scan_in_flight: bool,
    /// The last key of the pages read so far.
    pub scan_cursor: String,
    /// The revision at which the scan began.
    pub scan_revision: Option<u64>,
    /// Paces the reads of pages.
    pub scan_bucket: TokenBucket,
    /// No page is read before this time, so that a scan that starts over pauses first.
    pub scan_not_before: Instant,
    /// Whether a watch call is in flight.
    pub watch_in_flight: bool,
    /// Paces the watch calls.
    pub watch_bucket: TokenBucket,
    /// Whether the read of a barrier is in flight.
    pub barrier_in_flight: bool,
    /// Paces the reads of barriers.
    pub barrier_bucket: TokenBucket,
    /// When the last barrier was sent.
    pub barrier_sent_at: Instant,
    /// The barriers that were answered with a revision which the watch has not reached yet, as
    /// pairs of that revision and the time at which the barrier was sent.
    pub barriers: Vec<(u64, Instant)>,
    /// The latest time at which the replica is known to have been current: when the newest passed
    /// barrier was sent, not when it was passed.
    pub fresh_at: Option<Instant>,
    /// The average time between two reads of the same kind.
    pub read_interval: Duration,
    /// The time to live of the lease in the store.
    pub ttl: Duration,
}

/// The watch and the barriers may each send the reads of this many seconds at once after a
/// pause.
const STEADY_BURST_S: f64 = 0.5;

impl StoreSession {
    /// Starts a session whose scan has not begun. `read_interval` is the average time between two reads of
    /// the same kind; `pages` is the number of pages of a scan that may be read at once.
    pub fn new(ttl: Duration, read_interval: Duration, pages: f64) -> StoreSession {
        let steady_bucket = || TokenBucket::new(read_interval, STEADY_BURST_S / read_interval.as_secs_f64());
        StoreSession {
            sync_state: SyncState::Reading,
            lease: None,
            lease_answered_at: Duration::ZERO,
            lease_call_in_flight: false,
            lease_renewal_at: Duration::ZERO,
            scan_in_flight: false,
            scan_cursor: String::new(),
            scan_revision: None,
            scan_bucket: TokenBucket::new(read_interval, pages),
            scan_not_before: Duration::ZERO,
            watch_in_flight: false,
            watch_bucket: steady_bucket(),
            barrier_in_flight: false,
            barrier_bucket: steady_bucket(),
            barrier_sent_at: Duration::ZERO,
            barriers: Vec::new(),
            fresh_at: None,
            read_interval,
            ttl,
        }
    }

    /// Whether the replica is complete and kept current by the watch.
    pub fn is_following(&self) -> bool {
        self.sync_state == SyncState::Following
    }

    /// Records that the replica has reached `revision`. All barriers up to it are passed, and so
    /// the replica was current when the newest of them was sent.
    pub fn record_revision(&mut self, revision: u64) {
        let passed = self.barriers.extract_if(.., |(required, _)| *required <= revision);
        let newest_sent = passed.map(|(_, sent)| sent).max();
        self.fresh_at = self.fresh_at.max(newest_sent);
    }

    /// The greatest possible age of the replica, or `None` before the first barrier is passed.
    pub fn staleness(&self, now: Instant) -> Option<Duration> {
        self.fresh_at.map(|at| now.saturating_sub(at))
    }

    /// Starts the scan over after a pause.
    pub fn restart_scan(&mut self, now: Instant) {
        self.sync_state = SyncState::Reading;
        self.scan_cursor.clear();
        self.scan_revision = None;
        self.scan_not_before = now + self.read_interval;
        self.barriers.clear();
    }
}

#[cfg(test)]
mod tests;
