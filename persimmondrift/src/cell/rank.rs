//! The order in which waiting groups get room.
//!
//! Answers bursts of twice the load on workers that are already two thirds full. What is
//! guaranteed comes first. Then, what can still meet its objective comes before what cannot, by
//! priority, and among equals what has the least time to spare; what is late beyond use is last.

use std::cmp::Reverse;

use super::access::Queue;
use super::job::Request;
use super::record::Progress;

/// Time that passes between the last end and its display, in milliseconds: two ways across
/// regions, and two transactions.
const DISPLAY_DELAY_MS: i64 = 250;
/// How often the objective a job is worth something, if late.
const MAX_LATE_FACTOR: i64 = 3;

/// What a job has left of its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timeliness {
    /// It meets the objective if it starts within its slack.
    InTime,
    /// It misses the objective, and is still worth something.
    Late,
    /// It comes too late to be of use.
    TooLate,
}

/// What decides where a group stands in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rank {
    /// Whether the workspace's guarantee covers it.
    pub guaranteed: bool,
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// When the job was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// What the job has left of its objective.
    pub timeliness: Timeliness,
    /// How much later than now it may start and meet its objective, in milliseconds.
    pub slack_ms: i64,
}

impl Rank {
    /// Creates the claim of a job.
    #[must_use]
    pub fn new(
        queue: &Queue,
        request: &Request,
        progress: &Progress,
        accepted_ms: u64,
        wall_ms: u64,
        guaranteed: bool,
    ) -> Self {
        let whole = i64::from(critical_path_ms(request, None));
        let rest = i64::from(critical_path_ms(request, Some(progress)));
        let latency = i64::try_from(queue.latency_ms).unwrap_or(i64::MAX / 8);
        let objective = whole * i64::from(queue.stretch_permille) / 1_000 + latency;
        let age = i64::try_from(wall_ms.saturating_sub(accepted_ms)).unwrap_or(i64::MAX / 8);
        let slack_ms = objective - age - rest - DISPLAY_DELAY_MS;
        let timeliness = if request.schedule.is_some() || request.is_long_running() || slack_ms >= 0
        {
            Timeliness::InTime
        } else if MAX_LATE_FACTOR * objective - age - rest - DISPLAY_DELAY_MS >= 0 {
            Timeliness::Late
        } else {
            Timeliness::TooLate
        };
        Self { guaranteed, priority: queue.priority, accepted_ms, timeliness, slack_ms }
    }

    /// Returns the sort key of the claim: the least comes first.
    #[must_use]
    pub fn key(self) -> (Reverse<bool>, u32, i64, u64) {
        // What is late of one priority comes before what is timely of the next: it is worth less
        // and less, and what is timely has slack.
        let grade = match self.timeliness {
            Timeliness::InTime => 2 * self.priority,
            Timeliness::Late => 2 * self.priority + 1,
            Timeliness::TooLate => u32::MAX,
        };
        let slack = if self.timeliness == Timeliness::InTime { self.slack_ms } else { 0 };
        (Reverse(self.guaranteed), grade, slack, self.accepted_ms)
    }
}

/// Returns the length of the longest chain of steps by their estimates, in milliseconds; of those
/// that are not done if the progress is given.
fn critical_path_ms(request: &Request, progress: Option<&Progress>) -> u32 {
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
