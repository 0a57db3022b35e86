//! Accounts for what the jobs of a day were worth: what was earned, and by cause what was lost.

mod history;
mod span;
mod waste;

use std::collections::BTreeMap;

use persimmondrift::cell::job::Id;
use serde::{Serialize, Serializer};

use crate::line::{Line, Method, Moment, Report, State};
use crate::worth::{Worth, Worths};
use history::History;
use span::Absence;
use waste::Ledger;

pub use waste::{Waste, WasteCause};

/// Multiple of its objective up to which a late job has its late worth.
const MAX_LATE_FACTOR: u64 = 3;
/// Share of a job's worth that does not depend on its work, in thousandths.
const FIXED_SHARE: u128 = 300;
/// Share that grows with the work, in thousandths.
const WORK_SHARE: u128 = 700;
/// Largest amount of a job, as a multiple of the worth of its queue.
const MAX_WORTH_FACTOR: u128 = 4;

/// Why the worth of a job was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// It waited while no worker could hold it.
    NoRoom,
    /// The room fitted in total, but not on one worker or rack.
    WrongPlace,
    /// Room that fitted was withheld for other work.
    OtherWork,
    /// Its runs were stopped and redone.
    Redone,
    /// Its runs failed, stalled, or were lost with their workers.
    BadWorker,
    /// The members of a gang waited for each other.
    Gang,
    /// No planner had the role.
    NoPlanner,
    /// It was shown as completed late.
    ShownLate,
    /// It was refused, and no later submission was accepted.
    Refused,
    /// The logs do not tell, or the work took longer than estimated.
    Unexplained,
}

impl Cause {
    /// All causes, in the order of the table.
    pub const ALL: [Self; 10] = [
        Self::NoRoom,
        Self::WrongPlace,
        Self::OtherWork,
        Self::Redone,
        Self::BadWorker,
        Self::Gang,
        Self::NoPlanner,
        Self::ShownLate,
        Self::Refused,
        Self::Unexplained,
    ];

    /// Returns the name in the table.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoom => "no room",
            Self::WrongPlace => "wrong place",
            Self::OtherWork => "behind other work",
            Self::Redone => "stopped and redone",
            Self::BadWorker => "broken on a bad worker",
            Self::Gang => "gang waiting for members",
            Self::NoPlanner => "planner started late",
            Self::ShownLate => "shown late",
            Self::Refused => "refused",
            Self::Unexplained => "not explained",
        }
    }
}

/// An amount of worth in thousandths, so that sums are exact.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Amount(pub u64);

impl Amount {
    fn add(&mut self, other: Self) {
        self.0 = self.0.saturating_add(other.0);
    }

    /// Returns the share of `whole` in tenths of a percent, rounded.
    #[must_use]
    pub fn permille_of(self, whole: Self) -> u64 {
        let share =
            |whole: u64| (u128::from(self.0) * 1_000 + u128::from(whole) / 2) / u128::from(whole);
        if whole.0 == 0 { 0 } else { u64::try_from(share(whole.0)).unwrap_or(u64::MAX) }
    }
}

impl std::fmt::Display for Amount {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }
}

impl Serialize for Amount {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Sums over the jobs of a queue, or of all queues.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Balance {
    /// Jobs that are owed.
    pub jobs: u32,
    /// Jobs that were shown as completed within their objective.
    pub in_time: u32,
    /// What was owed; the sum of what was earned and what was lost.
    pub owed: Amount,
    /// What was earned.
    pub earned: Amount,
    /// What was lost.
    pub lost: Amount,
    /// What was lost by cause.
    pub causes: BTreeMap<Cause, Amount>,
}

impl Balance {
    fn add(&mut self, owed: Amount, verdict: Verdict, earned: Amount) {
        let lost = Amount(owed.0 - earned.0);
        self.jobs += 1;
        self.in_time += u32::from(verdict == Verdict::InTime);
        self.owed.add(owed);
        self.earned.add(earned);
        self.lost.add(lost);
        if let Verdict::Late(cause) | Verdict::Lost(cause) = verdict {
            self.causes.entry(cause).or_default().add(lost);
        }
    }
}

/// The balance of a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QueueBalance {
    /// Worth of its jobs.
    pub worth: Worth,
    /// Whether the worth was given by an option.
    pub given: bool,
    /// Its sums.
    #[serde(flatten)]
    pub balance: Balance,
}

