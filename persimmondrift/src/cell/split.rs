//! Splits the writes of a plan into batches that the store accepts.
//!
//! The batches are committed in the order of the plan, and the holder of the role may end between
//! any two of them, so each prefix of a plan has to be consistent; see [`planner`](super::planner).

use std::collections::VecDeque;

use super::job::Id;
use super::record::{self, PROGRESS_PREFIX};
use super::table::{MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, Table, Write};

/// Entries of the role row in each batch: a condition and a write.
const ROLE_ENTRIES: usize = 2;

/// Size limits of a batch.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of entries, conditions included.
    pub entries: usize,
    /// Maximum size of the call in bytes.
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { entries: MAX_BATCH_ENTRIES, bytes: MAX_BATCH_BYTES }
    }
}

/// The batches of a plan that are not committed yet.
#[derive(Debug)]
pub struct Queue {
    batches: VecDeque<Vec<Write>>,
}

/// A row that the store rejected by itself.
#[derive(Debug, PartialEq, Eq)]
pub struct Unwritable {
    /// Key of the row.
    pub key: String,
    /// Job that the row belongs to.
    pub job: Option<Id>,
    /// Size of its value in bytes.
    pub bytes: usize,
    /// Number of later rows of the same job that are left out with it.
    pub left_out: usize,
}

impl Queue {
    /// Splits the writes of a plan. A plan without writes is one batch that only renews the role.
    #[must_use]
    pub fn new(writes: Vec<Write>, limits: Limits) -> Self {
        let max_writes = limits.entries.saturating_sub(ROLE_ENTRIES).max(1);
        let mut batches = VecDeque::new();
        let (mut batch, mut bytes) = (Vec::new(), 0);
        for write in writes {
            let size = write.call_bytes();
            if !batch.is_empty() && (batch.len() >= max_writes || bytes + size > limits.bytes) {
                batches.push_back(std::mem::take(&mut batch));
                bytes = 0;
            }
            bytes += size;
            batch.push(write);
        }
        batches.push_back(batch);
        Self { batches }
    }

    /// Removes the next batch; `None` if all were committed.
    pub fn pop(&mut self) -> Option<Vec<Write>> {
        self.batches.pop_front()
    }

    /// Handles a batch that the store rejected for good: its halves come next. If it was a single
    /// row, that row and the later ones of its job are left out, since an order must not be written
    /// without the progress that counts its run.
    pub fn reject(&mut self, mut writes: Vec<Write>) -> Option<Unwritable> {
        if writes.len() > 1 {
            let second = writes.split_off(writes.len() / 2);
            self.batches.push_front(second);
            self.batches.push_front(writes);
            return None;
        }
        let row = writes.pop()?;
        let mut left_out = 0;
        let job = job_of(&row);
        if let Some(job) = job {
            for batch in &mut self.batches {
                let before = batch.len();
                batch.retain(|write| job_of(write) != Some(job));
                left_out += before - batch.len();
            }
            self.batches.retain(|batch| !batch.is_empty());
        }
        let bytes = row.value.map_or(0, |value| value.len());
        Some(Unwritable { key: row.key, job, bytes, left_out })
    }
}

/// Returns the job that a row of the planner belongs to.
fn job_of(write: &Write) -> Option<Id> {
    match write.table {
        Table::Orders => Some(record::parse_order_key(&write.key)?.1.job),
        _ => write.key.strip_prefix(PROGRESS_PREFIX)?.parse().ok(),
    }
}
