//! Updates that bring a lagging entry or agent to a newer configuration: records, changes or
//! the whole configuration.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Change, Config, Record};
use crate::unit::Version;

/// Number of records, or of changes, at which an update ends. A receiver that is still behind
/// fetches the next one.
const MAX_UPDATE_ITEMS: usize = 256;

/// Data that leads from an older configuration to a newer one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// For an entry: the next records, empty if it is up to date.
    Records(Vec<Record>),
    /// For an agent: the changes between two versions, without changes of jobs.
    Changes {
        /// Version that the changes start from.
        base: Version,
        /// Version that the changes lead to.
        version: Version,
        /// Changes in the order in which they are applied.
        changes: Vec<Change>,
    },
    /// The whole configuration, for a receiver that needs records which are no longer kept.
    Whole(Box<Config>),
}

/// Returns the update for an entry that is at version `after`.
#[must_use]
pub fn entry_update(config: &Config, records: &VecDeque<Record>, after: Version) -> Update {
    if after >= config.version {
        return Update::Records(Vec::new());
    }
    match records_after(config, records, after) {
        Some(later) => Update::Records(later.take(MAX_UPDATE_ITEMS).cloned().collect()),
        None => Update::Whole(Box::new(config.clone())),
    }
}

/// Returns the update for an agent that is at version `after`.
#[must_use]
pub fn agent_update(config: &Config, records: &VecDeque<Record>, after: Version) -> Update {
    let (base, version) = (after, config.version.max(after));
    if after >= config.agent_version {
        return Update::Changes { base, version, changes: Vec::new() };
    }
    let Some(later) = records_after(config, records, after) else {
        return Update::Whole(Box::new(config.without_jobs()));
    };
    let mut changes = Vec::new();
    for record in later {
        let relevant = record.changes.iter().filter(|change| change.affects_agents());
        changes.extend(relevant.cloned());
        if changes.len() >= MAX_UPDATE_ITEMS {
            return Update::Changes {
                base,
                version: record.version,
                changes: keep_last_per_item(changes),
            };
        }
    }
    Update::Changes { base, version, changes: keep_last_per_item(changes) }
}

/// Keeps the last change of each item, since it overrides the earlier ones.
fn keep_last_per_item(changes: Vec<Change>) -> Vec<Change> {
    let mut seen = BTreeSet::new();
    let mut kept: Vec<Change> =
        changes.into_iter().rev().filter(|change| seen.insert(change.item())).collect();
    kept.reverse();
    kept
}

/// Returns the records after a version, or `None` if one of them is no longer kept.
fn records_after<'a>(
    config: &Config,
    records: &'a VecDeque<Record>,
    after: Version,
) -> Option<impl Iterator<Item = &'a Record> + use<'a>> {
    let first = records.front().filter(|first| first.version <= after.next())?;
    records.back().filter(|last| last.version == config.version)?;
    let skip = usize::try_from(after.next().0 - first.version.0).unwrap_or(usize::MAX);
    Some(records.iter().skip(skip))
}

impl Config {
    /// Returns a copy without jobs and their outcomes, for agents.
    #[must_use]
    pub fn without_jobs(&self) -> Self {
        Self {
            version: self.version,
            workspaces: self.workspaces.clone(),
            services: self.services.clone(),
            drained: self.drained.clone(),
            evacuated: self.evacuated.clone(),
            agent_version: self.agent_version,
            ..Self::default()
        }
    }

    /// Applies an update at an agent and returns whether the version rose.
    ///
    /// Changes may start from an older version than the local one and overlap with it: each
    /// sets or removes one item, so applying them again gives the same result.
    pub fn apply_update(&mut self, update: Update) -> bool {
        match update {
            Update::Changes { base, version, changes } => {
                if base > self.version || version <= self.version {
                    return false;
                }
                if !changes.is_empty() {
                    self.agent_version = version;
                }
                for change in &changes {
                    self.apply_change(change);
                }
                self.version = version;
                true
            }
            Update::Whole(whole) if whole.version > self.version => {
                *self = whole.without_jobs();
                true
            }
            Update::Whole(_) | Update::Records(_) => false,
        }
    }

    /// Raises the version of an agent's configuration to that of an entry, without an update,
    /// if no change that agents need was made since the local version. `agent_version` is the
    /// last version with such a change. Returns whether the version rose.
    pub fn advance_version(&mut self, agent_version: Version, version: Version) -> bool {
        if self.version < agent_version || version <= self.version {
            return false;
        }
        self.version = version;
        true
    }
}
