//! An open-loop run against a system on loopback, with faults switched on at set times.

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
use crate::bench::{Bench, Layout};
use crate::plot;
use crate::result::{Sample, Table};

/// Threads that send: the most requests that are in flight at once.
const SENDERS: usize = 256;
/// Time given to one request.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time given to the targets to announce themselves.
const SETTLE: Duration = Duration::from_secs(2);
/// Classes in turn: one urgent and one batch request for two interactive ones.
const CLASSES: [&str; 4] = ["interactive", "urgent", "interactive", "batch"];
/// Kinds in turn: reads may be repeated, orders run once at most.
const KINDS: [&str; 3] = ["GET", "GET", "POST"];

/// A run, as the arguments state it.
#[derive(Debug)]
struct Plan {
    pattern: Pattern,
    rate: f64,
    length: Duration,
    seed: u64,
    service_time: Duration,
    entries: usize,
    workers: usize,
    faults: Vec<Planned>,
    out: PathBuf,
}

/// A fault between two points of the run.
#[derive(Debug, Clone)]
struct Planned {
    of: Part,
    fault: Fault,
    begin: Duration,
    end: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Table,
    Target(usize),
}

impl FromStr for Planned {
    type Err = anyhow::Error;

    /// Reads `table:refuse@2s-4s` or `target0:delay@1s-3s`.
    fn from_str(text: &str) -> anyhow::Result<Self> {
        let parts = text.split_once(':').and_then(|(of, rest)| Some((of, rest.split_once('@')?)));
        let form = "write a fault like table:refuse@2s-4s or target0:delay@1s-3s";
        let (of, (fault, times)) = parts.context(form)?;
        let (begin, end) = times.split_once('-').context(form)?;
        let of = match of.strip_prefix("target") {
            Some(index) => Part::Target(index.parse().context(form)?),
            None if of == "table" => Part::Table,
            None => bail!("{form}"),
        };
        let fault = match fault {
            "refuse" => Fault::Refuse,
            "fail" => Fault::Fail,
            "lose-answer" => Fault::LoseAnswer,
            "pause" => Fault::Pause,
            "delay" => Fault::Delay(Duration::from_millis(500)),
            other => bail!("`{other}` is no fault; {form}"),
        };
        Ok(Self { of, fault, begin: begin.parse::<Span>()?.0, end: end.parse::<Span>()?.0 })
    }
}

/// Runs the load that the arguments state, and writes its CSV and SVG files.
///
/// # Errors
///
/// Returns an error if the arguments are wrong, the system does not start or a file cannot be
/// written.
pub fn run(parser: &mut lexopt::Parser) -> anyhow::Result<()> {
    let plan = read(parser)?;
    let layout = Layout {
        service: "taller-app".parse()?,
        regions: vec![Region::try_from("sac-a")?],
        entries: plan.entries,
        workers: plan.workers,
        service_time: plan.service_time,
    };
    spdlog_off();
    let bench = Bench::start(&layout)?;
    thread::sleep(SETTLE);
    let samples = drive(&plan, &bench);
    bench.stop();
    let table = Table::new(&samples, plan.length);
    fs::create_dir_all(&plan.out)?;
    table.write(&plan.out.join("seconds.csv"), &plan.out.join("classes.csv"))?;
    plot::latency(&table, &plan.out.join("latency.svg"))?;
    print!("{table}");
    println!("written to {}", plan.out.display());
    Ok(())
}

/// Turns off the log, whose lines would come between the results.
fn spdlog_off() {
    let process = persimmondrift::settings::Process {
        log_level: persimmondrift::settings::Level::Off,
        ..Default::default()
    };
    let _ = persimmondrift::log::open(&process);
}

fn read(parser: &mut lexopt::Parser) -> anyhow::Result<Plan> {
    let mut plan = Plan {
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
            Long("pattern") => plan.pattern = parser.value()?.parse()?,
            Long("rate") => plan.rate = parser.value()?.parse()?,
            Long("length") => plan.length = parser.value()?.parse::<Span>()?.0,
            Long("seed") => plan.seed = parser.value()?.parse()?,
            Long("service-time") => plan.service_time = parser.value()?.parse::<Span>()?.0,
            Long("entries") => plan.entries = parser.value()?.parse()?,
            Long("workers") => plan.workers = parser.value()?.parse()?,
            Long("fault") => plan.faults.push(parser.value()?.string()?.parse()?),
            Long("out") => plan.out = parser.value()?.into(),
            other => bail!("{}; see --help", other.unexpected()),
        }
    }
    if !(1.0..=5_000.0).contains(&plan.rate) || plan.entries == 0 || plan.workers == 0 {
        bail!("--rate must be 1 to 5000 a second, --entries and --workers at least 1");
    }
    Ok(plan)
}

fn drive(plan: &Plan, bench: &Bench) -> Vec<Sample> {
    let times = arrival::times(plan.pattern, plan.rate, plan.length, plan.seed);
    let entries: Vec<SocketAddr> =
        bench.entries.iter().map(persimmondrift::entry::Handle::callers).collect();
    let (work, orders) = mpsc::channel::<(usize, Duration)>();
    let orders = std::sync::Mutex::new(orders);
    let (done, samples) = mpsc::channel();
    let begin = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| switch(&plan.faults, bench, begin));
        for _ in 0..SENDERS {
            let done = done.clone();
            let (orders, entries) = (&orders, &entries);
            scope.spawn(move || {
                let client = client();
                loop {
                    let order = orders.lock().ok().and_then(|orders| orders.recv().ok());
                    let Some((index, at)) = order else {
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
            let _ = work.send((index, at));
        }
        drop(work);
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
    let kind = KINDS[index % KINDS.len()];
    let sent = if kind == "GET" {
        client.get(&url).header(CLASS_HEADER, class).call()
    } else {
        client.post(&url).header(CLASS_HEADER, class).send("order")
    };
    let outcome = sent.ok().and_then(|mut response| {
        let outcome = response.headers().get(OUTCOME_HEADER)?.to_str().ok()?.to_owned();
        // The whole answer counts, so its body is read as well.
        response.body_mut().read_to_vec().ok()?;
        Some(outcome)
    });
    // From the planned arrival, so that waiting for a sender counts as well.
    let latency = begin.elapsed().saturating_sub(at);
    Sample { at, latency, class, kind, outcome: outcome.unwrap_or_else(|| "no-answer".to_owned()) }
}

/// Switches faults on and off at their times.
fn switch(faults: &[Planned], bench: &Bench, begin: Instant) {
    let mut steps: Vec<(Duration, Part, Option<Fault>)> = Vec::new();
    for planned in faults {
        steps.push((planned.begin, planned.of, Some(planned.fault)));
        steps.push((planned.end, planned.of, None));
    }
    steps.sort_by_key(|step| step.0);
    for (at, of, fault) in steps {
        thread::sleep(at.saturating_sub(begin.elapsed()));
        let switch: Option<&Switch> = match of {
            Part::Table => Some(&bench.table.switch),
            Part::Target(index) => bench.seats.get(index).map(|seat| &seat.target.switch),
        };
        if let Some(switch) = switch {
            switch.set(fault);
        }
    }
}
