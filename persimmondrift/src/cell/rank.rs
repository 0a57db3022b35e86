//! The order in which waiting groups are placed.
//!
//! The order matters under bursts of twice the load on workers that are already two thirds full.
//! Guaranteed groups come first. The others are ordered by priority; within a priority, groups
//! that can still meet their objective come before late ones, and the least slack comes first.
//! Groups that are too late to be of use come last.

use std::cmp::Reverse;

use super::access::Queue;
use super::job::Request;
use super::record::Progress;

/// Delay between the last end of a run and the job's being shown as completed, in milliseconds: two
/// one-way trips across regions, and two transactions.
const DISPLAY_DELAY_MS: i64 = 250;
/// Multiple of the objective up to which a late job is still of use.
const MAX_LATE_FACTOR: i64 = 3;

/// Whether a job can still meet its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// The job meets its objective if it starts within its slack.
    InTime,
    /// The job misses its objective, but is still of use.
    Late,
    /// The job ends too late to be of use.
    TooLate,
}

/// The properties of a job that decide when its groups are placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// Whether the guarantee of its workspace covers the job.
    pub guaranteed: bool,
    /// Priority of the job's queue; 0 comes first.
    pub priority: u32,
    /// Time since the job was accepted, in milliseconds.
    pub age_ms: u64,
    /// Whether the job can still meet its objective.
    pub timeliness: Timeliness,
    /// Time by which the start may be delayed from now and the job still meets its objective, in
    /// milliseconds; negative if it misses the objective.
    pub slack_ms: i64,
}

impl Rank {
    /// Computes the rank of a job from its age and the estimates of its steps.
    #[must_use]
    pub fn new(
        queue: &Queue,
        request: &Request,
        progress: &Progress,
        age_ms: u64,
        guaranteed: bool,
    ) -> Self {
        let objective = objective_ms(queue, critical_path_ms(request, None));
        let rest = i64::from(critical_path_ms(request, Some(progress)));
        let age = i64::try_from(age_ms).unwrap_or(i64::MAX);
        let slack = |objective: i64| {
            objective.saturating_sub(age).saturating_sub(rest).saturating_sub(DISPLAY_DELAY_MS)
        };
        let slack_ms = slack(objective);
        let timeliness = if request.schedule.is_some() || request.is_long_running() || slack_ms >= 0
        {
            Timeliness::InTime
        } else if slack(objective.saturating_mul(MAX_LATE_FACTOR)) >= 0 {
            Timeliness::Late
        } else {
            Timeliness::TooLate
        };
        Self { guaranteed, priority: queue.priority, age_ms, timeliness, slack_ms }
    }

    /// Returns the sort key; the smallest comes first.
    #[must_use]
    pub fn key(self) -> (Reverse<bool>, u32, i64, Reverse<u64>) {
        // Late jobs of one priority come before timely jobs of the next: they lose value with
        // time, while timely jobs have slack.
        let grade = match self.timeliness {
            Timeliness::InTime => self.priority.saturating_mul(2),
            Timeliness::Late => self.priority.saturating_mul(2).saturating_add(1),
            Timeliness::TooLate => u32::MAX,
        };
        let slack = if self.timeliness == Timeliness::InTime { self.slack_ms } else { 0 };
        (Reverse(self.guaranteed), grade, slack, Reverse(self.age_ms))
    }
}

/// Returns the time within which a job with the given longest chain of work is to be shown as
/// completed, in milliseconds.
pub(super) fn objective_ms(queue: &Queue, chain_ms: u32) -> i64 {
    let latency = i64::try_from(queue.latency_ms).unwrap_or(i64::MAX);
    let stretched = i64::from(chain_ms).saturating_mul(i64::from(queue.stretch_permille)) / 1_000;
    stretched.saturating_add(latency)
}

/// Returns the length of the longest chain of dependent steps by their estimates, in milliseconds.
/// With `progress`, steps that are done count as 0.
pub(super) fn critical_path_ms(request: &Request, progress: Option<&Progress>) -> u32 {
    let mut ends: Vec<u32> = Vec::with_capacity(request.steps.len());
    for (number, step) in (0_u16..).zip(&request.steps) {
        let begin = step.after.iter().filter_map(|&before| ends.get(usize::from(before))).max();
        let done = progress.is_some_and(|progress| {
            let group = super::job::Group { job: super::job::Id(0), occurrence: 0, step: number };
            progress.is_step_done(request, group)
        });
        let own = if done { 0 } else { step.estimate_ms };
        ends.push(begin.copied().unwrap_or(0).saturating_add(own));
    }
    ends.into_iter().max().unwrap_or(0)
}
