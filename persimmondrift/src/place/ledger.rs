//! What each worker of a zone has, and who holds it.

use std::collections::BTreeMap;

use slotmap::{SlotMap, new_key_type};

use super::{Allocation, Shape};
use crate::member::Capacity;
use crate::unit::{Accelerators, Cores, Job, Mebibytes, Node, Rack, Time};

new_key_type! {
    /// Refers to a worker of the ledger.
    pub struct WorkerKey;
}

/// The place of one part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slot {
    /// The worker.
    pub worker: WorkerKey,
    /// The accelerators, one bit each.
    pub mask: u64,
}

/// Accelerators, cores and memory of one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Resources {
    /// The accelerators, one bit each.
    pub mask: u64,
    /// The cores.
    pub cores: Cores,
    /// The memory.
    pub memory: Mebibytes,
}

impl Resources {
    /// Adds a part of a shape.
    pub fn add(&mut self, mask: u64, shape: &Shape) {
        self.mask |= mask;
        self.cores += shape.cores;
        self.memory += shape.memory;
    }

    /// Takes a part of a shape away.
    pub fn subtract(&mut self, mask: u64, shape: &Shape) {
        self.mask &= !mask;
        self.cores = Cores(self.cores.0.saturating_sub(shape.cores.0));
        self.memory = Mebibytes(self.memory.0.saturating_sub(shape.memory.0));
    }

    /// Returns what is in both.
    pub fn and(self, other: Self) -> Self {
        Self {
            mask: self.mask & other.mask,
            cores: self.cores.min(other.cores),
            memory: self.memory.min(other.memory),
        }
    }

    /// Returns how many parts of a shape fit, `limit` at most.
    pub fn count_fitting(&self, shape: &Shape, limit: u32) -> u32 {
        let by = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let count = by(u64::from(self.mask.count_ones()), u64::from(shape.accelerators.0))
            .min(by(u64::from(self.cores.0), u64::from(shape.cores.0)))
            .min(by(self.memory.0, shape.memory.0));
        u32::try_from(count).unwrap_or(u32::MAX).min(limit)
    }
}

/// A part that stands on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacedPart {
    /// Its job.
    pub job: Job,
    /// Its accelerators, one bit each.
    pub mask: u64,
}

/// One worker.
#[derive(Debug, Default)]
pub struct Worker {
    /// Its node.
    pub node: Option<Node>,
    /// All it has.
    pub allocatable: Resources,
    /// Whether it takes new parts.
    pub open: bool,
    /// Whether it is kept from work because it failed several jobs.
    pub quarantined: bool,
    /// Held by attempts.
    pub held: Resources,
    /// Assigned to jobs that wait until others have left.
    pub assigned: Resources,
    /// Held or assigned to jobs that cannot be evicted, claims excepted.
    pub pinned: Resources,
    /// Kept for guarantees.
    pub guaranteed: Resources,
    /// Accelerators held by attempts that the planner does not know.
    pub foreign: u64,
    /// Accelerators of lost attempts, until their lease has lapsed.
    pub lapsing: Vec<(u64, Time)>,
    /// The parts on it.
    pub placed: Vec<PlacedPart>,
}

impl Worker {
    /// Returns whether new parts and guarantees may stand here.
    pub fn healthy(&self) -> bool {
        self.open && !self.quarantined
    }

    /// Returns the accelerators that cannot be reused yet.
    pub fn blocked(&self) -> u64 {
        self.lapsing.iter().fold(self.foreign, |mask, (lapsing, _)| mask | lapsing)
    }

    /// Returns what no attempt holds and nobody was assigned.
    pub fn free(&self) -> Resources {
        Resources {
            mask: self.allocatable.mask & !(self.held.mask | self.assigned.mask | self.blocked()),
            cores: remaining_cores(self.allocatable.cores, self.held.cores, self.assigned.cores),
            memory: remaining_memory(
                self.allocatable.memory,
                self.held.memory,
                self.assigned.memory,
            ),
        }
    }

    /// Returns what is free for jobs that cannot be evicted.
    pub fn pinned_room(&self) -> Resources {
        self.free().and(self.guarantee_room())
    }

    /// Returns whether the guarantees kept here fit beside the pinned jobs.
    pub fn fits_guarantees(&self) -> bool {
        self.pinned.mask & self.guaranteed.mask == 0
            && self.pinned.cores + self.guaranteed.cores <= self.allocatable.cores
            && self.pinned.memory + self.guaranteed.memory <= self.allocatable.memory
    }

    /// Returns what a further guarantee may be kept on.
    pub fn guarantee_room(&self) -> Resources {
        Resources {
            mask: self.allocatable.mask
                & !(self.pinned.mask | self.guaranteed.mask | self.blocked()),
            cores: remaining_cores(
                self.allocatable.cores,
                self.pinned.cores,
                self.guaranteed.cores,
            ),
            memory: remaining_memory(
                self.allocatable.memory,
                self.pinned.memory,
                self.guaranteed.memory,
            ),
        }
    }
}

fn remaining_cores(all: Cores, one: Cores, other: Cores) -> Cores {
    Cores(all.0.saturating_sub(one.0).saturating_sub(other.0))
}

fn remaining_memory(all: Mebibytes, one: Mebibytes, other: Mebibytes) -> Mebibytes {
    Mebibytes(all.0.saturating_sub(one.0).saturating_sub(other.0))
}

