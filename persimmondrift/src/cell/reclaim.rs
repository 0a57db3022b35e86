//! Room that is taken back for what has a better claim to it.
//!
//! Answers guarantees that are claimed on full workers: as few tasks as possible are stopped,
//! and those first that lose least by it.

use super::job::{Room, Task};

/// A task that may be stopped for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Victim {
    /// The task.
    pub task: Task,
    /// What it holds.
    pub room: Room,
    /// Core-milliseconds of work that are lost if it is stopped.
    pub loss: u64,
}

/// Returns the tasks to stop so that `need` fits into `free`, with little lost; nothing if it
/// does not fit even without all of them.
#[must_use]
pub fn victims(free: Room, need: Room, candidates: &[Victim]) -> Option<Vec<Victim>> {
    let mut order = candidates.to_vec();
    order.sort_by_key(|victim| (victim.loss, victim.room.accelerators));
    let mut room = free;
    let mut chosen = Vec::new();
    for victim in order {
        if room.holds(need) {
            break;
        }
        room = room + victim.room;
        chosen.push(victim);
    }
    if !room.holds(need) {
        return None;
    }
    // Leaves out, the dearest first, what is not needed after all.
    for index in (0..chosen.len()).rev() {
        let without = room - chosen[index].room;
        if without.holds(need) {
            room = without;
            chosen.remove(index);
        }
    }
    Some(chosen)
}
