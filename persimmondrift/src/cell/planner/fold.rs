//! Updates of the rows for what happened since the last round: applies the ends of runs to the
//! progress of their jobs, marks runs to be stopped, and sets the final states of jobs.

use std::time::Duration;

use super::draft::{Draft, OrderKey};
use super::{Basis, Cause, Claim, Decision, Fault, Input, Planner, request_of};
use crate::cell::job::{Group, Id, Task};
use crate::cell::progress::Failure;
use crate::cell::record::{
    self, Condition as Readiness, End, Ending, Order, PROGRESS_PREFIX, Phase, Running, State,
    Worker,
};
use crate::cell::table::{MAX_BATCH_ENTRIES, Table};
use crate::unit::StoreTime;

/// Minimum time without progress after which a task is stopped. Longer than a restart from a
/// checkpoint and than the interval between two reports.
const MIN_STALL: Duration = Duration::from_millis(1_600);
/// Time without progress after which a task is stopped, in percent of its estimate. Progress is
/// reported in whole percent, and a healthy task may take three times its estimate when it runs
/// far from its data.
const STALL_PERCENT: u64 = 10;
/// Faults that a stalled task counts against its worker. More than one, since a stall is hardly
/// ever the fault of the task.
const STALL_FAULTS: u32 = 2;
/// Time after which an incomplete gang is stopped, in percent of the time that its members wait
/// for each other.
const GANG_WAIT_PERCENT: u32 = 60;
/// Time that a draining worker must have left after the expected end of a task.
const DRAIN_SLACK_MS: u32 = 500;
/// Maximum number of ended jobs that a round removes: one batch with a condition for each. Updates of
/// rows are made one after the other, and revocations must not wait behind many of them.
const MAX_REMOVALS: usize = MAX_BATCH_ENTRIES / 2;
/// Expected run time of a task, in percent of its estimate.
const OVERRUN_PERCENT: u64 = 130;

impl Planner {
    /// Removes ended runs from the orders, and applies their ends to the progress of their jobs.
    pub(super) fn apply_ends(&mut self, draft: &mut Draft<'_>) {
        let keys: Vec<OrderKey> = draft.orders.keys().cloned().collect();
        for key in keys {
            if draft.is_full() {
                return;
            }
            let ends = self.ended_runs(draft, &key);
            if ends.is_empty() {
                continue;
            }
            self.apply_order_ends(draft, &key, &ends);
        }
    }

    /// Returns the ends of those runs of an order that are over, and what each is concluded from.
    fn ended_runs(&self, draft: &Draft<'_>, key: &OrderKey) -> Vec<(End, Basis)> {
        let (agent, group) = key;
        let order = &draft.orders[key];
        let workers = draft.input.workers;
        let worker = workers.get(agent);
        // If the worker's incarnation or the agent's session is over, all runs have ended, listed
        // or not.
        let closed = match worker {
            // Its agent replaces the report, or has its grant expire.
            None if workers.is_unreadable(agent) => None,
            None => Some(Basis::NoReport),
            Some(worker) if worker.incarnation != order.incarnation => Some(Basis::Incarnation),
            Some(worker) if worker.session != order.session => Some(Basis::Session),
            Some(worker) if worker.revoked => Some(Basis::Revoked),
            Some(_) => None,
        };
        let mut ends: Vec<(End, Basis)> = reported_ends(order, *group, worker)
            .into_iter()
            .map(|end| (end, Basis::Listed))
            .collect();
        if let Some(basis) = closed {
            // A listed end is final, whatever happened to the worker afterwards.
            let listed: Vec<u16> = ends.iter().map(|(end, _)| end.task.index).collect();
            let unlisted = self.lapsed_ends(order, *group).into_iter();
            let unlisted = unlisted.filter(|end| !listed.contains(&end.task.index));
            ends.extend(unlisted.map(|end| (end, basis)));
        }
        ends
    }

