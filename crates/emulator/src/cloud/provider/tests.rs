//! Tests of the emulated cloud: rentals, capacity, the machine list, rate limit and faults.

use super::*;

fn s(x: f64) -> Duration {
    Duration::from_secs_f64(x)
}

/// A cloud that offers one machine type in one zone: 3 on-demand and 5 spot machines.
fn cloud() -> Cloud {
    let machine_type = MachineType {
        name: "std".into(),
        cores: 8.0,
        gpus: 0.0,
        mem_gb: 32.0,
        disk_gb: 60.0,
        pull_gb_per_s: 1.0,
        on_demand_price: 0.4,
        spot_price: 0.1,
        startup_s: 10.0,
        zones: vec!["a".into()],
    };
    let capacity = BTreeMap::from([("a".to_string(), (3, 5))]);
    let offers = vec![Offer { machine_type, capacity, never_up_share: 0.0 }];
    Cloud::new(
        CloudConfig {
            offers,
            rps: 5.0,
            list_lag: s(4.0),
            preemption_notice: s(10.0),
            no_notice_share: 0.0,
            worker_port: 9000,
        },
        7,
        0,
    )
}

fn request(request_id: &str, number: u32, spot: bool) -> RentRequest<'_> {
    RentRequest { request_id: request_id.into(), machine_type: "std".into(), zone: "a".into(), spot, number }
}

#[test]
fn a_request_id_rents_once_and_within_the_capacity() {
    let mut c = cloud();
    let first = c.rent(s(0.0), &request("r-1", 2, false)).unwrap();
    assert_eq!(c.rent(s(1.0), &request("r-1", 2, false)).unwrap(), first);
    assert_eq!(c.rent(s(1.0), &request("r-2", 9, false)).unwrap().len(), 1);
    assert_eq!(c.rent(s(1.0), &request("r-3", 1, false)), Err(Refusal::NoCapacity));
    assert_eq!(c.rent(s(1.0), &request("r-4", 51, true)), Err(Refusal::Malformed));
    assert_eq!(
        c.rent(s(1.0), &RentRequest { machine_type: "x".into(), ..request("r-5", 1, true) }),
        Err(Refusal::Malformed)
    );
    c.release(s(2.0), &ReleaseRequest { machines: vec![first[0].clone(), "nobody".into()].into() }).unwrap();
    let next = c.rent(s(2.0), &request("r-3", 1, false)).unwrap();
    assert!(!first.contains(&next[0]), "machine names are never used again");
    c.inject(s(2.0), &CloudFault::ReducedCapacity(0.2));
    assert_eq!(c.rent(s(2.0), &request("r-6", 5, true)).unwrap().len(), 1);
}

#[test]
fn machines_boot_late_or_never_and_are_preempted_with_notice() {
    let mut c = cloud();
    let name = c.rent(s(0.0), &request("r-1", 1, true)).unwrap().remove(0);
    assert!(c.advance(s(5.9)).is_empty());
    assert_eq!(c.advance(s(15.1)), [CloudEvent::Up { name: name.clone() }]);
    c.inject(s(16.0), &CloudFault::Preempt { count: 3 });
    assert!(matches!(&c.advance(s(16.0))[..], [CloudEvent::PreemptionNotice { .. }]));
    assert_eq!(c.advance(s(31.1)), [CloudEvent::Gone { name, why: "recalled" }]);
    c.inject(s(32.0), &CloudFault::FailedBoot { machine_type: None, on: true });
    c.rent(s(32.0), &request("r-2", 1, true)).unwrap();
    assert!(c.advance(s(3600.0)).is_empty());
}

#[test]
fn the_list_lags_and_keeps_what_it_has_shown() {
    let mut c = cloud();
    let name = c.rent(s(10.0), &request("r-1", 1, false)).unwrap().remove(0);
    assert!(c.list(s(13.9), "", 500).machines.is_empty());
    let shown = (0..50).map(|i| c.list(s(14.0 + 0.1 * f64::from(i)), "", 500).machines.len()).collect::<Vec<_>>();
    assert!(shown.is_sorted() && shown[49] == 1, "{shown:?}");
    c.advance(s(30.0));
    c.release(s(30.0), &ReleaseRequest { machines: vec![name].into() }).unwrap();
    assert_eq!(c.list(s(33.9), "", 500).machines.len(), 1);
    assert!(c.list(s(38.1), "", 500).machines.is_empty());
    assert_eq!(c.admit(s(40.0)), Ok(()));
    assert_eq!((0..20).filter(|_| c.admit(s(40.0)).is_ok()).count(), 9);
}
