//! Records that are stored as rows: their keys and contents.
//!
//! Types that derive their encoding are layouts of rows as they stand, so their fields and variants
//! do not change; see [`codec`] for where a new field goes.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::access::Queue;
use super::codec;
use super::job::{Group, Id, Request, Resources, Task};
use crate::unit::{Epoch, StoreTime};

/// Key of the planner's role.
pub const ROLE_KEY: &str = "role";
/// Prefix of the keys of accepted jobs.
pub const JOB_PREFIX: &str = "job/";
/// Prefix of the keys of jobs' progress.
pub const PROGRESS_PREFIX: &str = "run/";

/// Returns the key of an accepted job.
#[must_use]
pub fn job_key(id: Id) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a job's progress.
#[must_use]
pub fn progress_key(id: Id) -> String {
    format!("{PROGRESS_PREFIX}{id}")
}

/// Returns the key of an agent's order for a group.
#[must_use]
pub fn order_key(agent: &str, group: Group) -> String {
    format!("{agent}/{group}")
}

/// Returns the agent and the group of an order's key; `None` if the key is malformed, or another
/// spelling of the key that [`order_key`] returns.
#[must_use]
pub fn parse_order_key(key: &str) -> Option<(&str, Group)> {
    let (agent, text) = key.rsplit_once('/')?;
    let group: Group = text.parse().ok()?;
    (group.to_string() == text).then_some((agent, group))
}

/// Encodes a record as the value of a row.
///
/// # Panics
///
/// Panics if a record holds a value that the codec cannot write; no record type does.
#[must_use]
pub fn encode(record: &impl codec::Record) -> Vec<u8> {
    record.to_row()
}

/// Decodes the value of a row; `None` if it is malformed.
#[must_use]
pub fn decode<T: codec::Record>(value: &[u8]) -> Option<T> {
    T::from_row(value)
}

/// An accepted job. Written by the entry that accepts or cancels it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Queue that it was submitted to, as configured then. If the queue still exists, its newest
    /// configuration applies instead.
    pub queue: Queue,
    /// Workspace of the API key that it was submitted with; `None` without a key, which only public
    /// queues allow.
    pub workspace: Option<String>,
    /// When it was accepted by the time of day of the entry's VM, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// When it was accepted by the store's clock; `None` if the store or an earlier version of the
    /// program gave no time.
    pub accepted_at: Option<StoreTime>,
    /// Whether a caller cancelled it.
    pub cancelled: bool,
    /// What to run; `None` if the id was cancelled before a job was accepted.
    pub request: Option<Request>,
}

impl Job {
    /// Returns whether what it asks for is within the limits that entries check.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.request.as_ref().is_none_or(|request| request.check().is_ok())
    }
}

/// Scheduling phase of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Phase {
    /// It waits for its turn or for free resources.
    #[default]
    Waiting,
    /// An agent was ordered to run it.
    Ordered,
    /// It completed.
    Done,
}

/// Progress of one task.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TaskProgress {
    /// Scheduling phase.
    pub phase: Phase,
    /// Number of its newest run; 0 if it has not run.
    pub run: u32,
    /// Number of its failed runs. A gang counts them in its first task.
    pub failures: u16,
    /// Newest failed run of a gang, so that it counts once however many members report it.
    pub failed_run: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Crashes of workers that ran it; at most [`MAX_CRASHES`](super::progress::MAX_CRASHES).
    pub crashes: Vec<Crash>,
}

/// A crash of a worker under a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the run.
    pub run: u32,
    /// Agent of the worker; empty if it was left out of the row.
    pub agent: String,
    /// Whether the worker crashed soon after the start.
    pub at_start: bool,
    /// Whether the worker is known to have started the run.
    pub answered: bool,
    /// Whether this was the only job on the worker under whose tasks another worker had crashed
    /// before.
    pub sole_suspect: bool,
}

impl Crash {
    /// Returns the agent of the worker; `None` if it is not known.
    #[must_use]
    pub fn agent(&self) -> Option<&str> {
        (!self.agent.is_empty()).then_some(&self.agent)
    }
}

/// State of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum State {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks completed.
    Completed,
    /// A task failed too often.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

impl State {
    /// Returns whether the state can no longer change.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        })
    }
}

/// Progress of a job. Written by the planner.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Progress {
    /// State that callers see.
    pub state: State,
    /// When the state became final by the time of day of the planner's VM, in milliseconds since 1970; 0
    /// before. Earlier versions of the program count the age of the end from it.
    pub ended_ms: u64,
    /// When the state became final by the store's clock, at the latest; `None` before, or if the store
    /// or an earlier version of the program gave no time.
    pub ended_at: Option<StoreTime>,
    /// All tasks, ordered by occurrence, step and index.
    pub tasks: Vec<TaskProgress>,
}

/// One incarnation of a worker, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Incarnation {
    /// When it started, in milliseconds since 1970.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Instance id; empty while it is not known.
    pub id: String,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_ms)
    }
}

