//! Simulates a whole cell in virtual time: the rows of the store, workers, agents and a planner.
//! Tests inject faults, and the invariants are checked after each step.

mod rows;
mod target;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use persimmondrift::cell::access::{Config, Queue, Workspace};
use persimmondrift::cell::duty::{Action, Heartbeat, Listing, Reconciler, StartAnswer};
use persimmondrift::cell::entry::Settings;
use persimmondrift::cell::evacuation::{Clearance, Evacuation, Verdict, Zones};
use persimmondrift::cell::grant;
use persimmondrift::cell::job::{Id, Request, Task};
use persimmondrift::cell::mirror::{Jobs, Mirror};
use persimmondrift::cell::pace::REPORT_INTERVAL;
use persimmondrift::cell::planner::{self, Decision, Input, Observation, Planner};
use persimmondrift::cell::record::{self, Job, Order, State, Worker};
use persimmondrift::cell::report::{self, Ack, Reporter};
use persimmondrift::cell::role::{Term, WriteResult};
use persimmondrift::cell::split;
use persimmondrift::cell::store_clock;
use persimmondrift::cell::table::{
    Batch, MAX_BATCH_ENTRIES, MAX_ROW_BYTES, Outcome, Row, Table, Write,
};
use persimmondrift::unit::{Fence, StoreTime, Time, Version};

pub use rows::{MAX_BATCH_BYTES, Rows, check_limits};
pub use target::{ACCELERATOR_CORES, CAPACITY, Failure, Size, Target};

/// Virtual time of one step of the simulation.
const STEP: Duration = Duration::from_millis(50);
/// Default of [`Cell::store_start_ms`].
const STORE_START_MS: u64 = 5_000_000;
/// Time after which a start without an answer fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum lease that a worker holds.
pub const MAX_LEASE: Duration = Duration::from_secs(6);
/// First part of the keys of evacuated zones; the zone's name follows.
const ZONE_PREFIX: &str = "evacuate/";
/// Service that all workers run.
pub const SERVICE: &str = "studio";

/// State of an agent process.
#[derive(Debug)]
struct Agent {
    reconciler: Reconciler,
    reporter: Reporter,
    reported: Time,
    /// Start that gets no answer, and when its call times out. No other call is made meanwhile.
    lost_start: Option<(Time, Task, u32)>,
    /// Proof that the zone is not evacuated, if zones are.
    clearance: Option<Clearance>,
}

/// Copies of the tables in an entry.
#[derive(Debug, Default)]
struct Mirrors {
    jobs: Jobs,
    orders: Mirror<Order>,
    workers: Mirror<Worker>,
    zones: Zones,
    store_clock: store_clock::Clock,
}

/// A VM with a worker and its agent.
#[derive(Debug)]
struct Vm {
    name: String,
    rack: String,
    zone: String,
    worker: Target,
    agent: Option<Agent>,
    /// Whether the agent cannot reach the store.
    store_unreachable: bool,
    /// Whether the agent process is suspended; its worker keeps running.
    frozen: bool,
    /// Whether heartbeats are lost and polls stay without an answer, while other calls arrive.
    unheard: bool,
    heartbeats: u64,
    /// What becomes of the agent's next report.
    report_fate: ReportFate,
}

/// What becomes of an agent's report.
#[derive(Debug, Default)]
enum ReportFate {
    /// The store applies and answers it.
    #[default]
    Answered,
    /// The next one reaches the store and gets no answer.
    HoldsNext,
    /// One is not applied yet.
    Held(Batch),
}

