//! The agent's side: holds, runs and stops the parts on one worker.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::tombstone::Tombstones;
use super::{Command, Holding, Order, Phase, Report, SLACK, Stamp, Task};
use crate::adapter::worker::{Listed, State};
use crate::place;
use crate::unit::{Boot, Epoch, Millis, Time};

/// Calls that ask the worker to start one part before the part counts as failed.
const START_CALLS: u32 = 3;
/// Pause before the worker is asked again to stop a part.
const STOP_AGAIN: Duration = Duration::from_millis(500);

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
pub enum Started {
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
struct Held {
    mask: u64,
    phase: Phase,
    /// The end of the hold or lease.
    until: Time,
    /// What the worker is told at the start; an adopted part has started before.
    spec: Option<place::Spec>,
    /// Calls that asked the worker to start it.
    calls: u32,
    /// The end of the last call to the worker, if it has ended.
    called: Option<Time>,
    /// When the worker was last known to run it.
    seen: Time,
}

/// The parts on one worker.
#[derive(Debug, Clone)]
pub struct Holder {
    boot: Boot,
    epoch: Epoch,
    heard: Stamp,
    parts: BTreeMap<Task, Held>,
    gone: Tombstones,
    listed: bool,
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
            heard: Stamp::default(),
            parts: BTreeMap::new(),
            gone: Tombstones::default(),
            listed: false,
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
        if command.boot != self.boot || !self.listed {
            return Vec::new();
        }
        if command.term.epoch < self.epoch {
            return vec![self.report(now, false, Vec::new())];
        }
        if command.term.epoch > self.epoch {
            self.epoch = command.term.epoch;
            self.heard = Stamp::default();
        }
        self.heard = self.heard.max(command.sent);
        let mut actions = self.tick(now);
        let whole = command.directions.is_empty();
        let mut holdings = if whole { self.all() } else { Vec::new() };
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
        actions.insert(0, self.report(now, whole, holdings));
        actions
    }

    /// Takes in what came of a call that starts a part.
    pub fn started(&mut self, now: Time, task: Task, started: Started) -> Vec<Action> {
        let Some(held) = self.parts.get_mut(&task) else {
            return Vec::new();
        };
        held.called = Some(now);
        match (held.phase, started) {
            (Phase::Starting, Started::Confirmed) => {
                held.phase = Phase::Running;
                vec![self.tell(now, task, Phase::Running)]
            }
            (Phase::Starting | Phase::Stopping, Started::Refused) => {
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
        held.called = Some(now);
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
        self.listed = true;
        let absent = |task: &Task| list.iter().all(|part| part.task != *task);
        let missing: Vec<Task> = self
            .parts
            .iter()
            .filter(|(_, held)| held.phase != Phase::Held && held.called.is_some_and(|c| c < asked))
            .map(|(&task, _)| task)
            .filter(absent)
            .collect();
        for task in missing {
            self.restart(now, task, &mut actions);
        }
        actions
    }

    /// Lets holds and leases lapse.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let due = |held: &Held| match held.phase {
            Phase::Stopping => held.may_call_again(now) || held.until + SLACK <= now,
            _ => held.until <= now,
        };
        let tasks: Vec<Task> =
            self.parts.iter().filter(|(_, held)| due(held)).map(|(&task, _)| task).collect();
        let mut actions = Vec::new();
        for task in tasks {
            let phase = self.stop(now, task, &mut actions);
            actions.push(self.tell(now, task, phase));
        }
        actions
    }

