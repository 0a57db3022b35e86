//! Ledger of the workers of a zone: the resources of each, and the jobs and guarantees that use
//! them.

use std::collections::BTreeMap;

use slotmap::{SlotMap, new_key_type};

use super::{Allocation, Shape};
use crate::member::Capacity;
use crate::unit::{Accelerators, Cores, Job, Mebibytes, Node, Rack, Time};

new_key_type! {
    /// Key of a worker in the ledger; not reused for a worker that joins again.
    pub struct WorkerKey;
}

/// Accelerators of one worker for one part of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slot {
    pub worker: WorkerKey,
    /// One bit per accelerator.
    pub mask: u64,
}

/// Accelerators, cores and memory of one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Resources {
    /// One bit per accelerator.
    pub mask: u64,
    pub cores: Cores,
    pub memory: Mebibytes,
}

impl Resources {
    /// Adds the accelerators of `mask`, and the cores and memory of one part of a shape.
    pub fn add(&mut self, mask: u64, shape: &Shape) {
        self.mask |= mask;
        self.cores += shape.cores;
        self.memory += shape.memory;
    }

    /// Subtracts the accelerators of `mask`, and the cores and memory of one part of a shape.
    pub fn subtract(&mut self, mask: u64, shape: &Shape) {
        self.mask &= !mask;
        self.cores = Cores(self.cores.0.saturating_sub(shape.cores.0));
        self.memory = Mebibytes(self.memory.0.saturating_sub(shape.memory.0));
    }

    /// Returns the resources that both contain.
    pub fn and(self, other: Self) -> Self {
        Self {
            mask: self.mask & other.mask,
            cores: self.cores.min(other.cores),
            memory: self.memory.min(other.memory),
        }
    }

    /// Returns how many parts of a shape fit, at most `limit`.
    pub fn count_fitting(&self, shape: &Shape, limit: u32) -> u32 {
        let by = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let count = by(u64::from(self.mask.count_ones()), u64::from(shape.accelerators.0))
            .min(by(u64::from(self.cores.0), u64::from(shape.cores.0)))
            .min(by(self.memory.0, shape.memory.0));
        u32::try_from(count).unwrap_or(u32::MAX).min(limit)
    }
}

/// A part of a job that runs on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacedPart {
    pub job: Job,
    /// Accelerators it holds, one bit each.
    pub mask: u64,
}

#[derive(Debug, Default)]
pub struct Worker {
    /// Node of the worker; set as soon as it is in the ledger.
    pub node: Option<Node>,
    /// Resources that the worker announces, used or not.
    pub allocatable: Resources,
    /// Whether it accepts new parts; false while its agent is suspected.
    pub open: bool,
    /// Whether it gets no regular work because several jobs failed there.
    pub quarantined: bool,
    /// Held by running attempts, and by attempts that are stopping.
    pub held: Resources,
    /// Assigned to jobs that start once others have left.
    pub assigned: Resources,
    /// Held by or assigned to pinned jobs: those that cannot be evicted, except claims.
    pub pinned: Resources,
    /// Part of the placements of guarantees; evictable jobs may hold it too.
    pub guaranteed: Resources,
    /// Accelerators that the agent reports as held by attempts unknown to the planner.
    pub foreign: u64,
    /// Accelerators of lost attempts, with the time when their lease has lapsed.
    pub lapsing: Vec<(u64, Time)>,
    /// Parts of all attempts counted in `held`.
    pub placed: Vec<PlacedPart>,
}

impl Worker {
    /// Returns whether the worker may get new parts and placements of guarantees.
    pub fn healthy(&self) -> bool {
        self.open && !self.quarantined
    }

    /// Returns the accelerators that unknown or lost attempts may still use.
    pub fn blocked(&self) -> u64 {
        self.lapsing.iter().fold(self.foreign, |mask, (lapsing, _)| mask | lapsing)
    }

    /// Returns what is neither held, assigned nor blocked.
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

    /// Returns what is free for pinned jobs, which must stay off guarantees.
    pub fn pinned_room(&self) -> Resources {
        self.free().and(self.guarantee_room())
    }

    /// Returns whether the guarantees placed here fit beside the pinned jobs.
    pub fn fits_guarantees(&self) -> bool {
        self.pinned.mask & self.guaranteed.mask == 0
            && self.pinned.cores + self.guaranteed.cores <= self.allocatable.cores
            && self.pinned.memory + self.guaranteed.memory <= self.allocatable.memory
    }

    /// Returns what a further guarantee may be placed on.
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

/// The workers of a zone and their resources.
#[derive(Debug, Default)]
pub struct Ledger {
    pub workers: SlotMap<WorkerKey, Worker>,
    pub racks: BTreeMap<Rack, Vec<WorkerKey>>,
    by_node: BTreeMap<Node, WorkerKey>,
    rack_of: BTreeMap<Node, Rack>,
    /// Accelerators of removed workers, with the time when their lease has lapsed.
    lost: BTreeMap<Node, Vec<(u64, Time)>>,
    next_lapse: Option<Time>,
}

impl Ledger {
    /// Adds a worker or updates its resources; returns whether anything changed.
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

    /// Stops new parts from being placed on a worker; returns whether it was open.
    pub fn close(&mut self, node: &Node) -> bool {
        let worker = self.key(node).map(|key| &mut self.workers[key]);
        worker.is_some_and(|worker| std::mem::replace(&mut worker.open, false))
    }

    /// Removes a worker. If it joins again, what it held stays blocked until `until`.
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

    /// Unblocks the accelerators of lost attempts whose lease has lapsed; returns whether any worker
    /// has more room.
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

    /// Returns the key of the worker on a node.
    pub fn key(&self, node: &Node) -> Option<WorkerKey> {
        self.by_node.get(node).copied()
    }

    /// Allocates slots to an attempt of a job.
    pub fn hold(&mut self, job: Job, slots: &[Slot], shape: &Shape) {
        for slot in slots {
            if let Some(worker) = self.workers.get_mut(slot.worker) {
                debug_assert_eq!(
                    worker.held.mask & slot.mask,
                    0,
                    "accelerators are allocated twice"
                );
                worker.held.add(slot.mask, shape);
                worker.placed.push(PlacedPart { job, mask: slot.mask });
            }
        }
    }

    /// Releases the slots of an attempt of a job.
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

    /// Applies `change` to one of the resource sums of each worker in `slots`, selected by `sum`.
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

    /// Returns the slots by node, as other processes know them.
    pub fn allocations(&self, slots: &[Slot]) -> Vec<Allocation> {
        let allocation = |slot: &Slot| {
            let node = self.workers.get(slot.worker)?.node.clone()?;
            Some(Allocation { node, mask: slot.mask })
        };
        slots.iter().filter_map(allocation).collect()
    }
}

/// Returns a mask with the `count` lowest bits set.
pub fn mask_of(count: Accelerators) -> u64 {
    if count.0 >= u64::BITS { u64::MAX } else { (1 << count.0) - 1 }
}

/// Returns the `count` lowest set bits of `free`.
pub fn lowest_bits(mut free: u64, count: Accelerators) -> u64 {
    let mut mask = 0;
    for _ in 0..count.0 {
        let bit = free & free.wrapping_neg();
        mask |= bit;
        free &= !bit;
    }
    mask
}
