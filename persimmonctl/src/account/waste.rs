//! Work of runs that were stopped or lost, and has to be done again.

use std::collections::BTreeMap;

use persimmondrift::cell::job::{Group, Task};
use serde::Serialize;

use crate::line::{Ending, Moment, Stop};

/// Thousandths of a core that an accelerator counts as.
const ACCELERATOR_MILLICORES: u64 = 8_000;

/// Why the work of a run was thrown away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum WasteCause {
    /// It was stopped for another group.
    Reclaimed,
    /// Its worker was about to leave.
    Draining,
    /// It made no progress.
    Stalled,
    /// Another member of its gang had ended or did not start.
    GangBroken,
    /// Its job was cancelled or over.
    Unneeded,
    /// It failed.
    Failed,
    /// Its worker crashed.
    Crashed,
    /// Its lease lapsed.
    Lapsed,
}

/// Work that was thrown away for one cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Waste {
    /// Runs that were thrown away.
    pub runs: u32,
    /// Work of those without checkpoints, from start to end, in core-milliseconds.
    pub core_ms: u64,
    /// Work of those with checkpoints, most of which is kept, in core-milliseconds.
    pub checkpointed_core_ms: u64,
    /// Runs whose lines do not tell what a task takes: only accelerators are counted, and
    /// checkpoints are taken to be missing.
    pub estimated_runs: u32,
}

/// The current runs, and the work that was thrown away.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Work that was thrown away, by cause.
    pub waste: BTreeMap<WasteCause, Waste>,
    /// What a task of a group takes in thousandths of a core, and whether it has checkpoints.
    costs: BTreeMap<Group, (u64, bool)>,
    placed: BTreeMap<Group, Moment>,
    started: BTreeMap<Task, Moment>,
    stopped: BTreeMap<Task, Stop>,
}

impl Ledger {
    /// Notes that tasks of a group were placed.
    pub fn place(&mut self, time: Moment, group: Group, cost: Option<(u64, bool)>) {
        self.placed.insert(group, time);
        if let Some(cost) = cost {
            self.costs.insert(group, cost);
        }
    }

    /// Notes that a task was started.
    pub fn start(&mut self, time: Moment, task: Task) {
        self.started.insert(task, time);
    }

    /// Notes that a run was marked to be stopped.
    pub fn stop(&mut self, task: Task, stop: Stop) {
        self.stopped.insert(task, stop);
    }

    /// Returns since when the work of the current run of a task is lost if it ends at `time`: its
    /// start, or `time` if it has checkpoints.
    pub fn lost_since(&self, time: Moment, task: Task) -> Moment {
        let checkpoints =
            self.costs.get(&task.group()).is_some_and(|(_, checkpoints)| *checkpoints);
        if checkpoints { time } else { self.begin(task).unwrap_or(time).min(time) }
    }

    /// Notes that a run is over; `accelerators` is what its job declares at most for a task.
    pub fn end(&mut self, time: Moment, task: Task, ending: Ending, accelerators: u64) {
        let begin = self.begin(task);
        self.started.remove(&task);
        let stop = self.stopped.remove(&task);
        let Some(cause) = cause(ending, stop) else {
            return;
        };
        let cost = self.costs.get(&task.group()).copied();
        let (millicores, checkpoints) =
            cost.unwrap_or((accelerators * ACCELERATOR_MILLICORES, false));
        let core_us = time.since(begin.unwrap_or(time)).saturating_mul(millicores);
        let waste = self.waste.entry(cause).or_default();
        waste.runs += 1;
        waste.estimated_runs += u32::from(cost.is_none());
        let sum = if checkpoints { &mut waste.checkpointed_core_ms } else { &mut waste.core_ms };
        *sum = sum.saturating_add(core_us / 1_000);
    }

    /// Returns when the current run of a task began; its placement if no start was logged.
    fn begin(&self, task: Task) -> Option<Moment> {
        self.started.get(&task).or_else(|| self.placed.get(&task.group())).copied()
    }
}

fn cause(ending: Ending, stop: Option<Stop>) -> Option<WasteCause> {
    match (ending, stop) {
        (Ending::Done | Ending::Refused, _) => None,
        (Ending::Failed, _) => Some(WasteCause::Failed),
        (Ending::Crashed, _) => Some(WasteCause::Crashed),
        (Ending::Lapsed, _) => Some(WasteCause::Lapsed),
        (_, Some(Stop::Reclaimed)) => Some(WasteCause::Reclaimed),
        (_, Some(Stop::Draining)) => Some(WasteCause::Draining),
        (_, Some(Stop::Stalled)) => Some(WasteCause::Stalled),
        (Ending::Broken, _) | (_, Some(Stop::GangBroken | Stop::GangLate)) => {
            Some(WasteCause::GangBroken)
        }
        (Ending::Stopped, _) => Some(WasteCause::Unneeded),
    }
}
