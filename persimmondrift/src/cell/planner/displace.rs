//! Room that is taken back for a waiting group.

use std::collections::{BTreeSet, HashMap};

use super::draft::Draft;
use super::fold::stop;
use super::place::{Pool, Waiting, taken};
use super::{Cause, queue_of, request_of};
use crate::cell::job::{Group, Id, Resources, Step};
use crate::cell::pack::{self, Demand, Places};
use crate::cell::rank::Claim;
use crate::cell::reclaim::{self, Stake, Victim};
use crate::cell::record::{Order, Progress, progress_key};

/// Stops what has less of a claim, and keeps the room until the group can be placed.
pub(super) fn displace(
    draft: &mut Draft<'_>,
    pool: &mut Pool,
    waiting: &Waiting<'_>,
    count: u32,
    guaranteed: &HashMap<Id, bool>,
    barred: &[bool],
) {
    let step = &waiting.request.steps[usize::from(waiting.group.step)];
    let demand = Demand { step, count };
    let taken = taken(draft, pool, waiting.group);
    let coming: Vec<Resources> =
        (0..pool.slots.len())
            .map(|i| {
                if barred[i] { Resources::default() } else { pool.slots[i].free + pool.stopping[i] }
            })
            .collect();
    let all_placed = |places: &Places| places.iter().map(|(_, count)| count).sum::<u32>() == count;
    let places = pack::place(&pool.slots, demand, |i| coming[i], |i| taken[i]);
    if let Some(places) = places.filter(all_placed) {
        keep(pool, step, &places);
        return;
    }
    let mut by_agent = candidates(draft, waiting, guaranteed);
    let candidates: Vec<Vec<Victim>> = (0..pool.slots.len())
        .map(|i| by_agent.remove(&pool.slots[i].agent).filter(|_| !barred[i]).unwrap_or_default())
        .collect();
    let Some((loss, places)) = cheapest(pool, demand, &taken, &coming, &candidates) else {
        return;
    };
    let own = reclaim::work(step, u64::from(count));
    if !waiting.claim.guaranteed && loss > reclaim::gain(&waiting.claim, own) {
        return;
    }
    for &(index, count) in &places {
        let need = step.effective_need().times(count);
        let chosen = reclaim::victims(coming[index], need, &candidates[index]);
        for victim in chosen.unwrap_or_default() {
            if draft.left() < 4 {
                return;
            }
            pool.stopping[index] = pool.stopping[index] + victim.room;
            stop(draft, victim.task, Cause::Reclaimed);
        }
    }
    keep(pool, step, &places);
}

/// Returns the places for which least is lost, and that loss. A gang that wants one rack is
/// tried on each rack by itself.
fn cheapest(
    pool: &Pool,
    demand: Demand<'_>,
    taken: &[u32],
    coming: &[Resources],
    candidates: &[Vec<Victim>],
) -> Option<(u64, Places)> {
    let need = demand.step.effective_need();
    let could = |i: usize| candidates[i].iter().fold(coming[i], |room, victim| room + victim.room);
    let chosen = |index: usize, count: u32| {
        reclaim::victims(coming[index], need.times(count), &candidates[index])
    };
    let total = |places: &Places| -> Option<u64> {
        let mut gangs = BTreeSet::new();
        let mut sum = 0;
        for &(index, count) in places {
            sum += reclaim::total(&chosen(index, count)?, &mut gangs);
        }
        Some(sum)
    };
    let mut racks: Vec<&str> = pool.slots.iter().map(|slot| &*slot.rack).collect();
    racks.sort_unstable();
    racks.dedup();
    let on_rack =
        racks.iter().filter(|_| demand.step.gang && demand.step.one_rack).filter_map(|rack| {
            let room = |i: usize| {
                if pool.slots[i].rack == *rack { could(i) } else { Resources::default() }
            };
            pack::place(&pool.slots, demand, room, |i| taken[i])
        });
    // Elsewhere, the workers where one task costs least come first.
    let cost = |index: usize| {
        chosen(index, 1).map(|victims| reclaim::total(&victims, &mut BTreeSet::new()))
    };
    let mut order: Vec<(u64, usize)> =
        (0..pool.slots.len()).filter_map(|i| Some((cost(i)?, i))).collect();
    order.sort_unstable();
    let limits = (1..=order.len()).map(|most| {
        let among = &order[..most];
        let room = |i: usize| {
            if among.iter().any(|(_, index)| *index == i) { could(i) } else { Resources::default() }
        };
        pack::place(&pool.slots, demand, room, |i| taken[i])
    });
    let whole =
        |places: &Places| places.iter().map(|(_, count)| count).sum::<u32>() == demand.count;
    let fitting = on_rack.chain(limits.flatten()).filter(whole);
    let best = fitting.filter_map(|places| Some((total(&places)?, places))).min_by_key(|(l, _)| *l);
    // Tasks that need no others are placed as far as they fit.
    best.or_else(|| {
        let places = pack::place(&pool.slots, demand, could, |i| taken[i])?;
        Some((total(&places)?, places))
    })
}

/// Keeps room that is free, or about to be, from all that ranks lower.
fn keep(pool: &mut Pool, step: &Step, places: &Places) {
    for &(index, count) in places {
        let need = step.effective_need().times(count);
        let beyond = need - pool.slots[index].free;
        pool.slots[index].free = pool.slots[index].free - need;
        pool.stopping[index] = pool.stopping[index] - beyond;
    }
}

/// Returns the tasks that may be stopped for a group, by agent.
fn candidates(
    draft: &Draft<'_>,
    waiting: &Waiting<'_>,
    guaranteed: &HashMap<Id, bool>,
) -> HashMap<String, Vec<Victim>> {
    let mut by_agent: HashMap<String, Vec<Victim>> = HashMap::new();
    for ((agent, group), order) in &draft.orders {
        let victims = victims_of(draft, agent, *group, order, waiting, guaranteed);
        if !victims.is_empty() {
            by_agent.entry(agent.clone()).or_default().extend(victims);
        }
    }
    by_agent
}

/// Returns the tasks of an order that may be stopped for a group.
fn victims_of(
    draft: &Draft<'_>,
    agent: &str,
    group: Group,
    order: &Order,
    waiting: &Waiting<'_>,
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
    let lower = if waiting.claim.guaranteed {
        queue.priority >= waiting.queue.priority
    } else {
        queue.priority > waiting.queue.priority
    };
    if covered || !lower {
        return Vec::new();
    }
    let known = input.jobs.progress.get(&progress_key(group.job));
    let new = known.is_none().then(|| Progress::new(request));
    let Some(progress) = known.or(new.as_ref()) else {
        return Vec::new();
    };
    let claim = Claim::new(queue, request, progress, job.accepted_ms, input.wall_ms, false);
    let open = order.tasks.iter().filter(|task| !task.stop);
    let victim = |task: &crate::cell::record::OrderTask| {
        let id = group.task(task.index);
        let running = worker.running.iter().find(|run| run.task == id && run.run == task.run);
        let percent = running.map_or(0, |running| running.percent);
        let loss = Stake { claim, step, percent, run: task.run }.loss();
        Victim { task: id, room: step.effective_need(), loss, gang: step.gang }
    };
    open.map(victim).collect()
}
