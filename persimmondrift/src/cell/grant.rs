//! Grants: how long a worker may keep running its tasks.
//!
//! An agent renews its worker's lease by its reports. Each report that the store applied lets the
//! worker run until a fixed time after the report was sent. A planner that has marked the report as
//! revoked knows that no later one was applied, so once that time has passed after the last report,
//! nothing runs on the worker.

use std::time::Duration;

use crate::unit::Time;

/// Slowest rate of a worker's clock, in percent of the true rate.
const MIN_CLOCK_RATE_PERCENT: u64 = 98;
/// Longest delay after which a worker carries out a call that got no answer (docs/QUESTIONS.md).
pub const MAX_CALL_DELAY: Duration = Duration::from_secs(12);
/// Subtracted from a worker's maximum lease, for the delay of the call.
const LEASE_MARGIN: Duration = Duration::from_millis(200);
/// Added by the planner to the end of a grant, to cover inaccuracy between two clocks.
pub const LAPSE_MARGIN: Duration = Duration::from_millis(300);

/// Returns how long a grant lasts, given the maximum lease that a worker holds.
#[must_use]
pub fn span(max_lease: Duration) -> Duration {
    max_lease.saturating_sub(LEASE_MARGIN)
}

/// Returns the longest time for which a worker holds a lease of at most `max_lease` by its clock.
#[must_use]
pub fn longest_lease(max_lease: Duration) -> Duration {
    max_lease * 100 / u32::try_from(MIN_CLOCK_RATE_PERCENT).unwrap_or(100)
}

/// The last known reading of a worker's clock.
#[derive(Debug, Clone, Copy)]
pub struct WorkerClock {
    /// Reading in milliseconds.
    pub reading_ms: u64,
    /// When the answer with the reading arrived.
    pub read_at: Time,
}

impl WorkerClock {
    /// Returns a deadline on the worker's clock that is no later than `until`, however slow that
    /// clock is; `None` if `until` has passed.
    #[must_use]
    pub fn deadline_ms(self, now: Time, until: Time) -> Option<u64> {
        let left = until.since(now);
        if left.is_zero() {
            return None;
        }
        let span = until.since(self.read_at);
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Some(self.reading_ms.saturating_add(millis.saturating_mul(MIN_CLOCK_RATE_PERCENT) / 100))
    }

    /// Returns the longest time since the clock showed `reading_ms`, however slow it is.
    #[must_use]
    pub fn time_since(self, now: Time, reading_ms: u64) -> Duration {
        let span_ms = self.reading_ms.saturating_sub(reading_ms);
        let before_read =
            Duration::from_millis(span_ms.saturating_mul(100) / MIN_CLOCK_RATE_PERCENT);
        before_read + now.since(self.read_at)
    }
}
