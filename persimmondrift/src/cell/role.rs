//! Leader election for the planner's role.
//!
//! The holder renews the role row periodically. Another entry takes over once it has read the same
//! version of the row for [`ROLE_TIMEOUT`], with successful reads throughout. A gap between reads
//! restarts the wait, so that an outage of the store does not change the holder.

use std::time::Duration;

use super::record::{self, ROLE_KEY, Role};
use super::table::{Batch, Condition, Outcome, Row, Table, Write};
use crate::unit::{Epoch, Time, Version};

/// Time without a write of the holder after which another entry may take the role.
pub const ROLE_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Interval at which a holder renews the role when it has nothing else to write.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum gap between two successful reads for the role row to count as observed throughout.
const MAX_READ_GAP: Duration = Duration::from_millis(900);
/// Takeover delay of an entry as a multiple of its round trip to the store, so that near entries
/// come first.
const ROUND_TRIP_FACTOR: u32 = 4;
/// Maximum takeover delay for the distance to the store.
const MAX_DISTANCE_DELAY: Duration = Duration::from_millis(400);
/// Additional takeover delay of an entry that the store turns away. Each of its calls goes through
/// a peer, so it plans only if no other entry does.
const DETOUR_DELAY: Duration = Duration::from_secs(2);

/// How an entry reaches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reach {
    /// Shortest duration of a read seen so far.
    pub round_trip: Duration,
    /// Whether the store turns this entry away, so that peers forward its calls.
    pub detour: bool,
}

impl Reach {
    /// Returns how long an entry waits for entries nearer to the store before it takes the role.
    fn delay(self) -> Duration {
        let distance_delay = (self.round_trip * ROUND_TRIP_FACTOR).min(MAX_DISTANCE_DELAY);
        if self.detour { distance_delay + DETOUR_DELAY } else { distance_delay }
    }
}

/// Observes the role row for an entry, and decides when the entry may take the role.
#[derive(Debug, Default)]
pub struct Succession {
    version: Option<Version>,
    unchanged_since: Time,
    last_read: Time,
}

impl Succession {
    /// Records a read of the role row that was sent at `sent`, returned at `now` and found
    /// `version`; version 0 if there is no row.
    pub fn observe(&mut self, sent: Time, now: Time, version: Version) {
        if self.version != Some(version) || sent.since(self.last_read) > MAX_READ_GAP {
            self.version = Some(version);
            self.unchanged_since = now;
        }
        self.last_read = now;
    }

    /// Returns whether this entry may take the role. `held` is whether the role row names a holder.
    #[must_use]
    pub fn may_take(&self, now: Time, held: bool, reach: Reach) -> bool {
        if self.version.is_none() || now.since(self.last_read) > MAX_READ_GAP {
            return false;
        }
        let wait = if held { ROLE_TIMEOUT + reach.delay() } else { reach.delay() };
        now.since(self.unchanged_since) >= wait
    }
}

/// The result of a holder's write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The batch was applied, and left these rows.
    Applied(Vec<Row>),
    /// Another entry holds the role.
    Lost,
}

/// A holder's term of the role. Each of its writes is on condition that the role row is unchanged
/// since its last write, and rewrites that row, so a holder that was replaced cannot write any
/// more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Term {
    /// Version of the role row after the last write of this term.
    pub version: Version,
    /// Epoch of this term, higher than those of all earlier terms.
    pub epoch: Epoch,
    tag: u64,
    /// Whether the store turned this entry away when the term began.
    detour: bool,
}

impl Term {
    /// Creates a term that begins with its first write. `version` is that of the role row as read.
    #[must_use]
    pub fn new(version: Version, epoch: Epoch) -> Self {
        Self { version, epoch, tag: 0, detour: false }
    }

    /// Returns the term with a record of how its entry reached the store when the term began.
    #[must_use]
    pub fn with_reach(self, reach: Reach) -> Self {
        Self { detour: reach.detour, ..self }
    }

    /// Returns whether the holder should release the role to an entry that reaches the store
    /// directly. A term that began on a detour continues, since no other entry took the role then.
    #[must_use]
    pub fn yields(&self, reach: Reach) -> bool {
        reach.detour && !self.detour
    }

    /// Returns a batch with the writes and the renewal of the role row. It may be resent unchanged
    /// until its outcome is known, since it can take effect only once.
    pub fn build_batch(&mut self, holder: &str, tag: u64, mut writes: Vec<Write>) -> Batch {
        self.tag = tag;
        let role = Role { holder: holder.to_owned(), epoch: self.epoch, tag };
        let key = ROLE_KEY.to_owned();
        let conditions =
            vec![Condition { table: Table::Jobs, key: key.clone(), version: self.version }];
        writes.push(Write { table: Table::Jobs, key, value: Some(record::encode(&role)) });
        Batch { conditions, writes }
    }

    /// Returns the writes of a batch that was built by [`Self::build_batch`], without the renewal.
    #[must_use]
    pub fn take_writes(batch: Batch) -> Vec<Write> {
        batch.writes.into_iter().filter(|write| write.key != ROLE_KEY).collect()
    }

    /// Determines from the store's answer whether a batch was applied, and records the new version
    /// of the role row.
    pub fn resolve(&mut self, batch: Batch, outcome: &Outcome) -> WriteResult {
        let version = match outcome {
            Outcome::Applied(version) => *version,
            Outcome::Refused(rows) => {
                let row = rows.iter().find(|row| row.key == ROLE_KEY);
                let found: Option<Role> = row.and_then(|row| record::decode(row.value.as_deref()?));
                let version = row.map_or(Version(0), |row| row.version);
                // An earlier send of this batch may have been applied, and its answer lost.
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
