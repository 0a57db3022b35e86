//! Command `run`: an open-loop load against a system on loopback, with faults injected at given
//! times.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use lexopt::ValueExt;
use lexopt::prelude::Long;
use persimmondrift::adapter::caller::{CLASS_HEADER, OUTCOME_HEADER};
use persimmondrift::settings::measure::Span;
use persimmondrift::unit::Region;
use standin::fault::{Fault, Switch};

use crate::arrival::{self, Pattern};
use crate::bench::{Cluster, Layout};
use crate::plot;
use crate::result::{Sample, Table};

/// Threads that send requests; each has one request in flight.
const MAX_IN_FLIGHT: usize = 256;
/// Time after which the client gives up a request.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the agents to announce themselves to the entries before the load starts.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Classes in rotation: one urgent and one batch request for two interactive ones.
const CLASSES: [&str; 4] = ["interactive", "urgent", "interactive", "batch"];
/// Methods in rotation: a GET may be retried, a POST runs at most once.
const METHODS: [&str; 3] = ["GET", "GET", "POST"];

/// Parameters of a run, from the command line.
#[derive(Debug)]
struct Options {
    pattern: Pattern,
    rate: f64,
    length: Duration,
    seed: u64,
    service_time: Duration,
    entries: usize,
    workers: usize,
    faults: Vec<ScheduledFault>,
    out: PathBuf,
}

/// A fault that is active between two points of the run.
#[derive(Debug, Clone)]
struct ScheduledFault {
    component: Component,
    fault: Fault,
    begin: Duration,
    end: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Component {
    Table,
    Target(usize),
}

impl FromStr for ScheduledFault {
    type Err = anyhow::Error;

    /// Parses a fault such as `table:refuse@2s-4s` or `target0:delay@1s-3s`.
    fn from_str(text: &str) -> anyhow::Result<Self> {
        let parts = text
            .split_once(':')
            .and_then(|(component, rest)| Some((component, rest.split_once('@')?)));
        let usage = "write a fault like table:refuse@2s-4s or target0:delay@1s-3s";
        let (component, (fault, times)) = parts.context(usage)?;
        let (begin, end) = times.split_once('-').context(usage)?;
        let component = match component.strip_prefix("target") {
            Some(index) => Component::Target(index.parse().context(usage)?),
            None if component == "table" => Component::Table,
            None => bail!("{usage}"),
        };
        let fault = match fault {
            "refuse" => Fault::Refuse,
            "fail" => Fault::Fail,
            "lose-answer" => Fault::LoseAnswer,
            "pause" => Fault::Pause,
            "delay" => Fault::Delay(Duration::from_millis(500)),
            other => bail!("unknown fault `{other}`; {usage}"),
        };
        Ok(Self { component, fault, begin: begin.parse::<Span>()?.0, end: end.parse::<Span>()?.0 })
    }
}

/// Runs the load described by the arguments and writes its results as CSV and SVG files.
///
/// # Errors
///
/// Returns an error if an argument is invalid, the system does not start or a file cannot be
/// written.
pub fn run(parser: &mut lexopt::Parser) -> anyhow::Result<()> {
    let options = read(parser)?;
    let layout = Layout {
        service: "taller-app".parse()?,
        regions: vec![Region::try_from("sac-a")?],
        entries: options.entries,
        workers: options.workers,
        service_time: options.service_time,
    };
    disable_log();
    let cluster = Cluster::start(&layout)?;
    thread::sleep(SETTLE_TIME);
    let samples = send_load(&options, &cluster);
    cluster.stop();
    let table = Table::new(&samples, options.length);
    fs::create_dir_all(&options.out)?;
    table.write(&options.out.join("seconds.csv"), &options.out.join("classes.csv"))?;
    plot::latency(&table, &options.out.join("latency.svg"))?;
    print!("{table}");
    println!("written to {}", options.out.display());
    Ok(())
}

/// Turns off the log, whose lines would be mixed with the printed results.
fn disable_log() {
    let process = persimmondrift::settings::Process {
        log_level: persimmondrift::settings::Level::Off,
        ..Default::default()
    };
    let _ = persimmondrift::log::open(&process);
}

fn read(parser: &mut lexopt::Parser) -> anyhow::Result<Options> {
    let mut options = Options {
        pattern: Pattern::Steady,
        rate: 200.0,
        length: Duration::from_secs(10),
        seed: 1,
        service_time: Duration::from_millis(20),
        entries: 2,
        workers: 3,
        faults: Vec::new(),
        out: PathBuf::from("run"),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Long("pattern") => options.pattern = parser.value()?.parse()?,
            Long("rate") => options.rate = parser.value()?.parse()?,
            Long("length") => options.length = parser.value()?.parse::<Span>()?.0,
            Long("seed") => options.seed = parser.value()?.parse()?,
            Long("service-time") => options.service_time = parser.value()?.parse::<Span>()?.0,
            Long("entries") => options.entries = parser.value()?.parse()?,
            Long("workers") => options.workers = parser.value()?.parse()?,
            Long("fault") => options.faults.push(parser.value()?.string()?.parse()?),
            Long("out") => options.out = parser.value()?.into(),
            other => bail!("{}; see --help", other.unexpected()),
        }
    }
    if !(1.0..=5_000.0).contains(&options.rate) || options.entries == 0 || options.workers == 0 {
        bail!("--rate must be 1 to 5000 a second, --entries and --workers at least 1");
    }
    Ok(options)
}

