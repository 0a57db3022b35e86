//! Open-loop load: sends requests at random times whether or not earlier ones have ended, and
//! records the outcome and latency of each.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use standin::caller::{CallerRequest, Client, Reply};

/// Threads that send requests; each has one request in flight.
const MAX_IN_FLIGHT: usize = 2_000;
/// Upper bound of the latency histogram; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Parameters of one run.
#[derive(Debug, Clone)]
pub struct Load {
    /// Mean number of requests per second.
    pub rate: f64,
    /// Time over which requests arrive.
    pub length: Duration,
    /// Request classes with their shares, in percent.
    pub classes: Vec<(&'static str, u64)>,
    /// Deadline of each request, from the moment it is sent.
    pub timeout: Duration,
    /// Size of a request body, in bytes.
    pub body: usize,
    /// Prefix of all request ids, which tells runs apart at the targets.
    pub prefix: String,
    /// Seed of the arrival times and classes.
    pub seed: u64,
}

/// Where requests are sent.
pub enum Destination<'a> {
    /// To the entries in rotation, as a load balancer does.
    Entries(&'a RwLock<Vec<SocketAddr>>),
    /// Directly to the targets in rotation, by their base URLs.
    Targets(&'a [String]),
}

/// Measurement of one request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Id of the request, which the target counts.
    pub id: String,
    /// Class sent with the request.
    pub class: &'static str,
    /// Planned arrival, as time since the start of the run.
    pub arrival: Duration,
    /// Time from the planned arrival to the end of the response, including the wait for a free
    /// sender.
    pub latency: Duration,
    /// Response to the caller, or `None` if no complete response was received.
    pub reply: Option<Reply>,
}

struct Arrival {
    at: Duration,
    class: &'static str,
}

/// Sends the requests of a run and returns a sample of each.
#[must_use]
pub fn send(load: &Load, destination: &Destination<'_>, service: &str) -> Vec<Sample> {
    let arrivals = draw_arrivals(load);
    let client = Client::default();
    let next = AtomicUsize::new(0);
    let samples = Mutex::new(Vec::with_capacity(arrivals.len()));
    let begin = Instant::now();
    thread::scope(|scope| {
        for _ in 0..MAX_IN_FLIGHT {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(arrival) = arrivals.get(index) else {
                        return;
                    };
                    thread::sleep(arrival.at.saturating_sub(begin.elapsed()));
                    let id = format!("{}-{index}", load.prefix);
                    let reply =
                        send_one(&client, load, destination, service, arrival, (index, &id));
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
    destination: &Destination<'_>,
    service: &str,
    arrival: &Arrival,
    (index, id): (usize, &str),
) -> Option<Reply> {
    let body = body_of(id, load.body);
    let (class, timeout) = (arrival.class, load.timeout);
    let call = CallerRequest { service, id, key: None, class, timeout, body: &body };
    match destination {
        Destination::Entries(entries) => {
            let entry = {
                let entries = entries.read().unwrap_or_else(PoisonError::into_inner);
                entries[index % entries.len()]
            };
            client.post(entry, &call).ok()
        }
        Destination::Targets(targets) => {
            client.post_direct(&targets[index % targets.len()], &call).ok()
        }
    }
}

/// Returns the body of a request: its id, repeated up to `size` bytes but at least once.
#[must_use]
pub fn body_of(id: &str, size: usize) -> Vec<u8> {
    id.bytes().cycle().take(size.max(id.len())).collect()
}

fn draw_arrivals(load: &Load) -> Vec<Arrival> {
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
        for &(name, percent) in &load.classes {
            class = name;
            if share < percent {
                break;
            }
            share -= percent;
        }
        arrivals.push(Arrival { at, class });
    }
}

impl Sample {
    /// Returns whether the target answered with status 200.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| reply.outcome == "answered" && reply.status == 200)
    }

    /// Returns the outcome reported to the caller, or `none` if no complete response was received.
    #[must_use]
    pub fn outcome(&self) -> &str {
        self.reply.as_ref().map_or("none", |reply| &reply.outcome)
    }
}

/// Returns a histogram of the latencies of samples, in microseconds.
///
/// # Errors
///
/// Returns an error if the histogram cannot be created or a value cannot be recorded.
pub fn latencies<'a>(samples: impl Iterator<Item = &'a Sample>) -> anyhow::Result<Histogram<u64>> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?;
    for sample in samples {
        let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
        histogram.record(micros.clamp(1, MAX_LATENCY_US))?;
    }
    Ok(histogram)
}

/// Returns a quantile of a histogram of microseconds, in milliseconds.
#[must_use]
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    let micros = u32::try_from(histogram.value_at_quantile(quantile)).unwrap_or(u32::MAX);
    f64::from(micros) / 1_000.0
}