/// A simulated cell.
pub struct Cell {
    /// Virtual time.
    pub now: Time,
    /// Rows of the store, which outlive all processes.
    pub rows: Rows,
    /// Configuration that the planner uses.
    pub config: Config,
    /// How far the time of day of the planner's VM is ahead of true time, in milliseconds; negative if
    /// it is behind.
    pub planner_skew_ms: i64,
    /// The same of the VM whose entry accepts jobs.
    pub entry_skew_ms: i64,
    /// Whether the store's answers hold its clock.
    pub store_has_clock: bool,
    /// Time of the store's clock at virtual time 0, in milliseconds.
    pub store_start_ms: u64,
    vms: Vec<Vm>,
    planner: Option<(Planner, Term)>,
    /// What the entry that plans has read.
    mirrors: Mirrors,
    /// Time within which an evacuated zone has to be free of new starts; `None` if none are evacuated.
    pub evacuate_within: Option<Duration>,
    /// Whether the planner does not learn of changes of the evacuated zones.
    pub zones_unread: bool,
    /// Number of reads of evacuated zones by agents.
    pub zone_reads: usize,
    takeover_blocked: bool,
    /// Limits of the planner's batches.
    pub batch_limits: split::Limits,
    /// Maximum size of the value of a row that the planner writes, in bytes. Batches with larger ones
    /// are rejected as the store does.
    pub max_row_bytes: usize,
    /// Number of batches after which the planner ends.
    crash_after: Option<usize>,
    /// Violated invariants, in order; at most 20 are kept.
    pub violations: Vec<String>,
    /// What the planners have noticed, in order.
    pub observations: Vec<Observation>,
    /// What the planners have decided, in order.
    pub decisions: Vec<Decision>,
    cancelled: BTreeSet<Id>,
    /// Tasks that crash each worker that starts them, and how long it is down.
    deadly: BTreeMap<Task, Duration>,
    /// Deadly tasks whose worker crashes before it answers the start.
    unanswered: BTreeSet<Task>,
    /// VMs whose worker crashes at each start, and how long it is down.
    crashing_workers: BTreeMap<usize, Duration>,
    /// How many workers crashed under each task.
    crashes: BTreeMap<Task, u32>,
    requests: BTreeMap<Id, Request>,
    /// Run time of the tasks of a job, in milliseconds, if it differs from the default.
    work_ms_by_job: BTreeMap<Id, u64>,
    next_boot: u64,
}

/// Returns a queue for the configuration of a simulated cell.
#[must_use]
pub fn queue(name: &str, priority: u32) -> Queue {
    Queue {
        name: name.to_owned(),
        host: "studio.example".to_owned(),
        prefix: format!("/{name}/"),
        service: SERVICE.to_owned(),
        priority,
        attempts: 3,
        stretch_permille: 3_000,
        latency_ms: 1_000,
        public: false,
        advised: false,
    }
}

/// Returns the settings of an entry process that uses a stand-in for the store.
#[must_use]
pub fn entry_settings() -> Settings {
    Settings {
        name: "entry-1".to_owned(),
        revoke_within: Duration::from_mins(10),
        evacuate_within: None,
        grant: Duration::from_secs(5),
        keep: Duration::from_mins(2),
        gang_wait: Duration::from_secs(3),
        max_writes: 14,
        max_reads: 8,
    }
}

impl Cell {
    /// Creates a cell of workers with 8 accelerators each, 3 per rack, and two workspaces that are
    /// guaranteed 16 accelerators each.
    #[must_use]
    pub fn new(workers: usize) -> Self {
        Self::with_racks(workers, 3)
    }

