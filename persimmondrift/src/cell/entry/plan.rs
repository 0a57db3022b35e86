//! The planner's thread: takes the role, plans rounds, and commits their batches.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::{RETRY_PAUSE, Shared, clock, config, planner_settings, record_failed_watch};
use crate::cell::agent::STACK_BYTES;
use crate::cell::evacuation::Evacuation;
use crate::cell::follow::Position;
use crate::cell::job::Id;
use crate::cell::line;
use crate::cell::mirror::Mirror;
use crate::cell::planner::{self, Decision, Input, Observation, Plan, Planner};
use crate::cell::progress::Failure;
use crate::cell::record::{self, Order, Worker};
use crate::cell::role::{RENEW_INTERVAL, Term, WriteResult};
use crate::cell::split::{Limits, Queue};
use crate::cell::table::{
    Batch, CALL_TIMEOUT, Error, Feed, MAX_BATCH_ENTRIES, Outcome, PAGE_TIMEOUT, Row, Table, Write,
};
use crate::unit::{Epoch, Time, Version};
use crate::{log, metric, warn};

/// Maximum pause between two rounds, for decisions that depend on time alone.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which an entry without the role checks whether it may take it.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum duration of one watch call for reports.
const REPORT_WATCH_TIMEOUT: Duration = Duration::from_millis(900);

/// Interval at which the progress of the reads at the start of a term is checked.
const LOAD_POLL: Duration = Duration::from_millis(50);
/// Time for the reads at the start of a term, after which the role is released.
const LOAD_TIMEOUT: Duration = Duration::from_secs(8);
/// Duration from which on a round is logged.
const SLOW_ROUND: Duration = Duration::from_millis(100);

/// The tables that the planner reads during one term, beside the jobs.
struct TermData {
    orders: Mirror<Order>,
    workers: Mutex<Mirror<Worker>>,
    /// Time of the last successful read of the reports, in microseconds as in [`Time`].
    last_read: AtomicU64,
    row_updates: Mutex<RowUpdates>,
    row_updates_changed: Condvar,
    /// Set when the term is over, to end the threads that follow the reports and update rows.
    ended: AtomicBool,
}

/// Updates of single rows that one round has planned.
#[derive(Debug, Default)]
struct RowUpdates {
    /// Those that have not begun.
    queue: VecDeque<Batch>,
    /// Whether one is being committed.
    in_flight: bool,
}

