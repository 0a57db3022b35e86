//! Placement of suspects: tasks under which a worker has crashed soon after the start.
//!
//! The worker of a suspect takes no other work until the suspect has run for [`START_PERIOD`], so that
//! a second crash shows which job is the cause and takes no other work along. Suspects of one job may
//! share a worker, since the job fails as a whole. If more jobs are suspected than workers may be
//! watched, those that have seen one crash share workers too, so that none waits long; if such a
//! worker crashes, each of its suspects then starts alone.

use std::collections::{BTreeMap, BTreeSet};

use super::draft::{Draft, OrderKey};
use super::place::{PendingGroup, Pool, fitting};
use super::{Planner, request_of};
use crate::cell::duty::START_PERIOD;
use crate::cell::job::Id;
use crate::cell::pack::Slot;
use crate::cell::record::{OrderTask, Phase, TaskProgress};

/// Numbers of waiting tasks of a group.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    pub trusted: u32,
    /// Suspects that have seen one crash at the start.
    pub suspects: u32,
    /// Suspects that have seen several.
    pub repeated: u32,
}

impl Waiting {
    pub fn of(draft: &mut Draft<'_>, pending: &PendingGroup<'_>) -> Self {
        let PendingGroup { group, request, .. } = *pending;
        let mut waiting = Self::default();
        for task in draft.progress(group.job, request).group(request, group) {
            let count = match task.start_crashes() {
                _ if task.phase != Phase::Waiting => continue,
                0 => &mut waiting.trusted,
                1 => &mut waiting.suspects,
                _ => &mut waiting.repeated,
            };
            *count += 1;
        }
        waiting
    }

    /// Returns the numbers for `limit` of the tasks at most, those that are no suspects first.
    pub fn limited(self, limit: u32) -> Self {
        let trusted = self.trusted.min(limit);
        let suspects = self.suspects.min(limit - trusted);
        let repeated = self.repeated.min(limit - trusted - suspects);
        Self { trusted, suspects, repeated }
    }

    pub fn has_suspects(&self) -> bool {
        self.suspects + self.repeated > 0
    }

    pub fn total(&self) -> u32 {
        self.trusted + self.suspects + self.repeated
    }
}

/// Jobs of the tasks on a worker that have not run for [`START_PERIOD`] yet.
#[derive(Debug, Default)]
struct Started {
    all: BTreeSet<Id>,
    suspects: BTreeSet<Id>,
}

/// The workers of a pool on which suspects have just been started.
#[derive(Debug, Default)]
pub(super) struct Watch {
    /// Recent starts, by agent, as the round began.
    started: BTreeMap<String, Started>,
    /// Jobs of all tasks that have just been started, by slot.
    recent: Vec<BTreeSet<Id>>,
    /// Those of them with suspects, by slot.
    jobs: Vec<BTreeSet<Id>>,
    /// Whether all suspects on a slot were placed in this round and have seen one crash.
    shareable: Vec<bool>,
    /// Number of jobs with waiting tasks that have seen one crash.
    suspected_jobs: usize,
    /// Whether other tasks wait too.
    others_wait: bool,
}

impl Watch {
    /// Creates the watch of a pool without slots, for which these groups wait.
    pub fn new<'a>(
        draft: &mut Draft<'_>,
        groups: impl Iterator<Item = &'a PendingGroup<'a>>,
    ) -> Self {
        let mut suspected_jobs = BTreeSet::new();
        let mut others_wait = false;
        for pending in groups {
            let waiting = Waiting::of(draft, pending);
            others_wait |= waiting.trusted > 0;
            if waiting.suspects > 0 {
                suspected_jobs.insert(pending.group.job);
            }
        }
        Self {
            started: recent_starts(draft),
            suspected_jobs: suspected_jobs.len(),
            others_wait,
            ..Self::default()
        }
    }

    /// Adds a slot for the worker of an agent.
    pub fn add_slot(&mut self, agent: &str) {
        let Started { all, suspects } = self.started.remove(agent).unwrap_or_default();
        self.recent.push(all);
        self.jobs.push(suspects);
        self.shareable.push(false);
    }

    /// Returns whether a suspect may still crash the worker of a slot, so that nothing else is placed
    /// there.
    pub fn is_watched(&self, index: usize) -> bool {
        !self.jobs[index].is_empty()
    }

    /// Records that a task of a job is placed on a slot.
    pub fn record_start(&mut self, index: usize, job: Id) {
        self.recent[index].insert(job);
    }

    /// Returns whether tasks of other jobs have just been started on a slot, so that a crash would not
    /// show which job is the cause.
    fn has_other_starts(&self, index: usize, job: Id) -> bool {
        self.recent[index].iter().any(|other| *other != job)
    }

    /// Returns whether only suspects of one job are on a slot.
    fn is_watched_for(&self, index: usize, job: Id) -> bool {
        self.jobs[index].iter().eq(std::iter::once(&job))
    }

    /// Returns whether a suspect may be placed on a slot.
    fn is_open(&self, index: usize, job: Id, repeated: bool) -> bool {
        if !self.is_watched(index) {
            let watched = self.jobs.iter().filter(|jobs| !jobs.is_empty()).count();
            return watched < self.max_watched();
        }
        let has_room = self.jobs[index].len() < self.suspected_jobs.div_ceil(self.max_watched());
        self.is_watched_for(index, job) || !repeated && self.shareable[index] && has_room
    }

    /// Returns how many workers may be watched at once: half of them while other tasks wait.
    fn max_watched(&self) -> usize {
        let slots = self.jobs.len();
        if self.others_wait { slots.div_ceil(2) } else { slots }.max(1)
    }

    fn add(&mut self, index: usize, job: Id, repeated: bool) {
        self.shareable[index] = !repeated && (self.shareable[index] || !self.is_watched(index));
        self.jobs[index].insert(job);
    }
}

