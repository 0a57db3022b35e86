//! Placement of groups that have waited beside idle room.
//!
//! Room is withheld from a group for others, workers are avoided after faults that may be over, and a gang
//! waits for a rack. While most of the cell is idle, a group waits for a bounded time only, and is then
//! placed wherever it fits.

use std::time::Duration;

use super::Planner;
use super::draft::Draft;
use super::place::{Closed, PendingGroup, Pool, assigned};
use super::suspect::Waiting;

/// Time for which a group waits beside idle room. Leaves time for a start before its caller counts the
/// group as lost.
const IDLE_PATIENCE: Duration = Duration::from_millis(1_500);
/// Number of times that a group must fit into the free resources so that they count as idle room.
const IDLE_FITS: u32 = 2;

impl Planner {
    /// Places a group that has waited for [`IDLE_PATIENCE`] beside idle room on workers that are closed
    /// to it.
    pub(super) fn place_overdue(
        &mut self,
        draft: &mut Draft<'_>,
        pool: &mut Pool,
        pending: &PendingGroup<'_>,
        closed: &Closed,
    ) {
        let (now, group) = (draft.input.now, pending.group);
        let count = Waiting::of(draft, pending).total();
        if count == 0 || !is_beside_idle_room(draft, pool, pending) {
            self.idle_since.remove(&group);
            return;
        }
        let since = *self.idle_since.entry(group).or_insert(now);
        if now.since(since) < IDLE_PATIENCE {
            return;
        }
        let step = &pending.request.steps[usize::from(group.step)];
        // Workers that are closed otherwise may still be broken, so that one task is enough.
        let limit = if step.gang || step.long_running { u32::MAX } else { 1 };
        let split = PendingGroup { may_split: true, ..*pending };
        let open = vec![false; pool.slots.len()];
        for (pending, closed, limit) in [
            (pending, &closed.excluded, u32::MAX),
            (&split, &closed.excluded, u32::MAX),
            (&split, &open, limit),
        ] {
            self.place_on_open(draft, pool, pending, closed, limit);
            if Waiting::of(draft, pending).total() < count {
                break;
            }
        }
        if Waiting::of(draft, pending).total() < count {
            // What is left, or ends early, waits as long again.
            self.idle_since.insert(group, now);
        }
    }
}

/// Returns whether a group fits [`IDLE_FITS`] times and none of its tasks runs while most of the capacity
/// is idle. Tasks that run until their job is cancelled are owed such room at any time.
fn is_beside_idle_room(draft: &Draft<'_>, pool: &Pool, pending: &PendingGroup<'_>) -> bool {
    let step = &pending.request.steps[usize::from(pending.group.step)];
    if !step.long_running && pool.is_busy() {
        return false;
    }
    let assigned = assigned(draft, pool, pending.group);
    let places = pool.slots.iter().zip(assigned).filter(|(slot, _)| slot.has_label(step));
    let places = places.map(|(slot, assigned)| {
        let most = step.spread.map_or(u32::MAX, |most| u32::from(most).saturating_sub(assigned));
        slot.free.count(step.effective_need()).min(most)
    });
    let units = if step.gang { u32::from(step.width) } else { 1 };
    let is_ordered =
        || draft.orders.iter().any(|((_, own), it)| *own == pending.group && !it.tasks.is_empty());
    places.fold(0, u32::saturating_add) >= IDLE_FITS * units && (step.long_running || !is_ordered())
}
