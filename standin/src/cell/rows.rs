//! The rows of the store, with conditional batches.

use std::collections::{BTreeMap, BTreeSet};

use persimmondrift::cell::table::{Batch, Outcome, Partition, Row, Snapshot, Table, Write};
use persimmondrift::unit::Version;

/// The version of a row and its value; nothing if it was removed.
type VersionedValue = (Version, Option<Vec<u8>>);

/// The rows of the store. Removed rows stay as marks.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    rows: BTreeMap<(Table, String), VersionedValue>,
    version: Version,
}

impl Rows {
    /// Applies a batch, all or nothing.
    ///
    /// # Panics
    ///
    /// Panics if the rows of the batch are in several partitions, which the store refuses.
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

    /// Returns a row that exists.
    #[must_use]
    pub fn get(&self, table: Table, key: &str) -> Option<Row> {
        let (version, value) = self.rows.get(&(table, key.to_owned()))?;
        let value = Some(value.clone()?);
        Some(Row { table, key: key.to_owned(), version: *version, value })
    }

    /// Returns the rows of a table.
    #[must_use]
    pub fn snapshot(&self, table: Table) -> Snapshot {
        let rows = self.all(table).filter(|row| row.value.is_some()).collect();
        Snapshot { rows, version: self.version, now_ms: 0 }
    }

    /// Returns the rows of a table from a key up to another, and the marks of removed ones.
    pub fn range(&self, table: Table, from: &str, to: &str) -> impl Iterator<Item = Row> {
        let bounds = (table, from.to_owned())..(table, to.to_owned());
        self.rows.range(bounds).map(|((table, key), (version, value))| Row {
            table: *table,
            key: key.clone(),
            version: *version,
            value: value.clone(),
        })
    }

    /// Returns the rows of a table that changed after a version, the earliest first.
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
