//! The planner of one availability zone: its state, and the events that change it.
//!
//! Events update the state, and stop attempts that were cancelled or lost a worker.
//! [`Planner::step`] decides what starts and what is evicted.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::estimate::{self, Estimates};
use super::fit;
use super::home::{Entitlement, GuaranteeStatus, Placement, Placements};
use super::ledger::{Ledger, Resources, Slot, Worker, WorkerKey};
use super::reserve::Reservation;
use super::{Allocation, Cause, Effect, Eviction, Outcome, Policy, Reason, Share, Spec, Summary};
use crate::gang::{Holding, LEASE};
use crate::health::{Change, Health, Verdict};
use crate::member::Capacity;
use crate::unit::{Accelerators, Attempt, Job, Node, Rack, Time, Workspace};

/// Added to the lease before the accelerators of a lost worker may be used again.
const LAPSE_MARGIN: Duration = Duration::from_millis(500);
/// Backoff after the first attempt that stopped unasked; doubled for each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Limit on the doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Waiting,
    /// It is assigned a place that others have not left yet.
    Assigned,
    /// Its attempt holds a place.
    Running,
    /// Its attempt was asked to stop and still holds its place.
    Leaving,
}

/// A job that has not ended.
#[derive(Debug)]
pub(super) struct Entry {
    pub spec: Spec,
    pub submitted: Time,
    /// Start of the current wait; the end of the last attempt or the submission.
    pub waiting_since: Time,
    /// Total wait before all attempts so far.
    pub waited: Duration,
    pub attempt: Attempt,
    pub state: State,
    /// Place that it holds or is assigned, one slot per part; empty while it waits.
    pub slots: Vec<Slot>,
    /// Whether its slots are counted in the pinned resources of their workers.
    pub pinned: bool,
    pub reason: Reason,
    /// Expected run time of the whole job, estimated at its submission.
    pub expected: Duration,
    /// Run time of earlier attempts that checkpoints preserve.
    pub saved_run: Duration,
    pub started: Time,
    pub not_before: Time,
    pub backoffs: u32,
    /// Evictions for other jobs so far.
    pub evictions: u32,
    pub cancelled: bool,
    /// Nodes of workers that it must not use because it failed there.
    pub avoid: BTreeSet<Node>,
}

impl Entry {
    /// Returns the expected remaining run time.
    pub fn remaining(&self, now: Time) -> Duration {
        let ran = match self.state {
            State::Running | State::Leaving => self.saved_run + now.since(self.started),
            State::Waiting | State::Assigned => self.saved_run,
        };
        estimate::remaining(self.expected, ran)
    }

    /// Returns the total wait of all attempts.
    pub fn wait(&self, now: Time) -> Duration {
        match self.state {
            State::Running | State::Leaving => self.waited,
            State::Waiting | State::Assigned => self.waited + now.since(self.waiting_since),
        }
    }

    /// Returns the accelerators of all parts, at least 1.
    pub fn total(&self) -> f64 {
        f64::from(self.spec.shape.total().0.max(1))
    }
}

/// Places the jobs of one availability zone on its workers.
#[derive(Debug, Default)]
pub struct Planner {
    pub(super) policy: Policy,
    pub(super) ledger: Ledger,
    pub(super) placements: Placements,
    pub(super) health: Health,
    pub(super) estimates: Estimates,
    pub(super) jobs: BTreeMap<Job, Entry>,
    pub(super) waiting: BTreeSet<Job>,
    pub(super) assigned: BTreeSet<Job>,
    pub(super) shares: BTreeMap<Workspace, Share>,
    /// Accelerators that each workspace holds.
    pub(super) used: BTreeMap<Workspace, u32>,
    /// Quarantined workers that may get a probe job.
    pub(super) probed: BTreeSet<WorkerKey>,
    pub(super) reservations: Vec<Reservation>,
    /// Whether anything has changed since the last step.
    pub(super) changed: bool,
    pub(super) last_step: Time,
    /// Earliest time at which a job that was left out of the last step's queue may start.
    pub(super) wake: Option<Time>,
}

