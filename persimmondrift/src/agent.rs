//! The agent process beside a target: announces it, admits its requests, runs its parts.

mod core;
mod request;
mod work;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::adapter::link::{Arrival, Link};
use crate::adapter::{target, worker};
use crate::settings;
use crate::unit::{Boot, Time};
use crate::wire::{self, Body};

use self::core::{Core, Effect};

/// Pause between two looks at holds, leases and queues.
const TICK: Duration = Duration::from_millis(20);
/// Pause between two looks at the parts of the worker.
const LIST_EVERY: Duration = Duration::from_millis(200);
/// Times that pause while the worker has no parts.
const IDLE_LISTS: u32 = 5;
/// Connections of entries served at once.
const CONNECTIONS: usize = 256;

/// Everything that the threads of an agent share.
struct Shared {
    settings: settings::Agent,
    link: Link,
    core: Mutex<Core>,
    target: ureq::Agent,
    worker: worker::Client,
    work: mpsc::Sender<work::Order>,
    waiters: request::Waiters,
    origin: Instant,
    connections: std::sync::atomic::AtomicUsize,
    stop: AtomicBool,
}

/// A running agent.
pub struct Handle {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts an agent.
///
/// # Errors
///
/// Returns the error of the socket that cannot be opened.
pub fn start(settings: settings::Agent) -> std::io::Result<Handle> {
    let boot = Boot(fastrand::u64(1..));
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
        connections: std::sync::atomic::AtomicUsize::new(0),
        stop: AtomicBool::new(false),
    });
    crate::log!(Started, "agent {} at {}", shared.settings.node, shared.link.address());
    let threads = vec![
        spawn(&shared, Shared::receive),
        spawn(&shared, Shared::accept),
        spawn(&shared, Shared::tick),
        spawn(&shared, Shared::list),
        spawn(&shared, move |shared| work::run(shared, &orders)),
    ];
    Ok(Handle { shared, threads })
}

fn spawn(shared: &Arc<Shared>, run: impl FnOnce(&Arc<Shared>) + Send + 'static) -> JoinHandle<()> {
    let shared = Arc::clone(shared);
    thread::spawn(move || run(&shared))
}

impl Handle {
    /// Returns the address of the agent.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.link.address()
    }

    /// Takes nothing new; what runs goes on.
    pub fn leave(&self) {
        let now = self.shared.now();
        let effects = self.shared.core().leave(now);
        self.shared.perform(effects);
    }

    /// Returns the number of requests and parts that still run.
    #[must_use]
    pub fn busy(&self) -> usize {
        self.shared.core().busy()
    }

    /// Ends the process's threads. What still runs at the target is not waited for.
    pub fn stop(self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        // The accept call waits for a connection: this one wakes it.
        drop(crate::adapter::link::connect(self.address(), TICK));
        for thread in self.threads {
            let _ = thread.join();
        }
    }

    /// Leaves, waits until nothing runs or the time is over, then stops.
    pub fn drain(self, limit: Duration) {
        self.leave();
        let begin = Instant::now();
        while self.busy() > 0 && begin.elapsed() < limit {
            thread::sleep(TICK);
        }
        self.stop();
    }
}

impl Shared {
    fn now(&self) -> Time {
        Time(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stops(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn receive(self: &Arc<Self>) {
        let mut buffer = vec![0; wire::DATAGRAM_BYTES + 1];
        while !self.stops() {
            match self.link.receive(&mut buffer) {
                Arrival::Frame(from, frame) => {
                    let now = self.now();
                    let effects = self.core().handle(now, from, frame);
                    self.perform(effects);
                }
                Arrival::Malformed(from, error) => {
                    crate::warn!(FrameRefused, "from {from}: {error}");
                }
                Arrival::Nothing => {}
            }
        }
    }

    fn accept(self: &Arc<Self>) {
        while !self.stops() {
            let Ok((stream, from)) = self.link.accept() else {
                continue;
            };
            if self.connections.load(Ordering::Relaxed) >= CONNECTIONS {
                crate::warn!(FrameRefused, "from {from}: over {CONNECTIONS} connections");
                continue;
            }
            self.connections.fetch_add(1, Ordering::Relaxed);
            let shared = Arc::clone(self);
            thread::spawn(move || {
                request::serve(&shared, &stream, from);
                shared.connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    fn tick(self: &Arc<Self>) {
        while !self.stops() {
            let now = self.now();
            let effects = self.core().tick(now);
            self.perform(effects);
            thread::sleep(TICK);
        }
    }

    fn list(self: &Arc<Self>) {
        while !self.stops() {
            let asked = self.now();
            if let Ok(listed) = self.worker.list() {
                let now = self.now();
                let effects = self.core().listed(now, asked, &listed);
                self.perform(effects);
            }
            thread::sleep(LIST_EVERY);
            // A worker without parts is asked less often; a part that started late is found.
            for _ in 1..IDLE_LISTS {
                if !self.core().runs_parts() && !self.stops() {
                    thread::sleep(LIST_EVERY);
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
            shared.core().fetched(fetched);
        });
    }
}
