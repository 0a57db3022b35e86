//! One step of the planner: starts jobs, evicts others for them and makes reservations.

use std::time::Duration;

use super::fit;
use super::ledger::{Resources, Slot, Worker, WorkerKey};
use super::planner::{Entry, Planner};
use super::reserve::{MAX_RESERVATIONS, Reservation, Reserved};
use super::{Cause, Class, Effect, Eviction, Reason, Shape};
use crate::unit::{Job, Time};

/// Interval at which waiting jobs are tried again although nothing has changed.
const REVIEW_INTERVAL: Duration = Duration::from_secs(1);
/// Most jobs per step for which displacing longer jobs is tried.
const MAX_DISPLACEMENT_TRIALS: usize = 4;

/// Shapes that did not fit in this step, so that equal or larger ones are not tried again.
///
/// Each entry has whether the job was pinned, the reservations it might use, and its shape.
#[derive(Debug, Default)]
struct Rejections {
    seen: Vec<(bool, u8, Shape)>,
}

impl Rejections {
    fn covers(&self, pinned: bool, allowed: u8, shape: &Shape) -> bool {
        let cannot_fit = |rejected: &(bool, u8, Shape)| {
            (pinned || !rejected.0) && allowed & !rejected.1 == 0 && shape.covers(&rejected.2)
        };
        self.seen.iter().any(cannot_fit)
    }

    fn add(&mut self, pinned: bool, allowed: u8, shape: Shape) {
        self.seen.push((pinned, allowed, shape));
    }
}

/// Intermediate results of one step.
#[derive(Debug, Default)]
struct StepContext {
    rejections: Rejections,
    reserved: Reserved,
}

impl Planner {
    /// Starts jobs that fit, and evicts others for claims and for urgent, aged and short jobs.
    ///
    /// Returns early if nothing has changed and no job is due to be tried again.
    pub fn step(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.ledger.lapse(now) {
            self.placements.mark_changed();
            self.changed = true;
        }
        for change in self.health.tick(now) {
            effects.extend(self.apply_health_change(change));
        }
        let review = now.since(self.last_step) >= REVIEW_INTERVAL && !self.waiting.is_empty();
        let wake_due = self.wake.is_some_and(|wake| wake <= now);
        if !self.changed && !review && !wake_due {
            return effects;
        }
        self.changed = false;
        self.last_step = now;
        self.placements.reconcile(&mut self.ledger);
        effects.extend(self.placements.take_changes());
        self.start_all_assigned(now, &mut effects);
        let queue = self.queue(now);
        self.wake = queue.wake;
        let mut urgent: Vec<Job> = Vec::new();
        for job in queue.claims {
            if !self.start_claim(now, job, &mut effects) {
                urgent.push(job);
            }
        }
        urgent.extend(queue.urgent);
        for job in urgent {
            self.start_urgent(now, job, &mut effects);
        }
        self.start_others(now, &queue.others, &mut effects);
        effects
    }

    /// Allocates a place to a job and adds the effect that starts it.
    pub(super) fn start(
        &mut self,
        now: Time,
        job: Job,
        slots: Vec<Slot>,
        reason: Reason,
        effects: &mut Vec<Effect>,
    ) {
        let allocations = self.ledger.allocations(&slots);
        self.begin(now, job, slots, reason.clone());
        if let Some(entry) = self.jobs.get(&job) {
            effects.push(Effect::Start { job, attempt: entry.attempt, allocations, reason });
        }
    }

    fn start_urgent(&mut self, now: Time, job: Job, effects: &mut Vec<Effect>) {
        let mut context = StepContext::default();
        if self.start_one(now, job, &mut context, effects) {
            return;
        }
        let Some(spec) = self.jobs.get(&job).map(|entry| entry.spec.clone()) else {
            return;
        };
        if !self.within_limit(&spec.workspace, &spec.shape) {
            return;
        }
        let plan =
            self.plan_eviction(now, job, &spec, |other| self.evictable_for_urgent(&spec, other));
        if let Some(plan) = plan {
            self.assign(now, job, plan.slots, Reason::Evicted, Cause::Urgent, effects);
        }
    }

