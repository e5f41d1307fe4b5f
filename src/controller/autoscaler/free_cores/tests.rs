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
fn the_smallest_sample_in_the_window_counts() {
    let history = history(&[(0, 1.0), (10, 8.0), (15, 5.0), (20, 9.0)]);
    assert_eq!(history.least_over(seconds(20), seconds(10), seconds(1)), 5.0);
    assert_eq!(history.least_over(seconds(20), seconds(20), seconds(1)), 1.0);
}

#[test]
fn no_cores_count_as_free_until_samples_cover_the_window() {
    let history = history(&[(0, 8.0), (5, 8.0)]);
    assert_eq!(history.least_over(seconds(5), seconds(10), seconds(1)), 0.0);
    assert_eq!(history.least_over(seconds(5), seconds(5), seconds(1)), 8.0);
}

#[test]
fn removed_cores_and_dropped_samples_do_not_count() {
    let mut history = history(&[(0, 1.0), (10, 8.0), (20, 9.0)]);
    history.drop_older_than(seconds(20), seconds(10));
    history.remove_cores(3.0);
    assert_eq!(history.least_over(seconds(20), seconds(10), seconds(1)), 5.0);
}
