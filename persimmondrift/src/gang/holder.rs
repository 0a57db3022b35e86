//! The agent's side of the gang protocol: holds, runs and stops the parts on one worker. It is a
//! state machine without I/O and returns actions for the caller to carry out.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::tombstone::Tombstones;
use super::{Command, Holding, Order, Phase, Report, STOP_GRACE, Stamp, Task};
use crate::adapter::worker::{ListedTask, State};
use crate::place;
use crate::unit::{Boot, Epoch, Millis, Time};

/// Number of start calls to the worker after which a part that it does not list counts as failed.
const MAX_START_CALLS: u32 = 3;
/// Pause before the worker is asked again to stop a part.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Why the agent refused a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refused {
    /// Some of the accelerators are in use.
    Busy,
    /// The worker accepts no new parts.
    Leaving,
}

/// The result of a call that starts a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker runs the part.
    Confirmed,
    /// The worker will not run the part.
    Refused,
    /// The answer was lost, so the part may run.
    Unknown,
}

/// An action that the agent carries out at its worker or towards its planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Starts the part under a lease that the worker also enforces.
    Start {
        /// The part to start.
        task: Task,
        /// The accelerators, one bit each.
        mask: u64,
        /// The end of the lease, on the agent's clock.
        until: Time,
        /// Requirements of the job.
        spec: place::Spec,
    },
    /// Extends the timer by which the worker enforces the lease.
    Renew {
        /// The part to renew.
        task: Task,
        /// The end of the lease, on the agent's clock.
        until: Time,
    },
    /// Stops the part.
    Stop {
        /// The part to stop.
        task: Task,
    },
    /// Sends a report to the planner.
    Report(Report),
}

#[derive(Debug, Clone)]
struct HeldPart {
    mask: u64,
    phase: Phase,
    /// The end of the hold or lease.
    until: Time,
    /// Requirements passed to the worker at the start; `None` for an adopted part, which already
    /// runs.
    spec: Option<place::Spec>,
    /// Number of calls that asked the worker to start the part.
    start_calls: u32,
    /// The end of the last call to the worker; `None` before the first call, and while a call is
    /// under way.
    last_call: Option<Time>,
    /// Last time at which the worker is known to have run the part.
    last_seen: Time,
}

/// The parts on one worker.
#[derive(Debug, Clone)]
pub struct Holder {
    boot: Boot,
    epoch: Epoch,
    planner_clock: Stamp,
    parts: BTreeMap<Task, HeldPart>,
    tombstones: Tombstones,
    worker_listed: bool,
    leaving: bool,
}

impl Holder {
    /// Creates the holder for an incarnation of an agent. It ignores commands until
    /// [`Holder::listed`] has reported which parts the worker runs.
    #[must_use]
    pub fn new(boot: Boot) -> Self {
        Self {
            boot,
            epoch: Epoch::default(),
            planner_clock: Stamp::default(),
            parts: BTreeMap::new(),
            tombstones: Tombstones::default(),
            worker_listed: false,
            leaving: false,
        }
    }

    /// Sets whether new parts are refused.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Carries out a command. Commands of an older epoch, or for an earlier incarnation of the
    /// agent, are not carried out.
    pub fn command(&mut self, now: Time, command: Command) -> Vec<Action> {
        if command.boot != self.boot || !self.worker_listed {
            return Vec::new();
        }
        if command.term.epoch < self.epoch {
            return vec![self.report(now, false, Vec::new())];
        }
        if command.term.epoch > self.epoch {
            self.epoch = command.term.epoch;
            self.planner_clock = Stamp::default();
        }
        self.planner_clock = self.planner_clock.max(command.sent);
        let mut actions = self.tick(now);
        let complete = command.directions.is_empty();
        let mut holdings = if complete { self.all_holdings() } else { Vec::new() };
        let from = command.echo.time().min(now);
        for direction in command.directions {
            let task = direction.task;
            let phase = match direction.order {
                Order::Prepare { mask, hold, spec } => self.prepare(now, task, mask, hold, spec),
                Order::Go { lease } => self.go(now, task, from + lease, &mut actions),
                Order::Renew { lease } => self.renew(task, from + lease, &mut actions),
                Order::Stop => self.stop(now, task, &mut actions),
            };
            holdings.push(Holding { task, mask: self.mask(task), phase });
        }
        // The answer to the command comes first: the results of calls to the worker are newer.
        actions.insert(0, self.report(now, complete, holdings));
        actions
    }

