//! This controller's standing with the state service: its lease, the first
//! load, the watch, and the read barrier that proves a view fresh.

use super::pace::Pace;
use crate::effects::Instant;
use std::time::Duration;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// Keys are being read, page by page.
    Reading,
    /// Everything is read; the watch keeps the view current.
    Following,
}

/// Times and identities; the calls themselves are made by the controller.
#[derive(Debug)]
pub struct Session {
    pub load: Load,
    pub lease: Option<u64>,
    /// When the last answer about the lease came.
    pub lease_from: Instant,
    pub lease_busy: bool,
    pub lease_next: Instant,
    pub scan_busy: bool,
    pub scan_after: String,
    pub scan_revision: Option<u64>,
    pub scan_pace: Pace,
    /// A load that begins anew waits until then.
    pub load_not_before: Instant,
    pub watch_busy: bool,
    pub watch_pace: Pace,
    pub barrier_busy: bool,
    pub barrier_pace: Pace,
    pub barrier_sent: Instant,
    /// Reads whose answer the watch has not reached: (revision, sent at).
    pub barriers: Vec<(u64, Instant)>,
    /// The view was known to be current at this time.
    pub fresh_at: Option<Instant>,
    pub gap: Duration,
    pub ttl: Duration,
}

impl Session {
    /// `gap` is the time between two reads of a kind over a while; `pages` of a load
    /// may go at once.
    pub fn new(ttl: Duration, gap: Duration, pages: f64) -> Session {
        // The watch and its barriers save up half a second's worth.
        let steady = || Pace::new(gap, 0.5 / gap.as_secs_f64());
        Session {
            load: Load::Reading,
            lease: None,
            lease_from: Duration::ZERO,
            lease_busy: false,
            lease_next: Duration::ZERO,
            scan_busy: false,
            scan_after: String::new(),
            scan_revision: None,
            scan_pace: Pace::new(gap, pages),
            load_not_before: Duration::ZERO,
            watch_busy: false,
            watch_pace: steady(),
            barrier_busy: false,
            barrier_pace: steady(),
            barrier_sent: Duration::ZERO,
            barriers: Vec::new(),
            fresh_at: None,
            gap,
            ttl,
        }
    }

    pub fn following(&self) -> bool {
        self.load == Load::Following
    }

    /// The view has reached `revision`: barriers up to it are passed.
    pub fn reached(&mut self, revision: u64) {
        let mut fresh = self.fresh_at;
        self.barriers.retain(|(need, sent)| {
            let passed = *need <= revision;
            if passed {
                fresh = fresh.max(Some(*sent));
            }
            !passed
        });
        self.fresh_at = fresh;
    }

    /// How old the view may be; `None` before the first proof.
    pub fn staleness(&self, now: Instant) -> Option<Duration> {
        self.fresh_at.map(|t| now.saturating_sub(t))
    }

    pub fn restart_load(&mut self, now: Instant) {
        self.load = Load::Reading;
        self.scan_after.clear();
        self.scan_revision = None;
        self.load_not_before = now + self.gap;
        self.barriers.clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Freshness dates from when the read was sent, not from when the watch
    /// caught up: a cancellation in between must not be counted as seen.
    #[test]
    fn freshness_dates_from_the_sending_of_the_read() {
        let s = Duration::from_secs;
        let mut session = Session::new(s(4), s(1), 1.0);
        session.barriers = vec![(10, s(5)), (12, s(6))];
        session.reached(11);
        assert_eq!(session.staleness(s(9)), Some(s(4)));
        session.reached(12);
        assert_eq!(session.staleness(s(9)), Some(s(3)));
        assert!(session.barriers.is_empty());
    }
}
