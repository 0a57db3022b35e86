//! Checks intents against guarantees.
//!
//! Guarantees and jobs are assigned a zone, and changes are refused after which the guarantees of a
//! zone would not fit on its workers at once.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::config::{Change, Config, Quota};
use crate::place::{self, Adjacency, Entitlement, Eviction, Host, Shape, Spec};
use crate::unit::{Accelerators, Cores, Job, Mebibytes, Workspace, Zone};

/// A shape that is guaranteed to a workspace whenever it claims it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct Guarantee {
    /// Guaranteed shape.
    pub shape: Shape,
    /// Availability zone in which it is placed; chosen when the intent is planned, if unstated.
    pub zone: Option<Zone>,
}

/// The serialized form of a guarantee: the fields of its shape beside the zone.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Fields {
    parts: u16,
    accelerators: Accelerators,
    #[serde(default)]
    cores: Cores,
    #[serde(default)]
    memory: Mebibytes,
    adjacency: Adjacency,
    #[serde(default)]
    zone: Option<Zone>,
}

impl From<Fields> for Guarantee {
    fn from(fields: Fields) -> Self {
        let Fields { parts, accelerators, cores, memory, adjacency, zone } = fields;
        Self { shape: Shape { parts, accelerators, cores, memory, adjacency }, zone }
    }
}

impl From<Guarantee> for Fields {
    fn from(guarantee: Guarantee) -> Self {
        let Shape { parts, accelerators, cores, memory, adjacency } = guarantee.shape;
        Self { parts, accelerators, cores, memory, adjacency, zone: guarantee.zone }
    }
}

/// The healthy workers of each availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Supply {
    /// Healthy workers by zone. A zone without any has no entry.
    pub zones: BTreeMap<Zone, Vec<Host>>,
}

/// Reason why an intent is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum Error {
    /// The zone has no healthy workers.
    #[error("zone {0} has no healthy workers")]
    NoWorkers(Zone),
    /// The zone is evacuated.
    #[error("zone {0} is evacuated")]
    Evacuated(Zone),
    /// The shape has no parts.
    #[error("a shape needs at least one part")]
    NoParts,
    /// No zone can hold the shape, even when nothing runs.
    #[error("{shape}: no zone holds it, even when nothing runs")]
    Impossible {
        /// Shape of the guarantee or job.
        shape: Shape,
    },
    /// The job cannot be evicted and does not fit beside the guarantees.
    #[error("{shape}: a job that cannot be evicted does not fit beside the guarantees")]
    Kept {
        /// Shape of the job.
        shape: Shape,
    },
    /// A guarantee would not fit beside the others.
    #[error("{shape} guaranteed to {workspace} would not fit in zone {zone}")]
    Unfit {
        /// Workspace of the guarantee that would not fit.
        workspace: Workspace,
        /// Shape of that guarantee.
        shape: Shape,
        /// Zone in which it would not fit.
        zone: Zone,
    },
}

/// Returns the guarantees of a zone in a configuration.
#[must_use]
pub fn entitlements(config: &Config, zone: &Zone) -> Vec<Entitlement> {
    let mut entitlements = Vec::new();
    for (workspace, quota) in &config.workspaces {
        for guarantee in quota.guarantees.iter().filter(|g| g.zone.as_ref() == Some(zone)) {
            entitlements.push(Entitlement { workspace: workspace.clone(), shape: guarantee.shape });
        }
    }
    entitlements
}

/// Assigns a zone to the guarantees and jobs of a change that state none.
///
/// # Errors
///
/// Returns [`Error`] if a shape has no parts or fits nowhere, or its zone has no workers.
pub fn bind(config: &Config, supply: &Supply, change: Change) -> Result<Change, Error> {
    match change {
        Change::PutWorkspace { workspace, quota } => {
            let quota = bind_quota(config, supply, &workspace, quota)?;
            Ok(Change::PutWorkspace { workspace, quota })
        }
        Change::Submit { job, mut spec } => {
            spec.zone = Some(zone_of_job(config, supply, job, &spec)?);
            Ok(Change::Submit { job, spec })
        }
        other => Ok(other),
    }
}