    /// Handles the result of a call that starts a part.
    pub fn started(&mut self, now: Time, task: Task, started: StartOutcome) -> Vec<Action> {
        let Some(held) = self.parts.get_mut(&task) else {
            return Vec::new();
        };
        held.last_call = Some(now);
        match (held.phase, started) {
            (Phase::Starting, StartOutcome::Confirmed) => {
                held.phase = Phase::Running;
                vec![self.report_phase(now, task, Phase::Running)]
            }
            (Phase::Starting | Phase::Stopping, StartOutcome::Refused) => {
                self.end(now, task, Phase::Failed)
            }
            _ => Vec::new(),
        }
    }

    /// Handles the result of a call that stops a part.
    pub fn stopped(&mut self, now: Time, task: Task, confirmed: bool) -> Vec<Action> {
        let Some(held) = self.parts.get_mut(&task) else {
            return Vec::new();
        };
        held.last_call = Some(now);
        if confirmed && held.phase == Phase::Stopping {
            return self.end(now, task, Phase::Gone);
        }
        Vec::new()
    }

    /// Compares the parts that the worker listed, as requested at `asked`, with those held here.
    /// Adopts running parts on the first list of this incarnation, and starts again or ends parts
    /// that the worker does not list.
    pub fn listed(&mut self, now: Time, asked: Time, list: &[ListedTask]) -> Vec<Action> {
        let mut actions = Vec::new();
        for part in list {
            self.observe(now, asked, part, &mut actions);
        }
        self.worker_listed = true;
        let absent = |task: &Task| list.iter().all(|part| part.task != *task);
        let missing: Vec<Task> = self
            .parts
            .iter()
            .filter(|(_, held)| {
                held.phase != Phase::Held && held.last_call.is_some_and(|c| c < asked)
            })
            .map(|(&task, _)| task)
            .filter(absent)
            .collect();
        for task in missing {
            self.handle_missing(now, task, &mut actions);
        }
        actions
    }

