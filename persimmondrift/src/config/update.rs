//! What one process sends another that is behind: records, changes or a whole configuration.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Change, Config, Record};
use crate::unit::Version;

/// Most records, or changes, of one update. One that is further behind asks again.
const MAX_UPDATE_ITEMS: usize = 256;

/// What leads from an older configuration to a newer one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// To an entry: the records that follow, none if there are none.
    Records(Vec<Record>),
    /// To an agent: the changes of the records in between, without those of jobs.
    Changes {
        /// The version that they start from.
        base: Version,
        /// The version that they lead to.
        version: Version,
        /// The changes, in order.
        changes: Vec<Change>,
    },
    /// The whole configuration, for those who are far behind.
    Whole(Box<Config>),
}

/// Returns what leads an entry on from a version.
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

/// Returns what leads an agent on from a version.
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

/// Keeps the last change of each item: it alone decides.
fn keep_last_per_item(changes: Vec<Change>) -> Vec<Change> {
    let mut seen = BTreeSet::new();
    let mut kept: Vec<Change> =
        changes.into_iter().rev().filter(|change| seen.insert(change.item())).collect();
    kept.reverse();
    kept
}

/// Returns the records after a version, if none is missing.
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
    /// Returns a copy without jobs, for agents.
    #[must_use]
    pub fn without_jobs(&self) -> Self {
        Self {
            version: self.version,
            workspaces: self.workspaces.clone(),
            services: self.services.clone(),
            drained: self.drained.clone(),
            agent_version: self.agent_version,
            ..Self::default()
        }
    }

    /// Takes in an update at an agent, and returns whether the version went up.
    ///
    /// Changes that start from an older version than the one held are applied from their
    /// start: each sets or removes one item, so the last change of an item decides.
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

    /// Takes in at an agent that an entry is at a version, and that nothing that agents have
    /// to know has changed since an earlier one. Returns whether the version went up.
    pub fn advance_version(&mut self, agent_version: Version, version: Version) -> bool {
        if self.version < agent_version || version <= self.version {
            return false;
        }
        self.version = version;
        true
    }
}
