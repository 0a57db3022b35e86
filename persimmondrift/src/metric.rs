//! Prometheus metrics of the daemons, which `docs/OPERATIONS.md` documents with their units.
//!
//! Events, attempts, panics and dropped log lines are counted in statics of the process; `render`
//! adds them to the metrics of each daemon.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

use crate::cell::table as cell;
use crate::event::{ALL, Event};
use crate::gang::Ending;
use crate::place::Class;
use crate::store::{Calls, Error, Outcome};

/// Bucket bounds of all duration histograms, in seconds.
const BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];
/// Labels of attempt endings, in the order of the indices in [`count_attempt`].
const ENDING_LABELS: [&str; 5] = ["finished", "failed", "stopped", "refused", "unwritten"];
/// Labels of what HTTP servers refuse to clients, in the order of `adapter::http`'s `Refusal`.
pub(crate) const REFUSAL_LABELS: [&str; 9] = [
    "connection",
    "peer",
    "evicted",
    "head",
    "head_timeout",
    "body_timeout",
    "memory",
    "write_timeout",
    "accept",
];
/// Exclusive upper bound of event numbers, which index [`EVENT_COUNTS`].
const EVENT_NUMBER_LIMIT: usize = 1_000;

static EVENT_COUNTS: [AtomicU64; EVENT_NUMBER_LIMIT] =
    [const { AtomicU64::new(0) }; EVENT_NUMBER_LIMIT];
static LOG_DROPPED: AtomicU64 = AtomicU64::new(0);
static ATTEMPTS: [AtomicU64; ENDING_LABELS.len()] =
    [const { AtomicU64::new(0) }; ENDING_LABELS.len()];
static HTTP_REFUSALS: [AtomicU64; REFUSAL_LABELS.len()] =
    [const { AtomicU64::new(0) }; REFUSAL_LABELS.len()];
static PANICS: AtomicU64 = AtomicU64::new(0);
static EVACUATED_ZONES: AtomicUsize = AtomicUsize::new(0);
static EVACUATED_RUNS: AtomicUsize = AtomicUsize::new(0);

/// Name and help text of a metric.
type Definition = (&'static str, &'static str);

const EVENTS_TOTAL: Definition = ("persimmon_events_total", "Log events by number");
const LOG_DROPPED_TOTAL: Definition = ("persimmon_log_dropped_total", "Log lines dropped");
const PANICS_TOTAL: Definition = ("persimmon_panics_total", "Panics of any thread");
const HTTP_REFUSED_TOTAL: Definition =
    ("persimmon_http_refused_total", "Refusals of the HTTP servers to clients by reason");
const REQUEST_SECONDS: Definition =
    ("persimmon_request_seconds", "Time of callers' requests by outcome and class");
const RETRIES_TOTAL: Definition = ("persimmon_retries_total", "Further tries of requests");
const MEMBERS: Definition = ("persimmon_members", "Members by role and judgement");
const CONFIG_VERSION: Definition =
    ("persimmon_config_version", "Version of the configuration in force");
const STORE_SECONDS: Definition =
    ("persimmon_store_seconds", "Time of calls of the table service by call and outcome");
const ZONE_FREE: Definition =
    ("persimmon_zone_free_accelerators", "Free accelerators of each zone planned here");
const ZONE_JOBS: Definition = ("persimmon_zone_jobs", "Jobs of each zone planned here by state");
const JOBS: Definition = ("persimmon_jobs", "Jobs accepted and not ended");
const ATTEMPTS_TOTAL: Definition = ("persimmon_attempts_total", "Attempts of jobs by ending");
const SLOTS: Definition = ("persimmon_slots", "Slots of the target");
const RUNNING: Definition = ("persimmon_requests_running", "Requests that run at the target");
const WAITING: Definition = ("persimmon_requests_waiting", "Requests that wait for a slot");
const PARTS: Definition = ("persimmon_parts", "Parts of jobs held or run by the worker");
const ZONES_EVACUATED: Definition = ("persimmon_evacuated_zones", "Zones that operators evacuate");
const RUNS_EVACUATED: Definition =
    ("persimmon_evacuated_runs", "Runs left in evacuated zones that are planned here");
