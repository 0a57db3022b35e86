//! Operators' calls: plan, confirm, status.

use super::role::Role;
use super::{Shared, table};
use crate::adapter::operator::{Agent, Ask, Explained, Refusal, Status, Told};
use crate::config::Change;
use crate::intent;
use crate::store::Outcome;
use crate::unit::{Job, Operator, Plan, Version, Zone};

/// Answers an operator's call.
///
/// # Errors
///
/// Returns the [`Refusal`] that the operator is told.
pub fn answer(shared: &Shared, ask: Ask) -> Result<Told, Refusal> {
    match ask {
        Ask::Plan(changes) => plan(shared, changes),
        Ask::Confirm(plan, operator) => confirm(shared, plan, &operator).map(Told::Confirmed),
        Ask::Explain(job) => Ok(Told::Explained(Box::new(explain(shared, job)))),
        Ask::Status => Ok(Told::Status(Box::new(status(shared)))),
    }
}

fn plan(shared: &Shared, changes: Vec<Change>) -> Result<Told, Refusal> {
    let plan = Plan(shared.random().u64(1..));
    let mut core = shared.core();
    let draft = intent::plan(&core.config, &core.supply(), plan, changes)?;
    core.keep(draft.clone());
    crate::log!(Planned, "plan {plan} from version {}", draft.base);
    Ok(Told::Planned(draft))
}

fn confirm(shared: &Shared, plan: Plan, operator: &Operator) -> Result<Version, Refusal> {
    table::refresh(shared)?;
    let record = {
        let core = shared.core();
        // A plan confirmed before keeps its version: the second confirm changes nothing.
        if let Some(done) = core.records.iter().find(|record| record.plan == plan) {
            return Ok(done.version);
        }
        let draft = core.drafts.get(&plan).ok_or(Refusal::NoPlan(plan))?;
        let since: Vec<_> = core.records.iter().cloned().collect();
        let mutation = table::mutation(shared);
        intent::confirm(&core.config, draft, &since, operator, mutation)?
    };
    let outcome = table::append(shared, &record)?;
    table::refresh(shared)?;
    if outcome == Outcome::Refused {
        let core = shared.core();
        let current = core.config.version;
        let later = core.records.iter().filter(|other| other.version >= record.version);
        let changes = later.flat_map(|other| other.changes.clone()).collect();
        let base = Version(record.version.0 - 1);
        return Err(intent::Error::Conflict { base, current, changes }.into());
    }
    crate::log!(Confirmed, "plan {plan} by {operator} is version {}", record.version);
    Ok(record.version)
}

fn explain(shared: &Shared, job: Job) -> Explained {
    let now = shared.now();
    let core = shared.core();
    let known = |(zone, role): (&Zone, &Role)| Some((zone.clone(), role.explain(now, job)?));
    Explained {
        job,
        outcome: core.ended.iter().find(|(ended, _)| *ended == job).map(|(_, how)| *how),
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
            version: member.said.version,
            running: member.said.load.running,
            tasks: member.said.tasks.len(),
        });
    }
    let zones = core.roles.iter().map(|(zone, role)| (zone.to_string(), role.summary()));
    Status {
        config: core.config.clone(),
        agents,
        zones: zones.collect(),
        ended: core.ended.iter().copied().collect(),
    }
}
