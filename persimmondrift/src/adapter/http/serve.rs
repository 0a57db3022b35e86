//! Accepts connections, receives requests and hands them to the handler.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::net::IpAddr;
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HeaderName, HeaderValue, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::{self, Instant, Sleep};

use super::connection::{Connection, Socket};
use super::held::{Budget, Charge, Held};
use super::message::{Request, Response};
use super::open::Open;
use super::refusal::{self, Refusal};
use crate::adapter::{BodyError, caller};
use crate::admit::BODY_LIMIT;
use crate::settings::server::Limits;

/// Pause after an error of the operating system when a connection is accepted, such as too many
/// open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Minimum buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Maximum number of headers of a request. It bounds the memory of a parsed head.
const MAX_HEADERS: usize = 256;
/// Memory of a parsed header in addition to its text.
const HEADER_OVERHEAD_BYTES: usize = 128;
/// Longest time in which the client may read a response before the connection is closed, when it is
/// still sending. Closing at once would discard the response at the client.
const LINGER_LIMIT: Duration = Duration::from_secs(2);
/// Size of the buffer that discards what a client sends after its last response.
const DISCARD_BYTES: usize = 4_096;
/// Headers that the server sets itself.
const OWN_HEADERS: [HeaderName; 5] =
    [CONNECTION, CONTENT_LENGTH, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// A blocking function that answers requests.
pub(super) type Handler = Box<dyn Fn(&Request) -> Response + Send + Sync>;
type Answer =
    Pin<Box<dyn Future<Output = Result<hyper::Response<Full<Bytes>>, Infallible>> + Send>>;

/// State shared by the tasks of a server.
pub(super) struct Server {
    limits: Limits,
    handle: Handler,
    /// One permit for each handler thread.
    threads: Arc<Semaphore>,
    held: Arc<Held>,
    open: Mutex<Open>,
    /// The number of requests received so far.
    pub(super) received: AtomicUsize,
    /// The number of accepted requests without a response yet.
    pub(super) in_flight: AtomicUsize,
    /// Set when new requests are refused.
    pub(super) stop: AtomicBool,
    /// Wakes the tasks that receive a body after [`Server::stop`] is set.
    pub(super) stopped: Notify,
}

impl Server {
    pub(super) fn new(limits: Limits, threads: usize, budget: Budget, handle: Handler) -> Self {
        Self {
            limits,
            handle,
            threads: Arc::new(Semaphore::new(threads)),
            held: Arc::new(Held::new(budget, limits.held_bytes)),
            open: Mutex::default(),
            received: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
            stopped: Notify::new(),
        }
    }

    pub(super) fn open(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An accepted request, counted until it is dropped.
struct Flight(Arc<Server>);

impl Flight {
    fn new(server: &Arc<Server>) -> Self {
        server.in_flight.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(server))
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A connection in [`Server::open`], removed when it is dropped.
struct Entry {
    server: Arc<Server>,
    id: u64,
    connection: Arc<Connection>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.server.open().remove(self.id);
    }
}

/// Accepts connections until the task is aborted.
pub(super) async fn accept(listener: TcpListener, server: Arc<Server>) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => admit(stream, from.ip(), &server),
            Err(error) if is_of_client(&error) => {}
            Err(_) => {
                refusal::report(Refusal::Accept, None);
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Returns whether an accept failed because the client has closed the connection already.
fn is_of_client(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::ConnectionReset)
}

fn admit(stream: TcpStream, peer: IpAddr, server: &Arc<Server>) {
    let added = server.open().add(peer, &server.limits);
    if let Some((id, connection)) = added {
        let entry = Entry { server: Arc::clone(server), id, connection };
        tokio::spawn(serve(stream, entry));
    }
}

/// Serves a connection until it is closed.
async fn serve(stream: TcpStream, entry: Entry) {
    // An error means that the connection is closed already, which the first read shows.
    let _ = stream.set_nodelay(true);
    let (server, connection) = (&entry.server, &entry.connection);
    let limits = server.limits;
    let service = {
        let (server, connection) = (Arc::clone(server), Arc::clone(connection));
        service_fn(move |request| -> Answer {
            Box::pin(answer(Arc::clone(&server), Arc::clone(&connection), request))
        })
    };
    let socket = TokioIo::new(Socket { stream, connection: Arc::clone(connection) });
    let mut http = http1::Builder::new()
        // A client may end its side of the connection and still wait for the response.
        .half_close(true)
        // Some clients compare the names of headers with regard to case.
        .title_case_headers(true)
        .max_headers(MAX_HEADERS)
        .max_header_size(limits.head_bytes)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(socket, service);
    let mut sleep = pin!(time::sleep(limits.idle_timeout));
    let mut graceful = false;
    let ended = poll_fn(|context| {
        loop {
            if let Poll::Ready(result) = http.poll_without_shutdown(context) {
                return Poll::Ready(Some(result));
            }
            connection.set_waker(context.waker());
            if !connection.is_closing() || graceful {
                break;
            }
            if connection.idle_since().or(connection.head_since()).is_some() {
                return Poll::Ready(None);
            }
            graceful = true;
            Pin::new(&mut http).graceful_shutdown();
        }
        poll_deadline(connection, &limits, sleep.as_mut(), context).map(|()| None)
    })
    .await;
    let Some(result) = ended else {
        return;
    };
    if result.as_ref().is_err_and(|error| error.is_parse() || error.is_parse_too_large()) {
        refusal::report(Refusal::Head, Some(connection.peer));
    }
    linger(http.into_parts().io.into_inner().stream, connection, sleep).await;
}

/// Completes when the time limit of the connection's phase is over.
fn poll_deadline(
    connection: &Connection,
    limits: &Limits,
    mut sleep: Pin<&mut Sleep>,
    context: &mut Context<'_>,
) -> Poll<()> {
    let Some((deadline, refusal)) = connection.deadline(limits) else {
        return Poll::Pending;
    };
    if sleep.deadline() != deadline {
        sleep.as_mut().reset(deadline);
    }
    let over = sleep.poll(context);
    if over.is_ready()
        && let Some(refusal) = refusal
    {
        refusal::report(refusal, Some(connection.peer));
    }
    over
}

/// Ends the server's side of a connection and waits until the client has ended its side, since
/// unread bytes of the client would otherwise discard the response at the client.
async fn linger(mut stream: TcpStream, connection: &Connection, mut sleep: Pin<&mut Sleep>) {
    connection.begin_linger();
    if SockRef::from(&stream).shutdown(std::net::Shutdown::Write).is_err() {
        return;
    }
    sleep.as_mut().reset(Instant::now() + LINGER_LIMIT);
    poll_fn(|context| {
        connection.set_waker(context.waker());
        if connection.is_closing() || sleep.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        let mut buffer = [0; DISCARD_BYTES];
        let mut buffer = ReadBuf::new(&mut buffer);
        match Pin::new(&mut stream).poll_read(context, &mut buffer) {
            Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                // Lets other connections proceed before the next bytes are discarded.
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(_) => Poll::Ready(()),
            Poll::Pending => Poll::Pending,
        }
    })
    .await;
}

/// Answers a request once the response before it is written.
async fn answer(
    server: Arc<Server>,
    connection: Arc<Connection>,
    request: hyper::Request<Incoming>,
) -> Result<hyper::Response<Full<Bytes>>, Infallible> {
    poll_fn(|context| {
        if connection.begin_request() {
            return Poll::Ready(());
        }
        connection.set_waker(context.waker());
        Poll::Pending
    })
    .await;
    server.received.fetch_add(1, Ordering::Relaxed);
    let (response, size, closes) = respond(&server, connection.peer, request).await;
    connection.begin_response(size);
    Ok(encode(response, closes))
}

/// Returns the response, the memory that it holds, and whether the connection is closed after it, as
/// the rest of the request is not read.
async fn respond(
    server: &Arc<Server>,
    peer: IpAddr,
    request: hyper::Request<Incoming>,
) -> (Response, Charge, bool) {
    let flight = Flight::new(server);
    let mut size = Charge::new(&server.held);
    // Created before the check, so that a stop after it is not missed.
    let stopped = server.stopped.notified();
    if server.stop.load(Ordering::SeqCst) {
        return (refuse("stopping"), size, true);
    }
    let (head, body) = request.into_parts();
    let mut charge = Charge::new(&server.held);
    let mut request = decode(&head);
    drop(head);
    let head_bytes: usize = request
        .headers()
        .map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD_BYTES)
        .sum();
    let received = if charge.add(head_bytes + request.raw_url().len()) {
        let timed = time::timeout(server.limits.body_timeout, receive(body, &mut charge));
        let Some(timed) = unless(stopped, timed).await else {
            return (refuse("stopping"), size, true);
        };
        timed.unwrap_or_else(|_| {
            refusal::report(Refusal::BodyTimeout, Some(peer));
            Some(Err(BodyError::Truncated))
        })
    } else {
        None
    };
    let Some(body) = received else {
        refusal::report(Refusal::Memory, Some(peer));
        return (refuse("too many requests are in memory"), size, true);
    };
    let closes = body.is_err();
    request.set_body(body);
    let Ok(permit) = Arc::clone(&server.threads).acquire_owned().await else {
        return (refuse("stopping"), size, true);
    };
    // Responses to the requests before may have used the memory while this one waited.
    if !charge.fits() {
        refusal::report(Refusal::Memory, Some(peer));
        return (refuse("too many responses are in memory"), size, closes);
    }
    let call = {
        let server = Arc::clone(server);
        tokio::task::spawn_blocking(move || {
            let response = (server.handle)(&request);
            // Counted before the permit is released, so that the next request's check includes it.
            size.add(response.body.len());
            drop((request, charge, permit, flight));
            (response, size)
        })
    };
    // An error means that the handler panicked.
    let (response, size) = call
        .await
        .unwrap_or_else(|_| (Response::text("").with_status_code(500), Charge::new(&server.held)));
    (response, size, closes)
}

/// Returns the result of `wanted`, or `None` if `stopped` completes first.
async fn unless<T>(
    stopped: impl Future<Output = ()>,
    wanted: impl Future<Output = T>,
) -> Option<T> {
    let (mut stopped, mut wanted) = (pin!(stopped), pin!(wanted));
    poll_fn(|context| match wanted.as_mut().poll(context) {
        Poll::Ready(result) => Poll::Ready(Some(result)),
        Poll::Pending => stopped.as_mut().poll(context).map(|()| None),
    })
    .await
}

/// Returns the body, or `None` if there is no memory for it.
async fn receive(mut body: Incoming, charge: &mut Charge) -> Option<Result<Vec<u8>, BodyError>> {
    let limit = usize::try_from(BODY_LIMIT.0).unwrap_or(usize::MAX);
    if body.size_hint().lower() > BODY_LIMIT.0 {
        return Some(Err(BodyError::TooLarge));
    }
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Some(Err(BodyError::Truncated));
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Some(Err(BodyError::TooLarge));
        }
        if !charge.add(data.len()) {
            return None;
        }
        bytes.extend_from_slice(data);
    }
    Some(Ok(bytes))
}

/// Returns a request without its body.
fn decode(head: &hyper::http::request::Parts) -> Request {
    let headers = head
        .headers
        .iter()
        .map(|(name, value)| {
            (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
        })
        .collect();
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str());
    Request::new(head.method.as_str(), target, headers, Vec::new())
}

fn encode(response: Response, closes: bool) -> hyper::Response<Full<Bytes>> {
    let mut encoded = hyper::Response::new(Full::new(Bytes::from(response.body)));
    *encoded.status_mut() = hyper::StatusCode::from_u16(response.status_code)
        .unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in response.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value))
            && !OWN_HEADERS.contains(&name)
        {
            encoded.headers_mut().append(name, value);
        }
    }
    if closes {
        encoded.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    encoded
}

/// Returns the response to a request that is not accepted.
fn refuse(text: &str) -> Response {
    Response::text(text)
        .with_status_code(503)
        .with_additional_header("Retry-After", "1")
        .with_additional_header(caller::OUTCOME_HEADER, "refused")
}
