//! An HTTP server whose threads and waits are bounded, also for slow senders.

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

/// Longest wait for the next bytes of a connection, longer than balancers keep idle ones.
const IDLE_LIMIT: Duration = Duration::from_secs(75);
/// Longest time in which the parts of a body may come in.
const RECEIVE_LIMIT: Duration = Duration::from_secs(10);
/// Pause without a new request after which a stopped server refuses no more.
const REFUSE_IDLE_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause between two nudges of a server that gets requests.
const WAKE_POLL: Duration = Duration::from_millis(10);
/// Looks without a request between two nudges of an idle server.
const IDLE_POLLS_PER_WAKE: u32 = 20;
/// Longest time in which a stopped server refuses what still comes in.
const REFUSE_LIMIT: Duration = Duration::from_secs(1);
/// Pause between two looks whether the listener is closed.
const CLOSE_POLL: Duration = Duration::from_millis(1);
/// Largest body that the server library reads before it hands a request over, in bytes.
const MAX_PREREAD_BYTES: usize = 1_024;
/// Bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// An HTTP server that runs until it is stopped.
pub struct Http {
    /// The address it listens at.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
    waker: JoinHandle<()>,
}

/// What the threads of a server share.
struct Shared {
    server: tiny_http::Server,
    handle: Box<dyn Fn(&Request) -> Response + Send + Sync>,
    /// Bodies that are being received.
    receiving: AtomicUsize,
    /// Most bodies that are received at once, so that slow senders cannot hold all threads.
    max_receiving: usize,
    /// Requests that came in so far.
    received: AtomicUsize,
    stop: AtomicBool,
    /// Whether nothing that comes in is answered any more.
    closed: AtomicBool,
}

impl Http {
    /// Starts a server with a bounded number of threads.
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
        // Each thread takes what waits before it, then one of these, and ends.
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
        // The listener is closed by a thread of the library: it is awaited, so that whoever
        // connects after the stop is refused at once.
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

    /// Opens and closes a connection now and then. The library may leave one of two
    /// connections that come at once without a thread, until the next one comes.
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

    /// Receives the body; nothing if too many others are being received.
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

/// Turns a request into one whose body is in memory.
///
/// A body that is cut off gets a stated length that differs from what was received, and one
/// that is over the bound gets one byte more than the bound.
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

/// Reads a body to its end, its bound or its time limit, and tells whether it came whole.
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

/// Refuses a request on a thread of its own, since what is left of its body is awaited.
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
    // A connection that is gone takes its answer with it.
    let _ = request.respond(answer);
}
