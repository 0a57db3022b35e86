//! Figures of replays: collects completion times, fragmentation and evictions, and prints them
//! against the goals of the planner.

use persimmondrift::place::{Adjacency, Shape};

use super::list::{ACCELERATORS_PER_WORKER, Group, List, WORKERS, WORKERS_PER_RACK};

/// Progress of a job in a replay; times are in seconds since its start.
#[derive(Debug, Clone, Copy)]
pub struct JobRecord {
    /// Group in which the job is reported.
    pub group: Group,
    /// Time of submission.
    pub submitted: f64,
    /// Time at which the first attempt started to run.
    pub start: Option<f64>,
    /// Time at which the job finished, failed for good or was cancelled.
    pub end: Option<f64>,
    /// Whether the job finished successfully.
    pub finished: bool,
    /// Whether the job claimed a guarantee that the planner had reported to be at risk.
    pub at_risk: bool,
}

impl JobRecord {
    /// Creates the record of a waiting job.
    pub fn new(group: Group, submitted: f64) -> Self {
        Self { group, submitted, start: None, end: None, finished: false, at_risk: false }
    }
}

/// Totals of one replay.
#[derive(Debug, Default)]
pub struct Totals {
    records: Vec<JobRecord>,
    /// Time integrals of the unusable accelerators (free, but in no complete copy of the largest
    /// waiting shape) as a share of the free ones and of all.
    unusable: f64,
    unusable_of_all: f64,
    seconds: f64,
    /// Attempts stopped by eviction or cancellation, not by the loss of a worker.
    pub evictions: u32,
    faulty_found: u32,
    wrongly_blamed: u32,
    faulty: u32,
    makespan_ratio: f64,
    bound_mean: f64,
}

/// A figure and the goal set for it.
#[derive(Debug)]
pub struct Ratio {
    /// Measured value.
    pub value: f64,
    /// Largest value that meets the goal.
    pub target: f64,
}

impl Totals {
    /// Adds an interval to the fragmentation integrals.
    ///
    /// `free` holds a mask of free accelerators per worker, `largest` the largest waiting shape.
    pub fn observe(&mut self, seconds: f64, free: &[u64], largest: Option<&Shape>) {
        self.seconds += seconds;
        let Some(shape) = largest else {
            return;
        };
        let all: u32 = free.iter().map(|mask| mask.count_ones()).sum();
        let unusable = f64::from(all - usable(free, shape));
        self.unusable += seconds * unusable / f64::from(all.max(1));
        self.unusable_of_all += seconds * unusable / f64::from(WORKERS * ACCELERATORS_PER_WORKER);
    }

    /// Counts a job that the scheduler gave up as faulty, and whether it was in fact faulty.
    pub fn count_at_fault(&mut self, faulty: bool) {
        self.faulty_found += u32::from(faulty);
        self.wrongly_blamed += u32::from(!faulty);
    }

    /// Adds the totals that depend on the records of all jobs.
    pub fn finish(mut self, list: &List, records: Vec<JobRecord>) -> Self {
        let capacity = f64::from(WORKERS * ACCELERATORS_PER_WORKER);
        let (mut work, mut longest, mut earliest, mut end) = (0.0, 0.0, 0.0, 0.0);
        for (item, record) in list.items.iter().zip(&records) {
            self.faulty += u32::from(item.faulty && item.cancel.is_none());
            if record.finished {
                work += item.run * f64::from(item.spec.shape.total().0);
                longest = f64::max(longest, item.run);
                earliest = f64::max(earliest, item.at + item.run);
                end = f64::max(end, record.end.unwrap_or(0.0));
            }
        }
        self.makespan_ratio = end / f64::max(f64::max(work / capacity, longest), earliest);
        self.bound_mean = bound(list, &records, capacity);
        self.records = records;
        self
    }
}

