//! Queries and submissions at an entry whose store fails some calls.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use persimmondrift::cell::clock;
use persimmondrift::cell::entry::{Handle, Settings};
use persimmondrift::cell::intake::{self, Acceptance, Cancellation};
use persimmondrift::cell::job::{Id, Request, Step};
use persimmondrift::cell::record::{self, Job};
use persimmondrift::cell::table::{Calls, Error, Snapshot, Table};
use standin::cell::{Rows, entry_settings, queue};

const UNKNOWN: Id = Id(7);
const DEADLINE: Duration = Duration::from_secs(3);
/// Upper bound of the test's waits.
const GIVE_UP: Duration = Duration::from_secs(20);

/// Returns calls of an empty store, on which the first `failures` reads of one job fail.
fn calls(failures: usize) -> Calls {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let commits = Arc::clone(&rows);
    let reads = AtomicUsize::new(0);
    Calls {
        commit: Box::new(move |batch, _| Ok(commits.lock().expect("not poisoned").commit(batch))),
        scan: Box::new(move |table, from, to, _| {
            let single = table == Table::Jobs && from == record::job_key(UNKNOWN);
            if single && reads.fetch_add(1, Ordering::Relaxed) < failures {
                return Err(Error::NoAnswer);
            }
            let mut snapshot = rows.lock().expect("not poisoned").snapshot(table);
            snapshot.rows.retain(|row| &*row.key >= from && (to.is_empty() || &*row.key < to));
            Ok(snapshot)
        }),
        watch: Box::new(|_, _, after, wait| {
            thread::sleep(wait);
            Ok(Snapshot { version: after, ..Snapshot::default() })
        }),
        set_relays: Box::new(|_| ()),
        unavailable: Box::new(|| false),
        detour: Box::new(|| false),
    }
}

fn start(settings: Settings, failures: usize) -> Handle {
    Handle::start(settings, Arc::new(calls(failures)), Box::new(|_: &[u8]| None)).expect("threads")
}

/// Returns the calls with a count of the reads of the whole table of jobs that have ended.
fn counted(calls: Calls) -> (Calls, Arc<AtomicUsize>) {
    let Calls { scan, .. } = calls;
    let loads = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&loads);
    let scan = Box::new(move |table, from: &str, to: &str, timeout| {
        let snapshot = scan(table, from, to, timeout);
        count.fetch_add(usize::from(table == Table::Jobs && from.is_empty()), Ordering::Relaxed);
        snapshot
    });
    (Calls { scan, ..calls }, loads)
}

/// Guards against a query that gets no answer because one read of the store failed.
#[test]
fn failed_read_is_repeated() {
    let entry = start(entry_settings(), 2);
    let answer = entry.state(UNKNOWN, clock::now() + DEADLINE);
    assert_eq!(answer.map(|answer| answer.state), Ok(None));
    let (calls, loads) = counted(calls(usize::MAX));
    let entry = Handle::start(entry_settings(), Arc::new(calls), Box::new(|_: &[u8]| None))
        .expect("threads");
    // A table of jobs that was read before the query does not show that the job is absent now.
    assert!(wait_for(|| loads.load(Ordering::Relaxed) > 0), "the jobs were never read");
    let answer = entry.state(UNKNOWN, clock::now() + Duration::from_millis(900));
    assert_eq!(answer.map(|answer| answer.state), Err(Error::NoAnswer), "past the deadline");
}

#[test]
fn calls_over_the_limit_are_refused() {
    let entry = start(Settings { max_writes: 0, max_reads: 0, ..entry_settings() }, 0);
    let deadline = clock::now() + DEADLINE;
    let request = Request {
        spec: String::new(),
        steps: vec![Step { width: 1, ..Step::default() }],
        schedule: None,
    };
    let acceptance = entry.submit(UNKNOWN, request, queue("normal", 1), None, deadline);
    assert_eq!(acceptance, Acceptance::Refused);
    assert_eq!(entry.cancel(UNKNOWN, deadline), Cancellation::Refused);
    let answer = entry.state(UNKNOWN, deadline);
    assert_eq!(answer.map(|answer| answer.state), Err(Error::NotDone));
}

/// Guards against a repeated cancellation that gets no answer while the store is away, although the
/// entry knows that it is stored.
#[test]
fn known_cancellation_is_answered() {
    let (mut calls, away) = (calls(0), Arc::new(AtomicBool::new(false)));
    let (scan, gone) = (calls.scan, Arc::clone(&away));
    calls.scan = Box::new(move |table, from, to, timeout| {
        if gone.load(Ordering::Relaxed) {
            return Err(Error::NoAnswer);
        }
        scan(table, from, to, timeout)
    });
    let entry = Handle::start(entry_settings(), Arc::new(calls), Box::new(|_: &[u8]| None))
        .expect("threads");
    let cancel = || entry.cancel(UNKNOWN, clock::now() + Duration::from_millis(300));
    assert_eq!(cancel(), Cancellation::Absent);
    away.store(true, Ordering::Relaxed);
    assert_eq!(cancel(), Cancellation::Absent, "stored by the first call");
}

/// Guards against an entry that repeats a watch for ever whose answer its link cannot carry in time,
/// while other calls are answered.
#[test]
fn lost_watches_reread() {
    let mut calls = calls(0);
    calls.watch = Box::new(|_, _, _, _| {
        thread::sleep(Duration::from_millis(10));
        Err(Error::NoAnswer)
    });
    let (calls, loads) = counted(calls);
    let calls = Arc::new(calls);
    let entry = Handle::start(entry_settings(), Arc::clone(&calls), Box::new(|_: &[u8]| None))
        .expect("threads");
    assert!(wait_for(|| loads.load(Ordering::Relaxed) > 0), "the jobs were never read");
    let request = Request {
        spec: String::new(),
        steps: vec![Step { width: 1, ..Step::default() }],
        schedule: None,
    };
    let job = Job {
        queue: queue("normal", 1),
        workspace: None,
        accepted_ms: clock::wall_ms(),
        accepted_at: None,
        cancelled: false,
        request: Some(request),
    };
    // Written by another entry.
    let deadline = clock::now() + DEADLINE;
    assert_eq!(intake::accept(&calls, UNKNOWN, &job, deadline).0, Acceptance::Accepted);
    assert!(wait_for(|| entry.pending("normal") == 1), "the job stays unknown");
}

fn wait_for(holds: impl Fn() -> bool) -> bool {
    let until = clock::now() + GIVE_UP;
    while clock::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}
