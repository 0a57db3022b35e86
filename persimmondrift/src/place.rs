//! Placement of jobs on the accelerators of one availability zone.
//!
//! [`Planner`] holds the state of a zone. Each step returns the [`Effect`]s to carry out: attempts
//! to start and to stop, and changes of guarantees and worker health to report.

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

/// How close to each other the parts of a job must run.
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

/// Resources that a job needs at the same time (gang scheduling).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of parts, each on one worker.
    pub parts: u16,
    /// Accelerators per part.
    pub accelerators: Accelerators,
    /// CPU cores per part.
    #[serde(default)]
    pub cores: Cores,
    /// Memory per part.
    #[serde(default)]
    pub memory: Mebibytes,
    /// How close to each other the parts must run.
    pub adjacency: Adjacency,
}

/// Priority class of a job or request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Starts at once; evicts other work if necessary.
    Urgent,
    /// A user waits for the result.
    Interactive,
    /// Runs when there is room.
    Batch,
}

/// How a running job may be evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Eviction {
    /// It saves its state when stopped and resumes later.
    Checkpoint,
    /// It can be stopped, but starts again from the beginning.
    Stop,
    /// It is never evicted.
    Never,
}

/// A submitted job, as its owner describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Workspace that is charged for the accelerators.
    pub workspace: Workspace,
    /// Owner's name for jobs of similar run time; estimates are kept by workspace and kind.
    pub kind: Kind,
    /// Resources it needs and how close together.
    pub shape: Shape,
    /// Priority class.
    pub class: Class,
    /// How it may be evicted.
    pub eviction: Eviction,
    /// Run time declared by the owner; corrected by [`Estimates`], not enforced.
    pub run_ms: Millis,
    /// Whether it claims a guarantee of its workspace, which evicts borrowers.
    #[serde(default)]
    pub claim: bool,
    /// Availability zone it runs in; chosen when the intent is planned, if unstated.
    #[serde(default)]
    pub zone: Option<Zone>,
}

/// The accelerators of one worker that are allocated to a part of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// Node of the worker.
    pub node: Node,
    /// Accelerators of the worker, one bit each.
    pub mask: u64,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All parts succeeded.
    Finished,
    /// The job itself is at fault.
    Failed,
    /// Its owner cancelled it.
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

    /// Returns whether any place that holds this shape also holds `other`.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        self.parts >= other.parts
            && self.accelerators >= other.accelerators
            && self.cores >= other.cores
            && self.memory >= other.memory
            && self.adjacency <= other.adjacency
    }
}

/// A decision of the planner that its caller carries out or reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Starts an attempt of a job.
    Start {
        /// Job to start.
        job: Job,
        /// Number of the attempt; each attempt of a job has a higher one.
        attempt: Attempt,
        /// One allocation per part, in the order of the parts.
        allocations: Vec<Allocation>,
        /// Why this place was chosen.
        reason: Reason,
    },
    /// Stops an attempt; its accelerators stay allocated until it has been released.
    Stop {
        /// Job of the attempt.
        job: Job,
        /// Number of the attempt to stop.
        attempt: Attempt,
        /// Why it is stopped.
        cause: Cause,
    },
    /// A guaranteed shape no longer fits on the healthy workers.
    AtRisk {
        /// Workspace that holds the guarantee.
        workspace: Workspace,
        /// Guaranteed shape.
        shape: Shape,
    },
    /// A guaranteed shape that was at risk fits again.
    Restored {
        /// Workspace that holds the guarantee.
        workspace: Workspace,
        /// Guaranteed shape.
        shape: Shape,
    },
    /// A worker at which jobs keep failing gets no work for the length of its quarantine.
    Quarantined {
        /// Node of the worker.
        node: Node,
    },
    /// A quarantined worker has finished a probe job and gets work again.
    TakenBack {
        /// Node of the worker.
        node: Node,
    },
}

/// Why a job was placed where it was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// Of the racks that hold the shape, this one offers the fewest accelerators (best fit).
    TightestRack(Rack),
    /// No single rack holds all parts.
    AcrossRacks,
    /// It is the placement of a guarantee of the workspace.
    Guaranteed,
    /// Other attempts were evicted to make room.
    Evicted,
}

/// Why an attempt is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its owner cancelled it.
    Cancelled,
    /// A guarantee placed on its accelerators was claimed.
    Claimed,
    /// An urgent job is assigned its place.
    Urgent,
    /// Its place is assigned to a job that has waited long, or to a much shorter one.
    Reserved,
    /// A worker that ran one of its parts was lost.
    WorkerLost,
}

/// Load of a zone, as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Workers that are members, including closed and quarantined ones.
    pub workers: usize,
    /// Accelerators that are neither held, assigned nor blocked by a lease.
    pub free: Accelerators,
    /// Jobs that wait for a place or for others to leave it.
    pub waiting: usize,
}
