//! Measures how long an accepted configuration change takes to be in force at every entry and agent,
//! and the traffic and processor time of the members meanwhile.

use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, bail, ensure};
use hdrhistogram::Histogram;
use persimmondrift::adapter::link::Traffic;
use persimmondrift::config::{Change, Serving};
use persimmondrift::unit::{Region, Version};
use persimmondrift::{agent, entry};

use crate::bench::{Cluster, Layout, agent_settings};
use crate::demo::plan_and_confirm_quietly;

const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the versions of all members are compared.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which a change must be in force everywhere.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for the members to discover each other before the measurement starts.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Parameters of the measurement, from the command line.
#[derive(Debug, Clone)]
struct Options {
    /// Numbers of agents to measure, one after the other.
    agents: Vec<usize>,
    entries: usize,
    changes: u64,
    /// Share of arriving datagrams that each member drops, in thousandths.
    loss: u32,
}

/// Bytes sent and received and processor seconds, in total, or the same per node and second with
/// the processor time in percent.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    sent: f64,
    received: f64,
    cpu: f64,
}

/// The entries of a cluster, and agents without worker and target.
struct System {
    cluster: Cluster,
    agents: Vec<agent::Handle>,
}

/// Runs the measurement for each number of agents and prints a table.
///
/// # Errors
///
/// Returns an error if an argument is invalid or a change is not in force everywhere in time.
pub fn run(arguments: lexopt::Parser) -> anyhow::Result<()> {
    let options = read(arguments)?;
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    println!(
        "| agents | entries | p50 ms | p99 ms | max ms | agent B/s sent, received | agent % of a core | entry B/s sent, received | entry % of a core | table calls/s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for &agents in &options.agents {
        measure(&options, agents)?;
    }
    Ok(())
}

fn read(mut arguments: lexopt::Parser) -> anyhow::Result<Options> {
    let mut options = Options { agents: Vec::new(), entries: 5, changes: 30, loss: 100 };
    while let Some(argument) = arguments.next()? {
        match argument {
            lexopt::Arg::Long("agents") => {
                options.agents.push(arguments.value()?.to_string_lossy().parse()?);
            }
            lexopt::Arg::Long("entries") => {
                options.entries = arguments.value()?.to_string_lossy().parse()?;
            }
            lexopt::Arg::Long("changes") => {
                options.changes = arguments.value()?.to_string_lossy().parse()?;
            }
            lexopt::Arg::Long("loss") => {
                options.loss = arguments.value()?.to_string_lossy().parse()?;
            }
            other => bail!("{}; see --help", other.unexpected()),
        }
    }
    if options.agents.is_empty() {
        options.agents = vec![25, 50, 100, 200];
    }
    Ok(options)
}

fn measure(options: &Options, agents: usize) -> anyhow::Result<()> {
    let system = start(options, agents)?;
    let begin = Instant::now();
    let before = (costs(&system)?, system.cluster.table.switch.calls());
    let mut times = Histogram::<u64>::new(3)?;
    for change in 0..options.changes {
        let send_at = CHANGE_INTERVAL * u32::try_from(change)?;
        thread::sleep(send_at.saturating_sub(begin.elapsed()));
        times.record(u64::try_from(time_change(&system, change)?.as_millis())?)?;
    }
    let seconds = begin.elapsed().as_secs_f64();
    let after = (costs(&system)?, system.cluster.table.switch.calls());
    let cost_per_node = |now: Cost, then: Cost, nodes: usize| {
        let share = seconds * f64::from(u32::try_from(nodes).unwrap_or(u32::MAX));
        Cost {
            sent: (now.sent - then.sent) / share,
            received: (now.received - then.received) / share,
            cpu: 100.0 * (now.cpu - then.cpu) / share,
        }
    };
    let agent = cost_per_node(after.0.0, before.0.0, agents);
    let entry = cost_per_node(after.0.1, before.0.1, options.entries);
    let calls = f64::from(u32::try_from(after.1 - before.1)?) / seconds;
    println!(
        "| {agents} | {} | {} | {} | {} | {:.0}, {:.0} | {:.2} | {:.0}, {:.0} | {:.2} | {calls:.1} |",
        options.entries,
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max(),
        agent.sent,
        agent.received,
        agent.cpu,
        entry.sent,
        entry.received,
        entry.cpu,
    );
    thread::scope(|scope| {
        for agent in system.agents {
            scope.spawn(|| agent.stop());
        }
    });
    system.cluster.stop();
    Ok(())
}

