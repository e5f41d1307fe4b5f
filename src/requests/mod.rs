//! What users asked, and what each is told: one closed table. A request has been asked
//! for something and stands at a stage; every event leads it to a stage or to an answer
//! (`step`). Pure: what the view knows and how a write of ours ended come in, answers go
//! out; nothing is known here of connections but their number, nor of the time but what
//! is due.
//!
//! Invariants, held by a test of every pair of stage and event:
//! - An end is final and told whenever it is known; anything else only after a read
//!   that went out after the request came, or by our own write for that request.
//! - That a job is not known is told only after such a read.
//! - Who is not answered in time is told to come back.

use crate::effects::{ConnId, Instant};
use std::collections::BTreeSet;

/// What a user asked about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// To run it.
    Submitted,
    /// To run it though it never can: refused, unless it was accepted.
    Impossible,
    State,
    Cancelled,
}

/// What the request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// A read to go out.
    Queued,
    /// The answer of a read that went out after it came.
    Reading,
    /// The view to come to this revision.
    Need(u64),
    /// A write of ours for it, which has its answer.
    Writing,
}

/// What the view has of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Known {
    Nothing,
    Queued,
    Running,
    /// Done or cancelled, for good.
    Over,
}

/// How a write for it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    Done,
    /// Another had changed the record.
    Void,
    /// Over a rate limit.
    Limited,
    /// Not carried out, or nobody knows.
    Failed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    ReadSent,
    /// The read said how far the ledger had come.
    Read(u64),
    ReadFailed,
    /// The view holds all up to this revision.
    ClusterState(u64),
    Written(Written),
    Due,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// 201: accepted, by our write.
    Accepted,
    /// 200 with what the view has.
    Tell,
    /// 404.
    Unknown,
    /// 422.
    NeverRuns,
    /// 429, with a place in what can be written.
    Limited,
    /// 503: come back.
    Later,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    Stage(Stage),
    Answer(Answer),
}

/// The table: where a request goes from its stage with an event, the view having `known`
/// of its job.
pub fn step(asked: Asked, stage: Stage, event: Event, known: Known) -> Next {
    if known == Known::Over {
        return Next::Answer(Answer::Tell);
    }
    let fresh = match (stage, event) {
        (_, Event::Due) => return Next::Answer(Answer::Later),
        (Stage::Queued, Event::ReadSent) => return Next::Stage(Stage::Reading),
        (Stage::Reading, Event::Read(n)) => return Next::Stage(Stage::Need(n)),
        (Stage::Reading, Event::ReadFailed) => return Next::Answer(Answer::Later),
        (Stage::Need(n), Event::ClusterState(revision)) => revision >= n,
        (Stage::Writing, Event::Written(w)) => return written(asked, w, known),
        // A view read anew may lack the job that is to be cancelled.
        (Stage::Writing, Event::ClusterState(_)) if asked == Asked::Cancelled && known == Known::Nothing => {
            return Next::Stage(Stage::Queued);
        }
        _ => false,
    };
    match (asked, known) {
        _ if !fresh => Next::Stage(stage),
        (Asked::Cancelled, Known::Queued | Known::Running) => Next::Stage(Stage::Writing),
        (_, Known::Queued | Known::Running | Known::Over) => Next::Answer(Answer::Tell),
        // Not accepted by then; a submission under way may be yet.
        (Asked::Submitted, Known::Nothing) => Next::Answer(Answer::Later),
        (Asked::Impossible, Known::Nothing) => Next::Answer(Answer::NeverRuns),
        (Asked::State | Asked::Cancelled, Known::Nothing) => Next::Answer(Answer::Unknown),
    }
}

fn written(asked: Asked, how: Written, known: Known) -> Next {
    match (how, asked) {
        // By the watch, more may be known by now than that it is accepted.
        (Written::Done, Asked::Submitted) if known != Known::Running => Next::Answer(Answer::Accepted),
        (Written::Done, _) => Next::Answer(Answer::Tell),
        // Known already. Where the watch proved it, it may have shown that alone, and more
        // been told since: a read decides, like for any other question.
        (Written::Void, Asked::Submitted) => Next::Stage(Stage::Queued),
        // The record moved on; the user repeats and meets the new one.
        (Written::Void | Written::Failed, _) => Next::Answer(Answer::Later),
        (Written::Limited, _) => Next::Answer(Answer::Limited),
    }
}

#[derive(Debug)]
pub struct Request {
    pub conn: ConnId,
    pub uid: String,
    pub asked: Asked,
    stage: Stage,
    until: Instant,
}

/// The requests that were not answered yet.
#[derive(Debug, Default)]
pub struct Requests {
    open: Vec<Request>,
}

impl Requests {
    /// One came that is told by `until` at the latest.
    pub fn came(&mut self, conn: ConnId, uid: &str, asked: Asked, stage: Stage, until: Instant) {
        self.open.push(Request { conn, uid: uid.to_string(), asked, stage, until });
    }

    /// Whether any waits for a read to go out.
    pub fn queued(&self) -> bool {
        self.open.iter().any(|r| r.stage == Stage::Queued)
    }

    /// Jobs that are to be cancelled, by writes of ours.
    pub fn cancelling(&self) -> BTreeSet<String> {
        let writing = |r: &&Request| r.asked == Asked::Cancelled && r.stage == Stage::Writing;
        self.open.iter().filter(writing).map(|r| r.uid.clone()).collect()
    }

    /// An event for all of them; those that are answered leave.
    pub fn event(&mut self, event: Event, known: impl Fn(&str) -> Known) -> Vec<(Request, Answer)> {
        self.event_of(|_| true, event, known)
    }

    /// A write about this job ended that was made because users asked this.
    pub fn written(
        &mut self,
        uid: &str,
        asked: Asked,
        how: Written,
        known: impl Fn(&str) -> Known,
    ) -> Vec<(Request, Answer)> {
        self.event_of(|r| r.uid == uid && r.asked == asked, Event::Written(how), known)
    }

    /// Those whose time is up.
    pub fn due(&mut self, now: Instant, known: impl Fn(&str) -> Known) -> Vec<(Request, Answer)> {
        self.event_of(|r| r.until <= now, Event::Due, known)
    }

    fn event_of(
        &mut self,
        which: impl Fn(&Request) -> bool,
        event: Event,
        known: impl Fn(&str) -> Known,
    ) -> Vec<(Request, Answer)> {
        let mut told = Vec::new();
        for mut r in std::mem::take(&mut self.open) {
            let next = if which(&r) { step(r.asked, r.stage, event, known(&r.uid)) } else { Next::Stage(r.stage) };
            match next {
                Next::Answer(answer) => told.push((r, answer)),
                Next::Stage(stage) => {
                    r.stage = stage;
                    self.open.push(r);
                }
            }
        }
        told
    }
}

#[cfg(test)]
mod tests;
