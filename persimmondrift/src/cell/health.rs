//! Workers that look sound and are not: judged by what becomes of the work on them.
//!
//! Answers the load of workers that fail, hang or slow down all that they start while they
//! report that they are well. Since such a worker is soon empty again, it would draw in all that
//! waits; so it gets nothing for a while, and then one task, until one is done.

use std::collections::HashMap;
use std::time::Duration;

use crate::unit::Time;

/// Events in a row after which a worker gets no work: a single failure is mostly the task's own.
const QUARANTINE_FAULTS: u32 = 2;
/// Time without work after that many events; twice as long after each further one. About as long
/// as a short task runs.
const FIRST_QUARANTINE: Duration = Duration::from_secs(3);
/// Longest time without work.
const MAX_QUARANTINE: Duration = Duration::from_secs(24);

/// How far a worker is trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trust {
    /// It gets work.
    Full,
    /// It gets work last.
    Suspected,
    /// It gets one task, to see whether it is sound again.
    Probed,
    /// It gets nothing.
    Quarantined,
}

#[derive(Debug, Default)]
struct FaultRecord {
    faults: u32,
    quarantined_until: Time,
}

/// What is suspected of which worker.
#[derive(Debug, Default)]
pub struct Health {
    workers: HashMap<String, FaultRecord>,
}

impl Health {
    /// Takes note of events that speak against an agent's worker.
    pub fn record_faults(&mut self, now: Time, agent: &str, faults: u32) {
        let record = self.workers.entry(agent.to_owned()).or_default();
        record.faults = record.faults.saturating_add(faults);
        let doublings = record.faults.saturating_sub(QUARANTINE_FAULTS).min(4);
        let quarantine = (FIRST_QUARANTINE * 2_u32.pow(doublings)).min(MAX_QUARANTINE);
        // What fails in the same moment is one more event, not a longer rest each.
        record.quarantined_until = if now < record.quarantined_until {
            record.quarantined_until
        } else {
            now + quarantine
        };
    }

    /// Takes note that a task was done on an agent's worker.
    pub fn record_success(&mut self, agent: &str) {
        self.workers.remove(agent);
    }

    /// Returns how far an agent's worker is trusted.
    #[must_use]
    pub fn trust_level(&self, now: Time, agent: &str) -> Trust {
        match self.workers.get(agent) {
            None => Trust::Full,
            Some(record) if record.faults < QUARANTINE_FAULTS => Trust::Suspected,
            Some(record) if now < record.quarantined_until => Trust::Quarantined,
            Some(_) => Trust::Probed,
        }
    }
}
