//! Runs one stand-in (simulated table service, object store, target or worker) as a process on
//! loopback, so that the real daemons can be tried without external services.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use anyhow::{bail, ensure};
use lexopt::ValueExt;
use lexopt::prelude::{Long, Value};
use standin::object::Objects;
use standin::table::Table;
use standin::target::Target;
use standin::worker::Worker;

/// Time the target takes to serve a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Runs the stand-in named on the command line until the process is terminated.
///
/// # Errors
///
/// Returns an error if an argument is invalid or the stand-in cannot bind its address.
pub fn run(parser: &mut lexopt::Parser) -> anyhow::Result<()> {
    let (mut kind, mut listen) = (None, None);
    while let Some(argument) = parser.next()? {
        match argument {
            Value(word) if kind.is_none() => kind = Some(word.string()?),
            Long("listen") => listen = Some(parser.value()?.parse::<SocketAddr>()?),
            other => bail!("{}; see --help", other.unexpected()),
        }
    }
    let Some((kind, listen)) = kind.zip(listen) else {
        bail!("give table, objects, target or worker, and --listen ADDRESS");
    };
    ensure!(listen.ip().is_loopback(), "a stand-in listens on loopback only, got {listen}");
    match kind.as_str() {
        "table" => serve(&Table::start_at(listen)?.url()),
        "objects" => serve(&Objects::start_at(listen)?.url()),
        "target" => serve(&Target::start_at(listen, SERVICE_TIME)?.url()),
        "worker" => serve(&Worker::start_at(listen)?.url()),
        other => bail!("unknown stand-in `{other}`; expected table, objects, target or worker"),
    }
}

fn serve(url: &str) -> ! {
    println!("listening at {url}");
    loop {
        thread::park();
    }
}
