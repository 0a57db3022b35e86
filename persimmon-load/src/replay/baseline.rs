//! Baseline schedulers, FIFO and plain backfill: place jobs in the order of submission on the first
//! workers that fit, without preemption.

use std::collections::BTreeMap;

use persimmondrift::place::{Adjacency, Allocation, Effect, Reason, Shape, Spec};
use persimmondrift::unit::{Attempt, Job, Node, Rack};

#[derive(Debug)]
struct Worker {
    node: Node,
    rack: Rack,
    free: u64,
    cores: u32,
    memory: u64,
    open: bool,
}

#[derive(Debug)]
struct Waiting {
    spec: Spec,
    attempt: Attempt,
}

/// A first-fit queue in the order of submission.
#[derive(Debug)]
pub struct Baseline {
    /// Whether a job that does not fit blocks the jobs behind it.
    strict: bool,
    workers: Vec<Worker>,
    waiting: BTreeMap<Job, Waiting>,
    running: BTreeMap<Job, (Waiting, Vec<Allocation>)>,
}

impl Baseline {
    /// Creates a FIFO queue if `strict`, otherwise a plain backfill queue.
    pub fn new(strict: bool) -> Self {
        Self { strict, workers: Vec::new(), waiting: BTreeMap::new(), running: BTreeMap::new() }
    }

    /// Adds a worker, or updates whether a known one accepts jobs.
    pub fn upsert_worker(&mut self, node: &Node, rack: &Rack, accelerators: u32, open: bool) {
        if let Some(worker) = self.workers.iter_mut().find(|worker| worker.node == *node) {
            worker.open = open;
            return;
        }
        self.workers.push(Worker {
            node: node.clone(),
            rack: rack.clone(),
            free: (1 << accelerators) - 1,
            cores: 32,
            memory: 1 << 17,
            open,
        });
    }

    /// Appends a job to the queue.
    pub fn submit(&mut self, job: Job, spec: Spec) {
        self.waiting.insert(job, Waiting { spec, attempt: Attempt(0) });
    }

    /// Removes a waiting or running job and releases its resources.
    pub fn end(&mut self, job: Job) {
        self.waiting.remove(&job);
        if let Some((waiting, allocations)) = self.running.remove(&job) {
            self.release(&waiting.spec.shape, &allocations);
        }
    }

    /// Releases the resources of a running job and returns it to its place in the queue.
    pub fn requeue(&mut self, job: Job) {
        if let Some((waiting, allocations)) = self.running.remove(&job) {
            self.release(&waiting.spec.shape, &allocations);
            self.waiting.insert(job, waiting);
        }
    }

    /// Starts the waiting jobs that fit.
    pub fn step(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        let jobs: Vec<Job> = self.waiting.keys().copied().collect();
        for job in jobs {
            let shape = self.waiting[&job].spec.shape;
            let Some(allocations) = self.find(&shape) else {
                if self.strict {
                    break;
                }
                continue;
            };
            let Some(mut waiting) = self.waiting.remove(&job) else {
                continue;
            };
            waiting.attempt = Attempt(waiting.attempt.0 + 1);
            self.allocate(&shape, &allocations);
            let (attempt, reason) = (waiting.attempt, Reason::AcrossRacks);
            self.running.insert(job, (waiting, allocations.clone()));
            effects.push(Effect::Start { job, attempt, allocations, reason });
        }
        effects
    }

    fn find(&self, shape: &Shape) -> Option<Vec<Allocation>> {
        let parts = usize::from(shape.parts);
        let mut allocations: Vec<Allocation> = Vec::new();
        let mut rack: Option<&Rack> = None;
        for worker in self.workers.iter().filter(|worker| worker.open) {
            let new_rack = rack != Some(&worker.rack);
            if shape.adjacency == Adjacency::Worker
                || (shape.adjacency == Adjacency::Rack && new_rack)
            {
                allocations.clear();
            }
            rack = Some(&worker.rack);
            let (mut free, mut cores, mut memory) = (worker.free, worker.cores, worker.memory);
            while allocations.len() < parts
                && free.count_ones() >= shape.accelerators.0
                && cores >= shape.cores.0
                && memory >= shape.memory.0
            {
                let mut mask = 0;
                for _ in 0..shape.accelerators.0 {
                    mask |= free & !mask & (free & !mask).wrapping_neg();
                }
                free &= !mask;
                cores -= shape.cores.0;
                memory -= shape.memory.0;
                allocations.push(Allocation { node: worker.node.clone(), mask });
            }
            if allocations.len() == parts {
                return Some(allocations);
            }
        }
        None
    }

    fn allocate(&mut self, shape: &Shape, allocations: &[Allocation]) {
        for allocation in allocations {
            for worker in self.workers.iter_mut().filter(|worker| worker.node == allocation.node) {
                worker.free &= !allocation.mask;
                worker.cores -= shape.cores.0;
                worker.memory -= shape.memory.0;
            }
        }
    }

    fn release(&mut self, shape: &Shape, allocations: &[Allocation]) {
        for allocation in allocations {
            for worker in self.workers.iter_mut().filter(|worker| worker.node == allocation.node) {
                worker.free |= allocation.mask;
                worker.cores += shape.cores.0;
                worker.memory += shape.memory.0;
            }
        }
    }
}
