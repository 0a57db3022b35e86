//! Jobs of which a worker has started a task. An order shows nothing of the kind: it may be refused, or
//! its agent may be gone.

use std::collections::{BTreeSet, HashMap};

use super::draft::Draft;
use super::request_of;
use crate::cell::job::{Group, Id};
use crate::cell::record::{self, Order, State, Worker};

/// Records the first starts that the agents' reports show.
pub(super) fn record_starts(draft: &mut Draft<'_>) {
    let input = draft.input;
    let mut queued: HashMap<Id, bool> = HashMap::new();
    let mut is_queued = |id: Id| {
        *queued.entry(id).or_insert_with(|| {
            let progress = input.jobs.progress.get(&record::progress_key(id));
            progress.is_none_or(|progress| progress.state == State::Queued)
        })
    };
    let orders = draft.orders.iter().filter(|((agent, group), order)| {
        is_queued(group.job)
            && input.workers.get(agent).is_some_and(|worker| has_started(worker, *group, order))
    });
    let begun: BTreeSet<Id> = orders.map(|((_, group), _)| group.job).collect();
    for id in begun {
        if draft.is_full() {
            return;
        }
        if let Some((_, request)) = request_of(input.jobs, id) {
            draft.progress_mut(id, request).record_start();
        }
    }
}

/// Returns whether a worker runs a task that an order names.
fn has_started(worker: &Worker, group: Group, order: &Order) -> bool {
    order.tasks.iter().any(|task| worker.run_of(group.task(task.index), task.run).is_some())
}
