//! Calls that an entry serves: admission, submission, state and cancellation of jobs.

use std::fmt;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use super::{Handle, RETRY_PAUSE, Shared, clock};
use crate::cell::access::{Queue, Verdict};
use crate::cell::intake::{self, Acceptance, Cancellation};
use crate::cell::job::{Id, Request};
use crate::cell::record::{self, Job, State};
use crate::cell::table::{Error, Row, Table};
use crate::unit::Time;

/// Maximum number of queries that read the store at once, so that an entry has few connections to it.
/// The others wait for one of these to end, or for memory to be verified.
const MAX_READING: usize = 8;
/// Shortest time in which a read is repeated. With less, a store that works mostly gives no answer
/// either, and counts as failed.
const MIN_REPEAT_TIMEOUT: Duration = Duration::from_millis(150);

/// The state of a job, and where it was read.
#[derive(Debug, Clone, Copy)]
pub struct Answer {
    /// State as its caller sees it; `None` if there is no such job.
    pub state: Option<State>,
    /// Where it was read.
    pub source: Source,
}

/// Where a state was read.
#[derive(Debug, Clone, Copy)]
pub enum Source {
    /// In memory.
    Memory {
        /// Time since the jobs in memory were verified.
        age: Duration,
    },
    /// In the store.
    Store,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Memory { age } => write!(f, "memory age_ms={}", age.as_millis()),
            Self::Store => f.write_str("store"),
        }
    }
}

/// Counts a call of a caller that waits for the store until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    /// Counts a call; `None` if `limit` calls are counted already.
    fn begin(count: &'a AtomicUsize, limit: usize) -> Option<Self> {
        let next = |known: usize| (known < limit).then_some(known + 1);
        count.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next).ok()?;
        Some(Self(count))
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What a query that waited does next.
enum Turn<'a> {
    /// It is answered from memory.
    Known(Answer),
    /// It reads the store.
    Read(Reading<'a>),
}

/// Counts a query that reads the store until it is dropped.
struct Reading<'a>(&'a Shared);

impl Drop for Reading<'_> {
    fn drop(&mut self) {
        self.0.lock().reading -= 1;
        self.0.query_turn.notify_one();
    }
}

