//! Calls to the table service, on a thread of their own, and the reading of new records.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use super::role::Try;
use super::{Shared, lease};
use crate::config::{Change, Record};
use crate::place::Outcome;
use crate::store::{self, Error, Write};
use crate::unit::{Epoch, Job, Mutation, Node, Operator, Plan, Time, Version, Zone};

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
        /// The nodes of its parts.
        nodes: Vec<Node>,
    },
    /// Reads whether the planner role of a zone is still held under an epoch.
    CheckRole {
        /// The zone.
        zone: Zone,
        /// The epoch.
        epoch: Epoch,
        /// When it was asked for.
        asked: Time,
    },
    /// Writes how a job ended.
    End {
        /// The job.
        job: Job,
        /// How it ended.
        outcome: Outcome,
    },
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
        Order::TakeRole { zone } => lease::take_role(shared, &zone),
        Order::CheckRole { zone, epoch, asked } => lease::check_role(shared, &zone, epoch, asked),
        Order::Record { zone, epoch, task, nodes } => {
            lease::record(shared, &zone, epoch, task, nodes)
        }
        // The role asks again until the end stands in the table.
        Order::End { job, outcome } => end(shared, job, outcome),
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

fn end(shared: &Shared, job: Job, outcome: Outcome) -> Result<(), Error> {
    for _ in 0..TRIES {
        refresh(shared)?;
        if !shared.core().config.jobs.contains_key(&job) {
            return Ok(());
        }
        let record = Record {
            version: shared.core().config.version.next(),
            plan: Plan(0),
            operator: Operator::try_from(SYSTEM).map_err(|_| Error::Malformed)?,
            mutation: mutation(shared),
            changes: vec![Change::End { job, outcome }],
        };
        if append(shared, &record)? == store::Outcome::Applied {
            return refresh(shared);
        }
    }
    Err(Error::NoAnswer)
}
