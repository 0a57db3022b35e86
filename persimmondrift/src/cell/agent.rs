//! The agent process: its threads and calls around [`super::duty`].

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::clock;
use super::duty::{Action, Crash, Heartbeat, Listing, Reconciler, StartAnswer};
use super::entry::config::EVACUATION_PREFIX;
use super::evacuation::{Clearance, PREPARE_WAIT, Verdict};
use super::grant;
use super::job::Task;
use super::pace::{Pace, REPORT_INTERVAL};
use super::record::{self, Incarnation, Worker};
use super::report::{self, Ack, Reporter};
use super::spec::Specs;
use super::table::{self, CALL_TIMEOUT, Calls, Error, PAGE_TIMEOUT, Snapshot, Table};
use crate::unit::{Fence, Time, Version};
use crate::{log, warn};

/// Time between two stored reports from which on the second one is logged.
const LOGGED_GAP: Duration = REPORT_INTERVAL.saturating_mul(3);
/// Maximum wait for changed orders in one call. A dead connection is noticed only after it, so it
/// is a part of the time that a gang's members wait for each other.
const WATCH_WAIT: Duration = Duration::from_millis(1_600);
/// Maximum wait for an end in one poll of a worker that has runs.
const BUSY_POLL_WAIT: Duration = Duration::from_millis(500);
/// Maximum wait for an end in one poll while runs of an earlier incarnation are being stopped. A poll
/// that was sent before a stop was answered does not show that the run is gone.
const SETTLING_POLL_WAIT: Duration = Duration::from_millis(50);
/// Maximum wait for an end in one poll of an idle worker.
const IDLE_POLL_WAIT: Duration = Duration::from_secs(1);
/// Maximum wait for the runs of a worker that deregisters to be stopped. A worker takes an answer that
/// comes within a second.
const LEAVE_WAIT: Duration = Duration::from_millis(800);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum time after which a thread checks again for due calls.
const IDLE_CALL_WAIT: Duration = Duration::from_millis(150);
/// Maximum time after which the zone's thread checks again whether a read is due.
const ZONE_WAIT: Duration = Duration::from_secs(1);
/// Threads that call the worker: several, so that one call without an answer does not delay others.
const CALL_THREADS: usize = 3;
/// Stack size of a thread. Small, since the threads only make calls.
pub const STACK_BYTES: usize = 256 << 10;

/// Starts a run.
pub type StartCall = dyn Fn(&Addressee, &Start) -> StartAnswer + Send + Sync;
/// Stops a run. Returns whether the stop was answered.
pub type StopCall = dyn Fn(&Addressee, Task, u32) -> bool + Send + Sync;
/// Polls the worker.
pub type PollCall = dyn Fn(&Addressee, &Poll) -> Result<Listing, PollError> + Send + Sync;

/// Addressee of a call to the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addressee {
    /// Incarnation of the worker; any if its id is empty.
    pub incarnation: Incarnation,
    /// Fencing token of the call.
    pub token: Fence,
}

/// Why a poll has no listing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PollError {
    /// No answer, or one that is no listing.
    NoAnswer,
    /// The worker has seen a higher fencing token.
    Fenced,
}

/// A start of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Task of the run.
    pub task: Task,
    /// Number of the run.
    pub run: u32,
    /// Text that the task is started with.
    pub spec: Arc<str>,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// End of the lease on the worker's clock, in milliseconds.
    pub deadline_ms: u64,
}

/// A poll of the worker, which also renews its lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Poll {
    /// New end of the lease on the worker's clock, in milliseconds; `None` if it is not renewed.
    pub deadline_ms: Option<u64>,
    /// The worker may discard ends up to this number.
    pub ack_cursor: u64,
    /// How long the worker waits for an end before it answers.
    pub wait: Duration,
}

/// Calls to the worker.
pub struct WorkerCalls {
    /// Starts a run.
    pub start: Box<StartCall>,
    /// Stops a run.
    pub stop: Box<StopCall>,
    /// Polls the worker.
    pub poll: Box<PollCall>,
}

