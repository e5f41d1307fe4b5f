//! Sets of task indexes as sorted lists of disjoint inclusive ranges, the form in which
//! checkpoints store them.

#![warn(missing_docs)]

/// Adds `index` to a sorted list of disjoint inclusive ranges, and joins ranges that become
/// adjacent.
pub fn add_to_ranges(ranges: &mut Vec<(u32, u32)>, index: u32) {
    let at = ranges.partition_point(|range| range.1 < index);
    if ranges.get(at).is_some_and(|range| range.0 <= index) {
        return;
    }
    let joins_left = at > 0 && ranges[at - 1].1 + 1 == index;
    let joins_right = ranges.get(at).is_some_and(|range| range.0 == index + 1);
    match (joins_left, joins_right) {
        (true, true) => {
            ranges[at - 1].1 = ranges[at].1;
            ranges.remove(at);
        }
        (true, false) => ranges[at - 1].1 = index,
        (false, true) => ranges[at].0 = index,
        (false, false) => ranges.insert(at, (index, index)),
    }
}

/// Whether one of the ranges contains `index`.
pub fn in_ranges(ranges: &[(u32, u32)], index: u32) -> bool {
    let at = ranges.partition_point(|range| range.1 < index);
    ranges.get(at).is_some_and(|range| range.0 <= index)
}

/// The number of indexes in all ranges.
pub fn count_ranges(ranges: &[(u32, u32)]) -> u32 {
    ranges.iter().map(|(from, to)| to - from + 1).sum()
}

#[cfg(test)]
mod tests;
