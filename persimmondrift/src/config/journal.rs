//! One entry's part in the log of accepted changes, without I/O: it reads what is new, writes
//! what is confirmed, and keeps a snapshot.
//!
//! Every record is written into the slot after the last one read, on condition that the slot
//! is free. So a process that writes has read every record before, and finds there whether a
//! plan was confirmed already, by whichever process: a plan takes effect once.

mod append;
pub mod ring;
mod snapshot;

use std::collections::VecDeque;
use std::time::Duration;

use crate::config::{Config, RECORDS, Record};
use crate::store::{self, Backoff, Outcome, Row, Write};
use crate::unit::{Job, Time, Version};
use crate::{intent, place};

pub use append::{Append, Ticket};
pub use snapshot::{EVERY, Mark};

use append::Queue;
use ring::{Ring, Slot};

/// Pause between two looks for new records.
pub const POLL: Duration = Duration::from_millis(500);
/// Pause after a snapshot that failed. Changes are accepted meanwhile.
const SNAPSHOT_PAUSE: Duration = Duration::from_secs(5);
/// Records that are read one by one before a scan is used.
const SINGLE_READS: u32 = 4;
/// Time within which it is found out what became of an append, before its operator is told
/// that it is not known.
pub const APPEND_WITHIN: Duration = Duration::from_secs(4);

/// A call of the platform's services.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Reads a row.
    Read(String),
    /// Reads the rows of the ring after a key.
    Scan(String),
    /// Writes rows, all or none.
    Write(Vec<Write>),
    /// Reads an object.
    Get(String),
    /// Writes an object.
    Put(String, Vec<u8>),
    /// Deletes an object.
    Delete(String),
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// Of a read.
    Row(Result<Option<Row>, store::Error>),
    /// Of a scan.
    Rows(Result<Vec<Row>, store::Error>),
    /// Of a write.
    Wrote(Result<Outcome, store::Error>),
    /// Of reading an object.
    Object(Result<Option<Vec<u8>>, store::Error>),
    /// Of writing or deleting an object.
    Stored(Result<(), store::Error>),
}

/// What the journal brings about.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// These records follow the configuration held.
    Accept(Vec<Record>),
    /// This configuration is newer than the one held.
    Adopt(Box<Config>),
    /// These records led to the configuration that was adopted.
    Remember(Vec<Record>),
    /// What became of an append.
    Told(Ticket, Result<Version, Error>),
    /// This process wrote the last records: the other entries are to be told.
    Wrote,
    /// A row could not be read; it counts as a record that changes nothing.
    Malformed(String),
    /// A call failed.
    Failed(store::Error),
}

/// Why an append is refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The intent is refused.
    #[error("{0}")]
    Intent(#[from] intent::Error),
    /// The table service does not answer.
    #[error("nothing was accepted: {0}")]
    Away(store::Error),
    /// It is not known yet whether the change was accepted.
    #[error("it is not known yet whether the change was accepted; confirm the same plan again")]
    Undecided,
    /// Too many appends wait.
    #[error("nothing was accepted: too many changes wait")]
    Busy,
    /// No snapshot could be written for so long that the ring is full.
    #[error("nothing was accepted: the log is full until the object store takes a snapshot")]
    Full,
}

/// The configuration held by the process, and the records that led to it.
#[derive(Debug, Clone, Copy)]
pub struct Held<'a> {
    /// The configuration.
    pub config: &'a Config,
    /// The last records, without a gap.
    pub records: &'a VecDeque<Record>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Idle,
    ReadMark,
    ReadSnapshot,
    ReadHistory(Version),
    ReadNext,
    ScanNext,
    WriteRecords,
    CheckMark,
    PutSnapshot,
    WriteMark,
    DeleteSnapshot,
}

/// One entry's part in the log.
#[derive(Debug)]
pub struct Journal {
    ring: Ring,
    every: u64,
    phase: Phase,
    due: Option<Call>,
    queue: Queue,
    backoff: Backoff,
    polled: Option<Time>,
    woken: bool,
    reads: u32,
    loaded: bool,
    read_to_end: bool,
    mark: Mark,
    mark_row: Version,
    next_mark: Mark,
    rank: u64,
    snapshot_after: Time,
}

impl Phase {
    /// Returns whether a failure holds up no change.
    fn is_of_snapshot(self) -> bool {
        matches!(self, Self::CheckMark | Self::PutSnapshot | Self::WriteMark | Self::DeleteSnapshot)
    }
}