/// Identity of an agent and properties of its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Key of its report, and first part of the keys of its orders.
    pub agent: String,
    /// Address at which other processes reach it, as `IP:PORT`.
    pub peer: String,
    /// Availability zone of its VM.
    pub zone: String,
    /// Maximum lease that its worker holds.
    pub max_lease: Duration,
    /// Time after the request of an evacuation of its zone within which nothing may be started any more;
    /// `None` if zones are not evacuated.
    pub evacuate_within: Option<Duration>,
}

/// A running agent.
pub struct Handle {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    identity: Identity,
    store: Arc<Calls>,
    worker: WorkerCalls,
    specs: Specs,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug)]
struct State {
    reconciler: Reconciler,
    /// Proof that the zone is not evacuated; `None` if none is needed.
    clearance: Option<Clearance>,
    /// Whether a report is due at once.
    urgent: bool,
    ready: bool,
    stopping: bool,
}

impl Handle {
    /// Starts the threads of an agent.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be started.
    pub fn start(
        identity: Identity,
        store: Arc<Calls>,
        worker: WorkerCalls,
    ) -> std::io::Result<Self> {
        let reconciler = Reconciler::new(&identity.agent, None, clock::now(), identity.max_lease);
        let clearance = identity.evacuate_within.map(Clearance::new);
        let is_checked = clearance.is_some();
        let state = State { reconciler, clearance, urgent: false, ready: false, stopping: false };
        let shared = Arc::new(Shared {
            identity,
            store,
            worker,
            specs: Specs::default(),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let mut threads = Vec::new();
        let mut start = |name: &str, body: fn(&Shared)| {
            let shared = Arc::clone(&shared);
            let builder = thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES);
            threads.push(builder.spawn(move || body(&shared))?);
            std::io::Result::Ok(())
        };
        start("report", report_loop)?;
        start("orders", order_loop)?;
        start("look", poll_loop)?;
        if is_checked {
            start("zone", zone_loop)?;
        }
        for _ in 0..CALL_THREADS {
            start("call", call_loop)?;
        }
        Ok(Self { shared, threads })
    }

    /// Applies a heartbeat of the worker.
    pub fn heartbeat(&self, heartbeat: Heartbeat) {
        let mut state = self.shared.lock();
        if !state.ready {
            // Until the last report is known, a late heartbeat of an earlier incarnation is not
            // recognised as such.
            return;
        }
        let (incarnation, draining) = (heartbeat.incarnation.clone(), heartbeat.draining);
        let (sequence, capacity) = (heartbeat.sequence, heartbeat.capacity);
        let urgent = state.reconciler.heartbeat(clock::now(), heartbeat);
        log_crash(state.reconciler.take_crash());
        if state.reconciler.is_identifying() {
            self.shared.changed.notify_all();
        }
        if urgent {
            log!(
                WorkerHeard,
                "life={incarnation} heartbeat={sequence} draining={draining} millicores={} mebibytes={} accelerators={}",
                capacity.millicores,
                capacity.mebibytes,
                capacity.accelerators
            );
            state.urgent = true;
            self.shared.changed.notify_all();
        }
    }

    /// Records that an incarnation of the worker has deregistered, and waits for a while until what it
    /// runs has been stopped: the worker ends once it has the answer. `started_ms` is when the incarnation
    /// started, in milliseconds since 1970, if that is known.
    pub fn left(&self, id: &str, started_ms: Option<u64>) {
        let mut state = self.shared.lock();
        let known = state.reconciler.incarnation().clone();
        let now = clock::now();
        let has_left = state.reconciler.worker_left(now, id, started_ms);
        state.urgent |= has_left;
        self.shared.changed.notify_all();
        while has_left && state.reconciler.is_busy() {
            let left = LEAVE_WAIT.saturating_sub(clock::now().since(now));
            if left.is_zero() {
                break;
            }
            state = self.shared.wait(state, left);
        }
        let is_busy = state.reconciler.is_busy();
        drop(state);
        let started_ms = started_ms.map_or_else(String::new, |started_ms| started_ms.to_string());
        log!(
            WorkerLeft,
            "id={id} started_ms={started_ms} life={known} applied={has_left} busy={is_busy}"
        );
    }

    /// Returns whether a thread has ended.
    #[must_use]
    pub fn failed(&self) -> bool {
        self.threads.iter().any(JoinHandle::is_finished)
    }

    /// Asks the threads to end. The worker keeps running under its lease.
    pub fn stop(&self) {
        self.shared.lock().stopping = true;
        self.shared.changed.notify_all();
    }
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
        self.lock().stopping
    }

