//! Replay of a cell at its peak load in virtual time: jobs drawn from the mix of the users'
//! deployments run through planner and agents, and through a FIFO first-fit baseline.
//!
//! Each job is worth an amount if it completes within its latency objective, less if it is late
//! and nothing if it is very late. A scheduler is scored by the share of the worth it earns.

pub mod long;

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use lexopt::{Arg, ValueExt};
use persimmondrift::cell::access::{Queue, Workspace};
use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::planner::{Cause, Decision};
use persimmondrift::cell::record::State;
use persimmondrift::unit::Time;
use standin::cell::{ACCELERATOR_CORES, Cell, queue};

/// Time over which jobs arrive.
const ARRIVAL_SPAN: Duration = Duration::from_secs(34);
/// Time after the arrival span within which jobs can still complete.
const COMPLETION_GRACE: Duration = Duration::from_secs(45);
const TIME_STEP: Duration = Duration::from_millis(50);
/// Begin and length of the burst of urgent jobs.
const BURST_WINDOW: (Duration, Duration) = (Duration::from_secs(8), Duration::from_secs(6));
/// Arrival rate of urgent jobs during the burst, as a multiple of their usual rate.
const BURST_FACTOR: f64 = 2.0;
/// Share of a mean job's worth that every job has regardless of its size.
const BASE_WORTH_SHARE: f64 = 0.3;
/// Upper bound of a job's worth, as a multiple of the mean of its kind.
const MAX_WORTH_FACTOR: f64 = 4.0;
/// A job that takes longer than this multiple of its objective is worth nothing.
const LATE_FACTOR: u64 = 3;
/// Worth subtracted for each core-second of work that was lost.
const LOST_WORTH_PER_CORE_SECOND: f64 = 0.0015;
/// Bound on the start of all tasks of a job that its workspace's guarantee covers.
const GUARANTEE_BOUND: Duration = Duration::from_millis(3_400);
/// Share of all accelerators that is guaranteed, divided equally among the workspaces.
const GUARANTEED_PERCENT: u32 = 62;

/// Distribution of the jobs of one queue.
#[derive(Debug, Clone, Copy)]
struct Kind {
    queue: &'static str,
    priority: u32,
    /// Jobs per second and worker at load 1.
    rate: f64,
    /// Mean number of tasks of a job.
    width: f64,
    /// Mean run time of a task.
    work_ms: f64,
    millicores: u32,
    mebibytes: u32,
    /// Accelerators per task, drawn with equal probability.
    accelerators: &'static [u32],
    /// Share of the jobs with several tasks that start all of them together.
    gang: f64,
    /// Share of the gangs that need a single rack.
    one_rack: f64,
    /// Share of the jobs that write checkpoints.
    checkpoints: f64,
    /// Largest error of a declared run time, as a share of the actual one.
    estimate_error: f64,
    /// Factor of the run time in the latency objective, in thousandths.
    stretch_permille: u32,
    /// Constant part of the latency objective.
    latency_ms: u64,
    /// Worth of a job of mean size that meets its objective.
    worth: f64,
    /// Worth of the same job if it is late.
    late_worth: f64,
}

/// Size and job mix of a deployment, as described by the users.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Name printed with its figures.
    pub name: &'static str,
    /// Number of workers.
    pub workers: usize,
    /// Workers per rack.
    rack: usize,
    /// Number of workspaces that submit jobs.
    workspaces: u32,
    kinds: [Kind; 3],
}

const ALL_SIZES: &[u32] = &[1, 2, 4, 8, 8];

const RENDER: Kind = Kind {
    queue: "render",
    priority: 1,
    rate: 0.007,
    width: 6.0,
    work_ms: 6_800.0,
    millicores: 13_000,
    mebibytes: 53_000,
    accelerators: ALL_SIZES,
    gang: 1.0,
    one_rack: 0.6,
    checkpoints: 0.45,
    estimate_error: 0.5,
    stretch_permille: 3_000,
    latency_ms: 1_500,
    worth: 3.0,
    late_worth: 0.9,
};

