//! The threads of an agent start nothing without a read that shows that the agent's zone is not evacuated.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use persimmondrift::cell::agent::{Handle, Identity, WorkerCalls};
use persimmondrift::cell::clock;
use persimmondrift::cell::duty::{Heartbeat, Listing, StartAnswer};
use persimmondrift::cell::job::{Group, Id, Request, Resources, Step, Task};
use persimmondrift::cell::record::{
    self, Condition, Ending, Incarnation, Job, Order, OrderTask, Worker,
};
use persimmondrift::cell::table::{Calls, Error, Table, Write};
use persimmondrift::unit::{Epoch, Time};
use standin::cell::{MAX_LEASE, Rows, SERVICE, queue};

const AGENT: &str = "vm-1";
const WITHIN: Duration = Duration::from_secs(5);
const POLL: Duration = Duration::from_millis(20);
/// Upper bound of a test's waits.
const GIVE_UP: Duration = Duration::from_secs(20);
/// Time for which nothing may happen.
const QUIET: Duration = Duration::from_secs(1);
const GROUP: Group = Group { job: Id(1), occurrence: 0, step: 0 };
const NEED: Resources = Resources { millicores: 1_000, mebibytes: 1, accelerators: 0 };

/// A store, and a worker with the runs that it was started with.
#[derive(Default)]
struct World {
    rows: Mutex<Rows>,
    /// Ranges of the operators' rows that were read.
    read: Mutex<Vec<(String, String)>>,
    /// Whether reads of the operators' rows fail.
    operators_fail: Mutex<bool>,
    started: Mutex<Vec<(Task, u32)>>,
}

impl World {
    fn write(&self, table: Table, key: String, value: Option<Vec<u8>>) {
        self.rows.lock().expect("not poisoned").write(Write { table, key, value });
    }

    fn evacuate(&self) {
        self.write(Table::Operator, "evacuate/a".to_owned(), Some(b"{}".to_vec()));
    }

    fn report(&self) -> Option<Worker> {
        let row = self.rows.lock().expect("not poisoned").get(Table::Workers, AGENT)?;
        record::decode(row.value.as_deref()?)
    }

    fn reads(&self) -> Vec<(String, String)> {
        self.read.lock().expect("not poisoned").clone()
    }

    fn starts(&self) -> usize {
        self.started.lock().expect("not poisoned").len()
    }

    /// Returns whether the agent has reported that the run was never sent.
    fn is_returned(&self) -> bool {
        let ends = self.report().map(|report| report.ends).unwrap_or_default();
        ends.iter().any(|end| (end.task.job, end.ending) == (GROUP.job, Ending::Refused))
    }
}

fn calls(world: &Arc<World>) -> Calls {
    let (commits, scans, watches) = (Arc::clone(world), Arc::clone(world), Arc::clone(world));
    Calls {
        commit: Box::new(move |batch, _| {
            Ok(commits.rows.lock().expect("not poisoned").commit(batch))
        }),
        scan: Box::new(move |table, from, to, _| {
            if table == Table::Operator {
                let range = (from.to_owned(), to.to_owned());
                scans.read.lock().expect("not poisoned").push(range);
                if *scans.operators_fail.lock().expect("not poisoned") {
                    return Err(Error::NoAnswer);
                }
            }
            let mut snapshot = scans.rows.lock().expect("not poisoned").snapshot(table);
            snapshot.rows.retain(|row| &*row.key >= from && (to.is_empty() || &*row.key < to));
            Ok(snapshot)
        }),
        watch: Box::new(move |table, _, after, _| {
            thread::sleep(POLL);
            Ok(watches.rows.lock().expect("not poisoned").changes(table, after))
        }),
        set_relays: Box::new(|_| ()),
        unavailable: Box::new(|| false),
        detour: Box::new(|| false),
    }
}

fn worker(world: &Arc<World>, begin: Time) -> WorkerCalls {
    let (starts, polls) = (Arc::clone(world), Arc::clone(world));
    WorkerCalls {
        start: Box::new(move |_, start| {
            starts.started.lock().expect("not poisoned").push((start.task, start.run));
            StartAnswer::Started
        }),
        stop: Box::new(|_, _, _| true),
        poll: Box::new(move |_, _| {
            thread::sleep(POLL);
            let started = polls.started.lock().expect("not poisoned");
            let running = started.iter().map(|(task, run)| (*task, *run, String::new(), 0));
            Ok(Listing {
                started_ms: 1,
                clock_ms: millis(begin),
                running: running.collect(),
                ..Listing::default()
            })
        }),
    }
}

fn millis(begin: Time) -> u64 {
    u64::try_from(clock::now().since(begin).as_millis()).expect("a short time")
}

/// An agent, and its worker's heartbeats.
struct Agent {
    handle: Handle,
    begin: Time,
    sequence: u64,
}

