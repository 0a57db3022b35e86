//! Placements of guarantees: a place for each guaranteed shape, chosen so that all fit at once.
//!
//! A placement does not reserve its accelerators exclusively. Evictable jobs may borrow them until
//! the guarantee is claimed; pinned jobs (those that cannot be evicted) may not. A placement moves
//! when its workers are lost or when that makes room for other jobs.

use std::collections::BTreeMap;

use super::fit;
use super::ledger::{Ledger, Slot, Worker};
use super::{Allocation, Effect, Shape};
use crate::member::Capacity;
use crate::unit::{Job, Node, Rack, Workspace};

/// Orders of the guarantees that are tried when the first one does not place them all.
const MAX_PACK_ORDERS: usize = 16;

/// A shape that is guaranteed to a workspace in this zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entitlement {
    /// Workspace that may claim the shape.
    pub workspace: Workspace,
    /// Guaranteed shape.
    pub shape: Shape,
}

/// A healthy worker, as input of [`pack`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Node of the worker.
    pub node: Node,
    /// Rack of the worker.
    pub rack: Rack,
    /// Resources that the worker announces.
    pub capacity: Capacity,
    /// Accelerators held by jobs that cannot be evicted, one bit each.
    pub pinned: u64,
}

/// Error for the first guarantee that has no place beside the others.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the guaranteed {} of {} have no place beside the other guarantees", .0.shape, .0.workspace)]
pub struct Unfit(pub Entitlement);

/// Checks that all guarantees fit on the hosts at once.
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

/// A guarantee and its place.
#[derive(Debug)]
pub struct Placement {
    /// Workspace and shape.
    pub entitlement: Entitlement,
    /// One slot per part; none while the guarantee does not fit.
    pub slots: Option<Vec<Slot>>,
    /// Job that claims the guarantee.
    pub claim: Option<Job>,
    risk_reported: bool,
}

/// The placement of a guarantee, for callers of the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GuaranteeStatus {
    /// Workspace and shape.
    pub entitlement: Entitlement,
    /// One allocation per part; none while the guarantee does not fit.
    pub allocations: Option<Vec<Allocation>>,
    /// Job that claims the guarantee.
    pub claim: Option<Job>,
}

/// The placements of all guarantees of a zone.
#[derive(Debug, Default)]
pub struct Placements {
    /// Placements in an order that changes only with the guarantees.
    pub list: Vec<Placement>,
    changed: bool,
}

impl Placements {
    /// Replaces the guarantees; those in both sets keep their placements and claims.
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

    /// Returns the index of the guarantee that a job claims.
    pub fn index_of_claim(&self, job: Job) -> Option<usize> {
        self.list.iter().position(|placement| placement.claim == Some(job))
    }

    /// Returns the smallest unclaimed guarantee of a workspace that covers a shape, by index.
    /// Guarantees that have a place come first.
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

    /// Moves a placement to `slots`.
    pub fn place(&mut self, ledger: &mut Ledger, index: usize, slots: Vec<Slot>) {
        let placement = &mut self.list[index];
        release(ledger, placement);
        occupy(ledger, placement, slots);
    }

    /// Removes a placement from its slots.
    pub fn vacate(&mut self, ledger: &mut Ledger, index: usize) {
        release(ledger, &mut self.list[index]);
    }

    /// Removes the unclaimed placements from the workers of `slots`; the next
    /// [`Self::reconcile`] places them again.
    pub fn vacate_workers(&mut self, ledger: &mut Ledger, slots: &[Slot]) {
        for placement in &mut self.list {
            if placement.claim.is_none() && shares_worker(placement, slots) {
                release(ledger, placement);
                self.changed = true;
            }
        }
    }

    /// Marks that workers have changed, so that the next [`Self::reconcile`] checks all placements.
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Ends the claim of a job; the guarantee keeps its placement.
    pub fn unclaim(&mut self, job: Job) {
        if let Some(index) = self.index_of_claim(job) {
            self.list[index].claim = None;
            self.changed = true;
        }
    }

    /// Finds places for the guarantees that have none on healthy workers.
    ///
    /// A claimed placement stays while its workers are members, healthy or not.
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

    /// Returns the guarantees that have lost or regained a place since the last call.
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

    /// Moves unclaimed placements off `slots` to make room for a job that cannot be evicted.
    ///
    /// The caller has added the job to the pinned resources of the ledger. Returns whether all
    /// guarantees still fit; if not, no placement has moved.
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

    /// Places all unclaimed guarantees again in several orders and keeps the result with the fewest
    /// missing places.
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

    /// Sorts guarantees by size, the largest parts first, as in first-fit decreasing bin packing.
    fn sort(&self, indices: &mut [usize]) {
        indices.sort_by_key(|&index| {
            let shape = self.list[index].entitlement.shape;
            (std::cmp::Reverse(shape.accelerators), std::cmp::Reverse(shape.parts), index)
        });
    }
}

/// Finds a place that overlaps no other guarantee and no pinned job.
fn find(ledger: &Ledger, shape: &Shape) -> Option<(Vec<Slot>, super::Reason)> {
    fit::find(ledger, shape, |_, worker| {
        if worker.healthy() { worker.guarantee_room() } else { super::ledger::Resources::default() }
    })
}

/// Returns whether the workers of a placement may still hold it.
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
