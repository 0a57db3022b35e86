//! Who gets room, and where.

use std::collections::HashMap;

use super::draft::{Draft, OrderKey};
use super::fold::stop;
use super::{Cause, Note, Planner, queue_of, request_of};
use crate::cell::access::Queue;
use crate::cell::health::Trust;
use crate::cell::job::{Group, Id, Request, Room, Step};
use crate::cell::pack::{self, Demand, Places, Slot};
use crate::cell::rank::{Claim, Prospect};
use crate::cell::reclaim::{self, Victim};
use crate::cell::record::{Condition as Readiness, Order, OrderTask, Phase, State, Worker};

/// Processor cores that an accelerator weighs when lost work is compared.
const ACCELERATOR_CORES: u64 = 8;
/// Slack of a job below which it may take room from less urgent ones, in milliseconds: a stop, the
/// ways across regions, and the declared times that are off.
const URGENT_SLACK_MS: i64 = 2_500;
/// Slack of a job above which it leaves empty workers to urgent ones, in milliseconds: longer than
/// a short task runs.
const RELAXED_SLACK_MS: i64 = 6_000;
/// One worker of so many is kept empty for urgent work.
const KEPT_SHARE: usize = 6;
/// Most work that may be lost for a group, as a share of its own work in percent.
const LOSS_PERCENT: u64 = 60;
/// Time that a task loses when it goes on from its checkpoint, in milliseconds: its restart.
const RESUME_MS: u64 = 800;

/// A group that waits for room.
struct Waiting<'a> {
    group: Group,
    request: &'a Request,
    queue: &'a Queue,
    claim: Claim,
}

/// The workers of one service in a round.
struct Pool {
    slots: Vec<Slot>,
    /// What becomes free when the runs that are being stopped have ended, by slot.
    stopping: Vec<Room>,
}

impl Planner {
    /// Places waiting groups in the order of their rank.
    pub(super) fn assign(&mut self, draft: &mut Draft<'_>) {
        let mut pools: HashMap<String, Pool> = HashMap::new();
        let guaranteed = guaranteed(draft);
        for waiting in waiting(draft, &guaranteed) {
            if draft.left() < 8 {
                return;
            }
            let service = waiting.queue.service.clone();
            let pool = pools.entry(service).or_insert_with_key(|name| self.pool(draft, name));
            self.serve(draft, pool, &waiting, &guaranteed);
        }
    }