impl Journal {
    /// Creates the part of a process that has read nothing yet.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self::with_sizes(seed, Ring::default(), snapshot::EVERY)
    }

    /// Creates one for a ring, with a snapshot each number of versions.
    #[must_use]
    pub fn with_sizes(seed: u64, ring: Ring, every: u64) -> Self {
        Self {
            ring,
            every,
            phase: Phase::Idle,
            due: None,
            queue: Queue::default(),
            backoff: Backoff::new(seed),
            polled: None,
            woken: false,
            reads: 0,
            loaded: false,
            read_to_end: false,
            mark: Mark::default(),
            mark_row: Version(0),
            next_mark: Mark::default(),
            rank: 0,
            snapshot_after: Time(0),
        }
    }

    /// Returns whether the log was read to its end since the process started.
    #[must_use]
    pub fn has_read_to_end(&self) -> bool {
        self.read_to_end
    }

    /// Takes in how many live entries come before this one: they write a snapshot earlier.
    pub fn set_rank(&mut self, rank: u64) {
        self.rank = rank;
    }

    /// Takes in that there may be something new.
    pub fn wake(&mut self) {
        self.woken = true;
    }

    /// Takes in a confirmed plan that is to be appended.
    pub fn append(&mut self, now: Time, append: Append) -> Option<Effect> {
        let ticket = append.ticket;
        let taken = self.queue.push(now + APPEND_WITHIN, append);
        if taken { None } else { Some(Effect::Told(ticket, Err(Error::Busy))) }
    }

    /// Takes in that a job ended. It is kept until the log holds it.
    pub fn end(&mut self, job: Job, outcome: place::Outcome) {
        self.queue.end(job, outcome);
    }

    /// Returns the time until there is something to do without an outside event.
    #[must_use]
    pub fn left(&self, now: Time) -> Duration {
        if self.due.is_some() {
            return Duration::ZERO;
        }
        let pause = self.backoff.remaining(now);
        if self.woken || !self.queue.is_empty() {
            return pause;
        }
        let poll = self.polled.map_or(Duration::ZERO, |last| (last + POLL).since(now));
        poll.max(pause)
    }

    /// Gives up the appends whose time is over.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        // A write under way has to be found out first.
        if self.phase == Phase::WriteRecords { Vec::new() } else { self.queue.expire(now) }
    }

    /// Returns the next call, if one is due. The answer has to be taken in before the next.
    pub fn next(&mut self, now: Time, held: Held<'_>) -> Option<Call> {
        if self.due.is_none() && self.phase == Phase::Idle && self.left(now).is_zero() {
            self.begin(now, held);
        }
        self.due.take()
    }

    /// Takes in the answer to the last call.
    pub fn answered(&mut self, now: Time, answer: Answer, held: Held<'_>) -> Vec<Effect> {
        let phase = std::mem::replace(&mut self.phase, Phase::Idle);
        match (phase, answer) {
            (Phase::WriteRecords, Answer::Wrote(result)) => self.wrote(now, result, held),
            (
                _,
                Answer::Row(Err(error))
                | Answer::Rows(Err(error))
                | Answer::Wrote(Err(error))
                | Answer::Object(Err(error))
                | Answer::Stored(Err(error)),
            ) => {
                if phase.is_of_snapshot() {
                    self.snapshot_after = now + SNAPSHOT_PAUSE;
                    return vec![Effect::Failed(error)];
                }
                self.failed(now, error)
            }
            (Phase::ReadMark, Answer::Row(Ok(row))) => self.mark_read(row, held),
            (Phase::ReadSnapshot, Answer::Object(Ok(bytes))) => {
                self.snapshot_read(now, bytes, held)
            }
            (Phase::ReadHistory(next), Answer::Rows(Ok(rows))) => {
                self.history_read(next, &rows, held)
            }
            (Phase::ReadNext, Answer::Row(Ok(row))) => self.next_read(now, row.as_ref(), held),
            (Phase::ScanNext, Answer::Rows(Ok(rows))) => self.scanned(now, &rows, held),
            (Phase::CheckMark, Answer::Row(Ok(row))) => {
                self.mark_checked(row, held);
                Vec::new()
            }
            (Phase::PutSnapshot, Answer::Stored(Ok(()))) => {
                self.ask(Phase::WriteMark, Call::Write(vec![self.mark_write()]));
                Vec::new()
            }
            (Phase::WriteMark, Answer::Wrote(Ok(outcome))) => {
                self.mark_written(outcome);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn ask(&mut self, phase: Phase, call: Call) {
        self.phase = phase;
        self.due = Some(call);
    }

    fn begin(&mut self, now: Time, held: Held<'_>) {
        if !self.loaded {
            self.ask(Phase::ReadMark, Call::Read(snapshot::KEY.to_owned()));
        } else if self.snapshot_is_next(now, held.config) {
            self.ask(Phase::CheckMark, Call::Read(snapshot::KEY.to_owned()));
        } else {
            self.polled = Some(now);
            self.woken = false;
            self.reads = 0;
            self.read_next(held.config.version);
        }
    }

    fn read_next(&mut self, held: Version) {
        self.ask(Phase::ReadNext, Call::Read(self.ring.key(held.next())));
    }

    fn failed(&mut self, now: Time, error: store::Error) -> Vec<Effect> {
        self.backoff.record_failure(now);
        self.queue.failed(&error);
        vec![Effect::Failed(error)]
    }

    /// Takes in the row of the next version.
    fn next_read(&mut self, now: Time, row: Option<&Row>, held: Held<'_>) -> Vec<Effect> {
        let next = held.config.version.next();
        let mut effects = Vec::new();
        let record = match self.ring.look(row, next) {
            Slot::Free => return self.at_end(now, held),
            Slot::Passed => {
                // A lap behind: the snapshot is read again.
                self.loaded = false;
                self.backoff.record_failure(now);
                return effects;
            }
            Slot::Held(record) => *record,
            Slot::Malformed => {
                effects.push(Effect::Malformed(self.ring.key(next)));
                ring::empty(next)
            }
        };
        effects.push(Effect::Accept(vec![record]));
        self.reads += 1;
        if self.reads < SINGLE_READS {
            self.read_next(next);
        } else {
            self.ask(Phase::ScanNext, Call::Scan(self.ring.key_before(next.next())));
        }
        effects
    }

    /// Takes in a page of rows after the last version.
    fn scanned(&mut self, now: Time, rows: &[Row], held: Held<'_>) -> Vec<Effect> {
        let (records, mut effects) = follow(self.ring, held.config.version, rows);
        if records.is_empty() {
            // The end of the ring, or of the log: one read tells.
            self.read_next(held.config.version);
            return effects;
        }
        self.backoff.record_success();
        let last = records.last().map_or(held.config.version, |record| record.version);
        let whole_page = records.len() == rows.len() && !self.ring.ends_lap(last);
        if whole_page {
            self.ask(Phase::ScanNext, Call::Scan(self.ring.key(last)));
        } else {
            self.read_next(last);
        }
        self.polled = Some(now);
        effects.push(Effect::Accept(records));
        effects
    }

    /// Writes what waits, now that every record before is known.
    fn at_end(&mut self, now: Time, held: Held<'_>) -> Vec<Effect> {
        self.backoff.record_success();
        self.read_to_end = true;
        self.polled = Some(now);
        let full =
            held.config.version.0 + append::BATCH_ROWS >= self.mark.version.0 + self.ring.slots;
        let (writes, effects) = self.queue.compose(self.ring, held, full);
        if !writes.is_empty() {
            self.ask(Phase::WriteRecords, Call::Write(writes));
        }
        effects
    }

    fn wrote(
        &mut self,
        now: Time,
        result: Result<Outcome, store::Error>,
        held: Held<'_>,
    ) -> Vec<Effect> {
        match result {
            Ok(Outcome::Applied) => self.queue.applied(),
            // Another process took the slot: its record is read, then it is tried again.
            Ok(Outcome::Refused | Outcome::Overtaken) => {
                self.read_next(held.config.version);
                Vec::new()
            }
            Err(error) => {
                if !error.had_no_effect() {
                    self.queue.sent_without_answer();
                }
                // The next look reads the slot first: it tells whether the write is there.
                self.failed(now, error)
            }
        }
    }

    fn history_read(&mut self, next: Version, rows: &[Row], held: Held<'_>) -> Vec<Effect> {
        let before = Version(next.0 - 1);
        let (mut records, _) = follow(self.ring, before, rows);
        records.retain(|record| record.version <= held.config.version);
        let Some(last) = records.last().map(|record| record.version) else {
            return Vec::new();
        };
        if last < held.config.version {
            let after = self.ring.key_before(last.next());
            self.ask(Phase::ReadHistory(last.next()), Call::Scan(after));
        }
        vec![Effect::Remember(records)]
    }

    fn read_history(&mut self, version: Version) {
        let window = u64::try_from(RECORDS).unwrap_or(u64::MAX).min(self.ring.slots / 2);
        let first = Version(version.0.saturating_sub(window) + 1);
        self.ask(Phase::ReadHistory(first), Call::Scan(self.ring.key_before(first)));
    }
}

/// Returns the records that follow a version, as far as rows in the order of slots hold them.
fn follow(ring: Ring, version: Version, rows: &[Row]) -> (Vec<Record>, Vec<Effect>) {
    let (mut records, mut effects) = (Vec::new(), Vec::new());
    let mut next = version.next();
    for row in rows {
        if row.key != ring.key(next) {
            break;
        }
        match ring.look(Some(row), next) {
            Slot::Held(record) => records.push(*record),
            Slot::Malformed => {
                effects.push(Effect::Malformed(row.key.clone()));
                records.push(ring::empty(next));
            }
            Slot::Free | Slot::Passed => break,
        }
        next = next.next();
    }
    (records, effects)
}
