//! What each worker of a zone has, and who holds it.

use std::collections::BTreeMap;

use slotmap::{SlotMap, new_key_type};

use super::{Seat, Shape};
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
pub struct Room {
    /// The accelerators, one bit each.
    pub mask: u64,
    /// The cores.
    pub cores: Cores,
    /// The memory.
    pub memory: Mebibytes,
}

impl Room {
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
    pub fn parts(&self, shape: &Shape, limit: u32) -> u32 {
        let by = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let count = by(u64::from(self.mask.count_ones()), u64::from(shape.accelerators.0))
            .min(by(u64::from(self.cores.0), u64::from(shape.cores.0)))
            .min(by(self.memory.0, shape.memory.0));
        u32::try_from(count).unwrap_or(u32::MAX).min(limit)
    }
}

/// A part that stands on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenant {
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
    pub all: Room,
    /// Whether it takes new parts.
    pub open: bool,
    /// Whether it is kept from work because it failed several jobs.
    pub quarantined: bool,
    /// Held by attempts.
    pub held: Room,
    /// Promised to jobs that wait until others have left.
    pub promised: Room,
    /// Held or promised to jobs that cannot be evicted, claims excepted.
    pub firm: Room,
    /// Kept for guarantees.
    pub home: Room,
    /// Accelerators held by attempts that the planner does not know.
    pub foreign: u64,
    /// Accelerators of lost attempts, until their lease has lapsed.
    pub lapsing: Vec<(u64, Time)>,
    /// The parts on it.
    pub tenants: Vec<Tenant>,
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

    /// Returns what no attempt holds and nobody was promised.
    pub fn free(&self) -> Room {
        Room {
            mask: self.all.mask & !(self.held.mask | self.promised.mask | self.blocked()),
            cores: less(self.all.cores, self.held.cores, self.promised.cores),
            memory: less_memory(self.all.memory, self.held.memory, self.promised.memory),
        }
    }

    /// Returns what is free for jobs that cannot be evicted.
    pub fn firm_room(&self) -> Room {
        self.free().and(self.home_room())
    }

    /// Returns whether the guarantees kept here fit beside the firm jobs.
    pub fn keeps(&self) -> bool {
        self.firm.mask & self.home.mask == 0
            && self.firm.cores + self.home.cores <= self.all.cores
            && self.firm.memory + self.home.memory <= self.all.memory
    }

    /// Returns what a further guarantee may be kept on.
    pub fn home_room(&self) -> Room {
        Room {
            mask: self.all.mask & !(self.firm.mask | self.home.mask | self.blocked()),
            cores: less(self.all.cores, self.firm.cores, self.home.cores),
            memory: less_memory(self.all.memory, self.firm.memory, self.home.memory),
        }
    }
}

fn less(all: Cores, one: Cores, other: Cores) -> Cores {
    Cores(all.0.saturating_sub(one.0).saturating_sub(other.0))
}

fn less_memory(all: Mebibytes, one: Mebibytes, other: Mebibytes) -> Mebibytes {
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
        let all = Room {
            mask: mask_of(capacity.accelerators),
            cores: capacity.cores,
            memory: capacity.memory,
        };
        if let Some(&key) = self.by_node.get(node) {
            let worker = &mut self.workers[key];
            let changed = worker.open != open || worker.all != all;
            worker.open = open;
            worker.all = all;
            return changed;
        }
        let lapsing = self.lost.remove(node).unwrap_or_default();
        let worker = Worker { node: Some(node.clone()), all, open, lapsing, ..Worker::default() };
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
                worker.tenants.push(Tenant { job, mask: slot.mask });
            }
        }
    }

    /// Takes accelerators back from an attempt.
    pub fn free(&mut self, job: Job, slots: &[Slot], shape: &Shape) {
        for slot in slots {
            if let Some(worker) = self.workers.get_mut(slot.worker) {
                worker.held.subtract(slot.mask, shape);
                let gone = Tenant { job, mask: slot.mask };
                if let Some(index) = worker.tenants.iter().position(|&tenant| tenant == gone) {
                    worker.tenants.swap_remove(index);
                }
            }
        }
    }

    /// Changes one of the sums of the workers in `slots`.
    pub fn change(
        &mut self,
        slots: &[Slot],
        sum: impl Fn(&mut Worker) -> &mut Room,
        change: impl Fn(&mut Room, u64),
    ) {
        for slot in slots {
            if let Some(worker) = self.workers.get_mut(slot.worker) {
                change(sum(worker), slot.mask);
            }
        }
    }

    /// Returns the places as told to other processes.
    pub fn seats(&self, slots: &[Slot]) -> Vec<Seat> {
        let seat = |slot: &Slot| {
            let node = self.workers.get(slot.worker)?.node.clone()?;
            Some(Seat { node, mask: slot.mask })
        };
        slots.iter().filter_map(seat).collect()
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
