//! The `persimmonctl` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = std::env::args_os().skip(1);
    let code = persimmonctl::run(arguments, &mut std::io::stdout(), &mut std::io::stderr());
    ExitCode::from(code)
}
