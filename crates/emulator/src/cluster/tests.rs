//! Tests of the settings that controllers get.

use super::*;

/// What controllers are started with must be what the scenario says; the
/// real program judges the file in the loopback test.
#[test]
fn settings_name_the_others_by_their_relays() {
    let s = Scenario::parse("s", include_str!("../../scenarios/filing-eve.hcl")).unwrap();
    let at = |i: u16, port| SocketAddr::from(([127, 0, 1, i as u8 + 1], port));
    let place = |i| Place {
        member: format!("perch-{i}"),
        zone: "hall".into(),
        public: at(i, 1),
        peers: at(i, 2),
        relay: at(i, 3),
        state: at(i, 4),
    };
    let places: Vec<Place> = (0..3).map(place).collect();
    let text = settings(&s, &places, 1, at(9, 9)).unwrap();
    let table: toml::Table = text.parse().unwrap();
    assert_eq!(table["others"].as_array().unwrap().len(), 2);
    assert_eq!(table["others"][1]["peer_addr"].as_str(), Some("127.0.1.3:3"));
    assert_eq!(table["settings"]["workers"]["lease_s"].as_float(), Some(10.0));
}
