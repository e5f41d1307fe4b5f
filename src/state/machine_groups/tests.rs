//! Tests of which grant applies to the machines of a group.

use super::*;
use crate::state::records::MemberRecord;
use crate::state::versioned::{from_value, to_value};

/// The stored record of a group of the machines `m-1` and `m-2`.
fn group(owner: &str, incarnation: u64) -> Value {
    let names = ["m-1", "m-2"].map(String::from).to_vec();
    let (machine_type, zone) = ("std".to_string(), "a".to_string());
    let owner = owner.to_string();
    let rec = MachineGroupRecord {
        machine_type,
        zone,
        spot: false,
        owner,
        incarnation,
        term: 1,
        epoch: 0,
        is_base: false,
        machines: names,
        draining: vec!["m-2".into()],
    };
    to_value(&rec)
}

/// The newer of the group's own grant and its owner's shard grant applies. The older one would
/// let commands of an earlier incarnation pass.
#[test]
fn the_newest_grant_applies() {
    let mut state = ClusterState::new(8);
    state.put("fq/m/a", &to_value(&MemberRecord { incarnation: 7 }), 3);
    state.put("fq/h/m-1", &group("a", 5), 4);
    assert!(!state.is_machine_held(&state.machines["m-1"].rec));
    assert_eq!(state.restarted_members(), ["a"]);
    state.put("fq/b/a", &to_value(&ShardGrantRecord { incarnation: 7, term: 2, epoch: 9 }), 6);
    let machine = &state.machines["m-2"];
    assert!(state.is_machine_held(&machine.rec) && machine.rec.draining);
    assert_eq!((machine.version, machine.rec.grant_revision, machine.rec.term, machine.rec.epoch), (4, 6, 2, 9));
    assert!(state.restarted_members().is_empty());
    // Marking a machine of the group for draining rewrites the group. If that wrote its own
    // old grant, the group would go back to the earlier incarnation, and the whole shard would
    // be granted again and again.
    let marked = state.with_current_grant(&state.machine_groups["m-1"]);
    state.put("fq/h/m-1", &to_value(&marked), 7);
    let machine = &state.machines["m-2"];
    assert!(state.is_machine_held(&machine.rec) && state.restarted_members().is_empty());
    assert_eq!((machine.rec.term, machine.rec.epoch), (2, 9));
    state.put("fq/h/m-1", &group("b", 1), 8);
    assert_eq!((state.machines["m-1"].rec.owner.as_str(), state.machines["m-1"].rec.term), ("b", 1));
    state.delete("fq/h/m-1", 9);
    assert!(state.machines.is_empty());
}

/// A shard grant that got no response may be executed after a group has been added to the
/// shard under a later epoch. If it applied to that group, the fencing tokens of its machines
/// would decrease, and the machines would obey no controller.
#[test]
fn a_delayed_shard_grant_does_not_decrease_fencing_tokens() {
    let mut state = ClusterState::new(8);
    state.put("fq/m/a", &to_value(&MemberRecord { incarnation: 7 }), 3);
    let rec = MachineGroupRecord { epoch: 6, incarnation: 7, term: 2, ..from_value(&group("a", 7)).unwrap() };
    state.put("fq/h/m-1", &to_value(&rec), 5);
    state.put("fq/b/a", &to_value(&ShardGrantRecord { incarnation: 7, term: 2, epoch: 5 }), 6);
    let machine = &state.machines["m-1"].rec;
    assert!(state.is_machine_held(machine));
    assert_eq!((machine.grant_revision, machine.term, machine.epoch), (5, 2, 6));
}
