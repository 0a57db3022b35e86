//! Explains to operators why a job waits.

use std::fmt;
use std::time::Duration;

use super::planner::{Planner, State};
use super::{Eviction, Shape, fit};
use crate::unit::{Accelerators, Attempt, Job, Time, Workspace};

/// The state of a job, or the reason why it does not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Wait {
    /// The attempt runs, or has been asked to stop and still holds its place.
    Running(Attempt),
    /// It is assigned a place that other jobs have not left yet.
    Leaving {
        /// Shape of the job.
        shape: Shape,
        /// Jobs that still hold the place.
        jobs: usize,
    },
    /// The workers of this zone cannot hold the shape, even when empty.
    Impossible(Shape),
    /// It would exceed the limit of its workspace.
    Quota {
        /// Workspace of the job.
        workspace: Workspace,
        /// Accelerators that the workspace holds.
        used: u32,
        /// Accelerators that the workspace may hold.
        limit: Accelerators,
    },
    /// Time until the next attempt may start, after a lost attempt or as a backoff.
    Pause(Duration),
    /// It cannot be evicted, and the accelerators that are free are kept for guarantees.
    Guarantees(Shape),
    /// It holds a reservation.
    Reserved {
        /// Shape of the job.
        shape: Shape,
        /// Expected time until it starts.
        after: Duration,
    },
    /// Too few accelerators are free, or they are not close enough together.
    Capacity {
        /// Shape of the job.
        shape: Shape,
        /// Free accelerators in the zone.
        free: Accelerators,
        /// Expected time until it fits if no other job starts; none if it is not known.
        after: Option<Duration>,
    },
}

impl fmt::Display for Wait {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Running(attempt) => write!(f, "runs as attempt {attempt}"),
            Self::Leaving { shape, jobs } => {
                write!(f, "{shape}: waits for {jobs} jobs to leave its place")
            }
            Self::Impossible(shape) => write!(f, "{shape}: no workers of this zone hold it"),
            Self::Quota { workspace, used, limit } => {
                write!(f, "workspace {workspace} holds {used} of {limit} accelerators")
            }
            Self::Pause(left) => {
                write!(f, "the attempt before must be over, {} s", left.as_secs_f64())
            }
            Self::Guarantees(shape) => {
                write!(f, "{shape}: what is free is kept for guarantees")
            }
            Self::Reserved { shape, after } => {
                write!(f, "{shape}: reserved, expected in {} s", after.as_secs())
            }
            Self::Capacity { shape, free, after: Some(after) } => {
                write!(f, "{shape}: {free} are free, expected in {} s", after.as_secs())
            }
            Self::Capacity { shape, free, after: None } => {
                write!(f, "{shape}: {free} are free, not expected soon")
            }
        }
    }
}

impl Planner {
    /// Returns why a job waits, or `None` if the planner does not know the job.
    #[must_use]
    pub fn explain(&self, now: Time, job: Job) -> Option<Wait> {
        let entry = self.jobs.get(&job)?;
        let shape = entry.spec.shape;
        match entry.state {
            State::Running | State::Leaving => return Some(Wait::Running(entry.attempt)),
            State::Assigned => {
                let jobs = self.victims(&entry.slots, &entry.spec).unwrap_or_default().len();
                return Some(Wait::Leaving { shape, jobs });
            }
            State::Waiting => {}
        }
        let all = fit::find(&self.ledger, &shape, |_, worker| worker.allocatable);
        if shape.parts == 0 || all.is_none() {
            return Some(Wait::Impossible(shape));
        }
        if !self.within_limit(&entry.spec.workspace, &shape) {
            let workspace = entry.spec.workspace.clone();
            let used = self.used_by(&workspace);
            let limit = self.shares.get(&workspace)?.limit?;
            return Some(Wait::Quota { workspace, used, limit });
        }
        if entry.not_before > now {
            return Some(Wait::Pause(entry.not_before.since(now)));
        }
        if let Some(found) = self.reservations.iter().find(|found| found.job == job) {
            return Some(Wait::Reserved { shape, after: found.at.since(now) });
        }
        let free_place = fit::find(&self.ledger, &shape, |_, worker| worker.free());
        if entry.spec.eviction == Eviction::Never && free_place.is_some() {
            return Some(Wait::Guarantees(shape));
        }
        let after = self.earliest(now, &entry.spec).map(|(at, _)| at.since(now));
        Some(Wait::Capacity { shape, free: self.summary().free, after })
    }
}
