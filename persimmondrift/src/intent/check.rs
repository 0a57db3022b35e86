//! Validation of the changes of an intent: bounds, existing names and guarantees.

use super::{Error, ObservedState};
use crate::config::{Change, Config, Quota};
use crate::guarantee;
use crate::place::{Shape, Spec};
use crate::unit::{Job, Workspace};

/// Maximum number of changes in one intent.
pub const MAX_CHANGES: u64 = 1_024;
const MAX_WORKSPACES: u64 = 4_096;
const MAX_SERVICES: u64 = 4_096;
const MAX_DRAINED_NODES: u64 = 65_536;
const MAX_EVACUATED_ZONES: u64 = 1_024;
/// Maximum number of jobs that have not ended.
const MAX_JOBS: u64 = 131_072;
/// Maximum number of guaranteed shapes of a workspace.
const MAX_GUARANTEES: u64 = 256;
/// Maximum weight of a workspace.
const MAX_WEIGHT: u64 = 1_000;
/// Maximum number of parts of a shape.
const MAX_PARTS: u64 = 1_024;
/// Maximum number of accelerators of a part, which take one bit each in a 64-bit mask.
const MAX_ACCELERATORS: u64 = 64;
/// Maximum timeout of a service: one day.
const MAX_TIMEOUT_MS: u64 = 86_400_000;
/// Maximum run time that may be stated for a job: 90 days.
const MAX_RUN_MS: u64 = 90 * 86_400_000;

/// Checks each change against the configuration that the changes before it lead to. Returns the
/// changes with an availability zone chosen for each guarantee that has none.
///
/// # Errors
///
/// Returns the first [`Error`].
pub fn all(
    config: &Config,
    observed: &ObservedState,
    changes: &[Change],
) -> Result<Vec<Change>, Error> {
    if changes.is_empty() {
        return Err(Error::Empty);
    }
    check_bounds("changes", count(changes.len()), 1, MAX_CHANGES)?;
    let mut after = config.clone();
    let mut resolved = Vec::new();
    for change in changes {
        check_one(&after, observed, change)?;
        let change = guarantee::bind(&after, &observed.supply, change.clone())?;
        after.apply_change(&change);
        resolved.push(change);
    }
    guarantee::check(config, &after, &observed.supply, &resolved)?;
    Ok(resolved)
}

fn check_one(config: &Config, observed: &ObservedState, change: &Change) -> Result<(), Error> {
    match change {
        Change::PutWorkspace { workspace, quota } => {
            if !config.workspaces.contains_key(workspace) {
                check_bounds("workspaces", count(config.workspaces.len()) + 1, 1, MAX_WORKSPACES)?;
            }
            check_quota(quota)
        }
        Change::RemoveWorkspace { workspace } => check_removable(config, workspace),
        Change::PutService { service, serving } => {
            if !config.services.contains_key(service) {
                check_bounds("services", count(config.services.len()) + 1, 1, MAX_SERVICES)?;
            }
            check_bounds("timeout_ms", serving.timeout_ms, 1, MAX_TIMEOUT_MS)
        }
        Change::RemoveService { service } if !config.services.contains_key(service) => {
            Err(Error::NoService(service.clone()))
        }
        Change::Drain { node } if !observed.nodes.contains_key(node) => {
            Err(Error::NoNode(node.clone()))
        }
        Change::Drain { .. } => {
            check_bounds("drained", count(config.drained.len()) + 1, 1, MAX_DRAINED_NODES)
        }
        Change::Undrain { node } if !config.drained.contains(node) => {
            Err(Error::NotDrained(node.clone()))
        }
        Change::Evacuate { zone } if observed.nodes_of(zone).next().is_none() => {
            Err(Error::NoZone(zone.clone()))
        }
        Change::Evacuate { .. } => {
            check_bounds("evacuated", count(config.evacuated.len()) + 1, 1, MAX_EVACUATED_ZONES)
        }
        Change::Return { zone } if !config.evacuated.contains(zone) => {
            Err(Error::NotEvacuated(zone.clone()))
        }
        Change::Submit { job, spec } => {
            check_new_job(config, *job)?;
            check_bounds("jobs", count(config.jobs.len()) + 1, 1, MAX_JOBS)?;
            check_spec(config, spec)
        }
        Change::Cancel { job } if !config.jobs.contains_key(job) => {
            match config.job_outcome(*job) {
                Some(outcome) => Err(Error::JobEnded { job: *job, outcome }),
                None => Err(Error::NoJob(*job)),
            }
        }
        Change::End { job, .. } => Err(Error::SystemOnly(*job)),
        Change::RemoveService { .. }
        | Change::Undrain { .. }
        | Change::Return { .. }
        | Change::Cancel { .. } => Ok(()),
    }
}

fn check_removable(config: &Config, workspace: &Workspace) -> Result<(), Error> {
    if !config.workspaces.contains_key(workspace) {
        return Err(Error::NoWorkspace(workspace.clone()));
    }
    let jobs = config.jobs.values().filter(|spec| spec.workspace == *workspace).count();
    if jobs > 0 {
        return Err(Error::HasJobs { workspace: workspace.clone(), jobs: count(jobs) });
    }
    Ok(())
}

fn check_new_job(config: &Config, job: Job) -> Result<(), Error> {
    if config.jobs.contains_key(&job) {
        return Err(Error::JobExists(job));
    }
    match config.job_outcome(job) {
        Some(outcome) => Err(Error::JobEnded { job, outcome }),
        None => Ok(()),
    }
}

fn check_quota(quota: &Quota) -> Result<(), Error> {
    check_bounds("weight", u64::from(quota.weight), 1, MAX_WEIGHT)?;
    check_bounds("guarantees", count(quota.guarantees.len()), 0, MAX_GUARANTEES)?;
    quota.guarantees.iter().try_for_each(|guarantee| check_shape(&guarantee.shape))
}

fn check_spec(config: &Config, spec: &Spec) -> Result<(), Error> {
    if !config.workspaces.contains_key(&spec.workspace) {
        return Err(Error::NoWorkspace(spec.workspace.clone()));
    }
    check_bounds("run_ms", spec.run_ms.0, 0, MAX_RUN_MS)?;
    check_shape(&spec.shape)
}

fn check_shape(shape: &Shape) -> Result<(), Error> {
    check_bounds("parts", u64::from(shape.parts), 1, MAX_PARTS)?;
    check_bounds("accelerators", u64::from(shape.accelerators.0), 0, MAX_ACCELERATORS)
}

fn check_bounds(field: &str, found: u64, least: u64, most: u64) -> Result<(), Error> {
    if (least..=most).contains(&found) {
        return Ok(());
    }
    Err(Error::Bounds { field: field.to_owned(), found, least, most })
}

fn count(number: usize) -> u64 {
    u64::try_from(number).unwrap_or(u64::MAX)
}
