//! The entry process. It routes callers' requests to targets, accepts operators' changes of the
//! configuration, and runs the planner of each availability zone whose role it holds.

mod claim;
mod core;
mod keyed;
mod lease;
mod log;
mod operate;
mod pool;
mod request;
pub mod role;
mod router;
mod table;
mod watched;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::adapter::link::{self, Link, Traffic};
use crate::adapter::object::{self, Objects};
use crate::adapter::table::{self as platform, Table};
use crate::adapter::{Budget, Http, Response, caller, operator, watch};
use crate::metric;
use crate::place::Class;
use crate::settings;
use crate::settings::server::Clients;
use crate::unit::{Time, Version};
use crate::wire::{self, Body};

use self::core::{Core, Effect};

/// Pause between two checks of members and attempts.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Threads for callers' requests, and so the bound on requests in flight.
const CALLER_THREADS: usize = 256;
/// Threads for operators' calls.
const OPERATOR_THREADS: usize = 4;
/// Time to read the configuration from the table service or another entry at startup. After it,
/// callers are served without a configuration.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);
/// Read timeout on connections accepted from other processes.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared by the threads of an entry.
struct Shared {
    settings: settings::Entry,
    link: Link,
    core: Mutex<Core>,
    random: Mutex<fastrand::Rng>,
    pool: pool::Pool,
    router: router::Router,
    table: Table,
    objects: Objects,
    table_queue: mpsc::Sender<table::Operation>,
    claim_queue: mpsc::Sender<claim::PendingClaim>,
    log_queue: mpsc::Sender<log::Operation>,
    origin: Instant,
    leaving: AtomicBool,
    metrics: metric::Entry,
    stop: AtomicBool,
}

/// A running entry.
pub struct Handle {
    shared: Arc<Shared>,
    callers: Http,
    operators: Http,
    watch: Option<Http>,
    threads: Vec<JoinHandle<()>>,
}

/// Starts an entry.
///
/// # Errors
///
/// Returns the error of the socket that cannot be opened.
pub fn start(settings: settings::Entry) -> std::io::Result<Handle> {
    let boot = link::boot();
    let link = Link::open(settings.node.clone(), boot, settings.listen)?;
    let (table_queue, table_operations) = mpsc::channel();
    let (claim_queue, pending_claims) = mpsc::channel();
    let metrics = metric::Entry::default();
    let (log_queue, log_operations) = mpsc::channel();
    let shared = Arc::new(Shared {
        core: Mutex::new(Core::new(&settings, link.address())),
        random: Mutex::new(fastrand::Rng::new()),
        pool: pool::Pool::default(),
        router: router::Router::new(settings.place.clone(), CALLER_THREADS),
        table: Table::new(metrics.instrument_store(platform::calls(&settings.table))),
        objects: object::calls(&settings.objects),
        table_queue,
        claim_queue,
        log_queue,
        link,
        settings,
        origin: Instant::now(),
        leaving: AtomicBool::new(false),
        metrics,
        stop: AtomicBool::new(false),
    });
    let threads = vec![
        spawn(&shared, Shared::receive),
        spawn(&shared, Shared::accept),
        spawn(&shared, Shared::tick),
        spawn(&shared, move |shared| table::run(shared, &table_operations)),
        spawn(&shared, move |shared| claim::run(shared, &pending_claims)),
        spawn(&shared, move |shared| log::run(shared, &log_operations)),
    ];
    shared.wait_for_configuration();
    // All servers of the process share one budget, which bounds the memory of the process.
    let budget = Budget::default();
    let callers = start_callers(&shared, &budget)?;
    let operators = start_operators(&shared, &budget)?;
    let watch = start_watch(&shared, &budget)?;
    crate::log!(
        Started,
        "entry {} at {}, callers {}, operators {}",
        shared.settings.node,
        shared.link.address(),
        callers.address,
        operators.address
    );
    Ok(Handle { shared, callers, operators, watch, threads })
}

fn start_callers(shared: &Arc<Shared>, budget: &Budget) -> std::io::Result<Http> {
    let listen = shared.settings.callers;
    let limits = shared.settings.process.server.limits(Clients::Callers);
    let shared = Arc::clone(shared);
    Http::start_shared(listen, CALLER_THREADS, limits, budget, move |request| {
        if request.url() == "/healthz" {
            let leaving = shared.leaving.load(Ordering::Relaxed);
            return Response::text("").with_status_code(if leaving { 503 } else { 200 });
        }
        match caller::read(request) {
            Ok(caller_request) => {
                let (class, begin) = (caller_request.class, Instant::now());
                let conclusion = request::conclude(&shared, caller_request);
                shared.metrics.observe_request(conclusion.label(), class, begin.elapsed());
                caller::write(conclusion, class)
            }
            Err(refusal) => {
                crate::warn!(RequestRefused, "{refusal}");
                caller::write(caller::Conclusion::Refused(refusal), Class::Interactive)
            }
        }
    })
}

fn start_operators(shared: &Arc<Shared>, budget: &Budget) -> std::io::Result<Http> {
    let listen = shared.settings.operators;
    let limits = shared.settings.process.server.limits(Clients::Others);
    let shared = Arc::clone(shared);
    Http::start_shared(listen, OPERATOR_THREADS, limits, budget, move |request| {
        let result = operator::read(request, &shared.settings.tokens)
            .and_then(|command| operate::answer(&shared, command));
        if let Err(refusal) = &result {
            crate::warn!(IntentRefused, "{refusal}");
        }
        operator::write(result)
    })
}

