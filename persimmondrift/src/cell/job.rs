//! Jobs as callers submit them: steps of tasks, with dependencies and due times.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Length of a job's id: 64 bits in hexadecimal.
const ID_DIGITS: usize = 16;
/// Maximum number of steps of a job, so that the record of its progress fits in a row.
pub const MAX_STEPS: usize = 64;
/// Maximum number of tasks of a job over all steps and occurrences, so that the record of its
/// progress fits in a row.
pub const MAX_TASKS: u32 = 1_200;

/// Reason why a job, an id or a task name is rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The id is not 16 lowercase hexadecimal digits.
    #[error("a job's id has 16 hexadecimal digits")]
    Id,
    /// The name of a task or group is malformed.
    #[error("a task is named JOB.OCCURRENCE.STEP.INDEX")]
    Task,
    /// The job has no step or no task, or too many of them.
    #[error("a job has 1 to {MAX_STEPS} steps and 1 to {MAX_TASKS} tasks")]
    Size,
    /// The step with this index depends on itself or on a later step.
    #[error("step {0} waits for a step that does not precede it")]
    Dependency(usize),
}

/// Id of a job, chosen by its caller.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Id {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        // One spelling for each id, since it is part of row keys and task names.
        let plain = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != ID_DIGITS || !text.bytes().all(plain) {
            return Err(Error::Id);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| Error::Id)
    }
}

/// Identifies one task of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    /// Id of the job.
    pub job: Id,
    /// Occurrence of a repeated job, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u16,
    /// Index within the step, from 0.
    pub index: u16,
}

impl Task {
    /// Returns the group that the task belongs to.
    #[must_use]
    pub fn group(self) -> Group {
        Group { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.group(), self.index)
    }
}

impl FromStr for Task {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (group, index) = text.rsplit_once('.').ok_or(Error::Task)?;
        let group: Group = group.parse()?;
        let index = index.parse().map_err(|_| Error::Task)?;
        Ok(group.task(index))
    }
}

/// Identifies all tasks of one step in one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Id of the job.
    pub job: Id,
    /// Occurrence of a repeated job, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u16,
}

impl Group {
    /// Returns the task of the group with this index.
    #[must_use]
    pub fn task(self, index: u16) -> Task {
        Task { job: self.job, occurrence: self.occurrence, step: self.step, index }
    }
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl FromStr for Group {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or(Error::Task);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| Error::Task)?;
        let step = next()?.parse().map_err(|_| Error::Task)?;
        if parts.next().is_some() {
            return Err(Error::Task);
        }
        Ok(Self { job, occurrence, step })
    }
}

/// Resources that a task needs or a worker has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub millicores: u32,
    /// Memory in mebibytes.
    pub mebibytes: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// Returns whether `need` fits.
    #[must_use]
    pub fn holds(self, need: Self) -> bool {
        need.millicores <= self.millicores
            && need.mebibytes <= self.mebibytes
            && need.accelerators <= self.accelerators
    }

    /// Returns how many times `need` fits; `u32::MAX` if it is zero.
    #[must_use]
    pub fn count(self, need: Self) -> u32 {
        let part = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
        part(self.millicores, need.millicores)
            .min(part(self.mebibytes, need.mebibytes))
            .min(part(self.accelerators, need.accelerators))
    }

    /// Returns the resources multiplied by `times`.
    #[must_use]
    pub fn times(self, times: u32) -> Self {
        Self {
            millicores: self.millicores.saturating_mul(times),
            mebibytes: self.mebibytes.saturating_mul(times),
            accelerators: self.accelerators.saturating_mul(times),
        }
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            mebibytes: self.mebibytes.saturating_add(other.mebibytes),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl Sub for Resources {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            mebibytes: self.mebibytes.saturating_sub(other.mebibytes),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// A step: a number of identical tasks.
#[expect(clippy::struct_excessive_bools, reason = "each is an independent property of a step")]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub width: u16,
    /// Resources of each task.
    pub need: Resources,
    /// Declared run time of a task in milliseconds; may be far off.
    pub estimate_ms: u32,
    /// Indices of the earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Whether a task that was stopped resumes from its last checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks make progress only while all of them run.
    pub gang: bool,
    /// Whether the tasks are slower when they run on more than one rack.
    pub one_rack: bool,
    /// Label that the worker must have.
    pub label: Option<String>,
    /// Rack that holds the data; the tasks are slower on any other.
    pub data_rack: Option<String>,
    /// Maximum number of tasks on one worker.
    pub spread: Option<u16>,
    /// Whether copies of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Maximum number of long-running tasks that the system itself may keep from running at once.
    #[serde(rename = "away_most")]
    pub max_unavailable: u16,
    /// Image that the tasks run; tasks with the same image behave alike.
    pub image: Option<String>,
    /// Bound on a serving task's tail latency in milliseconds; 0 if it serves no requests.
    pub latency_ms: u32,
    /// Whether the tasks use only processor time that others leave idle.
    #[serde(rename = "fills")]
    pub best_effort_cpu: bool,
}

impl Step {
    /// Returns the resources that a task counts against a worker's capacity.
    #[must_use]
    pub fn effective_need(&self) -> Resources {
        let millicores = if self.best_effort_cpu { 0 } else { self.need.millicores };
        Resources { millicores, ..self.need }
    }
}

/// Due times of a repeated job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of occurrence 0, in milliseconds since 1970.
    pub first_ms: u64,
    /// Time between two occurrences in milliseconds.
    pub every_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

impl Schedule {
    /// Returns how many occurrences are due at a wall-clock time.
    #[must_use]
    pub fn due(self, wall_ms: u64) -> u32 {
        let Some(since) = wall_ms.checked_sub(self.first_ms) else {
            return 0;
        };
        let passed = since.checked_div(self.every_ms).unwrap_or(u64::from(self.times));
        u32::try_from(passed.saturating_add(1)).unwrap_or(u32::MAX).min(self.times)
    }

    /// Returns the due time of an occurrence, in milliseconds since 1970.
    #[must_use]
    pub fn at(self, occurrence: u32) -> u64 {
        self.first_ms.saturating_add(self.every_ms.saturating_mul(u64::from(occurrence)))
    }
}

/// What a caller submits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Text that each task is started with.
    pub spec: String,
    /// Steps; each depends on earlier ones only.
    pub steps: Vec<Step>,
    /// Due times; `None` if the steps run once, at once.
    pub schedule: Option<Schedule>,
}

impl Request {
    /// Checks sizes and dependencies.
    ///
    /// # Errors
    ///
    /// Returns the [`Error`] of the first rule that is broken.
    pub fn check(&self) -> Result<(), Error> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Error::Size);
        }
        let tasks: u32 = self.steps.iter().map(|step| u32::from(step.width)).sum();
        let tasks = tasks.saturating_mul(self.occurrences());
        if tasks == 0 || tasks > MAX_TASKS {
            return Err(Error::Size);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.after.iter().any(|&before| usize::from(before) >= number) {
                return Err(Error::Dependency(number));
            }
        }
        Ok(())
    }

    /// Returns how many times the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times.max(1))
    }

    /// Returns whether the job runs until it is cancelled.
    #[must_use]
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}
