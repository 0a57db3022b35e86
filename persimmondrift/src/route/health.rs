//! Failures of one target, and whether it is ejected for them.

use std::time::Duration;

use super::Verdict;
use crate::unit::Time;

/// Share of recent requests that must fail, in thousandths, before a target is ejected.
const EJECT_THRESHOLD_PERMILLE: u32 = 500;
/// Weight of one more verdict in the score, as a divisor.
const SCORE_DIVISOR: u32 = 8;
/// Time for which a target is ejected at first. It doubles each time.
pub const EJECT_TIME: Duration = Duration::from_secs(3);
/// Most times that the time of an ejection doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Good answers after which a target that is probed is back.
const REQUIRED_PROBES: u32 = 3;

/// Whether a target gets requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It gets its share.
    Active,
    /// It gets one request at a time, until it has proved itself so many times.
    Probed(u32),
    /// It gets nothing until a time.
    Ejected(Time),
}

/// The failures of one target.
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
    /// Returns whether the target gets requests.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns whether most of its recent requests failed.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.failure_rate > EJECT_THRESHOLD_PERMILLE
    }

    /// Takes in a verdict.
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

    /// Gives the target no more requests for a while.
    pub fn eject(&mut self, now: Time) {
        let factor = 1 << self.ejections.min(MAX_DOUBLINGS);
        self.state = State::Ejected(now + EJECT_TIME * factor);
        self.ejections += 1;
    }

    /// Gives the target one request at a time if its ejection is over. Returns whether it is.
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
