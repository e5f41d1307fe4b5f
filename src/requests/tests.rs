//! Tests of every combination of request, stage, event and known status, and of the open
//! requests.

use super::transitions::{Transition, transition};
use super::*;
use std::time::Duration;

const KINDS: [RequestKind; 4] =
    [RequestKind::Submit, RequestKind::SubmitImpossible, RequestKind::Status, RequestKind::Cancel];
const STAGES: [Stage; 5] =
    [Stage::Queued, Stage::Reading, Stage::AwaitingRevision(7), Stage::Writing, Stage::WritingInterrupted];
const KNOWN: [KnownStatus; 4] = [KnownStatus::Unknown, KnownStatus::Queued, KnownStatus::Running, KnownStatus::Ended];
const EVENTS: [Event; 11] = [
    Event::ReadSent,
    Event::Read(9),
    Event::ReadFailed,
    Event::ReplicaAt(6),
    Event::ReplicaAt(7),
    Event::WriteOutcome(WriteOutcome::Done),
    Event::WriteOutcome(WriteOutcome::Void),
    Event::WriteOutcome(WriteOutcome::Limited),
    Event::WriteOutcome(WriteOutcome::Failed),
    Event::Resumed,
    Event::DeadlinePassed,
];

fn for_every_combination(mut check: impl FnMut(RequestKind, Stage, Event, KnownStatus, Transition, &str)) {
    for kind in KINDS {
        for stage in STAGES {
            for event in EVENTS {
                for known in KNOWN {
                    let next = transition(kind, stage, event, known);
                    let combination = format!("{kind:?} {stage:?} {event:?} {known:?}: {next:?}");
                    check(kind, stage, event, known, next, &combination);
                }
            }
        }
    }
}

/// Each assertion is a rule that a wrong answer would break, or has broken.
#[test]
fn no_combination_allows_a_forbidden_answer() {
    for_every_combination(|kind, stage, event, known, next, combination| {
        let read = matches!((stage, event), (Stage::AwaitingRevision(n), Event::ReplicaAt(r)) if r >= n);
        let stored = stage == Stage::Writing && event == Event::WriteOutcome(WriteOutcome::Done);
        // `went_back` of the emulator's checker: a final status is answered as soon as it is known.
        if known == KnownStatus::Ended {
            assert_eq!(next, Transition::Answer(Answer::Status), "{combination}");
            return;
        }
        // No status may be older than one answered before. So a status that can still change is
        // answered only after a read, or because of this controller's write for this request.
        if matches!(next, Transition::Answer(Answer::Status | Answer::Accepted)) {
            assert!(read || stored, "{combination}");
        }
        // The revision to wait for comes from a read, not from a failed conditional write.
        if let Transition::Stage(Stage::AwaitingRevision(n)) = next {
            let from_read = stage == Stage::Reading && event == Event::Read(n);
            assert!(from_read || next == Transition::Stage(stage), "{combination}");
        }
        // `forgotten` of the emulator's checker: 404 and 422 only after a read that shows no such
        // job.
        if matches!(next, Transition::Answer(Answer::Unknown | Answer::CanNeverRun)) {
            assert!(read && known == KnownStatus::Unknown && kind != RequestKind::Submit, "{combination}");
        }
        assert!(
            next != Transition::Answer(Answer::CanNeverRun) || kind == RequestKind::SubmitImpossible,
            "{combination}"
        );
        // `invented` of the emulator's checker: 201 only because of this controller's write, to
        // the user who submitted the job.
        assert!(
            next != Transition::Answer(Answer::Accepted) || (stored && kind == RequestKind::Submit),
            "{combination}"
        );
        // The answer is never older than the replica.
        assert!(next != Transition::Answer(Answer::Accepted) || known != KnownStatus::Running, "{combination}");
        // A cancellation is answered with a status only once it has been written.
        let is_live = matches!(known, KnownStatus::Queued | KnownStatus::Running);
        if kind == RequestKind::Cancel && next == Transition::Answer(Answer::Status) {
            assert!(stored, "{combination}");
        }
        // Only a live job that the replica has can be cancelled.
        if next == Transition::Stage(Stage::Writing) && stage != Stage::Writing {
            assert!(kind == RequestKind::Cancel && read && is_live, "{combination}");
        }
        // `went_back` of the emulator's checker: no read from before a suspension is used after it.
        if event == Event::Resumed {
            let uses_read = matches!(next, Transition::Stage(Stage::Reading | Stage::AwaitingRevision(_)));
            assert!(!uses_read && !matches!(next, Transition::Answer(_)), "{combination}");
            let awaits_acceptance = kind == RequestKind::Submit && next == Transition::Stage(Stage::Writing);
            assert!(!awaits_acceptance, "{combination}");
        }
        // No request waits beyond its deadline.
        assert!(event != Event::DeadlinePassed || next == Transition::Answer(Answer::RetryLater), "{combination}");
    });
}

