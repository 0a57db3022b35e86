//! Intents of operators, in two steps: [`plan`] checks the requested changes and returns a draft
//! with their effects, and [`confirm`] turns a draft into the next record of the configuration.

mod check;
mod describe;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::config::{Change, Config, Item, Record};
use crate::guarantee::{self, Supply};
use crate::place::Outcome;
use crate::unit::{Job, Mutation, Node, Operator, Plan, Service, Version, Workspace, Zone};

pub use check::MAX_CHANGES;

/// A plan that can be confirmed: the changes, their effects, and the version they were checked
/// against.
///
/// The operator can send it back to any entry to confirm it, since it holds the whole plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draft {
    /// Id of the plan, a hash of the nonce, the base and the changes.
    pub plan: Plan,
    /// Random number that makes the ids of two plans with the same changes differ.
    pub nonce: u64,
    /// Version of the configuration that the plan was made from.
    pub base: Version,
    /// Changes in the order in which they are applied.
    pub changes: Vec<Change>,
    /// Effect of each change, one line each, for the operator.
    pub effects: Vec<String>,
}

/// The state of workers and nodes as an entry observes it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ObservedState {
    /// Healthy workers, for the check of guarantees.
    pub supply: Supply,
    /// Agents and entries known from heartbeats.
    pub nodes: BTreeMap<Node, NodeLoad>,
    /// Availability zone of each agent.
    pub zones: BTreeMap<Node, Zone>,
}

impl ObservedState {
    /// Returns the agents of an availability zone.
    pub fn nodes_of<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = &'a Node> {
        self.zones.iter().filter(move |(_, own)| *own == zone).map(|(node, _)| node)
    }
}

/// The current work of a node; empty for an entry.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NodeLoad {
    /// Service of the node's target, if it has a target.
    pub service: Option<Service>,
    /// Number of running requests.
    pub requests: u32,
    /// Jobs that have parts on the node.
    pub jobs: BTreeSet<Job>,
}

/// A change to an item of a plan that was accepted after the plan was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictingChange {
    /// Version at which the change took effect.
    pub version: Version,
    /// Operator who confirmed the change.
    pub operator: Operator,
    /// The accepted change.
    pub change: Change,
}

/// Reason why an intent is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Error {
    /// The intent has no changes.
    #[error("the intent changes nothing")]
    Empty,
    /// A number or a count is out of bounds.
    #[error("{field}: {found} is not from {least} to {most}")]
    Bounds {
        /// Name of the field.
        field: String,
        /// Value of the field, or the count that the change would lead to.
        found: u64,
        /// Minimum value.
        least: u64,
        /// Maximum value.
        most: u64,
    },
    /// A workspace does not exist.
    #[error("workspace {0} does not exist; create it first")]
    NoWorkspace(Workspace),
    /// A workspace to be removed has jobs.
    #[error("workspace {workspace} has {jobs} jobs; cancel them first")]
    HasJobs {
        /// Workspace to be removed.
        workspace: Workspace,
        /// Number of its jobs that have not ended.
        jobs: u64,
    },
    /// A service does not exist.
    #[error("service {0} does not exist")]
    NoService(Service),
    /// No heartbeat of the node was received.
    #[error("node {0} is not known")]
    NoNode(Node),
    /// A node is not drained.
    #[error("node {0} is not drained")]
    NotDrained(Node),
    /// No heartbeat of a node in the availability zone was received.
    #[error("zone {0} is not known")]
    NoZone(Zone),
    /// An availability zone is not evacuated.
    #[error("zone {0} is not evacuated")]
    NotEvacuated(Zone),
    /// A job does not exist.
    #[error("job {0} does not exist")]
    NoJob(Job),
    /// A job with this id exists and has not ended.
    #[error("job {0} exists; leave the id out to get a new one")]
    JobExists(Job),
    /// A job with this id has ended.
    #[error("job {job} has ended: {outcome:?}")]
    JobEnded {
        /// Id of the job.
        job: Job,
        /// Outcome of the job.
        outcome: Outcome,
    },
    /// Only the system itself records the end of a job.
    #[error("the end of job {0} is recorded by the system only")]
    SystemOnly(Job),
    /// A shape does not fit the workers, or a guarantee would be violated.
    #[error("{0}")]
    Guarantee(#[from] guarantee::Error),
    /// Items of the plan have changed since it was made.
    #[error("planned from version {base}, but the same was changed up to {current}; plan again")]
    Conflict {
        /// Version that the plan was made from.
        base: Version,
        /// Current version.
        current: Version,
        /// Conflicting changes, oldest first.
        changes: Vec<ConflictingChange>,
    },
    /// The plan is so old that the records since then are no longer kept.
    #[error("planned from version {base}, too far behind {current}; plan again")]
    Stale {
        /// Version that the plan was made from.
        base: Version,
        /// Current version.
        current: Version,
    },
    /// The id of the plan does not match its content, or the plan is from a later version than
    /// the current one.
    #[error("plan {0} was altered; plan again")]
    Altered(Plan),
}