    /// Creates a cell as [`Cell::new`] does, with another number of workers per rack.
    #[must_use]
    pub fn with_racks(workers: usize, rack: usize) -> Self {
        let workspace = |name: &str| Workspace {
            name: name.to_owned(),
            keys: vec![format!("key-{name}")],
            guaranteed: 16,
        };
        let config = Config {
            version: Version(1),
            queues: vec![queue("urgent", 0), queue("normal", 1), queue("low", 2)],
            workspaces: vec![workspace("ana"), workspace("luis")],
            services: Vec::new(),
            max_body_bytes: 0,
        };
        let vms = (0..workers).map(|number| Vm {
            name: format!("vm-{number}"),
            rack: format!("r{}", number / rack.max(1)),
            zone: String::new(),
            worker: Target::new(1, u64::try_from(number).unwrap_or(0)),
            agent: None,
            store_unreachable: false,
            frozen: false,
            unheard: false,
            heartbeats: 0,
            report_fate: ReportFate::Answered,
        });
        Self {
            now: Time::from_secs(100),
            rows: Rows::default(),
            config,
            planner_skew_ms: 0,
            entry_skew_ms: 0,
            store_has_clock: true,
            store_start_ms: STORE_START_MS,
            vms: vms.collect(),
            planner: None,
            mirrors: Mirrors::default(),
            evacuate_within: None,
            zones_unread: false,
            zone_reads: 0,
            takeover_blocked: false,
            batch_limits: split::Limits::default(),
            max_row_bytes: MAX_ROW_BYTES,
            crash_after: None,
            violations: Vec::new(),
            observations: Vec::new(),
            decisions: Vec::new(),
            cancelled: BTreeSet::new(),
            deadly: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            crashing_workers: BTreeMap::new(),
            crashes: BTreeMap::new(),
            requests: BTreeMap::new(),
            work_ms_by_job: BTreeMap::new(),
            next_boot: 1,
        }
    }

    /// Appends a suffix to the names of all VMs, which are those of their agents. Has to be called before
    /// the first step.
    pub fn extend_names(&mut self, suffix: &str) {
        for vm in &mut self.vms {
            vm.name.push_str(suffix);
        }
    }

    /// Writes an accepted job to the store.
    pub fn submit(&mut self, id: Id, queue: &str, workspace: &str, request: Request) {
        let queue = self.config.queue_named(queue).cloned().unwrap_or_default();
        self.requests.insert(id, request.clone());
        let job = Job {
            queue,
            workspace: Some(workspace.to_owned()),
            accepted_ms: self.wall_ms().saturating_add_signed(self.entry_skew_ms),
            accepted_at: Some(self.rows.now).filter(|now| *now != StoreTime(0)),
            cancelled: false,
            request: Some(request),
        };
        self.put_job(id, &job);
    }

    /// Sets the zone of a VM.
    pub fn set_zone(&mut self, vm: usize, zone: &str) {
        zone.clone_into(&mut self.vms[vm].zone);
    }

    /// Evacuates a zone as operators do, or returns it to service.
    pub fn set_evacuated(&mut self, zone: &str, evacuated: bool) {
        let value = evacuated.then(|| b"{}".to_vec());
        self.rows.write(Write { table: Table::Operator, key: zone_key(zone), value });
    }

    /// Returns how many runs the workers of a zone have started.
    #[must_use]
    pub fn starts_in(&self, zone: &str) -> usize {
        let vms = self.vms.iter().filter(|vm| vm.zone == zone);
        vms.map(|vm| vm.worker.starts.len()).sum()
    }

    /// Sets the run time of the tasks of a job.
    pub fn set_work_time(&mut self, id: Id, work: Duration) {
        self.work_ms_by_job.insert(id, u64::try_from(work.as_millis()).unwrap_or(u64::MAX));
    }

    /// Returns the work that was lost on all workers, in core-milliseconds.
    #[must_use]
    pub fn lost_core_ms(&self) -> u64 {
        self.vms.iter().map(|vm| vm.worker.lost_core_ms).sum()
    }

    /// Returns the jobs that have reached a final state.
    #[must_use]
    pub fn ended(&self) -> BTreeMap<Id, State> {
        let jobs = self.jobs();
        let all = self.requests.keys().filter_map(|id| Some((*id, jobs.state(*id)?)));
        all.filter(|(_, state)| state.is_final()).collect()
    }

    /// Cancels a job in the store; does nothing if it is unknown.
    pub fn cancel(&mut self, id: Id) {
        let jobs = self.jobs();
        if let Some(job) = jobs.job(id) {
            self.put_job(id, &Job { cancelled: true, ..job.clone() });
            self.cancelled.insert(id);
        }
    }

    /// Returns the state of a job, or `None` if it is unknown.
    #[must_use]
    pub fn state(&self, id: Id) -> Option<State> {
        self.jobs().state(id)
    }

