//! The platform's table service: conditional writes with an own id each.

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
    /// Its key.
    pub key: String,
    /// Counts the writes of this key.
    pub version: Version,
    /// The write that it comes from.
    pub mutation: Mutation,
    /// Its value.
    pub value: Value,
}

/// A write of one row, on condition of its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The version that the row must have; 0 if it must not exist.
    pub expected: Version,
    /// The id of this write.
    pub mutation: Mutation,
    /// The new value.
    pub value: Value,
}

/// What became of a batch of writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// All were applied.
    Applied,
    /// None was applied, and none will be: a condition failed.
    Refused,
    /// Others have written all these rows since, so it cannot be found out any more whether
    /// these writes came before them. Either way they are no longer in force.
    Overtaken,
}

/// Why a call has no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The service could not be reached: nothing was done.
    #[error("table service cannot be reached")]
    Unreachable,
    /// No answer came: the write may have taken effect.
    #[error("table service gave no answer")]
    NoAnswer,
    /// The service answered with an error.
    #[error("table service answered with status {0}")]
    Status(u16),
    /// The answer is malformed.
    #[error("table service gave a malformed answer")]
    Malformed,
    /// A write was sent, and it is not known yet whether it took effect.
    #[error("it is not known yet whether the write took effect")]
    Undecided,
    /// A row holds a value that is not what its key stands for.
    #[error("row {0} is malformed")]
    Row(String),
}

impl Error {
    /// Returns whether it is sure that a write with this result had no effect.
    #[must_use]
    pub fn had_no_effect(&self) -> bool {
        *self == Self::Unreachable
    }
}

/// Applies all writes or none.
pub type WriteCall = dyn Fn(&[Write]) -> Result<Outcome, Error> + Send + Sync;
/// Reads one row.
pub type ReadCall = dyn Fn(&str) -> Result<Option<Row>, Error> + Send + Sync;
/// Reads, in order, the rows whose key starts with the first text and follows the second.
pub type ScanCall = dyn Fn(&str, &str) -> Result<Vec<Row>, Error> + Send + Sync;

/// The calls of the table service, so that an adapter of another shape can take their place.
pub struct Calls {
    /// Applies all writes or none.
    pub write: Box<WriteCall>,
    /// Reads one row.
    pub read: Box<ReadCall>,
    /// Reads a range of rows.
    pub scan: Box<ScanCall>,
}
