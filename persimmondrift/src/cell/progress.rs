//! Progress of a job: which groups can start, how ends of runs change it, and when it is over.

use super::job::{Group, Id, Request, Step};
use super::record::{End, Ending, Phase, Progress, State, TaskProgress};

impl Progress {
    /// Creates the progress of a job of which no task has run.
    #[must_use]
    pub fn new(request: &Request) -> Self {
        let steps: usize = request.steps.iter().map(|step| usize::from(step.width)).sum();
        let occurrences = usize::try_from(request.occurrences()).unwrap_or(usize::MAX);
        let tasks = vec![TaskProgress::default(); steps.saturating_mul(occurrences)];
        Self { state: State::Queued, ended_ms: 0, tasks }
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

    /// Applies the end of a run. Only the end of the newest run has an effect.
    pub fn apply_end(&mut self, request: &Request, end: &End) {
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
                    first.failures += 1;
                }
            }
            Ending::Failed => task.failures += 1,
            _ => {}
        }
    }

    /// Returns whether a task or a gang has failed `attempts` times. Lasting steps may fail without
    /// limit.
    #[must_use]
    pub fn has_exhausted_attempts(&self, request: &Request, attempts: u16) -> bool {
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

/// Returns the range of the tasks of a group within all tasks of its job.
fn task_range(request: &Request, group: Group) -> std::ops::Range<usize> {
    let width = |steps: &[Step]| steps.iter().map(|step| usize::from(step.width)).sum::<usize>();
    let step = usize::from(group.step).min(request.steps.len());
    let occurrence = usize::try_from(group.occurrence).unwrap_or(usize::MAX);
    let begin = occurrence.saturating_mul(width(&request.steps)) + width(&request.steps[..step]);
    let own = request.steps.get(step).map_or(0, |step| usize::from(step.width));
    begin..begin + own
}
