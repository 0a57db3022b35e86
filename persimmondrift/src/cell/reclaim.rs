//! The cost of preemption, and the choice of victims.
//!
//! Guaranteed and urgent jobs may arrive while all workers are full. The tasks whose stop loses
//! least are stopped, and without a guarantee none if more would be lost than gained. A stop loses
//! work that has to be done again, and the objective of a job that misses it because of the stop.

use std::collections::BTreeSet;

use super::job::{Group, Resources, Step, Task};
use super::rank::{Rank, Timeliness};

/// Processor cores that an accelerator counts as when work is compared.
const CORES_PER_ACCELERATOR: u64 = 8;
/// Slack below which a job may preempt less urgent ones, in milliseconds. Covers a stop, the trips
/// across regions, and errors of the declared run times.
const URGENT_SLACK_MS: i64 = 2_500;
/// Time from the decision to stop a run until its resources are free, in milliseconds.
const STOP_MS: i64 = 800;
/// Time since its acceptance for which a guaranteed job waits for runs that end by themselves, in
/// milliseconds. Leaves time for a stop and a start before its guarantee is missed.
const GUARANTEE_PATIENCE_MS: u64 = 1_300;
/// Time that a task loses when it resumes from its checkpoint, in milliseconds: its restart.
const RESUME_MS: u64 = 800;
/// Time until a stopped task runs again, in milliseconds: its stop, and its start on another
/// worker.
const RESTART_DELAY_MS: i64 = 2_000;
/// Value of meeting the objective of a job, by priority, in percent of the cost of losing all of
/// its work. Follows from the users' values of their jobs, in time and late, divided by their price
/// of lost work, which also takes resources from waiting jobs. Lower priorities use the last entry.
const OBJECTIVE_PERCENT: [u64; 3] = [100, 30, 10];

/// Returns whether a group may preempt others: under a guarantee, or because it would miss its
/// objective if it waited any longer before others are stopped, and meets it if they are.
#[must_use]
pub fn may_preempt(rank: &Rank) -> bool {
    let urgent = (STOP_MS..URGENT_SLACK_MS).contains(&rank.slack_ms);
    rank.guaranteed || (rank.timeliness == Timeliness::InTime && urgent)
}

/// Returns the time for which a group that may preempt others waits for runs that end by
/// themselves, in milliseconds: at least as long as a stop takes, unless its guarantee would be
/// missed.
#[must_use]
pub fn patience_ms(rank: &Rank, waited_ms: u64) -> u64 {
    let patience_ms = u64::try_from(rank.slack_ms.max(STOP_MS)).unwrap_or(0);
    if rank.guaranteed {
        patience_ms.min(GUARANTEE_PATIENCE_MS.saturating_sub(waited_ms))
    } else {
        patience_ms
    }
}

/// Returns the estimated work of `count` tasks of a step, in core-milliseconds; accelerators count
/// as cores.
#[must_use]
pub fn work(step: &Step, count: u64) -> u64 {
    cores(step.need).saturating_mul(u64::from(step.estimate_ms)).saturating_mul(count)
}

/// Returns the value of meeting the objective of a job with the given work, in core-milliseconds.
#[must_use]
pub fn gain(rank: &Rank, work: u64) -> u64 {
    let level = usize::try_from(rank.priority).unwrap_or(usize::MAX);
    work.saturating_mul(OBJECTIVE_PERCENT[level.min(OBJECTIVE_PERCENT.len() - 1)]) / 100
}

/// The properties of a running task that decide what its stop costs.
#[derive(Debug, Clone, Copy)]
pub struct StopCost<'a> {
    /// Rank of the job, as if its running steps had to start from the beginning now.
    pub rank: Rank,
    /// Step that the task belongs to.
    pub step: &'a Step,
    /// Reported progress of the task, in percent.
    pub percent: u8,
    /// Number of the current run of the task, counted from 1.
    pub run: u32,
}

impl StopCost<'_> {
    /// Returns the cost of the stop in core-milliseconds; for a member of a gang, of stopping the
    /// whole gang.
    #[must_use]
    pub fn loss(&self) -> u64 {
        let step = self.step;
        let members = if step.gang { u64::from(step.width) } else { 1 };
        let done_ms = u64::from(step.estimate_ms) * u64::from(self.percent) / 100;
        let redo_ms = if step.checkpoints { RESUME_MS } else { done_ms };
        // The cost grows with each run, so that a task that was stopped before is stopped last.
        let redo_work = [redo_ms, members, u64::from(self.run.max(1))]
            .into_iter()
            .fold(cores(step.need), u64::saturating_mul);
        let missed = if self.misses_objective_if_stopped() {
            gain(&self.rank, work(step, members))
        } else {
            0
        };
        redo_work.saturating_add(missed)
    }

    /// Returns whether the job misses its objective only because of the stop.
    fn misses_objective_if_stopped(&self) -> bool {
        let saved_percent = if self.step.checkpoints { i64::from(self.percent) } else { 0 };
        let saved_ms = i64::from(self.step.estimate_ms) * saved_percent / 100;
        let done_ms = i64::from(self.step.estimate_ms) * i64::from(self.percent) / 100;
        // The rank counts running steps from their beginning, so what is done is added to the
        // slack.
        let meets_objective = self.rank.slack_ms.saturating_add(done_ms) >= 0;
        meets_objective && self.rank.slack_ms.saturating_add(saved_ms) < RESTART_DELAY_MS
    }
}

/// Returns the thousandths of a core in resources; accelerators count as cores.
#[must_use]
pub fn millicores(resources: Resources) -> u64 {
    u64::from(resources.millicores)
        + u64::from(resources.accelerators) * CORES_PER_ACCELERATOR * 1_000
}

/// Returns the cores in resources; accelerators count as cores.
#[must_use]
pub fn cores(resources: Resources) -> u64 {
    u64::from(resources.millicores) / 1_000
        + u64::from(resources.accelerators) * CORES_PER_ACCELERATOR
}

/// A running task that may be preempted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Victim {
    /// Task that would be stopped.
    pub task: Task,
    /// Resources that its stop frees.
    pub room: Resources,
    /// Priority of its job's queue.
    pub priority: u32,
    /// Reported progress of its run, in percent.
    pub percent: u8,
    /// Cost of its stop, in core-milliseconds; for a member of a gang, of stopping the whole gang.
    pub loss: u64,
    /// Whether its group is a gang, which is stopped as a whole.
    pub gang: bool,
}

/// Returns the cost of stopping all victims, in core-milliseconds. A gang counts once; `gangs`
/// holds the gangs that are already counted.
#[must_use]
pub fn total_loss(victims: &[Victim], gangs: &mut BTreeSet<Group>) -> u64 {
    let counted = victims.iter().filter(|victim| !victim.gang || gangs.insert(victim.task.group()));
    counted.map(|victim| victim.loss).fold(0, u64::saturating_add)
}

/// Returns candidates to stop so that `need` fits into `free`, chosen greedily by their cost;
/// `None` if it would not fit even if all were stopped.
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
    // Drops victims that are not needed after all, the most expensive first.
    for index in (0..chosen.len()).rev() {
        let without = room - chosen[index].room;
        if without.holds(need) {
            room = without;
            chosen.remove(index);
        }
    }
    Some(chosen)
}
