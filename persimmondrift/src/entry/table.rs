//! Calls to the table service, on a thread of their own, and the reading of new records.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::Shared;
use super::role::Try;
use crate::config::{Change, Record};
use crate::place::Outcome;
use crate::store::{self, Error, Row, Write};
use crate::unit::{Attempt, Epoch, Job, Mutation, Node, Operator, Plan, Version, Zone};

/// Pause between two reads of new records.
const POLL: Duration = Duration::from_millis(250);
/// Tries of a write that loses against others.
const TRIES: u32 = 8;
/// Name under which the system itself changes the configuration.
const SYSTEM: &str = "persimmon";
/// Prefix of the records' keys.
const RECORD_PREFIX: &str = "config/";

/// Work for the table service.
#[derive(Debug)]
pub enum Order {
    /// Takes the planner role of a zone.
    TakeRole {
        /// The zone.
        zone: Zone,
    },
    /// Writes an attempt before it starts.
    Record {
        /// The zone.
        zone: Zone,
        /// The epoch of its planner.
        epoch: Epoch,
        /// The attempt.
        task: Try,
    },
    /// Writes how a job ended.
    End {
        /// The job.
        job: Job,
        /// How it ended.
        outcome: Outcome,
    },
}

/// The row of a zone's planner role.
#[derive(Debug, Serialize, Deserialize)]
struct Lease {
    holder: Node,
    epoch: Epoch,
}

/// The row of a job's attempts.
#[derive(Debug, Serialize, Deserialize)]
struct Tried {
    attempt: Attempt,
    epoch: Epoch,
}

/// Carries out the orders and reads new records until the process stops.
pub fn run(shared: &Arc<Shared>, orders: &Receiver<Order>) {
    let mut polled = Instant::now();
    let mut failed = false;
    while !shared.stops() {
        let done = match orders.recv_timeout(POLL.saturating_sub(polled.elapsed())) {
            Ok(order) => carry_out(shared, order),
            Err(RecvTimeoutError::Timeout) => Ok(()),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let mut result = done;
        if polled.elapsed() >= POLL {
            polled = Instant::now();
            result = result.and(refresh(shared));
        }
        match result {
            Err(error) if !failed => {
                failed = true;
                crate::warn!(StoreFailed, "{error}");
            }
            Ok(()) if failed => {
                failed = false;
                crate::log!(StoreBack, "reads and writes go on");
            }
            _ => {}
        }
    }
}

fn carry_out(shared: &Shared, order: Order) -> Result<(), Error> {
    match order {
        Order::TakeRole { zone } => take_role(shared, &zone),
        Order::Record { zone, epoch, task } => {
            let written = record(shared, epoch, task);
            let now = shared.now();
            let ok = matches!(written, Ok(true));
            let effects = shared.core().recorded(now, &zone, task, ok);
            shared.perform(effects);
            written.map(|_| ())
        }
        Order::End { job, outcome } => {
            let change = Change::End { job, outcome };
            let result = end(shared, &change);
            if result.is_err() {
                // The end must not be lost: it is tried again until the table takes it.
                let _ = shared.work.send(Order::End { job, outcome });
            }
            result
        }
    }
}

/// Reads the records that are new here.
pub fn refresh(shared: &Shared) -> Result<(), Error> {
    let held = shared.core().config.version;
    let rows = (shared.table.scan)(RECORD_PREFIX, &key_of(held))?;
    let mut records = Vec::new();
    for row in rows {
        let record: Record = serde_json::from_value(row.value).map_err(|_| Error::Malformed)?;
        records.push(record);
    }
    if !records.is_empty() {
        let now = shared.now();
        let effects = shared.core().accept(now, records);
        shared.perform(effects);
    }
    Ok(())
}

/// Writes a record; refused if another one took its version.
pub fn append(shared: &Shared, record: &Record) -> Result<store::Outcome, Error> {
    let write = Write {
        key: key_of(record.version),
        expected: Version(0),
        mutation: record.mutation,
        value: serde_json::to_value(record).map_err(|_| Error::Malformed)?,
    };
    store::commit(&shared.table, &[write])
}

/// Returns a fresh id of a write.
pub fn mutation(shared: &Shared) -> Mutation {
    Mutation(shared.random().u64(1..))
}

fn key_of(version: Version) -> String {
    format!("{RECORD_PREFIX}{:020}", version.0)
}

fn end(shared: &Shared, change: &Change) -> Result<(), Error> {
    for _ in 0..TRIES {
        refresh(shared)?;
        let record = Record {
            version: shared.core().config.version.next(),
            plan: Plan(0),
            operator: Operator::try_from(SYSTEM).map_err(|_| Error::Malformed)?,
            mutation: mutation(shared),
            changes: vec![change.clone()],
        };
        if append(shared, &record)? == store::Outcome::Applied {
            return refresh(shared);
        }
    }
    Err(Error::NoAnswer)
}

fn take_role(shared: &Shared, zone: &Zone) -> Result<(), Error> {
    let key = format!("lease/{zone}");
    let row = (shared.table.read)(&key)?;
    let (expected, epoch) = match &row {
        Some(row) => (row.version, lease_of(row)?.epoch.next()),
        None => (Version(0), Epoch(1)),
    };
    let lease = Lease { holder: shared.settings.node.clone(), epoch };
    let value = serde_json::to_value(lease).map_err(|_| Error::Malformed)?;
    let write = Write { key, expected, mutation: mutation(shared), value };
    refresh(shared)?;
    if store::commit(&shared.table, &[write])? == store::Outcome::Applied {
        let now = shared.now();
        let effects = shared.core().role_taken(now, zone, epoch);
        shared.perform(effects);
    }
    Ok(())
}

fn lease_of(row: &Row) -> Result<Lease, Error> {
    serde_json::from_value(row.value.clone()).map_err(|_| Error::Malformed)
}

/// Writes an attempt; refused if the same or a later attempt stands there already.
fn record(shared: &Shared, epoch: Epoch, task: Try) -> Result<bool, Error> {
    let key = format!("attempt/{:020}", task.job.0);
    let row = (shared.table.read)(&key)?;
    let (expected, last) = match row {
        None => (Version(0), Attempt(0)),
        Some(row) => {
            let tried: Tried = serde_json::from_value(row.value).map_err(|_| Error::Malformed)?;
            (row.version, tried.attempt)
        }
    };
    if last >= task.attempt {
        return Ok(false);
    }
    let tried = Tried { attempt: task.attempt, epoch };
    let value = serde_json::to_value(tried).map_err(|_| Error::Malformed)?;
    let write = Write { key, expected, mutation: mutation(shared), value };
    Ok(store::commit(&shared.table, &[write])? == store::Outcome::Applied)
}
