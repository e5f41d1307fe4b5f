//! The state machine of a request, as a complete table: every event leads from the current stage
//! to a stage or to an answer.
//!
//! Invariants, which a test asserts for every combination:
//! - The final status of a job is answered as soon as it is known. Any other status is answered
//!   only after a read that was sent after the request arrived, or because of this controller's
//!   own write for that request.
//! - A read or a write that was sent before a suspension of the process answers nothing after it,
//!   unless it shows the final status.
//! - That a job is unknown is answered only after such a read.
//! - A request that is not answered by its deadline is answered with a retry time.

#![warn(missing_docs)]

/// What a user's request about a job asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// To run the job.
    Submit,
    /// To run a job that can never run. It is refused unless it was accepted before.
    SubmitImpossible,
    /// The status of the job.
    Status,
    /// To cancel the job.
    Cancel,
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It waits for the next read to be sent.
    Queued,
    /// It waits for the response to a read that was sent after the request arrived.
    Reading,
    /// It waits until the replica has applied all changes up to this revision.
    AwaitingRevision(u64),
    /// It waits for this controller's own write for the request, whose outcome decides the
    /// answer.
    Writing,
    /// It waits for this controller's own write for the request, and the process was suspended
    /// meanwhile. Later changes may have been answered elsewhere, so a read follows the write.
    WritingInterrupted,
}

/// What the replica knows of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownStatus {
    /// The replica does not have the job.
    Unknown,
    /// The job waits to be started.
    Queued,
    /// The job runs.
    Running,
    /// The job is done or cancelled, which is final.
    Ended,
}

/// The outcome of a write for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was carried out.
    Done,
    /// The write was not carried out because the record had changed.
    Void,
    /// The write was refused because of a rate limit.
    Limited,
    /// The write was not carried out for another reason, or its outcome is unknown.
    Failed,
}

/// What can happen while a request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A read was sent.
    ReadSent,
    /// A read returned the store's revision.
    Read(u64),
    /// A read failed.
    ReadFailed,
    /// The replica has applied all changes up to this revision.
    ReplicaAt(u64),
    /// This controller's write for the request has ended.
    WriteOutcome(WriteOutcome),
    /// The process resumed after a suspension. What it read before may be outdated: meanwhile
    /// other controllers may have answered with later states.
    Resumed,
    /// The request's deadline has passed.
    DeadlinePassed,
}

/// How a request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Answer {
    /// 201: the job was accepted by this controller's write.
    Accepted,
    /// 200, with the status that the replica has.
    Status,
    /// 404: there is no such job.
    Unknown,
    /// 422: the job can never run.
    CanNeverRun,
    /// 429, with a retry time that follows from the rate of writes.
    Limited,
    /// 503: the client should retry later.
    RetryLater,
}

/// The result of an event for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Transition {
    /// The request waits at this stage.
    Stage(Stage),
    /// The request is answered.
    Answer(Answer),
}

/// The transition table: the result of `event` for a request at `stage`, if the replica has
/// `known` as the status of its job.
pub(super) fn transition(kind: RequestKind, stage: Stage, event: Event, known: KnownStatus) -> Transition {
    if known == KnownStatus::Ended {
        return Transition::Answer(Answer::Status);
    }
    match (stage, event) {
        (_, Event::DeadlinePassed) => Transition::Answer(Answer::RetryLater),
        (Stage::Reading | Stage::AwaitingRevision(_), Event::Resumed) => Transition::Stage(Stage::Queued),
        // The outcome of a cancellation is final.
        (Stage::Writing, Event::Resumed) if kind == RequestKind::Submit => Transition::Stage(Stage::WritingInterrupted),
        (Stage::Queued, Event::ReadSent) => Transition::Stage(Stage::Reading),
        (Stage::Reading, Event::Read(revision)) => Transition::Stage(Stage::AwaitingRevision(revision)),
        (Stage::Reading, Event::ReadFailed) => Transition::Answer(Answer::RetryLater),
        (Stage::AwaitingRevision(needed), Event::ReplicaAt(applied)) if applied >= needed => after_read(kind, known),
        (Stage::WritingInterrupted, Event::WriteOutcome(WriteOutcome::Done)) => Transition::Stage(Stage::Queued),
        (Stage::Writing | Stage::WritingInterrupted, Event::WriteOutcome(outcome)) => after_write(kind, outcome, known),
        // The replica is being read again and may not have the job that is to be cancelled yet.
        (Stage::Writing, Event::ReplicaAt(_)) if kind == RequestKind::Cancel && known == KnownStatus::Unknown => {
            Transition::Stage(Stage::Queued)
        }
        _ => Transition::Stage(stage),
    }
}

/// The result once the replica has every change that a read after the request's arrival could
/// show.
fn after_read(kind: RequestKind, known: KnownStatus) -> Transition {
    match (kind, known) {
        (RequestKind::Cancel, KnownStatus::Queued | KnownStatus::Running) => Transition::Stage(Stage::Writing),
        (_, KnownStatus::Queued | KnownStatus::Running | KnownStatus::Ended) => Transition::Answer(Answer::Status),
        // The job was not accepted by the time of the read, but a submission in flight may still
        // be.
        (RequestKind::Submit, KnownStatus::Unknown) => Transition::Answer(Answer::RetryLater),
        (RequestKind::SubmitImpossible, KnownStatus::Unknown) => Transition::Answer(Answer::CanNeverRun),
        (RequestKind::Status | RequestKind::Cancel, KnownStatus::Unknown) => Transition::Answer(Answer::Unknown),
    }
}

/// The result once this controller's write for the request has ended.
fn after_write(kind: RequestKind, outcome: WriteOutcome, known: KnownStatus) -> Transition {
    match (outcome, kind) {
        // The watch may have shown meanwhile that the job is already running.
        (WriteOutcome::Done, RequestKind::Submit) if known != KnownStatus::Running => {
            Transition::Answer(Answer::Accepted)
        }
        (WriteOutcome::Done, _) => Transition::Answer(Answer::Status),
        // The job was accepted before. The replica may have only that change, while other
        // controllers have already answered with later ones, so a read decides.
        (WriteOutcome::Void, RequestKind::Submit) => Transition::Stage(Stage::Queued),
        // The record has changed, so the client's retry finds the new one.
        (WriteOutcome::Void | WriteOutcome::Failed, _) => Transition::Answer(Answer::RetryLater),
        (WriteOutcome::Limited, _) => Transition::Answer(Answer::Limited),
    }
}
