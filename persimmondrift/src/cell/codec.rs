//! Encoding of records as values of rows.
//!
//! During an upgrade two versions of the program read and write the same rows. A row is a sequence
//! of parts, and the layout of a part, variants of its enums included, never changes. A new field
//! goes into a new part at the end of its row, with a default for rows that lack the part. A version
//! ignores parts that it does not know, and drops them when it rewrites the row.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::access::Queue;
use super::job::{Request, Resources, Task};
use super::record::{self, Condition, Incarnation, Phase, State};
use super::table::MAX_ROW_BYTES;
use crate::unit::StoreTime;

/// Bits of a number that a byte holds.
const NUMBER_BITS_PER_BYTE: u32 = 7;
/// Maximum size of an encoded 32-bit number in bytes.
const MAX_NUMBER_BYTES: usize = 5;
/// Maximum size of an encoded 64-bit number in bytes.
const MAX_LONG_BYTES: usize = 10;
/// Size of an encoded variant of a small enum, or of a small number, in bytes.
const ENUM_BYTES: usize = 1;
/// Maximum size of a job's progress beside its tasks, their crashes and the names of agents, in bytes:
/// the state, two times of which one is optional, and the numbers of tasks, of tasks with crashes in two
/// parts, and of agents.
const PROGRESS_FRAME_BYTES: usize = ENUM_BYTES + 2 * MAX_LONG_BYTES + 1 + 4 * MAX_NUMBER_BYTES;

/// A record that is stored as the value of a row.
pub trait Record: Sized {
    /// Encodes the record.
    fn to_row(&self) -> Vec<u8>;

    /// Decodes the value of a row; `None` if it is malformed.
    fn from_row(value: &[u8]) -> Option<Self>;
}

/// A record that derives its encoding has one part.
impl<T: Serialize + DeserializeOwned> Record for T {
    fn to_row(&self) -> Vec<u8> {
        append(Vec::new(), self)
    }

    fn from_row(mut value: &[u8]) -> Option<Self> {
        take(&mut value)
    }
}

impl Record for record::Job {
    fn to_row(&self) -> Vec<u8> {
        let row = append(Vec::new(), &Job::from(self));
        append_later(row, &JobAcceptance { at: self.accepted_at })
    }

    fn from_row(mut value: &[u8]) -> Option<Self> {
        let mut job: Self = take::<Job>(&mut value)?.into();
        job.accepted_at = take_later::<JobAcceptance>(&mut value)?.at;
        Some(job)
    }
}

impl Record for record::Progress {
    fn to_row(&self) -> Vec<u8> {
        let first = append(Vec::new(), &Progress::from(self));
        let (crashes, end) = (ProgressCrashes::from(self), ProgressEnd { at: self.ended_at });
        let row = if end == ProgressEnd::default() {
            append_later(first.clone(), &crashes)
        } else {
            append(append(first.clone(), &crashes), &end)
        };
        if row.len() <= MAX_ROW_BYTES {
            return row;
        }
        // Each crash takes its agent's name in the second part. Earlier versions know no other part
        // with crashes, so the fourth one replaces it only where the row would not fit.
        let row = append(append(first, &ProgressCrashes::default()), &end);
        append_later(row, &ProgressNamedCrashes::from(self))
    }

    fn from_row(mut value: &[u8]) -> Option<Self> {
        let mut progress: Self = take::<Progress>(&mut value)?.into();
        take_later::<ProgressCrashes>(&mut value)?.apply(&mut progress)?;
        progress.ended_at = take_later::<ProgressEnd>(&mut value)?.at;
        take_later::<ProgressNamedCrashes>(&mut value)?.apply(&mut progress)?;
        Some(progress)
    }
}

impl Record for record::Worker {
    fn to_row(&self) -> Vec<u8> {
        let row = append(Vec::new(), &Worker::from(self));
        append_later(row, &WorkerCrashes::from(self))
    }

    fn from_row(mut value: &[u8]) -> Option<Self> {
        let mut worker: Self = take::<Worker>(&mut value)?.into();
        let has_peer = worker.peer.parse::<SocketAddr>().is_ok_and(|peer| peer.port() != 0);
        if !worker.peer.is_empty() && !has_peer {
            return None;
        }
        take_later::<WorkerCrashes>(&mut value)?.apply(&mut worker)?;
        Some(worker)
    }
}

