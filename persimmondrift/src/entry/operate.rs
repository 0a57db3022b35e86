//! Operators' calls. A plan is checked and kept as a draft; confirming it appends it to the log.
//! The other calls report the state of a job or of the system.

use std::sync::mpsc;

use super::role::Role;
use super::{Shared, log};
use crate::adapter::operator::{Agent, Command, JobStatus, Refusal, Reply, Status};
use crate::config::Change;
use crate::config::journal::{self, Append, Ticket};
use crate::intent::{self, Draft};
use crate::member::State;
use crate::unit::{Job, Operator, Plan, Version, Zone};

/// Answers an operator's call.
///
/// # Errors
///
/// Returns the [`Refusal`] to send to the operator.
pub fn answer(shared: &Shared, command: Command) -> Result<Reply, Refusal> {
    match command {
        Command::Plan(changes) => plan(shared, changes),
        Command::Confirm { plan, draft, operator } => {
            confirm(shared, plan, draft, &operator).map(Reply::Confirmed)
        }
        Command::Explain(job) => Ok(Reply::Explained(Box::new(explain(shared, job)))),
        Command::Status => Ok(Reply::Status(Box::new(status(shared)))),
    }
}

fn plan(shared: &Shared, changes: Vec<Change>) -> Result<Reply, Refusal> {
    let nonce = shared.random().u64(..);
    let mut core = shared.core();
    if !core.config_known {
        return Err(Refusal::Starting);
    }
    let observed = core.observed_state();
    let draft = intent::plan(&core.config, &observed, nonce, changes)?;
    core.store_draft(draft.clone());
    crate::log!(Planned, "plan {} from version {}", draft.plan, draft.base);
    Ok(Reply::Planned(draft))
}

fn confirm(
    shared: &Shared,
    plan: Plan,
    draft: Option<Draft>,
    operator: &Operator,
) -> Result<Version, Refusal> {
    let (draft, observed) = {
        let core = shared.core();
        let draft = draft.or_else(|| core.drafts.get(&plan).cloned());
        (
            draft.filter(|draft| draft.plan == plan).ok_or(Refusal::NoPlan(plan))?,
            core.observed_state(),
        )
    };
    let (reply, result) = mpsc::channel();
    let append = Append { ticket: Ticket(0), draft, operator: operator.clone(), observed };
    let _ = shared.log_queue.send(log::Operation::Append(Box::new(append), reply));
    let version =
        result.recv_timeout(log::answer_timeout()).unwrap_or(Err(journal::Error::Undecided))?;
    crate::log!(Confirmed, "plan {plan} by {operator} is version {version}");
    Ok(version)
}

fn explain(shared: &Shared, job: Job) -> JobStatus {
    let now = shared.now();
    let core = shared.core();
    let known = |(zone, role): (&Zone, &Role)| Some((zone.clone(), role.explain(now, job)?));
    JobStatus {
        job,
        outcome: core
            .config
            .ended
            .iter()
            .find(|(ended, _)| *ended == job)
            .map(|(_, outcome)| *outcome),
        spec: core.config.jobs.get(&job).cloned(),
        zones: core.roles.iter().filter_map(known).collect(),
    }
}

fn status(shared: &Shared) -> Status {
    let core = shared.core();
    let mut agents = Vec::new();
    for (node, member) in core.agents.iter() {
        agents.push(Agent {
            node: node.clone(),
            judgement: format!("{:?}", member.judgement),
            serving: member.payload.state == State::Serving,
            version: member.payload.version,
            running: member.payload.load.running,
            tasks: member.payload.tasks.len(),
        });
    }
    let zones = core.roles.iter().map(|(zone, role)| (zone.to_string(), role.summary()));
    Status {
        config: core.config.clone(),
        agents,
        zones: zones.collect(),
        ended: core.config.ended.iter().copied().collect(),
    }
}
