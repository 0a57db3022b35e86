//! Sends a caller's request to a target, retries where that is safe, and determines the outcome.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::pool::Pool;
use super::{Shared, keyed};
use crate::adapter::caller::{CallerRequest, Conclusion, Refusal};
use crate::admit::{ADMISSION_WINDOW, CLOCK_SLACK, Call, Cause, Outcome, Ticket, UnknownCause};
use crate::member::Load;
use crate::retry::{self, Rule, Tries};
use crate::route::{self, Choice, Key};
use crate::unit::{Boot, Bytes, Millis, Request, Service, Time};
use crate::wire::{self, Body};

/// Timeout of a request if neither its caller nor its service sets one.
const DEFAULT_TIMEOUT: Millis = Millis(30_000);
/// Time after the deadline during which an agent may still send the outcome of a request. Also
/// the read timeout of a cancellation.
const OUTCOME_GRACE: Duration = Duration::from_millis(250);
/// Bound on the frames read from a connection to find the outcome of a request.
const MAX_STRAY_FRAMES: usize = 8;

/// A request that has no final outcome yet.
struct PendingRequest {
    service: Service,
    idempotent: bool,
    deadline: Time,
    size: Bytes,
    call: Call,
}

/// Runs a request and returns its conclusion.
pub fn conclude(shared: &Shared, caller_request: CallerRequest) -> Conclusion {
    let Some(_permit) = shared.router.try_admit(caller_request.class) else {
        return Conclusion::Refused(Refusal::Full);
    };
    let deadline = shared.now() + timeout_of(shared, &caller_request);
    let run = |caller_request| {
        let mut pending = prepare(shared, caller_request, deadline);
        shared.router.record_first_try(&pending.service);
        run_tries(shared, &mut pending)
    };
    match caller_request.key.clone() {
        Some(key) if !caller_request.is_idempotent() => {
            keyed::conclude(shared, caller_request, &key, deadline, run)
        }
        _ => run(caller_request),
    }
}

fn timeout_of(shared: &Shared, caller_request: &CallerRequest) -> Millis {
    let configured = {
        let core = shared.core();
        core.config.services.get(&caller_request.service).map(|serving| Millis(serving.timeout_ms))
    };
    caller_request.timeout.or(configured).unwrap_or(DEFAULT_TIMEOUT)
}

fn prepare(shared: &Shared, caller_request: CallerRequest, deadline: Time) -> PendingRequest {
    let request = Request(shared.random().u128(..));
    PendingRequest {
        idempotent: caller_request.is_idempotent(),
        deadline,
        size: Bytes(u64::try_from(caller_request.body.len()).unwrap_or(u64::MAX)),
        call: Call {
            ticket: Ticket { request, boot: Boot(0), admit_by: Millis(0) },
            class: caller_request.class,
            budget: Millis(0),
            method: caller_request.method,
            path: caller_request.path,
            headers: caller_request.headers,
            body: caller_request.body,
        },
        service: caller_request.service,
    }
}

/// Tries targets until the outcome is final, or until tries, time, retry budget or targets run
/// out.
fn run_tries(shared: &Shared, pending: &mut PendingRequest) -> Conclusion {
    let request = pending.call.ticket.request;
    let mut random = shared.random();
    let mut excluded: Vec<Key> = Vec::new();
    let mut tries = Tries::default();
    let mut earlier = None;
    loop {
        let now = shared.now();
        let service = &pending.service;
        let chosen = shared.router.choose(now, service, pending.size, &excluded, &mut random);
        let choice = match chosen {
            Ok(choice) => choice,
            Err(error) => {
                crate::warn!(NotRouted, "request {:032x} service {service}: {error}", request.0);
                return earlier.map_or(Conclusion::Refused(error.into()), Conclusion::Outcome);
            }
        };
        crate::log!(
            Routed,
            "request {:032x} service {service} to {}: {}, load {}, try {}",
            request.0,
            choice.node,
            choice.distance,
            choice.load,
            tries.made() + 1
        );
        let (outcome, load) = exchange(shared, &choice, pending);
        let verdict = route::judge(&outcome);
        shared.router.record_outcome(shared.now(), choice.key, verdict, load);
        excluded.push(choice.key);
        let rule = tries.record(&outcome, pending.idempotent);
        let again = remaining(shared, pending.deadline) > Millis(0)
            && match rule {
                Rule::Never => false,
                Rule::Token => shared.router.try_spend_retry(&pending.service),
                Rule::Free => true,
            };
        let outcome = retry::merge(earlier.take(), outcome);
        if !again {
            crate::log!(Concluded, "request {:032x}: {}", request.0, OutcomeDisplay(&outcome));
            return Conclusion::Outcome(outcome);
        }
        shared.metrics.retries.inc();
        crate::log!(Retried, "request {:032x}: {}", request.0, OutcomeDisplay(&outcome));
        earlier = Some(outcome);
    }
}

