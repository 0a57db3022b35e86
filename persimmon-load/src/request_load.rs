//! Experiments with requests: latency added, overload, failing targets, regions, leaving.

use std::net::SocketAddr;
use std::sync::RwLock;
use std::thread;
use std::time::Duration;

use anyhow::{Context, bail};
use persimmondrift::entry;
use persimmondrift::unit::Region;
use standin::fault::Fault;

use crate::arrivals::{self, Load, Sample, Way, latencies, millis_at};
use crate::bench::{Bench, CAPACITY, Layout};
use crate::{request_faults, route_cost};

/// The service of all experiments.
pub const SERVICE: &str = "taller-app";
/// Time that a request takes at its target.
const SERVICE_TIME: Duration = Duration::from_millis(50);
/// Targets of all experiments.
pub const TARGETS: usize = 11;
/// Entries of all experiments.
pub const ENTRIES: usize = 3;
/// Time after the start in which agents and entries find each other, and after which no
/// target starts slowly any more.
const WARM_UP: Duration = Duration::from_secs(11);
/// The classes of a mixed load.
const MIXED: [(&str, u64); 3] = [("urgent", 10), ("interactive", 60), ("batch", 30)];

type Experiment = fn() -> anyhow::Result<()>;

/// Runs the experiment that the command line names, or all.
///
/// # Errors
///
/// Returns the error of the command line or of the first experiment that does not hold.
pub fn run_named(parser: &mut lexopt::Parser) -> anyhow::Result<()> {
    let name = match parser.next()? {
        None => "all".to_owned(),
        Some(lexopt::Arg::Value(name)) => name.to_string_lossy().into_owned(),
        Some(other) => bail!("{}; see --help", other.unexpected()),
    };
    // Log lines would hide the results.
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    run(&name)
}

/// Runs an experiment by its name, or all.
///
/// # Errors
///
/// Returns the error of the first experiment that cannot run, or whose checks do not hold.
pub fn run(name: &str) -> anyhow::Result<()> {
    let experiments: [(&str, Experiment); 7] = [
        ("cost", route_cost::run),
        ("added", added),
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
        bail!("no experiment is named {name}");
    }
    Ok(())
}

/// Returns the layout of both deployments: 11 targets and 3 entries in 3 regions.
///
/// # Errors
///
/// Returns an error if a name is malformed.
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

/// Returns the addresses of the entries for callers.
pub fn balancer(bench: &Bench) -> RwLock<Vec<SocketAddr>> {
    RwLock::new(bench.entries.iter().map(entry::Handle::callers).collect())
}

/// Returns the requests a second that so many targets can serve.
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

fn started() -> anyhow::Result<Bench> {
    let bench = Bench::start(&layout(SERVICE_TIME)?)?;
    thread::sleep(WARM_UP);
    Ok(bench)
}

fn all_targets() -> u32 {
    u32::try_from(TARGETS).unwrap_or(u32::MAX)
}

/// Latency added to a direct call at half load.
fn added() -> anyhow::Result<()> {
    let bench = started()?;
    let entries = balancer(&bench);
    let targets: Vec<String> = bench.seats.iter().map(|seat| seat.target.url()).collect();
    let half = load(capacity(all_targets()) / 2.0, 6, 1);
    println!("added: {:.0} requests/s, service time {SERVICE_TIME:?}", half.rate);
    for round in 0..3 {
        let direct = arrivals::send(&half, &Way::Targets(&targets), SERVICE);
        let routed = arrivals::send(&half, &Way::Entries(&entries), SERVICE);
        let (direct, routed) = (latencies(direct.iter())?, latencies(routed.iter())?);
        let [p50, p99] = [0.5, 0.99].map(|q| (millis_at(&direct, q), millis_at(&routed, q)));
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
    bench.stop();
    Ok(())
}

/// Goodput and latency of urgent requests at twice the capacity.
fn overload() -> anyhow::Result<()> {
    let bench = started()?;
    let entries = balancer(&bench);
    let full = capacity(all_targets());
    for (name, factor) in [("half load", 0.5), ("twice the capacity", 2.0)] {
        let mixed = Load { classes: MIXED.to_vec(), ..load(full * factor, 10, 2) };
        let samples = arrivals::send(&mixed, &Way::Entries(&entries), SERVICE);
        println!("overload: {name}, {:.0} requests/s of {full:.0}", mixed.rate);
        tell_goodput(&samples, full, Duration::from_secs(2), Duration::from_secs(10));
        for (class, _) in MIXED {
            tell_class(&samples, class)?;
        }
    }
    bench.stop();
    Ok(())
}

/// Prints the good answers to requests that arrived in a span, against a bound.
fn tell_goodput(samples: &[Sample], bound: f64, from: Duration, to: Duration) {
    // Ends, not arrivals, are counted: what waits at the end of the span is not lost.
    let within = |sample: &&Sample| {
        let end = sample.arrival + sample.latency;
        sample.is_good() && end >= from && end < to
    };
    let good = u32::try_from(samples.iter().filter(within).count()).unwrap_or(u32::MAX);
    let rate = f64::from(good) / to.saturating_sub(from).as_secs_f64();
    println!("  goodput {rate:.0}/s, {:.1}% of {bound:.0}/s", 100.0 * rate / bound);
}

fn tell_class(samples: &[Sample], class: &str) -> anyhow::Result<()> {
    let of_class: Vec<&Sample> = samples.iter().filter(|sample| sample.class == class).collect();
    let good = latencies(of_class.iter().copied().filter(|sample| sample.is_good()))?;
    let bad = latencies(of_class.iter().copied().filter(|sample| !sample.is_good()))?;
    println!(
        "  {class}: {} sent, {} good, p50 {:.1} p99 {:.1} ms; {} not, told p50 {:.1} p99 {:.1} ms; {}",
        of_class.len(),
        good.len(),
        millis_at(&good, 0.5),
        millis_at(&good, 0.99),
        bad.len(),
        millis_at(&bad, 0.5),
        millis_at(&bad, 0.99),
        outcomes(of_class.iter().copied())
    );
    Ok(())
}

/// Returns how often each outcome was told.
pub fn outcomes<'a>(samples: impl Iterator<Item = &'a Sample>) -> String {
    let mut counts = std::collections::BTreeMap::new();
    for sample in samples {
        *counts.entry(sample.outcome()).or_insert(0) += 1;
    }
    let words: Vec<String> = counts.iter().map(|(word, count)| format!("{word} {count}")).collect();
    words.join(", ")
}

