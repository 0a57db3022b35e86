//! Room that more urgent work has claimed from running work of lower priority.
//!
//! Under a steady load of urgent work, what is placed into the room that such work leaves for a
//! moment is soon stopped again, and never finished. So each claim keeps as much room from lower
//! priorities as it took from them. What is kept shrinks with time, and grows with further claims,
//! until lower priorities get the room that urgent work does not need.

use std::collections::VecDeque;
use std::time::Duration;

use super::job::Resources;
use super::pack::Slot;
use super::rank::Rank;
use crate::unit::Time;

/// Time within which a claim loses its effect. Longer than most tasks run.
const CLAIM_WINDOW: Duration = Duration::from_secs(20);

/// A claim on running work.
#[derive(Debug)]
struct Claim {
    at: Time,
    /// Priority of the group that has claimed the room.
    priority: u32,
    room: Resources,
}

/// The recent claims of groups on running work of lower priority.
#[derive(Debug, Default)]
pub struct Pressure {
    claims: VecDeque<Claim>,
}

impl Pressure {
    /// Records that a group of `priority` has claimed room from work of lower priority.
    pub fn record_claim(&mut self, now: Time, priority: u32, room: Resources) {
        while self.claims.front().is_some_and(|claim| now.since(claim.at) >= CLAIM_WINDOW) {
            self.claims.pop_front();
        }
        self.claims.push_back(Claim { at: now, priority, room });
    }

    /// Returns the room that is kept from a group of the given rank.
    #[must_use]
    pub fn kept(&self, now: Time, rank: &Rank) -> Resources {
        if rank.guaranteed {
            return Resources::default();
        }
        let above = self.claims.iter().filter(|claim| claim.priority < rank.priority);
        let mut sums = [0_u64; 3];
        for claim in above {
            let left_ms = CLAIM_WINDOW.saturating_sub(now.since(claim.at)).as_millis();
            let left_ms = u64::try_from(left_ms).unwrap_or(0);
            let Resources { millicores, mebibytes, accelerators } = claim.room;
            for (sum, part) in sums.iter_mut().zip([millicores, mebibytes, accelerators]) {
                *sum += u64::from(part) * left_ms;
            }
        }
        let window_ms = u64::try_from(CLAIM_WINDOW.as_millis()).unwrap_or(u64::MAX);
        let [millicores, mebibytes, accelerators] =
            sums.map(|sum| u32::try_from(sum / window_ms).unwrap_or(u32::MAX));
        Resources { millicores, mebibytes, accelerators }
    }
}

/// Closes workers until their free room holds `kept`, those with the most free room first. Room on
/// workers that are closed already counts.
pub fn close(slots: &[Slot], closed: &mut [bool], kept: Resources) {
    let free_of = |index: usize| slots[index].free;
    let mut sum = (0..slots.len())
        .filter(|index| closed[*index])
        .fold(Resources::default(), |sum, index| sum + free_of(index));
    let mut open: Vec<usize> = (0..slots.len()).filter(|index| !closed[*index]).collect();
    open.sort_by_key(|&index| {
        std::cmp::Reverse((free_of(index).accelerators, free_of(index).millicores))
    });
    for index in open {
        if sum.holds(kept) {
            return;
        }
        closed[index] = true;
        sum = sum + free_of(index);
    }
}