/// The loss accounting of a day.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub struct Account {
    /// Sums over all queues.
    pub total: Balance,
    /// Sums by queue.
    pub queues: BTreeMap<String, QueueBalance>,
    /// Jobs whose lines lack their work, chain or objective.
    pub unsized_jobs: u32,
    /// Jobs whose submission is not in the logs, or was refused before it was read.
    pub unsubmitted: u32,
    /// Jobs that were cancelled.
    pub cancelled: u32,
    /// Jobs without an objective, because they are repeated or long-running.
    pub open_ended: u32,
    /// Jobs that had not ended at the end of the logs, and whose objective had not passed.
    pub pending: u32,
    /// Work that was thrown away, by cause.
    pub waste: BTreeMap<WasteCause, Waste>,
}

impl Account {
    /// Returns whether the logs report no job.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        let uncounted = self.unsized_jobs + self.unsubmitted + self.cancelled + self.open_ended;
        uncounted + self.pending + self.total.jobs == 0
    }
}

/// What became of an owed job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// Shown as completed within its objective.
    InTime,
    /// Shown as completed later, but within [`MAX_LATE_FACTOR`] objectives.
    Late(Cause),
    /// Shown later than that or not at all, or refused.
    Lost(Cause),
}

/// Builds the accounting from log lines of all processes, in any order.
#[must_use]
pub fn build(lines: &[Line], worths: &Worths) -> Account {
    let mut lines: Vec<(Moment, &Line)> =
        lines.iter().filter_map(|line| Some((line.moment()?, line))).collect();
    lines.sort_by_key(|(time, _)| *time);
    let end = lines.last().map(|(time, _)| *time).unwrap_or_default();
    let day = read(&lines);
    let mut account = Account { waste: day.ledger.waste, ..Account::default() };
    let mut owed: BTreeMap<&str, Vec<(u64, Verdict)>> = BTreeMap::new();
    for job in day.jobs.values() {
        let Some(submission) = &job.submission else {
            account.unsubmitted += 1;
            continue;
        };
        if job.is_cancelled() {
            account.cancelled += 1;
            continue;
        }
        let Some(size) = submission.size else {
            account.unsized_jobs += 1;
            continue;
        };
        if size.objective == 0 {
            account.open_ended += 1;
            continue;
        }
        match judge(job, size.chain, size.objective, end, &day.absences) {
            None => account.pending += 1,
            Some(verdict) => {
                owed.entry(&submission.queue).or_default().push((size.work, verdict));
            }
        }
    }
    for (queue, jobs) in owed {
        let given = worths.get(queue);
        let worth = given.unwrap_or_default();
        let work: u128 = jobs.iter().map(|(work, _)| u128::from(*work)).sum();
        let count = u128::try_from(jobs.len()).unwrap_or(u128::MAX);
        let mut balance = Balance::default();
        for &(own, verdict) in &jobs {
            let owed = owed_amount(worth, u128::from(own), work, count);
            let earned = match verdict {
                Verdict::InTime => owed,
                Verdict::Late(_) => late_amount(owed, worth),
                Verdict::Lost(_) => Amount(0),
            };
            balance.add(owed, verdict, earned);
            account.total.add(owed, verdict, earned);
        }
        let balance = QueueBalance { worth, given: given.is_some(), balance };
        account.queues.insert(queue.to_owned(), balance);
    }
    account
}

/// Returns what is owed for a job with `own` work, in a queue with `count` jobs and `work` in
/// total.
fn owed_amount(worth: Worth, own: u128, work: u128, count: u128) -> Amount {
    let whole = u128::from(worth.whole);
    // In millionths until the end, so that the amount is rounded once.
    let scaled = (whole * WORK_SHARE).saturating_mul(own).saturating_mul(count);
    let by_work = scaled.checked_div(work).unwrap_or(whole * WORK_SHARE);
    let millionths = (whole * FIXED_SHARE).saturating_add(by_work);
    let amount = (millionths.saturating_add(500) / 1_000).min(whole * MAX_WORTH_FACTOR);
    Amount(u64::try_from(amount).unwrap_or(u64::MAX))
}