/// Checks that changes break no guarantee that fitted before, and add none that does not fit.
///
/// # Errors
///
/// Returns [`Error::Unfit`] with the guarantee that would have no place.
pub fn check(
    before: &Config,
    after: &Config,
    supply: &Supply,
    changes: &[Change],
) -> Result<(), Error> {
    for zone in affected_zones(supply, changes) {
        let Err(place::Unfit(entitlement)) = check_fit(after, supply, &zone, &[]) else {
            continue;
        };
        let new = !entitlements(before, &zone).contains(&entitlement);
        if new || check_fit(before, supply, &zone, &[]).is_ok() {
            let Entitlement { workspace, shape } = entitlement;
            return Err(Error::Unfit { workspace, shape, zone });
        }
    }
    Ok(())
}

/// Returns the zones in which changes may break guarantees.
fn affected_zones(supply: &Supply, changes: &[Change]) -> BTreeSet<Zone> {
    let mut zones = BTreeSet::new();
    for change in changes {
        match change {
            Change::PutWorkspace { quota, .. } => {
                zones.extend(quota.guarantees.iter().filter_map(|g| g.zone.clone()));
            }
            Change::Evacuate { zone } => {
                zones.insert(zone.clone());
            }
            Change::Drain { node } => {
                for (zone, hosts) in &supply.zones {
                    if hosts.iter().any(|host| host.node == *node) {
                        zones.insert(zone.clone());
                    }
                }
            }
            _ => {}
        }
    }
    zones
}

fn bind_quota(
    config: &Config,
    supply: &Supply,
    workspace: &Workspace,
    quota: Quota,
) -> Result<Quota, Error> {
    let mut held = config.workspaces.get(workspace).map_or(Vec::new(), |q| q.guarantees.clone());
    let mut after = config.clone();
    let mut bound = Quota { guarantees: Vec::new(), ..quota.clone() };
    for mut guarantee in quota.guarantees {
        if guarantee.shape.parts == 0 {
            return Err(Error::NoParts);
        }
        let same = |other: &Guarantee| {
            other.shape == guarantee.shape
                && (guarantee.zone.is_none() || guarantee.zone == other.zone)
        };
        if let Some(index) = held.iter().position(same) {
            bound.guarantees.push(held.swap_remove(index));
            continue;
        }
        after.workspaces.insert(workspace.clone(), bound.clone());
        if guarantee.zone.is_none() {
            let zone = zone_of_guarantee(&after, supply, workspace, guarantee.shape)?;
            guarantee.zone = Some(zone);
        }
        if let Some(zone) = &guarantee.zone
            && !supply.zones.contains_key(zone)
        {
            return Err(Error::NoWorkers(zone.clone()));
        }
        bound.guarantees.push(guarantee);
    }
    Ok(bound)
}

/// Chooses, of the zones in which the shape fits beside the other guarantees, the one with the most
/// accelerators that are not guaranteed yet.
fn zone_of_guarantee(
    config: &Config,
    supply: &Supply,
    workspace: &Workspace,
    shape: Shape,
) -> Result<Zone, Error> {
    let mut zones: Vec<(std::cmp::Reverse<u32>, &Zone)> = Vec::new();
    for (zone, hosts) in &supply.zones {
        let kept: u32 = entitlements(config, zone).iter().map(|p| p.shape.total().0).sum();
        zones.push((std::cmp::Reverse(capacity(hosts).0.saturating_sub(kept)), zone));
    }
    zones.sort();
    let entitlement = Entitlement { workspace: workspace.clone(), shape };
    let fits =
        |zone: &Zone| check_fit(config, supply, zone, std::slice::from_ref(&entitlement)).is_ok();
    if let Some((_, zone)) = zones.iter().find(|(_, zone)| fits(zone)) {
        return Ok((*zone).clone());
    }
    match zones.first() {
        Some((_, zone)) if holds_somewhere(supply, shape) => {
            Err(Error::Unfit { workspace: workspace.clone(), shape, zone: (*zone).clone() })
        }
        _ => Err(Error::Impossible { shape }),
    }
}

