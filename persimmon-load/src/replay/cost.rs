//! Measures time and memory of planner steps by the size of the zone.

use std::time::{Duration, Instant};

use fastrand::Rng;
use persimmondrift::member::Capacity;
use persimmondrift::place::{
    Adjacency, Class, Effect, Entitlement, Eviction, Outcome, Planner, Policy, Shape, Spec,
};
use persimmondrift::unit::{
    Accelerators, Connections, Cores, Job, Mebibytes, Millis, Node, Rack, Slots, Time,
};

/// Measured sizes: number of workers and of running tasks.
///
/// Memory is measured for the first size only, which is the largest: later ones would reuse memory
/// that the process already holds.
const SIZES: [(u32, u32); 5] = [(4_400, 18_600), (880, 3_720), (440, 1_860), (110, 465), (11, 47)];
/// Timed steps per size.
const STEPS: u32 = 100;
/// Waiting jobs per worker.
const WAITING_PER_WORKER: f64 = 0.5;

/// Times planner steps at each size and prints a table.
///
/// # Errors
///
/// Returns an error if the memory of the process cannot be read.
pub fn run() -> anyhow::Result<()> {
    println!(
        "| workers | accelerators | tasks | waiting | step p50 ms | step p99 ms | idle step us | cancel of 10,000 ms | bytes a task |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for (index, (workers, tasks)) in SIZES.into_iter().enumerate() {
        measure(workers, tasks, index == 0)?;
    }
    Ok(())
}

fn spec(rng: &mut Rng, parts: u16, accelerators: u32) -> Spec {
    let kinds = ["preview", "render", "route"];
    Spec {
        workspace: format!("team-{}", rng.u32(0..81)).parse().expect("valid name"),
        kind: kinds[rng.usize(0..3)].parse().expect("valid name"),
        shape: Shape {
            parts,
            accelerators: Accelerators(accelerators),
            cores: Cores(1),
            memory: Mebibytes(1 << 10),
            adjacency: if parts > 8 { Adjacency::Zone } else { Adjacency::Rack },
        },
        class: if rng.bool() { Class::Interactive } else { Class::Batch },
        eviction: if rng.u8(0..10) == 0 { Eviction::Never } else { Eviction::Checkpoint },
        run_ms: Millis(rng.u64(600_000..14_400_000)),
        claim: false,
        zone: None,
    }
}

/// Appends the started jobs to `running` and returns the number of their parts.
fn record_started(effects: &[Effect], running: &mut Vec<Job>) -> u32 {
    let mut parts = 0;
    for effect in effects {
        if let Effect::Start { job, allocations, .. } = effect {
            running.push(*job);
            parts += u32::try_from(allocations.len()).expect("number of parts fits in u32");
        }
    }
    parts
}

/// Returns the planner of a zone and its number of accelerators: 1 or 2 per worker, or 8 in the zone
/// of 11 workers.
fn zone(workers: u32) -> (Planner, u32) {
    let mut planner = Planner::new(Policy::default());
    let mut sum = 0;
    for index in 0..workers {
        let accelerators = match (workers, index % 25) {
            (11, _) => 8,
            (_, 0..17) => 2,
            _ => 1,
        };
        sum += accelerators;
        let capacity = Capacity {
            slots: Slots(8),
            connections: Connections(64),
            accelerators: Accelerators(accelerators),
            cores: Cores(32),
            memory: Mebibytes(1 << 17),
        };
        let node = Node::try_from(format!("worker-{index}")).expect("valid name");
        let rack = Rack::try_from(format!("rack-{}", index / 24)).expect("valid name");
        planner.put_worker(&node, &rack, capacity, true);
    }
    let shape = |parts| Shape {
        parts,
        accelerators: Accelerators(1),
        cores: Cores(1),
        memory: Mebibytes(1 << 10),
        adjacency: Adjacency::Rack,
    };
    let entitlement = |team: u32| Entitlement {
        workspace: format!("team-{team}").parse().expect("valid name"),
        shape: shape(4),
    };
    planner.set_guarantees((0..(workers / 40).min(81)).map(entitlement).collect());
    (planner, sum)
}

