//! Fault switches of a stand-in.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use rouille::Response;

/// Pause between two looks at a pause switch.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What goes wrong with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Refuses the call with status 503, without effect.
    Refuse,
    /// Answers after a delay.
    Delay(Duration),
    /// Carries out the call, then answers with status 504.
    LoseAnswer,
    /// Carries out nothing and answers with status 500.
    Fail,
    /// Does nothing until another fault, or none, is set.
    Pause,
}

/// The switch of one stand-in, shared by its threads.
#[derive(Debug, Clone, Default)]
pub struct Switch {
    fault: Arc<Mutex<Option<Fault>>>,
    script: Arc<Mutex<VecDeque<Option<Fault>>>>,
    calls: Arc<AtomicU64>,
    released: Arc<AtomicBool>,
}

impl Switch {
    /// Sets a fault, or none.
    pub fn set(&self, fault: Option<Fault>) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Sets what goes wrong with each of the next calls; after them the fault that is set holds.
    pub fn script(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        let mut script = self.script.lock().unwrap_or_else(PoisonError::into_inner);
        script.extend(faults);
    }

    /// Returns the number of calls that came in.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Ends all pauses for good.
    pub fn release(&self) {
        self.released.store(true, Ordering::Relaxed);
    }

    /// Carries out a call under the fault that is set.
    pub fn apply(&self, call: impl FnOnce() -> Response) -> Response {
        self.calls.fetch_add(1, Ordering::Relaxed);
        while self.get() == Some(Fault::Pause) && !self.released.load(Ordering::Relaxed) {
            thread::sleep(PAUSE_POLL_INTERVAL);
        }
        let next = self.script.lock().unwrap_or_else(PoisonError::into_inner).pop_front();
        match next.unwrap_or_else(|| self.get()) {
            None | Some(Fault::Pause) => call(),
            Some(Fault::Refuse) => Response::text("refused").with_status_code(503),
            Some(Fault::Fail) => Response::text("failed").with_status_code(500),
            Some(Fault::Delay(delay)) => {
                thread::sleep(delay);
                call()
            }
            Some(Fault::LoseAnswer) => {
                drop(call());
                Response::text("lost").with_status_code(504)
            }
        }
    }

    fn get(&self) -> Option<Fault> {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
