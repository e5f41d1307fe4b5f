//! Writing this controller's log: what fits into the next segment, when it goes,
//! and what is in doubt.
//!
//! One segment is under way at a time; facts gather meanwhile, so that batches
//! grow with load while an idle controller's start goes at once. A segment whose
//! answer is missing may still be carried out, minutes later. The next one goes
//! to the same slot, on the condition that nobody has written it: whichever of
//! the two comes first voids the other. So does the first segment of a restarted
//! controller, which goes to the slot that its predecessor's last one would.

use crate::effects::Instant;
use crate::protocol::store::Condition;
use crate::state::log_segment::{Facts, bytes};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// When segments go.
#[derive(Debug, Default)]
pub struct Writer {
    /// One is under way.
    pub busy: bool,
    next_at: Instant,
}

impl Writer {
    /// Whether facts that can wait have waited long enough.
    pub fn due(&self, now: Instant) -> bool {
        now >= self.next_at
    }

    pub fn sent(&mut self, now: Instant, pace: Duration) {
        self.busy = true;
        self.next_at = now + pace;
    }
}

/// The most that a transaction takes, and the part of it that values may have:
/// conditions and keys need the rest.
const TXN_BYTES: usize = 64 * 1024;
const VALUES_SHARE: f64 = 0.75;

/// Bytes for a segment, and for checkpoints that go with it in one transaction,
/// where a value may have `value` of them.
pub fn byte_shares(value: usize) -> (usize, usize) {
    let all = (TXN_BYTES as f64 * VALUES_SHARE) as usize;
    let segment = value.min(all / 4 * 3);
    (segment, all - segment)
}

/// How many checkpoints of these sizes fit into a transaction of their own, one at
/// least, since no value is larger than a transaction.
pub fn fitting(sizes: impl IntoIterator<Item = usize>) -> usize {
    let all = (TXN_BYTES as f64 * VALUES_SHARE) as usize;
    let sums = sizes.into_iter().scan(0, |sum, size| {
        *sum += size;
        Some(*sum)
    });
    sums.take_while(|sum| *sum <= all).count().max(1)
}

/// Whether a gang of so many tasks may not fit into one segment, however few else is
/// in it: each task may need a record of its own as a condition, and names its machine.
pub fn wide(task_count: u32, txn_ops: usize, value: usize) -> bool {
    // Beside them: the slot, the job, the block, the team, and checkpoints that go along.
    let conditions = (txn_ops * 4).saturating_sub(txn_ops + 4);
    let each = bytes::START + LONGEST_NAME;
    let fit = conditions.min(byte_shares(value).0.saturating_sub(bytes::FRAME + LONGEST_NAME) / each);
    task_count as usize > fit
}

/// Names of machines and jobs are no longer, or a segment takes fewer of them.
const LONGEST_NAME: usize = 24;

/// What one transaction may hold.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub conditions: usize,
    pub bytes: usize,
}

/// A segment that is being put together.
#[derive(Debug)]
pub struct Draft {
    limits: Limits,
    bytes: usize,
    pub conditions: BTreeMap<String, u64>,
    pub facts: BTreeMap<String, Facts>,
    machines: BTreeSet<String>,
}

/// A fact that is to go into a segment, with what it needs there.
#[derive(Debug, Clone, Default)]
pub struct Need {
    pub conditions: Vec<(String, u64)>,
    /// The machine it names.
    pub machine: Option<String>,
    pub bytes: usize,
}

