//! Command line for operators: makes and confirms plans of configuration changes, and shows the
//! state of the system. It calls the operator API of the entries.

mod account;
mod argument;
mod client;
mod command;
mod error;
mod line;
mod show;
mod story;
mod worth;

use std::ffi::OsString;
use std::io::Write;

pub use error::{Error, Exit};

/// Parses the arguments, runs the command and returns the exit code. Results are written to `out`,
/// an error to `errors`.
pub fn run(
    arguments: impl IntoIterator<Item = OsString>,
    out: &mut impl Write,
    errors: &mut impl Write,
) -> u8 {
    let result = argument::parse(arguments).and_then(|request| command::run(&request, out));
    match result {
        Ok(exit) => exit as u8,
        Err(error) => {
            let _ = writeln!(errors, "persimmonctl: {error}");
            error.exit() as u8
        }
    }
}
