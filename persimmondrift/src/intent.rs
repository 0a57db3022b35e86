//! Operators' intents: what is wanted becomes a plan, and the plan a record once confirmed.

use serde::{Deserialize, Serialize};

use crate::config::{Change, Config, Record};
use crate::place::Shape;
use crate::unit::{Accelerators, Mutation, Operator, Plan, Version, Workspace};

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

/// The accelerators that are there, for the check of guarantees.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Supply {
    /// Accelerators of healthy workers.
    pub accelerators: Accelerators,
    /// Most accelerators of one worker.
    pub largest: Accelerators,
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
    /// The guarantees would not fit at once.
    #[error("guarantees need {needed} accelerators, healthy workers have {supply}")]
    Overcommitted {
        /// Accelerators of all guarantees.
        needed: Accelerators,
        /// Accelerators of healthy workers.
        supply: Accelerators,
    },
    /// No worker can hold a part of the shape.
    #[error("a part needs {needed} accelerators, the largest worker has {largest}")]
    Impossible {
        /// Accelerators of a part.
        needed: Accelerators,
        /// Most accelerators of one worker.
        largest: Accelerators,
    },
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
    supply: Supply,
    plan: Plan,
    changes: Vec<Change>,
) -> Result<Draft, Error> {
    if changes.is_empty() {
        return Err(Error::Empty);
    }
    let mut after = config.clone();
    let mut effects = Vec::new();
    for change in &changes {
        check(&after, supply, change)?;
        effects.push(describe(change));
        let record = record_of(after.version.next(), plan, vec![change.clone()]);
        let applied = after.apply(&record);
        debug_assert_eq!(applied, Ok(true));
    }
    let needed = guaranteed(&after);
    if needed > guaranteed(config) && needed > supply.accelerators {
        return Err(Error::Overcommitted { needed, supply: supply.accelerators });
    }
    Ok(Draft { plan, base: config.version, changes, effects })
}

fn record_of(version: Version, plan: Plan, changes: Vec<Change>) -> Record {
    let operator = Operator::try_from("plan").expect("the name is valid");
    Record { version, plan, operator, mutation: Mutation(0), changes }
}

fn check(config: &Config, supply: Supply, change: &Change) -> Result<(), Error> {
    let fits = |shape: &Shape| {
        if shape.accelerators > supply.largest {
            let needed = shape.accelerators;
            return Err(Error::Impossible { needed, largest: supply.largest });
        }
        Ok(())
    };
    match change {
        Change::PutWorkspace { quota, .. } => quota.guarantees.iter().try_for_each(fits),
        Change::Submit { spec, .. } => {
            if !config.workspaces.contains_key(&spec.workspace) {
                return Err(Error::NoWorkspace(spec.workspace.clone()));
            }
            fits(&spec.shape)
        }
        _ => Ok(()),
    }
}

fn guaranteed(config: &Config) -> Accelerators {
    let mut sum = Accelerators(0);
    for quota in config.workspaces.values() {
        for shape in &quota.guarantees {
            sum += Accelerators(u32::from(shape.parts) * shape.accelerators.0);
        }
    }
    sum
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
