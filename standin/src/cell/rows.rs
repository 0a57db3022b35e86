//! An in-memory stand-in for the rows of the platform's store, with conditional batches.

use std::collections::{BTreeMap, BTreeSet};

use persimmondrift::cell::table::{Batch, Outcome, Partition, Row, Snapshot, Table, Write};
use persimmondrift::unit::Version;

/// Version of a row and its value; the value is `None` if the row was removed.
type VersionedValue = (Version, Option<Vec<u8>>);

/// The rows of the store. Removed rows stay as tombstones.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    rows: BTreeMap<(Table, String), VersionedValue>,
    version: Version,
}

impl Rows {
    /// Applies a batch atomically, or refuses it if a row differs in version from its condition.
    ///
    /// # Panics
    ///
    /// Panics if the batch spans several partitions, which the real store refuses.
    pub fn commit(&mut self, batch: &Batch) -> Outcome {
        let conditions = batch.conditions.iter().map(|c| c.table.partition(&c.key));
        let writes = batch.writes.iter().map(|write| write.table.partition(&write.key));
        let partitions: BTreeSet<Partition> = conditions.chain(writes).collect();
        assert!(partitions.len() <= 1, "a batch in several partitions: {partitions:?}");
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
            self.rows.insert(key, (self.version, write.value.clone()));
        }
        Outcome::Applied(self.version)
    }

    /// Writes one row without a condition.
    pub fn write(&mut self, write: Write) {
        self.commit(&Batch { conditions: Vec::new(), writes: vec![write] });
    }

    /// Returns a row, or `None` if it is absent or removed.
    #[must_use]
    pub fn get(&self, table: Table, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(&(table, key.to_owned()))?;
        let value = Some(value.clone()?);
        Some(Row { table, key: key.to_owned(), version: *version, value })
    }

    /// Returns all rows of a table without tombstones.
    #[must_use]
    pub fn snapshot(&self, table: Table) -> Snapshot {
        let rows = self.all(table).filter(|row| row.value.is_some()).collect();
        Snapshot { rows, version: self.version, now_ms: 0 }
    }

    /// Returns the rows of a table from a key up to but not including another, with tombstones.
    pub fn range(&self, table: Table, from: &str, to: &str) -> impl Iterator<Item = Row> {
        let bounds = (table, from.to_owned())..(table, to.to_owned());
        self.rows.range(bounds).map(|((table, key), (version, value))| Row {
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
        Snapshot { rows, version: self.version, now_ms: 0 }
    }

    fn all(&self, table: Table) -> impl Iterator<Item = Row> {
        let of_table = self.rows.iter().filter(move |((name, _), _)| *name == table);
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