fn measure(workers: u32, tasks: u32, first: bool) -> anyhow::Result<()> {
    let mut rng = Rng::with_seed(u64::from(workers));
    let (mut planner, accelerators) = zone(workers);
    let mut now = Time::from_secs(1);
    let mut next = 0;
    let mut running = Vec::new();
    planner.step(now);
    let before = resident_bytes()?;
    let mut parts = 0;
    while parts < tasks {
        // Once half of the accelerators are in use, further tasks need cores only.
        for _ in 0..(tasks - parts).div_ceil(2).min(1_000) {
            let need = u32::from(parts < accelerators / 2);
            let spec = spec(&mut rng, 2, need);
            planner.submit(now, Job(next), spec);
            next += 1;
        }
        parts += record_started(&planner.step(now), &mut running);
        now = now + Duration::from_secs(1);
    }
    let grown = resident_bytes()?.saturating_sub(before) / u64::from(tasks);
    let memory = if first { grown.to_string() } else { "-".to_owned() };
    let waiting = submit_waiting(&mut planner, &mut rng, now, workers, &mut next);
    let mut times = Vec::new();
    for _ in 0..STEPS {
        now = now + Duration::from_secs(2);
        let job = running.swap_remove(rng.usize(0..running.len()));
        planner.ended(now, job, Outcome::Finished);
        planner.submit(now, Job(next), spec(&mut rng, 1, 1));
        next += 1;
        let begin = Instant::now();
        let effects = planner.step(now);
        times.push(begin.elapsed());
        for effect in &effects {
            if let Effect::Stop { job, attempt, .. } = effect {
                running.retain(|other| other != job);
                planner.released(now, *job, *attempt);
            }
        }
        record_started(&effects, &mut running);
    }
    times.sort_unstable();
    let idle = idle(&mut planner, now);
    let cancel = cancel(&mut planner, &mut rng, now, next);
    let at = |percent: usize| times[times.len() * percent / 100].as_secs_f64() * 1e3;
    println!(
        "| {workers} | {accelerators} | {tasks} | {waiting} | {:.2} | {:.2} | {:.2} | {:.1} | {memory} |",
        at(50),
        at(99),
        idle.as_secs_f64() * 1e6,
        cancel.as_secs_f64() * 1e3
    );
    Ok(())
}

/// Submits jobs of several shapes, some of them large, and returns the number that wait.
fn submit_waiting(
    planner: &mut Planner,
    rng: &mut Rng,
    now: Time,
    workers: u32,
    next: &mut u64,
) -> usize {
    let count = f64::from(workers) * WAITING_PER_WORKER;
    let mut submitted = 0.0;
    while submitted < count.max(20.0) {
        let parts = [1, 2, 4, 8, 64, 1_024][rng.usize(0..6)];
        let spec = spec(rng, parts, 1);
        planner.submit(now, Job(*next), spec);
        *next += 1;
        submitted += 1.0;
    }
    planner.summary().waiting
}

/// Returns the mean time of a step in which nothing has changed.
fn idle(planner: &mut Planner, now: Time) -> Duration {
    planner.step(now);
    planner.step(now);
    let begin = Instant::now();
    for _ in 0..1_000 {
        planner.step(now);
    }
    begin.elapsed() / 1_000
}

/// Returns the time of 10,000 cancellations together with the step after them.
fn cancel(planner: &mut Planner, rng: &mut Rng, now: Time, next: u64) -> Duration {
    for id in 0..10_000 {
        let spec = spec(rng, 1, 1);
        planner.submit(now, Job(next + id), spec);
    }
    planner.step(now);
    let begin = Instant::now();
    for id in 0..10_000 {
        planner.cancel(Job(next + id));
    }
    planner.step(now);
    begin.elapsed()
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> anyhow::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes: u64 = line.unwrap_or("0 kB").trim().trim_end_matches(" kB").parse()?;
    Ok(kibibytes << 10)
}
