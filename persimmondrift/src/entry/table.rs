//! The thread that makes the table calls for planner roles and attempts, so that no other thread
//! blocks on them.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use super::role::AttemptId;
use super::{Shared, lease, log};
use crate::place::Outcome;
use crate::store::Error;
use crate::unit::{Epoch, Job, Mutation, Node, Time, Zone};

/// Longest wait for an operation before the stop flag is checked again.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// An operation on the planner roles or the attempts in the table.
#[derive(Debug)]
pub enum Operation {
    /// Takes the planner role of a zone.
    TakeRole {
        /// The zone of the role.
        zone: Zone,
    },
    /// Writes an attempt before it starts.
    Record {
        /// The zone of the planner.
        zone: Zone,
        /// The planner's epoch.
        epoch: Epoch,
        /// The attempt to write.
        attempt_id: AttemptId,
        /// The nodes of the parts, in the order of the parts.
        nodes: Vec<Node>,
    },
    /// Reads whether this process still holds the planner role of a zone under an epoch.
    CheckRole {
        /// The zone of the role.
        zone: Zone,
        /// The epoch under which the role was taken.
        epoch: Epoch,
        /// When the role asked for the check; identifies the check.
        asked_at: Time,
    },
    /// Passes the outcome of a job to the log thread, which writes it.
    End {
        /// The job that ended.
        job: Job,
        /// The outcome to write.
        outcome: Outcome,
    },
}

/// Executes operations until the process stops.
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
                crate::log!(StoreBack, "calls to the table service succeed again");
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

/// Returns a random id for a write.
pub fn new_mutation(shared: &Shared) -> Mutation {
    Mutation(shared.random().u64(1..))
}
