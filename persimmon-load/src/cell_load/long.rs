//! Replay of a long day: jobs arrive for longer than the state of an ended job is kept.

use std::collections::BTreeMap;
use std::time::Duration;

use persimmondrift::cell::job::{Group, Id, Resources};
use persimmondrift::cell::record;
use persimmondrift::cell::table::{Row, Table};
use persimmondrift::unit::Time;
use standin::cell::{CAPACITY, entry_settings};

use super::{COMPLETION_GRACE, Deployment, Item, Outcome, Replay, draw_over, job_id};

/// Time over which jobs arrive.
const SPAN: Duration = Duration::from_secs(130);
/// Time after the retention time within which all rows of an ended job must be removed.
const REMOVE_WITHIN: Duration = Duration::from_secs(2);
/// Time for which a job may wait beside idle room, as the users' pages state it.
const IDLE_WITHIN: Duration = Duration::from_secs(3);
/// A job waits beside idle room if it fits this many times into what is free.
const IDLE_FACTOR: u32 = 2;

/// Draws the list of a long day.
#[must_use]
pub fn draw(deployment: &Deployment, load: f64, seed: u64) -> Vec<Item> {
    draw_over(deployment, load, seed, SPAN)
}

/// Replays a list until all of its jobs have ended and expired. Violations of the retention time, and
/// jobs that wait beside idle room, are among the faults.
#[must_use]
pub fn run(deployment: &Deployment, items: &[Item]) -> Outcome {
    let retention = entry_settings().keep;
    let mut replay = Replay::start(deployment, items);
    let mut expiry = Expiry { retention, removed: BTreeMap::new(), faults: Vec::new() };
    let mut idle = Idle::default();
    let last_arrival = items.last().map(|item| item.at).unwrap_or_default();
    let limit = last_arrival + COMPLETION_GRACE + retention + 2 * REMOVE_WITHIN;
    while replay.elapsed() < limit && expiry.removed.len() < items.len() {
        replay.step();
        expiry.check(&replay);
        idle.check(&replay);
    }
    let not_removed = (0..items.len()).map(job_id).filter(|id| !expiry.removed.contains_key(id));
    let not_removed = not_removed.map(|id| match replay.ends.get(&id) {
        Some((at, _)) => format!("job {id} ended at {at} and is still in the store"),
        None => format!("job {id} has not ended"),
    });
    let mut faults = idle.faults;
    faults.extend(not_removed);
    faults.extend(expiry.faults);
    let mut outcome = replay.into_outcome();
    outcome.faults.extend(faults);
    outcome
}

/// Checks that the rows of ended jobs stay for the retention time, and leave the store soon after it.
struct Expiry {
    retention: Duration,
    /// Jobs of which no row is left, and when the last one was removed.
    removed: BTreeMap<Id, Time>,
    faults: Vec<String>,
}

impl Expiry {
    fn check(&mut self, replay: &Replay<'_>) {
        let now = replay.cell.now;
        for id in (0..replay.submitted).map(job_id) {
            if self.removed.contains_key(&id) {
                continue;
            }
            let kept_for = replay.ends.get(&id).map(|(at, _)| now.since(*at));
            let is_kept = |key: &str| replay.cell.rows.get(Table::Jobs, key).is_some();
            let has_job = is_kept(&record::job_key(id));
            if !has_job && kept_for.is_none_or(|span| span < self.retention) {
                self.faults.push(format!("job {id} was removed {kept_for:?} after its end"));
            }
            if !has_job && !is_kept(&record::progress_key(id)) && !has_order(replay, id) {
                self.removed.insert(id, now);
            } else if kept_for.is_some_and(|span| span > self.retention + REMOVE_WITHIN) {
                self.faults.push(format!("rows of job {id} are kept {kept_for:?} after its end"));
                self.removed.insert(id, now);
            }
        }
    }
}

fn has_order(replay: &Replay<'_>, id: Id) -> bool {
    let is_of_job = |row: &Row| {
        record::parse_order_key(&row.key).is_some_and(|(_, group): (_, Group)| group.job == id)
    };
    replay.cell.rows.snapshot(Table::Orders).rows.iter().any(is_of_job)
}

/// Checks that no job waits beside idle room.
#[derive(Default)]
struct Idle {
    /// Begin of the time for which a job has nothing running beside idle room.
    since: BTreeMap<Id, Time>,
    faults: Vec<String>,
}

impl Idle {
    fn check(&mut self, replay: &Replay<'_>) {
        let free = Free::of(replay);
        let waits = |index: &usize| {
            let (id, step) = (job_id(*index), &replay.items[*index].request.steps[0]);
            let count = if step.gang { u32::from(step.width) } else { 1 };
            let ended = replay.ends.contains_key(&id);
            !ended && !free.running.contains_key(&id) && {
                let racks = free.by_rack.iter().map(|rack| count_fitting(rack, step.need));
                let room =
                    if step.one_rack { racks.max().unwrap_or(0) } else { racks.sum::<u32>() };
                room >= IDLE_FACTOR * count
            }
        };
        let waiting: Vec<Id> = if free.is_half_idle {
            (0..replay.submitted).filter(waits).map(job_id).collect()
        } else {
            Vec::new()
        };
        self.since.retain(|id, _| waiting.contains(id));
        let now = replay.cell.now;
        for id in waiting {
            let since = self.since.entry(id).or_insert(now);
            if now.since(*since) > IDLE_WITHIN {
                self.faults.push(format!("job {id} waits beside idle room since {since}"));
                *since = now;
            }
        }
    }
}

/// What the workers run, and what is free on them.
struct Free {
    /// Number of tasks that run, by job.
    running: BTreeMap<Id, u32>,
    /// Free resources of each worker, by rack.
    by_rack: Vec<Vec<Resources>>,
    /// Whether less than half of the accelerators are in use.
    is_half_idle: bool,
}

impl Free {
    fn of(replay: &Replay<'_>) -> Self {
        let needs: BTreeMap<Id, Resources> = (0..replay.submitted)
            .map(|index| (job_id(index), replay.items[index].request.steps[0].need))
            .collect();
        let mut running = BTreeMap::new();
        let mut used = 0;
        let mut free = Vec::new();
        for vm in 0..replay.deployment.workers {
            let mut left = CAPACITY;
            for (task, _) in replay.cell.running(vm) {
                *running.entry(task.job).or_default() += 1;
                let need = needs[&task.job];
                used += need.accelerators;
                left = left - need;
            }
            free.push(left);
        }
        let all = u32::try_from(replay.deployment.workers).unwrap_or(u32::MAX) * 8;
        let by_rack = free.chunks(replay.deployment.rack).map(<[Resources]>::to_vec).collect();
        Self { running, by_rack, is_half_idle: 2 * used < all }
    }
}

fn count_fitting(free: &[Resources], need: Resources) -> u32 {
    free.iter().map(|room| room.count(need)).sum()
}
