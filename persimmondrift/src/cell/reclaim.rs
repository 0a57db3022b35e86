//! Room that is taken back for what has a better claim to it.
//!
//! Answers guarantees and urgent jobs that come on full workers: those tasks are stopped by which
//! least is lost, and none if more is lost than won. What is lost is work that has to be done
//! again, and the objective of a job that cannot meet it any more once it was stopped.

use std::collections::BTreeSet;

use super::job::{Group, Resources, Step, Task};
use super::rank::{Rank, Timeliness};

/// Processor cores that an accelerator weighs when lost work is compared.
const CORES_PER_ACCELERATOR: u64 = 8;
/// Slack of a job below which it may take room from less urgent ones, in milliseconds: a stop, the
/// ways across regions, and the declared times that are off.
const URGENT_SLACK_MS: i64 = 2_500;
/// Time that a task loses when it goes on from its checkpoint, in milliseconds: its restart.
const RESUME_MS: u64 = 800;
/// Time until a stopped task runs again, in milliseconds: its stop, and the way to another worker.
const RESTART_DELAY_MS: i64 = 2_000;
/// What it is worth that a job meets its objective, by its priority, as a share of the price of
/// losing all of its work, in percent. From the users' worth of their jobs, in time and late, over
/// their price of lost work, which also takes room from what waits; later priorities are as the
/// last one.
const OBJECTIVE_PERCENT: [u64; 3] = [100, 30, 10];

/// Returns whether a group may take room from others: under a guarantee, or because it would
/// miss its objective if it waited for a stop any longer.
#[must_use]
pub fn may_preempt(rank: &Rank) -> bool {
    rank.guaranteed || (rank.timeliness == Timeliness::InTime && rank.slack_ms < URGENT_SLACK_MS)
}

/// Returns the core-milliseconds of a number of tasks of a step; accelerators count as cores.
#[must_use]
pub fn work(step: &Step, count: u64) -> u64 {
    cores(step) * u64::from(step.estimate_ms) * count
}

/// Returns what is won if a job with some work meets its objective, in core-milliseconds.
#[must_use]
pub fn gain(rank: &Rank, work: u64) -> u64 {
    let level = usize::try_from(rank.priority).unwrap_or(usize::MAX);
    work * OBJECTIVE_PERCENT[level.min(OBJECTIVE_PERCENT.len() - 1)] / 100
}

/// What is at stake if a task is stopped.
#[derive(Debug, Clone, Copy)]
pub struct StopCost<'a> {
    /// The claim of its job, were it to begin now.
    pub rank: Rank,
    /// Its step.
    pub step: &'a Step,
    /// How much of the task is done, in percent.
    pub percent: u8,
    /// The number of its run.
    pub run: u32,
}

impl StopCost<'_> {
    /// Returns what is lost, in core-milliseconds; for a gang that of all members.
    #[must_use]
    pub fn loss(&self) -> u64 {
        let step = self.step;
        let members = if step.gang { u64::from(step.width) } else { 1 };
        let done_ms = u64::from(step.estimate_ms) * u64::from(self.percent) / 100;
        let redo_ms = if step.checkpoints { RESUME_MS } else { done_ms };
        // Work that was moved before is moved again last.
        let redo_work = cores(step) * redo_ms * members * u64::from(self.run.max(1));
        redo_work
            + if self.misses_objective_if_stopped() {
                gain(&self.rank, work(step, members))
            } else {
                0
            }
    }

    /// Returns whether the job misses its objective only because of the stop.
    fn misses_objective_if_stopped(&self) -> bool {
        let saved_percent = if self.step.checkpoints { i64::from(self.percent) } else { 0 };
        let saved_ms = i64::from(self.step.estimate_ms) * saved_percent / 100;
        let done_ms = i64::from(self.step.estimate_ms) * i64::from(self.percent) / 100;
        // The claim is that of a job whose running steps begin anew.
        let meets_objective = self.rank.slack_ms + done_ms >= 0;
        meets_objective && self.rank.slack_ms + saved_ms < RESTART_DELAY_MS
    }
}

/// Returns the cores of a task of a step, its accelerators among them.
fn cores(step: &Step) -> u64 {
    u64::from(step.need.millicores) / 1_000
        + u64::from(step.need.accelerators) * CORES_PER_ACCELERATOR
}

/// A task that may be stopped for others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Victim {
    /// The task.
    pub task: Task,
    /// What it holds.
    pub room: Resources,
    /// What is lost if it is stopped, in core-milliseconds; for the member of a gang what is lost
    /// by the stop of all.
    pub loss: u64,
    /// Whether all members of its group are stopped with it.
    pub gang: bool,
}

/// Returns what is lost by all victims together. A gang counts once; those that were counted
/// before are in `gangs`.
#[must_use]
pub fn total_loss(victims: &[Victim], gangs: &mut BTreeSet<Group>) -> u64 {
    let counted = victims.iter().filter(|victim| !victim.gang || gangs.insert(victim.task.group()));
    counted.map(|victim| victim.loss).sum()
}

/// Returns the tasks to stop so that `need` fits into `free`, with little lost; nothing if it
/// does not fit even without all of them.
#[must_use]
pub fn select_victims(
    free: Resources,
    need: Resources,
    candidates: &[Victim],
) -> Option<Vec<Victim>> {
    let mut order = candidates.to_vec();
    order.sort_by_key(|victim| (victim.loss, victim.task.group(), victim.room.accelerators));
    let mut room = free;
    let mut chosen: Vec<Victim> = Vec::new();
    for victim in order {
        let last_gang = chosen.last().filter(|last| last.gang).map(|last| last.task.group());
        if room.holds(need) && last_gang != Some(victim.task.group()) {
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
