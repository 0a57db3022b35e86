//! State of one run of a task at a worker, as its agent knows it.

use std::time::Duration;

use super::StartAnswer;
use crate::cell::job::{Resources, Task};
use crate::cell::record::{Ending, Incarnation, Order, OrderTask, Running};
use crate::unit::Time;

/// Time after the start of a run within which a crash of its worker may be due to the start.
pub const START_PERIOD: Duration = Duration::from_secs(1);
/// Maximum size of a checkpoint's name. A task with a longer one is started from the last shorter one.
pub const MAX_CHECKPOINT_BYTES: usize = 8 << 10;
/// Pause after a start that was refused or not sent, so that retries do not overload the worker.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum pause between stops without an answer.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_200);
/// Number of times that the pause doubles; enough to reach the maximum.
const MAX_DOUBLINGS: u32 = 4;
/// Refused starts after which a run is returned to the planner.
const MAX_REFUSALS: u32 = 3;

/// What is known of the start of a run, as evidence after a crash of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartEvidence {
    /// Nothing shows that the worker ran it.
    No,
    /// A call is in flight, and no other start was without an answer.
    Pending,
    /// A start was sent to the worker while it was up, and got no answer.
    Unanswered,
    /// The worker started it less than [`START_PERIOD`] before its last answer.
    Recent,
    /// The worker had run it for longer.
    Earlier,
}

/// What is left of a run whose incarnation of the worker is over: a start that may begin it in the next
/// one, if that has the same id.
#[derive(Debug, Clone)]
struct Leftover {
    /// Incarnation that it was ordered for.
    incarnation: Incarnation,
    /// How it has ended if the next incarnation does not list it.
    ending: Ending,
    /// Whether the start that is in flight is all that may begin it.
    is_single_start: bool,
}

#[expect(
    clippy::struct_excessive_bools,
    reason = "a start, a stop and a listing may arrive in any order"
)]
#[derive(Debug, Clone)]
pub struct Run {
    /// Resources that it uses on the worker.
    pub need: Resources,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Whether it is to be stopped.
    pub stop: bool,
    /// Whether the worker may run it, now or later: a start was sent, or a listing showed it.
    maybe_running: bool,
    /// Value of `maybe_running` before the start that is in flight.
    maybe_running_before: bool,
    /// Whether the worker listed it without an order.
    orphan: bool,
    /// Whether an earlier agent process may have sent its start.
    inherited: bool,
    /// Whether a start is in flight.
    start_in_flight: bool,
    /// Whether a listing has shown it.
    confirmed: bool,
    /// Whether a start got no answer.
    unanswered: bool,
    /// When a start was answered, or a listing first showed it.
    started: Option<Time>,
    /// Time since the start that an earlier agent process reported.
    reported_age: Option<Duration>,
    stopped: Option<Time>,
    /// Whether a call is in flight.
    in_flight: bool,
    /// Whether a listing since the last start did not show it.
    unlisted: bool,
    not_before: Time,
    /// Stop calls that were not answered.
    unanswered_stops: u32,
    refusals: u32,
    percent: u8,
    leftover: Option<Leftover>,
    saved_checkpoint: String,
    /// When the percentage last rose or the checkpoint last changed.
    last_progress: Time,
}

impl Run {
    /// Creates a run from an order. An earlier agent process may have started it, and may have
    /// reported a checkpoint of it.
    pub fn from_order(
        order: &Order,
        task: &OrderTask,
        maybe_running: bool,
        reported: Option<&Running>,
    ) -> Self {
        let age = |run: &Running| Duration::from_millis(run.age_ms.into());
        Self {
            need: order.need,
            checkpoint: task.checkpoint.clone(),
            stop: task.stop,
            maybe_running,
            maybe_running_before: maybe_running,
            orphan: false,
            inherited: maybe_running,
            start_in_flight: false,
            confirmed: false,
            started: None,
            reported_age: reported.map(age),
            stopped: None,
            in_flight: false,
            unlisted: false,
            unanswered: false,
            not_before: Time(0),
            unanswered_stops: 0,
            refusals: 0,
            percent: 0,
            leftover: None,
            saved_checkpoint: reported.map(|run| run.checkpoint.clone()).unwrap_or_default(),
            last_progress: Time(0),
        }
    }

    /// Creates a run that the worker lists without an order. It is to be stopped.
    pub fn orphan(now: Time) -> Self {
        Self {
            need: Resources::default(),
            checkpoint: String::new(),
            stop: true,
            maybe_running: true,
            maybe_running_before: true,
            orphan: true,
            inherited: false,
            start_in_flight: false,
            confirmed: true,
            started: Some(now),
            reported_age: None,
            stopped: None,
            in_flight: false,
            unlisted: false,
            unanswered: false,
            not_before: Time(0),
            unanswered_stops: 0,
            refusals: 0,
            percent: 0,
            leftover: None,
            saved_checkpoint: String::new(),
            last_progress: now,
        }
    }

