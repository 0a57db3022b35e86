//! Placement: assigns waiting groups to workers in the order of their rank, and writes the orders.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

use super::displace::await_room;
use super::draft::{Draft, OrderKey};
use super::evacuate::hold_moves;
use super::observe::Unusable;
use super::suspect::{Waiting, Watch};
use super::{Decision, Planner, request_of};
use crate::cell::access::Queue;
use crate::cell::evacuation::Pacing;
use crate::cell::health::Trust;
use crate::cell::job::{Group, Id, Request, Resources, Step, Task};
use crate::cell::pack::{self, Demand, Placement, Slot};
use crate::cell::pressure;
use crate::cell::rank::Rank;
use crate::cell::reclaim;
use crate::cell::record::{Condition as Readiness, Order, OrderTask, Phase, TaskProgress, Worker};
use crate::cell::reserve;

/// Share of a service's capacity in use from which on free room is withheld from groups, in percent.
/// Below, all that fits is placed at once.
const BUSY_PERCENT: u64 = 50;

/// A group with tasks that wait to be placed.
pub(super) struct PendingGroup<'a> {
    pub group: Group,
    pub request: &'a Request,
    pub queue: &'a Queue,
    pub rank: Rank,
    /// Whether a gang that wants one rack may be placed on several.
    pub may_split: bool,
}

/// The workers of one service that may take work in this round.
pub(super) struct Pool {
    pub slots: Vec<Slot>,
    /// Resources that become free when the runs that are being stopped have ended, by slot.
    pub stopping: Vec<Resources>,
    /// Resources that become free when runs end by themselves, with the expected time until then in
    /// milliseconds, by slot.
    pub ending: Vec<Vec<(u64, Resources)>>,
    /// Free resources that are held for groups that wait, by slot.
    pub held: Vec<Resources>,
    /// Number of groups that room is held for until runs end by themselves.
    pub waiting_holds: usize,
    /// Workers of the service that may take no work.
    pub unusable: Unusable,
    /// Share of the capacity that is in use, in percent.
    pub used_percent: u64,
    /// Whether a group waits whose tasks run until their job is cancelled.
    pub long_running_waits: bool,
    /// Resources by which the runs that are not being stopped exceed the capacity, by slot. Nothing
    /// is free on such a worker.
    pub excess: Vec<Resources>,
    /// Suspects that may still crash the worker that starts them.
    pub watch: Watch,
    /// Limits of the starts in zones that were returned to service.
    pub pacing: Pacing,
}

/// Workers that a group is not placed on although it may fit, by slot.
pub(super) struct Closed {
    /// Workers that are not trusted, and those that the group has failed on.
    pub excluded: Vec<bool>,
    /// Workers that are kept empty for urgent work.
    pub reserved: Vec<bool>,
    /// Workers whose free resources are kept for groups that have claimed such recently.
    pub claimed: Vec<bool>,
}

impl Closed {
    /// Returns whether a worker is closed for any reason, by slot.
    pub fn any(&self) -> Vec<bool> {
        let either = |(own, other): (&bool, &bool)| *own || *other;
        let withheld = self.reserved.iter().zip(&self.claimed).map(either);
        self.excluded.iter().zip(withheld).map(|(own, other)| *own || other).collect()
    }
}

impl Pool {
    /// Returns whether so much is in use that free room is withheld from some groups for others.
    pub fn is_busy(&self) -> bool {
        self.used_percent >= BUSY_PERCENT
    }

    /// Returns the resources of a slot that are free once the runs that are being stopped have
    /// ended, and further ones that use `released`.
    pub fn expected_free(&self, index: usize, released: Resources) -> Resources {
        let excess = self.excess[index];
        if !released.holds(excess) {
            return Resources::default();
        }
        self.slots[index].free + self.stopping[index] + (released - excess)
    }

    /// Returns the resources of a slot that are free once the runs that are being stopped have
    /// ended, and those that are expected to end within a time.
    pub fn expected_within(&self, index: usize, within_ms: u64) -> Resources {
        let ending = self.ending[index].iter().filter(|(left_ms, _)| *left_ms <= within_ms);
        self.expected_free(index, ending.fold(Resources::default(), |sum, (_, room)| sum + *room))
    }