    /// Holds starts back while no proof shows that the zone is not evacuated, and returns them to the
    /// planner if none is had in time.
    fn check_clearance(&self, state: &mut State) {
        let Some(clearance) = &mut state.clearance else {
            return;
        };
        let now = clock::now();
        if !state.reconciler.has_starts() {
            clearance.record_idle();
            return;
        }
        let was_due = clearance.needs_read(now, false);
        let verdict = clearance.check(now);
        state.reconciler.hold_starts(!matches!(verdict, Verdict::Start | Verdict::Prepare));
        if !was_due && clearance.needs_read(now, false) {
            self.changed.notify_all();
        }
        if verdict != Verdict::Return {
            return;
        }
        let count = state.reconciler.return_unstarted();
        if count == 0 {
            return;
        }
        let request = clearance.request().unwrap_or_default();
        let age = clearance.age(now).map_or_else(String::new, |age| age.as_millis().to_string());
        warn!(
            StartsReturned,
            "zone={} row={request} proof_age_ms={age} count={count}", self.identity.zone
        );
        state.urgent = true;
        self.changed.notify_all();
    }

    /// Waits for a short time until a proof shows that the zone is not evacuated. Returns whether a run may
    /// be started now.
    fn await_start(&self, task: Task, run: u32) -> bool {
        let begin = clock::now();
        let mut state = self.lock();
        loop {
            let now = clock::now();
            let left = PREPARE_WAIT.saturating_sub(now.since(begin));
            match &state.clearance {
                Some(clearance) if !clearance.allows_start(now) => {
                    if left.is_zero() || !clearance.is_awaited(now) {
                        return false;
                    }
                }
                _ => return state.reconciler.may_send_start(now, task, run),
            }
            state = self.wait(state, left);
        }
    }

    fn addressee(state: &State) -> Addressee {
        Addressee {
            incarnation: state.reconciler.incarnation().clone(),
            token: state.reconciler.token(),
        }
    }

    /// Returns the addressee of a poll.
    fn poll_addressee(state: &State) -> Addressee {
        Addressee {
            incarnation: state.reconciler.poll_incarnation(),
            token: state.reconciler.token(),
        }
    }

    /// Reads all orders of this agent.
    fn read_orders(&self) -> Result<Snapshot, Error> {
        let (from, to) = Reconciler::order_range(&self.identity.agent);
        (self.store.scan)(Table::Orders, &from, &to, PAGE_TIMEOUT)
    }

    /// Reads all orders of this agent, and applies them.
    fn scan_orders(&self) -> Result<Version, Error> {
        let snapshot = self.read_orders()?;
        let version = snapshot.version;
        self.lock().reconciler.reset_orders(&snapshot);
        self.changed.notify_all();
        Ok(version)
    }
}

