//! Tests of the settings files of the controllers.

use super::*;

/// The settings must follow the scenario, and the peer addresses must be those of the
/// relays. The loopback test shows that the controller accepts the file.
#[test]
fn settings_list_the_other_controllers_by_their_relays() {
    let scenario = Scenario::parse("s", include_str!("../../scenarios/filing-eve.hcl")).unwrap();
    let address = |i: u16, port| SocketAddr::from(([127, 0, 1, i as u8 + 1], port));
    let addresses = |i| ControllerAddresses {
        name: format!("perch-{i}"),
        zone: "hall".into(),
        public: address(i, 1),
        peers: address(i, 2),
        relay: address(i, 3),
        state: address(i, 4),
    };
    let controllers: Vec<ControllerAddresses> = (0..3).map(addresses).collect();
    let text = settings(&scenario, &controllers, 1, address(9, 9)).unwrap();
    let table: toml::Table = text.parse().unwrap();
    assert_eq!(table["others"].as_array().unwrap().len(), 2);
    assert_eq!(table["others"][1]["peer_addr"].as_str(), Some("127.0.1.3:3"));
    assert_eq!(table["settings"]["workers"]["lease_s"].as_float(), Some(10.0));
}
