//! The store's clock as a process knows it from the answers of the store.
//!
//! The time of day differs between VMs and may be set at any time. The store's clock is steady and the
//! same for all processes, so spans that begin at one process and end at another are counted by it.

use std::time::Duration;

use crate::unit::{StoreTime, Time};

/// Time by which the clock may be ahead of what a reading in whole milliseconds and an elapsed time in
/// whole milliseconds add up to.
const ROUNDING_MS: u64 = 2;

/// The newest reading of the store's clock, continued by the clock of this process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    reading: Option<Reading>,
}

/// What an answer of the store says of its clock.
#[derive(Debug, Clone, Copy)]
struct Reading {
    time: StoreTime,
    /// When the call was sent, by the clock of this process.
    sent: Time,
    /// When the answer was received, by the clock of this process.
    received: Time,
}

/// Bounds of the store's time at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The store's time at the earliest. Late by the way of the answer, and by the time for which the
    /// process was suspended before it read the answer.
    pub earliest: StoreTime,
    /// The store's time at the latest. Ahead by the time that the call took.
    pub latest: StoreTime,
}

impl Clock {
    /// Records an answer to a call that was sent at `sent`. A reading of 0 means that the store gave
    /// none.
    ///
    /// Answers to calls of several threads may be recorded in any order, so one with an earlier reading
    /// is ignored, unless its call was sent after the newest answer: then the store's clock was reset.
    pub fn record(&mut self, sent: Time, received: Time, reading: StoreTime) {
        let is_newer = |known: Reading| reading >= known.time || sent > known.received;
        if reading != StoreTime(0) && self.reading.is_none_or(is_newer) {
            self.reading = Some(Reading { time: reading, sent, received });
        }
    }

    /// Returns the store's time; `None` before the first reading.
    #[must_use]
    pub fn at(&self, now: Time) -> Option<Bounds> {
        let Reading { time, sent, received } = self.reading?;
        let after = |span: Duration| {
            let elapsed_ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
            StoreTime(time.0.saturating_add(elapsed_ms))
        };
        let latest = after(now.since(sent));
        Some(Bounds {
            earliest: after(now.since(received)),
            latest: StoreTime(latest.0.saturating_add(ROUNDING_MS)),
        })
    }
}
