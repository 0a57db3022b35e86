//! Sockets between the processes of the system: datagrams for control, TCP for requests.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::unit::{Boot, Node, Sequence};
use crate::wire::{self, Body, Frame};

/// Time a receive call waits before it looks whether the process stops.
const POLL: Duration = Duration::from_millis(100);

/// The sockets of one process, at one address for UDP and TCP.
pub struct Link {
    node: Node,
    boot: Boot,
    sequence: AtomicU64,
    datagrams: UdpSocket,
    listener: TcpListener,
    address: SocketAddr,
}

/// What a receive call brings.
#[derive(Debug)]
pub enum Arrival {
    /// A frame from an address.
    Frame(SocketAddr, Frame),
    /// A malformed frame from an address.
    Malformed(SocketAddr, wire::Error),
    /// Nothing for now.
    Nothing,
}

impl Link {
    /// Opens the sockets; port 0 picks a free one for both.
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
        Ok(Self { node, boot, sequence: AtomicU64::new(0), datagrams, listener, address })
    }

    /// Returns the address of both sockets.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the start of this process.
    #[must_use]
    pub fn boot(&self) -> Boot {
        self.boot
    }

    /// Puts a message into a frame of this process.
    #[must_use]
    pub fn frame(&self, body: Body) -> Frame {
        let sequence = Sequence(self.sequence.fetch_add(1, Ordering::Relaxed) + 1);
        Frame { node: self.node.clone(), boot: self.boot, sequence, body }
    }

    /// Sends a message as a datagram; it may be lost.
    ///
    /// # Errors
    ///
    /// Returns [`wire::Error`] if it is too large or cannot be sent.
    pub fn send(&self, to: SocketAddr, body: Body) -> Result<(), wire::Error> {
        let bytes = wire::encode(&self.frame(body), wire::DATAGRAM_BYTES)?;
        self.datagrams.send_to(&bytes, to)?;
        Ok(())
    }

    /// Waits a short time for a datagram.
    pub fn receive(&self, buffer: &mut [u8]) -> Arrival {
        let Ok((size, from)) = self.datagrams.recv_from(buffer) else {
            return Arrival::Nothing;
        };
        match wire::decode(&buffer[..size]) {
            Ok(frame) => Arrival::Frame(from, frame),
            Err(error) => Arrival::Malformed(from, error),
        }
    }

    /// Waits for a connection.
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

/// Connects to a process.
///
/// # Errors
///
/// Returns the error of the socket.
pub fn connect(to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
