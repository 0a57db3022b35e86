//! Reconciliation of an agent's orders with the runs on its worker.
//!
//! Only the agent calls the worker, so it alone knows what may be running there. A start without an
//! answer may be carried out later. Its resources count as used until a listing that was requested
//! after its stop was answered no longer shows the run.

mod proof;
mod report;
mod run;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::grant::{self, WorkerClock};
use super::job::{Resources, Task};
use super::mirror::Mirror;
use super::record::{
    self, Condition, End, Ending, Incarnation, Loss, Order, OrderTask, Running, Worker,
};
use super::table::{Row, Snapshot};
use crate::unit::{Fence, Time};

use proof::Proof;
pub use run::{MAX_CHECKPOINT_BYTES, START_PERIOD};
use run::{Run, StartEvidence};

/// Pause after a call that asks for the incarnation and got no answer.
const IDENTIFY_PAUSE: Duration = Duration::from_millis(150);
/// Time without an answer from the worker after which it gets no new work.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);
/// Time without an answer from the worker after which its lease is no longer renewed, so that it
/// lapses.
const RENEWAL_CUTOFF: Duration = Duration::from_secs(1);
/// Age of the last heartbeat at which its capacity counts as unknown, so that nothing is started.
/// Covers two lost heartbeats.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(4);
/// How far a heartbeat may be ahead of the worker's clock as the last listing showed it.
const MAX_READING_AHEAD: Duration = Duration::from_secs(10);
/// Maximum number of ends in one listing. Only a listing with fewer ends is complete.
const MAX_LISTED_ENDS: usize = 500;
/// Maximum number of losses in a report, more than the tasks that most workers start in a second.
const MAX_LOSSES: usize = 128;
/// Maximum number of late ends in a report.
const MAX_LATE_ENDS: usize = 32;
/// Increase of the fencing token after the first poll that the worker refused for it; doubles with each
/// further one. Tokens begin with the time of day in milliseconds, which may have been set back.
const FENCED_STEP: u64 = 1_000;
/// Number of times that the increase doubles.
const MAX_FENCED_DOUBLINGS: u32 = 32;
/// Time for which a loss or a late end is reported, so that the planner reads it at least once.
const LOSS_RETENTION: Duration = Duration::from_mins(1);

/// A heartbeat of the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Incarnation of the worker that sent it.
    pub incarnation: Incarnation,
    /// Increases with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Whether the worker is shutting down and takes no new work.
    pub draining: bool,
    /// Service whose worker pool it belongs to.
    pub service: String,
    /// Kind, rack and further labels, in this order.
    pub labels: Vec<String>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Time that a draining worker has left, in milliseconds.
    pub remaining_ms: u32,
    /// Time for which the worker is slow after its start, in milliseconds.
    pub cold_ms: u32,
}

/// A worker's answer to a poll: the runs that it knows.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Listing {
    /// When the worker started, in milliseconds since 1970.
    pub started_ms: u64,
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Runs in progress: task, run number, newest checkpoint, percent done.
    pub running: Vec<(Task, u32, String, u8)>,
    /// Ended runs: number of the end, task, run number, ending, newest checkpoint.
    pub finished: Vec<(u64, Task, u32, Ending, String)>,
}

/// The newest end that an incarnation of a worker has listed, and the newest one in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Listed {
    /// When the incarnation started, in milliseconds since 1970.
    pub started_ms: u64,
    /// Number of the end; 0 if none was listed.
    pub number: u64,
    /// Number of the newest end in the report, counted over all incarnations; 0 if it has none of
    /// this agent process.
    pub reported: u64,
}

/// A worker's answer to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker runs it.
    Started,
    /// The worker had this run, or a later one of the task, before.
    Old,
    /// The lease had expired when the call arrived.
    Late,
    /// The worker has too few free resources.
    NoRoom,
    /// The fencing token is too low.
    Fenced,
    /// The worker refused for another reason and did nothing.
    Refused,
    /// The worker has another incarnation.
    OtherLife,
    /// No answer: the run may have started, or may start later.
    NoAnswer,
    /// The call was not made, because the job's text could not be read or the run may not start any
    /// more.
    NotSent,
}

/// A call to the worker that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Asks which incarnation is up: whichever is at the worker's address.
    Identify,
    /// Starts a run.
    Start {
        /// Task of the run.
        task: Task,
        /// Number of the run.
        run: u32,
        /// Checkpoint to resume from; empty if there is none.
        checkpoint: String,
        /// End of its lease on the worker's clock, in milliseconds.
        deadline_ms: u64,
    },
    /// Stops a run.
    Stop {
        /// Task of the run.
        task: Task,
        /// Number of the run.
        run: u32,
    },
}

/// A crash of a worker, noticed when its next incarnation appeared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Incarnation that crashed.
    pub incarnation: Incarnation,
    /// Incarnation that has replaced it.
    pub next: Incarnation,
    /// Runs that it took along: task and run number.
    pub runs: Vec<(Task, u32)>,
    /// Those of them that the next incarnation may start, if it has the same id.
    pub unsettled: Vec<(Task, u32)>,
}

/// An end that the planner has not processed.
#[derive(Debug)]
struct Unprocessed {
    end: End,
    /// Incarnation that the run was ordered for.
    incarnation: Incarnation,
    /// Start time of the incarnation that the run ended in, in milliseconds since 1970.
    ended_in_ms: u64,
    /// Number under which that incarnation has listed it; 0 if it has not.
    number: u64,
    /// Number over all incarnations; 0 if an earlier agent process reported it.
    sequence: u64,
}

