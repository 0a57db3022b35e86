//! The HTTP server that the other adapters run on.
//!
//! A fixed number of threads handles requests. The time to receive a body and the number of bodies
//! received at once are bounded, so that slow senders cannot occupy all threads.

use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::panic::{self, AssertUnwindSafe};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rouille::{Request, Response};
use socket2::SockRef;

use super::caller;
use crate::admit::BODY_LIMIT;

/// Read timeout of a connection; longer than load balancers keep an idle connection open.
const IDLE_LIMIT: Duration = Duration::from_secs(75);
/// Longest time to receive a body, checked after each chunk.
const RECEIVE_LIMIT: Duration = Duration::from_secs(10);
/// Time without a new request after which a stopping server no longer waits for more. Also the
/// timeout of its connections to itself.
const REFUSE_IDLE_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which [`Shared::wake_workers`] checks for new requests.
const WAKE_POLL: Duration = Duration::from_millis(10);
/// Checks without a new request after which an idle server is woken.
const IDLE_POLLS_PER_WAKE: u32 = 20;
/// Longest time in which a stopping server refuses new requests and waits until its listener is
/// closed.
const REFUSE_LIMIT: Duration = Duration::from_secs(1);
/// Interval between two checks whether the listener is closed.
const CLOSE_POLL: Duration = Duration::from_millis(1);
/// Size of the largest body that `tiny_http` reads before it returns the request.
const MAX_PREREAD_BYTES: usize = 1_024;
/// Size of the buffer for reading a body.
const CHUNK_BYTES: usize = 16 << 10;

/// A running HTTP server.
pub struct Http {
    /// The address that the server listens on, with the port that was chosen for port 0.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    waker: JoinHandle<()>,
}

/// State shared by the threads of a server.
struct Shared {
    server: tiny_http::Server,
    handle: Box<dyn Fn(&Request) -> Response + Send + Sync>,
    /// The number of bodies that are being received.
    receiving: AtomicUsize,
    /// Limit of `receiving`, so that slow senders cannot occupy all threads.
    max_receiving: usize,
    /// The number of requests received so far.
    received: AtomicUsize,
    stop: AtomicBool,
    /// Set when requests are no longer answered at all, not even with a refusal.
    closed: AtomicBool,
}

impl Http {
    /// Starts a server that handles requests on `threads` threads.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if it cannot listen.
    pub fn start(
        listen: SocketAddr,
        threads: usize,
        handle: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        // Accepted connections inherit the timeout.
        SockRef::from(&listener).set_read_timeout(Some(IDLE_LIMIT))?;
        let address = listener.local_addr()?;
        let server = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let shared = Arc::new(Shared {
            server,
            handle: Box::new(handle),
            receiving: AtomicUsize::new(0),
            max_receiving: threads.div_ceil(2),
            received: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
            closed: AtomicBool::new(false),
        });
        let run = |_| {
            let shared = Arc::clone(&shared);
            thread::spawn(move || shared.run())
        };
        let threads = (0..threads).map(run).collect();
        let waker_shared = Arc::clone(&shared);
        let waker = thread::spawn(move || waker_shared.wake_workers(address));
        Ok(Self { address, shared, threads, waker })
    }

    /// Returns whether a thread of the server has ended.
    #[must_use]
    pub fn failed(&self) -> bool {
        self.threads.iter().any(JoinHandle::is_finished) || self.waker.is_finished()
    }

    /// Refuses new requests, and waits until those in flight have been answered.
    pub fn stop(self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        // Each thread handles the requests queued ahead of its unblock message, then ends.
        for _ in &self.threads {
            self.shared.server.unblock();
        }
        for thread in self.threads {
            let _ = thread.join();
        }
        let begin = Instant::now();
        while begin.elapsed() < REFUSE_LIMIT
            && let Ok(Some(request)) = self.shared.server.recv_timeout(REFUSE_IDLE_TIMEOUT)
        {
            refuse(request, "stopping");
        }
        self.shared.closed.store(true, Ordering::Relaxed);
        let _ = self.waker.join();
        // A thread of `tiny_http` closes the listener later. Waits for that, so that a connection
        // attempt after the stop fails at once.
        drop(self.shared);
        while begin.elapsed() < REFUSE_LIMIT
            && TcpStream::connect_timeout(&self.address, REFUSE_IDLE_TIMEOUT).is_ok()
        {
            thread::sleep(CLOSE_POLL);
        }
    }
}

