//! One run of a task at a worker, as its agent knows it.

use std::time::Duration;

use super::StartAnswer;
use crate::cell::job::{Resources, Task};
use crate::cell::record::{Ending, Order, OrderTask, Running};
use crate::unit::Time;

/// Pause after a call that was answered in the negative, so that a worker is not pressed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Refusals of a worker after which a run is given back to the planner.
const MAX_REFUSALS: u32 = 3;

/// One run of a task at a worker.
#[expect(
    clippy::struct_excessive_bools,
    reason = "a start, a stop and a list may come in any order"
)]
#[derive(Debug, Clone)]
pub struct Run {
    /// What it holds.
    pub need: Resources,
    /// The checkpoint that it resumes from.
    pub checkpoint: String,
    /// Whether it is to be stopped.
    pub stop: bool,
    /// Whether a start was sent that may have been carried out.
    maybe_running: bool,
    /// Whether one had been sent before the call that is on its way.
    maybe_running_before: bool,
    /// Whether it was not ordered.
    orphan: bool,
    /// When a start was answered, or a list showed it first.
    started: Option<Time>,
    stopped: Option<Time>,
    /// Whether a call is on its way.
    in_flight: bool,
    not_before: Time,
    refusals: u32,
    percent: u8,
    saved_checkpoint: String,
    /// When the percentage last rose.
    last_progress: Time,
}

impl Run {
    /// Creates a run that an order asks for, and that an earlier process may have started and may
    /// have reported with a checkpoint.
    pub fn from_order(
        order: &Order,
        task: &OrderTask,
        maybe_running: bool,
        reported: Option<&String>,
    ) -> Self {
        Self {
            need: order.need,
            checkpoint: task.checkpoint.clone(),
            stop: task.stop,
            maybe_running,
            maybe_running_before: maybe_running,
            orphan: false,
            started: None,
            stopped: None,
            in_flight: false,
            not_before: Time(0),
            refusals: 0,
            percent: 0,
            saved_checkpoint: reported.cloned().unwrap_or_default(),
            last_progress: Time(0),
        }
    }

    /// Creates a run that the worker lists without an order.
    pub fn orphan(now: Time) -> Self {
        Self {
            need: Resources::default(),
            checkpoint: String::new(),
            stop: true,
            maybe_running: true,
            maybe_running_before: true,
            orphan: true,
            started: Some(now),
            stopped: None,
            in_flight: false,
            not_before: Time(0),
            refusals: 0,
            percent: 0,
            saved_checkpoint: String::new(),
            last_progress: now,
        }
    }

    /// Takes in the order of a run.
    pub fn adopt(&mut self, order: &Order, task: &OrderTask) {
        if self.orphan {
            self.orphan = false;
            self.stop = false;
            self.need = order.need;
            self.checkpoint.clone_from(&task.checkpoint);
        }
        self.stop |= task.stop;
    }

    /// Returns whether no order asks for it.
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

    /// Returns whether a stop was answered.
    pub fn stop_answered(&self) -> bool {
        self.stopped.is_some()
    }

    /// Returns whether a call may be made now.
    pub fn is_due(&self, now: Time) -> bool {
        !self.in_flight && now >= self.not_before
    }

    /// Takes note that a call is on its way.
    pub fn mark_in_flight(&mut self) {
        self.in_flight = true;
    }

    /// Takes note that a start is on its way.
    pub fn mark_start_sent(&mut self) {
        self.maybe_running_before = self.maybe_running;
        self.maybe_running = true;
        self.mark_in_flight();
    }

    /// Takes in the answer to a start.
    pub fn start_answered(&mut self, now: Time, answer: StartAnswer) {
        self.in_flight = false;
        match answer {
            StartAnswer::Started | StartAnswer::Old => {
                self.started.get_or_insert(now);
                self.last_progress = self.last_progress.max(now);
            }
            StartAnswer::NoAnswer => {}
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
                // An earlier start without an answer may still be carried out.
                self.stop |= self.refusals >= MAX_REFUSALS;
            }
        }
    }

    /// Takes in whether a stop was answered.
    pub fn stop_call_done(&mut self, now: Time, answered: bool) {
        self.in_flight = false;
        if answered {
            self.stopped.get_or_insert(now);
        }
    }

    /// Takes in a list that shows it.
    pub fn observe(&mut self, now: Time, checkpoint: &str, percent: u8) {
        self.maybe_running = true;
        if self.started.is_none() {
            self.started = Some(now);
            self.last_progress = now;
        }
        if percent > self.percent || checkpoint != self.saved_checkpoint {
            self.last_progress = now;
        }
        self.percent = percent;
        checkpoint.clone_into(&mut self.saved_checkpoint);
    }

    /// Returns how it has ended if a list that was asked for at `sent` does not show it.
    pub fn ending_if_unlisted(&self, sent: Time) -> Option<Ending> {
        if self.stopped.is_some_and(|at| at < sent) {
            return Some(Ending::Stopped);
        }
        self.started.is_some_and(|at| at < sent).then_some(Ending::Lapsed)
    }

    /// Returns the newest checkpoint.
    pub fn newest_checkpoint(&self) -> &str {
        if self.saved_checkpoint.is_empty() { &self.checkpoint } else { &self.saved_checkpoint }
    }

    /// Returns what the planner is to know.
    pub fn running(&self, now: Time, task: Task, run: u32) -> Running {
        let since_progress = now.since(self.last_progress).as_millis();
        Running {
            task,
            run,
            percent: self.percent,
            since_progress_ms: u32::try_from(since_progress).unwrap_or(u32::MAX),
            checkpoint: self.newest_checkpoint().to_owned(),
        }
    }
}
