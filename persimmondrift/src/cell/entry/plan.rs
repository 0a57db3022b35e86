//! The planner's thread: takes the role, plans rounds, and writes them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use super::{RETRY_PAUSE, Shared, clock, planner_settings};
use crate::cell::agent::STACK_BYTES;
use crate::cell::mirror::Mirror;
use crate::cell::planner::{Input, Note, Plan, Planner};
use crate::cell::record::{self, Order, ROLE_KEY, Role, Worker};
use crate::cell::role::RENEWAL;
use crate::cell::table::{Batch, CALL_TIMEOUT, Condition, Error, Outcome, Row, Table, Write};
use crate::unit::{Epoch, Time, Version};
use crate::{log, warn};

/// Longest pause between two rounds, for what depends on time alone.
const ROUND_EVERY: Duration = Duration::from_millis(150);
/// Pause between two looks of an entry that does not hold the role.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Longest wait for reports in one call.
const REPORT_WAIT: Duration = Duration::from_millis(900);
/// Pause after a round whose condition on a report failed, until the newer report is here.
const CONFLICT_PAUSE: Duration = Duration::from_millis(20);

/// What the planner of a term knows beside the jobs.
struct Cell {
    orders: Mirror<Order>,
    workers: std::sync::Mutex<Mirror<Worker>>,
    /// When the last successful read of the reports came back.
    read: AtomicU64,
    over: AtomicBool,
}

/// Runs until the process stops.
pub fn run(shared: &Arc<Shared>) {
    while !shared.stopping() {
        let (may, version, epoch) = {
            let state = shared.lock();
            let (version, role) = state.jobs.role();
            let held = !role.holder.is_empty();
            let may = state.loaded
                && state.access.config().is_some()
                && state.succession.may_take(clock::now(), held, shared.distance());
            (may, version, role.epoch.next())
        };
        if may && let Some(role) = take(shared, version, epoch) {
            log!(RoleTaken, "holder={} epoch={epoch} version={role}", shared.settings.name);
            lead(shared, role, epoch);
            log!(RoleLost, "holder={} epoch={epoch}", shared.settings.name);
        }
        thread::sleep(LOOK_EVERY);
    }
    // The role was given back; the callers may still need the other threads.
    loop {
        thread::park();
    }
}

/// Tries to take the role. Returns the version of its row.
fn take(shared: &Shared, version: Version, epoch: Epoch) -> Option<Version> {
    let mut term = Term { shared, version, epoch, tag: 0 };
    match term.write(&shared.settings.name, Plan::default()) {
        Ok(_) => Some(term.version),
        Err(_) => None,
    }
}

/// Plans until the role is lost or the process stops.
fn lead(shared: &Arc<Shared>, version: Version, epoch: Epoch) {
    let mut term = Term { shared, version, epoch, tag: 1 };
    // Nobody else can write orders and progress now, so what is read now stays true.
    let Some(cell) = load(shared, &mut term) else {
        return;
    };
    let cell = Arc::new(cell);
    let (follower, of) = (Arc::clone(&cell), Arc::clone(shared));
    let spawned = thread::Builder::new()
        .name("reports".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || follow(&of, &follower));
    if let Err(error) = spawned {
        warn!(RoleLost, "cause=thread error=\"{error}\"");
        return;
    }
    let mut orders = cell.orders.clone();
    let mut planner = Planner::new(planner_settings(&shared.settings));
    let mut renewed = clock::now();
    let mut seen = 0;
    while !shared.stopping() {
        let mut state = shared.lock();
        if state.changes == seen {
            state = shared.wait(state, ROUND_EVERY);
        }
        seen = state.changes;
        let Some(config) = state.access.config().cloned() else {
            continue;
        };
        let workers = cell.workers.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let plan = planner.plan(Input {
            now: clock::now(),
            wall_ms: clock::wall_ms(),
            config: &config,
            jobs: &state.jobs,
            orders: &orders,
            workers: &workers,
            reports_read: Time(cell.read.load(Ordering::Relaxed)),
            epoch,
        });
        drop(workers);
        drop(state);
        if plan.writes.is_empty() && clock::now().since(renewed) < RENEWAL {
            continue;
        }
        let sent = clock::now();
        match term.write(&shared.settings.name, plan) {
            Ok(Some((rows, notes))) => {
                renewed = sent;
                for note in &notes {
                    tell(note, epoch);
                }
                for row in rows.iter().filter(|row| row.table == Table::Orders) {
                    orders.apply(row);
                }
                {
                    let mut workers =
                        cell.workers.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                    for row in rows.iter().filter(|row| row.table == Table::Workers) {
                        workers.apply(row);
                    }
                }
                orders.prune(term.version);
                shared.apply(&rows);
                if !rows.is_empty() {
                    // What was left out of a full batch goes on at once.
                    shared.lock().changes += 1;
                }
            }
            Ok(None) => thread::sleep(CONFLICT_PAUSE),
            Err(Lost) => break,
        }
    }
    cell.over.store(true, Ordering::Relaxed);
    if shared.stopping() {
        // Another entry may take over at once.
        let _ = term.write("", Plan::default());
    }
}