fn send_load(options: &Options, cluster: &Cluster) -> Vec<Sample> {
    let times = arrival::times(options.pattern, options.rate, options.length, options.seed);
    let entries: Vec<SocketAddr> =
        cluster.entries.iter().map(persimmondrift::entry::Handle::callers).collect();
    let (sender, queue) = mpsc::channel::<(usize, Duration)>();
    let queue = std::sync::Mutex::new(queue);
    let (done, samples) = mpsc::channel();
    let begin = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| apply_faults(&options.faults, cluster, begin));
        for _ in 0..MAX_IN_FLIGHT {
            let done = done.clone();
            let (queue, entries) = (&queue, &entries);
            scope.spawn(move || {
                let client = client();
                loop {
                    let received = queue.lock().ok().and_then(|queue| queue.recv().ok());
                    let Some((index, at)) = received else {
                        return;
                    };
                    let entry = entries[index % entries.len()];
                    let sample = send(&client, entry, index, at, begin);
                    let _ = done.send(sample);
                }
            });
        }
        for (index, at) in times.into_iter().enumerate() {
            thread::sleep(at.saturating_sub(begin.elapsed()));
            let _ = sender.send((index, at));
        }
        drop(sender);
    });
    drop(done);
    samples.into_iter().collect()
}

fn client() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .build();
    ureq::Agent::new_with_config(config)
}

fn send(
    client: &ureq::Agent,
    entry: SocketAddr,
    index: usize,
    at: Duration,
    begin: Instant,
) -> Sample {
    let url = format!("http://{entry}/taller-app/run?id={index}");
    let class = CLASSES[index % CLASSES.len()];
    let method = METHODS[index % METHODS.len()];
    let sent = if method == "GET" {
        client.get(&url).header(CLASS_HEADER, class).call()
    } else {
        client.post(&url).header(CLASS_HEADER, class).send("order")
    };
    let outcome = sent.ok().and_then(|mut response| {
        let outcome = response.headers().get(OUTCOME_HEADER)?.to_str().ok()?.to_owned();
        // A request counts as answered only if the complete body is received.
        response.body_mut().read_to_vec().ok()?;
        Some(outcome)
    });
    // Measured from the planned arrival, so that the wait for a free sender is included.
    let latency = begin.elapsed().saturating_sub(at);
    Sample {
        at,
        latency,
        class,
        method,
        outcome: outcome.unwrap_or_else(|| "no-answer".to_owned()),
    }
}

/// Sets and clears the faults at their times.
fn apply_faults(faults: &[ScheduledFault], cluster: &Cluster, begin: Instant) {
    let mut steps: Vec<(Duration, Component, Option<Fault>)> = Vec::new();
    for scheduled in faults {
        steps.push((scheduled.begin, scheduled.component, Some(scheduled.fault)));
        steps.push((scheduled.end, scheduled.component, None));
    }
    steps.sort_by_key(|step| step.0);
    for (at, component, fault) in steps {
        thread::sleep(at.saturating_sub(begin.elapsed()));
        let switch: Option<&Switch> = match component {
            Component::Table => Some(&cluster.table.switch),
            Component::Target(index) => {
                cluster.machines.get(index).map(|machine| &machine.target.switch)
            }
        };
        if let Some(switch) = switch {
            switch.set(fault);
        }
    }
}
