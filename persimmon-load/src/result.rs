//! Results of a run: counts and latencies by second, and by class and kind.

use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Columns of the files.
const COLUMNS: [&str; 8] =
    ["of", "requests", "answered", "refused", "not-run", "unknown", "p50_ms", "p99_ms"];

/// One request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// When it arrived.
    pub at: Duration,
    /// The time from its arrival to its whole answer.
    pub latency: Duration,
    /// Its class.
    pub class: &'static str,
    /// Its method.
    pub method: &'static str,
    /// What its caller was told.
    pub outcome: String,
}

/// The requests of one row.
#[derive(Debug)]
pub struct Row {
    counts: BTreeMap<String, u64>,
    latency: Histogram<u64>,
}

/// The results of a run.
#[derive(Debug)]
pub struct Table {
    /// By second of arrival.
    pub seconds: Vec<Row>,
    /// By class and kind, and all.
    pub classes: BTreeMap<String, Row>,
}

impl Default for Row {
    fn default() -> Self {
        // The bounds are constants that the library accepts.
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("valid bounds");
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
    /// Sorts the requests of a run into rows.
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

    /// Writes the rows as CSV files.
    ///
    /// # Errors
    ///
    /// Returns the error of the file that cannot be written.
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