fn late_amount(owed: Amount, worth: Worth) -> Amount {
    let amount = (u128::from(owed.0) * u128::from(worth.late) + 500) / 1_000;
    Amount(u64::try_from(amount).unwrap_or(u64::MAX).min(owed.0))
}

/// Returns what became of a job with the given chain of work and objective in milliseconds; `None`
/// if it had not ended at `end`, and its objective had not passed.
fn judge(
    job: &History,
    chain: u64,
    objective: u64,
    end: Moment,
    absences: &[Absence],
) -> Option<Verdict> {
    if job.is_refused() {
        return Some(Verdict::Lost(Cause::Refused));
    }
    let begin = job.sent.unwrap_or_default();
    let shown = job.shown_at();
    let failed = job.ended.filter(|(_, state)| *state != State::Completed).map(|(time, _)| time);
    let until = shown.or(failed).unwrap_or(end);
    let took = until.since(begin);
    if shown.is_some() && took <= objective {
        return Some(Verdict::InTime);
    }
    if shown.is_none() && failed.is_none() && took <= objective {
        return None;
    }
    let cause = span::largest(&job.spans_until(until), absences, took, chain);
    let is_late = shown.is_some() && took <= objective.saturating_mul(MAX_LATE_FACTOR);
    Some(if is_late { Verdict::Late(cause) } else { Verdict::Lost(cause) })
}

/// What the lines of a day tell.
#[derive(Debug, Default)]
struct Day {
    jobs: BTreeMap<Id, History>,
    ledger: Ledger,
    /// Times without a planner.
    absences: Vec<Absence>,
    /// Causes of all logged waits.
    waits: Vec<(Moment, Cause)>,
}

fn read(lines: &[(Moment, &Line)]) -> Day {
    let mut day = Day::default();
    let mut planner_seen = lines.first().map(|(time, _)| *time).unwrap_or_default();
    for &(time, line) in lines {
        let report = line.report();
        if report == Some(Report::RoleTaken) && planner_seen < time {
            day.absences.push(Absence { from: planner_seen, to: time });
        }
        if line.is_of_planner() || report == Some(Report::RoleLost) {
            planner_seen = time;
        }
        if let Some(report) = report {
            day.apply(time, report);
        }
    }
    let end = lines.last().map(|(time, _)| *time).unwrap_or_default();
    for job in day.jobs.values_mut() {
        job.close(end, &day.waits);
    }
    day
}

impl Day {
    fn apply(&mut self, time: Moment, report: Report) {
        match report {
            Report::Submitted(submission) => self.job(submission.job).submit(time, submission),
            Report::Answered(answer) if answer.method == Method::Submit => {
                self.job(answer.job).answer(time, answer);
            }
            Report::Answered(answer) => {
                // Callers also ask for jobs that do not exist.
                if let Some(job) = self.jobs.get_mut(&answer.job) {
                    job.answer(time, answer);
                }
            }
            Report::Placed { group, count, cost } => {
                self.ledger.place(time, group, cost);
                self.jobs.entry(group.job).or_default().place(time, group, count, &self.waits);
            }
            Report::Started(task) => {
                self.ledger.start(time, task);
                self.job(task.job).start(time, task.group());
            }
            Report::Listed(task) => self.job(task.job).list(time, task),
            Report::Stopped(task, stop) => {
                self.ledger.stop(task, stop);
                let begin = self.ledger.lost_since(time, task);
                self.job(task.job).stop(time, begin, task, stop);
            }
            Report::Over(task, ending) => {
                let begin = self.ledger.lost_since(time, task);
                let job = self.jobs.entry(task.job).or_default();
                let accelerators = job.submission.as_ref().map_or(0, |known| known.accelerators);
                self.ledger.end(time, task, ending, accelerators);
                job.end_run(time, begin, task, ending);
            }
            Report::Waits { group, count, cause } => {
                if let Some(cause) = cause {
                    self.waits.push((time, cause));
                }
                self.job(group.job).wait(time, group, count, cause);
            }
            Report::Ended { job, state } => {
                self.jobs.entry(job).or_default().end(time, state, &self.waits);
            }
            Report::RoleTaken | Report::RoleLost => {}
        }
    }

    fn job(&mut self, id: Id) -> &mut History {
        self.jobs.entry(id).or_default()
    }
}
