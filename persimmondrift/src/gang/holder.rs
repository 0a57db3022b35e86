//! The agent's side: holds, runs and stops the parts on one worker.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Command, Holding, Order, Phase, Report, Task};
use crate::place;
use crate::unit::{Epoch, Millis, Time};

/// Number of ended parts that are remembered, so that late commands find them gone.
const TOMBSTONES: usize = 4_096;

/// Why a command was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refused {
    /// A newer planner has been heard.
    OldEpoch,
    /// The accelerators are taken.
    Busy,
    /// The worker takes no new parts.
    Leaving,
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
        /// The lease.
        lease: Millis,
        /// What the job needs.
        spec: place::Spec,
    },
    /// Renews the worker's own timer.
    Renew {
        /// The part.
        task: Task,
        /// The lease.
        lease: Millis,
    },
    /// Stops the part.
    Stop {
        /// The part.
        task: Task,
    },
    /// Tells the planner.
    Report(Report),
}

#[derive(Debug)]
struct Held {
    mask: u64,
    until: Time,
    phase: Phase,
    spec: place::Spec,
}

/// The parts on one worker.
#[derive(Debug, Default)]
pub struct Holder {
    epoch: Epoch,
    held: BTreeMap<Task, Held>,
    gone: BTreeMap<Task, Phase>,
    leaving: bool,
}

impl Holder {
    /// Sets whether new parts are refused.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Carries out a command, unless a newer planner has been heard.
    pub fn command(&mut self, now: Time, command: Command) -> Vec<Action> {
        let task = command.task;
        if command.term.epoch < self.epoch {
            return vec![self.report(task, Phase::Refused(Refused::OldEpoch))];
        }
        self.epoch = command.term.epoch;
        let mut actions = self.tick(now);
        match command.order {
            Order::Prepare { mask, hold, spec } => {
                let phase = self.prepare(now, task, mask, hold, spec);
                actions.push(self.report(task, phase));
            }
            Order::Go { lease } => self.go(now, task, lease, &mut actions),
            Order::Renew { lease } => self.renew(now, task, lease, &mut actions),
            Order::Stop => self.stop(task, &mut actions),
        }
        actions
    }

    /// Takes in that a part has ended by itself.
    pub fn ended(&mut self, task: Task, well: bool) -> Vec<Action> {
        if self.held.remove(&task).is_none() {
            return Vec::new();
        }
        let phase = if well { Phase::Finished } else { Phase::Failed };
        self.bury(task, phase);
        vec![self.report(task, phase)]
    }

    /// Lets holds and leases lapse.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let lapsed: Vec<Task> =
            self.held.iter().filter(|(_, held)| held.until <= now).map(|(&task, _)| task).collect();
        let mut actions = Vec::new();
        for task in lapsed {
            self.stop(task, &mut actions);
        }
        actions
    }

    /// Returns the parts that are held or run.
    #[must_use]
    pub fn holdings(&self) -> Vec<Holding> {
        let holding =
            |(&task, held): (&Task, &Held)| Holding { task, mask: held.mask, phase: held.phase };
        self.held.iter().map(holding).collect()
    }

    /// Returns the highest epoch heard.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    fn prepare(
        &mut self,
        now: Time,
        task: Task,
        mask: u64,
        hold: Millis,
        spec: place::Spec,
    ) -> Phase {
        if let Some(&phase) = self.gone.get(&task) {
            return phase;
        }
        if let Some(held) = self.held.get(&task) {
            return held.phase;
        }
        if self.leaving {
            return Phase::Refused(Refused::Leaving);
        }
        if self.held.values().any(|held| held.mask & mask != 0) {
            return Phase::Refused(Refused::Busy);
        }
        let part = Held { mask, until: now + hold, phase: Phase::Held, spec };
        self.held.insert(task, part);
        Phase::Held
    }

    fn go(&mut self, now: Time, task: Task, lease: Millis, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&task) else {
            self.answer_absent(task, actions);
            return;
        };
        if held.phase == Phase::Held {
            held.phase = Phase::Running;
            held.until = now + lease;
            let (mask, spec) = (held.mask, held.spec.clone());
            actions.push(Action::Start { task, mask, lease, spec });
        }
        actions.push(self.report(task, Phase::Running));
    }

    fn renew(&mut self, now: Time, task: Task, lease: Millis, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&task) else {
            self.answer_absent(task, actions);
            return;
        };
        if held.phase == Phase::Running {
            held.until = now + lease;
            actions.push(Action::Renew { task, lease });
        }
        let phase = held.phase;
        actions.push(self.report(task, phase));
    }

    fn stop(&mut self, task: Task, actions: &mut Vec<Action>) {
        if let Some(held) = self.held.remove(&task)
            && held.phase == Phase::Running
        {
            actions.push(Action::Stop { task });
        }
        self.answer_absent(task, actions);
    }

    fn answer_absent(&mut self, task: Task, actions: &mut Vec<Action>) {
        let phase = self.gone.get(&task).copied().unwrap_or(Phase::Gone);
        self.bury(task, phase);
        actions.push(self.report(task, phase));
    }

    fn bury(&mut self, task: Task, phase: Phase) {
        self.gone.insert(task, phase);
        while self.gone.len() > TOMBSTONES {
            self.gone.pop_first();
        }
    }

    fn report(&self, task: Task, phase: Phase) -> Action {
        Action::Report(Report { task, epoch: self.epoch, phase })
    }
}
