use super::*;

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn history(samples: &[(u64, f64)]) -> FreeCoresHistory {
    let mut history = FreeCoresHistory::default();
    for (at, cores) in samples {
        history.record(seconds(*at), *cores);
    }
    history
}

#[test]
fn the_least_of_the_window_counts() {
    let history = history(&[(0, 1.0), (10, 8.0), (15, 5.0), (20, 9.0)]);
    assert_eq!(history.least_over(seconds(20), seconds(10), seconds(1)), 5.0);
    assert_eq!(history.least_over(seconds(20), seconds(20), seconds(1)), 1.0);
}

#[test]
fn nothing_was_free_before_the_whole_window_was_seen() {
    let history = history(&[(0, 8.0), (5, 8.0)]);
    assert_eq!(history.least_over(seconds(5), seconds(10), seconds(1)), 0.0);
    assert_eq!(history.least_over(seconds(5), seconds(5), seconds(1)), 8.0);
}

#[test]
fn removed_cores_and_old_samples_no_longer_count() {
    let mut history = history(&[(0, 1.0), (10, 8.0), (20, 9.0)]);
    history.drop_older_than(seconds(20), seconds(10));
    history.remove_cores(3.0);
    assert_eq!(history.least_over(seconds(20), seconds(10), seconds(1)), 5.0);
}
