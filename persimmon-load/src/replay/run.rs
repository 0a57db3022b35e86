//! One replay: a discrete-event simulation of the workers that applies the effects of a scheduler in
//! virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use persimmondrift::health::Verdict;
use persimmondrift::member::Capacity;
use persimmondrift::place::{Allocation, Effect, Eviction, Outcome, Planner, Policy, Shape};
use persimmondrift::unit::{
    Accelerators, Attempt, Connections, Cores, Job, Mebibytes, Node, Rack, Slots, Time, Workspace,
};

use super::baseline::Baseline;
use super::figures::{JobRecord, Totals};
use super::list::{ACCELERATORS_PER_WORKER, Group, List, WORKERS, WORKERS_PER_RACK};

/// Time from the scheduler's decision until all parts run.
const START_SECONDS: f64 = 0.3;
/// Time in which a job that is stopped writes its checkpoint.
const CHECKPOINT_SECONDS: f64 = 2.0;
/// Time in which a job that writes no checkpoint stops.
const STOP_SECONDS: f64 = 1.0;
/// Time in which a resumed job loads its checkpoint.
const RESTORE_SECONDS: f64 = 10.0;
/// Time until the lease of a lost part has lapsed.
const LEASE_LAPSE_SECONDS: f64 = 6.5;
/// Time from the start of a job to its failure.
const FAILURE_DELAY_SECONDS: f64 = 5.0;
/// Failures after which a baseline stops retrying a job.
const MAX_FAILURES: u32 = 5;
/// Largest time between two steps of the scheduler.
const TICK_SECONDS: f64 = 1.0;
/// Virtual time after which a job that has not ended is considered starved and the replay fails.
const MAX_REPLAY_SECONDS: f64 = 200_000.0;

const CAPACITY: Capacity = Capacity {
    slots: Slots(8),
    connections: Connections(64),
    accelerators: Accelerators(ACCELERATORS_PER_WORKER),
    cores: Cores(32),
    memory: Mebibytes(1 << 17),
};

/// Scheduler under test.
#[derive(Debug)]
pub enum Scheduler {
    /// Planner of an availability zone.
    Planner(Box<Planner>),
    /// FIFO first-fit or plain backfill.
    Baseline(Baseline),
}

impl Scheduler {
    /// Creates a planner with the weights of a policy.
    pub fn planner(policy: Policy) -> Self {
        Self::Planner(Box::new(Planner::new(policy)))
    }

    /// Creates FIFO first-fit if `strict`, otherwise plain backfill.
    pub fn baseline(strict: bool) -> Self {
        Self::Baseline(Baseline::new(strict))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Submit(usize),
    Cancel(usize),
    End(Job, Attempt),
    Fail(Job, Attempt),
    Released(Job, Attempt),
    FaultBegins(usize),
    FaultEnds(usize),
    Tick,
}

#[derive(Debug)]
struct Running {
    attempt: Attempt,
    allocations: Vec<Allocation>,
    since: f64,
    stopping: bool,
}

struct Replay<'a> {
    list: &'a List,
    scheduler: Scheduler,
    now: f64,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    running: BTreeMap<Job, Running>,
    waiting: BTreeSet<usize>,
    faulty_nodes: BTreeSet<Node>,
    failures: BTreeMap<Job, u32>,
    at_risk: Vec<(Workspace, Shape)>,
    records: Vec<JobRecord>,
    remaining: Vec<f64>,
    totals: Totals,
}

/// Replays a list through a scheduler and returns the totals.
pub fn replay(list: &List, scheduler: Scheduler) -> Totals {
    let mut replay = Replay {
        list,
        scheduler,
        now: 0.0,
        events: BinaryHeap::new(),
        running: BTreeMap::new(),
        waiting: BTreeSet::new(),
        faulty_nodes: BTreeSet::new(),
        failures: BTreeMap::new(),
        at_risk: Vec::new(),
        records: list.items.iter().map(|item| JobRecord::new(item.group, item.at)).collect(),
        remaining: list.items.iter().map(|item| item.run).collect(),
        totals: Totals::default(),
    };
    for index in 0..WORKERS {
        replay.update_worker(index, true);
    }
    if let Scheduler::Planner(planner) = &mut replay.scheduler {
        planner.set_guarantees(list.entitlements.clone());
    }
    replay.schedule_events();
    replay.run();
    replay.totals.finish(list, replay.records)
}

