//! Workers that look sound and are not: judged by what becomes of the work on them.
//!
//! Answers the load of workers that fail, hang or slow down all that they start while they
//! report that they are well. Since such a worker is soon empty again, it would draw in all that
//! waits; so it gets nothing for a while, and then one task, until one is done.

use std::collections::HashMap;
use std::time::Duration;

use crate::unit::Time;

/// Events in a row after which a worker gets no work: a single failure is mostly the task's own.
const EVENTS_MOST: u32 = 2;
/// Time without work after that many events; twice as long after each further one. About as long
/// as a short task runs.
const REST_FIRST: Duration = Duration::from_secs(3);
/// Longest time without work.
const REST_MOST: Duration = Duration::from_secs(24);

/// How far a worker is trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trust {
    /// It gets work.
    Full,
    /// It gets work last.
    Doubted,
    /// It gets one task, to see whether it is sound again.
    Probed,
    /// It gets nothing.
    Resting,
}

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
    /// Takes note of events that speak against an agent's worker.
    pub fn suspect(&mut self, now: Time, agent: &str, events: u32) {
        let record = self.workers.entry(agent.to_owned()).or_default();
        record.events = record.events.saturating_add(events);
        let doublings = record.events.saturating_sub(EVENTS_MOST).min(4);
        let rest = (REST_FIRST * 2_u32.pow(doublings)).min(REST_MOST);
        // What fails in the same moment is one more event, not a longer rest each.
        record.until = if now < record.until { record.until } else { now + rest };
    }

    /// Takes note that a task was done on an agent's worker.
    pub fn trust(&mut self, agent: &str) {
        self.workers.remove(agent);
    }

    /// Returns how far an agent's worker is trusted.
    #[must_use]
    pub fn judge(&self, now: Time, agent: &str) -> Trust {
        match self.workers.get(agent) {
            None => Trust::Full,
            Some(record) if record.events < EVENTS_MOST => Trust::Doubted,
            Some(record) if now < record.until => Trust::Resting,
            Some(_) => Trust::Probed,
        }
    }
}
