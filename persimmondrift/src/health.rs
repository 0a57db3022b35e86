//! Attribution of failures: decides whether the job or the worker is at fault.
//!
//! A failure is evidence against both. It counts against the job if its worker runs other jobs
//! well, and against the worker if the job does not fail elsewhere. Once one of them is found at
//! fault, its failures no longer count against the other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::unit::{Job, Node, Time};

/// Jobs that must fail in a row at a worker, or failures there of one job that failed nowhere
/// else, before the worker is quarantined.
const QUARANTINE_FAILURES: usize = 3;
/// Points at which a job is found at fault, summed over the workers at which it failed.
///
/// A quarantined worker gives none, nor does an unproven one at which other jobs fail too.
const FAULT_POINTS: u32 = 6;
/// Points for a failure at a worker where another job has finished.
const PROVEN_WORKER_POINTS: u32 = 2;
/// Points for a failure at a worker where no other job has finished or failed.
const UNPROVEN_WORKER_POINTS: u32 = 1;
/// Failures after which a job is found at fault in any case.
const MAX_JOB_FAILURES: u32 = 12;
/// At most one in this many workers is quarantined at one time, but always one may be: a fault
/// common to all workers is no evidence against each.
const WORKERS_PER_QUARANTINE: usize = 5;
/// Length of the first quarantine; each further one without a finished job is twice as long.
const FIRST_QUARANTINE: Duration = Duration::from_mins(1);
/// Upper bound on the length of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_hours(1);

/// Consequence of a failure for the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The job is tried again, on another worker if it fits there.
    Retry,
    /// The job is at fault and ends as failed.
    AtFault,
}

/// A change of a worker's health.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It gets no work until the quarantine ends.
    Quarantined(Node),
    /// Its quarantine has ended; it gets one job at a time as a probe.
    Probed(Node),
    /// It finished a job and gets work as before.
    TakenBack(Node),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Healthy,
    Quarantined(Time),
    Probed,
}

#[derive(Debug)]
struct Record {
    state: State,
    /// Jobs that failed here since the last one finished.
    failed: BTreeSet<Job>,
    /// Whether a job has finished here since the last quarantine.
    proven: bool,
    /// Quarantines since the worker was last taken back.
    quarantines: u32,
}

/// Failures of a job by worker. A quarantine removes those at its worker.
#[derive(Debug, Default)]
struct FailureHistory {
    by_worker: BTreeMap<Node, u32>,
}

/// Failure records of the workers and jobs of a zone.
#[derive(Debug, Default)]
pub struct Health {
    workers: BTreeMap<Node, Record>,
    jobs: BTreeMap<Job, FailureHistory>,
    quarantined: usize,
}

impl Health {
    /// Records that a job failed at a worker, one of `total` in the zone.
    pub fn failed(
        &mut self,
        now: Time,
        job: Job,
        node: &Node,
        total: usize,
    ) -> (Verdict, Option<Change>) {
        let history = self.jobs.entry(job).or_default();
        *history.by_worker.entry(node.clone()).or_default() += 1;
        let record = self.workers.entry(node.clone()).or_insert_with(Record::new);
        record.failed.insert(job);
        let change = self.judge_worker(now, node, total);
        let verdict = self.judge_job(job, total);
        if verdict == Verdict::AtFault {
            self.clear_worker_failures(job);
        }
        (verdict, change)
    }

    /// Records that a job finished at a worker.
    pub fn finished(&mut self, node: &Node) -> Option<Change> {
        let record = self.workers.entry(node.clone()).or_insert_with(Record::new);
        record.proven = true;
        record.failed.clear();
        if record.state == State::Healthy {
            return None;
        }
        record.state = State::Healthy;
        record.quarantines = 0;
        self.quarantined -= 1;
        Some(Change::TakenBack(node.clone()))
    }

    /// Forgets a job that has ended.
    pub fn forget_job(&mut self, job: Job) {
        self.jobs.remove(&job);
    }

