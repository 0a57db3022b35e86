//! An in-memory stand-in for the rows of the platform's store, with conditional batches.

use std::collections::{BTreeMap, BTreeSet};

use persimmondrift::cell::table::{Batch, Outcome, Partition, Row, Snapshot, Table, Write};
use persimmondrift::unit::{StoreTime, Version};

/// Maximum number of entries in a batch: conditions and writes.
const MAX_BATCH_ENTRIES: usize = 100;
/// Maximum size of a batch as it is sent, in bytes.
pub const MAX_BATCH_BYTES: usize = 1_000_000;
/// Maximum size of the value of a row, in bytes.
const MAX_ROW_BYTES: usize = 64 * 1024;

/// Version of a row and its value; the value is `None` if the row was removed.
type VersionedValue = (Version, Option<Vec<u8>>);

/// The rows of the store. Removed rows stay as tombstones.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    values: BTreeMap<(Table, String), VersionedValue>,
    version: Version,
    /// The store's clock; 0 if it gives none.
    pub now: StoreTime,
}

/// Limit of the store that a batch exceeds.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Excess {
    /// Too many entries.
    #[error("a batch of {0} entries")]
    Entries(usize),
    /// Too many bytes in all.
    #[error("a batch of {0} bytes")]
    Bytes(usize),
    /// Too long a value.
    #[error("{0}: a value of {1} bytes")]
    Row(String, usize),
}

/// Checks a batch against the limits of the store.
///
/// # Errors
///
/// Returns the limit that it exceeds.
pub fn check_limits(batch: &Batch) -> Result<(), Excess> {
    let entries = batch.conditions.len() + batch.writes.len();
    if entries > MAX_BATCH_ENTRIES {
        return Err(Excess::Entries(entries));
    }
    let mut bytes = 0;
    for write in &batch.writes {
        let value = write.value.as_ref().map_or(0, Vec::len);
        if value > MAX_ROW_BYTES {
            return Err(Excess::Row(write.key.clone(), value));
        }
        // Values are sent in base64.
        bytes += write.key.len() + value.div_ceil(3) * 4;
    }
    bytes += batch.conditions.iter().map(|condition| condition.key.len()).sum::<usize>();
    if bytes > MAX_BATCH_BYTES { Err(Excess::Bytes(bytes)) } else { Ok(()) }
}

impl Rows {
    /// Applies a batch atomically, or refuses it if a row differs in version from its condition.
    ///
    /// # Panics
    ///
    /// Panics if the batch spans several partitions or exceeds a limit, which the real store refuses.
    pub fn commit(&mut self, batch: &Batch) -> Outcome {
        let conditions = batch.conditions.iter().map(|c| c.table.partition(&c.key));
        let writes = batch.writes.iter().map(|write| write.table.partition(&write.key));
        let partitions: BTreeSet<Partition> = conditions.chain(writes).collect();
        assert!(partitions.len() <= 1, "a batch in several partitions: {partitions:?}");
        if let Err(excess) = check_limits(batch) {
            panic!("{excess}");
        }
        let holds = batch
            .conditions
            .iter()
            .all(|condition| self.version_of(condition.table, &condition.key) == condition.version);
        if !holds {
            let rows = batch.conditions.iter().filter_map(|c| self.get(c.table, &c.key));
            return Outcome::Refused(rows.collect());
        }
        self.version = self.version.next();
        for write in &batch.writes {
            let key = (write.table, write.key.clone());
            self.values.insert(key, (self.version, write.value.clone()));
        }
        Outcome::Applied(self.version)
    }

    /// Writes one row without a condition.
    pub fn write(&mut self, write: Write) {
        self.commit(&Batch { conditions: Vec::new(), writes: vec![write] });
    }

    /// Writes one row as operators do, without a limit of its size.
    pub fn write_unlimited(&mut self, write: Write) {
        self.version = self.version.next();
        self.values.insert((write.table, write.key), (self.version, write.value));
    }

    /// Returns a row, or `None` if it is absent or removed.
    #[must_use]
    pub fn get(&self, table: Table, key: &str) -> Option<Row> {
        let (version, value) = self.values.get(&(table, key.to_owned()))?;
        let value = Some(value.clone()?);
        Some(Row { table, key: key.to_owned(), version: *version, value })
    }

    /// Returns all rows of a table without tombstones.
    #[must_use]
    pub fn snapshot(&self, table: Table) -> Snapshot {
        let rows = self.all(table).filter(|row| row.value.is_some()).collect();
        Snapshot { rows, version: self.version, now: self.now }
    }

    /// Returns the rows of a table from a key up to but not including another, with tombstones.
    pub fn range(&self, table: Table, from: &str, to: &str) -> impl Iterator<Item = Row> {
        let bounds = (table, from.to_owned())..(table, to.to_owned());
        self.values.range(bounds).map(|((table, key), (version, value))| Row {
            table: *table,
            key: key.clone(),
            version: *version,
            value: value.clone(),
        })
    }

    /// Returns the rows of a table that changed after a version, with tombstones, ordered by
    /// version.
    #[must_use]
    pub fn changes(&self, table: Table, after: Version) -> Snapshot {
        let mut rows: Vec<Row> = self.all(table).filter(|row| row.version > after).collect();
        rows.sort_by_key(|row| row.version);
        Snapshot { rows, version: self.version, now: self.now }
    }

    fn all(&self, table: Table) -> impl Iterator<Item = Row> {
        let of_table = self.values.iter().filter(move |((name, _), _)| *name == table);
        of_table.map(|((table, key), (version, value))| Row {
            table: *table,
            key: key.clone(),
            version: *version,
            value: value.clone(),
        })
    }

    fn version_of(&self, table: Table, key: &str) -> Version {
        self.get(table, key).map_or(Version(0), |row| row.version)
    }
}
