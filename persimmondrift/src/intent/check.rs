//! Whether the changes of an intent can be carried out.

use super::{Error, Facts};
use crate::config::{Change, Config, Quota};
use crate::guarantee;
use crate::place::{Shape, Spec};
use crate::unit::{Job, Workspace};

/// Most changes of one intent.
pub const CHANGES: u64 = 1_024;
/// Most workspaces.
const WORKSPACES: u64 = 4_096;
/// Most services.
const SERVICES: u64 = 4_096;
/// Most drained nodes.
const DRAINED: u64 = 65_536;
/// Most jobs that have not ended.
const JOBS: u64 = 131_072;
/// Most guaranteed shapes of a workspace.
const GUARANTEES: u64 = 256;
/// Largest weight of a workspace.
const WEIGHT: u64 = 1_000;
/// Most parts of a shape.
const PARTS: u64 = 1_024;
/// Most accelerators of a part: one bit each in a mask.
const ACCELERATORS: u64 = 64;
/// Longest timeout of a service: a day, in milliseconds.
const TIMEOUT_MS: u64 = 86_400_000;
/// Longest stated run time of a job: 90 days, in milliseconds.
const RUN_MS: u64 = 90 * 86_400_000;

/// Checks all changes, each against what the ones before it lead to, and returns them with
/// the availability zones that they leave open.
///
/// # Errors
///
/// Returns the first [`Error`].
pub fn all(config: &Config, facts: &Facts, changes: &[Change]) -> Result<Vec<Change>, Error> {
    if changes.is_empty() {
        return Err(Error::Empty);
    }
    bounds("changes", count(changes.len()), 1, CHANGES)?;
    let mut after = config.clone();
    let mut bound = Vec::new();
    for change in changes {
        one(&after, facts, change)?;
        let change = guarantee::bind(&after, &facts.supply, change.clone())?;
        after.change(&change);
        bound.push(change);
    }
    guarantee::check(config, &after, &facts.supply, &bound)?;
    Ok(bound)
}

fn one(config: &Config, facts: &Facts, change: &Change) -> Result<(), Error> {
    match change {
        Change::PutWorkspace { workspace, quota } => {
            if !config.workspaces.contains_key(workspace) {
                bounds("workspaces", count(config.workspaces.len()) + 1, 1, WORKSPACES)?;
            }
            check_quota(quota)
        }
        Change::RemoveWorkspace { workspace } => removable(config, workspace),
        Change::PutService { service, serving } => {
            if !config.services.contains_key(service) {
                bounds("services", count(config.services.len()) + 1, 1, SERVICES)?;
            }
            bounds("timeout_ms", serving.timeout_ms, 1, TIMEOUT_MS)
        }
        Change::RemoveService { service } if !config.services.contains_key(service) => {
            Err(Error::NoService(service.clone()))
        }
        Change::Drain { node } if !facts.nodes.contains_key(node) => {
            Err(Error::NoNode(node.clone()))
        }
        Change::Drain { .. } => bounds("drained", count(config.drained.len()) + 1, 1, DRAINED),
        Change::Undrain { node } if !config.drained.contains(node) => {
            Err(Error::NotDrained(node.clone()))
        }
        Change::Submit { job, spec } => {
            absent(config, *job)?;
            bounds("jobs", count(config.jobs.len()) + 1, 1, JOBS)?;
            check_spec(config, spec)
        }
        Change::Cancel { job } if !config.jobs.contains_key(job) => match config.ending(*job) {
            Some(outcome) => Err(Error::JobEnded { job: *job, outcome }),
            None => Err(Error::NoJob(*job)),
        },
        Change::End { job, .. } => Err(Error::SystemOnly(*job)),
        Change::RemoveService { .. } | Change::Undrain { .. } | Change::Cancel { .. } => Ok(()),
    }
}

fn removable(config: &Config, workspace: &Workspace) -> Result<(), Error> {
    if !config.workspaces.contains_key(workspace) {
        return Err(Error::NoWorkspace(workspace.clone()));
    }
    let jobs = config.jobs.values().filter(|spec| spec.workspace == *workspace).count();
    if jobs > 0 {
        return Err(Error::HasJobs { workspace: workspace.clone(), jobs: count(jobs) });
    }
    Ok(())
}

fn absent(config: &Config, job: Job) -> Result<(), Error> {
    if config.jobs.contains_key(&job) {
        return Err(Error::JobExists(job));
    }
    match config.ending(job) {
        Some(outcome) => Err(Error::JobEnded { job, outcome }),
        None => Ok(()),
    }
}

fn check_quota(quota: &Quota) -> Result<(), Error> {
    bounds("weight", u64::from(quota.weight), 1, WEIGHT)?;
    bounds("guarantees", count(quota.guarantees.len()), 0, GUARANTEES)?;
    quota.guarantees.iter().try_for_each(|guarantee| check_shape(&guarantee.shape))
}

fn check_spec(config: &Config, spec: &Spec) -> Result<(), Error> {
    if !config.workspaces.contains_key(&spec.workspace) {
        return Err(Error::NoWorkspace(spec.workspace.clone()));
    }
    bounds("run_ms", spec.run_ms.0, 0, RUN_MS)?;
    check_shape(&spec.shape)
}

fn check_shape(shape: &Shape) -> Result<(), Error> {
    bounds("parts", u64::from(shape.parts), 1, PARTS)?;
    bounds("accelerators", u64::from(shape.accelerators.0), 0, ACCELERATORS)
}

fn bounds(field: &str, found: u64, least: u64, most: u64) -> Result<(), Error> {
    if (least..=most).contains(&found) {
        return Ok(());
    }
    Err(Error::Bounds { field: field.to_owned(), found, least, most })
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
