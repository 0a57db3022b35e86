//! The rate at which an agent reports.
//!
//! The reports of all agents go to a few partitions of the store, each of which applies a few hundred a
//! second, one after the other. An agent whose reports take long reports less often, so that the
//! partitions keep up with hundreds of agents. Without that, reports wait longer than a call's timeout,
//! and are sent again while their first copies still wait.

use std::time::Duration;

/// Interval of an agent's reports while the store answers them quickly and nothing changes.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(800);
/// Longest interval of the reports. An agent gets no new work after a silence of three times
/// [`REPORT_INTERVAL`].
pub const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(1_600);
/// Duration of a commit from which on the store counts as loaded. Two trips across regions take 70 ms.
const SLOW_COMMIT: Duration = Duration::from_millis(250);
/// Change of the interval after a slow commit.
const STRETCH: Duration = Duration::from_millis(200);
/// Change of the interval after a quick commit. Smaller, so that the load settles below the limit.
const SHRINK: Duration = Duration::from_millis(50);

/// Interval between the reports of one agent.
#[derive(Debug)]
pub struct Pace {
    interval: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self { interval: REPORT_INTERVAL }
    }
}

impl Pace {
    /// Returns the interval of the reports while nothing changes.
    #[must_use]
    pub fn interval(&self) -> Duration {
        self.interval
    }

    /// Returns the shortest time between two reports: zero while the store is quick, so that changes are
    /// reported at once.
    #[must_use]
    pub fn min_gap(&self) -> Duration {
        self.interval.saturating_sub(REPORT_INTERVAL)
    }

    /// Adapts the interval to the time that the commit of a report took.
    pub fn record_commit(&mut self, took: Duration) {
        self.interval = if took >= SLOW_COMMIT {
            (self.interval + STRETCH).min(MAX_REPORT_INTERVAL)
        } else {
            self.interval.saturating_sub(SHRINK).max(REPORT_INTERVAL)
        };
    }

    /// Adapts the interval to a commit without an answer.
    pub fn record_unanswered(&mut self) {
        self.interval = MAX_REPORT_INTERVAL;
    }
}