const PREVIEW: Kind = Kind {
    queue: "preview",
    priority: 0,
    rate: 0.021,
    width: 5.0,
    work_ms: 2_500.0,
    millicores: 3_700,
    mebibytes: 11_000,
    accelerators: ALL_SIZES,
    gang: 1.0,
    one_rack: 0.8,
    checkpoints: 0.0,
    estimate_error: 0.2,
    stretch_permille: 1_500,
    latency_ms: 600,
    worth: 4.0,
    late_worth: 0.8,
};

const BOOKING: Kind = Kind {
    queue: "booking",
    priority: 2,
    rate: 0.004,
    width: 30.0,
    work_ms: 8_000.0,
    millicores: 2_800,
    mebibytes: 11_000,
    accelerators: &[1],
    gang: 0.0,
    one_rack: 0.0,
    checkpoints: 0.45,
    estimate_error: 0.5,
    stretch_permille: 3_000,
    latency_ms: 3_000,
    worth: 1.0,
    late_worth: 0.3,
};

/// The users' deployment at its current size and after its planned growth.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "today",
        workers: 11,
        rack: 3,
        workspaces: 4,
        kinds: [
            Kind { rate: 0.019, width: 2.0, work_ms: 11_000.0, ..RENDER },
            Kind { rate: 0.022, width: 3.0, ..PREVIEW },
            Kind { rate: 0.012, width: 9.0, ..BOOKING },
        ],
    },
    Deployment {
        name: "grown",
        workers: 57,
        rack: 4,
        workspaces: 4,
        kinds: [RENDER, PREVIEW, BOOKING],
    },
];

/// A small deployment with many workspaces, whose jobs ask for twice its room at load 1; urgent jobs
/// alone ask for nearly all of it, and for twice that in the burst.
pub const CROWDED: Deployment = Deployment {
    name: "crowded",
    workers: 26,
    rack: 4,
    workspaces: 24,
    kinds: [
        Kind { rate: 0.028, width: 4.6, ..RENDER },
        Kind { rate: 0.18, width: 5.2, ..PREVIEW },
        Kind { rate: 0.02, ..BOOKING },
    ],
};

/// A job of a replayed list.
#[derive(Debug, Clone)]
pub struct Item {
    kind: usize,
    at: Duration,
    request: Request,
    work: Duration,
    /// Work of all tasks in core-seconds, with accelerators converted to cores.
    size: f64,
    /// Worth if the job meets its objective; a late job earns the kind's ratio of late worth to worth.
    worth: f64,
    workspace: String,
}

/// Result of a replay, or the sum of several.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Worth of all jobs if each met its objective.
    pub total_worth: f64,
    /// Worth of the jobs that completed, before lost work is subtracted.
    pub earned: f64,
    /// Worth subtracted for lost work.
    pub lost: f64,
    /// Jobs among the largest tenth of their kind: submitted, and completed before they were worth
    /// nothing.
    pub largest: (u32, u32),
    /// Jobs of any size: submitted, and completed before they were worth nothing.
    pub all: (u32, u32),
    /// Number of jobs that met their objective, by kind.
    pub in_time: [u32; 3],
    /// Number of submitted jobs, by kind.
    pub of_kind: [u32; 3],
    /// Number of tasks that were placed, each run counted.
    pub placed: u32,
    /// Number of runs that were stopped for other jobs.
    pub reclaimed: u32,
    /// Violated guarantees of the scheduler, such as a task that ran twice; empty in a correct run.
    pub faults: Vec<String>,
}

impl Outcome {
    /// Returns the share of the total worth that was earned, after subtracting lost work.
    #[must_use]
    pub fn share(&self) -> f64 {
        (self.earned - self.lost) / self.total_worth.max(f64::MIN_POSITIVE)
    }

