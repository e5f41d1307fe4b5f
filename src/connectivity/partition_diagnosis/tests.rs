//! Diagnoses of controllers that are cut off and of machines that are silent.

use super::*;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

fn observation(owner_heard_at: f64, owner_reported_at: f64, other_heard_at: Option<f64>) -> MachineObservation {
    MachineObservation {
        owner_heard_at: Some(s(owner_heard_at)),
        owner_reported_at: Some(s(owner_reported_at)),
        other_heard_at: other_heard_at.map(s),
        owned_since: s(0.0),
    }
}

/// A worker that has just started contacts any controller first. That is no reason to reassign
/// its machine, and neither is an owner whose next heartbeat has not arrived yet.
#[test]
fn a_redirect_in_progress_is_no_evidence_against_the_owner() {
    assert_eq!(observation(90.0, 100.5, Some(100.0)).missed_owner_at(), None);
    assert_eq!(observation(100.3, 102.0, Some(100.0)).missed_owner_at(), None);
    assert_eq!(observation(90.0, 102.0, Some(100.0)).missed_owner_at(), Some(s(100.0)));
    let moved = MachineObservation { owned_since: s(99.5), ..observation(90.0, 102.0, Some(100.0)) };
    assert_eq!(moved.missed_owner_at(), None);
    let silent = MachineObservation { owner_reported_at: None, ..observation(90.0, 102.0, Some(100.0)) };
    assert_eq!(silent.missed_owner_at(), None, "an owner that sends no heartbeats is not diagnosed");
}

/// The whole shard is reassigned if most of its machines are cut off, but not if a few are.
#[test]
fn an_owner_is_cut_off_if_most_of_its_shard_is() {
    let unreached = observation(90.0, 104.0, Some(100.0));
    let reaching = |t| observation(t, 104.0, None);
    assert_eq!(diagnose_owner(&[reaching(101.0), reaching(95.0)]), OwnerReachability::Reachable);
    let mut shard = vec![unreached; 3];
    // Heartbeats that the owner received before the first machine failed to reach it are no
    // evidence.
    shard.extend(vec![reaching(99.0); 30]);
    assert_eq!(diagnose_owner(&shard), OwnerReachability::CutOff);
    shard.extend(vec![reaching(102.0); 3]);
    assert_eq!(diagnose_owner(&shard), OwnerReachability::SomeMachinesCutOff);
    assert_eq!(
        diagnose_owner(&[unreached, reaching(99.0)]),
        OwnerReachability::SomeMachinesCutOff,
        "one of two is not enough"
    );
    assert_eq!(diagnose_owner(&[unreached]), OwnerReachability::CutOff);
}

/// Machines of a controller that was cut off were released to the cloud: they were silent, but
/// more than half of the shard still counted as live, by heartbeats from before the partition.
#[test]
fn a_machine_is_dead_only_if_it_alone_is_silent_and_all_confirm_it() {
    let count = |live, total| LivenessCount { live, total };
    let (shard, zone) = (count(90, 100), count(40, 45));
    assert_eq!(diagnose_silence(shard, zone, count(2, 2)), SilenceCause::Dead);
    assert_eq!(diagnose_silence(shard, zone, count(1, 2)), SilenceCause::ProbablyDead);
    assert_eq!(diagnose_silence(shard, zone, count(0, 2)), SilenceCause::Undecided);
    assert_eq!(diagnose_silence(shard, zone, count(2, 6)), SilenceCause::Undecided);
    assert_eq!(diagnose_silence(count(40, 100), zone, count(2, 2)), SilenceCause::Partition);
    assert_eq!(diagnose_silence(count(60, 100), count(5, 40), count(2, 2)), SilenceCause::Partition);
    assert_eq!(
        diagnose_silence(count(0, 1), count(0, 1), count(2, 2)),
        SilenceCause::Dead,
        "the shard has no other machine"
    );
}

/// A link that fails and recovers repeatedly must not have shards reassigned back and forth.
#[test]
fn a_cut_off_controller_is_trusted_again_only_after_a_pause() {
    let mut cut_off = CutOffControllers::default();
    assert!(cut_off.record("a", OwnerReachability::CutOff, s(10.0), s(18.0)));
    assert!(!cut_off.record("a", OwnerReachability::CutOff, s(12.0), s(18.0)));
    assert!(!cut_off.record("a", OwnerReachability::Reachable, s(13.0), s(18.0)));
    assert!(cut_off.contains("a", s(29.9)) && !cut_off.contains("a", s(30.0)) && !cut_off.contains("b", s(12.0)));
    assert_eq!(cut_off.names(s(12.0)).collect::<Vec<_>>(), ["a"]);
    assert!(cut_off.record("a", OwnerReachability::CutOff, s(31.0), s(18.0)));
}
