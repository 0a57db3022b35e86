//! Detection of silent agents: revokes their sessions when their grants have expired, and later
//! removes their reports.

use std::time::Duration;

use super::draft::Draft;
use super::{Decision, Input, Planner};
use crate::cell::grant::LAPSE_MARGIN;
use crate::cell::record::{self, Worker};
use crate::cell::table::Table;
use crate::unit::{Time, Version};

/// Number of report intervals without a report after which an agent gets no new work.
const MAX_MISSED_REPORTS: u32 = 3;
/// Maximum age of the last read of the reports at which the silence of an agent counts.
const MAX_READ_AGE: Duration = Duration::from_millis(1_500);

impl Planner {
    /// Records new reports and the checkpoints in them. `read` is the time of the last successful
    /// read.
    pub(super) fn record_reports(&mut self, input: &Input<'_>, read: Time) {
        if read.since(self.last_read) > MAX_READ_AGE {
            // Reports may have been missed while the store could not be read, so the silence of
            // all agents is counted from now.
            for (_, at) in self.last_reports.values_mut() {
                *at = input.now;
            }
        }
        self.last_read = self.last_read.max(read);
        for (agent, version, worker) in input.workers.iter() {
            let last_report =
                self.last_reports.entry(agent.to_owned()).or_insert((Version(0), input.now));
            // A revoked row was written by a planner, so it is no report of the agent.
            if last_report.0 < version && !worker.revoked {
                *last_report = (version, input.now);
            }
            for run in &worker.running {
                if !run.checkpoint.is_empty() {
                    self.checkpoints.insert(run.task, (run.run, run.checkpoint.clone()));
                }
            }
        }
        for agent in input.workers.unread() {
            self.last_reports.entry(agent.to_owned()).or_insert((Version(0), input.now));
        }
        self.last_reports.retain(|agent, _| input.workers.version(agent) != Version(0));
    }

    /// Returns whether an agent has reported recently enough to be given work.
    pub(super) fn is_responsive(&self, input: &Input<'_>, agent: &str) -> bool {
        self.time_since_report(input.now, agent)
            < self.settings.report_interval * MAX_MISSED_REPORTS
    }

    /// Revokes the sessions of agents whose last grant has expired, and removes the reports of
    /// revoked agents that have no orders left.
    pub(super) fn expire_agents(&mut self, draft: &mut Draft<'_>, read: Time) {
        let input = draft.input;
        if input.now.since(read) > MAX_READ_AGE {
            return;
        }
        for (agent, _, worker) in input.workers.iter() {
            let silent = self.time_since_report(input.now, agent);
            if silent < self.settings.grant + LAPSE_MARGIN {
                continue;
            }
            let value = if !worker.revoked {
                let silent_ms = u64::try_from(silent.as_millis()).unwrap_or(u64::MAX);
                draft.add_decision(Decision::Revoked { agent: agent.to_owned(), silent_ms });
                Some(record::encode(&Worker { revoked: true, ..worker.clone() }))
            } else if has_orders(draft, agent) {
                continue;
            } else {
                draft.add_decision(Decision::Removed { agent: agent.to_owned() });
                None
            };
            // The write is refused if the agent has reported in the meantime.
            let version = input.workers.version(agent);
            draft.add_row_update(Table::Workers, agent.to_owned(), version, value);
        }
        for agent in input.workers.unread() {
            let silent = self.time_since_report(input.now, agent);
            if silent >= self.settings.grant + LAPSE_MARGIN && has_orders(draft, agent) {
                let silent_ms = u64::try_from(silent.as_millis()).unwrap_or(u64::MAX);
                draft.add_decision(Decision::Revoked { agent: agent.to_owned(), silent_ms });
                let value = record::encode(&Worker { revoked: true, ..Worker::default() });
                let version = input.workers.version(agent);
                draft.add_row_update(Table::Workers, agent.to_owned(), version, Some(value));
            }
        }
    }
}

fn has_orders(draft: &Draft<'_>, agent: &str) -> bool {
    draft.orders.iter().any(|((own, _), order)| own == agent && !order.tasks.is_empty())
}