/// Another incarnation that a heartbeat or a deregistration has named. Anyone can send these, so only an
/// answer at the worker's address shows whether that incarnation is up.
#[derive(Debug)]
struct Announced {
    incarnation: Incarnation,
    heartbeat: Option<Heartbeat>,
    /// When the message arrived.
    since: Time,
    /// Whether a call that asks for the incarnation is in flight.
    in_flight: bool,
    /// Earliest time of the next such call.
    not_before: Time,
}

/// What is known of a planned end of the known incarnation, beside its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// Nothing.
    None,
    /// It was draining when an earlier agent process last reported.
    Drained,
    /// It has deregistered: it gets nothing more, but may still run what it has.
    Deregistered,
}

/// What becomes of runs that are to be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Starts {
    /// They are started.
    Allowed,
    /// They wait, since the zone may be evacuated.
    Held,
    /// They are being returned to the planner.
    Returned,
}

/// Who has answered a call to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answerer {
    /// The known incarnation.
    Known,
    /// Another one, which is the known one from now on.
    Next,
    /// One that the known incarnation has replaced.
    Earlier,
}

/// State of an agent: its orders, the runs on its worker, and the worker's lease.
#[derive(Debug)]
pub struct Reconciler {
    agent: String,
    last_heartbeat: Option<Heartbeat>,
    /// When the last heartbeat arrived.
    heard: Time,
    drain_deadline: Option<Time>,
    /// Incarnation of the worker that the runs belong to.
    incarnation: Incarnation,
    /// When the incarnation became known.
    incarnation_since: Time,
    announced: Option<Announced>,
    /// Current session of the agent. Orders for another one are not carried out.
    session: u64,
    orders: Mirror<Order>,
    /// Runs that an earlier agent process may have started; `None` until the orders were first
    /// read.
    inherited: Option<BTreeSet<(Task, u32)>>,
    /// Runs in the last report of an earlier agent process.
    reported_runs: BTreeMap<(Task, u32), Running>,
    /// Newest id of the worker that is known.
    last_id: String,
    /// Whether the incarnation before had the same id.
    has_returned: bool,
    departure: Departure,
    runs: BTreeMap<(Task, u32), Run>,
    /// The oldest are in the report, as many as fit; the others are held back.
    ends: Vec<Unprocessed>,
    /// Sequence number of the newest end.
    newest_end: u64,
    /// Ends up to this sequence number are in a stored report, unless no order was left for them.
    stored_end: u64,
    /// Ends up to this sequence number are older than the session.
    session_end: u64,
    /// Newest runs whose lease had lapsed or that the planner had written off, and the first heartbeat
    /// after each became known.
    losses: Vec<(Loss, Option<Time>)>,
    /// Newest ends as done of runs that the planner had written off before a report with them was
    /// stored, and the first heartbeat after each became known.
    late: Vec<(End, Option<Time>)>,
    clock: Option<WorkerClock>,
    /// When the worker last answered a poll.
    last_answer: Option<Time>,
    /// Whether the known incarnation has answered a call with the present token. If not, another one
    /// may be up.
    is_confirmed: bool,
    /// Lowest number of an end in the last listing; `None` if it had none.
    first_listed: Option<u64>,
    grant_until: Time,
    /// End of the longest lease that the worker may hold.
    lease_until: Time,
    max_lease: Duration,
    /// Highest number of an end that the worker has listed.
    listed: u64,
    /// Ends up to this number are in a stored report.
    ack_cursor: u64,
    /// Rises with each incarnation, which then ignores all calls that were sent before it was known: each
    /// may be carried out seconds later.
    token: Fence,
    /// Polls refused for their token since the last one that was answered.
    fenced_polls: u32,
    /// Newest crash that was not taken yet.
    crash: Option<Crash>,
    /// Runs whose start was in flight when the worker's last crash became known.
    pending: BTreeSet<(Task, u32)>,
    starts: Starts,
}

impl Reconciler {
    /// Creates the state of an agent process from the agent's last stored report. An earlier process
    /// may have let its worker run for up to `max_lease` from `now`.
    #[must_use]
    pub fn new(agent: &str, last: Option<&Worker>, now: Time, max_lease: Duration) -> Self {
        let running = last.map_or(&[][..], |last| &last.running);
        let reported_runs = running.iter().map(|run| ((run.task, run.run), run.clone()));
        let incarnation = last.map(|last| last.incarnation.clone()).unwrap_or_default();
        let ends = last.map_or(&[][..], |last| &last.ends).iter().cloned().map(|mut end| {
            if end.checkpoint.len() > MAX_CHECKPOINT_BYTES {
                // An earlier version accepted it. It would hold back all further ends.
                end.checkpoint.clear();
            }
            let ended_in_ms = incarnation.started_ms;
            let incarnation = incarnation.clone();
            Unprocessed { end, incarnation, ended_in_ms, number: 0, sequence: 0 }
        });
        Self {
            agent: agent.to_owned(),
            last_heartbeat: None,
            heard: Time(0),
            drain_deadline: None,
            ends: ends.collect(),
            newest_end: 0,
            stored_end: 0,
            session_end: 0,
            incarnation,
            incarnation_since: now,
            announced: None,
            session: 0,
            orders: Mirror::default(),
            inherited: None,
            reported_runs: reported_runs.collect(),
            last_id: last.map(|last| last.incarnation.id.clone()).unwrap_or_default(),
            has_returned: false,
            departure: match last {
                Some(last) if last.condition == Condition::Draining => Departure::Drained,
                _ => Departure::None,
            },
            runs: BTreeMap::new(),
            losses: last
                .map(|last| last.losses.iter().map(|loss| (*loss, Some(now))).collect())
                .unwrap_or_default(),
            late: Vec::new(),
            clock: None,
            last_answer: None,
            is_confirmed: false,
            first_listed: None,
            grant_until: Time(0),
            lease_until: if last.is_some() { now + max_lease } else { Time(0) },
            max_lease,
            listed: 0,
            ack_cursor: 0,
            token: Fence(0),
            fenced_polls: 0,
            crash: None,
            pending: BTreeSet::new(),
            starts: Starts::Allowed,
        }
    }

