//! Placements: a place kept for each guaranteed shape, so that all guarantees fit at once.
//!
//! A placement is a proof, not a fence. Jobs that can be evicted run on it; jobs that cannot
//! stay off it. A placement moves when its workers are lost or when that makes room.

use std::collections::BTreeMap;

use super::fit;
use super::ledger::{Ledger, Slot, Worker};
use super::{Allocation, Effect, Shape};
use crate::member::Capacity;
use crate::unit::{Job, Node, Rack, Workspace};

/// Orders in which guarantees are tried when they do not fit at once.
const MAX_PACK_ORDERS: usize = 16;

/// A guaranteed shape of a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entitlement {
    /// The workspace.
    pub workspace: Workspace,
    /// The shape.
    pub shape: Shape,
}

/// A healthy worker, for the check of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Its node.
    pub node: Node,
    /// Its rack.
    pub rack: Rack,
    /// What it has.
    pub capacity: Capacity,
    /// Accelerators held by jobs that cannot be evicted.
    pub pinned: u64,
}

/// Reports the guarantee that has no place.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the guaranteed {} of {} have no place beside the other guarantees", .0.shape, .0.workspace)]
pub struct Unfit(pub Entitlement);

/// Finds a place for all guarantees at once.
///
/// # Errors
///
/// Returns the first guarantee that found no place.
pub fn pack(hosts: &[Host], entitlements: &[Entitlement]) -> Result<(), Unfit> {
    let mut ledger = Ledger::default();
    for host in hosts {
        ledger.put(&host.node, &host.rack, host.capacity, true);
        if let Some(key) = ledger.key(&host.node) {
            ledger.workers[key].pinned.mask = host.pinned;
        }
    }
    let mut placements = Placements::default();
    placements.set(&mut ledger, entitlements.to_vec());
    placements.reconcile(&mut ledger);
    match placements.list.into_iter().find(|placement| placement.slots.is_none()) {
        Some(placement) => Err(Unfit(placement.entitlement)),
        None => Ok(()),
    }
}

/// A guarantee and the place that is kept for it.
#[derive(Debug)]
pub struct Placement {
    /// What is guaranteed.
    pub entitlement: Entitlement,
    /// The place, if there is one.
    pub slots: Option<Vec<Slot>>,
    /// The job that claims it.
    pub claim: Option<Job>,
    risk_reported: bool,
}

/// Where a guarantee is kept, as told to others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuaranteeStatus {
    /// What is guaranteed.
    pub entitlement: Entitlement,
    /// One allocation a part, if there is a place.
    pub allocations: Option<Vec<Allocation>>,
    /// The job that claims it.
    pub claim: Option<Job>,
}

/// The guarantees of a zone.
#[derive(Debug, Default)]
pub struct Placements {
    /// The guarantees, in a fixed order.
    pub list: Vec<Placement>,
    changed: bool,
}

impl Placements {
    /// Replaces the guarantees; those that stay keep their placements and claims.
    pub fn set(&mut self, ledger: &mut Ledger, entitlements: Vec<Entitlement>) {
        let mut before = std::mem::take(&mut self.list);
        for entitlement in entitlements {
            let retained = before.iter().position(|placement| placement.entitlement == entitlement);
            self.list.push(match retained {
                Some(index) => before.swap_remove(index),
                None => Placement { entitlement, slots: None, claim: None, risk_reported: false },
            });
        }
        for mut placement in before {
            release(ledger, &mut placement);
        }
        self.changed = true;
    }

    /// Returns the guarantee that a job claims.
    pub fn index_of_claim(&self, job: Job) -> Option<usize> {
        self.list.iter().position(|placement| placement.claim == Some(job))
    }

    /// Returns the smallest unclaimed guarantee of a workspace that covers a shape.
    pub fn covering(&self, workspace: &Workspace, shape: &Shape) -> Option<usize> {
        let covers = |placement: &Placement| {
            placement.claim.is_none()
                && placement.entitlement.workspace == *workspace
                && placement.entitlement.shape.covers(shape)
        };
        let indices = (0..self.list.len()).filter(|&index| covers(&self.list[index]));
        indices.min_by_key(|&index| {
            let placement = &self.list[index];
            (placement.slots.is_none(), placement.entitlement.shape.total())
        })
    }

    /// Gives a placement a new place.
    pub fn place(&mut self, ledger: &mut Ledger, index: usize, slots: Vec<Slot>) {
        let placement = &mut self.list[index];
        release(ledger, placement);
        occupy(ledger, placement, slots);
    }

    /// Takes a placement off its place.
    pub fn vacate(&mut self, ledger: &mut Ledger, index: usize) {
        release(ledger, &mut self.list[index]);
    }

    /// Takes the unclaimed placements off the workers of `slots`; they are placed afresh later.
    pub fn vacate_workers(&mut self, ledger: &mut Ledger, slots: &[Slot]) {
        for placement in &mut self.list {
            if placement.claim.is_none() && shares_worker(placement, slots) {
                release(ledger, placement);
                self.changed = true;
            }
        }
    }

    /// Takes in that workers have changed: placements are checked at the next [`Self::reconcile`].
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Ends the claim of a job; its placement stays kept.
    pub fn unclaim(&mut self, job: Job) {
        if let Some(index) = self.index_of_claim(job) {
            self.list[index].claim = None;
            self.changed = true;
        }
    }