impl Planner {
    /// Creates a planner without workers, jobs and guarantees.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Replaces the weights from the next step on.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
        self.changed = true;
    }

    /// Replaces the guarantees of this zone.
    pub fn set_guarantees(&mut self, entitlements: Vec<Entitlement>) {
        self.placements.set(&mut self.ledger, entitlements);
        self.changed = true;
    }

    /// Removes the shares and limits of all workspaces.
    pub fn clear_shares(&mut self) {
        self.shares.clear();
        self.changed = true;
    }

    /// Sets the share and limit of a workspace.
    pub fn set_share(&mut self, workspace: Workspace, share: Share) {
        self.shares.insert(workspace, share);
        self.changed = true;
    }

    /// Adds a worker, or updates its capacity and whether it accepts new parts.
    pub fn put_worker(&mut self, node: &Node, rack: &Rack, capacity: Capacity, open: bool) {
        if self.ledger.put(node, rack, capacity, open) {
            self.placements.mark_changed();
            self.changed = true;
        }
    }

    /// Places nothing new on a worker until the next [`Self::put_worker`].
    pub fn close_worker(&mut self, node: &Node) {
        if self.ledger.close(node) {
            self.placements.mark_changed();
            self.changed = true;
        }
    }

    /// Records what an agent reports its worker to hold.
    ///
    /// Accelerators held by attempts that are unknown here are not allocated.
    pub fn put_holdings(&mut self, node: &Node, holdings: &[Holding]) {
        let mut foreign = 0;
        for holding in holdings {
            let entry = self.jobs.get(&holding.task.job);
            let known = entry.is_some_and(|entry| {
                entry.attempt == holding.task.attempt && !entry.slots.is_empty()
            });
            if !known {
                foreign |= holding.mask;
            }
        }
        let Some(key) = self.ledger.key(node) else {
            return;
        };
        let worker = &mut self.ledger.workers[key];
        if worker.foreign != foreign {
            worker.foreign = foreign;
            self.changed = true;
        }
    }

    /// Removes a lost worker and stops all parts of the attempts that ran there.
    ///
    /// Their accelerators are not reused, and their jobs not restarted, before the lease has lapsed.
    pub fn remove_worker(&mut self, now: Time, node: &Node) -> Vec<Effect> {
        let until = now + Duration::from(LEASE) + LAPSE_MARGIN;
        let Some((key, worker)) = self.ledger.remove(node, until) else {
            return Vec::new();
        };
        self.changed = true;
        self.placements.mark_changed();
        self.health.forget_worker(node);
        self.probed.remove(&key);
        let mut effects = Vec::new();
        let jobs: BTreeSet<Job> = worker.placed.iter().map(|part| part.job).collect();
        for job in jobs {
            if let Some(entry) = self.jobs.get_mut(&job) {
                entry.not_before = until;
            }
            effects.extend(self.stop(job, Cause::WorkerLost));
        }
        let assigned: Vec<Job> = self.assigned.iter().copied().collect();
        for job in assigned {
            if self.jobs[&job].slots.iter().any(|slot| slot.worker == key) {
                self.unassign(job);
            }
        }
        effects
    }

    /// Adds a waiting job. Does nothing if the job is known.
    pub fn submit(&mut self, now: Time, job: Job, spec: Spec) {
        if self.jobs.contains_key(&job) {
            return;
        }
        let entry = Entry {
            expected: self.estimates.expected_run(&spec),
            spec,
            submitted: now,
            waiting_since: now,
            waited: Duration::ZERO,
            attempt: Attempt(0),
            state: State::Waiting,
            slots: Vec::new(),
            pinned: false,
            reason: Reason::AcrossRacks,
            saved_run: Duration::ZERO,
            started: now,
            not_before: now,
            backoffs: 0,
            evictions: 0,
            cancelled: false,
            avoid: BTreeSet::new(),
        };
        self.jobs.insert(job, entry);
        self.waiting.insert(job);
        self.changed = true;
    }

    /// Adopts a running attempt that agents report to a planner which has just taken over.
    ///
    /// Returns whether the job waits here and all its accelerators could be allocated.
    pub fn adopt(
        &mut self,
        now: Time,
        job: Job,
        attempt: Attempt,
        allocations: &[Allocation],
    ) -> bool {
        let Some(entry) = self.jobs.get(&job) else {
            return false;
        };
        if entry.state != State::Waiting || allocations.len() != usize::from(entry.spec.shape.parts)
        {
            return false;
        }
        let mut slots = Vec::new();
        for allocation in allocations {
            let Some(worker) = self.ledger.key(&allocation.node) else {
                return false;
            };
            let found = &mut self.ledger.workers[worker];
            if found.held.mask & allocation.mask != 0
                || allocation.mask & !found.allocatable.mask != 0
            {
                return false;
            }
            found.foreign &= !allocation.mask;
            slots.push(Slot { worker, mask: allocation.mask });
        }
        let (spec, shape) = (entry.spec.clone(), entry.spec.shape);
        let index = self
            .placements
            .covering(&spec.workspace, &shape)
            .filter(|&index| spec.claim && self.placements.list[index].entitlement.shape == shape);
        if index.is_some() || spec.eviction == Eviction::Never {
            self.placements.vacate_workers(&mut self.ledger, &slots);
        }
        if let Some(index) = index {
            self.placements.place(&mut self.ledger, index, slots.clone());
            self.placements.list[index].claim = Some(job);
        }
        self.begin(now, job, slots, Reason::AcrossRacks);
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.attempt = attempt;
        }
        true
    }

    /// Makes the next attempt number higher than `attempt`, the last one on record.
    pub fn raise_attempt(&mut self, job: Job, attempt: Attempt) {
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.attempt = entry.attempt.max(attempt);
        }
    }

    /// Records that an attempt released its accelerators before the job ended.
    ///
    /// If it was not asked to stop, the next attempt is delayed by a backoff.
    pub fn released(&mut self, now: Time, job: Job, attempt: Attempt) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        if entry.attempt != attempt || !matches!(entry.state, State::Running | State::Leaving) {
            return;
        }
        if entry.state == State::Running {
            let backoff = INITIAL_BACKOFF * (1 << entry.backoffs.min(MAX_BACKOFF_DOUBLINGS));
            entry.not_before = entry.not_before.max(now + backoff);
            entry.backoffs += 1;
        }
        if entry.spec.eviction == Eviction::Checkpoint && entry.state == State::Leaving {
            entry.saved_run += now.since(entry.started);
        }
        let cancelled = entry.cancelled;
        self.release_place(Some(now), job);
        if cancelled {
            self.forget(job);
        }
    }

    /// Records the end of a job and removes it.
    ///
    /// A job that finished here updates the estimates and the health of its workers.
    pub fn ended(&mut self, now: Time, job: Job, outcome: Outcome) -> Vec<Effect> {
        let Some(entry) = self.jobs.get(&job) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        if outcome == Outcome::Finished && matches!(entry.state, State::Running | State::Leaving) {
            let took = entry.saved_run + now.since(entry.started);
            self.estimates.learn(&entry.spec, took);
            let mut nodes: Vec<Node> = Vec::new();
            for allocation in self.ledger.allocations(&entry.slots) {
                if nodes.last() != Some(&allocation.node) {
                    nodes.push(allocation.node);
                }
            }
            for node in nodes {
                if let Some(change) = self.health.finished(&node) {
                    effects.extend(self.apply_health_change(change));
                }
            }
        }
        self.release_place(None, job);
        self.forget(job);
        effects
    }

    /// Records that an attempt failed at a node, and returns whether the job is at fault.
    ///
    /// A job at fault is removed; any other waits for its next attempt.
    pub fn failed(
        &mut self,
        now: Time,
        job: Job,
        attempt: Attempt,
        node: &Node,
    ) -> (Verdict, Vec<Effect>) {
        let Some(entry) = self.jobs.get(&job) else {
            return (Verdict::Retry, Vec::new());
        };
        if entry.attempt != attempt {
            return (Verdict::Retry, Vec::new());
        }
        let cancelled = entry.cancelled;
        let total = self.ledger.workers.len();
        let (verdict, change) = self.health.failed(now, job, node, total);
        let effects: Vec<Effect> =
            change.into_iter().filter_map(|c| self.apply_health_change(c)).collect();
        self.release_place(Some(now), job);
        self.avoid(job, node);
        if cancelled || verdict == Verdict::AtFault {
            self.forget(job);
        }
        (verdict, effects)
    }

    /// Excludes a worker at which a job failed from its next attempts.
    ///
    /// If the shape then fits nowhere, only this worker stays excluded, or none.
    fn avoid(&mut self, job: Job, node: &Node) {
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.avoid.insert(node.clone());
        }
        let fits = |planner: &Self| {
            let shape = planner.jobs.get(&job).map(|entry| entry.spec.shape);
            let room = |key: WorkerKey, worker: &Worker| {
                if planner.avoids(job, key) { Resources::default() } else { worker.allocatable }
            };
            shape.is_some_and(|shape| fit::find(&planner.ledger, &shape, room).is_some())
        };
        for keep in [vec![node.clone()], Vec::new()] {
            if fits(self) {
                return;
            }
            if let Some(entry) = self.jobs.get_mut(&job) {
                entry.avoid = keep.into_iter().collect();
            }
        }
    }

    /// Cancels a job and stops its running attempt. Repeating it has no effect.
    pub fn cancel(&mut self, job: Job) -> Vec<Effect> {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return Vec::new();
        };
        entry.cancelled = true;
        if matches!(entry.state, State::Running | State::Leaving) {
            return self.stop(job, Cause::Cancelled).into_iter().collect();
        }
        self.release_place(None, job);
        self.forget(job);
        Vec::new()
    }

    /// Returns the placement and the claim of each guarantee.
    #[must_use]
    pub fn guarantee_status(&self) -> Vec<GuaranteeStatus> {
        let status = |placement: &Placement| GuaranteeStatus {
            entitlement: placement.entitlement.clone(),
            allocations: placement.slots.as_ref().map(|slots| self.ledger.allocations(slots)),
            claim: placement.claim,
        };
        self.placements.list.iter().map(status).collect()
    }

    /// Returns whether a job is known and has not ended.
    #[must_use]
    pub fn knows(&self, job: Job) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Returns the number of workers, free accelerators and waiting jobs.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let free = self.ledger.workers.values().map(|w| w.free().mask.count_ones()).sum();
        Summary {
            workers: self.ledger.workers.len(),
            free: Accelerators(free),
            waiting: self.waiting.len() + self.assigned.len(),
        }
    }

    /// Returns the accelerators of all workers.
    pub(super) fn total_accelerators(&self) -> u32 {
        self.ledger.workers.values().map(|worker| worker.allocatable.mask.count_ones()).sum()
    }

    /// Returns the accelerators of the largest worker.
    pub(super) fn largest_worker(&self) -> u32 {
        let all = self.ledger.workers.values().map(|worker| worker.allocatable.mask.count_ones());
        all.max().unwrap_or(0)
    }

    /// Allocates a place to a job as its next attempt.
    pub(super) fn begin(&mut self, now: Time, job: Job, slots: Vec<Slot>, reason: Reason) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let shape = entry.spec.shape;
        self.ledger.hold(job, &slots, &shape);
        entry.slots = slots;
        entry.state = State::Running;
        entry.waited += now.since(entry.waiting_since);
        entry.started = now;
        entry.reason = reason;
        entry.attempt = Attempt(entry.attempt.0 + 1);
        let workspace = entry.spec.workspace.clone();
        *self.used.entry(workspace).or_default() += shape.total().0;
        self.waiting.remove(&job);
        self.assigned.remove(&job);
        if self.is_pinned(job) {
            self.set_pinned(job, true);
        }
    }

    /// Adds the place of a job to the pinned resources of its workers, or subtracts it.
    pub(super) fn set_pinned(&mut self, job: Job, pinned: bool) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        if entry.pinned == pinned {
            return;
        }
        entry.pinned = pinned;
        let shape = entry.spec.shape;
        self.ledger.change(
            &entry.slots,
            |worker| &mut worker.pinned,
            |room, mask| {
                if pinned {
                    room.add(mask, &shape);
                } else {
                    room.subtract(mask, &shape);
                }
            },
        );
    }

    /// Marks a running job as leaving and returns the effect that stops it.
    pub(super) fn stop(&mut self, job: Job, cause: Cause) -> Option<Effect> {
        let entry = self.jobs.get_mut(&job)?;
        if entry.state != State::Running {
            return None;
        }
        entry.state = State::Leaving;
        if matches!(cause, Cause::Claimed | Cause::Urgent | Cause::Reserved) {
            entry.evictions += 1;
        }
        self.changed = true;
        Some(Effect::Stop { job, attempt: entry.attempt, cause })
    }

    /// Takes an assigned place back; the job waits again.
    pub(super) fn unassign(&mut self, job: Job) {
        self.release_place(None, job);
    }

    /// Releases the place that a job holds or is assigned; the job waits again, since `now` if given.
    fn release_place(&mut self, now: Option<Time>, job: Job) {
        self.set_pinned(job, false);
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        let shape = entry.spec.shape;
        let slots = std::mem::take(&mut entry.slots);
        let state = std::mem::replace(&mut entry.state, State::Waiting);
        entry.waiting_since = now.unwrap_or(entry.waiting_since);
        match state {
            State::Waiting => {}
            State::Assigned => self.ledger.change(
                &slots,
                |worker| &mut worker.assigned,
                |room, mask| room.subtract(mask, &shape),
            ),
            State::Running | State::Leaving => {
                self.ledger.free(job, &slots, &shape);
                if let Some(used) = self.used.get_mut(&entry.spec.workspace) {
                    *used = used.saturating_sub(shape.total().0);
                }
            }
        }
        self.placements.unclaim(job);
        self.assigned.remove(&job);
        self.waiting.insert(job);
        self.changed = true;
    }

    fn forget(&mut self, job: Job) {
        self.jobs.remove(&job);
        self.waiting.remove(&job);
        self.health.forget_job(job);
        self.reservations.retain(|reservation| reservation.job != job);
        self.changed = true;
    }

    /// Applies a change of a worker's health, and returns the effect to report.
    pub(super) fn apply_health_change(&mut self, change: Change) -> Option<Effect> {
        self.changed = true;
        self.placements.mark_changed();
        let (Change::Quarantined(node) | Change::Probed(node) | Change::TakenBack(node)) = &change;
        if let Some(key) = self.ledger.key(node) {
            self.ledger.workers[key].quarantined = !matches!(change, Change::TakenBack(_));
            if matches!(change, Change::Probed(_)) {
                self.probed.insert(key);
            } else {
                self.probed.remove(&key);
            }
        }
        match change {
            Change::Quarantined(node) => Some(Effect::Quarantined { node }),
            Change::TakenBack(node) => Some(Effect::TakenBack { node }),
            Change::Probed(_) => None,
        }
    }
}
