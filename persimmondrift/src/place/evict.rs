//! Eviction: which running jobs leave so that another one fits.

use std::collections::BTreeSet;
use std::time::Duration;

use super::ledger::{Room, Slot, Worker, WorkerKey, lowest_bits};
use super::planner::{Entry, Planner, State};
use super::{Adjacency, Class, Eviction, Spec};
use crate::unit::{Job, Time};

/// A place, and what making it free costs.
#[derive(Debug)]
pub(super) struct Clearing {
    /// The place.
    pub slots: Vec<Slot>,
    /// The jobs that have to leave.
    pub victims: BTreeSet<Job>,
    /// Accelerator seconds that the victims lose.
    pub cost: f64,
}

/// A part that fits on a worker once some jobs have left.
#[derive(Debug)]
struct Offer {
    cost: f64,
    slot: Slot,
    victims: Vec<Job>,
}

impl Planner {
    /// Returns whether a job may be made to leave at all.
    pub(super) fn evictable(&self, job: Job) -> bool {
        self.jobs.get(&job).is_some_and(|entry| {
            matches!(entry.state, State::Running | State::Leaving)
                && entry.spec.eviction != Eviction::Never
                && self.homes.of(job).is_none()
        })
    }

    /// Returns whether a job may be made to leave for urgent work of `spec`'s workspace.
    pub(super) fn yields_to_urgent(&self, spec: &Spec, job: Job) -> bool {
        let fair = |entry: &Entry| {
            entry.spec.class != Class::Urgent
                && (entry.spec.workspace == spec.workspace || self.below_share(&spec.workspace))
        };
        self.evictable(job) && self.jobs.get(&job).is_some_and(fair)
    }

    /// Returns whether a job may be made to leave for a larger one that has waited longer.
    pub(super) fn yields_to(&self, now: Time, entry: &Entry, job: Job) -> bool {
        let newer =
            |victim: &Entry| victim.waited < entry.wait(now) && victim.total() < entry.total();
        self.settled(now, entry, job) && self.jobs.get(&job).is_some_and(newer)
    }

    /// Returns whether a job may be made to leave for one that is over long before it.
    pub(super) fn outlasts(&self, now: Time, entry: &Entry, job: Job) -> bool {
        let aged = Duration::from(self.policy.protect_after);
        let least = entry.left(now).mul_f64(self.policy.outlast);
        let outlasts = |victim: &Entry| victim.waited < aged && victim.left(now) >= least;
        self.settled(now, entry, job) && self.jobs.get(&job).is_some_and(outlasts)
    }

    /// Returns whether a job of no higher class has run for a while, has one to go, and keeps
    /// its progress: jobs that lose it would take turns for ever.
    fn settled(&self, now: Time, entry: &Entry, job: Job) -> bool {
        let settle = Duration::from(self.policy.settle);
        let fair = |victim: &Entry| {
            victim.spec.class >= entry.spec.class
                && victim.spec.eviction == Eviction::Checkpoint
                && victim.state == State::Running
                && now.since(victim.started) >= settle
                && victim.left(now) >= settle
        };
        self.evictable(job) && self.jobs.get(&job).is_some_and(fair)
    }