    /// Records that a run that uses `room` is now being stopped on a slot.
    pub fn release(&mut self, index: usize, room: Resources) {
        self.stopping[index] = self.stopping[index] + (room - self.excess[index]);
        self.excess[index] = self.excess[index] - room;
    }
}

impl Planner {
    /// Places waiting groups in the order of their rank.
    pub(super) fn assign(&mut self, draft: &mut Draft<'_>) {
        let mut pools: HashMap<String, Pool> = HashMap::new();
        let coverage = coverage(draft);
        let all = pending(draft, &coverage);
        for pending in &all {
            if draft.is_full() {
                break;
            }
            if self.unwritable.contains(&pending.group.job) {
                continue;
            }
            let service = pending.queue.service.clone();
            let pool = pools.entry(service).or_insert_with_key(|name| self.pool(draft, name, &all));
            self.place_group(draft, pool, pending, &coverage);
        }
        self.move_runs(draft, &mut pools, &all, &coverage);
    }

    /// Places the tasks of a group that fit, and preempts others for the rest if the group may.
    fn place_group(
        &mut self,
        draft: &mut Draft<'_>,
        pool: &mut Pool,
        pending: &PendingGroup<'_>,
        coverage: &HashMap<Id, Coverage>,
    ) {
        let closed = self.closed(draft, pool, pending);
        let barred = closed.any();
        let may_preempt = reclaim::may_preempt(&pending.rank);
        self.place_on_open(draft, pool, pending, &barred, u32::MAX);
        self.place_overdue(draft, pool, pending, &closed);
        let left = Waiting::of(draft, pending).total();
        self.observe_wait(draft, pool, pending, left, &closed);
        if left == 0 {
            return;
        }
        let watched: Vec<bool> = (0..barred.len()).map(|i| pool.watch.is_watched(i)).collect();
        let or_watched = |barred: &[bool]| -> Vec<bool> {
            barred.iter().zip(&watched).map(|(barred, watched)| *barred || *watched).collect()
        };
        let held = may_preempt
            && self.preempt(draft, pool, pending, left, coverage, &or_watched(&closed.excluded));
        if !held {
            await_room(draft, pool, pending, left, &or_watched(&barred));
        }
    }

    /// Places up to `limit` waiting tasks of a group on workers that are not closed, or all of a gang.
    /// Suspects, and gangs with one, are placed apart.
    pub(super) fn place_on_open(
        &mut self,
        draft: &mut Draft<'_>,
        pool: &mut Pool,
        pending: &PendingGroup<'_>,
        closed: &[bool],
        limit: u32,
    ) {
        let step = &pending.request.steps[usize::from(pending.group.step)];
        let waiting = Waiting::of(draft, pending).limited(limit);
        if step.gang && waiting.has_suspects() {
            self.place_gang_apart(draft, pool, pending, closed);
        } else {
            self.place_trusted(draft, pool, pending, closed, waiting.trusted);
            self.place_apart(draft, pool, pending, closed, &waiting);
        }
    }

    /// Returns the workers that a group is not placed on although it may fit.
    pub(super) fn closed(
        &self,
        draft: &Draft<'_>,
        pool: &Pool,
        pending: &PendingGroup<'_>,
    ) -> Closed {
        let PendingGroup { group, request, queue, rank, .. } = pending;
        let step = &request.steps[usize::from(group.step)];
        let excluded = self.excluded(pool, *group, step);
        let empty = pool.slots.iter().filter(|slot| slot.is_empty()).count();
        let workers = pool.slots.iter().filter(|slot| slot.has_capacity()).count();
        let reserve = self.reserves.get(&queue.service);
        let reserve = reserve.filter(|_| !step.long_running);
        let size = reserve.map_or(0, |reserve| reserve.size(workers, empty, rank));
        let reserved = reserve::reserved(&pool.slots, |i| pool.slots[i].free, size);
        let mut closed = Closed { claimed: vec![false; excluded.len()], excluded, reserved };
        if let Some(pressure) = self.pressures.get(&queue.service)
            && !reclaim::may_preempt(rank)
            && pool.is_busy()
            && !step.long_running
        {
            let mut barred = closed.any();
            pressure::close(&pool.slots, &mut barred, pressure.kept(draft.input.now, rank));
            closed.claimed = barred;
        }
        closed
    }

