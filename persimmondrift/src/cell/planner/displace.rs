//! Preemption: stops running tasks to make room for a waiting group.

use std::collections::{BTreeSet, HashMap};

use super::draft::Draft;
use super::fold::stop;
use super::place::{PendingGroup, Pool, assigned};
use super::{Cause, queue_of, request_of};
use crate::cell::job::{Group, Id, Resources, Step};
use crate::cell::pack::{self, Demand, Placement};
use crate::cell::rank::Rank;
use crate::cell::reclaim::{self, StopCost, Victim};
use crate::cell::record::{Order, Progress, progress_key};

/// Stops tasks of lower rank so that `count` tasks of a group fit, and holds the freed resources
/// until the group can be placed. Stops nothing if the stops under way suffice or, without a
/// guarantee, if more would be lost than gained.
pub(super) fn preempt(
    draft: &mut Draft<'_>,
    pool: &mut Pool,
    pending: &PendingGroup<'_>,
    count: u32,
    guaranteed: &HashMap<Id, bool>,
    excluded: &[bool],
) {
    let step = &pending.request.steps[usize::from(pending.group.step)];
    let demand = Demand { step, count };
    let assigned = assigned(draft, pool, pending.group);
    let expected_free = |pool: &Pool, i: usize| {
        if excluded[i] { Resources::default() } else { pool.expected_free(i, Resources::default()) }
    };
    let all_placed =
        |placement: &Placement| placement.iter().map(|(_, count)| count).sum::<u32>() == count;
    let placement = pack::place(&pool.slots, demand, |i| expected_free(pool, i), |i| assigned[i]);
    if let Some(placement) = placement.filter(all_placed) {
        hold_room(pool, step, &placement);
        return;
    }
    let mut by_agent = candidates(draft, pending, guaranteed);
    let candidates: Vec<Vec<Victim>> = (0..pool.slots.len())
        .map(|i| by_agent.remove(&pool.slots[i].agent).filter(|_| !excluded[i]).unwrap_or_default())
        .collect();
    let Some((loss, placement)) =
        cheapest_placement(pool, demand, &assigned, excluded, &candidates)
    else {
        return;
    };
    let own = reclaim::work(step, u64::from(count));
    if !pending.rank.guaranteed && loss > reclaim::gain(&pending.rank, own) {
        return;
    }
    for &(index, count) in &placement {
        let need = step.effective_need().times(count);
        let chosen = select_victims(pool, index, need, &candidates[index]);
        for victim in chosen.unwrap_or_default() {
            pool.release(index, victim.room);
            stop(draft, victim.task, Cause::Reclaimed);
        }
    }
    hold_room(pool, step, &placement);
}

/// Returns the placement that loses least work, and its loss. For a gang that wants one rack,
/// each rack is also tried by itself.
fn cheapest_placement(
    pool: &Pool,
    demand: Demand<'_>,
    assigned: &[u32],
    excluded: &[bool],
    candidates: &[Vec<Victim>],
) -> Option<(u64, Placement)> {
    let need = demand.step.effective_need();
    let reclaimable = |i: usize| {
        let all =
            candidates[i].iter().fold(Resources::default(), |room, victim| room + victim.room);
        if excluded[i] { Resources::default() } else { pool.expected_free(i, all) }
    };
    let chosen = |index: usize, count: u32| {
        let allowed = !excluded[index];
        allowed.then(|| select_victims(pool, index, need.times(count), &candidates[index]))?
    };
    let total_loss = |placement: &Placement| -> Option<u64> {
        let mut gangs = BTreeSet::new();
        let mut sum = 0_u64;
        for &(index, count) in placement {
            let loss = reclaim::total_loss(&chosen(index, count)?, &mut gangs);
            sum = sum.saturating_add(loss);
        }
        Some(sum)
    };
    let mut racks: Vec<&str> = pool.slots.iter().map(|slot| &*slot.rack).collect();
    racks.sort_unstable();
    racks.dedup();
    let on_rack =
        racks.iter().filter(|_| demand.step.gang && demand.step.one_rack).filter_map(|rack| {
            let room = |i: usize| {
                if pool.slots[i].rack == *rack { reclaimable(i) } else { Resources::default() }
            };
            pack::place(&pool.slots, demand, room, |i| assigned[i])
        });
    // The workers on which room for one task costs least are tried too, one more each time.
    let cost = |index: usize| {
        chosen(index, 1).map(|victims| reclaim::total_loss(&victims, &mut BTreeSet::new()))
    };
    let mut order: Vec<(u64, usize)> =
        (0..pool.slots.len()).filter_map(|i| Some((cost(i)?, i))).collect();
    order.sort_unstable();
    let on_cheapest = (1..=order.len()).map(|limit| {
        let cheapest = &order[..limit];
        let room = |i: usize| {
            if cheapest.iter().any(|(_, index)| *index == i) {
                reclaimable(i)
            } else {
                Resources::default()
            }
        };
        pack::place(&pool.slots, demand, room, |i| assigned[i])
    });
    let complete = |placement: &Placement| {
        placement.iter().map(|(_, count)| count).sum::<u32>() == demand.count
    };
    let fitting = on_rack.chain(on_cheapest.flatten()).filter(complete);
    let best = fitting
        .filter_map(|placement| Some((total_loss(&placement)?, placement)))
        .min_by_key(|(l, _)| *l);
    // Tasks that are not a gang are placed as far as they fit.
    best.or_else(|| {
        let placement = pack::place(&pool.slots, demand, reclaimable, |i| assigned[i])?;
        Some((total_loss(&placement)?, placement))
    })
}

