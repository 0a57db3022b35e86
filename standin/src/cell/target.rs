//! A stand-in for a worker in virtual time, with its lease, run ends, checkpoints, delayed starts
//! and restarts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use persimmondrift::cell::duty::{Listing, StartAnswer};
use persimmondrift::cell::job::{Group, Resources, Task};
use persimmondrift::cell::record::{Ending, Incarnation};
use persimmondrift::unit::Fence;

/// Capacity of a new worker.
pub const CAPACITY: Resources =
    Resources { millicores: 32_000, mebibytes: 131_072, accelerators: 8 };
/// Time after a change of the capacity in which a start may still rely on the earlier one, in
/// milliseconds: the time within which an agent must learn of it, and one heartbeat.
const CAPACITY_GRACE_MS: u64 = 4_050;
/// Run time of a task for which none is set, in milliseconds.
pub const DEFAULT_WORK_MS: u64 = 3_000;
/// Time from a stop call to the end of the run, in milliseconds.
const STOP_DURATION_MS: u64 = 400;
/// Run time between two checkpoints, in milliseconds.
const CHECKPOINT_INTERVAL_MS: u64 = 500;
/// Processor cores that one accelerator counts as in lost work.
pub const ACCELERATOR_CORES: u64 = 8;
/// Rate of the worker's clock in percent of the true rate: the slowest that agents allow for.
const CLOCK_PERCENT: u64 = 98;

/// A failure of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Failure {
    /// No failure.
    #[default]
    None,
    /// All runs fail at once.
    Fails,
    /// Runs make no progress; stops still work.
    Hangs,
    /// Starts are neither carried out nor answered.
    LosesStarts,
    /// Starts get no answer and are carried out after this delay.
    DelayedStarts(Duration),
    /// Calls are neither carried out nor answered; runs continue.
    Unresponsive,
}

/// Resources and run time that a task actually takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Resources that it occupies.
    pub need: Resources,
    /// Run time in milliseconds.
    pub work_ms: u64,
    /// Whether it writes checkpoints, from which a later run resumes.
    pub checkpoints: bool,
}

#[derive(Debug, Clone)]
struct Running {
    run: u32,
    size: Size,
    done_ms: u64,
    saved: String,
    stop_ms: Option<u64>,
}

#[derive(Debug, Clone)]
struct DelayedStart {
    sent_ms: u64,
    at_ms: u64,
    task: Task,
    run: u32,
    size: Size,
    checkpoint: String,
    deadline_ms: u64,
    /// Id of the incarnation that it is addressed to; any if it is empty.
    addressee: String,
    token: Fence,
}

/// A simulated worker.
#[derive(Debug, Default)]
pub struct Target {
    incarnation: Incarnation,
    number: u64,
    true_ms: u64,
    deadline_ms: u64,
    running: BTreeMap<Task, Running>,
    finished: Vec<(u64, Task, u32, Ending, String)>,
    /// Highest run of each task that has ended here, or was stopped before it started. Starts up to
    /// it are refused as old.
    highest_ended: BTreeMap<Task, u32>,
    delayed_starts: Vec<DelayedStart>,
    capacity: Resources,
    /// Earlier capacities, each with the time until which it was in force.
    earlier_capacities: Vec<(u64, Resources)>,
    /// Starts after which the runs in progress exceeded the capacity.
    pub starts_over_capacity: Vec<(Task, u32)>,
    /// Highest fencing token that the incarnation has seen.
    token: Fence,
    next_end: u64,
    /// Ends up to this number were listed.
    listed_end: u64,
    /// Time until a crashed worker is back, in milliseconds; 0 if it is up.
    down_ms: u64,
    /// Whether the next incarnation of a crashed worker has the same id.
    keeps_id: bool,
    /// Ends up to this number precede the last lapse of the lease; their acknowledgement does not
    /// count.
    ignore_acks_upto: u64,
    /// Failure that affects the worker now.
    pub failure: Failure,
    /// Whether the worker's heartbeats report that it drains.
    pub draining: bool,
    /// All runs that were started, over all incarnations.
    pub starts: Vec<(Task, u32)>,
    /// Work since the last checkpoint that was lost by unsuccessful ends, in core-milliseconds.
    pub lost_core_ms: u64,
    /// Tasks whose end `done` was acknowledged before the lease lapsed.
    pub acked_done: BTreeSet<Task>,
}