    /// Returns a lapsed end for each run of an order, with the newest known checkpoint. A crash is not
    /// assumed: an agent lists the runs that its worker may have started.
    fn lapsed_ends(&self, order: &Order, group: Group) -> Vec<End> {
        let end = |task: &crate::cell::record::OrderTask| {
            let id = group.task(task.index);
            let known = self.checkpoints.get(&id).filter(|(run, _)| *run == task.run);
            let checkpoint =
                known.map_or_else(|| task.checkpoint.clone(), |(_, text)| text.clone());
            End { task: id, run: task.run, ending: Ending::Lapsed, checkpoint }
        };
        order.tasks.iter().map(end).collect()
    }

    fn apply_order_ends(&mut self, draft: &mut Draft<'_>, key: &OrderKey, ends: &[(End, Basis)]) {
        let (agent, group) = key;
        if let Some((_, request)) = request_of(draft.input.jobs, group.job) {
            let progress = draft.progress_mut(group.job, request);
            for (end, _) in ends {
                progress.apply_end(request, end);
            }
        }
        let report = draft.input.workers.version(agent);
        let age = self.time_since_report(draft.input.now, agent);
        let report_age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        for (end, basis) in ends {
            match end.ending {
                ending if ending.is_crash() => {
                    self.record_crash(draft, agent, end.task, end.run, ending);
                }
                Ending::Done => self.health.record_success(agent),
                Ending::Failed => {
                    // The store has rejected the row with this end, so it was counted before.
                    if !self.unwritable.contains(&group.job) {
                        self.record_fault(draft.input.now, agent, Fault::Failed, 1);
                    }
                    let failed = self.failed_on.entry(*group).or_default();
                    if !failed.contains(agent) {
                        failed.push(agent.clone());
                    }
                }
                _ => {}
            }
            self.checkpoints.remove(&end.task);
            let (task, run, ending) = (end.task, end.run, end.ending);
            draft.add_decision(Decision::Ended {
                task,
                run,
                agent: agent.clone(),
                ending,
                basis: *basis,
                report,
                report_age_ms,
            });
        }
        if let Some(order) = draft.order_mut(key) {
            order.tasks.retain(|task| !ends.iter().any(|(end, _)| end.task.index == task.index));
        }
    }

    /// Marks the runs that are to be stopped.
    pub(super) fn stop_runs(&mut self, draft: &mut Draft<'_>) {
        let keys: Vec<OrderKey> = draft.orders.keys().cloned().collect();
        for key in keys {
            if draft.is_full() {
                return;
            }
            let (agent, group) = &key;
            let order = &draft.orders[&key];
            if order.tasks.iter().all(|task| task.stop) {
                continue;
            }
            if let Some(cause) = self.group_stop_cause(draft, *group) {
                stop_group(draft, *group, cause, None);
                continue;
            }
            for (task, cause) in Self::run_stop_causes(draft, &key) {
                if cause == Cause::Stalled && !self.unwritable.contains(&group.job) {
                    // All members of a gang stall together, whichever worker is at fault.
                    let faults = if is_gang(draft, *group) { 1 } else { STALL_FAULTS };
                    self.record_fault(draft.input.now, agent, Fault::Stalled, faults);
                }
                stop(draft, task, cause, None);
            }
        }
        self.failed_on.retain(|group, _| request_of(draft.input.jobs, group.job).is_some());
        self.idle_since.retain(|group, _| request_of(draft.input.jobs, group.job).is_some());
        self.gangs_ordered_at.retain(|group, _| draft.orders.keys().any(|(_, own)| own == group));
        self.adopted.retain(|group, _| draft.orders.keys().any(|(_, own)| own == group));
    }

