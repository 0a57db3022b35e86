//! Generator of seeded job lists with bursts, wrong run time estimates, worker faults and
//! cancellations.

use fastrand::Rng;
use persimmondrift::place::{Adjacency, Class, Entitlement, Eviction, Shape, Spec};
use persimmondrift::unit::{Accelerators, Cores, Mebibytes, Millis, Workspace};

/// Number of workers.
pub const WORKERS: u32 = 11;
/// Number of accelerators of each worker.
pub const ACCELERATORS_PER_WORKER: u32 = 8;
/// Number of workers in each rack, except the last.
pub const WORKERS_PER_RACK: u32 = 3;
/// Time over which jobs arrive: 8 hours.
const ARRIVAL_SPAN_SECONDS: f64 = 28_800.0;
/// Work that arrives, as a share of the capacity of all accelerators over the arrival span.
const OFFERED_LOAD: f64 = 0.85;
/// Number of bursts in a list.
const BURSTS: u32 = 6;
const BURST_SECONDS: f64 = 300.0;
/// Share of the jobs that arrive in bursts.
const BURST_JOB_SHARE: f64 = 0.6;

/// A deployment whose job sizes and mix are replayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Preview and render jobs of workshops.
    Soplo,
    /// Stock check, price and route jobs of an order desk.
    Kleenline,
}

/// Groups in which jobs are reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    /// Jobs of one or two accelerators.
    Small,
    /// Jobs of up to one worker.
    Medium,
    /// Jobs of several workers.
    Large,
    /// Jobs that claim a guarantee.
    Claim,
}

/// A job of a list.
#[derive(Debug, Clone)]
pub struct Item {
    /// Declared shape, class and estimated run time.
    pub spec: Spec,
    /// Time of submission, in seconds since the start of the replay.
    pub at: f64,
    /// Actual run time, in seconds.
    pub run: f64,
    /// Whether the job fails on every worker.
    pub faulty: bool,
    /// Time of cancellation, in seconds since the start of the replay.
    pub cancel: Option<f64>,
    /// Group in which the job is reported.
    pub group: Group,
}

/// A temporary fault of a worker; times are in seconds since the start of the replay.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// Index of the worker.
    pub worker: u32,
    /// Begin of the fault.
    pub from: f64,
    /// End of the fault.
    pub to: f64,
    /// Whether the worker is lost; otherwise every job started on it fails.
    pub lost: bool,
}

/// A job list with its guarantees and worker faults.
#[derive(Debug)]
pub struct List {
    /// Jobs in the order of submission.
    pub items: Vec<Item>,
    /// Guarantees of the workspaces, each claimed twice in the list.
    pub entitlements: Vec<Entitlement>,
    /// Faults of the workers.
    pub faults: Vec<Fault>,
}

impl List {
    /// Draws the list of a deployment and seed.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        let seed_offset = if deployment == Deployment::Soplo { 0 } else { 1 << 40 };
        let mut rng = Rng::with_seed(seed + seed_offset);
        let names = match deployment {
            Deployment::Soplo => ["taller", "estudio", "horno", "vidrio"],
            Deployment::Kleenline => ["hotels", "clinics", "condos", "depot"],
        };
        let biases: Vec<f64> = (0..12).map(|_| log_uniform(&mut rng, 1.0 / 3.0, 3.0)).collect();
        let bursts: Vec<f64> =
            (0..BURSTS).map(|_| rng.f64() * (ARRIVAL_SPAN_SECONDS - BURST_SECONDS)).collect();
        let mut items = Vec::new();
        let mut work = 0.0;
        while work
            < OFFERED_LOAD * ARRIVAL_SPAN_SECONDS * f64::from(WORKERS * ACCELERATORS_PER_WORKER)
        {
            let owner = rng.usize(0..names.len());
            let item = draw_job(&mut rng, deployment, (names[owner], owner), &biases, &bursts);
            work += item.run * f64::from(item.spec.shape.total().0);
            items.push(item);
        }
        let entitlements = entitlements(names);
        for entitlement in &entitlements {
            // The second claim is submitted after the first one has ended.
            for from in [0.0, 0.55] {
                items.push(claim(&mut rng, entitlement, from * ARRIVAL_SPAN_SECONDS));
            }
        }
        cancel(&mut rng, &mut items, names[3]);
        items.sort_by(|one, other| one.at.total_cmp(&other.at));
        Self { items, entitlements, faults: faults(&mut rng) }
    }
}

/// Draws a number between two bounds from a log-uniform distribution.
fn log_uniform(rng: &mut Rng, low: f64, high: f64) -> f64 {
    (low.ln() + rng.f64() * (high / low).ln()).exp()
}

fn arrival(rng: &mut Rng, bursts: &[f64]) -> f64 {
    if rng.f64() < BURST_JOB_SHARE {
        bursts[rng.usize(0..bursts.len())] + rng.f64() * BURST_SECONDS
    } else {
        rng.f64() * ARRIVAL_SPAN_SECONDS
    }
}