    /// Returns how many jobs of a queue are counted as waiting for their first start.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        self.jobs().pending(queue)
    }

    /// Returns the tasks that a worker runs now, with their run numbers.
    #[must_use]
    pub fn running(&self, vm: usize) -> Vec<(Task, u32)> {
        self.vms[vm].worker.running().collect()
    }

    /// Returns how often workers started tasks of a job.
    #[must_use]
    pub fn starts(&self, id: Id) -> usize {
        let starts = self.vms.iter().flat_map(|vm| vm.worker.starts.iter());
        starts.filter(|(task, _)| task.job == id).count()
    }

    /// Returns the tasks that are marked to be stopped in the orders of all agents.
    #[must_use]
    pub fn stopping(&self) -> Vec<Task> {
        let mut orders = Mirror::<Order>::default();
        orders.reset(&self.rows.snapshot(Table::Orders));
        let mut stopping = Vec::new();
        for (key, _, order) in orders.iter() {
            let marked = order.tasks.iter().filter(|task| task.stop);
            if let Some((_, group)) = record::parse_order_key(key) {
                stopping.extend(marked.map(|task| group.task(task.index)));
            }
        }
        stopping
    }

    /// Makes a task crash each worker that starts it; the worker is back after `down`.
    pub fn set_deadly(&mut self, task: Task, down: Duration) {
        self.deadly.insert(task, down);
    }

    /// Makes a task crash each worker that starts it, before the start is answered.
    pub fn set_deadly_unanswered(&mut self, task: Task, down: Duration) {
        self.set_deadly(task, down);
        self.unanswered.insert(task);
    }

    /// Makes the worker of a VM crash at each start; it is back after `down`.
    pub fn set_crashing(&mut self, vm: usize, down: Duration) {
        self.crashing_workers.insert(vm, down);
    }

    /// Returns how many workers crashed under a task.
    #[must_use]
    pub fn crashes(&self, task: Task) -> u32 {
        self.crashes.get(&task).copied().unwrap_or(0)
    }

    /// Returns the worker of a VM, for example to inject a failure.
    pub fn worker(&mut self, vm: usize) -> &mut Target {
        &mut self.vms[vm].worker
    }

    /// Ends the process of an agent. A new one starts in the next step in which it can reach the
    /// store.
    pub fn restart_agent(&mut self, vm: usize) {
        self.vms[vm].agent = None;
    }

    /// Lets the next report of an agent reach the store without an answer and without effect so far, and
    /// ends the agent's process with it.
    pub fn hold_last_report(&mut self, vm: usize) {
        self.vms[vm].report_fate = ReportFate::HoldsNext;
        while !matches!(self.vms[vm].report_fate, ReportFate::Held(_)) {
            self.step();
        }
        self.restart_agent(vm);
    }

    /// Lets the store apply the report of an agent that was held. Returns whether its condition held.
    ///
    /// # Panics
    ///
    /// Panics if none was held.
    pub fn apply_held_report(&mut self, vm: usize) -> bool {
        let ReportFate::Held(batch) = std::mem::take(&mut self.vms[vm].report_fate) else {
            panic!("no report of VM {vm} is held");
        };
        matches!(self.rows.commit(&batch), Outcome::Applied(_))
    }

    /// Cuts an agent off from the store, or reconnects it.
    pub fn set_store_unreachable(&mut self, vm: usize, unreachable: bool) {
        self.vms[vm].store_unreachable = unreachable;
    }

    /// Suspends the process of an agent, or resumes it.
    pub fn set_frozen(&mut self, vm: usize, frozen: bool) {
        self.vms[vm].frozen = frozen;
    }

    /// Makes an agent hear nothing of its worker: heartbeats are lost and polls wait. Other calls arrive.
    pub fn set_unheard(&mut self, vm: usize, unheard: bool) {
        self.vms[vm].unheard = unheard;
    }

    /// Ends the planner. Another takes over in the next step, unless takeover is blocked.
    pub fn crash_planner(&mut self) {
        self.planner = None;
    }

    /// Ends the planner once it has written this many more batches, possibly in the middle of a
    /// plan. Another takes over in the next step.
    pub fn crash_planner_after(&mut self, batches: usize) {
        self.crash_after = Some(batches);
    }

    /// Ends the planner, and blocks or allows the takeover by another.
    pub fn block_takeover(&mut self, blocked: bool) {
        self.planner = None;
        self.takeover_blocked = blocked;
    }

    /// Ends all processes and workers at once, as a power failure does. Only the rows of the store
    /// remain.
    pub fn lose_power(&mut self) {
        self.planner = None;
        for vm in &mut self.vms {
            vm.agent = None;
            vm.worker.restart();
        }
    }

    /// Advances the simulation by a span of time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulation until a condition holds, at most by a span of time. Returns whether
    /// the condition holds.
    pub fn run_until(&mut self, span: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + span;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.step();
        }
        done(self)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let store_ms =
            if self.store_has_clock { self.store_start_ms + self.now.0 / 1_000 } else { 0 };
        self.rows.now = StoreTime(store_ms);
        for vm in &mut self.vms {
            vm.worker.advance(STEP);
        }
        self.break_gangs();
        for index in 0..self.vms.len() {
            self.drive_agent(index);
        }
        self.drive_planner();
        self.check();
    }

    fn wall_ms(&self) -> u64 {
        self.now.0 / 1_000
    }

    fn jobs(&self) -> Jobs {
        let mut jobs = Jobs::default();
        jobs.reset(self.rows.snapshot(Table::Jobs));
        jobs
    }

    fn put_job(&mut self, id: Id, job: &Job) {
        let (key, value) = (record::job_key(id), Some(record::encode(job)));
        self.rows.write(Write { table: Table::Jobs, key, value });
    }

    /// Ends the other members of each gang of which a member has ended unsuccessfully.
    fn break_gangs(&mut self) {
        let gang = |requests: &BTreeMap<Id, Request>, task: Task| {
            let step = requests.get(&task.job)?.steps.get(usize::from(task.step))?;
            step.gang.then_some(())
        };
        let mut broken = BTreeSet::new();
        for vm in &self.vms {
            for (task, run) in vm.worker.unsuccessful_runs() {
                if gang(&self.requests, task).is_some() {
                    broken.insert((task.group(), run));
                }
            }
        }
        for vm in &mut self.vms {
            vm.worker.break_gangs(&broken);
        }
    }

    fn drive_agent(&mut self, index: usize) {
        let now = self.now;
        let vm = &mut self.vms[index];
        if vm.frozen {
            return;
        }
        let Some(agent) = &mut vm.agent else {
            if !vm.store_unreachable {
                let within = self.evacuate_within;
                vm.agent = Some(start_agent(&self.rows, &vm.name, self.next_boot, now, within));
                self.next_boot += 1;
            }
            return;
        };
        let mut urgent = false;
        if !vm.unheard && !vm.worker.is_down() {
            vm.heartbeats += 1;
            let heartbeat = heartbeat(&vm.worker, &vm.rack, vm.heartbeats);
            urgent = agent.reconciler.heartbeat(now, heartbeat);
        }
        let reached = (!vm.unheard).then_some(&mut vm.worker);
        let listing = reached.and_then(|worker| poll(&mut agent.reconciler, worker, now));
        let ended = listing
            .is_some_and(|listing| agent.reconciler.apply_listing(now, now, &listing))
            || agent.reconciler.end_lapsed(now);
        if !vm.store_unreachable {
            let (from, to) = Reconciler::order_range(&vm.name);
            let own: Vec<Row> = self.rows.range(Table::Orders, &from, &to).collect();
            agent.reconciler.apply_orders(&own);
            if urgent || ended || now.since(agent.reported) >= REPORT_INTERVAL {
                if matches!(vm.report_fate, ReportFate::HoldsNext) {
                    let batch = agent.reporter.batch(worker_report(agent, &vm.zone, now));
                    vm.report_fate = ReportFate::Held(batch);
                    return;
                }
                if report(&mut self.rows, agent, (&vm.name, &vm.zone), now) == Ack::FormerReport {
                    // The next step recovers from the row, as at the start of a process.
                    vm.agent = None;
                    return;
                }
            }
        }
        if let Some((until, task, run)) = agent.lost_start {
            if now < until {
                return;
            }
            agent.lost_start = None;
            agent.reconciler.start_answered(now, task, run, StartAnswer::NoAnswer);
        }
        let path = Some(&self.rows).filter(|_| !vm.store_unreachable);
        self.zone_reads += check_clearance(path, agent, &vm.zone, now);
        while let Some(action) = agent.reconciler.next_call(now) {
            let addressee = agent.reconciler.incarnation().id.clone();
            let token = agent.reconciler.token();
            match action {
                Action::Identify => {
                    let is_fenced = vm.worker.is_fenced("", token);
                    let listing = vm.worker.list_runs("", None, 0).filter(|_| !is_fenced);
                    agent.reconciler.identified(now, now, listing.as_ref());
                }
                Action::Start { task, run, checkpoint, deadline_ms, .. } => {
                    let size = size_of(&self.requests, &self.work_ms_by_job, task);
                    let answer = if vm.worker.is_fenced(&addressee, token) {
                        StartAnswer::Fenced
                    } else {
                        vm.worker.start(&addressee, (task, run), size, &checkpoint, deadline_ms)
                    };
                    let lost = self.unanswered.contains(&task) && answer == StartAnswer::Started;
                    if lost {
                        agent.lost_start = Some((now + CALL_TIMEOUT, task, run));
                    } else {
                        agent.reconciler.start_answered(now, task, run, answer);
                    }
                    let down = self.deadly.get(&task).or_else(|| self.crashing_workers.get(&index));
                    if let (Some(down), StartAnswer::Started) = (down, answer) {
                        for (task, _) in vm.worker.running() {
                            *self.crashes.entry(task).or_default() += 1;
                        }
                        vm.worker.crash(*down);
                    }
                    if lost || answer == StartAnswer::NoAnswer {
                        break;
                    }
                }
                Action::Stop { task, run } => {
                    let answered = !vm.worker.is_fenced(&addressee, token)
                        && vm.worker.stop(&addressee, (task, run));
                    agent.reconciler.stop_call_done(now, task, run, answered);
                    if !answered {
                        break;
                    }
                }
            }
        }
    }

    fn drive_planner(&mut self) {
        if self.takeover_blocked {
            return;
        }
        let wall_ms = self.wall_ms().saturating_add_signed(self.planner_skew_ms);
        if self.planner.is_none() {
            self.mirrors = Mirrors::default();
        }
        let Mirrors { jobs, orders, workers, zones, store_clock } = &mut self.mirrors;
        if !self.zones_unread {
            zones.reset(ZONE_PREFIX, &self.rows.snapshot(Table::Operator));
        }
        let snapshot = self.rows.snapshot(Table::Jobs);
        store_clock.record(self.now, self.now, snapshot.now);
        jobs.reset(snapshot);
        orders.reset(&self.rows.snapshot(Table::Orders));
        workers.reset(&self.rows.snapshot(Table::Workers));
        if self.planner.is_none() {
            let (version, role) = jobs.role();
            let settings = planner::Settings {
                grant: grant::span(MAX_LEASE),
                retention: Duration::from_mins(2),
                gang_wait: Duration::from_secs(3),
                report_interval: REPORT_INTERVAL,
            };
            let term = Term::new(version, role.epoch.next());
            self.planner = Some((Planner::new(settings), term));
        }
        let Some((planner, term)) = &mut self.planner else {
            return;
        };
        let plan = planner.plan(Input {
            now: self.now,
            wall_ms,
            store_now: store_clock.at(self.now),
            config: &self.config,
            evacuation: self.evacuate_within.map(|within| Evacuation { zones, within }),
            jobs,
            orders,
            workers,
            reports_read: Some(self.now),
            epoch: term.epoch,
        });
        self.observations.extend(plan.observations);
        let decisions = plan.decisions;
        let mut queue = split::Queue::new(plan.writes, self.batch_limits);
        let mut tag = self.now.0;
        while let Some(writes) = queue.pop() {
            if self.crash_after == Some(0) {
                self.crash_after = None;
                self.planner = None;
                return;
            }
            let bytes = writes.iter().filter_map(|write| Some(write.value.as_ref()?.len())).max();
            if bytes.is_some_and(|bytes| bytes > self.max_row_bytes) {
                if let Some(job) = queue.reject(writes).and_then(|row| row.job) {
                    planner.record_unwritable(job);
                }
                continue;
            }
            tag += 1;
            let batch = term.build_batch("planner", tag, writes);
            let entries = batch.conditions.len() + batch.writes.len();
            if entries > MAX_BATCH_ENTRIES {
                self.violations.push(format!("a batch has {entries} entries"));
            }
            let outcome = self.rows.commit(&batch);
            if term.resolve(batch, &outcome) == WriteResult::Lost {
                self.planner = None;
                return;
            }
            self.crash_after = self.crash_after.map(|left| left - 1);
        }
        self.decisions.extend(decisions);
        for update in plan.row_updates {
            // A failed update is planned again if the agent still sends no report.
            let _ = self.rows.commit(&update);
        }
    }

    /// Checks the invariants: no task runs twice at once or after it was done, and no start brings
    /// a worker over its capacity.
    fn check(&mut self) {
        let mut seen: BTreeMap<Task, u32> = BTreeMap::new();
        for vm in &mut self.vms {
            for (task, run) in vm.worker.running() {
                if seen.insert(task, run).is_some() {
                    self.violations.push(format!("{} {task} runs twice at once", self.now));
                }
            }
            for (task, run) in vm.worker.starts_over_capacity.drain(..) {
                let text = format!("{} {} is over its capacity: {task} {run}", self.now, vm.name);
                self.violations.push(text);
            }
        }
        let done: BTreeSet<Task> =
            self.vms.iter().flat_map(|vm| vm.worker.acked_done.iter().copied()).collect();
        for task in seen.keys().filter(|task| done.contains(task)) {
            self.violations.push(format!("{} {task} runs after it was done", self.now));
        }
        self.violations.truncate(20);
    }

    /// Returns whether a task has finished and a worker got the acknowledgement of its end.
    #[must_use]
    pub fn is_done_acked(&self, task: Task) -> bool {
        self.vms.iter().any(|vm| vm.worker.acked_done.contains(&task))
    }
}