impl TermData {
    fn new(orders: Mirror<Order>, workers: Mirror<Worker>, last_read: Time) -> Self {
        Self {
            orders,
            workers: Mutex::new(workers),
            last_read: AtomicU64::new(last_read.0),
            row_updates: Mutex::default(),
            row_updates_changed: Condvar::new(),
            ended: AtomicBool::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Mirror<Worker>> {
        self.workers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_row_updates(&self) -> MutexGuard<'_, RowUpdates> {
        self.row_updates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether all updates of earlier rounds are done.
    fn has_updated_rows(&self) -> bool {
        let row_updates = self.lock_row_updates();
        row_updates.queue.is_empty() && !row_updates.in_flight
    }

    fn add_row_updates(&self, batches: Vec<Batch>) {
        self.lock_row_updates().queue.extend(batches);
        self.row_updates_changed.notify_all();
    }

    /// Waits for the next update; `None` if the term is over.
    fn next_row_update(&self) -> Option<Batch> {
        let mut row_updates = self.lock_row_updates();
        row_updates.in_flight = false;
        while !self.ended.load(Ordering::Relaxed) {
            if let Some(batch) = row_updates.queue.pop_front() {
                row_updates.in_flight = true;
                return Some(batch);
            }
            let waited = self.row_updates_changed.wait(row_updates);
            row_updates = waited.unwrap_or_else(PoisonError::into_inner);
        }
        None
    }

    /// Ends the threads of the term.
    fn end(&self) {
        // Under the lock, so that the notice is not missed between a check and a wait.
        let _row_updates = self.lock_row_updates();
        self.ended.store(true, Ordering::Relaxed);
        self.row_updates_changed.notify_all();
    }
}

/// Runs until the process stops.
pub fn run(shared: &Arc<Shared>) {
    while !shared.stopping() {
        let reach = shared.reach();
        let (eligible, version, epoch) = {
            let state = shared.lock();
            let (version, role) = state.jobs.role();
            let held = !role.holder.is_empty();
            let eligible = state.loaded
                && state.access.config().is_some()
                && state.succession.may_take(clock::now(), held, reach);
            (eligible, version, role.epoch.next())
        };
        if eligible
            && let Some(term) = take_role(shared, Term::new(version, epoch).with_reach(reach))
        {
            log!(
                RoleTaken,
                "holder={} epoch={epoch} version={} detour={}",
                shared.settings.name,
                term.version,
                reach.detour
            );
            shared.leading.store(true, Ordering::Relaxed);
            run_term(shared, term);
            shared.leading.store(false, Ordering::Relaxed);
            log!(RoleLost, "holder={} epoch={epoch}", shared.settings.name);
        }
        thread::sleep(POLL_INTERVAL);
    }
    // The role has been released. The thread must not end, since an ended thread counts as a
    // failure of the process, and callers may still need the other threads.
    loop {
        thread::park();
    }
}

/// Tries to take the role; `None` if another entry has taken it.
fn take_role(shared: &Shared, mut term: Term) -> Option<Term> {
    renew(shared, &mut term).ok()?;
    Some(term)
}

/// Plans until the role is lost or released, or the process stops.
fn run_term(shared: &Arc<Shared>, mut term: Term) {
    let epoch = term.epoch;
    // No other entry can write orders and progress now, so what is read now stays valid.
    let Some(data) = load(shared, &mut term) else {
        return;
    };
    let data = Arc::new(data);
    let spawn = |name: &str, body: fn(&Shared, &TermData)| {
        let (data, shared) = (Arc::clone(&data), Arc::clone(shared));
        let builder = thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES);
        builder.spawn(move || body(&shared, &data))
    };
    let spawned = spawn("reports", follow_reports).and_then(|_| spawn("rows", update_rows));
    if let Err(error) = spawned {
        warn!(RoleLost, "cause=thread error=\"{error}\"");
        data.end();
        return;
    }
    let mut orders = data.orders.clone();
    let mut planner = Planner::new(planner_settings(&shared.settings));
    let evacuate_within = shared.settings.evacuate_within;
    let mut renewed = clock::now();
    let mut seen = 0;
    let mut yields = false;
    while !shared.stopping() && !yields {
        let mut state = shared.lock();
        if state.changes == seen {
            state = shared.wait(state, MAX_ROUND_INTERVAL);
        }
        seen = state.changes;
        let Some(in_force) = state.access.config().cloned() else {
            continue;
        };
        let (jobs, store_clock) = (Arc::clone(&state.jobs), state.store_clock);
        let zones = Arc::clone(&state.zones);
        drop(state);
        let begin = clock::now();
        let workers = data.lock();
        let plan = planner.plan(Input {
            now: clock::now(),
            wall_ms: clock::wall_ms(),
            store_now: store_clock.at(clock::now()),
            config: &in_force,
            evacuation: evacuate_within.map(|within| Evacuation { zones: &zones, within }),
            jobs: &jobs,
            orders: &orders,
            workers: &workers,
            reports_read: Some(Time(data.last_read.load(Ordering::Relaxed))),
            epoch,
        });
        drop(workers);
        drop(jobs);
        drop(zones);
        metric::set_evacuated_runs(plan.runs_left);
        log_round(&plan, clock::now().since(begin), epoch);
        for observation in &plan.observations {
            log_observation(observation, epoch);
        }
        let Plan { writes, row_updates, decisions, .. } = plan;
        // Those of an earlier round may be among them, and are planned again if they fail.
        let updates_rows = !row_updates.is_empty() && data.has_updated_rows();
        if writes.is_empty() && !updates_rows && clock::now().since(renewed) < RENEW_INTERVAL {
            continue;
        }
        let sent = clock::now();
        let Ok(unwritable) = write_plan(shared, &mut term, writes, &mut orders) else {
            break;
        };
        for job in unwritable {
            planner.record_unwritable(job);
        }
        renewed = sent;
        let is_row_update = |decision: &Decision| {
            matches!(decision, Decision::Revoked { .. } | Decision::Removed { .. })
        };
        for decision in &decisions {
            if updates_rows || !is_row_update(decision) {
                log_decision(decision, epoch);
            }
        }
        orders.prune(term.version);
        if updates_rows {
            data.add_row_updates(row_updates);
        }
        yields = term.yields(shared.reach());
    }
    data.end();
    metric::set_evacuated_runs(0);
    if shared.stopping() || yields {
        log!(RoleYielded, "epoch={epoch} detour={yields}");
        release(shared, &mut term);
    }
}

/// Reads what the planner needs at the start of a term, and renews the role meanwhile, since the
/// reads take longer than [`ROLE_TIMEOUT`](crate::cell::role::ROLE_TIMEOUT) on a slow link. Returns
/// `None` if the role is lost, the process stops, or the reads exceed [`LOAD_TIMEOUT`].
fn load(shared: &Arc<Shared>, term: &mut Term) -> Option<TermData> {
    let first = term.version;
    let abandoned = Arc::new(AtomicBool::new(false));
    let (reader_shared, reader_abandoned) = (Arc::clone(shared), Arc::clone(&abandoned));
    let reader = thread::Builder::new()
        .name("load".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || read_until_done(&reader_shared, first, &reader_abandoned));
    let reader = match reader {
        Ok(reader) => reader,
        Err(error) => {
            warn!(RoleLost, "cause=thread error=\"{error}\"");
            return None;
        }
    };
    if !hold_while_reading(shared, term, &reader) {
        abandoned.store(true, Ordering::Relaxed);
        return None;
    }
    // A panic ends the process, so a reader that is joined has a result.
    reader.join().ok()?
}

/// Renews the role until the reads are done. Returns whether the role is still held; it is released
/// if the process stops or the reads exceed [`LOAD_TIMEOUT`].
fn hold_while_reading<T>(shared: &Shared, term: &mut Term, reader: &JoinHandle<T>) -> bool {
    let begin = clock::now();
    let mut renewed = begin;
    while !reader.is_finished() {
        let now = clock::now();
        if now.since(renewed) >= RENEW_INTERVAL {
            if renew(shared, term).is_err() {
                return false;
            }
            renewed = now;
        }
        let load = now.since(begin);
        if load > LOAD_TIMEOUT || shared.stopping() {
            log!(RoleYielded, "epoch={} load_ms={}", term.epoch, load.as_millis());
            release(shared, term);
            return false;
        }
        thread::sleep(LOAD_POLL);
    }
    true
}

fn read_until_done(shared: &Shared, first: Version, abandoned: &AtomicBool) -> Option<TermData> {
    while !abandoned.load(Ordering::Relaxed) {
        let read = config::read_zones(shared).and_then(|()| read_orders_and_reports(shared));
        if let Ok(data) = read {
            return (wait_for_jobs(shared, first, abandoned)
                && verify_unsent(shared, &data.orders, abandoned))
            .then_some(data);
        }
        thread::sleep(RETRY_PAUSE);
    }
    None
}

fn read_orders_and_reports(shared: &Shared) -> Result<TermData, Error> {
    let mut orders = Mirror::default();
    orders.reset(&(shared.store.scan)(Table::Orders, "", "", PAGE_TIMEOUT)?);
    let sent = clock::now();
    let mut workers = Mirror::default();
    workers.reset(&(shared.store.scan)(Table::Workers, "", "", PAGE_TIMEOUT)?);
    Ok(TermData::new(orders, workers, sent))
}

/// Waits until the watch of the jobs has passed the first write of the term, so that all writes of
/// earlier holders are known. Returns whether it has.
fn wait_for_jobs(shared: &Shared, first: Version, abandoned: &AtomicBool) -> bool {
    let mut state = shared.lock();
    while state.complete_to < first {
        if abandoned.load(Ordering::Relaxed) {
            return false;
        }
        state = shared.wait(state, LOAD_POLL);
    }
    true
}

/// Reads the progress of the jobs that seem to have unsent tasks, since a watch may have missed it.
/// Returns false if the term is over before that.
fn verify_unsent(shared: &Shared, orders: &Mirror<Order>, abandoned: &AtomicBool) -> bool {
    let unsent = planner::unsent_jobs(&shared.lock().jobs, orders);
    for id in unsent {
        let row = loop {
            if abandoned.load(Ordering::Relaxed) {
                return false;
            }
            match shared.store.get(Table::Jobs, &record::progress_key(id)) {
                Ok(row) => break row,
                Err(_) => thread::sleep(RETRY_PAUSE),
            }
        };
        shared.apply(row.as_slice());
    }
    true
}

fn renew(shared: &Shared, term: &mut Term) -> Result<(), Lost> {
    write(shared, term, &shared.settings.name, Vec::new()).map(|_| ())
}

/// Commits the writes of a plan in order, in as many batches as they need, and applies the orders
/// among them. A batch that the store rejects is split; see [`Queue::reject`]. Returns the jobs with
/// a row that the store does not accept.
fn write_plan(
    shared: &Shared,
    term: &mut Term,
    writes: Vec<Write>,
    orders: &mut Mirror<Order>,
) -> Result<Vec<Id>, Lost> {
    let mut unwritable = Vec::new();
    let mut queue = Queue::new(writes, Limits::default());
    while let Some(writes) = queue.pop() {
        match write(shared, term, &shared.settings.name, writes)? {
            Written::Stored(rows) => {
                for row in rows.iter().filter(|row| row.table == Table::Orders) {
                    orders.apply(row);
                }
            }
            Written::Rejected(writes) => {
                if let Some(row) = queue.reject(writes) {
                    warn!(
                        CallRejected,
                        "key={} bytes={} left_out={} epoch={}",
                        row.key,
                        row.bytes,
                        row.left_out,
                        term.epoch
                    );
                    unwritable.extend(row.job);
                }
                thread::sleep(RETRY_PAUSE);
            }
        }
    }
    Ok(unwritable)
}

/// Writes an empty holder, so that another entry may take over at once. If the write fails, others
/// take the role after its time-out.
fn release(shared: &Shared, term: &mut Term) {
    let _ = write(shared, term, "", Vec::new());
}

/// Follows the reports of the agents with watches until the term ends.
fn follow_reports(shared: &Shared, data: &TermData) {
    let mut position = Position::default();
    while !data.ended.load(Ordering::Relaxed) {
        let after = position.after();
        let read = match after {
            None => (shared.store.scan)(Table::Workers, "", "", PAGE_TIMEOUT),
            Some(after) => {
                (shared.store.watch)(Table::Workers, Feed::default(), after, REPORT_WATCH_TIMEOUT)
            }
        };
        match read {
            // Agents report all the time, so a watch without rows may have missed some; the table
            // is read anew.
            Ok(snapshot) if after.is_some() && snapshot.rows.is_empty() => {
                position = Position::default();
            }
            Ok(snapshot) => {
                let mut workers = data.lock();
                if after.is_some() {
                    for row in &snapshot.rows {
                        workers.apply(row);
                    }
                } else {
                    workers.reset(&snapshot);
                }
                position.advance(snapshot.version);
                data.last_read.store(clock::now().0, Ordering::Relaxed);
                let peers: Vec<&str> = workers.iter().map(|(_, _, worker)| &*worker.peer).collect();
                (shared.store.set_relays)(&peers);
                drop(workers);
                shared.lock().changes += 1;
                shared.changed.notify_all();
            }
            Err(error) => {
                if after.is_some() {
                    record_failed_watch(shared, &mut position, error);
                }
                thread::sleep(RETRY_PAUSE);
            }
        }
    }
}

/// Reports that the role is held by another entry, or was released.
#[derive(Debug)]
struct Lost;

/// What became of a batch of the holder.
enum Written {
    /// It was applied, and left these rows.
    Stored(Vec<Row>),
    /// The store rejected these writes for good.
    Rejected(Vec<Write>),
}

/// Commits rows together with a renewal of the role. The same batch is resent until its outcome is
/// known.
fn write(
    shared: &Shared,
    term: &mut Term,
    holder: &str,
    writes: Vec<Write>,
) -> Result<Written, Lost> {
    let batch = term.build_batch(holder, fastrand::u64(1..), writes);
    loop {
        match (shared.store.commit)(&batch, CALL_TIMEOUT) {
            Ok(outcome) => {
                return match term.resolve(batch, &outcome) {
                    WriteResult::Applied(rows) => {
                        shared.apply(&rows);
                        Ok(Written::Stored(rows))
                    }
                    WriteResult::Lost => Err(Lost),
                };
            }
            Err(Error::Rejected) if batch.writes.len() > 1 => {
                return Ok(Written::Rejected(Term::take_writes(batch)));
            }
            Err(Error::Rejected) => return Err(Lost),
            // A release is not retried: without it, others take the role after its time-out.
            Err(_) if holder.is_empty() => return Err(Lost),
            Err(_) => thread::sleep(RETRY_PAUSE),
        }
    }
}

/// Commits the updates of single rows one after the other until the term ends. Each may wait for a
/// loaded part of the store, and the planner has to renew its role meanwhile. If an answer is lost,
/// the next watch shows whether the update was applied.
fn update_rows(shared: &Shared, data: &TermData) {
    while let Some(batch) = data.next_row_update() {
        if let Ok(Outcome::Applied(version)) = (shared.store.commit)(&batch, CALL_TIMEOUT) {
            for Write { table, key, value } in batch.writes {
                let row = Row { table, key, version, value };
                if table == Table::Workers {
                    data.lock().apply(&row);
                } else {
                    shared.apply(std::slice::from_ref(&row));
                }
            }
        }
    }
}

/// Logs a round that took long, or whose plan exceeds a batch.
fn log_round(plan: &Plan, took: Duration, epoch: Epoch) {
    let rows = plan.writes.len();
    if took >= SLOW_ROUND || rows > MAX_BATCH_ENTRIES {
        let values = plan.writes.iter().filter_map(|write| write.value.as_ref());
        let bytes: usize = values.map(Vec::len).sum();
        log!(RoundPlanned, "rows={rows} bytes={bytes} took_ms={} epoch={epoch}", took.as_millis());
    }
}

fn log_decision(decision: &Decision, epoch: Epoch) {
    let fields = line::decision(decision, epoch);
    match decision {
        Decision::Placed { .. } => log!(Placed, "{fields}"),
        Decision::Stopped { .. } => log!(AttemptStopped, "{fields}"),
        Decision::Ended { .. } => log!(AttemptOver, "{fields}"),
        Decision::Concluded { failure: Some(Failure::Unwritable), .. } => {
            warn!(JobEnded, "{fields}");
        }
        Decision::Concluded { .. } => log!(JobEnded, "{fields}"),
        Decision::CrashRecorded { .. } => warn!(CrashRecorded, "{fields}"),
        Decision::ProgressBounded { .. } => warn!(ProgressBounded, "{fields}"),
        Decision::Revoked { .. } => warn!(MemberSuspected, "{fields}"),
        Decision::Removed { .. } => warn!(MemberLost, "{fields}"),
    }
}

fn log_observation(observation: &Observation, epoch: Epoch) {
    let fields = line::observation(observation, epoch);
    match observation {
        Observation::Evacuates { .. } => log!(EvacuationProgress, "{fields}"),
        Observation::Quarantined { .. } => warn!(Quarantined, "{fields}"),
        Observation::TakenBack { .. } => log!(TakenBack, "{fields}"),
        Observation::Waits { .. } => log!(GroupWaits, "{fields}"),
    }
}
