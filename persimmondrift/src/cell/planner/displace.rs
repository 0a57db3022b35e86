//! Preemption: stops running tasks to make room for a waiting group.

use std::collections::{BTreeSet, HashMap};

use super::draft::Draft;
use super::fold::stop;
use super::place::{Coverage, PendingGroup, Pool, assigned};
use super::{Cause, Claim, Planner, request_of};
use crate::cell::job::{Group, Id, Resources, Step};
use crate::cell::pack::{self, Demand, Placement};
use crate::cell::rank::{Rank, Timeliness};
use crate::cell::reclaim::{self, StopCost, Victim};
use crate::cell::record::{Order, Progress, progress_key};

/// Maximum number of groups in a round for which room is held until runs end by themselves.
const MAX_WAITING_HOLDS: usize = 16;
/// Times within which runs may end so that room is held for a group that waits, in milliseconds.
const AWAIT_MS: [u64; 4] = [0, 1_000, 2_000, 4_000];

impl Planner {
    /// Stops tasks of lower rank so that `count` tasks of a group fit, and holds the freed resources
    /// until the group can be placed. Stops nothing if the stops under way and the runs that end soon
    /// suffice or, without a guarantee, if more would be lost than gained. Returns whether room is held
    /// for the group.
    pub(super) fn preempt(
        &mut self,
        draft: &mut Draft<'_>,
        pool: &mut Pool,
        pending: &PendingGroup<'_>,
        count: u32,
        coverage: &HashMap<Id, Coverage>,
        excluded: &[bool],
    ) -> bool {
        let step = &pending.request.steps[usize::from(pending.group.step)];
        let demand = Demand { step, count };
        let assigned = assigned(draft, pool, pending.group);
        let patience_ms = reclaim::patience_ms(&pending.rank, pending.rank.age_ms);
        for within_ms in [0, patience_ms] {
            if let Some(placement) = placement_within(pool, demand, &assigned, excluded, within_ms)
            {
                hold_room(pool, step, &placement);
                return true;
            }
        }
        let mut by_agent = candidates(draft, pending, coverage);
        let candidates: Vec<Vec<Victim>> = (0..pool.slots.len())
            .map(|i| {
                by_agent.remove(&pool.slots[i].agent).filter(|_| !excluded[i]).unwrap_or_default()
            })
            .collect();
        let Some((loss, placement)) =
            cheapest_placement(pool, demand, &assigned, excluded, &candidates)
        else {
            return false;
        };
        let own = reclaim::work(step, u64::from(count));
        if !pending.rank.guaranteed && loss > reclaim::gain(&pending.rank, own) {
            return false;
        }
        for &(index, count) in &placement {
            let need = step.effective_need().times(count);
            let chosen = select_victims(pool, index, need, &candidates[index]);
            for victim in chosen.unwrap_or_default() {
                pool.release(index, victim.room);
                if victim.priority > pending.rank.priority {
                    let pressure = self.pressures.entry(pending.queue.service.clone()).or_default();
                    pressure.record_claim(draft.input.now, pending.rank.priority, victim.room);
                }
                let Victim { percent, loss, .. } = victim;
                let claim = Claim { group: pending.group, rank: pending.rank, percent, loss };
                stop(draft, victim.task, Cause::Reclaimed, Some(claim));
            }
        }
        hold_room(pool, step, &placement);
        true
    }
}

/// Withholds the room that a group waits for from groups of lower rank, if it is expected to be free
/// soon without a stop. Otherwise they would take it, and be stopped for the group.
pub(super) fn await_room(
    draft: &Draft<'_>,
    pool: &mut Pool,
    pending: &PendingGroup<'_>,
    count: u32,
    excluded: &[bool],
) {
    if pending.rank.timeliness == Timeliness::TooLate
        || pool.waiting_holds >= MAX_WAITING_HOLDS
        || pool.long_running_waits
        || !pool.is_busy()
    {
        return;
    }
    let step = &pending.request.steps[usize::from(pending.group.step)];
    let assigned = assigned(draft, pool, pending.group);
    let demand = Demand { step, count };
    let placement = AWAIT_MS
        .iter()
        .find_map(|within_ms| placement_within(pool, demand, &assigned, excluded, *within_ms));
    if let Some(placement) = placement {
        pool.waiting_holds += 1;
        hold_room(pool, step, &placement);
    }
}

/// Returns a placement of all tasks on the room that is expected to be free within a time without
/// further stops.
fn placement_within(
    pool: &Pool,
    demand: Demand<'_>,
    assigned: &[u32],
    excluded: &[bool],
    within_ms: u64,
) -> Option<Placement> {
    let room = |i: usize| {
        if excluded[i] { Resources::default() } else { pool.expected_within(i, within_ms) }
    };
    let placement = pack::place(&pool.slots, demand, room, |i| assigned[i])?;
    let placed: u32 = placement.iter().map(|(_, count)| count).sum();
    (placed == demand.count).then_some(placement)
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
pub(super) fn hold_room(pool: &mut Pool, step: &Step, placement: &Placement) {
    for &(index, count) in placement {
        let need = step.effective_need().times(count);
        let before = pool.slots[index].free;
        let beyond = need - before;
        pool.slots[index].free = before - need;
        pool.held[index] = pool.held[index] + (before - pool.slots[index].free);
        let mut left = beyond - pool.stopping[index];
        pool.stopping[index] = pool.stopping[index] - beyond;
        for (_, room) in &mut pool.ending[index] {
            let taken = left;
            left = left - *room;
            *room = *room - taken;
        }
    }
}

/// Returns the tasks that a group may preempt, by agent.
fn candidates(
    draft: &Draft<'_>,
    pending: &PendingGroup<'_>,
    coverage: &HashMap<Id, Coverage>,
) -> HashMap<String, Vec<Victim>> {
    let mut by_agent: HashMap<String, Vec<Victim>> = HashMap::new();
    for ((agent, group), order) in &draft.orders {
        let victims = victims_of(draft, agent, *group, order, pending, coverage);
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
    coverage: &HashMap<Id, Coverage>,
) -> Vec<Victim> {
    let input = draft.input;
    let known = request_of(input.jobs, group.job).and_then(|(job, request)| {
        Some((job, request, request.steps.get(usize::from(group.step))?))
    });
    let (Some((job, request, step)), Some(worker)) = (known, input.workers.get(agent)) else {
        return Vec::new();
    };
    let covered = coverage.get(&group.job).is_some_and(|coverage| coverage.covered);
    // A workspace that asks for more than its guarantee has no claim on others of its priority.
    let claims = coverage.get(&pending.group.job).is_some_and(|own| own.covered && own.whole);
    let queue = draft.queue_of(job);
    let ranks_lower = if claims {
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
    let rank = Rank::new(queue, request, progress, input.age_ms(job), false);
    let unstopped = order.tasks.iter().filter(|task| !task.stop);
    let victim = |task: &crate::cell::record::OrderTask| {
        let id = group.task(task.index);
        let running = worker.run_of(id, task.run);
        let percent = running.map_or(0, |running| running.percent);
        let loss = StopCost { rank, step, percent, run: task.run }.loss();
        Victim {
            task: id,
            room: step.effective_need(),
            priority: queue.priority,
            percent,
            loss,
            gang: step.gang,
        }
    };
    unstopped.map(victim).collect()
}
