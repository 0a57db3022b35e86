//! Rate limit of the table calls of one process, as token buckets.

use std::time::Duration;

use crate::unit::Time;

/// Rows that all entries together may write per second; a part of the platform's quota.
pub const WRITES_PER_SECOND: f64 = 300.0;
/// Reads that all entries together may make per second; a part of the platform's quota.
pub const READS_PER_SECOND: f64 = 1_500.0;
/// Capacity of a bucket, as the time in which it fills.
const BURST_SECONDS: f64 = 1.0;

/// The bucket that a call takes its tokens from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// One token for each read and each page of a scan.
    Read,
    /// One token for each written row.
    Write,
}

/// The token buckets for reads and writes. The caller passes the time and does the waiting.
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
    /// Creates full buckets for one of `entries` processes that share the quota.
    #[must_use]
    pub fn new(now: Time, entries: usize) -> Self {
        let mut throttle = Self { reads: Bucket::new(now), writes: Bucket::new(now) };
        throttle.set_entries(now, entries);
        throttle.reads.tokens = throttle.reads.rate;
        throttle.writes.tokens = throttle.writes.rate;
        throttle
    }

    /// Sets the number of entries that share the platform's quota.
    pub fn set_entries(&mut self, now: Time, entries: usize) {
        let entries = f64::from(u32::try_from(entries.max(1)).unwrap_or(u32::MAX));
        self.reads.refill(now);
        self.writes.refill(now);
        self.reads.rate = READS_PER_SECOND / entries;
        self.writes.rate = WRITES_PER_SECOND / entries;
    }

    /// Takes tokens, and returns how long to wait before the call.
    ///
    /// A bucket may go below zero: the next caller then waits longer, so calls are made in the
    /// order in which they took their tokens.
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
