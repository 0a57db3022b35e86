//! Size of a job's progress row: what is left out of a row that the store would not accept.
//!
//! By arithmetic a row of [`MAX_TASKS`] tasks fits without checkpoints and names of agents: 42 bytes, 15
//! for each task, and 38 for five crashes under each, 63,642 of 65,536 bytes together. So names and
//! checkpoints are left out where a row does not fit, and each crash counts.
//!
//! [`MAX_TASKS`]: crate::cell::job::MAX_TASKS

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::cell::codec;
use crate::cell::record::{self, Phase, Progress, TaskProgress};
use crate::cell::table::MAX_ROW_BYTES;

/// Size above which a checkpoint's name is left out before names of agents are, in bytes.
const USUAL_CHECKPOINT_BYTES: usize = 200;

/// What was left out of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Omission {
    /// Number of agents whose names are no longer known of the crashes of their workers.
    pub agents: usize,
    /// Number of tasks that start without their checkpoint.
    pub checkpoints: usize,
}

impl Omission {
    /// Returns whether nothing was left out.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}

impl Progress {
    /// Leaves out what the store would not accept in the row, until it fits: checkpoints with unusually
    /// long names, then names of agents, those first that say least, then the longest checkpoints.
    pub fn bound(&mut self) -> Omission {
        let mut omission = Omission::default();
        let mut size = Size::of(self);
        if size.fits() || record::encode(self).len() <= MAX_ROW_BYTES {
            return omission;
        }
        for task in self.tasks.iter_mut().filter(|task| task.phase == Phase::Done) {
            // A completed task does not start again.
            size.rest -= clear_checkpoint(task);
        }
        omission.checkpoints += self.omit_checkpoints(&mut size, USUAL_CHECKPOINT_BYTES);
        omission.agents += self.omit_agents(&mut size);
        omission.checkpoints += self.omit_checkpoints(&mut size, 0);
        omission
    }

    /// Leaves out checkpoints of more than `usual` bytes, the longest first, until the row fits. Returns
    /// how many it left out.
    fn omit_checkpoints(&mut self, size: &mut Size, usual: usize) -> usize {
        let mut omitted = 0;
        let is_long = |task: &&mut TaskProgress| task.checkpoint.len() > usual;
        let mut tasks: Vec<&mut TaskProgress> = self.tasks.iter_mut().filter(is_long).collect();
        tasks.sort_by_key(|task| Reverse(task.checkpoint.len()));
        for task in tasks {
            if size.fits() {
                break;
            }
            size.rest -= clear_checkpoint(task);
            omitted += 1;
        }
        omitted
    }

    /// Leaves out names of agents until the row fits: first those under whose tasks fewest workers have
    /// crashed, at the start or at all. Returns how many it left out.
    fn omit_agents(&mut self, size: &mut Size) -> usize {
        let mut weights: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        for task in &self.tasks {
            let weight = (task.start_crashes(), task.crashes.len());
            for crash in task.crashes.iter().filter(|crash| !crash.agent.is_empty()) {
                let own = weights.entry(crash.agent.clone()).or_default();
                *own = weight.max(*own);
            }
        }
        let mut agents: Vec<(&String, &(usize, usize))> = weights.iter().collect();
        agents.sort_by_key(|(agent, weight)| (**weight, Reverse(agent.len())));
        let mut omitted = Vec::new();
        for (agent, _) in agents {
            if size.fits() {
                break;
            }
            size.names -= codec::text_bytes(agent);
            omitted.push(agent);
        }
        omitted.sort_unstable();
        for crash in self.tasks.iter_mut().flat_map(|task| &mut task.crashes) {
            if omitted.binary_search(&&crash.agent).is_ok() {
                crash.agent.clear();
            }
        }
        omitted.len()
    }
}

/// Removes the checkpoint of a task. Returns by how many bytes its row shrinks.
fn clear_checkpoint(task: &mut TaskProgress) -> usize {
    let before = codec::text_bytes(&task.checkpoint);
    task.checkpoint.clear();
    before - codec::text_bytes(&task.checkpoint)
}

/// Upper bound of the size of a row in which the names of agents are stored once, in bytes.
#[derive(Debug)]
struct Size {
    /// Names of agents.
    names: usize,
    rest: usize,
}

impl Size {
    fn of(progress: &Progress) -> Self {
        let mut agents: Vec<&str> = Vec::new();
        for crash in progress.tasks.iter().flat_map(|task| &task.crashes) {
            agents.push(&crash.agent);
        }
        agents.sort_unstable();
        agents.dedup();
        let tasks = progress.tasks.len();
        let crashes =
            |task: &TaskProgress| codec::crashes_bytes(&task.crashes, tasks, agents.len());
        let crashes: usize = progress.tasks.iter().map(crashes).sum();
        // The name of those that are left out is empty.
        let no_name = codec::text_bytes("");
        Self {
            names: agents.iter().map(|agent| codec::text_bytes(agent)).sum(),
            rest: codec::progress_bytes(progress) + crashes + no_name,
        }
    }

    fn fits(&self) -> bool {
        self.names + self.rest <= MAX_ROW_BYTES
    }
}
