//! Durable acceptance: one id is one job, and a refused job never runs.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use persimmondrift::cell::clock;
use persimmondrift::cell::intake::{Acceptance, Cancellation, accept, cancel};
use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::record::{self, Job};
use persimmondrift::cell::table::{Batch, Calls, Error, Outcome, Snapshot, Table};
use persimmondrift::unit::Time;
use standin::cell::{Rows, queue};

/// Fault of one write to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    NotDone,
    /// The write is applied, and its answer is lost.
    LostAnswer,
    /// No answer comes, and the write is not applied yet.
    Delayed,
}

struct Store {
    rows: Arc<Mutex<Rows>>,
    delayed: Arc<Mutex<Vec<Batch>>>,
    sends: Arc<AtomicUsize>,
    calls: Calls,
}

fn store(faults: &'static [Fault], unavailable: bool) -> Store {
    let rows = Arc::new(Mutex::new(Rows::default()));
    let delayed = Arc::new(Mutex::new(Vec::new()));
    let sends = Arc::new(AtomicUsize::new(0));
    let (commits, late, count) = (Arc::clone(&rows), Arc::clone(&delayed), Arc::clone(&sends));
    let scans = Arc::clone(&rows);
    let calls = Calls {
        commit: Box::new(move |batch, _| {
            let number = count.fetch_add(1, Ordering::Relaxed);
            let fault = faults.get(number).copied().unwrap_or(Fault::None);
            match fault {
                Fault::NotDone => return Err(Error::NotDone),
                Fault::Delayed => {
                    late.lock().expect("not poisoned").push(batch.clone());
                    return Err(Error::NoAnswer);
                }
                _ => {}
            }
            let outcome = commits.lock().expect("not poisoned").commit(batch);
            if fault == Fault::LostAnswer { Err(Error::NoAnswer) } else { Ok(outcome) }
        }),
        scan: Box::new(move |table, from, to, _| {
            let mut snapshot = scans.lock().expect("not poisoned").snapshot(table);
            snapshot
                .rows
                .retain(|row| row.key.as_str() >= from && (to.is_empty() || row.key.as_str() < to));
            Ok(snapshot)
        }),
        watch: Box::new(|_, _, _, _| Ok(Snapshot::default())),
        set_relays: Box::new(|_| {}),
        unavailable: Box::new(move || unavailable),
        detour: Box::new(|| false),
    };
    Store { rows, delayed, sends, calls }
}

fn job() -> Job {
    let need = Resources { millicores: 1_000, mebibytes: 1, accelerators: 1 };
    let step = Step { width: 1, need, estimate_ms: 1_000, ..Step::default() };
    let request = Request { spec: "x".to_owned(), steps: vec![step], schedule: None };
    Job {
        queue: queue("normal", 1),
        workspace: Some("ana".to_owned()),
        accepted_ms: 1,
        accepted_at: None,
        cancelled: false,
        request: Some(request),
    }
}

fn in_five_seconds() -> Time {
    clock::now() + Duration::from_secs(5)
}

impl Store {
    fn accept(&self, deadline: Time) -> Acceptance {
        accept(&self.calls, Id(7), &job(), deadline).0
    }

    fn stored(&self) -> Option<Job> {
        let row = self.rows.lock().expect("not poisoned").get(Table::Jobs, &record::job_key(Id(7)));
        row.and_then(|row| record::decode(row.value.as_deref()?))
    }
}

#[test]
fn same_id_is_accepted_once() {
    let store = store(&[], false);
    assert_eq!(store.accept(in_five_seconds()), Acceptance::Accepted);
    assert_eq!(
        store.accept(in_five_seconds()),
        Acceptance::Accepted,
        "the same id is the same job"
    );
    assert_eq!(store.stored(), Some(job()));
}

#[test]
fn lost_answer_is_recovered() {
    let store = store(&[Fault::LostAnswer], false);
    assert_eq!(store.accept(in_five_seconds()), Acceptance::Accepted);
    assert_eq!(store.sends.load(Ordering::Relaxed), 2);
}

#[test]
fn unanswered_write_is_unknown() {
    let store = store(&[Fault::Delayed, Fault::NotDone, Fault::NotDone, Fault::NotDone], false);
    let deadline = clock::now() + Duration::from_millis(100);
    assert_eq!(
        store.accept(deadline),
        Acceptance::Unknown,
        "the first write may still take effect"
    );
}

#[test]
fn unavailable_store_gets_no_write() {
    let store = store(&[], true);
    assert_eq!(store.accept(in_five_seconds()), Acceptance::Refused);
    assert_eq!(store.sends.load(Ordering::Relaxed), 0);
}

#[test]
fn refused_job_is_not_stored() {
    const FAULTS: &[Fault] = &[Fault::NotDone; 64];
    let store = store(FAULTS, false);
    assert_eq!(store.accept(in_five_seconds()), Acceptance::Refused);
    assert_eq!(store.stored(), None);
}

#[test]
fn cancel_bars_late_write() {
    let store = store(&[Fault::Delayed, Fault::NotDone, Fault::NotDone, Fault::NotDone], false);
    let deadline = clock::now() + Duration::from_millis(100);
    assert_eq!(store.accept(deadline), Acceptance::Unknown);
    assert_eq!(cancel(&store.calls, Id(7), in_five_seconds()).0, Cancellation::Absent);
    // The delayed write arrives after the caller was told that there is no such job.
    let late = store.delayed.lock().expect("not poisoned").remove(0);
    let outcome = store.rows.lock().expect("not poisoned").commit(&late);
    assert!(matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
    assert_eq!(store.accept(in_five_seconds()), Acceptance::Barred);
}

#[test]
fn cancel_keeps_job() {
    let store = store(&[Fault::None, Fault::LostAnswer], false);
    assert_eq!(store.accept(in_five_seconds()), Acceptance::Accepted);
    assert_eq!(cancel(&store.calls, Id(7), in_five_seconds()).0, Cancellation::Cancelled);
    assert_eq!(store.stored(), Some(Job { cancelled: true, ..job() }));
}
