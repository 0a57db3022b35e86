//! Requests in flight at an entry, by class.
//!
//! Less urgent classes may not take the last places, so that an urgent caller finds one.

use crate::place::Class;

/// Places that each class may fill, together with the less urgent ones, in hundredths.
const SHARES: [usize; 3] = [100, 90, 60];

/// The requests in flight at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    places: usize,
    held: [usize; 3],
}

impl Limit {
    /// Creates the limit of an entry with so many places.
    #[must_use]
    pub fn new(places: usize) -> Self {
        Self { places, held: [0; 3] }
    }

    /// Takes a place for a request. Returns whether there was one.
    pub fn take(&mut self, class: Class) -> bool {
        let index = class as usize;
        for (at_least, share) in SHARES.iter().enumerate().take(index + 1) {
            let held: usize = self.held[at_least..].iter().sum();
            if held >= self.places * share / 100 {
                return false;
            }
        }
        self.held[index] += 1;
        true
    }

    /// Gives the place of a request back.
    pub fn give(&mut self, class: Class) {
        self.held[class as usize] -= 1;
    }

    /// Returns the requests in flight.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.iter().sum()
    }
}
