//! The agent's side: holds, runs and stops the parts on one worker.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::tombstone::Tombstones;
use super::{Command, Holding, Order, Phase, Report, STOP_GRACE, Stamp, Task};
use crate::adapter::worker::{Listed, State};
use crate::place;
use crate::unit::{Boot, Epoch, Millis, Time};

/// Calls that ask the worker to start one part before the part counts as failed.
const MAX_START_CALLS: u32 = 3;
/// Pause before the worker is asked again to stop a part.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Why a command was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refused {
    /// The accelerators are taken.
    Busy,
    /// The worker takes no new parts.
    Leaving,
}

/// What came of a call that starts a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker runs it.
    Confirmed,
    /// The worker will not run it.
    Refused,
    /// The answer was lost.
    Unknown,
}

/// What the agent does at its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Starts the part under a lease that the worker keeps too.
    Start {
        /// The part.
        task: Task,
        /// The accelerators, one bit each.
        mask: u64,
        /// The end of the lease.
        until: Time,
        /// What the job needs.
        spec: place::Spec,
    },
    /// Renews the worker's own timer.
    Renew {
        /// The part.
        task: Task,
        /// The end of the lease.
        until: Time,
    },
    /// Stops the part.
    Stop {
        /// The part.
        task: Task,
    },
    /// Tells the planner.
    Report(Report),
}

#[derive(Debug, Clone)]
struct HeldPart {
    mask: u64,
    phase: Phase,
    /// The end of the hold or lease.
    until: Time,
    /// What the worker is told at the start; an adopted part has started before.
    spec: Option<place::Spec>,
    /// Calls that asked the worker to start it.
    start_calls: u32,
    /// The end of the last call to the worker, if it has ended.
    last_call: Option<Time>,
    /// When the worker was last known to run it.
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
    /// Creates a holder for a start of an agent. It obeys no command before it has learned
    /// by [`Holder::listed`] what its worker runs.
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

    /// Carries out a command, unless a newer planner has been heard or it was meant for an
    /// earlier start of the agent.
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
        // The answer goes first: what the worker says of the part comes after it.
        actions.insert(0, self.report(now, complete, holdings));
        actions
    }

    /// Takes in what came of a call that starts a part.
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

    /// Takes in what came of a call that stops a part.
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

    /// Takes in the parts that the worker knows, as asked for at a time.
    pub fn listed(&mut self, now: Time, asked: Time, list: &[Listed]) -> Vec<Action> {
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

    /// Lets holds and leases lapse.
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

    /// Returns the parts that are held or run.
    #[must_use]
    pub fn holdings(&self) -> Vec<Holding> {
        let holding = |(&task, held): (&Task, &HeldPart)| Holding {
            task,
            mask: held.mask,
            phase: held.phase,
        };
        self.parts.iter().map(holding).collect()
    }

    /// Returns whether no part is held or runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the highest epoch heard.
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

    /// Stops a part that may run; one that never started is gone at once.
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

    /// Takes in what the worker says of one part.
    fn observe(&mut self, now: Time, asked: Time, part: &Listed, actions: &mut Vec<Action>) {
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
            // It was started by a call that came late, or its lease lapsed here before.
            (None, State::Running) => actions.push(Action::Stop { task }),
            (None, _) | (Some(_), State::Running) => {}
            (Some(_), State::Finished) => actions.extend(self.end(now, task, Phase::Finished)),
            (Some(_), State::Failed) => actions.extend(self.end(now, task, Phase::Failed)),
            (Some(_), State::Stopped) => actions.extend(self.end(now, task, Phase::Gone)),
        }
    }

    /// Takes over a part that an earlier start of this agent has started. Its lease is not
    /// known here; the worker's timer ends it.
    fn adopt(&mut self, now: Time, last_seen: Time, part: &Listed) {
        let until = now + super::LEASE;
        let (mask, phase, last_call) = (part.mask, Phase::Running, Some(now));
        let adopted =
            HeldPart { mask, phase, until, spec: None, start_calls: 0, last_call, last_seen };
        self.parts.insert(part.task, adopted);
    }

    /// Takes in that the worker does not know a part that it was asked to start.
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
