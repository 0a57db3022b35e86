//! Which workers a group of like tasks goes to.
//!
//! Answers fragmentation by tasks of 1 to 8 accelerators: the worker that is left with the
//! least takes the next task, so that whole workers, and whole racks, stay free for wide ones.

use super::health::Trust;
use super::job::{Resources, Step};

/// A worker that may take tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slot {
    /// Its agent.
    pub agent: String,
    /// Its rack.
    pub rack: String,
    /// Its kind, its rack and other labels.
    pub labels: Vec<String>,
    /// All that it has.
    pub capacity: Resources,
    /// What is free.
    pub free: Resources,
    /// How far it is trusted; the most trusted are used first.
    pub trust: Trust,
}

/// How many tasks go to which slot, by its index.
pub type Placement = Vec<(usize, u32)>;

/// What a group asks for.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The step.
    pub step: &'a Step,
    /// How many tasks wait.
    pub count: u32,
}

/// Returns places for the tasks of a group: for all of a gang or none, else for as many as fit.
///
/// `room` tells what of a slot may be used, and `taken` how many tasks of the group it has.
#[must_use]
pub fn place(
    slots: &[Slot],
    demand: Demand<'_>,
    room: impl Fn(usize) -> Resources,
    assigned: impl Fn(usize) -> u32,
) -> Option<Placement> {
    let Demand { step, count } = demand;
    let eligible = |index: &usize| {
        step.label.as_ref().is_none_or(|label| slots[*index].labels.contains(label))
    };
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

/// Orders workers for a step: sound ones first, then the rack of the data, then the fullest.
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

/// Returns places on the rack that holds the whole gang and is left with the least.
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

/// Returns places for all tasks on slots in their order; nothing if they do not fit.
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
