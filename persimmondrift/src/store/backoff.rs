//! Growing, jittered pauses between tries.

use std::time::Duration;

use crate::unit::Time;

/// Shortest first pause.
const INITIAL_DELAY: Duration = Duration::from_millis(100);
/// Longest pause. It stays well under the time within which a configuration is in force.
pub const MAX_DELAY: Duration = Duration::from_secs(4);

/// Decides when a failed call is tried again.
#[derive(Debug, Clone)]
pub struct Backoff {
    random: fastrand::Rng,
    failures: u32,
    retry_at: Time,
}

impl Backoff {
    /// Creates a back-off whose jitter follows from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self { random: fastrand::Rng::with_seed(seed), failures: 0, retry_at: Time(0) }
    }

    /// Returns the time left until the next try, zero if it is due.
    #[must_use]
    pub fn remaining(&self, now: Time) -> Duration {
        self.retry_at.since(now)
    }

    /// Takes in that a call succeeded.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.retry_at = Time(0);
    }

    /// Takes in that a call failed, and returns the pause before the next try.
    ///
    /// The pause is drawn between half and the whole of a limit that doubles each time, so
    /// that processes that failed together do not come back together.
    pub fn record_failure(&mut self, now: Time) -> Duration {
        let doubled = INITIAL_DELAY.saturating_mul(1 << self.failures.min(16));
        let limit = doubled.min(MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        let delay = limit.mul_f64(0.5 + self.random.f64() / 2.0);
        self.retry_at = now + delay;
        delay
    }
}
