//! The order in which waiting groups get room.
//!
//! Answers bursts on workers that are already two thirds full: what is guaranteed comes first,
//! then the priority of the queue, then what has waited longest.

use std::cmp::Reverse;

/// What decides where a group stands in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Whether the workspace's guarantee covers it.
    pub guaranteed: bool,
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// Whether the job has begun: a later step frees no room by waiting.
    pub begun: bool,
    /// When the job was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
}

/// Returns the sort key of a claim: the least comes first.
#[must_use]
pub fn key(claim: Claim) -> (Reverse<bool>, u32, Reverse<bool>, u64) {
    (Reverse(claim.guaranteed), claim.priority, Reverse(claim.begun), claim.accepted_ms)
}
