//! Replay of a cell at its worst load: jobs drawn from the mix of the users' deployments run
//! through planner and agents in virtual time, against FIFO first-fit.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use lexopt::{Arg, ValueExt};
use persimmondrift::cell::access::{Queue, Workspace};
use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::record::State;
use persimmondrift::unit::Time;
use standin::cell::{ACCELERATOR_CORES, Cell, queue};

/// Span in which jobs arrive.
const SPAN: Duration = Duration::from_secs(34);
/// Time after that in which they may still end.
const FINISH: Duration = Duration::from_secs(45);
/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(50);
/// When the burst of urgent jobs begins, and how long it lasts.
const BURST: (Duration, Duration) = (Duration::from_secs(8), Duration::from_secs(6));
/// How many times as many urgent jobs come in the burst.
const BURST_FACTOR: f64 = 2.0;
/// Part of a job's worth that does not depend on its size.
const BASE_WORTH: f64 = 0.3;
/// Most that a job is worth, as a multiple of the mean of its kind.
const WORTH_MOST: f64 = 4.0;
/// An end after that many times the objective is worth nothing.
const LATE_FACTOR: u64 = 3;
/// What lost work costs, in worth a core-second.
const LOSS_PRICE: f64 = 0.0015;
/// Workspaces, each guaranteed an equal part of this share of all accelerators, in percent.
const WORKSPACES: u32 = 4;
const GUARANTEED_PERCENT: u32 = 62;

/// A kind of job.
#[derive(Debug, Clone, Copy)]
struct Kind {
    queue: &'static str,
    priority: u32,
    /// Jobs a second and worker at simple load.
    rate: f64,
    width: f64,
    work_ms: f64,
    millicores: u32,
    mebibytes: u32,
    accelerators: &'static [u32],
    gang: f64,
    one_rack: f64,
    checkpoints: f64,
    /// How far a declared time may be off, as a share of the true one.
    off: f64,
    stretch_permille: u32,
    latency_ms: u64,
    worth: f64,
    late: f64,
}

/// A deployment whose mix is drawn, from the users' own description.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its workers.
    pub workers: usize,
    rack: usize,
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
    off: 0.5,
    stretch_permille: 3_000,
    latency_ms: 1_500,
    worth: 3.0,
    late: 0.9,
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
    off: 0.2,
    stretch_permille: 1_500,
    latency_ms: 600,
    worth: 4.0,
    late: 0.8,
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
    off: 0.5,
    stretch_permille: 3_000,
    latency_ms: 3_000,
    worth: 1.0,
    late: 0.3,
};

/// The deployments of today and of the next step.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "today",
        workers: 11,
        rack: 3,
        kinds: [
            Kind { rate: 0.019, width: 2.0, work_ms: 11_000.0, ..RENDER },
            Kind { rate: 0.022, width: 3.0, ..PREVIEW },
            Kind { rate: 0.012, width: 9.0, ..BOOKING },
        ],
    },
    Deployment { name: "grown", workers: 57, rack: 4, kinds: [RENDER, PREVIEW, BOOKING] },
];

/// A job of a list.
#[derive(Debug, Clone)]
pub struct Item {
    kind: usize,
    at: Duration,
    request: Request,
    work: Duration,
    /// Core-seconds.
    size: f64,
    /// Worth in time; late it is worth the kind's share of it.
    worth: f64,
    workspace: String,
}

/// What became of a list.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// What all jobs are worth in time.
    pub owed: f64,
    /// What was earned.
    pub earned: f64,
    /// What the lost work costs.
    pub lost: f64,
    /// Jobs of the largest tenth of their kind: all, and those that were worth something.
    pub largest: (u32, u32),
    /// All jobs, and those that were worth something.
    pub all: (u32, u32),
    /// Jobs in time by kind.
    pub in_time: [u32; 3],
    /// Jobs by kind.
    pub of_kind: [u32; 3],
    /// Promises that were broken.
    pub faults: Vec<String>,
}

impl Outcome {
    /// Returns the share of the worth that was earned, lost work taken off.
    #[must_use]
    pub fn share(&self) -> f64 {
        (self.earned - self.lost) / self.owed.max(f64::MIN_POSITIVE)
    }