    /// Forgets a worker that was lost.
    pub fn forget_worker(&mut self, node: &Node) {
        if let Some(record) = self.workers.remove(node)
            && record.state != State::Healthy
        {
            self.quarantined -= 1;
        }
    }

    /// Returns whether a job has failed.
    #[must_use]
    pub fn has_failed(&self, job: Job) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Ends the quarantines that are over, and returns their workers as to be probed.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
        if self.quarantined == 0 {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for (node, record) in &mut self.workers {
            if matches!(record.state, State::Quarantined(until) if until <= now) {
                record.state = State::Probed;
                changes.push(Change::Probed(node.clone()));
            }
        }
        changes
    }

    fn judge_worker(&mut self, now: Time, node: &Node, total: usize) -> Option<Change> {
        let record = self.workers.get(node)?;
        let evidence = match record.state {
            State::Quarantined(_) => return None,
            State::Probed => QUARANTINE_FAILURES,
            State::Healthy => self.evidence_against(node, record),
        };
        let probed = record.state == State::Probed;
        let room = self.quarantined < (total / WORKERS_PER_QUARANTINE).max(1);
        if evidence < QUARANTINE_FAILURES || !(probed || room) {
            return None;
        }
        let record = self.workers.get_mut(node)?;
        let length = FIRST_QUARANTINE * (1 << record.quarantines.min(6));
        record.state = State::Quarantined(now + length.min(MAX_QUARANTINE));
        record.quarantines += 1;
        record.proven = false;
        if !probed {
            self.quarantined += 1;
        }
        for job in std::mem::take(&mut record.failed) {
            if let Some(history) = self.jobs.get_mut(&job) {
                history.by_worker.remove(node);
            }
        }
        Some(Change::Quarantined(node.clone()))
    }

    /// Returns the evidence against a worker: the number of jobs that fail only here, or the most
    /// failures of one such job if that is more. Repeated failures of one job count because it can
    /// be tried elsewhere once the worker is quarantined.
    fn evidence_against(&self, node: &Node, record: &Record) -> usize {
        let mut jobs = 0;
        let mut repeats = 0;
        for &job in &record.failed {
            let Some(history) = self.jobs.get(&job) else {
                jobs += 1;
                continue;
            };
            let elsewhere = history
                .by_worker
                .keys()
                .any(|other| other != node && self.counts_against_job(job, other));
            if !elsewhere {
                jobs += 1;
                repeats = repeats.max(history.by_worker.get(node).copied().unwrap_or(0));
            }
        }
        jobs.max(usize::try_from(repeats).unwrap_or(usize::MAX))
    }

    fn judge_job(&self, job: Job, total: usize) -> Verdict {
        let Some(history) = self.jobs.get(&job) else {
            return Verdict::Retry;
        };
        let points: u32 = history.by_worker.keys().map(|node| self.points(job, node)).sum();
        let failures: u32 = history.by_worker.values().sum();
        let everywhere = history.by_worker.len() >= total;
        if points >= FAULT_POINTS || everywhere || failures >= MAX_JOB_FAILURES {
            return Verdict::AtFault;
        }
        Verdict::Retry
    }

    /// Returns whether the failure of a job at a worker counts against the job.
    fn counts_against_job(&self, job: Job, node: &Node) -> bool {
        self.points(job, node) > 0
    }

    fn points(&self, job: Job, node: &Node) -> u32 {
        let Some(record) = self.workers.get(node) else {
            return 0;
        };
        if record.state != State::Healthy {
            return 0;
        }
        if record.proven {
            return PROVEN_WORKER_POINTS;
        }
        if record.failed.iter().any(|&other| other != job) { 0 } else { UNPROVEN_WORKER_POINTS }
    }

    fn clear_worker_failures(&mut self, job: Job) {
        for record in self.workers.values_mut() {
            record.failed.remove(&job);
        }
    }
}

impl Record {
    fn new() -> Self {
        Self { state: State::Healthy, failed: BTreeSet::new(), proven: false, quarantines: 0 }
    }
}
