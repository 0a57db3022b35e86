//! The history of requests, kept for as long as a copy of each may still arrive.
//!
//! Each request carries the time until which it may be admitted. An ended request is kept for
//! [`RETENTION`] beyond that time; until then, the absence of a request proves that it never ran.
//! When the history is full, the oldest requests are evicted and the horizon moves forward:
//! requests that may be among the evicted ones are no longer admitted.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::place::Class;
use crate::unit::{Request, Time};

/// How far in the future the admission limit of a request may lie.
pub const MAX_ADMIT_AHEAD: Duration = Duration::from_secs(8);
/// Time beyond the admission limit for which an ended request is kept.
pub const RETENTION: Duration = Duration::from_secs(8);
/// Largest number of ended requests that are kept.
pub const MAX_ENDED: usize = 131_072;

/// The state of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// Queued until the given deadline.
    Waiting(Class, Time),
    /// Running since the given time.
    Running(Class, Time),
    /// Ended after it ran.
    Ended,
    /// Refused; it did not run and will not run.
    Refused,
}

/// The state of each known request.
#[derive(Debug, Default)]
pub struct History {
    states: HashMap<Request, RequestState>,
    /// Ended requests by the second until which they are kept.
    ended: BTreeMap<u64, Vec<Request>>,
    ended_count: usize,
    /// Ended requests that were kept until before this time may have been evicted.
    horizon: Time,
}

impl History {
    /// Returns the state of a request if it is in the history.
    #[must_use]
    pub fn get(&self, request: Request) -> Option<RequestState> {
        self.states.get(&request).copied()
    }

    /// Returns whether a request that is not in the history has certainly never been admitted,
    /// given its admission limit.
    #[must_use]
    pub fn proves_absent(&self, now: Time, admit_by: Time) -> bool {
        admit_by + RETENTION > self.horizon.max(now)
    }

    /// Sets the state of a queued or running request.
    pub fn set(&mut self, request: Request, state: RequestState) {
        self.states.insert(request, state);
    }

    /// Sets the final state of a request, which is evicted once no copy can be admitted any more.
    pub fn end(&mut self, now: Time, request: Request, state: RequestState, admit_by: Time) {
        self.states.insert(request, state);
        let until = admit_by.max(now) + RETENTION;
        self.ended.entry(second_of(until)).or_default().push(request);
        self.ended_count += 1;
        self.evict(now);
    }

    /// Returns the number of requests in the history.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether the history is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Evicts requests whose retention has ended, and the oldest ones while more than
    /// [`MAX_ENDED`] have ended. Moves the horizon past them.
    pub fn evict(&mut self, now: Time) {
        while let Some(oldest) = self.ended.first_entry() {
            let second = *oldest.key();
            let outdated = second < second_of(now);
            if !outdated && self.ended_count <= MAX_ENDED {
                return;
            }
            let requests = oldest.remove();
            self.ended_count -= requests.len();
            for request in requests {
                self.states.remove(&request);
            }
            self.horizon = self.horizon.max(Time::from_secs(second + 1));
        }
    }
}

fn second_of(time: Time) -> u64 {
    time.0 / 1_000_000
}