impl Handle {
    /// Returns whether this entry can serve callers now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.shared.lock();
        state.loaded && state.access.is_ready(clock::now())
    }

    /// Checks whether a call is admitted.
    #[must_use]
    pub fn check(&self, host: &str, path: &str, key: Option<&str>) -> Verdict {
        self.shared.lock().access.check(clock::now(), host, path, key)
    }

    /// Returns the maximum body size that the configuration allows, in bytes; 0 without a limit.
    #[must_use]
    pub fn max_body_bytes(&self) -> usize {
        self.shared.lock().access.config().map_or(0, |config| config.max_body_bytes)
    }

    /// Stores a job. Returns the outcome by `deadline`.
    #[must_use]
    pub fn submit(
        &self,
        id: Id,
        request: Request,
        queue: Queue,
        workspace: Option<String>,
        deadline: Time,
    ) -> Acceptance {
        let known = self.shared.lock().jobs.job(id).map(|job| job.request.is_some());
        match known {
            Some(true) => return Acceptance::Accepted,
            Some(false) => return Acceptance::Barred,
            None => {}
        }
        let job = Job {
            queue,
            workspace,
            accepted_ms: clock::wall_ms(),
            accepted_at: self.shared.store_time(),
            cancelled: false,
            request: Some(request),
        };
        let Some(_waiting) = self.begin_write() else {
            // Nothing was sent, so the job cannot run.
            return Acceptance::Refused;
        };
        let (acceptance, row) = intake::accept(&self.shared.store, id, &job, deadline);
        self.shared.apply(row.as_slice());
        acceptance
    }

    /// Returns the state of a job, from memory or by reads of the store, which are repeated while there
    /// is time until `deadline`. A query that finds too many others reading waits until they have
    /// ended or memory is verified.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if neither gives the state in time, the store is known to be away, or too
    /// many queries wait.
    pub fn state(&self, id: Id, deadline: Time) -> Result<Answer, Error> {
        let arrived = clock::now();
        if let Some(answer) = self.shared.lock().known_state(id, arrived) {
            return Ok(answer);
        }
        let limit = self.shared.settings.max_reads;
        let _waiting = Waiting::begin(&self.shared.reads, limit).ok_or(Error::NotDone)?;
        let mut job = None;
        loop {
            let reading = match self.wait_for_turn(id, arrived, deadline)? {
                Turn::Known(answer) => return Ok(answer),
                Turn::Read(reading) => reading,
            };
            let error = match self.read_state(id, &mut job, deadline) {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            drop(reading);
            let left = deadline.since(clock::now());
            if error == Error::Rejected || left < RETRY_PAUSE + MIN_REPEAT_TIMEOUT {
                return Err(error);
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    /// Waits until memory holds the answer to a query that arrived at `arrived`, or until the query
    /// may read the store.
    fn wait_for_turn(&self, id: Id, arrived: Time, deadline: Time) -> Result<Turn<'_>, Error> {
        let mut state = self.shared.lock();
        let mut has_waited = false;
        loop {
            if let Some(answer) = state.known_state(id, arrived) {
                return Ok(Turn::Known(answer));
            }
            // While others read, their reads will show whether the store is away.
            let is_full = state.reading >= MAX_READING;
            if !(has_waited && is_full) && (self.shared.store.unavailable)() {
                return Err(Error::NotDone);
            }
            let left = deadline.since(clock::now());
            let may_read = !has_waited || left >= MIN_REPEAT_TIMEOUT;
            if may_read && !is_full {
                state.reading += 1;
                return Ok(Turn::Read(Reading(&self.shared)));
            }
            if left.is_zero() {
                return Err(Error::NoAnswer);
            }
            // Limited, since nothing is notified when the store becomes unavailable.
            let span = left.min(RETRY_PAUSE);
            let waited = self.shared.query_turn.wait_timeout(state, span);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            has_waited = true;
        }
    }

    /// Returns how many calls of callers wait for the store.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let (writes, reads) = (&self.shared.writes, &self.shared.reads);
        writes.load(Ordering::Relaxed) + reads.load(Ordering::Relaxed)
    }

    /// Counts a submission or a cancellation that is about to wait for the store; `None` if too many
    /// do.
    fn begin_write(&self) -> Option<Waiting<'_>> {
        Waiting::begin(&self.shared.writes, self.shared.settings.max_writes)
    }

    /// Reads the rows of a job, except for that in `job`, where an earlier attempt has left it.
    fn read_state(&self, id: Id, job: &mut Option<Row>, deadline: Time) -> Result<Answer, Error> {
        let get = |key: &str| {
            let left = deadline.since(clock::now());
            if left.is_zero() {
                return Err(Error::NoAnswer);
            }
            self.shared.store.get_within(Table::Jobs, key, left)
        };
        if job.is_none() {
            *job = get(&record::job_key(id))?;
        }
        if job.is_none() {
            return Ok(Answer { state: None, source: Source::Store });
        }
        let progress = get(&record::progress_key(id))?;
        let rows: Vec<Row> = job.take().into_iter().chain(progress).collect();
        self.shared.apply(&rows);
        Ok(Answer { state: self.shared.lock().jobs.state(id), source: Source::Store })
    }

    /// Cancels a job. Returns the outcome by `deadline`. A cancellation that is known to be stored
    /// needs no call to the store.
    #[must_use]
    pub fn cancel(&self, id: Id, deadline: Time) -> Cancellation {
        let known = self.shared.lock().jobs.job(id).and_then(intake::stored_cancellation);
        if let Some(cancellation) = known {
            return cancellation;
        }
        let Some(_waiting) = self.begin_write() else {
            return Cancellation::Refused;
        };
        let (cancellation, row) = intake::cancel(&self.shared.store, id, deadline);
        self.shared.apply(row.as_slice());
        cancellation
    }

    /// Returns how many jobs of a queue wait for their first start.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        self.shared.lock().jobs.pending(queue)
    }
}