/// The workers of a zone by rack, and what is held of each.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The workers.
    pub workers: SlotMap<WorkerKey, Worker>,
    /// The workers of each rack.
    pub racks: BTreeMap<Rack, Vec<WorkerKey>>,
    by_node: BTreeMap<Node, WorkerKey>,
    rack_of: BTreeMap<Node, Rack>,
    lost: BTreeMap<Node, Vec<(u64, Time)>>,
    next_lapse: Option<Time>,
}

impl Ledger {
    /// Adds a worker, or changes what it has; returns whether anything changed.
    pub fn put(&mut self, node: &Node, rack: &Rack, capacity: Capacity, open: bool) -> bool {
        let all = Resources {
            mask: mask_of(capacity.accelerators),
            cores: capacity.cores,
            memory: capacity.memory,
        };
        if let Some(&key) = self.by_node.get(node) {
            let worker = &mut self.workers[key];
            let changed = worker.open != open || worker.allocatable != all;
            worker.open = open;
            worker.allocatable = all;
            return changed;
        }
        let lapsing = self.lost.remove(node).unwrap_or_default();
        let worker = Worker {
            node: Some(node.clone()),
            allocatable: all,
            open,
            lapsing,
            ..Worker::default()
        };
        let key = self.workers.insert(worker);
        self.by_node.insert(node.clone(), key);
        self.rack_of.insert(node.clone(), rack.clone());
        self.racks.entry(rack.clone()).or_default().push(key);
        true
    }

    /// Closes a worker for new parts; returns whether it was open.
    pub fn close(&mut self, node: &Node) -> bool {
        let worker = self.key(node).map(|key| &mut self.workers[key]);
        worker.is_some_and(|worker| std::mem::replace(&mut worker.open, false))
    }

    /// Removes a worker; what it held stays blocked until `until`, should it come back.
    pub fn remove(&mut self, node: &Node, until: Time) -> Option<(WorkerKey, Worker)> {
        let key = self.by_node.remove(node)?;
        let worker = self.workers.remove(key)?;
        if let Some(rack) = self.rack_of.remove(node)
            && let Some(keys) = self.racks.get_mut(&rack)
        {
            keys.retain(|&other| other != key);
            if keys.is_empty() {
                self.racks.remove(&rack);
            }
        }
        let mut lapsing = worker.lapsing.clone();
        lapsing.push((worker.held.mask | worker.foreign, until));
        self.next_lapse = Some(self.next_lapse.map_or(until, |next| next.min(until)));
        self.lost.insert(node.clone(), lapsing);
        Some((key, worker))
    }

    /// Frees what lost attempts held once their lease has lapsed; returns whether any did.
    pub fn lapse(&mut self, now: Time) -> bool {
        if self.next_lapse.is_none_or(|next| next > now) {
            return false;
        }
        let mut next: Option<Time> = None;
        let mut keep = |&(_, until): &(u64, Time)| {
            if until > now {
                next = Some(next.map_or(until, |next| next.min(until)));
            }
            until > now
        };
        let mut changed = false;
        for lapsing in self.lost.values_mut() {
            lapsing.retain(&mut keep);
        }
        for worker in self.workers.values_mut() {
            let before = worker.lapsing.len();
            worker.lapsing.retain(&mut keep);
            changed |= worker.lapsing.len() != before;
        }
        self.lost.retain(|_, lapsing| !lapsing.is_empty());
        self.next_lapse = next;
        changed
    }

    /// Returns the worker of a node.
    pub fn key(&self, node: &Node) -> Option<WorkerKey> {
        self.by_node.get(node).copied()
    }

    /// Gives accelerators to an attempt.
    pub fn hold(&mut self, job: Job, slots: &[Slot], shape: &Shape) {
        for slot in slots {
            if let Some(worker) = self.workers.get_mut(slot.worker) {
                debug_assert_eq!(worker.held.mask & slot.mask, 0, "placed twice");
                worker.held.add(slot.mask, shape);
                worker.placed.push(PlacedPart { job, mask: slot.mask });
            }
        }
    }

    /// Takes accelerators back from an attempt.
    pub fn free(&mut self, job: Job, slots: &[Slot], shape: &Shape) {
        for slot in slots {
            if let Some(worker) = self.workers.get_mut(slot.worker) {
                worker.held.subtract(slot.mask, shape);
                let gone = PlacedPart { job, mask: slot.mask };
                if let Some(index) = worker.placed.iter().position(|&part| part == gone) {
                    worker.placed.swap_remove(index);
                }
            }
        }
    }

    /// Changes one of the sums of the workers in `slots`.
    pub fn change(
        &mut self,
        slots: &[Slot],
        sum: impl Fn(&mut Worker) -> &mut Resources,
        change: impl Fn(&mut Resources, u64),
    ) {
        for slot in slots {
            if let Some(worker) = self.workers.get_mut(slot.worker) {
                change(sum(worker), slot.mask);
            }
        }
    }

    /// Returns the places as told to other processes.
    pub fn allocations(&self, slots: &[Slot]) -> Vec<Allocation> {
        let allocation = |slot: &Slot| {
            let node = self.workers.get(slot.worker)?.node.clone()?;
            Some(Allocation { node, mask: slot.mask })
        };
        slots.iter().filter_map(allocation).collect()
    }
}

/// Returns a mask of the lowest bits.
pub fn mask_of(count: Accelerators) -> u64 {
    if count.0 >= u64::BITS { u64::MAX } else { (1 << count.0) - 1 }
}

/// Returns the lowest bits that are set.
pub fn lowest_bits(mut free: u64, count: Accelerators) -> u64 {
    let mut mask = 0;
    for _ in 0..count.0 {
        let bit = free & free.wrapping_neg();
        mask |= bit;
        free &= !bit;
    }
    mask
}