    /// Returns the accelerator seconds that a job loses by leaving.
    pub(super) fn loss(&self, now: Time, job: Job) -> f64 {
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

    /// Finds the cheapest place that becomes free when jobs leave.
    pub(super) fn clear(
        &self,
        now: Time,
        job: Job,
        spec: &Spec,
        yields: impl Fn(Job) -> bool,
    ) -> Option<Clearing> {
        let mut best: Option<Clearing> = None;
        let mut consider = |keys: &[WorkerKey]| {
            let fit: Vec<WorkerKey> =
                keys.iter().copied().filter(|&key| !self.avoids(job, key)).collect();
            let clearing = self.clear_domain(now, &fit, spec, &yields);
            if let Some(clearing) = clearing
                && best.as_ref().is_none_or(|best| clearing.cost < best.cost)
            {
                best = Some(clearing);
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

    fn clear_domain(
        &self,
        now: Time,
        keys: &[WorkerKey],
        spec: &Spec,
        yields: &impl Fn(Job) -> bool,
    ) -> Option<Clearing> {
        let parts = usize::from(spec.shape.parts);
        let mut offers: Vec<Offer> = Vec::new();
        for &key in keys {
            let worker = &self.ledger.workers[key];
            if worker.healthy() {
                self.offer(now, key, worker, spec, yields, &mut offers);
            }
        }
        if offers.len() < parts {
            return None;
        }
        offers.sort_by(|one, other| one.cost.total_cmp(&other.cost));
        offers.truncate(parts);
        let victims: BTreeSet<Job> =
            offers.iter().flat_map(|o| o.victims.iter().copied()).collect();
        let cost = victims.iter().map(|&job| self.loss(now, job)).sum();
        Some(Clearing {
            slots: offers.into_iter().map(|offer| offer.slot).collect(),
            victims,
            cost,
        })
    }

    /// Adds the parts that fit on a worker, the cheapest first.
    fn offer(
        &self,
        now: Time,
        key: WorkerKey,
        worker: &Worker,
        spec: &Spec,
        yields: &impl Fn(Job) -> bool,
        offers: &mut Vec<Offer>,
    ) {
        let shape = &spec.shape;
        let firm = spec.eviction == Eviction::Never;
        let mut tenants: Vec<(f64, Job)> = Vec::new();
        for tenant in &worker.tenants {
            if yields(tenant.job) && !tenants.iter().any(|(_, job)| *job == tenant.job) {
                tenants.push((self.loss(now, tenant.job), tenant.job));
            }
        }
        tenants.sort_by(|one, other| one.0.total_cmp(&other.0));
        let mut leaving = tenants.into_iter();
        let mut free = worker.free();
        let mut bound = if firm { worker.home_room() } else { worker.all };
        let mut cost = 0.0;
        let mut victims: Vec<Job> = Vec::new();
        for _ in 0..shape.parts {
            while free.and(bound).parts(shape, 1) == 0 {
                let Some((loss, job)) = leaving.next() else {
                    return;
                };
                cost += loss;
                victims.push(job);
                self.join(worker, job, &mut free);
            }
            let mask = lowest_bits(free.mask & bound.mask, shape.accelerators);
            free.subtract(mask, shape);
            bound.subtract(mask, shape);
            let slot = Slot { worker: key, mask };
            offers.push(Offer { cost, slot, victims: victims.clone() });
        }
    }

    /// Adds what a job holds on a worker to what is free there.
    fn join(&self, worker: &Worker, job: Job, room: &mut Room) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        for tenant in worker.tenants.iter().filter(|tenant| tenant.job == job) {
            room.add(tenant.mask & !worker.promised.mask, &entry.spec.shape);
        }
    }

    /// Returns the jobs that have to leave a place, or nothing if some must not.
    pub(super) fn victims(&self, slots: &[Slot], spec: &Spec) -> Option<BTreeSet<Job>> {
        let mut victims = BTreeSet::new();
        for slot in slots {
            let worker = self.ledger.workers.get(slot.worker)?;
            for tenant in &worker.tenants {
                if tenant.mask & slot.mask != 0 {
                    victims.insert(tenant.job);
                }
            }
        }
        for slot in slots {
            self.relieve(slots, slot.worker, spec, &mut victims);
        }
        let leaves = |job: &Job| {
            self.evictable(*job) || self.jobs.get(job).is_some_and(|e| e.state == State::Leaving)
        };
        victims.iter().all(leaves).then_some(victims)
    }

    /// Adds victims until a worker's cores and memory suffice too.
    fn relieve(&self, slots: &[Slot], key: WorkerKey, spec: &Spec, victims: &mut BTreeSet<Job>) {
        let Some(worker) = self.ledger.workers.get(key) else {
            return;
        };
        let parts = slots.iter().filter(|slot| slot.worker == key).count();
        let mut tenants: Vec<Job> = worker.tenants.iter().map(|tenant| tenant.job).collect();
        tenants.retain(|&job| self.evictable(job));
        while !suffices(worker, self, victims, spec, parts) {
            let Some(job) = tenants.pop() else {
                return;
            };
            victims.insert(job);
        }
    }
}

/// Returns whether cores and memory suffice for parts of a job once the victims have left.
fn suffices(
    worker: &Worker,
    planner: &Planner,
    victims: &BTreeSet<Job>,
    spec: &Spec,
    parts: usize,
) -> bool {
    let mut held = worker.held;
    for tenant in worker.tenants.iter().filter(|tenant| victims.contains(&tenant.job)) {
        if let Some(entry) = planner.jobs.get(&tenant.job) {
            held.subtract(0, &entry.spec.shape);
        }
    }
    let mut need = held;
    for _ in 0..parts {
        need.add(0, &spec.shape);
    }
    need.cores <= worker.all.cores && need.memory <= worker.all.memory
}
