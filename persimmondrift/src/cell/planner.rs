//! The planner of a cell: computes the next writes from the rows of the store.
//!
//! Each round starts from the rows, so a new planner continues where the last one stopped. The
//! writes of a plan may take several batches, and the holder of the role may end between any two of
//! them. So each prefix of a plan is consistent: progress comes before orders, and a task that
//! counts as ordered although no order holds its run was never sent, so it waits again, with that
//! run number used. A plan that is written only in part then means:
//!
//! - placing: the run is counted and was not sent. The members of a gang that were sent are stopped,
//!   since another member waits.
//! - ending: the end is counted, and the order still holds the run. The agent lists the end until
//!   the order changes, and an end of a run that is not ordered any more changes only the order.
//!   So a run that ended `done` is never run again.
//! - stopping: only orders change, and the rest is stopped in a later round for the same cause.
//! - removing an ended job: its own row goes first and it has no orders; each row goes by itself.
//!
//! The memory between rounds holds only hints: when each agent last reported, which workers are
//! suspected, and when the members of a gang were ordered.

mod begin;
mod crash;
mod displace;
mod draft;
mod evacuate;
mod fold;
mod idle;
mod late;
mod observe;
mod place;
mod suspect;
mod unsent;
mod watch;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use super::access::Config;
use super::evacuation::Evacuation;
use super::health::{Health, Trust};
use super::job::{Group, Id, Request, Resources, Task};
use super::mirror::{Jobs, Mirror};
use super::pressure::Pressure;
use super::progress::Failure;
use super::rank::Rank;
use super::record::{Job, Order, Worker};
use super::reserve::Reserve;
use super::store_clock;
use super::table::{Batch, Write};
use crate::unit::{Epoch, Time, Version};

pub use observe::{Exclusion, Fault, Observation, Unusable, WaitReason};
pub use unsent::unsent_jobs;

/// The input of a round.
#[derive(Debug, Clone, Copy)]
pub struct Input<'a> {
    /// Current time on the clock of this process.
    pub now: Time,
    /// Current wall-clock time in milliseconds since 1970.
    pub wall_ms: u64,
    /// Current time of the store's clock; `None` if the store gives none.
    pub store_now: Option<store_clock::Bounds>,
    /// The configuration in force.
    pub config: &'a Config,
    /// The evacuated zones; `None` if zones are not evacuated.
    pub evacuation: Option<Evacuation<'a>>,
    /// Accepted jobs and their progress.
    pub jobs: &'a Jobs,
    /// Orders to the agents, as written by this planner and its predecessors.
    pub orders: &'a Mirror<Order>,
    /// The newest report of each agent, by agent name.
    pub workers: &'a Mirror<Worker>,
    /// Time of the last successful read of the reports; `None` before the first.
    pub reports_read: Option<Time>,
    /// Epoch of this planner, written into its orders so that agents fence off older planners.
    pub epoch: Epoch,
}

impl Input<'_> {
    /// Returns whether the zone of a worker is evacuated.
    fn is_evacuated(&self, worker: &Worker) -> bool {
        self.evacuation.is_some_and(|own| own.zones.request(&worker.zone).is_some())
    }

    /// Returns the time since a job was accepted, in milliseconds. Without a time of the store's clock it
    /// depends on the time of day of two VMs.
    fn age_ms(&self, job: &Job) -> u64 {
        job.accepted_at.zip(self.store_now).map_or_else(
            || self.wall_ms.saturating_sub(job.accepted_ms),
            |(accepted_at, now)| now.earliest.0.saturating_sub(accepted_at.0),
        )
    }
}

/// Time limits of a planner.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long a worker may keep running after its agent's last report.
    pub grant: Duration,
    /// How long the rows of an ended job are kept.
    pub retention: Duration,
    /// How long the members of a gang wait for each other to start.
    pub gang_wait: Duration,
    /// Interval at which each agent reports.
    pub report_interval: Duration,
}

