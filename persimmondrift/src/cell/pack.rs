//! Bin packing: chooses workers for the tasks of a group.
//!
//! Tasks take 1 to 8 accelerators and would fragment the workers. Each task goes to the worker
//! with the least free resources that still holds it (best fit), so that whole workers and whole
//! racks stay free for wide tasks.

use super::health::Trust;
use super::job::{Resources, Step};

/// A worker that may take tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// Name of the agent beside the worker.
    pub agent: String,
    /// Rack that the worker is in.
    pub rack: String,
    /// Labels that a step can ask for: the worker's kind, its rack, and others.
    pub labels: Vec<String>,
    /// Resources of the empty worker.
    pub capacity: Resources,
    /// Resources that no order uses.
    pub free: Resources,
    /// Trust in the worker; the most trusted are used first.
    pub trust: Trust,
}

impl Slot {
    /// Returns whether the worker has any capacity; it may have shrunk to none.
    #[must_use]
    pub fn has_capacity(&self) -> bool {
        self.capacity != Resources::default()
    }

    /// Returns whether a task of a step may run on the worker when it is empty.
    #[must_use]
    pub fn can_hold(&self, step: &Step) -> bool {
        self.has_label(step) && self.capacity.holds(step.effective_need())
    }

    /// Returns whether the worker has the label that a step asks for, if it does.
    #[must_use]
    pub fn has_label(&self, step: &Step) -> bool {
        step.label.as_ref().is_none_or(|label| self.labels.contains(label))
    }

    /// Returns whether the worker has capacity and no order uses any of it.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.has_capacity() && self.free == self.capacity
    }
}

/// Numbers of tasks by slot, as pairs of a slot index and a count.
pub type Placement = Vec<(usize, u32)>;

/// The tasks of a group that are to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Step that the tasks belong to.
    pub step: &'a Step,
    /// Number of tasks to place.
    pub count: u32,
}

/// Returns a placement for the tasks of a group: for all tasks of a gang, else for as many as fit;
/// `None` if there is none.
///
/// `room` returns the resources of a slot that may be used, and `assigned` the number of tasks of
/// the group that are already on it.
#[must_use]
pub fn place(
    slots: &[Slot],
    demand: Demand<'_>,
    room: impl Fn(usize) -> Resources,
    assigned: impl Fn(usize) -> u32,
) -> Option<Placement> {
    let Demand { step, count } = demand;
    let eligible = |index: &usize| slots[*index].has_label(step);
    let mut all: Vec<usize> = (0..slots.len()).filter(eligible).collect();
    all.sort_by_key(|&index| preference(&slots[index], step, room(index)));
    let fit = |index: usize| {
        let max_count = step
            .spread
            .map_or(u32::MAX, |spread| u32::from(spread).saturating_sub(assigned(index)));
        room(index).count(step.effective_need()).min(max_count)
    };
    if step.gang {
        if step.one_rack && rack_can_hold(slots, &all, step, count) {
            return place_on_rack(slots, &all, count, &fit);
        }
        let trusted: Vec<usize> =
            all.iter().copied().filter(|&index| slots[index].trust == Trust::Full).collect();
        return fill(&trusted, count, &fit).or_else(|| fill(&all, count, &fit));
    }
    let mut placement = Placement::new();
    let mut left = count;
    for index in all {
        let here = fit(index).min(left);
        if here > 0 {
            placement.push((index, here));
            left -= here;
        }
    }
    (!placement.is_empty()).then_some(placement)
}

/// Returns the sort key of a worker for a step: the most trusted first, then those on the rack of
/// the data, then those with the least free resources.
fn preference(slot: &Slot, step: &Step, room: Resources) -> (Trust, bool, u32, u32) {
    let off_data_rack = step.data_rack.as_ref().is_some_and(|rack| *rack != slot.rack);
    (slot.trust, off_data_rack, room.accelerators, room.millicores)
}

/// Returns whether some rack could hold the whole gang if it were empty.
fn rack_can_hold(slots: &[Slot], all: &[usize], step: &Step, count: u32) -> bool {
    let capacity = |rack: &str| -> u32 {
        let members = all.iter().filter(|&&index| slots[index].rack == rack);
        members
            .map(|&index| slots[index].capacity.count(step.effective_need()))
            .fold(0, u32::saturating_add)
    };
    all.iter().any(|&index| capacity(&slots[index].rack) >= count)
}

/// Returns a placement of a whole gang on one rack: on the rack that fits with the most trusted
/// workers, and among these on the one with room for the fewest such tasks.
fn place_on_rack(
    slots: &[Slot],
    all: &[usize],
    count: u32,
    fit: &impl Fn(usize) -> u32,
) -> Option<Placement> {
    let mut racks: Vec<&str> = all.iter().map(|&index| &*slots[index].rack).collect();
    racks.sort_unstable();
    racks.dedup();
    let members_of = |rack: &str| -> Vec<usize> {
        all.iter().copied().filter(|&index| slots[index].rack == rack).collect()
    };
    let candidates = racks.into_iter().filter_map(|rack| {
        let members = members_of(rack);
        let placement = fill(&members, count, fit)?;
        let trust = placement.iter().map(|(index, _)| slots[*index].trust).max();
        let room = members.iter().map(|&index| fit(index)).fold(0, u32::saturating_add);
        Some(((trust, room), placement))
    });
    candidates.min_by_key(|(cost, _)| *cost).map(|(_, placement)| placement)
}

/// Returns a placement of all tasks on slots in the given order; `None` if they do not fit.
fn fill(order: &[usize], count: u32, fit: &impl Fn(usize) -> u32) -> Option<Placement> {
    let mut placement = Placement::new();
    let mut left = count;
    for &index in order {
        let here = fit(index).min(left);
        if here > 0 {
            placement.push((index, here));
            left -= here;
        }
        if left == 0 {
            return Some(placement);
        }
    }
    None
}