/// Starts an agent process from the last report and the orders in the store.
fn start_agent(
    rows: &Rows,
    name: &str,
    boot: u64,
    now: Time,
    evacuate_within: Option<Duration>,
) -> Agent {
    let row = rows.get(Table::Workers, name);
    let mut orders = rows.snapshot(Table::Orders);
    orders.rows.retain(|row| row.key.starts_with(&format!("{name}/")));
    let last: Option<Worker> = row.as_ref().and_then(|row| record::decode(row.value.as_deref()?));
    let last = last.or_else(|| report::restore(&orders).filter(|_| row.is_some()));
    let version = row.map_or(Version(0), |row| row.version);
    let reporter = Reporter::new(name, boot, version, last.as_ref());
    let mut reconciler = Reconciler::new(name, last.as_ref(), now, MAX_LEASE);
    reconciler.begin_session(reporter.session());
    reconciler.raise_token(Fence(now.0));
    reconciler.reset_orders(&orders);
    let clearance = evacuate_within.map(Clearance::new);
    Agent { reconciler, reporter, reported: now, lost_start: None, clearance }
}

/// Polls a worker as its agent does.
fn poll(agent: &mut Reconciler, worker: &mut Target, now: Time) -> Option<Listing> {
    let addressee = agent.poll_incarnation().id;
    let (deadline_ms, acked) = (agent.renew_lease(now), agent.ack_cursor(now));
    if worker.is_fenced(&addressee, agent.token()) {
        agent.poll_fenced();
        return None;
    }
    let listing = worker.list_runs(&addressee, deadline_ms, acked);
    if listing.is_none() {
        agent.poll_failed();
    }
    listing
}

