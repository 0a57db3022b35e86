//! Records of ended parts, so that late commands do not start them again.

use std::collections::{BTreeMap, VecDeque};

use super::{Holding, Phase, Task};

/// Largest number of ended parts that are recorded.
const MAX_TOMBSTONES: usize = 4_096;
/// Largest number of ended parts that a complete report lists.
const MAX_LISTED: usize = 256;

/// The most recently ended parts; the oldest is evicted first.
#[derive(Debug, Clone, Default)]
pub struct Tombstones {
    phases: BTreeMap<Task, Phase>,
    order: VecDeque<Task>,
}

impl Tombstones {
    /// Records how a part ended, unless it is already recorded.
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

    /// Returns how a part ended, if it is still recorded.
    pub fn get(&self, task: Task) -> Option<Phase> {
        self.phases.get(&task).copied()
    }

    /// Returns up to [`MAX_LISTED`] of the parts that ended by themselves, the newest first.
    pub fn ended(&self) -> impl Iterator<Item = Holding> {
        let holding = |&task: &Task| {
            let phase = *self.phases.get(&task)?;
            (phase != Phase::Gone).then_some(Holding { task, mask: 0, phase })
        };
        self.order.iter().rev().filter_map(holding).take(MAX_LISTED)
    }
}
