//! Workers that are kept empty for urgent work that may come.
//!
//! Answers bursts of wide urgent gangs on a busy cell. Without empty workers each gang stops many
//! narrow tasks, waits for their stops, and the tasks come back to the same workers as soon as
//! the gang has ended. So as many workers stay empty as urgent work has lately used.

use std::collections::VecDeque;
use std::time::Duration;

use super::job::Resources;
use super::pack::Slot;
use super::rank::{Rank, Timeliness};
use crate::unit::Time;

/// How long a peak of urgent work is remembered: two of the users' bursts, and the pause between.
const PEAK_WINDOW: Duration = Duration::from_secs(12);
/// One worker of so many is kept empty at least, for the first task of a burst.
const MIN_RESERVE_DIVISOR: usize = 6;
/// At most one worker of so many is kept empty, so that other work goes on.
const MAX_RESERVE_DIVISOR: usize = 2;
/// Slack above which work of middle priority leaves kept workers alone, in milliseconds: longer
/// than a short task runs.
const RELAXED_SLACK_MS: i64 = 6_000;
/// Priorities from this one on never use kept workers.
const BACKGROUND_PRIORITY: u32 = 2;

/// How many workers urgent work has used lately.
#[derive(Debug, Default)]
pub struct Reserve {
    /// Times, and how many workers urgent work used then; falling from front to back.
    peaks: VecDeque<(Time, usize)>,
}

impl Reserve {
    /// Takes note of how many workers urgent work uses now.
    pub fn record_usage(&mut self, now: Time, used: usize) {
        while self.peaks.back().is_some_and(|(_, peak)| *peak <= used) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, used));
        while self.peaks.front().is_some_and(|(at, _)| now.since(*at) > PEAK_WINDOW) {
            self.peaks.pop_front();
        }
    }

    /// Returns how many of `workers`, of which some are empty, are kept from a claim.
    #[must_use]
    pub fn size(&self, workers: usize, empty: usize, rank: &Rank) -> usize {
        if may_use_reserve(rank) {
            return 0;
        }
        let background = rank.priority >= BACKGROUND_PRIORITY;
        let peak = self.peaks.front().map_or(0, |(_, peak)| *peak);
        let used = self.peaks.back().map_or(0, |(_, used)| *used);
        // An idle cell has room without it, and what has waited long enough may take all workers
        // once no urgent work comes.
        let idle = 2 * empty > workers;
        let minimum =
            if idle || rank.slack_ms < 0 { 0 } else { workers.div_ceil(MIN_RESERVE_DIVISOR) };
        let recent_peak = if background { peak - used.min(peak) } else { 0 };
        recent_peak.max(minimum).min(workers / MAX_RESERVE_DIVISOR)
    }
}

/// Returns whether a claim may use kept workers. Urgent work is short, so it may also when it is
/// late.
fn may_use_reserve(rank: &Rank) -> bool {
    let short_of_slack = rank.priority < BACKGROUND_PRIORITY && rank.slack_ms <= RELAXED_SLACK_MS;
    match rank.timeliness {
        Timeliness::InTime => rank.guaranteed || rank.priority == 0 || short_of_slack,
        Timeliness::Late => rank.guaranteed || rank.priority == 0,
        Timeliness::TooLate => rank.guaranteed,
    }
}

/// Returns which empty workers are kept: those of racks with many empty ones first, so that whole
/// racks stay free for gangs that want one.
#[must_use]
pub fn reserved(slots: &[Slot], room: impl Fn(usize) -> Resources, size: usize) -> Vec<bool> {
    let mut reserved = vec![false; slots.len()];
    let mut empty: Vec<usize> =
        (0..slots.len()).filter(|&index| room(index) == slots[index].capacity).collect();
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