    /// Begins a session. Runs that were ordered for an earlier one are stopped.
    pub fn begin_session(&mut self, session: u64) {
        if session != self.session {
            self.session = session;
            self.session_end = self.newest_end;
            self.sync();
        }
    }

    /// Applies a heartbeat, unless it is older than the last one or comes from an earlier
    /// incarnation. One that names another incarnation ends nothing: it is applied when that
    /// incarnation has answered a call. Returns whether a report is due at once.
    pub fn heartbeat(&mut self, now: Time, heartbeat: Heartbeat) -> bool {
        let started_ms = heartbeat.incarnation.started_ms;
        if started_ms < self.incarnation.started_ms {
            return false;
        }
        let is_recent =
            |since: &mut Option<Time>| now.since(*since.get_or_insert(now)) < LOSS_RETENTION;
        self.losses.retain_mut(|(_, since)| is_recent(since));
        self.late.retain_mut(|(_, since)| is_recent(since));
        if heartbeat.incarnation != self.incarnation {
            if !self.is_first_or_named(&heartbeat.incarnation) {
                self.announce(now, heartbeat.incarnation.clone(), Some(heartbeat));
                return false;
            }
            self.reset(now, heartbeat.incarnation.clone(), None);
            self.incarnation_since = now;
        }
        if self.is_ahead(now, heartbeat.clock_ms) {
            return false;
        }
        let before = self.last_heartbeat.as_ref();
        // Both rise with each heartbeat, unless another writer has sent the last one.
        if before.is_some_and(|before| {
            before.sequence >= heartbeat.sequence && before.clock_ms >= heartbeat.clock_ms
        }) {
            return false;
        }
        let urgent = before.is_none_or(|before| {
            before.draining != heartbeat.draining || before.capacity != heartbeat.capacity
        });
        if heartbeat.draining {
            let left = Duration::from_millis(heartbeat.remaining_ms.into());
            self.drain_deadline = Some(now + left);
        }
        self.last_heartbeat = Some(heartbeat);
        self.heard = now;
        self.sync();
        urgent
    }

    /// Takes the last heartbeat and the time when it arrived, for the state that replaces this one.
    pub fn take_heartbeat(&mut self) -> Option<(Time, Heartbeat)> {
        Some((self.heard, self.last_heartbeat.take()?))
    }

    /// Returns whether a heartbeat's incarnation ends no run: none was known before it, or the known one
    /// has answered and only its id is new.
    fn is_first_or_named(&self, next: &Incarnation) -> bool {
        let is_first = self.incarnation == Incarnation::default() && self.runs.is_empty();
        let is_named =
            self.incarnation.id.is_empty() && self.incarnation.started_ms == next.started_ms;
        is_first || is_named
    }

    /// Keeps what a message says of another incarnation until a call shows which one is up. Until then
    /// nothing is started, no lease is renewed and no end is acknowledged.
    fn announce(&mut self, now: Time, incarnation: Incarnation, heartbeat: Option<Heartbeat>) {
        let known = self.announced.as_ref();
        let (in_flight, not_before) =
            known.map_or((false, now), |own| (own.in_flight, own.not_before));
        if known.is_none_or(|own| own.incarnation != incarnation)
            && self.incarnation.id == incarnation.id
            && self.runs.values().any(Run::is_unsettled)
        {
            // The next incarnation may hold a lease of its own for a start that was sent before.
            self.lease_until = self.lease_until.max(now + self.longest_late_lease());
        }
        let since = now;
        self.announced = Some(Announced { incarnation, heartbeat, since, in_flight, not_before });
        self.is_confirmed = false;
    }

    /// Returns whether another incarnation was announced and no call has shown yet which one is up.
    #[must_use]
    pub fn is_identifying(&self) -> bool {
        self.announced.is_some()
    }

    /// Applies the answer to a call sent at `sent` that asked which incarnation is up; `None` if there is
    /// none. A listing of the known incarnation is not applied, since a later one may have been before.
    /// Returns whether a report is due at once.
    pub fn identified(&mut self, sent: Time, now: Time, listing: Option<&Listing>) -> bool {
        if let Some(announced) = &mut self.announced {
            announced.in_flight = false;
            if listing.is_none() {
                announced.not_before = now + IDENTIFY_PAUSE;
            }
        }
        let Some(listing) = listing else {
            return false;
        };
        if listing.started_ms == self.incarnation.started_ms {
            self.answerer(sent, now, listing.started_ms);
            // Otherwise nothing would be started before the poll that waits is answered.
            self.is_confirmed = self.announced.is_none() && self.clock.is_some();
            return false;
        }
        self.apply_listing(sent, now, listing)
    }

