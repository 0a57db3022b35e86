//! Request routing: chooses a target for each request by distance, load and health.

pub mod health;
pub mod index;
pub mod tier;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::admit::{Cause, Outcome, UnknownCause};
use crate::member::{Load, Location};
use crate::unit::{Boot, Bytes, Node, Service, Slots, Time};

pub use index::Index;

slotmap::new_key_type! {
    /// Identifies one incarnation of an agent in an [`Index`].
    pub struct Key;
}

/// Round-trip time that a request to another region adds.
pub const REMOTE_LATENCY: Duration = Duration::from_millis(60);
/// Wait within the region that is accepted to avoid sending one mebibyte to another region.
pub const REMOTE_COST_PER_MIB: Duration = Duration::from_millis(200);
/// Uptime of an agent below which its target receives a reduced share of requests.
pub const SLOW_START: Duration = Duration::from_secs(10);

/// How far a target is from the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone.
    Zone,
    /// In another availability zone of the same region.
    Region,
    /// In another region.
    Remote,
}

/// A target as described by its agent's announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetInfo {
    /// The node of the agent.
    pub node: Node,
    /// The incarnation of the agent.
    pub boot: Boot,
    /// The address at which the agent accepts calls.
    pub address: SocketAddr,
    /// The region, availability zone and rack of the target.
    pub place: Location,
    /// The service that the target offers.
    pub service: Service,
    /// Requests that the target runs at once.
    pub slots: Slots,
    /// The load last reported by the agent.
    pub load: Load,
    /// Whether the target accepts new requests.
    pub open: bool,
}

/// The target chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The key under which to record the outcome.
    pub key: Key,
    /// The node of the agent.
    pub node: Node,
    /// The incarnation of the agent.
    pub boot: Boot,
    /// The address at which the agent accepts calls.
    pub address: SocketAddr,
    /// The distance between the entry and the target.
    pub distance: Distance,
    /// Requests known to run or wait at the target, including this one.
    pub load: u32,
    /// Lower bound of the agent's uptime.
    pub uptime: Time,
}

/// What an outcome implies for the health of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The target answered normally.
    Good,
    /// The target failed or could not be reached.
    Bad,
    /// The target refuses new requests because it is leaving.
    Leaving,
    /// The outcome implies nothing about the target.
    Neutral,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No known target offers the service.
    #[error("no target offers this service")]
    NoTarget,
    /// All targets are leaving, ejected, silent, or excluded.
    #[error("no target takes new work")]
    NoneOpen,
}

impl fmt::Display for Distance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Zone => "zone",
            Self::Region => "region",
            Self::Remote => "remote",
        };
        f.write_str(text)
    }
}

/// Returns the distance between two places.
#[must_use]
pub fn distance(from: &Location, to: &Location) -> Distance {
    if from.zone == to.zone {
        Distance::Zone
    } else if from.region == to.region {
        Distance::Region
    } else {
        Distance::Remote
    }
}

/// Returns the wait that is accepted to keep a request of the given size in its region.
#[must_use]
pub fn remote_cost(size: Bytes) -> Duration {
    let micros = u64::try_from(REMOTE_COST_PER_MIB.as_micros()).unwrap_or(u64::MAX);
    REMOTE_LATENCY + Duration::from_micros(micros.saturating_mul(size.0) >> 20)
}

/// Returns the verdict that an outcome implies for its target.
#[must_use]
pub fn judge(outcome: &Outcome) -> Verdict {
    match outcome {
        Outcome::Answered(answer) if answer.status >= 500 => Verdict::Bad,
        Outcome::Answered(_) => Verdict::Good,
        Outcome::NotRun(Cause::Unreachable)
        | Outcome::Unknown(
            UnknownCause::Broken | UnknownCause::Timeout | UnknownCause::AgentLost,
        ) => Verdict::Bad,
        Outcome::NotRun(Cause::Leaving) => Verdict::Leaving,
        Outcome::NotRun(_) | Outcome::Unknown(_) => Verdict::Neutral,
    }
}
