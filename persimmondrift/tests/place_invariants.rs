//! Random sequences of events and planner steps: no accelerator is allocated twice, and all
//! guarantees keep a place or are reported at risk.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use persimmondrift::member::Capacity;
use persimmondrift::place::{
    Adjacency, Allocation, Class, Effect, Entitlement, Eviction, Outcome, Planner, Policy, Shape,
    Share, Spec,
};
use persimmondrift::unit::{
    Accelerators, Attempt, Connections, Cores, Job, Mebibytes, Millis, Node, Rack, Slots, Time,
    Workspace,
};

const WORKERS: u32 = 9;
const LEASE_LAPSE: Duration = Duration::from_millis(6_500);
const CAPACITY: Capacity = Capacity {
    slots: Slots(8),
    connections: Connections(64),
    accelerators: Accelerators(8),
    cores: Cores(32),
    memory: Mebibytes(1 << 17),
};

#[derive(Debug)]
struct Running {
    attempt: Attempt,
    allocations: Vec<Allocation>,
    leaving: bool,
}

/// The planner, and the state that follows from its effects alone.
struct World {
    planner: Planner,
    now: Time,
    specs: BTreeMap<Job, Spec>,
    running: BTreeMap<Job, Running>,
    up: BTreeMap<Node, bool>,
    lapsing: Vec<(Node, u64, Time)>,
    at_risk: usize,
}

fn node(index: u32) -> Node {
    Node::try_from(format!("worker-{index}")).expect("valid")
}

fn workspace(index: u32) -> Workspace {
    Workspace::try_from(format!("team-{index}")).expect("valid")
}

fn shape(u: &mut Unstructured) -> Result<Shape> {
    Ok(Shape {
        parts: u.int_in_range(1..=3)?,
        accelerators: Accelerators(*u.choose(&[0, 1, 2, 4, 8])?),
        cores: Cores(*u.choose(&[0, 2, 8, 32])?),
        memory: Mebibytes(*u.choose(&[0, 1 << 10, 1 << 16])?),
        adjacency: *u.choose(&[Adjacency::Worker, Adjacency::Rack, Adjacency::Zone])?,
    })
}

fn spec(u: &mut Unstructured) -> Result<Spec> {
    Ok(Spec {
        workspace: workspace(u.int_in_range(0..=2)?),
        kind: "render".parse().expect("valid"),
        shape: shape(u)?,
        class: *u.choose(&[Class::Urgent, Class::Interactive, Class::Batch])?,
        eviction: *u.choose(&[Eviction::Checkpoint, Eviction::Stop, Eviction::Never])?,
        run_ms: Millis(u.int_in_range(1..=600)? * 1_000),
        claim: u.ratio(1, 4)?,
        zone: None,
    })
}