    fn add(&mut self, other: &Self) {
        self.total_worth += other.total_worth;
        self.earned += other.earned;
        self.lost += other.lost;
        self.largest = (self.largest.0 + other.largest.0, self.largest.1 + other.largest.1);
        self.all = (self.all.0 + other.all.0, self.all.1 + other.all.1);
        for kind in 0..3 {
            self.in_time[kind] += other.in_time[kind];
            self.of_kind[kind] += other.of_kind[kind];
        }
        self.placed += other.placed;
        self.reclaimed += other.reclaimed;
        self.faults.extend(other.faults.iter().cloned());
    }
}

/// Draws a list of jobs, sorted by arrival.
///
/// `load` multiplies the arrival rates of the deployment.
#[must_use]
pub fn draw(deployment: &Deployment, load: f64, seed: u64) -> Vec<Item> {
    draw_over(deployment, load, seed, ARRIVAL_SPAN)
}

/// Draws a list as [`draw`] does, whose jobs arrive over a span of time.
fn draw_over(deployment: &Deployment, load: f64, seed: u64, span: Duration) -> Vec<Item> {
    let mut rng = Rng::with_seed(seed);
    let mut items = Vec::new();
    for (number, kind) in deployment.kinds.iter().enumerate() {
        let workers = u32::try_from(deployment.workers).unwrap_or(u32::MAX);
        let rate = kind.rate * f64::from(workers) * load;
        let mut at = 0.0;
        loop {
            let begin = BURST_WINDOW.0.as_secs_f64();
            let inside = (begin..begin + BURST_WINDOW.1.as_secs_f64()).contains(&at);
            let factor = if inside && kind.priority == 0 { BURST_FACTOR } else { 1.0 };
            at -= (1.0 - rng.f64()).ln() / (rate * factor);
            if at >= span.as_secs_f64() {
                break;
            }
            items.push(draw_item(number, kind, at, deployment, &mut rng));
        }
    }
    items.sort_by_key(|item| item.at);
    items
}

fn draw_item(number: usize, kind: &Kind, at: f64, of: &Deployment, rng: &mut Rng) -> Item {
    let spread = |rng: &mut Rng, by: f64| 1.0 + by * (2.0 * rng.f64() - 1.0);
    // Exponential: most jobs have few tasks and a few jobs have many.
    let width_factor = -(1.0 - rng.f64()).ln();
    let max_width = f64::from(u32::try_from(of.workers).unwrap_or(u32::MAX) * 4);
    let width = truncate((kind.width * width_factor).clamp(1.0, max_width));
    let accelerators = kind.accelerators[rng.usize(..kind.accelerators.len())];
    // A gang needs at most a fifth of the cell's accelerators; a wider one might never start.
    let fifth = u32::try_from(of.workers).unwrap_or(u32::MAX) * 8 / 5;
    let width = if kind.gang > 0.0 { width.min((fifth / accelerators).max(1)) } else { width };
    let gang = rng.f64() < kind.gang && width > 1;
    let need = Resources { millicores: kind.millicores, mebibytes: kind.mebibytes, accelerators };
    let work_ms = kind.work_ms * spread(rng, 0.4);
    let step = Step {
        width: u16::try_from(width).unwrap_or(u16::MAX),
        need,
        estimate_ms: truncate(work_ms * spread(rng, kind.estimate_error)),
        checkpoints: rng.f64() < kind.checkpoints,
        gang,
        one_rack: gang && rng.f64() < kind.one_rack,
        ..Step::default()
    };
    let cores = |accelerators: f64| {
        f64::from(kind.millicores) / 1_000.0
            + accelerators * f64::from(u32::try_from(ACCELERATOR_CORES).unwrap_or(0))
    };
    let size = f64::from(width) * cores(f64::from(accelerators)) * work_ms / 1_000.0;
    let counts = u32::try_from(kind.accelerators.len()).unwrap_or(1);
    let mean_accelerators = f64::from(kind.accelerators.iter().sum::<u32>()) / f64::from(counts);
    let mean = kind.width * cores(mean_accelerators) * kind.work_ms / 1_000.0;
    let relative =
        (BASE_WORTH_SHARE + (1.0 - BASE_WORTH_SHARE) * size / mean).min(MAX_WORTH_FACTOR);
    Item {
        kind: number,
        at: Duration::from_secs_f64(at),
        request: Request { spec: "work".to_owned(), steps: vec![step], schedule: None },
        work: Duration::from_secs_f64(work_ms / 1_000.0),
        size,
        worth: kind.worth * relative,
        workspace: format!("w{}", rng.u32(..of.workspaces)),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range of u32"
)]
fn truncate(number: f64) -> u32 {
    number.clamp(1.0, f64::from(u32::MAX)) as u32
}

