//! Decides whether the watch of a table is continued or the whole table is read anew.
//!
//! A read of a whole table is the largest transfer of an entry. If each watch that is lost led to
//! one, an outage of the store would be followed by reads that fill the links of all entries, so
//! that further watches are lost.

use super::table::Error;
use crate::unit::Version;

/// Number of lost watches after which the table is read, if other calls were answered meanwhile.
const MAX_LOST_WATCHES: u32 = 3;

/// Position in the changes of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Position {
    /// All changes up to this version are known; `None` if the table has to be read.
    after: Option<Version>,
    /// Whether the last watch returned no rows although the table had changed.
    missed: bool,
    /// Watches lost since the last answer to one, although a call after each was answered.
    lost: u32,
}

impl Position {
    /// Returns the version to watch from; `None` if the table has to be read.
    #[must_use]
    pub fn after(self) -> Option<Version> {
        self.after
    }

    /// Records that all changes up to `version` are known, from a read or a watch.
    pub fn advance(&mut self, version: Version) {
        self.after = Some(self.after.map_or(version, |after| after.max(version)));
        self.missed = false;
        self.lost = 0;
    }

    /// Records that a watch failed. It is repeated, unless the store no longer has the history.
    pub fn record_failure(&mut self, error: Error) {
        if error == Error::Compacted {
            *self = Self::default();
        }
    }

    /// Records that a watch got no answer, and that a call after it did.
    ///
    /// The changes may be more than the link carries in the time of a watch. They only become more,
    /// while a read of the table has pages of a suitable size.
    pub fn record_lost_watch(&mut self) {
        self.lost += 1;
        if self.lost >= MAX_LOST_WATCHES {
            *self = Self::default();
        }
    }

    /// Records that a watch returned no rows, and that a row of the table was then read at
    /// `newest`. Returns whether no change was missed.
    ///
    /// The row may have changed after the watch returned, so only a second empty watch shows that
    /// the feed misses changes.
    pub fn verify(&mut self, newest: Version) -> bool {
        self.lost = 0;
        if self.after.is_some_and(|after| newest <= after) {
            self.missed = false;
            return true;
        }
        if self.missed {
            *self = Self::default();
        } else {
            self.missed = true;
        }
        false
    }
}
