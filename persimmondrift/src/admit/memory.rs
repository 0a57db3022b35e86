//! What became of each request, for as long as a copy of it may still arrive.
//!
//! Each request names the time until which it may be admitted. An ended request is remembered
//! for [`RETENTION`] beyond that time, so the absence of a request is proof until then. When the
//! memory is full the oldest requests are forgotten, and the horizon moves: whatever may be
//! among them is no longer admitted.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::place::Class;
use crate::unit::{Request, Time};

/// Longest time ahead until which a request may ask to be admitted.
pub const MAX_ADMIT_AHEAD: Duration = Duration::from_secs(8);
/// Time beyond the last admission for which an ended request is remembered.
pub const RETENTION: Duration = Duration::from_secs(8);
/// Most ended requests that are remembered.
pub const MAX_ENDED: usize = 131_072;

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// It waits until a deadline.
    Waiting(Class, Time),
    /// It runs since a time.
    Running(Class, Time),
    /// It ran.
    Ended,
    /// It did not run and will not.
    Refused,
}

/// The fates of requests.
#[derive(Debug, Default)]
pub struct History {
    states: HashMap<Request, RequestState>,
    /// Ended requests by the second until which they are remembered.
    ended: BTreeMap<u64, Vec<Request>>,
    ended_count: usize,
    horizon: Time,
}

impl History {
    /// Returns the fate of a request, if it is remembered.
    #[must_use]
    pub fn get(&self, request: Request) -> Option<RequestState> {
        self.states.get(&request).copied()
    }

    /// Returns whether a request that is not remembered was never here.
    #[must_use]
    pub fn proves_absent(&self, now: Time, admit_by: Time) -> bool {
        admit_by + RETENTION > self.horizon.max(now)
    }

    /// Sets the fate of a request that waits or runs.
    pub fn set(&mut self, request: Request, state: RequestState) {
        self.states.insert(request, state);
    }

    /// Sets the last fate of a request and forgets it when no copy can be admitted any more.
    pub fn end(&mut self, now: Time, request: Request, state: RequestState, admit_by: Time) {
        self.states.insert(request, state);
        let until = admit_by.max(now) + RETENTION;
        self.ended.entry(second_of(until)).or_default().push(request);
        self.ended_count += 1;
        self.evict(now);
    }

    /// Returns the number of requests that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Forgets the requests whose time is over.
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
