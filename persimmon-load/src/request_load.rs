//! Experiments with routed requests: added latency, overload, failing targets, traffic between
//! regions, and members that leave.

use std::net::SocketAddr;
use std::sync::RwLock;
use std::thread;
use std::time::Duration;

use anyhow::{Context, bail};
use persimmondrift::entry;
use persimmondrift::unit::Region;
use standin::fault::Fault;

use crate::arrivals::{self, Destination, Load, Sample, latencies, quantile_ms};
use crate::bench::{CAPACITY, Cluster, Layout};
use crate::{request_faults, route_cost};

/// Service that the requests of all experiments address.
pub const SERVICE: &str = "taller-app";
/// Time a target takes to serve a request.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Number of targets in all experiments.
pub const TARGETS: usize = 11;
/// Number of entries in all experiments.
pub const ENTRIES: usize = 3;
/// Time in which agents and entries discover each other and the slow start of the targets (10 s)
/// ends.
const WARM_UP_TIME: Duration = Duration::from_secs(11);
/// Classes of a mixed load, with their shares in percent.
const MIXED_CLASSES: [(&str, u64); 3] = [("urgent", 10), ("interactive", 60), ("batch", 30)];

type Experiment = fn() -> anyhow::Result<()>;

/// Runs the experiment named on the command line, or all of them.
///
/// # Errors
///
/// Returns an error if an argument is invalid, or that of the first experiment that fails.
pub fn run_named(parser: &mut lexopt::Parser) -> anyhow::Result<()> {
    let name = match parser.next()? {
        None => "all".to_owned(),
        Some(lexopt::Arg::Value(name)) => name.to_string_lossy().into_owned(),
        Some(other) => bail!("{}; see --help", other.unexpected()),
    };
    // Log lines would be mixed with the printed results.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    run(&name)
}

/// Runs the experiment with the given name, or all of them if it is `all`.
///
/// # Errors
///
/// Returns an error if there is no such experiment, or that of the first experiment that fails.
pub fn run(name: &str) -> anyhow::Result<()> {
    let experiments: [(&str, Experiment); 7] = [
        ("cost", route_cost::run),
        ("added", added_latency),
        ("overload", overload),
        ("failing", failing),
        ("regions", regions),
        ("leaving", leaving),
        ("faults", request_faults::run),
    ];
    let mut found = false;
    for (other, experiment) in experiments {
        if name == "all" || name == other {
            found = true;
            experiment().with_context(|| other.to_owned())?;
        }
    }
    if !found {
        bail!("unknown experiment `{name}`");
    }
    Ok(())
}

/// Returns the layout of both deployments: 11 targets and 3 entries in 3 regions.
///
/// # Errors
///
/// Returns an error if a service or region name is malformed.
pub fn layout(service_time: Duration) -> anyhow::Result<Layout> {
    let regions = ["sac-a", "xela-a", "flores-a"].map(Region::try_from);
    Ok(Layout {
        service: SERVICE.parse()?,
        regions: regions.into_iter().collect::<Result<_, _>>()?,
        entries: ENTRIES,
        workers: TARGETS,
        service_time,
    })
}

/// Returns the addresses at which the entries accept requests of callers.
pub fn caller_addresses(cluster: &Cluster) -> RwLock<Vec<SocketAddr>> {
    RwLock::new(cluster.entries.iter().map(entry::Handle::callers).collect())
}

/// Returns the number of requests per second that a number of targets can serve.
fn capacity(targets: u32) -> f64 {
    f64::from(targets * CAPACITY.slots.0) / SERVICE_TIME.as_secs_f64()
}

fn load(rate: f64, seconds: u64, seed: u64) -> Load {
    Load {
        rate,
        length: Duration::from_secs(seconds),
        classes: vec![("interactive", 100)],
        timeout: Duration::from_secs(1),
        body: 200,
        prefix: format!("r{seed}"),
        seed,
    }
}

fn start_cluster() -> anyhow::Result<Cluster> {
    let cluster = Cluster::start(&layout(SERVICE_TIME)?)?;
    thread::sleep(WARM_UP_TIME);
    Ok(cluster)
}

fn all_targets() -> u32 {
    u32::try_from(TARGETS).unwrap_or(u32::MAX)
}

