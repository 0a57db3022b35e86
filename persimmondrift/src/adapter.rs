//! Adapters, one file for each outside interface.

pub mod caller;
pub mod link;
pub mod object;
pub mod operator;
pub mod table;
pub mod target;
pub mod watch;
pub mod worker;

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rouille::{Request, Response, Server};

use crate::admit::BODY_LIMIT;

/// Time without a new request after which a server that stops is taken to be idle.
const IDLE: Duration = Duration::from_millis(50);
/// Time after which a server that is still sent new requests stops all the same.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// An HTTP server that runs until it is stopped.
pub struct Http {
    /// The address it listens at.
    pub address: SocketAddr,
    thread: JoinHandle<()>,
    stop: Arc<AtomicBool>,
    join: Box<dyn Fn() + Send + Sync>,
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
        let refuses = Arc::clone(&stop);
        let handle = move |request: &Request| {
            if refuses.load(Ordering::Relaxed) { stopping() } else { handle(request) }
        };
        let server = Server::new(listen, handle).map_err(std::io::Error::other)?;
        let server = Arc::new(server.pool_size(threads));
        let address = server.server_addr();
        let (polled, stopped) = (Arc::clone(&server), Arc::clone(&stop));
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                polled.poll_timeout(IDLE);
            }
            // What has arrived until now gets its answer.
            polled.poll_timeout(IDLE);
        });
        let join = Box::new(move || server.join());
        Ok(Self { address, thread, stop, join })
    }

    /// Returns whether the server's thread has ended.
    #[must_use]
    pub fn failed(&self) -> bool {
        self.thread.is_finished()
    }

    /// Refuses new requests, and waits until those in flight have been answered.
    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        let begin = Instant::now();
        while !self.thread.is_finished() && begin.elapsed() < STOP_LIMIT {
            thread::sleep(IDLE / 5);
        }
        (self.join)();
    }
}

fn stopping() -> Response {
    Response::text("stopping")
        .with_status_code(503)
        .with_additional_header("Retry-After", "1")
        .with_additional_header(caller::OUTCOME_HEADER, "refused")
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