/// Replays a list through planner and agents.
#[must_use]
pub fn run_planner(deployment: &Deployment, items: &[Item]) -> Outcome {
    let mut replay = Replay::start(deployment, items);
    while replay.elapsed() < ARRIVAL_SPAN + COMPLETION_GRACE && replay.ends.len() < items.len() {
        replay.step();
    }
    replay.into_outcome()
}

/// A list that is being replayed through planner and agents.
struct Replay<'a> {
    deployment: &'a Deployment,
    items: &'a [Item],
    cell: Cell,
    begin: Time,
    /// Accelerators that each workspace is guaranteed.
    guaranteed: u32,
    /// Number of items that were submitted.
    submitted: usize,
    /// Jobs that have ended, and when.
    ends: BTreeMap<Id, (Time, State)>,
    claims: Claims,
}

impl<'a> Replay<'a> {
    fn start(deployment: &'a Deployment, items: &'a [Item]) -> Self {
        let mut cell = Cell::with_racks(deployment.workers, deployment.rack);
        let all = u32::try_from(deployment.workers).unwrap_or(u32::MAX) * 8;
        let guaranteed = all * GUARANTEED_PERCENT / 100 / deployment.workspaces;
        cell.config.queues = deployment.kinds.iter().map(queue_config).collect();
        cell.config.workspaces = (0..deployment.workspaces)
            .map(|number| Workspace { name: format!("w{number}"), keys: Vec::new(), guaranteed })
            .collect();
        cell.run(Duration::from_secs(2));
        let begin = cell.now;
        Self {
            deployment,
            items,
            cell,
            begin,
            guaranteed,
            submitted: 0,
            ends: BTreeMap::new(),
            claims: Claims::default(),
        }
    }

    fn elapsed(&self) -> Duration {
        self.cell.now.since(self.begin)
    }

    /// Submits the jobs that have arrived, and advances the cell by [`TIME_STEP`].
    fn step(&mut self) {
        let (items, deployment) = (self.items, self.deployment);
        while let Some(item) = items.get(self.submitted)
            && self.begin + item.at <= self.cell.now
        {
            let id = job_id(self.submitted);
            self.cell.set_work_time(id, item.work);
            let queue = deployment.kinds[item.kind].queue;
            self.cell.submit(id, queue, &item.workspace, item.request.clone());
            self.submitted += 1;
        }
        self.cell.run(TIME_STEP);
        for (id, state) in self.cell.ended() {
            self.ends.entry(id).or_insert((self.cell.now, state));
        }
        let ends = &self.ends;
        let unfinished = (0..self.submitted).filter(|&index| !ends.contains_key(&job_id(index)));
        self.claims.check(deployment, &self.cell, items, unfinished, self.guaranteed);
    }

    fn into_outcome(self) -> Outcome {
        let (items, ends) = (self.items, self.ends);
        let took = |index: usize| -> Option<Duration> {
            let (at, state) = ends.get(&job_id(index))?;
            (*state == State::Completed).then(|| at.since(self.begin + items[index].at))
        };
        let mut outcome = score(self.deployment, items, took);
        let lost_ms = u32::try_from(self.cell.lost_core_ms() / 1_000).unwrap_or(u32::MAX);
        outcome.lost = f64::from(lost_ms) * LOST_WORTH_PER_CORE_SECOND;
        for decision in &self.cell.decisions {
            match decision {
                Decision::Placed { count, .. } => outcome.placed += count,
                Decision::Stopped { cause: Cause::Reclaimed, .. } => outcome.reclaimed += 1,
                _ => {}
            }
        }
        outcome.faults = self.cell.violations;
        outcome.faults.extend(self.claims.missed);
        outcome
    }
}

