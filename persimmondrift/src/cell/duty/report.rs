//! The agent's report: what it tells the planner of the worker, its runs and their ends.

use std::time::Duration;

use super::run::{Run, StartEvidence};
use super::{Listed, MAX_HEARTBEAT_AGE, MAX_LOSSES, Reconciler, SILENT_AFTER, Unprocessed};
use crate::cell::codec;
use crate::cell::record::{Condition, End, Ending, Loss, Running, Worker};
use crate::cell::table::MAX_ROW_BYTES;
use crate::unit::Time;

/// Maximum size of the ends in a report. Fixed, so that an end that was reported stays reported
/// until the planner has processed it: the worker may discard it.
const MAX_ENDS_BYTES: usize = MAX_ROW_BYTES / 2;
/// Maximum size of the runs in progress in a report. The rest of the row is for the losses and what
/// describes the worker.
const MAX_RUNNING_BYTES: usize = MAX_ROW_BYTES * 3 / 8;

impl Reconciler {
    /// Returns the newest end up to which a report that is made now has all ends that the worker has
    /// listed, and the newest end in it.
    #[must_use]
    pub fn listed(&self) -> Listed {
        let (reported, held) = self.split_ends();
        let own = held
            .iter()
            .filter(|own| own.ended_in_ms == self.incarnation.started_ms && own.number > 0);
        let first_held = own.map(|own| own.number).min();
        Listed {
            started_ms: self.incarnation.started_ms,
            number: first_held.map_or(self.listed, |number| number - 1),
            reported: reported.last().map_or(0, |own| own.sequence),
        }
    }

    /// Returns the agent's report as of `now`. Its size is bounded: ends that do not fit are held back
    /// until the planner has processed earlier ones.
    #[must_use]
    pub fn report(&self, now: Time) -> Worker {
        let (reported, held) = self.split_ends();
        let late = self.late.iter().map(|(end, _)| end);
        let ends: Vec<End> = reported.iter().map(|own| &own.end).chain(late).cloned().collect();
        let held = held.first().map(|own| &own.incarnation);
        let left = self.runs.values().filter_map(Run::earlier_incarnation);
        let earlier = held.filter(|own| **own != self.incarnation).into_iter().chain(left).min();
        // The planner writes off what an earlier incarnation ran and the report does not list, so that
        // one is reported until all its ends are.
        let incarnation = earlier.unwrap_or(&self.incarnation).clone();
        let worker = self.last_heartbeat.as_ref().filter(|_| earlier.is_none());
        let (running, losses) = (self.running(now), self.losses());
        let Some(worker) = worker else {
            return Worker { incarnation, running, ends, losses, ..Worker::default() };
        };
        let silent = self.heartbeat_age(now, worker) > MAX_HEARTBEAT_AGE
            || self.last_answer.is_none_or(|last_answer| now.since(last_answer) > SILENT_AFTER);
        let condition = match (self.is_leaving(), silent) {
            (true, _) => Condition::Draining,
            (false, true) => Condition::Silent,
            (false, false) => Condition::Ready,
        };
        let drain_deadline = self.drain_deadline.filter(|_| !self.has_left());
        let remaining = drain_deadline.map_or(Duration::ZERO, |until| until.since(now));
        Worker {
            incarnation,
            condition,
            service: worker.service.clone(),
            labels: worker.labels.clone(),
            capacity: worker.capacity,
            remaining_ms: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
            cold_ms: worker.cold_ms,
            running,
            ends,
            losses,
            ..Worker::default()
        }
    }

    /// Returns the ends that a report has, and those that are held back.
    fn split_ends(&self) -> (&[Unprocessed], &[Unprocessed]) {
        let mut bytes = 0;
        let fits = |own: &&Unprocessed| {
            bytes += codec::end_bytes(&own.end);
            bytes <= MAX_ENDS_BYTES
        };
        self.ends.split_at(self.ends.iter().take_while(fits).count())
    }

    /// Returns the started runs that fit in a report, without their checkpoints if those do not fit.
    fn running(&self, now: Time) -> Vec<Running> {
        let started = self.runs.iter().filter(|(_, run)| run.is_started());
        let mut running: Vec<Running> = started
            .map(|(&(task, number), run)| run.running(now, self.last_answer, task, number))
            .collect();
        let sizes = |running: &[Running]| -> Vec<usize> {
            running.iter().map(codec::running_bytes).collect()
        };
        if sizes(&running).iter().sum::<usize>() > MAX_RUNNING_BYTES {
            // The planner keeps the checkpoints that it knows.
            for run in &mut running {
                run.checkpoint.clear();
            }
            let mut bytes = 0;
            let fits = |size: &&usize| {
                bytes += **size;
                bytes <= MAX_RUNNING_BYTES
            };
            running.truncate(sizes(&running).iter().take_while(fits).count());
        }
        running
    }

    /// Returns the losses, and the unanswered starts that fit beside them: if this process ends before
    /// the worker's crash is known, only the report tells the next one of them.
    fn losses(&self) -> Vec<Loss> {
        let is_unanswered =
            |run: &Run| run.start_evidence(self.last_answer) == StartEvidence::Unanswered;
        let unanswered = self.runs.iter().filter(|(_, run)| is_unanswered(run));
        let unanswered = unanswered.map(|(&(task, run), _)| Loss {
            task,
            run,
            ending: Ending::CrashedUnanswered,
            crashed: false,
        });
        self.losses.iter().map(|(loss, _)| *loss).chain(unanswered).take(MAX_LOSSES).collect()
    }
}
