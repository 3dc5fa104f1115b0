//! Division of the grace time of a shutdown, which counts from the signal.

use std::time::{Duration, Instant};

/// Parts into which a grace time is divided.
const GRACE_PARTS: u32 = 12;
/// Parts of the grace time after which work in flight is cut; the rest is for a process with little
/// processor time to exit in.
const WORK_PARTS: u32 = 10;
/// Parts of the grace time after which the process exits, whatever its own thread does.
const EXIT_PARTS: u32 = 11;

/// Returns the time by which a shutdown that was requested at `requested` has ended its work.
///
/// ```
/// use {anvilbeam::shutdown::work_deadline, std::time::{Duration, Instant}};
/// let now = Instant::now();
/// assert_eq!(work_deadline(now, Duration::from_secs(6)), now + Duration::from_secs(5));
/// ```
pub fn work_deadline(requested: Instant, grace: Duration) -> Instant {
    requested + grace * WORK_PARTS / GRACE_PARTS
}

/// Returns the time at which a process that was asked to stop at `requested` exits.
///
/// ```
/// use {anvilbeam::shutdown::exit_deadline, std::time::{Duration, Instant}};
/// let now = Instant::now();
/// assert_eq!(exit_deadline(now, Duration::from_secs(6)), now + Duration::from_millis(5_500));
/// ```
pub fn exit_deadline(requested: Instant, grace: Duration) -> Instant {
    requested + grace * EXIT_PARTS / GRACE_PARTS
}
