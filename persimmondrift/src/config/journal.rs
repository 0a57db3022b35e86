//! The state machine with which an entry replicates the configuration log: it reads new
//! records, appends confirmed plans and job outcomes, and maintains a snapshot. It does no I/O:
//! the caller makes the calls that it returns.
//!
//! A record is written into the slot after the last one read, on condition that the slot is
//! free. A writer has therefore read every earlier record and sees whether any process has
//! confirmed the plan already, so a plan takes effect at most once.

mod append;
pub mod ring;
mod snapshot;

use std::collections::VecDeque;
use std::time::Duration;

use crate::config::{Config, MAX_RECORDS, Record};
use crate::store::{self, Backoff, Outcome, Row, Write};
use crate::unit::{Job, Time, Version};
use crate::{intent, place};

pub use append::{Append, Ticket};
pub use snapshot::{Manifest, VERSIONS_PER_SNAPSHOT};

use append::Queue;
use ring::{Ring, Slot};

/// Interval at which the ring is read for new records.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a failed snapshot is retried. Changes are accepted meanwhile.
const SNAPSHOT_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Number of records that are read one by one before the journal switches to scans.
const MAX_SINGLE_READS: u32 = 4;
/// Time after which a pending append fails, with [`Error::Undecided`] if its write may have
/// taken effect.
pub const APPEND_TIMEOUT: Duration = Duration::from_secs(4);

/// A call of the table service or of the object store.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Reads the row with this key.
    Read(String),
    /// Reads the rows of the ring after this key, in order.
    Scan(String),
    /// Writes rows, all or none.
    Write(Vec<Write>),
    /// Reads the object of this name.
    Get(String),
    /// Writes an object of this name.
    Put(String, Vec<u8>),
    /// Deletes the object of this name.
    Delete(String),
}

/// The result of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Result of [`Call::Read`]; `None` if there is no such row.
    Row(Result<Option<Row>, store::Error>),
    /// Result of [`Call::Scan`]: the first page of the rows.
    Rows(Result<Vec<Row>, store::Error>),
    /// Result of [`Call::Write`].
    Wrote(Result<Outcome, store::Error>),
    /// Result of [`Call::Get`]; `None` if there is no such object.
    Object(Result<Option<Vec<u8>>, store::Error>),
    /// Result of [`Call::Put`] or [`Call::Delete`].
    Stored(Result<(), store::Error>),
}

/// An action that the caller has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Applies records that follow the local configuration.
    Accept(Vec<Record>),
    /// Replaces the local configuration by a newer one from a snapshot.
    Adopt(Box<Config>),
    /// Keeps records up to the adopted snapshot. They are not applied again.
    Backfill(Vec<Record>),
    /// Reports the version at which an appended plan took effect, or why it did not.
    AppendResult(Ticket, Result<Version, Error>),
    /// Notifies the other entries of records that this process has written.
    NotifyEntries,
    /// Reports the key of a malformed row or the name of a malformed snapshot. A malformed row
    /// of the ring counts as a record without changes.
    Malformed(String),
    /// Reports a failed call.
    Failed(store::Error),
}

/// Reason why an append failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The plan is invalid, stale or conflicts with a later change.
    #[error("{0}")]
    Intent(#[from] intent::Error),
    /// Calls failed until the deadline; nothing was accepted.
    #[error("nothing was accepted: {0}")]
    Unavailable(store::Error),
    /// A write was sent and got no answer, so the change may have been accepted.
    #[error("it is not known yet whether the change was accepted; confirm the same plan again")]
    Undecided,
    /// Too many appends are pending, or the deadline passed before this one was written.
    #[error("nothing was accepted: too many changes wait")]
    Busy,
    /// The ring is full because no snapshot could be written.
    #[error("nothing was accepted: the log is full until the object store takes a snapshot")]
    Full,
}