/// Returns the bytes that a run in progress takes in a report at most, over all parts.
#[must_use]
pub fn running_bytes(running: &record::Running) -> usize {
    append(Vec::new(), &Running::from(running)).len() + MAX_NUMBER_BYTES
}

/// Returns the bytes that an end takes in a report at most, over all parts.
#[must_use]
pub fn end_bytes(end: &record::End) -> usize {
    append(Vec::new(), &End::from(end)).len() + MAX_NUMBER_BYTES + ENUM_BYTES
}

/// Returns the bytes that a number up to `limit` takes at most.
#[must_use]
pub fn number_bytes(limit: usize) -> usize {
    let bits = usize::BITS - limit.leading_zeros();
    usize::try_from(bits.div_ceil(NUMBER_BITS_PER_BYTE))
        .map_or(MAX_LONG_BYTES, |bytes| bytes.max(1))
}

/// Returns the bytes that a text takes.
#[must_use]
pub fn text_bytes(text: &str) -> usize {
    number_bytes(text.len()) + text.len()
}

/// Returns the bytes that a job's progress takes at most without its crashes, over all parts.
#[must_use]
pub fn progress_bytes(progress: &record::Progress) -> usize {
    let tasks = progress.tasks.iter().map(|task| {
        ENUM_BYTES
            + number_bytes(usize::try_from(task.run).unwrap_or(usize::MAX))
            + number_bytes(usize::from(task.failures))
            + number_bytes(usize::try_from(task.failed_run).unwrap_or(usize::MAX))
            + text_bytes(&task.checkpoint)
    });
    PROGRESS_FRAME_BYTES + tasks.sum::<usize>()
}

/// Returns the bytes that the crashes under a task take at most where the names of `agents` are stored
/// apart, for a job of `tasks`.
#[must_use]
pub fn crashes_bytes(crashes: &[record::Crash], tasks: usize, agents: usize) -> usize {
    if crashes.is_empty() {
        return 0;
    }
    let runs = crashes.iter().map(|crash| usize::try_from(crash.run).unwrap_or(usize::MAX));
    let each = runs.map(|run| number_bytes(run) + number_bytes(agents) + ENUM_BYTES);
    number_bytes(tasks) + number_bytes(crashes.len()) + each.sum::<usize>()
}

/// Appends a part to a row.
///
/// # Panics
///
/// Panics if a record holds a value that the codec cannot write; no record type does.
fn append(row: Vec<u8>, part: &impl Serialize) -> Vec<u8> {
    postcard::to_extend(part, row).expect("records hold only what the codec can write")
}

/// Appends the last part of a row unless it holds only defaults.
fn append_later<T: Default + PartialEq + Serialize>(row: Vec<u8>, part: &T) -> Vec<u8> {
    if *part == T::default() { row } else { append(row, part) }
}

/// Removes the next part from the rest of a row; `None` if it is malformed.
fn take<T: DeserializeOwned>(rest: &mut &[u8]) -> Option<T> {
    let (part, after) = postcard::take_from_bytes(rest).ok()?;
    *rest = after;
    Some(part)
}

/// Removes the next part from the rest of a row, which an earlier version may have written without
/// it; `None` if it is malformed.
fn take_later<T: Default + DeserializeOwned>(rest: &mut &[u8]) -> Option<T> {
    if rest.is_empty() { Some(T::default()) } else { take(rest) }
}

