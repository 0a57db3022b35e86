//! Reservations: the earliest time and place at which a large waiting job is expected to fit.
//!
//! Other jobs may use a reserved place only if they can leave it in time (backfill).

use slotmap::SecondaryMap;

use super::fit;
use super::ledger::{Resources, Slot, Worker, WorkerKey};
use super::planner::{Entry, Planner, State};
use super::{Eviction, Spec};
use crate::unit::{Job, Time};

/// Upper bound on the `reservations` setting: a set of reservations is one byte, a bit each.
pub(super) const MAX_RESERVATIONS: usize = 8;

/// A reservation for a waiting job.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reservation {
    pub job: Job,
    /// When the job is expected to start.
    pub at: Time,
}

/// The accelerators of each worker that are reserved, one mask per reservation.
#[derive(Debug, Default)]
pub(super) struct Reserved {
    masks: SecondaryMap<WorkerKey, [u64; MAX_RESERVATIONS]>,
}

impl Reserved {
    /// Adds the slots of the reservation with index `number`.
    pub fn add(&mut self, number: usize, slots: &[Slot]) {
        for slot in slots {
            if let Some(entry) = self.masks.entry(slot.worker) {
                entry.or_default()[number] |= slot.mask;
            }
        }
    }

    /// Returns the reserved accelerators of a worker that a job must not use.
    ///
    /// `allowed` has a bit for each reservation whose accelerators the job may use.
    pub fn withheld(&self, worker: WorkerKey, allowed: u8) -> u64 {
        let Some(masks) = self.masks.get(worker) else {
            return 0;
        };
        let mut withheld = 0;
        for (number, mask) in masks.iter().enumerate() {
            if allowed & (1 << number) == 0 {
                withheld |= mask;
            }
        }
        withheld
    }
}

impl Planner {
    /// Returns the reservations, one bit each, whose accelerators a job may use: it is expected to
    /// end before their start, or it can be checkpointed then.
    pub(super) fn usable_reservations(&self, now: Time, entry: &Entry) -> u8 {
        let mut allowed = 0;
        for (number, reservation) in self.reservations.iter().enumerate() {
            let in_time = now + entry.remaining(now) <= reservation.at;
            if in_time || entry.spec.eviction == Eviction::Checkpoint {
                allowed |= 1 << number;
            }
        }
        allowed
    }

    /// Returns when and where a job is expected to fit if nothing else starts.
    pub(super) fn earliest(&self, now: Time, spec: &Spec) -> Option<(Time, Vec<Slot>)> {
        let mut ends: Vec<Time> = Vec::new();
        for (_, entry) in self.running() {
            ends.push(now + entry.remaining(now));
        }
        ends.sort_unstable();
        ends.dedup();
        let fits = |at: Time| {
            let room = |_: WorkerKey, worker: &Worker| self.room_at(now, at, worker, spec);
            fit::find(&self.ledger, &spec.shape, room).map(|(slots, _)| slots)
        };
        let mut best = (*ends.last()?, fits(*ends.last()?)?);
        let (mut low, mut high) = (0, ends.len() - 1);
        while low < high {
            let middle = usize::midpoint(low, high);
            match fits(ends[middle]) {
                Some(slots) => {
                    best = (ends[middle], slots);
                    high = middle;
                }
                None => low = middle + 1,
            }
        }
        Some(best)
    }

    fn running(&self) -> impl Iterator<Item = (&Job, &Entry)> {
        let holds = |entry: &Entry| matches!(entry.state, State::Running | State::Leaving);
        self.jobs.iter().filter(move |(_, entry)| holds(entry))
    }

    /// Returns what a worker is expected to offer to a job at a later time.
    fn room_at(&self, now: Time, at: Time, worker: &Worker, spec: &Spec) -> Resources {
        if !worker.healthy() {
            return Resources::default();
        }
        let mut room = worker.free();
        for part in &worker.placed {
            if let Some(entry) = self.jobs.get(&part.job)
                && now + entry.remaining(now) <= at
            {
                room.add(part.mask & !worker.assigned.mask, &entry.spec.shape);
            }
        }
        if spec.eviction == Eviction::Never {
            room.mask &= !worker.guaranteed.mask;
        }
        room
    }
}
