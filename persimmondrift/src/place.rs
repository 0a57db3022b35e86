//! Placing of jobs on the accelerators of one availability zone.

mod claim;
mod estimate;
mod evict;
mod explain;
mod fit;
mod home;
mod ledger;
mod planner;
mod policy;
mod queue;
mod reserve;
mod start;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::unit::{
    Accelerators, Attempt, Cores, Job, Kind, Mebibytes, Millis, Node, Rack, Workspace, Zone,
};

pub use estimate::Estimates;
pub use explain::Wait;
pub use home::{Entitlement, GuaranteeStatus, Host, Unfit, pack};
pub use planner::Planner;
pub use policy::Policy;
pub use queue::Share;

/// How close the parts of a job must stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All on one worker.
    Worker,
    /// All in one rack.
    Rack,
    /// All in one availability zone.
    Zone,
}

/// Accelerators that are needed together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of parts, each on one worker.
    pub parts: u16,
    /// Accelerators of each part.
    pub accelerators: Accelerators,
    /// Cores of each part.
    #[serde(default)]
    pub cores: Cores,
    /// Memory of each part.
    #[serde(default)]
    pub memory: Mebibytes,
    /// How close the parts must stand.
    pub adjacency: Adjacency,
}

/// How urgent work is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Starts at once.
    Urgent,
    /// Somebody waits for it.
    Interactive,
    /// Can wait.
    Batch,
}

/// How a running job may be made to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Eviction {
    /// It can save its state and go on later.
    Checkpoint,
    /// It can be stopped and starts again from the beginning.
    Stop,
    /// It must run to its end.
    Never,
}

/// What a job needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The workspace it runs under.
    pub workspace: Workspace,
    /// The kind it is of.
    pub kind: Kind,
    /// The accelerators it needs.
    pub shape: Shape,
    /// How urgent it is.
    pub class: Class,
    /// How it may be made to leave.
    pub eviction: Eviction,
    /// The run time stated by its owner: a hint.
    pub run_ms: Millis,
    /// Whether it claims a guarantee of its workspace.
    #[serde(default)]
    pub claim: bool,
    /// The availability zone it must run in, if any.
    #[serde(default)]
    pub zone: Option<Zone>,
}

/// Where one part of a job runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// The node of the worker.
    pub node: Node,
    /// The accelerators, one bit each.
    pub mask: u64,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All parts ended well.
    Finished,
    /// The job itself is at fault.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let adjacency = match self.adjacency {
            Adjacency::Worker => "on one worker",
            Adjacency::Rack => "in one rack",
            Adjacency::Zone => "in the zone",
        };
        write!(f, "{} x {} accelerators {adjacency}", self.parts, self.accelerators)
    }
}

impl Shape {
    /// Returns the accelerators of all parts.
    #[must_use]
    pub fn total(&self) -> Accelerators {
        Accelerators(u32::from(self.parts) * self.accelerators.0)
    }

    /// Returns whether a place for this shape holds `other` too.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        self.parts >= other.parts
            && self.accelerators >= other.accelerators
            && self.cores >= other.cores
            && self.memory >= other.memory
            && self.adjacency <= other.adjacency
    }
}

/// A decision of the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Starts an attempt of a job, one allocation a part.
    Start {
        /// The job.
        job: Job,
        /// The attempt.
        attempt: Attempt,
        /// Where each part runs.
        allocations: Vec<Allocation>,
        /// The rack of the first part, and how the place was chosen.
        reason: Reason,
    },
    /// Stops an attempt.
    Stop {
        /// The job.
        job: Job,
        /// The attempt.
        attempt: Attempt,
        /// Why it is stopped.
        cause: Cause,
    },
    /// A guaranteed shape has no place on healthy workers any more.
    AtRisk {
        /// The workspace that holds the guarantee.
        workspace: Workspace,
        /// The shape.
        shape: Shape,
    },
    /// A guaranteed shape has a place again.
    Restored {
        /// The workspace that holds the guarantee.
        workspace: Workspace,
        /// The shape.
        shape: Shape,
    },
    /// A worker that fails what it starts gets no more work for a while.
    Quarantined {
        /// The node of the worker.
        node: Node,
    },
    /// A quarantined worker has finished a job and is used again.
    TakenBack {
        /// The node of the worker.
        node: Node,
    },
}

/// Why a place was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// It leaves the fewest accelerators of its rack unused.
    TightestRack(Rack),
    /// The parts did not fit into one rack.
    AcrossRacks,
    /// It is the place kept for a guarantee of the workspace.
    Guaranteed,
    /// Other attempts were stopped to make room.
    Evicted,
}

/// Why an attempt is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its owner cancelled it.
    Cancelled,
    /// A guarantee was claimed.
    Claimed,
    /// Urgent work needs its place.
    Urgent,
    /// A job that has waited long needs its place.
    Reserved,
    /// A worker of it was lost.
    WorkerLost,
}

/// What a zone has and what waits in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Workers known.
    pub workers: usize,
    /// Accelerators that no attempt holds.
    pub free: Accelerators,
    /// Jobs that wait.
    pub waiting: usize,
}
