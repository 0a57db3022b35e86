//! The main function shared by the daemons: arguments, settings, signals and exit codes.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use std::{io, panic, thread};

use serde::de::DeserializeOwned;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;

use crate::settings::{self, Process};
use crate::{log, metric};

/// Interval between checks for signals and ended threads.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Exit code when the process could not start or a second signal ended it.
pub const EXIT_START: u8 = 1;
/// Exit code when the arguments or the settings are invalid.
pub const EXIT_SETTINGS: u8 = 2;
/// Exit code when a thread panicked or ended early.
pub const EXIT_PANIC: u8 = 3;
/// Exit code when a planned stop took longer than the settings allow.
pub const EXIT_STOP_TIMEOUT: u8 = 4;

/// The reason why a daemon cannot run.
#[derive(Debug, thiserror::Error)]
enum Error {
    /// A command-line argument is invalid.
    #[error("{0}; see --help")]
    Argument(#[from] lexopt::Error),
    /// Neither the command line nor the daemon names a settings file.
    #[error("no settings file is named; see --help")]
    NoFile,
    /// The settings file cannot be read or is invalid.
    #[error("{0}")]
    Settings(#[from] settings::Error),
    /// The log cannot be opened.
    #[error("{0}")]
    Log(#[from] log::Error),
    /// A socket or a signal handler cannot be set up.
    #[error("cannot start: {0}; see whether an address of the settings is in use")]
    Start(#[from] io::Error),
}

/// The mode of operation that the command line selects.
enum Mode {
    Help,
    Check(PathBuf),
    Run(PathBuf),
}

/// Runs a daemon until a signal asks it to stop, and returns its exit code.
///
/// `file` is the settings file if the command line names none, `process` returns the settings that
/// all daemons share, `start` starts the daemon, `failed` returns whether one of its threads has
/// ended, and `stop` performs the planned stop.
pub fn run<S: DeserializeOwned, H: Send + 'static>(
    name: &str,
    file: Option<PathBuf>,
    process: impl Fn(&S) -> Process,
    start: impl FnOnce(S) -> io::Result<H>,
    failed: impl Fn(&H) -> bool,
    stop: impl FnOnce(H, &Process) + Send + 'static,
) -> ExitCode {
    let result = read_arguments(file).and_then(|mode| match mode {
        Mode::Help => {
            print!("{}", help(name));
            Ok(ExitCode::SUCCESS)
        }
        Mode::Check(file) => {
            settings::read::<S>(&file)?;
            println!("{}: the settings are valid", file.display());
            Ok(ExitCode::SUCCESS)
        }
        Mode::Run(file) => {
            let settings = settings::read::<S>(&file)?;
            let process = process(&settings);
            log::open(&process)?;
            let text = std::fs::read_to_string(&file).ok();
            let reload = || match settings::read::<S>(&file) {
                Ok(_) => {
                    let differs = std::fs::read_to_string(&file).ok() != text;
                    crate::log!(Reloaded, "valid=true differs={differs}");
                }
                Err(error) => crate::warn!(Reloaded, "valid=false error=\"{error}\""),
            };
            serve(&process, reload, || start(settings), failed, stop)
        }
    });
    let code = result.unwrap_or_else(|error| {
        eprintln!("{name}: {error}");
        match &error {
            Error::Argument(_) | Error::NoFile => ExitCode::from(EXIT_SETTINGS),
            Error::Settings(cause) => {
                crate::warn!(SettingsRefused, "{cause}");
                ExitCode::from(EXIT_SETTINGS)
            }
            Error::Log(_) | Error::Start(_) => ExitCode::from(EXIT_START),
        }
    });
    log::flush();
    code
}

fn help(name: &str) -> String {
    format!(
        "{name} [--check-settings] SETTINGS.toml

  --check-settings  checks the settings file, starts nothing, and ends
  --help            prints this text

SIGTERM and SIGINT ask for a planned stop; a second one ends the process at once.

Exit codes:
  0  a planned stop, or the settings are valid
  {EXIT_START}  the process could not start, or a second signal ended it
  {EXIT_SETTINGS}  the arguments or the settings are refused
  {EXIT_PANIC}  a thread ended by a panic
  {EXIT_STOP_TIMEOUT}  the planned stop took longer than `notice` and `drain` allow
"
    )
}

fn read_arguments(default: Option<PathBuf>) -> Result<Mode, Error> {
    let mut parser = lexopt::Parser::from_env();
    let mut check = false;
    let mut file = None;
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("check-settings") => check = true,
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => return Ok(Mode::Help),
            lexopt::Arg::Value(value) if file.is_none() => file = Some(value.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    let file = file.or(default).ok_or(Error::NoFile)?;
    Ok(if check { Mode::Check(file) } else { Mode::Run(file) })
}

/// Starts the daemon, waits for a signal, a panic or an ended thread, and performs the planned stop
/// after a signal.
fn serve<H: Send + 'static>(
    process: &Process,
    reload: impl Fn(),
    start: impl FnOnce() -> io::Result<H>,
    failed: impl Fn(&H) -> bool,
    stop: impl FnOnce(H, &Process) + Send + 'static,
) -> Result<ExitCode, Error> {
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        // Registered before the handler that sets the flag, so that only a second signal finds it
        // set and ends the process.
        flag::register_conditional_shutdown(
            signal,
            EXIT_START.into(),
            Arc::clone(&stop_requested),
        )?;
        flag::register(signal, Arc::clone(&stop_requested))?;
    }
    let reload_requested = Arc::new(AtomicBool::new(false));
    flag::register(SIGHUP, Arc::clone(&reload_requested))?;
    let panicked = watch_panics();
    let handle = start()?;
    while !stop_requested.load(Ordering::Relaxed) {
        // With some of its threads gone, the process would still answer health checks, so it ends.
        if panicked.load(Ordering::Relaxed) || failed(&handle) {
            return Ok(ExitCode::from(EXIT_PANIC));
        }
        if reload_requested.swap(false, Ordering::Relaxed) {
            reload();
        }
        thread::sleep(POLL_INTERVAL);
    }
    let limit = process.notice.0 + process.drain.0;
    let stopping = process.clone();
    let stop_thread = thread::spawn(move || stop(handle, &stopping));
    let begin = Instant::now();
    while !stop_thread.is_finished() {
        if begin.elapsed() >= limit {
            return Ok(ExitCode::from(EXIT_STOP_TIMEOUT));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(if panicked.load(Ordering::Relaxed) {
        ExitCode::from(EXIT_PANIC)
    } else if begin.elapsed() >= process.drain.0 {
        ExitCode::from(EXIT_STOP_TIMEOUT)
    } else {
        ExitCode::SUCCESS
    })
}

/// Logs and counts each panic of any thread. Returns a flag that a panic sets.
fn watch_panics() -> Arc<AtomicBool> {
    let panicked = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&panicked);
    let previous_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        flag.store(true, Ordering::Relaxed);
        metric::count_panic();
        crate::warn!(Panicked, "{}", info.to_string().replace('\n', " "));
        previous_hook(info);
    }));
    panicked
}