impl Planner {
    /// Places the waiting suspects of a group, those that have seen several crashes first.
    pub(super) fn place_apart(
        &mut self,
        draft: &mut Draft<'_>,
        pool: &mut Pool,
        pending: &PendingGroup<'_>,
        closed: &[bool],
        waiting: &Waiting,
    ) {
        for (count, repeated) in [(waiting.repeated, true), (waiting.suspects, false)] {
            for _ in 0..count {
                if !self.place_suspect(draft, pool, pending, closed, repeated) {
                    break;
                }
            }
        }
    }

    /// Places one suspect: beside those of its job, or else on the worker with the least running work.
    /// Returns whether there was a place.
    fn place_suspect(
        &mut self,
        draft: &mut Draft<'_>,
        pool: &mut Pool,
        pending: &PendingGroup<'_>,
        closed: &[bool],
        repeated: bool,
    ) -> bool {
        let job = pending.group.job;
        let used = |slot: &Slot| slot.capacity - slot.free;
        let mut order: Vec<usize> = (0..pool.slots.len())
            .filter(|&index| !closed[index] && pool.watch.is_open(index, job, repeated))
            .collect();
        order.sort_by_key(|&index| {
            let slot = &pool.slots[index];
            let beside_own = pool.watch.is_watched_for(index, job);
            let has_other_starts = pool.watch.has_other_starts(index, job);
            let used = used(slot);
            (has_other_starts, !beside_own, slot.trust, used.accelerators, used.millicores)
        });
        let place = order
            .into_iter()
            .find_map(|index| Some((index, fitting(draft, pool, pending, 1, |i| i == index)?)));
        let Some((index, placement)) = place else {
            return false;
        };
        pool.watch.add(index, job, repeated);
        let takes =
            |task: &TaskProgress| task.is_suspect() && (task.start_crashes() > 1) == repeated;
        self.take(draft, pool, pending, &placement, takes);
        true
    }

    /// Places a gang with a suspect on empty workers, or else where it fits, but beside no other
    /// suspect.
    pub(super) fn place_gang_apart(
        &mut self,
        draft: &mut Draft<'_>,
        pool: &mut Pool,
        pending: &PendingGroup<'_>,
        closed: &[bool],
    ) {
        let count = Waiting::of(draft, pending).total();
        let is_open = |i: usize| !closed[i] && !pool.watch.is_watched(i);
        let is_empty = |i: usize| pool.slots[i].is_empty();
        let is_alone = |i: usize| !pool.watch.has_other_starts(i, pending.group.job);
        let placement = fitting(draft, pool, pending, count, |i| is_open(i) && is_empty(i))
            .or_else(|| fitting(draft, pool, pending, count, |i| is_open(i) && is_alone(i)))
            .or_else(|| fitting(draft, pool, pending, count, is_open));
        let Some(placement) = placement else {
            return;
        };
        for &(index, _) in &placement {
            pool.watch.add(index, pending.group.job, true);
        }
        self.take(draft, pool, pending, &placement, |_| true);
    }
}

/// Returns the jobs of the tasks that have not run for [`START_PERIOD`] yet, by agent.
fn recent_starts(draft: &mut Draft<'_>) -> BTreeMap<String, Started> {
    let input = draft.input;
    let keys: Vec<OrderKey> = draft.orders.keys().cloned().collect();
    let mut started: BTreeMap<String, Started> = BTreeMap::new();
    for (agent, group) in keys {
        let Some((_, request)) = request_of(input.jobs, group.job) else {
            continue;
        };
        let suspects: Vec<u16> = (0_u16..)
            .zip(draft.progress(group.job, request).group(request, group))
            .filter(|(_, task)| task.is_suspect())
            .map(|(index, _)| index)
            .collect();
        let Some(order) = draft.orders.get(&(agent.clone(), group)) else {
            continue;
        };
        let has_survived = |task: &OrderTask| {
            let running = input.workers.get(&agent).map_or(&[][..], |worker| &worker.running);
            let period_ms = u32::try_from(START_PERIOD.as_millis()).unwrap_or(u32::MAX);
            running.iter().any(|run| {
                run.task == group.task(task.index) && run.run == task.run && run.age_ms >= period_ms
            })
        };
        for task in order.tasks.iter().filter(|task| !has_survived(task)) {
            let own = started.entry(agent.clone()).or_default();
            own.all.insert(group.job);
            if suspects.contains(&task.index) {
                own.suspects.insert(group.job);
            }
        }
    }
    started
}
