//! Carries a caller's request to a target and concludes what became of it.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::Shared;
use super::pool::Pool;
use crate::adapter::caller::{Ask, Conclusion, Refusal};
use crate::admit::{Call, Cause, Doubt, Outcome};
use crate::route;
use crate::unit::{Millis, Node, Request, Time};
use crate::wire::{self, Body};

/// Time a request may take when neither its caller nor its service says.
const DEFAULT_TIMEOUT: Millis = Millis(30_000);
/// Most targets that are tried for one request.
const TRIES: usize = 3;
/// Time beyond the deadline in which the agent may still tell what became of a request.
const GRACE: Duration = Duration::from_millis(250);

/// Carries a request to its conclusion.
pub fn conclude(shared: &Shared, ask: Ask) -> Conclusion {
    let request = Request(shared.random().u128(..));
    let idempotent = ask.is_idempotent();
    let service = ask.service.clone();
    let configured = {
        let core = shared.core();
        core.config.services.get(&service).map(|serving| Millis(serving.timeout_ms))
    };
    let timeout = ask.timeout.or(configured).unwrap_or(DEFAULT_TIMEOUT);
    let deadline = shared.now() + timeout;
    let mut call = Call {
        request,
        class: ask.class,
        budget: timeout,
        method: ask.method,
        path: ask.path,
        headers: ask.headers,
        body: ask.body,
    };
    let mut excluded: Vec<Node> = Vec::new();
    let mut last = None;
    while excluded.len() < TRIES {
        let mut random = shared.random();
        let chosen = {
            let core = shared.core();
            route::choose(&core.agents, &core.place, &service, &excluded, &mut random)
        };
        let choice = match chosen {
            Ok(choice) => choice,
            Err(error) => {
                crate::warn!(NotRouted, "request {request:?} service {service}: {error}");
                return last.unwrap_or(Conclusion::Refused(Refusal::Route(error)));
            }
        };
        crate::log!(
            Routed,
            "request {:032x} service {service} to {}: {}, load {}, try {}",
            request.0,
            choice.node,
            choice.distance,
            choice.load,
            excluded.len() + 1
        );
        call.budget = left(shared, deadline);
        let outcome = exchange(shared, choice.address, &call, deadline);
        let again = match &outcome {
            Outcome::Answered(_) => false,
            Outcome::NotRun(cause) => *cause != Cause::Expired,
            Outcome::Unknown(_) => idempotent,
        };
        if !again || left(shared, deadline) == Millis(0) {
            crate::log!(Concluded, "request {:032x}: {}", request.0, word(&outcome));
            return Conclusion::Outcome(outcome);
        }
        shared.metrics.retries.inc();
        crate::log!(Retried, "request {:032x}: {}", request.0, word(&outcome));
        last = Some(Conclusion::Outcome(outcome));
        excluded.push(choice.node);
    }
    last.unwrap_or(Conclusion::Outcome(Outcome::Unknown(Doubt::AgentLost)))
}

fn word(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Answered(answer) => format!("answered {}", answer.status),
        Outcome::NotRun(cause) => format!("not run, {cause:?}"),
        Outcome::Unknown(doubt) => format!("unknown, {doubt:?}"),
    }
}

fn left(shared: &Shared, deadline: Time) -> Millis {
    Millis(u64::try_from(deadline.since(shared.now()).as_millis()).unwrap_or(u64::MAX))
}

/// Sends a call to an agent and waits for its outcome.
fn exchange(shared: &Shared, to: SocketAddr, call: &Call, deadline: Time) -> Outcome {
    let stream = match shared.pool.take(to) {
        Some(stream) => stream,
        None => match Pool::open(to) {
            Ok(stream) => stream,
            // Nothing was sent, so nothing can run.
            Err(_) => return Outcome::NotRun(Cause::Unreachable),
        },
    };
    match talk(shared, &stream, call, deadline) {
        Ok(outcome) => {
            shared.pool.give(to, stream);
            outcome
        }
        Err(_) => cancel(shared, to, call.request),
    }
}

fn talk(
    shared: &Shared,
    stream: &TcpStream,
    call: &Call,
    deadline: Time,
) -> Result<Outcome, wire::Error> {
    let timeout = deadline.since(shared.now()) + GRACE;
    stream.set_read_timeout(Some(timeout))?;
    wire::write(stream, &shared.link.frame(Body::Call(call.clone())))?;
    match wire::read(stream)?.body {
        Body::Outcome(request, outcome) if request == call.request => Ok(outcome),
        _ => Ok(Outcome::Unknown(Doubt::AgentLost)),
    }
}

/// Asks the agent to prove that a request has not run and will not.
fn cancel(shared: &Shared, to: SocketAddr, request: Request) -> Outcome {
    let ask = || -> Result<Body, wire::Error> {
        let stream = Pool::open(to)?;
        stream.set_read_timeout(Some(GRACE))?;
        wire::write(&stream, &shared.link.frame(Body::Cancel(request)))?;
        Ok(wire::read(&stream)?.body)
    };
    match ask() {
        Ok(Body::Cancelled(other, true)) if other == request => Outcome::NotRun(Cause::Cancelled),
        _ => Outcome::Unknown(Doubt::AgentLost),
    }
}
