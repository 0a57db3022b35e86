//! The entry process: its threads and calls around job acceptance, succession and the planner.

pub(super) mod config;
mod plan;
mod serve;

pub use serve::{Answer, Source};

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::access::{Access, Config};
use super::agent::STACK_BYTES;
use super::clock;
use super::evacuation::Zones;
use super::follow::Position;
use super::job::Id;
use super::mirror::Jobs;
use super::planner;
use super::record::{self, JOB_PREFIX, ROLE_KEY};
use super::removed::Removed;
use super::role::{Reach, Succession};
use super::store_clock;
use super::table::{Calls, Error, Feed, PAGE_TIMEOUT, Row, Snapshot, Table};
use crate::unit::{StoreTime, Time, Version};
use crate::warn;

/// Maximum wait for changed jobs in one call. Shorter than the longest gap between reads that
/// counts as watching the role.
const WATCH_WAIT: Duration = Duration::from_millis(600);
/// Pause after changes at an entry that does not plan, so that one call returns several of them.
/// Callers see the state of a job that much later.
const GATHER_PAUSE: Duration = Duration::from_millis(80);
/// Age of the last verification of the jobs up to which a non-final state is answered from memory:
/// two watches, and a call after the second one.
const FRESH_FOR: Duration = Duration::from_secs(2);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Decodes the configuration that operators wrote; `None` if it is malformed.
pub type DecodeCall = dyn Fn(&[u8]) -> Option<Config> + Send + Sync;

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name by which it holds the planner's role.
    pub name: String,
    /// Time within which a removed key must be refused.
    pub revoke_within: Duration,
    /// Time after the request of an evacuation of a zone within which nothing may be started there any
    /// more; `None` if zones are not evacuated.
    pub evacuate_within: Option<Duration>,
    /// How long a worker may keep running after its agent's last report.
    pub grant: Duration,
    /// How long the state of an ended job is kept.
    pub keep: Duration,
    /// How long a gang's members wait for each other.
    pub gang_wait: Duration,
    /// Maximum number of submissions and cancellations that wait for the store at once.
    pub max_writes: usize,
    /// Maximum number of queries that wait for the store at once.
    pub max_reads: usize,
}

/// A running entry.
pub struct Handle {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

/// State that the threads of an entry share.
struct Shared {
    settings: Settings,
    store: Arc<Calls>,
    decode: Box<DecodeCall>,
    state: Mutex<State>,
    changed: Condvar,
    /// Notified when a query may continue: another one has ended its reads, or the jobs in memory
    /// were verified.
    query_turn: Condvar,
    stopping: AtomicBool,
    /// Whether this entry holds the planner's role.
    leading: AtomicBool,
    /// Shortest time that a read of the store took, in microseconds.
    min_read_us: AtomicU64,
    /// Number of submissions and cancellations that wait for the store.
    writes: AtomicUsize,
    /// Number of queries that wait for the store, or for memory to be verified.
    reads: AtomicUsize,
}

struct State {
    /// Shared with the round that is planned, so that callers do not wait for it.
    jobs: Arc<Jobs>,
    /// Whether the table of jobs has been read.
    loaded: bool,
    /// Version up to which the jobs in memory are complete.
    complete_to: Version,
    /// The store's clock, by the answers about jobs.
    store_clock: store_clock::Clock,
    /// When the last call was sent that verified the jobs in memory.
    verified_at: Time,
    /// When the last call was sent that showed all jobs accepted before it. Not each call that
    /// verifies the jobs does: the role may be unchanged while a watch misses changes.
    complete_at: Time,
    removed: Removed,
    /// Number of queries that read the store now.
    reading: usize,
    access: Access,
    /// Evacuated zones. Shared with the round that is planned.
    zones: Arc<Zones>,
    succession: Succession,
    /// Counts changes of jobs and configuration, so that the planner notices them.
    changes: u64,
}

impl Handle {
    /// Starts the threads of an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be started.
    pub fn start(
        settings: Settings,
        store: Arc<Calls>,
        decode: Box<DecodeCall>,
    ) -> std::io::Result<Self> {
        let state = State {
            jobs: Arc::default(),
            loaded: false,
            complete_to: Version(0),
            store_clock: store_clock::Clock::default(),
            verified_at: Time(0),
            complete_at: Time(0),
            removed: Removed::default(),
            reading: 0,
            access: Access::new(settings.revoke_within),
            zones: Arc::default(),
            succession: Succession::default(),
            changes: 0,
        };
        let shared = Arc::new(Shared {
            settings,
            store,
            decode,
            state: Mutex::new(state),
            changed: Condvar::new(),
            query_turn: Condvar::new(),
            stopping: AtomicBool::new(false),
            leading: AtomicBool::new(false),
            min_read_us: AtomicU64::new(u64::MAX),
            writes: AtomicUsize::new(0),
            reads: AtomicUsize::new(0),
        });
        let mut threads = Vec::new();
        let mut start = |name: &str, body: fn(&Arc<Shared>)| {
            let shared = Arc::clone(&shared);
            let builder = thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES);
            threads.push(builder.spawn(move || body(&shared))?);
            std::io::Result::Ok(())
        };
        start("config", config::run)?;
        start("jobs", job_loop)?;
        start("plan", plan::run)?;
        Ok(Self { shared, threads })
    }

