//! What the logs tell of one job.

use std::collections::{BTreeMap, VecDeque};

use persimmondrift::cell::job::{Group, Task};

use super::Cause;
use super::span::{Evidence, Span};
use crate::line::{Answer, Ending, Method, Moment, Outcome, State, Stop, Submission};

/// Time that a group waits before the planner logs it, in milliseconds.
const WAIT_LOG_INTERVAL_MS: u64 = 2_000;
/// Time in which the runs of a broken gang are stopped after the run that broke it, in
/// milliseconds.
const GANG_STOP_INTERVAL_MS: u64 = 5_000;

/// A wait of a group that lines report.
#[derive(Debug)]
struct Wait {
    since: Moment,
    cause: Option<Cause>,
    /// Number of tasks that are not placed yet.
    left: usize,
}

/// Why a run of a group was lost, and since when.
#[derive(Debug, Clone, Copy)]
struct Interruption {
    since: Moment,
    /// When it was noticed.
    at: Moment,
    cause: Cause,
}

/// What the logs tell of one job.
#[derive(Debug, Default)]
pub struct History {
    /// The submission that was accepted, else the last.
    pub submission: Option<Submission>,
    /// When it was sent first, as far as an entry logged it.
    pub sent: Option<Moment>,
    /// When it ended, and its final state.
    pub ended: Option<(Moment, State)>,
    accepted: bool,
    cancelled: bool,
    shown: Option<Moment>,
    /// Whether a query came after the end.
    asked_after_end: bool,
    spans: Vec<Span>,
    /// Number of runs that are ordered or running.
    active: usize,
    idle_since: Option<Moment>,
    waits: BTreeMap<Group, Wait>,
    /// Lost runs of a group that are not placed again.
    interrupted: BTreeMap<Group, VecDeque<Interruption>>,
    last_interruption: BTreeMap<Group, Interruption>,
    /// Last start of a member of a gang since its placement.
    last_start: BTreeMap<Group, Moment>,
    listed: BTreeMap<Task, Moment>,
    stopped: BTreeMap<Task, Stop>,
}

impl History {
    /// Notes the outcome of a submission.
    pub fn submit(&mut self, time: Moment, submission: Submission) {
        self.send(time);
        match submission.outcome {
            Outcome::Accepted => self.accept(),
            Outcome::Barred => self.cancelled = true,
            Outcome::Refused => {}
        }
        let is_first = self.submission.as_ref().is_none_or(|known| known.size.is_none());
        if is_first || submission.outcome == Outcome::Accepted {
            self.submission = Some(submission);
        }
    }

    /// Notes an answer to a caller.
    pub fn answer(&mut self, time: Moment, answer: Answer) {
        match answer.method {
            Method::Submit => {
                self.send(time.minus(answer.took));
                if answer.ok {
                    self.accept();
                }
            }
            Method::Cancel => self.cancelled |= answer.ok,
            Method::Query => {
                self.asked_after_end |= self.ended.is_some();
                if answer.state == Some(State::Completed) {
                    self.shown = Some(self.shown.map_or(time, |known| known.min(time)));
                }
            }
        }
    }

    /// Notes that tasks were placed; `all_waits` are the logged waits of all jobs.
    pub fn place(
        &mut self,
        time: Moment,
        group: Group,
        count: usize,
        all_waits: &[(Moment, Cause)],
    ) {
        self.accepted = true;
        self.active += count;
        self.end_idle(time, all_waits);
        if let Some(wait) = self.waits.get_mut(&group) {
            wait.left = wait.left.saturating_sub(count);
            if wait.left == 0 {
                self.end_wait(time, group);
            }
        }
        self.last_start.remove(&group);
        let lost = self.interrupted.entry(group).or_default();
        for Interruption { since, cause, .. } in lost.drain(..count.min(lost.len())) {
            self.spans.push(Span { from: since, to: time, cause, evidence: Evidence::Event });
        }
    }

    /// Notes that a task of a group was started.
    pub fn start(&mut self, time: Moment, group: Group) {
        let is_gang = self.submission.as_ref().is_some_and(|known| known.gang);
        let before = self.last_start.insert(group, time);
        if let Some(from) = before.filter(|_| is_gang) {
            let cause = Cause::Gang;
            self.spans.push(Span { from, to: time, cause, evidence: Evidence::Event });
        }
    }

    /// Notes that a worker has listed the end of a run.
    pub fn list(&mut self, time: Moment, task: Task) {
        self.listed.insert(task, time);
    }

    /// Notes that a run was marked to be stopped; its work since `begin` is lost.
    pub fn stop(&mut self, time: Moment, begin: Moment, task: Task, stop: Stop) {
        self.stopped.insert(task, stop);
        let group = task.group();
        let cause = match stop {
            Stop::Reclaimed | Stop::Draining => Cause::Redone,
            Stop::Stalled => Cause::BadWorker,
            Stop::GangLate => Cause::Gang,
            Stop::GangBroken => self.cause_of_break(time, group),
            Stop::Unneeded => return,
        };
        self.interrupt(time, begin, group, cause);
    }