    /// Determines who has answered a call sent at `sent`, from when that incarnation started. The answer
    /// of another one than the known one proves that the known one is over.
    fn answerer(&mut self, sent: Time, now: Time, started_ms: u64) -> Answerer {
        let known_ms = self.incarnation.started_ms;
        // Start times fall if the clock was set back in between. After a poll without an answer, whoever
        // answers is later than the known incarnation; otherwise the next call decides.
        if started_ms < known_ms && (self.is_confirmed || sent < self.incarnation_since) {
            self.is_confirmed = false;
            return Answerer::Earlier;
        }
        let announced = self
            .announced
            .take_if(|own| own.since <= sent || own.incarnation.started_ms == started_ms);
        if started_ms == known_ms {
            return Answerer::Known;
        }
        let heard = announced
            .filter(|own| own.incarnation.started_ms == started_ms)
            .and_then(|own| Some((own.since, own.heartbeat?)));
        let id = heard.as_ref().map_or("", |(_, heartbeat)| &heartbeat.incarnation.id).to_owned();
        let proof = Proof::by_replacement(started_ms, known_ms);
        self.reset(now, Incarnation { started_ms, id }, proof);
        self.incarnation_since = now;
        if let Some((since, heartbeat)) = heard {
            self.heartbeat(since, heartbeat);
        }
        Answerer::Next
    }

    /// Records that an incarnation of the worker has deregistered. It ends soon, and whether it has ended
    /// is not known: what it runs is told to stop, and its lease is not renewed. `started_ms` is when it
    /// started, in milliseconds since 1970, if that is known. Returns whether it is the present one; it
    /// may also be an earlier one whose message was late.
    pub fn worker_left(&mut self, now: Time, id: &str, started_ms: Option<u64>) -> bool {
        let present = &self.incarnation;
        let is_present = match started_ms {
            Some(started_ms) => {
                started_ms == present.started_ms && (present.id.is_empty() || present.id == id)
            }
            // Either incarnation with this id may have sent it. One that leaves drains before.
            None => present.id == id && (self.is_leaving() || !self.has_returned),
        };
        if is_present {
            self.departure = Departure::Deregistered;
            self.sync();
        } else if let Some(started_ms) = started_ms.filter(|later| *later > present.started_ms) {
            self.announce(now, Incarnation { started_ms, id: id.to_owned() }, None);
        }
        is_present
    }

    /// Returns whether the known incarnation has deregistered.
    fn has_left(&self) -> bool {
        self.departure == Departure::Deregistered
    }

    /// Returns whether the known incarnation is about to end, so that it gets no new work.
    fn is_leaving(&self) -> bool {
        self.has_left() || self.last_heartbeat.as_ref().is_some_and(|last| last.draining)
    }

    /// Applies changed rows of orders; rows of other agents are ignored.
    pub fn apply_orders(&mut self, rows: &[Row]) {
        for row in rows {
            if self.is_own(&row.key) {
                self.orders.apply(row);
            }
        }
        self.sync();
    }

    /// Replaces the orders by those of a snapshot.
    pub fn reset_orders(&mut self, snapshot: &Snapshot) {
        self.orders.reset(snapshot);
        if self.inherited.is_none() {
            self.inherited = Some(ordered_runs(&self.orders).into_keys().collect());
        }
        self.sync();
    }

    /// Returns the range of keys of an agent's orders.
    #[must_use]
    pub fn order_range(agent: &str) -> (String, String) {
        // '0' follows '/' in byte order.
        (format!("{agent}/"), format!("{agent}0"))
    }

    /// Records that the store has a report that was sent at `sent`, with all ends up to `listed`.
    /// Ends are numbered anew in each incarnation, so those of an earlier one acknowledge nothing.
    /// It lets the worker run until `span` after `sent`.
    pub fn report_stored(&mut self, sent: Time, span: Duration, listed: Listed) {
        self.grant_until = self.grant_until.max(sent + span);
        self.stored_end = self.stored_end.max(listed.reported);
        if listed.started_ms == self.incarnation.started_ms {
            self.ack_cursor = self.ack_cursor.max(listed.number);
        }
    }

    /// Returns the number of the newest end that the worker has listed.
    #[must_use]
    pub fn last_listed(&self) -> u64 {
        self.listed
    }

    /// Returns the number up to which the worker may discard ends; 0 if it has discarded them, or if
    /// another incarnation may be up, whose ends of these numbers were not read.
    #[must_use]
    pub fn ack_cursor(&self, now: Time) -> u64 {
        let has_them = self.first_listed.is_some_and(|first| first <= self.ack_cursor);
        if has_them && self.is_answering(now) { self.ack_cursor } else { 0 }
    }

    /// Records that a poll got no answer. Until one does, the worker is started nothing on, and neither
    /// its lease is renewed nor are its ends acknowledged, since another incarnation may be up.
    pub fn poll_failed(&mut self) {
        self.is_confirmed = false;
    }

    /// Records that the worker refused a poll since it has seen a higher token: an earlier agent process
    /// began with a later time of day.
    pub fn poll_fenced(&mut self) {
        self.is_confirmed = false;
        self.token = self.token.raised(FENCED_STEP << self.fenced_polls);
        self.fenced_polls = (self.fenced_polls + 1).min(MAX_FENCED_DOUBLINGS);
    }

