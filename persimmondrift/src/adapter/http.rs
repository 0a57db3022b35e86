//! The HTTP server that the other adapters run on.
//!
//! One thread per process receives the requests of all servers and writes their responses. Handlers
//! are blocking functions; they run on a bounded number of threads per server, which start on
//! demand and end when idle. What untrusted clients can use is bounded by [`Limits`].

mod connection;
mod held;
mod message;
mod open;
mod refusal;
mod runtime;
mod serve;

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use self::runtime::Runtime;
use self::serve::Server;
use crate::settings;
use crate::settings::server::{Clients, Limits};

pub use self::held::Budget;
pub use self::message::{Request, Response};

/// Time without a new request after which a stopping server no longer waits for more.
const REFUSE_IDLE_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest time in which a stopping server refuses new requests, and then the longest time in which
/// it waits until the clients have read their responses.
const REFUSE_LIMIT: Duration = Duration::from_secs(1);
/// Interval between two checks of a stopping server.
const STOP_POLL: Duration = Duration::from_millis(2);

/// A running HTTP server.
pub struct Http {
    /// The address that the server listens on, with the port that was chosen for port 0.
    pub address: SocketAddr,
    server: Arc<Server>,
    runtime: Arc<Runtime>,
    accept: JoinHandle<()>,
}

impl Http {
    /// Starts a server with the default limits for callers that handles requests on at most
    /// `threads` threads. One client address may have all connections, as stand-ins and tests run on
    /// one machine.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if it cannot listen.
    pub fn start(
        listen: SocketAddr,
        threads: usize,
        handle: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let limits = settings::server::Server::default().limits(Clients::Callers);
        let limits = Limits { connections_per_peer: limits.connections, ..limits };
        Self::start_limited(listen, threads, limits, handle)
    }

    /// Starts a server with limits and a [`Budget`] of its own that handles requests on at most
    /// `threads` threads.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if it cannot listen, or of the thread that cannot be
    /// started.
    pub fn start_limited(
        listen: SocketAddr,
        threads: usize,
        limits: Limits,
        handle: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> io::Result<Self> {
        Self::start_shared(listen, threads, limits, &Budget::default(), handle)
    }

    /// Starts a server that shares a [`Budget`] with others of the process. Requests are refused
    /// while the budget's servers hold more than the limit of this one.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if it cannot listen, or of the thread that cannot be
    /// started.
    pub fn start_shared(
        listen: SocketAddr,
        threads: usize,
        limits: Limits,
        budget: &Budget,
        handle: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = Runtime::get()?;
        let server = Arc::new(Server::new(limits, threads, budget.clone(), Box::new(handle)));
        let guard = runtime.handle.enter();
        let listener = tokio::net::TcpListener::from_std(listener)?;
        drop(guard);
        let accept = runtime.handle.spawn(serve::accept(listener, Arc::clone(&server)));
        Ok(Self { address, server, runtime, accept })
    }

    /// Returns whether the thread or the task of the server has ended.
    #[must_use]
    pub fn failed(&self) -> bool {
        self.runtime.failed() || self.accept.is_finished()
    }

    /// Refuses new requests and those whose body is incomplete, and waits until the others have been
    /// answered.
    pub fn stop(self) {
        self.server.stop.store(true, Ordering::SeqCst);
        self.server.stopped.notify_waiters();
        while self.server.in_flight.load(Ordering::SeqCst) > 0 && !self.runtime.failed() {
            thread::sleep(STOP_POLL);
        }
        self.wait_for_quiet();
        // A connection attempt after the stop fails at once, since the task owns the listener.
        self.accept.abort();
        while !self.accept.is_finished() && !self.runtime.failed() {
            thread::sleep(STOP_POLL);
        }
        self.server.open().close_all();
        let begin = Instant::now();
        while begin.elapsed() < REFUSE_LIMIT && !self.server.open().is_empty() {
            thread::sleep(STOP_POLL);
        }
    }

    /// Waits until no new request has arrived for a while.
    fn wait_for_quiet(&self) {
        let begin = Instant::now();
        let mut last = begin;
        let mut seen = self.server.received.load(Ordering::Relaxed);
        while begin.elapsed() < REFUSE_LIMIT && last.elapsed() < REFUSE_IDLE_TIMEOUT {
            thread::sleep(STOP_POLL);
            let received = self.server.received.load(Ordering::Relaxed);
            if received != seen {
                (seen, last) = (received, Instant::now());
            }
        }
    }
}
