//! Choosing the target of a request.

pub mod health;
pub mod index;
pub mod tier;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::admit::{Cause, Outcome, UnknownCause};
use crate::member::{Load, Place};
use crate::unit::{Boot, Bytes, Node, Service, Slots, Time};

pub use index::Index;

slotmap::new_key_type! {
    /// Identifies one start of an agent in an [`Index`].
    pub struct Key;
}

/// Time that a request to another region and its answer spend on the way.
pub const REMOTE_LATENCY: Duration = Duration::from_millis(60);
/// Wait that is taken to save sending one mebibyte to another region.
pub const REMOTE_COST_PER_MIB: Duration = Duration::from_millis(200);
/// Uptime of an agent until which its target gets less than its full share.
pub const SLOW_START: Duration = Duration::from_secs(10);

/// How far a target is from the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone.
    Zone,
    /// In the same region.
    Region,
    /// In another region.
    Remote,
}

/// What is known of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetInfo {
    /// The node of its agent.
    pub node: Node,
    /// The start of its agent.
    pub boot: Boot,
    /// The address of its agent.
    pub address: SocketAddr,
    /// Where it stands.
    pub place: Place,
    /// The service that it offers.
    pub service: Service,
    /// Requests that it serves at once.
    pub slots: Slots,
    /// How busy it is.
    pub load: Load,
    /// Whether it takes new work.
    pub open: bool,
}

/// A chosen target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub key: Key,
    /// The node of its agent.
    pub node: Node,
    /// The start of its agent.
    pub boot: Boot,
    /// The address of its agent.
    pub address: SocketAddr,
    /// Its distance.
    pub distance: Distance,
    /// Requests that run and wait there, as far as known, this one included.
    pub load: u32,
    /// The uptime of its agent, at least.
    pub uptime: Time,
}

/// What an outcome says of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It serves.
    Good,
    /// It fails.
    Bad,
    /// It takes nothing new.
    Leaving,
    /// Nothing.
    Neutral,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No target offers the service.
    #[error("no target offers this service")]
    NoTarget,
    /// All targets are leaving, silent or excluded.
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
pub fn distance(from: &Place, to: &Place) -> Distance {
    if from.zone == to.zone {
        Distance::Zone
    } else if from.region == to.region {
        Distance::Region
    } else {
        Distance::Remote
    }
}

/// Returns the wait that is taken to keep a request of some size in its region.
#[must_use]
pub fn remote_cost(size: Bytes) -> Duration {
    let micros = u64::try_from(REMOTE_COST_PER_MIB.as_micros()).unwrap_or(u64::MAX);
    REMOTE_LATENCY + Duration::from_micros(micros.saturating_mul(size.0) >> 20)
}

/// Returns what an outcome says of its target.
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
