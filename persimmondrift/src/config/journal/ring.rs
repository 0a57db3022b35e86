//! The rows that hold the records: a ring of slots, so that the table does not grow.
//!
//! Version 1 stands in slot 0. After the last slot the ring starts again, one lap later. A
//! record is written on condition that its slot still holds the lap before. So each version
//! has one writer, and a write that comes a lap too late is refused.

use crate::config::Record;
use crate::store::{Row, Write};
use crate::unit::{Mutation, Operator, Plan, Version};

/// Prefix of the keys.
pub const PREFIX: &str = "config/";
/// Number of slots of the ring in use.
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

/// What a slot holds, seen from the version that is looked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Slot {
    /// An older lap or nothing: the version does not exist yet.
    Free,
    /// The record of the version.
    Held(Box<Record>),
    /// The row of the version, malformed.
    Malformed,
    /// A later lap: the version was overwritten.
    Overwritten,
}

/// Returns the record that takes the place of a malformed one: it changes nothing.
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

    /// Returns whether the next version stands in the first slot.
    #[must_use]
    pub fn ends_lap(self, version: Version) -> bool {
        self.slot(version) == self.slots - 1
    }

    /// Returns what a slot that was read holds of a version.
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

    /// Returns the write of a record.
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

    /// Returns how often the slot of a version was written before it.
    fn laps_before(self, version: Version) -> Version {
        Version((version.0.max(1) - 1) / self.slots)
    }
}
