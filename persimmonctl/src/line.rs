//! Parses log lines. No other module reads their text.

use chrono::DateTime;
use persimmondrift::cell::job::{Group, Id, Task};
use serde::Serialize;

use crate::account::Cause;

/// Time of a log line in milliseconds since 1970.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Moment(pub i64);

impl Moment {
    /// Returns the time from `earlier` to this one in milliseconds; 0 if it is not later.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        u64::try_from(self.0.saturating_sub(earlier.0)).unwrap_or(0)
    }

    /// Returns the time that is `millis` earlier.
    #[must_use]
    pub fn minus(self, millis: u64) -> Self {
        Self(self.0.saturating_sub_unsigned(millis))
    }
}

/// A log line with an event.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Line {
    /// Timestamp as logged; sorting it as text sorts by time.
    pub time: String,
    /// Name of the log file.
    pub source: String,
    /// Number and name of the event.
    pub event: String,
    /// The `key=value` fields after the event.
    pub text: String,
}

/// What a log line reports, as far as the loss accounting uses it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// A submission was concluded.
    Submitted(Submission),
    /// A caller was answered on a job.
    Answered(Answer),
    /// Tasks of a group were placed.
    Placed {
        /// Group of the tasks.
        group: Group,
        /// Number of tasks.
        count: usize,
        /// Thousandths of a core that each task takes, and whether it has checkpoints.
        cost: Option<(u64, bool)>,
    },
    /// A task was started at a worker.
    Started(Task),
    /// A worker has listed the end of a run.
    Listed(Task),
    /// A run was marked to be stopped.
    Stopped(Task, Stop),
    /// A run is over.
    Over(Task, Ending),
    /// Tasks of a group wait.
    Waits {
        /// Group of the tasks.
        group: Group,
        /// Number of tasks.
        count: usize,
        /// Why they wait; `None` in logs of releases that do not tell.
        cause: Option<Cause>,
    },
    /// A job has ended.
    Ended {
        /// The job.
        job: Id,
        /// Its final state.
        state: State,
    },
    /// The planner role was taken.
    RoleTaken,
    /// The planner role was lost or given back.
    RoleLost,
}

/// A submission with its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// The job.
    pub job: Id,
    /// Name of its queue.
    pub queue: String,
    /// Whether one of its steps is a gang.
    pub gang: bool,
    /// Largest number of accelerators of a task.
    pub accelerators: u64,
    /// What became of it.
    pub outcome: Outcome,
    /// Its work and objective; `None` in logs of releases that do not tell.
    pub size: Option<Size>,
}

/// Work and objective of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Work in core-milliseconds.
    pub work: u64,
    /// Longest chain of work in milliseconds.
    pub chain: u64,
    /// Completion objective in milliseconds; 0 if the job has none.
    pub objective: u64,
}

/// Outcome of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The job is stored.
    Accepted,
    /// The job was cancelled before it arrived.
    Barred,
    /// The job is not stored, or not known to be.
    Refused,
}

/// An answer to a caller on a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The job.
    pub job: Id,
    /// What the caller asked for.
    pub method: Method,
    /// Whether it was answered with status 200.
    pub ok: bool,
    /// Time that the answer took, in milliseconds.
    pub took: u64,
    /// State that a query showed; `None` if it showed none, or the release does not tell.
    pub state: Option<State>,
}

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Submits a job.
    Submit,
    /// Queries its state.
    Query,
    /// Cancels it.
    Cancel,
}

/// State of a job, as far as it matters to the accounting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// All tasks completed.
    Completed,
    /// The job was cancelled.
    Cancelled,
    /// Another state.
    Other,
}

/// Why a run was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Stop {
    /// Its resources were needed for another group.
    Reclaimed,
    /// Its worker was about to leave.
    Draining,
    /// It made no progress.
    Stalled,
    /// Another member of its gang had ended.
    GangBroken,
    /// Not all members of its gang started in time.
    GangLate,
    /// Its job was cancelled or over, or its result was not needed.
    Unneeded,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It completed.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed.
    Lapsed,
    /// Its worker crashed.
    Crashed,
    /// Another member of its gang ended, or did not start.
    Broken,
    /// It was never started.
    Refused,
}

