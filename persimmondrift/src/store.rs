//! Client side of the platform's table service, without I/O.
//!
//! Rows are written on condition of their version, and each write carries a mutation id, so that
//! a write whose answer was lost can be read back ([`Commit`]). [`Backoff`] and [`Throttle`] pace
//! the calls.

mod backoff;
mod commit;
mod throttle;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::unit::{Mutation, Version};

pub use backoff::Backoff;
pub use commit::{Commit, Step, commit};
pub use throttle::{Kind, Throttle};

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key, unique in the table.
    pub key: String,
    /// The number of writes of this key so far.
    pub version: Version,
    /// The id of the write that produced this version.
    pub mutation: Mutation,
    /// The JSON value.
    pub value: Value,
}

/// A write of one row, conditional on its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The key of the row.
    pub key: String,
    /// The version that the row must have; 0 if it must not exist.
    pub expected: Version,
    /// The id of this write; it stays the same when the write is sent again.
    pub mutation: Mutation,
    /// The new value.
    pub value: Value,
}

/// The outcome of a batch of writes, which is applied completely or not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All writes were applied.
    Applied,
    /// No write was applied, and none will be: a condition failed.
    Refused,
    /// All rows of the batch have been written by others since, so it can no longer be
    /// determined whether the batch was applied before. In either case its values are replaced.
    Overtaken,
}

/// Why a call of the table service returned no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection to the service: the call had no effect.
    #[error("table service cannot be reached")]
    Unreachable,
    /// The connection failed or timed out before the answer: a write may have taken effect.
    #[error("table service gave no answer")]
    NoAnswer,
    /// The service answered with an unexpected HTTP status.
    #[error("table service answered with status {0}")]
    Status(u16),
    /// The answer could not be decoded.
    #[error("table service gave a malformed answer")]
    Malformed,
    /// A batch was sent, and it is not known yet whether it took effect.
    #[error("it is not known yet whether the write took effect")]
    Undecided,
    /// The row with this key holds a value of the wrong form.
    #[error("row {0} is malformed")]
    Row(String),
}

impl Error {
    /// Returns whether a write that failed with this error certainly had no effect.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        *self == Self::Unreachable
    }
}

/// Applies a batch of writes completely or not at all.
pub type WriteCall = dyn Fn(&[Write]) -> Result<Outcome, Error> + Send + Sync;
/// Reads the row with a key.
pub type ReadCall = dyn Fn(&str) -> Result<Option<Row>, Error> + Send + Sync;
/// Reads, in the order of their keys, the rows whose key starts with the first argument and is
/// greater than the second. The service may return one page only.
pub type ScanCall = dyn Fn(&str, &str) -> Result<Vec<Row>, Error> + Send + Sync;

/// The calls of the table service, as closures so that an adapter can be replaced.
pub struct Calls {
    /// Applies a batch of writes completely or not at all.
    pub write: Box<WriteCall>,
    /// Reads the row with a key.
    pub read: Box<ReadCall>,
    /// Reads a page of the rows with a key prefix.
    pub scan: Box<ScanCall>,
}