impl Target {
    /// Creates a worker without runs; its number is part of the incarnation's id.
    #[must_use]
    pub fn new(started_ms: u64, number: u64) -> Self {
        let incarnation = Incarnation { started_ms, id: format!("i-{number}-{started_ms}") };
        Self { incarnation, number, capacity: CAPACITY, ..Self::default() }
    }

    /// Restarts the worker as a new incarnation without runs and with a new id.
    pub fn restart(&mut self) {
        let started_ms = self.incarnation.started_ms + 1;
        let id = format!("i-{}-{started_ms}", self.number);
        self.begin(Incarnation { started_ms, id });
    }

    /// Restarts the worker as a new incarnation without runs that has the same id, so that it takes
    /// calls to the one before. Its clock and the numbers of its ends begin anew.
    pub fn restart_same_id(&mut self) {
        let Incarnation { started_ms, id } = self.incarnation.clone();
        self.begin(Incarnation { started_ms: started_ms + 1, id });
    }

    fn begin(&mut self, incarnation: Incarnation) {
        let starts = std::mem::take(&mut self.starts);
        let acked_done = std::mem::take(&mut self.acked_done);
        let starts_over_capacity = std::mem::take(&mut self.starts_over_capacity);
        let (lost_core_ms, capacity) = (self.lost_core_ms, self.capacity);
        let before_ms = self.true_ms;
        let late = std::mem::take(&mut self.delayed_starts).into_iter();
        let late = late.filter(|start| is_addressed(&start.addressee, &incarnation));
        let late = late.map(|start| DelayedStart {
            sent_ms: 0,
            at_ms: start.at_ms.saturating_sub(before_ms),
            ..start
        });
        *self = Self {
            capacity,
            starts_over_capacity,
            starts,
            lost_core_ms,
            acked_done,
            delayed_starts: late.collect(),
            incarnation,
            ..Self::new(0, self.number)
        };
    }

    /// Crashes the worker: all runs are gone at once. It is back after `down` as a new incarnation.
    pub fn crash(&mut self, down: Duration) {
        self.delayed_starts.clear();
        self.crash_with(down, false);
    }

    /// Crashes the worker as [`Self::crash`] does; its next incarnation has the same id. Starts that
    /// are delayed until then are carried out by it.
    pub fn crash_same_id(&mut self, down: Duration) {
        self.crash_with(down, true);
    }

    fn crash_with(&mut self, down: Duration, keeps_id: bool) {
        self.running.clear();
        self.finished.clear();
        self.keeps_id = keeps_id;
        self.down_ms = u64::try_from(down.as_millis()).unwrap_or(u64::MAX).max(1);
    }

