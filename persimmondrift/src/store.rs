//! The platform's table service: conditional writes with an own id each.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::unit::{Mutation, Version};

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
    /// None was applied: a condition failed.
    Refused,
}

/// Why it is not known what became of a call.
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

/// Applies a batch of writes, and reads back what became of it when the answer is lost.
///
/// # Errors
///
/// Returns [`Error`] if it could not be found out; the caller may ask again with the same
/// mutation ids.
pub fn commit(calls: &Calls, writes: &[Write]) -> Result<Outcome, Error> {
    let Some(first) = writes.first() else {
        return Ok(Outcome::Applied);
    };
    match (calls.write)(writes) {
        Ok(Outcome::Applied) => Ok(Outcome::Applied),
        Err(Error::Unreachable) => Err(Error::Unreachable),
        // A refusal may be the second arrival of a write whose first answer was lost.
        Ok(Outcome::Refused) | Err(_) => {
            let row = (calls.read)(&first.key)?;
            let mutation = row.map(|row| row.mutation);
            if mutation == Some(first.mutation) {
                Ok(Outcome::Applied)
            } else {
                Ok(Outcome::Refused)
            }
        }
    }
}