/// Checks an intent against the current configuration and returns the plan.
///
/// The caller draws the nonce, from which the ids of jobs without an id are derived.
///
/// # Errors
///
/// Returns [`Error`] if the intent cannot be carried out.
pub fn plan(
    config: &Config,
    observed: &ObservedState,
    nonce: u64,
    mut changes: Vec<Change>,
) -> Result<Draft, Error> {
    assign_job_ids(nonce, &mut changes);
    let changes = check::all(config, observed, &changes)?;
    let mut effects = Vec::new();
    for change in &changes {
        effects.push(describe::effect(config, observed, change));
    }
    let mut draft = Draft { plan: Plan(0), nonce, base: config.version, changes, effects };
    draft.plan = plan_id(&draft);
    Ok(draft)
}

/// Turns a plan into the record that follows the current configuration.
///
/// Changes that were made to other items since then do not prevent this: the plan is checked
/// again against the current configuration.
///
/// # Errors
///
/// Returns [`Error::Conflict`] if items of the plan have changed since it was made, or another
/// [`Error`] if the plan can no longer be carried out.
pub fn confirm(
    config: &Config,
    observed: &ObservedState,
    draft: &Draft,
    records: &VecDeque<Record>,
    operator: &Operator,
) -> Result<Record, Error> {
    if draft.plan != plan_id(draft) || draft.base > config.version {
        return Err(Error::Altered(draft.plan));
    }
    let (base, current) = (draft.base, config.version);
    let known = records.front().is_some_and(|first| first.version <= base.next());
    if base != current && !known {
        return Err(Error::Stale { base, current });
    }
    let changes = conflicting_changes(draft, records);
    if !changes.is_empty() {
        return Err(Error::Conflict { base, current, changes });
    }
    check::all(config, observed, &draft.changes)?;
    Ok(new_record(config.version.next(), draft.plan, operator.clone(), draft.changes.clone()))
}

/// Creates a record. Its mutation id is a hash of the content, so that the same record sent
/// twice, or by two processes, is the same write.
#[must_use]
pub fn new_record(
    version: Version,
    plan: Plan,
    operator: Operator,
    changes: Vec<Change>,
) -> Record {
    let mut hash = Xxh3Default::new();
    hash.update(&version.0.to_be_bytes());
    hash.update(&plan.0.to_be_bytes());
    hash.update(operator.as_str().as_bytes());
    hash.update(&postcard::to_stdvec(&changes).unwrap_or_default());
    let mutation = Mutation(hash.digest());
    Record { version, plan, operator, mutation, changes }
}

/// Returns the version at which a plan took effect, if one of the records is of this plan.
#[must_use]
pub fn confirmed_version(records: &VecDeque<Record>, plan: Plan) -> Option<Version> {
    records.iter().rev().find(|record| record.plan == plan).map(|record| record.version)
}

fn conflicting_changes(draft: &Draft, records: &VecDeque<Record>) -> Vec<ConflictingChange> {
    let items: BTreeSet<Item> = draft.changes.iter().map(Change::item).collect();
    let mut conflicting = Vec::new();
    for record in records.iter().filter(|record| record.version > draft.base) {
        for change in record.changes.iter().filter(|change| items.contains(&change.item())) {
            conflicting.push(ConflictingChange {
                version: record.version,
                operator: record.operator.clone(),
                change: change.clone(),
            });
        }
    }
    conflicting
}

/// Assigns ids derived from the nonce to jobs without an id.
fn assign_job_ids(nonce: u64, changes: &mut [Change]) {
    for (index, change) in changes.iter_mut().enumerate() {
        if let Change::Submit { job, .. } = change
            && *job == Job(0)
        {
            let mut hash = Xxh3Default::new();
            hash.update(&nonce.to_be_bytes());
            hash.update(&index.to_be_bytes());
            // 53 bits, because many JSON tools read numbers as 64-bit floating point.
            *job = Job((hash.digest() >> 11).max(1));
        }
    }
}

fn plan_id(draft: &Draft) -> Plan {
    let mut hash = Xxh3Default::new();
    hash.update(&draft.nonce.to_be_bytes());
    hash.update(&draft.base.0.to_be_bytes());
    hash.update(&postcard::to_stdvec(&draft.changes).unwrap_or_default());
    // 53 bits, as for jobs; 0 means no plan.
    Plan((hash.digest() >> 11).max(1))
}
