//! How an entry verifies that it has the newest configuration.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use persimmondrift::cell::access::{Config, Queue, Verdict};
use persimmondrift::cell::clock;
use persimmondrift::cell::entry::Handle;
use persimmondrift::cell::table::{Calls, Error, Snapshot, Table, Write};
use persimmondrift::unit::Version;
use standin::cell::{Rows, entry_settings, queue};

/// Size of a configuration that is too large to be read at each verification, in bytes.
const LARGE: usize = 400_000;
const SMALL: usize = 1_000;
/// Upper bound of the test's waits.
const GIVE_UP: Duration = Duration::from_secs(20);

/// A store whose watches of the configuration return nothing, with counts of the calls for it.
#[derive(Default)]
struct Store {
    rows: Mutex<Rows>,
    reads: AtomicUsize,
    conditions: AtomicUsize,
    /// Time that a condition takes.
    delay: Mutex<Duration>,
    /// Errors of the next conditions, in order; the last one stays.
    failures: Mutex<Vec<Option<Error>>>,
}

impl Store {
    fn new(version: u8, bytes: usize) -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.write(version, bytes);
        store
    }

    /// Writes a configuration of that version, whose only queue is named after it.
    fn write(&self, version: u8, bytes: usize) {
        let mut value = vec![0; bytes];
        value[0] = version;
        let write = Write { table: Table::Operator, key: "config".to_owned(), value: Some(value) };
        self.rows.lock().expect("not poisoned").write_unlimited(write);
    }

    fn reads(&self) -> usize {
        self.reads.load(Ordering::Relaxed)
    }

    fn conditions(&self) -> usize {
        self.conditions.load(Ordering::Relaxed)
    }
}

fn calls(store: &Arc<Store>) -> Calls {
    let (commits, scans, watches) = (Arc::clone(store), Arc::clone(store), Arc::clone(store));
    Calls {
        commit: Box::new(move |batch, _| {
            if batch.conditions.iter().any(|condition| condition.table == Table::Operator) {
                assert!(batch.writes.is_empty(), "the operators' table is read only");
                commits.conditions.fetch_add(1, Ordering::Relaxed);
                let delay = *commits.delay.lock().expect("not poisoned");
                thread::sleep(delay);
                let mut failures = commits.failures.lock().expect("not poisoned");
                let next = failures.first().copied().flatten();
                if failures.len() > 1 {
                    failures.remove(0);
                }
                if let Some(error) = next {
                    return Err(error);
                }
            }
            Ok(commits.rows.lock().expect("not poisoned").commit(batch))
        }),
        scan: Box::new(move |table, from, to, _| {
            scans.reads.fetch_add(usize::from(table == Table::Operator), Ordering::Relaxed);
            let mut snapshot = scans.rows.lock().expect("not poisoned").snapshot(table);
            snapshot.rows.retain(|row| &*row.key >= from && (to.is_empty() || &*row.key < to));
            Ok(snapshot)
        }),
        watch: Box::new(move |table, _, after, _| {
            thread::sleep(Duration::from_millis(10));
            if table == Table::Operator {
                return Ok(Snapshot { version: after, ..Snapshot::default() });
            }
            Ok(watches.rows.lock().expect("not poisoned").changes(table, after))
        }),
        set_relays: Box::new(|_| ()),
        unavailable: Box::new(|| false),
        detour: Box::new(|| false),
    }
}

fn decode(value: &[u8]) -> Option<Config> {
    let version = *value.first()?;
    let only = Queue { public: true, ..queue(&format!("q{version}"), 1) };
    Some(Config { version: Version(version.into()), queues: vec![only], ..Config::default() })
}

fn start(store: &Arc<Store>) -> Handle {
    let entry = Handle::start(entry_settings(), Arc::new(calls(store)), Box::new(decode));
    let entry = entry.expect("threads");
    assert!(wait_for(|| entry.is_ready()), "never ready");
    entry
}

fn knows(entry: &Handle, version: u8) -> bool {
    let path = format!("/q{version}/");
    matches!(entry.check("studio.example", &path, None), Verdict::Admitted { .. })
}

fn wait_for(holds: impl Fn() -> bool) -> bool {
    let until = clock::now() + GIVE_UP;
    while clock::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    false
}

/// Guards against a large configuration that is transferred at each verification.
#[test]
fn large_one_read_once() {
    let store = Store::new(1, LARGE);
    let entry = start(&store);
    assert!(wait_for(|| store.conditions() >= 4), "never verified by its version");
    assert_eq!(store.reads(), 1);
    assert!(entry.is_ready());
    // A watch may miss a change, which the failed condition shows.
    store.write(2, LARGE);
    assert!(wait_for(|| knows(&entry, 2)), "the change is missed");
    assert!(!knows(&entry, 1));
    assert_eq!(store.reads(), 1, "the failed condition has returned the row");
}

#[test]
fn small_one_read_each_time() {
    let store = Store::new(1, SMALL);
    let entry = start(&store);
    assert!(wait_for(|| store.reads() >= 4));
    assert_eq!(store.conditions(), 0, "a small read costs the store less than a transaction");
    store.write(2, SMALL);
    assert!(wait_for(|| knows(&entry, 2)));
}

/// A store that rejects or refuses transactions must still be asked.
#[test]
fn failed_condition_reads() {
    for error in [Error::Rejected, Error::Malformed, Error::NotDone] {
        let store = Store::new(1, LARGE);
        *store.failures.lock().expect("not poisoned") = vec![Some(error)];
        let entry = start(&store);
        assert!(wait_for(|| store.reads() >= 4), "{error}");
        let conditions = store.conditions();
        assert!(conditions == 1 || error == Error::NotDone, "{error}: {conditions}");
        store.write(2, LARGE);
        assert!(wait_for(|| knows(&entry, 2)), "{error}");
    }
}

/// Guards against a small call without an answer that is followed by a large one.
#[test]
fn lost_condition_repeated() {
    let store = Store::new(1, LARGE);
    *store.failures.lock().expect("not poisoned") =
        vec![Some(Error::NoAnswer), Some(Error::NoAnswer), None];
    let entry = start(&store);
    assert!(wait_for(|| store.conditions() >= 4));
    assert_eq!(store.reads(), 1);
    assert!(entry.is_ready());
}

/// Guards against a slow store from which all entries read a large configuration again and again.
#[test]
fn slow_condition_suffices() {
    let store = Store::new(1, LARGE);
    *store.delay.lock().expect("not poisoned") = Duration::from_millis(400);
    let entry = start(&store);
    assert!(wait_for(|| store.conditions() >= 3));
    assert_eq!(store.reads(), 1);
    assert!(entry.is_ready());
}