    fn start_others(&mut self, now: Time, jobs: &[Job], effects: &mut Vec<Effect>) {
        let mut context = StepContext::default();
        self.reservations.clear();
        let aged = self.aged(now, jobs);
        let limit = self.policy.reservations.min(MAX_RESERVATIONS);
        for job in aged {
            if self.reservations.len() == limit {
                break;
            }
            if !self.start_one(now, job, &mut context, effects) {
                self.reserve(now, job, &mut context, effects);
            }
        }
        let mut trials = 0;
        for &job in jobs {
            if !self.waiting.contains(&job) || self.start_one(now, job, &mut context, effects) {
                continue;
            }
            if trials < MAX_DISPLACEMENT_TRIALS && self.may_run(job) {
                trials += 1;
                self.displace(now, job, effects);
            }
        }
    }

    /// Returns the large jobs that are due for a reservation, the oldest first.
    ///
    /// A job is large if it needs at least the accelerators of the largest worker. Smaller jobs
    /// need no reservation: their rank grows with their wait until they fit.
    fn aged(&self, now: Time, jobs: &[Job]) -> Vec<Job> {
        let after = Duration::from(self.policy.reserve_after);
        let large = self.largest_worker();
        let mut aged: Vec<(Time, Job)> = Vec::new();
        for &job in jobs {
            if let Some(entry) = self.jobs.get(&job)
                && now.since(entry.submitted) >= after
                && entry.spec.shape.total().0 >= large
                && self.may_run(job)
            {
                aged.push((entry.submitted, job));
            }
        }
        aged.sort_unstable();
        aged.into_iter().map(|(_, job)| job).collect()
    }

    /// Returns whether a job has parts and stays within the limit of its workspace.
    fn may_run(&self, job: Job) -> bool {
        self.jobs.get(&job).is_some_and(|entry| {
            entry.spec.shape.parts > 0
                && self.within_limit(&entry.spec.workspace, &entry.spec.shape)
        })
    }

    /// Starts a job if it fits without an eviction; returns whether it did.
    fn start_one(
        &mut self,
        now: Time,
        job: Job,
        context: &mut StepContext,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(entry) = self.jobs.get(&job) else {
            return false;
        };
        if !self.may_run(job) {
            return false;
        }
        let pinned = self.is_pinned(job);
        let allowed = self.usable_reservations(now, entry);
        let shape = entry.spec.shape;
        let failed_before = self.health.has_failed(job);
        if !failed_before && context.rejections.covers(pinned, allowed, &shape) {
            return false;
        }
        let found = self.probe(job, entry).or_else(|| {
            self.find(job, &shape, pinned, |key| context.reserved.withheld(key, allowed))
        });
        let found = found.or_else(|| {
            if pinned {
                self.find_by_moving_guarantees(job, &shape, |key| {
                    context.reserved.withheld(key, allowed)
                })
            } else {
                None
            }
        });
        let Some((slots, reason)) = found else {
            if !failed_before {
                context.rejections.add(pinned, allowed, shape);
            }
            return false;
        };
        self.start(now, job, slots, reason, effects);
        true
    }

    /// Returns the resources that a worker offers to a job.
    fn room(&self, job: Job, key: WorkerKey, worker: &Worker, pinned: bool) -> Resources {
        if !worker.healthy() || self.avoids(job, key) {
            return Resources::default();
        }
        if pinned { worker.pinned_room() } else { worker.free() }
    }

    /// Returns whether a job is excluded from a worker at which it failed.
    pub(super) fn avoids(&self, job: Job, key: WorkerKey) -> bool {
        let avoid = self.jobs.get(&job).map(|entry| &entry.avoid);
        let Some(avoid) = avoid.filter(|avoid| !avoid.is_empty()) else {
            return false;
        };
        let node = self.ledger.workers.get(key).and_then(|worker| worker.node.as_ref());
        node.is_some_and(|node| avoid.contains(node))
    }