    /// Returns the cause for which all runs of a group are to be stopped, if there is one.
    fn group_stop_cause(&mut self, draft: &mut Draft<'_>, group: Group) -> Option<Cause> {
        let input = draft.input;
        let (job, request) = request_of(input.jobs, group.job)?;
        if job.cancelled {
            return Some(Cause::Cancelled);
        }
        let attempts = draft.queue_of(job).attempts;
        let progress = draft.progress(group.job, request);
        if progress.state == State::Completed {
            // The remaining members of a gang end by themselves.
            return None;
        }
        if progress.state.is_final() || progress.failure(group.job, request, attempts).is_some() {
            return Some(Cause::JobOver);
        }
        let step = request.steps.get(usize::from(group.step))?;
        if !step.gang {
            return None;
        }
        let tasks = progress.group(request, group);
        // The success of one member marks the whole gang as done, so members whose ends are not
        // listed yet are not stopped here.
        if tasks.iter().any(|task| task.phase == Phase::Waiting) {
            return Some(Cause::GangBroken);
        }
        let wait = self.settings.gang_wait * GANG_WAIT_PERCENT / 100;
        let ordered = self.gangs_ordered_at.get(&group).copied();
        let since = ordered.unwrap_or_else(|| *self.adopted.entry(group).or_insert(input.now));
        if input.now.since(since) < wait {
            return None;
        }
        // A report from before the middle of the wait does not count: a member may have started
        // after it.
        let has_unstarted = |(agent, own): &OrderKey, order: &Order| {
            let has_reported =
                self.last_reports.get(agent).is_some_and(|(_, at)| *at >= since + wait / 2);
            let worker = input.workers.get(agent);
            let started = order.tasks.iter().all(|task| {
                worker.is_some_and(|worker| worker.run_of(own.task(task.index), task.run).is_some())
            });
            // What has started on the worker of an agent that this planner has not heard is unknown.
            let is_silent = ordered.is_some() && !self.is_responsive(&input, agent);
            !started && (has_reported || is_silent)
        };
        let mut members = draft.orders.iter().filter(|((_, own), _)| *own == group);
        members.any(|(key, order)| has_unstarted(key, order)).then_some(Cause::GangLate)
    }

    /// Returns the runs of an order that are to be stopped because their task is done, their worker is
    /// draining or they make no progress.
    fn run_stop_causes(draft: &Draft<'_>, key: &OrderKey) -> Vec<(Task, Cause)> {
        let (agent, group) = key;
        let Some(worker) = draft.input.workers.get(agent) else {
            return Vec::new();
        };
        let jobs = draft.input.jobs;
        let step = request_of(jobs, group.job)
            .and_then(|(_, request)| Some((request, request.steps.get(usize::from(group.step))?)));
        let Some((request, step)) = step else {
            return Vec::new();
        };
        let progress = jobs.progress.get(&record::progress_key(group.job));
        let tasks = progress.map_or(&[][..], |progress| progress.group(request, *group));
        // The members of a gang that is done end by themselves.
        let is_done = |index: u16| {
            let task = tasks.get(usize::from(index));
            !step.gang && task.is_some_and(|task| task.phase == Phase::Done)
        };
        let min_ms = u64::try_from(MIN_STALL.as_millis()).unwrap_or(u64::MAX);
        let stall_ms = min_ms.max(u64::from(step.estimate_ms) * STALL_PERCENT / 100);
        let cause = |index: u16, run: u32| {
            // The planner that counted a late end may have ended before it stopped the newer run.
            if is_done(index) {
                return Some(Cause::AlreadyDone);
            }
            let task = group.task(index);
            let running = worker.run_of(task, run);
            let percent = running.map_or(0, |running| running.percent);
            if worker.condition == Readiness::Draining {
                let rest = u64::from(step.estimate_ms) * u64::from(100 - percent.min(100)) / 100;
                let rest = rest * OVERRUN_PERCENT / 100;
                let left = u64::from(worker.remaining_ms.saturating_sub(DRAIN_SLACK_MS));
                return (step.long_running || rest > left).then_some(Cause::Draining);
            }
            let stalled = running.is_some_and(|running| is_stalled(running, stall_ms));
            // What a silent worker runs is not known.
            let stalled = stalled && worker.condition != Readiness::Silent;
            // A gang makes no progress until its last member has started.
            let stalled = stalled && (!step.gang || is_whole_gang_stalled(draft, *group, stall_ms));
            (stalled && percent < 100 && !step.long_running).then_some(Cause::Stalled)
        };
        let tasks = draft.orders[key].tasks.iter().filter(|task| !task.stop);
        tasks
            .filter_map(|task| Some((group.task(task.index), cause(task.index, task.run)?)))
            .collect()
    }

