//! Succession of the planner.
//!
//! The holder writes the role row again and again. Another entry takes the role when it has seen
//! the same version of the row for a whole term, with reads that succeeded all the while: a store
//! that is away stops the clock, so that its return does not change the holder.

use std::time::Duration;

use super::record::{self, ROLE_KEY, Role};
use super::table::{Batch, Condition, Outcome, Row, Table, Write};
use crate::unit::{Epoch, Time, Version};

/// Time without a write of the holder after which the role may be taken.
pub const ROLE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Time between two writes of a holder that has nothing else to write.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Longest gap between two successful reads that counts as watching.
const MAX_READ_GAP: Duration = Duration::from_millis(900);
/// Delay of an entry for each unit of its way to the store, so that near ones come first.
const ROUND_TRIP_FACTOR: u32 = 4;
/// Longest such delay.
const MAX_DISTANCE_DELAY: Duration = Duration::from_millis(400);
/// Further delay of an entry that the store turns away: each of its rounds takes a way through a
/// peer, so it plans only if no other entry does.
const DETOUR_DELAY: Duration = Duration::from_secs(2);

/// How an entry reaches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reach {
    /// How long a call takes.
    pub round_trip: Duration,
    /// Whether the store turns this entry away, so that peers pass its calls on.
    pub detour: bool,
}

impl Reach {
    /// Returns how long an entry leaves the role to others that reach the store sooner.
    fn delay(self) -> Duration {
        let distance_delay = (self.round_trip * ROUND_TRIP_FACTOR).min(MAX_DISTANCE_DELAY);
        if self.detour { distance_delay + DETOUR_DELAY } else { distance_delay }
    }
}

/// What an entry that does not plan knows of the holder.
#[derive(Debug, Default)]
pub struct Succession {
    version: Option<Version>,
    unchanged_since: Time,
    last_read: Time,
}

impl Succession {
    /// Takes in a read that was sent at `sent`, came back at `now`, and showed the role row at a
    /// version, or none.
    pub fn observe(&mut self, sent: Time, now: Time, version: Version) {
        if self.version != Some(version) || sent.since(self.last_read) > MAX_READ_GAP {
            self.version = Some(version);
            self.unchanged_since = now;
        }
        self.last_read = now;
    }

    /// Returns whether the role may be taken, given whether its row names a holder and how this
    /// entry reaches the store.
    #[must_use]
    pub fn may_take(&self, now: Time, held: bool, reach: Reach) -> bool {
        if self.version.is_none() || now.since(self.last_read) > MAX_READ_GAP {
            return false;
        }
        let wait = if held { ROLE_TIMEOUT + reach.delay() } else { reach.delay() };
        now.since(self.unchanged_since) >= wait
    }
}

/// What became of a write of a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// It was applied; these are its rows.
    Applied(Vec<Row>),
    /// Another entry holds the role.
    Lost,
}

/// One holding of the role. Each write of the holder is on condition that the role row is still
/// its own, and writes that row anew, so a holder that was replaced can write nothing more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Term {
    /// The version of the role row.
    pub version: Version,
    /// The epoch of this holding.
    pub epoch: Epoch,
    tag: u64,
    /// Whether it began while the store turned this entry away.
    detour: bool,
}

impl Term {
    /// Creates a holding that begins with its first write, given the version of the role row.
    #[must_use]
    pub fn new(version: Version, epoch: Epoch) -> Self {
        Self { version, epoch, tag: 0, detour: false }
    }

    /// Takes note of whether the store turned this entry away when the holding began.
    #[must_use]
    pub fn with_reach(self, reach: Reach) -> Self {
        Self { detour: reach.detour, ..self }
    }

    /// Returns whether the role is given back to an entry that reaches the store directly. A
    /// holding that began on a detour goes on: nobody else took the role then.
    #[must_use]
    pub fn yields(&self, reach: Reach) -> bool {
        reach.detour && !self.detour
    }

    /// Turns writes into a batch of the holder. The batch is sent, unchanged, until it is settled: it
    /// can take effect only once.
    pub fn build_batch(&mut self, holder: &str, tag: u64, mut writes: Vec<Write>) -> Batch {
        self.tag = tag;
        let role = Role { holder: holder.to_owned(), epoch: self.epoch, tag };
        let key = ROLE_KEY.to_owned();
        let conditions =
            vec![Condition { table: Table::Jobs, key: key.clone(), version: self.version }];
        writes.push(Write { table: Table::Jobs, key, value: Some(record::encode(&role)) });
        Batch { conditions, writes }
    }

    /// Finds out what became of a batch by the store's answer.
    pub fn resolve(&mut self, batch: Batch, outcome: &Outcome) -> WriteResult {
        let version = match outcome {
            Outcome::Applied(version) => *version,
            Outcome::Refused(rows) => {
                let row = rows.iter().find(|row| row.key == ROLE_KEY);
                let found: Option<Role> = row.and_then(|row| record::decode(row.value.as_deref()?));
                let version = row.map_or(Version(0), |row| row.version);
                // An earlier send may have been applied, and its answer lost.
                if found.is_none_or(|found| found.tag != self.tag) {
                    return WriteResult::Lost;
                }
                version
            }
        };
        self.version = version;
        let row =
            |write: Write| Row { table: write.table, key: write.key, version, value: write.value };
        WriteResult::Applied(batch.writes.into_iter().map(row).collect())
    }
}
