//! The requests that have not been answered yet.

use super::transitions::{Answer, Event, KnownStatus, Next, RequestKind, Stage, WriteOutcome, step};
use crate::effects::{ConnId, Instant};
use std::collections::BTreeSet;

/// A request of a user about a job.
#[derive(Debug)]
pub struct Request {
    pub conn: ConnId,
    pub uid: String,
    pub asked: RequestKind,
    stage: Stage,
    until: Instant,
}

/// The requests that have not been answered yet, in the order of their arrival.
#[derive(Debug, Default)]
pub struct Requests {
    open: Vec<Request>,
}

impl Requests {
    /// Adds a request, to be answered by `until` at the latest.
    pub fn came(&mut self, conn: ConnId, uid: &str, asked: RequestKind, stage: Stage, until: Instant) {
        self.open.push(Request { conn, uid: uid.to_string(), asked, stage, until });
    }

    /// Whether any request waits for a read to be sent.
    pub fn queued(&self) -> bool {
        self.open.iter().any(|request| request.stage == Stage::Queued)
    }

    /// Jobs that are to be cancelled by our own writes.
    pub fn cancelling(&self) -> BTreeSet<String> {
        let is_writing =
            |request: &&Request| request.asked == RequestKind::Cancelled && request.stage == Stage::Writing;
        self.open.iter().filter(is_writing).map(|request| request.uid.clone()).collect()
    }

    /// Applies an event to all requests. Those that are answered by it are removed and
    /// returned with their answer.
    pub fn event(&mut self, event: Event, known: impl Fn(&str) -> KnownStatus) -> Vec<(Request, Answer)> {
        self.event_for(|_| true, event, known)
    }

    /// Applies the outcome of our write for the requests that asked this about the job.
    pub fn written(
        &mut self,
        uid: &str,
        asked: RequestKind,
        how: WriteOutcome,
        known: impl Fn(&str) -> KnownStatus,
    ) -> Vec<(Request, Answer)> {
        self.event_for(|request| request.uid == uid && request.asked == asked, Event::WriteOutcome(how), known)
    }

    /// Answers the requests whose deadline has passed.
    pub fn due(&mut self, now: Instant, known: impl Fn(&str) -> KnownStatus) -> Vec<(Request, Answer)> {
        self.event_for(|request| request.until <= now, Event::Due, known)
    }

    /// Applies an event to the requests that it concerns; the others are left as they are.
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
            match step(request.asked, request.stage, event, known(&request.uid)) {
                Next::Answer(answer) => answered.push((request, answer)),
                Next::Stage(stage) => {
                    request.stage = stage;
                    self.open.push(request);
                }
            }
        }
        answered
    }
}
