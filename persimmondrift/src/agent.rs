//! The agent process beside one target. It announces the target to the entries, admits the
//! target's requests, and starts, renews and stops job parts at the worker. The submodule `core`
//! decides; this module owns the sockets and threads.

mod core;
mod request;
mod work;

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::adapter::link::{self, Link, Traffic};
use crate::adapter::{Budget, Http, target, watch, worker};
use crate::metric::{self, gauge_value};
use crate::settings;
use crate::unit::{Time, Version};
use crate::wire::Body;

use self::core::{Core, Effect};

/// Interval between checks of held parts, leases and queued requests.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between reads of the worker's list of parts.
const LIST_INTERVAL: Duration = Duration::from_millis(200);
/// Factor by which [`LIST_INTERVAL`] is longer while the worker has no parts.
const IDLE_LIST_FACTOR: u32 = 5;
/// Shortest time between announcing that the agent leaves and stopping it.
const MIN_LEAVE_NOTICE: Duration = Duration::from_secs(1);
/// Largest number of concurrent connections from entries on which calls are admitted.
const MAX_CONNECTIONS: usize = 512;
/// Largest number of further connections, on which every call is refused.
const MAX_OVERFLOW_CONNECTIONS: usize = 128;

/// State shared by the threads of an agent.
struct Shared {
    settings: settings::Agent,
    link: Link,
    core: Mutex<Core>,
    target: ureq::Agent,
    worker: worker::Client,
    work: mpsc::Sender<work::Order>,
    waiters: request::Waiters,
    origin: Instant,
    connections: Mutex<slab::Slab<TcpStream>>,
    /// Calls that have been read and whose outcome has not been written yet.
    pending_outcomes: AtomicUsize,
    metrics: metric::Agent,
    stop: AtomicBool,
}

/// A running agent with its threads.
pub struct Handle {
    shared: Arc<Shared>,
    watch: Option<Http>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts an agent: opens its sockets and spawns its threads.
///
/// # Errors
///
/// Returns the I/O error of a socket that cannot be opened.
pub fn start(settings: settings::Agent) -> std::io::Result<Handle> {
    let boot = link::boot();
    let link = Link::open(settings.node.clone(), boot, settings.listen)?;
    let (work, orders) = mpsc::channel();
    let connections = usize::try_from(settings.capacity.connections.0).unwrap_or(usize::MAX);
    let shared = Arc::new(Shared {
        core: Mutex::new(Core::new(&settings, boot, link.address())),
        target: target::client(connections),
        worker: worker::Client::new(&settings.worker),
        work,
        waiters: request::Waiters::default(),
        link,
        settings,
        origin: Instant::now(),
        connections: Mutex::default(),
        pending_outcomes: AtomicUsize::new(0),
        metrics: metric::Agent::default(),
        stop: AtomicBool::new(false),
    });
    crate::log!(Started, "agent {} at {}", shared.settings.node, shared.link.address());
    let threads = vec![
        spawn(&shared, Shared::receive),
        spawn(&shared, Shared::accept),
        spawn(&shared, Shared::tick),
        spawn(&shared, Shared::list_parts),
        spawn(&shared, move |shared| work::run(shared, &orders)),
    ];
    Ok(Handle { watch: start_watch(&shared)?, shared, threads })
}

fn start_watch(shared: &Arc<Shared>) -> std::io::Result<Option<Http>> {
    let Some(listen) = shared.settings.process.watch else {
        return Ok(None);
    };
    let (ready, measured) = (Arc::clone(shared), Arc::clone(shared));
    let server = &shared.settings.process.server;
    watch::start(
        listen,
        server,
        &Budget::default(),
        move || ready.core().ready(),
        move || measured.render(),
    )
    .map(Some)
}

fn spawn(shared: &Arc<Shared>, run: impl FnOnce(&Arc<Shared>) + Send + 'static) -> JoinHandle<()> {
    let shared = Arc::clone(shared);
    let name = shared.settings.node.to_string();
    let thread = thread::Builder::new().name(name);
    thread.spawn(move || run(&shared)).expect("failed to spawn a thread of the agent")
}

impl Handle {
    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.shared.core().version()
    }

