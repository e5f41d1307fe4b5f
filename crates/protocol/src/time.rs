//! Conversion of numbers of seconds, which may come from outside, to durations.

#![warn(missing_docs)]

use std::time::Duration;

/// The longest duration that a number of seconds is converted to, about 136 years. Sums and
/// small multiples of such durations do not overflow.
pub const MAX_DURATION: Duration = Duration::from_secs(u32::MAX as u64);

/// Converts any number of seconds to a duration. Negative numbers and NaN give zero, and
/// numbers above [`MAX_DURATION`], infinity included, give [`MAX_DURATION`].
pub fn duration_from_secs(seconds: f64) -> Duration {
    let bounded = seconds.max(0.0).min(MAX_DURATION.as_secs_f64());
    Duration::try_from_secs_f64(bounded).unwrap_or(MAX_DURATION)
}

/// Multiplies a duration by a factor, with the bounds of [`duration_from_secs`].
pub fn scale_duration(duration: Duration, factor: f64) -> Duration {
    duration_from_secs(duration.as_secs_f64() * factor)
}

#[cfg(test)]
mod tests;
