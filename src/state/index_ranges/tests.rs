//! Tests of index ranges, compared with an ordinary set.

use super::*;

/// Ranges have the same members and count as a set, whatever the order in which indexes are
/// added, and adjacent ranges are joined.
#[test]
fn ranges_agree_with_a_set_in_any_insertion_order() {
    let order = [5u32, 3, 4, 9, 0, 8, 1, 7, 4, 2];
    let mut ranges = Vec::new();
    let mut set = std::collections::BTreeSet::new();
    for index in order {
        add_to_ranges(&mut ranges, index);
        set.insert(index);
        for probe in 0..11 {
            assert_eq!(in_ranges(&ranges, probe), set.contains(&probe));
        }
        assert_eq!(count_ranges(&ranges), set.len() as u32);
    }
    assert_eq!(ranges, vec![(0, 5), (7, 9)]);
}
