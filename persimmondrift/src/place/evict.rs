//! Eviction: selects the running jobs whose accelerators another job takes, at the least cost.

use std::collections::BTreeSet;
use std::time::Duration;

use super::ledger::{Resources, Slot, Worker, WorkerKey, lowest_bits};
use super::planner::{Entry, Planner, State};
use super::{Adjacency, Class, Eviction, Spec};
use crate::unit::{Job, Time};

/// A place for a job, and the evictions that free it.
#[derive(Debug)]
pub(super) struct EvictionPlan {
    /// One slot per part.
    pub slots: Vec<Slot>,
    /// Jobs to evict.
    pub victims: BTreeSet<Job>,
    /// Accelerator seconds that the evictions waste.
    pub cost: f64,
}

/// A slot for one part on a worker, and the jobs that must be evicted from it first.
#[derive(Debug)]
struct Offer {
    cost: f64,
    slot: Slot,
    victims: Vec<Job>,
}

impl Planner {
    /// Returns whether a job holds a place from which it may be evicted at all.
    pub(super) fn evictable(&self, job: Job) -> bool {
        self.jobs.get(&job).is_some_and(|entry| {
            matches!(entry.state, State::Running | State::Leaving)
                && entry.spec.eviction != Eviction::Never
                && self.placements.index_of_claim(job).is_none()
        })
    }

    /// Returns whether a job may be evicted for an urgent job: it is not urgent itself, and the
    /// workspace of the urgent job is the same or below its share.
    pub(super) fn evictable_for_urgent(&self, spec: &Spec, job: Job) -> bool {
        let fair = |entry: &Entry| {
            entry.spec.class != Class::Urgent
                && (entry.spec.workspace == spec.workspace || self.below_share(&spec.workspace))
        };
        self.evictable(job) && self.jobs.get(&job).is_some_and(fair)
    }

    /// Returns whether a job may be evicted for a larger one that has waited longer.
    pub(super) fn evictable_for_aged(&self, now: Time, entry: &Entry, job: Job) -> bool {
        let newer =
            |victim: &Entry| victim.waited < entry.wait(now) && victim.total() < entry.total();
        self.settled(now, entry, job) && self.jobs.get(&job).is_some_and(newer)
    }

    /// Returns whether a job may be evicted for one that is expected to end long before it.
    pub(super) fn evictable_for_short(&self, now: Time, entry: &Entry, job: Job) -> bool {
        let aged = Duration::from(self.policy.protect_after);
        let least = entry.remaining(now).mul_f64(self.policy.outlast);
        let outlasts = |victim: &Entry| victim.waited < aged && victim.remaining(now) >= least;
        self.settled(now, entry, job) && self.jobs.get(&job).is_some_and(outlasts)
    }

    /// Returns whether a job of no higher class has run for the `settle` time, is expected to run
    /// as long again, and can be checkpointed. Jobs that lose their progress are excluded: they
    /// would evict each other in turn and never end.
    fn settled(&self, now: Time, entry: &Entry, job: Job) -> bool {
        let settle = Duration::from(self.policy.settle);
        let fair = |victim: &Entry| {
            victim.spec.class >= entry.spec.class
                && victim.spec.eviction == Eviction::Checkpoint
                && victim.state == State::Running
                && now.since(victim.started) >= settle
                && victim.remaining(now) >= settle
        };
        self.evictable(job) && self.jobs.get(&job).is_some_and(fair)
    }

    /// Returns the accelerator seconds that evicting a job wastes; more for each earlier eviction.
    pub(super) fn eviction_cost(&self, now: Time, job: Job) -> f64 {
        let Some(entry) = self.jobs.get(&job) else {
            return 0.0;
        };
        if entry.state == State::Leaving {
            return 0.0;
        }
        let mut seconds = Duration::from(self.policy.move_cost).as_secs_f64();
        if entry.spec.eviction == Eviction::Stop {
            seconds += now.since(entry.started).as_secs_f64();
        }
        seconds * entry.total() * f64::from(1 + entry.evictions)
    }

    /// Finds the place that is cheapest to free, evicting only jobs for which `may_evict` holds.
    pub(super) fn plan_eviction(
        &self,
        now: Time,
        job: Job,
        spec: &Spec,
        may_evict: impl Fn(Job) -> bool,
    ) -> Option<EvictionPlan> {
        let mut best: Option<EvictionPlan> = None;
        let mut consider = |keys: &[WorkerKey]| {
            let fit: Vec<WorkerKey> =
                keys.iter().copied().filter(|&key| !self.avoids(job, key)).collect();
            let plan = self.plan_eviction_in(now, &fit, spec, &may_evict);
            if let Some(plan) = plan
                && best.as_ref().is_none_or(|best| plan.cost < best.cost)
            {
                best = Some(plan);
            }
        };
        match spec.shape.adjacency {
            Adjacency::Worker => self.ledger.workers.keys().for_each(|key| consider(&[key])),
            Adjacency::Rack => self.ledger.racks.values().for_each(|keys| consider(keys)),
            Adjacency::Zone => {
                let all: Vec<WorkerKey> = self.ledger.racks.values().flatten().copied().collect();
                consider(&all);
            }
        }
        best
    }