/// Returns what an agent reports of its worker.
fn worker_report(agent: &Agent, zone: &str, now: Time) -> Worker {
    Worker { zone: zone.to_owned(), ..agent.reconciler.report(now) }
}

/// Returns the key of the row by which operators evacuate a zone.
fn zone_key(zone: &str) -> String {
    format!("{ZONE_PREFIX}{zone}")
}

/// Reads whether the zone of an agent is evacuated if that is due, and holds its starts back or returns
/// them if it may not start anything. `rows` is what the agent reaches of the store. Returns the number of
/// reads.
fn check_clearance(rows: Option<&Rows>, agent: &mut Agent, zone: &str, now: Time) -> usize {
    let Some(clearance) = &mut agent.clearance else {
        return 0;
    };
    let reconciler = &mut agent.reconciler;
    let reads = usize::from(clearance.needs_read(now, reconciler.has_starts()));
    if reads > 0 {
        clearance.read_sent(now);
        if let Some(rows) = rows {
            let row = rows.get(Table::Operator, &zone_key(zone));
            let version = rows.snapshot(Table::Operator).version;
            clearance.read_answered(now, version, row.map(|row| row.version));
        } else {
            clearance.read_failed(now);
        }
    }
    if !reconciler.has_starts() {
        clearance.record_idle();
        return reads;
    }
    let verdict = clearance.check(now);
    reconciler.hold_starts(verdict != Verdict::Start);
    if verdict == Verdict::Return {
        reconciler.return_unstarted();
    }
    reads
}

