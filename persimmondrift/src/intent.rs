//! Operators' intents: what is wanted becomes a plan, and the plan a record once confirmed.

use serde::{Deserialize, Serialize};

use crate::config::{Change, Config, Record};
use crate::guarantee::{self, Supply};
use crate::unit::{Mutation, Operator, Plan, Version, Workspace};

/// What the system would do, and from which version it was worked out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draft {
    /// Its id.
    pub plan: Plan,
    /// The configuration it was made from.
    pub base: Version,
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// What they bring about, one line each.
    pub effects: Vec<String>,
}

/// Why an intent is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Error {
    /// Nothing would change.
    #[error("the intent changes nothing")]
    Empty,
    /// A workspace is not known.
    #[error("workspace {0} does not exist; create it first")]
    NoWorkspace(Workspace),
    /// A shape does not fit, or a guarantee would be broken.
    #[error("{0}")]
    Guarantee(#[from] guarantee::Error),
    /// The configuration changed since the plan was made.
    #[error("planned from version {base}, but version {current} is in force; plan again")]
    Conflict {
        /// The version planned from.
        base: Version,
        /// The version in force.
        current: Version,
        /// What was changed in between.
        changes: Vec<Change>,
    },
}

/// Makes a plan.
///
/// # Errors
///
/// Returns [`Error`] if the intent cannot be carried out.
pub fn plan(
    config: &Config,
    supply: &Supply,
    plan: Plan,
    changes: Vec<Change>,
) -> Result<Draft, Error> {
    if changes.is_empty() {
        return Err(Error::Empty);
    }
    let mut after = config.clone();
    let mut effects = Vec::new();
    let mut bound = Vec::new();
    for change in changes {
        check(&after, &change)?;
        let change = guarantee::bind(&after, supply, change)?;
        effects.push(describe(&change));
        let record = record_of(after.version.next(), plan, vec![change.clone()]);
        let applied = after.apply(&record);
        debug_assert_eq!(applied, Ok(true));
        bound.push(change);
    }
    let changes = bound;
    guarantee::check(config, &after, supply, &changes)?;
    Ok(Draft { plan, base: config.version, changes, effects })
}

fn record_of(version: Version, plan: Plan, changes: Vec<Change>) -> Record {
    let operator = Operator::try_from("plan").expect("the name is valid");
    Record { version, plan, operator, mutation: Mutation(0), changes }
}

fn check(config: &Config, change: &Change) -> Result<(), Error> {
    match change {
        Change::Submit { spec, .. } if !config.workspaces.contains_key(&spec.workspace) => {
            Err(Error::NoWorkspace(spec.workspace.clone()))
        }
        _ => Ok(()),
    }
}

fn describe(change: &Change) -> String {
    match change {
        Change::PutWorkspace { workspace, quota } => {
            format!("workspace {workspace}: {} guaranteed shapes", quota.guarantees.len())
        }
        Change::RemoveWorkspace { workspace } => format!("workspace {workspace}: removed"),
        Change::PutService { service, serving } => {
            format!("service {service}: timeout {} ms", serving.timeout_ms)
        }
        Change::RemoveService { service } => format!("service {service}: removed"),
        Change::Drain { node } => format!("node {node}: takes no new work"),
        Change::Undrain { node } => format!("node {node}: takes new work again"),
        Change::Submit { job, spec } => format!(
            "job {job}: {} parts of {} accelerators under {}",
            spec.shape.parts, spec.shape.accelerators, spec.workspace
        ),
        Change::Cancel { job } => format!("job {job}: cancelled"),
        Change::End { job, outcome } => format!("job {job}: ended, {outcome:?}"),
    }
}

/// Turns a plan into the record that follows the configuration in force.
///
/// # Errors
///
/// Returns [`Error::Conflict`] if the configuration has changed since the plan.
pub fn confirm(
    config: &Config,
    draft: &Draft,
    since: &[Record],
    operator: &Operator,
    mutation: Mutation,
) -> Result<Record, Error> {
    if draft.base != config.version {
        let later = since.iter().filter(|record| record.version > draft.base);
        let changes = later.flat_map(|record| record.changes.clone()).collect();
        return Err(Error::Conflict { base: draft.base, current: config.version, changes });
    }
    Ok(Record {
        version: config.version.next(),
        plan: draft.plan,
        operator: operator.clone(),
        mutation,
        changes: draft.changes.clone(),
    })
}