    fn add(&mut self, other: &Self) {
        self.owed += other.owed;
        self.earned += other.earned;
        self.lost += other.lost;
        self.largest = (self.largest.0 + other.largest.0, self.largest.1 + other.largest.1);
        self.all = (self.all.0 + other.all.0, self.all.1 + other.all.1);
        for kind in 0..3 {
            self.in_time[kind] += other.in_time[kind];
            self.of_kind[kind] += other.of_kind[kind];
        }
        self.faults.extend(other.faults.iter().cloned());
    }
}

/// Draws a list of jobs, the earliest first.
#[must_use]
pub fn draw(deployment: &Deployment, load: f64, seed: u64) -> Vec<Item> {
    let mut rng = Rng::with_seed(seed);
    let mut items = Vec::new();
    for (number, kind) in deployment.kinds.iter().enumerate() {
        let workers = u32::try_from(deployment.workers).unwrap_or(u32::MAX);
        let rate = kind.rate * f64::from(workers) * load;
        let mut at = 0.0;
        loop {
            let begin = BURST.0.as_secs_f64();
            let inside = (begin..begin + BURST.1.as_secs_f64()).contains(&at);
            let factor = if inside && kind.priority == 0 { BURST_FACTOR } else { 1.0 };
            at -= (1.0 - rng.f64()).ln() / (rate * factor);
            if at >= SPAN.as_secs_f64() {
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
    // Most jobs are narrow and a few are wide.
    let wide = -(1.0 - rng.f64()).ln();
    let most = f64::from(u32::try_from(of.workers).unwrap_or(u32::MAX) * 4);
    let width = whole((kind.width * wide).clamp(1.0, most));
    let accelerators = kind.accelerators[rng.usize(..kind.accelerators.len())];
    // A gang is not wider than a fifth of the cell, so that it may ever start.
    let fifth = u32::try_from(of.workers).unwrap_or(u32::MAX) * 8 / 5;
    let width = if kind.gang > 0.0 { width.min((fifth / accelerators).max(1)) } else { width };
    let gang = rng.f64() < kind.gang && width > 1;
    let need = Resources { millicores: kind.millicores, mebibytes: kind.mebibytes, accelerators };
    let work_ms = kind.work_ms * spread(rng, 0.4);
    let step = Step {
        width: u16::try_from(width).unwrap_or(u16::MAX),
        need,
        estimate_ms: whole(work_ms * spread(rng, kind.off)),
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
    let relative = (BASE_WORTH + (1.0 - BASE_WORTH) * size / mean).min(WORTH_MOST);
    Item {
        kind: number,
        at: Duration::from_secs_f64(at),
        request: Request { spec: "work".to_owned(), steps: vec![step], schedule: None },
        work: Duration::from_secs_f64(work_ms / 1_000.0),
        size,
        worth: kind.worth * relative,
        workspace: format!("w{}", rng.u32(..WORKSPACES)),
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before")]
fn whole(number: f64) -> u32 {
    number.clamp(1.0, f64::from(u32::MAX)) as u32
}

/// Plays a list through planner and agents.
#[must_use]
pub fn play(deployment: &Deployment, items: &[Item]) -> Outcome {
    let mut cell = Cell::with_racks(deployment.workers, deployment.rack);
    let all = u32::try_from(deployment.workers).unwrap_or(u32::MAX) * 8;
    let guaranteed = all * GUARANTEED_PERCENT / 100 / WORKSPACES;
    cell.config.queues = deployment.kinds.iter().map(configured).collect();
    cell.config.workspaces = (0..WORKSPACES)
        .map(|number| Workspace { name: format!("w{number}"), keys: Vec::new(), guaranteed })
        .collect();
    cell.run(Duration::from_secs(2));
    let begin = cell.now;
    let mut ends = BTreeMap::new();
    let mut next = 0;
    while cell.now.since(begin) < SPAN + FINISH && ends.len() < items.len() {
        while items.get(next).is_some_and(|item| begin + item.at <= cell.now) {
            let item = &items[next];
            let id = job_id(next);
            cell.set_work_time(id, item.work);
            let queue = deployment.kinds[item.kind].queue;
            cell.submit(id, queue, &item.workspace, item.request.clone());
            next += 1;
        }
        cell.run(STEP);
        for (id, state) in cell.ended() {
            ends.entry(id).or_insert((cell.now, state));
        }
    }
    let took = |index: usize| -> Option<Duration> {
        let (at, state) = ends.get(&job_id(index))?;
        (*state == State::Completed).then(|| at.since(begin + items[index].at))
    };
    let mut outcome = judge(deployment, items, took);
    let lost_ms = u32::try_from(cell.lost_core_ms() / 1_000).unwrap_or(u32::MAX);
    outcome.lost = f64::from(lost_ms) * LOSS_PRICE;
    outcome.faults = cell.violations;
    outcome
}

fn configured(kind: &Kind) -> Queue {
    let (stretch_permille, latency_ms) = (kind.stretch_permille, kind.latency_ms);
    Queue { stretch_permille, latency_ms, ..queue(kind.queue, kind.priority) }
}

fn job_id(index: usize) -> Id {
    Id(u64::try_from(index).unwrap_or(u64::MAX) + 1)
}

/// Plays a list in the order of arrival: each job waits for those before it, and takes the first
/// workers with room. Nothing is stopped, and no time passes between decisions.
#[must_use]
pub fn play_fifo(deployment: &Deployment, items: &[Item]) -> Outcome {
    let whole = Resources { millicores: 32_000, mebibytes: 131_072, accelerators: 8 };
    let mut free = vec![whole; deployment.workers];
    let mut running: Vec<(Time, usize, Resources, usize)> = Vec::new();
    let mut left: Vec<u16> = items.iter().map(|item| item.request.steps[0].width).collect();
    let mut open = left.clone();
    let mut ends: BTreeMap<usize, Time> = BTreeMap::new();
    let begin = Time::from_secs(100);
    let mut now = begin;
    let mut head = 0;
    while now.since(begin) < SPAN + FINISH {
        for (_, worker, need, index) in running.extract_if(.., |(end, ..)| *end <= now) {
            free[worker] = free[worker] + need;
            open[index] -= 1;
            if open[index] == 0 {
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
                while left[head] > 0 && room.holds(step.need) {
                    *room = *room - step.need;
                    left[head] -= 1;
                    running.push((now + item.work, worker, step.need, head));
                }
            }
            if left[head] > 0 {
                break;
            }
            head += 1;
        }
        now = now + STEP;
    }
    judge(deployment, items, |index| ends.get(&index).map(|at| at.since(begin + items[index].at)))
}

/// Adds up what the jobs of a list were worth, by the time that each took.
fn judge(
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
        for (place, &index) in of_kind.iter().enumerate() {
            let item = &items[index];
            let work_ms = u64::try_from(item.work.as_millis()).unwrap_or(u64::MAX);
            let objective_ms = work_ms * u64::from(kind.stretch_permille) / 1_000 + kind.latency_ms;
            let objective = Duration::from_millis(objective_ms);
            let late = Duration::from_millis(objective_ms * LATE_FACTOR);
            let took = took(index);
            let in_time = took.is_some_and(|took| took <= objective);
            let served = took.is_some_and(|took| took <= late);
            outcome.owed += item.worth;
            outcome.of_kind[number] += 1;
            outcome.in_time[number] += u32::from(in_time);
            outcome.all.0 += 1;
            outcome.all.1 += u32::from(served);
            if place < tenth {
                outcome.largest.0 += 1;
                outcome.largest.1 += u32::from(served);
            }
            if in_time {
                outcome.earned += item.worth;
            } else if served {
                outcome.earned += item.worth * kind.late / kind.worth;
            }
        }
    }
    outcome
}

/// Plays lists and prints the figures.
///
/// # Errors
///
/// Returns an error if an argument is malformed, or a promise was broken.
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
                planned.add(&play(deployment, list));
                fifo.add(&play_fifo(deployment, list));
            }
            anyhow::ensure!(planned.faults.is_empty(), "{:?}", planned.faults);
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
        outcome.lost / outcome.owed,
        in_time.join(", "),
        outcome.largest.1,
        outcome.largest.0
    );
}
