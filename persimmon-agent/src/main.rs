//! The agent daemon, which runs beside one target.

use std::process::ExitCode;

use persimmondrift::{agent, daemon, settings};

fn main() -> ExitCode {
    daemon::run(
        "persimmon-agent",
        None,
        |settings: &settings::Agent| settings.process.clone(),
        agent::start,
        agent::Handle::failed,
        |handle, process| handle.drain(process.drain.0),
    )
}
