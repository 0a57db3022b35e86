//! The snapshot of the configuration: an object, and the row that names it.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{Call, Effect, Held, Journal, Phase, ring};
use crate::config::Config;
use crate::store::{Outcome, Row, Write};
use crate::unit::{Bytes, Mutation, Time, Version};

/// Key of the row that names the newest snapshot.
pub const KEY: &str = "snapshot";
/// Versions between two snapshots.
pub const EVERY: u64 = 1_024;
/// Part of these versions that each entry waits longer than the one before it.
const RANK_SHARE: u64 = 16;
/// Largest snapshot that is read.
const LARGEST: u64 = 256 << 20;

/// The row that names a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Mark {
    /// The version of the configuration.
    pub version: Version,
    /// The name of the object.
    pub object: String,
    /// The name of the object before, which readers may still be reading.
    pub before: String,
    /// Its size.
    pub bytes: Bytes,
    /// The hash of its content.
    pub hash: u64,
}

impl Journal {
    pub(super) fn snapshot_is_due(&self, config: &Config) -> bool {
        config.version.0 >= self.mark.version.0 + self.every + self.rank * self.every / RANK_SHARE
    }

    /// Returns whether a snapshot comes before the changes that wait: there are none, or it is
    /// long due.
    pub(super) fn snapshot_is_next(&self, now: Time, config: &Config) -> bool {
        let long_due = config.version.0 >= self.mark.version.0 + 2 * self.every;
        now >= self.snapshot_after
            && self.snapshot_is_due(config)
            && (self.queue.is_empty() || long_due)
    }

    /// Takes in the row at the start of the process, or when it is a lap behind.
    pub(super) fn mark_read(&mut self, row: Option<Row>, held: Held<'_>) -> Vec<Effect> {
        let malformed = !self.take_mark(row);
        self.loaded = true;
        self.woken = true;
        if self.mark.version > held.config.version {
            self.ask(Phase::ReadSnapshot, Call::Get(self.mark.object.clone()));
        }
        if malformed { vec![Effect::Malformed(KEY.to_owned())] } else { Vec::new() }
    }

    /// Takes in the object. One that is gone or cut off is passed over: a newer one is named
    /// soon, or the ring still holds what is needed.
    pub(super) fn snapshot_read(
        &mut self,
        now: Time,
        bytes: Option<Vec<u8>>,
        held: Held<'_>,
    ) -> Vec<Effect> {
        let whole = bytes.filter(|bytes| xxh3_64(bytes) == self.mark.hash);
        let config = whole.and_then(|bytes| postcard::from_bytes::<Config>(&bytes).ok());
        let Some(config) = config.filter(|config| config.version == self.mark.version) else {
            self.backoff.record_failure(now);
            return vec![Effect::Malformed(self.mark.object.clone())];
        };
        if config.version <= held.config.version {
            return Vec::new();
        }
        self.read_history(config.version);
        vec![Effect::Adopt(Box::new(config))]
    }

    /// Takes in the row before a snapshot is written: others may have written one.
    pub(super) fn mark_checked(&mut self, row: Option<Row>, held: Held<'_>) {
        self.take_mark(row);
        if !self.snapshot_is_due(held.config) {
            return;
        }
        let bytes = postcard::to_stdvec(held.config).unwrap_or_default();
        let version = held.config.version;
        self.next_mark = Mark {
            version,
            object: format!("config-{:020}", version.0),
            before: self.mark.object.clone(),
            bytes: Bytes(u64::try_from(bytes.len()).unwrap_or(u64::MAX)),
            hash: xxh3_64(&bytes),
        };
        self.ask(Phase::PutSnapshot, Call::Put(self.next_mark.object.clone(), bytes));
    }

    pub(super) fn mark_write(&self) -> Write {
        Write {
            key: KEY.to_owned(),
            expected: self.mark_row,
            mutation: Mutation(self.next_mark.hash ^ self.next_mark.version.0),
            value: serde_json::to_value(&self.next_mark).unwrap_or_default(),
        }
    }

    /// Takes in that the row was written; the object before the last is of no more use.
    pub(super) fn mark_written(&mut self, outcome: Outcome) {
        if outcome != Outcome::Applied {
            return;
        }
        let old = std::mem::replace(&mut self.mark, std::mem::take(&mut self.next_mark)).before;
        self.mark_row = self.mark_row.next();
        if !old.is_empty() {
            self.ask(Phase::DeleteSnapshot, Call::Delete(old));
        }
    }

    /// Returns whether the row was well-formed, or not there.
    fn take_mark(&mut self, row: Option<Row>) -> bool {
        let Some(row) = row else {
            return true;
        };
        self.mark_row = row.version;
        match serde_json::from_value::<Mark>(row.value) {
            Ok(mark) if mark.bytes.0 <= LARGEST => {
                self.mark = mark;
                true
            }
            _ => false,
        }
    }
}

const _: () = assert!(EVERY * 8 < ring::SLOTS, "several snapshots fit into a lap of the ring");