    /// Returns whether a thread has ended.
    #[must_use]
    pub fn failed(&self) -> bool {
        self.threads.iter().any(JoinHandle::is_finished)
    }

    /// Gives up the planner's role and stops planning. The threads that serve callers continue.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        self.shared.changed.notify_all();
    }
}

impl State {
    /// Returns the answer to a query that arrived at `arrived` if memory holds it.
    ///
    /// A final state can no longer change, nor can the absence of a job that was removed after its
    /// end or whose id was cancelled first. Another state has to be verified recently, and the
    /// absence of any other id by a call sent after the query arrived.
    fn known_state(&self, id: Id, arrived: Time) -> Option<Answer> {
        let age = clock::now().since(self.verified_at);
        let answer = |state| Answer { state, source: Source::Memory { age } };
        if let Some(state) = self.jobs.state(id) {
            return (state.is_final() || age <= FRESH_FOR).then_some(answer(Some(state)));
        }
        let is_barred = self.jobs.job(id).is_some();
        let has_row = self.jobs.accepted.version(&record::job_key(id)) > Version(0);
        let is_absent =
            !has_row && (self.removed.version(id).is_some() || self.complete_at >= arrived);
        (is_barred || is_absent).then_some(answer(None))
    }

    /// Applies a row of the table of jobs unless it is known at this or a newer version. Returns
    /// whether it was applied.
    fn apply(&mut self, row: &Row) -> bool {
        let id = parse_job_key(&row.key);
        let removed = id.and_then(|id| self.removed.version(id));
        // The mirror may have dropped the tombstone before a slow read brings the row.
        if removed.is_some_and(|removed| row.version <= removed) {
            return false;
        }
        let is_new = Arc::make_mut(&mut self.jobs).apply(row);
        if is_new
            && row.value.is_none()
            && let Some(id) = id
        {
            self.removed.insert(id, row.version);
        }
        is_new
    }

    /// Applies a read of the whole table of jobs.
    fn reset(&mut self, snapshot: Snapshot) {
        let version = snapshot.version;
        let known: Vec<Id> =
            self.jobs.accepted.iter().filter_map(|(key, _, _)| parse_job_key(key)).collect();
        Arc::make_mut(&mut self.jobs).reset(snapshot);
        for id in known {
            if self.jobs.accepted.version(&record::job_key(id)) == Version(0) {
                self.removed.insert(id, version);
            }
        }
    }
}

