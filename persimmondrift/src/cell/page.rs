//! Number of rows that are requested in one page of a table.
//!
//! The size matters when all entries read the table of jobs at once, after a restart of all
//! processes or a long outage of the store. A page that the link cannot carry within the timeout
//! is lost, and the bytes that it has used up delay all other calls of the process.

use std::time::Duration;

/// Rows of the first page.
const INITIAL_ROWS: u32 = 64;
/// Fewest rows of a page.
const MIN_ROWS: u32 = 4;
/// Most rows that the store returns in a page.
const MAX_ROWS: u32 = 500;
/// Duration of a page up to which the next one is larger. It includes a round trip across regions.
const SHORT: Duration = Duration::from_millis(250);
/// Duration of a page from which on the next one is smaller. Well below the timeout of a single
/// row, which waits behind a page on the same link.
const LONG: Duration = Duration::from_millis(450);
/// Factor by which the size changes after a page.
const STEP: u32 = 2;
/// Factor by which the size shrinks after a page that did not arrive.
const FAILURE_STEP: u32 = 4;

/// Adapts the size of pages to the time that they take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    rows: u32,
}

impl Default for Size {
    fn default() -> Self {
        Self { rows: INITIAL_ROWS }
    }
}

impl Size {
    /// Returns the number of rows to request in the next page.
    #[must_use]
    pub fn rows(self) -> u32 {
        self.rows
    }

    /// Returns whether pages cannot become smaller.
    #[must_use]
    pub fn is_smallest(self) -> bool {
        self.rows == MIN_ROWS
    }

    /// Records how long a page of `received` rows took. A page with fewer rows than the current size
    /// does not show that the link carries larger ones.
    pub fn record_page(&mut self, took: Duration, received: usize) {
        let full = usize::try_from(self.rows).is_ok_and(|rows| received >= rows);
        if took <= SHORT && full {
            self.rows = (self.rows * STEP).min(MAX_ROWS);
        } else if took >= LONG {
            self.rows = (self.rows / STEP).max(MIN_ROWS);
        }
    }

    /// Records that a page did not arrive in time.
    pub fn record_failure(&mut self) {
        self.rows = (self.rows / FAILURE_STEP).max(MIN_ROWS);
    }
}