    /// Places the waiting tasks of a group that are no suspects.
    fn place_trusted(
        &mut self,
        draft: &mut Draft<'_>,
        pool: &mut Pool,
        pending: &PendingGroup<'_>,
        closed: &[bool],
        count: u32,
    ) {
        if count == 0 {
            return;
        }
        let is_open = |i: usize| !closed[i] && !pool.watch.is_watched(i);
        let placement = fitting(draft, pool, pending, count, is_open);
        if let Some(placement) = placement {
            self.take(draft, pool, pending, &placement, |task| !task.is_suspect());
        }
    }

    /// Takes the room of a placement and issues its orders.
    pub(super) fn take(
        &mut self,
        draft: &mut Draft<'_>,
        pool: &mut Pool,
        pending: &PendingGroup<'_>,
        placement: &Placement,
        takes: impl Fn(&TaskProgress) -> bool,
    ) {
        let step = &pending.request.steps[usize::from(pending.group.step)];
        for &(index, count) in placement {
            let slot = &mut pool.slots[index];
            slot.free = slot.free - step.effective_need().times(count);
            pool.watch.record_start(index, pending.group.job);
            pool.pacing.record(index, count);
        }
        self.issue_orders(draft, pool, pending, placement, takes);
    }

    /// Returns, by slot, whether a group must not be placed there: on workers that are
    /// quarantined, on workers that already run their one probe task, and on workers that it has
    /// failed on. Trust excludes no worker if it would exclude most of them, since then the work is
    /// more likely at fault. If all workers that can hold a task of the group are excluded
    /// nevertheless, none is.
    fn excluded(&self, pool: &Pool, group: Group, step: &Step) -> Vec<bool> {
        let failed = self.failed_on.get(&group);
        let distrusted = |slot: &Slot| {
            // A probed worker gets one task, so only an empty one is used.
            let probing = slot.trust == Trust::Probed && !slot.is_empty();
            probing || slot.trust == Trust::Quarantined
        };
        let is_trust_used =
            pool.slots.iter().filter(|slot| distrusted(slot)).count() * 2 <= pool.slots.len();
        let excluded = |slot: &Slot| {
            let here = failed.is_some_and(|agents| agents.contains(&slot.agent));
            here || is_trust_used && distrusted(slot)
        };
        let excluded: Vec<bool> = pool.slots.iter().map(excluded).collect();
        let mut able = (0..excluded.len()).filter(|index| pool.slots[*index].can_hold(step));
        if able.all(|index| excluded[index]) { vec![false; excluded.len()] } else { excluded }
    }

    /// Adds the orders for those waiting tasks that `takes` accepts, and updates the progress of their job.
    fn issue_orders(
        &mut self,
        draft: &mut Draft<'_>,
        pool: &Pool,
        pending: &PendingGroup<'_>,
        placement: &Placement,
        takes: impl Fn(&TaskProgress) -> bool,
    ) {
        let PendingGroup { group, request, rank, .. } = *pending;
        let step = &request.steps[usize::from(group.step)];
        let input = draft.input;
        let tasks = draft.progress_mut(group.job, request).group_mut(request, group);
        let gang_run = tasks.iter().map(|task| task.run).max().unwrap_or(0).saturating_add(1);
        let newest = tasks.iter().map(|task| task.checkpoint.clone()).max().unwrap_or_default();
        let mut indices = (0_u16..)
            .zip(tasks.iter_mut())
            .filter(|(_, task)| task.phase == Phase::Waiting && takes(task));
        let mut orders = Vec::new();
        for &(slot, count) in placement {
            let mut tasks_here = Vec::new();
            for (index, task) in indices.by_ref().take(usize::try_from(count).unwrap_or(0)) {
                task.phase = Phase::Ordered;
                task.run = if step.gang { gang_run } else { task.run.saturating_add(1) };
                if step.gang {
                    task.checkpoint.clone_from(&newest);
                }
                let checkpoint = task.checkpoint.clone();
                tasks_here.push(OrderTask { index, run: task.run, checkpoint, stop: false });
            }
            orders.push((&pool.slots[slot], tasks_here));
        }
        if step.gang {
            self.gangs_ordered_at.insert(group, input.now);
        }
        for (slot, tasks) in orders {
            let agent = slot.agent.clone();
            let (count, run) = (u32::try_from(tasks.len()).unwrap_or(0), tasks[0].run);
            let report = input.workers.version(&agent);
            draft.add_decision(Decision::Placed {
                group,
                agent: agent.clone(),
                count,
                run,
                waited_ms: rank.age_ms,
                report,
                trust: slot.trust,
                left: slot.free,
                task_millicores: reclaim::millicores(step.need),
                checkpoints: step.checkpoints,
            });
            append_tasks(draft, (agent, group), request, tasks);
        }
    }

