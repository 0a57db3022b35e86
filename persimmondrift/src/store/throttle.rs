//! The budget of reads and writes a second that one process may spend.

use std::time::Duration;

use crate::unit::Time;

/// Writes a second that all entries may spend together: part of the platform's allowance.
pub const WRITES_PER_SECOND: f64 = 300.0;
/// Reads a second that all entries may spend together: part of the platform's allowance.
pub const READS_PER_SECOND: f64 = 1_500.0;
/// Time whose tokens may be spent at once.
const BURST_SECONDS: f64 = 1.0;

/// What a call costs a token of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A read or a page of a scan.
    Read,
    /// A written row.
    Write,
}

/// Two token buckets, without a clock.
#[derive(Debug, Clone)]
pub struct Throttle {
    reads: Bucket,
    writes: Bucket,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    rate: f64,
    tokens: f64,
    refilled_at: Time,
}

impl Throttle {
    /// Creates the budget of one of a number of entries.
    #[must_use]
    pub fn new(now: Time, entries: usize) -> Self {
        let mut throttle = Self { reads: Bucket::new(now), writes: Bucket::new(now) };
        throttle.set_entries(now, entries);
        throttle.reads.tokens = throttle.reads.rate;
        throttle.writes.tokens = throttle.writes.rate;
        throttle
    }

    /// Takes in how many entries share the platform's allowance.
    pub fn set_entries(&mut self, now: Time, entries: usize) {
        let entries = f64::from(u32::try_from(entries.max(1)).unwrap_or(u32::MAX));
        self.reads.refill(now);
        self.writes.refill(now);
        self.reads.rate = READS_PER_SECOND / entries;
        self.writes.rate = WRITES_PER_SECOND / entries;
    }

    /// Spends tokens, and returns how long to wait before the call.
    ///
    /// Tokens that are not there yet are borrowed: the wait of the next caller is longer, so
    /// calls go out in the order in which they ask.
    pub fn spend(&mut self, now: Time, kind: Kind, tokens: u32) -> Duration {
        let bucket = match kind {
            Kind::Read => &mut self.reads,
            Kind::Write => &mut self.writes,
        };
        bucket.refill(now);
        bucket.tokens -= f64::from(tokens);
        let missing = (-bucket.tokens).max(0.0);
        Duration::from_secs_f64(missing / bucket.rate)
    }
}

impl Bucket {
    fn new(now: Time) -> Self {
        Self { rate: 1.0, tokens: 0.0, refilled_at: now }
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.rate * BURST_SECONDS);
        self.refilled_at = self.refilled_at.max(now);
    }
}
