//! Ids of jobs whose rows were removed, so that queries for them need no read of the store.

use std::collections::{BTreeMap, VecDeque};

use super::job::Id;
use crate::unit::Version;

/// Maximum number of ids that are kept; the oldest are dropped first.
const MAX_IDS: usize = 16_384;

/// Ids of jobs whose rows were removed, with the version up to which each row is known to be removed.
#[derive(Debug, Default)]
pub struct Removed {
    versions: BTreeMap<Id, Version>,
    /// The ids in the order in which they were added.
    order: VecDeque<Id>,
}

impl Removed {
    /// Records that a row was removed at or before a version.
    pub fn insert(&mut self, id: Id, version: Version) {
        if self.versions.insert(id, version).is_some() {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.versions.remove(&oldest);
        }
    }

    /// Returns the version up to which a row is known to be removed; `None` if it is not known to be.
    #[must_use]
    pub fn version(&self, id: Id) -> Option<Version> {
        self.versions.get(&id).copied()
    }
}
