//! A worker in virtual time: leases, ends, checkpoints, late orders, new lives.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use persimmondrift::cell::duty::{Listing, StartAnswer};
use persimmondrift::cell::job::{Group, Resources, Task};
use persimmondrift::cell::record::{Ending, Incarnation};

/// What each worker has.
pub const CAPACITY: Resources =
    Resources { millicores: 32_000, mebibytes: 131_072, accelerators: 8 };
/// How long a task works if nothing else is said, in milliseconds.
pub const DEFAULT_WORK_MS: u64 = 3_000;
/// How long a stop takes, in milliseconds.
const STOP_DURATION_MS: u64 = 400;
/// Work between two checkpoints, in milliseconds.
const CHECKPOINT_INTERVAL_MS: u64 = 500;
/// Processor cores that an accelerator counts as when lost work is added up.
pub const ACCELERATOR_CORES: u64 = 8;
/// Rate of the worker's clock in percent of the true one: as slow as it may be.
const CLOCK_PERCENT: u64 = 98;

/// What goes wrong at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Failure {
    /// Nothing.
    #[default]
    None,
    /// All that it starts fails at once.
    Fails,
    /// What it runs stands still.
    Hangs,
    /// Starts get no answer and are carried out after a while.
    DelayedStarts(Duration),
    /// It answers nothing, and runs on.
    Unresponsive,
}

/// What a task really takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// What it holds.
    pub need: Resources,
    /// How long it works, in milliseconds.
    pub work_ms: u64,
    /// Whether it goes on from its checkpoint when it was stopped.
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
    at_ms: u64,
    task: Task,
    run: u32,
    size: Size,
    checkpoint: String,
    deadline_ms: u64,
}

/// A worker.
#[derive(Debug, Default)]
pub struct Target {
    incarnation: Incarnation,
    number: u64,
    true_ms: u64,
    deadline_ms: u64,
    running: BTreeMap<Task, Running>,
    finished: Vec<(u64, Task, u32, Ending, String)>,
    /// The highest run of each task that was stopped or has ended here.
    highest_ended: BTreeMap<Task, u32>,
    delayed_starts: Vec<DelayedStart>,
    next_end: u64,
    /// Ends up to this number were listed before the lease lapsed once: they do not bind.
    ignore_acks_upto: u64,
    /// What goes wrong.
    pub failure: Failure,
    /// Whether it leaves.
    pub draining: bool,
    /// All starts that were carried out.
    pub starts: Vec<(Task, u32)>,
    /// Core-milliseconds of work that were lost by ends other than a good one.
    pub lost_core_ms: u64,
    /// Tasks whose end `done` was taken note of before the lease lapsed.
    pub acked_done: BTreeSet<Task>,
}

impl Target {
    /// Creates a worker.
    #[must_use]
    pub fn new(started_ms: u64, number: u64) -> Self {
        let incarnation = Incarnation { started_ms, id: format!("i-{number}-{started_ms}") };
        Self { incarnation, number, ..Self::default() }
    }

    /// Begins a new incarnation in which nothing runs.
    pub fn restart(&mut self) {
        let starts = std::mem::take(&mut self.starts);
        let acked_done = std::mem::take(&mut self.acked_done);
        let lost_core_ms = self.lost_core_ms;
        *self = Self {
            starts,
            lost_core_ms,
            acked_done,
            ..Self::new(self.incarnation.started_ms + 1, self.number)
        };
    }

    /// Returns its incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.clone()
    }

    /// Returns what runs.
    pub fn running(&self) -> impl Iterator<Item = (Task, u32)> {
        self.running.iter().map(|(task, running)| (*task, running.run))
    }

    /// Returns whether what runs fits.
    #[must_use]
    pub fn fits(&self) -> bool {
        let used =
            self.running.values().fold(Resources::default(), |used, state| used + state.size.need);
        CAPACITY.holds(used)
    }

    /// Returns the runs that have ended otherwise than well.
    pub fn unsuccessful_runs(&self) -> impl Iterator<Item = (Task, u32)> {
        let unsuccessful =
            self.finished.iter().filter(|(_, _, _, ending, _)| *ending != Ending::Done);
        unsuccessful.map(|(_, task, run, ..)| (*task, *run))
    }

    /// Ends the members of gangs of which another member has ended badly.
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

    /// Lets time pass.
    pub fn advance(&mut self, span: Duration) {
        let span_ms = u64::try_from(span.as_millis()).unwrap_or(0);
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
            self.carry_out(start.task, start.run, start.size, &start.checkpoint, start.deadline_ms);
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

    /// Answers a look, which extends the lease and forgets ends.
    pub fn list_runs(&mut self, deadline_ms: Option<u64>, acked: u64) -> Option<Listing> {
        if self.failure == Failure::Unresponsive {
            return None;
        }
        self.extend(deadline_ms.unwrap_or(0));
        for (number, task, _, ending, _) in self.finished.iter().filter(|(n, ..)| *n <= acked) {
            if *ending == Ending::Done && *number > self.ignore_acks_upto {
                self.acked_done.insert(*task);
            }
        }
        self.finished.retain(|(number, ..)| *number > acked);
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

    /// Takes a start.
    pub fn start(
        &mut self,
        task: Task,
        run: u32,
        size: Size,
        checkpoint: &str,
        deadline_ms: u64,
    ) -> StartAnswer {
        match self.failure {
            Failure::Unresponsive => StartAnswer::NoAnswer,
            Failure::DelayedStarts(delay) => {
                let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(0);
                let at_ms = self.true_ms + delay_ms;
                let checkpoint = checkpoint.to_owned();
                self.delayed_starts.push(DelayedStart {
                    at_ms,
                    task,
                    run,
                    size,
                    checkpoint,
                    deadline_ms,
                });
                StartAnswer::NoAnswer
            }
            _ => self.carry_out(task, run, size, checkpoint, deadline_ms),
        }
    }

    /// Takes a stop. Returns whether it is answered.
    pub fn stop(&mut self, task: Task, run: u32) -> bool {
        if self.failure == Failure::Unresponsive {
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
        task: Task,
        run: u32,
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

    fn clock_ms(&self) -> u64 {
        self.true_ms * CLOCK_PERCENT / 100
    }
}