    /// Returns the workers of a service that may take work, and records how many of them run urgent
    /// work.
    pub(super) fn pool(
        &mut self,
        draft: &mut Draft<'_>,
        service: &str,
        waiting: &[PendingGroup<'_>],
    ) -> Pool {
        let input = draft.input;
        let waiting = || waiting.iter().filter(|pending| pending.queue.service == service);
        let is_long_running = |pending: &PendingGroup<'_>| {
            pending.request.steps[usize::from(pending.group.step)].long_running
        };
        let (mut whole_used, mut whole) = (0, 0);
        let mut pool = Pool {
            slots: Vec::new(),
            stopping: Vec::new(),
            ending: Vec::new(),
            held: Vec::new(),
            waiting_holds: 0,
            unusable: Unusable::default(),
            used_percent: 0,
            long_running_waits: waiting().any(is_long_running),
            excess: Vec::new(),
            watch: Watch::new(draft, waiting()),
            pacing: Pacing::default(),
        };
        let mut urgent = 0;
        for (agent, _, worker) in input.workers.iter() {
            if worker.service != service {
                continue;
            }
            let unusable = &mut pool.unusable;
            let reason = match worker.condition {
                _ if worker.revoked => Some(&mut unusable.revoked),
                Readiness::Absent => Some(&mut unusable.absent),
                Readiness::Draining => Some(&mut unusable.draining),
                Readiness::Silent => Some(&mut unusable.silent),
                Readiness::Ready if !self.is_responsive(&input, agent) => {
                    Some(&mut unusable.silent)
                }
                Readiness::Ready if input.is_evacuated(worker) => Some(&mut unusable.evacuated),
                Readiness::Ready if runs_unordered(draft, agent, worker) => {
                    Some(&mut unusable.unordered)
                }
                Readiness::Ready => None,
            };
            if let Some(reason) = reason {
                *reason += 1;
                continue;
            }
            let mut used = Resources::default();
            let mut kept = Resources::default();
            let mut has_urgent = false;
            let mut ending = Vec::new();
            for ((own, group), order) in &draft.orders {
                if own != agent {
                    continue;
                }
                let need = need_of(draft, *group, order);
                has_urgent |= !order.tasks.is_empty() && is_urgent(draft, *group);
                for task in &order.tasks {
                    used = used + need;
                    if !task.stop {
                        kept = kept + need;
                        if let Some(left_ms) = time_left(draft, worker, group.task(task.index)) {
                            ending.push((left_ms, need));
                        }
                    }
                }
            }
            ending.sort_unstable_by_key(|(left_ms, _)| *left_ms);
            pool.ending.push(ending);
            urgent += usize::from(has_urgent);
            let capacity = worker.capacity;
            whole_used += reclaim::cores(used);
            whole += reclaim::cores(capacity);
            let free = if capacity.holds(used) { capacity - used } else { Resources::default() };
            pool.stopping.push(capacity - kept - free);
            pool.excess.push(kept - capacity);
            pool.held.push(Resources::default());
            pool.watch.add_slot(agent);
            pool.pacing.add_slot(self.has_returned(&worker.zone));
            pool.slots.push(Slot {
                agent: agent.to_owned(),
                rack: worker.rack().to_owned(),
                labels: worker.labels.clone(),
                capacity,
                free,
                trust: self.health.trust_level(input.now, agent),
            });
        }
        pool.used_percent = whole_used.saturating_mul(100).checked_div(whole).unwrap_or(100);
        self.reserves.entry(service.to_owned()).or_default().record_usage(input.now, urgent);
        hold_moves(draft, &mut pool, service);
        pool
    }
}

