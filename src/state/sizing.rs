//! How many tasks share a record, so that no record exceeds the store's value limit.

/// The most bytes that a placement takes: 24 and the machine's name.
const PLACEMENT_BYTES: u32 = 48;
/// The most bytes that a task range takes in a job's record, without the member's name.
const TASK_RANGE_BYTES: usize = 40;
/// Writes a second for which a checkpoint could take the whole value limit; it takes
/// half of it at most.
const FULL_CHECKPOINT_WRITES: f64 = 1.75;
/// The bounds of the number of tasks of a checkpoint.
const FEWEST_TASKS: u32 = 8;
const MOST_TASKS: u32 = 512;

/// Tasks per checkpoint, for a value limit of `value_kb` KiB and `writes_each` writes a
/// second for each controller.
///
/// A checkpoint stays well below the value limit whatever mix of its tasks is started or
/// done. Controllers share a job by whole checkpoints, so the more writes a second each
/// controller has, the fewer tasks a checkpoint holds and the more controllers can start
/// the job side by side.
pub fn checkpoint_size(value_kb: f64, writes_each: f64) -> u32 {
    let full = value_kb * 1024.0 / f64::from(PLACEMENT_BYTES);
    let part = full * FULL_CHECKPOINT_WRITES / writes_each.max(FULL_CHECKPOINT_WRITES * 2.0);
    (part as u32).clamp(FEWEST_TASKS, MOST_TASKS)
}

/// Tasks per task range of a job with `task_count` tasks, where a checkpoint holds
/// `chunk` tasks and a member's name takes at most `name` bytes.
///
/// Checkpoints are not split between ranges. All ranges together take at most half of the
/// job's record; the rest of it is for the job's specification.
pub fn task_range_size(value_kb: f64, name: usize, chunk: u32, task_count: u32) -> u32 {
    let most_ranges = (value_kb * 1024.0 / 2.0) as usize / (TASK_RANGE_BYTES + name);
    chunk * task_count.div_ceil(chunk).div_ceil(most_ranges.max(1) as u32).max(1)
}

/// The most bytes that a checkpoint of `size` tasks takes.
pub fn checkpoint_bytes(size: u32) -> usize {
    (size * PLACEMENT_BYTES) as usize
}

#[cfg(test)]
mod tests;
