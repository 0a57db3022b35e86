//! Gang scheduling: starts the parts of a job all or nothing and keeps them under one shared
//! lease.
//!
//! The planner prepares all parts, records the attempt in the table, and then sends go and
//! renewals. The agent beside each worker holds the accelerators, starts its part on go, and stops
//! it by itself when no renewal arrives.
//!
//! Each message carries two clock readings: the sender's own, and the last one received from the
//! peer. The agent counts a lease from a reading of its own clock that the planner had received
//! before it granted the lease. The planner counts a part as running at the time it sent the
//! command that the agent answered, less the time since the worker last confirmed the part. A
//! late, duplicate or reordered message therefore cannot extend a lease.

mod coordinator;
mod holder;
mod peer;
mod tombstone;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::place;
use crate::unit::{Attempt, Boot, Epoch, Job, Millis, Part, Time, Zone};

pub use coordinator::{Coordinator, Effect, Ending, FoundPart};
pub use holder::{Action, Holder, Refused, StartOutcome};

/// Time for which an agent holds accelerators unless it receives a go or another prepare.
pub const HOLD: Millis = Millis(3_000);
/// Time for which a part keeps running after the last moment at which all parts of its attempt
/// were known to run.
pub const LEASE: Millis = Millis(10_000);
/// Time after the end of a lease by which the worker has certainly stopped the part.
pub const STOP_GRACE: Duration = Duration::from_secs(2);
/// Interval between renewals sent to an agent that answers.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between renewals sent to an agent that has not answered the last one.
pub const RENEW_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Pause before an unanswered command is sent again. For a stop it doubles up to
/// [`MAX_RESEND_INTERVAL`].
pub const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// Longest pause before a command is sent again; also the pause before a hold is refreshed.
pub const MAX_RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which all agents must hold their parts of an attempt.
pub const PREPARE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which the table service must confirm that an attempt is recorded.
pub const RECORD_TIMEOUT: Duration = Duration::from_secs(15);
/// Time within which all parts of an attempt must start.
pub const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Identifies one part of one attempt of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    /// The job, which keeps its number across attempts.
    pub job: Job,
    /// The attempt of the job, counted from 1.
    pub attempt: Attempt,
    /// The part within the attempt, counted from 0.
    pub part: Part,
}

/// The planner role under which a command is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// The availability zone of the planner.
    pub zone: Zone,
    /// The epoch of the planner, a fencing token: agents do not obey a lower one.
    pub epoch: Epoch,
}

/// A reading of the clock of one process; only that process can interpret it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Stamp(pub u64);

impl From<Time> for Stamp {
    fn from(time: Time) -> Self {
        Self(time.0)
    }
}

impl Stamp {
    /// Returns the reading as a time on the clock of the process that made it.
    #[must_use]
    pub fn time(self) -> Time {
        Time(self.0)
    }
}

/// A message from a planner to an agent. A command without directions asks for a report of all
/// parts of the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The role under which the command is sent.
    pub term: Term,
    /// The incarnation of the agent that the command is addressed to; others ignore it.
    pub boot: Boot,
    /// The planner's clock at sending.
    pub sent: Stamp,
    /// The agent's clock as last received by the planner.
    pub echo: Stamp,
    /// One direction for each part concerned.
    pub directions: Vec<Direction>,
}

/// An order for one part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Direction {
    /// The part that the order applies to.
    pub task: Task,
    /// The action that the agent takes for the part.
    pub order: Order,
}

/// An action that the planner requests for a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Hold the accelerators.
    Prepare {
        /// The accelerators, one bit each.
        mask: u64,
        /// Time to hold them.
        hold: Millis,
        /// Requirements of the job, passed to the worker.
        spec: place::Spec,
    },
    /// Start a held part under a lease. The part must start before its hold ends.
    Go {
        /// Time from the echoed clock reading until the part stops unless the lease is renewed.
        lease: Millis,
    },
    /// Extend the lease of the part.
    Renew {
        /// Time from the echoed clock reading until the part stops unless the lease is renewed
        /// again.
        lease: Millis,
    },
    /// Stop the part and free its accelerators.
    Stop,
}

/// A message from an agent to the planner about its parts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The incarnation of the agent that sent the report.
    pub boot: Boot,
    /// The highest epoch that the agent has seen for its zone.
    pub epoch: Epoch,
    /// The agent's clock at sending.
    pub sent: Stamp,
    /// The planner's clock as last received under that epoch.
    pub echo: Stamp,
    /// The longest time since the worker was last known to run one of the listed running parts.
    pub age: Millis,
    /// Whether the report lists all parts of the agent.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The listed parts.
    pub holdings: Vec<Holding>,
}

impl Report {
    /// Returns a lower bound, on the planner's clock, of the time at which the listed running
    /// parts ran.
    #[must_use]
    pub fn at(&self) -> Time {
        Time(self.echo.0.saturating_sub(self.age.0 * 1_000))
    }
}

/// The state of a part at its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The accelerators are held.
    Held,
    /// The worker was asked to start the part and has not confirmed it.
    Starting,
    /// The worker runs the part.
    Running,
    /// The worker was asked to stop the part and has not confirmed it.
    Stopping,
    /// The part ended by itself with success.
    Finished,
    /// The part failed, or the worker did not start it.
    Failed,
    /// The part does not run and will not run again in this attempt.
    Gone,
    /// The agent refused the command.
    Refused(Refused),
}

impl Phase {
    /// Returns whether the part does not run and will not run again in this attempt.
    #[must_use]
    pub fn is_over(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Gone)
    }
}

/// A part and its state at an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The part that the agent holds or has ended.
    pub task: Task,
    /// The accelerators, one bit each; 0 if they are free.
    pub mask: u64,
    /// The state of the part.
    pub phase: Phase,
}
