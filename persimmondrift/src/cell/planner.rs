//! The planner of a cell: from the rows of the store to the next batch of writes.
//!
//! It keeps nothing that has to survive. Each round starts from the rows, so a planner that takes
//! over goes on where the last one stopped, and a batch that was cut short by its size is
//! continued by the next round. What it remembers between rounds are hints: when it last heard of
//! an agent, which workers are suspected, and when a gang was ordered.

mod displace;
mod draft;
mod fold;
mod place;
mod watch;

use std::collections::HashMap;
use std::time::Duration;

use super::access::{Config, Queue};
use super::health::Health;
use super::job::{Group, Id, Request, Task};
use super::mirror::{Jobs, Mirror};
use super::record::{Job, Order, Worker};
use super::reserve::Reserve;
use super::table::{Batch, Write};
use crate::unit::{Epoch, Time, Version};

pub use draft::MAX_BATCH_ENTRIES;

/// What a round starts from.
#[derive(Debug, Clone, Copy)]
pub struct Input<'a> {
    /// The time.
    pub now: Time,
    /// Wall-clock time in milliseconds since 1970.
    pub wall_ms: u64,
    /// The configuration in force.
    pub config: &'a Config,
    /// Jobs and their progress.
    pub jobs: &'a Jobs,
    /// Orders.
    pub orders: &'a Mirror<Order>,
    /// Reports of the agents.
    pub workers: &'a Mirror<Worker>,
    /// When the last successful read of the reports came back; nothing if none has been read.
    pub reports_read: Option<Time>,
    /// The epoch of this planner.
    pub epoch: Epoch,
}

/// What a planner goes by.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// How long a worker may run on after its agent's last report.
    pub grant: Duration,
    /// How long the state of an ended job is kept.
    pub retention: Duration,
    /// How long a gang's members wait for each other.
    pub gang_wait: Duration,
    /// How often a report is due.
    pub report_interval: Duration,
}

/// A decision, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Tasks of a group were placed.
    Placed {
        /// The group.
        group: Group,
        /// The agent.
        agent: String,
        /// How many tasks.
        count: u32,
        /// Their run.
        run: u32,
        /// Time since the job was accepted, in milliseconds.
        waited_ms: u64,
        /// Version of the agent's report.
        report: Version,
    },
    /// A run is to be stopped.
    Stopped {
        /// The task.
        task: Task,
        /// The agent.
        agent: String,
        /// Why.
        cause: Cause,
    },
    /// The end of a run was taken in.
    Ended {
        /// The task.
        task: Task,
        /// The run.
        run: u32,
        /// The agent.
        agent: String,
        /// How it ended.
        ending: super::record::Ending,
    },
    /// A job has reached a final state.
    Concluded {
        /// The job.
        job: Id,
        /// The state.
        state: super::record::State,
        /// Time since the job was accepted, in milliseconds.
        after_ms: u64,
    },
    /// The grant of a silent agent has run out, and its session is ended.
    Revoked {
        /// The agent.
        agent: String,
        /// Time since its last report, in milliseconds.
        silent_ms: u64,
    },
    /// An agent that stayed silent is forgotten.
    Removed {
        /// The agent.
        agent: String,
    },
}

/// Why a run is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The caller cancelled the job.
    Cancelled,
    /// The job has ended otherwise.
    JobOver,
    /// Another member of the gang has ended.
    GangBroken,
    /// Not all members of the gang have started in time.
    GangLate,
    /// Its worker leaves.
    Draining,
    /// It makes no progress.
    Stalled,
    /// Its room is claimed under a guarantee, or by what is more urgent.
    Reclaimed,
}

/// A round's result.
#[derive(Debug, Default)]
pub struct Plan {
    /// What is written on condition of the planner's role.
    pub writes: Vec<Write>,
    /// Batches of their own, on condition of the row that they write. They hold whoever plans.
    pub row_updates: Vec<Batch>,
    /// The decisions.
    pub decisions: Vec<Decision>,
}

/// The planner's memory between rounds.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    /// The newest version of each agent's report, and when it was first seen.
    last_reports: HashMap<String, (Version, Time)>,
    /// When the last successful read of the reports came back.
    last_read: Time,
    health: Health,
    /// Workers kept empty for urgent work, by service.
    reserves: HashMap<String, Reserve>,
    /// When the members of a gang were ordered.
    gangs_ordered_at: HashMap<Group, Time>,
    /// The agents on whose workers tasks of a group have failed.
    failed_on: HashMap<Group, Vec<String>>,
    /// The newest checkpoints that agents have reported.
    checkpoints: HashMap<Task, (u32, String)>,
}

impl Planner {
    /// Creates a planner that has heard of nobody.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            last_reports: HashMap::new(),
            last_read: Time(0),
            health: Health::default(),
            reserves: HashMap::new(),
            gangs_ordered_at: HashMap::new(),
            failed_on: HashMap::new(),
            checkpoints: HashMap::new(),
        }
    }

    /// Plans a round.
    #[must_use]
    pub fn plan(&mut self, input: Input<'_>) -> Plan {
        let Some(read) = input.reports_read else {
            // An agent whose report was not read yet looks like one that is gone.
            return Plan::default();
        };
        self.record_reports(&input, read);
        let mut draft = draft::Draft::new(input);
        self.apply_ends(&mut draft);
        self.stop_runs(&mut draft);
        self.conclude(&mut draft);
        self.expire_agents(&mut draft, read);
        self.assign(&mut draft);
        draft.finish()
    }

    /// Returns how long ago an agent's newest report was first seen.
    fn time_since_report(&self, now: Time, agent: &str) -> Duration {
        self.last_reports.get(agent).map_or(Duration::ZERO, |(_, at)| now.since(*at))
    }
}

/// Returns the queue of a job by the newest configuration, or as it was accepted.
fn queue_of<'a>(config: &'a Config, job: &'a Job) -> &'a Queue {
    config.queue_named(&job.queue.name).unwrap_or(&job.queue)
}

/// Returns the job and the request of an id, if it was accepted.
fn request_of(jobs: &Jobs, id: Id) -> Option<(&Job, &Request)> {
    let job = jobs.job(id)?;
    Some((job, job.request.as_ref()?))
}