/// Reads orders, reports and jobs as they are under this term.
fn load(shared: &Shared, term: &mut Term<'_>) -> Option<Cell> {
    while !shared.stopping() {
        let read = || -> Result<Cell, Error> {
            let mut cell = Cell {
                orders: Mirror::default(),
                workers: std::sync::Mutex::default(),
                read: AtomicU64::new(clock::now().0),
                over: AtomicBool::new(false),
            };
            cell.orders.reset(&(shared.store.scan)(Table::Orders, "", "")?);
            shared.load_jobs()?;
            Ok(cell)
        };
        if let Ok(cell) = read() {
            return Some(cell);
        }
        thread::sleep(RETRY_PAUSE);
        match term.write(&shared.settings.name, Plan::default()) {
            Ok(_) => {}
            Err(Lost) => return None,
        }
    }
    None
}

/// Follows the reports of the agents.
fn follow(shared: &Shared, cell: &Cell) {
    let mut version = None;
    while !cell.over.load(Ordering::Relaxed) {
        let read = match version {
            None => (shared.store.scan)(Table::Workers, "", ""),
            Some(after) => (shared.store.watch)(Table::Workers, after, REPORT_WAIT),
        };
        match read {
            // Agents report all the time, so a watch without news may have missed some.
            Ok(snapshot) if version.is_some() && snapshot.rows.is_empty() => version = None,
            Ok(snapshot) => {
                let mut workers =
                    cell.workers.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
                if let Some(after) = version {
                    for row in &snapshot.rows {
                        workers.apply(row);
                    }
                    version = Some(snapshot.version.max(after));
                } else {
                    workers.reset(&snapshot);
                    version = Some(snapshot.version);
                }
                cell.read.store(clock::now().0, Ordering::Relaxed);
                drop(workers);
                shared.lock().changes += 1;
                shared.changed.notify_all();
            }
            Err(_) if version.is_some() => version = None,
            Err(_) => thread::sleep(RETRY_PAUSE),
        }
    }
}

/// The role is held by another entry.
#[derive(Debug)]
struct Lost;

/// One holding of the role.
struct Term<'a> {
    shared: &'a Shared,
    /// The version of the role row.
    version: Version,
    epoch: Epoch,
    tag: u64,
}

impl Term<'_> {
    /// Writes a plan together with the role row, and finds out what became of it. Returns the
    /// written rows and the notes; nothing if a condition other than the role failed.
    fn write(&mut self, holder: &str, plan: Plan) -> Result<Option<(Vec<Row>, Vec<Note>)>, Lost> {
        self.tag = fastrand::u64(..);
        let role = Role { holder: holder.to_owned(), epoch: self.epoch, tag: self.tag };
        let Plan { mut conditions, mut writes, notes } = plan;
        let key = ROLE_KEY.to_owned();
        conditions.push(Condition { table: Table::Jobs, key: key.clone(), version: self.version });
        writes.push(Write { table: Table::Jobs, key, value: Some(record::encode(&role)) });
        let batch = Batch { conditions, writes };
        loop {
            match (self.shared.store.commit)(&batch, CALL_TIMEOUT) {
                Ok(Outcome::Applied(version)) => {
                    return Ok(Some(self.applied(batch, version, notes)));
                }
                Ok(Outcome::Refused(rows)) => {
                    let row = rows.iter().find(|row| row.key == ROLE_KEY);
                    let version = row.map_or(Version(0), |row| row.version);
                    let found: Option<Role> =
                        row.and_then(|row| record::decode(row.value.as_deref()?));
                    if found.is_some_and(|found| found.tag == self.tag) {
                        // An earlier send was applied, and its answer lost.
                        return Ok(Some(self.applied(batch, version, notes)));
                    }
                    return if version == self.version { Ok(None) } else { Err(Lost) };
                }
                // The same batch is sent until its fate is known: it can take effect only once.
                Err(_) if holder.is_empty() => return Err(Lost),
                Err(_) => thread::sleep(RETRY_PAUSE),
            }
        }
    }

    fn applied(
        &mut self,
        batch: Batch,
        version: Version,
        notes: Vec<Note>,
    ) -> (Vec<Row>, Vec<Note>) {
        self.version = version;
        let row =
            |write: Write| Row { table: write.table, key: write.key, version, value: write.value };
        let mut rows: Vec<Row> = batch.writes.into_iter().map(row).collect();
        let role = rows.pop();
        self.shared.apply(role.as_slice());
        (rows, notes)
    }
}

/// Logs a decision.
fn tell(note: &Note, epoch: Epoch) {
    match note {
        Note::Placed { group, agent, count, run, waited_ms, report } => log!(
            Placed,
            "group={group} agent={agent} count={count} run={run} waited_ms={waited_ms} report={report} epoch={epoch}"
        ),
        Note::Stopped { task, agent, cause } => {
            log!(AttemptStopped, "task={task} agent={agent} cause={cause:?} epoch={epoch}");
        }
        Note::Ended { task, run, agent, ending } => {
            log!(AttemptOver, "task={task} run={run} agent={agent} ending={ending}");
        }
        Note::Concluded { job, state, after_ms } => {
            log!(JobEnded, "job={job} state={state} after_ms={after_ms}");
        }
        Note::Revoked { agent, silent_ms } => {
            warn!(MemberSuspected, "agent={agent} silent_ms={silent_ms} epoch={epoch}");
        }
        Note::Removed { agent } => warn!(MemberLost, "agent={agent} epoch={epoch}"),
    }
}