/// Formats an outcome for a log line.
struct OutcomeDisplay<'a>(&'a Outcome);

impl std::fmt::Display for OutcomeDisplay<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Outcome::Answered(answer) => write!(f, "answered {}", answer.status),
            Outcome::NotRun(cause) => write!(f, "not run, {cause:?}"),
            Outcome::Unknown(cause) => write!(f, "unknown, {cause:?}"),
        }
    }
}

fn remaining(shared: &Shared, deadline: Time) -> Millis {
    Millis(u64::try_from(deadline.since(shared.now()).as_millis()).unwrap_or(u64::MAX))
}

/// Sends a call to an agent and returns its outcome, with the agent's load if it answered.
fn exchange(
    shared: &Shared,
    choice: &Choice,
    pending: &mut PendingRequest,
) -> (Outcome, Option<Load>) {
    let Ok(connection) = shared.pool.take(choice.address, choice.boot) else {
        // Nothing was sent, so the request cannot run.
        return (Outcome::NotRun(Cause::Unreachable), None);
    };
    let call = &mut pending.call;
    call.budget = remaining(shared, pending.deadline);
    let ahead = call.budget.min(ADMISSION_WINDOW) + CLOCK_SLACK;
    call.ticket.boot = choice.boot;
    call.ticket.admit_by = Millis(choice.uptime.0 / 1_000) + ahead;
    match send_call(shared, &connection.stream, call, pending.deadline) {
        Ok((outcome, load)) => {
            shared.pool.put_back(choice.address, connection);
            (outcome, Some(load))
        }
        Err(Failure::Size) => (Outcome::NotRun(Cause::Size), None),
        Err(Failure::Lost) => (cancel(shared, choice.address, call.ticket), None),
    }
}

/// The reason for which a call returned no outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// The call exceeds the size limit of a frame; nothing was sent.
    Size,
    /// The connection failed, timed out, or carried only frames of other requests.
    Lost,
}

fn send_call(
    shared: &Shared,
    stream: &TcpStream,
    call: &Call,
    deadline: Time,
) -> Result<(Outcome, Load), Failure> {
    let timeout = deadline.since(shared.now()) + OUTCOME_GRACE;
    stream.set_read_timeout(Some(timeout)).map_err(|_| Failure::Lost)?;
    let frame = shared.link.frame(Body::Call(call.clone()));
    wire::write(stream, &frame).map_err(|error| match error {
        wire::Error::Size { .. } => Failure::Size,
        _ => Failure::Lost,
    })?;
    for _ in 0..MAX_STRAY_FRAMES {
        match wire::read(stream).map_err(|_| Failure::Lost)?.body {
            Body::Outcome(request, outcome, load) if request == call.ticket.request => {
                return Ok((outcome, load));
            }
            // A late or duplicate frame of another request, whose caller already has an answer.
            _ => {}
        }
    }
    Err(Failure::Lost)
}

/// Asks the agent to cancel a request. The outcome is `NotRun` only if the agent confirms that
/// the request has not run and will not run.
fn cancel(shared: &Shared, to: SocketAddr, ticket: Ticket) -> Outcome {
    let ask = || -> Result<Body, wire::Error> {
        let stream = Pool::open(to)?;
        stream.set_read_timeout(Some(OUTCOME_GRACE))?;
        wire::write(&stream, &shared.link.frame(Body::Cancel(ticket)))?;
        Ok(wire::read(&stream)?.body)
    };
    match ask() {
        Ok(Body::Cancelled(other, true)) if other == ticket.request => {
            Outcome::NotRun(Cause::Cancelled)
        }
        _ => Outcome::Unknown(UnknownCause::AgentLost),
    }
}
