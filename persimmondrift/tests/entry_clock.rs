//! An entry counts by the clock in the answers of its store.

use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use persimmondrift::cell::access::Config;
use persimmondrift::cell::clock;
use persimmondrift::cell::codec::Record;
use persimmondrift::cell::entry::Handle;
use persimmondrift::cell::intake::{Acceptance, Cancellation};
use persimmondrift::cell::job::{Id, Request, Step};
use persimmondrift::cell::record::{self, Job, Progress, State};
use persimmondrift::cell::table::{Calls, Table, Write};
use persimmondrift::unit::{StoreTime, Version};
use standin::cell::{Rows, entry_settings, queue};

const JOB: Id = Id(7);
/// Time of the store's clock at the start, in milliseconds.
const START_MS: u64 = 7_000_000;
/// Upper bound of the test's waits.
const GIVE_UP: Duration = Duration::from_secs(20);
/// Interval at which a wait checks its condition.
const POLL: Duration = Duration::from_millis(10);

#[derive(Clone, Default)]
struct Store(Arc<Mutex<Rows>>);

impl Store {
    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.0.lock().expect("not poisoned")
    }

    fn record<T: Record>(&self, key: &str) -> Option<T> {
        let row = self.lock().get(Table::Jobs, key)?;
        record::decode(&row.value?)
    }

    fn calls(&self) -> Calls {
        let (commits, scans, watches) = (self.clone(), self.clone(), self.clone());
        Calls {
            commit: Box::new(move |batch, _| Ok(commits.lock().commit(batch))),
            scan: Box::new(move |table, from, to, _| {
                let mut snapshot = scans.lock().snapshot(table);
                snapshot.rows.retain(|row| &*row.key >= from && (to.is_empty() || &*row.key < to));
                Ok(snapshot)
            }),
            watch: Box::new(move |table, _, after, wait| {
                let until = clock::now() + wait;
                loop {
                    let changes = watches.lock().changes(table, after);
                    if !changes.rows.is_empty() || clock::now() >= until {
                        return Ok(changes);
                    }
                    thread::sleep(POLL);
                }
            }),
            set_relays: Box::new(|_| ()),
            unavailable: Box::new(|| false),
            detour: Box::new(|| false),
        }
    }
}

fn wait_for(holds: impl Fn() -> bool) -> bool {
    let until = clock::now() + GIVE_UP;
    while clock::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(POLL);
    }
    false
}

/// Guards against ends that are not stored by the store's clock, or not counted by it.
#[test]
fn ended_job_is_kept_by_store_clock() {
    let store = Store::default();
    store.lock().now = StoreTime(START_MS);
    let (table, key) = (Table::Operator, "config".to_owned());
    store.lock().write(Write { table, key, value: Some(vec![1]) });
    let config = |_: &[u8]| {
        Some(Config {
            version: Version(1),
            queues: vec![queue("normal", 1)],
            workspaces: Vec::new(),
            services: Vec::new(),
            max_body_bytes: 0,
        })
    };
    let settings = entry_settings();
    let keep_ms = u64::try_from(settings.keep.as_millis()).expect("a short time");
    let entry =
        Handle::start(settings, Arc::new(store.calls()), Box::new(config)).expect("threads");
    assert!(wait_for(|| store.lock().get(Table::Jobs, record::ROLE_KEY).is_some()));

    let steps = vec![Step { width: 1, ..Step::default() }];
    let request = Request { spec: String::new(), steps, schedule: None };
    let deadline = clock::now() + GIVE_UP;
    let acceptance = entry.submit(JOB, request, queue("normal", 1), None, deadline);
    assert_eq!(acceptance, Acceptance::Accepted);
    let is_recent = |time: StoreTime| (START_MS..START_MS + keep_ms / 2).contains(&time.0);
    let job: Job = store.record(&record::job_key(JOB)).expect("a job");
    assert!(job.accepted_at.is_some_and(is_recent), "{:?}", job.accepted_at);

    assert_eq!(entry.cancel(JOB, deadline), Cancellation::Cancelled);
    let progress = || store.record::<Progress>(&record::progress_key(JOB));
    let ended_at = || progress().filter(|it| it.state == State::Cancelled)?.ended_at;
    assert!(wait_for(|| ended_at().is_some()), "{:?}", progress());
    let ended_at = ended_at().expect("an end");
    assert!(is_recent(ended_at), "{ended_at}");

    // The store's clock passes most of the retention at once, and then the rest.
    store.lock().now = StoreTime(START_MS + keep_ms / 2);
    thread::sleep(Duration::from_secs(1));
    assert!(store.lock().get(Table::Jobs, &record::job_key(JOB)).is_some(), "removed early");
    store.lock().now = StoreTime(ended_at.0 + keep_ms + 1);
    let is_removed = || store.lock().get(Table::Jobs, &record::job_key(JOB)).is_none();
    assert!(wait_for(is_removed), "not removed");
    entry.stop();
}
