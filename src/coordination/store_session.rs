//! This controller's session with the state service: its lease, the initial scan of all
//! keys, the watch that follows it, and the read barriers that prove the replica fresh.

use super::token_bucket::TokenBucket;
use crate::effects::Instant;
use std::time::Duration;

/// How far the replica of the stored state has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncState {
    /// The keys are being read, page by page.
    Reading,
    /// All keys are read; the watch keeps the replica current.
    Following,
}

/// The times and identities of the session. The controller makes the calls themselves.
#[derive(Debug)]
pub struct StoreSession {
    pub load: SyncState,
    /// Identity of this controller's lease in the store, while it has one.
    pub lease: Option<u64>,
    /// When the last answer about the lease came.
    pub lease_from: Instant,
    /// A grant or renewal of the lease is in flight.
    pub lease_call_in_flight: bool,
    /// When the lease is next granted or renewed.
    pub lease_renewal_at: Instant,
    /// The read of a page is in flight.
    pub scan_in_flight: bool,
    /// The last key of the pages read so far.
    pub scan_cursor: String,
    /// The revision at which the scan began.
    pub scan_revision: Option<u64>,
    pub scan_bucket: TokenBucket,
    /// A scan that starts over waits until then.
    pub scan_not_before: Instant,
    /// A watch call is in flight.
    pub watch_in_flight: bool,
    pub watch_bucket: TokenBucket,
    /// The read of a barrier is in flight.
    pub barrier_in_flight: bool,
    pub barrier_bucket: TokenBucket,
    pub barrier_sent_at: Instant,
    /// Barriers that were answered with a revision the watch has not reached:
    /// (revision, sent at).
    pub barriers: Vec<(u64, Instant)>,
    /// The latest time at which the replica was known to be current. This is when the
    /// barrier was sent, not when it was passed.
    pub fresh_at: Option<Instant>,
    /// The average time between two reads of one kind.
    pub gap: Duration,
    /// The time to live of the lease.
    pub ttl: Duration,
}

/// The watch and its barriers may save up reads for this many seconds.
const STEADY_BURST_S: f64 = 0.5;

impl StoreSession {
    /// `gap` is the average time between two reads of one kind; `pages` of a scan may be
    /// read at once.
    pub fn new(ttl: Duration, gap: Duration, pages: f64) -> StoreSession {
        let steady_pace = || TokenBucket::new(gap, STEADY_BURST_S / gap.as_secs_f64());
        StoreSession {
            load: SyncState::Reading,
            lease: None,
            lease_from: Duration::ZERO,
            lease_call_in_flight: false,
            lease_renewal_at: Duration::ZERO,
            scan_in_flight: false,
            scan_cursor: String::new(),
            scan_revision: None,
            scan_bucket: TokenBucket::new(gap, pages),
            scan_not_before: Duration::ZERO,
            watch_in_flight: false,
            watch_bucket: steady_pace(),
            barrier_in_flight: false,
            barrier_bucket: steady_pace(),
            barrier_sent_at: Duration::ZERO,
            barriers: Vec::new(),
            fresh_at: None,
            gap,
            ttl,
        }
    }

    /// Whether the replica is complete and follows the watch.
    pub fn following(&self) -> bool {
        self.load == SyncState::Following
    }

    /// The replica has reached `revision`: barriers up to it are passed, and the replica was
    /// current when the newest of them was sent.
    pub fn reached(&mut self, revision: u64) {
        let passed = self.barriers.extract_if(.., |(required, _)| *required <= revision);
        let newest_sent = passed.map(|(_, sent)| sent).max();
        self.fresh_at = self.fresh_at.max(newest_sent);
    }

    /// How old the replica may be; `None` before the first barrier is passed.
    pub fn staleness(&self, now: Instant) -> Option<Duration> {
        self.fresh_at.map(|at| now.saturating_sub(at))
    }

    /// Starts the scan over, after a pause.
    pub fn restart_scan(&mut self, now: Instant) {
        self.load = SyncState::Reading;
        self.scan_cursor.clear();
        self.scan_revision = None;
        self.scan_not_before = now + self.gap;
        self.barriers.clear();
    }
}

#[cfg(test)]
mod tests;