fn node(index: u32) -> Node {
    Node::try_from(format!("worker-{index:02}")).expect("valid")
}

fn time(seconds: f64) -> Time {
    Time(0) + Duration::from_secs_f64(seconds)
}

fn index(job: Job) -> usize {
    usize::try_from(job.0).expect("index fits")
}

fn job(index: usize) -> Job {
    Job(u64::try_from(index).expect("index fits"))
}

impl Replay<'_> {
    fn schedule_events(&mut self) {
        for (index, item) in self.list.items.iter().enumerate() {
            self.events.push(Reverse((time(item.at), Event::Submit(index))));
            if let Some(at) = item.cancel {
                self.events.push(Reverse((time(at), Event::Cancel(index))));
            }
        }
        for (index, fault) in self.list.faults.iter().enumerate() {
            self.events.push(Reverse((time(fault.from), Event::FaultBegins(index))));
            self.events.push(Reverse((time(fault.to), Event::FaultEnds(index))));
        }
        self.events.push(Reverse((time(TICK_SECONDS), Event::Tick)));
    }

    fn run(&mut self) {
        let mut unfinished = self.list.items.len();
        while unfinished > 0 {
            let Some(Reverse((at, event))) = self.events.pop() else {
                break;
            };
            let event_time = at.since(Time(0)).as_secs_f64();
            self.observe(event_time - self.now);
            self.now = event_time;
            let mut effects = self.handle(event);
            effects.extend(self.step());
            assert!(
                self.now < MAX_REPLAY_SECONDS,
                "a job has not ended after {MAX_REPLAY_SECONDS} s; waiting: {}",
                self.describe_waiting()
            );
            self.apply(effects);
            unfinished = self.records.iter().filter(|record| record.end.is_none()).count();
        }
    }

    /// Describes the waiting jobs and why each one waits.
    fn describe_waiting(&self) -> String {
        let mut lines = Vec::new();
        for &index in &self.waiting {
            let item = &self.list.items[index];
            let reason = match &self.scheduler {
                Scheduler::Planner(planner) => {
                    planner.explain(time(self.now), job(index)).map(|wait| wait.to_string())
                }
                Scheduler::Baseline(_) => None,
            };
            lines.push(format!("{index} {reason:?} {:?}", item.spec));
        }
        lines.join("\n")
    }

    fn schedule_after(&mut self, seconds: f64, event: Event) {
        self.events.push(Reverse((time(self.now + seconds), event)));
    }

    fn update_worker(&mut self, index: u32, open: bool) {
        let rack = Rack::try_from(format!("rack-{}", index / WORKERS_PER_RACK)).expect("valid");
        match &mut self.scheduler {
            Scheduler::Planner(planner) => {
                planner.put_worker(&node(index), &rack, CAPACITY, open);
            }
            Scheduler::Baseline(baseline) => {
                baseline.upsert_worker(&node(index), &rack, ACCELERATORS_PER_WORKER, open);
            }
        }
    }

    fn step(&mut self) -> Vec<Effect> {
        match &mut self.scheduler {
            Scheduler::Planner(planner) => planner.step(time(self.now)),
            Scheduler::Baseline(baseline) => baseline.step(),
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Effect> {
        match event {
            Event::Submit(index) => {
                let spec = self.list.items[index].spec.clone();
                self.waiting.insert(index);
                match &mut self.scheduler {
                    Scheduler::Planner(planner) => {
                        planner.submit(time(self.now), job(index), spec);
                    }
                    Scheduler::Baseline(baseline) => baseline.submit(job(index), spec),
                }
                Vec::new()
            }
            Event::Cancel(index) => self.cancel(index),
            Event::End(job, attempt) if self.is_running(job, attempt) => self.end(job),
            Event::Fail(job, attempt) if self.is_running(job, attempt) => self.fail(job, attempt),
            Event::Released(job, attempt) => {
                self.release(job, attempt);
                Vec::new()
            }
            Event::FaultBegins(index) => self.begin_fault(index),
            Event::FaultEnds(index) => {
                let fault = self.list.faults[index];
                self.faulty_nodes.remove(&node(fault.worker));
                self.update_worker(fault.worker, true);
                Vec::new()
            }
            Event::Tick => {
                self.schedule_after(TICK_SECONDS, Event::Tick);
                Vec::new()
            }
            Event::End(..) | Event::Fail(..) => Vec::new(),
        }
    }

    fn is_running(&self, job: Job, attempt: Attempt) -> bool {
        self.running.get(&job).is_some_and(|r| r.attempt == attempt && !r.stopping)
    }

    fn cancel(&mut self, index: usize) -> Vec<Effect> {
        if self.records[index].end.is_some() {
            return Vec::new();
        }
        self.close_record(index, false);
        match &mut self.scheduler {
            Scheduler::Planner(planner) => planner.cancel(job(index)),
            Scheduler::Baseline(baseline) => {
                baseline.end(job(index));
                self.running.remove(&job(index));
                Vec::new()
            }
        }
    }

    /// Records the end of a job.
    fn close_record(&mut self, index: usize, finished: bool) {
        self.waiting.remove(&index);
        self.records[index].end = Some(self.now);
        self.records[index].finished = finished;
    }

    fn end(&mut self, job: Job) -> Vec<Effect> {
        self.running.remove(&job);
        self.close_record(index(job), true);
        match &mut self.scheduler {
            Scheduler::Planner(planner) => planner.ended(time(self.now), job, Outcome::Finished),
            Scheduler::Baseline(baseline) => {
                baseline.end(job);
                Vec::new()
            }
        }
    }

    fn fail(&mut self, job: Job, attempt: Attempt) -> Vec<Effect> {
        let Some(running) = self.running.remove(&job) else {
            return Vec::new();
        };
        let at = running
            .allocations
            .iter()
            .find(|allocation| self.faulty_nodes.contains(&allocation.node));
        let at = at.unwrap_or(&running.allocations[0]).node.clone();
        let (gave_up, effects) = match &mut self.scheduler {
            Scheduler::Planner(planner) => {
                let (verdict, effects) = planner.failed(time(self.now), job, attempt, &at);
                (verdict == Verdict::AtFault, effects)
            }
            Scheduler::Baseline(baseline) => {
                let failures = self.failures.entry(job).or_default();
                *failures += 1;
                if *failures >= MAX_FAILURES {
                    baseline.end(job);
                } else {
                    baseline.requeue(job);
                }
                (*failures >= MAX_FAILURES, Vec::new())
            }
        };
        if gave_up {
            let item = &self.list.items[index(job)];
            if item.cancel.is_none() {
                self.totals.count_at_fault(item.faulty);
            }
            self.close_record(index(job), false);
        } else {
            self.waiting.insert(index(job));
        }
        effects
    }

    fn release(&mut self, job: Job, attempt: Attempt) {
        if self.running.get(&job).is_none_or(|running| running.attempt != attempt) {
            return;
        }
        self.running.remove(&job);
        if self.records[index(job)].end.is_none() {
            self.waiting.insert(index(job));
        }
        match &mut self.scheduler {
            Scheduler::Planner(planner) => planner.released(time(self.now), job, attempt),
            Scheduler::Baseline(baseline) => baseline.requeue(job),
        }
    }

    fn begin_fault(&mut self, index: usize) -> Vec<Effect> {
        let fault = self.list.faults[index];
        let node = node(fault.worker);
        if !fault.lost {
            self.faulty_nodes.insert(node);
            // A baseline learns at once that the worker is faulty; the planner has to detect it.
            if matches!(self.scheduler, Scheduler::Baseline(_)) {
                self.update_worker(fault.worker, false);
            }
            return Vec::new();
        }
        if let Scheduler::Planner(planner) = &mut self.scheduler {
            return planner.remove_worker(time(self.now), &node);
        }
        self.update_worker(fault.worker, false);
        let on = |running: &Running| {
            running.allocations.iter().any(|allocation| allocation.node == node)
        };
        let mut lost = Vec::new();
        for (&job, running) in self.running.iter_mut().filter(|(_, running)| on(running)) {
            running.stopping = true;
            lost.push((job, running.attempt));
        }
        for (job, attempt) in lost {
            self.schedule_after(LEASE_LAPSE_SECONDS, Event::Released(job, attempt));
        }
        Vec::new()
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start { job, attempt, allocations, .. } => {
                    self.start(job, attempt, allocations);
                }
                Effect::Stop { job, attempt, cause } => {
                    let lost = cause == persimmondrift::place::Cause::WorkerLost;
                    self.stop(job, attempt, lost);
                }
                Effect::AtRisk { workspace, shape } => self.at_risk.push((workspace, shape)),
                Effect::Restored { workspace, shape } => {
                    self.at_risk.retain(|risk| *risk != (workspace.clone(), shape));
                }
                Effect::Quarantined { .. } | Effect::TakenBack { .. } => {}
            }
        }
        self.mark_at_risk();
    }

    /// Marks the waiting claims whose guarantee does not fit on the workers that are left.
    fn mark_at_risk(&mut self) {
        for &index in &self.waiting {
            let spec = &self.list.items[index].spec;
            let risk = |(workspace, shape): &(Workspace, Shape)| {
                *workspace == spec.workspace && *shape == spec.shape
            };
            self.records[index].at_risk |= spec.claim && self.at_risk.iter().any(risk);
        }
    }

    fn start(&mut self, job: Job, attempt: Attempt, allocations: Vec<Allocation>) {
        let index = index(job);
        self.waiting.remove(&index);
        let item = &self.list.items[index];
        self.records[index].start.get_or_insert(self.now + START_SECONDS);
        let resumed = self.remaining[index] < item.run;
        let on_faulty_node =
            allocations.iter().any(|allocation| self.faulty_nodes.contains(&allocation.node));
        let restore = if resumed { RESTORE_SECONDS } else { 0.0 };
        if on_faulty_node || item.faulty {
            self.schedule_after(START_SECONDS + FAILURE_DELAY_SECONDS, Event::Fail(job, attempt));
        } else {
            self.schedule_after(
                START_SECONDS + restore + self.remaining[index],
                Event::End(job, attempt),
            );
        }
        let since = self.now + START_SECONDS + restore;
        self.running.insert(job, Running { attempt, allocations, since, stopping: false });
    }

    fn stop(&mut self, job: Job, attempt: Attempt, lost: bool) {
        let Some(running) = self.running.get_mut(&job) else {
            return;
        };
        running.stopping = true;
        self.totals.evictions += u32::from(!lost);
        let checkpoint = self.list.items[index(job)].spec.eviction == Eviction::Checkpoint;
        let delay = match (lost, checkpoint) {
            (true, _) => LEASE_LAPSE_SECONDS,
            (false, true) => CHECKPOINT_SECONDS,
            (false, false) => STOP_SECONDS,
        };
        if checkpoint && !lost {
            let ran = (self.now - running.since).max(0.0);
            let remaining = &mut self.remaining[index(job)];
            *remaining = (*remaining - ran).max(0.0);
        }
        self.schedule_after(delay, Event::Released(job, attempt));
    }

    /// Adds the time until the next event to the fragmentation integrals.
    fn observe(&mut self, seconds: f64) {
        let largest: Option<Shape> = self
            .waiting
            .iter()
            .map(|&index| &self.list.items[index])
            .filter(|item| item.group != Group::Claim)
            .map(|item| item.spec.shape)
            .max_by_key(Shape::total);
        let mut free = [(1_u64 << ACCELERATORS_PER_WORKER) - 1; WORKERS as usize];
        for allocation in self.running.values().flat_map(|running| &running.allocations) {
            let number = allocation.node.as_str().trim_start_matches("worker-");
            free[number.parse::<usize>().expect("node name ends in a worker index")] &=
                !allocation.mask;
        }
        self.totals.observe(seconds, &free, largest.as_ref());
    }
}
