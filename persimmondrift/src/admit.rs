//! Admission at the agent: the one place that decides whether a request runs at its target.

pub mod gate;
pub mod memory;
pub mod queue;

use serde::{Deserialize, Serialize};

use crate::place::Class;
use crate::unit::{Boot, Bytes, Connections, Millis, Request, Slots, Time};

pub use gate::Gate;

/// Largest body of a request or an answer.
pub const BODY_LIMIT: Bytes = Bytes(1 << 20);
/// Time for which a call may be admitted after it was sent.
pub const ADMISSION_WINDOW: Millis = Millis(5_000);
/// Time added to it, because the clock of the agent is known only from below.
pub const CLOCK_SLACK: Millis = Millis(2_000);

/// Identifies a request on its way to one start of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The request.
    pub request: Request,
    /// The start of the agent that it is meant for. Another one refuses it.
    pub boot: Boot,
    /// The uptime of that agent until which it may be admitted.
    pub admit_by: Millis,
}

/// A request on its way to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The request and the agent that it is meant for.
    pub ticket: Ticket,
    /// How urgent it is.
    pub class: Class,
    /// The time left for it.
    pub budget: Millis,
    /// The HTTP method.
    pub method: String,
    /// The path and query at the target.
    pub path: String,
    /// The headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// The whole answer of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The target answered.
    Answered(Answer),
    /// It was not admitted here and will not be: the agent has proof.
    NotRun(Cause),
    /// It may have run.
    Unknown(UnknownCause),
}

impl Outcome {
    /// Returns the word for it in headers, logs and metrics.
    #[must_use]
    pub fn word(&self) -> &'static str {
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
    /// It would have waited longer than its deadline.
    Overloaded,
    /// Its deadline passed while it waited.
    Expired,
    /// The target is leaving.
    Leaving,
    /// It was cancelled before it ran.
    Cancelled,
    /// The target could not be reached at all.
    Unreachable,
    /// The agent was replaced by a new process before the call reached it.
    Replaced,
    /// The call is over the bound of a frame.
    Size,
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownCause {
    /// The target gave no whole answer.
    Broken,
    /// The target gave no answer in time.
    Timeout,
    /// The agent gave no answer.
    AgentLost,
    /// A request with this id was admitted before.
    Repeated,
    /// The call arrived so late that the agent may have forgotten an earlier copy.
    Late,
}

/// What the agent does with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Sends it to the target now.
    Run(Request),
    /// Lets it wait for a slot.
    Wait(Request),
    /// Answers it without running it.
    Reply(Request, Outcome),
}

/// How a request that ran has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The target gave a whole answer, or was not reached.
    Whole,
    /// No answer was waited for any longer: the target may still work on it.
    Abandoned,
}

/// The limits of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Requests that run at once.
    pub slots: Slots,
    /// Connections, those of abandoned requests included.
    pub connections: Connections,
}

/// A request that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// The request.
    pub request: Request,
    /// How urgent it is.
    pub class: Class,
    /// The time left for it.
    pub budget: Millis,
    /// The time until which it may be admitted.
    pub admit_by: Time,
}