/// Returns a placement of `count` tasks of a group on the slots that are open, if there is one.
pub(super) fn fitting(
    draft: &Draft<'_>,
    pool: &Pool,
    pending: &PendingGroup<'_>,
    count: u32,
    is_open: impl Fn(usize) -> bool,
) -> Option<Placement> {
    let step = &pending.request.steps[usize::from(pending.group.step)];
    let assigned = assigned(draft, pool, pending.group);
    let room = |i: usize| if is_open(i) { pool.slots[i].free } else { Resources::default() };
    let split = pending.may_split.then(|| Step { one_rack: false, ..step.clone() });
    let step = split.as_ref().unwrap_or(step);
    let demand = Demand { step, count };
    let placement = pack::place(&pool.slots, demand, room, |i| assigned[i])?;
    if placement.iter().all(|&(index, count)| pool.pacing.allows(index, count)) {
        return Some(placement);
    }
    let need = step.effective_need();
    pack::place(&pool.slots, demand, |i| pool.pacing.usable(i, room(i), need), |i| assigned[i])
}

/// Returns the groups that can start, in the order of their rank.
fn pending<'a>(draft: &mut Draft<'a>, coverage: &HashMap<Id, Coverage>) -> Vec<PendingGroup<'a>> {
    let input = draft.input;
    let mut all = Vec::new();
    for id in draft.job_ids() {
        let Some((job, request)) = request_of(input.jobs, id) else {
            continue;
        };
        let queue = draft.queue_of(job);
        let progress = draft.progress(id, request);
        if job.cancelled
            || progress.state.is_final()
            || progress.failure(id, request, queue.attempts).is_some()
        {
            continue;
        }
        let covered = coverage.get(&id).is_some_and(|coverage| coverage.covered);
        let rank = Rank::new(queue, request, progress, input.age_ms(job), covered);
        for group in progress.startable_groups(id, request, input.wall_ms) {
            all.push(PendingGroup { group, request, queue, rank, may_split: false });
        }
    }
    all.sort_by_key(|pending| (pending.rank.key(), pending.group));
    all
}

/// How the guarantee of its workspace covers a job.
#[derive(Debug, Clone, Copy)]
pub(super) struct Coverage {
    /// Whether the guarantee covers the job.
    pub covered: bool,
    /// Whether the guarantee covers all unfinished jobs of the workspace.
    pub whole: bool,
}

/// Returns the coverage of the unfinished jobs of priority 0 from a configured workspace. Jobs use
/// up the guarantee in the order of their acceptance, those that run before those that wait, so
/// that a workspace that asks for more than its guarantee does not claim from its own jobs.
fn coverage(draft: &mut Draft<'_>) -> HashMap<Id, Coverage> {
    let input = draft.input;
    let running: BTreeSet<Id> = draft
        .orders
        .iter()
        .filter(|(_, order)| order.tasks.iter().any(|task| !task.stop))
        .map(|((_, group), _)| group.job)
        .collect();
    let mut urgent = Vec::new();
    for id in draft.job_ids() {
        let Some((job, request)) = request_of(input.jobs, id) else {
            continue;
        };
        let over = job.cancelled || draft.progress(id, request).state.is_final();
        if !over && draft.queue_of(job).priority == 0 {
            let (waits, need) = (!running.contains(&id), peak_accelerators(request));
            urgent.push((waits, Reverse(input.age_ms(job)), id, job.workspace.as_deref(), need));
        }
    }
    urgent.sort_unstable();
    let mut needs: HashMap<&str, u32> = HashMap::new();
    for (_, _, _, workspace, need) in &urgent {
        let sum = needs.entry(workspace.unwrap_or_default()).or_default();
        *sum = sum.saturating_add(*need);
    }
    let mut used: HashMap<&str, u32> = HashMap::new();
    let mut all = HashMap::new();
    for (_, _, id, workspace, need) in urgent {
        let guarantee = workspace.and_then(|name| {
            input.config.workspaces.iter().find(|workspace| workspace.name == name)
        });
        let Some(guarantee) = guarantee else {
            continue;
        };
        let used = used.entry(&guarantee.name).or_default();
        let covered = used.saturating_add(need) <= guarantee.guaranteed;
        if covered {
            *used = used.saturating_add(need);
        }
        let whole = needs.get(&*guarantee.name).is_some_and(|sum| *sum <= guarantee.guaranteed);
        all.insert(id, Coverage { covered, whole });
    }
    all
}

