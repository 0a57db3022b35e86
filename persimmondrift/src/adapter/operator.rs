//! Operators' HTTP: plan, confirm and status as JSON.

use rouille::{Request, Response};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use super::{BodyError, read_body};
use crate::config::journal;
use crate::config::{Change, Config};
use crate::intent::{self, Draft};
use crate::place::{Outcome, Spec, Summary};
use crate::settings::Token;
use crate::unit::{Job, Operator, Plan, Version, Zone};

/// A call of an operator, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Makes a plan of these changes.
    Plan(Vec<Change>),
    /// Confirms a plan.
    Confirm {
        /// Its id.
        plan: Plan,
        /// The plan, sent back; needed at entries that did not make it.
        draft: Option<Draft>,
        /// Who confirms it.
        operator: Operator,
    },
    /// Asks for the state of the system.
    Status,
    /// Asks what a job does or waits for.
    Explain(Job),
}

/// What an operator is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// A plan.
    Planned(Draft),
    /// A plan was confirmed and is version so-and-so.
    Confirmed(Version),
    /// The state of the system.
    Status(Box<Status>),
    /// What is known of a job.
    Explained(Box<JobStatus>),
}

/// What one entry knows of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job.
    pub job: Job,
    /// How it ended, as far as this entry remembers.
    pub outcome: Option<Outcome>,
    /// What it needs, if it has not ended.
    pub spec: Option<Spec>,
    /// What it does or waits for in each zone that this entry plans.
    pub zones: Vec<(Zone, String)>,
}

/// The state of the system as one entry sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The configuration in force.
    pub config: Config,
    /// The agents, with the configuration in force at each.
    pub agents: Vec<Agent>,
    /// The planner of each zone whose role this entry holds.
    pub zones: Vec<(String, Summary)>,
    /// The jobs that ended, and how, as far as this entry remembers.
    pub ended: Vec<(Job, Outcome)>,
}

/// An agent as one entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agent {
    /// Its name.
    pub node: crate::unit::Node,
    /// How it is judged.
    pub judgement: String,
    /// Whether it takes new work.
    pub serving: bool,
    /// The configuration in force there.
    pub version: Version,
    /// Requests that run there.
    pub running: u32,
    /// Parts of jobs that run there.
    pub tasks: usize,
}

/// Why an operator's call is refused.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// There is no such call.
    #[error("no such call; see the page for operators")]
    Call,
    /// The token is missing or wrong.
    #[error("the bearer token is missing or unknown")]
    Token,
    /// The body is malformed.
    #[error("the body is malformed: {0}")]
    Malformed(String),
    /// The body cannot be taken.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// No such plan is held here.
    #[error("plan {0} is not known here; send the whole plan back, or plan again")]
    NoPlan(Plan),
    /// The configuration was not read since the entry started.
    #[error("the entry has not read the configuration yet; ask another one, or later")]
    Starting,
    /// The intent is refused.
    #[error("{0}")]
    Intent(#[from] intent::Error),
    /// The plan could not be written, or it is not known yet whether it was.
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

/// Reads an operator's call.
///
/// # Errors
///
/// Returns the [`Refusal`] that the operator is told.
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

/// Reads the plan that an operator sends back, if any.
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
    // All tokens are compared, so that the time taken does not tell which one matched.
    for token in tokens {
        if bool::from(given.as_bytes().ct_eq(token.secret.as_bytes())) {
            matched = Some(token.operator.clone());
        }
    }
    matched.ok_or(Refusal::Token)
}

/// Writes the response to an operator.
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