    /// Places what fits of a group, and takes back room for the rest if it is guaranteed.
    fn serve(
        &mut self,
        draft: &mut Draft<'_>,
        pool: &mut Pool,
        waiting: &Waiting<'_>,
        guaranteed: &HashMap<Id, bool>,
    ) {
        let Waiting { group, request, .. } = *waiting;
        let step = &request.steps[usize::from(group.step)];
        let waits = |draft: &mut Draft<'_>| {
            let tasks = draft.progress(group.job, request).group(request, group);
            tasks.iter().filter(|task| task.phase == Phase::Waiting).count()
        };
        let count = u32::try_from(waits(draft)).unwrap_or(u32::MAX);
        let taken = taken(draft, pool, group);
        let barred = self.barred(pool, group);
        let kept = kept_empty(pool, &waiting.claim);
        let room: Vec<Room> = (0..pool.slots.len())
            .map(|i| if barred[i] || kept[i] { Room::default() } else { pool.slots[i].free })
            .collect();
        let demand = Demand { step, count };
        let places = pack::place(&pool.slots, demand, |i| room[i], |i| taken[i]);
        if let Some(places) = places {
            if draft.left() < places.len() + 2 {
                return;
            }
            for &(index, count) in &places {
                let slot = &mut pool.slots[index];
                slot.free = slot.free - step.claim().times(count);
            }
            self.order(draft, pool, waiting, &places);
        }
        let left = u32::try_from(waits(draft)).unwrap_or(u32::MAX);
        if left > 0 && may_reclaim(&waiting.claim) {
            reclaim(draft, pool, waiting, left, guaranteed, &barred);
        }
    }

    /// Returns which workers a group is not placed on: those that get nothing now, and those
    /// that it failed on. When that leaves none, none is barred.
    fn barred(&self, pool: &Pool, group: Group) -> Vec<bool> {
        let failed = self.failed_on.get(&group);
        let barred = |slot: &Slot| {
            let here = failed.is_some_and(|agents| agents.contains(&slot.agent));
            // A worker that is probed gets its one task while it has nothing else.
            let probing = slot.trust == Trust::Probed && slot.free != slot.capacity;
            here || probing || slot.trust == Trust::Resting
        };
        let barred: Vec<bool> = pool.slots.iter().map(barred).collect();
        if barred.iter().all(|barred| *barred) { vec![false; barred.len()] } else { barred }
    }

    /// Writes the orders of placed tasks.
    fn order(
        &mut self,
        draft: &mut Draft<'_>,
        pool: &Pool,
        waiting: &Waiting<'_>,
        places: &Places,
    ) {
        let Waiting { group, request, claim, .. } = *waiting;
        let step = &request.steps[usize::from(group.step)];
        let input = draft.input;
        let tasks = draft.change_progress(group.job, request).group_mut(request, group);
        let gang_run = tasks.iter().map(|task| task.run).max().unwrap_or(0) + 1;
        let newest = tasks.iter().map(|task| task.checkpoint.clone()).max().unwrap_or_default();
        let mut indices =
            (0_u16..).zip(tasks.iter_mut()).filter(|(_, t)| t.phase == Phase::Waiting);
        let mut orders = Vec::new();
        for &(slot, count) in places {
            let mut tasks_here = Vec::new();
            for (index, task) in indices.by_ref().take(usize::try_from(count).unwrap_or(0)) {
                task.phase = Phase::Ordered;
                task.run = if step.gang { gang_run } else { task.run + 1 };
                if step.gang {
                    task.checkpoint.clone_from(&newest);
                }
                let checkpoint = task.checkpoint.clone();
                tasks_here.push(OrderTask { index, run: task.run, checkpoint, stop: false });
            }
            orders.push((pool.slots[slot].agent.clone(), tasks_here));
        }
        let progress = draft.change_progress(group.job, request);
        if progress.state == State::Queued {
            progress.state = State::Running;
        }
        if step.gang {
            self.ordered.insert(group, input.now);
        }
        for (agent, tasks) in orders {
            let (count, run) = (u32::try_from(tasks.len()).unwrap_or(0), tasks[0].run);
            let waited_ms = input.wall_ms.saturating_sub(claim.accepted_ms);
            let report = input.workers.version(&agent);
            draft.note(Note::Placed { group, agent: agent.clone(), count, run, waited_ms, report });
            add(draft, (agent, group), request, tasks);
        }
    }

    /// Returns the workers of a service that may take work.
    fn pool(&self, draft: &Draft<'_>, service: &str) -> Pool {
        let input = draft.input;
        let mut pool = Pool { slots: Vec::new(), stopping: Vec::new() };
        for (agent, _, worker) in input.workers.iter() {
            let usable = worker.service == service
                && worker.condition == Readiness::Ready
                && !worker.revoked
                && self.is_heard(&input, agent)
                && !runs_unordered(draft, agent, worker);
            if !usable {
                continue;
            }
            let mut used = Room::default();
            let mut stopping = Room::default();
            for ((own, group), order) in &draft.orders {
                if own != agent {
                    continue;
                }
                let need = claim_of(draft, *group, order);
                for task in &order.tasks {
                    used = used + need;
                    if task.stop {
                        stopping = stopping + need;
                    }
                }
            }
            pool.stopping.push(stopping);
            pool.slots.push(Slot {
                agent: agent.to_owned(),
                rack: worker.rack().to_owned(),
                labels: worker.labels.clone(),
                capacity: worker.capacity,
                free: worker.capacity - used,
                trust: self.health.judge(input.now, agent),
            });
        }
        pool
    }
}

/// Returns the waiting groups in the order of their rank.
fn waiting<'a>(draft: &mut Draft<'a>, guaranteed: &HashMap<Id, bool>) -> Vec<Waiting<'a>> {
    let input = draft.input;
    let mut all = Vec::new();
    for id in draft.job_ids() {
        let Some((job, request)) = request_of(input.jobs, id) else {
            continue;
        };
        let queue = queue_of(input.config, job);
        let progress = draft.progress(id, request);
        if job.cancelled || progress.state.is_final() || progress.is_spent(request, queue.attempts)
        {
            continue;
        }
        let covered = guaranteed.get(&id).copied().unwrap_or(false);
        let claim = Claim::new(queue, request, progress, job.accepted_ms, input.wall_ms, covered);
        for group in progress.startable(id, request, input.wall_ms) {
            all.push(Waiting { group, request, queue, claim });
        }
    }
    all.sort_by_key(|waiting| (waiting.claim.key(), waiting.group));
    all
}

/// Returns which unfinished jobs are covered by the guarantees of their workspaces.
fn guaranteed(draft: &mut Draft<'_>) -> HashMap<Id, bool> {
    let input = draft.input;
    let mut urgent = Vec::new();
    for id in draft.job_ids() {
        let Some((job, request)) = request_of(input.jobs, id) else {
            continue;
        };
        let over = job.cancelled || draft.progress(id, request).state.is_final();
        if !over && queue_of(input.config, job).priority == 0 {
            urgent.push((job.accepted_ms, id, job.workspace.as_deref(), widest(request)));
        }
    }
    urgent.sort_unstable();
    let mut used: HashMap<&str, u32> = HashMap::new();
    let mut covered = HashMap::new();
    for (_, id, workspace, need) in urgent {
        let guarantee = workspace.and_then(|name| {
            input.config.workspaces.iter().find(|workspace| workspace.name == name)
        });
        let Some(guarantee) = guarantee else {
            continue;
        };
        let used = used.entry(&guarantee.name).or_default();
        let fits = used.saturating_add(need) <= guarantee.guaranteed;
        if fits {
            *used += need;
        }
        covered.insert(id, fits);
    }
    covered
}