impl Draft {
    pub fn new(limits: Limits) -> Draft {
        Draft {
            limits,
            bytes: bytes::FRAME,
            conditions: BTreeMap::new(),
            facts: BTreeMap::new(),
            machines: BTreeSet::new(),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// Makes room for facts of a job, all of them or none.
    pub fn take(&mut self, uid: &str, needs: &[&Need]) -> bool {
        let new_conds: BTreeSet<&str> = needs
            .iter()
            .flat_map(|n| &n.conditions)
            .map(|(key, _)| key.as_str())
            .filter(|key| !self.conditions.contains_key(*key))
            .collect();
        let new_machines: BTreeSet<&str> =
            needs.iter().filter_map(|n| n.machine.as_deref()).filter(|m| !self.machines.contains(*m)).collect();
        let name = if self.facts.contains_key(uid) { 0 } else { bytes::name(uid) };
        let size = name
            + new_machines.iter().map(|m| bytes::name(m)).sum::<usize>()
            + needs.iter().map(|n| n.bytes).sum::<usize>();
        if self.conditions.len() + new_conds.len() > self.limits.conditions || self.bytes + size > self.limits.bytes {
            return false;
        }
        self.bytes += size;
        self.machines.extend(new_machines.into_iter().map(Into::into));
        for (key, version) in needs.iter().flat_map(|n| &n.conditions) {
            self.conditions.insert(key.clone(), *version);
        }
        self.facts.entry(uid.to_string()).or_default();
        true
    }

    pub fn conditions(&self) -> impl Iterator<Item = Condition> + '_ {
        self.conditions.iter().map(|(key, version)| Condition { key: key.clone(), version: *version })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::encode;
    use crate::state::log_segment::LogSegmentRecord;
    use crate::state::records::Placement;

    fn need(group: &str, machine: &str) -> Need {
        let conditions = vec![(group.to_string(), 7), ("fq/j/run-1".to_string(), 3)];
        Need { conditions, machine: Some(machine.into()), bytes: bytes::START }
    }

    /// A transaction over a limit is refused as malformed, again and again.
    #[test]
    fn a_draft_stays_within_both_limits() {
        let mut d = Draft::new(Limits { conditions: 10, bytes: 8192 });
        let taken = (0..40).filter(|i| d.take("run-1", &[&need(&format!("fq/h/{i}"), "m")])).count();
        assert_eq!((taken, d.conditions.len()), (9, 10), "the job's record is one of them");
        let mut d = Draft::new(Limits { conditions: 1000, bytes: 1024 });
        let mut taken = 0;
        while d.take("run-1", &[&need("fq/h/p", &format!("host-{taken:06}"))]) {
            let place = Placement { index: u32::MAX, machine: format!("host-{taken:06}"), attempt: u64::MAX };
            d.facts.get_mut("run-1").unwrap().starts.push(place);
            taken += 1;
        }
        let size = encode(&LogSegmentRecord::of(u64::MAX, &d.facts)).len();
        assert!(taken > 15 && size <= 1024, "{taken} starts in {size} bytes");
    }

    /// Half a gang in a segment would start without the other half.
    #[test]
    fn facts_that_belong_together_go_together_or_not_at_all() {
        let mut d = Draft::new(Limits { conditions: 4, bytes: 8192 });
        let needs: Vec<Need> = (0..4).map(|i| need(&format!("fq/h/{i}"), "m")).collect();
        assert!(!d.take("run-1", &needs.iter().collect::<Vec<_>>()) && d.is_empty());
        assert!(d.take("run-1", &needs[..3].iter().collect::<Vec<_>>()));
        assert_eq!(d.conditions().count(), 4);
    }

    /// With values of 32 KiB a segment and the checkpoints beside it came to more
    /// than a transaction holds: it would have been refused as malformed for ever.
    #[test]
    fn a_transaction_holds_what_is_put_into_it() {
        for value in [1, 8, 32, 64, 512].map(|kb| kb * 1024) {
            let (segment, folds) = byte_shares(value);
            assert!(segment <= value && segment + folds <= 48 * 1024 && folds >= 12 * 1024, "{value}");
        }
        assert_eq!(byte_shares(8 * 1024), (8 * 1024, 40 * 1024));
        assert_eq!(fitting([16 * 1024; 8]), 3);
        assert_eq!((fitting([2 * 1024; 8]), fitting([60 * 1024; 2])), (8, 1));
    }

    #[test]
    fn what_can_wait_goes_at_its_pace() {
        let s = Duration::from_secs_f64;
        let mut w = Writer::default();
        assert!(w.due(s(0.0)));
        w.sent(s(1.0), s(0.5));
        assert!(w.busy && !w.due(s(1.4)) && w.due(s(1.5)));
    }
}
