//! Exponential backoff with jitter.

use std::time::Duration;

use crate::unit::Time;

/// Upper limit of the first delay.
const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// Longest delay. It is well under the time within which a configuration must be in force.
pub const MAX_DELAY: Duration = Duration::from_secs(4);

/// Decides when a failed call is retried.
#[derive(Debug, Clone)]
pub struct Backoff {
    random: fastrand::Rng,
    failures: u32,
    retry_at: Time,
}

impl Backoff {
    /// Creates a backoff whose jitter is drawn from a generator with this seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { random: fastrand::Rng::with_seed(seed), failures: 0, retry_at: Time(0) }
    }

    /// Returns the time until the next retry, zero if it is due.
    #[must_use]
    pub fn remaining(&self, now: Time) -> Duration {
        self.retry_at.since(now)
    }

    /// Resets the delay after a successful call.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.retry_at = Time(0);
    }

    /// Increases the delay after a failed call, and returns the delay before the next retry.
    ///
    /// The delay is drawn from the upper half of a limit that doubles with each failure, so that
    /// processes that failed at the same time do not retry at the same time.
    pub fn record_failure(&mut self, now: Time) -> Duration {
        let doubled = INITIAL_DELAY.saturating_mul(1 << self.failures.min(16));
        let limit = doubled.min(MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        let delay = limit.mul_f64(0.5 + self.random.f64() / 2.0);
        self.retry_at = now + delay;
        delay
    }
}