/// An event changes the stage or answers the request if and only if it concerns the current
/// stage, or the job is known to have ended.
#[test]
fn unrelated_events_leave_the_stage_unchanged() {
    for_every_combination(|kind, stage, event, known, next, combination| {
        let concerns = match (stage, event) {
            (_, Event::DeadlinePassed)
            | (Stage::Queued, Event::ReadSent)
            | (Stage::Writing | Stage::WritingInterrupted, Event::WriteOutcome(_)) => true,
            (Stage::Reading, Event::Read(_) | Event::ReadFailed) => true,
            (Stage::Reading | Stage::AwaitingRevision(_), Event::Resumed) => true,
            (Stage::Writing, Event::Resumed) => kind == RequestKind::Submit,
            (Stage::AwaitingRevision(n), Event::ReplicaAt(r)) => r >= n,
            (Stage::Writing, Event::ReplicaAt(_)) => kind == RequestKind::Cancel && known == KnownStatus::Unknown,
            _ => false,
        };
        if !concerns && known != KnownStatus::Ended {
            assert_eq!(next, Transition::Stage(stage), "{combination}");
        } else {
            assert_ne!(next, Transition::Stage(stage), "{combination}");
        }
    });
}

/// A repeated submission arrived while the write for the first one was in flight. Answered
/// together with the first, it got `pending` although another controller had already answered
/// that the job was cancelled.
#[test]
fn a_repeated_submission_is_answered_after_a_read() {
    let s = Duration::from_secs;
    let mut requests = Requests::default();
    requests.add(1, "run-1", RequestKind::Submit, Stage::Writing, s(2));
    requests.add(2, "run-1", RequestKind::Submit, Stage::Queued, s(3));
    let first = requests.apply_write_outcome("run-1", RequestKind::Submit, WriteOutcome::Done, |_| KnownStatus::Queued);
    assert_eq!(
        first.iter().map(|(request, answer)| (request.conn, *answer)).collect::<Vec<_>>(),
        vec![(1, Answer::Accepted)]
    );
    assert!(requests.any_awaits_read() && requests.apply_event(Event::ReadSent, |_| KnownStatus::Queued).is_empty());
    assert!(requests.apply_event(Event::Read(9), |_| KnownStatus::Queued).is_empty());
    assert!(requests.apply_event(Event::ReplicaAt(8), |_| KnownStatus::Queued).is_empty());
    let second = requests.apply_event(Event::ReplicaAt(9), |_| KnownStatus::Ended);
    assert_eq!(
        second.iter().map(|(request, answer)| (request.conn, *answer)).collect::<Vec<_>>(),
        vec![(2, Answer::Status)]
    );
}

/// A request whose write gets no response is answered at its deadline. A cancellation whose job
/// is missing from a replica that is read again waits for another read.
#[test]
fn a_request_past_its_deadline_gets_a_retry_time() {
    let s = Duration::from_secs;
    let mut requests = Requests::default();
    requests.add(1, "run-1", RequestKind::Submit, Stage::Writing, s(2));
    requests.add(2, "run-2", RequestKind::Cancel, Stage::Writing, s(3));
    assert!(requests.jobs_to_cancel().iter().eq(["run-2"]));
    let late = requests.expire(s(2), |_| KnownStatus::Queued);
    assert_eq!(
        late.iter().map(|(request, answer)| (request.conn, *answer)).collect::<Vec<_>>(),
        vec![(1, Answer::RetryLater)]
    );
    assert!(requests.expire(s(2), |_| KnownStatus::Queued).is_empty());
    // The replica is being read again and does not have the job yet.
    assert!(requests.apply_event(Event::ReplicaAt(1), |_| KnownStatus::Unknown).is_empty());
    assert!(requests.any_awaits_read() && requests.jobs_to_cancel().is_empty());
}
