//! Wire format of the messages and request paths between controllers and the cloud.

use crate::message::{reads_as, wire_format};
use ciborium::{Value, cbor};
use finchquay_protocol::cloud::{
    self, Catalog, ListedMachine, MachinePage, MachineType, Phase, ReleaseRequest, RentRequest, RentResponse, Route,
};

fn machine_type() -> MachineType {
    MachineType {
        name: "std".into(),
        cores: 16.0,
        gpus: 2.0,
        mem_gb: 64.5,
        disk_gb: 200.0,
        pull_gb_per_s: 0.25,
        on_demand_price: 1.75,
        spot_price: 0.6,
        startup_s: 45.0,
        zones: vec!["zone-a".into(), "zone-b".into()],
    }
}

fn listed() -> ListedMachine {
    ListedMachine {
        id: "host-000231".into(),
        addr: "10.1.0.7:7000".into(),
        machine_type: "std".into(),
        zone: "zone-a".into(),
        spot: true,
        phase: Phase::Running,
        rented_s: 12.5,
    }
}

/// The names in the catalog are defined by the cloud, so a change here would break reading it.
#[test]
fn the_catalog_keeps_its_wire_format() {
    wire_format("cloud-catalog", &Catalog { machine_types: vec![machine_type()] });
}

/// Some encoders shorten 4.0 to 4, so every number must be read in both encodings.
#[test]
fn numbers_from_the_cloud_may_be_integers() {
    let with_integers = cbor!({
        "label" => "std", "cores" => 1, "gpus" => 2, "mem_gb" => 3, "local_gb" => 4, "pull_gb_per_s" => 5,
        "hourly" => 6, "spot_price" => 7, "startup_s" => 8, "sites" => ["zone-a", "zone-b"],
    });
    let expected = MachineType {
        cores: 1.0,
        gpus: 2.0,
        mem_gb: 3.0,
        disk_gb: 4.0,
        pull_gb_per_s: 5.0,
        on_demand_price: 6.0,
        spot_price: 7.0,
        startup_s: 8.0,
        ..machine_type()
    };
    reads_as(&with_integers.unwrap(), &expected);
    let with_integer = cbor!({
        "uid" => "host-000231", "addr" => "10.1.0.7:7000", "build" => "std", "site" => "zone-a",
        "loaners" => true, "status" => "running", "held_s" => 12,
    });
    reads_as(&with_integer.unwrap(), &ListedMachine { rented_s: 12.0, ..listed() });
}

/// Requests to rent and release machines, which the cloud reads, and the response to the
/// former.
#[test]
fn rentals_and_releases_keep_their_wire_format() {
    let rent = RentRequest {
        request_id: "fq-3-9".into(),
        machine_type: "std".into(),
        zone: "zone-a".into(),
        spot: true,
        number: 50,
    };
    wire_format("cloud-rent", &rent);
    wire_format("cloud-rented", &RentResponse { machines: vec!["host-000231".into(), "host-000232".into()] });
    wire_format("cloud-release", &ReleaseRequest { machines: vec!["host-000231".to_string()].into() });
}

/// The list of machines, including phases that a later version of the cloud may add.
#[test]
fn lists_keep_their_wire_format() {
    wire_format("cloud-page", &MachinePage { machines: vec![listed()], truncated: true });
    let phases = vec![Phase::Booting, Phase::Running, Phase::Failed, Phase::Other];
    wire_format("cloud-phases", &phases);
    reads_as(&Value::Text("a phase of a later version".into()), &Phase::Other);
    let without_optional_fields = cbor!({
        "perches" => [{
            "uid" => "host-000231", "build" => "std", "site" => "zone-a", "loaners" => true,
            "status" => "running", "held_s" => 12.5,
        }],
    });
    let machine = ListedMachine { addr: String::new(), ..listed() };
    reads_as(&without_optional_fields.unwrap(), &MachinePage { machines: vec![machine], truncated: false });
}

/// Paths that controllers request, and paths that the cloud serves.
#[test]
fn request_paths_of_the_cloud_are_stable() {
    assert_eq!(
        (cloud::CATALOG_PATH, cloud::MACHINES_PATH, cloud::RELEASE_PATH),
        ("/catalog", "/hosts", "/hosts/release")
    );
    assert_eq!(cloud::list_path(""), "/hosts?page=500");
    assert_eq!(cloud::list_path("host-000231"), "/hosts?after=host-000231&page=500");
    for (method, path, expected) in [
        ("GET", "/catalog", Some(Route::Catalog)),
        ("POST", "/hosts", Some(Route::Rent)),
        ("POST", "/hosts/release", Some(Route::Release)),
        ("GET", "/hosts", Some(Route::List { after: "", page: 500 })),
        ("GET", "/hosts?after=host-000231&page=7", Some(Route::List { after: "host-000231", page: 7 })),
        ("GET", "/hosts?page=9999", Some(Route::List { after: "", page: 500 })),
        ("GET", "/hosts?page=x", None),
        ("POST", "/catalog", None),
        ("DELETE", "/hosts", None),
        ("GET", "/hosts/release", None),
        ("GET", "/machines", None),
    ] {
        assert_eq!(cloud::route(method, path), expected, "{method} {path}");
    }
    assert_eq!(
        (cloud::MAX_MACHINES_PER_RENT, cloud::MAX_MACHINES_PER_RELEASE, cloud::MAX_LIST_PAGE_MACHINES),
        (50, 100, 500)
    );
}
