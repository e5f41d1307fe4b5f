//! The requests that have not been answered yet.

#![warn(missing_docs)]

use super::transitions::{Answer, Event, KnownStatus, RequestKind, Stage, Transition, WriteOutcome, transition};
use crate::effects::{ConnId, Instant};
use std::collections::BTreeSet;

/// A user's request about a job.
#[derive(Debug)]
pub struct Request {
    /// The connection on which the request is answered.
    pub conn: ConnId,
    /// The identifier of the job.
    pub uid: String,
    /// What the request asks for.
    pub kind: RequestKind,
    stage: Stage,
    deadline: Instant,
}

/// The requests that have not been answered yet, in the order of their arrival.
#[derive(Debug, Default)]
pub struct Requests {
    open: Vec<Request>,
}

impl Requests {
    /// Adds a request that has arrived and must be answered by `deadline` at the latest.
    pub fn add(&mut self, conn: ConnId, uid: &str, kind: RequestKind, stage: Stage, deadline: Instant) {
        self.open.push(Request { conn, uid: uid.to_string(), kind, stage, deadline });
    }

    /// Whether any request waits for a read to be sent.
    pub fn any_awaits_read(&self) -> bool {
        self.open.iter().any(|request| request.stage == Stage::Queued)
    }

    /// The jobs for which a cancellation waits for this controller's write.
    pub fn jobs_to_cancel(&self) -> BTreeSet<String> {
        let is_writing = |request: &&Request| request.kind == RequestKind::Cancel && request.stage == Stage::Writing;
        self.open.iter().filter(is_writing).map(|request| request.uid.clone()).collect()
    }

    /// Applies an event to all requests. Those that it answers are removed and returned with
    /// their answers. `known` returns what the replica knows of a job.
    pub fn apply_event(&mut self, event: Event, known: impl Fn(&str) -> KnownStatus) -> Vec<(Request, Answer)> {
        self.event_for(|_| true, event, known)
    }

    /// Applies the outcome of this controller's write to all requests of this kind for the job.
    pub fn apply_write_outcome(
        &mut self,
        uid: &str,
        kind: RequestKind,
        outcome: WriteOutcome,
        known: impl Fn(&str) -> KnownStatus,
    ) -> Vec<(Request, Answer)> {
        self.event_for(|request| request.uid == uid && request.kind == kind, Event::WriteOutcome(outcome), known)
    }

    /// Answers the requests whose deadline has passed.
    pub fn expire(&mut self, now: Instant, known: impl Fn(&str) -> KnownStatus) -> Vec<(Request, Answer)> {
        self.event_for(|request| request.deadline <= now, Event::DeadlinePassed, known)
    }

    /// Applies an event to the requests that it concerns, and leaves the others unchanged.
    fn event_for(
        &mut self,
        concerns: impl Fn(&Request) -> bool,
        event: Event,
        known: impl Fn(&str) -> KnownStatus,
    ) -> Vec<(Request, Answer)> {
        let mut answered = Vec::new();
        for mut request in std::mem::take(&mut self.open) {
            if !concerns(&request) {
                self.open.push(request);
                continue;
            }
            match transition(request.kind, request.stage, event, known(&request.uid)) {
                Transition::Answer(answer) => answered.push((request, answer)),
                Transition::Stage(stage) => {
                    request.stage = stage;
                    self.open.push(request);
                }
            }
        }
        answered
    }
}
