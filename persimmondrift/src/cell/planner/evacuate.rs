//! Running work in evacuated zones: what ends in time stays, longer runs with checkpoints move.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::displace::hold_room;
use super::draft::{Draft, OrderKey};
use super::fold::stop;
use super::observe::Observation;
use super::place::{Coverage, PendingGroup, Pool, fitting, time_left};
use super::{Cause, Input, Planner, request_of};
use crate::cell::evacuation::{Candidate, RETURN_PERIOD, choose_moves};
use crate::cell::job::{Group, Id, Request, Step};
use crate::cell::pack::{self, Demand};
use crate::cell::rank::Rank;
use crate::cell::reclaim::StopCost;
use crate::cell::record::{Order, Phase};
use crate::unit::{Time, Version};

/// Interval at which the runs left in an evacuated zone are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(2);

/// What a planner remembers of an evacuated zone.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Progress {
    /// Version of the operators' row.
    request: Version,
    /// Number of runs that it has moved out of the zone.
    moved: usize,
    /// When the zone was last logged, and the number of runs that were left.
    logged: Option<(Time, usize)>,
}

impl Planner {
    /// Notes which zones are evacuated and which were returned to service since the last round.
    pub(super) fn record_zones(&mut self, input: &Input<'_>) {
        let Some(evacuation) = input.evacuation else {
            return;
        };
        let returned = &mut self.returned_zones;
        self.evacuations.retain(|zone, _| {
            let stays = evacuation.zones.request(zone).is_some();
            if !stays {
                returned.insert(zone.clone(), input.now);
            }
            stays
        });
        for (zone, request) in evacuation.zones.evacuated() {
            let own = self.evacuations.entry(zone.to_owned()).or_default();
            if own.request != request {
                *own = Progress { request, ..Progress::default() };
            }
            returned.remove(zone);
        }
        returned.retain(|_, at| input.now.since(*at) < RETURN_PERIOD);
    }

    /// Returns whether a zone was returned to service a short time ago.
    pub(super) fn has_returned(&self, zone: &str) -> bool {
        self.returned_zones.contains_key(zone)
    }

    /// Stops some of the longer runs in evacuated zones for which room elsewhere is free, and holds that
    /// room.
    pub(super) fn move_runs(
        &mut self,
        draft: &mut Draft<'_>,
        pools: &mut HashMap<String, Pool>,
        waiting: &[PendingGroup<'_>],
        coverage: &HashMap<Id, Coverage>,
    ) {
        if self.evacuations.is_empty() || draft.is_full() {
            return;
        }
        let candidates = candidates(draft, coverage);
        let mut fits = |draft: &mut Draft<'_>, candidate: &Candidate| {
            let group = candidate.task.group();
            let Some((job, request)) = request_of(draft.input.jobs, group.job) else {
                return false;
            };
            let queue = draft.queue_of(job);
            let rank = rank_of(draft, group.job, coverage);
            let Some(rank) = rank.filter(|_| !self.unwritable.contains(&group.job)) else {
                return false;
            };
            if !pools.contains_key(&queue.service) {
                let pool = self.pool(draft, &queue.service, waiting);
                pools.insert(queue.service.clone(), pool);
            }
            let Some(pool) = pools.get_mut(&queue.service) else {
                return false;
            };
            let pending = PendingGroup { group, request, queue, rank, may_split: false };
            let closed = self.closed(draft, pool, &pending).any();
            let is_open = |i: usize| !closed[i] && !pool.watch.is_watched(i);
            let Some(placement) = fitting(draft, pool, &pending, candidate.runs, is_open) else {
                return false;
            };
            hold_room(pool, &request.steps[usize::from(group.step)], &placement);
            stop(draft, candidate.task, Cause::Evacuated, None);
            true
        };
        let moved = choose_moves(candidates, |candidate| fits(draft, candidate));
        for candidate in moved {
            let runs = usize::try_from(candidate.runs).unwrap_or(usize::MAX);
            for zone in candidate.zones {
                if let Some(own) = self.evacuations.get_mut(&zone) {
                    own.moved = own.moved.saturating_add(runs);
                }
            }
        }
    }

    /// Notes how many runs are left in each evacuated zone: at first, at intervals, and when none is left.
    pub(super) fn observe_evacuations(&mut self, draft: &mut Draft<'_>) {
        let input = draft.input;
        for (zone, own) in &mut self.evacuations {
            let in_zone =
                |agent: &str| input.workers.get(agent).is_some_and(|worker| worker.zone == *zone);
            let workers =
                input.workers.iter().filter(|(_, _, worker)| worker.zone == *zone).count();
            let orders = draft.orders.iter().filter(|((agent, _), _)| in_zone(agent));
            let runs: usize = orders.map(|(_, order)| order.tasks.len()).sum();
            draft.plan.runs_left = draft.plan.runs_left.saturating_add(runs);
            let is_due = own.logged.is_none_or(|(at, before)| {
                let is_over = runs == 0 && before > 0;
                is_over || runs > 0 && input.now.since(at) >= LOG_INTERVAL
            });
            if is_due {
                own.logged = Some((input.now, runs));
                draft.plan.observations.push(Observation::Evacuates {
                    zone: zone.clone(),
                    request: own.request,
                    workers,
                    runs,
                    moved: own.moved,
                });
            }
        }
    }
}

