//! Time of day of this VM.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time of day in milliseconds since the Unix epoch; 0 if the clock is before it.
///
/// ```
/// assert!(anvilbeam::clock::unix_time_ms() > 1_700_000_000_000);
/// ```
pub fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