    fn plan_eviction_in(
        &self,
        now: Time,
        keys: &[WorkerKey],
        spec: &Spec,
        may_evict: &impl Fn(Job) -> bool,
    ) -> Option<EvictionPlan> {
        let parts = usize::from(spec.shape.parts);
        let mut offers: Vec<Offer> = Vec::new();
        for &key in keys {
            let worker = &self.ledger.workers[key];
            if worker.healthy() {
                self.offer(now, key, worker, spec, may_evict, &mut offers);
            }
        }
        if offers.len() < parts {
            return None;
        }
        offers.sort_by(|one, other| one.cost.total_cmp(&other.cost));
        offers.truncate(parts);
        let victims: BTreeSet<Job> =
            offers.iter().flat_map(|o| o.victims.iter().copied()).collect();
        let cost = victims.iter().map(|&job| self.eviction_cost(now, job)).sum();
        Some(EvictionPlan {
            slots: offers.into_iter().map(|offer| offer.slot).collect(),
            victims,
            cost,
        })
    }

    /// Adds an offer for each part that fits on a worker, evicting the cheapest jobs first.
    fn offer(
        &self,
        now: Time,
        key: WorkerKey,
        worker: &Worker,
        spec: &Spec,
        may_evict: &impl Fn(Job) -> bool,
        offers: &mut Vec<Offer>,
    ) {
        let shape = &spec.shape;
        let pinned = spec.eviction == Eviction::Never;
        let mut candidates: Vec<(f64, Job)> = Vec::new();
        for part in &worker.placed {
            if may_evict(part.job) && !candidates.iter().any(|(_, job)| *job == part.job) {
                candidates.push((self.eviction_cost(now, part.job), part.job));
            }
        }
        candidates.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut leaving = candidates.into_iter();
        let mut free = worker.free();
        let mut bound = if pinned { worker.guarantee_room() } else { worker.allocatable };
        let mut cost = 0.0;
        let mut victims: Vec<Job> = Vec::new();
        for _ in 0..shape.parts {
            while free.and(bound).count_fitting(shape, 1) == 0 {
                let Some((loss, job)) = leaving.next() else {
                    return;
                };
                cost += loss;
                victims.push(job);
                self.add_held(worker, job, &mut free);
            }
            let mask = lowest_bits(free.mask & bound.mask, shape.accelerators);
            free.subtract(mask, shape);
            bound.subtract(mask, shape);
            let slot = Slot { worker: key, mask };
            offers.push(Offer { cost, slot, victims: victims.clone() });
        }
    }

    /// Adds the resources that a job holds on a worker to `room`, without assigned accelerators.
    fn add_held(&self, worker: &Worker, job: Job, room: &mut Resources) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        for part in worker.placed.iter().filter(|part| part.job == job) {
            room.add(part.mask & !worker.assigned.mask, &entry.spec.shape);
        }
    }

    /// Returns the jobs that must leave a place, or `None` if a worker is unknown or one of the
    /// jobs cannot be evicted.
    pub(super) fn victims(&self, slots: &[Slot], spec: &Spec) -> Option<BTreeSet<Job>> {
        let mut victims = BTreeSet::new();
        for slot in slots {
            let worker = self.ledger.workers.get(slot.worker)?;
            for part in &worker.placed {
                if part.mask & slot.mask != 0 {
                    victims.insert(part.job);
                }
            }
        }
        for slot in slots {
            self.add_victims_for_cores_and_memory(slots, slot.worker, spec, &mut victims);
        }
        let leaves = |job: &Job| {
            self.evictable(*job) || self.jobs.get(job).is_some_and(|e| e.state == State::Leaving)
        };
        victims.iter().all(leaves).then_some(victims)
    }

    /// Adds victims until the cores and memory of a worker suffice as well.
    fn add_victims_for_cores_and_memory(
        &self,
        slots: &[Slot],
        key: WorkerKey,
        spec: &Spec,
        victims: &mut BTreeSet<Job>,
    ) {
        let Some(worker) = self.ledger.workers.get(key) else {
            return;
        };
        let parts = slots.iter().filter(|slot| slot.worker == key).count();
        let mut candidates: Vec<Job> = worker.placed.iter().map(|part| part.job).collect();
        candidates.retain(|&job| self.evictable(job));
        while !suffices(worker, self, victims, spec, parts) {
            let Some(job) = candidates.pop() else {
                return;
            };
            victims.insert(job);
        }
    }
}

/// Returns whether cores and memory of a worker hold `parts` parts once the victims have left.
fn suffices(
    worker: &Worker,
    planner: &Planner,
    victims: &BTreeSet<Job>,
    spec: &Spec,
    parts: usize,
) -> bool {
    let mut held = worker.held;
    for part in worker.placed.iter().filter(|part| victims.contains(&part.job)) {
        if let Some(entry) = planner.jobs.get(&part.job) {
            held.subtract(0, &entry.spec.shape);
        }
    }
    let mut need = held;
    for _ in 0..parts {
        need.add(0, &spec.shape);
    }
    need.cores <= worker.allocatable.cores && need.memory <= worker.allocatable.memory
}
