//! Placing of jobs on the accelerators of one availability zone.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::member::Capacity;
use crate::unit::{
    Accelerators, Attempt, Cores, Job, Kind, Mebibytes, Millis, Node, Rack, Time, Workspace, Zone,
};

/// How close the parts of a job must stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All on one worker.
    Worker,
    /// All in one rack.
    Rack,
    /// All in one availability zone.
    Zone,
}

/// Accelerators that are needed together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of parts, each on one worker.
    pub parts: u16,
    /// Accelerators of each part.
    pub accelerators: Accelerators,
    /// Cores of each part.
    #[serde(default)]
    pub cores: Cores,
    /// Memory of each part.
    #[serde(default)]
    pub memory: Mebibytes,
    /// How close the parts must stand.
    pub adjacency: Adjacency,
}

/// How urgent work is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Starts at once.
    Urgent,
    /// Somebody waits for it.
    Interactive,
    /// Can wait.
    Batch,
}

/// How a running job may be made to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Eviction {
    /// It can save its state and go on later.
    Checkpoint,
    /// It can be stopped and starts again from the beginning.
    Stop,
    /// It must run to its end.
    Never,
}

/// What a job needs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The workspace it runs under.
    pub workspace: Workspace,
    /// The kind it is of.
    pub kind: Kind,
    /// The accelerators it needs.
    pub shape: Shape,
    /// How urgent it is.
    pub class: Class,
    /// How it may be made to leave.
    pub eviction: Eviction,
    /// The run time stated by its owner: a hint.
    pub run_ms: Millis,
    /// Whether it claims a guarantee of its workspace.
    #[serde(default)]
    pub claim: bool,
    /// The availability zone it must run in, if any.
    #[serde(default)]
    pub zone: Option<Zone>,
}

/// Where one part of a job runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// The node of the worker.
    pub node: Node,
    /// The accelerators, one bit each.
    pub mask: u64,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All parts ended well.
    Finished,
    /// The job itself is at fault.
    Failed,
    /// It was cancelled.
    Cancelled,
}

new_key_type! {
    /// Refers to a worker of the planner.
    pub struct WorkerKey;
}

/// A decision of the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Starts an attempt of a job, one seat a part.
    Start {
        /// The job.
        job: Job,
        /// The attempt.
        attempt: Attempt,
        /// Where each part runs.
        seats: Vec<Seat>,
        /// The rack of the first part, and how the place was chosen.
        reason: Reason,
    },
    /// Stops an attempt.
    Stop {
        /// The job.
        job: Job,
        /// The attempt.
        attempt: Attempt,
        /// Why it is stopped.
        cause: Cause,
    },
}

/// Why a place was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// It leaves the fewest accelerators of its rack unused.
    TightestRack(Rack),
    /// The parts did not fit into one rack.
    AcrossRacks,
}

/// Why an attempt is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its owner cancelled it.
    Cancelled,
    /// A guarantee was claimed.
    Claimed,
    /// A worker of it was lost.
    WorkerLost,
}

#[derive(Debug)]
struct Worker {
    node: Node,
    rack: Rack,
    capacity: Capacity,
    free: u64,
    open: bool,
}

#[derive(Debug)]
struct Entry {
    spec: Spec,
    submitted: Time,
    attempt: Attempt,
    seats: Vec<Seat>,
}

/// The planner of one availability zone.
#[derive(Debug, Default)]
pub struct Planner {
    workers: SlotMap<WorkerKey, Worker>,
    by_node: BTreeMap<Node, WorkerKey>,
    jobs: BTreeMap<Job, Entry>,
}

impl Planner {
    /// Adds a worker, or changes whether it takes new work.
    pub fn put_worker(&mut self, node: &Node, rack: &Rack, capacity: Capacity, open: bool) {
        if let Some(&key) = self.by_node.get(node) {
            self.workers[key].open = open;
            return;
        }
        let free = mask_of(capacity.accelerators);
        let worker = Worker { node: node.clone(), rack: rack.clone(), capacity, free, open };
        let key = self.workers.insert(worker);
        self.by_node.insert(node.clone(), key);
    }

    /// Removes a lost worker; attempts with a part on it stop as a whole.
    pub fn remove_worker(&mut self, node: &Node) -> Vec<Effect> {
        let Some(key) = self.by_node.remove(node) else {
            return Vec::new();
        };
        self.workers.remove(key);
        let mut effects = Vec::new();
        for (&job, entry) in &self.jobs {
            if entry.seats.iter().any(|seat| seat.node == *node) {
                let attempt = entry.attempt;
                effects.push(Effect::Stop { job, attempt, cause: Cause::WorkerLost });
            }
        }
        effects
    }

    /// Takes in a job; one that is known already changes nothing.
    pub fn submit(&mut self, now: Time, job: Job, spec: Spec) {
        let entry = Entry { spec, submitted: now, attempt: Attempt(0), seats: Vec::new() };
        self.jobs.entry(job).or_insert(entry);
    }

    /// Takes in that an attempt of a job runs already.
    pub fn adopt(&mut self, job: Job, attempt: Attempt, seats: Vec<Seat>) {
        self.take(&seats);
        if let Some(entry) = self.jobs.get_mut(&job) {
            entry.attempt = attempt;
            entry.seats = seats;
        }
    }

