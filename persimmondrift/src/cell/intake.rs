//! Durable acceptance and cancellation of jobs.
//!
//! A job's row is inserted on condition that it is absent. So an id is one job at whichever entry
//! it arrives, and a write that takes effect late changes nothing.

use std::thread;
use std::time::Duration;

use super::access::Queue;
use super::clock;
use super::job::Id;
use super::record::{self, Job};
use super::table::{Batch, CALL_TIMEOUT, Calls, Condition, Error, Outcome, Row, Table, Write};
use crate::unit::{Time, Version};

/// Pause between two attempts, so that a store that refuses calls is not overloaded.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Time after which a job is refused if the store keeps answering that nothing was done. Short, so
/// that the caller can try another entry within its own deadline.
const REFUSE_AFTER: Duration = Duration::from_millis(600);

/// Outcome of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// The job is stored.
    Accepted,
    /// The id was cancelled before the job arrived; it never runs.
    Barred,
    /// The job is not stored, and this submission can no longer store it.
    Refused,
    /// The job can never be stored, since its row is too large or otherwise invalid.
    Rejected,
    /// It is not known whether the job is stored.
    Unknown,
}

/// Outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancellation {
    /// The cancellation is stored.
    Cancelled,
    /// No such job exists, and none will be accepted under this id.
    Absent,
    /// The cancellation was not tried.
    Refused,
    /// It is not known whether the cancellation is stored.
    Unknown,
}

/// Stores a job. Returns the outcome by `deadline`, and the job's row if it is known.
#[must_use]
pub fn accept(calls: &Calls, id: Id, job: &Job, deadline: Time) -> (Acceptance, Option<Row>) {
    let key = record::job_key(id);
    let batch = conditional_write(&key, Version(0), job);
    if batch.writes.iter().any(|write| !write.fits_in_row()) {
        return (Acceptance::Rejected, None);
    }
    if (calls.unavailable)() {
        // Nothing was sent, so the job cannot run.
        return (Acceptance::Refused, None);
    }
    let begin = clock::now();
    let mut may_be_stored = false;
    loop {
        let left = deadline.since(clock::now());
        if left.is_zero() {
            return (if may_be_stored { Acceptance::Unknown } else { Acceptance::Refused }, None);
        }
        match (calls.commit)(&batch, left.min(CALL_TIMEOUT)) {
            Ok(Outcome::Applied(version)) => {
                return (Acceptance::Accepted, Some(written_row(&batch, version)));
            }
            Ok(Outcome::Refused(rows)) => return existing_acceptance(&rows, &key),
            Err(Error::NotDone) => {
                if !may_be_stored && clock::now().since(begin) >= REFUSE_AFTER {
                    return (Acceptance::Refused, None);
                }
                thread::sleep(RETRY_PAUSE);
            }
            Err(Error::Rejected) => return (Acceptance::Rejected, None),
            Err(_) => may_be_stored = true,
        }
    }
}

/// Returns the outcome of a submission whose row exists already.
fn existing_acceptance(rows: &[Row], key: &str) -> (Acceptance, Option<Row>) {
    let found = rows.iter().find(|row| row.key == key);
    let job: Option<Job> = found.and_then(|row| record::decode(row.value.as_deref()?));
    let acceptance = match job {
        Some(Job { request: Some(_), .. }) => Acceptance::Accepted,
        Some(_) => Acceptance::Barred,
        None => Acceptance::Unknown,
    };
    (acceptance, found.cloned())
}

/// Returns the outcome of a cancellation that the job's row holds; `None` if it holds none.
#[must_use]
pub fn stored_cancellation(job: &Job) -> Option<Cancellation> {
    let exists = job.request.is_some();
    job.cancelled.then_some(if exists { Cancellation::Cancelled } else { Cancellation::Absent })
}

/// Stores that a job is cancelled. Returns the outcome by `deadline`, and the job's row if it is
/// known.
///
/// An id without a job is barred, so that a submission in flight cannot become a job after the
/// caller was told that it does not exist.
#[must_use]
pub fn cancel(calls: &Calls, id: Id, deadline: Time) -> (Cancellation, Option<Row>) {
    let key = record::job_key(id);
    loop {
        let left = deadline.since(clock::now());
        if left.is_zero() {
            return (Cancellation::Unknown, None);
        }
        let row = match calls.get_within(Table::Jobs, &key, left) {
            Ok(row) => row,
            Err(Error::Rejected) => return (Cancellation::Unknown, None),
            Err(_) => {
                thread::sleep(RETRY_PAUSE);
                continue;
            }
        };
        let version = row.as_ref().map_or(Version(0), |row| row.version);
        let job: Option<Job> = row.as_ref().and_then(|row| record::decode(row.value.as_deref()?));
        if let Some(done) = job.as_ref().and_then(stored_cancellation) {
            return (done, row);
        }
        let known = job.as_ref().is_some_and(|job| job.request.is_some());
        let done = if known { Cancellation::Cancelled } else { Cancellation::Absent };
        let mut job = job.unwrap_or(Job {
            queue: Queue::default(),
            workspace: None,
            accepted_ms: clock::wall_ms(),
            accepted_at: None,
            cancelled: true,
            request: None,
        });
        job.cancelled = true;
        let batch = conditional_write(&key, version, &job);
        let left = deadline.since(clock::now()).min(CALL_TIMEOUT);
        match (calls.commit)(&batch, left) {
            Ok(Outcome::Applied(version)) => return (done, Some(written_row(&batch, version))),
            Ok(Outcome::Refused(_)) => {}
            Err(Error::Rejected) => return (Cancellation::Unknown, None),
            Err(_) => thread::sleep(RETRY_PAUSE),
        }
    }
}

fn conditional_write(key: &str, version: Version, job: &Job) -> Batch {
    let key = key.to_owned();
    Batch {
        conditions: vec![Condition { table: Table::Jobs, key: key.clone(), version }],
        writes: vec![Write { table: Table::Jobs, key, value: Some(record::encode(job)) }],
    }
}

/// Returns the row as a batch with one write has left it.
fn written_row(batch: &Batch, version: Version) -> Row {
    let write = &batch.writes[0];
    Row { table: write.table, key: write.key.clone(), version, value: write.value.clone() }
}