/// Checks that guaranteed jobs start within their bound.
#[derive(Debug, Default)]
struct Claims {
    /// Begin of the time for which all unfinished jobs of priority 0 of the job's workspace have
    /// needed no more than is guaranteed, by job that has not started.
    covered_since: BTreeMap<usize, Time>,
    missed: Vec<String>,
}

impl Claims {
    fn check(
        &mut self,
        deployment: &Deployment,
        cell: &Cell,
        items: &[Item],
        unfinished: impl Iterator<Item = usize>,
        guaranteed: u32,
    ) {
        let urgent: Vec<usize> =
            unfinished.filter(|&index| deployment.kinds[items[index].kind].priority == 0).collect();
        let need = |index: usize| -> u32 {
            let step = &items[index].request.steps[0];
            u32::from(step.width) * step.need.accelerators
        };
        let mut needs: BTreeMap<&str, u32> = BTreeMap::new();
        for &index in &urgent {
            *needs.entry(&items[index].workspace).or_default() += need(index);
        }
        let waits = |index: usize| {
            cell.starts(job_id(index)) < usize::from(items[index].request.steps[0].width)
        };
        let covered = |index: usize| needs[&*items[index].workspace] <= guaranteed;
        let waiting: Vec<usize> =
            urgent.into_iter().filter(|&index| covered(index) && waits(index)).collect();
        self.covered_since.retain(|index, _| waiting.contains(index));
        for index in waiting {
            let since = *self.covered_since.entry(index).or_insert(cell.now);
            if cell.now.since(since) > GUARANTEE_BOUND {
                self.missed.push(format!("guaranteed job {} waits too long", job_id(index)));
                self.covered_since.insert(index, cell.now);
            }
        }
    }
}

fn queue_config(kind: &Kind) -> Queue {
    let (stretch_permille, latency_ms) = (kind.stretch_permille, kind.latency_ms);
    Queue { stretch_permille, latency_ms, ..queue(kind.queue, kind.priority) }
}

fn job_id(index: usize) -> Id {
    Id(u64::try_from(index).unwrap_or(u64::MAX) + 1)
}

/// Replays a list through a FIFO first-fit baseline: each job waits until all earlier ones have
/// started, and takes the first workers with room. It never preempts, and its decisions take
/// effect without delay.
#[must_use]
pub fn run_fifo(deployment: &Deployment, items: &[Item]) -> Outcome {
    let worker_capacity = Resources { millicores: 32_000, mebibytes: 131_072, accelerators: 8 };
    let mut free = vec![worker_capacity; deployment.workers];
    let mut running: Vec<(Time, usize, Resources, usize)> = Vec::new();
    let mut unstarted: Vec<u16> = items.iter().map(|item| item.request.steps[0].width).collect();
    let mut unfinished = unstarted.clone();
    let mut ends: BTreeMap<usize, Time> = BTreeMap::new();
    let begin = Time::from_secs(100);
    let mut now = begin;
    let mut head = 0;
    while now.since(begin) < ARRIVAL_SPAN + COMPLETION_GRACE {
        for (_, worker, need, index) in running.extract_if(.., |(end, ..)| *end <= now) {
            free[worker] = free[worker] + need;
            unfinished[index] -= 1;
            if unfinished[index] == 0 {
                ends.insert(index, now);
            }
        }
        while head < items.len() && begin + items[head].at <= now {
            let item = &items[head];
            let step = &item.request.steps[0];
            let fits: u32 = free.iter().map(|room| room.count(step.need)).sum();
            if step.gang && fits < u32::from(step.width) {
                break;
            }
            for (worker, room) in free.iter_mut().enumerate() {
                while unstarted[head] > 0 && room.holds(step.need) {
                    *room = *room - step.need;
                    unstarted[head] -= 1;
                    running.push((now + item.work, worker, step.need, head));
                }
            }
            if unstarted[head] > 0 {
                break;
            }
            head += 1;
        }
        now = now + TIME_STEP;
    }
    score(deployment, items, |index| ends.get(&index).map(|at| at.since(begin + items[index].at)))
}

