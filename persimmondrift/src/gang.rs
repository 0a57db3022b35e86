//! All-or-nothing start of the parts of a job, and their shared lease.
//!
//! The planner prepares all parts, makes the attempt durable, then says go and renews.
//! The agent beside each worker holds the accelerators, starts on go, and stops the part
//! by itself when no renewal comes.

mod coordinator;
mod holder;

use serde::{Deserialize, Serialize};

use crate::place;
use crate::unit::{Attempt, Epoch, Job, Millis, Part, Zone};

pub use coordinator::{Coordinator, Effect, Ending};
pub use holder::{Action, Holder, Refused};

/// Time for which an agent holds accelerators without a go.
pub const HOLD: Millis = Millis(3_000);
/// Time for which a part runs without a renewal.
pub const LEASE: Millis = Millis(6_000);
/// Pause between two renewals, and between two sends of an unanswered command.
pub const RENEW_EVERY: Millis = Millis(1_000);
/// Pause before an unanswered prepare, go or stop is sent again.
pub const RESEND_AFTER: Millis = Millis(150);

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

/// What a planner tells an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Command {
    /// The role it is given under.
    pub term: Term,
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
    /// Start the part, held before, under a lease.
    Go {
        /// The time until the part stops without a renewal.
        lease: Millis,
    },
    /// Keep the part running.
    Renew {
        /// The time until the part stops without a further renewal.
        lease: Millis,
    },
    /// Stop the part and free its accelerators.
    Stop,
}

/// What an agent tells the planner about a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The part.
    pub task: Task,
    /// The highest epoch that the agent has seen for its zone.
    pub epoch: Epoch,
    /// The state of the part.
    pub phase: Phase,
}

/// The state of a part at its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The accelerators are held.
    Held,
    /// The part runs.
    Running,
    /// The part ended by itself, well.
    Finished,
    /// The part ended by itself, badly.
    Failed,
    /// The part does not run and will not run again in this attempt.
    Gone,
    /// The command was refused.
    Refused(Refused),
}

/// A part that a worker holds or runs, as announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The part.
    pub task: Task,
    /// The accelerators, one bit each.
    pub mask: u64,
    /// The state of the part.
    pub phase: Phase,
}
