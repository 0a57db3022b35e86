//! Queries for jobs whose rows the planner has removed.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use persimmondrift::cell::clock;
use persimmondrift::cell::entry::{Answer, Handle, Source};
use persimmondrift::cell::intake::{self, Acceptance};
use persimmondrift::cell::job::{Id, Request, Step};
use persimmondrift::cell::record::{self, Job};
use persimmondrift::cell::removed::Removed;
use persimmondrift::cell::table::{Calls, Error, Snapshot, Table, Write};
use persimmondrift::unit::Version;
use standin::cell::{Rows, entry_settings, queue};

const JOB: Id = Id(7);
const DEADLINE: Duration = Duration::from_secs(3);
/// Upper bound of the test's waits.
const GIVE_UP: Duration = Duration::from_secs(20);
/// Interval at which a waiting watch checks for changes.
const POLL: Duration = Duration::from_millis(5);

/// Faults of the store, and a count of the reads of the job.
#[derive(Default)]
struct Faults {
    is_away: AtomicBool,
    has_no_history: AtomicBool,
    /// Whether watches show no changes.
    is_feed_held: AtomicBool,
    /// Whether the answers to reads of the job wait.
    are_reads_held: AtomicBool,
    job_reads: AtomicUsize,
}

struct Store {
    rows: Arc<Mutex<Rows>>,
    faults: Arc<Faults>,
    calls: Arc<Calls>,
}

fn is_set(flag: &AtomicBool) -> bool {
    flag.load(Ordering::Relaxed)
}

fn set(flag: &AtomicBool, value: bool) {
    flag.store(value, Ordering::Relaxed);
}

fn store() -> Store {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let faults = Arc::<Faults>::default();
    let (commits, scans, watches) = (Arc::clone(&rows), Arc::clone(&rows), Arc::clone(&rows));
    let (of_scans, of_watches) = (Arc::clone(&faults), Arc::clone(&faults));
    let of_store = Arc::clone(&faults);
    let calls = Calls {
        commit: Box::new(move |batch, _| Ok(commits.lock().expect("not poisoned").commit(batch))),
        scan: Box::new(move |table, from, to, _| {
            if is_set(&of_scans.is_away) {
                return Err(Error::NoAnswer);
            }
            let mut snapshot = scans.lock().expect("not poisoned").snapshot(table);
            snapshot.rows.retain(|row| &*row.key >= from && (to.is_empty() || &*row.key < to));
            if from == record::job_key(JOB) {
                of_scans.job_reads.fetch_add(1, Ordering::Relaxed);
                wait_for(|| !is_set(&of_scans.are_reads_held));
            }
            Ok(snapshot)
        }),
        watch: Box::new(move |table, _, after, wait| {
            let until = clock::now() + wait;
            loop {
                thread::sleep(POLL);
                if is_set(&of_watches.is_away) {
                    return Err(Error::NoAnswer);
                }
                if is_set(&of_watches.has_no_history) {
                    return Err(Error::Compacted);
                }
                let changes = watches.lock().expect("not poisoned").changes(table, after);
                if !changes.rows.is_empty() && !is_set(&of_watches.is_feed_held) {
                    return Ok(changes);
                }
                if clock::now() >= until {
                    return Ok(Snapshot { version: after, ..Snapshot::default() });
                }
            }
        }),
        set_relays: Box::new(|_| ()),
        unavailable: Box::new(move || is_set(&of_store.is_away)),
        detour: Box::new(|| false),
    };
    Store { rows, faults, calls: Arc::new(calls) }
}

fn start(store: &Store) -> Handle {
    let calls = Arc::clone(&store.calls);
    Handle::start(entry_settings(), calls, Box::new(|_: &[u8]| None)).expect("threads")
}

impl Store {
    /// Accepts a job as another entry does.
    fn accept(&self, id: Id) {
        let steps = vec![Step { width: 1, ..Step::default() }];
        let job = Job {
            queue: queue("normal", 1),
            workspace: None,
            accepted_ms: clock::wall_ms(),
            accepted_at: None,
            cancelled: false,
            request: Some(Request { spec: String::new(), steps, schedule: None }),
        };
        let accepted = intake::accept(&self.calls, id, &job, clock::now() + DEADLINE).0;
        assert_eq!(accepted, Acceptance::Accepted);
    }

