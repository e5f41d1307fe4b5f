//! Diagnoses of controllers that are cut off and of machines that are silent.

use super::*;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

fn sight(by_owner: f64, says: f64, by_other: Option<f64>) -> MachineObservation {
    MachineObservation {
        by_owner: Some(s(by_owner)),
        owner_says_at: Some(s(says)),
        by_other: by_other.map(s),
        owned_since: s(0.0),
    }
}

/// A worker that has just started contacts any controller first. That is no reason to
/// reassign it, and neither is an owner whose heartbeat about it is not here yet.
#[test]
fn a_redirect_in_progress_is_no_evidence() {
    assert_eq!(sight(90.0, 100.5, Some(100.0)).unreached(), None);
    assert_eq!(sight(100.3, 102.0, Some(100.0)).unreached(), None);
    assert_eq!(sight(90.0, 102.0, Some(100.0)).unreached(), Some(s(100.0)));
    let moved = MachineObservation { owned_since: s(99.5), ..sight(90.0, 102.0, Some(100.0)) };
    assert_eq!(moved.unreached(), None);
    let silent = MachineObservation { owner_says_at: None, ..sight(90.0, 102.0, Some(100.0)) };
    assert_eq!(silent.unreached(), None, "an owner that sends no heartbeats is not diagnosed");
}

/// A few cut-off machines must not have the whole shard reassigned; most of a shard must.
#[test]
fn an_owner_is_cut_off_if_most_of_its_shard_is() {
    let lost = sight(90.0, 104.0, Some(100.0));
    let well = |t| sight(t, 104.0, None);
    assert_eq!(diagnose_owner(&[well(101.0), well(95.0)]), Account::Well);
    let mut shard = vec![lost; 3];
    // Thirty whose heartbeats came before the first one was lost are no evidence.
    shard.extend(vec![well(99.0); 30]);
    assert_eq!(diagnose_owner(&shard), Account::Deaf);
    shard.extend(vec![well(102.0); 3]);
    assert_eq!(diagnose_owner(&shard), Account::SomeCutOff);
    assert_eq!(diagnose_owner(&[lost, well(99.0)]), Account::SomeCutOff, "one of two is not enough");
    assert_eq!(diagnose_owner(&[lost]), Account::Deaf);
}

/// Machines of a cut-off controller were returned to the cloud: they were silent, and
/// more than half of the shard counted as heard, from before the partition.
#[test]
fn only_a_single_silence_that_all_confirm_is_death() {
    let group = |heard, all| Group { heard, all };
    let (shard, zone) = (group(90, 100), group(40, 45));
    assert_eq!(diagnose_silence(shard, zone, group(2, 2)), SilenceCause::Dead);
    assert_eq!(diagnose_silence(shard, zone, group(1, 2)), SilenceCause::Likely);
    assert_eq!(diagnose_silence(shard, zone, group(0, 2)), SilenceCause::Undecided);
    assert_eq!(diagnose_silence(shard, zone, group(2, 6)), SilenceCause::Undecided);
    assert_eq!(diagnose_silence(group(40, 100), zone, group(2, 2)), SilenceCause::Cut);
    assert_eq!(diagnose_silence(group(60, 100), group(5, 40), group(2, 2)), SilenceCause::Cut);
    assert_eq!(
        diagnose_silence(group(0, 1), group(0, 1), group(2, 2)),
        SilenceCause::Dead,
        "one machine is all there is"
    );
}

/// A flapping link must not have shards reassigned back and forth.
#[test]
fn a_cut_off_controller_is_trusted_again_after_a_pause_only() {
    let mut cut_off = Deaf::default();
    assert!(cut_off.note("a", Account::Deaf, s(10.0), s(18.0)));
    assert!(!cut_off.note("a", Account::Deaf, s(12.0), s(18.0)));
    assert!(!cut_off.note("a", Account::Well, s(13.0), s(18.0)));
    assert!(cut_off.is("a", s(29.9)) && !cut_off.is("a", s(30.0)) && !cut_off.is("b", s(12.0)));
    assert_eq!(cut_off.names(s(12.0)).collect::<Vec<_>>(), ["a"]);
    assert!(cut_off.note("a", Account::Deaf, s(31.0), s(18.0)));
}