/// The configuration of this entry and the records that led to it.
#[derive(Debug, Clone, Copy)]
pub struct LocalState<'a> {
    /// Configuration after the last applied record.
    pub config: &'a Config,
    /// The newest records, oldest first and without a gap.
    pub records: &'a VecDeque<Record>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Idle,
    ReadManifest,
    ReadSnapshot,
    ReadHistory(Version),
    ReadNext,
    ScanNext,
    WriteRecords,
    CheckManifest,
    PutSnapshot,
    WriteManifest,
    DeleteSnapshot,
}

/// The state of the log at one entry.
#[derive(Debug)]
pub struct Journal {
    ring: Ring,
    versions_per_snapshot: u64,
    phase: Phase,
    pending_call: Option<Call>,
    queue: Queue,
    backoff: Backoff,
    last_poll: Option<Time>,
    woken: bool,
    single_reads: u32,
    snapshot_loaded: bool,
    caught_up: bool,
    manifest: Manifest,
    manifest_version: Version,
    next_manifest: Manifest,
    rank: u64,
    snapshot_after: Time,
}

impl Phase {
    /// Returns whether the phase is part of writing a snapshot. A failure there does not delay
    /// changes.
    fn writes_snapshot(self) -> bool {
        matches!(
            self,
            Self::CheckManifest | Self::PutSnapshot | Self::WriteManifest | Self::DeleteSnapshot
        )
    }
}

