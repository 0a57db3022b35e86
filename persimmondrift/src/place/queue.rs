//! The order in which waiting jobs are tried: by class, fair share, wait, run time and size.

use std::cmp::Ordering;

use super::planner::{Entry, Planner};
use super::{Class, Shape};
use crate::unit::{Accelerators, Job, Time, Workspace};

/// Wait that doubles the rank of a job.
const AGING_SECONDS: f64 = 3_600.0;

/// Fair share of a workspace, beside its guarantees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Weight relative to the other workspaces; 0 counts as 1.
    pub weight: u32,
    /// Most accelerators that it may hold; claims on guarantees start regardless.
    pub limit: Option<Accelerators>,
}

/// The waiting jobs that one step tries, each list in order.
#[derive(Debug, Default)]
pub(super) struct Queue {
    /// Jobs that claim an unclaimed guarantee, the earliest submission first.
    pub claims: Vec<Job>,
    /// Urgent jobs, the earliest submission first.
    pub urgent: Vec<Job>,
    /// All other jobs, the highest rank first.
    pub others: Vec<Job>,
    /// Earliest time at which a job that is left out (in backoff, or after a lost attempt) may start.
    pub wake: Option<Time>,
}

impl Planner {
    /// Returns the waiting jobs that may start now, sorted.
    pub(super) fn queue(&self, now: Time) -> Queue {
        let mut queue = Queue::default();
        let mut ranked: Vec<(f64, Job)> = Vec::new();
        let unit = self.share_unit();
        for &job in &self.waiting {
            let Some(entry) = self.jobs.get(&job) else {
                continue;
            };
            if entry.not_before > now {
                let wake = queue.wake.map_or(entry.not_before, |wake| wake.min(entry.not_before));
                queue.wake = Some(wake);
            } else if self.has_claim(entry) {
                queue.claims.push(job);
            } else if entry.spec.class == Class::Urgent {
                queue.urgent.push(job);
            } else {
                ranked.push((self.rank(now, entry, unit), job));
            }
        }
        ranked.sort_by(|one, other| other.0.total_cmp(&one.0).then(one.1.cmp(&other.1)));
        queue.others = ranked.into_iter().map(|(_, job)| job).collect();
        self.sort_by_submission(&mut queue.claims);
        self.sort_by_submission(&mut queue.urgent);
        queue
    }

    /// Returns whether a job claims a guarantee, and its workspace has an unclaimed one for it.
    fn has_claim(&self, entry: &Entry) -> bool {
        let spec = &entry.spec;
        spec.claim && self.placements.covering(&spec.workspace, &spec.shape).is_some()
    }

    /// Returns whether a workspace may hold a further shape without exceeding its limit.
    pub(super) fn within_limit(&self, workspace: &Workspace, shape: &Shape) -> bool {
        let limit = self.shares.get(workspace).and_then(|share| share.limit);
        limit.is_none_or(|limit| self.used_by(workspace) + shape.total().0 <= limit.0)
    }

    /// Returns the accelerators that a workspace holds.
    pub(super) fn used_by(&self, workspace: &Workspace) -> u32 {
        self.used.get(workspace).copied().unwrap_or(0)
    }

    /// Returns whether a workspace holds less than its share.
    pub(super) fn below_share(&self, workspace: &Workspace) -> bool {
        f64::from(self.used_by(workspace)) < self.share_unit() * self.weight(workspace)
    }

    fn sort_by_submission(&self, jobs: &mut [Job]) {
        jobs.sort_by(|one, other| match (self.jobs.get(one), self.jobs.get(other)) {
            (Some(a), Some(b)) => a.submitted.cmp(&b.submitted).then(one.cmp(other)),
            _ => Ordering::Equal,
        });
    }

    /// Returns the accelerators that correspond to a weight of 1.
    fn share_unit(&self) -> f64 {
        let mut sum = 0.0;
        for share in self.shares.values() {
            sum += f64::from(share.weight.max(1));
        }
        f64::from(self.total_accelerators()) / f64::max(sum, 1.0)
    }

    fn weight(&self, workspace: &Workspace) -> f64 {
        f64::from(self.shares.get(workspace).map_or(1, |share| share.weight.max(1)))
    }

    /// Returns the rank of a job; the highest is tried first.
    fn rank(&self, now: Time, entry: &Entry, unit: f64) -> f64 {
        let policy = &self.policy;
        let class = match entry.spec.class {
            Class::Urgent | Class::Interactive => policy.interactive_weight,
            Class::Batch => 1.0,
        };
        let share = unit * self.weight(&entry.spec.workspace);
        let used = f64::from(self.used_by(&entry.spec.workspace)) / f64::max(share, 1.0);
        let fairness = 1.0 / (1.0 + policy.share_weight * used);
        let aging = 1.0 + entry.wait(now).as_secs_f64() / AGING_SECONDS;
        let run = entry.remaining(now).as_secs_f64().powf(policy.run_exponent);
        let size = entry.total().powf(policy.size_exponent);
        class * fairness * aging / (run * size)
    }
}
