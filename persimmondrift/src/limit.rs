//! Requests in flight at an entry, by class.
//!
//! Less urgent classes may not take the last places, so that an urgent caller finds one.

use crate::place::Class;

/// Places that each class may fill, together with the less urgent ones, in hundredths.
const SHARES_PERCENT: [usize; 3] = [100, 90, 60];

/// The requests in flight at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    capacity: usize,
    in_flight: [usize; 3],
}

impl Limit {
    /// Creates the limit of an entry with so many places.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, in_flight: [0; 3] }
    }

    /// Takes a place for a request. Returns whether there was one.
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

    /// Gives the place of a request back.
    pub fn release(&mut self, class: Class) {
        self.in_flight[class as usize] -= 1;
    }

    /// Returns the requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight.iter().sum()
    }
}