fn draw_job(
    rng: &mut Rng,
    deployment: Deployment,
    (name, owner): (&str, usize),
    biases: &[f64],
    bursts: &[f64],
) -> Item {
    let small_share = if deployment == Deployment::Soplo { 0.75 } else { 0.6 };
    let roll = rng.f64();
    let (group, parts, accelerators, adjacency, run) = if roll < small_share {
        (Group::Small, 1, rng.u32(1..=2), Adjacency::Worker, log_uniform(rng, 30.0, 900.0))
    } else if roll < 0.9 {
        let size = [2, 4, 8][rng.usize(0..3)];
        (Group::Medium, 1, size, Adjacency::Worker, log_uniform(rng, 300.0, 3_600.0))
    } else if roll < 0.99 {
        (Group::Large, rng.u16(2..=3), 8, Adjacency::Rack, log_uniform(rng, 900.0, 5_400.0))
    } else {
        (Group::Large, rng.u16(4..=8), 8, Adjacency::Zone, log_uniform(rng, 900.0, 3_600.0))
    };
    let eviction = match rng.f64() {
        x if x < 0.7 => Eviction::Checkpoint,
        x if x < 0.9 => Eviction::Stop,
        _ if group == Group::Large => Eviction::Checkpoint,
        _ => Eviction::Never,
    };
    let class = if group == Group::Small { Class::Interactive } else { Class::Batch };
    let kind = ["preview", "render", "route"][group as usize];
    let bias = biases[owner * 3 + group as usize];
    let estimate_factor = (bias * log_uniform(rng, 0.6, 1.0 / 0.6)).clamp(0.2, 5.0);
    Item {
        spec: Spec {
            workspace: name.parse().expect("valid name"),
            kind: kind.parse().expect("valid name"),
            shape: Shape {
                parts,
                accelerators: Accelerators(accelerators),
                cores: Cores(accelerators * 3),
                memory: Mebibytes(u64::from(accelerators) << 13),
                adjacency,
            },
            class,
            eviction,
            run_ms: millis(run * estimate_factor),
            claim: false,
            zone: None,
        },
        at: arrival(rng, bursts),
        run,
        faulty: rng.f64() < 0.005,
        cancel: None,
        group,
    }
}

fn entitlements(names: [&str; 4]) -> Vec<Entitlement> {
    let shape = |parts, adjacency| Shape {
        parts,
        accelerators: Accelerators(ACCELERATORS_PER_WORKER),
        cores: Cores(24),
        memory: Mebibytes(1 << 16),
        adjacency,
    };
    let entitlement =
        |name: &str, shape| Entitlement { workspace: name.parse().expect("valid name"), shape };
    vec![
        entitlement(names[0], shape(3, Adjacency::Rack)),
        entitlement(names[1], shape(2, Adjacency::Rack)),
        entitlement(names[2], shape(1, Adjacency::Worker)),
    ]
}

fn claim(rng: &mut Rng, entitlement: &Entitlement, from: f64) -> Item {
    let run = log_uniform(rng, 300.0, 900.0);
    Item {
        spec: Spec {
            workspace: entitlement.workspace.clone(),
            kind: "claim".parse().expect("valid name"),
            shape: entitlement.shape,
            class: Class::Urgent,
            eviction: Eviction::Never,
            run_ms: millis(run),
            claim: true,
            zone: None,
        },
        at: from + rng.f64() * 0.45 * ARRIVAL_SPAN_SECONDS,
        run,
        faulty: false,
        cancel: None,
        group: Group::Claim,
    }
}

/// Cancels, all at the same time, 80 % of the jobs that a workspace submitted in the last hour.
fn cancel(rng: &mut Rng, items: &mut [Item], name: &str) {
    let at = ARRIVAL_SPAN_SECONDS * (0.3 + 0.4 * rng.f64());
    for item in items {
        let recent = item.at < at && item.at > at - 3_600.0;
        let cancelled_workspace: Workspace = name.parse().expect("valid name");
        if recent && item.spec.workspace == cancelled_workspace && rng.f64() < 0.8 {
            item.cancel = Some(at);
        }
    }
}

/// Draws a lost worker (5 minutes) and a faulty one (30 minutes).
fn faults(rng: &mut Rng) -> Vec<Fault> {
    let mut faults = Vec::new();
    for lost in [true, false] {
        let from = rng.f64() * ARRIVAL_SPAN_SECONDS;
        let to = from + if lost { 300.0 } else { 1_800.0 };
        faults.push(Fault { worker: rng.u32(0..WORKERS), from, to, lost });
    }
    faults
}

fn millis(seconds: f64) -> Millis {
    let span = std::time::Duration::from_secs_f64(seconds);
    Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
