//! Request admission at the agent, which alone decides whether a request runs at its target.
//! [`Gate`] makes the decision; the types here are exchanged with the entry.

pub mod gate;
pub mod memory;
pub mod queue;

use serde::{Deserialize, Serialize};

use crate::place::Class;
use crate::unit::{Boot, Bytes, Connections, Millis, Request, Slots, Time};

pub use gate::Gate;

/// Largest body of a request or an answer.
pub const BODY_LIMIT: Bytes = Bytes(1 << 20);
/// Longest time after sending during which a call may be admitted.
pub const ADMISSION_WINDOW: Millis = Millis(5_000);
/// Time added to [`ADMISSION_WINDOW`], because the entry knows only a lower bound of the agent's
/// clock.
pub const CLOCK_SLACK: Millis = Millis(2_000);

/// Identifies a request sent to one incarnation of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The request, the same for every try.
    pub request: Request,
    /// The incarnation of the agent that the request is addressed to; any other refuses it.
    pub boot: Boot,
    /// The uptime of that agent after which the request is no longer admitted.
    pub admit_by: Millis,
}

/// A request as an entry forwards it to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The request and the agent that it is addressed to.
    pub ticket: Ticket,
    /// The priority class in the queue of the agent.
    pub class: Class,
    /// The time left until the caller's deadline.
    pub budget: Millis,
    /// The HTTP method.
    pub method: String,
    /// The path and query at the target.
    pub path: String,
    /// The headers that are forwarded to the target.
    pub headers: Vec<(String, String)>,
    /// The complete body, at most [`BODY_LIMIT`].
    pub body: Vec<u8>,
}

/// The complete answer of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are forwarded to the caller.
    pub headers: Vec<(String, String)>,
    /// The complete body, at most [`BODY_LIMIT`].
    pub body: Vec<u8>,
}

/// The result of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target answered.
    Answered(Answer),
    /// The agent proved, or the entry knows, that the request did not run at this agent and will
    /// not.
    NotRun(Cause),
    /// The request may have run.
    Unknown(UnknownCause),
}

impl Outcome {
    /// Returns the name of the outcome in headers, logs and metrics.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// The queue of the agent is full.
    QueueFull,
    /// The request would have waited past its deadline.
    Overloaded,
    /// The deadline or the time for admission had passed before the request could start.
    Expired,
    /// The target is leaving.
    Leaving,
    /// The request was cancelled before it ran.
    Cancelled,
    /// No connection to the agent or the target could be made.
    Unreachable,
    /// A new incarnation of the agent received the call.
    Replaced,
    /// The call exceeds the size limit of a frame.
    Size,
}

/// Why it is unknown whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownCause {
    /// The target gave no complete answer.
    Broken,
    /// The target did not answer in time.
    Timeout,
    /// The agent did not answer.
    AgentLost,
    /// A request with this id was admitted before.
    Repeated,
    /// The call arrived so late that the agent may have evicted the record of an earlier copy.
    Late,
}

/// The agent's decision about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Sends the request to the target now.
    Run(Request),
    /// Queues the request until a slot is free.
    Wait(Request),
    /// Replies without running the request.
    Reply(Request, Outcome),
}

/// How a running request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The target answered or the call failed, so its connection is free.
    Whole,
    /// The answer did not arrive in time; the target may still work on the request.
    Abandoned,
}

/// The concurrency limits of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Requests that run at once.
    pub slots: Slots,
    /// Connections in use, including those of abandoned requests.
    pub connections: Connections,
}

/// A request offered for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// The id by which copies of the request are recognised.
    pub request: Request,
    /// The priority class.
    pub class: Class,
    /// The time left until the caller's deadline.
    pub budget: Millis,
    /// The time after which the request is no longer admitted, on the agent's clock.
    pub admit_by: Time,
}
