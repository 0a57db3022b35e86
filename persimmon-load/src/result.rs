//! Results of a load run: counts of outcomes and latencies by second of arrival, and by class and
//! method. Written as CSV files.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Upper bound of the latency histogram; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Precision of the latency histogram, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Columns of the CSV files.
const COLUMNS: [&str; 8] =
    ["of", "requests", "answered", "refused", "not-run", "unknown", "p50_ms", "p99_ms"];

/// Measurement of one request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Planned arrival, as time since the start of the run.
    pub at: Duration,
    /// Time from the planned arrival to the end of the response.
    pub latency: Duration,
    /// Class sent with the request.
    pub class: &'static str,
    /// HTTP method.
    pub method: &'static str,
    /// Outcome reported to the caller, or `no-answer` if no complete response was received.
    pub outcome: String,
}

/// Outcome counts and latencies of a set of requests.
#[derive(Debug)]
pub struct Row {
    counts: BTreeMap<String, u64>,
    latency: Histogram<u64>,
}

/// Results of a run.
#[derive(Debug)]
pub struct Table {
    /// Rows by second of arrival; the last one also holds later arrivals.
    pub seconds: Vec<Row>,
    /// Rows by class and method, such as `urgent GET`, and `all`.
    pub classes: BTreeMap<String, Row>,
}

impl Default for Row {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("constant bounds and precision are valid");
        Self { counts: BTreeMap::new(), latency }
    }
}

impl Row {
    fn add(&mut self, sample: &Sample) {
        *self.counts.entry(sample.outcome.clone()).or_default() += 1;
        self.latency.saturating_record(u64::try_from(sample.latency.as_micros()).unwrap_or(0));
    }

    /// Returns a quantile of the latency in milliseconds.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> f64 {
        Duration::from_micros(self.latency.value_at_quantile(quantile)).as_secs_f64() * 1e3
    }

    fn cells(&self, label: &str) -> Vec<String> {
        let count = |outcome: &str| self.counts.get(outcome).copied().unwrap_or(0).to_string();
        vec![
            label.to_owned(),
            self.latency.len().to_string(),
            count("answered"),
            count("refused"),
            count("not-run"),
            (self.counts.get("unknown").unwrap_or(&0) + self.counts.get("no-answer").unwrap_or(&0))
                .to_string(),
            format!("{:.2}", self.quantile(0.5)),
            format!("{:.2}", self.quantile(0.99)),
        ]
    }
}

impl Table {
    /// Groups the requests of a run of the given length into rows.
    #[must_use]
    pub fn new(samples: &[Sample], length: Duration) -> Self {
        let length = usize::try_from(length.as_secs()).unwrap_or(0);
        let mut seconds: Vec<Row> = (0..=length).map(|_| Row::default()).collect();
        let mut classes: BTreeMap<String, Row> = BTreeMap::new();
        for sample in samples {
            let second = usize::try_from(sample.at.as_secs()).unwrap_or(length).min(length);
            seconds[second].add(sample);
            for name in ["all".to_owned(), format!("{} {}", sample.class, sample.method)] {
                classes.entry(name).or_default().add(sample);
            }
        }
        Self { seconds, classes }
    }

    /// Writes the rows by second and by class as two CSV files.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written.
    pub fn write(&self, seconds: &Path, classes: &Path) -> csv::Result<()> {
        let mut file = csv::Writer::from_path(seconds)?;
        file.write_record(COLUMNS)?;
        for (second, row) in self.seconds.iter().enumerate() {
            file.write_record(row.cells(&second.to_string()))?;
        }
        file.flush()?;
        let mut file = csv::Writer::from_path(classes)?;
        file.write_record(COLUMNS)?;
        for (name, row) in &self.classes {
            file.write_record(row.cells(name))?;
        }
        Ok(file.flush()?)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = |cells: &[String]| {
            let cells: Vec<String> = cells.iter().map(|cell| format!("{cell:>16}")).collect();
            cells.concat()
        };
        writeln!(f, "{}", line(&COLUMNS.map(str::to_owned)))?;
        for (name, row) in &self.classes {
            writeln!(f, "{}", line(&row.cells(name)))?;
        }
        Ok(())
    }
}
