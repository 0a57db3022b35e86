//! Succession of the planner.
//!
//! The holder writes the role row again and again. Another entry takes the role when it has seen
//! the same version of the row for a whole term, with reads that succeeded all the while: a store
//! that is away stops the clock, so that its return does not change the holder.

use std::time::Duration;

use crate::unit::{Time, Version};

/// Time without a write of the holder after which the role may be taken.
pub const TERM: Duration = Duration::from_millis(1_600);
/// Time between two writes of a holder that has nothing else to write.
pub const RENEWAL: Duration = Duration::from_millis(500);
/// Longest gap between two successful reads that counts as watching.
const GAP_MOST: Duration = Duration::from_millis(900);
/// Delay of an entry for each unit of its way to the store, so that near ones come first.
const DISTANCE_FACTOR: u32 = 8;
/// Longest such delay.
const DELAY_MOST: Duration = Duration::from_millis(700);

/// What an entry that does not plan knows of the holder.
#[derive(Debug, Default)]
pub struct Succession {
    version: Option<Version>,
    since: Time,
    read: Time,
}

impl Succession {
    /// Takes in a read that was sent at `sent`, came back at `now`, and showed the role row at a
    /// version, or none.
    pub fn read(&mut self, sent: Time, now: Time, version: Version) {
        if self.version != Some(version) || sent.since(self.read) > GAP_MOST {
            self.version = Some(version);
            self.since = now;
        }
        self.read = now;
    }

    /// Returns whether the role may be taken, given whether its row names a holder and how long
    /// a call of the store takes from here.
    #[must_use]
    pub fn may_take(&self, now: Time, held: bool, distance: Duration) -> bool {
        if self.version.is_none() || now.since(self.read) > GAP_MOST {
            return false;
        }
        let delay = (distance * DISTANCE_FACTOR).min(DELAY_MOST);
        let wait = if held { TERM + delay } else { delay };
        now.since(self.since) >= wait
    }
}
