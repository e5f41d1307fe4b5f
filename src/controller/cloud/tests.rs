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
        ListProgress::Complete { read_at } => read_at,
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
    assert!(matches!(progress, ListProgress::Complete { read_at } if read_at == seconds(2)));
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

#[test]
fn a_machine_is_unlisted_once_a_stale_list_cannot_explain_its_absence() {
    let mut cloud = CloudAccess::new(10.0);
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
    let recorded: Versions<MachineRecord> =
        [("m-1".to_string(), Versioned { rec: machine, version: 1 })].into_iter().collect();
    for (at, names, unlisted) in [(0, vec!["m-1"], false), (25, vec![], false), (26, vec![], true)] {
        let read_at = read_list(&mut cloud, seconds(at), &names);
        assert_eq!(cloud.update_unlisted(seconds(at), read_at, ABSENCE_PROOF, &recorded), unlisted);
        assert_eq!(cloud.unlisted().contains("m-1"), unlisted);
    }
}