    /// Applies an order. An orphan becomes an ordered run.
    pub fn adopt(&mut self, order: &Order, task: &OrderTask) {
        if self.orphan {
            self.orphan = false;
            self.stop = false;
            self.need = order.need;
            self.checkpoint.clone_from(&task.checkpoint);
        }
        self.stop |= task.stop;
    }

    pub fn is_orphan(&self) -> bool {
        self.orphan
    }

    /// Returns whether the worker may run it, now or later.
    pub fn maybe_running(&self) -> bool {
        self.maybe_running
    }

    /// Returns whether the worker is known to have started it.
    pub fn is_started(&self) -> bool {
        self.started.is_some()
    }

    pub fn stop_answered(&self) -> bool {
        self.stopped.is_some()
    }

    /// Returns whether a call may be made now.
    pub fn is_due(&self, now: Time) -> bool {
        !self.in_flight && now >= self.not_before
    }

    /// Returns whether it is neither on the worker nor on its way there, as far as is known. A
    /// start without an answer may still be carried out later.
    pub fn is_unstarted(&self) -> bool {
        !self.is_started() && !self.in_flight && (!self.maybe_running || self.unlisted)
    }

    /// Returns whether a start that was sent may be carried out by the worker's next incarnation, or
    /// may have been answered by it: only a listing tells one incarnation from another.
    pub fn is_unsettled(&self) -> bool {
        let unconfirmed = self.is_started() && !self.confirmed;
        let unknown = self.start_in_flight || self.unanswered || self.inherited;
        self.maybe_running && !self.orphan && (unknown || unconfirmed)
    }

    /// Returns the run as it is left when its incarnation is over. It is to be stopped at the next one,
    /// and has ended with `ending` if that does not list it.
    pub fn into_leftover(self, incarnation: Incarnation, ending: Ending) -> Self {
        let unconfirmed = self.is_started() && !self.confirmed;
        let is_single_start = !self.unanswered && !self.inherited && !unconfirmed;
        let leftover = Some(Leftover { incarnation, ending, is_single_start });
        let mut left = Self { leftover, stop: true, maybe_running: true, ..self };
        left.begin_incarnation();
        left
    }

    /// Makes it a run of the present incarnation again, since that is the one that it was ordered for: the
    /// later one that was announced is not up.
    pub fn restore(&mut self) {
        self.leftover = None;
        self.stop = false;
        self.unanswered = true;
    }

    /// Forgets what an incarnation of the worker has answered, since another one begins.
    pub fn begin_incarnation(&mut self) {
        self.started = None;
        self.reported_age = None;
        self.stopped = None;
        self.in_flight = false;
        self.unlisted = false;
        self.not_before = Time(0);
        self.unanswered_stops = 0;
    }

    /// Returns the earlier incarnation that it was ordered for; `None` if it is not left from one.
    pub fn earlier_incarnation(&self) -> Option<&Incarnation> {
        self.leftover.as_ref().map(|left| &left.incarnation)
    }

    /// Returns how a run that is left from an earlier incarnation has ended if the present one does
    /// not list it.
    pub fn leftover_ending(&self) -> Option<Ending> {
        self.leftover.as_ref().map(|left| left.ending)
    }

    /// Applies the answer to the start that was in flight when its incarnation ended. `was_pending` is
    /// whether only this answer tells if the worker crashed under it. Returns how the run has ended;
    /// `None` if it may still begin.
    pub fn late_start_answered(
        &mut self,
        answer: StartAnswer,
        was_pending: bool,
    ) -> Option<Ending> {
        self.start_in_flight = false;
        let left = self.leftover.as_mut()?;
        let (ending, has_ended) = match answer {
            StartAnswer::Started | StartAnswer::Old => (Ending::CrashedAtStart, false),
            StartAnswer::NoAnswer => (Ending::CrashedUnanswered, false),
            StartAnswer::Late
            | StartAnswer::NoRoom
            | StartAnswer::Fenced
            | StartAnswer::Refused
            | StartAnswer::OtherLife
            | StartAnswer::NotSent => (left.ending, left.is_single_start),
        };
        if was_pending {
            left.ending = ending;
        }
        has_ended.then_some(left.ending)
    }

    pub fn mark_in_flight(&mut self) {
        self.in_flight = true;
    }

    /// Records that a listing does not show it.
    pub fn mark_unlisted(&mut self) {
        self.unlisted |= !self.in_flight;
    }

    pub fn mark_start_sent(&mut self) {
        self.maybe_running_before = self.maybe_running;
        self.maybe_running = true;
        self.unlisted = false;
        self.start_in_flight = true;
        self.mark_in_flight();
    }

