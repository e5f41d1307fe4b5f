//! The state machine of a request, as a closed table: every event leads from the current
//! stage to another stage or to an answer.
//!
//! Invariants, asserted by a test of every combination:
//! - The final status of a job is answered as soon as it is known. Anything else is
//!   answered only after a read that was sent after the request arrived, or because of our
//!   own write for that request.
//! - That a job is unknown is answered only after such a read.
//! - A request that is not answered by its deadline is answered with a retry time.

/// What a user asked about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// To run it.
    Submitted,
    /// To run it, although it can never run: refused, unless it was accepted before.
    Impossible,
    /// Its status.
    State,
    /// To cancel it.
    Cancelled,
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The next read to be sent.
    Queued,
    /// The response of a read that was sent after the request arrived.
    Reading,
    /// The replica to apply all changes up to this revision.
    AwaitingRevision(u64),
    /// Our own write for the request, whose outcome decides the answer.
    Writing,
}

/// What the replica knows of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownStatus {
    Nothing,
    Queued,
    Running,
    /// Done or cancelled, which is final.
    Over,
}

/// The outcome of a write for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    Done,
    /// The compare-and-swap failed: the record had changed.
    Void,
    /// Refused by a rate limit.
    Limited,
    /// Not executed, or the outcome is unknown.
    Failed,
}

/// What can happen while a request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    ReadSent,
    /// A read returned the store's revision.
    Read(u64),
    ReadFailed,
    /// The replica has applied all changes up to this revision.
    ClusterState(u64),
    WriteOutcome(WriteOutcome),
    /// The request's deadline has passed.
    Due,
}

/// How a request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// 201: accepted by our write.
    Accepted,
    /// 200 with the status that the replica has.
    Tell,
    /// 404.
    Unknown,
    /// 422.
    NeverRuns,
    /// 429, with a retry time according to the write rate.
    Limited,
    /// 503: retry later.
    Later,
}

/// The result of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Next {
    Stage(Stage),
    Answer(Answer),
}

/// The table: the result of `event` for a request at `stage`, where the replica knows
/// `known` of its job.
pub(super) fn step(asked: RequestKind, stage: Stage, event: Event, known: KnownStatus) -> Next {
    if known == KnownStatus::Over {
        return Next::Answer(Answer::Tell);
    }
    match (stage, event) {
        (_, Event::Due) => Next::Answer(Answer::Later),
        (Stage::Queued, Event::ReadSent) => Next::Stage(Stage::Reading),
        (Stage::Reading, Event::Read(revision)) => Next::Stage(Stage::AwaitingRevision(revision)),
        (Stage::Reading, Event::ReadFailed) => Next::Answer(Answer::Later),
        (Stage::AwaitingRevision(needed), Event::ClusterState(applied)) if applied >= needed => {
            after_read(asked, known)
        }
        (Stage::Writing, Event::WriteOutcome(outcome)) => after_write(asked, outcome, known),
        // The replica was read again, and may not have the job that is to be cancelled yet.
        (Stage::Writing, Event::ClusterState(_))
            if asked == RequestKind::Cancelled && known == KnownStatus::Nothing =>
        {
            Next::Stage(Stage::Queued)
        }
        _ => Next::Stage(stage),
    }
}

/// The result once the replica has everything that a read after the request's arrival
/// could show.
fn after_read(asked: RequestKind, known: KnownStatus) -> Next {
    match (asked, known) {
        (RequestKind::Cancelled, KnownStatus::Queued | KnownStatus::Running) => Next::Stage(Stage::Writing),
        (_, KnownStatus::Queued | KnownStatus::Running | KnownStatus::Over) => Next::Answer(Answer::Tell),
        // Not accepted at the time of the read; a submission in flight may still be.
        (RequestKind::Submitted, KnownStatus::Nothing) => Next::Answer(Answer::Later),
        (RequestKind::Impossible, KnownStatus::Nothing) => Next::Answer(Answer::NeverRuns),
        (RequestKind::State | RequestKind::Cancelled, KnownStatus::Nothing) => Next::Answer(Answer::Unknown),
    }
}

/// The result once our write for the request has ended.
fn after_write(asked: RequestKind, outcome: WriteOutcome, known: KnownStatus) -> Next {
    match (outcome, asked) {
        // The watch may have shown by now that the job runs already.
        (WriteOutcome::Done, RequestKind::Submitted) if known != KnownStatus::Running => Next::Answer(Answer::Accepted),
        (WriteOutcome::Done, _) => Next::Answer(Answer::Tell),
        // The job was accepted before. The replica may know that change alone, while other
        // controllers have answered with later ones: a read decides.
        (WriteOutcome::Void, RequestKind::Submitted) => Next::Stage(Stage::Queued),
        // The record has changed; the user retries and meets the new one.
        (WriteOutcome::Void | WriteOutcome::Failed, _) => Next::Answer(Answer::Later),
        (WriteOutcome::Limited, _) => Next::Answer(Answer::Limited),
    }
}