    /// Finds places for the guarantees that have none on healthy workers.
    ///
    /// Placements of running claims stay where they are while their workers are there.
    pub fn reconcile(&mut self, ledger: &mut Ledger) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        for placement in &mut self.list {
            if !is_valid(ledger, placement) {
                release(ledger, placement);
            }
        }
        let mut missing: Vec<usize> =
            (0..self.list.len()).filter(|&index| self.list[index].slots.is_none()).collect();
        self.sort(&mut missing);
        missing.retain(|&index| !self.find(ledger, index));
        if !missing.is_empty() {
            self.repack(ledger);
        }
    }

    /// Returns what has become of the guarantees since the last call.
    pub fn take_changes(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        for placement in &mut self.list {
            let Entitlement { workspace, shape } = placement.entitlement.clone();
            match (placement.slots.is_none(), placement.risk_reported) {
                (true, false) => effects.push(Effect::AtRisk { workspace, shape }),
                (false, true) => effects.push(Effect::Restored { workspace, shape }),
                _ => continue,
            }
            placement.risk_reported = !placement.risk_reported;
        }
        effects
    }

    /// Makes place for a job that cannot be evicted, by moving unclaimed placements off `slots`.
    ///
    /// The job's part must be in the ledger's pinned sums already. Returns whether all
    /// guarantees fit; if not, all placements are where they were.
    pub fn make_room(&mut self, ledger: &mut Ledger, slots: &[Slot]) -> bool {
        let before: Vec<Option<Vec<Slot>>> =
            self.list.iter().map(|placement| placement.slots.clone()).collect();
        let mut moved: Vec<usize> = Vec::new();
        for (index, placement) in self.list.iter_mut().enumerate() {
            if placement.claim.is_none() && shares_worker(placement, slots) {
                release(ledger, placement);
                moved.push(index);
            }
        }
        self.sort(&mut moved);
        moved.retain(|&index| !self.find(ledger, index));
        let fits =
            |slot: &Slot| ledger.workers.get(slot.worker).is_some_and(Worker::fits_guarantees);
        if moved.is_empty() && slots.iter().all(fits) {
            return true;
        }
        for placement in &mut self.list {
            release(ledger, placement);
        }
        for (placement, slots) in self.list.iter_mut().zip(before) {
            if let Some(slots) = slots {
                occupy(ledger, placement, slots);
            }
        }
        false
    }

    fn find(&mut self, ledger: &mut Ledger, index: usize) -> bool {
        let shape = self.list[index].entitlement.shape;
        let Some((slots, _)) = find(ledger, &shape) else {
            return false;
        };
        occupy(ledger, &mut self.list[index], slots);
        true
    }

    /// Places all unclaimed guarantees afresh, in several orders, and keeps the best result.
    fn repack(&mut self, ledger: &mut Ledger) {
        let mut order: Vec<usize> =
            (0..self.list.len()).filter(|&index| self.list[index].claim.is_none()).collect();
        self.sort(&mut order);
        let mut best: Option<(usize, BTreeMap<usize, Vec<Slot>>)> = None;
        for first in 0..order.len().min(MAX_PACK_ORDERS) {
            for &index in &order {
                release(ledger, &mut self.list[index]);
            }
            order[..=first].rotate_right(1);
            let missing = order.iter().filter(|&&index| !self.find(ledger, index)).count();
            if best.as_ref().is_none_or(|(least, _)| missing < *least) {
                let placements =
                    order.iter().filter_map(|&i| Some((i, self.list[i].slots.clone()?)));
                best = Some((missing, placements.collect()));
            }
            if missing == 0 {
                return;
            }
        }
        for &index in &order {
            release(ledger, &mut self.list[index]);
        }
        for (index, slots) in best.map(|(_, placements)| placements).unwrap_or_default() {
            occupy(ledger, &mut self.list[index], slots);
        }
    }

    /// Sorts guarantees so that the hardest to place come first.
    fn sort(&self, indices: &mut [usize]) {
        indices.sort_by_key(|&index| {
            let shape = self.list[index].entitlement.shape;
            (std::cmp::Reverse(shape.accelerators), std::cmp::Reverse(shape.parts), index)
        });
    }
}

/// Finds a place that no other guarantee and no pinned job has.
fn find(ledger: &Ledger, shape: &Shape) -> Option<(Vec<Slot>, super::Reason)> {
    fit::find(ledger, shape, |_, worker| {
        if worker.healthy() { worker.guarantee_room() } else { super::ledger::Resources::default() }
    })
}

/// Returns whether a placement is on workers that may hold it.
fn is_valid(ledger: &Ledger, placement: &Placement) -> bool {
    let Some(slots) = &placement.slots else {
        return true;
    };
    slots.iter().all(|slot| {
        let worker = ledger.workers.get(slot.worker);
        worker.is_some_and(|worker| {
            placement.claim.is_some()
                || (worker.healthy() && slot.mask & !worker.allocatable.mask == 0)
        })
    })
}

fn shares_worker(placement: &Placement, slots: &[Slot]) -> bool {
    let on = |own: &Slot| slots.iter().any(|slot| slot.worker == own.worker);
    placement.slots.as_ref().is_some_and(|own| own.iter().any(on))
}

fn release(ledger: &mut Ledger, placement: &mut Placement) {
    if let Some(slots) = placement.slots.take() {
        let shape = placement.entitlement.shape;
        ledger.change(
            &slots,
            |worker| &mut worker.guaranteed,
            |room, mask| room.subtract(mask, &shape),
        );
    }
}

fn occupy(ledger: &mut Ledger, placement: &mut Placement, slots: Vec<Slot>) {
    let shape = placement.entitlement.shape;
    ledger.change(&slots, |worker| &mut worker.guaranteed, |room, mask| room.add(mask, &shape));
    placement.slots = Some(slots);
}
