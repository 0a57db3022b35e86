//! A stand-in for the network between one agent and one entry, which injects faults into calls.
//!
//! It relays datagrams both ways and replaces the TCP address in the agent's announcements by its
//! own, so that the entry's calls pass through it as well.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use persimmondrift::wire::{self, Body, Frame, MAX_DATAGRAM_BYTES};

/// Interval at which blocked threads check whether the relay is stopped or still stalled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a connection to the agent, and of the answer to a copy.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Upper bound of the random delay of a copy.
const MAX_COPY_DELAY_MS: u64 = 3_000;

/// Probability of each fault of a call, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Faults {
    /// The call is lost and its connection closed.
    pub lose_call: u64,
    /// The answer is lost and its connection closed.
    pub lose_answer: u64,
    /// A copy of the call is sent at the same time.
    pub duplicate: u64,
    /// A copy of the call is sent later, possibly after other calls.
    pub delayed_copy: u64,
}

struct Shared {
    entry: SocketAddr,
    datagrams: UdpSocket,
    listener: TcpListener,
    /// Addresses of the agent's UDP and TCP sockets, known from its first announcement on.
    agent: Mutex<Option<(SocketAddr, SocketAddr)>>,
    faults: Faults,
    rng_state: AtomicU64,
    injected: AtomicU64,
    stalled: AtomicBool,
    stop: AtomicBool,
}

/// A running relay.
pub struct Relay {
    shared: Arc<Shared>,
}

impl Relay {
    /// Starts a relay to an entry; `seed` determines its random numbers.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn start(entry: SocketAddr, faults: Faults, seed: u64) -> io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let datagrams = UdpSocket::bind(any)?;
        datagrams.set_read_timeout(Some(POLL_INTERVAL))?;
        let shared = Arc::new(Shared {
            entry,
            datagrams,
            listener: TcpListener::bind(any)?,
            agent: Mutex::new(None),
            faults,
            rng_state: AtomicU64::new(seed),
            injected: AtomicU64::new(0),
            stalled: AtomicBool::new(false),
            stop: AtomicBool::new(false),
        });
        let relay = Arc::clone(&shared);
        thread::spawn(move || relay.relay_datagrams());
        let relay = Arc::clone(&shared);
        thread::spawn(move || relay.accept());
        Ok(Self { shared })
    }

    /// Returns the UDP address that the agent uses as the entry's.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.shared.datagrams.local_addr()
    }

    /// Stalls or resumes the relay. While stalled, it drops datagrams and holds back calls and
    /// answers.
    pub fn stall(&self, stalled: bool) {
        self.shared.stalled.store(stalled, Ordering::Relaxed);
    }

    /// Returns the number of faults injected so far.
    #[must_use]
    pub fn injected(&self) -> u64 {
        self.shared.injected.load(Ordering::Relaxed)
    }

    /// Stops the relay. A connection to its own listener wakes the accepting thread.
    pub fn stop(&self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        if let Ok(address) = self.shared.listener.local_addr() {
            drop(TcpStream::connect(address));
        }
    }
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn wait_while_stalled(&self) {
        while self.stalled.load(Ordering::Relaxed) && !self.is_stopped() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn agent(&self) -> Option<(SocketAddr, SocketAddr)> {
        *self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn relay_datagrams(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !self.is_stopped() {
            let Ok((size, from)) = self.datagrams.recv_from(&mut buffer) else {
                continue;
            };
            // A stalled relay drops datagrams.
            if self.stalled.load(Ordering::Relaxed) {
                continue;
            }
            if from == self.entry {
                if let Some((agent, _)) = self.agent() {
                    let _ = self.datagrams.send_to(&buffer[..size], agent);
                }
            } else if let Ok(frame) = wire::decode(&buffer[..size]) {
                self.relay_to_entry(from, frame);
            }
        }
    }

    fn relay_to_entry(&self, from: SocketAddr, mut frame: Frame) {
        if let Body::Announce(announce) = &mut frame.body
            && let Ok(own) = self.listener.local_addr()
        {
            let mut agent = self.agent.lock().unwrap_or_else(PoisonError::into_inner);
            *agent = Some((from, announce.address));
            announce.address = own;
        }
        if let Ok(bytes) = wire::encode(&frame, MAX_DATAGRAM_BYTES) {
            let _ = self.datagrams.send_to(&bytes, self.entry);
        }
    }

    fn accept(self: &Arc<Self>) {
        while !self.is_stopped() {
            let Ok((stream, _)) = self.listener.accept() else {
                continue;
            };
            let relay = Arc::clone(self);
            thread::spawn(move || relay.relay_calls(&stream));
        }
    }

    /// Relays calls and their answers until one is lost or either connection closes.
    fn relay_calls(self: &Arc<Self>, entry: &TcpStream) -> Option<()> {
        let (_, to) = self.agent()?;
        let agent = TcpStream::connect_timeout(&to, TIMEOUT).ok()?;
        for stream in [entry, &agent] {
            stream.set_nodelay(true).ok()?;
        }
        while !self.is_stopped() {
            let frame = wire::read(entry).ok()?;
            self.wait_while_stalled();
            if self.inject(self.faults.lose_call) {
                return None;
            }
            if self.inject(self.faults.duplicate) {
                send_copy(to, frame.clone(), Duration::ZERO);
            }
            if self.inject(self.faults.delayed_copy) {
                let delay = Duration::from_millis(self.next_random() % MAX_COPY_DELAY_MS);
                send_copy(to, frame.clone(), delay);
            }
            wire::write(&agent, &frame).ok()?;
            let answer = wire::read(&agent).ok()?;
            self.wait_while_stalled();
            if self.inject(self.faults.lose_answer) {
                return None;
            }
            wire::write(entry, &answer).ok()?;
        }
        None
    }

    fn inject(&self, thousandths: u64) -> bool {
        let injected = self.next_random() % 1_000 < thousandths;
        self.injected.fetch_add(u64::from(injected), Ordering::Relaxed);
        injected
    }

    /// Returns the next pseudo-random number (`splitmix64`).
    fn next_random(&self) -> u64 {
        let state = self.rng_state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

/// Sends a copy of a frame on a separate connection, and discards the answer.
fn send_copy(to: SocketAddr, frame: Frame, delay: Duration) {
    thread::spawn(move || {
        thread::sleep(delay);
        let stream = TcpStream::connect_timeout(&to, TIMEOUT).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).ok()?;
        wire::write(&stream, &frame).ok()?;
        wire::read(&stream).ok()
    });
}