    fn remove(&self) {
        let key = record::job_key(JOB);
        let write = Write { table: Table::Jobs, key, value: None };
        self.rows.lock().expect("not poisoned").write(write);
    }
}

fn ask(entry: &Handle) -> Result<Answer, Error> {
    entry.state(JOB, clock::now() + DEADLINE)
}

#[track_caller]
fn wait_for(holds: impl Fn() -> bool) {
    let until = clock::now() + GIVE_UP;
    while !holds() {
        assert!(clock::now() < until, "the entry does not follow the store");
        thread::sleep(POLL);
    }
}

/// Asserts that the entry answers from memory, while the store is away, that the job does not exist.
fn assert_known_absent(store: &Store, entry: &Handle) {
    set(&store.faults.is_away, true);
    let reads = store.faults.job_reads.load(Ordering::Relaxed);
    let answer = ask(entry).expect("an answer from memory");
    assert_eq!(answer.state, None);
    assert!(matches!(answer.source, Source::Memory { .. }), "{answer:?}");
    assert_eq!(store.faults.job_reads.load(Ordering::Relaxed), reads, "the store was read");
}

/// Guards against queries for expired jobs that each need a read of the store.
#[test]
fn removed_job_needs_no_read() {
    let store = store();
    let entry = start(&store);
    store.accept(JOB);
    wait_for(|| entry.pending("normal") == 1);
    store.remove();
    wait_for(|| entry.pending("normal") == 0);
    assert_known_absent(&store, &entry);
}

#[test]
fn job_removed_before_reread() {
    let store = store();
    let entry = start(&store);
    store.accept(JOB);
    wait_for(|| entry.pending("normal") == 1);
    set(&store.faults.has_no_history, true);
    store.remove();
    wait_for(|| entry.pending("normal") == 0);
    assert_known_absent(&store, &entry);
}

#[test]
fn job_accepted_after_removal_is_known() {
    let store = store();
    let entry = start(&store);
    store.accept(JOB);
    wait_for(|| entry.pending("normal") == 1);
    store.remove();
    wait_for(|| entry.pending("normal") == 0);
    store.accept(JOB);
    wait_for(|| entry.pending("normal") == 1);
    assert!(ask(&entry).expect("an answer").state.is_some());
}

/// Guards against a read from before the removal that brings the job back.
#[test]
fn late_read_of_removed_job() {
    let store = store();
    let faults = &store.faults;
    let entry = start(&store);
    store.accept(Id(8));
    wait_for(|| entry.pending("normal") == 1);
    set(&faults.is_feed_held, true);
    store.accept(JOB);
    set(&faults.are_reads_held, true);
    let reads = faults.job_reads.load(Ordering::Relaxed);
    thread::scope(|scope| {
        let query = scope.spawn(|| ask(&entry));
        wait_for(|| faults.job_reads.load(Ordering::Relaxed) > reads);
        store.remove();
        set(&faults.is_feed_held, false);
        // With the second of these changes, the entry forgets the tombstone.
        for (id, pending) in [(Id(9), 2), (Id(10), 3)] {
            store.accept(id);
            wait_for(|| entry.pending("normal") == pending);
        }
        set(&faults.are_reads_held, false);
        let answer = query.join().expect("no panic").expect("an answer");
        assert_eq!(answer.state, None);
    });
    assert_eq!(entry.pending("normal"), 3);
}

#[test]
fn oldest_ids_are_dropped() {
    let mut removed = Removed::default();
    for id in 1..=100_000 {
        removed.insert(Id(id), Version(id));
    }
    assert_eq!(removed.version(Id(1)), None);
    assert_eq!(removed.version(Id(100_000)), Some(Version(100_000)));
    let kept = (1..=100_000).filter(|id| removed.version(Id(*id)).is_some()).count();
    assert!(kept < 20_000, "{kept} ids are kept");
}