    /// Returns the bytes sent to and received from other processes, without requests.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.shared.link.traffic()
    }

    /// Sets the share of received datagrams to drop at random, in thousandths. For tests.
    pub fn set_loss(&self, thousandths: u32) {
        self.shared.link.set_loss(thousandths);
    }

    /// Returns the address that the agent listens on, for UDP and TCP.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.link.address()
    }

    /// Returns the address for health checks and metrics, if one is configured.
    #[must_use]
    pub fn watch(&self) -> Option<SocketAddr> {
        self.watch.as_ref().map(|http| http.address)
    }

    /// Returns whether a thread has ended that should run until the agent stops.
    #[must_use]
    pub fn failed(&self) -> bool {
        self.threads.iter().any(JoinHandle::is_finished)
            || self.watch.as_ref().is_some_and(Http::failed)
    }

    /// Stops accepting new work and announces it. Running work continues.
    pub fn leave(&self) {
        crate::log!(Stopping, "agent {}", self.shared.settings.node);
        let now = self.shared.now();
        let effects = self.shared.core().leave(now);
        self.shared.perform(effects);
    }

    /// Returns the number of calls without a written outcome plus the number of parts held or run.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.shared.pending_outcomes.load(Ordering::Acquire) + self.shared.core().parts()
    }

    /// Stops the agent's threads without waiting for requests that still run at the target.
    pub fn stop(self) {
        self.shared.core().gate.set_leaving(true);
        request::tick(&self.shared);
        self.shared.stop.store(true, Ordering::Relaxed);
        for (_, stream) in self.shared.connections().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Unblocks the thread that waits in `accept`.
        drop(link::connect(self.address(), TICK_INTERVAL));
        for thread in self.threads {
            let _ = thread.join();
        }
        if let Some(watch) = self.watch {
            watch.stop();
        }
    }

    /// Stops accepting new work, waits up to `limit` until no work is outstanding, then stops.
    ///
    /// An idle agent also refuses calls for a while before it stops, so that entries whose calls
    /// are in transit learn that these did not run.
    pub fn drain(self, limit: Duration) {
        self.leave();
        let begin = Instant::now();
        while begin.elapsed() < limit
            && (self.outstanding() > 0 || begin.elapsed() < MIN_LEAVE_NOTICE)
        {
            thread::sleep(TICK_INTERVAL);
        }
        self.stop();
    }
}

impl Shared {
    fn render(&self) -> String {
        let metrics = &self.metrics;
        {
            let core = self.core();
            metrics.version.set(gauge_value(core.version().0));
            metrics.slots.set(self.settings.capacity.slots.0.into());
            metrics.running.set(core.gate.running().into());
            metrics.waiting.set(gauge_value(core.gate.waiting()));
            metrics.parts.set(gauge_value(core.parts()));
            metrics.leaving.set(core.leaving().into());
        }
        metrics.render()
    }

    fn now(&self) -> Time {
        Time(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn receive(self: &Arc<Self>) {
        self.link.receive_until(&self.stop, |from, frame| {
            let now = self.now();
            let effects = self.core().handle(now, from, frame);
            self.perform(effects);
        });
    }

    fn accept(self: &Arc<Self>) {
        while !self.is_stopping() {
            let Ok((stream, from)) = self.link.accept() else {
                continue;
            };
            let Some((key, overflow)) = self.register(&stream) else {
                crate::warn!(FrameRefused, "from {from}: too many connections");
                continue;
            };
            let shared = Arc::clone(self);
            thread::spawn(move || {
                request::serve(&shared, &stream, from, overflow);
                shared.connections().remove(key);
            });
        }
    }

    /// Registers a connection so that [`Handle::stop`] can close it. Returns its key and whether it
    /// is an overflow connection, or `None` if there are too many connections or the socket cannot
    /// be duplicated.
    fn register(&self, stream: &TcpStream) -> Option<(usize, bool)> {
        let copy = stream.try_clone().ok()?;
        let mut connections = self.connections();
        let count = connections.len();
        let accepted = count < MAX_CONNECTIONS + MAX_OVERFLOW_CONNECTIONS;
        accepted.then(|| (connections.insert(copy), count >= MAX_CONNECTIONS))
    }

    fn connections(&self) -> MutexGuard<'_, slab::Slab<TcpStream>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tick(self: &Arc<Self>) {
        while !self.is_stopping() {
            let now = self.now();
            let effects = self.core().tick(now);
            self.perform(effects);
            request::tick(self);
            thread::sleep(TICK_INTERVAL);
        }
    }

    fn list_parts(self: &Arc<Self>) {
        while !self.is_stopping() {
            let requested_at = self.now();
            if let Ok(listed) = self.worker.list() {
                let now = self.now();
                let effects = self.core().listed(now, requested_at, &listed);
                self.perform(effects);
            }
            thread::sleep(LIST_INTERVAL);
            // A worker without parts is listed less often; a part that starts late is still found.
            for _ in 1..IDLE_LIST_FACTOR {
                if !self.core().runs_parts() && !self.is_stopping() {
                    thread::sleep(LIST_INTERVAL);
                }
            }
        }
    }

    fn perform(self: &Arc<Self>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, body) => self.send(to, body),
                Effect::Work(order) => {
                    let _ = self.work.send(order);
                }
                Effect::Fetch(from, version) => self.fetch(from, version),
            }
        }
    }

    fn send(&self, to: SocketAddr, body: Body) {
        if let Err(error) = self.link.send(to, body) {
            crate::warn!(FrameRefused, "to {to}: {error}");
        }
    }

    fn fetch(self: &Arc<Self>, from: SocketAddr, version: crate::unit::Version) {
        let shared = Arc::clone(self);
        thread::spawn(move || {
            let fetched = request::fetch(&shared.link, from, version);
            shared.core().handle_fetched(fetched);
        });
    }
}