    /// Returns the parts that are held or run.
    #[must_use]
    pub fn holdings(&self) -> Vec<Holding> {
        let holding =
            |(&task, held): (&Task, &Held)| Holding { task, mask: held.mask, phase: held.phase };
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

    fn all(&self) -> Vec<Holding> {
        let mut all = self.holdings();
        all.extend(self.gone.ended());
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
        if let Some(phase) = self.gone.get(task) {
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
        let part = Held { mask, phase, until, spec: Some(spec), calls: 0, called: None, seen: now };
        self.parts.insert(task, part);
        phase
    }

    fn go(&mut self, now: Time, task: Task, until: Time, actions: &mut Vec<Action>) -> Phase {
        let Some(held) = self.parts.get_mut(&task) else {
            return self.absent(task);
        };
        if held.phase != Phase::Held {
            return held.phase;
        }
        if until <= now {
            return self.stop(now, task, actions);
        }
        held.phase = Phase::Starting;
        (held.until, held.seen) = (until, now);
        actions.extend(held.call(task));
        Phase::Starting
    }

    fn renew(&mut self, task: Task, until: Time, actions: &mut Vec<Action>) -> Phase {
        let Some(held) = self.parts.get_mut(&task) else {
            return self.absent(task);
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
            return self.absent(task);
        };
        let lapsed = held.until + SLACK <= now;
        if held.phase == Phase::Held || (held.phase == Phase::Stopping && lapsed) {
            self.parts.remove(&task);
            return self.absent(task);
        }
        if held.phase != Phase::Stopping || held.may_call_again(now) {
            held.phase = Phase::Stopping;
            held.called = None;
            actions.push(Action::Stop { task });
        }
        Phase::Stopping
    }

    fn absent(&mut self, task: Task) -> Phase {
        self.gone.bury(task, Phase::Gone);
        self.gone.get(task).unwrap_or(Phase::Gone)
    }

    /// Takes in what the worker says of one part.
    fn observe(&mut self, now: Time, asked: Time, part: &Listed, actions: &mut Vec<Action>) {
        let task = part.task;
        if let Some(held) = self.parts.get_mut(&task)
            && part.state == State::Running
        {
            held.seen = held.seen.max(asked);
        }
        match (self.parts.get_mut(&task), part.state) {
            (Some(held), State::Running) if held.phase == Phase::Starting => {
                held.phase = Phase::Running;
                held.called = Some(now);
                actions.push(self.tell(now, task, Phase::Running));
            }
            (None, State::Running) if !self.listed => self.adopt(now, asked, part),
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
    fn adopt(&mut self, now: Time, seen: Time, part: &Listed) {
        let until = now + super::LEASE;
        let (mask, phase, called) = (part.mask, Phase::Running, Some(now));
        let adopted = Held { mask, phase, until, spec: None, calls: 0, called, seen };
        self.parts.insert(part.task, adopted);
    }

    /// Takes in that the worker does not know a part that it was asked to start.
    fn restart(&mut self, now: Time, task: Task, actions: &mut Vec<Action>) {
        let Some(held) = self.parts.get_mut(&task) else {
            return;
        };
        match held.phase {
            Phase::Starting if held.calls < START_CALLS => {
                held.called = None;
                actions.extend(held.call(task));
            }
            Phase::Starting => actions.extend(self.end(now, task, Phase::Failed)),
            _ => actions.extend(self.end(now, task, Phase::Gone)),
        }
    }

    fn end(&mut self, now: Time, task: Task, phase: Phase) -> Vec<Action> {
        self.parts.remove(&task);
        self.gone.bury(task, phase);
        vec![self.tell(now, task, phase)]
    }

    fn tell(&self, now: Time, task: Task, phase: Phase) -> Action {
        self.report(now, false, vec![Holding { task, mask: self.mask(task), phase }])
    }

    fn report(&self, now: Time, whole: bool, holdings: Vec<Holding>) -> Action {
        let runs = holdings.iter().filter(|holding| holding.phase == Phase::Running);
        let seen = runs.filter_map(|holding| Some(self.parts.get(&holding.task)?.seen)).min();
        let age = seen.map_or(Duration::ZERO, |seen| now.since(seen));
        let age = Millis(u64::try_from(age.as_millis()).unwrap_or(u64::MAX) + 1);
        Action::Report(Report {
            boot: self.boot,
            epoch: self.epoch,
            sent: now.into(),
            echo: self.heard,
            age,
            whole,
            holdings,
        })
    }
}

impl Held {
    fn may_call_again(&self, now: Time) -> bool {
        self.called.is_some_and(|called| now.since(called) >= STOP_AGAIN)
    }

    fn call(&mut self, task: Task) -> Option<Action> {
        let spec = self.spec.clone()?;
        self.calls += 1;
        Some(Action::Start { task, mask: self.mask, until: self.until, spec })
    }
}
