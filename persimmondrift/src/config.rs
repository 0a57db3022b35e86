//! The replicated configuration: workspaces, services, drained nodes and jobs.
//!
//! Every accepted set of changes is a [`Record`] with the next [`Version`]. Entries and agents
//! that apply the same records hold the same [`Config`].

pub mod journal;
mod update;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Deserializer, Serialize};

use crate::guarantee::Guarantee;
use crate::place;
use crate::unit::{
    Accelerators, Job, Mutation, Node, Operator, Plan, Service, Version, Workspace, Zone,
};

pub use update::{Update, agent_update, entry_update};

/// Maximum number of ended jobs whose outcome is kept.
pub const MAX_ENDED_JOBS: usize = 1_024;
/// Maximum number of records that an entry keeps in memory. It needs them to bring lagging
/// processes up to date, to detect conflicting plans, and to recognize a plan that is
/// confirmed a second time.
pub const MAX_RECORDS: usize = 4_096;

/// Guarantees, share and limit of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Shapes that are reserved for the jobs with which the workspace claims them.
    #[serde(default)]
    pub guarantees: Vec<Guarantee>,
    /// Weight of the workspace when free accelerators are divided, 1 by default.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of accelerators held outside claims; unlimited if absent.
    #[serde(default)]
    pub limit: Option<Accelerators>,
}

impl Quota {
    /// Returns whether the quota equals the declared one. A declared guarantee without an
    /// availability zone matches any zone.
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

/// Request handling of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Serving {
    /// Timeout of a request whose caller gives none, in milliseconds.
    pub timeout_ms: u64,
}

/// One change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Creates or replaces a workspace.
    PutWorkspace {
        /// Name of the workspace.
        workspace: Workspace,
        /// Guarantees, weight and limit; they replace the earlier ones.
        quota: Quota,
    },
    /// Removes a workspace.
    RemoveWorkspace {
        /// Name of the workspace.
        workspace: Workspace,
    },
    /// Creates or replaces a service.
    PutService {
        /// Name of the service.
        service: Service,
        /// Request handling; replaces the earlier one.
        serving: Serving,
    },
    /// Removes a service.
    RemoveService {
        /// Name of the service.
        service: Service,
    },
    /// Drains a node: it finishes its work and accepts no new work.
    Drain {
        /// Node of an agent or an entry.
        node: Node,
    },
    /// Ends the drain of a node.
    Undrain {
        /// Node of an agent or an entry.
        node: Node,
    },
    /// Submits a job.
    Submit {
        /// Id of the job; 0, the default, if the system is to assign one.
        #[serde(default)]
        job: Job,
        /// Workspace, shape and scheduling class of the job.
        spec: place::Spec,
    },
    /// Cancels a job.
    Cancel {
        /// Id of a job that has not ended.
        job: Job,
    },
    /// Records the outcome of a job. Only entries make this change, never operators.
    End {
        /// Id of the job.
        job: Job,
        /// Outcome that the planner reported.
        outcome: place::Outcome,
    },
    /// Evacuates an availability zone: its nodes finish their work and accept no new work, also those
    /// that join later.
    Evacuate {
        /// Availability zone of one or more nodes.
        zone: Zone,
    },
    /// Returns an evacuated availability zone to service.
    Return {
        /// Availability zone that is evacuated.
        zone: Zone,
    },
}

/// The object that a change modifies. Two changes of one item conflict.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Item {
    /// The quota of a workspace.
    Workspace(Workspace),
    /// The request handling of a service.
    Service(Service),
    /// The drain state of a node.
    Node(Node),
    /// A job and its outcome.
    Job(Job),
    /// Whether an availability zone is evacuated.
    Zone(Zone),
}

impl Change {
    /// Returns the object that the change modifies.
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
            Self::Evacuate { zone } | Self::Return { zone } => Item::Zone(zone.clone()),
        }
    }

    /// Returns whether agents need the change. They do not need changes of jobs, which reach
    /// them as commands of planners.
    #[must_use]
    pub fn affects_agents(&self) -> bool {
        !matches!(self, Self::Submit { .. } | Self::Cancel { .. } | Self::End { .. })
    }
}