    /// Stops parts whose hold or lease has ended, retries unconfirmed stops, and ends parts that
    /// have certainly stopped.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let due = |held: &HeldPart| match held.phase {
            Phase::Stopping => held.stop_retry_due(now) || held.until + STOP_GRACE <= now,
            _ => held.until <= now,
        };
        let tasks: Vec<Task> =
            self.parts.iter().filter(|(_, held)| due(held)).map(|(&task, _)| task).collect();
        let mut actions = Vec::new();
        for task in tasks {
            let phase = self.stop(now, task, &mut actions);
            actions.push(self.report_phase(now, task, phase));
        }
        actions
    }

    /// Returns the parts that are held, starting, running or stopping.
    #[must_use]
    pub fn holdings(&self) -> Vec<Holding> {
        let holding = |(&task, held): (&Task, &HeldPart)| Holding {
            task,
            mask: held.mask,
            phase: held.phase,
        };
        self.parts.iter().map(holding).collect()
    }

    /// Returns whether no part is held, starting, running or stopping.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the highest epoch received.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    fn all_holdings(&self) -> Vec<Holding> {
        let mut all = self.holdings();
        all.extend(self.tombstones.ended());
        all
    }

    fn mask(&self, task: Task) -> u64 {
        self.parts.get(&task).map_or(0, |held| held.mask)
    }

    fn prepare(
        &mut self,
        now: Time,
        task: Task,
        mask: u64,
        hold: Millis,
        spec: place::Spec,
    ) -> Phase {
        if let Some(phase) = self.tombstones.get(task) {
            return phase;
        }
        if let Some(held) = self.parts.get_mut(&task) {
            if held.phase == Phase::Held {
                held.until = now + hold;
            }
            return held.phase;
        }
        if self.leaving {
            return Phase::Refused(Refused::Leaving);
        }
        if self.parts.values().any(|held| held.mask & mask != 0) {
            return Phase::Refused(Refused::Busy);
        }
        let (phase, until) = (Phase::Held, now + hold);
        let part = HeldPart {
            mask,
            phase,
            until,
            spec: Some(spec),
            start_calls: 0,
            last_call: None,
            last_seen: now,
        };
        self.parts.insert(task, part);
        phase
    }

    fn go(&mut self, now: Time, task: Task, until: Time, actions: &mut Vec<Action>) -> Phase {
        let Some(held) = self.parts.get_mut(&task) else {
            return self.mark_gone(task);
        };
        if held.phase != Phase::Held {
            return held.phase;
        }
        if until <= now {
            return self.stop(now, task, actions);
        }
        held.phase = Phase::Starting;
        (held.until, held.last_seen) = (until, now);
        actions.extend(held.call(task));
        Phase::Starting
    }

    fn renew(&mut self, task: Task, until: Time, actions: &mut Vec<Action>) -> Phase {
        let Some(held) = self.parts.get_mut(&task) else {
            return self.mark_gone(task);
        };
        if matches!(held.phase, Phase::Starting | Phase::Running) && until > held.until {
            held.until = until;
            if held.phase == Phase::Running {
                actions.push(Action::Renew { task, until });
            }
        }
        held.phase
    }

    /// Stops a part; one that has not started is gone at once.
    fn stop(&mut self, now: Time, task: Task, actions: &mut Vec<Action>) -> Phase {
        let Some(held) = self.parts.get_mut(&task) else {
            return self.mark_gone(task);
        };
        let lapsed = held.until + STOP_GRACE <= now;
        if held.phase == Phase::Held || (held.phase == Phase::Stopping && lapsed) {
            self.parts.remove(&task);
            return self.mark_gone(task);
        }
        if held.phase != Phase::Stopping || held.stop_retry_due(now) {
            held.phase = Phase::Stopping;
            held.last_call = None;
            actions.push(Action::Stop { task });
        }
        Phase::Stopping
    }

    fn mark_gone(&mut self, task: Task) -> Phase {
        self.tombstones.record(task, Phase::Gone);
        self.tombstones.get(task).unwrap_or(Phase::Gone)
    }

    /// Applies the state that the worker listed for one part.
    fn observe(&mut self, now: Time, asked: Time, part: &ListedTask, actions: &mut Vec<Action>) {
        let task = part.task;
        if let Some(held) = self.parts.get_mut(&task)
            && part.state == State::Running
        {
            held.last_seen = held.last_seen.max(asked);
        }
        match (self.parts.get_mut(&task), part.state) {
            (Some(held), State::Running) if held.phase == Phase::Starting => {
                held.phase = Phase::Running;
                held.last_call = Some(now);
                actions.push(self.report_phase(now, task, Phase::Running));
            }
            (None, State::Running) if !self.worker_listed => self.adopt(now, asked, part),
            // A start call arrived late, or the lease ended here earlier.
            (None, State::Running) => actions.push(Action::Stop { task }),
            (None, _) | (Some(_), State::Running) => {}
            (Some(_), State::Finished) => actions.extend(self.end(now, task, Phase::Finished)),
            (Some(_), State::Failed) => actions.extend(self.end(now, task, Phase::Failed)),
            (Some(_), State::Stopped) => actions.extend(self.end(now, task, Phase::Gone)),
        }
    }

    /// Adopts a part that an earlier incarnation of this agent started. Its lease is not known
    /// here; the worker's timer enforces it.
    fn adopt(&mut self, now: Time, last_seen: Time, part: &ListedTask) {
        let until = now + super::LEASE;
        let (mask, phase, last_call) = (part.mask, Phase::Running, Some(now));
        let adopted =
            HeldPart { mask, phase, until, spec: None, start_calls: 0, last_call, last_seen };
        self.parts.insert(part.task, adopted);
    }

    /// Handles a part that the worker does not list although it was asked to start it: repeats the
    /// start up to [`MAX_START_CALLS`] calls, and ends the part otherwise.
    fn handle_missing(&mut self, now: Time, task: Task, actions: &mut Vec<Action>) {
        let Some(held) = self.parts.get_mut(&task) else {
            return;
        };
        match held.phase {
            Phase::Starting if held.start_calls < MAX_START_CALLS => {
                held.last_call = None;
                actions.extend(held.call(task));
            }
            Phase::Starting => actions.extend(self.end(now, task, Phase::Failed)),
            _ => actions.extend(self.end(now, task, Phase::Gone)),
        }
    }

    fn end(&mut self, now: Time, task: Task, phase: Phase) -> Vec<Action> {
        self.parts.remove(&task);
        self.tombstones.record(task, phase);
        vec![self.report_phase(now, task, phase)]
    }

    fn report_phase(&self, now: Time, task: Task, phase: Phase) -> Action {
        self.report(now, false, vec![Holding { task, mask: self.mask(task), phase }])
    }

    fn report(&self, now: Time, complete: bool, holdings: Vec<Holding>) -> Action {
        let runs = holdings.iter().filter(|holding| holding.phase == Phase::Running);
        let seen = runs.filter_map(|holding| Some(self.parts.get(&holding.task)?.last_seen)).min();
        let age = seen.map_or(Duration::ZERO, |seen| now.since(seen));
        let age = Millis(u64::try_from(age.as_millis()).unwrap_or(u64::MAX) + 1);
        Action::Report(Report {
            boot: self.boot,
            epoch: self.epoch,
            sent: now.into(),
            echo: self.planner_clock,
            age,
            complete,
            holdings,
        })
    }
}

impl HeldPart {
    fn stop_retry_due(&self, now: Time) -> bool {
        self.last_call.is_some_and(|last_call| now.since(last_call) >= STOP_RETRY_INTERVAL)
    }

    fn call(&mut self, task: Task) -> Option<Action> {
        let spec = self.spec.clone()?;
        self.start_calls += 1;
        Some(Action::Start { task, mask: self.mask, until: self.until, spec })
    }
}