    /// Returns whether the last poll was answered, and not long ago.
    fn is_answering(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) <= RENEWAL_CUTOFF;
        self.is_confirmed && self.last_answer.is_some_and(is_recent)
    }

    /// Returns the fencing token of the next call. The answer to a call with a lower one may be an earlier
    /// incarnation's.
    #[must_use]
    pub fn token(&self) -> Fence {
        self.token
    }

    /// Raises the fencing token, unless it is higher already.
    pub fn raise_token(&mut self, token: Fence) {
        self.token = self.token.max(token);
    }

    /// Returns the incarnation that calls are addressed to.
    #[must_use]
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Returns the incarnation that a poll is addressed to: any until a listing has confirmed the known
    /// one, and while another one is announced.
    #[must_use]
    pub fn poll_incarnation(&self) -> Incarnation {
        let is_settled = self.clock.is_some() && self.announced.is_none();
        let id = if is_settled { self.incarnation.id.clone() } else { String::new() };
        Incarnation { started_ms: self.incarnation.started_ms, id }
    }

    /// Returns the lease to request with the next poll, as a deadline on the worker's clock in
    /// milliseconds; `None` if the lease is not renewed.
    pub fn renew_lease(&mut self, now: Time) -> Option<u64> {
        let is_recent = self.last_answer.is_some_and(|at| now.since(at) <= RENEWAL_CUTOFF);
        // Counted also for a poll that has to do without, so that one lost answer does not make the
        // runs lapse earlier: a task that crashes its workers is repeated until a crash is known.
        if is_recent && self.grant_until > now && !self.has_left() {
            self.lease_until = self.lease_until.max(self.grant_until);
        }
        self.deadline(now)
    }

    /// Applies the worker's answer to a poll that was sent at `sent`. Returns whether runs have
    /// ended or the worker has a new incarnation.
    pub fn apply_listing(&mut self, sent: Time, now: Time, listing: &Listing) -> bool {
        let answerer = self.answerer(sent, now, listing.started_ms);
        // Nothing was ordered for an incarnation that no heartbeat has named yet.
        let is_unnamed = answerer == Answerer::Next && self.incarnation.id.is_empty();
        if is_unnamed || answerer == Answerer::Earlier {
            return is_unnamed;
        }
        let Some(proof) = Proof::by_listing(listing, self.incarnation.started_ms) else {
            return false;
        };
        self.clock = Some(WorkerClock { reading_ms: listing.clock_ms, read_at: now });
        self.last_answer = Some(now);
        // The next incarnation has not been called with its token yet.
        self.is_confirmed = self.announced.is_none() && answerer == Answerer::Known;
        self.fenced_polls = 0;
        self.first_listed = listing.finished.iter().map(|(number, ..)| *number).min();
        if self.last_heartbeat.as_ref().is_some_and(|last| self.is_ahead(now, last.clock_ms)) {
            self.last_heartbeat = None;
        }
        // The worker was silent but has not crashed.
        self.losses.retain(|(loss, _)| loss.crashed);
        for (task, run, checkpoint, percent) in &listing.running {
            let own = self.runs.entry((*task, *run)).or_insert_with(|| Run::orphan(now));
            own.observe(now, checkpoint, *percent);
        }
        let listed: BTreeSet<(Task, u32)> =
            listing.running.iter().map(|(task, run, ..)| (*task, *run)).collect();
        for (_, run) in self.runs.iter_mut().filter(|(key, _)| !listed.contains(key)) {
            run.mark_unlisted();
        }
        let before = self.ends.len();
        for (number, task, run, ending, checkpoint) in &listing.finished {
            self.listed = self.listed.max(*number);
            if let Some(own) = self.runs.remove(&(*task, *run)) {
                self.end(*task, *run, &own, *ending, checkpoint, proof);
                if let Some(last) = self.ends.last_mut() {
                    last.number = *number;
                }
            }
        }
        if listing.finished.len() < MAX_LISTED_ENDS {
            self.end_unlisted(sent, listing, proof);
        }
        self.sync();
        answerer == Answerer::Next || self.ends.len() != before
    }

    /// Ends the runs that a complete listing should show but does not.
    fn end_unlisted(&mut self, sent: Time, listing: &Listing, proof: Proof) {
        let listed =
            |key: &(Task, u32)| listing.running.iter().any(|(task, run, ..)| (*task, *run) == *key);
        let unlisted: Vec<((Task, u32), Ending)> = self
            .runs
            .iter()
            .filter(|(key, _)| !listed(key))
            .filter_map(|(key, run)| Some((*key, run.ending_if_unlisted(sent)?)))
            .collect();
        for ((task, run), ending) in unlisted {
            if let Some(own) = self.runs.remove(&(task, run)) {
                self.end(task, run, &own, ending, "", proof);
            }
        }
    }

    /// Ends the runs that the worker cannot be running any more, since it has not answered and its
    /// lease has lapsed. Those that were never sent are returned to the planner. Returns whether
    /// there were any.
    pub fn end_lapsed(&mut self, now: Time) -> bool {
        let silent =
            self.last_answer.is_none_or(|last_answer| now.since(last_answer) > SILENT_AFTER);
        let Some(proof) = Proof::by_lapse(now, self.lease_until) else {
            return false;
        };
        if !silent || self.runs.is_empty() {
            return false;
        }
        let evidence = self.crash_evidence();
        for ((task, number), run) in std::mem::take(&mut self.runs) {
            let ending = if run.maybe_running() { Ending::Lapsed } else { Ending::Refused };
            let ending = run.leftover_ending().unwrap_or(ending);
            self.end(task, number, &run, ending, "", proof);
            if let Some(ending) = evidence.get(&(task, number)).copied() {
                self.add_loss(Loss { task, run: number, ending, crashed: false });
            }
        }
        true
    }

    fn add_loss(&mut self, loss: Loss) {
        self.losses.push((loss, None));
        // Those that came soon after a start are kept, since they say more.
        self.losses.sort_by_key(|(loss, _)| loss.ending != Ending::Crashed);
        let excess = self.losses.len().saturating_sub(MAX_LOSSES);
        self.losses.drain(..excess);
    }

    /// Holds starts back, or allows them again.
    pub fn hold_starts(&mut self, held: bool) {
        self.starts = if held { Starts::Held } else { Starts::Allowed };
    }

    /// Returns whether any run is to be started that is not known to have started.
    #[must_use]
    pub fn has_starts(&self) -> bool {
        self.runs.values().any(|run| !run.stop && !run.is_started())
    }

    /// Returns the ordered runs to the planner that are neither on the worker nor on their way there, as
    /// ones that were never sent. One that may have been sent before is stopped. Returns their number.
    pub fn return_unstarted(&mut self) -> usize {
        let count = self.runs.values().filter(|run| !run.stop && run.is_unstarted()).count();
        let before = std::mem::replace(&mut self.starts, Starts::Returned);
        self.sync();
        self.starts = before;
        count
    }

    /// Returns the next call that is due, and marks it as in flight.
    pub fn next_call(&mut self, now: Time) -> Option<Action> {
        if let Some(own) = &mut self.announced
            && !own.in_flight
            && now >= own.not_before
        {
            own.in_flight = true;
            return Some(Action::Identify);
        }
        let deadline = self.deadline(now);
        let leaving = self.is_leaving();
        let orphans = self.runs.values().any(Run::is_orphan);
        let used = self.used();
        let capacity = self.capacity(now);
        let lease = &mut self.lease_until;
        for (&(task, number), run) in &mut self.runs {
            if !run.is_due(now) {
                continue;
            }
            if run.stop {
                if run.maybe_running() && !run.stop_answered() {
                    run.mark_in_flight();
                    return Some(Action::Stop { task, run: number });
                }
                continue;
            }
            // A start without an answer is counted already, and may not have been carried out.
            let beyond_used = if run.maybe_running() { Resources::default() } else { run.need };
            let fits =
                capacity.is_some_and(|capacity| fits(capacity, used + beyond_used, run.need));
            let (false, false, true, Some(deadline_ms)) = (leaving, orphans, fits, deadline) else {
                continue;
            };
            if run.is_started() || self.starts != Starts::Allowed {
                continue;
            }
            *lease = (*lease).max(self.grant_until);
            run.mark_start_sent();
            let checkpoint = run.checkpoint.clone();
            return Some(Action::Start { task, run: number, checkpoint, deadline_ms });
        }
        None
    }

    /// Returns whether a start that [`Self::next_call`] returned may be sent: orders and the worker may
    /// have changed since. It is not sent to a later incarnation, which has only to stop its run.
    #[must_use]
    pub fn may_send_start(&self, now: Time, task: Task, run: u32) -> bool {
        let takes = self.is_confirmed && !self.is_leaving();
        let startable = self.runs.get(&(task, run)).filter(|run| !run.stop && takes);
        startable.zip(self.capacity(now)).is_some_and(|(run, capacity)| {
            // Its resources are counted since it was chosen.
            fits(capacity, self.used(), run.need)
        })
    }

    /// Returns the worker's capacity; `None` if it is not known from a recent heartbeat.
    fn capacity(&self, now: Time) -> Option<Resources> {
        let worker = self.last_heartbeat.as_ref()?;
        (self.heartbeat_age(now, worker) <= MAX_HEARTBEAT_AGE).then_some(worker.capacity)
    }

    /// Returns whether a reading is further ahead of the worker's clock than a heartbeat can be.
    fn is_ahead(&self, now: Time, reading_ms: u64) -> bool {
        self.clock.is_some_and(|clock| {
            let known = Duration::from_millis(clock.reading_ms) + now.since(clock.read_at);
            Duration::from_millis(reading_ms) > known + MAX_READING_AHEAD
        })
    }

    /// Returns the longest time since the last heartbeat was sent, as far as is known. It may have
    /// arrived late, for example after a suspension of the agent.
    fn heartbeat_age(&self, now: Time, heartbeat: &Heartbeat) -> Duration {
        let by_clock = self.clock.map(|clock| clock.time_since(now, heartbeat.clock_ms));
        by_clock.unwrap_or_default().max(now.since(self.heard))
    }

    /// Returns the resources of all runs that the worker may run, now or later.
    fn used(&self) -> Resources {
        let holding = self.runs.values().filter(|run| run.maybe_running());
        holding.fold(Resources::default(), |used, run| used + run.need)
    }

    /// Applies the answer to a start. Returns whether a report is due at once.
    pub fn start_answered(&mut self, now: Time, task: Task, run: u32, answer: StartAnswer) -> bool {
        let key = (task, run);
        let is_pending = self.pending.remove(&key);
        if let Some(own) = self.runs.get_mut(&key) {
            if own.earlier_incarnation().is_some() {
                let ending = own.late_start_answered(answer, is_pending);
                let proof = Proof::of_leftover(own);
                let Some((ending, proof)) = ending.zip(proof) else {
                    return false;
                };
                let Some(own) = self.runs.remove(&key) else {
                    return false;
                };
                self.end(task, run, &own, ending, "", proof);
                self.sync();
                return true;
            }
            own.start_answered(now, answer);
        }
        self.sync();
        if !is_pending {
            return false;
        }
        // Only the answer shows whether the worker that has crashed meanwhile may have started it.
        let ending = match answer {
            StartAnswer::Started | StartAnswer::Old => Ending::CrashedAtStart,
            StartAnswer::NoAnswer => Ending::CrashedUnanswered,
            _ => return false,
        };
        self.add_loss(Loss { task, run, ending, crashed: true });
        true
    }

    /// Records that a stop call has returned, and whether it was answered.
    pub fn stop_call_done(&mut self, now: Time, task: Task, run: u32, answered: bool) {
        if let Some(own) = self.runs.get_mut(&(task, run)) {
            own.stop_call_done(now, answered);
        }
    }

    /// Returns the newest crash of the worker, once.
    pub fn take_crash(&mut self) -> Option<Crash> {
        self.crash.take()
    }

    /// Returns whether any run is ordered or may be running.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.runs.is_empty()
    }

    /// Returns whether runs of an earlier incarnation may still begin.
    #[must_use]
    pub fn is_settling(&self) -> bool {
        self.runs.values().any(|run| run.earlier_incarnation().is_some())
    }

    fn is_own(&self, key: &str) -> bool {
        record::parse_order_key(key).is_some_and(|(agent, _)| agent == self.agent)
    }

    /// Returns the end of a lease that is given now, on the worker's clock in milliseconds; `None` if
    /// none may be given. The lease of a worker that does not answer is left to lapse, so that its
    /// end is known.
    fn deadline(&self, now: Time) -> Option<u64> {
        if !self.is_answering(now) || self.has_left() {
            return None;
        }
        self.clock?.deadline_ms(now, self.grant_until)
    }

    /// Begins a new incarnation of the worker. Runs that the previous one may have started end as
    /// crashed or lapsed; the planner restarts them from their newest checkpoints. Those that the new
    /// one may start, since it has or may have the same id, are stopped there before. Without a proof that
    /// the previous one is over, only the id of the known one is new.
    fn reset(&mut self, now: Time, incarnation: Incarnation, proof: Option<Proof>) {
        let crashed = self.is_crash(&incarnation);
        let evidence = self.crash_evidence();
        if crashed {
            let is_pending =
                |run: &Run| run.start_evidence(self.last_answer) == StartEvidence::Pending;
            let pending = self.runs.iter().filter(|(_, run)| is_pending(run));
            self.pending = pending.map(|(key, _)| *key).collect();
        }
        let is_new = incarnation.started_ms != self.incarnation.started_ms;
        let may_be = |id: &str| incarnation.id.is_empty() || incarnation.id == id;
        let (mut lost, mut unsettled) = (Vec::new(), Vec::new());
        for ((task, run), mut own) in std::mem::take(&mut self.runs) {
            if let Some(earlier) = own.earlier_incarnation() {
                if may_be(&earlier.id) {
                    if is_new && earlier.started_ms == incarnation.started_ms {
                        own.restore();
                    } else if is_new {
                        own.begin_incarnation();
                    }
                    self.runs.insert((task, run), own);
                } else if let Some((ending, proof)) =
                    own.leftover_ending().zip(Proof::of_leftover(&own))
                {
                    self.end(task, run, &own, ending, "", proof);
                }
                continue;
            }
            let Some(proof) = proof else {
                if !own.is_orphan() {
                    self.runs.insert((task, run), own);
                }
                continue;
            };
            if own.maybe_running() && !own.is_orphan() {
                let ending = evidence.get(&(task, run)).copied().filter(|_| crashed);
                let ending = ending.unwrap_or(Ending::Lapsed);
                lost.push((task, run));
                if own.is_unsettled() {
                    unsettled.push((task, run));
                }
                if own.is_unsettled() && may_be(&self.incarnation.id) {
                    let left = own.into_leftover(self.incarnation.clone(), ending);
                    self.runs.insert((task, run), left);
                } else {
                    self.end(task, run, &own, ending, "", proof);
                }
            }
        }
        self.losses.retain(|(loss, _)| crashed || loss.crashed);
        if crashed {
            for (loss, _) in &mut self.losses {
                loss.crashed = true;
            }
            let (earlier, next) = (self.incarnation.clone(), incarnation.clone());
            self.crash = Some(Crash { incarnation: earlier, next, runs: lost, unsettled });
        }
        if !incarnation.id.is_empty() {
            self.has_returned = self.last_id == incarnation.id;
            self.last_id.clone_from(&incarnation.id);
        }
        self.incarnation = incarnation;
        if is_new {
            self.token = self.token.next();
            self.departure = Departure::None;
        }
        self.last_heartbeat = None;
        self.drain_deadline = None;
        self.clock = None;
        self.last_answer = None;
        self.is_confirmed = false;
        self.first_listed = None;
        self.lease_until =
            if self.runs.is_empty() { Time(0) } else { now + self.longest_late_lease() };
        self.listed = 0;
        self.ack_cursor = 0;
        self.sync();
    }

    /// Returns how long the next incarnation may run what was sent before it was known. Its clock begins
    /// anew, so it holds a full lease from when it carries out a start.
    fn longest_late_lease(&self) -> Duration {
        grant::longest_lease(self.max_lease) + grant::MAX_CALL_DELAY
    }

    /// Returns how the runs that count as having run on the worker have ended if it has crashed.
    fn crash_evidence(&self) -> BTreeMap<(Task, u32), Ending> {
        let counted =
            self.runs.iter().filter_map(|(key, run)| match run.start_evidence(self.last_answer) {
                StartEvidence::Recent => Some((*key, Ending::CrashedAtStart)),
                StartEvidence::Unanswered => Some((*key, Ending::CrashedUnanswered)),
                StartEvidence::Earlier => Some((*key, Ending::Crashed)),
                StartEvidence::Pending | StartEvidence::No => None,
            });
        counted.collect()
    }

    /// Returns whether a new incarnation means that the present one crashed: it neither left nor
    /// drained. A worker that is merely silent, cut off or suspended keeps its incarnation.
    fn is_crash(&self, next: &Incarnation) -> bool {
        let drained = self.departure == Departure::Drained;
        let draining = self.last_heartbeat.as_ref().map_or(drained, |last| last.draining);
        // A worker that has sent no heartbeat yet has no id.
        !draining
            && !self.has_left()
            && !self.incarnation.id.is_empty()
            && next.started_ms != self.incarnation.started_ms
    }

    /// Brings the runs in line with the orders, once the orders are known.
    fn sync(&mut self) {
        if self.inherited.is_none() {
            return;
        }
        let (has_left, leaving) = (self.has_left(), self.is_leaving());
        let ordered_runs = ordered_runs(&self.orders);
        let inherited = self.inherited.as_ref();
        // The planner has processed the ends of runs that it no longer orders, or has written the
        // runs off before it knew of a crash.
        let is_processed =
            |own: &mut Unprocessed| !ordered_runs.contains_key(&(own.end.task, own.end.run));
        let (stored_end, session_end) = (self.stored_end, self.session_end);
        let (mut unknown_crashes, mut late) = (Vec::new(), Vec::new());
        for Unprocessed { end, sequence, .. } in self.ends.extract_if(.., is_processed) {
            let End { task, run, ending, .. } = end;
            if ending.is_crash() && sequence > stored_end {
                unknown_crashes.push(Loss { task, run, ending, crashed: true });
            }
            // The planner may have written the run off by the last report of the session before, or an
            // earlier agent process may have reported the end late.
            let may_be_unknown = sequence > stored_end || sequence <= session_end;
            if ending == Ending::Done && may_be_unknown {
                late.push((End { task, run, ending, checkpoint: String::new() }, None));
            }
        }
        for (key, (order, task)) in &ordered_runs {
            let ended = self.ends.iter().any(|own| (own.end.task, own.end.run) == *key);
            let current = order.incarnation == self.incarnation && order.session == self.session;
            if !current || self.incarnation.id.is_empty() || ended {
                continue;
            }
            let maybe_running = inherited.is_some_and(|keys| keys.contains(key));
            let reported = self.reported_runs.get(key);
            let run = self
                .runs
                .entry(*key)
                .or_insert_with(|| Run::from_order(order, task, maybe_running, reported));
            run.adopt(order, task);
        }
        for (key, run) in &mut self.runs {
            let order = ordered_runs.get(key).map(|(order, _)| order);
            if has_left || order.is_none_or(|order| order.session != self.session) {
                run.stop = true;
            }
        }
        let ordered_keys: BTreeSet<(Task, u32)> = ordered_runs.into_keys().collect();
        for loss in unknown_crashes {
            self.add_loss(loss);
        }
        self.late.extend(late);
        let excess = self.late.len().saturating_sub(MAX_LATE_ENDS);
        self.late.drain(..excess);
        let displaced = self.displaced();
        for key in &displaced {
            // Its start may be carried out late, so it has to be stopped.
            if let Some(run) = self.runs.get_mut(key).filter(|run| run.maybe_running()) {
                run.stop = true;
            }
        }
        let refused: Vec<(Task, u32)> = self
            .runs
            .iter()
            .filter(|(key, run)| {
                !run.maybe_running() && (run.stop || leaving || displaced.contains(key))
            })
            .map(|(key, _)| *key)
            .collect();
        for key in refused {
            if let Some(run) = self.runs.remove(&key)
                && ordered_keys.contains(&key)
                && let Some(proof) = Proof::unsent(&run)
            {
                let (task, number) = key;
                self.end(task, number, &run, Ending::Refused, &run.checkpoint, proof);
            }
        }
    }

    /// Returns the runs that have not started and are not to be: all while they are returned to the
    /// planner, otherwise those that do not fit beside the others that are to run, since the worker's
    /// capacity has shrunk after they were ordered.
    fn displaced(&self) -> BTreeSet<(Task, u32)> {
        if self.starts == Starts::Returned {
            let unstarted = self.runs.iter().filter(|(_, run)| !run.stop && run.is_unstarted());
            return unstarted.map(|(key, _)| *key).collect();
        }
        let Some(worker) = &self.last_heartbeat else {
            return BTreeSet::new();
        };
        let (unstarted, kept): (Vec<_>, Vec<_>) =
            self.runs.iter().filter(|(_, run)| !run.stop).partition(|(_, run)| run.is_unstarted());
        let mut used = kept.iter().fold(Resources::default(), |used, (_, run)| used + run.need);
        let mut displaced = BTreeSet::new();
        for (key, run) in unstarted {
            if fits(worker.capacity, used + run.need, run.need) {
                used = used + run.need;
            } else {
                displaced.insert(*key);
            }
        }
        displaced
    }

    /// Records the end of a run that is proven to be over.
    fn end(
        &mut self,
        task: Task,
        number: u32,
        run: &Run,
        ending: Ending,
        checkpoint: &str,
        _: Proof,
    ) {
        let usable = !checkpoint.is_empty() && checkpoint.len() <= MAX_CHECKPOINT_BYTES;
        let checkpoint = if usable { checkpoint } else { run.newest_checkpoint() }.to_owned();
        let end = End { task, run: number, ending, checkpoint };
        let incarnation = run.earlier_incarnation().unwrap_or(&self.incarnation).clone();
        let ended_in_ms = self.incarnation.started_ms;
        self.newest_end += 1;
        let sequence = self.newest_end;
        self.ends.push(Unprocessed { end, incarnation, ended_in_ms, number: 0, sequence });
    }
}

/// Returns the ordered runs by task and run number.
fn ordered_runs(orders: &Mirror<Order>) -> BTreeMap<(Task, u32), (&Order, &OrderTask)> {
    let mut ordered_runs = BTreeMap::new();
    for (key, _, order) in orders.iter() {
        let Some((_, group)) = record::parse_order_key(key) else {
            continue;
        };
        for task in &order.tasks {
            ordered_runs.insert((group.task(task.index), task.run), (order, task));
        }
    }
    ordered_runs
}

/// Returns whether a run may be started on a worker of which `used` is in use with it. A run that
/// needs nothing always may.
fn fits(capacity: Resources, used: Resources, need: Resources) -> bool {
    need == Resources::default() || capacity.holds(used)
}
