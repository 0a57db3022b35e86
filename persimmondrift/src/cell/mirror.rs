//! In-memory copies of the store's rows, kept up to date by version.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::codec;
use super::job::Id;
use super::record::{self, JOB_PREFIX, Job, PROGRESS_PREFIX, Progress, ROLE_KEY, Role, State};
use super::table::{Row, Snapshot};
use crate::unit::{Epoch, Version};

/// What is known of a row.
#[derive(Debug, Clone)]
struct Known<T> {
    /// Newest version of the row, whether or not its record could be read.
    version: Version,
    /// Newest record that could be read, and its version; `None` if the row was removed.
    record: Option<(Version, Arc<T>)>,
    /// Whether the row at `version` exists and could not be read.
    is_unreadable: bool,
}

/// Records of one kind by key. A removed row leaves a tombstone, so that older updates of it are
/// ignored. A row that cannot be read, since another writer has changed it, keeps its last record.
/// Copies share the records.
#[derive(Debug, Clone)]
pub struct Mirror<T> {
    rows: BTreeMap<String, Known<T>>,
}

impl<T> Default for Mirror<T> {
    fn default() -> Self {
        Self { rows: BTreeMap::new() }
    }
}

impl<T: codec::Record> Mirror<T> {
    /// Applies a row unless its record is known at this or a newer version. Returns whether it was
    /// applied.
    pub fn apply(&mut self, row: &Row) -> bool {
        self.apply_checked(row, |_| true)
    }

    /// Applies a row as [`Self::apply`] does. A record for which `is_valid` returns false counts as one
    /// that cannot be read.
    pub fn apply_checked(&mut self, row: &Row, is_valid: impl Fn(&T) -> bool) -> bool {
        if row.version <= self.newest(&row.key) {
            return false;
        }
        let Some(value) = row.value.as_deref() else {
            return self.put(&row.key, row.version, None);
        };
        if let Some(record) = record::decode(value).filter(is_valid) {
            return self.put(&row.key, row.version, Some(record));
        }
        crate::warn!(RowRefused, "key={} version={} malformed", row.key, row.version);
        let known = self.rows.entry(row.key.clone()).or_insert_with(|| Known {
            version: row.version,
            record: None,
            is_unreadable: true,
        });
        (known.version, known.is_unreadable) = (row.version, true);
        true
    }

    /// Applies a record, or its removal, unless it is known at this or a newer version. Returns
    /// whether it was applied.
    pub fn put(&mut self, key: &str, version: Version, record: Option<T>) -> bool {
        if version <= self.newest(key) {
            return false;
        }
        let record = record.map(|record| (version, Arc::new(record)));
        self.rows.insert(key.to_owned(), Known { version, record, is_unreadable: false });
        true
    }

    /// Applies a snapshot of all rows. Rows that are not in it were removed.
    pub fn reset(&mut self, snapshot: &Snapshot) {
        self.reset_checked(snapshot, |_, _| true);
    }

    /// Applies a snapshot as [`Self::reset`] does, with a check as in [`Self::apply_checked`].
    pub fn reset_checked(&mut self, snapshot: &Snapshot, is_valid: impl Fn(&str, &T) -> bool) {
        let kept: Vec<&str> = snapshot.rows.iter().map(|row| row.key.as_str()).collect();
        for (key, known) in &mut self.rows {
            if known.version <= snapshot.version && kept.binary_search(&key.as_str()).is_err() {
                *known = Known { version: snapshot.version, record: None, is_unreadable: false };
            }
        }
        for row in &snapshot.rows {
            self.apply_checked(row, |record| is_valid(&row.key, record));
        }
    }

    /// Drops the tombstones of rows that were removed up to a version.
    pub fn prune(&mut self, up_to: Version) {
        self.rows.retain(|_, known| {
            known.record.is_some() || known.is_unreadable || known.version > up_to
        });
    }

    /// Returns a record; `None` if it does not exist.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&T> {
        let (_, record) = self.rows.get(key)?.record.as_ref()?;
        Some(record)
    }

    /// Returns the version of a row that exists, readable or not, or 0.
    #[must_use]
    pub fn version(&self, key: &str) -> Version {
        match self.rows.get(key) {
            Some(known) if known.record.is_some() || known.is_unreadable => known.version,
            _ => Version(0),
        }
    }

    /// Returns whether a row exists that could not be read.
    #[must_use]
    pub fn is_unreadable(&self, key: &str) -> bool {
        self.rows.get(key).is_some_and(|known| known.is_unreadable)
    }

    /// Returns the keys of the rows of which no record could be read.
    pub fn unread(&self) -> impl Iterator<Item = &str> {
        let unread = |known: &Known<T>| known.is_unreadable && known.record.is_none();
        self.rows.iter().filter(move |(_, known)| unread(known)).map(|(key, _)| &**key)
    }

    /// Returns the existing records in the order of their keys, each with the version at which it was
    /// read.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Version, &T)> {
        self.rows.iter().filter_map(|(key, known)| {
            let (version, record) = known.record.as_ref()?;
            Some((&**key, *version, &**record))
        })
    }

    fn newest(&self, key: &str) -> Version {
        self.rows.get(key).map_or(Version(0), |known| known.version)
    }
}

