//! Snapshots of the configuration: an object with the content, and a manifest row that names it.
//!
//! A process that starts, or has fallen behind by a lap of the ring, reads the snapshot first.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Call, Effect, Journal, LocalState, Phase, ring};
use crate::config::Config;
use crate::store::{Outcome, Row, Write};
use crate::unit::{Bytes, Mutation, Time, Version};

/// Key of the manifest row.
pub const KEY: &str = "snapshot";
/// Number of versions between two snapshots.
pub const VERSIONS_PER_SNAPSHOT: u64 = 1_024;
/// Each entry waits longer than the one before it by the versions between two snapshots divided
/// by this, so that usually one entry writes the snapshot.
const RANK_DIVISOR: u64 = 16;
/// Maximum size of a snapshot in bytes. A manifest with a larger one is malformed.
const MAX_SNAPSHOT_BYTES: u64 = 256 << 20;

/// The row that names the newest snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Manifest {
    /// Version of the configuration in the snapshot.
    pub version: Version,
    /// Name of the object with the snapshot.
    pub object: String,
    /// Name of the object of the previous snapshot, kept since it may still be read.
    #[serde(rename = "before")]
    pub previous: String,
    /// Size of the object.
    pub bytes: Bytes,
    /// XXH3 hash of the object's content.
    pub hash: u64,
}

impl Journal {
    pub(super) fn snapshot_is_due(&self, config: &Config) -> bool {
        config.version.0
            >= self.manifest.version.0
                + self.versions_per_snapshot
                + self.rank * self.versions_per_snapshot / RANK_DIVISOR
    }

    /// Returns whether a snapshot is written next. Pending changes go first, until it is overdue
    /// by as many versions as lie between two snapshots.
    pub(super) fn snapshot_is_next(&self, now: Time, config: &Config) -> bool {
        let overdue = config.version.0 >= self.manifest.version.0 + 2 * self.versions_per_snapshot;
        now >= self.snapshot_after
            && self.snapshot_is_due(config)
            && (self.queue.is_empty() || overdue)
    }

    /// Handles the manifest read when the process starts or has fallen behind by a lap.
    pub(super) fn handle_manifest(
        &mut self,
        row: Option<Row>,
        local: LocalState<'_>,
    ) -> Vec<Effect> {
        let malformed = !self.load_manifest(row);
        self.snapshot_loaded = true;
        self.woken = true;
        if self.manifest.version > local.config.version {
            self.issue(Phase::ReadSnapshot, Call::Get(self.manifest.object.clone()));
        }
        if malformed { vec![Effect::Malformed(KEY.to_owned())] } else { Vec::new() }
    }

    /// Handles the snapshot object. A missing or malformed one is skipped: either a newer one is
    /// named soon, or the ring still holds the records that are needed.
    pub(super) fn handle_snapshot(
        &mut self,
        now: Time,
        bytes: Option<Vec<u8>>,
        local: LocalState<'_>,
    ) -> Vec<Effect> {
        let intact = bytes.filter(|bytes| xxh3_64(bytes) == self.manifest.hash);
        let config = intact.and_then(|bytes| postcard::from_bytes::<Config>(&bytes).ok());
        let Some(config) = config.filter(|config| config.version == self.manifest.version) else {
            self.backoff.record_failure(now);
            return vec![Effect::Malformed(self.manifest.object.clone())];
        };
        if config.version <= local.config.version {
            return Vec::new();
        }
        self.read_history(config.version);
        vec![Effect::Adopt(Box::new(config))]
    }

    /// Handles the manifest read before a snapshot is written: another entry may have written
    /// one.
    pub(super) fn handle_manifest_check(&mut self, row: Option<Row>, local: LocalState<'_>) {
        self.load_manifest(row);
        if !self.snapshot_is_due(local.config) {
            return;
        }
        let bytes = postcard::to_stdvec(local.config).unwrap_or_default();
        let version = local.config.version;
        self.next_manifest = Manifest {
            version,
            object: format!("config-{:020}", version.0),
            previous: self.manifest.object.clone(),
            bytes: Bytes(u64::try_from(bytes.len()).unwrap_or(u64::MAX)),
            hash: xxh3_64(&bytes),
        };
        self.issue(Phase::PutSnapshot, Call::Put(self.next_manifest.object.clone(), bytes));
    }

    pub(super) fn manifest_write(&self) -> Write {
        Write {
            key: KEY.to_owned(),
            expected: self.manifest_version,
            mutation: Mutation(self.next_manifest.hash ^ self.next_manifest.version.0),
            value: serde_json::to_value(&self.next_manifest).unwrap_or_default(),
        }
    }

    /// Handles the outcome of the manifest write and deletes the object before the previous one.
    pub(super) fn handle_manifest_written(&mut self, outcome: Outcome) {
        if outcome != Outcome::Applied {
            return;
        }
        let old =
            std::mem::replace(&mut self.manifest, std::mem::take(&mut self.next_manifest)).previous;
        self.manifest_version = self.manifest_version.next();
        if !old.is_empty() {
            self.issue(Phase::DeleteSnapshot, Call::Delete(old));
        }
    }

    /// Stores the manifest of a row. Returns whether the row is valid or absent.
    fn load_manifest(&mut self, row: Option<Row>) -> bool {
        let Some(row) = row else {
            return true;
        };
        self.manifest_version = row.version;
        match serde_json::from_value::<Manifest>(row.value) {
            Ok(manifest) if manifest.bytes.0 <= MAX_SNAPSHOT_BYTES => {
                self.manifest = manifest;
                true
            }
            _ => false,
        }
    }
}

const _: () = assert!(
    VERSIONS_PER_SNAPSHOT * 8 < ring::SLOTS,
    "several snapshots fit into a lap of the ring"
);
