//! The entry daemon, which routes callers' requests and plans jobs.

use std::process::ExitCode;

use persimmondrift::{daemon, entry, settings};

fn main() -> ExitCode {
    daemon::run(
        "persimmon-entry",
        None,
        |settings: &settings::Entry| settings.process.clone(),
        entry::start,
        entry::Handle::failed,
        |handle, process| handle.drain(process.notice.0),
    )
}