impl Journal {
    /// Creates the journal of a process that has read nothing yet. The seed determines the
    /// jitter of the backoff.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self::with_sizes(seed, Ring::default(), snapshot::VERSIONS_PER_SNAPSHOT)
    }

    /// Creates a journal with a given ring and number of versions between two snapshots.
    #[must_use]
    pub fn with_sizes(seed: u64, ring: Ring, versions_per_snapshot: u64) -> Self {
        Self {
            ring,
            versions_per_snapshot,
            phase: Phase::Idle,
            pending_call: None,
            queue: Queue::default(),
            backoff: Backoff::new(seed),
            last_poll: None,
            woken: false,
            single_reads: 0,
            snapshot_loaded: false,
            caught_up: false,
            manifest: Manifest::default(),
            manifest_version: Version(0),
            next_manifest: Manifest::default(),
            rank: 0,
            snapshot_after: Time(0),
        }
    }

    /// Returns whether the journal has reached the end of the log since the process started.
    #[must_use]
    pub fn has_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Sets the number of live entries before this one. Those write a snapshot earlier.
    pub fn set_rank(&mut self, rank: u64) {
        self.rank = rank;
    }

    /// Requests a read of the log without waiting for [`POLL_INTERVAL`].
    pub fn wake(&mut self) {
        self.woken = true;
    }

    /// Queues a confirmed plan. Returns its result at once if too many appends are pending.
    pub fn append(&mut self, now: Time, append: Append) -> Option<Effect> {
        let ticket = append.ticket;
        let queued = self.queue.push(now + APPEND_TIMEOUT, append);
        if queued { None } else { Some(Effect::AppendResult(ticket, Err(Error::Busy))) }
    }

    /// Queues the outcome of a job, which is kept until the job has ended in the log.
    pub fn add_job_end(&mut self, job: Job, outcome: place::Outcome) {
        self.queue.add_job_end(job, outcome);
    }

    /// Returns the time until the next call is due, zero if it is due now.
    #[must_use]
    pub fn time_to_next(&self, now: Time) -> Duration {
        if self.pending_call.is_some() {
            return Duration::ZERO;
        }
        let pause = self.backoff.remaining(now);
        if self.woken || !self.queue.is_empty() {
            return pause;
        }
        let poll = self.last_poll.map_or(Duration::ZERO, |last| (last + POLL_INTERVAL).since(now));
        poll.max(pause)
    }

    /// Fails the appends whose deadline has passed.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        // The outcome of a write in progress has to be known first.
        if self.phase == Phase::WriteRecords { Vec::new() } else { self.queue.expire(now) }
    }

    /// Returns the next call, if one is due. Its answer must be passed to
    /// [`Self::handle_answer`] before the next one is requested.
    pub fn next_call(&mut self, now: Time, local: LocalState<'_>) -> Option<Call> {
        if self.pending_call.is_none()
            && self.phase == Phase::Idle
            && self.time_to_next(now).is_zero()
        {
            self.begin(now, local);
        }
        self.pending_call.take()
    }

    /// Handles the answer to the last call.
    pub fn handle_answer(
        &mut self,
        now: Time,
        answer: Answer,
        local: LocalState<'_>,
    ) -> Vec<Effect> {
        let phase = std::mem::replace(&mut self.phase, Phase::Idle);
        match (phase, answer) {
            (Phase::WriteRecords, Answer::Wrote(result)) => self.handle_write(now, result, local),
            (
                _,
                Answer::Row(Err(error))
                | Answer::Rows(Err(error))
                | Answer::Wrote(Err(error))
                | Answer::Object(Err(error))
                | Answer::Stored(Err(error)),
            ) => {
                if phase.writes_snapshot() {
                    self.snapshot_after = now + SNAPSHOT_RETRY_DELAY;
                    return vec![Effect::Failed(error)];
                }
                self.handle_failure(now, error)
            }
            (Phase::ReadManifest, Answer::Row(Ok(row))) => self.handle_manifest(row, local),
            (Phase::ReadSnapshot, Answer::Object(Ok(bytes))) => {
                self.handle_snapshot(now, bytes, local)
            }
            (Phase::ReadHistory(next), Answer::Rows(Ok(rows))) => {
                self.handle_history(next, &rows, local)
            }
            (Phase::ReadNext, Answer::Row(Ok(row))) => {
                self.handle_next_row(now, row.as_ref(), local)
            }
            (Phase::ScanNext, Answer::Rows(Ok(rows))) => self.handle_page(now, &rows, local),
            (Phase::CheckManifest, Answer::Row(Ok(row))) => {
                self.handle_manifest_check(row, local);
                Vec::new()
            }
            (Phase::PutSnapshot, Answer::Stored(Ok(()))) => {
                self.issue(Phase::WriteManifest, Call::Write(vec![self.manifest_write()]));
                Vec::new()
            }
            (Phase::WriteManifest, Answer::Wrote(Ok(outcome))) => {
                self.handle_manifest_written(outcome);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn issue(&mut self, phase: Phase, call: Call) {
        self.phase = phase;
        self.pending_call = Some(call);
    }

    fn begin(&mut self, now: Time, local: LocalState<'_>) {
        if !self.snapshot_loaded {
            self.issue(Phase::ReadManifest, Call::Read(snapshot::KEY.to_owned()));
        } else if self.snapshot_is_next(now, local.config) {
            self.issue(Phase::CheckManifest, Call::Read(snapshot::KEY.to_owned()));
        } else {
            self.last_poll = Some(now);
            self.woken = false;
            self.single_reads = 0;
            self.read_next(local.config.version);
        }
    }

    fn read_next(&mut self, after: Version) {
        self.issue(Phase::ReadNext, Call::Read(self.ring.key(after.next())));
    }

    fn handle_failure(&mut self, now: Time, error: store::Error) -> Vec<Effect> {
        self.backoff.record_failure(now);
        self.queue.record_failure(&error);
        vec![Effect::Failed(error)]
    }

    /// Handles the row in the slot of the next version.
    fn handle_next_row(
        &mut self,
        now: Time,
        row: Option<&Row>,
        local: LocalState<'_>,
    ) -> Vec<Effect> {
        let next = local.config.version.next();
        let mut effects = Vec::new();
        let record = match self.ring.decode(row, next) {
            Slot::Free => return self.write_pending(now, local),
            Slot::Overwritten => {
                // The ring has overwritten the next version: start again from the snapshot.
                self.snapshot_loaded = false;
                self.backoff.record_failure(now);
                return effects;
            }
            Slot::Held(record) => *record,
            Slot::Malformed => {
                effects.push(Effect::Malformed(self.ring.key(next)));
                ring::empty_record(next)
            }
        };
        effects.push(Effect::Accept(vec![record]));
        self.single_reads += 1;
        if self.single_reads < MAX_SINGLE_READS {
            self.read_next(next);
        } else {
            self.issue(Phase::ScanNext, Call::Scan(self.ring.key_before(next.next())));
        }
        effects
    }

    /// Handles a page of rows after the local version.
    fn handle_page(&mut self, now: Time, rows: &[Row], local: LocalState<'_>) -> Vec<Effect> {
        let (records, mut effects) = parse_records(self.ring, local.config.version, rows);
        if records.is_empty() {
            // Either the ring or the log ends here; reading the next slot tells which.
            self.read_next(local.config.version);
            return effects;
        }
        self.backoff.record_success();
        let last = records.last().map_or(local.config.version, |record| record.version);
        let whole_page = records.len() == rows.len() && !self.ring.is_last_slot(last);
        if whole_page {
            self.issue(Phase::ScanNext, Call::Scan(self.ring.key(last)));
        } else {
            self.read_next(last);
        }
        self.last_poll = Some(now);
        effects.push(Effect::Accept(records));
        effects
    }

    /// Writes pending appends and job outcomes, now that every earlier record is known.
    fn write_pending(&mut self, now: Time, local: LocalState<'_>) -> Vec<Effect> {
        self.backoff.record_success();
        self.caught_up = true;
        self.last_poll = Some(now);
        let full = local.config.version.0 + append::MAX_BATCH_ROWS
            >= self.manifest.version.0 + self.ring.slots;
        let (writes, effects) = self.queue.build_batch(self.ring, local, full);
        if !writes.is_empty() {
            self.issue(Phase::WriteRecords, Call::Write(writes));
        }
        effects
    }

    fn handle_write(
        &mut self,
        now: Time,
        result: Result<Outcome, store::Error>,
        local: LocalState<'_>,
    ) -> Vec<Effect> {
        match result {
            Ok(Outcome::Applied) => self.queue.batch_applied(),
            // Another process wrote the slot: read its record, then try again.
            Ok(Outcome::Refused | Outcome::Overtaken) => {
                self.read_next(local.config.version);
                Vec::new()
            }
            Err(error) => {
                if !error.had_no_effect() {
                    self.queue.batch_unanswered();
                }
                // The next poll reads the slot first and so finds whether the write took effect.
                self.handle_failure(now, error)
            }
        }
    }

    fn handle_history(
        &mut self,
        next: Version,
        rows: &[Row],
        local: LocalState<'_>,
    ) -> Vec<Effect> {
        let before = Version(next.0 - 1);
        let (mut records, _) = parse_records(self.ring, before, rows);
        records.retain(|record| record.version <= local.config.version);
        let Some(last) = records.last().map(|record| record.version) else {
            return Vec::new();
        };
        if last < local.config.version {
            let after = self.ring.key_before(last.next());
            self.issue(Phase::ReadHistory(last.next()), Call::Scan(after));
        }
        vec![Effect::Backfill(records)]
    }

    fn read_history(&mut self, version: Version) {
        let window = u64::try_from(MAX_RECORDS).unwrap_or(u64::MAX).min(self.ring.slots / 2);
        let first = Version(version.0.saturating_sub(window) + 1);
        self.issue(Phase::ReadHistory(first), Call::Scan(self.ring.key_before(first)));
    }
}

/// Decodes the consecutive records after a version from rows in slot order. A malformed row
/// gives a record without changes and an effect that reports it.
fn parse_records(ring: Ring, version: Version, rows: &[Row]) -> (Vec<Record>, Vec<Effect>) {
    let (mut records, mut effects) = (Vec::new(), Vec::new());
    let mut next = version.next();
    for row in rows {
        if row.key != ring.key(next) {
            break;
        }
        match ring.decode(Some(row), next) {
            Slot::Held(record) => records.push(*record),
            Slot::Malformed => {
                effects.push(Effect::Malformed(row.key.clone()));
                records.push(ring::empty_record(next));
            }
            Slot::Free | Slot::Overwritten => break,
        }
        next = next.next();
    }
    (records, effects)
}
