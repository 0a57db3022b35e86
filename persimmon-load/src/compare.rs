//! Comparison of two load runs: prints the ratios of their counts and latencies.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use anyhow::{Context, bail};
use lexopt::prelude::Value;

/// Columns of `classes.csv` to compare, by index and name.
const COMPARED: [(usize, &str); 4] =
    [(1, "requests"), (2, "answered"), (6, "p50_ms"), (7, "p99_ms")];

/// Prints the ratios of the two `classes.csv` files named on the command line.
///
/// # Errors
///
/// Returns an error if an argument is invalid or a file cannot be read.
pub fn run(parser: &mut lexopt::Parser) -> anyhow::Result<()> {
    let mut files: Vec<PathBuf> = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Value(file) => files.push(file.into()),
            other => bail!("{}; see --help", other.unexpected()),
        }
    }
    let [before, after] = files.as_slice() else {
        bail!("give the classes.csv files of two runs");
    };
    for (name, ratios) in ratios(before, after)? {
        let cells: Vec<String> = ratios
            .iter()
            .zip(COMPARED)
            .map(|(ratio, (_, column))| format!("{column} x {ratio:.2}"))
            .collect();
        println!("{name:<18} {}", cells.join("  "));
    }
    Ok(())
}

/// Returns the ratios of the second run to the first, by class and method.
///
/// Rows that only one of the runs has are left out.
///
/// # Errors
///
/// Returns an error if a file cannot be read or a value is not a number.
pub fn ratios(before: &Path, after: &Path) -> anyhow::Result<BTreeMap<String, Vec<f64>>> {
    let (before, after) = (read(before)?, read(after)?);
    let mut ratios = BTreeMap::new();
    for (name, after) in after {
        if let Some(before) = before.get(&name) {
            let ratio = before.iter().zip(after).map(|(before, after)| after / before);
            ratios.insert(name, ratio.collect());
        }
    }
    Ok(ratios)
}

fn read(file: &Path) -> anyhow::Result<BTreeMap<String, Vec<f64>>> {
    let mut rows = BTreeMap::new();
    let mut reader = csv::Reader::from_path(file).with_context(|| format!("{}", file.display()))?;
    for record in reader.records() {
        let record = record?;
        let cell = |(column, name): (usize, &str)| -> anyhow::Result<f64> {
            let text = record.get(column).with_context(|| format!("missing column {name}"))?;
            Ok(text.parse()?)
        };
        let values = COMPARED.into_iter().map(cell).collect::<anyhow::Result<Vec<f64>>>()?;
        rows.insert(record.get(0).unwrap_or_default().to_owned(), values);
    }
    Ok(rows)
}