/// Returns the most accelerators that a step of a request takes at once.
fn widest(request: &Request) -> u32 {
    let need = |step: &Step| u32::from(step.width).saturating_mul(step.need.accelerators);
    request.steps.iter().map(need).max().unwrap_or(0)
}

/// Returns what a task of an order counts against its worker's capacity.
fn claim_of(draft: &Draft<'_>, group: Group, order: &Order) -> Room {
    let step = request_of(draft.input.jobs, group.job)
        .and_then(|(_, request)| request.steps.get(usize::from(group.step)));
    step.map_or(order.need, Step::claim)
}

/// Returns whether a worker runs something that it was not ordered to run.
fn runs_unordered(draft: &Draft<'_>, agent: &str, worker: &Worker) -> bool {
    worker.running.iter().any(|run| {
        let order = draft.orders.get(&(agent.to_owned(), run.task.group()));
        !order.is_some_and(|order| order.tasks.iter().any(|task| task.index == run.task.index))
    })
}

/// Returns how many tasks of a group each slot has.
fn taken(draft: &Draft<'_>, pool: &Pool, group: Group) -> Vec<u32> {
    let of = |slot: &Slot| {
        let order = draft.orders.get(&(slot.agent.clone(), group));
        order.map_or(0, |order| u32::try_from(order.tasks.len()).unwrap_or(u32::MAX))
    };
    pool.slots.iter().map(of).collect()
}

/// Adds tasks to the orders of an agent for a group.
fn add(draft: &mut Draft<'_>, key: OrderKey, request: &Request, tasks: Vec<OrderTask>) {
    let input = draft.input;
    let Some(worker) = input.workers.get(&key.0) else {
        return;
    };
    let (life, session) = (worker.life.clone(), worker.session);
    if draft.orders.get(&key).is_some_and(|order| !order.tasks.is_empty())
        && let Some(order) = draft.change_order(&key)
    {
        order.epoch = input.epoch;
        order.tasks.extend(tasks);
        return;
    }
    let need = request.steps[usize::from(key.1.step)].claim();
    let spec = request.spec.clone();
    draft.add_order(key, Order { epoch: input.epoch, life, session, need, spec, tasks });
}

/// Returns which empty workers are kept for urgent work that may come. Answers wide urgent tasks
/// on a busy cell: otherwise each of them would stop many narrow ones. Work with time to spare
/// waits for other room, but not while more than half of the cell is idle.
fn kept_empty(pool: &Pool, claim: &Claim) -> Vec<bool> {
    let mut kept = vec![false; pool.slots.len()];
    let all: u32 = pool.slots.iter().map(|slot| slot.capacity.accelerators).sum();
    let free: u32 = pool.slots.iter().map(|slot| slot.free.accelerators).sum();
    let relaxed = claim.priority > 0 && !claim.guaranteed && claim.slack_ms > RELAXED_SLACK_MS;
    if !relaxed || 2 * free > all {
        return kept;
    }
    let most = pool.slots.len().div_ceil(KEPT_SHARE);
    let empty = |i: &usize| pool.slots[*i].free == pool.slots[*i].capacity;
    for index in (0..pool.slots.len()).filter(empty).take(most) {
        kept[index] = true;
    }
    kept
}

/// Returns whether a group may take room from others: under a guarantee, or because it would
/// miss its objective if it waited for a stop any longer.
fn may_reclaim(claim: &Claim) -> bool {
    claim.guaranteed || (claim.prospect == Prospect::InTime && claim.slack_ms < URGENT_SLACK_MS)
}