/// Measures the latency that routing adds to a direct call, at half load.
fn added_latency() -> anyhow::Result<()> {
    let cluster = start_cluster()?;
    let entries = caller_addresses(&cluster);
    let targets: Vec<String> =
        cluster.machines.iter().map(|machine| machine.target.url()).collect();
    let half = load(capacity(all_targets()) / 2.0, 6, 1);
    println!("added: {:.0} requests/s, service time {SERVICE_TIME:?}", half.rate);
    for round in 0..3 {
        let direct = arrivals::send(&half, &Destination::Targets(&targets), SERVICE);
        let routed = arrivals::send(&half, &Destination::Entries(&entries), SERVICE);
        let (direct, routed) = (latencies(direct.iter())?, latencies(routed.iter())?);
        let [p50, p99] = [0.5, 0.99].map(|q| (quantile_ms(&direct, q), quantile_ms(&routed, q)));
        println!(
            "  round {round}: direct p50 {:.2} p99 {:.2} ms, routed p50 {:.2} p99 {:.2} ms, added p50 {:.2} p99 {:.2} ms",
            p50.0,
            p99.0,
            p50.1,
            p99.1,
            p50.1 - p50.0,
            p99.1 - p99.0
        );
    }
    cluster.stop();
    Ok(())
}

/// Measures goodput and latency by class, at half load and at twice the capacity.
fn overload() -> anyhow::Result<()> {
    let cluster = start_cluster()?;
    let entries = caller_addresses(&cluster);
    let full = capacity(all_targets());
    for (name, factor) in [("half load", 0.5), ("twice the capacity", 2.0)] {
        let mixed = Load { classes: MIXED_CLASSES.to_vec(), ..load(full * factor, 10, 2) };
        let samples = arrivals::send(&mixed, &Destination::Entries(&entries), SERVICE);
        println!("overload: {name}, {:.0} requests/s of {full:.0}", mixed.rate);
        print_goodput(&samples, full, Duration::from_secs(2), Duration::from_secs(10));
        for (class, _) in MIXED_CLASSES {
            print_class(&samples, class)?;
        }
    }
    cluster.stop();
    Ok(())
}

/// Prints the rate of successful responses within a time span, and its ratio to a bound.
fn print_goodput(samples: &[Sample], bound: f64, from: Duration, to: Duration) {
    // Responses are counted by their end, so that requests queued at the end of the span do not
    // lower the rate.
    let within = |sample: &&Sample| {
        let end = sample.arrival + sample.latency;
        sample.is_good() && end >= from && end < to
    };
    let good = u32::try_from(samples.iter().filter(within).count()).unwrap_or(u32::MAX);
    let rate = f64::from(good) / to.saturating_sub(from).as_secs_f64();
    println!("  goodput {rate:.0}/s, {:.1}% of {bound:.0}/s", 100.0 * rate / bound);
}

fn print_class(samples: &[Sample], class: &str) -> anyhow::Result<()> {
    let of_class: Vec<&Sample> = samples.iter().filter(|sample| sample.class == class).collect();
    let good = latencies(of_class.iter().copied().filter(|sample| sample.is_good()))?;
    let bad = latencies(of_class.iter().copied().filter(|sample| !sample.is_good()))?;
    println!(
        "  {class}: {} sent, {} good, p50 {:.1} p99 {:.1} ms; {} not, told p50 {:.1} p99 {:.1} ms; {}",
        of_class.len(),
        good.len(),
        quantile_ms(&good, 0.5),
        quantile_ms(&good, 0.99),
        bad.len(),
        quantile_ms(&bad, 0.5),
        quantile_ms(&bad, 0.99),
        outcomes(of_class.iter().copied())
    );
    Ok(())
}

/// Returns the number of samples by outcome, as text.
pub fn outcomes<'a>(samples: impl Iterator<Item = &'a Sample>) -> String {
    let mut counts = std::collections::BTreeMap::new();
    for sample in samples {
        *counts.entry(sample.outcome()).or_insert(0) += 1;
    }
    let words: Vec<String> = counts.iter().map(|(word, count)| format!("{word} {count}")).collect();
    words.join(", ")
}