/// Returns an index as it is stored.
fn position(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

/// First part of a job.
#[derive(Debug, Serialize, Deserialize)]
struct Job {
    queue: Queue,
    workspace: Option<String>,
    accepted_ms: u64,
    cancelled: bool,
    request: Option<Request>,
}

impl From<&record::Job> for Job {
    fn from(job: &record::Job) -> Self {
        Self {
            queue: job.queue.clone(),
            workspace: job.workspace.clone(),
            accepted_ms: job.accepted_ms,
            cancelled: job.cancelled,
            request: job.request.clone(),
        }
    }
}

impl From<Job> for record::Job {
    fn from(part: Job) -> Self {
        Self {
            queue: part.queue,
            workspace: part.workspace,
            accepted_ms: part.accepted_ms,
            accepted_at: None,
            cancelled: part.cancelled,
            request: part.request,
        }
    }
}

/// Second part of a job.
#[derive(Debug, PartialEq, Default, Serialize, Deserialize)]
struct JobAcceptance {
    /// When it was accepted.
    at: Option<StoreTime>,
}

/// First part of a job's progress.
#[derive(Debug, Serialize, Deserialize)]
struct Progress {
    state: State,
    ended_ms: u64,
    tasks: Vec<TaskProgress>,
}

#[derive(Debug, Serialize, Deserialize)]
struct TaskProgress {
    phase: Phase,
    run: u32,
    failures: u16,
    failed_run: u32,
    checkpoint: String,
}

impl From<&record::Progress> for Progress {
    fn from(progress: &record::Progress) -> Self {
        let task = |task: &record::TaskProgress| TaskProgress {
            phase: task.phase,
            run: task.run,
            failures: task.failures,
            failed_run: task.failed_run,
            checkpoint: task.checkpoint.clone(),
        };
        Self {
            state: progress.state,
            ended_ms: progress.ended_ms,
            tasks: progress.tasks.iter().map(task).collect(),
        }
    }
}

impl From<Progress> for record::Progress {
    fn from(part: Progress) -> Self {
        let task = |task: TaskProgress| record::TaskProgress {
            phase: task.phase,
            run: task.run,
            failures: task.failures,
            failed_run: task.failed_run,
            checkpoint: task.checkpoint,
            crashes: Vec::new(),
        };
        Self {
            state: part.state,
            ended_ms: part.ended_ms,
            ended_at: None,
            tasks: part.tasks.into_iter().map(task).collect(),
        }
    }
}

/// Second part of a job's progress: crashes of workers, for each task that has any.
#[derive(Debug, PartialEq, Default, Serialize, Deserialize)]
struct ProgressCrashes {
    /// Pairs of a position in `tasks` and the crashes.
    tasks: Vec<(u32, Vec<record::Crash>)>,
}

impl From<&record::Progress> for ProgressCrashes {
    fn from(progress: &record::Progress) -> Self {
        let tasks = progress.tasks.iter().enumerate().filter(|(_, task)| !task.crashes.is_empty());
        Self { tasks: tasks.map(|(at, task)| (position(at), task.crashes.clone())).collect() }
    }
}

impl ProgressCrashes {
    /// Adds the part to a record; `None` if it has no such task.
    fn apply(self, progress: &mut record::Progress) -> Option<()> {
        for (at, crashes) in self.tasks {
            progress.tasks.get_mut(usize::try_from(at).ok()?)?.crashes = crashes;
        }
        Some(())
    }
}

/// Third part of a job's progress.
#[derive(Debug, PartialEq, Default, Serialize, Deserialize)]
struct ProgressEnd {
    /// When the state became final.
    at: Option<StoreTime>,
}

/// Fourth part of a job's progress: the crashes in place of the second part, with the names of the agents
/// stored once.
#[derive(Debug, PartialEq, Default, Serialize, Deserialize)]
struct ProgressNamedCrashes {
    /// Agents of the workers that crashed.
    agents: Vec<String>,
    /// Pairs of a position in the tasks and the crashes.
    tasks: Vec<(u32, Vec<NamedCrash>)>,
}

/// Flag of [`NamedCrash`]: the worker crashed soon after the start.
const AT_START: u8 = 1;
/// Flag of [`NamedCrash`]: the worker is known to have started the run.
const ANSWERED: u8 = 2;
/// Flag of [`NamedCrash`]: its job was the only suspect there.
const SOLE_SUSPECT: u8 = 4;

/// A crash whose agent is in a table.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct NamedCrash {
    run: u32,
    /// Position in `agents`.
    agent: u32,
    /// Sum of [`AT_START`], [`ANSWERED`] and [`SOLE_SUSPECT`] as they apply.
    flags: u8,
}

