//! Adapters, one file for each outside interface.

pub mod caller;
pub mod link;
pub mod operator;
pub mod table;
pub mod target;
pub mod watch;
pub mod worker;

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rouille::{Request, Response, Server};

use crate::admit::BODY_LIMIT;

/// Pause after which a server without requests looks whether it is to stop.
const STOP_POLL: Duration = Duration::from_millis(20);
/// Time given to a stopping server to find a pause between requests that go on coming in.
const STOP_LIMIT: Duration = Duration::from_secs(2);

/// An HTTP server that runs until it is stopped.
pub struct Http {
    /// The address it listens at.
    pub address: SocketAddr,
    thread: JoinHandle<()>,
    stop: Arc<AtomicBool>,
    running: Arc<AtomicUsize>,
}

/// Reports a body that cannot be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is over the bound.
    #[error("body is over the limit of {BODY_LIMIT} bytes")]
    Size,
    /// The connection failed before its end.
    #[error("body is cut off")]
    Cut,
}

impl Http {
    /// Starts a server with a bounded pool of threads.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if it cannot listen.
    pub fn start(
        listen: SocketAddr,
        threads: usize,
        handle: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let running = Arc::new(AtomicUsize::new(0));
        let (stopping, count) = (Arc::clone(&stop), Arc::clone(&running));
        let server = Server::new(listen, move |request: &Request| {
            if stopping.load(Ordering::Relaxed) {
                return refuse();
            }
            count.fetch_add(1, Ordering::Relaxed);
            let response = handle(request);
            count.fetch_sub(1, Ordering::Relaxed);
            response
        });
        let server = server.map_err(std::io::Error::other)?.pool_size(threads);
        let address = server.server_addr();
        let asked = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            while !asked.load(Ordering::Relaxed) {
                server.poll_timeout(STOP_POLL);
            }
            // Waits until every response that is owed has been written.
            server.join();
        });
        Ok(Self { address, thread, stop, running })
    }

    /// Returns whether the server's thread has ended.
    #[must_use]
    pub fn failed(&self) -> bool {
        self.thread.is_finished()
    }

    /// Refuses what comes in from now on with status 503.
    pub fn refuse(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Stops accepting, and waits until what is in flight has ended.
    ///
    /// Requests that come in meanwhile are refused. The server's thread sees the stop in the
    /// first pause between two requests; without such a pause it is left behind.
    pub fn stop(self) {
        self.refuse();
        let begin = Instant::now();
        while !self.thread.is_finished() {
            let idle = self.running.load(Ordering::Relaxed) == 0;
            if idle && begin.elapsed() >= STOP_LIMIT {
                return;
            }
            thread::sleep(STOP_POLL);
        }
        let _ = self.thread.join();
    }
}

fn refuse() -> Response {
    Response::text("this process is stopping; ask another one")
        .with_status_code(503)
        .with_additional_header("Retry-After", "1")
}

/// Reads the whole body of a request, up to the bound.
///
/// # Errors
///
/// Returns [`BodyError`] if the body is too large or cut off.
pub fn read_body(request: &Request) -> Result<Vec<u8>, BodyError> {
    let Some(data) = request.data() else {
        return Ok(Vec::new());
    };
    let mut body = Vec::new();
    data.take(BODY_LIMIT.0 + 1).read_to_end(&mut body).map_err(|_| BodyError::Cut)?;
    let size = u64::try_from(body.len()).unwrap_or(u64::MAX);
    if size > BODY_LIMIT.0 {
        return Err(BodyError::Size);
    }
    let stated = request.header("Content-Length").and_then(|text| text.parse::<u64>().ok());
    if stated.is_some_and(|stated| stated != size) {
        return Err(BodyError::Cut);
    }
    Ok(body)
}
