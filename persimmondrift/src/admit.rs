//! Admission at the agent: the one place that decides whether a request runs at its target.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::place::Class;
use crate::unit::{Bytes, Millis, Request, Slots, Time};

/// Largest body of a request or an answer.
pub const BODY_LIMIT: Bytes = Bytes(1 << 20);
/// Number of requests that may wait at an agent.
pub const QUEUE_LIMIT: usize = 64;
/// Number of ended requests that are remembered, so that late copies are refused.
const TOMBSTONES: usize = 65_536;

/// A request on its way to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The request.
    pub request: Request,
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
    Unknown(Doubt),
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
    /// Its deadline passed while it waited.
    Expired,
    /// The target is leaving.
    Leaving,
    /// It was cancelled before it ran.
    Cancelled,
    /// The target could not be reached at all.
    Unreachable,
}

/// Why it is not known whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Doubt {
    /// The target gave no whole answer.
    Broken,
    /// The target gave no answer in time.
    Timeout,
    /// The agent gave no answer.
    AgentLost,
    /// A request with this id was admitted before.
    Repeated,
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

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting(Time),
    Running,
    Ended,
    Cancelled,
}

/// The admission of one target.
#[derive(Debug)]
pub struct Gate {
    slots: Slots,
    running: u32,
    leaving: bool,
    queues: [VecDeque<Request>; 3],
    states: BTreeMap<Request, State>,
    buried: VecDeque<Request>,
}

impl Gate {
    /// Creates the admission of a target with so many slots.
    #[must_use]
    pub fn new(slots: Slots) -> Self {
        Self {
            slots,
            running: 0,
            leaving: false,
            queues: std::array::from_fn(|_| VecDeque::new()),
            states: BTreeMap::new(),
            buried: VecDeque::new(),
        }
    }

    /// Sets whether new requests are refused.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Takes in a request with the time left for it.
    pub fn offer(&mut self, now: Time, request: Request, class: Class, budget: Millis) -> Effect {
        match self.states.get(&request) {
            Some(State::Cancelled) => {
                return Effect::Reply(request, Outcome::NotRun(Cause::Cancelled));
            }
            Some(_) => return Effect::Reply(request, Outcome::Unknown(Doubt::Repeated)),
            None => {}
        }
        if self.leaving {
            return self.refuse(request, Cause::Leaving);
        }
        if self.running < self.slots.0 {
            self.running += 1;
            self.states.insert(request, State::Running);
            return Effect::Run(request);
        }
        if self.waiting() >= QUEUE_LIMIT {
            return self.refuse(request, Cause::QueueFull);
        }
        self.states.insert(request, State::Waiting(now + budget));
        self.queues[class as usize].push_back(request);
        Effect::Wait(request)
    }

    /// Takes in that a running request has ended, and admits the next ones.
    pub fn finish(&mut self, now: Time, request: Request) -> Vec<Effect> {
        if self.states.get(&request) == Some(&State::Running) {
            self.running -= 1;
            self.bury(request, State::Ended);
        }
        self.admit(now)
    }

    /// Cancels a request. Returns whether it is proved that it has not run and will not.
    pub fn cancel(&mut self, request: Request) -> bool {
        match self.states.get(&request) {
            None | Some(State::Waiting(_)) => {
                self.bury(request, State::Cancelled);
                true
            }
            Some(State::Cancelled) => true,
            Some(State::Running | State::Ended) => false,
        }
    }

    /// Ends what has waited too long.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = Vec::new();
        for index in 0..self.queues.len() {
            for request in std::mem::take(&mut self.queues[index]) {
                match self.states.get(&request) {
                    Some(State::Waiting(until)) if *until <= now => {
                        effects.push(self.refuse(request, Cause::Expired));
                    }
                    Some(State::Waiting(_)) => self.queues[index].push_back(request),
                    _ => effects.push(self.refuse(request, Cause::Cancelled)),
                }
            }
        }
        effects
    }

    /// Returns the number of requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    fn admit(&mut self, now: Time) -> Vec<Effect> {
        let mut effects = self.tick(now);
        while self.running < self.slots.0 {
            let Some(request) = self.queues.iter_mut().find_map(VecDeque::pop_front) else {
                break;
            };
            self.running += 1;
            self.states.insert(request, State::Running);
            effects.push(Effect::Run(request));
        }
        effects
    }

    fn refuse(&mut self, request: Request, cause: Cause) -> Effect {
        self.bury(request, State::Cancelled);
        Effect::Reply(request, Outcome::NotRun(cause))
    }

    fn bury(&mut self, request: Request, state: State) {
        self.states.insert(request, state);
        self.buried.push_back(request);
        if self.buried.len() > TOMBSTONES
            && let Some(oldest) = self.buried.pop_front()
        {
            self.states.remove(&oldest);
        }
    }
}
