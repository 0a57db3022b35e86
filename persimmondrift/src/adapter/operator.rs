//! HTTP interface for operators: parses and authorizes their requests, and encodes the replies as
//! JSON.

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use super::{BodyError, Request, Response, read_body};
use crate::config::journal;
use crate::config::{Change, Config};
use crate::intent::{self, Draft};
use crate::place::{Outcome, Spec, Summary};
use crate::settings::Token;
use crate::unit::{Job, Operator, Plan, Version, Zone};

/// A valid, authorized request of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Plan these changes without applying them.
    Plan(Vec<Change>),
    /// Confirm a plan, so that its changes are applied.
    Confirm {
        /// The id of the plan.
        plan: Plan,
        /// The plan as the operator received it; needed at entries that did not make it.
        draft: Option<Draft>,
        /// The operator whose token was presented.
        operator: Operator,
    },
    /// Return the state of the system.
    Status,
    /// Return the state of a job and what it waits for.
    Explain(Job),
}

/// The reply to a successful request of an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// A plan was made and can be confirmed.
    Planned(Draft),
    /// A plan was confirmed; it produced the configuration of this version.
    Confirmed(Version),
    /// The state of the system, see [`Command::Status`].
    Status(Box<Status>),
    /// The state of a job, see [`Command::Explain`].
    Explained(Box<JobStatus>),
}

/// The state of a job as one entry sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The id of the job.
    pub job: Job,
    /// How it ended; `None` if it has not ended or the entry no longer keeps its record.
    pub outcome: Option<Outcome>,
    /// Its requirements, if it has not ended.
    pub spec: Option<Spec>,
    /// What it does or waits for, in each availability zone whose planner runs at this entry.
    pub zones: Vec<(Zone, String)>,
}

/// The state of the system as one entry sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The configuration in force.
    pub config: Config,
    /// The agents, with the configuration in force at each.
    pub agents: Vec<Agent>,
    /// A summary of each availability zone whose planner runs at this entry.
    pub zones: Vec<(String, Summary)>,
    /// The ended jobs that the entry still keeps, with their outcome.
    pub ended: Vec<(Job, Outcome)>,
}

/// An agent as one entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agent {
    /// The node that it runs on.
    pub node: crate::unit::Node,
    /// The judgement of its liveness.
    pub judgement: String,
    /// Whether it accepts new requests and tasks.
    pub serving: bool,
    /// The version of the configuration in force at the agent.
    pub version: Version,
    /// The number of requests that it runs.
    pub running: u32,
    /// The number of tasks that it reports.
    pub tasks: usize,
}

/// Why a request of an operator is refused.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The path or method is unknown, or an id in the path is malformed.
    #[error("no such call; see the page for operators")]
    Call,
    /// The bearer token is missing or unknown.
    #[error("the bearer token is missing or unknown")]
    Token,
    /// The body is not the JSON that the request needs.
    #[error("the body is malformed: {0}")]
    Malformed(String),
    /// The body is too large or truncated.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// The plan is not stored at this entry, and the operator did not send it.
    #[error("plan {0} is not known here; send the whole plan back, or plan again")]
    NoPlan(Plan),
    /// The entry has started and has not read the configuration yet.
    #[error("the entry has not read the configuration yet; ask another one, or later")]
    Starting,
    /// The changes are invalid, or conflict with the configuration.
    #[error("{0}")]
    Intent(#[from] intent::Error),
    /// The plan could not be stored, or it is not known yet whether it was.
    #[error("{0}")]
    Journal(journal::Error),
}

impl From<journal::Error> for Refusal {
    fn from(error: journal::Error) -> Self {
        match error {
            journal::Error::Intent(error) => Self::Intent(error),
            error => Self::Journal(error),
        }
    }
}

/// Parses and authorizes a request of an operator.
///
/// # Errors
///
/// Returns the [`Refusal`] to send to the operator.
pub fn read(request: &Request, tokens: &[Token]) -> Result<Command, Refusal> {
    let url = request.url();
    let path: Vec<&str> = url.trim_matches('/').split('/').collect();
    let operator = authorize(request, tokens)?;
    match (request.method(), path.as_slice()) {
        ("GET", ["v1", "status"]) => Ok(Command::Status),
        ("GET", ["v1", "jobs", job]) => {
            job.parse().map(Command::Explain).map_err(|_| Refusal::Call)
        }
        ("POST", ["v1", "plans"]) => {
            let body = read_body(request)?;
            let changes = serde_json::from_slice(&body)
                .map_err(|error| Refusal::Malformed(error.to_string()))?;
            Ok(Command::Plan(changes))
        }
        ("POST", ["v1", "plans", plan, "confirm"]) => {
            let plan = plan.parse().map_err(|_| Refusal::Call)?;
            let draft = read_draft(&read_body(request)?)?;
            Ok(Command::Confirm { plan, draft, operator })
        }
        _ => Err(Refusal::Call),
    }
}

/// Decodes the plan that an operator sends with a confirmation; `None` if the body is empty.
fn read_draft(body: &[u8]) -> Result<Option<Draft>, Refusal> {
    if body.is_empty() {
        return Ok(None);
    }
    let malformed = |error: serde_json::Error| Refusal::Malformed(error.to_string());
    serde_json::from_slice(body).map(Some).map_err(malformed)
}

fn authorize(request: &Request, tokens: &[Token]) -> Result<Operator, Refusal> {
    let header = request.header("Authorization").unwrap_or_default();
    let given = header.strip_prefix("Bearer ").unwrap_or_default();
    let mut matched = None;
    // Compares all tokens, so that the duration does not reveal which one matched.
    for token in tokens {
        if bool::from(given.as_bytes().ct_eq(token.secret.as_bytes())) {
            matched = Some(token.operator.clone());
        }
    }
    matched.ok_or(Refusal::Token)
}

/// Encodes a reply or refusal as an HTTP response.
#[must_use]
pub fn write(result: Result<Reply, Refusal>) -> Response {
    let refusal = match result {
        Ok(reply) => return Response::json(&reply),
        Err(refusal) => refusal,
    };
    let status = match &refusal {
        Refusal::Call | Refusal::NoPlan(_) => 404,
        Refusal::Token => 401,
        Refusal::Malformed(_) => 400,
        Refusal::Body(_) => 413,
        Refusal::Intent(intent::Error::Conflict { .. } | intent::Error::Stale { .. }) => 409,
        Refusal::Intent(_) => 422,
        Refusal::Journal(journal::Error::Undecided) => 504,
        Refusal::Journal(_) | Refusal::Starting => 503,
    };
    let detail = match &refusal {
        Refusal::Intent(error) => serde_json::to_value(error).unwrap_or_default(),
        _ => serde_json::Value::Null,
    };
    let body = serde_json::json!({ "error": refusal.to_string(), "detail": detail });
    Response::json(&body).with_status_code(status)
}
