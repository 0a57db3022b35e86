//! Clocks of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::unit::Time;

/// Returns the time since the VM booted. It includes time in which the VM was suspended, so that
/// leases have lapsed when the VM resumes.
#[must_use]
pub fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    let micros = time.tv_sec.saturating_mul(1_000_000).saturating_add(time.tv_nsec / 1_000);
    Time(u64::try_from(micros).unwrap_or(0))
}

/// Returns the wall-clock time in milliseconds since 1970.
#[must_use]
pub fn wall_ms() -> u64 {
    // A clock before 1970 is unset. Due times then lie far ahead, so nothing runs early.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
