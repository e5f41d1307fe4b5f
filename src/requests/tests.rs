//! Every pair of stage and event, for everything that can be asked and known.

use super::*;
use std::time::Duration;

const ASKED: [Asked; 4] = [Asked::Submitted, Asked::Impossible, Asked::State, Asked::Cancelled];
const STAGES: [Stage; 4] = [Stage::Queued, Stage::Reading, Stage::Need(7), Stage::Writing];
const KNOWN: [Known; 4] = [Known::Nothing, Known::Queued, Known::Running, Known::Over];
const EVENTS: [Event; 10] = [
    Event::ReadSent,
    Event::Read(9),
    Event::ReadFailed,
    Event::ClusterState(6),
    Event::ClusterState(7),
    Event::Written(Written::Done),
    Event::Written(Written::Void),
    Event::Written(Written::Limited),
    Event::Written(Written::Failed),
    Event::Due,
];

fn every(mut f: impl FnMut(Asked, Stage, Event, Known, Next, &str)) {
    for asked in ASKED {
        for stage in STAGES {
            for event in EVENTS {
                for known in KNOWN {
                    let next = step(asked, stage, event, known);
                    f(asked, stage, event, known, next, &format!("{asked:?} {stage:?} {event:?} {known:?}: {next:?}"));
                }
            }
        }
    }
}

/// Each line is a rule that was, or would be, broken by the answer it forbids.
#[test]
fn no_pair_allows_what_a_rule_forbids() {
    every(|asked, stage, event, known, next, told| {
        let read = matches!((stage, event), (Stage::Need(n), Event::ClusterState(r)) if r >= n);
        let stored = stage == Stage::Writing && event == Event::Written(Written::Done);
        // went_back: what is over is said to be over, by whatever is known first.
        if known == Known::Over {
            assert_eq!(next, Next::Answer(Answer::Tell), "{told}");
            return;
        }
        // An older answer than others gave: a state that can still change is told only
        // after a read, or by our own write for this request.
        if matches!(next, Next::Answer(Answer::Tell | Answer::Accepted)) {
            assert!(read || stored, "{told}");
        }
        // How far the view has to come is said by a read alone, not by what voided a write.
        if let Next::Stage(Stage::Need(n)) = next {
            let said = stage == Stage::Reading && event == Event::Read(n);
            assert!(said || next == Next::Stage(stage), "{told}");
        }
        // forgotten: 404 and 422 only after a read that shows no such job.
        if matches!(next, Next::Answer(Answer::Unknown | Answer::NeverRuns)) {
            assert!(read && known == Known::Nothing && asked != Asked::Submitted, "{told}");
        }
        assert!(next != Next::Answer(Answer::NeverRuns) || asked == Asked::Impossible, "{told}");
        // invented: 201 only by our write, to who submitted it.
        assert!(next != Next::Answer(Answer::Accepted) || (stored && asked == Asked::Submitted), "{told}");
        // Nor is less told than the view has.
        assert!(next != Next::Answer(Answer::Accepted) || known != Known::Running, "{told}");
        // A cancellation is told by the view's state alone, once it is written.
        let lives = matches!(known, Known::Queued | Known::Running);
        if asked == Asked::Cancelled && next == Next::Answer(Answer::Tell) {
            assert!(stored, "{told}");
        }
        // Only what the view has can be written over.
        if next == Next::Stage(Stage::Writing) && stage != Stage::Writing {
            assert!(asked == Asked::Cancelled && read && lives, "{told}");
        }
        // Nobody waits beyond his time.
        assert!(event != Event::Due || next == Next::Answer(Answer::Later), "{told}");
    });
}

/// What has nothing to do with the stage changes nothing.
#[test]
fn other_events_leave_a_request_where_it_is() {
    every(|asked, stage, event, known, next, told| {
        let concerns = match (stage, event) {
            (_, Event::Due) | (Stage::Queued, Event::ReadSent) | (Stage::Writing, Event::Written(_)) => true,
            (Stage::Reading, Event::Read(_) | Event::ReadFailed) => true,
            (Stage::Need(n), Event::ClusterState(r)) => r >= n,
            (Stage::Writing, Event::ClusterState(_)) => asked == Asked::Cancelled && known == Known::Nothing,
            _ => false,
        };
        if !concerns && known != Known::Over {
            assert_eq!(next, Next::Stage(stage), "{told}");
        } else {
            assert_ne!(next, Next::Stage(stage), "{told}");
        }
    });
}

/// A repeated submission came while ours was under way, joined it, and was told that the
/// job is pending when the answer came, though others had told of its cancellation since.
#[test]
fn a_repeated_request_gets_what_a_read_shows() {
    let s = Duration::from_secs;
    let mut r = Requests::default();
    r.came(1, "run-1", Asked::Submitted, Stage::Writing, s(2));
    r.came(2, "run-1", Asked::Submitted, Stage::Queued, s(3));
    let first = r.written("run-1", Asked::Submitted, Written::Done, |_| Known::Queued);
    assert_eq!(first.iter().map(|(r, a)| (r.conn, *a)).collect::<Vec<_>>(), vec![(1, Answer::Accepted)]);
    assert!(r.queued() && r.event(Event::ReadSent, |_| Known::Queued).is_empty());
    assert!(r.event(Event::Read(9), |_| Known::Queued).is_empty());
    assert!(r.event(Event::ClusterState(8), |_| Known::Queued).is_empty());
    let second = r.event(Event::ClusterState(9), |_| Known::Over);
    assert_eq!(second.iter().map(|(r, a)| (r.conn, *a)).collect::<Vec<_>>(), vec![(2, Answer::Tell)]);
}

#[test]
fn a_request_that_waits_too_long_gets_a_retry_time() {
    let s = Duration::from_secs;
    let mut r = Requests::default();
    r.came(1, "run-1", Asked::Submitted, Stage::Writing, s(2));
    r.came(2, "run-2", Asked::Cancelled, Stage::Writing, s(3));
    assert!(r.cancelling().iter().eq(["run-2"]));
    let late = r.due(s(2), |_| Known::Queued);
    assert_eq!(late.iter().map(|(r, a)| (r.conn, *a)).collect::<Vec<_>>(), vec![(1, Answer::Later)]);
    assert!(r.due(s(2), |_| Known::Queued).is_empty());
    // Its record was moved; the view read anew has nothing of it yet.
    assert!(r.event(Event::ClusterState(1), |_| Known::Nothing).is_empty());
    assert!(r.queued() && r.cancelling().is_empty());
}