/// Scores a replay by the time from arrival to completion of each job, `None` if it did not
/// complete.
fn score(
    deployment: &Deployment,
    items: &[Item],
    took: impl Fn(usize) -> Option<Duration>,
) -> Outcome {
    let mut outcome = Outcome::default();
    for (number, kind) in deployment.kinds.iter().enumerate() {
        let mut of_kind: Vec<usize> =
            (0..items.len()).filter(|&index| items[index].kind == number).collect();
        of_kind.sort_by(|&a, &b| items[b].size.total_cmp(&items[a].size));
        let tenth = of_kind.len().div_ceil(10);
        for (rank, &index) in of_kind.iter().enumerate() {
            let item = &items[index];
            let work_ms = u64::try_from(item.work.as_millis()).unwrap_or(u64::MAX);
            let objective_ms = work_ms * u64::from(kind.stretch_permille) / 1_000 + kind.latency_ms;
            let objective = Duration::from_millis(objective_ms);
            let cutoff = Duration::from_millis(objective_ms * LATE_FACTOR);
            let took = took(index);
            let in_time = took.is_some_and(|took| took <= objective);
            let served = took.is_some_and(|took| took <= cutoff);
            outcome.total_worth += item.worth;
            outcome.of_kind[number] += 1;
            outcome.in_time[number] += u32::from(in_time);
            outcome.all.0 += 1;
            outcome.all.1 += u32::from(served);
            if rank < tenth {
                outcome.largest.0 += 1;
                outcome.largest.1 += u32::from(served);
            }
            if in_time {
                outcome.earned += item.worth;
            } else if served {
                outcome.earned += item.worth * kind.late_worth / kind.worth;
            }
        }
    }
    outcome
}

/// Replays lists through planner and baseline, and prints the figures of both.
///
/// # Errors
///
/// Returns an error if an argument is malformed or the planner violated a guarantee.
pub fn run(parser: &mut lexopt::Parser) -> anyhow::Result<()> {
    let mut seeds = 5_u64;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seeds") => seeds = parser.value()?.parse()?,
            other => anyhow::bail!("{}; see --help", other.unexpected()),
        }
    }
    println!(
        "| deployment | load | scheduler | worth | lost work | in time, by priority | largest |"
    );
    println!("|---|---|---|---|---|---|---|");
    for deployment in &DEPLOYMENTS {
        for load in [1.0, 2.0] {
            let lists: Vec<Vec<Item>> =
                (101..101 + seeds).map(|seed| draw(deployment, load, seed)).collect();
            let mut planned = Outcome::default();
            let mut fifo = Outcome::default();
            for list in &lists {
                planned.add(&run_planner(deployment, list));
                fifo.add(&run_fifo(deployment, list));
            }
            anyhow::ensure!(
                planned.faults.is_empty(),
                "the planner violated guarantees: {:?}",
                planned.faults
            );
            print(deployment, load, "FIFO first-fit", &fifo);
            print(deployment, load, "planner", &planned);
        }
    }
    Ok(())
}

fn print(deployment: &Deployment, load: f64, name: &str, outcome: &Outcome) {
    let mut order: Vec<usize> = (0..deployment.kinds.len()).collect();
    order.sort_by_key(|&number| deployment.kinds[number].priority);
    let part =
        |number: &usize| format!("{}/{}", outcome.in_time[*number], outcome.of_kind[*number]);
    let in_time: Vec<String> = order.iter().map(part).collect();
    println!(
        "| {} | {load} | {name} | {:.3} | {:.3} | {} | {}/{} |",
        deployment.name,
        outcome.share(),
        outcome.lost / outcome.total_worth,
        in_time.join(", "),
        outcome.largest.1,
        outcome.largest.0
    );
}
