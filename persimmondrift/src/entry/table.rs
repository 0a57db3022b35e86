//! Calls to the table service for planner roles and attempts, on a thread of their own.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use super::role::Try;
use super::{Shared, lease, log};
use crate::place::Outcome;
use crate::store::Error;
use crate::unit::{Epoch, Job, Mutation, Node, Time, Zone};

/// Longest pause between two looks whether the process stops.
const POLL: Duration = Duration::from_millis(250);

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

/// Carries out the orders until the process stops.
pub fn run(shared: &Arc<Shared>, orders: &Receiver<Order>) {
    let mut failed = false;
    while !shared.stops() {
        let done = match orders.recv_timeout(POLL) {
            Ok(order) => carry_out(shared, order).map(|()| true),
            Err(RecvTimeoutError::Timeout) => Ok(false),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        match done {
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

fn carry_out(shared: &Shared, order: Order) -> Result<(), Error> {
    match order {
        Order::TakeRole { zone } => lease::take_role(shared, &zone),
        Order::CheckRole { zone, epoch, asked } => lease::check_role(shared, &zone, epoch, asked),
        Order::Record { zone, epoch, task, nodes } => {
            lease::record(shared, &zone, epoch, task, nodes)
        }
        Order::End { job, outcome } => {
            let _ = shared.log.send(log::Order::End(job, outcome));
            Ok(())
        }
    }
}

/// Returns a fresh id of a write.
pub fn mutation(shared: &Shared) -> Mutation {
    Mutation(shared.random().u64(1..))
}
