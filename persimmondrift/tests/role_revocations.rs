//! A holder of the planner's role revokes the sessions of silent agents one by one, and each commit
//! may wait for a loaded part of the store. It must not lose the role meanwhile.

use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use persimmondrift::cell::access::Config;
use persimmondrift::cell::entry::{Handle, Settings};
use persimmondrift::cell::record::{self, Incarnation, Worker};
use persimmondrift::cell::table::{Calls, Outcome, Snapshot, Table, Write};
use persimmondrift::unit::Version;
use standin::cell::{Rows, entry_settings};

/// Renewals that a holder makes in two time-outs of the role.
const RENEWALS: usize = 7;
/// Upper bound of the test's waits; never reached if the role is renewed.
const GIVE_UP: Duration = Duration::from_secs(20);
/// Agents that are silent.
const AGENTS: usize = 3;

#[derive(Default)]
struct Store {
    rows: Rows,
    /// Whether commits of reports do not return.
    reports_blocked: bool,
    /// Commits of reports that have begun.
    revocations: usize,
    role_writes: usize,
}

#[derive(Default)]
struct Shared {
    store: Mutex<Store>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("not poisoned")
    }

    fn scan(&self, table: Table, from: &str, to: &str) -> Snapshot {
        let mut snapshot = self.lock().rows.snapshot(table);
        snapshot.rows.retain(|row| &*row.key >= from && (to.is_empty() || &*row.key < to));
        snapshot
    }

    fn watch(&self, table: Table, after: Version, wait: Duration) -> Snapshot {
        let until = Instant::now() + wait;
        let mut store = self.lock();
        loop {
            let changes = store.rows.changes(table, after);
            let left = until.saturating_duration_since(Instant::now());
            if !changes.rows.is_empty() || left.is_zero() {
                return changes;
            }
            store = self.changed.wait_timeout(store, left).expect("not poisoned").0;
        }
    }

    /// Waits until a condition on the store holds. Returns whether it did.
    fn wait_for(&self, holds: impl Fn(&Store) -> bool) -> bool {
        let begin = Instant::now();
        while begin.elapsed() < GIVE_UP {
            if holds(&self.lock()) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }
}

fn calls(shared: &Arc<Shared>) -> Calls {
    let (commits, scans, watches) = (Arc::clone(shared), Arc::clone(shared), Arc::clone(shared));
    Calls {
        commit: Box::new(move |batch, _| {
            let mut store = commits.lock();
            if batch.writes.iter().any(|write| write.table == Table::Workers) {
                store.revocations += 1;
                while store.reports_blocked {
                    store = commits.changed.wait(store).expect("not poisoned");
                }
            }
            let outcome = store.rows.commit(batch);
            let writes_role = batch.writes.iter().any(|write| write.key == record::ROLE_KEY);
            store.role_writes += usize::from(writes_role && matches!(outcome, Outcome::Applied(_)));
            commits.changed.notify_all();
            Ok(outcome)
        }),
        scan: Box::new(move |table, from, to, _| Ok(scans.scan(table, from, to))),
        watch: Box::new(move |table, _, after, wait| Ok(watches.watch(table, after, wait))),
        set_relays: Box::new(|_| ()),
        unavailable: Box::new(|| false),
        detour: Box::new(|| false),
    }
}

fn config() -> Config {
    Config {
        version: Version(1),
        queues: Vec::new(),
        workspaces: Vec::new(),
        services: Vec::new(),
        max_body_bytes: 0,
    }
}

/// Guards against a planner that loses its role while it revokes the sessions of silent agents. This
/// happened every eight seconds on a day on which many agents could not report.
#[test]
fn role_renewed_while_sessions_are_revoked() {
    let shared = Arc::new(Shared::default());
    {
        let mut store = shared.lock();
        store.reports_blocked = true;
        let (table, key) = (Table::Operator, "config".to_owned());
        store.rows.write(Write { table, key, value: Some(vec![1]) });
        for number in 0..AGENTS {
            let incarnation = Incarnation { started_ms: 1, id: format!("i-{number}") };
            let worker = Worker { incarnation, session: 7, ..Worker::default() };
            let (table, key) = (Table::Workers, format!("agent-{number}"));
            store.rows.write(Write { table, key, value: Some(record::encode(&worker)) });
        }
    }
    let settings = Settings { grant: Duration::from_millis(500), ..entry_settings() };
    let entry = Handle::start(settings, Arc::new(calls(&shared)), Box::new(|_| Some(config())))
        .expect("threads");
    assert!(shared.wait_for(|store| store.revocations > 0), "no session was revoked");
    let before = shared.lock().role_writes;
    let renewed = shared.wait_for(|store| store.role_writes >= before + RENEWALS);
    assert!(renewed, "the role was not renewed while a revocation waited for the store");
    shared.lock().reports_blocked = false;
    shared.changed.notify_all();
    let is_revoked = |store: &Store| {
        let rows = store.rows.snapshot(Table::Workers).rows;
        let mut workers = rows.iter().map(|row| record::decode::<Worker>(row.value.as_deref()?));
        workers.all(|worker| worker.is_none_or(|worker| worker.revoked))
    };
    assert!(shared.wait_for(is_revoked), "not all sessions were revoked");
    entry.stop();
}
