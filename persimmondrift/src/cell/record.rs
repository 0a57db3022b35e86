//! The rows that last: what is in them and under which keys they stand.

use std::fmt;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::access::Queue;
use super::job::{Group, Id, Request, Resources, Task};
use crate::unit::Epoch;

/// Key of the planner's role.
pub const ROLE_KEY: &str = "role";
/// What the keys of accepted jobs begin with.
pub const JOB_PREFIX: &str = "job/";
/// What the keys of progress begin with.
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

/// Returns the key of the orders that an agent has for a group.
#[must_use]
pub fn order_key(agent: &str, group: Group) -> String {
    format!("{agent}/{group}")
}

/// Returns the agent and the group that a key of orders names.
#[must_use]
pub fn parse_order_key(key: &str) -> Option<(&str, Group)> {
    let (agent, group) = key.rsplit_once('/')?;
    Some((agent, group.parse().ok()?))
}

/// Encodes a record as the value of a row.
///
/// # Panics
///
/// Panics if a record holds what the codec cannot write; none does.
#[must_use]
pub fn encode(record: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(record).expect("records hold only what the codec can write")
}

/// Decodes the value of a row; nothing if it is malformed.
#[must_use]
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    postcard::from_bytes(value).ok()
}

/// An accepted job. Written by the entry that accepts or cancels it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The queue that it was submitted to, as configured then. A queue that is still configured
    /// goes by the newest configuration.
    pub queue: Queue,
    /// The workspace of the key that it came with; none on a public queue.
    pub workspace: Option<String>,
    /// When it was accepted, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// What is to be run; nothing if it was cancelled before it was ever accepted.
    pub request: Option<Request>,
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Phase {
    /// It waits for its turn or for room.
    #[default]
    Waiting,
    /// An agent was told to run it.
    Ordered,
    /// It ended well.
    Done,
}

/// The progress of one task.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Where it stands.
    pub phase: Phase,
    /// The number of its newest run; 0 if it has not run.
    pub run: u32,
    /// How often it failed.
    pub failures: u16,
    /// The last run that failed, so that a gang's run counts once.
    pub failed_run: u32,
    /// Its newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// The state of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum State {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks have ended well.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl State {
    /// Returns whether the state is final.
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

/// The progress of a job. Written by the planner.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Progress {
    /// Its state.
    pub state: State,
    /// When the state became final, in milliseconds since 1970; 0 before.
    pub ended_ms: u64,
    /// The tasks: by occurrence, then step, then index.
    pub tasks: Vec<TaskProgress>,
}

/// One life of a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Incarnation {
    /// When it started, in milliseconds since 1970.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Its id.
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
    /// The place within the step.
    pub index: u16,
    /// The run.
    pub run: u32,
    /// The checkpoint that it resumes from; empty if there is none.
    pub checkpoint: String,
    /// Whether the run is to be stopped.
    pub stop: bool,
}

/// The tasks of one group that one agent is told to run. Written by the planner.
///
/// The row goes when all its runs have ended by the agent's report, or when the worker's life or
/// the agent's session is over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The planner that wrote it.
    pub epoch: Epoch,
    /// The life of the worker that it is for.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The session of the agent that it is for.
    pub session: u64,
    /// What each task needs.
    pub need: Resources,
    /// The tasks.
    pub tasks: Vec<OrderTask>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// The task is done.
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
        })
    }
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: u32,
    /// How it ended.
    pub ending: Ending,
    /// Its newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A run that goes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The task.
    pub task: Task,
    /// The run.
    pub run: u32,
    /// How much of the work is done, in percent.
    pub percent: u8,
    /// Time since the percentage last rose, in milliseconds.
    #[serde(rename = "still_ms")]
    pub since_progress_ms: u32,
    /// Its newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// Whether a worker takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Condition {
    /// No worker has announced itself, or it has left.
    #[default]
    Absent,
    /// It takes work.
    Ready,
    /// It leaves.
    Draining,
    /// It has announced itself, but does not answer now.
    Silent,
}

/// What an agent reports of its worker. Written by the agent; the planner marks it when the
/// agent falls silent.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Worker {
    /// Where other processes reach the agent, as `IP:PORT`.
    pub peer: String,
    /// Its availability zone.
    pub zone: String,
    /// Identifies the process that wrote it.
    pub boot: u64,
    /// Counts the reports of that process.
    pub sequence: u64,
    /// The life of the worker.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Whether it takes work.
    pub condition: Condition,
    /// The service that it belongs to.
    pub service: String,
    /// Its kind, its rack and other labels.
    pub labels: Vec<String>,
    /// What it has.
    pub capacity: Resources,
    /// Time that a draining worker still has, in milliseconds.
    pub remaining_ms: u32,
    /// Time for which the worker stays slow after its start, in milliseconds.
    pub cold_ms: u32,
    /// Runs that go on.
    pub running: Vec<Running>,
    /// Ends that the planner has not taken in.
    pub ends: Vec<End>,
    /// The agent's session: as long as its reports were renewed in time. What was ordered in an
    /// earlier session is over.
    pub session: u64,
    /// Whether the planner has ended the session, since its last grant has run out.
    pub revoked: bool,
}

impl Worker {
    /// Returns the rack, which workers name after their kind.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.get(1).map_or("", String::as_str)
    }
}

/// Who plans. Every write of the planner has this row among its conditions.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Role {
    /// The entry that plans; empty if the role was given back.
    pub holder: String,
    /// Counts the holders.
    pub epoch: Epoch,
    /// Identifies the write, so that one whose answer was lost is recognised.
    pub tag: u64,
}
