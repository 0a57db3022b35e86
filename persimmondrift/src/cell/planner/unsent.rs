//! Tasks whose run was counted but never ordered, since the holder of the role ended in between.

use std::collections::BTreeSet;

use super::draft::Draft;
use super::{Basis, Decision, request_of};
use crate::cell::job::{Group, Id, Request, Task};
use crate::cell::mirror::{Jobs, Mirror};
use crate::cell::record::{self, Ending, JOB_PREFIX, Order, Phase, Progress};
use crate::unit::Version;

/// Runs that orders hold.
type Runs = BTreeSet<(Task, u32)>;

/// Returns the unfinished jobs with a task whose run no order holds.
#[must_use]
pub fn unsent_jobs(jobs: &Jobs, orders: &Mirror<Order>) -> Vec<Id> {
    let ordered: Runs = orders
        .iter()
        .filter_map(|(key, _, order)| Some(runs(record::parse_order_key(key)?.1, order)))
        .flatten()
        .collect();
    let ids =
        jobs.accepted.iter().filter_map(|(key, _, _)| key.strip_prefix(JOB_PREFIX)?.parse().ok());
    ids.filter(|id| {
        let request = request_of(jobs, *id).map(|(_, request)| request);
        let progress = jobs.progress.get(&record::progress_key(*id));
        request
            .zip(progress)
            .is_some_and(|(request, progress)| !unsent(*id, request, progress, &ordered).is_empty())
    })
    .collect()
}

/// Returns unsent tasks to the waiting ones. Their run numbers stay used.
pub(super) fn release(draft: &mut Draft<'_>) {
    let ordered: Runs =
        draft.orders.iter().flat_map(|((_, group), order)| runs(*group, order)).collect();
    for id in draft.job_ids() {
        let Some((_, request)) = request_of(draft.input.jobs, id) else {
            continue;
        };
        let unsent = unsent(id, request, draft.progress(id, request), &ordered);
        for (task, run) in unsent {
            let tasks = draft.progress_mut(id, request).group_mut(request, task.group());
            tasks[usize::from(task.index)].phase = Phase::Waiting;
            let (agent, ending) = ("none".to_owned(), Ending::Refused);
            draft.add_decision(Decision::Ended {
                task,
                run,
                agent,
                ending,
                basis: Basis::Unsent,
                report: Version(0),
                report_age_ms: 0,
            });
        }
    }
}

fn runs(group: Group, order: &Order) -> impl Iterator<Item = (Task, u32)> {
    order.tasks.iter().map(move |task| (group.task(task.index), task.run))
}

/// Returns the ordered runs of an unfinished job that no order holds.
fn unsent(id: Id, request: &Request, progress: &Progress, ordered: &Runs) -> Vec<(Task, u32)> {
    if progress.state.is_final() || progress.tasks.iter().all(|task| task.phase != Phase::Ordered) {
        return Vec::new();
    }
    let mut unsent = Vec::new();
    for occurrence in 0..request.occurrences() {
        for (step, _) in (0_u16..).zip(&request.steps) {
            let group = Group { job: id, occurrence, step };
            let tasks = (0_u16..).zip(progress.group(request, group));
            let counted = tasks
                .filter(|(_, task)| task.phase == Phase::Ordered)
                .map(|(index, task)| (group.task(index), task.run));
            unsent.extend(counted.filter(|run| !ordered.contains(run)));
        }
    }
    unsent
}
