//! The log: one line per event, written by a background thread.

use std::num::NonZeroUsize;
use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, FileSink, OverflowPolicy, Sink, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{ErrorHandler, LevelFilter, Logger, ThreadPool};

use crate::metric;
use crate::settings::{Level, Process};

/// Largest number of log lines queued in memory. Further ones are dropped and counted, so that a
/// slow disk or terminal does not delay requests.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(16_384).expect("not zero");

/// A log destination that cannot be opened.
#[derive(Debug, thiserror::Error)]
#[error("the log cannot be opened: {0}")]
pub struct Error(#[from] spdlog::Error);

/// Opens the log that the settings of a process specify and makes it the default logger.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be opened.
pub fn open(process: &Process) -> Result<(), Error> {
    let logger = Arc::new(logger(process)?);
    logger.set_flush_period(Some(process.log_flush.0));
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Writes the log lines that are still queued; for use before the process exits.
pub fn flush() {
    let logger = spdlog::default_logger();
    for sink in logger.sinks() {
        let _ = sink.flush_on_exit();
    }
}

/// Creates the logger that the settings of a process specify.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be opened.
pub fn logger(process: &Process) -> Result<Logger, Error> {
    let formatter = PatternFormatter::new(pattern!(
        "{year}-{month}-{day}T{hour}:{minute}:{second}.{millisecond}{tz_offset} {level} {payload}{eol}"
    ));
    let sink: Arc<dyn Sink> = match &process.log_file {
        Some(file) => FileSink::builder().path(file).formatter(formatter).build_arc()?,
        None => StdStreamSink::builder()
            .stdout()
            .style_mode(StyleMode::Never)
            .formatter(formatter)
            .build_arc()?,
    };
    let pool = ThreadPool::builder().capacity(MAX_QUEUED_LINES).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(ErrorHandler::new(|_| metric::count_dropped_line()))
        .build_arc()?;
    let level = match process.log_level {
        Level::Off => LevelFilter::Off,
        Level::Warn => LevelFilter::MoreSevereEqual(spdlog::Level::Warn),
        Level::Info => LevelFilter::MoreSevereEqual(spdlog::Level::Info),
    };
    let dropped = ErrorHandler::new(|_| metric::count_dropped_line());
    Ok(Logger::builder().sink(sink).level_filter(level).error_handler(dropped).build()?)
}
