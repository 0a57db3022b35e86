//! The configuration in force, as a log of accepted changes with one rising version.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::place;
use crate::unit::{Job, Mutation, Node, Operator, Plan, Service, Version, Workspace};

/// What a workspace is promised.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Shapes that it gets whenever it claims them.
    #[serde(default)]
    pub guarantees: Vec<place::Shape>,
    /// Its weight in the share of what is free, 1 if unstated.
    #[serde(default = "one")]
    pub weight: u32,
}

fn one() -> u32 {
    1
}

/// How a service is served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serving {
    /// The time a request may take when its caller states none.
    pub timeout_ms: u64,
}

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Creates or replaces a workspace.
    PutWorkspace {
        /// Its name.
        workspace: Workspace,
        /// What it is promised.
        quota: Quota,
    },
    /// Removes a workspace.
    RemoveWorkspace {
        /// Its name.
        workspace: Workspace,
    },
    /// Creates or replaces a service.
    PutService {
        /// Its name.
        service: Service,
        /// How it is served.
        serving: Serving,
    },
    /// Removes a service.
    RemoveService {
        /// Its name.
        service: Service,
    },
    /// Lets a node finish its work and take nothing new.
    Drain {
        /// The node.
        node: Node,
    },
    /// Takes back a drain.
    Undrain {
        /// The node.
        node: Node,
    },
    /// Submits a job.
    Submit {
        /// The job.
        job: Job,
        /// What it needs.
        spec: place::Spec,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: Job,
    },
    /// Records how a job ended.
    End {
        /// The job.
        job: Job,
        /// How it ended.
        outcome: place::Outcome,
    },
}

/// An accepted set of changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The version it leads to.
    pub version: Version,
    /// The plan it was confirmed from.
    pub plan: Plan,
    /// Who confirmed it.
    pub operator: Operator,
    /// The write that put it into the table.
    pub mutation: Mutation,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// Reports a record that cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Records are missing before this one.
    #[error("configuration {found} does not follow {held}")]
    Gap {
        /// The version held.
        held: Version,
        /// The version of the record.
        found: Version,
    },
}

/// The configuration in force at one process.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Config {
    /// Its version.
    pub version: Version,
    /// The workspaces.
    pub workspaces: BTreeMap<Workspace, Quota>,
    /// The services.
    pub services: BTreeMap<Service, Serving>,
    /// The nodes that take no new work.
    pub drained: BTreeSet<Node>,
    /// The jobs that were submitted and have not ended.
    pub jobs: BTreeMap<Job, place::Spec>,
}

impl Config {
    /// Applies the record that follows the version held; older ones change nothing.
    ///
    /// Returns whether it was applied.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Gap`] if records are missing in between.
    pub fn apply(&mut self, record: &Record) -> Result<bool, Error> {
        if record.version <= self.version {
            return Ok(false);
        }
        if record.version != self.version.next() {
            return Err(Error::Gap { held: self.version, found: record.version });
        }
        for change in &record.changes {
            self.change(change);
        }
        self.version = record.version;
        Ok(true)
    }

    fn change(&mut self, change: &Change) {
        match change.clone() {
            Change::PutWorkspace { workspace, quota } => {
                self.workspaces.insert(workspace, quota);
            }
            Change::RemoveWorkspace { workspace } => {
                self.workspaces.remove(&workspace);
            }
            Change::PutService { service, serving } => {
                self.services.insert(service, serving);
            }
            Change::RemoveService { service } => {
                self.services.remove(&service);
            }
            Change::Drain { node } => {
                self.drained.insert(node);
            }
            Change::Undrain { node } => {
                self.drained.remove(&node);
            }
            Change::Submit { job, spec } => {
                self.jobs.insert(job, spec);
            }
            Change::Cancel { job } | Change::End { job, .. } => {
                self.jobs.remove(&job);
            }
        }
    }
}
