//! Claims: a guaranteed shape is taken back from those who borrowed it.

use super::fit;
use super::ledger::{Room, Slot, Worker, WorkerKey, lowest_bits};
use super::planner::{Entry, Planner, State};
use super::{Cause, Effect, Reason, Shape};
use crate::unit::{Job, Time};

impl Planner {
    /// Starts a claim on its guarantee, or returns false if it has none.
    pub(super) fn start_claim(&mut self, now: Time, job: Job, effects: &mut Vec<Effect>) -> bool {
        let Some(entry) = self.jobs.get(&job) else {
            return false;
        };
        let shape = entry.spec.shape;
        let Some(index) = self.homes.covering(&entry.spec.workspace, &shape) else {
            return false;
        };
        if self.homes.list[index].slots.is_none() {
            return false;
        }
        self.move_home(job, index);
        let Some(home) = self.homes.list[index].slots.clone() else {
            return false;
        };
        let slots = cut(&home, &shape);
        self.homes.list[index].claim = Some(job);
        self.promise(now, job, slots, Reason::Guaranteed, Cause::Claimed, effects);
        true
    }

    /// Moves a home to accelerators that are free, or off workers at which the job has failed.
    fn move_home(&mut self, job: Job, index: usize) {
        let Some(before) = self.homes.list[index].slots.clone() else {
            return;
        };
        let shape = self.homes.list[index].promise.shape;
        self.homes.vacate(&mut self.ledger, index);
        let mut found = self.find_home(job, &shape, Worker::firm_room);
        if found.is_none() && before.iter().any(|slot| self.avoids(job, slot.worker)) {
            found = self.find_home(job, &shape, Worker::home_room);
        }
        self.homes.place(&mut self.ledger, index, found.unwrap_or(before));
    }

    fn find_home(
        &self,
        job: Job,
        shape: &Shape,
        room: impl Fn(&Worker) -> Room,
    ) -> Option<Vec<Slot>> {
        let room = |key: WorkerKey, worker: &Worker| {
            let fit = worker.healthy() && !self.avoids(job, key);
            if fit { room(worker) } else { Room::default() }
        };
        fit::find(&self.ledger, shape, room).map(|(slots, _)| slots)
    }

    /// Promises a place to a job: others leave it, then the job starts.
    pub(super) fn promise(
        &mut self,
        now: Time,
        job: Job,
        slots: Vec<Slot>,
        reason: Reason,
        cause: Cause,
        effects: &mut Vec<Effect>,
    ) {
        self.retract(job, &slots);
        let Some(spec) = self.jobs.get(&job).map(|entry| entry.spec.clone()) else {
            return;
        };
        for victim in self.victims(&slots, &spec).unwrap_or_default() {
            effects.extend(self.stop(victim, cause));
        }
        self.ledger.change(
            &slots,
            |worker| &mut worker.promised,
            |room, mask| room.add(mask, &spec.shape),
        );
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.slots = slots;
            entry.state = State::Promised;
            entry.reason = reason;
        }
        self.waiting.remove(&job);
        self.promised.insert(job);
        if self.is_firm(job) {
            self.set_firm(job, true);
        }
        self.start_promised(now, job, effects);
    }

    /// Starts the promised jobs whose place is free.
    pub(super) fn start_all_promised(&mut self, now: Time, effects: &mut Vec<Effect>) {
        let promised: Vec<Job> = self.promised.iter().copied().collect();
        for job in promised {
            self.start_promised(now, job, effects);
        }
    }

    fn start_promised(&mut self, now: Time, job: Job, effects: &mut Vec<Effect>) {
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
            |worker| &mut worker.promised,
            |room, mask| room.subtract(mask, &shape),
        );
        self.start(now, job, slots, reason, effects);
    }

    /// Returns whether nobody is left on a promised slot.
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
            && need.cores <= worker.all.cores
            && need.memory <= worker.all.memory
    }

    /// Takes back the promises of jobs without a guarantee that stand in the way.
    fn retract(&mut self, job: Job, slots: &[Slot]) {
        let promised: Vec<Job> = self.promised.iter().copied().collect();
        for other in promised {
            let meets = self.jobs.get(&other).is_some_and(|entry| {
                let on = |slot: &Slot| slots.iter().any(|s| s.worker == slot.worker);
                entry.slots.iter().any(on)
            });
            if other != job && meets && self.homes.of(other).is_none() {
                self.unpromise(other);
            }
        }
    }
}

/// Cuts the place of a guarantee down to a smaller shape.
fn cut(home: &[Slot], shape: &Shape) -> Vec<Slot> {
    let cut = |slot: &Slot| Slot {
        worker: slot.worker,
        mask: lowest_bits(slot.mask, shape.accelerators),
    };
    home.iter().take(usize::from(shape.parts)).map(cut).collect()
}
