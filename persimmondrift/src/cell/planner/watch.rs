//! Agents that fall silent.

use std::time::Duration;

use super::draft::Draft;
use super::{Input, Note, Planner};
use crate::cell::grant::LAPSE_MARGIN;
use crate::cell::record::{self, Worker};
use crate::cell::table::{Condition, Table, Write};
use crate::unit::Version;

/// Reports that an agent may miss before it gets no new work.
const MISSED_MOST: u32 = 3;
/// Longest age of the last read of reports at which silence counts.
const READ_AGE_MOST: Duration = Duration::from_millis(1_500);

impl Planner {
    /// Takes note of new reports.
    pub(super) fn listen(&mut self, input: &Input<'_>) {
        if input.reports_read.since(self.read) > READ_AGE_MOST {
            // The store was away: its silence is not the agents'.
            for (_, at) in self.heard.values_mut() {
                *at = input.now;
            }
        }
        self.read = self.read.max(input.reports_read);
        for (agent, version, worker) in input.workers.iter() {
            let heard = self.heard.entry(agent.to_owned()).or_insert((Version(0), input.now));
            // The planner's own mark is no sign of life.
            if heard.0 < version && !worker.revoked {
                *heard = (version, input.now);
            }
            for run in &worker.running {
                if !run.checkpoint.is_empty() {
                    self.checkpoints.insert(run.task, (run.run, run.checkpoint.clone()));
                }
            }
        }
        self.heard.retain(|agent, _| input.workers.get(agent).is_some());
    }

    /// Returns whether an agent may be given work.
    pub(super) fn is_heard(&self, input: &Input<'_>, agent: &str) -> bool {
        self.silence(input.now, agent) < self.settings.report_every * MISSED_MOST
    }

    /// Returns whether the worker of an agent that was given up has surely stopped all.
    pub(super) fn has_lapsed(&self, input: &Input<'_>, agent: &str, worker: &Worker) -> bool {
        worker.revoked && self.silence(input.now, agent) >= self.settings.grant + LAPSE_MARGIN
    }

    /// Marks the reports of silent agents, and removes those whose grant has lapsed.
    pub(super) fn give_up(&mut self, draft: &mut Draft<'_>) {
        let input = draft.input;
        if input.now.since(input.reports_read) > READ_AGE_MOST {
            return;
        }
        for (agent, version, worker) in input.workers.iter() {
            if draft.left() < 3 || self.is_heard(&input, agent) {
                continue;
            }
            let condition = Condition { table: Table::Workers, key: agent.to_owned(), version };
            let write = |value| Write { table: Table::Workers, key: agent.to_owned(), value };
            if !worker.revoked {
                let marked = Worker { revoked: true, ..worker.clone() };
                let write = write(Some(record::encode(&marked)));
                draft.require(condition);
                draft.plan.writes.push(write);
                let silent = self.silence(input.now, agent);
                let silent_ms = u64::try_from(silent.as_millis()).unwrap_or(u64::MAX);
                draft.note(Note::Revoked { agent: agent.to_owned(), silent_ms });
            } else if self.has_lapsed(&input, agent, worker) && !has_orders(draft, agent) {
                let write = write(None);
                draft.require(condition);
                draft.plan.writes.push(write);
                draft.note(Note::Removed { agent: agent.to_owned() });
            }
        }
    }
}

fn has_orders(draft: &Draft<'_>, agent: &str) -> bool {
    draft.orders.iter().any(|((own, _), order)| own == agent && !order.tasks.is_empty())
}
