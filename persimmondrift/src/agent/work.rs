//! Calls to the worker, on a thread of their own so that no other thread waits for it.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use super::Shared;
use crate::adapter::worker::{Error, Renew, Start};
use crate::gang::{StartOutcome, Task};
use crate::place;
use crate::unit::{Millis, Time};

/// Time a receive call waits before it looks whether the process stops.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// First status of an error of the worker itself: the call may have taken effect.
const MIN_SERVER_ERROR: u16 = 500;

/// A call to the worker.
#[derive(Debug)]
pub enum Order {
    /// Starts a part.
    Start {
        /// The part.
        task: Task,
        /// The accelerators, one bit each.
        mask: u64,
        /// The end of the lease.
        until: Time,
        /// What the job needs.
        spec: place::Spec,
    },
    /// Renews the lease of a part.
    Renew {
        /// The part.
        task: Task,
        /// The end of the lease.
        until: Time,
    },
    /// Stops a part.
    Stop(Task),
}

/// Carries out the orders until the process stops.
pub fn run(shared: &Arc<Shared>, orders: &Receiver<Order>) {
    while !shared.is_stopping() {
        match orders.recv_timeout(POLL_INTERVAL) {
            Ok(order) => execute(shared, order),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// The lease is worked out at the call, so that an order that waited does not stretch it.
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
        // A renewal that is lost is made up for by the next one, or the worker's own timer.
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

/// Returns what is left of a lease, if anything.
fn remaining_lease(shared: &Shared, until: Time) -> Option<Millis> {
    let remaining = until.since(shared.now());
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    (millis > 0).then_some(Millis(millis))
}
