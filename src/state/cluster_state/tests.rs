//! Tests of replicas that have not applied all changes known to the controller.

use super::*;
use crate::protocol::user::Status;
use crate::state::records::JobRecord;
use crate::state::versioned::to_value;

/// If a cancellation is answered while the store is being read again, the new replica does
/// not contain it yet. Without this check, the controller would tell the others that there was
/// no cancellation.
#[test]
fn a_replica_is_incomplete_until_it_has_applied_what_its_predecessor_knew() {
    let mut older = ClusterState::new(8);
    let rec = JobRecord {
        spec: Some(JobSpec::example("run-1")),
        final_status: None,
        task_count: 1,
        submitted_ms: 0,
        task_ranges: Vec::new(),
    };
    older.put("fq/j/run-1", &to_value(&rec), 4);
    older.advance_to(8);
    let mut newer = ClusterState::loading(8, 9);
    newer.put("fq/j/run-1", &to_value(&rec), 4);
    // The response arrived between the pages and the end of the read.
    older.put("fq/j/run-1", &to_value(&JobRecord { final_status: Some(Status::Cancelled), ..rec }), 10);
    newer.finish_loading();
    newer.succeed(&older);
    assert_eq!((newer.revision, newer.known_revision(), newer.cancelled_since(8).count()), (9, 10, 0));
    assert!(!newer.has_applied_all_known() && older.has_applied_all_known());
    newer.advance_to(10);
    assert!(newer.has_applied_all_known());
}