/// A set of changes that was accepted as one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version of the configuration after the changes.
    pub version: Version,
    /// Plan that was confirmed; 0 if there was none.
    pub plan: Plan,
    /// Operator who confirmed the plan, or the name under which the system itself writes.
    pub operator: Operator,
    /// Id of the table write, a hash of the other fields.
    pub mutation: Mutation,
    /// Changes in the order in which they are applied.
    pub changes: Vec<Change>,
}

/// Reason why a record cannot be applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// One or more records before this one are missing.
    #[error("configuration {found} does not follow {held}")]
    Gap {
        /// Version of the local configuration.
        held: Version,
        /// Version of the record.
        found: Version,
    },
}

/// The configuration at one process.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Config {
    /// Version of the last applied record, 0 at the start.
    pub version: Version,
    /// Workspaces with their quotas.
    pub workspaces: BTreeMap<Workspace, Quota>,
    /// Services with their request handling.
    pub services: BTreeMap<Service, Serving>,
    /// Nodes that accept no new work.
    pub drained: BTreeSet<Node>,
    /// Jobs that were submitted and have not ended; empty at agents.
    pub jobs: BTreeMap<Job, place::Spec>,
    /// Outcomes of the last [`MAX_ENDED_JOBS`] jobs that ended, newest last; empty at agents.
    pub ended: VecDeque<(Job, place::Outcome)>,
    /// Version of the last record with a change that agents need.
    #[serde(rename = "settled")]
    pub agent_version: Version,
    /// Availability zones whose nodes accept no new work. Last, and empty where it is missing, since
    /// earlier versions of the program wrote configurations without it.
    #[serde(default, deserialize_with = "zones_or_none")]
    pub evacuated: BTreeSet<Zone>,
}

/// Reads the zones at the end of a configuration, which an earlier version may have written without them.
/// Then the input ends; other errors cannot be told from that, but snapshots and frames are checked before.
#[expect(clippy::unnecessary_wraps, reason = "serde prescribes the signature")]
fn zones_or_none<'de, D: Deserializer<'de>>(deserializer: D) -> Result<BTreeSet<Zone>, D::Error> {
    Ok(BTreeSet::deserialize(deserializer).unwrap_or_default())
}

impl Config {
    /// Applies a record if it is the next one. Older records are ignored.
    ///
    /// Returns whether the record was applied.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Gap`] if records between the current version and this one are missing.
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

    /// Returns whether a node accepts no new work, because it is drained or its availability zone is
    /// evacuated.
    #[must_use]
    pub fn is_closed(&self, node: &Node, zone: &Zone) -> bool {
        self.drained.contains(node) || self.evacuated.contains(zone)
    }

    /// Returns the outcome of a job, if it is among the last [`MAX_ENDED_JOBS`] that ended.
    #[must_use]
    pub fn job_outcome(&self, job: Job) -> Option<place::Outcome> {
        let found = self.ended.iter().rev().find(|(other, _)| *other == job);
        found.map(|(_, outcome)| *outcome)
    }

    /// Applies a change without raising the version, so that callers can check its effect on a
    /// copy.
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
            Change::Evacuate { zone } => {
                self.evacuated.insert(zone);
            }
            Change::Return { zone } => {
                self.evacuated.remove(&zone);
            }
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

/// Appends an applied record and drops the oldest ones beyond [`MAX_RECORDS`].
///
/// If the record does not follow the last one, the older ones are dropped: readers need a
/// sequence without gaps.
pub fn push_record(records: &mut VecDeque<Record>, record: Record) {
    if records.back().is_some_and(|last| last.version.next() != record.version) {
        records.clear();
    }
    records.push_back(record);
    while records.len() > MAX_RECORDS {
        records.pop_front();
    }
}
