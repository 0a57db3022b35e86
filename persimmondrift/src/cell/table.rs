//! Interface to the platform's transactional store.

use std::time::Duration;

use super::record::JOB_PREFIX;
use crate::unit::{StoreTime, Version};

/// Timeout of one call to the store. A call takes 70 ms across regions.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of one page of a read of many rows.
pub const PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of entries in a batch, conditions included. The store accepts 100.
pub const MAX_BATCH_ENTRIES: usize = 90;
/// Maximum size of a batch in bytes as sent. The store accepts 1 MB, but a link of 250 KB/s carries
/// no more than this well within [`CALL_TIMEOUT`].
pub const MAX_BATCH_BYTES: usize = 128 << 10;
/// Maximum size of a row's value in bytes.
pub const MAX_ROW_BYTES: usize = 65_536;
/// Upper bound of the bytes that a call adds to the key and the value of each row.
const ROW_OVERHEAD_BYTES: usize = 128;

/// Tables of the store that the system uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Table {
    /// Accepted jobs, their progress, and the planner's role.
    Jobs,
    /// Orders of the planner to each agent.
    Orders,
    /// Reports of the agents.
    Workers,
    /// Configuration that operators wrote; read only.
    Operator,
    /// Status that operators read.
    Status,
}

/// Partitions of the agents' reports. Few, since a planner that takes over reads them one by one.
const REPORT_PARTITIONS: u64 = 2;

/// Feeds of the orders. Each change of a feed wakes all agents that watch it, so each feed is
/// shared by a few agents only. A planner that takes over reads all feeds.
const ORDER_FEEDS: u64 = 24;

/// A part of a table that can be watched on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Feed(pub u64);

/// Rows that may be written in one batch. The store applies the batches of a partition one after
/// the other, and a slow partition takes a few a second, so rows that callers wait for are kept
/// apart from the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Partition {
    /// Rows shared with operators and the platform.
    Shared,
    /// Rows that the planner writes.
    Planner,
    /// Accepted jobs.
    Jobs,
    /// One of the partitions of the agents' reports.
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

    /// Returns the feed of a row. All orders of an agent are in the same feed.
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

/// A row, or the tombstone of a removed one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// Transaction that wrote or removed it.
    pub version: Version,
    /// Encoded record; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// A write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// New value; `None` to remove the row.
    pub value: Option<Vec<u8>>,
}

impl Write {
    /// Returns whether the value is small enough for a row of the store.
    #[must_use]
    pub fn fits_in_row(&self) -> bool {
        self.value.as_ref().is_none_or(|value| value.len() <= MAX_ROW_BYTES)
    }

    /// Returns an upper bound of the row's size in a call, where values are sent in base64.
    #[must_use]
    pub fn call_bytes(&self) -> usize {
        let value = self.value.as_ref().map_or(0, |value| value.len().div_ceil(3) * 4);
        self.key.len() + value + ROW_OVERHEAD_BYTES
    }
}

/// A condition on the version of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Condition {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if it must not exist.
    pub version: Version,
}

/// An atomic batch.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Batch {
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Writes that are applied if they hold.
    pub writes: Vec<Write>,
}

/// Result of a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was applied as this version.
    Applied(Version),
    /// A condition failed. Contains the current rows of the conditions.
    Refused(Vec<Row>),
}

/// Rows as of one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Rows, sorted by key.
    pub rows: Vec<Row>,
    /// Newest version at that moment.
    pub version: Version,
    /// The store's clock, at some time between the call and the answer; 0 if the store gave none.
    pub now: StoreTime,
}

/// Reason why a call has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store answered that nothing was done.
    #[error("the store refused the call; nothing was done")]
    NotDone,
    /// No answer came: a write may have taken effect, or may take effect later.
    #[error("the store gave no answer")]
    NoAnswer,
    /// The requested history is no longer kept.
    #[error("the store no longer has this history")]
    Compacted,
    /// The store rejected the call as invalid; nothing was done, and sending it again unchanged
    /// cannot succeed.
    #[error("the store rejected the call as invalid")]
    Rejected,
    /// The answer is malformed.
    #[error("the store gave a malformed answer")]
    Malformed,
}

/// Applies a batch, all or nothing.
pub type CommitCall = dyn Fn(&Batch, Duration) -> Result<Outcome, Error> + Send + Sync;
/// Reads the rows of a table from one key up to another, which is excluded. An empty key leaves
/// that end open. Each page has to arrive within the timeout.
pub type ScanCall = dyn Fn(Table, &str, &str, Duration) -> Result<Snapshot, Error> + Send + Sync;
/// Waits for rows of a feed that changed after a version.
pub type WatchCall =
    dyn Fn(Table, Feed, Version, Duration) -> Result<Snapshot, Error> + Send + Sync;

/// Sets the processes, as `IP:PORT`, that may relay calls to the store.
pub type SetRelaysCall = dyn Fn(&[&str]) + Send + Sync;
/// Returns whether all calls have failed for a while.
pub type UnavailableCall = dyn Fn() -> bool + Send + Sync;
/// Returns whether the store rejects direct calls of this process while others reach it.
pub type DetourCall = dyn Fn() -> bool + Send + Sync;

/// Calls to the store.
pub struct Calls {
    /// Applies a batch, all or nothing.
    pub commit: Box<CommitCall>,
    /// Reads a range of rows.
    pub scan: Box<ScanCall>,
    /// Waits for changed rows. A watch may miss changes for a while, so an empty answer proves
    /// nothing.
    pub watch: Box<WatchCall>,
    /// Sets the processes, as `IP:PORT`, that may relay calls to the store.
    pub set_relays: Box<SetRelaysCall>,
    /// Returns whether all calls have failed for a while.
    pub unavailable: Box<UnavailableCall>,
    /// Returns whether the store rejects direct calls of this process while others reach it.
    pub detour: Box<DetourCall>,
}

impl Calls {
    /// Reads one row; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the store could not be read.
    pub fn get(&self, table: Table, key: &str) -> Result<Option<Row>, Error> {
        self.get_within(table, key, CALL_TIMEOUT)
    }

    /// Reads one row, as [`Self::get`] does, with a shorter timeout.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the store could not be read in time.
    pub fn get_within(
        &self,
        table: Table,
        key: &str,
        timeout: Duration,
    ) -> Result<Option<Row>, Error> {
        let mut found = (self.scan)(table, key, &next_key(key), timeout.min(CALL_TIMEOUT))?;
        Ok(found.rows.pop())
    }
}

/// Returns the key that directly follows `key`.
#[must_use]
pub fn next_key(key: &str) -> String {
    format!("{key}\0")
}
