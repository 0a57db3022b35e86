//! The configuration in force, as a log of accepted changes with one rising version.

pub mod journal;
mod update;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::guarantee::Guarantee;
use crate::place;
use crate::unit::{Accelerators, Job, Mutation, Node, Operator, Plan, Service, Version, Workspace};

pub use update::{Update, agent_update, entry_update};

/// Ended jobs that are remembered.
pub const MAX_ENDED_JOBS: usize = 1_024;
/// Records that each entry keeps: for those who are behind, for conflicts, and to know a
/// plan that is confirmed again.
pub const MAX_RECORDS: usize = 4_096;

/// What a workspace is promised.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Shapes that it gets whenever it claims them.
    #[serde(default)]
    pub guarantees: Vec<Guarantee>,
    /// Its weight in the share of what is free, 1 if unstated.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Accelerators that it may hold at most, claims excepted; all if unstated.
    #[serde(default)]
    pub limit: Option<Accelerators>,
}

impl Quota {
    /// Returns whether this is what was stated, where a zone that is not stated may be any.
    #[must_use]
    pub fn matches_declaration(&self, declared: &Self) -> bool {
        let same = |(held, declared): (&Guarantee, &Guarantee)| {
            held.shape == declared.shape && (declared.zone.is_none() || held.zone == declared.zone)
        };
        self.weight == declared.weight
            && self.limit == declared.limit
            && self.guarantees.len() == declared.guarantees.len()
            && self.guarantees.iter().zip(&declared.guarantees).all(same)
    }
}

fn default_weight() -> u32 {
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
        /// The job; 0 or unstated if the system is to pick its id.
        #[serde(default)]
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

/// What a change is about: two changes of one item conflict.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Item {
    /// A workspace.
    Workspace(Workspace),
    /// A service.
    Service(Service),
    /// Whether a node is drained.
    Node(Node),
    /// A job.
    Job(Job),
}

impl Change {
    /// Returns what it is about.
    #[must_use]
    pub fn item(&self) -> Item {
        match self {
            Self::PutWorkspace { workspace, .. } | Self::RemoveWorkspace { workspace } => {
                Item::Workspace(workspace.clone())
            }
            Self::PutService { service, .. } | Self::RemoveService { service } => {
                Item::Service(service.clone())
            }
            Self::Drain { node } | Self::Undrain { node } => Item::Node(node.clone()),
            Self::Submit { job, .. } | Self::Cancel { job } | Self::End { job, .. } => {
                Item::Job(*job)
            }
        }
    }

    /// Returns whether agents have to know it. Jobs reach them as commands of planners.
    #[must_use]
    pub fn affects_agents(&self) -> bool {
        !matches!(self, Self::Submit { .. } | Self::Cancel { .. } | Self::End { .. })
    }
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
    /// The last jobs that ended, and how, the newest last.
    pub ended: VecDeque<(Job, place::Outcome)>,
    /// The last version that changed anything that agents have to know.
    #[serde(rename = "settled")]
    pub agent_version: Version,
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
            self.apply_change(change);
            if change.affects_agents() {
                self.agent_version = record.version;
            }
        }
        self.version = record.version;
        Ok(true)
    }

    /// Returns how a job ended, if it is remembered.
    #[must_use]
    pub fn job_outcome(&self, job: Job) -> Option<place::Outcome> {
        let found = self.ended.iter().rev().find(|(other, _)| *other == job);
        found.map(|(_, outcome)| *outcome)
    }

    /// Makes a change without counting a version, to try out what follows from it.
    pub fn apply_change(&mut self, change: &Change) {
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
            Change::Cancel { job } => self.end(job, place::Outcome::Cancelled),
            Change::End { job, outcome } => self.end(job, outcome),
        }
    }

    fn end(&mut self, job: Job, outcome: place::Outcome) {
        if self.jobs.remove(&job).is_none() {
            return;
        }
        self.ended.push_back((job, outcome));
        while self.ended.len() > MAX_ENDED_JOBS {
            self.ended.pop_front();
        }
    }
}

/// Keeps a record that was applied, and forgets the oldest beyond the bound.
///
/// A gap before it makes the older ones useless.
pub fn push_record(records: &mut VecDeque<Record>, record: Record) {
    if records.back().is_some_and(|last| last.version.next() != record.version) {
        records.clear();
    }
    records.push_back(record);
    while records.len() > MAX_RECORDS {
        records.pop_front();
    }
}