/// A decision of a round, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Tasks of a group were placed.
    Placed {
        /// Group that the tasks belong to.
        group: Group,
        /// Agent of the worker that is to run them.
        agent: String,
        /// Number of tasks placed on this worker.
        count: u32,
        /// Run number of the first task; the members of a gang share it.
        run: u32,
        /// Time since the job was accepted, in milliseconds.
        waited_ms: u64,
        /// Version of the agent's report that the placement relied on.
        report: Version,
        /// Trust in the worker.
        trust: Trust,
        /// Resources that the worker has left after the placement.
        left: Resources,
        /// Thousandths of a core that each task takes; an accelerator counts as 8 cores.
        task_millicores: u64,
        /// Whether a stopped task resumes from its last checkpoint.
        checkpoints: bool,
    },
    /// A run was marked to be stopped.
    Stopped {
        /// Task whose run is stopped.
        task: Task,
        /// Run number.
        run: u32,
        /// Agent of the worker that it was ordered on.
        agent: String,
        /// Reason for the stop.
        cause: Cause,
        /// Claim on its resources, if it is stopped for another group.
        claim: Option<Claim>,
    },
    /// The end of a run was removed from the orders and applied to the progress of its job.
    Ended {
        /// Task that was run.
        task: Task,
        /// Run number, counted per task from 1.
        run: u32,
        /// Agent of the worker that it was ordered on.
        agent: String,
        /// How the run ended.
        ending: super::record::Ending,
        /// What the end was concluded from.
        basis: Basis,
        /// Version of the agent's report that it was concluded from; 0 if there is none.
        report: Version,
        /// Time since that report was first seen, in milliseconds.
        report_age_ms: u64,
    },
    /// A job has reached a final state.
    Concluded {
        /// Job that has ended.
        job: Id,
        /// Final state of the job.
        state: super::record::State,
        /// Time since the job was accepted, in milliseconds.
        after_ms: u64,
        /// Why it failed, if it did.
        failure: Option<Failure>,
    },
    /// A crash of a worker was recorded for a task that ran there.
    CrashRecorded {
        /// Task that was run.
        task: Task,
        /// Run number.
        run: u32,
        /// Agent of the worker.
        agent: String,
        /// Whether the worker crashed soon after the start.
        at_start: bool,
        /// Whether the worker is known to have started the run.
        answered: bool,
        /// Whether another worker had crashed under the task before.
        suspected: bool,
        /// Whether its job is to blame, since no other was suspected there.
        sole_suspect: bool,
        /// Number of crashes that are recorded for the task.
        crashes: usize,
    },
    /// Something was left out of a job's progress, since the store would not accept its row.
    ProgressBounded {
        /// Job of the row.
        job: Id,
        /// Number of agents whose names are no longer known of the crashes of their workers.
        agents: usize,
        /// Number of tasks that start without their checkpoint.
        checkpoints: usize,
    },
    /// The grant of a silent agent has expired, and its session is revoked.
    Revoked {
        /// Agent whose session is revoked.
        agent: String,
        /// Time since its last report, in milliseconds.
        silent_ms: u64,
    },
    /// The report of a revoked agent that stayed silent is removed.
    Removed {
        /// Agent whose report is removed.
        agent: String,
    },
}

/// What the end of a run is concluded from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// The agent's report lists the end.
    Listed,
    /// The agent has no report.
    NoReport,
    /// The worker has another incarnation than the run was ordered for.
    Incarnation,
    /// The agent has another session than the run was ordered for.
    Session,
    /// The agent's session is revoked.
    Revoked,
    /// No order was stored for the run.
    Unsent,
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The caller cancelled the job.
    Cancelled,
    /// The job has reached a final state, or one of its tasks has exhausted its attempts.
    JobOver,
    /// The run of another member of the gang has ended, and its task has to run again.
    GangBroken,
    /// Not all members of the gang started in time.
    GangLate,
    /// The worker is draining, and the run would not end before it leaves.
    Draining,
    /// The run has made no progress for too long.
    Stalled,
    /// An earlier run of the task turned out to have ended as done after it was written off.
    AlreadyDone,
    /// The resources are needed by a guaranteed or more urgent group.
    Reclaimed,
    /// The zone of the worker is evacuated, and there is room elsewhere.
    Evacuated,
}

/// A claim of a waiting group on the resources of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Group that claims the resources.
    pub group: Group,
    /// Rank of the group.
    pub rank: Rank,
    /// Reported progress of the run, in percent.
    pub percent: u8,
    /// Cost of the stop, in core-milliseconds; for a member of a gang, of stopping the whole gang.
    pub loss: u64,
}

/// The result of a round.
#[derive(Debug, Default)]
pub struct Plan {
    /// Rows to write in this order, in one batch or several, on condition that this entry still
    /// holds the planner's role.
    pub writes: Vec<Write>,
    /// Batches that write rows on condition of their versions, independent of who holds the planner's
    /// role. They are committed in this order.
    pub row_updates: Vec<Batch>,
    /// Decisions of the round, logged once `writes` are stored.
    pub decisions: Vec<Decision>,
    /// What the planner has noticed, logged whether or not there is anything to write.
    pub observations: Vec<Observation>,
    /// Number of runs in evacuated zones.
    pub runs_left: usize,
}

