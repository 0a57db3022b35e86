//! Ends as done that reached the planner only after it had written their runs off.
//!
//! An agent that cannot reach the store for longer than its grant cannot report what has ended before
//! its lease lapsed. Such an end still decides: the task is done, and a newer run of it is stopped.

use super::draft::Draft;
use super::{Cause, Planner, fold, request_of};
use crate::cell::job::{Group, Task};
use crate::cell::record::Ending;

impl Planner {
    /// Marks the tasks as done whose end was reported late, and stops their newer runs.
    pub(super) fn apply_late_ends(&self, draft: &mut Draft<'_>) {
        let input = draft.input;
        for (agent, _, worker) in input.workers.iter() {
            for end in worker.ends.iter().filter(|end| end.ending == Ending::Done) {
                let Some((_, request)) = request_of(input.jobs, end.task.job) else {
                    continue;
                };
                let is_late = !is_ordered(draft, agent, end.task, end.run)
                    && !self.unwritable.contains(&end.task.job)
                    && draft.progress(end.task.job, request).accepts_late(request, end);
                if !is_late {
                    continue;
                }
                if draft.is_full() {
                    return;
                }
                draft.progress_mut(end.task.job, request).apply_late(request, end);
                fold::stop(draft, end.task, Cause::AlreadyDone, None);
            }
        }
    }
}

fn is_ordered(draft: &Draft<'_>, agent: &str, task: Task, run: u32) -> bool {
    let group: Group = task.group();
    let order = draft.orders.get(&(agent.to_owned(), group));
    order.is_some_and(|order| {
        order.tasks.iter().any(|own| own.index == task.index && own.run == run)
    })
}