    /// Sets final states, and removes jobs that ended longer ago than the retention time: first the
    /// job, then its progress, since a job without progress looks new.
    pub(super) fn conclude(&mut self, draft: &mut Draft<'_>) {
        let input = draft.input;
        for (key, _, _) in input.jobs.progress.iter() {
            let id = key.strip_prefix(PROGRESS_PREFIX).and_then(|id| id.parse().ok());
            if let Some(id) = id.filter(|id| input.jobs.job(*id).is_none())
                && !draft.is_full()
            {
                draft.removed_progress.push(id);
            }
        }
        let mut expired = Vec::new();
        for id in draft.job_ids() {
            if draft.is_full() {
                break;
            }
            let Some((job, request)) = request_of(input.jobs, id) else {
                continue;
            };
            let attempts = draft.queue_of(job).attempts;
            let ordered = draft
                .orders
                .iter()
                .any(|((_, group), order)| group.job == id && !order.tasks.is_empty());
            let progress = draft.progress(id, request);
            if progress.state.is_final() {
                let ended_at = progress.ended_at;
                let age = self.time_since_end(&input, id, ended_at);
                if !ordered && age > self.settings.retention {
                    let key = record::job_key(id);
                    expired.push((input.jobs.accepted.version(&key), key));
                }
                continue;
            }
            let unwritable = self.unwritable.contains(&id);
            let failure = progress.failure(id, request, attempts);
            let failure = failure.or(unwritable.then_some(Failure::Unwritable));
            let state = if progress.is_complete() {
                State::Completed
            } else if job.cancelled {
                if ordered && !unwritable {
                    continue;
                }
                State::Cancelled
            } else if failure.is_some() {
                State::Failed
            } else {
                continue;
            };
            if let (State::Failed, Some(Failure::Crashes { .. })) = (state, &failure) {
                self.take_back_crashes(draft, id);
            }
            let failure = failure.filter(|_| state == State::Failed);
            set_final_state(draft, id, state, input.age_ms(job), failure);
            if unwritable {
                // What is left of the progress fits in any row.
                draft.progress_mut(id, request).tasks.clear();
            }
        }
        // An id that was cancelled before its job arrived is barred for as long as an ended job is kept.
        for (key, version, _) in
            input.jobs.accepted.iter().filter(|(_, _, job)| job.request.is_none())
        {
            let id = key.strip_prefix(record::JOB_PREFIX).and_then(|id| id.parse().ok());
            if let Some(id) = id
                && self.time_since_end(&input, id, None) > self.settings.retention
            {
                expired.push((version, key.to_owned()));
            }
        }
        expired.truncate(MAX_REMOVALS);
        draft.add_row_removals(Table::Jobs, expired);
        self.unwritable.retain(|id| request_of(input.jobs, *id).is_some());
        self.ended_seen.retain(|id, _| input.jobs.job(*id).is_some());
    }

    /// Returns the time for which the state of a job has been final, at least: by the store's clock, or
    /// since this planner first saw it. The time of day differs between VMs and may be set.
    fn time_since_end(
        &mut self,
        input: &Input<'_>,
        id: Id,
        ended_at: Option<StoreTime>,
    ) -> Duration {
        let seen = *self.ended_seen.entry(id).or_insert(input.now);
        let since_end = ended_at.zip(input.store_now).map_or(Duration::ZERO, |(ended_at, now)| {
            Duration::from_millis(now.earliest.0.saturating_sub(ended_at.0))
        });
        since_end.max(input.now.since(seen))
    }
}