/// Writes reports, the first one after the previous process's report and orders were read.
fn report_loop(shared: &Shared) {
    let boot = fastrand::u64(1..);
    let Some(mut reporter) = recover(shared, boot) else {
        return;
    };
    let mut last = Time(0);
    let (mut stored, mut calls) = (clock::now(), 0_u32);
    let mut pace = Pace::default();
    loop {
        let mut state = shared.lock();
        while !state.stopping {
            let pause = if state.urgent { pace.min_gap() } else { pace.interval() };
            let left = pause.saturating_sub(clock::now().since(last));
            if left.is_zero() {
                break;
            }
            state = shared.wait(state, left);
        }
        if state.stopping && !state.urgent {
            return;
        }
        state.urgent = false;
        let sent = clock::now();
        let listed = state.reconciler.listed();
        let worker = Worker {
            peer: shared.identity.peer.clone(),
            zone: shared.identity.zone.clone(),
            ..state.reconciler.report(sent)
        };
        drop(state);
        last = sent;
        calls = calls.saturating_add(1);
        let outcome = (shared.store.commit)(&reporter.batch(worker), CALL_TIMEOUT);
        match &outcome {
            Ok(_) => pace.record_commit(clock::now().since(sent)),
            Err(_) => pace.record_unanswered(),
        }
        let next = fastrand::u64(1..);
        let granted = match outcome.as_ref().map(|outcome| reporter.handle_outcome(outcome, next)) {
            Ok(Ack::Granted) => true,
            Ok(Ack::RereadOrders) => shared.scan_orders().is_ok(),
            Ok(Ack::SessionEnded) => {
                warn!(GivenUp, "version={} session={}", reporter.version(), reporter.session());
                let mut state = shared.lock();
                state.reconciler.begin_session(reporter.session());
                state.urgent = true;
                continue;
            }
            Ok(Ack::Resend) => {
                shared.lock().urgent = true;
                continue;
            }
            Ok(Ack::FormerReport) => {
                let Some(recovered) = recover(shared, boot) else {
                    return;
                };
                reporter = recovered;
                shared.lock().urgent = true;
                continue;
            }
            Err(_) => false,
        };
        if granted {
            reporter.orders_reread();
            let span = grant::span(shared.identity.max_lease);
            let mut state = shared.lock();
            let now = clock::now();
            let before = state.reconciler.ack_cursor(now);
            state.reconciler.report_stored(sent, span, listed);
            let cursor = state.reconciler.ack_cursor(now);
            drop(state);
            shared.changed.notify_all();
            let gap = sent.since(stored);
            if cursor > before || gap > LOGGED_GAP {
                log!(
                    ReportStored,
                    "version={} session={} cursor={cursor} took_ms={} gap_ms={} calls={calls}",
                    reporter.version(),
                    reporter.session(),
                    now.since(sent).as_millis(),
                    gap.as_millis()
                );
            }
            (stored, calls) = (sent, 0);
        } else {
            shared.lock().urgent = true;
            thread::sleep(RETRY_PAUSE);
        }
    }
}

/// Reads the report and orders that the previous process left, and replaces the state by what they tell:
/// at the start, and again if a late report of that process was found. Returns `None` if the agent is
/// stopped.
fn recover(shared: &Shared, boot: u64) -> Option<Reporter> {
    while !shared.stopping() {
        let read = || -> Result<Reporter, Error> {
            let agent = &shared.identity.agent;
            let row = shared.store.get(Table::Workers, agent)?;
            let orders = shared.read_orders()?;
            let last: Option<Worker> =
                row.as_ref().and_then(|row| record::decode(row.value.as_deref()?));
            let last = last.or_else(|| report::restore(&orders).filter(|_| row.is_some()));
            let version = row.as_ref().map_or(Version(0), |row| row.version);
            let reporter = Reporter::new(agent, boot, version, last.as_ref());
            let max_lease = shared.identity.max_lease;
            let mut reconciler = Reconciler::new(agent, last.as_ref(), clock::now(), max_lease);
            reconciler.begin_session(reporter.session());
            // Higher than what an earlier process called the worker with.
            reconciler.raise_token(Fence(clock::wall_ms()));
            // Before it is used: what a listing shows without an order is stopped.
            reconciler.reset_orders(&orders);
            let mut state = shared.lock();
            reconciler.raise_token(state.reconciler.token().next());
            if let Some((heard, heartbeat)) = state.reconciler.take_heartbeat() {
                reconciler.heartbeat(heard, heartbeat);
            }
            let was_ready = state.ready;
            state.reconciler = reconciler;
            drop(state);
            if was_ready {
                // The watch may have applied newer orders to the state that is replaced.
                shared.scan_orders()?;
            }
            Ok(reporter)
        };
        match read() {
            Ok(reporter) => {
                let mut state = shared.lock();
                state.ready = true;
                let (report, session) = (reporter.version(), reporter.session());
                log!(
                    Recovered,
                    "report={report} session={session} life={}",
                    state.reconciler.incarnation()
                );
                return Some(reporter);
            }
            Err(_) => thread::sleep(RETRY_PAUSE),
        }
    }
    None
}

/// Watches the orders.
fn order_loop(shared: &Shared) {
    let feed = Table::Orders.feed(&Reconciler::order_range(&shared.identity.agent).0);
    let mut version = None;
    while !shared.stopping() {
        if !shared.lock().ready {
            thread::sleep(RETRY_PAUSE);
            continue;
        }
        let Some(after) = version else {
            match shared.scan_orders() {
                Ok(read) => version = Some(read),
                Err(_) => thread::sleep(RETRY_PAUSE),
            }
            continue;
        };
        version = match (shared.store.watch)(Table::Orders, feed, after, WATCH_WAIT) {
            // A watch without changes may have missed some, so all orders are read again.
            Ok(snapshot) if snapshot.rows.is_empty() => None,
            Ok(snapshot) => {
                shared.lock().reconciler.apply_orders(&snapshot.rows);
                shared.changed.notify_all();
                Some(snapshot.version.max(after))
            }
            Err(_) => None,
        };
    }
}