/// Measures goodput while one target fails all requests and another is ten times slower.
fn failing() -> anyhow::Result<()> {
    let cluster = start_cluster()?;
    let entries = caller_addresses(&cluster);
    cluster.machines[0].target.switch.set(Some(Fault::Fail));
    cluster.machines[4].target.switch.set(Some(Fault::Delay(SERVICE_TIME * 9)));
    let healthy = capacity(all_targets() - 2);
    for factor in [0.9, 1.2] {
        let sent = load(healthy * factor, 12, 3);
        let samples = arrivals::send(&sent, &Destination::Entries(&entries), SERVICE);
        println!("failing: {:.0} requests/s offered, healthy nine {healthy:.0}/s", sent.rate);
        let bound = healthy.min(sent.rate);
        print_goodput(&samples, bound, Duration::from_secs(5), Duration::from_secs(12));
        print_class(&samples, "interactive")?;
    }
    cluster.stop();
    Ok(())
}

/// Measures how many requests leave the entry's region, below and above the region's capacity.
fn regions() -> anyhow::Result<()> {
    let cluster = start_cluster()?;
    let entry = RwLock::new(vec![cluster.entries[1].callers()]);
    // The region of entry 1 has three targets.
    let own = capacity(3);
    for (factor, seed) in [(0.5, 41), (0.8, 42), (1.5, 43), (2.5, 44)] {
        let sent = load(own * factor, 6, seed);
        let samples = arrivals::send(&sent, &Destination::Entries(&entry), SERVICE);
        let mut crossed = 0;
        let mut ran = 0;
        for (index, machine) in cluster.machines.iter().enumerate() {
            let here = machine.target.run_counts();
            let count = here.keys().filter(|id| id.starts_with(&sent.prefix)).count();
            ran += count;
            crossed += if (3..6).contains(&index) { 0 } else { count };
        }
        println!("regions: {factor} of the own region's capacity: {crossed} of {ran} crossed");
        print_class(&samples, "interactive")?;
    }
    cluster.stop();
    Ok(())
}

/// Counts the calls that still reach a target after its agent leaves, and stops an agent and an
/// entry with more than 500 requests in flight.
fn leaving() -> anyhow::Result<()> {
    let mut cluster = start_cluster()?;
    let entries = caller_addresses(&cluster);
    let sent = load(capacity(all_targets()) * 0.5, 8, 5);
    let target = &cluster.machines[2].target;
    let counts = thread::scope(|scope| {
        let run = scope.spawn(|| arrivals::send(&sent, &Destination::Entries(&entries), SERVICE));
        thread::sleep(Duration::from_secs(3));
        cluster.machines[2].agent.leave();
        let at_leave = target.switch.calls();
        let after: Vec<u64> = (0..3)
            .map(|_| {
                thread::sleep(Duration::from_secs(1));
                target.switch.calls()
            })
            .collect();
        let samples = run.join().unwrap_or_default();
        (at_leave, after, outcomes(samples.iter()))
    });
    let (at_leave, after, outcome_counts) = counts;
    println!(
        "leaving: calls at the target: {at_leave} at the start, then each second {after:?}; {outcome_counts}"
    );
    stop_with_requests_in_flight(&mut cluster, &entries);
    cluster.stop();
    Ok(())
}

fn stop_with_requests_in_flight(cluster: &mut Cluster, entries: &RwLock<Vec<SocketAddr>>) {
    // Slow targets, so that more than 500 requests are in flight.
    for machine in &cluster.machines {
        machine.target.switch.set(Some(Fault::Delay(Duration::from_millis(950))));
    }
    let burst = Load { timeout: Duration::from_secs(20), ..load(1_100.0, 1, 6) };
    let samples = thread::scope(|scope| {
        let run = scope.spawn(|| arrivals::send(&burst, &Destination::Entries(entries), SERVICE));
        thread::sleep(Duration::from_millis(1_100));
        let in_flight: Vec<usize> = cluster.entries.iter().map(entry::Handle::in_flight).collect();
        println!("leaving: in flight at the entries: {in_flight:?}");
        let agent = cluster.machines.remove(0).agent;
        let entry = cluster.entries.remove(0);
        entry.leave();
        scope.spawn(|| agent.drain(Duration::from_secs(30)));
        scope.spawn(|| entry.stop());
        run.join().unwrap_or_default()
    });
    println!(
        "leaving: an agent and an entry stopped: {} sent, {}",
        samples.len(),
        outcomes(samples.iter())
    );
}
