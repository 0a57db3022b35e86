//! How ended parts are remembered, so that late commands find them over.

use std::collections::{BTreeMap, VecDeque};

use super::{Holding, Phase, Task};

/// Number of ended parts that are remembered.
const MAX_TOMBSTONES: usize = 4_096;
/// Number of ended parts that a new planner is told of.
const MAX_LISTED: usize = 256;

/// The parts that ended last; the oldest is forgotten first.
#[derive(Debug, Clone, Default)]
pub struct Tombstones {
    phases: BTreeMap<Task, Phase>,
    order: VecDeque<Task>,
}

impl Tombstones {
    /// Remembers how a part ended, unless its end is known already.
    pub fn record(&mut self, task: Task, phase: Phase) {
        if self.phases.contains_key(&task) {
            return;
        }
        self.phases.insert(task, phase);
        self.order.push_back(task);
        while self.order.len() > MAX_TOMBSTONES {
            if let Some(oldest) = self.order.pop_front() {
                self.phases.remove(&oldest);
            }
        }
    }

    /// Returns how a part ended.
    pub fn get(&self, task: Task) -> Option<Phase> {
        self.phases.get(&task).copied()
    }

    /// Returns the parts that ended last by themselves, the newest first.
    pub fn ended(&self) -> impl Iterator<Item = Holding> {
        let holding = |&task: &Task| {
            let phase = *self.phases.get(&task)?;
            (phase != Phase::Gone).then_some(Holding { task, mask: 0, phase })
        };
        self.order.iter().rev().filter_map(holding).take(MAX_LISTED)
    }
}