/// Goodput while one target fails everything and another is ten times slower.
fn failing() -> anyhow::Result<()> {
    let bench = started()?;
    let entries = balancer(&bench);
    bench.seats[0].target.switch.set(Some(Fault::Fail));
    bench.seats[4].target.switch.set(Some(Fault::Delay(SERVICE_TIME * 9)));
    let healthy = capacity(all_targets() - 2);
    for factor in [0.9, 1.2] {
        let sent = load(healthy * factor, 12, 3);
        let samples = arrivals::send(&sent, &Way::Entries(&entries), SERVICE);
        println!("failing: {:.0} requests/s offered, healthy nine {healthy:.0}/s", sent.rate);
        let bound = healthy.min(sent.rate);
        tell_goodput(&samples, bound, Duration::from_secs(5), Duration::from_secs(12));
        tell_class(&samples, "interactive")?;
    }
    bench.stop();
    Ok(())
}

/// Share of requests that cross regions, with and without room in the own region.
fn regions() -> anyhow::Result<()> {
    let bench = started()?;
    let entry = RwLock::new(vec![bench.entries[1].callers()]);
    // The region of entry 1 has three targets.
    let own = capacity(3);
    for (factor, seed) in [(0.5, 41), (0.8, 42), (1.5, 43), (2.5, 44)] {
        let sent = load(own * factor, 6, seed);
        let samples = arrivals::send(&sent, &Way::Entries(&entry), SERVICE);
        let mut crossed = 0;
        let mut ran = 0;
        for (index, seat) in bench.seats.iter().enumerate() {
            let here = seat.target.run_counts();
            let count = here.keys().filter(|id| id.starts_with(&sent.prefix)).count();
            ran += count;
            crossed += if (3..6).contains(&index) { 0 } else { count };
        }
        println!("regions: {factor} of the own region's capacity: {crossed} of {ran} crossed");
        tell_class(&samples, "interactive")?;
    }
    bench.stop();
    Ok(())
}

/// Last new work of a target that leaves, and planned stops with 500 requests in flight.
fn leaving() -> anyhow::Result<()> {
    let mut bench = started()?;
    let entries = balancer(&bench);
    let sent = load(capacity(all_targets()) * 0.5, 8, 5);
    let target = &bench.seats[2].target;
    let counts = thread::scope(|scope| {
        let run = scope.spawn(|| arrivals::send(&sent, &Way::Entries(&entries), SERVICE));
        thread::sleep(Duration::from_secs(3));
        bench.seats[2].agent.leave();
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
    let (at_leave, after, told) = counts;
    println!(
        "leaving: calls at the target: {at_leave} at the start, then each second {after:?}; {told}"
    );
    stop_with_many(&mut bench, &entries);
    bench.stop();
    Ok(())
}

fn stop_with_many(bench: &mut Bench, entries: &RwLock<Vec<SocketAddr>>) {
    // Slower targets keep more than 500 requests in flight.
    for seat in &bench.seats {
        seat.target.switch.set(Some(Fault::Delay(Duration::from_millis(950))));
    }
    let burst = Load { timeout: Duration::from_secs(20), ..load(1_100.0, 1, 6) };
    let samples = thread::scope(|scope| {
        let run = scope.spawn(|| arrivals::send(&burst, &Way::Entries(entries), SERVICE));
        thread::sleep(Duration::from_millis(1_100));
        let in_flight: Vec<usize> = bench.entries.iter().map(entry::Handle::in_flight).collect();
        println!("leaving: in flight at the entries: {in_flight:?}");
        let agent = bench.seats.remove(0).agent;
        let entry = bench.entries.remove(0);
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