    /// Takes in that an attempt has left its accelerators without an end of the job.
    pub fn released(&mut self, job: Job, attempt: Attempt) {
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        if entry.attempt != attempt {
            return;
        }
        let seats = std::mem::take(&mut entry.seats);
        self.give_back(&seats);
    }

    /// Takes in that a job has ended.
    pub fn ended(&mut self, job: Job) {
        if let Some(entry) = self.jobs.remove(&job) {
            self.give_back(&entry.seats);
        }
    }

    /// Cancels a job; a running attempt is stopped.
    pub fn cancel(&mut self, job: Job) -> Vec<Effect> {
        let Some(entry) = self.jobs.get(&job) else {
            return Vec::new();
        };
        if entry.seats.is_empty() {
            self.jobs.remove(&job);
            return Vec::new();
        }
        vec![Effect::Stop { job, attempt: entry.attempt, cause: Cause::Cancelled }]
    }

    /// Starts what fits, the most urgent and oldest first.
    pub fn step(&mut self, _now: Time) -> Vec<Effect> {
        let mut waiting: Vec<(Class, Time, Job)> = Vec::new();
        for (&job, entry) in &self.jobs {
            if entry.seats.is_empty() {
                waiting.push((entry.spec.class, entry.submitted, job));
            }
        }
        waiting.sort_unstable();
        let mut effects = Vec::new();
        for (_, _, job) in waiting {
            let shape = self.jobs[&job].spec.shape;
            let Some((seats, reason)) = self.find(shape) else {
                continue;
            };
            self.take(&seats);
            if let Some(entry) = self.jobs.get_mut(&job) {
                entry.attempt = Attempt(entry.attempt.0 + 1);
                entry.seats.clone_from(&seats);
                effects.push(Effect::Start { job, attempt: entry.attempt, seats, reason });
            }
        }
        effects
    }

    /// Returns the workers, the free accelerators and the jobs that wait.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let free = self.workers.values().map(|worker| worker.free.count_ones()).sum();
        let waiting = self.jobs.values().filter(|entry| entry.seats.is_empty()).count();
        Summary { workers: self.workers.len(), free: Accelerators(free), waiting }
    }

    fn find(&self, shape: Shape) -> Option<(Vec<Seat>, Reason)> {
        let mut racks: BTreeMap<&Rack, Vec<WorkerKey>> = BTreeMap::new();
        for (key, worker) in &self.workers {
            if worker.open && shape.accelerators <= worker.capacity.accelerators {
                racks.entry(&worker.rack).or_default().push(key);
            }
        }
        let mut best: Option<(u32, Vec<Seat>, Reason)> = None;
        for (rack, keys) in &racks {
            let Some(seats) = self.fit(keys, shape) else {
                continue;
            };
            let free: u32 = keys.iter().map(|&key| self.workers[key].free.count_ones()).sum();
            if best.as_ref().is_none_or(|(least, _, _)| free < *least) {
                best = Some((free, seats, Reason::TightestRack((*rack).clone())));
            }
        }
        if let Some((_, seats, reason)) = best {
            return Some((seats, reason));
        }
        if shape.adjacency != Adjacency::Zone {
            return None;
        }
        let keys: Vec<WorkerKey> = racks.into_values().flatten().collect();
        Some((self.fit(&keys, shape)?, Reason::AcrossRacks))
    }

    fn fit(&self, keys: &[WorkerKey], shape: Shape) -> Option<Vec<Seat>> {
        let mut seats = Vec::new();
        for &key in keys {
            let worker = &self.workers[key];
            let before = seats.len();
            let mut free = worker.free;
            while seats.len() < usize::from(shape.parts)
                && free.count_ones() >= shape.accelerators.0
            {
                let mask = lowest_bits(free, shape.accelerators);
                free &= !mask;
                seats.push(Seat { node: worker.node.clone(), mask });
            }
            if shape.adjacency == Adjacency::Worker && seats.len() < usize::from(shape.parts) {
                seats.truncate(before);
            }
        }
        (seats.len() == usize::from(shape.parts)).then_some(seats)
    }

    fn take(&mut self, seats: &[Seat]) {
        for seat in seats {
            if let Some(&key) = self.by_node.get(&seat.node) {
                self.workers[key].free &= !seat.mask;
            }
        }
    }

    fn give_back(&mut self, seats: &[Seat]) {
        for seat in seats {
            if let Some(&key) = self.by_node.get(&seat.node) {
                self.workers[key].free |= seat.mask;
            }
        }
    }
}

/// What a zone has and what waits in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Workers known.
    pub workers: usize,
    /// Accelerators that no attempt holds.
    pub free: Accelerators,
    /// Jobs that wait.
    pub waiting: usize,
}

fn mask_of(count: Accelerators) -> u64 {
    if count.0 >= u64::BITS { u64::MAX } else { (1 << count.0) - 1 }
}

fn lowest_bits(mut free: u64, count: Accelerators) -> u64 {
    let mut mask = 0;
    for _ in 0..count.0 {
        let bit = free & free.wrapping_neg();
        mask |= bit;
        free &= !bit;
    }
    mask
}
