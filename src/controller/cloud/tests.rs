use super::*;
use crate::protocol::encode;
use crate::state::records::Versioned;

const INTERVAL: Duration = Duration::from_secs(5);
const ABSENCE_PROOF: Duration = Duration::from_secs(25);

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn listed(uid: &str) -> ListedMachine {
    ListedMachine {
        id: uid.into(),
        addr: String::new(),
        machine_type: "std".into(),
        zone: "a".into(),
        spot: false,
        phase: Phase::Running,
        rented_s: 0.0,
    }
}

fn page(names: &[&str], truncated: bool) -> Result<Reply, NoAnswer> {
    let page = MachinePage { machines: names.iter().map(|name| listed(name)).collect(), truncated };
    Ok(Reply { status: OK, body: encode(&page) })
}

fn refused() -> Result<Reply, NoAnswer> {
    Ok(Reply { status: TOO_MANY_REQUESTS, body: Vec::new() })
}

fn read_list(cloud: &mut CloudAccess, now: Instant, names: &[&str]) -> Instant {
    assert_eq!(cloud.begin_list_read(now), "");
    match cloud.receive_list_page(now, INTERVAL, page(names, false)) {
        ListProgress::Complete { requested_at } => requested_at,
        other => panic!("the list is complete, not {other:?}"),
    }
}

#[test]
fn a_list_read_interrupted_by_the_rate_limit_is_resumed() {
    let mut cloud = CloudAccess::new(10.0);
    cloud.begin_list_read(seconds(1));
    let progress = cloud.receive_list_page(seconds(1), INTERVAL, page(&["m-1", "m-2"], true));
    assert!(matches!(progress, ListProgress::NextPage(after) if after == "m-2"));
    assert!(!cloud.list_due(seconds(9)), "a page is in flight");
    assert!(matches!(cloud.receive_list_page(seconds(2), INTERVAL, refused()), ListProgress::Stopped));
    assert!(cloud.list_due(seconds(2)) && !cloud.has_list());
    assert_eq!(cloud.begin_list_read(seconds(3)), "m-2");
    let progress = cloud.receive_list_page(seconds(3), INTERVAL, page(&["m-3"], false));
    assert!(matches!(progress, ListProgress::Complete { requested_at } if requested_at == seconds(1)));
    assert_eq!(cloud.machines().len(), 3);
    assert!(cloud.has_list() && !cloud.list_due(seconds(7)) && cloud.list_due(seconds(8)));
}

#[test]
fn a_list_read_without_an_answer_starts_from_the_beginning() {
    let mut cloud = CloudAccess::new(10.0);
    cloud.begin_list_read(seconds(1));
    cloud.receive_list_page(seconds(1), INTERVAL, page(&["m-1"], true));
    assert!(matches!(cloud.receive_list_page(seconds(2), INTERVAL, Err(NoAnswer)), ListProgress::Stopped));
    assert_eq!(cloud.begin_list_read(seconds(9)), "");
}

/// The records of one machine, `m-1`.
fn recorded_machine() -> Versions<MachineRecord> {
    let machine = MachineRecord {
        grant_revision: 1,
        group: "m-1".into(),
        machine_type: "std".into(),
        zone: "a".into(),
        spot: false,
        owner: "ctl-1".into(),
        incarnation: 1,
        term: 1,
        epoch: 0,
        is_base: false,
        draining: false,
    };
    [("m-1".to_string(), Versioned { rec: machine, version: 1 })].into_iter().collect()
}

#[test]
fn a_machine_is_unlisted_once_a_stale_list_cannot_explain_its_absence() {
    let mut cloud = CloudAccess::new(10.0);
    let recorded = recorded_machine();
    for (at, names, unlisted) in [(0, vec!["m-1"], false), (25, vec![], false), (26, vec![], true)] {
        let requested_at = read_list(&mut cloud, seconds(at), &names);
        assert_eq!(cloud.update_unlisted(seconds(at), requested_at, ABSENCE_PROOF, &recorded), unlisted);
        assert_eq!(cloud.unlisted().contains("m-1"), unlisted);
    }
}

/// The answer to a read of the list waited in the socket of a suspended controller. It was taken
/// for the list as the controller resumed, and so a machine that had come up shortly before the read
/// counted as gone, and was released.
#[test]
fn a_list_that_waited_through_a_suspension_proves_no_absence_at_its_end() {
    for suspended_s in [1, 4, 10, 60, 3600] {
        let mut cloud = CloudAccess::new(10.0);
        let recorded = recorded_machine();
        let requested_at = read_list(&mut cloud, seconds(100), &["m-1"]);
        assert!(!cloud.update_unlisted(seconds(100), requested_at, ABSENCE_PROOF, &recorded));
        // The read is sent within the lag of the list, which may be older than the one before it.
        cloud.begin_list_read(seconds(119));
        let resumed_at = seconds(119 + suspended_s);
        let progress = cloud.receive_list_page(resumed_at, INTERVAL, page(&[], false));
        let ListProgress::Complete { requested_at } = progress else {
            panic!("the list is complete, not {progress:?}")
        };
        assert!(
            !cloud.update_unlisted(resumed_at, requested_at, ABSENCE_PROOF, &recorded),
            "counts as gone after a suspension of {suspended_s} s"
        );
        assert!(cloud.unlisted().is_empty());
    }
}
