//! What a replica knows that it has not applied yet.

use super::*;
use crate::protocol::user::Status;
use crate::state::records::JobRecord;
use crate::state::versioned::to_value;

/// The store was read again while a cancellation was answered: the new replica did not
/// contain it yet, and other controllers would have heard from it that there was none.
#[test]
fn a_replica_read_again_knows_that_it_is_incomplete() {
    let mut older = ClusterState::new(8);
    let rec = JobRecord {
        spec: Some(JobSpec::example("run-1")),
        end: None,
        task_count: 1,
        at_ms: 0,
        task_ranges: Vec::new(),
    };
    older.put("fq/j/run-1", &to_value(&rec), 4);
    older.reached(8);
    let mut newer = ClusterState::loading(8, 9);
    newer.put("fq/j/run-1", &to_value(&rec), 4);
    // The response arrived between the pages and the end of the read.
    older.put("fq/j/run-1", &to_value(&JobRecord { end: Some(Status::Cancelled), ..rec }), 10);
    newer.loaded();
    newer.follows(&older);
    assert_eq!((newer.revision, newer.known_revision(), newer.cancelled_since(8).count()), (9, 10, 0));
    assert!(!newer.has_applied_all_known() && older.has_applied_all_known());
    newer.reached(10);
    assert!(newer.has_applied_all_known());
}
