//! Progress of a job: which groups can start, how ends of runs change it, and when it is over.

mod bound;

use super::job::{Group, Id, Request, Step, Task};
use super::record::{Crash, End, Ending, Phase, Progress, State, TaskProgress};

pub use bound::Omission;

/// Crashes of workers soon after they started a task after which it is given up, whoever may be to
/// blame.
pub const MAX_START_CRASHES: usize = 3;
/// Crashes of workers under a task after which it is given up, however long it had run. Tasks of
/// long-running steps are exempt, since workers crash from time to time.
pub const MAX_CRASHES: usize = 4;
/// Crashes of one and the same worker under a task after which it is given up. They say less, since the
/// worker may be at fault, but the task may fit no other.
pub const MAX_CRASHES_OF_ONE_WORKER: usize = 5;

impl TaskProgress {
    /// Returns whether a worker has crashed soon after a start of the task was sent to it.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.start_crashes() > 0
    }

    /// Returns how many workers' crashes are known that came soon after a start of the task.
    #[must_use]
    pub fn start_crashes(&self) -> usize {
        self.crashes.iter().filter(|crash| crash.at_start).count()
    }

    /// Returns whether a crash under a run would be recorded: it is not yet, and there is room, or it
    /// came at the start and replaces one that came later, since it says more.
    #[must_use]
    pub fn has_room_for(&self, run: u32, at_start: bool) -> bool {
        let has_room = self.crashes.len() < MAX_CRASHES_OF_ONE_WORKER
            || at_start && self.crashes.iter().any(|crash| !crash.at_start);
        has_room && self.crashes.iter().all(|crash| crash.run != run)
    }

    /// Returns whether the task is to blame for crashes of workers, or has seen too many.
    fn is_given_up(&self, long_running: bool) -> bool {
        let mut agents = self.crashes.iter().filter_map(Crash::agent);
        let first = agents.next();
        let on_one_worker = agents.all(|agent| Some(agent) == first);
        let (start_limit, limit) = if on_one_worker {
            (MAX_CRASHES_OF_ONE_WORKER, MAX_CRASHES_OF_ONE_WORKER)
        } else {
            (MAX_START_CRASHES, MAX_CRASHES)
        };
        self.crashes.iter().any(|crash| crash.sole_suspect)
            || self.start_crashes() >= start_limit
            || (!long_running && self.crashes.len() >= limit)
    }
}

/// Why a job has failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// A task or a gang has failed too often.
    Attempts,
    /// Workers have crashed under a task.
    Crashes {
        /// The task.
        task: Task,
        /// Agents of the workers that crashed, as far as they are known.
        agents: Vec<String>,
    },
    /// The store does not accept one of its rows.
    Unwritable,
}

impl Progress {
    /// Creates the progress of a job of which no task has run.
    #[must_use]
    pub fn new(request: &Request) -> Self {
        let tasks = vec![TaskProgress::default(); size(request)];
        Self { state: State::Queued, ended_ms: 0, ended_at: None, tasks }
    }

    /// Returns whether it has as many tasks as the job.
    #[must_use]
    pub fn fits(&self, request: &Request) -> bool {
        self.tasks.len() == size(request)
    }

    /// Returns the progress of the tasks of a group, in the order of their indices.
    #[must_use]
    pub fn group(&self, request: &Request, group: Group) -> &[TaskProgress] {
        let range = task_range(request, group);
        self.tasks.get(range).unwrap_or_default()
    }

    /// Returns the progress of the tasks of a group for modification, in the order of their
    /// indices.
    pub fn group_mut(&mut self, request: &Request, group: Group) -> &mut [TaskProgress] {
        let range = task_range(request, group);
        self.tasks.get_mut(range).unwrap_or_default()
    }

    /// Returns whether all tasks of a group have succeeded.
    #[must_use]
    pub fn is_step_done(&self, request: &Request, group: Group) -> bool {
        self.group(request, group).iter().all(|task| task.phase == Phase::Done)
    }

    /// Returns the groups that are due, whose preceding steps are done, and that have a waiting
    /// task; a gang only if all its tasks wait.
    #[must_use]
    pub fn startable_groups(&self, id: Id, request: &Request, wall_ms: u64) -> Vec<Group> {
        let due = request.schedule.map_or(1, |schedule| schedule.due(wall_ms));
        let mut groups = Vec::new();
        for occurrence in 0..due {
            for (number, step) in (0_u16..).zip(&request.steps) {
                let group = Group { job: id, occurrence, step: number };
                let ready = step
                    .after
                    .iter()
                    .all(|&before| self.is_step_done(request, Group { step: before, ..group }));
                let tasks = self.group(request, group);
                let is_waiting = if step.gang {
                    tasks.iter().all(|task| task.phase == Phase::Waiting)
                } else {
                    tasks.iter().any(|task| task.phase == Phase::Waiting)
                };
                if ready && is_waiting && !tasks.is_empty() {
                    groups.push(group);
                }
            }
        }
        groups
    }

    /// Records that a worker has started a task.
    pub fn record_start(&mut self) {
        if self.state == State::Queued {
            self.state = State::Running;
        }
    }