fn set_final_state(
    draft: &mut Draft<'_>,
    id: Id,
    state: State,
    after_ms: u64,
    failure: Option<Failure>,
) {
    let wall_ms = draft.input.wall_ms;
    let ended_at = draft.input.store_now.map(|now| now.latest);
    if let Some((_, request)) = request_of(draft.input.jobs, id) {
        let progress = draft.progress_mut(id, request);
        progress.state = state;
        progress.ended_ms = wall_ms;
        progress.ended_at = ended_at;
    }
    draft.add_decision(Decision::Concluded { job: id, state, after_ms, failure });
}

/// Returns the ends of runs of an order that the agent's report lists.
fn reported_ends(order: &Order, group: Group, worker: Option<&Worker>) -> Vec<End> {
    let Some(worker) = worker else {
        return Vec::new();
    };
    let ordered = |end: &&End| {
        end.task.group() == group
            && order.tasks.iter().any(|task| task.index == end.task.index && task.run == end.run)
    };
    worker.ends.iter().filter(ordered).cloned().collect()
}

fn is_stalled(running: &Running, stall_ms: u64) -> bool {
    u64::from(running.since_progress_ms) >= stall_ms
}

/// Returns whether the reports show that all ordered members of a gang run and none makes progress.
fn is_whole_gang_stalled(draft: &Draft<'_>, group: Group, stall_ms: u64) -> bool {
    let mut members = draft.orders.iter().filter(|((_, own), _)| *own == group);
    members.all(|((agent, _), order)| {
        let worker = draft.input.workers.get(agent);
        order.tasks.iter().all(|task| {
            let running = worker.and_then(|worker| worker.run_of(group.task(task.index), task.run));
            running.is_some_and(|running| is_stalled(running, stall_ms))
        })
    })
}

/// Returns whether a group is a gang, whose tasks only work together.
fn is_gang(draft: &Draft<'_>, group: Group) -> bool {
    request_of(draft.input.jobs, group.job)
        .and_then(|(_, request)| request.steps.get(usize::from(group.step)))
        .is_some_and(|step| step.gang)
}

/// Marks a run to be stopped; if it belongs to a gang, all runs of the gang.
pub(super) fn stop(draft: &mut Draft<'_>, task: Task, cause: Cause, claim: Option<Claim>) {
    let group = task.group();
    if is_gang(draft, group) {
        stop_group(draft, group, cause, claim);
        return;
    }
    for key in draft.order_keys_of(group) {
        if draft.orders[&key].tasks.iter().any(|own| own.index == task.index && !own.stop) {
            mark_stopped(draft, &key, Some(task.index), cause, claim);
        }
    }
}

/// Marks all runs of a group to be stopped.
pub(super) fn stop_group(draft: &mut Draft<'_>, group: Group, cause: Cause, claim: Option<Claim>) {
    for key in draft.order_keys_of(group) {
        if draft.orders[&key].tasks.iter().any(|task| !task.stop) {
            mark_stopped(draft, &key, None, cause, claim);
        }
    }
}

/// Marks one run of an order to be stopped, or all if `index` is `None`.
fn mark_stopped(
    draft: &mut Draft<'_>,
    key: &OrderKey,
    index: Option<u16>,
    cause: Cause,
    claim: Option<Claim>,
) {
    let mut marked = Vec::new();
    if let Some(order) = draft.order_mut(key) {
        for task in &mut order.tasks {
            if !task.stop && index.is_none_or(|index| index == task.index) {
                task.stop = true;
                marked.push((key.1.task(task.index), task.run));
            }
        }
    }
    for (task, run) in marked {
        draft.add_decision(Decision::Stopped { task, run, agent: key.0.clone(), cause, claim });
    }
}