/// Returns the number of free accelerators that complete copies of a shape can use.
fn usable(free: &[u64], shape: &Shape) -> u32 {
    let need = shape.accelerators.0.max(1);
    let parts = u32::from(shape.parts);
    let offers: Vec<u32> = free.iter().map(|mask| mask.count_ones() / need).collect();
    let copies: u32 = match shape.adjacency {
        Adjacency::Worker => offers.iter().map(|offer| offer / parts).sum(),
        Adjacency::Rack => offers
            .chunks(WORKERS_PER_RACK as usize)
            .map(|rack| rack.iter().sum::<u32>() / parts)
            .sum(),
        Adjacency::Zone => offers.iter().sum::<u32>() / parts,
    };
    copies * parts * need
}

/// Returns a lower bound of the mean completion time of the finished jobs.
///
/// It is the larger of two bounds: the mean run time, and the result of a single machine as fast as
/// all accelerators together that serves the job with the shortest remaining work first.
fn bound(list: &List, records: &[JobRecord], capacity: f64) -> f64 {
    let mut open: Vec<(f64, f64)> = Vec::new();
    let (mut now, mut sum, mut runs, mut count) = (0.0, 0.0, 0.0, 0.0);
    let finished: Vec<_> = list
        .items
        .iter()
        .zip(records)
        .filter(|(_, record)| record.finished)
        .map(|(i, _)| i)
        .collect();
    for (index, item) in finished.iter().enumerate() {
        now = f64::max(now, item.at);
        open.push((item.run * f64::from(item.spec.shape.total().0) / capacity, item.at));
        runs += item.run;
        count += 1.0;
        let until = finished.get(index + 1).map_or(f64::INFINITY, |next| next.at);
        open.sort_by(|one, other| other.0.total_cmp(&one.0));
        while let Some(job) = open.last_mut() {
            if now + job.0 > until {
                job.0 -= until - now;
                break;
            }
            now += job.0;
            sum += now - job.1;
            open.pop();
        }
        now = f64::min(now, until).max(item.at);
        if until.is_finite() {
            now = until;
        }
    }
    f64::max(sum, runs) / f64::max(count, 1.0)
}

/// Figures of one scheduler over several replays.
#[derive(Debug)]
pub struct Figures {
    completion: Vec<(Group, f64)>,
    large_waits: Vec<f64>,
    claim_waits: Vec<f64>,
    claims: usize,
    at_risk: usize,
    unusable: f64,
    unusable_of_all: f64,
    makespan: f64,
    bound_mean: f64,
    evictions: u32,
    faulty_found: u32,
    wrongly_blamed: u32,
    faulty: u32,
}

impl Figures {
    /// Combines the totals of replays.
    pub fn of(replays: impl Iterator<Item = Totals>) -> Self {
        let mut all = Self {
            completion: Vec::new(),
            large_waits: Vec::new(),
            claim_waits: Vec::new(),
            claims: 0,
            at_risk: 0,
            unusable: 0.0,
            unusable_of_all: 0.0,
            makespan: 0.0,
            bound_mean: 0.0,
            evictions: 0,
            faulty_found: 0,
            wrongly_blamed: 0,
            faulty: 0,
        };
        let mut count = 0.0;
        for totals in replays {
            count += 1.0;
            all.unusable += totals.unusable / totals.seconds;
            all.unusable_of_all += totals.unusable_of_all / totals.seconds;
            all.makespan += totals.makespan_ratio;
            all.bound_mean += totals.bound_mean;
            all.evictions += totals.evictions;
            all.faulty_found += totals.faulty_found;
            all.wrongly_blamed += totals.wrongly_blamed;
            all.faulty += totals.faulty;
            for record in totals.records {
                all.add(&record);
            }
        }
        for sum in
            [&mut all.unusable, &mut all.unusable_of_all, &mut all.makespan, &mut all.bound_mean]
        {
            *sum /= count;
        }
        all
    }

    fn add(&mut self, record: &JobRecord) {
        self.claims += usize::from(record.group == Group::Claim);
        if record.at_risk {
            self.at_risk += 1;
            self.claims -= 1;
            return;
        }
        let (Some(start), Some(end), true) = (record.start, record.end, record.finished) else {
            return;
        };
        self.completion.push((record.group, end - record.submitted));
        match record.group {
            Group::Large => self.large_waits.push(start - record.submitted),
            Group::Claim => self.claim_waits.push(start - record.submitted),
            Group::Small | Group::Medium => {}
        }
    }