    /// Notes that a run is over; unless it is done, its work since `begin` is lost.
    pub fn end_run(&mut self, time: Moment, begin: Moment, task: Task, ending: Ending) {
        let group = task.group();
        self.active = self.active.saturating_sub(1);
        let was_stopped = self.stopped.remove(&task).is_some();
        let listed = self.listed.remove(&task);
        let cause = match ending {
            Ending::Done | Ending::Stopped | Ending::Refused => None,
            Ending::Failed | Ending::Lapsed | Ending::Crashed => Some(Cause::BadWorker),
            Ending::Broken => Some(self.cause_of_break(time, group)),
        };
        if let Some(cause) = cause.filter(|_| !was_stopped) {
            self.interrupt(time, begin, group, cause);
        }
        if self.ended.is_none() && self.active == 0 {
            // The end counts from its report, so that a span without a planner is noticed.
            let since = listed.filter(|_| ending == Ending::Done).unwrap_or(time);
            self.idle_since = Some(since);
        }
    }

    /// Notes that tasks of a group wait.
    pub fn wait(&mut self, time: Moment, group: Group, count: usize, cause: Option<Cause>) {
        let since = match self.waits.get(&group) {
            Some(wait) => wait.since,
            None => self.idle_since.unwrap_or_else(|| time.minus(WAIT_LOG_INTERVAL_MS)),
        };
        if let Some(cause) = cause {
            self.spans.push(Span { from: since, to: time, cause, evidence: Evidence::Reason });
        }
        self.waits.insert(group, Wait { since: time, cause, left: count });
    }

    /// Notes that the job has ended.
    pub fn end(&mut self, time: Moment, state: State, all_waits: &[(Moment, Cause)]) {
        if self.ended.is_none() {
            self.accepted = true;
            self.close(time, all_waits);
            self.ended = Some((time, state));
        }
    }

    /// Ends the open spans at `time`: the job has ended, or the logs have.
    pub fn close(&mut self, time: Moment, all_waits: &[(Moment, Cause)]) {
        if self.ended.is_some() {
            return;
        }
        self.end_idle(time, all_waits);
        let groups: Vec<Group> = self.waits.keys().copied().collect();
        for group in groups {
            self.end_wait(time, group);
        }
        for Interruption { since, cause, .. } in self.interrupted.values().flatten() {
            let (from, cause) = (*since, *cause);
            self.spans.push(Span { from, to: time, cause, evidence: Evidence::Event });
        }
        self.interrupted.clear();
    }

    /// Returns whether the job was cancelled before it completed.
    pub fn is_cancelled(&self) -> bool {
        match self.ended {
            Some((_, state)) => state == State::Cancelled,
            None => self.cancelled,
        }
    }

    /// Returns whether the job was refused, and no later submission was accepted.
    pub fn is_refused(&self) -> bool {
        !self.accepted
    }

    /// Returns when a caller was shown that the job had completed. A job that no caller asked for
    /// after its end counts as shown at its end.
    pub fn shown_at(&self) -> Option<Moment> {
        let end = self.ended.filter(|(_, state)| *state == State::Completed).map(|(time, _)| time);
        self.shown.or_else(|| end.filter(|_| !self.asked_after_end))
    }

    /// Returns the lost spans up to `until`.
    pub fn spans_until(&self, until: Moment) -> Vec<Span> {
        let mut spans = self.spans.clone();
        if let Some((from, State::Completed)) = self.ended {
            let cause = Cause::ShownLate;
            spans.push(Span { from, to: until, cause, evidence: Evidence::Event });
        }
        for span in &mut spans {
            span.to = span.to.min(until);
        }
        spans
    }

    fn send(&mut self, time: Moment) {
        let sent = self.sent.map_or(time, |known| known.min(time));
        self.sent = Some(sent);
        if self.active == 0 && self.ended.is_none() && self.spans.is_empty() {
            self.idle_since = Some(sent);
        }
    }

    fn accept(&mut self) {
        self.accepted = true;
    }

    fn interrupt(&mut self, at: Moment, since: Moment, group: Group, cause: Cause) {
        if self.ended.is_some() {
            return;
        }
        let interruption = Interruption { since, at, cause };
        self.interrupted.entry(group).or_default().push_back(interruption);
        self.last_interruption.insert(group, interruption);
    }

    /// Returns why a gang was broken at `time`: the cause of the interruption just before.
    fn cause_of_break(&self, time: Moment, group: Group) -> Cause {
        let last = self.last_interruption.get(&group);
        let recent = last.filter(|last| time.since(last.at) <= GANG_STOP_INTERVAL_MS);
        recent.map_or(Cause::Gang, |last| last.cause)
    }

    fn end_wait(&mut self, time: Moment, group: Group) {
        if let Some(Wait { since, cause: Some(cause), .. }) = self.waits.remove(&group) {
            self.spans.push(Span { from: since, to: time, cause, evidence: Evidence::Reason });
        }
    }

    /// Ends a span in which nothing of the job ran. Without a line of its own, its cause is the
    /// most frequent one that other jobs' lines report in that time, since lines on waits are
    /// limited.
    fn end_idle(&mut self, time: Moment, all_waits: &[(Moment, Cause)]) {
        let Some(from) = self.idle_since.take() else {
            return;
        };
        let mut counts: BTreeMap<Cause, usize> = BTreeMap::new();
        let begin = all_waits.partition_point(|(at, _)| *at < from);
        for (_, cause) in &all_waits[begin..] {
            *counts.entry(*cause).or_default() += 1;
        }
        let is_long = time.since(from) >= WAIT_LOG_INTERVAL_MS;
        let most = counts.into_iter().max_by_key(|(_, count)| *count).filter(|_| is_long);
        let cause = most.map_or(Cause::Unexplained, |(cause, _)| cause);
        self.spans.push(Span { from, to: time, cause, evidence: Evidence::Idle });
    }
}