impl Line {
    /// Parses a log line. Returns `None` if it has no event.
    #[must_use]
    pub fn parse(source: &str, line: &str) -> Option<Self> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let event_index = words.iter().position(|word| is_event(word))?;
        let name = words.get(event_index + 1)?;
        // A line has the time, the level, then the event; log collectors may add words before the
        // time.
        let head = &words[..event_index.saturating_sub(1)];
        let time = head.iter().rev().find(|word| timestamp(word).is_some());
        let time = time.map_or_else(|| head.join(" "), |word| (*word).to_owned());
        Some(Self {
            time: time.trim_matches(['[', ']']).to_owned(),
            source: source.to_owned(),
            event: format!("{} {name}", words[event_index]),
            text: words[event_index + 2..].join(" "),
        })
    }

    /// Returns the time of the line; `None` if it has none.
    #[must_use]
    pub fn moment(&self) -> Option<Moment> {
        timestamp(&self.time)
    }

    /// Returns the name of the event.
    #[must_use]
    pub fn name(&self) -> &str {
        self.event.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the value of a field.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<&str> {
        let mut words = self.text.split_whitespace();
        words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns whether the text contains the id of a job as a whole word; ids of its tasks start
    /// with it, followed by a dot.
    #[must_use]
    pub fn mentions(&self, id: &str) -> bool {
        let is_separator = |c: char| !c.is_ascii_alphanumeric();
        self.text.split(is_separator).any(|word| word == id)
    }

    /// Returns whether the current planner logged the line.
    #[must_use]
    pub fn is_of_planner(&self) -> bool {
        self.value("epoch").is_some()
    }

    /// Returns what the line reports; `None` if the accounting does not use it, or if it is cut
    /// off.
    #[must_use]
    pub fn report(&self) -> Option<Report> {
        Some(match self.name() {
            "JobSubmitted" => Report::Submitted(self.submission()?),
            "CallerAnswered" => Report::Answered(self.answer()?),
            "Placed" => {
                let cost = self.parsed("task_millicores").zip(self.parsed("checkpoints"));
                Report::Placed { group: self.parsed("group")?, count: self.parsed("count")?, cost }
            }
            "TaskStarted" if self.value("answer")? == "Started" => {
                Report::Started(self.parsed("task")?)
            }
            "TaskEnded" => Report::Listed(self.parsed("task")?),
            "AttemptStopped" => Report::Stopped(self.parsed("task")?, stop(self.value("cause")?)),
            "AttemptOver" => Report::Over(self.parsed("task")?, ending(self.value("ending")?)?),
            "GroupWaits" => Report::Waits {
                group: self.parsed("group")?,
                count: self.parsed("count")?,
                cause: self.value("reason").and_then(wait_cause),
            },
            "JobEnded" => {
                Report::Ended { job: self.parsed("job")?, state: state(self.value("state")?) }
            }
            "RoleTaken" => Report::RoleTaken,
            "RoleLost" | "RoleYielded" => Report::RoleLost,
            _ => return None,
        })
    }

    fn parsed<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.value(name)?.parse().ok()
    }

    fn submission(&self) -> Option<Submission> {
        let outcome = match self.value("outcome")? {
            "Accepted" => Outcome::Accepted,
            "Barred" => Outcome::Barred,
            _ => Outcome::Refused,
        };
        let size = || {
            Some(Size {
                work: self.parsed("work_core_ms")?,
                chain: self.parsed("chain_ms")?,
                objective: self.parsed("objective_ms")?,
            })
        };
        Some(Submission {
            job: self.parsed("job")?,
            queue: self.value("queue")?.to_owned(),
            gang: self.parsed("gang").unwrap_or(false),
            accelerators: self.parsed("accelerators").unwrap_or(0),
            outcome,
            size: size(),
        })
    }

    fn answer(&self) -> Option<Answer> {
        let method = match self.value("method")? {
            "POST" => Method::Submit,
            "GET" => Method::Query,
            "DELETE" => Method::Cancel,
            _ => return None,
        };
        let status = self.value("status")?;
        // A submission with another status is no job: its key, path or body is wrong.
        if method == Method::Submit && !["200", "503", "504"].contains(&status) {
            return None;
        }
        Some(Answer {
            job: self.value("path")?.rsplit('/').next()?.parse().ok()?,
            method,
            ok: status == "200",
            took: self.parsed("took_ms")?,
            state: self.value("state").filter(|text| *text != "none").map(state),
        })
    }
}

fn timestamp(word: &str) -> Option<Moment> {
    let time = DateTime::parse_from_rfc3339(word.trim_matches(['[', ']'])).ok()?;
    Some(Moment(time.timestamp_millis()))
}

fn is_event(word: &str) -> bool {
    let digits = word.strip_prefix('E').unwrap_or_default();
    digits.len() == 3 && digits.bytes().all(|digit| digit.is_ascii_digit())
}

fn stop(text: &str) -> Stop {
    match text {
        "Reclaimed" => Stop::Reclaimed,
        "Draining" => Stop::Draining,
        "Stalled" => Stop::Stalled,
        "GangBroken" => Stop::GangBroken,
        "GangLate" => Stop::GangLate,
        _ => Stop::Unneeded,
    }
}

fn ending(text: &str) -> Option<Ending> {
    Some(match text {
        "done" => Ending::Done,
        "failed" => Ending::Failed,
        "stopped" => Ending::Stopped,
        "lapsed" => Ending::Lapsed,
        "crashed" | "crashed_at_start" | "crashed_unanswered" => Ending::Crashed,
        "broken" | "alone" => Ending::Broken,
        "refused" => Ending::Refused,
        _ => return None,
    })
}

fn state(text: &str) -> State {
    match text {
        "completed" => State::Completed,
        "cancelled" => State::Cancelled,
        _ => State::Other,
    }
}

fn wait_cause(text: &str) -> Option<Cause> {
    Some(match text {
        "no_room" => Cause::NoRoom,
        "wrong_place" => Cause::WrongPlace,
        "other_work" => Cause::OtherWork,
        "bad_worker" => Cause::BadWorker,
        "gang" => Cause::Gang,
        _ => return None,
    })
}
