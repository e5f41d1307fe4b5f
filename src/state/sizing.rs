//! The number of tasks that share one record, chosen so that no record exceeds the store's value
//! limit.

#![warn(missing_docs)]

/// The maximum size of a stored placement: 24 bytes and the machine's name.
const MAX_PLACEMENT_BYTES: u32 = 48;
/// The maximum size of a task range in a job's record, without the member's name.
const MAX_TASK_RANGE_BYTES: usize = 40;
/// The write rate of a controller, in writes per second, at which the formula lets a checkpoint
/// take the whole value limit. Checkpoints of controllers with less than twice this rate are
/// limited to half of it.
const FULL_CHECKPOINT_WRITES_PER_S: f64 = 1.75;
/// The minimum number of tasks of a checkpoint.
const MIN_TASKS_PER_CHECKPOINT: u32 = 8;
/// The maximum number of tasks of a checkpoint.
const MAX_TASKS_PER_CHECKPOINT: u32 = 512;

/// The number of tasks per checkpoint, for a value limit of `value_kb` KiB and a write rate of
/// `writes_per_s` writes per second for each controller.
///
/// A checkpoint stays well below the value limit whatever mix of its tasks is started or done.
/// Controllers divide a job between them by whole checkpoints. Therefore the higher the write
/// rate of each controller, the fewer tasks a checkpoint holds, so that more controllers can
/// start the job in parallel.
pub fn checkpoint_size(value_kb: f64, writes_per_s: f64) -> u32 {
    let tasks_per_value = value_kb * 1024.0 / f64::from(MAX_PLACEMENT_BYTES);
    let tasks = tasks_per_value * FULL_CHECKPOINT_WRITES_PER_S / writes_per_s.max(FULL_CHECKPOINT_WRITES_PER_S * 2.0);
    (tasks as u32).clamp(MIN_TASKS_PER_CHECKPOINT, MAX_TASKS_PER_CHECKPOINT)
}

/// The number of tasks per task range of a job with `task_count` tasks, where a checkpoint
/// holds `checkpoint_size` tasks and a member's name takes at most `name_bytes` bytes.
///
/// No checkpoint is split between two ranges. All ranges together take at most half of the
/// value limit, which leaves the rest of the job's record for its specification.
pub fn task_range_size(value_kb: f64, name_bytes: usize, checkpoint_size: u32, task_count: u32) -> u32 {
    let max_ranges = (value_kb * 1024.0 / 2.0) as usize / (MAX_TASK_RANGE_BYTES + name_bytes);
    let max_ranges = u32::try_from(max_ranges).unwrap_or(u32::MAX).max(1);
    checkpoint_size * task_count.div_ceil(checkpoint_size).div_ceil(max_ranges).max(1)
}

/// The maximum size, in bytes, of a checkpoint of `size` tasks.
pub fn checkpoint_bytes(size: u32) -> usize {
    (size * MAX_PLACEMENT_BYTES) as usize
}

#[cfg(test)]
mod tests;
