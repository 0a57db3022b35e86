//! Open-loop load: requests arrive at random times whether or not earlier ones have ended.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use standin::caller::{CallerRequest, Client, Reply};

/// Threads that send requests: the most that are in flight at once.
const SENDERS: usize = 2_000;
/// Largest latency that is told apart, in microseconds.
const LATENCY_LIMIT: u64 = 120_000_000;

/// The load of one run.
#[derive(Debug, Clone)]
pub struct Load {
    /// Requests a second.
    pub rate: f64,
    /// The length of the run.
    pub length: Duration,
    /// The classes and their shares, in hundredths.
    pub classes: Vec<(&'static str, u64)>,
    /// The time that each request has.
    pub timeout: Duration,
    /// The size of a body, in bytes.
    pub body: usize,
    /// What each id begins with.
    pub prefix: String,
    /// The source of the arrival times.
    pub seed: u64,
}

/// Where requests go.
pub enum Way<'a> {
    /// To entries in turn, through the balancer.
    Entries(&'a RwLock<Vec<SocketAddr>>),
    /// To targets in turn, by their base URLs.
    Targets(&'a [String]),
}

/// What was seen of one request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: &'static str,
    /// When it arrived, from the start of the run.
    pub arrival: Duration,
    /// The time from its arrival to the end of its answer.
    pub latency: Duration,
    /// What its caller was told, if a whole response came.
    pub reply: Option<Reply>,
}

struct Arrival {
    at: Duration,
    class: &'static str,
}

/// Sends the load and returns a sample for each request.
#[must_use]
pub fn send(load: &Load, way: &Way<'_>, service: &str) -> Vec<Sample> {
    let arrivals = draw(load);
    let client = Client::default();
    let next = AtomicUsize::new(0);
    let samples = Mutex::new(Vec::with_capacity(arrivals.len()));
    let begin = Instant::now();
    thread::scope(|scope| {
        for _ in 0..SENDERS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(arrival) = arrivals.get(index) else {
                        return;
                    };
                    thread::sleep(arrival.at.saturating_sub(begin.elapsed()));
                    let id = format!("{}-{index}", load.prefix);
                    let reply = send_one(&client, load, way, service, arrival, (index, &id));
                    let latency = begin.elapsed().saturating_sub(arrival.at);
                    let sample =
                        Sample { id, class: arrival.class, arrival: arrival.at, latency, reply };
                    samples.lock().unwrap_or_else(PoisonError::into_inner).push(sample);
                }
            });
        }
    });
    samples.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn send_one(
    client: &Client,
    load: &Load,
    way: &Way<'_>,
    service: &str,
    arrival: &Arrival,
    (index, id): (usize, &str),
) -> Option<Reply> {
    let body = body_of(id, load.body);
    let (class, timeout) = (arrival.class, load.timeout);
    let call = CallerRequest { service, id, key: None, class, timeout, body: &body };
    match way {
        Way::Entries(entries) => {
            let entry = {
                let entries = entries.read().unwrap_or_else(PoisonError::into_inner);
                entries[index % entries.len()]
            };
            client.post(entry, &call).ok()
        }
        Way::Targets(targets) => client.post_direct(&targets[index % targets.len()], &call).ok(),
    }
}

/// Returns the body of a request: its id and then its letters over and over.
#[must_use]
pub fn body_of(id: &str, size: usize) -> Vec<u8> {
    id.bytes().cycle().take(size.max(id.len())).collect()
}

fn draw(load: &Load) -> Vec<Arrival> {
    let mut random = fastrand::Rng::with_seed(load.seed);
    let mut at = Duration::ZERO;
    let mut arrivals = Vec::new();
    loop {
        let gap = -(1.0 - random.f64()).ln() / load.rate;
        at += Duration::from_secs_f64(gap);
        if at >= load.length {
            return arrivals;
        }
        let mut share = random.u64(..100);
        let mut class = load.classes[0].0;
        for &(name, part) in &load.classes {
            class = name;
            if share < part {
                break;
            }
            share -= part;
        }
        arrivals.push(Arrival { at, class });
    }
}

impl Sample {
    /// Returns whether the target answered that it did the work.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| reply.outcome == "answered" && reply.status == 200)
    }

    /// Returns what became of the request; `none` if no whole response came.
    #[must_use]
    pub fn outcome(&self) -> &str {
        self.reply.as_ref().map_or("none", |reply| &reply.outcome)
    }
}

/// Returns the latencies of samples, in microseconds.
///
/// # Errors
///
/// Returns an error if the histogram cannot be made.
pub fn latencies<'a>(samples: impl Iterator<Item = &'a Sample>) -> anyhow::Result<Histogram<u64>> {
    let mut histogram = Histogram::new_with_bounds(1, LATENCY_LIMIT, 3)?;
    for sample in samples {
        let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
        histogram.record(micros.clamp(1, LATENCY_LIMIT))?;
    }
    Ok(histogram)
}

/// Returns a quantile in milliseconds.
#[must_use]
pub fn millis_at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    let micros = u32::try_from(histogram.value_at_quantile(quantile)).unwrap_or(u32::MAX);
    f64::from(micros) / 1_000.0
}