/// Stores an agent's report. Returns what its outcome means.
fn report(rows: &mut Rows, agent: &mut Agent, (name, zone): (&str, &str), now: Time) -> Ack {
    let listed = agent.reconciler.listed();
    let batch = agent.reporter.batch(worker_report(agent, zone, now));
    let outcome = rows.commit(&batch);
    let ack = agent.reporter.handle_outcome(&outcome, now.0);
    match ack {
        Ack::Granted => agent.reconciler.report_stored(now, grant::span(MAX_LEASE), listed),
        Ack::RereadOrders => {
            let mut orders = rows.snapshot(Table::Orders);
            orders.rows.retain(|row| row.key.starts_with(&format!("{name}/")));
            agent.reconciler.reset_orders(&orders);
            agent.reporter.orders_reread();
            agent.reconciler.report_stored(now, grant::span(MAX_LEASE), listed);
        }
        Ack::SessionEnded => {
            agent.reconciler.begin_session(agent.reporter.session());
            return ack;
        }
        Ack::Resend | Ack::FormerReport => return ack,
    }
    agent.reported = now;
    ack
}

fn size_of(
    requests: &BTreeMap<Id, Request>,
    work_ms_by_job: &BTreeMap<Id, u64>,
    task: Task,
) -> Size {
    let step = requests.get(&task.job).and_then(|r| r.steps.get(usize::from(task.step)));
    let work_ms = work_ms_by_job.get(&task.job).copied().unwrap_or(target::DEFAULT_WORK_MS);
    let need = step.map(|step| step.need).unwrap_or_default();
    Size { need, work_ms, checkpoints: step.is_none_or(|step| step.checkpoints) }
}

fn heartbeat(worker: &Target, rack: &str, sequence: u64) -> Heartbeat {
    Heartbeat {
        incarnation: worker.incarnation(),
        sequence,
        clock_ms: worker.clock_ms(),
        draining: worker.draining,
        service: SERVICE.to_owned(),
        labels: vec!["a".to_owned(), rack.to_owned()],
        capacity: worker.capacity(),
        remaining_ms: 3_000,
        cold_ms: 0,
    }
}
