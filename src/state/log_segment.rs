//! Segments of the controllers' logs: batches of facts about tasks, as they are
//! stored. Each controller alone writes its log, a ring of slots; the view
//! replays the segments of all logs in the order of the ledger, which is one
//! order for everybody.
//!
//! Facts about one task commute unless one follows from having seen the other,
//! and then the ledger has them in that order: a start is written only where the
//! view shows no place, an end of an attempt only where it shows its place.

use super::records::Placement;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Segments that a log holds; the next one takes the oldest one's slot, for which
/// all that it says has to be in checkpoints. At two segments a second
/// an array of the usual length ends within a ring, and most of what was written
/// of it never has to be written again; a load reads a few pages more for it.
pub const RING: u64 = 256;

/// A segment as it is stored. Names are listed once, and facts refer to them by
/// number.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LogSegmentRecord {
    /// Counts the segments of the log, from 1.
    #[serde(rename = "n")]
    pub seq: u64,
    #[serde(rename = "j", default)]
    jobs: Vec<String>,
    #[serde(rename = "m", default)]
    machines: Vec<String>,
    /// Tasks that completed: job, and an inclusive range of indexes.
    #[serde(rename = "d", default)]
    done: Vec<(u32, u32, u32)>,
    /// Attempts that are gone from their machines: job, index, attempt.
    #[serde(rename = "g", default)]
    gone: Vec<(u32, u32, u64)>,
    /// Attempts that may start: job, index, machine, attempt.
    #[serde(rename = "s", default)]
    starts: Vec<(u32, u32, u32, u64)>,
}

/// What a segment says of one job's tasks, in the order in which it holds: ends
/// first, then starts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Facts {
    pub done: BTreeSet<u32>,
    pub gone: BTreeSet<(u32, u64)>,
    pub starts: Vec<Placement>,
}

impl Facts {
    /// The chunks of `size` tasks that the facts are about.
    pub fn chunks(&self, size: u32) -> BTreeSet<u32> {
        let gone = self.gone.iter().map(|g| g.0);
        let indexes = self.done.iter().copied().chain(gone).chain(self.starts.iter().map(|p| p.index));
        indexes.map(|i| i / size).collect()
    }
}

/// A segment that refers to a name it does not list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("segment {0} refers to a name that it does not list")]
pub struct Spoilt(u64);

/// The most bytes that facts and names take in a segment's CBOR.
pub mod bytes {
    /// Array head, and numbers of at most 5, 5 and 9 bytes.
    pub const DONE: usize = 1 + 5 + 5 + 5;
    pub const GONE: usize = 1 + 5 + 5 + 9;
    pub const START: usize = 1 + 5 + 5 + 5 + 9;
    /// Map, keys, list heads and the number.
    pub const FRAME: usize = 64;

    pub fn name(name: &str) -> usize {
        name.len() + 3
    }
}

impl LogSegmentRecord {
    pub fn of(seq: u64, facts: &BTreeMap<String, Facts>) -> LogSegmentRecord {
        let mut rec = LogSegmentRecord { seq, ..LogSegmentRecord::default() };
        let mut numbers: BTreeMap<&str, u32> = BTreeMap::new();
        for (uid, f) in facts {
            let job = rec.jobs.len() as u32;
            rec.jobs.push(uid.clone());
            let mut range: Option<(u32, u32)> = None;
            for i in &f.done {
                range = match range {
                    Some((from, to)) if to + 1 == *i => Some((from, *i)),
                    before => {
                        rec.done.extend(before.map(|(from, to)| (job, from, to)));
                        Some((*i, *i))
                    }
                };
            }
            rec.done.extend(range.map(|(from, to)| (job, from, to)));
            rec.gone.extend(f.gone.iter().map(|(index, attempt)| (job, *index, *attempt)));
            for p in &f.starts {
                let machine = *numbers.entry(&p.machine).or_insert_with(|| {
                    rec.machines.push(p.machine.clone());
                    rec.machines.len() as u32 - 1
                });
                rec.starts.push((job, p.index, machine, p.attempt));
            }
        }
        rec
    }

    /// The facts by job. `most` bounds the tasks that any job can have.
    pub fn facts(&self, most: u32) -> Result<BTreeMap<&str, Facts>, Spoilt> {
        let spoilt = Spoilt(self.seq);
        let job = |n: u32| self.jobs.get(n as usize).map(String::as_str).ok_or(spoilt);
        let mut out: BTreeMap<&str, Facts> = BTreeMap::new();
        for (n, from, to) in &self.done {
            out.entry(job(*n)?).or_default().done.extend(*from..=(*to).min(most));
        }
        for (n, index, attempt) in &self.gone {
            out.entry(job(*n)?).or_default().gone.insert((*index, *attempt));
        }
        for (n, index, machine, attempt) in &self.starts {
            let machine = self.machines.get(*machine as usize).ok_or(spoilt)?.clone();
            let place = Placement { index: *index, machine, attempt: *attempt };
            out.entry(job(*n)?).or_default().starts.push(place);
        }
        Ok(out)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::{decode, encode};

    fn place(index: u32, machine: &str, attempt: u64) -> Placement {
        Placement { index, machine: machine.into(), attempt }
    }

    fn sample() -> BTreeMap<String, Facts> {
        let a = Facts {
            done: [0, 1, 2, 7].into(),
            gone: [(4, 2), (5, 2)].into(),
            starts: vec![place(9, "host-000001", 3), place(8, "host-000002", 3)],
        };
        let b = Facts { starts: vec![place(0, "host-000001", 1)], ..Facts::default() };
        [("run-a".to_string(), a), ("run-b".to_string(), b)].into()
    }

    #[test]
    fn facts_survive_the_store() {
        let facts = sample();
        let rec: LogSegmentRecord = decode(&encode(&LogSegmentRecord::of(5, &facts))).unwrap();
        assert_eq!((rec.seq, rec.machines.len(), rec.done.len()), (5, 2, 2));
        let back = rec.facts(1000).unwrap();
        assert_eq!(back.into_iter().map(|(u, f)| (u.to_string(), f)).collect::<BTreeMap<_, _>>(), facts);
    }

    /// A segment over the store's limit would be refused for ever, and with it
    /// every later one.
    #[test]
    fn the_bound_holds_for_the_largest_numbers() {
        let many = 300u32;
        let mut f = Facts::default();
        let mut most = bytes::FRAME + bytes::name("run-000412");
        for i in 0..many {
            let name = format!("host-{i:06}");
            most += bytes::DONE + bytes::GONE + bytes::START + bytes::name(&name);
            f.done.insert(u32::MAX - 2 * i);
            f.gone.insert((u32::MAX - i, u64::MAX - 1));
            f.starts.push(place(u32::MAX - i, &name, u64::MAX));
        }
        let rec = LogSegmentRecord::of(u64::MAX, &[("run-000412".to_string(), f)].into());
        assert!(encode(&rec).len() <= most, "{} of {most}", encode(&rec).len());
    }

    #[test]
    fn a_spoilt_segment_is_an_error_and_no_panic() {
        let mut rec = LogSegmentRecord::of(3, &sample());
        rec.starts.push((0, 1, 99, 1));
        assert_eq!(rec.facts(10), Err(Spoilt(3)));
        let mut rec = LogSegmentRecord::of(4, &sample());
        rec.gone.push((7, 1, 1));
        assert_eq!(rec.facts(10), Err(Spoilt(4)));
        let mut rec = LogSegmentRecord::of(4, &sample());
        rec.done.push((0, 0, u32::MAX));
        assert_eq!(rec.facts(10).unwrap()["run-a"].done.len(), 11, "no endless range");
    }
}
