//! Start, renew and stop calls to the worker, made on their own thread so that a slow worker blocks
//! no other thread.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use super::Shared;
use crate::adapter::worker::{Error, Renew, Start};
use crate::gang::{StartOutcome, Task};
use crate::place;
use crate::unit::{Millis, Time};

/// Interval between checks whether the process is stopping.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Lowest HTTP status of a server error, after which the call may have taken effect.
const MIN_SERVER_ERROR: u16 = 500;

/// A call to the worker.
#[derive(Debug)]
pub enum Order {
    Start {
        task: Task,
        /// The accelerators assigned to the part, one bit each.
        mask: u64,
        /// The end of the lease, by the agent's clock.
        until: Time,
        /// The requirements of the job.
        spec: place::Spec,
    },
    Renew {
        task: Task,
        /// The end of the lease, by the agent's clock.
        until: Time,
    },
    Stop(Task),
}

/// Executes orders until the process stops.
pub fn run(shared: &Arc<Shared>, orders: &Receiver<Order>) {
    while !shared.is_stopping() {
        match orders.recv_timeout(POLL_INTERVAL) {
            Ok(order) => execute(shared, order),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Executes one order. The remaining lease is computed at the call, so that time spent in the queue
/// does not extend the lease.
fn execute(shared: &Arc<Shared>, order: Order) {
    let effects = match order {
        Order::Start { task, mask, until, spec } => {
            let started = match remaining_lease(shared, until) {
                Some(lease) => {
                    start_outcome(shared.worker.start(&Start { task, mask, lease, spec }))
                }
                None => StartOutcome::Unknown,
            };
            let now = shared.now();
            shared.core().started(now, task, started)
        }
        // The next renewal makes up for a lost one; without any, the worker's own timer ends the
        // lease.
        Order::Renew { task, until } => {
            if let Some(lease) = remaining_lease(shared, until) {
                let _ = shared.worker.renew(&Renew { task, lease });
            }
            return;
        }
        Order::Stop(task) => {
            let confirmed = shared.worker.stop(task).is_ok();
            let now = shared.now();
            shared.core().stopped(now, task, confirmed)
        }
    };
    shared.perform(effects);
}

fn start_outcome(result: Result<(), Error>) -> StartOutcome {
    match result {
        Ok(()) => StartOutcome::Confirmed,
        Err(Error::Status(status)) if status < MIN_SERVER_ERROR => StartOutcome::Refused,
        Err(_) => StartOutcome::Unknown,
    }
}

/// Returns the remaining time of a lease, or `None` if less than a millisecond remains.
fn remaining_lease(shared: &Shared, until: Time) -> Option<Millis> {
    let remaining = until.since(shared.now());
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    (millis > 0).then_some(Millis(millis))
}