/// Polls the worker repeatedly, and renews its lease.
fn poll_loop(shared: &Shared) {
    while !shared.stopping() {
        let (addressee, poll, sent) = {
            let mut state = shared.lock();
            if !state.ready {
                drop(state);
                thread::sleep(RETRY_PAUSE);
                continue;
            }
            let sent = clock::now();
            let lease_deadline_ms = state.reconciler.renew_lease(sent);
            let wait = match (lease_deadline_ms, state.reconciler.is_busy()) {
                (None, _) => Duration::ZERO,
                (Some(_), _) if state.reconciler.is_settling() => SETTLING_POLL_WAIT,
                (Some(_), true) => BUSY_POLL_WAIT,
                (Some(_), false) => IDLE_POLL_WAIT,
            };
            let poll = Poll {
                deadline_ms: lease_deadline_ms,
                ack_cursor: state.reconciler.ack_cursor(sent),
                wait,
            };
            (Shared::poll_addressee(&state), poll, sent)
        };
        let answer = (shared.worker.poll)(&addressee, &poll);
        let now = clock::now();
        let mut state = shared.lock();
        let is_current = addressee.token == state.reconciler.token();
        let listing = match answer {
            // Another incarnation became known meanwhile, and this one may be earlier.
            Ok(_) | Err(PollError::Fenced) if !is_current => continue,
            Ok(listing) => Some(listing),
            Err(PollError::NoAnswer) => {
                state.reconciler.poll_failed();
                None
            }
            Err(PollError::Fenced) => {
                state.reconciler.poll_fenced();
                None
            }
        };
        if let Some(listing) = listing {
            let known = state.reconciler.last_listed();
            for (number, task, run, ending, _) in &listing.finished {
                if *number > known {
                    log!(TaskEnded, "task={task} run={run} ending={ending} listed={number}");
                }
            }
            if state.reconciler.apply_listing(sent, now, &listing) {
                state.urgent = true;
            }
            log_crash(state.reconciler.take_crash());
            drop(state);
            shared.changed.notify_all();
        } else {
            if state.reconciler.end_lapsed(now) {
                warn!(LeaseLapsed, "life={}", state.reconciler.incarnation());
                state.urgent = true;
                shared.changed.notify_all();
            }
            drop(state);
            thread::sleep(RETRY_PAUSE);
        }
    }
}

/// Reads whether the zone is evacuated, while there are orders to start and the newest read is getting
/// old.
fn zone_loop(shared: &Shared) {
    let key = format!("{EVACUATION_PREFIX}{}", shared.identity.zone);
    loop {
        let mut state = shared.lock();
        let sent = loop {
            if state.stopping {
                return;
            }
            let now = clock::now();
            let has_starts = state.ready && state.reconciler.has_starts();
            if let Some(clearance) = &mut state.clearance
                && clearance.needs_read(now, has_starts)
            {
                clearance.read_sent(now);
                break now;
            }
            let wait = if has_starts { IDLE_CALL_WAIT } else { ZONE_WAIT };
            state = shared.wait(state, wait);
        };
        drop(state);
        let read = (shared.store.scan)(Table::Operator, &key, &table::next_key(&key), CALL_TIMEOUT);
        let now = clock::now();
        let mut state = shared.lock();
        let Some(clearance) = &mut state.clearance else {
            return;
        };
        match read {
            Ok(snapshot) => {
                let row = snapshot.rows.iter().find(|row| row.key == key && row.value.is_some());
                let request = row.map(|row| row.version);
                if clearance.read_answered(sent, snapshot.version, request) {
                    log_zone(
                        &shared.identity.zone,
                        request.unwrap_or(snapshot.version),
                        request.is_some(),
                    );
                }
            }
            Err(error) => {
                clearance.read_failed(now);
                let age =
                    clearance.age(now).map_or_else(String::new, |age| age.as_millis().to_string());
                warn!(StoreFailed, "call=zone error=\"{error}\" proof_age_ms={age}");
            }
        }
        drop(state);
        shared.changed.notify_all();
    }
}