impl From<&record::Progress> for ProgressNamedCrashes {
    fn from(progress: &record::Progress) -> Self {
        let mut part = Self::default();
        let mut positions: BTreeMap<&str, u32> = BTreeMap::new();
        for (at, task) in progress.tasks.iter().enumerate() {
            let mut crashes = Vec::with_capacity(task.crashes.len());
            for crash in &task.crashes {
                let agent = *positions.entry(&crash.agent).or_insert_with(|| {
                    part.agents.push(crash.agent.clone());
                    position(part.agents.len() - 1)
                });
                let flag = |flag: u8, applies: bool| if applies { flag } else { 0 };
                let flags = flag(AT_START, crash.at_start)
                    | flag(ANSWERED, crash.answered)
                    | flag(SOLE_SUSPECT, crash.sole_suspect);
                crashes.push(NamedCrash { run: crash.run, agent, flags });
            }
            if !crashes.is_empty() {
                part.tasks.push((position(at), crashes));
            }
        }
        part
    }
}

impl ProgressNamedCrashes {
    /// Adds the part to a record; `None` if it has no such task, or the part has no such agent.
    fn apply(self, progress: &mut record::Progress) -> Option<()> {
        for (at, crashes) in self.tasks {
            let task = progress.tasks.get_mut(usize::try_from(at).ok()?)?;
            let named = crashes.into_iter().map(|crash| {
                Some(record::Crash {
                    run: crash.run,
                    agent: self.agents.get(usize::try_from(crash.agent).ok()?)?.clone(),
                    at_start: crash.flags & AT_START != 0,
                    answered: crash.flags & ANSWERED != 0,
                    sole_suspect: crash.flags & SOLE_SUSPECT != 0,
                })
            });
            task.crashes = named.collect::<Option<_>>()?;
        }
        Some(())
    }
}