/// Stops what has less of a claim, and keeps the room until the group can be placed.
fn reclaim(
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
    let coming: Vec<Room> = (0..pool.slots.len())
        .map(|i| if barred[i] { Room::default() } else { pool.slots[i].free + pool.stopping[i] })
        .collect();
    let all_placed = |places: &Places| places.iter().map(|(_, count)| count).sum::<u32>() == count;
    let places = pack::place(&pool.slots, demand, |i| coming[i], |i| taken[i]);
    if let Some(places) = places.filter(all_placed) {
        keep(pool, step, &places);
        return;
    }
    let candidates: Vec<Vec<Victim>> = (0..pool.slots.len())
        .map(|i| {
            let all = candidates(draft, &pool.slots[i].agent, waiting, guaranteed);
            if barred[i] { Vec::new() } else { all }
        })
        .collect();
    let Some((loss, places)) = cheapest(pool, demand, &taken, &coming, &candidates) else {
        return;
    };
    if !waiting.claim.guaranteed && loss > own_work(step, count) * LOSS_PERCENT / 100 {
        return;
    }
    for &(index, count) in &places {
        let need = step.claim().times(count);
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

/// Returns the places for which least work is lost, and that loss. A gang that wants one rack is
/// tried on each rack by itself.
fn cheapest(
    pool: &Pool,
    demand: Demand<'_>,
    taken: &[u32],
    coming: &[Room],
    candidates: &[Vec<Victim>],
) -> Option<(u64, Places)> {
    let need = demand.step.claim();
    let could = |i: usize| candidates[i].iter().fold(coming[i], |room, victim| room + victim.room);
    let loss = |index: usize, count: u32| {
        let chosen = reclaim::victims(coming[index], need.times(count), &candidates[index]);
        chosen.map(|victims| victims.iter().map(|victim| victim.loss).sum::<u64>())
    };
    let total = |places: &Places| -> Option<u64> {
        places.iter().map(|&(index, count)| loss(index, count)).sum()
    };
    let mut racks: Vec<&str> = pool.slots.iter().map(|slot| &*slot.rack).collect();
    racks.sort_unstable();
    racks.dedup();
    let on_rack =
        racks.iter().filter(|_| demand.step.gang && demand.step.one_rack).filter_map(|rack| {
            let room =
                |i: usize| if pool.slots[i].rack == *rack { could(i) } else { Room::default() };
            pack::place(&pool.slots, demand, room, |i| taken[i])
        });
    // Elsewhere, the workers where one task costs least come first.
    let mut order: Vec<(u64, usize)> =
        (0..pool.slots.len()).filter_map(|i| Some((loss(i, 1)?, i))).collect();
    order.sort_unstable();
    let limits = (1..=order.len()).map(|most| {
        let among = &order[..most];
        let room = |i: usize| {
            if among.iter().any(|(_, index)| *index == i) { could(i) } else { Room::default() }
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

/// Returns the core-milliseconds of the tasks of a step.
fn own_work(step: &Step, count: u32) -> u64 {
    cores(step) * u64::from(step.estimate_ms) * u64::from(count)
}

/// Keeps room that is free, or about to be, from all that ranks lower.
fn keep(pool: &mut Pool, step: &Step, places: &Places) {
    for &(index, count) in places {
        let need = step.claim().times(count);
        let beyond = need - pool.slots[index].free;
        pool.slots[index].free = pool.slots[index].free - need;
        pool.stopping[index] = pool.stopping[index] - beyond;
    }
}

/// Returns the tasks on a worker that may be stopped for a group.
fn candidates(
    draft: &Draft<'_>,
    agent: &str,
    waiting: &Waiting<'_>,
    guaranteed: &HashMap<Id, bool>,
) -> Vec<Victim> {
    let input = draft.input;
    let Some(worker) = input.workers.get(agent) else {
        return Vec::new();
    };
    let mut victims = Vec::new();
    for ((own, group), order) in &draft.orders {
        let Some((job, request)) = request_of(input.jobs, group.job) else {
            continue;
        };
        let covered = guaranteed.get(&group.job).copied().unwrap_or(false);
        let priority = queue_of(input.config, job).priority;
        let lower = !covered
            && if waiting.claim.guaranteed {
                priority >= waiting.queue.priority
            } else {
                priority > waiting.queue.priority
            };
        let step = request.steps.get(usize::from(group.step));
        let (true, true, Some(step)) = (own == agent, lower, step) else {
            continue;
        };
        for task in order.tasks.iter().filter(|task| !task.stop) {
            let id = group.task(task.index);
            let running = worker.running.iter().find(|run| run.task == id);
            let percent = u64::from(running.map_or(0, |running| running.percent));
            // Work that was moved before is moved again last.
            let loss = loss(step, percent) * u64::from(task.run);
            victims.push(Victim { task: id, room: step.claim(), loss });
        }
    }
    victims
}

/// Returns the cores of a task of a step, its accelerators among them.
fn cores(step: &Step) -> u64 {
    u64::from(step.need.millicores) / 1_000 + u64::from(step.need.accelerators) * ACCELERATOR_CORES
}

/// Returns the core-milliseconds that are lost if a task of a step is stopped; for a gang those
/// of all members.
fn loss(step: &Step, percent: u64) -> u64 {
    let cores = cores(step);
    let members = if step.gang { u64::from(step.width) } else { 1 };
    if step.checkpoints {
        return cores * RESUME_MS * members;
    }
    cores * u64::from(step.estimate_ms) * percent / 100 * members
}