/// Returns the runs to stop on a slot so that `need` fits there; `None` if it cannot fit.
fn select_victims(
    pool: &Pool,
    index: usize,
    need: Resources,
    candidates: &[Victim],
) -> Option<Vec<Victim>> {
    let free = pool.slots[index].free + pool.stopping[index];
    reclaim::select_victims(free, need + pool.excess[index], candidates)
}

/// Withholds resources that are free or about to be from groups that are placed later.
fn hold_room(pool: &mut Pool, step: &Step, placement: &Placement) {
    for &(index, count) in placement {
        let need = step.effective_need().times(count);
        let beyond = need - pool.slots[index].free;
        pool.slots[index].free = pool.slots[index].free - need;
        pool.stopping[index] = pool.stopping[index] - beyond;
    }
}

/// Returns the tasks that a group may preempt, by agent.
fn candidates(
    draft: &Draft<'_>,
    pending: &PendingGroup<'_>,
    guaranteed: &HashMap<Id, bool>,
) -> HashMap<String, Vec<Victim>> {
    let mut by_agent: HashMap<String, Vec<Victim>> = HashMap::new();
    for ((agent, group), order) in &draft.orders {
        let victims = victims_of(draft, agent, *group, order, pending, guaranteed);
        if !victims.is_empty() {
            by_agent.entry(agent.clone()).or_default().extend(victims);
        }
    }
    by_agent
}

/// Returns the tasks of an order that a group may preempt.
fn victims_of(
    draft: &Draft<'_>,
    agent: &str,
    group: Group,
    order: &Order,
    pending: &PendingGroup<'_>,
    guaranteed: &HashMap<Id, bool>,
) -> Vec<Victim> {
    let input = draft.input;
    let known = request_of(input.jobs, group.job).and_then(|(job, request)| {
        Some((job, request, request.steps.get(usize::from(group.step))?))
    });
    let (Some((job, request, step)), Some(worker)) = (known, input.workers.get(agent)) else {
        return Vec::new();
    };
    let covered = guaranteed.get(&group.job).copied().unwrap_or(false);
    let queue = queue_of(input.config, job);
    let ranks_lower = if pending.rank.guaranteed {
        queue.priority >= pending.queue.priority
    } else {
        queue.priority > pending.queue.priority
    };
    if covered || !ranks_lower {
        return Vec::new();
    }
    let known = input.jobs.progress.get(&progress_key(group.job));
    let new = known.is_none().then(|| Progress::new(request));
    let Some(progress) = known.or(new.as_ref()) else {
        return Vec::new();
    };
    let rank = Rank::new(queue, request, progress, job.accepted_ms, input.wall_ms, false);
    let unstopped = order.tasks.iter().filter(|task| !task.stop);
    let victim = |task: &crate::cell::record::OrderTask| {
        let id = group.task(task.index);
        let running = worker.running.iter().find(|run| run.task == id && run.run == task.run);
        let percent = running.map_or(0, |running| running.percent);
        let loss = StopCost { rank, step, percent, run: task.run }.loss();
        Victim { task: id, room: step.effective_need(), loss, gang: step.gang }
    };
    unstopped.map(victim).collect()
}