impl Shared {
    fn run(self: &Arc<Self>) {
        loop {
            match self.server.recv() {
                Ok(request) => {
                    self.received.fetch_add(1, Ordering::Relaxed);
                    self.answer(request);
                }
                Err(_) if self.stop.load(Ordering::Relaxed) => return,
                Err(_) => {}
            }
        }
    }

    /// Opens and closes a connection at intervals. If two connections arrive at once, `tiny_http`
    /// may leave one of them without a thread until another connection arrives.
    fn wake_workers(&self, address: SocketAddr) {
        let mut seen = 0;
        let mut idle_polls = 0;
        while !self.closed.load(Ordering::Relaxed) {
            thread::sleep(WAKE_POLL);
            let received = self.received.load(Ordering::Relaxed);
            idle_polls += 1;
            if received != seen || idle_polls >= IDLE_POLLS_PER_WAKE {
                seen = received;
                idle_polls = 0;
                drop(TcpStream::connect_timeout(&address, REFUSE_IDLE_TIMEOUT));
            }
        }
    }

    fn answer(self: &Arc<Self>, mut request: tiny_http::Request) {
        if self.stop.load(Ordering::Relaxed) {
            refuse(request, "stopping");
            return;
        }
        let Some(buffered) = self.receive(&mut request) else {
            refuse(request, "too many bodies are being received");
            return;
        };
        let result = panic::catch_unwind(AssertUnwindSafe(|| (self.handle)(&buffered)));
        let response = result.unwrap_or_else(|_| Response::text("").with_status_code(500));
        respond(request, response);
    }

    /// Reads the body into memory. Returns `None` if too many bodies are being received.
    fn receive(&self, request: &mut tiny_http::Request) -> Option<Request> {
        let chunked = request.headers().iter().any(|h| h.field.equiv("Transfer-Encoding"));
        let preread = !chunked && request.body_length().unwrap_or(0) <= MAX_PREREAD_BYTES;
        if preread {
            return Some(convert(request));
        }
        let before = self.receiving.fetch_add(1, Ordering::Relaxed);
        let buffered = (before < self.max_receiving).then(|| convert(request));
        self.receiving.fetch_sub(1, Ordering::Relaxed);
        buffered
    }
}

/// Returns the request with its body in memory.
///
/// For [`super::read_body`] to detect them, a truncated body gets a `Content-Length` that differs
/// from its size, and a body over the limit is cut to one byte more than the limit.
fn convert(request: &mut tiny_http::Request) -> Request {
    let mut headers: Vec<(String, String)> = request
        .headers()
        .iter()
        .map(|header| (header.field.to_string(), header.value.to_string()))
        .collect();
    let (body, complete) = receive_body(request.as_reader());
    if !complete {
        headers.retain(|(name, _)| !name.eq_ignore_ascii_case("Content-Length"));
        headers.push(("Content-Length".to_owned(), (body.len() + 1).to_string()));
    }
    let from = request.remote_addr().copied().unwrap_or((Ipv4Addr::UNSPECIFIED, 0).into());
    let (method, url) = (request.method().to_string(), request.url().to_owned());
    Request::fake_http_from(from, method, url, headers, body)
}

/// Reads a body up to its end, the size limit or the time limit. The flag is false if the body is
/// truncated.
fn receive_body(from: &mut dyn Read) -> (Vec<u8>, bool) {
    let begin = Instant::now();
    let limit = usize::try_from(BODY_LIMIT.0).unwrap_or(usize::MAX).saturating_add(1);
    let mut body = Vec::new();
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        match from.read(&mut chunk) {
            Ok(0) => return (body, true),
            Ok(size) => body.extend_from_slice(&chunk[..size]),
            Err(_) => return (body, false),
        }
        if body.len() >= limit {
            body.truncate(limit);
            return (body, true);
        }
        if begin.elapsed() >= RECEIVE_LIMIT {
            return (body, false);
        }
    }
}

/// Refuses a request on a thread of its own, because the response waits for the rest of the body.
fn refuse(request: tiny_http::Request, text: &str) {
    let response = Response::text(text)
        .with_status_code(503)
        .with_additional_header("Retry-After", "1")
        .with_additional_header(caller::OUTCOME_HEADER, "refused");
    thread::spawn(move || respond(request, response));
}

fn respond(request: tiny_http::Request, response: Response) {
    let (data, size) = response.data.into_reader_and_size();
    let status = tiny_http::StatusCode(response.status_code);
    let mut answer = tiny_http::Response::new(status, Vec::new(), data, size, None);
    for (name, value) in response.headers {
        if let Ok(header) = tiny_http::Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            answer.add_header(header);
        }
    }
    // An error means that the connection is closed: nobody is left to answer.
    let _ = request.respond(answer);
}
