//! The state of one connection and its socket.

use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::held::Charge;
use super::refusal::Refusal;
use crate::settings::server::Limits;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No byte of a request has been received since the instant.
    Idle(Instant),
    /// A part of a head has been received, its first byte at the instant.
    Head(Instant),
    /// A body is being received, or a request is being handled.
    Request,
    /// A response is being written.
    Response,
}

/// A connection, shared by its task and the server.
#[derive(Debug)]
pub(super) struct Connection {
    /// The address of the client.
    pub(super) peer: IpAddr,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// Whether bytes were received while a response was being written.
    received_early: bool,
    /// When the socket stopped accepting bytes of a response.
    blocked: Option<Instant>,
    /// Set when the connection is to be closed as soon as it has no request.
    closing: bool,
    /// The size of the responses that are not written yet.
    unwritten: Option<Charge>,
    /// Whether a request waits until the response before it is written.
    waiting: bool,
    /// Wakes the connection's task.
    waker: Option<Waker>,
}

impl Connection {
    pub(super) fn new(peer: IpAddr) -> Self {
        let state = State {
            phase: Phase::Idle(Instant::now()),
            received_early: false,
            blocked: None,
            closing: false,
            unwritten: None,
            waiting: false,
            waker: None,
        };
        Self { peer, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns since when the connection has had no request, or `None` if it has one.
    pub(super) fn idle_since(&self) -> Option<Instant> {
        match self.state().phase {
            Phase::Idle(since) => Some(since),
            _ => None,
        }
    }

    /// Returns since when the connection has had a part of a head, or `None` if it is in another
    /// phase.
    pub(super) fn head_since(&self) -> Option<Instant> {
        match self.state().phase {
            Phase::Head(since) => Some(since),
            _ => None,
        }
    }

    /// Asks the connection's task to close it once it has no request. An unfinished head is no
    /// request yet.
    pub(super) fn close(&self) {
        let mut state = self.state();
        state.closing = true;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    pub(super) fn is_closing(&self) -> bool {
        self.state().closing
    }

    /// Sets the waker that [`Connection::close`] and a written response wake.
    pub(super) fn set_waker(&self, waker: &Waker) {
        let mut state = self.state();
        if !state.waker.as_ref().is_some_and(|known| known.will_wake(waker)) {
            state.waker = Some(waker.clone());
        }
    }

    /// Returns when the current phase ends by a time limit, and which one.
    pub(super) fn deadline(&self, limits: &Limits) -> Option<(Instant, Option<Refusal>)> {
        let state = self.state();
        let blocked =
            state.blocked.map(|at| (at + limits.write_timeout, Some(Refusal::WriteTimeout)));
        blocked.or(match state.phase {
            Phase::Idle(since) => Some((since + limits.idle_timeout, None)),
            Phase::Head(since) => Some((since + limits.head_timeout, Some(Refusal::HeadTimeout))),
            Phase::Request | Phase::Response => None,
        })
    }

    /// Starts a request once the response before it is written. Returns false until then.
    pub(super) fn begin_request(&self) -> bool {
        let mut state = self.state();
        let begins = state.phase != Phase::Response;
        if begins {
            state.phase = Phase::Request;
            state.received_early = false;
        }
        state.waiting = !begins;
        begins
    }

    /// Starts writing a response; its size is held until it is written.
    pub(super) fn begin_response(&self, size: Charge) {
        let mut state = self.state();
        state.phase = Phase::Response;
        state.unwritten = Some(size);
    }

    /// Puts the connection into the state in which it waits for the client to close it.
    pub(super) fn begin_linger(&self) {
        let mut state = self.state();
        state.phase = Phase::Idle(Instant::now());
        state.unwritten = None;
    }

    fn received(&self) {
        let mut state = self.state();
        match state.phase {
            Phase::Idle(_) => state.phase = Phase::Head(Instant::now()),
            Phase::Response => state.received_early = true,
            Phase::Head(_) | Phase::Request => {}
        }
    }

    fn blocked(&self) {
        let mut state = self.state();
        if state.blocked.is_none() {
            state.blocked = Some(Instant::now());
        }
    }

    /// Ends the response, as all its bytes are accepted by the socket.
    fn flushed(&self) {
        let mut state = self.state();
        state.blocked = None;
        if state.phase != Phase::Response {
            return;
        }
        let now = Instant::now();
        state.phase = if state.received_early { Phase::Head(now) } else { Phase::Idle(now) };
        state.unwritten = None;
        if state.waiting
            && let Some(waker) = state.waker.take()
        {
            waker.wake();
        }
    }
}

/// The socket of a connection, which reports progress to the [`Connection`].
#[derive(Debug)]
pub(super) struct Socket {
    pub(super) stream: TcpStream,
    pub(super) connection: Arc<Connection>,
}

impl Socket {
    fn note<T>(&self, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if result.is_pending() {
            self.connection.blocked();
        }
        result
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.connection.received();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    // The library flushes only after the socket has accepted all bytes that it has buffered.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
