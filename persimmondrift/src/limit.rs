//! Limit of the requests in flight at an entry, by class.
//!
//! The last part of the capacity is reserved for more urgent classes, so that an urgent request is
//! still accepted when the entry is busy.

use crate::place::Class;

/// Share of the capacity, in percent, that each class may use together with all less urgent
/// classes.
const SHARES_PERCENT: [usize; 3] = [100, 90, 60];

/// The requests in flight at an entry, by class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    capacity: usize,
    in_flight: [usize; 3],
}

impl Limit {
    /// Creates the limit of an entry that serves up to `capacity` requests at once.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, in_flight: [0; 3] }
    }

    /// Counts a request if there is capacity for its class. Returns whether it was counted.
    pub fn acquire(&mut self, class: Class) -> bool {
        let index = class as usize;
        for (at_least, share) in SHARES_PERCENT.iter().enumerate().take(index + 1) {
            let taken: usize = self.in_flight[at_least..].iter().sum();
            if taken >= self.capacity * share / 100 {
                return false;
            }
        }
        self.in_flight[index] += 1;
        true
    }

    /// Releases the capacity of a request that has ended.
    pub fn release(&mut self, class: Class) {
        self.in_flight[class as usize] -= 1;
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.iter().sum()
    }
}
