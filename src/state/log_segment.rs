//! Segments of the controllers' logs: batches of entries about tasks, in their stored form.
//!
//! Each log is a ring buffer of slots with one writer, the controller that it belongs to.
//! Every replica replays the segments of all logs in the order of the store's revisions,
//! which is the same for all controllers.
//!
//! Two entries about the same task commute, unless one of them was written by a controller
//! that had seen the other; the store then has them in that order. This holds because a start
//! is written only where the writer's replica has no placement of the task, and the removal of
//! an attempt only where the replica has the attempt's placement.

#![warn(missing_docs)]

pub use super::keys::LOG_SLOTS;

use super::task_placement::Placement;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// A log segment as it is stored. Each name is listed once, and entries refer to names by
/// their position in the lists. Key: `log_key`. Written by the controller that the log
/// belongs to.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LogSegmentRecord {
    /// The number of the segment in its log, from 1.
    #[serde(rename = "n")]
    pub seq: u64,
    /// The uids of the jobs that entries refer to.
    #[serde(rename = "j", default)]
    jobs: Vec<String>,
    /// The names of the machines that entries refer to.
    #[serde(rename = "m", default)]
    machines: Vec<String>,
    /// Completed tasks: job, and first and last index of an inclusive range.
    #[serde(rename = "d", default)]
    done: Vec<(u32, u32, u32)>,
    /// Attempts that are gone from their machines: job, index, attempt.
    #[serde(rename = "g", default)]
    gone: Vec<(u32, u32, u64)>,
    /// Attempts that may start from now on: job, index, machine, attempt.
    #[serde(rename = "s", default)]
    starts: Vec<(u32, u32, u32, u64)>,
}

/// The entries of a segment about one job's tasks. They apply in the order of the fields:
/// completions and removals first, then starts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LogEntries {
    /// The indexes of tasks that completed.
    pub done: BTreeSet<u32>,
    /// Attempts that are gone from their machines: index and attempt.
    pub gone: BTreeSet<(u32, u64)>,
    /// Attempts that may start from now on.
    pub starts: Vec<Placement>,
}

impl LogEntries {
    /// The numbers of the checkpoints, of `size` tasks each, whose tasks the entries are about.
    pub fn checkpoint_numbers(&self, size: u32) -> BTreeSet<u32> {
        let done = self.done.iter().copied();
        let gone = self.gone.iter().map(|(index, _)| *index);
        let started = self.starts.iter().map(|placement| placement.index);
        done.chain(gone).chain(started).map(|index| index / size).collect()
    }
}

/// Error for a segment with an entry that refers to a name that the segment does not list.
/// Contains the number of the segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("segment {0} refers to a name that it does not list")]
pub struct InvalidSegment(u64);

/// Upper bounds of the bytes that each part of a segment takes in its CBOR encoding.
pub mod max_bytes {
    /// A completed range: the array head, and numbers of at most 5, 5 and 5 bytes.
    pub const COMPLETION: usize = 1 + 5 + 5 + 5;
    /// A removal: the array head, and numbers of at most 5, 5 and 9 bytes.
    pub const REMOVAL: usize = 1 + 5 + 5 + 9;
    /// A start: the array head, and numbers of at most 5, 5, 5 and 9 bytes.
    pub const START: usize = 1 + 5 + 5 + 5 + 9;
    /// The rest of the segment: the map, its keys, the heads of its lists and the segment's
    /// number.
    pub const OVERHEAD: usize = 64;

    /// A name in one of the lists, with the head of the string.
    pub fn name(name: &str) -> usize {
        name.len() + 3
    }
}

impl LogSegmentRecord {
    /// The stored form, as segment number `seq`, of these entries by job.
    pub fn from_entries(seq: u64, entries_by_job: &BTreeMap<String, LogEntries>) -> LogSegmentRecord {
        let mut segment = LogSegmentRecord { seq, ..LogSegmentRecord::default() };
        let mut machine_numbers: BTreeMap<&str, u32> = BTreeMap::new();
        for (uid, entries) in entries_by_job {
            let job = segment.jobs.len() as u32;
            segment.jobs.push(uid.clone());
            segment.add_completions(job, &entries.done);
            segment.gone.extend(entries.gone.iter().map(|(index, attempt)| (job, *index, *attempt)));
            for placement in &entries.starts {
                let machine = *machine_numbers.entry(&placement.machine).or_insert_with(|| {
                    segment.machines.push(placement.machine.clone());
                    segment.machines.len() as u32 - 1
                });
                segment.starts.push((job, placement.index, machine, placement.attempt));
            }
        }
        segment
    }

    /// Adds completed tasks. Consecutive indexes are joined into ranges.
    fn add_completions(&mut self, job: u32, indexes: &BTreeSet<u32>) {
        let mut range: Option<(u32, u32)> = None;
        for index in indexes {
            range = match range {
                Some((from, to)) if to + 1 == *index => Some((from, *index)),
                finished => {
                    self.done.extend(finished.map(|(from, to)| (job, from, to)));
                    Some((*index, *index))
                }
            };
        }
        self.done.extend(range.map(|(from, to)| (job, from, to)));
    }

    /// The entries of the segment by job. Ranges are cut off at the index `max_index`, so that a
    /// damaged segment cannot expand to an unbounded number of entries.
    ///
    /// # Errors
    /// `InvalidSegment` if an entry refers to a name that the segment does not list.
    pub fn entries_by_job(&self, max_index: u32) -> Result<BTreeMap<&str, LogEntries>, InvalidSegment> {
        let mut by_job: BTreeMap<&str, LogEntries> = BTreeMap::new();
        for (job, from, to) in &self.done {
            by_job.entry(self.job_name(*job)?).or_default().done.extend(*from..=(*to).min(max_index));
        }
        for (job, index, attempt) in &self.gone {
            by_job.entry(self.job_name(*job)?).or_default().gone.insert((*index, *attempt));
        }
        for (job, index, machine, attempt) in &self.starts {
            let machine = self.machine_name(*machine)?.to_string();
            let placement = Placement { index: *index, machine, attempt: *attempt };
            by_job.entry(self.job_name(*job)?).or_default().starts.push(placement);
        }
        Ok(by_job)
    }

    fn job_name(&self, number: u32) -> Result<&str, InvalidSegment> {
        self.jobs.get(number as usize).map(String::as_str).ok_or(InvalidSegment(self.seq))
    }

    fn machine_name(&self, number: u32) -> Result<&str, InvalidSegment> {
        self.machines.get(number as usize).map(String::as_str).ok_or(InvalidSegment(self.seq))
    }
}

#[cfg(test)]
mod tests;
