//! Fault injection for the HTTP stand-ins.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use persimmondrift::adapter::Response;

/// Interval at which a paused call checks whether the pause is over.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A fault of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Refuses the call with status 503, without effect.
    Refuse,
    /// Carries out the call after a delay.
    Delay(Duration),
    /// Carries out the call and answers with status 504, as a gateway does if the answer is lost.
    LoseAnswer,
    /// Answers with status 500, without effect.
    Fail,
    /// Holds the call until another fault, or none, is set. Without effect in a script.
    Pause,
}

/// Selects the faults of one stand-in. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct Switch {
    fault: Arc<Mutex<Option<Fault>>>,
    script: Arc<Mutex<VecDeque<Option<Fault>>>>,
    calls: Arc<AtomicU64>,
    released: Arc<AtomicBool>,
}

impl Switch {
    /// Sets the fault of all further calls, or none.
    pub fn set(&self, fault: Option<Fault>) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Queues faults for the next calls, one each. They take precedence over the fault that is set,
    /// except over a pause.
    pub fn script(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        let mut script = self.script.lock().unwrap_or_else(PoisonError::into_inner);
        script.extend(faults);
    }

    /// Returns the number of calls received, those with faults included.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Ends all pauses, also later ones, so that the stand-in can stop.
    pub fn release(&self) {
        self.released.store(true, Ordering::Relaxed);
    }

    /// Carries out a call with the next queued fault, or else the fault that is set.
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
