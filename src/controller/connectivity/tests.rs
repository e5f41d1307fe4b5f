//! Unit tests of `Connectivity`, without a controller around it.

use super::*;

fn at(seconds: u64) -> Instant {
    Duration::from_secs(seconds)
}

fn connectivity() -> Connectivity {
    Connectivity::new(PeerTable::new("controller-1", 1, at(1)))
}

#[test]
fn heartbeats_are_due_at_their_interval_or_as_hastened() {
    let mut connectivity = connectivity();
    assert!(connectivity.begin_heartbeat(at(0), at(4)));
    assert!(!connectivity.begin_heartbeat(at(3), at(4)));
    connectivity.hasten_heartbeat(at(3));
    connectivity.hasten_heartbeat(at(9));
    assert!(connectivity.begin_heartbeat(at(3), at(4)), "a later time does not delay it");
}

#[test]
fn a_misdirected_machine_is_news_once_until_it_is_forgotten() {
    let mut connectivity = connectivity();
    assert!(connectivity.record_misdirected("host-1", at(1), at(4)));
    assert!(!connectivity.record_misdirected("host-1", at(4), at(4)));
    assert!(connectivity.record_misdirected("host-1", at(5), at(4)));
}

#[test]
fn there_is_something_to_diagnose_while_a_machine_is_misdirected() {
    let mut connectivity = connectivity();
    assert!(!connectivity.begin_diagnosis(at(1), at(4)));
    connectivity.record_misdirected("host-1", at(1), at(4));
    assert!(connectivity.begin_diagnosis(at(4), at(4)));
    assert!(!connectivity.begin_diagnosis(at(5), at(4)));
}

#[test]
fn a_zone_counts_as_cut_off_until_the_given_time() {
    let mut connectivity = connectivity();
    connectivity.mark_zone_cut_off("north", at(5));
    assert!(connectivity.is_zone_cut_off("north", at(4)));
    assert!(!connectivity.is_zone_cut_off("north", at(5)));
    assert!(!connectivity.is_zone_cut_off("south", at(4)));
}

#[test]
fn machines_keep_the_time_at_which_they_became_unreached() {
    let mut connectivity = connectivity();
    connectivity.record_unreached(["host-1".to_string()].into_iter(), at(1));
    connectivity.record_unreached(["host-1", "host-2"].map(String::from).into_iter(), at(3));
    assert_eq!(connectivity.unreached_since["host-1"], at(1));
    assert_eq!(connectivity.unreached_since["host-2"], at(3));
    connectivity.record_unreached(std::iter::empty(), at(4));
    assert!(connectivity.unreached_since.is_empty());
}
