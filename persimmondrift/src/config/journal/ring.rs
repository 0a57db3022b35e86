//! The layout of the log in the table: a ring of slots, one row each, so that the table does not
//! grow.
//!
//! Version 1 is in slot 0, and after the last slot the ring starts again. The version of a row
//! counts its laps. A record is written by compare-and-set on the row version of the lap before,
//! so each version has one writer, and a write that arrives a lap late is refused.

use crate::config::Record;
use crate::store::{Row, Write};
use crate::unit::{Mutation, Operator, Plan, Version};

/// Key prefix of the slots.
pub const PREFIX: &str = "config/";
/// Number of slots of the ring in production.
pub const SLOTS: u64 = 65_536;

/// A ring of slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ring {
    /// Number of slots.
    pub slots: u64,
}

impl Default for Ring {
    fn default() -> Self {
        Self { slots: SLOTS }
    }
}

/// The content of a slot relative to the version that is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Slot {
    /// The slot is empty or holds an older lap: the version was not written yet.
    Free,
    /// The slot holds the record of the version.
    Held(Box<Record>),
    /// The slot holds the lap of the version, but no valid record of it.
    Malformed,
    /// The slot holds a later lap: the record of the version is gone.
    Overwritten,
}

/// Returns a record without changes, which stands in for a malformed one.
///
/// # Panics
///
/// Never: the name of its operator is valid.
#[must_use]
pub fn empty_record(version: Version) -> Record {
    let operator = Operator::try_from("malformed").expect("the name is valid");
    let (plan, mutation) = (Plan(0), Mutation(0));
    Record { version, plan, operator, mutation, changes: Vec::new() }
}

impl Ring {
    /// Returns the key of the slot of a version.
    #[must_use]
    pub fn key(self, version: Version) -> String {
        format!("{PREFIX}{:05}", self.slot(version))
    }

    /// Returns the key after which a scan finds the slot of a version first.
    #[must_use]
    pub fn key_before(self, version: Version) -> String {
        match self.slot(version) {
            0 => String::new(),
            slot => format!("{PREFIX}{:05}", slot - 1),
        }
    }

    /// Returns whether the version is in the last slot.
    #[must_use]
    pub fn is_last_slot(self, version: Version) -> bool {
        self.slot(version) == self.slots - 1
    }

    /// Decodes the row of the slot of a version; `None` if there is no row.
    #[must_use]
    pub fn decode(self, row: Option<&Row>, version: Version) -> Slot {
        let Some(row) = row else {
            return Slot::Free;
        };
        let lap = self.laps_before(version).next();
        if row.version < lap {
            return Slot::Free;
        }
        if row.version > lap {
            return Slot::Overwritten;
        }
        match serde_json::from_value::<Record>(row.value.clone()) {
            Ok(record) if record.version == version => Slot::Held(Box::new(record)),
            _ => Slot::Malformed,
        }
    }

    /// Returns the conditional write that stores a record.
    #[must_use]
    pub fn write(self, record: &Record) -> Write {
        Write {
            key: self.key(record.version),
            expected: self.laps_before(record.version),
            mutation: record.mutation,
            value: serde_json::to_value(record).unwrap_or_default(),
        }
    }

    fn slot(self, version: Version) -> u64 {
        (version.0.max(1) - 1) % self.slots
    }

    /// Returns how often the slot was written before the version: the expected row version.
    fn laps_before(self, version: Version) -> Version {
        Version((version.0.max(1) - 1) / self.slots)
    }
}