/// Logs that a zone is evacuated, or is back in service.
pub(super) fn log_zone(zone: &str, version: Version, evacuated: bool) {
    if evacuated {
        log!(ZoneEvacuated, "zone={zone} row={version}");
    } else {
        log!(ZoneReturned, "zone={zone} row={version}");
    }
}

/// Makes the calls that are due.
fn call_loop(shared: &Shared) {
    loop {
        let mut state = shared.lock();
        let action = loop {
            if state.stopping {
                return;
            }
            shared.check_clearance(&mut state);
            match state.reconciler.next_call(clock::now()) {
                Some(action) => break action,
                None => state = shared.wait(state, IDLE_CALL_WAIT),
            }
        };
        let addressee = Shared::addressee(&state);
        drop(state);
        match action {
            Action::Identify => identify(shared),
            Action::Start { task, run, checkpoint, deadline_ms } => {
                let spec = shared.specs.get(&shared.store, task.job);
                // Reading the text may have taken a while.
                let may_send = shared.await_start(task, run);
                let answer = match spec {
                    Ok(Some(_)) if !may_send => StartAnswer::NotSent,
                    Ok(Some(spec)) => {
                        let start = Start { task, run, spec, checkpoint, deadline_ms };
                        (shared.worker.start)(&addressee, &start)
                    }
                    Ok(None) => StartAnswer::Refused,
                    Err(_) => StartAnswer::NotSent,
                };
                log!(
                    TaskStarted,
                    "task={task} run={run} life={} token={} answer={answer:?}",
                    addressee.incarnation,
                    addressee.token
                );
                let mut state = shared.lock();
                if state.reconciler.start_answered(clock::now(), task, run, answer) {
                    state.urgent = true;
                    drop(state);
                    shared.changed.notify_all();
                }
            }
            Action::Stop { task, run } => {
                let answered = (shared.worker.stop)(&addressee, task, run);
                log!(
                    TaskStopped,
                    "task={task} run={run} life={} answered={answered}",
                    addressee.incarnation
                );
                let mut state = shared.lock();
                // An answer of an earlier incarnation says nothing of the present one.
                let is_present =
                    state.reconciler.incarnation().started_ms == addressee.incarnation.started_ms;
                let answered = answered && is_present;
                state.reconciler.stop_call_done(clock::now(), task, run, answered);
            }
        }
    }
}

/// Asks which incarnation of the worker is up, beside a poll that may still wait for its answer. A new one
/// is asked again, since it has not seen its token yet.
fn identify(shared: &Shared) {
    if ask_incarnation(shared) {
        ask_incarnation(shared);
    }
}

/// Returns whether a new incarnation has answered.
fn ask_incarnation(shared: &Shared) -> bool {
    let (known, addressee) = {
        let state = shared.lock();
        (state.reconciler.incarnation().clone(), Shared::poll_addressee(&state))
    };
    let poll = Poll { deadline_ms: None, ack_cursor: 0, wait: Duration::ZERO };
    let sent = clock::now();
    let answer = (shared.worker.poll)(&addressee, &poll);
    let mut state = shared.lock();
    let listing = answer.ok().filter(|_| addressee.token == state.reconciler.token());
    let is_next = state.reconciler.identified(sent, clock::now(), listing.as_ref());
    log_crash(state.reconciler.take_crash());
    if let Some(listing) = listing {
        let started_ms = listing.started_ms;
        log!(WorkerIdentified, "life={known} answered={started_ms} replaced={is_next}");
    }
    if is_next {
        state.urgent = true;
    }
    drop(state);
    shared.changed.notify_all();
    is_next
}

fn log_crash(crash: Option<Crash>) {
    if let Some(Crash { incarnation, next, runs, unsettled }) = crash {
        let names = |runs: &[(Task, u32)]| -> String {
            let names: Vec<String> =
                runs.iter().map(|(task, run)| format!("{task}:{run}")).collect();
            names.join(",")
        };
        warn!(
            WorkerCrashed,
            "life={incarnation} next={next} tasks={} unsettled={}",
            names(&runs),
            names(&unsettled)
        );
    }
}
