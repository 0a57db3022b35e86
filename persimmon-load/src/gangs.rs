//! Measures what a planner spends on coordinating gang attempts: processor time, messages and bytes
//! while attempts start and while they run.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use anyhow::ensure;
use persimmondrift::adapter::worker::{ListedTask, State};
use persimmondrift::gang::{
    Action, Command, Coordinator, Effect, Holder, Holding, Report, StartOutcome, Term,
};
use persimmondrift::place::{Adjacency, Allocation, Class, Eviction, Shape, Spec};
use persimmondrift::unit::{
    Accelerators, Attempt, Boot, Cores, Epoch, Job, Mebibytes, Millis, Node, Sequence, Time,
};
use persimmondrift::wire::{self, Body, Frame};

/// Consecutive parts that are placed on the same worker.
const PARTS_PER_WORKER: usize = 8;
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Simulated time measured after all attempts run.
const STEADY_SPAN: Duration = Duration::from_secs(20);

/// Resources used by a planner since the last measurement.
#[derive(Debug, Default)]
struct Usage {
    planner: Duration,
    /// Longest single call of the planner.
    longest: Duration,
    commands: usize,
    command_bytes: usize,
    reports: usize,
    report_bytes: usize,
}

/// A planner and the agents of its zone, in virtual time.
struct Zone {
    now: Time,
    planner: Coordinator,
    agents: BTreeMap<Node, Holder>,
    pending: VecDeque<Effect>,
    usage: Usage,
}

