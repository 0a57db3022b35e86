//! One-line descriptions of the effects of changes, shown to operators before they confirm.

use std::collections::BTreeSet;

use super::{NodeLoad, ObservedState};
use crate::config::{Change, Config, Quota};
use crate::unit::{Accelerators, Job, Node, Service, Workspace, Zone};

/// Describes the effect of a change on guarantees, jobs and targets.
pub fn effect(config: &Config, observed: &ObservedState, change: &Change) -> String {
    match change {
        Change::PutWorkspace { workspace, quota } => put_workspace(config, workspace, quota),
        Change::RemoveWorkspace { workspace } => {
            let freed =
                config.workspaces.get(workspace).map_or(Accelerators(0), guaranteed_accelerators);
            format!("workspace {workspace}: removed; its {freed} guaranteed accelerators are free")
        }
        Change::PutService { service, serving } => {
            let before = match config.services.get(service) {
                Some(before) => format!("was {} ms", before.timeout_ms),
                None => "new".to_owned(),
            };
            let targets = count_targets(observed, service);
            format!("service {service}: timeout {} ms ({before}), {targets}", serving.timeout_ms)
        }
        Change::RemoveService { service } => {
            let targets = count_targets(observed, service);
            format!("service {service}: its timeout is no longer stated, {targets} go on")
        }
        Change::Drain { node } => {
            format!("node {node}: takes no new work; {}", describe_load(observed, node))
        }
        Change::Undrain { node } => format!("node {node}: takes new work again"),
        Change::Evacuate { zone } => evacuate(observed, zone),
        Change::Return { zone } => {
            let nodes = observed.nodes_of(zone).filter(|node| !config.drained.contains(*node));
            format!("zone {zone}: {} nodes take new work again", nodes.count())
        }
        Change::Submit { job, spec } => format!(
            "job {job}: {} parts of {} accelerators under {}",
            spec.shape.parts, spec.shape.accelerators, spec.workspace
        ),
        Change::Cancel { job } => match config.jobs.get(job) {
            Some(spec) => {
                format!("job {job}: cancelled, {} parts under {}", spec.shape.parts, spec.workspace)
            }
            None => format!("job {job}: cancelled"),
        },
        Change::End { job, outcome } => format!("job {job}: ended, {outcome:?}"),
    }
}

fn put_workspace(config: &Config, workspace: &Workspace, quota: &Quota) -> String {
    let after = guaranteed_accelerators(quota);
    let before = match config.workspaces.get(workspace) {
        Some(before) => format!("was {}", guaranteed_accelerators(before)),
        None => "new".to_owned(),
    };
    let jobs = config.jobs.values().filter(|spec| spec.workspace == *workspace).count();
    let zones: BTreeSet<&str> =
        quota.guarantees.iter().filter_map(|g| g.zone.as_ref()).map(Zone::as_str).collect();
    let zones: Vec<&str> = zones.into_iter().collect();
    format!(
        "workspace {workspace}: {after} accelerators guaranteed ({before}) in {} shapes in zones [{}], {jobs} jobs",
        quota.guarantees.len(),
        zones.join(", ")
    )
}

fn evacuate(observed: &ObservedState, zone: &Zone) -> String {
    let nodes: Vec<&Node> = observed.nodes_of(zone).collect();
    let loads = || nodes.iter().filter_map(|node| observed.nodes.get(*node));
    let requests: u64 = loads().map(|load| u64::from(load.requests)).sum();
    let jobs: BTreeSet<Job> = loads().flat_map(|load| load.jobs.iter().copied()).collect();
    format!(
        "zone {zone}: {} nodes take no new work; {requests} requests and {} jobs end first",
        nodes.len(),
        jobs.len()
    )
}

fn guaranteed_accelerators(quota: &Quota) -> Accelerators {
    let totals = quota.guarantees.iter().map(|guarantee| guarantee.shape.total().0);
    Accelerators(totals.fold(0, u32::saturating_add))
}

fn count_targets(observed: &ObservedState, service: &Service) -> String {
    let offers = |load: &&NodeLoad| load.service.as_ref() == Some(service);
    format!("{} targets", observed.nodes.values().filter(offers).count())
}

fn describe_load(observed: &ObservedState, node: &Node) -> String {
    let Some(load) = observed.nodes.get(node) else {
        return "nothing is known to run there".to_owned();
    };
    let jobs: Vec<String> = load.jobs.iter().map(ToString::to_string).collect();
    match jobs.as_slice() {
        [] => format!("{} requests end first", load.requests),
        jobs => format!("{} requests and jobs {} end first", load.requests, jobs.join(", ")),
    }
}
