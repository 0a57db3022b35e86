//! Measures the time a log line takes in the thread that logs it.

use std::time::Instant;

use persimmondrift::event::Event;
use persimmondrift::settings::{Level, Process};
use persimmondrift::{log, metric};

/// Log lines per burst, fewer than the log's queue holds, so that none is dropped.
const BURST_LINES: u32 = 8_000;
/// Bursts per log level; the fastest one is printed.
const BURSTS: u32 = 5;

/// Prints the time per log line at each log level.
///
/// # Errors
///
/// Returns an error if the log file cannot be opened or removed.
pub fn run() -> anyhow::Result<()> {
    let file = std::env::temp_dir().join(format!("persimmon-log-cost-{}", std::process::id()));
    for (name, log_level) in [("off", Level::Off), ("warn", Level::Warn), ("info", Level::Info)] {
        let process = Process { log_level, log_file: Some(file.clone()), ..Process::default() };
        let mut fastest = f64::MAX;
        for _ in 0..BURSTS {
            log::open(&process)?;
            let begin = Instant::now();
            for index in 0..BURST_LINES {
                persimmondrift::log!(Routed, "request {index:032x} service taller-app to t-1");
            }
            fastest = fastest.min(begin.elapsed().as_secs_f64() / f64::from(BURST_LINES));
            log::flush();
        }
        println!("level {name}: {:.0} ns a line for the thread that logs", fastest * 1e9);
    }
    println!("{} lines counted", metric::event_count(Event::Routed));
    std::fs::remove_file(&file)?;
    Ok(())
}
