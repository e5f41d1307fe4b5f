//! Unit tests of `Agents`, without a controller around it.

use super::*;

fn at(seconds: u64) -> Instant {
    Duration::from_secs(seconds)
}

fn agents_with_machine(name: &str) -> Agents {
    let mut agents = Agents::default();
    agents.machines.insert(name.to_string(), Machine::new(7, 1, 1, at(1)));
    agents
}

#[test]
fn checks_are_due_at_their_interval() {
    let mut agents = Agents::default();
    assert!(agents.begin_check(at(1), at(2)));
    assert!(!agents.begin_check(at(2), at(2)));
    assert!(agents.begin_check(at(3), at(2)));
}

#[test]
fn images_are_known_for_machines_of_any_shard() {
    let mut agents = agents_with_machine("host-1");
    let image = "image-1".to_string();
    agents.add_images("host-1", std::iter::once(&image));
    agents.add_images("host-2", std::iter::once(&image));
    for name in ["host-1", "host-2"] {
        assert!(agents.known_images(name).is_some_and(|images| images.contains(&image)), "{name}");
    }
    assert!(agents.images_in_other_shards("host-1").is_none(), "it is in our own shard");
    assert!(agents.known_images("host-3").is_none());
}

#[test]
fn a_preempted_task_gets_its_grace_period() {
    let mut agents = agents_with_machine("host-1");
    let key = ("run-1".to_string(), 3, 2);
    agents.mark_preempted(Preemption::of_task("host-1", key.clone(), 30.0));
    agents.mark_preempted(Preemption::of_task("host-2", key.clone(), 30.0));
    assert_eq!(agents.machine("host-1").expect("it is ours").preempted.get(&key), Some(&30.0));
}

#[test]
fn only_our_own_machines_are_marked_as_unlisted() {
    let mut agents = agents_with_machine("host-1");
    agents.mark_unlisted(&["host-1".to_string(), "host-2".to_string()]);
    assert!(agents.machine("host-1").expect("it is ours").unlisted);
    assert!(agents.machine("host-2").is_none());
}