const LEAVING: Definition = ("persimmon_leaving", "1 while the process takes nothing new");

/// Names and help texts of all metrics.
pub const CATALOGUE: &[Definition] = &[
    EVENTS_TOTAL,
    LOG_DROPPED_TOTAL,
    PANICS_TOTAL,
    HTTP_REFUSED_TOTAL,
    REQUEST_SECONDS,
    RETRIES_TOTAL,
    MEMBERS,
    CONFIG_VERSION,
    STORE_SECONDS,
    ZONE_FREE,
    ZONE_JOBS,
    JOBS,
    ATTEMPTS_TOTAL,
    SLOTS,
    RUNNING,
    WAITING,
    PARTS,
    ZONES_EVACUATED,
    RUNS_EVACUATED,
    LEAVING,
];

/// Counts a log event.
pub fn count_event(event: Event) {
    EVENT_COUNTS[event as usize].fetch_add(1, Ordering::Relaxed);
}

/// Returns how often an event has occurred in this process, also if its level is not logged.
#[must_use]
pub fn event_count(event: Event) -> u64 {
    EVENT_COUNTS[event as usize].load(Ordering::Relaxed)
}

/// Counts a log line that was dropped.
pub fn count_dropped_line() {
    LOG_DROPPED.fetch_add(1, Ordering::Relaxed);
}

/// Counts an ended attempt of a job by its ending.
pub fn count_attempt(ending: &Ending) {
    let index = match ending {
        Ending::Finished => 0,
        Ending::Failed(_) => 1,
        Ending::Stopped => 2,
        Ending::Refused(_) => 3,
        Ending::Unwritten => 4,
    };
    ATTEMPTS[index].fetch_add(1, Ordering::Relaxed);
}

/// Counts what an HTTP server refused to a client, by the index of its label.
pub(crate) fn count_http_refusal(index: usize) {
    HTTP_REFUSALS[index].fetch_add(1, Ordering::Relaxed);
}

/// Counts a panic of any thread.
pub fn count_panic() {
    PANICS.fetch_add(1, Ordering::Relaxed);
}

/// Sets the number of zones that operators evacuate, as far as this process knows.
pub fn set_evacuated_zones(count: usize) {
    EVACUATED_ZONES.store(count, Ordering::Relaxed);
}

/// Sets the number of runs left in evacuated zones; 0 if this process does not plan.
pub fn set_evacuated_runs(count: usize) {
    EVACUATED_RUNS.store(count, Ordering::Relaxed);
}

/// Metrics of an entry.
#[derive(Debug)]
pub struct Entry {
    registry: Registry,
    requests: HistogramVec,
    /// Retries of requests.
    pub retries: IntCounter,
    /// Members by role and judgement.
    pub members: IntGaugeVec,
    /// The version of the configuration in force.
    pub version: IntGauge,
    /// Jobs accepted and not ended.
    pub jobs: IntGauge,
    /// Free accelerators by zone.
    pub free: IntGaugeVec,
    /// Jobs by zone and state.
    pub zone_jobs: IntGaugeVec,
    /// 1 while the process accepts no new work, otherwise 0.
    pub leaving: IntGauge,
    store: HistogramVec,
}

impl Default for Entry {
    fn default() -> Self {
        let registry = Registry::new();
        Self {
            requests: histograms(&registry, REQUEST_SECONDS, &["outcome", "class"]),
            retries: counter(&registry, RETRIES_TOTAL),
            members: gauges(&registry, MEMBERS, &["role", "judgement"]),
            version: gauge(&registry, CONFIG_VERSION),
            jobs: gauge(&registry, JOBS),
            free: gauges(&registry, ZONE_FREE, &["zone"]),
            zone_jobs: gauges(&registry, ZONE_JOBS, &["zone", "state"]),
            leaving: gauge(&registry, LEAVING),
            store: histograms(&registry, STORE_SECONDS, &["call", "outcome"]),
            registry,
        }
    }
}

impl Entry {
    /// Records the duration of a caller's request by outcome and class.
    pub fn observe_request(&self, outcome: &str, class: Class, took: Duration) {
        self.requests.with_label_values(&[outcome, class_label(class)]).observe(took.as_secs_f64());
    }