/// Plans rounds, and keeps hints between them.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    /// The newest version of each agent's report, and when it was first seen.
    last_reports: HashMap<String, (Version, Time)>,
    /// Time of the last successful read of the reports.
    last_read: Time,
    health: Health,
    /// Workers kept empty for urgent work, by service.
    reserves: HashMap<String, Reserve>,
    /// Recent claims on running work, by service.
    pressures: HashMap<String, Pressure>,
    /// When the members of each gang were last ordered.
    gangs_ordered_at: HashMap<Group, Time>,
    /// When this planner first saw each gang that an earlier one had ordered.
    adopted: HashMap<Group, Time>,
    /// Agents on whose workers tasks of a group have failed.
    failed_on: HashMap<Group, Vec<String>>,
    /// Since when each group has waited beside idle room.
    idle_since: HashMap<Group, Time>,
    /// Run and name of the newest checkpoint that was reported for each task.
    checkpoints: HashMap<Task, (u32, String)>,
    /// Jobs with a row that the store does not accept. They are about to end.
    unwritable: BTreeSet<Id>,
    /// When this planner first saw the final state of each ended job.
    ended_seen: HashMap<Id, Time>,
    /// Last fault of each agent's worker.
    last_faults: HashMap<String, Fault>,
    /// When each quarantine that is in force was first noticed.
    quarantines: HashMap<String, Time>,
    wait_log: observe::WaitLog,
    /// The newest crash of each agent's worker.
    contexts: HashMap<String, crash::Context>,
    crashes: crash::History,
    /// The evacuated zones.
    evacuations: BTreeMap<String, evacuate::Progress>,
    /// When each zone was returned to service that was a short time ago.
    returned_zones: HashMap<String, Time>,
}

impl Planner {
    /// Creates a planner that has seen no reports.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            last_reports: HashMap::new(),
            last_read: Time(0),
            health: Health::default(),
            reserves: HashMap::new(),
            pressures: HashMap::new(),
            gangs_ordered_at: HashMap::new(),
            adopted: HashMap::new(),
            failed_on: HashMap::new(),
            idle_since: HashMap::new(),
            checkpoints: HashMap::new(),
            unwritable: BTreeSet::new(),
            ended_seen: HashMap::new(),
            last_faults: HashMap::new(),
            quarantines: HashMap::new(),
            wait_log: observe::WaitLog::default(),
            contexts: HashMap::new(),
            crashes: crash::History::new(),
            evacuations: BTreeMap::new(),
            returned_zones: HashMap::new(),
        }
    }

    /// Records that the store does not accept a row of a job. The next round ends the job.
    pub fn record_unwritable(&mut self, job: Id) {
        self.unwritable.insert(job);
    }

    /// Plans a round. The plan is empty until the reports have been read once.
    #[must_use]
    pub fn plan(&mut self, input: Input<'_>) -> Plan {
        let Some(read) = input.reports_read else {
            // An agent whose report has not been read yet looks like one that is gone, and its
            // runs would be written off while they still run.
            return Plan::default();
        };
        self.record_reports(&input, read);
        self.record_zones(&input);
        let mut draft = draft::Draft::new(input);
        unsent::release(&mut draft);
        begin::record_starts(&mut draft);
        self.record_contexts(&mut draft);
        self.apply_ends(&mut draft);
        self.apply_late_ends(&mut draft);
        self.apply_losses(&mut draft);
        self.stop_runs(&mut draft);
        // Before the removal of ended jobs, whose updates would be made first.
        self.expire_agents(&mut draft, read);
        self.conclude(&mut draft);
        self.assign(&mut draft);
        self.observe_trust(&mut draft);
        crash::bound_progress(&mut draft);
        self.observe_evacuations(&mut draft);
        draft.finish()
    }

    /// Returns how long ago an agent's newest report was first seen; zero for an unknown agent.
    fn time_since_report(&self, now: Time, agent: &str) -> Duration {
        self.last_reports.get(agent).map_or(Duration::ZERO, |(_, at)| now.since(*at))
    }
}

/// Returns a job and its request; `None` if the job is unknown or was cancelled before it was
/// accepted.
fn request_of(jobs: &Jobs, id: Id) -> Option<(&Job, &Request)> {
    let job = jobs.job(id)?;
    Some((job, job.request.as_ref()?))
}
