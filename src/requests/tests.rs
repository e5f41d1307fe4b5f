//! Tests of every combination of request, stage, event and known status, and of the open
//! requests.

use super::transitions::{Transition, transition};
use super::*;
use std::time::Duration;

const ASKED: [RequestKind; 4] =
    [RequestKind::Submitted, RequestKind::Impossible, RequestKind::State, RequestKind::Cancelled];
const STAGES: [Stage; 4] = [Stage::Queued, Stage::Reading, Stage::AwaitingRevision(7), Stage::Writing];
const KNOWN: [KnownStatus; 4] = [KnownStatus::Nothing, KnownStatus::Queued, KnownStatus::Running, KnownStatus::Over];
const EVENTS: [Event; 10] = [
    Event::ReadSent,
    Event::Read(9),
    Event::ReadFailed,
    Event::ClusterState(6),
    Event::ClusterState(7),
    Event::WriteOutcome(WriteOutcome::Done),
    Event::WriteOutcome(WriteOutcome::Void),
    Event::WriteOutcome(WriteOutcome::Limited),
    Event::WriteOutcome(WriteOutcome::Failed),
    Event::Due,
];

fn for_every_combination(mut check: impl FnMut(RequestKind, Stage, Event, KnownStatus, Transition, &str)) {
    for asked in ASKED {
        for stage in STAGES {
            for event in EVENTS {
                for known in KNOWN {
                    let next = transition(asked, stage, event, known);
                    let combination = format!("{asked:?} {stage:?} {event:?} {known:?}: {next:?}");
                    check(asked, stage, event, known, next, &combination);
                }
            }
        }
    }
}

/// Each assertion is a rule that a wrong answer would break, or has broken.
#[test]
fn no_combination_allows_a_forbidden_answer() {
    for_every_combination(|asked, stage, event, known, next, combination| {
        let read = matches!((stage, event), (Stage::AwaitingRevision(n), Event::ClusterState(r)) if r >= n);
        let stored = stage == Stage::Writing && event == Event::WriteOutcome(WriteOutcome::Done);
        // `went_back` of the emulator's checker: a final status is answered as soon as it is known.
        if known == KnownStatus::Over {
            assert_eq!(next, Transition::Answer(Answer::Tell), "{combination}");
            return;
        }
        // No status may be older than one answered before. So a status that can still change is
        // answered only after a read, or because of this controller's write for this request.
        if matches!(next, Transition::Answer(Answer::Tell | Answer::Accepted)) {
            assert!(read || stored, "{combination}");
        }
        // The revision to wait for comes from a read, not from a failed conditional write.
        if let Transition::Stage(Stage::AwaitingRevision(n)) = next {
            let from_read = stage == Stage::Reading && event == Event::Read(n);
            assert!(from_read || next == Transition::Stage(stage), "{combination}");
        }
        // `forgotten` of the emulator's checker: 404 and 422 only after a read that shows no such
        // job.
        if matches!(next, Transition::Answer(Answer::Unknown | Answer::NeverRuns)) {
            assert!(read && known == KnownStatus::Nothing && asked != RequestKind::Submitted, "{combination}");
        }
        assert!(next != Transition::Answer(Answer::NeverRuns) || asked == RequestKind::Impossible, "{combination}");
        // `invented` of the emulator's checker: 201 only because of this controller's write, to
        // the user who submitted the job.
        assert!(
            next != Transition::Answer(Answer::Accepted) || (stored && asked == RequestKind::Submitted),
            "{combination}"
        );
        // The answer is never older than the replica.
        assert!(next != Transition::Answer(Answer::Accepted) || known != KnownStatus::Running, "{combination}");
        // A cancellation is answered with a status only once it has been written.
        let is_live = matches!(known, KnownStatus::Queued | KnownStatus::Running);
        if asked == RequestKind::Cancelled && next == Transition::Answer(Answer::Tell) {
            assert!(stored, "{combination}");
        }
        // Only a live job that the replica has can be cancelled.
        if next == Transition::Stage(Stage::Writing) && stage != Stage::Writing {
            assert!(asked == RequestKind::Cancelled && read && is_live, "{combination}");
        }
        // No request waits beyond its deadline.
        assert!(event != Event::Due || next == Transition::Answer(Answer::Later), "{combination}");
    });
}

/// An event changes the stage or answers the request if and only if it concerns the current
/// stage, or the job is known to have ended.
#[test]
fn unrelated_events_leave_the_stage_unchanged() {
    for_every_combination(|asked, stage, event, known, next, combination| {
        let concerns = match (stage, event) {
            (_, Event::Due) | (Stage::Queued, Event::ReadSent) | (Stage::Writing, Event::WriteOutcome(_)) => true,
            (Stage::Reading, Event::Read(_) | Event::ReadFailed) => true,
            (Stage::AwaitingRevision(n), Event::ClusterState(r)) => r >= n,
            (Stage::Writing, Event::ClusterState(_)) => {
                asked == RequestKind::Cancelled && known == KnownStatus::Nothing
            }
            _ => false,
        };
        if !concerns && known != KnownStatus::Over {
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
    requests.came(1, "run-1", RequestKind::Submitted, Stage::Writing, s(2));
    requests.came(2, "run-1", RequestKind::Submitted, Stage::Queued, s(3));
    let first = requests.written("run-1", RequestKind::Submitted, WriteOutcome::Done, |_| KnownStatus::Queued);
    assert_eq!(
        first.iter().map(|(request, answer)| (request.conn, *answer)).collect::<Vec<_>>(),
        vec![(1, Answer::Accepted)]
    );
    assert!(requests.queued() && requests.event(Event::ReadSent, |_| KnownStatus::Queued).is_empty());
    assert!(requests.event(Event::Read(9), |_| KnownStatus::Queued).is_empty());
    assert!(requests.event(Event::ClusterState(8), |_| KnownStatus::Queued).is_empty());
    let second = requests.event(Event::ClusterState(9), |_| KnownStatus::Over);
    assert_eq!(
        second.iter().map(|(request, answer)| (request.conn, *answer)).collect::<Vec<_>>(),
        vec![(2, Answer::Tell)]
    );
}

/// A request whose write gets no response is answered at its deadline. A cancellation whose job
/// is missing from a replica that is read again waits for another read.
#[test]
fn a_request_past_its_deadline_gets_a_retry_time() {
    let s = Duration::from_secs;
    let mut requests = Requests::default();
    requests.came(1, "run-1", RequestKind::Submitted, Stage::Writing, s(2));
    requests.came(2, "run-2", RequestKind::Cancelled, Stage::Writing, s(3));
    assert!(requests.cancelling().iter().eq(["run-2"]));
    let late = requests.due(s(2), |_| KnownStatus::Queued);
    assert_eq!(
        late.iter().map(|(request, answer)| (request.conn, *answer)).collect::<Vec<_>>(),
        vec![(1, Answer::Later)]
    );
    assert!(requests.due(s(2), |_| KnownStatus::Queued).is_empty());
    // The replica is being read again and does not have the job yet.
    assert!(requests.event(Event::ClusterState(1), |_| KnownStatus::Nothing).is_empty());
    assert!(requests.queued() && requests.cancelling().is_empty());
}