/// Copy of the table of jobs.
#[derive(Debug, Clone, Default)]
pub struct Jobs {
    /// Accepted jobs.
    pub accepted: Mirror<Job>,
    /// Progress of jobs.
    pub progress: Mirror<Progress>,
    /// The planner's role.
    pub role: Mirror<Role>,
}

impl Jobs {
    /// Applies a row unless it is known at this or a newer version. Returns whether it was applied.
    pub fn apply(&mut self, row: &Row) -> bool {
        match row.key.as_str() {
            ROLE_KEY => self.role.apply(row),
            key if key.starts_with(JOB_PREFIX) => self.accepted.apply_checked(row, Job::is_valid),
            key if key.starts_with(PROGRESS_PREFIX) => self
                .progress
                .apply_checked(row, |progress| has_size(&self.accepted, &row.key, progress)),
            _ => false,
        }
    }

    /// Applies a snapshot of the whole table.
    pub fn reset(&mut self, snapshot: Snapshot) {
        let Snapshot { rows, version, now } = snapshot;
        let mut parts: [Vec<Row>; 3] = Default::default();
        for row in rows {
            let part = match row.key.as_str() {
                ROLE_KEY => 0,
                key if key.starts_with(JOB_PREFIX) => 1,
                key if key.starts_with(PROGRESS_PREFIX) => 2,
                _ => continue,
            };
            parts[part].push(row);
        }
        let [role, accepted, progress] = parts.map(|rows| Snapshot { rows, version, now });
        self.role.reset(&role);
        self.accepted.reset_checked(&accepted, |_, job| job.is_valid());
        let Self { accepted, progress: own, .. } = self;
        own.reset_checked(&progress, |key, progress| has_size(accepted, key, progress));
    }

    /// Drops the tombstones of jobs and progress that were removed up to a version.
    pub fn prune(&mut self, up_to: Version) {
        self.accepted.prune(up_to);
        self.progress.prune(up_to);
    }

    /// Returns the role and the version of its row. The epoch is bounded by what the row's version allows;
    /// if the row cannot be read, it is that bound, so that it is not lower than any that was in the row.
    #[must_use]
    pub fn role(&self) -> (Version, Role) {
        let version = self.role.version(ROLE_KEY);
        let role = self.role.get(ROLE_KEY).cloned().unwrap_or_default();
        let limit = Epoch::limit(version);
        let epoch = if self.role.is_unreadable(ROLE_KEY) { limit } else { role.epoch.min(limit) };
        (version, Role { epoch, ..role })
    }

    /// Returns an accepted job.
    #[must_use]
    pub fn job(&self, id: Id) -> Option<&Job> {
        self.accepted.get(&record::job_key(id))
    }

    /// Returns the state of a job as its caller sees it; `None` if the job is not known here.
    #[must_use]
    pub fn state(&self, id: Id) -> Option<State> {
        let job = self.job(id).filter(|job| job.request.is_some())?;
        let progress = self.progress.get(&record::progress_key(id));
        let state = progress.map_or(State::Queued, |progress| progress.state);
        Some(if job.cancelled && !state.is_final() { State::Cancelled } else { state })
    }

    /// Returns how many jobs of a queue wait for their first start.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        let waits = |key: &str| {
            let progress = key
                .strip_prefix(JOB_PREFIX)
                .and_then(|id| self.progress.get(&format!("{PROGRESS_PREFIX}{id}")));
            progress.is_none_or(|progress| progress.state == State::Queued)
        };
        let of_queue = self.accepted.iter().filter(|(_, _, job)| {
            job.queue.name == queue && !job.cancelled && job.request.is_some()
        });
        of_queue.filter(|(key, _, _)| waits(key)).count()
    }
}

/// Returns whether the progress of a job has the size of the job, if that is known. An ended job may
/// keep less.
fn has_size(jobs: &Mirror<Job>, key: &str, progress: &Progress) -> bool {
    let id = key.strip_prefix(PROGRESS_PREFIX).unwrap_or_default();
    let job = jobs.get(&format!("{JOB_PREFIX}{id}"));
    let request = job.and_then(|job| job.request.as_ref());
    request.is_none_or(|request| progress.state.is_final() || progress.fits(request))
}