/// Holds room for the runs that are being stopped in evacuated zones, so that it is still free when they
/// have ended.
pub(super) fn hold_moves(draft: &mut Draft<'_>, pool: &mut Pool, service: &str) {
    let input = draft.input;
    if input.evacuation.is_none_or(|own| own.zones.evacuated().next().is_none()) {
        return;
    }
    let mut moving: BTreeMap<Group, u32> = BTreeMap::new();
    for ((agent, group), order) in &draft.orders {
        let in_zone = input.workers.get(agent).is_some_and(|worker| input.is_evacuated(worker));
        let stopping = order.tasks.iter().filter(|task| task.stop).count();
        if in_zone && stopping > 0 {
            *moving.entry(*group).or_default() += u32::try_from(stopping).unwrap_or(u32::MAX);
        }
    }
    for (group, count) in moving {
        let Some((job, request)) = request_of(input.jobs, group.job) else {
            continue;
        };
        let over = job.cancelled || draft.progress(group.job, request).state.is_final();
        let step = request.steps.get(usize::from(group.step));
        let Some(step) = step.filter(|_| !over && draft.queue_of(job).service == service) else {
            continue;
        };
        let count = if step.gang { u32::from(step.width) } else { count };
        let room = |i: usize| pool.slots[i].free;
        if let Some(placement) = pack::place(&pool.slots, Demand { step, count }, room, |_| 0) {
            hold_room(pool, step, &placement);
        }
    }
}

/// Returns the rank of an unfinished job; `None` if it is over.
fn rank_of(draft: &mut Draft<'_>, id: Id, coverage: &HashMap<Id, Coverage>) -> Option<Rank> {
    let input = draft.input;
    let (job, request) = request_of(input.jobs, id)?;
    let queue = draft.queue_of(job);
    let progress = draft.progress(id, request);
    if job.cancelled || progress.state.is_final() {
        return None;
    }
    let covered = coverage.get(&id).is_some_and(|coverage| coverage.covered);
    Some(Rank::new(queue, request, progress, input.age_ms(job), covered))
}

/// Returns the runs in evacuated zones that may be moved, a gang as one.
fn candidates(draft: &mut Draft<'_>, coverage: &HashMap<Id, Coverage>) -> Vec<Candidate> {
    let input = draft.input;
    let Some(evacuation) = input.evacuation else {
        return Vec::new();
    };
    let is_in_zone = |(agent, _): &OrderKey| {
        input.workers.get(agent).is_some_and(|worker| input.is_evacuated(worker))
    };
    let groups: BTreeSet<Group> = draft
        .orders
        .iter()
        .filter(|(key, order)| is_in_zone(key) && order.tasks.iter().any(|task| !task.stop))
        .map(|((_, group), _)| *group)
        .collect();
    let within_ms = u64::try_from(evacuation.within.as_millis()).unwrap_or(u64::MAX);
    let mut all = Vec::new();
    for group in groups {
        let Some((_, request)) = request_of(input.jobs, group.job) else {
            continue;
        };
        let Some(step) = request.steps.get(usize::from(group.step)) else {
            continue;
        };
        if !step.checkpoints && !step.long_running {
            continue;
        }
        if (step.gang || step.long_running) && !is_steady(draft, group, request) {
            continue;
        }
        let Some(rank) = rank_of(draft, group.job, coverage) else {
            continue;
        };
        let own = members(draft, group, step, rank, within_ms);
        if step.gang {
            all.extend(Candidate::gang(own));
        } else {
            all.extend(own);
        }
    }
    all
}

/// Returns a candidate for each run of a group in an evacuated zone that does not end in time. A gang
/// counts the members elsewhere, too, since all are stopped.
fn members(
    draft: &Draft<'_>,
    group: Group,
    step: &Step,
    rank: Rank,
    within_ms: u64,
) -> Vec<Candidate> {
    let input = draft.input;
    let mut all = Vec::new();
    for ((agent, _), order) in draft.orders.iter().filter(|((_, own), _)| *own == group) {
        let Some(worker) = input.workers.get(agent) else {
            continue;
        };
        if !step.gang && !input.is_evacuated(worker) {
            continue;
        }
        for own in order.tasks.iter().filter(|own| !own.stop) {
            let task = group.task(own.index);
            // One that has not started yet is returned by its agent.
            let Some(running) = worker.run_of(task, own.run) else {
                continue;
            };
            let is_long = time_left(draft, worker, task).is_none_or(|left| left >= within_ms);
            if !is_long && !step.gang {
                continue;
            }
            let cost = StopCost { rank, step, percent: running.percent, run: own.run };
            all.push(Candidate {
                task,
                runs: 1,
                is_long,
                single: step.long_running && !step.gang,
                loss: cost.loss(),
                zones: BTreeSet::from([worker.zone.clone()]),
            });
        }
    }
    all
}

/// Returns whether all tasks of a group are running and none is being stopped.
fn is_steady(draft: &mut Draft<'_>, group: Group, request: &Request) -> bool {
    let input = draft.input;
    let tasks = draft.progress(group.job, request).group(request, group);
    if tasks.iter().any(|task| task.phase == Phase::Waiting) {
        return false;
    }
    let is_running = |agent: &str, order: &Order| {
        let worker = input.workers.get(agent);
        order.tasks.iter().all(|task| {
            let run = worker.and_then(|worker| worker.run_of(group.task(task.index), task.run));
            !task.stop && run.is_some()
        })
    };
    let mut own = draft.orders.iter().filter(|((_, own), _)| *own == group);
    own.all(|((agent, _), order)| is_running(agent, order))
}