/// One task of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderTask {
    /// Index within the step.
    pub index: u16,
    /// Number of the run.
    pub run: u32,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Whether the run is to be stopped.
    pub stop: bool,
}

/// The tasks of one group that one agent is to run. Written by the planner.
///
/// The row is removed when the agent has reported that all its runs have ended, or when the
/// worker's incarnation or the agent's session is over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Epoch of the planner that wrote it.
    pub epoch: Epoch,
    /// Incarnation of the worker that it is for.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Session of the agent that it is for.
    pub session: u64,
    /// Resources of each task.
    pub need: Resources,
    /// Tasks to run or to stop.
    pub tasks: Vec<OrderTask>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The task completed.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed, or its worker is gone.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// It waited too long for the other members of the gang.
    Alone,
    /// It was never started.
    Refused,
    /// Its worker crashed soon after it had started the run.
    CrashedAtStart,
    /// Its worker crashed after the run had gone on for a while.
    Crashed,
    /// Its worker crashed, and had given no answer to the start.
    CrashedUnanswered,
}

impl Ending {
    /// Returns whether the worker crashed under the run.
    #[must_use]
    pub fn is_crash(self) -> bool {
        matches!(self, Self::CrashedAtStart | Self::CrashedUnanswered | Self::Crashed)
    }

    /// Returns whether a worker is known to have started the run.
    #[must_use]
    pub fn shows_start(self) -> bool {
        match self {
            Self::Done
            | Self::Failed
            | Self::Broken
            | Self::Alone
            | Self::CrashedAtStart
            | Self::Crashed => true,
            // A start without an answer may have had no effect before it was stopped or lapsed.
            Self::Stopped | Self::Lapsed | Self::Refused | Self::CrashedUnanswered => false,
        }
    }
}

impl fmt::Display for Ending {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
            Self::Refused => "refused",
            Self::CrashedAtStart => "crashed_at_start",
            Self::Crashed => "crashed",
            Self::CrashedUnanswered => "crashed_unanswered",
        })
    }
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct End {
    /// Task of the run.
    pub task: Task,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub ending: Ending,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A run in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// Task of the run.
    pub task: Task,
    /// Number of the run.
    pub run: u32,
    /// Share of the work that is done, in percent.
    pub percent: u8,
    /// Time since the percentage last rose or the checkpoint last changed, in milliseconds.
    pub since_progress_ms: u32,
    /// Time for which the worker is known to have run it, in milliseconds.
    pub age_ms: u32,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A run under which a worker may have crashed, told apart from the ends: its lease had lapsed or its
/// order was gone before the crash was known, or its start got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loss {
    /// Task of the run.
    pub task: Task,
    /// Number of the run.
    pub run: u32,
    /// How the run has ended if the worker has crashed.
    pub ending: Ending,
    /// Whether the worker had crashed, as its next incarnation showed.
    pub crashed: bool,
}

/// Whether a worker takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Condition {
    /// No worker has announced itself, or it has left.
    #[default]
    Absent,
    /// It takes work.
    Ready,
    /// It is shutting down.
    Draining,
    /// It has announced itself but does not answer now.
    Silent,
}

/// An agent's report on its worker. Written by the agent; the planner marks it as revoked when the
/// agent falls silent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Worker {
    /// Address at which other processes reach the agent, as `IP:PORT`.
    pub peer: String,
    /// Availability zone of the agent.
    pub zone: String,
    /// Identifies the agent process that wrote it.
    pub boot: u64,
    /// Number of the report within that process.
    pub sequence: u64,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Whether the worker takes work.
    pub condition: Condition,
    /// Service whose worker pool it belongs to.
    pub service: String,
    /// Kind, rack and further labels, in this order.
    pub labels: Vec<String>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Time that a draining worker has left, in milliseconds.
    pub remaining_ms: u32,
    /// Time for which the worker is slow after its start, in milliseconds.
    pub cold_ms: u32,
    /// Runs in progress.
    pub running: Vec<Running>,
    /// Ended runs whose end the planner has not processed.
    pub ends: Vec<End>,
    /// Newest runs whose lease had lapsed, of the present incarnation or one that crashed.
    pub losses: Vec<Loss>,
    /// The agent's session, which lasts as long as its reports are renewed in time. Orders of an
    /// earlier session are void.
    pub session: u64,
    /// Whether the planner has ended the session because its last grant has expired.
    pub revoked: bool,
}

impl Worker {
    /// Returns the rack, which is the second label; empty if there is none.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.get(1).map_or("", String::as_str)
    }

    /// Returns a run of a task as the report shows it; `None` if it is not in progress.
    #[must_use]
    pub fn run_of(&self, task: Task, run: u32) -> Option<&Running> {
        self.running.iter().find(|own| own.task == task && own.run == run)
    }
}

/// The planner's role. Every write of the planner is conditional on this row.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Role {
    /// Entry that plans; empty if the role was given up.
    pub holder: String,
    /// Increases with each holder.
    pub epoch: Epoch,
    /// Identifies the write, so that its writer recognises it if the answer was lost.
    pub tag: u64,
}