impl World {
    fn put(&mut self, index: u32, open: bool) {
        let rack = Rack::try_from(format!("rack-{}", index / 3)).expect("valid");
        self.planner.put_worker(&node(index), &rack, CAPACITY, open);
        self.up.insert(node(index), open);
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start { job, attempt, allocations, .. } => {
                    self.started(job, attempt, allocations);
                }
                Effect::Stop { job, attempt, .. } => {
                    let running =
                        self.running.get_mut(&job).expect("only running jobs are stopped");
                    assert_eq!(running.attempt, attempt);
                    assert!(!running.leaving, "job {job} is stopped twice");
                    running.leaving = true;
                }
                Effect::AtRisk { .. } => self.at_risk += 1,
                Effect::Restored { .. } => self.at_risk -= 1,
                Effect::Quarantined { .. } | Effect::TakenBack { .. } => {}
            }
        }
    }

    fn started(&mut self, job: Job, attempt: Attempt, allocations: Vec<Allocation>) {
        assert!(self.specs.contains_key(&job), "job {job} has ended");
        assert_eq!(allocations.len(), usize::from(self.specs[&job].shape.parts));
        for allocation in &allocations {
            let lapsed = |(at, mask, until): &(Node, u64, Time)| {
                *at != allocation.node || mask & allocation.mask == 0 || *until <= self.now
            };
            assert!(
                self.lapsing.iter().all(lapsed),
                "a lease of {} has not lapsed",
                allocation.node
            );
            assert!(self.up.contains_key(&allocation.node), "{} is lost", allocation.node);
        }
        let before = self.running.insert(job, Running { attempt, allocations, leaving: false });
        assert!(before.is_none(), "two attempts of job {job}");
    }

    fn lose(&mut self, index: u32) {
        let lost = node(index);
        if self.up.remove(&lost).is_none() {
            return;
        }
        // Parts on the lost worker may run until their lease has lapsed, but no longer.
        for running in self.running.values_mut() {
            for allocation in
                running.allocations.extract_if(.., |allocation| allocation.node == lost)
            {
                self.lapsing.push((allocation.node, allocation.mask, self.now + LEASE_LAPSE));
            }
        }
        let effects = self.planner.remove_worker(self.now, &lost);
        self.apply(effects);
    }

    fn end(&mut self, u: &mut Unstructured) -> Result<()> {
        let jobs: Vec<Job> = self.running.keys().copied().collect();
        if jobs.is_empty() {
            return Ok(());
        }
        let job = *u.choose(&jobs)?;
        let running = self.running.remove(&job).expect("chosen");
        if running.leaving && u.ratio(3, 4)? {
            self.planner.released(self.now, job, running.attempt);
        } else if u.ratio(1, 4)? {
            let failed =
                running.allocations.first().map_or(node(0), |allocation| allocation.node.clone());
            let (_, effects) = self.planner.failed(self.now, job, running.attempt, &failed);
            self.apply(effects);
        } else {
            let effects = self.planner.ended(self.now, job, Outcome::Finished);
            self.apply(effects);
        }
        if !self.planner.knows(job) {
            self.specs.remove(&job);
        }
        Ok(())
    }

    fn random_action(&mut self, u: &mut Unstructured, next: &mut u64) -> Result<()> {
        match u.int_in_range(0..=9)? {
            0..=3 => {
                *next += 1;
                let spec = spec(u)?;
                self.specs.insert(Job(*next), spec.clone());
                self.planner.submit(self.now, Job(*next), spec);
            }
            4..=6 => self.end(u)?,
            7 => {
                let job = Job(u.int_in_range(0..=*next)?);
                let effects = self.planner.cancel(job);
                self.apply(effects);
                if !self.planner.knows(job) {
                    self.specs.remove(&job);
                }
            }
            8 => self.lose(u.int_in_range(0..=WORKERS - 1)?),
            _ => self.put(u.int_in_range(0..=WORKERS - 1)?, u.ratio(4, 5)?),
        }
        self.now = self.now + Duration::from_millis(u.int_in_range(0..=20_000)?);
        let effects = self.planner.step(self.now);
        self.apply(effects);
        Ok(())
    }

    fn check(&self) {
        let mut held: BTreeMap<Node, (u64, u32, u64)> = BTreeMap::new();
        for (job, running) in &self.running {
            let shape = self.specs[job].shape;
            for allocation in &running.allocations {
                let sum = held.entry(allocation.node.clone()).or_default();
                assert_eq!(
                    sum.0 & allocation.mask,
                    0,
                    "an accelerator of {} is placed twice",
                    allocation.node
                );
                assert_eq!(allocation.mask.count_ones(), shape.accelerators.0);
                *sum = (sum.0 | allocation.mask, sum.1 + shape.cores.0, sum.2 + shape.memory.0);
                assert!(sum.1 <= CAPACITY.cores.0, "too many cores of {}", allocation.node);
                assert!(sum.2 <= CAPACITY.memory.0, "too much memory of {}", allocation.node);
            }
        }
        self.check_guarantees();
    }

    fn check_guarantees(&self) {
        let status = self.planner.guarantee_status();
        let missing = status.iter().filter(|status| status.allocations.is_none()).count();
        assert_eq!(
            missing, self.at_risk,
            "guarantees without a place differ from those reported at risk"
        );
        let mut placements: BTreeMap<Node, (u64, u32)> = BTreeMap::new();
        let claims: BTreeSet<Job> = status.iter().filter_map(|status| status.claim).collect();
        for status in &status {
            let shape = status.entitlement.shape;
            let allocations = status.allocations.as_deref().unwrap_or_default();
            assert!(allocations.is_empty() || allocations.len() == usize::from(shape.parts));
            for allocation in allocations {
                let placement = placements.entry(allocation.node.clone()).or_default();
                assert_eq!(placement.0 & allocation.mask, 0, "two guarantees on one accelerator");
                *placement = (placement.0 | allocation.mask, placement.1 + shape.cores.0);
                assert!(
                    status.claim.is_some() || self.up[&allocation.node],
                    "an unclaimed guarantee is placed on a closed worker"
                );
            }
        }
        for (job, running) in &self.running {
            let spec = &self.specs[job];
            if spec.eviction != Eviction::Never || claims.contains(job) || running.leaving {
                continue;
            }
            for allocation in running
                .allocations
                .iter()
                .filter(|allocation| self.up.contains_key(&allocation.node))
            {
                let placement = placements.entry(allocation.node.clone()).or_default();
                assert_eq!(
                    placement.0 & allocation.mask,
                    0,
                    "job {job} cannot be evicted, but runs on a guarantee"
                );
                placement.1 += spec.shape.cores.0;
            }
        }
        for (node, (_, cores)) in &placements {
            assert!(*cores <= CAPACITY.cores.0, "{cores} cores of {node} are pinned or guaranteed");
        }
    }
}

fn guarantees() -> Vec<Entitlement> {
    let shape = |parts, accelerators, adjacency| Shape {
        parts,
        accelerators: Accelerators(accelerators),
        cores: Cores(8),
        memory: Mebibytes(1 << 10),
        adjacency,
    };
    let entitlement = |index, shape| Entitlement { workspace: workspace(index), shape };
    vec![
        entitlement(0, shape(2, 8, Adjacency::Rack)),
        entitlement(1, shape(3, 4, Adjacency::Zone)),
        entitlement(1, shape(1, 8, Adjacency::Worker)),
    ]
}

fn run_sequence(u: &mut Unstructured) -> Result<()> {
    let policy = if u.arbitrary()? { Policy::completion() } else { Policy::fragmentation() };
    let mut world = World {
        planner: Planner::new(policy),
        now: Time::from_secs(1),
        specs: BTreeMap::new(),
        running: BTreeMap::new(),
        up: BTreeMap::new(),
        lapsing: Vec::new(),
        at_risk: 0,
    };
    for index in 0..WORKERS {
        world.put(index, true);
    }
    world.planner.set_guarantees(guarantees());
    for index in 0..3 {
        world.planner.set_share(workspace(index), Share { weight: 1 + index, limit: None });
    }
    let mut next = 0;
    while !u.is_empty() {
        world.random_action(u, &mut next)?;
        world.check();
    }
    Ok(())
}

#[test]
fn accelerators_are_placed_once_and_guarantees_fit() {
    const ENTROPY: u64 = 1 << 12;
    for seed in 1..=40_u64 {
        arbtest(run_sequence).seed(seed << 32 | ENTROPY);
    }
}