fn start(options: &Options, agents: usize) -> anyhow::Result<System> {
    let layout = Layout {
        service: "taller-app".parse()?,
        regions: vec![Region::try_from("sac-a")?, Region::try_from("xela-a")?],
        entries: options.entries,
        workers: 0,
        service_time: Duration::ZERO,
    };
    let cluster = Cluster::start(&layout)?;
    let known: Vec<_> = cluster.entries.iter().map(entry::Handle::address).collect();
    let mut handles = Vec::new();
    for index in 0..agents {
        let unreachable_url = "http://127.0.0.1:9".to_owned();
        let settings = agent_settings(
            &layout,
            index,
            known.clone(),
            (unreachable_url.clone(), unreachable_url),
        )?;
        handles.push(agent::start(settings).context("starting an agent")?);
    }
    thread::sleep(SETTLE_TIME);
    for entry in &cluster.entries {
        entry.set_loss(options.loss);
    }
    for agent in &handles {
        agent.set_loss(options.loss);
    }
    Ok(System { cluster, agents: handles })
}

/// Confirms a change at one of the entries and returns the time until it is in force everywhere.
fn time_change(system: &System, change: u64) -> anyhow::Result<Duration> {
    let entries = &system.cluster.entries;
    let entry = &entries[usize::try_from(change)? % entries.len()];
    let service = "taller-app".parse()?;
    let serving = Serving { timeout_ms: 1_000 + change };
    let version =
        plan_and_confirm_quietly(entry.operators(), &[Change::PutService { service, serving }])?;
    let accepted = Instant::now();
    while lowest_version(system) < version {
        ensure!(
            accepted.elapsed() < CHANGE_TIMEOUT,
            "version {version} is not in force everywhere after {CHANGE_TIMEOUT:?}"
        );
        thread::sleep(POLL_INTERVAL);
    }
    Ok(accepted.elapsed())
}

fn lowest_version(system: &System) -> Version {
    let entries = system.cluster.entries.iter().map(entry::Handle::version);
    let agents = system.agents.iter().map(agent::Handle::version);
    entries.chain(agents).min().unwrap_or_default()
}

/// Returns the totals of all agents and of all entries since their start.
fn costs(system: &System) -> anyhow::Result<(Cost, Cost)> {
    let mut agents = Cost { cpu: cpu_seconds("taller-app")?, ..Cost::default() };
    let mut entries = Cost { cpu: cpu_seconds("entry-")?, ..Cost::default() };
    let add = |cost: &mut Cost, traffic: Traffic| {
        cost.sent += f64::from(u32::try_from(traffic.sent.0).unwrap_or(u32::MAX));
        cost.received += f64::from(u32::try_from(traffic.received.0).unwrap_or(u32::MAX));
    };
    system.agents.iter().for_each(|agent| add(&mut agents, agent.traffic()));
    system.cluster.entries.iter().for_each(|entry| add(&mut entries, entry.traffic()));
    Ok((agents, entries))
}

/// Returns the processor seconds of the threads whose name starts with `name`.
fn cpu_seconds(name: &str) -> anyhow::Result<f64> {
    let mut nanoseconds = 0.0;
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        let Ok(thread) = fs::read_to_string(path.join("comm")) else {
            continue;
        };
        if !thread.starts_with(name) {
            continue;
        }
        let times = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let ran = times.split(' ').next().unwrap_or_default();
        nanoseconds += ran.parse::<f64>().unwrap_or_default();
    }
    Ok(nanoseconds / 1e9)
}
