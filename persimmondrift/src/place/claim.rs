//! Claims on guarantees: borrowers are evicted from a guaranteed place, then the job starts there.

use super::fit;
use super::ledger::{Resources, Slot, Worker, WorkerKey, lowest_bits};
use super::planner::{Entry, Planner, State};
use super::{Cause, Effect, Reason, Shape};
use crate::unit::{Job, Time};

impl Planner {
    /// Assigns a job the placement of the guarantee that it claims.
    ///
    /// Returns false if no unclaimed guarantee covers its shape, or the guarantee has no place.
    pub(super) fn start_claim(&mut self, now: Time, job: Job, effects: &mut Vec<Effect>) -> bool {
        let Some(entry) = self.jobs.get(&job) else {
            return false;
        };
        let shape = entry.spec.shape;
        let Some(index) = self.placements.covering(&entry.spec.workspace, &shape) else {
            return false;
        };
        if self.placements.list[index].slots.is_none() {
            return false;
        }
        self.move_placement(job, index);
        let Some(placement) = self.placements.list[index].slots.clone() else {
            return false;
        };
        let slots = cut(&placement, &shape);
        self.placements.list[index].claim = Some(job);
        self.assign(now, job, slots, Reason::Guaranteed, Cause::Claimed, effects);
        true
    }

    /// Moves a placement to free accelerators, so that nothing is evicted, or else off workers at
    /// which the job has failed. If there is no such place, it stays.
    fn move_placement(&mut self, job: Job, index: usize) {
        let Some(before) = self.placements.list[index].slots.clone() else {
            return;
        };
        let shape = self.placements.list[index].entitlement.shape;
        self.placements.vacate(&mut self.ledger, index);
        let mut found = self.find_placement(job, &shape, Worker::pinned_room);
        if found.is_none() && before.iter().any(|slot| self.avoids(job, slot.worker)) {
            found = self.find_placement(job, &shape, Worker::guarantee_room);
        }
        self.placements.place(&mut self.ledger, index, found.unwrap_or(before));
    }

    fn find_placement(
        &self,
        job: Job,
        shape: &Shape,
        room: impl Fn(&Worker) -> Resources,
    ) -> Option<Vec<Slot>> {
        let room = |key: WorkerKey, worker: &Worker| {
            let fit = worker.healthy() && !self.avoids(job, key);
            if fit { room(worker) } else { Resources::default() }
        };
        fit::find(&self.ledger, shape, room).map(|(slots, _)| slots)
    }

    /// Assigns a place to a job: evicts the jobs on it, and starts the job once they have left.
    pub(super) fn assign(
        &mut self,
        now: Time,
        job: Job,
        slots: Vec<Slot>,
        reason: Reason,
        cause: Cause,
        effects: &mut Vec<Effect>,
    ) {
        self.unassign_overlapping(job, &slots);
        let Some(spec) = self.jobs.get(&job).map(|entry| entry.spec.clone()) else {
            return;
        };
        for victim in self.victims(&slots, &spec).unwrap_or_default() {
            effects.extend(self.stop(victim, cause));
        }
        self.ledger.change(
            &slots,
            |worker| &mut worker.assigned,
            |room, mask| room.add(mask, &spec.shape),
        );
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.slots = slots;
            entry.state = State::Assigned;
            entry.reason = reason;
        }
        self.waiting.remove(&job);
        self.assigned.insert(job);
        if self.is_pinned(job) {
            self.set_pinned(job, true);
        }
        self.start_assigned(now, job, effects);
    }

    /// Starts the assigned jobs whose place has become free.
    pub(super) fn start_all_assigned(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let assigned: Vec<Job> = self.assigned.iter().copied().collect();
        for job in assigned {
            self.start_assigned(now, job, effects);
        }
    }

    fn start_assigned(&mut self, now: Time, job: Job, effects: &mut Vec<Effect>) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        let free = entry.slots.iter().all(|slot| self.is_free(entry, slot));
        if !free {
            return;
        }
        let (slots, reason, shape) = (entry.slots.clone(), entry.reason.clone(), entry.spec.shape);
        self.ledger.change(
            &slots,
            |worker| &mut worker.assigned,
            |room, mask| room.subtract(mask, &shape),
        );
        self.start(now, job, slots, reason, effects);
    }

    /// Returns whether an assigned slot is free and its worker has the cores and memory.
    fn is_free(&self, entry: &Entry, slot: &Slot) -> bool {
        let Some(worker) = self.ledger.workers.get(slot.worker) else {
            return false;
        };
        let shape = &entry.spec.shape;
        let mut need = worker.held;
        for _ in entry.slots.iter().filter(|other| other.worker == slot.worker) {
            need.add(0, shape);
        }
        (worker.held.mask | worker.blocked()) & slot.mask == 0
            && need.cores <= worker.allocatable.cores
            && need.memory <= worker.allocatable.memory
    }

    /// Takes assigned places on the workers of `slots` back from other jobs that claim no guarantee.
    fn unassign_overlapping(&mut self, job: Job, slots: &[Slot]) {
        let assigned: Vec<Job> = self.assigned.iter().copied().collect();
        for other in assigned {
            let shares_worker = self.jobs.get(&other).is_some_and(|entry| {
                let on = |slot: &Slot| slots.iter().any(|s| s.worker == slot.worker);
                entry.slots.iter().any(on)
            });
            if other != job && shares_worker && self.placements.index_of_claim(other).is_none() {
                self.unassign(other);
            }
        }
    }
}

/// Reduces the slots of a guarantee to those that a smaller shape needs.
fn cut(placement: &[Slot], shape: &Shape) -> Vec<Slot> {
    let cut = |slot: &Slot| Slot {
        worker: slot.worker,
        mask: lowest_bits(slot.mask, shape.accelerators),
    };
    placement.iter().take(usize::from(shape.parts)).map(cut).collect()
}
