//! What a change brings about, in one line for the operator.

use std::collections::BTreeSet;

use super::{Busy, Facts};
use crate::config::{Change, Config, Quota};
use crate::unit::{Accelerators, Node, Service, Workspace, Zone};

/// Returns what a change brings about: guarantees, jobs and targets.
pub fn effect(config: &Config, facts: &Facts, change: &Change) -> String {
    match change {
        Change::PutWorkspace { workspace, quota } => put_workspace(config, workspace, quota),
        Change::RemoveWorkspace { workspace } => {
            let freed = config.workspaces.get(workspace).map_or(Accelerators(0), promised);
            format!("workspace {workspace}: removed; its {freed} guaranteed accelerators are free")
        }
        Change::PutService { service, serving } => {
            let before = match config.services.get(service) {
                Some(before) => format!("was {} ms", before.timeout_ms),
                None => "new".to_owned(),
            };
            let targets = targets(facts, service);
            format!("service {service}: timeout {} ms ({before}), {targets}", serving.timeout_ms)
        }
        Change::RemoveService { service } => {
            let targets = targets(facts, service);
            format!("service {service}: its timeout is no longer stated, {targets} go on")
        }
        Change::Drain { node } => format!("node {node}: takes no new work; {}", busy(facts, node)),
        Change::Undrain { node } => format!("node {node}: takes new work again"),
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
    let after = promised(quota);
    let before = match config.workspaces.get(workspace) {
        Some(before) => format!("was {}", promised(before)),
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

fn promised(quota: &Quota) -> Accelerators {
    let totals = quota.guarantees.iter().map(|guarantee| guarantee.shape.total().0);
    Accelerators(totals.fold(0, u32::saturating_add))
}

fn targets(facts: &Facts, service: &Service) -> String {
    let offers = |busy: &&Busy| busy.service.as_ref() == Some(service);
    format!("{} targets", facts.nodes.values().filter(offers).count())
}

fn busy(facts: &Facts, node: &Node) -> String {
    let Some(busy) = facts.nodes.get(node) else {
        return "nothing is known to run there".to_owned();
    };
    let jobs: Vec<String> = busy.jobs.iter().map(ToString::to_string).collect();
    match jobs.as_slice() {
        [] => format!("{} requests end first", busy.requests),
        jobs => format!("{} requests and jobs {} end first", busy.requests, jobs.join(", ")),
    }
}