    /// Finds a worker to be probed, if the job may serve as probe: one part, batch class, evictable
    /// and without an earlier failure.
    fn probe(&self, job: Job, entry: &Entry) -> Option<(Vec<Slot>, Reason)> {
        let fit_for_probe = entry.spec.shape.parts == 1
            && entry.spec.class == Class::Batch
            && entry.spec.eviction != Eviction::Never
            && !self.health.has_failed(job);
        if self.probed.is_empty() || !fit_for_probe {
            return None;
        }
        fit::find(&self.ledger, &entry.spec.shape, |key, worker| {
            let idle = worker.placed.is_empty() && worker.open && self.probed.contains(&key);
            if idle { worker.free() } else { Resources::default() }
        })
    }

    /// Finds a free place outside the accelerators that are withheld for reservations.
    fn find(
        &self,
        job: Job,
        shape: &Shape,
        pinned: bool,
        withheld: impl Fn(WorkerKey) -> u64,
    ) -> Option<(Vec<Slot>, Reason)> {
        fit::find(&self.ledger, shape, |key, worker| {
            let mut room = self.room(job, key, worker, pinned);
            room.mask &= !withheld(key);
            room
        })
    }

    /// Finds a place for a pinned job by moving unclaimed placements of guarantees off it.
    fn find_by_moving_guarantees(
        &mut self,
        job: Job,
        shape: &Shape,
        withheld: impl Fn(WorkerKey) -> u64,
    ) -> Option<(Vec<Slot>, Reason)> {
        let (slots, reason) = self.find(job, shape, false, withheld)?;
        self.ledger.change(&slots, |w| &mut w.pinned, |room, mask| room.add(mask, shape));
        let moved = self.placements.make_room(&mut self.ledger, &slots);
        self.ledger.change(&slots, |w| &mut w.pinned, |room, mask| room.subtract(mask, shape));
        moved.then_some((slots, reason))
    }

    /// Evicts jobs for one that has waited long, or reserves a place for it.
    ///
    /// Evicts only if the accelerator time saved exceeds the cost by the factor `move_gain`.
    fn reserve(
        &mut self,
        now: Time,
        job: Job,
        context: &mut StepContext,
        effects: &mut Vec<Effect>,
    ) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let Some((at, slots)) = self.earliest(now, &entry.spec) else {
            return;
        };
        let gain = entry.total() * at.since(now).as_secs_f64();
        let plan = self.plan_eviction(now, job, &entry.spec, |other| {
            self.evictable_for_aged(now, entry, other)
        });
        if let Some(plan) = plan
            && plan.cost * self.policy.move_gain < gain
        {
            self.assign(now, job, plan.slots, Reason::Evicted, Cause::Reserved, effects);
            return;
        }
        context.reserved.add(self.reservations.len(), &slots);
        self.reservations.push(Reservation { job, at });
    }

    /// Evicts jobs with a long remaining run time for a short job, if that saves enough waiting.
    fn displace(&mut self, now: Time, job: Job, effects: &mut Vec<Effect>) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let remaining = entry.remaining(now);
        let outlasts = |other: Job| self.evictable_for_short(now, entry, other);
        let Some(plan) = self.plan_eviction(now, job, &entry.spec, outlasts) else {
            return;
        };
        if plan.victims.is_empty() {
            return;
        }
        let Some((at, _)) = self.earliest(now, &entry.spec) else {
            return;
        };
        let count = u32::try_from(plan.victims.len()).unwrap_or(u32::MAX);
        let lost = (remaining + Duration::from(self.policy.move_cost)) * count;
        if at.since(now) > lost.mul_f64(self.policy.displace_gain) {
            self.assign(now, job, plan.slots, Reason::Evicted, Cause::Reserved, effects);
        }
    }

    /// Returns whether a job cannot be evicted and claims no guarantee, so that it may only run where
    /// all guarantees still fit.
    pub(super) fn is_pinned(&self, job: Job) -> bool {
        let never = |entry: &Entry| entry.spec.eviction == Eviction::Never;
        self.jobs.get(&job).is_some_and(never) && self.placements.index_of_claim(job).is_none()
    }
}
