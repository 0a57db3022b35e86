//! Operators' intents: what is wanted becomes a plan, and the plan a record once confirmed.

mod check;
mod describe;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use crate::config::{Change, Config, Item, Record};
use crate::guarantee::{self, Supply};
use crate::place::Outcome;
use crate::unit::{Job, Mutation, Node, Operator, Plan, Service, Version, Workspace};

pub use check::MAX_CHANGES;

/// What the system would do, and from which version it was worked out.
///
/// It is whole in itself: the operator sends it back to confirm it, to any entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draft {
    /// Its id, which follows from the other fields.
    pub plan: Plan,
    /// Makes the ids of two plans of the same changes differ.
    pub nonce: u64,
    /// The configuration it was made from.
    pub base: Version,
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// What they bring about, one line each.
    pub effects: Vec<String>,
}

/// What an entry knows of the system beside its configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ObservedState {
    /// The healthy workers, for the check of guarantees.
    pub supply: Supply,
    /// The nodes that were heard of.
    pub nodes: BTreeMap<Node, NodeLoad>,
}

/// What a node does.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NodeLoad {
    /// The service that its target offers, if it has a target.
    pub service: Option<Service>,
    /// Requests that run.
    pub requests: u32,
    /// Jobs that have parts there.
    pub jobs: BTreeSet<Job>,
}

/// A change that was made meanwhile.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictingChange {
    /// The version it led to.
    pub version: Version,
    /// Who confirmed it.
    pub operator: Operator,
    /// The change.
    pub change: Change,
}

/// Why an intent is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Error {
    /// Nothing would change.
    #[error("the intent changes nothing")]
    Empty,
    /// A number or a size is out of its bounds.
    #[error("{field}: {found} is not from {least} to {most}")]
    Bounds {
        /// What it is of.
        field: String,
        /// The number found.
        found: u64,
        /// The least that is allowed.
        least: u64,
        /// The most that is allowed.
        most: u64,
    },
    /// A workspace is not known.
    #[error("workspace {0} does not exist; create it first")]
    NoWorkspace(Workspace),
    /// A workspace that is to be removed has jobs.
    #[error("workspace {workspace} has {jobs} jobs; cancel them first")]
    HasJobs {
        /// The workspace.
        workspace: Workspace,
        /// Its jobs that have not ended.
        jobs: u64,
    },
    /// A service is not known.
    #[error("service {0} does not exist")]
    NoService(Service),
    /// A node was never heard of.
    #[error("node {0} is not known")]
    NoNode(Node),
    /// A node is not drained.
    #[error("node {0} is not drained")]
    NotDrained(Node),
    /// A job is not known.
    #[error("job {0} does not exist")]
    NoJob(Job),
    /// A job of this id exists.
    #[error("job {0} exists; leave the id out to get a new one")]
    JobExists(Job),
    /// A job of this id has ended.
    #[error("job {job} has ended: {outcome:?}")]
    JobEnded {
        /// The job.
        job: Job,
        /// How it ended.
        outcome: Outcome,
    },
    /// Only the system itself makes this change.
    #[error("the end of job {0} is recorded by the system only")]
    SystemOnly(Job),
    /// A shape does not fit, or a guarantee would be broken.
    #[error("{0}")]
    Guarantee(#[from] guarantee::Error),
    /// Others changed the same since the plan was made.
    #[error("planned from version {base}, but the same was changed up to {current}; plan again")]
    Conflict {
        /// The version planned from.
        base: Version,
        /// The version in force.
        current: Version,
        /// What was changed in between, and by whom.
        changes: Vec<ConflictingChange>,
    },
    /// The plan was made so long ago that it is not known what changed since.
    #[error("planned from version {base}, too far behind {current}; plan again")]
    Stale {
        /// The version planned from.
        base: Version,
        /// The version in force.
        current: Version,
    },
    /// The plan that was sent back is not the plan that was made.
    #[error("plan {0} was altered; plan again")]
    Altered(Plan),
}

/// Makes a plan.
///
/// The nonce is drawn by the caller; ids of jobs that state none follow from it.
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

/// Turns a plan into the record that follows the configuration in force.
///
/// Changes that others made to other items meanwhile do no harm: the plan is checked again
/// against the configuration in force.
///
/// # Errors
///
/// Returns [`Error::Conflict`] if the same items have changed since the plan, or why the plan
/// cannot be carried out any more.
pub fn confirm(
    config: &Config,
    observed: &ObservedState,
    draft: &Draft,
    since: &VecDeque<Record>,
    operator: &Operator,
) -> Result<Record, Error> {
    if draft.plan != plan_id(draft) || draft.base > config.version {
        return Err(Error::Altered(draft.plan));
    }
    let (base, current) = (draft.base, config.version);
    let known = since.front().is_some_and(|first| first.version <= base.next());
    if base != current && !known {
        return Err(Error::Stale { base, current });
    }
    let changes = conflicting_changes(draft, since);
    if !changes.is_empty() {
        return Err(Error::Conflict { base, current, changes });
    }
    check::all(config, observed, &draft.changes)?;
    Ok(new_record(config.version.next(), draft.plan, operator.clone(), draft.changes.clone()))
}

/// Returns a record. Its mutation id follows from its content, so that the same record sent
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

/// Returns the version that a plan led to, if it was confirmed.
#[must_use]
pub fn confirmed_version(records: &VecDeque<Record>, plan: Plan) -> Option<Version> {
    records.iter().rev().find(|record| record.plan == plan).map(|record| record.version)
}

fn conflicting_changes(draft: &Draft, since: &VecDeque<Record>) -> Vec<ConflictingChange> {
    let items: BTreeSet<Item> = draft.changes.iter().map(Change::item).collect();
    let mut conflicting = Vec::new();
    for record in since.iter().filter(|record| record.version > draft.base) {
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

/// Gives jobs without an id one that follows from the nonce.
fn assign_job_ids(nonce: u64, changes: &mut [Change]) {
    for (index, change) in changes.iter_mut().enumerate() {
        if let Change::Submit { job, .. } = change
            && *job == Job(0)
        {
            let mut hash = Xxh3Default::new();
            hash.update(&nonce.to_be_bytes());
            hash.update(&index.to_be_bytes());
            // 53 bits: ids pass through JSON tools that hold numbers as floating point.
            *job = Job((hash.digest() >> 11).max(1));
        }
    }
}

fn plan_id(draft: &Draft) -> Plan {
    let mut hash = Xxh3Default::new();
    hash.update(&draft.nonce.to_be_bytes());
    hash.update(&draft.base.0.to_be_bytes());
    hash.update(&postcard::to_stdvec(&draft.changes).unwrap_or_default());
    // 53 bits, as for jobs; 0 stands for no plan.
    Plan((hash.digest() >> 11).max(1))
}
