//! Homes: a place kept for each guaranteed shape, so that all guarantees fit at once.
//!
//! A home is a proof, not a fence. Jobs that can be evicted run on it; jobs that cannot
//! stay off it. A home moves when its workers are lost or when that makes room.

use std::collections::BTreeMap;

use super::fit;
use super::ledger::{Ledger, Slot, Worker};
use super::{Effect, Seat, Shape};
use crate::member::Capacity;
use crate::unit::{Job, Node, Rack, Workspace};

/// Orders in which guarantees are tried when they do not fit at once.
const TRIES: usize = 16;

/// A guaranteed shape of a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promise {
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
    pub firm: u64,
}

/// Reports the guarantee that has no place.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the guaranteed {} of {} have no place beside the other guarantees", .0.shape, .0.workspace)]
pub struct Unfit(pub Promise);

/// Finds a place for all guarantees at once.
///
/// # Errors
///
/// Returns the first guarantee that found no place.
pub fn pack(hosts: &[Host], promises: &[Promise]) -> Result<(), Unfit> {
    let mut ledger = Ledger::default();
    for host in hosts {
        ledger.put(&host.node, &host.rack, host.capacity, true);
        if let Some(key) = ledger.key(&host.node) {
            ledger.workers[key].firm.mask = host.firm;
        }
    }
    let mut homes = Homes::default();
    homes.set(&mut ledger, promises.to_vec());
    homes.settle(&mut ledger);
    match homes.list.into_iter().find(|home| home.slots.is_none()) {
        Some(home) => Err(Unfit(home.promise)),
        None => Ok(()),
    }
}

/// A guarantee and the place that is kept for it.
#[derive(Debug)]
pub struct Home {
    /// What is guaranteed.
    pub promise: Promise,
    /// The place, if there is one.
    pub slots: Option<Vec<Slot>>,
    /// The job that claims it.
    pub claim: Option<Job>,
    told: bool,
}

/// Where a guarantee is kept, as told to others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Kept {
    /// What is guaranteed.
    pub promise: Promise,
    /// One seat a part, if there is a place.
    pub seats: Option<Vec<Seat>>,
    /// The job that claims it.
    pub claim: Option<Job>,
}

/// The guarantees of a zone.
#[derive(Debug, Default)]
pub struct Homes {
    /// The guarantees, in a fixed order.
    pub list: Vec<Home>,
    unsettled: bool,
}

impl Homes {
    /// Replaces the guarantees; those that stay keep their homes and claims.
    pub fn set(&mut self, ledger: &mut Ledger, promises: Vec<Promise>) {
        let mut before = std::mem::take(&mut self.list);
        for promise in promises {
            let kept = before.iter().position(|home| home.promise == promise);
            self.list.push(match kept {
                Some(index) => before.swap_remove(index),
                None => Home { promise, slots: None, claim: None, told: false },
            });
        }
        for mut home in before {
            leave(ledger, &mut home);
        }
        self.unsettled = true;
    }

    /// Returns the guarantee that a job claims.
    pub fn of(&self, job: Job) -> Option<usize> {
        self.list.iter().position(|home| home.claim == Some(job))
    }

    /// Returns the smallest unclaimed guarantee of a workspace that covers a shape.
    pub fn covering(&self, workspace: &Workspace, shape: &Shape) -> Option<usize> {
        let covers = |home: &Home| {
            home.claim.is_none()
                && home.promise.workspace == *workspace
                && home.promise.shape.covers(shape)
        };
        let indices = (0..self.list.len()).filter(|&index| covers(&self.list[index]));
        indices.min_by_key(|&index| {
            let home = &self.list[index];
            (home.slots.is_none(), home.promise.shape.total())
        })
    }

    /// Gives a home a new place.
    pub fn place(&mut self, ledger: &mut Ledger, index: usize, slots: Vec<Slot>) {
        let home = &mut self.list[index];
        leave(ledger, home);
        enter(ledger, home, slots);
    }

    /// Takes a home off its place.
    pub fn vacate(&mut self, ledger: &mut Ledger, index: usize) {
        leave(ledger, &mut self.list[index]);
    }

    /// Takes the unclaimed homes off the workers of `slots`; they are placed afresh later.
    pub fn clear(&mut self, ledger: &mut Ledger, slots: &[Slot]) {
        for home in &mut self.list {
            if home.claim.is_none() && meets(home, slots) {
                leave(ledger, home);
                self.unsettled = true;
            }
        }
    }

    /// Takes in that workers have changed: homes are checked at the next [`Self::settle`].
    pub fn unsettle(&mut self) {
        self.unsettled = true;
    }

    /// Ends the claim of a job; its home stays kept.
    pub fn unclaim(&mut self, job: Job) {
        if let Some(index) = self.of(job) {
            self.list[index].claim = None;
            self.unsettled = true;
        }
    }

    /// Finds places for the guarantees that have none on healthy workers.
    ///
    /// Homes of running claims stay where they are while their workers are there.
    pub fn settle(&mut self, ledger: &mut Ledger) {
        if !std::mem::take(&mut self.unsettled) {
            return;
        }
        for home in &mut self.list {
            if !stands(ledger, home) {
                leave(ledger, home);
            }
        }
        let mut missing: Vec<usize> =
            (0..self.list.len()).filter(|&index| self.list[index].slots.is_none()).collect();
        self.sort(&mut missing);
        missing.retain(|&index| !self.find(ledger, index));
        if !missing.is_empty() {
            self.pack_again(ledger);
        }
    }

