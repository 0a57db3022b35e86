//! Which is at fault when an attempt fails: the job or the worker.
//!
//! A failure speaks against both. It counts against a job as far as its worker is known to
//! do well with others, and against a worker as far as the job does not fail elsewhere too.
//! When one of them is found at fault, what it did no longer speaks against the other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::unit::{Job, Node, Time};

/// Jobs that must fail in a row at a worker, or failures of one job that failed nowhere else,
/// before the worker is quarantined.
const QUARANTINE_FAILURES: usize = 3;
/// Points at which a job is at fault.
const FAULT_POINTS: u32 = 6;
/// Points of a failure at a worker where another job finished.
const PROVEN_WORKER_POINTS: u32 = 2;
/// Points of a failure at a worker that nothing is known of.
const UNPROVEN_WORKER_POINTS: u32 = 1;
/// Failures after which a job is at fault in any case.
const MAX_JOB_FAILURES: u32 = 12;
/// Largest share of the workers in quarantine at one time: one in this many.
const WORKERS_PER_QUARANTINE: usize = 5;
/// Length of the first quarantine; each further one is twice as long.
const FIRST_QUARANTINE: Duration = Duration::from_mins(1);
/// Greatest length of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_hours(1);

/// What becomes of a job after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is tried again on another worker.
    Retry,
    /// It is at fault itself and ends.
    AtFault,
}

/// What changed for a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It gets no work.
    Quarantined(Node),
    /// It gets one job at a time, as a probe.
    Probed(Node),
    /// It gets work as before.
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
    proven: bool,
    quarantines: u32,
}

/// The failures of a job by worker, those at quarantined workers left out.
#[derive(Debug, Default)]
struct FailureHistory {
    by_worker: BTreeMap<Node, u32>,
}

/// The evidence of a zone.
#[derive(Debug, Default)]
pub struct Health {
    workers: BTreeMap<Node, Record>,
    jobs: BTreeMap<Job, FailureHistory>,
    quarantined: usize,
}

impl Health {
    /// Takes in that a job failed at a worker, one of `total`.
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

    /// Takes in that a job finished at a worker.
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

    /// Forgets a worker that is gone.
    pub fn forget_worker(&mut self, node: &Node) {
        if let Some(record) = self.workers.remove(node)
            && record.state != State::Healthy
        {
            self.quarantined -= 1;
        }
    }

    /// Returns whether a job has failed before.
    #[must_use]
    pub fn has_failed(&self, job: Job) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Lets quarantines end: their workers are probed.
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

    /// Returns how much speaks against a worker: the jobs that fail nowhere else, and a job
    /// that fails here again and again, since it can be tested elsewhere.
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

    /// Returns whether a job's failure at a worker speaks against the job.
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