/// Returns the number of accelerators of the step that needs most.
fn peak_accelerators(request: &Request) -> u32 {
    let need = |step: &Step| u32::from(step.width).saturating_mul(step.need.accelerators);
    request.steps.iter().map(need).max().unwrap_or(0)
}

/// Returns the resources that each task of an order counts against its worker's capacity.
fn need_of(draft: &Draft<'_>, group: Group, order: &Order) -> Resources {
    let step = request_of(draft.input.jobs, group.job)
        .and_then(|(_, request)| request.steps.get(usize::from(group.step)));
    step.map_or(order.need, Step::effective_need)
}

/// Returns the expected time until a task has ended on a worker, in milliseconds; `None` if it runs
/// until its job is cancelled.
pub(super) fn time_left(draft: &Draft<'_>, worker: &Worker, task: Task) -> Option<u64> {
    let (_, request) = request_of(draft.input.jobs, task.job)?;
    let step = request.steps.get(usize::from(task.step))?;
    let running = worker.running.iter().find(|run| run.task == task);
    let percent = running.map_or(0, |running| running.percent.min(100));
    (!step.long_running).then(|| u64::from(step.estimate_ms) * u64::from(100 - percent) / 100)
}

/// Returns whether the queue of a group has priority 0.
fn is_urgent(draft: &Draft<'_>, group: Group) -> bool {
    let job = request_of(draft.input.jobs, group.job).map(|(job, _)| job);
    job.is_some_and(|job| draft.queue_of(job).priority == 0)
}

/// Returns whether a worker runs a task that it has no order for.
fn runs_unordered(draft: &Draft<'_>, agent: &str, worker: &Worker) -> bool {
    worker.running.iter().any(|run| {
        let order = draft.orders.get(&(agent.to_owned(), run.task.group()));
        !order.is_some_and(|order| order.tasks.iter().any(|task| task.index == run.task.index))
    })
}

/// Returns how many tasks of a group are ordered on each slot.
pub(super) fn assigned(draft: &Draft<'_>, pool: &Pool, group: Group) -> Vec<u32> {
    let of = |slot: &Slot| {
        let order = draft.orders.get(&(slot.agent.clone(), group));
        order.map_or(0, |order| u32::try_from(order.tasks.len()).unwrap_or(u32::MAX))
    };
    pool.slots.iter().map(of).collect()
}

/// Adds tasks to the order of an agent for a group, which is created if needed.
fn append_tasks(draft: &mut Draft<'_>, key: OrderKey, request: &Request, tasks: Vec<OrderTask>) {
    let input = draft.input;
    let Some(worker) = input.workers.get(&key.0) else {
        return;
    };
    let (incarnation, session) = (worker.incarnation.clone(), worker.session);
    if draft.orders.get(&key).is_some_and(|order| !order.tasks.is_empty())
        && let Some(order) = draft.order_mut(&key)
    {
        order.epoch = input.epoch;
        order.tasks.extend(tasks);
        return;
    }
    let need = request.steps[usize::from(key.1.step)].effective_need();
    draft.add_order(key, Order { epoch: input.epoch, incarnation, session, need, tasks });
}
