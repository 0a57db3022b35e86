//! Trust in workers, judged by the outcome of the tasks on them.
//!
//! A broken worker may report that it is healthy while all tasks on it fail, hang or slow down.
//! Since it is soon empty again, it would attract all waiting tasks. So it is quarantined for a
//! while, and then gets one task at a time as a probe until a task succeeds.

use std::collections::HashMap;
use std::time::Duration;

use crate::unit::Time;

/// Faults without a success in between after which a worker is quarantined. More than one, since a
/// single failure is mostly the fault of the task.
const QUARANTINE_FAULTS: u32 = 2;
/// Duration of the first quarantine, doubled with each further fault. About as long as a short task
/// runs.
const FIRST_QUARANTINE: Duration = Duration::from_secs(3);
const MAX_QUARANTINE: Duration = Duration::from_secs(24);

/// The level of trust in a worker, from the highest to the lowest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trust {
    /// The worker gets work as usual.
    Full,
    /// The worker has had a fault, and gets work only if no fully trusted one can take it.
    Suspected,
    /// The quarantine is over, and the worker gets one task as a probe.
    Probed,
    /// The worker gets no work.
    Quarantined,
}

#[derive(Debug, Default)]
struct FaultRecord {
    faults: u32,
    quarantined_until: Time,
}

/// The recent faults of all workers.
#[derive(Debug, Default)]
pub struct Health {
    workers: HashMap<String, FaultRecord>,
}

impl Health {
    /// Records faults of an agent's worker.
    pub fn record_faults(&mut self, now: Time, agent: &str, faults: u32) {
        let record = self.workers.entry(agent.to_owned()).or_default();
        record.faults = record.faults.saturating_add(faults);
        let doublings = record.faults.saturating_sub(QUARANTINE_FAULTS).min(4);
        let quarantine = (FIRST_QUARANTINE * 2_u32.pow(doublings)).min(MAX_QUARANTINE);
        // Tasks that fail at the same moment are one event, so they do not each extend the
        // quarantine.
        record.quarantined_until = if now < record.quarantined_until {
            record.quarantined_until
        } else {
            now + quarantine
        };
    }

    /// Records that a task succeeded on an agent's worker, which restores full trust.
    pub fn record_success(&mut self, agent: &str) {
        self.workers.remove(agent);
    }

    /// Takes back faults of an agent's worker.
    pub fn take_back(&mut self, agent: &str, faults: u32) {
        if let Some(record) = self.workers.get_mut(agent) {
            record.faults = record.faults.saturating_sub(faults);
            if record.faults == 0 {
                self.workers.remove(agent);
            }
        }
    }

    /// Returns the number of faults of an agent's worker since its last success.
    #[must_use]
    pub fn faults(&self, agent: &str) -> u32 {
        self.workers.get(agent).map_or(0, |record| record.faults)
    }

    /// Returns how long the worker of an agent stays quarantined; zero if it is not quarantined.
    #[must_use]
    pub fn quarantine_left(&self, now: Time, agent: &str) -> Duration {
        let quarantined = self.trust_level(now, agent) == Trust::Quarantined;
        let until = self.workers.get(agent).map_or(now, |record| record.quarantined_until);
        if quarantined { until.since(now) } else { Duration::ZERO }
    }

    /// Returns the trust in an agent's worker.
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