/// Measures several numbers and sizes of attempts and prints a table.
///
/// # Errors
///
/// Returns an error if an attempt does not start.
pub fn run() -> anyhow::Result<()> {
    println!(
        "| attempts | parts each | agents | start ms | start messages | start KB | tick us mean | longest | out /s | in /s | KB/s out | KB/s in |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (attempts, parts, workers) in
        [(1, 1, 1), (1, 64, 8), (1, 1_024, 128), (930, 4, 880), (3, 1_024, 880), (1_860, 4, 880)]
    {
        measure(attempts, parts, workers)?;
    }
    Ok(())
}

fn measure(attempts: usize, parts: usize, workers: usize) -> anyhow::Result<()> {
    let mut zone = Zone::new(workers)?;
    let nodes: Vec<Node> = zone.agents.keys().cloned().collect();
    let mut allocated = vec![0_u32; workers];
    for attempt in 0..attempts {
        let mut allocations = Vec::new();
        for part in 0..parts {
            let worker = (attempt * parts + part) / PARTS_PER_WORKER.min(parts) % workers;
            let mask = 1 << allocated[worker];
            allocated[worker] += 1;
            allocations.push(Allocation { node: nodes[worker].clone(), mask });
        }
        let (job, now, spec) = (Job(1 + attempt as u64), zone.now, spec(parts)?);
        zone.time_planner(|planner| planner.begin(now, job, Attempt(1), spec, allocations));
        zone.apply_effects(None)?;
    }
    let mut startup = Duration::ZERO;
    while zone.planner.settled() < attempts {
        zone.step(None)?;
        startup += TICK_INTERVAL;
        ensure!(
            startup < Duration::from_secs(5),
            "only {} attempts started within 5 s",
            zone.planner.settled()
        );
    }
    let start = std::mem::take(&mut zone.usage);
    let ticks = u32::try_from(STEADY_SPAN.as_millis() / TICK_INTERVAL.as_millis())?;
    for _ in 0..ticks {
        zone.step(None)?;
    }
    let steady = std::mem::take(&mut zone.usage);
    let seconds = usize::try_from(STEADY_SPAN.as_secs())?;
    println!(
        "| {attempts} | {parts} | {workers} | {:.1} | {} | {} | {:.0} | {:.0} | {} | {} | {} | {} |",
        start.planner.as_secs_f64() * 1e3,
        start.commands + start.reports,
        (start.command_bytes + start.report_bytes) / 1_000,
        steady.planner.as_secs_f64() * 1e6 / f64::from(ticks),
        steady.longest.as_secs_f64() * 1e6,
        steady.commands / seconds,
        steady.reports / seconds,
        steady.command_bytes / seconds / 1_000,
        steady.report_bytes / seconds / 1_000,
    );
    // One agent does not answer: the planner resends only the commands to that agent.
    for _ in 0..20 {
        zone.step(nodes.first())?;
    }
    println!("  with a silent agent: {} commands in 1 s", zone.usage.commands);
    Ok(())
}

fn spec(parts: usize) -> anyhow::Result<Spec> {
    Ok(Spec {
        workspace: "studio".parse()?,
        kind: "render".parse()?,
        shape: Shape {
            parts: u16::try_from(parts)?,
            accelerators: Accelerators(1),
            cores: Cores(4),
            memory: Mebibytes(16 << 10),
            adjacency: Adjacency::Zone,
        },
        class: Class::Batch,
        eviction: Eviction::Checkpoint,
        run_ms: Millis(3_600_000),
        claim: false,
        zone: Some("sac-a".parse()?),
    })
}

impl Zone {
    fn new(workers: usize) -> anyhow::Result<Self> {
        let now = Time::from_secs(50);
        let term = Term { zone: "sac-a".parse()?, epoch: Epoch(3) };
        let mut planner = Coordinator::new(term);
        let mut agents = BTreeMap::new();
        for index in 0..workers {
            let node = Node::try_from(format!("taller-app-{index:05}"))?;
            let boot = Boot(u64::MAX - index as u64);
            let mut holder = Holder::new(boot);
            let actions = holder.listed(now, now, &[]);
            ensure!(actions.is_empty(), "a worker without parts caused actions");
            planner.register_agent(now, &node, boot);
            agents.insert(node, holder);
        }
        Ok(Self { now, planner, agents, pending: VecDeque::new(), usage: Usage::default() })
    }

    /// Calls the planner, measures the time it takes and queues its effects.
    fn time_planner(&mut self, act: impl FnOnce(&mut Coordinator) -> Vec<Effect>) {
        let begin = Instant::now();
        let effects = act(&mut self.planner);
        self.usage.planner += begin.elapsed();
        self.usage.longest = self.usage.longest.max(begin.elapsed());
        self.pending.extend(effects);
    }

    /// Applies the queued effects; commands to the silent agent are lost.
    fn apply_effects(&mut self, silent: Option<&Node>) -> anyhow::Result<()> {
        while let Some(effect) = self.pending.pop_front() {
            match effect {
                Effect::Send { node, command } => self.send(&node, command, silent)?,
                Effect::Record { job, attempt, .. } => {
                    let now = self.now;
                    self.time_planner(|planner| planner.recorded(now, job, attempt, true));
                }
                Effect::Over { job, ending, .. } => anyhow::bail!("job {job}: {ending:?}"),
            }
        }
        Ok(())
    }

    fn send(&mut self, to: &Node, command: Command, silent: Option<&Node>) -> anyhow::Result<()> {
        self.usage.commands += 1;
        self.usage.command_bytes += size(to, Body::Command(command.clone()))?;
        if silent == Some(to) {
            return Ok(());
        }
        let now = self.now;
        let Some(holder) = self.agents.get_mut(to) else {
            return Ok(());
        };
        let mut reports: Vec<Report> = Vec::new();
        let mut queue = VecDeque::from(holder.command(now, command));
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Report(report) => reports.push(report),
                Action::Start { task, .. } => {
                    queue.extend(holder.started(now, task, StartOutcome::Confirmed));
                }
                Action::Renew { .. } | Action::Stop { .. } => {}
            }
        }
        for report in reports {
            self.usage.reports += 1;
            self.usage.report_bytes += size(to, Body::Report(report.clone()))?;
            self.time_planner(|planner| planner.report(now, to, &report));
        }
        Ok(())
    }

    fn step(&mut self, silent: Option<&Node>) -> anyhow::Result<()> {
        self.now = self.now + TICK_INTERVAL;
        let now = self.now;
        for holder in self.agents.values_mut() {
            let running = |held: Holding| ListedTask {
                task: held.task,
                mask: held.mask,
                state: State::Running,
            };
            let list: Vec<ListedTask> = holder.holdings().into_iter().map(running).collect();
            holder.listed(now, now, &list);
        }
        self.time_planner(|planner| planner.tick(now));
        self.apply_effects(silent)
    }
}

fn size(node: &Node, body: Body) -> anyhow::Result<usize> {
    let frame =
        Frame { node: node.clone(), boot: Boot(u64::MAX), sequence: Sequence(1 << 40), body };
    Ok(wire::encode(&frame, wire::MAX_DATAGRAM_BYTES)?.len())
}
