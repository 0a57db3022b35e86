//! The port to the platform's transactional store.

use std::time::Duration;

use super::record::JOB_PREFIX;
use crate::unit::Version;

/// Time given to one call of the store. A call takes 70 ms across regions.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// The tables that the system uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Table {
    /// Accepted jobs, their progress, and the planner's role.
    Jobs,
    /// What each agent is told to run.
    Orders,
    /// What each agent reports.
    Workers,
    /// What operators wrote; read only.
    Operator,
    /// What operators read.
    Status,
}

/// Partitions of the agents' reports. Few, since a planner that takes over reads them one by one.
const REPORT_PARTITIONS: u64 = 2;

/// Feeds of the orders. Each change of a feed wakes all agents that watch it, so an agent shares
/// its feed with a few others only, however many there are; a planner that takes over reads all.
const ORDER_FEEDS: u64 = 24;

/// A part of a table that is watched by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Feed(pub u64);

/// Rows that may be written together. The store writes each partition one after the other, and a
/// slow one takes a few writes a second, so what callers wait for is kept apart from the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Partition {
    /// What operators and platform share with the system.
    Shared,
    /// What the planner writes.
    Planner,
    /// Accepted jobs.
    Jobs,
    /// Some of the reports.
    Reports(u64),
}

impl Table {
    /// Returns the partition of a row.
    #[must_use]
    pub fn partition(self, key: &str) -> Partition {
        match self {
            Self::Jobs if key.starts_with(JOB_PREFIX) => Partition::Jobs,
            Self::Jobs | Self::Orders => Partition::Planner,
            Self::Workers => {
                let hash = xxhash_rust::xxh3::xxh3_64(key.as_bytes());
                Partition::Reports(hash % REPORT_PARTITIONS)
            }
            Self::Operator | Self::Status => Partition::Shared,
        }
    }

    /// Returns the feed of a row. All orders of an agent are in one.
    #[must_use]
    pub fn feed(self, key: &str) -> Feed {
        match self {
            Self::Orders => {
                let agent = key.rsplit_once('/').map_or(key, |(agent, _)| agent);
                Feed(xxhash_rust::xxh3::xxh3_64(agent.as_bytes()) % ORDER_FEEDS)
            }
            _ => Feed::default(),
        }
    }

    /// Returns the feeds of the table.
    pub fn feeds(self) -> impl Iterator<Item = Feed> {
        let count = if self == Self::Orders { ORDER_FEEDS } else { 1 };
        (0..count).map(Feed)
    }

    /// Returns the partitions in which the table has rows.
    #[must_use]
    pub fn partitions(self) -> Vec<Partition> {
        match self {
            Self::Jobs => vec![Partition::Planner, Partition::Jobs],
            Self::Orders => vec![Partition::Planner],
            Self::Workers => (0..REPORT_PARTITIONS).map(Partition::Reports).collect(),
            Self::Operator | Self::Status => vec![Partition::Shared],
        }
    }
}

/// A row, or the mark that it was removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Its table.
    pub table: Table,
    /// Its key.
    pub key: String,
    /// The transaction that wrote or removed it.
    pub version: Version,
    /// Its value; nothing if it was removed.
    pub value: Option<Vec<u8>>,
}

/// A write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The table.
    pub table: Table,
    /// The key.
    pub key: String,
    /// The new value; nothing to remove the row.
    pub value: Option<Vec<u8>>,
}

/// A condition on one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// The table.
    pub table: Table,
    /// The key.
    pub key: String,
    /// The version that the row must have; 0 if it must not exist.
    pub version: Version,
}

/// An atomic batch.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Batch {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written if it holds.
    pub writes: Vec<Write>,
}

/// What became of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was applied as this version.
    Applied(Version),
    /// A condition failed; these are the rows of the conditions.
    Refused(Vec<Row>),
}

/// Rows as of one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// The rows, by key.
    pub rows: Vec<Row>,
    /// The newest version at that moment.
    pub version: Version,
    /// The store's steady clock in milliseconds.
    pub now_ms: u64,
}

/// Why a call has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store said that nothing was done.
    #[error("the store refused the call; nothing was done")]
    NotDone,
    /// No answer came: a write may have taken effect, or may yet.
    #[error("the store gave no answer")]
    NoAnswer,
    /// The history that was asked for is no longer kept.
    #[error("the store no longer has this history")]
    Compacted,
    /// The answer is malformed.
    #[error("the store gave a malformed answer")]
    Malformed,
}

/// Applies a batch, all or nothing.
pub type CommitCall = dyn Fn(&Batch, Duration) -> Result<Outcome, Error> + Send + Sync;
/// Reads the rows of a table from a key up to another, which is excluded. Empty keys are open ends.
pub type ScanCall = dyn Fn(Table, &str, &str) -> Result<Snapshot, Error> + Send + Sync;
/// Waits for rows of a feed that changed after a version.
pub type WatchCall =
    dyn Fn(Table, Feed, Version, Duration) -> Result<Snapshot, Error> + Send + Sync;

/// Takes note of processes, as `IP:PORT`, that may pass calls on to the store.
pub type SetRelaysCall = dyn Fn(&[&str]) + Send + Sync;
/// Returns whether all calls have failed for a while.
pub type UnavailableCall = dyn Fn() -> bool + Send + Sync;
/// Returns whether the store turns this process away while others reach it.
pub type DetourCall = dyn Fn() -> bool + Send + Sync;

/// The calls of the store.
pub struct Calls {
    /// Applies a batch, all or nothing.
    pub commit: Box<CommitCall>,
    /// Reads a range of rows.
    pub scan: Box<ScanCall>,
    /// Waits for changed rows. A watch may miss changes for a while, so silence proves nothing.
    pub watch: Box<WatchCall>,
    /// Takes note of processes, as `IP:PORT`, that may pass calls on to the store.
    pub set_relays: Box<SetRelaysCall>,
    /// Returns whether all calls have failed for a while.
    pub unavailable: Box<UnavailableCall>,
    /// Returns whether the store turns this process away while others reach it.
    pub detour: Box<DetourCall>,
}

impl Calls {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the store could not be read.
    pub fn get(&self, table: Table, key: &str) -> Result<Option<Row>, Error> {
        let mut found = (self.scan)(table, key, &next_key(key))?;
        Ok(found.rows.pop())
    }
}

/// Returns the key that follows a key.
#[must_use]
pub fn next_key(key: &str) -> String {
    format!("{key}\0")
}