/// Returns the id in the key of an accepted job; `None` for other keys.
fn parse_job_key(key: &str) -> Option<Id> {
    key.strip_prefix(JOB_PREFIX)?.parse().ok()
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait<'a>(&'a self, state: MutexGuard<'a, State>, span: Duration) -> MutexGuard<'a, State> {
        let waited = self.changed.wait_timeout(state, span);
        waited.map_or_else(|poisoned| poisoned.into_inner().0, |(state, _)| state)
    }

    fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Applies rows of the table of jobs.
    fn apply(&self, rows: &[Row]) {
        if rows.is_empty() {
            return;
        }
        let mut state = self.lock();
        let changed = rows.iter().filter(|row| state.apply(row)).count();
        if changed > 0 {
            state.changes += 1;
            drop(state);
            self.changed.notify_all();
        }
    }

    /// Wakes all threads that wait for a change, or for the jobs to be verified.
    fn notify_verified(&self) {
        self.changed.notify_all();
        self.query_turn.notify_all();
    }

    fn record_read_time(&self, sent: Time) {
        let took = u64::try_from(clock::now().since(sent).as_micros()).unwrap_or(u64::MAX);
        self.min_read_us.fetch_min(took, Ordering::Relaxed);
    }

    /// Records the store's clock in an answer to a call that was sent at `sent`.
    fn record_store_time(&self, sent: Time, answer: &Snapshot) {
        self.lock().store_clock.record(sent, clock::now(), answer.now);
    }

    /// Returns the time of the store's clock, at the earliest; `None` if it is not known.
    fn store_time(&self) -> Option<StoreTime> {
        Some(self.lock().store_clock.at(clock::now())?.earliest)
    }

    /// Returns how this entry reaches the store.
    fn reach(&self) -> Reach {
        let micros = self.min_read_us.load(Ordering::Relaxed).min(1_000_000);
        Reach { round_trip: Duration::from_micros(micros), detour: (self.store.detour)() }
    }

    /// Reads the whole table of jobs.
    fn load_jobs(&self) -> Result<Version, Error> {
        let sent = clock::now();
        let snapshot = (self.store.scan)(Table::Jobs, "", "", PAGE_TIMEOUT)?;
        self.record_read_time(sent);
        self.record_store_time(sent, &snapshot);
        let version = snapshot.version;
        let mut state = self.lock();
        state.reset(snapshot);
        state.loaded = true;
        state.complete_to = state.complete_to.max(version);
        (state.verified_at, state.complete_at) = (sent, sent);
        state.changes += 1;
        let role = state.jobs.role().0;
        state.succession.observe(sent, clock::now(), role);
        drop(state);
        self.notify_verified();
        Ok(version)
    }
}

/// Watches the table of jobs. Continues while the process drains, to answer callers.
fn job_loop(shared: &Arc<Shared>) {
    let mut position = Position::default();
    loop {
        let Some(after) = position.after() else {
            match shared.load_jobs() {
                Ok(read) => position.advance(read),
                Err(_) => thread::sleep(RETRY_PAUSE),
            }
            continue;
        };
        let sent = clock::now();
        let read = (shared.store.watch)(Table::Jobs, Feed::default(), after, WATCH_WAIT);
        if let Ok(snapshot) = &read {
            shared.record_store_time(sent, snapshot);
        }
        match read {
            Ok(snapshot) if snapshot.rows.is_empty() => verify_role(shared, &mut position),
            Ok(snapshot) => {
                shared.apply(&snapshot.rows);
                // The answer is as of when it was given, however long the watch waited.
                let now = clock::now();
                let mut state = shared.lock();
                let role = state.jobs.role().0;
                state.succession.observe(now, now, role);
                // A process that was suspended may read an answer that was given long before.
                (state.verified_at, state.complete_at) = (sent, sent);
                Arc::make_mut(&mut state.jobs).prune(after);
                state.complete_to = state.complete_to.max(snapshot.version);
                drop(state);
                shared.notify_verified();
                if !shared.leading.load(Ordering::Relaxed) {
                    thread::sleep(GATHER_PAUSE);
                }
                position.advance(snapshot.version);
            }
            Err(error) => {
                record_failed_watch(shared, &mut position, error);
                thread::sleep(RETRY_PAUSE);
            }
        }
    }
}

/// Records that a watch failed. If it got no answer, a small read tells whether other calls do.
fn record_failed_watch(shared: &Shared, position: &mut Position, error: Error) {
    position.record_failure(error);
    if error == Error::NoAnswer && shared.store.get(Table::Jobs, ROLE_KEY).is_ok() {
        position.record_lost_watch();
        if position.after().is_none() {
            warn!(StoreFailed, "call=watch error=\"{error}\" reread=true");
        }
    }
}

/// Reads the role row after a watch without changes. Its holder writes it continually, so a newer
/// version shows that the watch may have missed changes.
fn verify_role(shared: &Shared, position: &mut Position) {
    let sent = clock::now();
    let Ok(row) = shared.store.get(Table::Jobs, ROLE_KEY) else {
        return;
    };
    shared.record_read_time(sent);
    if !position.verify(row.map_or(Version(0), |row| row.version)) {
        return;
    }
    let mut state = shared.lock();
    let known = state.jobs.role().0;
    state.succession.observe(sent, clock::now(), known);
    state.verified_at = sent;
    drop(state);
    shared.notify_verified();
}

/// Returns the settings of a planner of this entry.
fn planner_settings(settings: &Settings) -> planner::Settings {
    planner::Settings {
        grant: settings.grant,
        retention: settings.keep,
        gang_wait: settings.gang_wait,
        report_interval: super::pace::REPORT_INTERVAL,
    }
}