    /// Wraps the calls of the table service so that each is counted and timed.
    #[must_use]
    pub fn instrument_store(&self, calls: Calls) -> Calls {
        let Calls { write, read, scan } = calls;
        let (writes, reads, scans) = (self.store.clone(), self.store.clone(), self.store.clone());
        Calls {
            write: Box::new(move |rows| timed(&writes, "write", || write(rows))),
            read: Box::new(move |key| timed(&reads, "read", || read(key))),
            scan: Box::new(move |prefix, after| timed(&scans, "scan", || scan(prefix, after))),
        }
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        render(&self.registry)
    }
}

/// Metrics of an agent.
#[derive(Debug)]
pub struct Agent {
    registry: Registry,
    requests: HistogramVec,
    /// The version of the configuration in force.
    pub version: IntGauge,
    /// Slots of the target.
    pub slots: IntGauge,
    /// Requests that run at the target.
    pub running: IntGauge,
    /// Requests that wait for a slot.
    pub waiting: IntGauge,
    /// Parts of jobs held or run by the worker.
    pub parts: IntGauge,
    /// 1 while the process accepts no new work, otherwise 0.
    pub leaving: IntGauge,
}

impl Default for Agent {
    fn default() -> Self {
        let registry = Registry::new();
        Self {
            requests: histograms(&registry, REQUEST_SECONDS, &["outcome", "class"]),
            version: gauge(&registry, CONFIG_VERSION),
            slots: gauge(&registry, SLOTS),
            running: gauge(&registry, RUNNING),
            waiting: gauge(&registry, WAITING),
            parts: gauge(&registry, PARTS),
            leaving: gauge(&registry, LEAVING),
            registry,
        }
    }
}

impl Agent {
    /// Records the duration of a request by outcome and class.
    pub fn observe_request(&self, outcome: &str, class: Class, took: Duration) {
        self.requests.with_label_values(&[outcome, class_label(class)]).observe(took.as_secs_f64());
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        render(&self.registry)
    }
}

/// Metrics of a process of a cell.
#[derive(Debug)]
pub struct Cell {
    registry: Registry,
    requests: HistogramVec,
    store: HistogramVec,
}

impl Default for Cell {
    fn default() -> Self {
        let registry = Registry::new();
        Self {
            requests: histograms(&registry, REQUEST_SECONDS, &["outcome", "class"]),
            store: histograms(&registry, STORE_SECONDS, &["call", "outcome"]),
            registry,
        }
    }
}

impl Cell {
    /// Records the duration of a caller's HTTP call, with the status as outcome and the method as
    /// class.
    pub fn observe_request(&self, status: u16, method: &str, took: Duration) {
        let status = status.to_string();
        self.requests.with_label_values(&[&*status, method]).observe(took.as_secs_f64());
    }

    /// Wraps the calls of the store so that commits, scans and watches are counted and timed.
    #[must_use]
    pub fn instrument_store(&self, calls: cell::Calls) -> cell::Calls {
        let cell::Calls { commit, scan, watch, set_relays, unavailable, detour } = calls;
        let (commits, scans, watches) =
            (self.store.clone(), self.store.clone(), self.store.clone());
        cell::Calls {
            commit: Box::new(move |batch, timeout| {
                timed_call(&commits, "commit", || commit(batch, timeout))
            }),
            scan: Box::new(move |table, from, to, timeout| {
                timed_call(&scans, "scan", || scan(table, from, to, timeout))
            }),
            watch: Box::new(move |table, feed, after, wait| {
                timed_call(&watches, "watch", || watch(table, feed, after, wait))
            }),
            set_relays,
            unavailable,
            detour,
        }
    }

    /// Returns the metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        render(&self.registry)
    }
}

fn timed_call<T>(
    histogram: &HistogramVec,
    call: &str,
    run: impl FnOnce() -> Result<T, cell::Error>,
) -> Result<T, cell::Error> {
    let begin = Instant::now();
    let result = run();
    let outcome = match &result {
        Ok(_) => "ok",
        Err(cell::Error::NotDone) => "not-done",
        Err(cell::Error::NoAnswer) => "no-answer",
        Err(cell::Error::Compacted) => "compacted",
        Err(cell::Error::Rejected) => "rejected",
        Err(cell::Error::Malformed) => "malformed",
    };
    histogram.with_label_values(&[call, outcome]).observe(begin.elapsed().as_secs_f64());
    result
}