impl Agent {
    fn start(world: &Arc<World>, evacuate_within: Option<Duration>) -> Self {
        let begin = clock::now();
        let identity = Identity {
            agent: AGENT.to_owned(),
            peer: String::new(),
            zone: "a".to_owned(),
            max_lease: MAX_LEASE,
            evacuate_within,
        };
        let handle = Handle::start(identity, Arc::new(calls(world)), worker(world, begin));
        let mut agent = Self { handle: handle.expect("threads"), begin, sequence: 0 };
        let is_ready = |world: &World| {
            world.report().is_some_and(|report| report.condition == Condition::Ready)
        };
        assert!(agent.run_until(world, GIVE_UP, is_ready), "the worker is never ready");
        agent
    }

    /// Sends heartbeats until a condition holds, at most for a time. Returns whether it holds.
    fn run_until(&mut self, world: &World, span: Duration, holds: impl Fn(&World) -> bool) -> bool {
        let until = clock::now() + span;
        while clock::now() < until {
            self.sequence += 1;
            self.handle.heartbeat(Heartbeat {
                incarnation: Incarnation { started_ms: 1, id: "w".to_owned() },
                sequence: self.sequence,
                clock_ms: millis(self.begin),
                draining: false,
                service: SERVICE.to_owned(),
                labels: Vec::new(),
                capacity: NEED.times(4),
                remaining_ms: 0,
                cold_ms: 0,
            });
            if holds(world) {
                return true;
            }
            thread::sleep(POLL);
        }
        holds(world)
    }
}

/// Writes a job of one task, and an order for it.
fn order(world: &World) {
    let step = Step { width: 1, need: NEED, estimate_ms: 60_000, ..Step::default() };
    let request = Request { spec: "render".to_owned(), steps: vec![step], schedule: None };
    let job = Job {
        queue: queue("normal", 1),
        workspace: None,
        accepted_ms: 0,
        accepted_at: None,
        cancelled: false,
        request: Some(request),
    };
    world.write(Table::Jobs, record::job_key(GROUP.job), Some(record::encode(&job)));
    let report = world.report().expect("a report");
    let task = OrderTask { index: 0, run: 1, checkpoint: String::new(), stop: false };
    let order = Order {
        epoch: Epoch(1),
        incarnation: report.incarnation,
        session: report.session,
        need: NEED,
        tasks: vec![task],
    };
    world.write(Table::Orders, record::order_key(AGENT, GROUP), Some(record::encode(&order)));
}

/// Guards against calls of an agent without the bound, and against starts that wait there.
#[test]
fn no_bound_no_reads() {
    let world = Arc::new(World::default());
    let mut agent = Agent::start(&world, None);
    world.evacuate();
    order(&world);
    assert!(agent.run_until(&world, GIVE_UP, |world| world.starts() == 1), "never started");
    assert_eq!(world.reads(), []);
    agent.handle.stop();
}

/// Guards against calls of an idle agent, and against reads of more than the row of its own zone.
#[test]
fn order_is_preceded_by_one_read() {
    let world = Arc::new(World::default());
    let mut agent = Agent::start(&world, Some(WITHIN));
    assert!(!agent.run_until(&world, QUIET, |world| !world.reads().is_empty()), "it is idle");
    order(&world);
    assert!(agent.run_until(&world, GIVE_UP, |world| world.starts() == 1), "never started");
    agent.run_until(&world, QUIET, |_| false);
    assert_eq!(world.reads(), [("evacuate/a".to_owned(), "evacuate/a\0".to_owned())]);
    agent.handle.stop();
}

/// Guards against a start in an evacuated zone, and against an order that waits there instead of being
/// placed elsewhere.
#[test]
fn evacuated_agent_returns_order() {
    let world = Arc::new(World::default());
    let mut agent = Agent::start(&world, Some(WITHIN));
    world.evacuate();
    order(&world);
    assert!(agent.run_until(&world, GIVE_UP, World::is_returned), "never returned");
    agent.run_until(&world, QUIET, |_| false);
    assert_eq!(world.starts(), 0);
    agent.handle.stop();
}

/// Guards against a start without a proof, and against an order that waits for one without an end.
#[test]
fn agent_without_proof_returns_order() {
    let world = Arc::new(World::default());
    *world.operators_fail.lock().expect("not poisoned") = true;
    let mut agent = Agent::start(&world, Some(WITHIN));
    order(&world);
    assert!(agent.run_until(&world, GIVE_UP, World::is_returned), "never returned");
    agent.run_until(&world, QUIET, |_| false);
    assert_eq!(world.starts(), 0);
    let reads = world.reads().len();
    assert!((2..40).contains(&reads), "{reads} reads in a few seconds");
    agent.handle.stop();
}