    /// Applies the answer to a start.
    pub fn start_answered(&mut self, now: Time, answer: StartAnswer) {
        self.in_flight = false;
        self.start_in_flight = false;
        match answer {
            StartAnswer::Started | StartAnswer::Old => {
                self.started.get_or_insert(now);
                self.last_progress = self.last_progress.max(now);
            }
            // Sent again at once, since the members of a gang wait for each other. A worker that
            // stays silent gets no starts.
            StartAnswer::NoAnswer => self.unanswered = true,
            StartAnswer::NotSent => {
                self.maybe_running = self.maybe_running_before || self.is_started();
                self.not_before = now + RETRY_PAUSE;
            }
            StartAnswer::Late
            | StartAnswer::NoRoom
            | StartAnswer::Fenced
            | StartAnswer::OtherLife => self.not_before = now + RETRY_PAUSE,
            StartAnswer::Refused => {
                self.refusals += 1;
                self.not_before = now + RETRY_PAUSE;
                // An earlier start without an answer may still be carried out, so the run needs a
                // stop.
                self.stop |= self.refusals >= MAX_REFUSALS;
            }
        }
    }

    /// Records that a stop call has returned, and whether it was answered. One that was sent to an earlier
    /// incarnation is no longer in flight, and says nothing of the present one.
    pub fn stop_call_done(&mut self, now: Time, answered: bool) {
        if !self.in_flight {
            return;
        }
        self.in_flight = false;
        if answered {
            self.stopped.get_or_insert(now);
            return;
        }
        // The first retry is immediate, since the answer may be lost. A worker that is gone refuses
        // each call within milliseconds.
        let pauses = (1 << self.unanswered_stops) - 1;
        self.not_before = now + (RETRY_PAUSE * pauses).min(MAX_RETRY_PAUSE);
        self.unanswered_stops = (self.unanswered_stops + 1).min(MAX_DOUBLINGS);
    }

    /// Applies the state that a listing shows.
    pub fn observe(&mut self, now: Time, checkpoint: &str, percent: u8) {
        self.maybe_running = true;
        self.confirmed = true;
        self.unlisted = false;
        if self.started.is_none() {
            self.started = Some(now);
            self.last_progress = now;
        }
        let usable = checkpoint.len() <= MAX_CHECKPOINT_BYTES;
        if percent > self.percent || (usable && checkpoint != self.saved_checkpoint) {
            self.last_progress = now;
        }
        self.percent = percent;
        if usable {
            checkpoint.clone_into(&mut self.saved_checkpoint);
        }
    }

    /// Returns how the run has ended, given that a listing requested at `sent` does not show it;
    /// `None` if it may be running.
    pub fn ending_if_unlisted(&self, sent: Time) -> Option<Ending> {
        if self.stopped.is_some_and(|at| at < sent) {
            let unseen = self.leftover_ending().filter(|_| !self.is_started());
            return Some(unseen.unwrap_or(Ending::Stopped));
        }
        self.started.is_some_and(|at| at < sent).then_some(Ending::Lapsed)
    }

    /// Returns what is known of the run's start at a worker that last answered at `last_answer`.
    pub fn start_evidence(&self, last_answer: Option<Time>) -> StartEvidence {
        // A run that is being stopped may have ended before the worker crashed.
        let is_over = self.stopped.is_some() || self.leftover.is_some();
        if is_over || self.orphan || !self.maybe_running {
            return StartEvidence::No;
        }
        match self.started {
            Some(_) if self.age(last_answer) < START_PERIOD => StartEvidence::Recent,
            Some(_) => StartEvidence::Earlier,
            // The agent's process ended too, so the VM may have lost power.
            None if self.reported_age.is_some() => StartEvidence::Earlier,
            None if self.unanswered => StartEvidence::Unanswered,
            None if self.in_flight => StartEvidence::Pending,
            None => StartEvidence::No,
        }
    }

    /// Returns how long the worker is known to have run it.
    fn age(&self, last_answer: Option<Time>) -> Duration {
        let own = self.started.zip(last_answer).map(|(started, at)| at.since(started));
        self.reported_age.unwrap_or_default() + own.unwrap_or_default()
    }

    /// Returns the newest checkpoint; empty if there is none.
    pub fn newest_checkpoint(&self) -> &str {
        if self.saved_checkpoint.is_empty() { &self.checkpoint } else { &self.saved_checkpoint }
    }

    /// Returns the run's entry in the report of an agent whose worker last answered at
    /// `last_answer`.
    pub fn running(&self, now: Time, last_answer: Option<Time>, task: Task, run: u32) -> Running {
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        Running {
            task,
            run,
            percent: self.percent,
            since_progress_ms: millis(now.since(self.last_progress)),
            age_ms: millis(self.age(last_answer)),
            checkpoint: self.newest_checkpoint().to_owned(),
        }
    }
}
