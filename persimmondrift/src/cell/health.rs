//! Workers that look sound and are not: judged by what becomes of the work on them.
//!
//! Answers the load of workers that fail, hang or slow down all that they start while they
//! report that they are well. A suspected worker is placed on last instead of never, so that
//! work goes on when all are suspected.

use std::collections::HashMap;
use std::time::Duration;

use crate::unit::Time;

/// Time for which a worker is suspected after the first event; twice as long after each further
/// one. About as long as a short task runs, so that a sound worker is back soon.
const SUSPECT_FOR: Duration = Duration::from_secs(5);
/// Longest time for which a worker is suspected.
const SUSPECT_MOST: Duration = Duration::from_secs(40);

#[derive(Debug, Default)]
struct Record {
    events: u32,
    until: Time,
}

/// What is suspected of which worker.
#[derive(Debug, Default)]
pub struct Health {
    workers: HashMap<String, Record>,
}

impl Health {
    /// Takes note that a task failed or hung on an agent's worker.
    pub fn suspect(&mut self, now: Time, agent: &str) {
        let record = self.workers.entry(agent.to_owned()).or_default();
        record.events = record.events.saturating_add(1);
        let span = SUSPECT_FOR * 2_u32.saturating_pow((record.events - 1).min(4));
        record.until = record.until.max(now + span.min(SUSPECT_MOST));
    }

    /// Takes note that a task was done on an agent's worker.
    pub fn trust(&mut self, agent: &str) {
        self.workers.remove(agent);
    }

    /// Returns how many events count against an agent's worker now.
    #[must_use]
    pub fn suspicion(&self, now: Time, agent: &str) -> u32 {
        let record = self.workers.get(agent).filter(|record| now < record.until);
        record.map_or(0, |record| record.events)
    }
}
