//! Sockets between the processes of the system: UDP for control messages, TCP for requests and
//! configuration updates.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::unit::{Boot, Bytes, Node, Sequence};
use crate::wire::{self, Body, Frame};

/// Read timeout of the UDP socket, after which the stop flag is checked.
const POLL: Duration = Duration::from_millis(100);

/// Size of the IP and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// The sockets of one process; UDP and TCP share one address.
pub struct Link {
    node: Node,
    boot: Boot,
    sequence: AtomicU64,
    datagrams: UdpSocket,
    listener: TcpListener,
    address: SocketAddr,
    /// Share of received datagrams to drop, in thousandths; for tests.
    loss_permille: AtomicU32,
    sent: AtomicU64,
    received: AtomicU64,
}

/// The bytes that a process has sent and received on its link, requests not counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Bytes sent, with headers.
    pub sent: Bytes,
    /// Bytes received, with headers.
    pub received: Bytes,
}

/// The result of waiting for a datagram.
#[derive(Debug)]
enum Arrival {
    /// A valid frame and its sender.
    Frame(SocketAddr, Frame),
    /// A datagram that could not be decoded, and its sender.
    Malformed(SocketAddr, wire::Error),
    /// No datagram arrived before the timeout, or it was dropped.
    Idle,
}

impl Link {
    /// Opens the sockets. With port 0, both use a port that was free for TCP.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket that cannot be opened.
    pub fn open(node: Node, boot: Boot, listen: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let datagrams = UdpSocket::bind(address)?;
        datagrams.set_read_timeout(Some(POLL))?;
        listener.set_nonblocking(false)?;
        Ok(Self {
            node,
            boot,
            sequence: AtomicU64::new(0),
            datagrams,
            listener,
            address,
            loss_permille: AtomicU32::new(0),
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
        })
    }

    /// Returns the address of both sockets.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the id of this start of the process.
    #[must_use]
    pub fn boot(&self) -> Boot {
        self.boot
    }

    /// Wraps a message in a frame with the next sequence number of this process.
    #[must_use]
    pub fn frame(&self, body: Body) -> Frame {
        let sequence = Sequence(self.sequence.fetch_add(1, Ordering::Relaxed) + 1);
        Frame { node: self.node.clone(), boot: self.boot, sequence, body }
    }

    /// Sends a message as a datagram, which may be lost.
    ///
    /// # Errors
    ///
    /// Returns [`wire::Error`] if it is too large or cannot be sent.
    pub fn send(&self, to: SocketAddr, body: Body) -> Result<(), wire::Error> {
        let bytes = wire::encode(&self.frame(body), wire::MAX_DATAGRAM_BYTES)?;
        self.datagrams.send_to(&bytes, to)?;
        self.record_traffic(bytes.len(), 0);
        Ok(())
    }

    /// Passes each frame to `handle` until `stop` is set. Malformed datagrams are logged.
    pub fn receive_until(&self, stop: &AtomicBool, mut handle: impl FnMut(SocketAddr, Frame)) {
        let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES + 1];
        while !stop.load(Ordering::Relaxed) {
            match self.receive(&mut buffer) {
                Arrival::Frame(from, frame) => handle(from, frame),
                Arrival::Malformed(from, error) => {
                    crate::warn!(FrameRefused, "from {from}: {error}");
                }
                Arrival::Idle => {}
            }
        }
    }

    /// Waits up to [`POLL`] for a datagram.
    fn receive(&self, buffer: &mut [u8]) -> Arrival {
        let Ok((size, from)) = self.datagrams.recv_from(buffer) else {
            return Arrival::Idle;
        };
        self.record_traffic(0, size);
        let loss_permille = self.loss_permille.load(Ordering::Relaxed);
        if loss_permille > 0 && fastrand::u32(..1_000) < loss_permille {
            return Arrival::Idle;
        }
        match wire::decode(&buffer[..size]) {
            Ok(frame) => Arrival::Frame(from, frame),
            Err(error) => Arrival::Malformed(from, error),
        }
    }

    /// Sets the share of received datagrams to drop, in thousandths; 0 by default. For tests.
    pub fn set_loss(&self, thousandths: u32) {
        self.loss_permille.store(thousandths, Ordering::Relaxed);
    }

    /// Adds to the traffic counters. Each size that is not 0 counts with the headers of one
    /// datagram.
    pub fn record_traffic(&self, sent: usize, received: usize) {
        let add = |counter: &AtomicU64, bytes: usize| {
            if bytes > 0 {
                let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
                counter.fetch_add(bytes + HEADER_BYTES, Ordering::Relaxed);
            }
        };
        add(&self.sent, sent);
        add(&self.received, received);
    }

    /// Returns the traffic so far, requests not counted.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        Traffic {
            sent: Bytes(self.sent.load(Ordering::Relaxed)),
            received: Bytes(self.received.load(Ordering::Relaxed)),
        }
    }

    /// Waits for a TCP connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        let (stream, from) = self.listener.accept()?;
        stream.set_nodelay(true)?;
        Ok((stream, from))
    }
}

/// Returns the id for a start of this process: the microseconds since the Unix epoch, so that later
/// starts have higher ids unless the clock is set back.
#[must_use]
pub fn boot() -> Boot {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Boot(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

/// Opens a TCP connection to a process.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