/// Converts a count to the value of a gauge, or to the largest one if it does not fit.
#[must_use]
pub fn gauge_value(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}

fn class_label(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Interactive => "interactive",
        Class::Batch => "batch",
    }
}

fn timed<T: StoreResult>(
    histogram: &HistogramVec,
    call: &str,
    run: impl FnOnce() -> Result<T, Error>,
) -> Result<T, Error> {
    let begin = Instant::now();
    let result = run();
    let outcome = match &result {
        Ok(returned) => returned.label(),
        Err(Error::Unreachable) => "unreachable",
        Err(Error::NoAnswer) => "no-answer",
        Err(_) => "failed",
    };
    histogram.with_label_values(&[call, outcome]).observe(begin.elapsed().as_secs_f64());
    result
}

/// A successful result of a table service call, which the `outcome` label names.
trait StoreResult {
    fn label(&self) -> &'static str {
        "ok"
    }
}

impl StoreResult for Outcome {
    fn label(&self) -> &'static str {
        match self {
            Self::Applied => "ok",
            Self::Refused => "condition",
            Self::Overtaken => "overtaken",
        }
    }
}

impl<T> StoreResult for Option<T> {}

impl<T> StoreResult for Vec<T> {}

fn render(registry: &Registry) -> String {
    let common = Registry::new();
    let events = counters(&common, EVENTS_TOTAL, &["event"]);
    for &event in ALL {
        let number = format!("E{}", event as u16);
        events.with_label_values(&[number]).inc_by(self::event_count(event));
    }
    let attempts = counters(&common, ATTEMPTS_TOTAL, &["ending"]);
    for (label, count) in ENDING_LABELS.iter().zip(&ATTEMPTS) {
        attempts.with_label_values(&[label]).inc_by(count.load(Ordering::Relaxed));
    }
    let refusals = counters(&common, HTTP_REFUSED_TOTAL, &["reason"]);
    for (label, count) in REFUSAL_LABELS.iter().zip(&HTTP_REFUSALS) {
        refusals.with_label_values(&[label]).inc_by(count.load(Ordering::Relaxed));
    }
    counter(&common, LOG_DROPPED_TOTAL).inc_by(LOG_DROPPED.load(Ordering::Relaxed));
    counter(&common, PANICS_TOTAL).inc_by(PANICS.load(Ordering::Relaxed));
    for (definition, count) in
        [(ZONES_EVACUATED, &EVACUATED_ZONES), (RUNS_EVACUATED, &EVACUATED_RUNS)]
    {
        gauge(&common, definition).set(gauge_value(count.load(Ordering::Relaxed)));
    }
    let mut families = common.gather();
    families.extend(registry.gather());
    TextEncoder::new().encode_to_string(&families).unwrap_or_default()
}

// These functions do not panic: the names are constants, and each is registered once per registry.

fn counters(registry: &Registry, (name, help): Definition, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels).expect("valid metric name");
    registry.register(Box::new(metric.clone())).expect("metric registered once per registry");
    metric
}

fn counter(registry: &Registry, (name, help): Definition) -> IntCounter {
    let metric = IntCounter::new(name, help).expect("valid metric name");
    registry.register(Box::new(metric.clone())).expect("metric registered once per registry");
    metric
}

fn gauges(registry: &Registry, (name, help): Definition, labels: &[&str]) -> IntGaugeVec {
    let metric = IntGaugeVec::new(Opts::new(name, help), labels).expect("valid metric name");
    registry.register(Box::new(metric.clone())).expect("metric registered once per registry");
    metric
}

fn gauge(registry: &Registry, (name, help): Definition) -> IntGauge {
    let metric = IntGauge::new(name, help).expect("valid metric name");
    registry.register(Box::new(metric.clone())).expect("metric registered once per registry");
    metric
}

fn histograms(registry: &Registry, (name, help): Definition, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
    let metric = HistogramVec::new(options, labels).expect("valid metric name");
    registry.register(Box::new(metric.clone())).expect("metric registered once per registry");
    metric
}
