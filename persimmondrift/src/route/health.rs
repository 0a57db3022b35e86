//! Passive health check of one target: tracks its failure rate and its ejection.

use std::time::Duration;

use super::Verdict;
use crate::unit::Time;

/// Failure rate in thousandths above which a target is ejected.
const EJECT_THRESHOLD_PERMILLE: u32 = 500;
/// Divisor of the weight of a new verdict in the failure rate.
const SCORE_DIVISOR: u32 = 8;
/// Duration of the first ejection; it doubles with each further one.
pub const EJECT_TIME: Duration = Duration::from_secs(3);
/// Largest number of times that the duration of an ejection doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Successful requests after which a probed target is active again.
const REQUIRED_PROBES: u32 = 3;

/// Whether a target receives requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The target receives its share of requests.
    Active,
    /// The target receives one request at a time. Counts the successful ones.
    Probed(u32),
    /// The target receives no requests until the given time.
    Ejected(Time),
}

/// The health of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    state: State,
    failure_rate: u32,
    ejections: u32,
}

impl Default for Health {
    fn default() -> Self {
        Self { state: State::Active, failure_rate: 0, ejections: 0 }
    }
}

impl Health {
    /// Returns whether the target receives requests.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether the failure rate is above the threshold for ejection.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failure_rate > EJECT_THRESHOLD_PERMILLE
    }

    /// Updates the failure rate with a verdict, and ends probing after enough successful requests.
    pub fn record(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Good => self.failure_rate -= self.failure_rate.div_ceil(SCORE_DIVISOR),
            Verdict::Bad => self.failure_rate += (1_000 - self.failure_rate) / SCORE_DIVISOR,
            Verdict::Leaving | Verdict::Neutral => return,
        }
        if let State::Probed(good) = self.state
            && verdict == Verdict::Good
        {
            self.state = State::Probed(good + 1);
            if good + 1 >= REQUIRED_PROBES {
                *self = Self { state: State::Active, failure_rate: 0, ejections: self.ejections };
            }
        }
    }

    /// Ejects the target; each ejection doubles the time of the next one, up to a limit.
    pub fn eject(&mut self, now: Time) {
        let factor = 1 << self.ejections.min(MAX_DOUBLINGS);
        self.state = State::Ejected(now + EJECT_TIME * factor);
        self.ejections += 1;
    }

    /// Starts probing if the ejection has expired. Returns whether it did.
    pub fn probe(&mut self, now: Time) -> bool {
        match self.state {
            State::Ejected(until) if until <= now => {
                self.state = State::Probed(0);
                true
            }
            _ => false,
        }
    }
}