/// First part of an agent's report.
#[derive(Debug, Serialize, Deserialize)]
struct Worker {
    peer: String,
    zone: String,
    boot: u64,
    sequence: u64,
    incarnation: Incarnation,
    condition: Condition,
    service: String,
    labels: Vec<String>,
    capacity: Resources,
    remaining_ms: u32,
    cold_ms: u32,
    running: Vec<Running>,
    ends: Vec<End>,
    session: u64,
    revoked: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct Running {
    task: Task,
    run: u32,
    percent: u8,
    since_progress_ms: u32,
    checkpoint: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct End {
    task: Task,
    run: u32,
    ending: Ending,
    checkpoint: String,
}

/// How a run ended. A crash of its worker is a lapse here; the second part tells more.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
enum Ending {
    Done,
    Failed,
    Stopped,
    Lapsed,
    Broken,
    Alone,
    Refused,
}

impl From<record::Ending> for Ending {
    fn from(ending: record::Ending) -> Self {
        match ending {
            record::Ending::Done => Self::Done,
            record::Ending::Failed => Self::Failed,
            record::Ending::Stopped => Self::Stopped,
            record::Ending::Lapsed
            | record::Ending::CrashedAtStart
            | record::Ending::Crashed
            | record::Ending::CrashedUnanswered => Self::Lapsed,
            record::Ending::Broken => Self::Broken,
            record::Ending::Alone => Self::Alone,
            record::Ending::Refused => Self::Refused,
        }
    }
}

impl From<Ending> for record::Ending {
    fn from(ending: Ending) -> Self {
        match ending {
            Ending::Done => Self::Done,
            Ending::Failed => Self::Failed,
            Ending::Stopped => Self::Stopped,
            Ending::Lapsed => Self::Lapsed,
            Ending::Broken => Self::Broken,
            Ending::Alone => Self::Alone,
            Ending::Refused => Self::Refused,
        }
    }
}

impl From<&record::Running> for Running {
    fn from(running: &record::Running) -> Self {
        Self {
            task: running.task,
            run: running.run,
            percent: running.percent,
            since_progress_ms: running.since_progress_ms,
            checkpoint: running.checkpoint.clone(),
        }
    }
}

impl From<&record::End> for End {
    fn from(end: &record::End) -> Self {
        Self {
            task: end.task,
            run: end.run,
            ending: end.ending.into(),
            checkpoint: end.checkpoint.clone(),
        }
    }
}

impl From<&record::Worker> for Worker {
    fn from(worker: &record::Worker) -> Self {
        Self {
            peer: worker.peer.clone(),
            zone: worker.zone.clone(),
            boot: worker.boot,
            sequence: worker.sequence,
            incarnation: worker.incarnation.clone(),
            condition: worker.condition,
            service: worker.service.clone(),
            labels: worker.labels.clone(),
            capacity: worker.capacity,
            remaining_ms: worker.remaining_ms,
            cold_ms: worker.cold_ms,
            running: worker.running.iter().map(Running::from).collect(),
            ends: worker.ends.iter().map(End::from).collect(),
            session: worker.session,
            revoked: worker.revoked,
        }
    }
}

impl From<Worker> for record::Worker {
    fn from(part: Worker) -> Self {
        let running = |running: Running| record::Running {
            task: running.task,
            run: running.run,
            percent: running.percent,
            since_progress_ms: running.since_progress_ms,
            age_ms: 0,
            checkpoint: running.checkpoint,
        };
        let end = |end: End| record::End {
            task: end.task,
            run: end.run,
            ending: end.ending.into(),
            checkpoint: end.checkpoint,
        };
        Self {
            peer: part.peer,
            zone: part.zone,
            boot: part.boot,
            sequence: part.sequence,
            incarnation: part.incarnation,
            condition: part.condition,
            service: part.service,
            labels: part.labels,
            capacity: part.capacity,
            remaining_ms: part.remaining_ms,
            cold_ms: part.cold_ms,
            running: part.running.into_iter().map(running).collect(),
            ends: part.ends.into_iter().map(end).collect(),
            losses: Vec::new(),
            session: part.session,
            revoked: part.revoked,
        }
    }
}

/// Second part of an agent's report: what tells whether tasks crash their workers.
#[derive(Debug, PartialEq, Default, Serialize, Deserialize)]
struct WorkerCrashes {
    /// Ages of the runs in progress, in their order.
    ages_ms: Vec<u32>,
    /// Pairs of a position in `ends` and how that run ended.
    ends: Vec<(u32, Crash)>,
    losses: Vec<Loss>,
}

/// How a run ended with a crash of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
enum Crash {
    AtStart,
    Later,
    Unanswered,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Loss {
    task: Task,
    run: u32,
    ending: Ending,
    crash: Option<Crash>,
    crashed: bool,
}

impl Crash {
    /// Returns the crash that a run ended with; `None` if it ended otherwise.
    fn of(ending: record::Ending) -> Option<Self> {
        match ending {
            record::Ending::CrashedAtStart => Some(Self::AtStart),
            record::Ending::Crashed => Some(Self::Later),
            record::Ending::CrashedUnanswered => Some(Self::Unanswered),
            _ => None,
        }
    }
}

impl From<Crash> for record::Ending {
    fn from(crash: Crash) -> Self {
        match crash {
            Crash::AtStart => Self::CrashedAtStart,
            Crash::Later => Self::Crashed,
            Crash::Unanswered => Self::CrashedUnanswered,
        }
    }
}

impl From<&record::Worker> for WorkerCrashes {
    fn from(worker: &record::Worker) -> Self {
        let ends = worker.ends.iter().enumerate();
        let loss = |loss: &record::Loss| Loss {
            task: loss.task,
            run: loss.run,
            ending: loss.ending.into(),
            crash: Crash::of(loss.ending),
            crashed: loss.crashed,
        };
        Self {
            ages_ms: worker.running.iter().map(|running| running.age_ms).collect(),
            ends: ends
                .filter_map(|(at, end)| Some((position(at), Crash::of(end.ending)?)))
                .collect(),
            losses: worker.losses.iter().map(loss).collect(),
        }
    }
}

impl WorkerCrashes {
    /// Adds the part to a record; `None` if it has no such end.
    fn apply(self, worker: &mut record::Worker) -> Option<()> {
        for (running, age_ms) in worker.running.iter_mut().zip(self.ages_ms) {
            running.age_ms = age_ms;
        }
        for (at, crash) in self.ends {
            worker.ends.get_mut(usize::try_from(at).ok()?)?.ending = crash.into();
        }
        let loss = |loss: Loss| record::Loss {
            task: loss.task,
            run: loss.run,
            ending: loss.crash.map_or(loss.ending.into(), Into::into),
            crashed: loss.crashed,
        };
        worker.losses = self.losses.into_iter().map(loss).collect();
        Some(())
    }
}