    /// Returns what has become of the guarantees since the last call.
    pub fn tell(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        for home in &mut self.list {
            let Promise { workspace, shape } = home.promise.clone();
            match (home.slots.is_none(), home.told) {
                (true, false) => effects.push(Effect::AtRisk { workspace, shape }),
                (false, true) => effects.push(Effect::Restored { workspace, shape }),
                _ => continue,
            }
            home.told = !home.told;
        }
        effects
    }

    /// Makes place for a job that cannot be evicted, by moving unclaimed homes off `slots`.
    ///
    /// The job's part must be in the ledger's firm sums already. Returns whether all
    /// guarantees fit; if not, all homes are where they were.
    pub fn yield_to(&mut self, ledger: &mut Ledger, slots: &[Slot]) -> bool {
        let before: Vec<Option<Vec<Slot>>> =
            self.list.iter().map(|home| home.slots.clone()).collect();
        let mut moved: Vec<usize> = Vec::new();
        for (index, home) in self.list.iter_mut().enumerate() {
            if home.claim.is_none() && meets(home, slots) {
                leave(ledger, home);
                moved.push(index);
            }
        }
        self.sort(&mut moved);
        moved.retain(|&index| !self.find(ledger, index));
        let fits = |slot: &Slot| ledger.workers.get(slot.worker).is_some_and(Worker::keeps);
        if moved.is_empty() && slots.iter().all(fits) {
            return true;
        }
        for home in &mut self.list {
            leave(ledger, home);
        }
        for (home, slots) in self.list.iter_mut().zip(before) {
            if let Some(slots) = slots {
                enter(ledger, home, slots);
            }
        }
        false
    }

    fn find(&mut self, ledger: &mut Ledger, index: usize) -> bool {
        let shape = self.list[index].promise.shape;
        let Some((slots, _)) = find(ledger, &shape) else {
            return false;
        };
        enter(ledger, &mut self.list[index], slots);
        true
    }

    /// Places all unclaimed guarantees afresh, in several orders, and keeps the best result.
    fn pack_again(&mut self, ledger: &mut Ledger) {
        let mut order: Vec<usize> =
            (0..self.list.len()).filter(|&index| self.list[index].claim.is_none()).collect();
        self.sort(&mut order);
        let mut best: Option<(usize, BTreeMap<usize, Vec<Slot>>)> = None;
        for first in 0..order.len().min(TRIES) {
            for &index in &order {
                leave(ledger, &mut self.list[index]);
            }
            order[..=first].rotate_right(1);
            let missing = order.iter().filter(|&&index| !self.find(ledger, index)).count();
            if best.as_ref().is_none_or(|(least, _)| missing < *least) {
                let homes = order.iter().filter_map(|&i| Some((i, self.list[i].slots.clone()?)));
                best = Some((missing, homes.collect()));
            }
            if missing == 0 {
                return;
            }
        }
        for &index in &order {
            leave(ledger, &mut self.list[index]);
        }
        for (index, slots) in best.map(|(_, homes)| homes).unwrap_or_default() {
            enter(ledger, &mut self.list[index], slots);
        }
    }

    /// Sorts guarantees so that the hardest to place come first.
    fn sort(&self, indices: &mut [usize]) {
        indices.sort_by_key(|&index| {
            let shape = self.list[index].promise.shape;
            (std::cmp::Reverse(shape.accelerators), std::cmp::Reverse(shape.parts), index)
        });
    }
}

/// Finds a place that no other guarantee and no firm job has.
fn find(ledger: &Ledger, shape: &Shape) -> Option<(Vec<Slot>, super::Reason)> {
    fit::find(ledger, shape, |_, worker| {
        if worker.healthy() { worker.home_room() } else { super::ledger::Room::default() }
    })
}

/// Returns whether a home stands where it may.
fn stands(ledger: &Ledger, home: &Home) -> bool {
    let Some(slots) = &home.slots else {
        return true;
    };
    slots.iter().all(|slot| {
        let worker = ledger.workers.get(slot.worker);
        worker.is_some_and(|worker| {
            home.claim.is_some() || (worker.healthy() && slot.mask & !worker.all.mask == 0)
        })
    })
}

fn meets(home: &Home, slots: &[Slot]) -> bool {
    let on = |own: &Slot| slots.iter().any(|slot| slot.worker == own.worker);
    home.slots.as_ref().is_some_and(|own| own.iter().any(on))
}

fn leave(ledger: &mut Ledger, home: &mut Home) {
    if let Some(slots) = home.slots.take() {
        let shape = home.promise.shape;
        ledger.change(&slots, |worker| &mut worker.home, |room, mask| room.subtract(mask, &shape));
    }
}

fn enter(ledger: &mut Ledger, home: &mut Home, slots: Vec<Slot>) {
    let shape = home.promise.shape;
    ledger.change(&slots, |worker| &mut worker.home, |room, mask| room.add(mask, &shape));
    home.slots = Some(slots);
}