    /// Returns the number of claims that did not start within `bound` seconds or did not finish.
    pub fn late_claims(&self, bound: f64) -> usize {
        self.claims - self.claim_waits.iter().filter(|&&wait| wait <= bound).count()
    }

    fn of_group(&self, group: Option<Group>) -> Vec<f64> {
        let wanted = |other: Group| match group {
            Some(group) => group == other,
            None => other != Group::Claim,
        };
        let chosen = self.completion.iter().filter(|(group, _)| wanted(*group));
        chosen.map(|(_, seconds)| *seconds).collect()
    }
}

fn mean(values: &[f64]) -> f64 {
    let count = u32::try_from(values.len()).expect("number of values fits in u32");
    values.iter().sum::<f64>() / f64::from(count.max(1))
}

/// Returns a percentile of the values, or 0 if there are none.
fn percentile(values: &[f64], percent: usize) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (sorted.len() * percent).div_ceil(100).max(1);
    sorted.get(rank - 1).copied().unwrap_or(0.0)
}

/// Prints a table of the figures with a row per scheduler.
pub fn print(rows: &[(&str, &Figures)]) {
    println!(
        "| scheduler | jobs | completion mean / p50 / p99 s | small | medium | large | wait of large p99 s | unusable of free | unusable of all | makespan / bound | mean / bound | evictions |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (name, figures) in rows {
        let all = figures.of_group(None);
        let by = |group| {
            let times = figures.of_group(Some(group));
            format!(
                "{:.0} / {:.0} / {:.0}",
                mean(&times),
                percentile(&times, 50),
                percentile(&times, 99)
            )
        };
        println!(
            "| {name} | {} | {:.0} / {:.0} / {:.0} | {} | {} | {} | {:.0} | {:.3} | {:.3} | {:.2} | {:.2} | {} |",
            all.len(),
            mean(&all),
            percentile(&all, 50),
            percentile(&all, 99),
            by(Group::Small),
            by(Group::Medium),
            by(Group::Large),
            percentile(&figures.large_waits, 99),
            figures.unusable,
            figures.unusable_of_all,
            figures.makespan,
            mean(&all) / figures.bound_mean,
            figures.evictions
        );
    }
    println!();
}

/// Prints the ratios of a planner's figures to the baselines and bounds, with their goals.
pub fn compare(name: &str, figures: &Figures, fifo: &Figures, backfill: &Figures) {
    let (own, first) = (figures.of_group(None), fifo.of_group(None));
    let ratios = [
        ("mean completion to FIFO", mean(&own) / mean(&first), 0.6),
        ("mean completion to its bound", mean(&own) / figures.bound_mean, 1.3),
        ("makespan to its bound", figures.makespan, 1.3),
        ("p99 completion to FIFO", percentile(&own, 99) / percentile(&first, 99), 0.8),
        ("unusable of free to FIFO", figures.unusable / fifo.unusable, 0.5),
        ("unusable of all to FIFO", figures.unusable_of_all / fifo.unusable_of_all, 0.5),
        (
            "p99 wait of large to backfill",
            percentile(&figures.large_waits, 99) / percentile(&backfill.large_waits, 99),
            0.5,
        ),
    ];
    for (metric, value, target) in ratios {
        let ratio = Ratio { value, target };
        println!("- {name}: {metric} {value:.2}, wanted {target}: {}", ratio.verdict());
    }
    let latest = figures.claim_waits.iter().copied().fold(0.0, f64::max);
    println!(
        "- {name}: {} of {} claims finished, latest start after {latest:.1} s, {} more at risk by loss of workers; faulty jobs found {} of {}, others blamed {}",
        figures.claim_waits.len(),
        figures.claims,
        figures.at_risk,
        figures.faulty_found,
        figures.faulty,
        figures.wrongly_blamed
    );
}
