//! How long a worker may run what it runs.
//!
//! An agent's report is its lease: each report that the store applied allows the agent to let its
//! worker run on until a fixed time after the report was sent. A planner that has marked the
//! report as revoked knows that no later one was applied, so once that time has passed after the
//! last report, the worker is empty.

use std::time::Duration;

use crate::unit::Time;

/// Rate of a worker's clock at its slowest, in percent of the true rate.
const MIN_CLOCK_RATE_PERCENT: u64 = 98;
/// Taken off the longest lease of a worker, for the way of the call.
const LEASE_MARGIN: Duration = Duration::from_millis(200);
/// Added by the planner to the end of a grant, for the steps between two clocks.
pub const LAPSE_MARGIN: Duration = Duration::from_millis(300);

/// Returns the span of a grant, given the longest lease that a worker keeps.
#[must_use]
pub fn span(max_lease: Duration) -> Duration {
    max_lease.saturating_sub(LEASE_MARGIN)
}

/// A worker's own clock, as last read.
#[derive(Debug, Clone, Copy)]
pub struct WorkerClock {
    /// What it showed, in milliseconds.
    pub reading_ms: u64,
    /// When the answer that showed it came in.
    pub read_at: Time,
}

impl WorkerClock {
    /// Returns a deadline on the worker's clock that falls no later than `until`, however slow
    /// that clock is; nothing if `until` has passed.
    #[must_use]
    pub fn deadline_ms(self, now: Time, until: Time) -> Option<u64> {
        let left = until.since(now);
        if left.is_zero() {
            return None;
        }
        let span = until.since(self.read_at);
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Some(self.reading_ms + millis.saturating_mul(MIN_CLOCK_RATE_PERCENT) / 100)
    }
}
