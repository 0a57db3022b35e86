//! Reservation of empty workers for urgent work.
//!
//! Guards against bursts of wide urgent gangs on a busy cell. Without empty workers each gang stops
//! many narrow tasks and waits for their stops, and as soon as it has ended, the tasks return to
//! the same workers. So as many workers are kept empty as urgent work has recently used.

use std::collections::VecDeque;
use std::time::Duration;

use super::job::Resources;
use super::pack::Slot;
use super::rank::{Rank, Timeliness};
use crate::unit::Time;

/// Time for which a peak of urgent work counts. It spans two bursts of the users and the pause
/// between them.
const PEAK_WINDOW: Duration = Duration::from_secs(12);
/// At least one worker in this many is reserved, for the first task of a burst.
const MIN_RESERVE_DIVISOR: usize = 6;
/// At most one worker in this many is reserved, so that other work proceeds.
const MAX_RESERVE_DIVISOR: usize = 2;
/// Slack above which work of middle priority may not use reserved workers, in milliseconds. Longer
/// than a short task runs.
const RELAXED_SLACK_MS: i64 = 6_000;
/// Lowest priority number of background work, which may not use reserved workers unless it is
/// guaranteed.
const BACKGROUND_PRIORITY: u32 = 2;

/// The number of workers that urgent work has used recently.
#[derive(Debug, Default)]
pub struct Reserve {
    /// Times with the number of workers that urgent work used then. The numbers decrease from front
    /// to back, so the front is the peak of the window.
    peaks: VecDeque<(Time, usize)>,
}

impl Reserve {
    /// Records the number of workers that urgent work uses now, and drops expired peaks.
    pub fn record_usage(&mut self, now: Time, used: usize) {
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= used) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, used));
        while self.peaks.front().is_some_and(|(at, _)| now.since(*at) > PEAK_WINDOW) {
            self.peaks.pop_front();
        }
    }

    /// Returns the number of workers that a group of the given rank may not use, out of `workers`,
    /// of which `empty` are empty.
    #[must_use]
    pub fn size(&self, workers: usize, empty: usize, rank: &Rank) -> usize {
        if may_use_reserve(rank) {
            return 0;
        }
        let background = rank.priority >= BACKGROUND_PRIORITY;
        let peak = self.peaks.front().map_or(0, |(_, peak)| *peak);
        let used = self.peaks.back().map_or(0, |(_, used)| *used);
        // An idle cell has free workers anyway, and a group that has missed its objective may use
        // all workers once no urgent work has come for a while.
        let idle = 2 * empty > workers;
        let minimum =
            if idle || rank.slack_ms < 0 { 0 } else { workers.div_ceil(MIN_RESERVE_DIVISOR) };
        let recent_peak = if background { peak - used.min(peak) } else { 0 };
        recent_peak.max(minimum).min(workers / MAX_RESERVE_DIVISOR)
    }
}

/// Returns whether a group of the given rank may use reserved workers. Urgent work may even if it
/// is late, since it is short.
fn may_use_reserve(rank: &Rank) -> bool {
    let short_of_slack = rank.priority < BACKGROUND_PRIORITY && rank.slack_ms <= RELAXED_SLACK_MS;
    match rank.timeliness {
        Timeliness::InTime => rank.guaranteed || rank.priority == 0 || short_of_slack,
        Timeliness::Late => rank.guaranteed || rank.priority == 0,
        Timeliness::TooLate => rank.guaranteed,
    }
}

/// Returns, by slot, whether a worker is among the `size` reserved ones. Empty workers on racks
/// with many empty workers come first, so that whole racks stay free for gangs that want one.
#[must_use]
pub fn reserved(slots: &[Slot], room: impl Fn(usize) -> Resources, size: usize) -> Vec<bool> {
    let mut reserved = vec![false; slots.len()];
    let is_empty =
        |index: &usize| slots[*index].has_capacity() && room(*index) == slots[*index].capacity;
    let mut empty: Vec<usize> = (0..slots.len()).filter(is_empty).collect();
    let empty_on_rack = |index: usize| {
        let rack = &slots[index].rack;
        empty.iter().filter(|&&other| slots[other].rack == *rack).count()
    };
    let mut order: Vec<(usize, &str, usize)> =
        empty.iter().map(|&index| (empty_on_rack(index), &*slots[index].rack, index)).collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    empty = order.into_iter().map(|(_, _, index)| index).collect();
    for index in empty.into_iter().take(size) {
        reserved[index] = true;
    }
    reserved
}
