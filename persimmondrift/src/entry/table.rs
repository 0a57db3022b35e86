//! Calls to the table service for planner roles and attempts, on a thread of their own.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use super::role::AttemptId;
use super::{Shared, lease, log};
use crate::place::Outcome;
use crate::store::Error;
use crate::unit::{Epoch, Job, Mutation, Node, Time, Zone};

/// Longest pause between two looks whether the process stops.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Work for the table service.
#[derive(Debug)]
pub enum Operation {
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
        attempt_id: AttemptId,
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
        asked_at: Time,
    },
    /// Writes how a job ended.
    End {
        /// The job.
        job: Job,
        /// How it ended.
        outcome: Outcome,
    },
}

/// Carries out the orders until the process stops.
pub fn run(shared: &Arc<Shared>, operations: &Receiver<Operation>) {
    let mut failed = false;
    while !shared.is_stopping() {
        let result = match operations.recv_timeout(POLL_INTERVAL) {
            Ok(operation) => execute(shared, operation).map(|()| true),
            Err(RecvTimeoutError::Timeout) => Ok(false),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        match result {
            Err(error) if !std::mem::replace(&mut failed, true) => {
                crate::warn!(StoreFailed, "{error}");
            }
            Ok(true) if std::mem::take(&mut failed) => {
                crate::log!(StoreBack, "reads and writes go on");
            }
            _ => {}
        }
    }
}

fn execute(shared: &Shared, operation: Operation) -> Result<(), Error> {
    match operation {
        Operation::TakeRole { zone } => lease::take_role(shared, &zone),
        Operation::CheckRole { zone, epoch, asked_at } => {
            lease::check_role(shared, &zone, epoch, asked_at)
        }
        Operation::Record { zone, epoch, attempt_id, nodes } => {
            lease::record_attempt(shared, &zone, epoch, attempt_id, nodes)
        }
        Operation::End { job, outcome } => {
            let _ = shared.log_queue.send(log::Operation::End(job, outcome));
            Ok(())
        }
    }
}

/// Returns a fresh id of a write.
pub fn new_mutation(shared: &Shared) -> Mutation {
    Mutation(shared.random().u64(1..))
}
