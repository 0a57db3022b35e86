//! Calls to the worker, on a thread of their own so that no other thread waits for it.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use super::Shared;
use crate::adapter::worker::{Renew, Start};
use crate::gang::Task;

/// Time a receive call waits before it looks whether the process stops.
const POLL: Duration = Duration::from_millis(100);

/// A call to the worker.
#[derive(Debug)]
pub enum Order {
    /// Starts a part.
    Start(Start),
    /// Renews the lease of a part.
    Renew(Renew),
    /// Stops a part.
    Stop(Task),
}

/// Carries out the orders until the process stops.
pub fn run(shared: &Arc<Shared>, orders: &Receiver<Order>) {
    while !shared.stops() {
        match orders.recv_timeout(POLL) {
            Ok(Order::Start(start)) => {
                if shared.worker.start(&start).is_err() {
                    let effects = shared.core().failed(start.task);
                    shared.perform(effects);
                }
            }
            // A renewal or stop that is lost is made up for by the worker's own timer.
            Ok(Order::Renew(renew)) => drop(shared.worker.renew(&renew)),
            Ok(Order::Stop(task)) => drop(shared.worker.stop(task)),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}
