//! The methods and paths of the requests that controllers send, recorded in a run that needs all
//! of them. Numbers are replaced by `N`.

use crate::world::{World, array, service};
use std::collections::BTreeSet;

/// Returns a path with each sequence of digits replaced by `N`.
fn pattern(path: &str) -> String {
    let mut pattern = String::new();
    for c in path.chars() {
        if !c.is_ascii_digit() {
            pattern.push(c);
        } else if !pattern.ends_with('N') {
            pattern.push('N');
        }
    }
    pattern
}

/// Controllers send the expected requests to the store, the cloud and agents, and no others.
#[test]
fn methods_and_paths_of_requests_are_unchanged() {
    let mut w = World::new(1, 4);
    w.submit("run-001", array(60, 20.0));
    w.submit("run-009", service(2));
    w.run_until(30.0);
    w.jobs.get_mut("run-009").unwrap().cancel_asked = true;
    let cut_off = w.workers.keys().next().unwrap().clone();
    w.cut_worker(&cut_off, true);
    w.run_until(150.0);
    let sent: BTreeSet<(&str, &str, String)> =
        w.counters.requests_sent.iter().map(|(target, method, path)| (*target, *method, pattern(path))).collect();
    let expected = [
        ("cloud", "GET", "/catalog"),
        ("cloud", "GET", "/hosts?page=N"),
        ("cloud", "POST", "/hosts"),
        ("cloud", "POST", "/hosts/release"),
        ("state", "GET", "/follow?starts=fq/&after=N&hold_ms=N"),
        ("state", "GET", "/store/fq/none"),
        ("state", "GET", "/store?starts=fq/&page=N"),
        ("state", "POST", "/holds"),
        ("state", "POST", "/holds/N/extend"),
        ("state", "POST", "/multi"),
        ("worker", "GET", "/show"),
        ("worker", "POST", "/commands"),
    ];
    assert_eq!(sent, expected.map(|(target, method, path)| (target, method, path.to_string())).into());
}