/// Chooses the zone of a job: the stated one, that of its guarantee, or the least loaded one that
/// can hold it.
fn zone_of_job(config: &Config, supply: &Supply, job: Job, spec: &Spec) -> Result<Zone, Error> {
    let shape = spec.shape;
    if shape.parts == 0 {
        return Err(Error::NoParts);
    }
    let wanted = spec.zone.clone().or_else(|| guaranteed_zone(config, spec));
    let mut zones: Vec<&Zone> = supply.zones.keys().collect();
    if let Some(zone) = &wanted {
        zones.retain(|other| *other == zone);
        if zones.is_empty() {
            return Err(Error::NoWorkers(zone.clone()));
        }
    }
    let evacuated = zones.iter().find(|zone| config.evacuated.contains(**zone)).copied();
    zones.retain(|zone| !config.evacuated.contains(*zone));
    if let Some(zone) = evacuated
        && zones.is_empty()
    {
        return Err(Error::Evacuated(zone.clone()));
    }
    zones.retain(|zone| holds(&supply.zones[*zone], shape));
    if zones.is_empty() {
        return Err(Error::Impossible { shape });
    }
    if spec.eviction == Eviction::Never && !spec.claim {
        let entitlement = Entitlement { workspace: spec.workspace.clone(), shape };
        zones.retain(|zone| {
            check_fit(config, supply, zone, std::slice::from_ref(&entitlement)).is_ok()
        });
    }
    let load = load(config, job);
    let load_permille = |zone: &Zone| {
        let load = u64::from(load.get(zone).copied().unwrap_or(0));
        load * 1_000 / u64::from(capacity(&supply.zones[zone]).0.max(1))
    };
    let zone = zones.into_iter().min_by_key(|zone| (load_permille(zone), (*zone).clone()));
    zone.cloned().ok_or(Error::Kept { shape })
}

/// Returns the zone of the guarantee that a job claims.
fn guaranteed_zone(config: &Config, spec: &Spec) -> Option<Zone> {
    if !spec.claim {
        return None;
    }
    let guarantees = &config.workspaces.get(&spec.workspace)?.guarantees;
    guarantees.iter().find(|g| g.shape.covers(&spec.shape))?.zone.clone()
}

/// Returns the accelerators that all jobs but one need in each zone.
fn load(config: &Config, except: Job) -> BTreeMap<&Zone, u32> {
    let mut load = BTreeMap::new();
    for (_, spec) in config.jobs.iter().filter(|(job, _)| **job != except) {
        if let Some(zone) = &spec.zone {
            *load.entry(zone).or_default() += spec.shape.total().0;
        }
    }
    load
}

fn capacity(hosts: &[Host]) -> Accelerators {
    let mut sum = Accelerators(0);
    for host in hosts {
        sum += host.capacity.accelerators;
    }
    sum
}

fn holds_somewhere(supply: &Supply, shape: Shape) -> bool {
    supply.zones.values().any(|hosts| holds(hosts, shape))
}

/// Returns whether workers can hold a shape when nothing runs.
fn holds(hosts: &[Host], shape: Shape) -> bool {
    let empty: Vec<Host> = hosts.iter().map(|host| Host { pinned: 0, ..host.clone() }).collect();
    let nobody = Workspace::try_from("nobody").expect("the name is valid");
    place::pack(&empty, &[Entitlement { workspace: nobody, shape }]).is_ok()
}

/// Checks that the guarantees of a zone and the `extra` ones fit at once on workers that are neither
/// drained nor in an evacuated zone.
fn check_fit(
    config: &Config,
    supply: &Supply,
    zone: &Zone,
    extra: &[Entitlement],
) -> Result<(), place::Unfit> {
    let mut entitlements = entitlements(config, zone);
    entitlements.extend_from_slice(extra);
    let hosts = supply.zones.get(zone).map_or(&[][..], Vec::as_slice);
    let open: Vec<Host> =
        hosts.iter().filter(|host| !config.is_closed(&host.node, zone)).cloned().collect();
    place::pack(&open, &entitlements)
}
