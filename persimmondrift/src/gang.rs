//! All-or-nothing start of the parts of a job, and their shared lease.
//!
//! The planner prepares all parts, makes the attempt durable, then says go and renews.
//! The agent beside each worker holds the accelerators, starts on go, and stops the part
//! by itself when no renewal comes.
//!
//! Messages carry two clock readings: the sender's own, and the last one heard from the
//! peer. A lease counts on the agent's clock from a reading that the planner had heard before
//! it granted the lease, and a part counts as running at the time on the planner's clock at
//! which the command was sent that the agent has answered, less the time for which the worker
//! has said nothing. So a message that is late,
//! doubled or reordered cannot stretch a lease.

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

/// Time for which an agent holds accelerators without a go or a further prepare.
pub const HOLD: Millis = Millis(3_000);
/// Time for which a part runs after all parts of its attempt were last known to run.
pub const LEASE: Millis = Millis(10_000);
/// Time after the end of a lease by which the worker has surely stopped the part.
pub const STOP_GRACE: Duration = Duration::from_secs(2);
/// Pause between two renewals to one agent that answers.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before a renewal that was not answered is sent again.
pub const RENEW_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Pause before an unanswered command is sent again. For a stop it doubles up to
/// [`MAX_RESEND_INTERVAL`].
pub const RESEND_INTERVAL: Duration = Duration::from_millis(150);
/// Longest pause before a command is sent again, and before a hold is refreshed.
pub const MAX_RESEND_INTERVAL: Duration = Duration::from_secs(1);
/// Time given to all agents to hold the parts of an attempt.
pub const PREPARE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time given to the table service to take in an attempt.
pub const RECORD_TIMEOUT: Duration = Duration::from_secs(15);
/// Time given to all parts of an attempt to start.
pub const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Names one part of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    /// The job.
    pub job: Job,
    /// The attempt.
    pub attempt: Attempt,
    /// The part.
    pub part: Part,
}

/// The planner role that a command is given under.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Term {
    /// The availability zone that is planned.
    pub zone: Zone,
    /// The epoch of its planner.
    pub epoch: Epoch,
}

/// A reading of a process's clock, which only that process can interpret.
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
    /// Returns the reading as a time of the process that made it.
    #[must_use]
    pub fn time(self) -> Time {
        Time(self.0)
    }
}

/// What a planner tells an agent. Without directions it asks for all parts of the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The role it is given under.
    pub term: Term,
    /// The start of the agent that it is meant for.
    pub boot: Boot,
    /// The planner's clock.
    pub sent: Stamp,
    /// The agent's clock as last heard.
    pub echo: Stamp,
    /// What to do, part by part.
    pub directions: Vec<Direction>,
}

/// What an agent is to do with one part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Direction {
    /// The part it is about.
    pub task: Task,
    /// What to do.
    pub order: Order,
}

/// What an agent is to do with a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Hold the accelerators for a while.
    Prepare {
        /// The accelerators, one bit each.
        mask: u64,
        /// The time to hold them.
        hold: Millis,
        /// What the job needs, for the worker.
        spec: place::Spec,
    },
    /// Start the part, held before, under a lease. The end of the hold is the latest start.
    Go {
        /// The time, from the echoed clock, until the part stops without a renewal.
        lease: Millis,
    },
    /// Keep the part running.
    Renew {
        /// The time, from the echoed clock, until the part stops without a further renewal.
        lease: Millis,
    },
    /// Stop the part and free its accelerators.
    Stop,
}

/// What an agent tells the planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The start of the agent that sent it.
    pub boot: Boot,
    /// The highest epoch that the agent has seen for its zone.
    pub epoch: Epoch,
    /// The agent's clock.
    pub sent: Stamp,
    /// The planner's clock as last heard under that epoch.
    pub echo: Stamp,
    /// The longest time since the worker was known to run one of the running parts.
    pub age: Millis,
    /// Whether all parts of the agent are listed.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// The parts.
    pub holdings: Vec<Holding>,
}

impl Report {
    /// Returns the time, on the planner's clock, at which the running parts ran for sure.
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
    /// The worker is asked to start the part and has not confirmed it.
    Starting,
    /// The part runs.
    Running,
    /// The worker is asked to stop the part and has not confirmed it.
    Stopping,
    /// The part ended by itself, well.
    Finished,
    /// The part ended by itself, badly.
    Failed,
    /// The part does not run and will not run again in this attempt.
    Gone,
    /// The command was refused.
    Refused(Refused),
}

impl Phase {
    /// Returns whether the part does not run and will not run again in this attempt.
    #[must_use]
    pub fn is_over(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Gone)
    }
}

/// A part at its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The part.
    pub task: Task,
    /// The accelerators, one bit each; none if they are free.
    pub mask: u64,
    /// The state of the part.
    pub phase: Phase,
}
