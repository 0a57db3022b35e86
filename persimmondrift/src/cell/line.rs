//! Fields of the log lines that the loss accounting of `persimmonctl account` reads.
//!
//! Names of fields stay as they are, and new ones are appended, since logs of several releases are
//! read together.

use std::fmt::{self, Display};

use super::access::Queue;
use super::job::{Id, Request};
use super::planner::{Claim, Decision, Observation};
use super::progress::Failure;
use super::{rank, reclaim};
use crate::unit::Epoch;

/// Returns the fields of a submitted job, without the outcome of the submission.
#[must_use]
pub fn submission(id: Id, queue: &Queue, workspace: &str, request: &Request) -> String {
    let steps = &request.steps;
    let tasks: u32 = steps.iter().map(|step| u32::from(step.width)).sum();
    let accelerators = steps.iter().map(|step| step.need.accelerators).max().unwrap_or(0);
    let estimate_ms: u64 = steps.iter().map(|step| u64::from(step.estimate_ms)).sum();
    let gang = steps.iter().any(|step| step.gang);
    let one_rack = steps.iter().any(|step| step.one_rack);
    format!(
        "job={id} queue={} workspace={workspace} steps={} tasks={tasks} accelerators={accelerators} estimate_ms={estimate_ms} gang={gang} one_rack={one_rack}",
        queue.name,
        steps.len()
    )
}

/// Returns the fields of a submitted job that follow the outcome of the submission: its work and
/// objective.
///
/// The objective is 0 for a job that has none, because it is repeated or long-running.
#[must_use]
pub fn objective(queue: &Queue, request: &Request) -> String {
    let work = request.steps.iter().map(|step| {
        let core_us = u64::from(step.estimate_ms).saturating_mul(reclaim::millicores(step.need));
        core_us.saturating_mul(u64::from(step.width)) / 1_000
    });
    let work_core_ms = work.fold(0, u64::saturating_add);
    let chain_ms = rank::critical_path_ms(request, None);
    let is_open_ended = request.schedule.is_some() || request.is_long_running();
    let objective_ms = if is_open_ended { 0 } else { rank::objective_ms(queue, chain_ms) };
    format!(
        "priority={} work_core_ms={work_core_ms} chain_ms={chain_ms} objective_ms={objective_ms}",
        queue.priority
    )
}

/// Returns the fields of a decision.
#[must_use]
pub fn decision(decision: &Decision, epoch: Epoch) -> impl Display {
    fmt::from_fn(move |f| match decision {
        Decision::Placed {
            group,
            agent,
            count,
            run,
            waited_ms,
            report,
            trust,
            left,
            task_millicores,
            checkpoints,
        } => write!(
            f,
            "group={group} agent={agent} count={count} run={run} waited_ms={waited_ms} report={report} epoch={epoch} trust={trust:?} left_millicores={} left_accelerators={} task_millicores={task_millicores} checkpoints={checkpoints}",
            left.millicores, left.accelerators
        ),
        Decision::Stopped { task, run, agent, cause, claim: None } => {
            write!(f, "task={task} run={run} agent={agent} cause={cause:?} epoch={epoch}")
        }
        Decision::Stopped {
            task,
            run,
            agent,
            cause,
            claim: Some(Claim { group, rank, percent, loss }),
        } => write!(
            f,
            "task={task} run={run} agent={agent} cause={cause:?} percent={percent} loss_core_ms={loss} claimant={group} guaranteed={} priority={} slack_ms={} epoch={epoch}",
            rank.guaranteed, rank.priority, rank.slack_ms
        ),
        Decision::Ended { task, run, agent, ending, basis, report, report_age_ms } => write!(
            f,
            "task={task} run={run} agent={agent} ending={ending} basis={basis:?} report={report} report_age_ms={report_age_ms} epoch={epoch}"
        ),
        Decision::Concluded { job, state, after_ms, failure } => {
            write!(f, "job={job} state={state} after_ms={after_ms}")?;
            match failure {
                None => Ok(()),
                Some(Failure::Attempts) => f.write_str(" reason=attempts"),
                Some(Failure::Unwritable) => f.write_str(" reason=row_too_large"),
                Some(Failure::Crashes { task, agents }) => {
                    write!(f, " reason=crashed_workers task={task} agents={}", agents.join(","))
                }
            }
        }
        Decision::CrashRecorded {
            task,
            run,
            agent,
            at_start,
            answered,
            suspected,
            sole_suspect,
            crashes,
        } => write!(
            f,
            "task={task} run={run} agent={agent} at_start={at_start} answered={answered} suspected={suspected} sole_suspect={sole_suspect} crashes={crashes} epoch={epoch}"
        ),
        Decision::ProgressBounded { job, agents, checkpoints } => {
            write!(f, "job={job} agents={agents} checkpoints={checkpoints} epoch={epoch}")
        }
        Decision::Revoked { agent, silent_ms } => {
            write!(f, "agent={agent} silent_ms={silent_ms} epoch={epoch}")
        }
        Decision::Removed { agent } => write!(f, "agent={agent} epoch={epoch}"),
    })
}

/// Returns the fields of an observation.
#[must_use]
pub fn observation(observation: &Observation, epoch: Epoch) -> impl Display {
    fmt::from_fn(move |f| match observation {
        Observation::Evacuates { zone, request, workers, runs, moved } => write!(
            f,
            "zone={zone} row={request} workers={workers} runs={runs} moved={moved} epoch={epoch}"
        ),
        Observation::Quarantined { agent, faults, cause, for_ms } => {
            let cause = cause.map_or_else(|| "unknown".to_owned(), |cause| format!("{cause:?}"));
            write!(f, "agent={agent} faults={faults} cause={cause} for_ms={for_ms} epoch={epoch}")
        }
        Observation::TakenBack { agent, trust, after_ms } => {
            write!(f, "agent={agent} trust={trust:?} after_ms={after_ms} epoch={epoch}")
        }
        Observation::Waits {
            group,
            count,
            accelerators,
            exclusion,
            reason,
            free_accelerators,
            most_accelerators,
        } => write!(
            f,
            "group={group} count={count} accelerators={accelerators} used_percent={} workers={} full={} held={} reserved={} claimed={} quarantined={} probed={} failed_on={} watched={} unlabeled={} spread={} unplaced={} absent={} silent={} draining={} revoked={} unordered={} epoch={epoch} reason={reason} free_accelerators={free_accelerators} most_accelerators={most_accelerators} evacuated={}",
            exclusion.used_percent,
            exclusion.workers,
            exclusion.full,
            exclusion.held,
            exclusion.reserved,
            exclusion.claimed,
            exclusion.quarantined,
            exclusion.probed,
            exclusion.failed_on,
            exclusion.watched,
            exclusion.unlabeled,
            exclusion.spread,
            exclusion.unplaced,
            exclusion.unusable.absent,
            exclusion.unusable.silent,
            exclusion.unusable.draining,
            exclusion.unusable.revoked,
            exclusion.unusable.unordered,
            exclusion.unusable.evacuated
        ),
    })
}