fn start_watch(shared: &Arc<Shared>, budget: &Budget) -> std::io::Result<Option<Http>> {
    let Some(listen) = shared.settings.process.watch else {
        return Ok(None);
    };
    let (ready, measured) = (Arc::clone(shared), Arc::clone(shared));
    let open = move || !ready.leaving.load(Ordering::Relaxed);
    watch::start(listen, &shared.settings.process.server, budget, open, move || {
        watched::render(&measured)
    })
    .map(Some)
}

fn spawn(shared: &Arc<Shared>, run: impl FnOnce(&Arc<Shared>) + Send + 'static) -> JoinHandle<()> {
    let shared = Arc::clone(shared);
    let name = shared.settings.node.to_string();
    let thread = thread::Builder::new().name(name);
    thread.spawn(move || run(&shared)).expect("a thread can be started")
}

impl Handle {
    /// Returns the version of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Version {
        self.shared.core().version()
    }

    /// Returns the traffic to and from the system's other processes, without requests.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.shared.link.traffic()
    }

    /// Sets the share of received datagrams to drop at random, in thousandths. For tests.
    pub fn set_loss(&self, thousandths: u32) {
        self.shared.link.set_loss(thousandths);
    }

    /// Returns the address for agents and other entries.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.link.address()
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        self.callers.address
    }

    /// Returns the number of callers' requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.router.in_flight()
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn operators(&self) -> SocketAddr {
        self.operators.address
    }

    /// Returns the address for health, readiness and metrics, if the settings name one.
    #[must_use]
    pub fn watch(&self) -> Option<SocketAddr> {
        self.watch.as_ref().map(|http| http.address)
    }

    /// Returns whether a thread has ended although the entry was not stopped.
    #[must_use]
    pub fn failed(&self) -> bool {
        let http = [Some(&self.callers), Some(&self.operators), self.watch.as_ref()];
        self.threads.iter().any(JoinHandle::is_finished)
            || http.into_iter().flatten().any(Http::failed)
    }

    /// Fails the health check, waits `notice` for the balancer to see it, then stops.
    pub fn drain(self, notice: Duration) {
        self.leave();
        thread::sleep(notice);
        self.stop();
    }

    /// Fails the health check, so that the balancer sends no more callers.
    pub fn leave(&self) {
        if !self.shared.leaving.swap(true, Ordering::Relaxed) {
            self.shared.core().leaving = true;
            crate::log!(Stopping, "entry {}", self.shared.settings.node);
        }
    }

    /// Stops accepting requests, waits for those in flight, and ends the entry's threads.
    pub fn stop(self) {
        self.leave();
        self.callers.stop();
        self.operators.stop();
        if let Some(watch) = self.watch {
            watch.stop();
        }
        self.shared.stop.store(true, Ordering::Relaxed);
        // The accept thread blocks until a connection arrives.
        drop(link::connect(self.shared.link.address(), TICK_INTERVAL));
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn now(&self) -> Time {
        Time(u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn random(&self) -> fastrand::Rng {
        self.random.lock().unwrap_or_else(PoisonError::into_inner).fork()
    }

    fn is_stopping(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Waits until the configuration is known, for `STARTUP_TIMEOUT` at most.
    fn wait_for_configuration(&self) {
        let begin = Instant::now();
        while !self.core().config_known && begin.elapsed() < STARTUP_TIMEOUT {
            thread::sleep(TICK_INTERVAL / 10);
        }
        self.core().config_known = true;
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
            let shared = Arc::clone(self);
            thread::spawn(move || shared.serve(&stream, from));
        }
    }

    fn serve(&self, stream: &std::net::TcpStream, from: SocketAddr) {
        let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
        let update = match wire::read(stream) {
            Ok(wire::Frame { body: Body::Fetch(version), .. }) => {
                self.core().update_for_entry(version)
            }
            Ok(wire::Frame { body: Body::Follow(version), .. }) => {
                self.core().update_for_agent(version)
            }
            Ok(_) | Err(wire::Error::Connection(_)) => return,
            Err(error) => {
                crate::warn!(FrameRefused, "from {from}: {error}");
                return;
            }
        };
        match wire::write_update(stream, &update, |body| self.link.frame(body)) {
            Ok(bytes) => self.link.record_traffic(bytes, 0),
            Err(error) => crate::warn!(FrameRefused, "to {from}: {error}"),
        }
    }

    fn tick(self: &Arc<Self>) {
        while !self.is_stopping() {
            let now = self.now();
            let effects = self.core().tick(now);
            self.perform(effects);
            self.router.tick(now);
            thread::sleep(TICK_INTERVAL);
        }
    }

    fn perform(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(to, body) => {
                    if let Err(error) = self.link.send(to, body) {
                        crate::warn!(FrameRefused, "to {to}: {error}");
                    }
                }
                Effect::Table(operation) => {
                    let _ = self.table_queue.send(operation);
                }
                Effect::Wake => {
                    let _ = self.log_queue.send(log::Operation::Wake);
                }
                Effect::UpsertTarget(info) => self.router.upsert_target(self.now(), *info),
                Effect::RemoveTarget(node, address) => {
                    self.router.remove_target(&node);
                    self.pool.drop_idle(address);
                }
            }
        }
    }
}