    /// Returns whether the worker has crashed and is not back yet.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.down_ms > 0
    }

    /// Returns the current incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.clone()
    }

    /// Returns the tasks in progress with their run numbers.
    pub fn running(&self) -> impl Iterator<Item = (Task, u32)> {
        self.running.iter().map(|(task, running)| (*task, running.run))
    }

    /// Returns the runs whose start is delayed.
    pub fn delayed_starts(&self) -> impl Iterator<Item = (Task, u32)> {
        self.delayed_starts.iter().map(|start| (start.task, start.run))
    }

    /// Returns the capacity, which heartbeats report.
    #[must_use]
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Changes the capacity. What runs continues.
    pub fn set_capacity(&mut self, capacity: Resources) {
        self.earlier_capacities.push((self.true_ms, self.capacity));
        self.capacity = capacity;
    }

    /// Returns whether the runs in progress fit a capacity that a start sent at `sent_ms` may rely
    /// on. Runs that are being stopped count.
    fn fits(&self, sent_ms: u64) -> bool {
        let used =
            self.running.values().fold(Resources::default(), |used, state| used + state.size.need);
        let recent = |until_ms: u64| until_ms + CAPACITY_GRACE_MS >= sent_ms;
        let mut earlier = self.earlier_capacities.iter().filter(|(until_ms, _)| recent(*until_ms));
        self.capacity.holds(used) || earlier.any(|(_, capacity)| capacity.holds(used))
    }

    /// Returns the runs that ended other than `done` and whose end is not acknowledged yet.
    pub fn unsuccessful_runs(&self) -> impl Iterator<Item = (Task, u32)> {
        let unsuccessful =
            self.finished.iter().filter(|(_, _, _, ending, _)| *ending != Ending::Done);
        unsuccessful.map(|(_, task, run, ..)| (*task, *run))
    }

    /// Returns the tasks that are done, and whose end no listing has shown yet.
    pub fn unlisted_done(&self) -> impl Iterator<Item = Task> {
        let unlisted = self.finished.iter().filter(|(number, ..)| *number > self.listed_end);
        unlisted.filter(|(_, _, _, ending, _)| *ending == Ending::Done).map(|(_, task, ..)| *task)
    }

    /// Ends all members of the given gang runs.
    pub fn break_gangs(&mut self, broken: &BTreeSet<(Group, u32)>) {
        let members: Vec<Task> = self
            .running
            .iter()
            .filter(|(task, state)| broken.contains(&(task.group(), state.run)))
            .map(|(task, _)| *task)
            .collect();
        for task in members {
            self.end(task, Ending::Broken);
        }
    }

    /// Advances the time: ends runs if the lease lapses, carries out delayed starts and makes
    /// progress in the runs.
    pub fn advance(&mut self, span: Duration) {
        let span_ms = u64::try_from(span.as_millis()).unwrap_or(0);
        if self.is_down() {
            self.true_ms += span_ms;
            // The port is closed, so what arrives now has no effect.
            let now_ms = self.true_ms;
            self.delayed_starts.retain(|start| start.at_ms > now_ms);
            self.down_ms = self.down_ms.saturating_sub(span_ms);
            match (self.down_ms, self.keeps_id) {
                (0, true) => self.restart_same_id(),
                (0, false) => self.restart(),
                _ => {}
            }
            return;
        }
        self.true_ms += span_ms;
        if self.clock_ms() >= self.deadline_ms {
            for task in self.running.keys().copied().collect::<Vec<_>>() {
                self.end(task, Ending::Lapsed);
            }
            self.ignore_acks_upto = self.next_end;
        }
        let due: Vec<DelayedStart> =
            self.delayed_starts.extract_if(.., |start| start.at_ms <= self.true_ms).collect();
        for start in due {
            if self.is_lower(start.token) {
                continue;
            }
            self.carry_out(
                start.sent_ms,
                (start.task, start.run),
                start.size,
                &start.checkpoint,
                start.deadline_ms,
            );
        }
        let failure = self.failure;
        let mut ended = Vec::new();
        for (task, state) in &mut self.running {
            if let Some(left) = state.stop_ms {
                state.stop_ms = Some(left.saturating_sub(span_ms));
                if left <= span_ms {
                    ended.push((*task, Ending::Stopped));
                }
            } else if failure == Failure::Fails {
                ended.push((*task, Ending::Failed));
            } else if failure != Failure::Hangs {
                state.done_ms += span_ms;
                if state.size.checkpoints {
                    state.saved = format!(
                        "{:016x}",
                        state.done_ms / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS
                    );
                }
                if state.done_ms >= state.size.work_ms {
                    ended.push((*task, Ending::Done));
                }
            }
        }
        for (task, ending) in ended {
            self.end(task, ending);
        }
    }

    /// Takes note of the fencing token of a call, if the call reaches the worker. Returns whether the
    /// worker ignores the call, since it has seen a higher token.
    pub fn is_fenced(&mut self, addressee: &str, token: Fence) -> bool {
        let reaches = is_addressed(addressee, &self.incarnation) && !self.is_down();
        if !reaches || self.failure == Failure::Unresponsive {
            return false;
        }
        self.is_lower(token)
    }

    /// Takes note of a fencing token. Returns whether it is lower than one that was seen before.
    fn is_lower(&mut self, token: Fence) -> bool {
        let is_lower = token < self.token;
        self.token = self.token.max(token);
        is_lower
    }

    /// Extends the lease, discards the ends numbered up to `acked`, and returns the runs. Returns
    /// `None` if the worker is unresponsive or the call is addressed to another id; any is addressed
    /// if the id is empty.
    pub fn list_runs(
        &mut self,
        addressee: &str,
        deadline_ms: Option<u64>,
        acked: u64,
    ) -> Option<Listing> {
        let refuses = !is_addressed(addressee, &self.incarnation);
        if refuses || self.failure == Failure::Unresponsive || self.is_down() {
            return None;
        }
        self.extend(deadline_ms.unwrap_or(0));
        for (number, task, _, ending, _) in self.finished.iter().filter(|(n, ..)| *n <= acked) {
            if *ending == Ending::Done && *number > self.ignore_acks_upto {
                self.acked_done.insert(*task);
            }
        }
        self.finished.retain(|(number, ..)| *number > acked);
        self.listed_end = self.next_end;
        let running = self.running.iter().map(|(task, state)| {
            let percent =
                u8::try_from(state.done_ms * 100 / state.size.work_ms.max(1)).unwrap_or(100);
            (*task, state.run, state.saved.clone(), percent)
        });
        Some(Listing {
            started_ms: self.incarnation.started_ms,
            clock_ms: self.clock_ms(),
            running: running.collect(),
            finished: self.finished.clone(),
        })
    }

    /// Handles a call that starts a run. The call also extends the lease. One to another id is
    /// refused; the same id is taken by whatever incarnation is up.
    pub fn start(
        &mut self,
        addressee: &str,
        (task, run): (Task, u32),
        size: Size,
        checkpoint: &str,
        deadline_ms: u64,
    ) -> StartAnswer {
        match self.failure {
            _ if self.is_down() => StartAnswer::NotSent,
            _ if !is_addressed(addressee, &self.incarnation) => StartAnswer::OtherLife,
            Failure::Unresponsive | Failure::LosesStarts => StartAnswer::NoAnswer,
            Failure::DelayedStarts(delay) => {
                let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(0);
                let at_ms = self.true_ms + delay_ms;
                let checkpoint = checkpoint.to_owned();
                self.delayed_starts.push(DelayedStart {
                    sent_ms: self.true_ms,
                    at_ms,
                    task,
                    run,
                    size,
                    checkpoint,
                    deadline_ms,
                    addressee: addressee.to_owned(),
                    token: self.token,
                });
                StartAnswer::NoAnswer
            }
            _ => self.carry_out(self.true_ms, (task, run), size, checkpoint, deadline_ms),
        }
    }

    /// Handles a call that stops a run. Returns whether the call is answered.
    pub fn stop(&mut self, addressee: &str, (task, run): (Task, u32)) -> bool {
        let refuses = !is_addressed(addressee, &self.incarnation);
        if refuses || self.failure == Failure::Unresponsive || self.is_down() {
            return false;
        }
        match self.running.get_mut(&task) {
            Some(state) if state.run == run => {
                state.stop_ms.get_or_insert(STOP_DURATION_MS);
            }
            Some(_) => {}
            None => {
                let highest = self.highest_ended.entry(task).or_default();
                *highest = (*highest).max(run);
            }
        }
        true
    }

    fn carry_out(
        &mut self,
        sent_ms: u64,
        (task, run): (Task, u32),
        size: Size,
        checkpoint: &str,
        deadline_ms: u64,
    ) -> StartAnswer {
        if deadline_ms <= self.clock_ms() {
            return StartAnswer::Late;
        }
        self.extend(deadline_ms);
        if self.running.get(&task).is_some_and(|state| state.run == run) {
            return StartAnswer::Started;
        }
        if self.highest_ended.get(&task).is_some_and(|highest| *highest >= run) {
            return StartAnswer::Old;
        }
        let done_ms = u64::from_str_radix(checkpoint, 16).unwrap_or(0);
        let saved = checkpoint.to_owned();
        self.running.insert(task, Running { run, size, done_ms, saved, stop_ms: None });
        self.starts.push((task, run));
        if !self.fits(sent_ms) {
            self.starts_over_capacity.push((task, run));
        }
        StartAnswer::Started
    }

    fn end(&mut self, task: Task, ending: Ending) {
        if let Some(state) = self.running.remove(&task) {
            if ending != Ending::Done {
                let saved = u64::from_str_radix(&state.saved, 16).unwrap_or(0);
                let cores = u64::from(state.size.need.millicores) / 1_000
                    + u64::from(state.size.need.accelerators) * ACCELERATOR_CORES;
                self.lost_core_ms += cores * state.done_ms.saturating_sub(saved);
            }
            self.next_end += 1;
            self.finished.push((self.next_end, task, state.run, ending, state.saved));
            let highest = self.highest_ended.entry(task).or_default();
            *highest = (*highest).max(state.run);
        }
    }

    fn extend(&mut self, deadline_ms: u64) {
        let longest_ms = u64::try_from(super::MAX_LEASE.as_millis()).unwrap_or(0);
        let latest_ms = self.clock_ms() + longest_ms;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(latest_ms));
    }

    /// Returns the reading of the worker's clock, in milliseconds.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        self.true_ms * CLOCK_PERCENT / 100
    }
}

/// Returns whether a call to an id is taken by an incarnation.
fn is_addressed(addressee: &str, incarnation: &Incarnation) -> bool {
    addressee.is_empty() || addressee == incarnation.id
}
