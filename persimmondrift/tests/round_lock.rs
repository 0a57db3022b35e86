//! Queries while the planner of the same entry plans. A round takes long on a small VM with many
//! workers, and callers must not wait for it.

use std::sync::mpsc;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use persimmondrift::cell::access::Config;
use persimmondrift::cell::clock;
use persimmondrift::cell::entry::{Handle, Source};
use persimmondrift::cell::job::{Id, Request, Step};
use persimmondrift::cell::record::{self, Job, State};
use persimmondrift::cell::table::{Calls, Table, Write};
use persimmondrift::unit::Version;
use standin::cell::{Rows, entry_settings, queue};

const JOB: Id = Id(7);
const QUERIES: usize = 10;
/// In total longer than the interval of rounds, so that one begins meanwhile.
const QUERY_INTERVAL: Duration = Duration::from_millis(50);
/// Upper bound of the test's waits; never reached if queries are answered.
const GIVE_UP: Duration = Duration::from_secs(20);

/// Keeps the reports of the workers locked, for which each round waits.
struct Block {
    /// Whether the reports are locked; `None` once they are released.
    locked: Mutex<Option<bool>>,
    changed: Condvar,
}

impl Block {
    fn new() -> Self {
        Self { locked: Mutex::new(Some(false)), changed: Condvar::new() }
    }

    /// Blocks until the reports are released.
    fn hold(&self) {
        let mut locked = self.locked.lock().expect("not poisoned");
        if locked.is_some() {
            *locked = Some(true);
            self.changed.notify_all();
        }
        while locked.is_some() {
            locked = self.changed.wait(locked).expect("not poisoned");
        }
    }

    /// Waits until the reports are locked. Returns whether they are.
    fn wait_until_locked(&self) -> bool {
        let locked = self.locked.lock().expect("not poisoned");
        let waits = |locked: &mut Option<bool>| *locked == Some(false);
        let waited = self.changed.wait_timeout_while(locked, GIVE_UP, waits);
        !waited.expect("not poisoned").1.timed_out()
    }

    fn release(&self) {
        *self.locked.lock().expect("not poisoned") = None;
        self.changed.notify_all();
    }
}

/// Returns calls of a store with a configuration and a job. The reports of the workers stay locked
/// from their first read on.
fn calls(block: &Arc<Block>) -> Calls {
    let mut rows = Rows::default();
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
        cancelled: true,
        request: Some(request),
    };
    let value = Some(record::encode(&job));
    rows.write(Write { table: Table::Jobs, key: record::job_key(JOB), value });
    rows.write(Write { table: Table::Operator, key: "config".to_owned(), value: Some(vec![1]) });
    let rows = Arc::new(Mutex::new(rows));
    let (commits, watches, block) = (Arc::clone(&rows), Arc::clone(&rows), Arc::clone(block));
    Calls {
        commit: Box::new(move |batch, _| Ok(commits.lock().expect("not poisoned").commit(batch))),
        scan: Box::new(move |table, from, to, _| {
            let mut snapshot = rows.lock().expect("not poisoned").snapshot(table);
            snapshot.rows.retain(|row| &*row.key >= from && (to.is_empty() || &*row.key < to));
            Ok(snapshot)
        }),
        watch: Box::new(move |table, _, after, _| {
            thread::sleep(QUERY_INTERVAL);
            Ok(watches.lock().expect("not poisoned").changes(table, after))
        }),
        set_relays: Box::new(move |_| block.hold()),
        unavailable: Box::new(|| false),
        detour: Box::new(|| false),
    }
}

#[test]
fn queries_pass_rounds() {
    let block = Arc::new(Block::new());
    let config = |_: &[u8]| {
        Some(Config {
            version: Version(1),
            queues: Vec::new(),
            workspaces: Vec::new(),
            services: Vec::new(),
            max_body_bytes: 0,
        })
    };
    let calls = Arc::new(calls(&block));
    let entry =
        Arc::new(Handle::start(entry_settings(), calls, Box::new(config)).expect("threads"));
    assert!(block.wait_until_locked(), "the entry never planned");
    let (send, answers) = mpsc::channel();
    let queried = Arc::clone(&entry);
    thread::spawn(move || {
        for _ in 0..QUERIES {
            let answer = queried.state(JOB, clock::now() + GIVE_UP);
            send.send(answer).expect("the test still waits");
            thread::sleep(QUERY_INTERVAL);
        }
    });
    for _ in 0..QUERIES {
        let answer = answers.recv_timeout(GIVE_UP).expect("a query waits for the round");
        let answer = answer.expect("a state");
        assert_eq!(answer.state, Some(State::Cancelled));
        assert!(matches!(answer.source, Source::Memory { .. }), "{answer:?}");
    }
    block.release();
    entry.stop();
}