    /// Applies the end of a run. Only the end of the newest run has an effect, and none if the job is
    /// over, so that its row grows no more.
    pub fn apply_end(&mut self, request: &Request, end: &End) {
        if self.state.is_final() {
            return;
        }
        let group = end.task.group();
        let Some(step) = request.steps.get(usize::from(group.step)) else {
            return;
        };
        let tasks = self.group_mut(request, group);
        let Some(task) = tasks.get_mut(usize::from(end.task.index)) else {
            return;
        };
        if task.run != end.run || task.phase != Phase::Ordered {
            return;
        }
        task.phase = Phase::Waiting;
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
        match end.ending {
            Ending::Done if step.long_running => {}
            Ending::Done if step.gang => {
                // The members end together, so the success of one counts for all.
                for task in tasks {
                    task.phase = Phase::Done;
                }
            }
            Ending::Done => task.phase = Phase::Done,
            Ending::Failed if step.gang => {
                let first = &mut tasks[0];
                if first.failed_run != end.run {
                    first.failed_run = end.run;
                    first.failures = first.failures.saturating_add(1);
                }
            }
            Ending::Failed => task.failures = task.failures.saturating_add(1),
            _ => {}
        }
        if end.ending.shows_start() {
            self.record_start();
        }
    }

    /// Returns whether a run that was written off and has ended as done is news: its task is not done,
    /// and the job is not over. A long-running task does not end as done.
    #[must_use]
    pub fn accepts_late(&self, request: &Request, end: &End) -> bool {
        let group = end.task.group();
        let long_running =
            request.steps.get(usize::from(group.step)).is_none_or(|step| step.long_running);
        let task = self.group(request, group).get(usize::from(end.task.index));
        let is_news = task.is_some_and(|task| task.phase != Phase::Done && end.run <= task.run);
        is_news && !long_running && !self.state.is_final()
    }

    /// Applies the end as done of a run that was written off.
    pub fn apply_late(&mut self, request: &Request, end: &End) {
        self.record_start();
        let group = end.task.group();
        let gang = request.steps.get(usize::from(group.step)).is_some_and(|step| step.gang);
        for (index, task) in (0..).zip(self.group_mut(request, group)) {
            if gang || index == end.task.index {
                task.phase = Phase::Done;
            }
        }
    }

    /// Records a crash of a worker under a run of a task, once for each run. Returns whether it was
    /// recorded.
    pub fn record_crash(&mut self, request: &Request, task: Task, crash: Crash) -> bool {
        let tasks = self.group_mut(request, task.group());
        let Some(own) = tasks.get_mut(usize::from(task.index)) else {
            return false;
        };
        if !own.has_room_for(crash.run, crash.at_start) {
            return false;
        }
        if own.crashes.len() >= MAX_CRASHES_OF_ONE_WORKER
            && let Some(later) = own.crashes.iter().position(|known| !known.at_start)
        {
            own.crashes.remove(later);
        }
        own.crashes.push(crash);
        true
    }

    /// Records that another job has caused the crash of a worker under a run of a task. The crash still
    /// counts towards the crashes of any kind.
    pub fn explain_crash(&mut self, request: &Request, task: Task, run: u32) {
        let tasks = self.group_mut(request, task.group());
        let own = tasks.get_mut(usize::from(task.index));
        let crash = own.and_then(|own| own.crashes.iter_mut().find(|crash| crash.run == run));
        if let Some(crash) = crash {
            crash.at_start = false;
        }
    }

    /// Returns why the job has failed, if it has.
    #[must_use]
    pub fn failure(&self, id: Id, request: &Request, attempts: u16) -> Option<Failure> {
        if self.has_exhausted_attempts(request, attempts) {
            return Some(Failure::Attempts);
        }
        let places = (0..request.occurrences()).flat_map(|occurrence| {
            (0_u16..).zip(&request.steps).flat_map(move |(number, step)| {
                let group = Group { job: id, occurrence, step: number };
                (0..step.width).map(move |index| (group.task(index), step.long_running))
            })
        });
        let given_up = |((task, long_running), own): ((Task, bool), &TaskProgress)| {
            let agents = own.crashes.iter().filter_map(Crash::agent).map(str::to_owned);
            own.is_given_up(long_running)
                .then(|| Failure::Crashes { task, agents: agents.collect() })
        };
        if self.tasks.iter().all(|task| task.crashes.is_empty()) {
            return None;
        }
        places.zip(&self.tasks).find_map(given_up)
    }

    /// Returns whether a task or a gang has failed `attempts` times, or has no number left for another
    /// run. Lasting steps may fail without limit.
    #[must_use]
    fn has_exhausted_attempts(&self, request: &Request, attempts: u16) -> bool {
        let mut first = 0;
        for step in request.steps.iter().cycle() {
            if first >= self.tasks.len() {
                return false;
            }
            let end = (first + usize::from(step.width)).min(self.tasks.len());
            let failures = self.tasks[first..end].iter().map(|task| task.failures).max();
            if !step.long_running && failures.unwrap_or(0) >= attempts.max(1) {
                return true;
            }
            // A worker does not start a run with a number that it has seen.
            if self.tasks[first..end].iter().any(|task| task.run == u32::MAX) {
                return true;
            }
            first = end.max(first + 1);
        }
        false
    }

    /// Returns whether all tasks of all occurrences have succeeded.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.tasks.iter().all(|task| task.phase == Phase::Done)
    }
}

/// Returns the number of tasks of a job.
fn size(request: &Request) -> usize {
    let steps: usize = request.steps.iter().map(|step| usize::from(step.width)).sum();
    steps.saturating_mul(usize::try_from(request.occurrences()).unwrap_or(usize::MAX))
}

/// Returns the range of the tasks of a group within all tasks of its job.
fn task_range(request: &Request, group: Group) -> std::ops::Range<usize> {
    let width = |steps: &[Step]| steps.iter().map(|step| usize::from(step.width)).sum::<usize>();
    let step = usize::from(group.step).min(request.steps.len());
    let occurrence = usize::try_from(group.occurrence).unwrap_or(usize::MAX);
    let begin = occurrence.saturating_mul(width(&request.steps)) + width(&request.steps[..step]);
    let own = request.steps.get(step).map_or(0, |step| usize::from(step.width));
    begin..begin + own
}
