//! HTTP interface for callers: parses and checks their requests, and encodes the result as an HTTP
//! response.

use super::{BodyError, Request, Response, read_body};
use crate::admit::{Answer, Cause, Outcome};
use crate::claim::Conflict;
use crate::place::Class;
use crate::unit::{Millis, Service};
use crate::{retry, route};

/// Request header with the idempotency key, which identifies repeats of one request.
pub const KEY_HEADER: &str = "Idempotency-Key";
/// Request header with the priority class: `urgent`, `interactive` or `batch`.
pub const CLASS_HEADER: &str = "Persimmon-Class";
/// Request header with the time until the deadline, in milliseconds.
pub const TIMEOUT_HEADER: &str = "Persimmon-Timeout-Ms";
/// Response header with the outcome of the request, see [`Conclusion::label`].
pub const OUTCOME_HEADER: &str = "Persimmon-Outcome";
/// Length of the longest accepted key.
pub const MAX_KEY_BYTES: usize = 200;
/// Longest accepted value of [`TIMEOUT_HEADER`].
pub const MAX_TIMEOUT: Millis = Millis(600_000);

/// A valid request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// The service that it is addressed to.
    pub service: Service,
    /// The priority class; interactive if the caller states none.
    pub class: Class,
    /// The time until its deadline, if the caller states one.
    pub timeout: Option<Millis>,
    /// The idempotency key, if the caller states one.
    pub key: Option<String>,
    /// The HTTP method, forwarded to the target.
    pub method: String,
    /// The path and query for the target, without the name of the service.
    pub path: String,
    /// The headers that are forwarded to the target.
    pub headers: Vec<(String, String)>,
    /// The complete body.
    pub body: Vec<u8>,
}

/// The result of a request, to be sent to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Conclusion {
    /// The request was sent to an agent, with this outcome.
    Outcome(Outcome),
    /// The request was refused before it was sent to an agent.
    Refused(Refusal),
}

/// Why a request was refused before it was sent to an agent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The path does not start with a valid service name.
    #[error("the path must start with the name of a service")]
    Service,
    /// The class is unknown.
    #[error("{CLASS_HEADER} must be urgent, interactive or batch")]
    Class,
    /// The timeout is not a number from 1 ms to [`MAX_TIMEOUT`].
    #[error("{TIMEOUT_HEADER} must be 1 to {MAX_TIMEOUT}")]
    Timeout,
    /// The key is empty or too long.
    #[error("{KEY_HEADER} must have 1 to {MAX_KEY_BYTES} characters")]
    Key,
    /// The body is too large or truncated.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// The router found no target.
    #[error("{0}")]
    Route(#[from] route::Error),
    /// Too many requests of its class are in flight at this entry.
    #[error("too many requests of this class are in flight at this entry")]
    Full,
    /// The key cannot be claimed, because the table service is unreachable.
    #[error("the key cannot be claimed: the table service is away")]
    TableUnreachable,
    /// An earlier request with the same key conflicts with this one.
    #[error("{0}")]
    Claim(#[from] Conflict),
    /// The entry is shutting down.
    #[error("this entry is stopping")]
    Stopping,
}

impl Conclusion {
    /// Returns the value of [`OUTCOME_HEADER`].
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::Outcome(outcome) => outcome.label(),
            Self::Refused(_) => "refused",
        }
    }
}

impl CallerRequest {
    /// Returns whether the request may run more than once, judged by its method.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE")
    }
}

/// Parses and checks a request of a caller.
///
/// # Errors
///
/// Returns the [`Refusal`] to send to the caller.
pub fn read(request: &Request) -> Result<CallerRequest, Refusal> {
    let url = request.raw_url();
    let rest = url.strip_prefix('/').ok_or(Refusal::Service)?;
    let (service, path) = match rest.find(['/', '?']) {
        Some(end) => rest.split_at(end),
        None => (rest, "/"),
    };
    let service = Service::try_from(service).map_err(|_| Refusal::Service)?;
    let path = if path.starts_with('?') { format!("/{path}") } else { path.to_owned() };
    let forwarded = |name: &str| {
        name.eq_ignore_ascii_case("Content-Type")
            || name.eq_ignore_ascii_case("Accept")
            || name.eq_ignore_ascii_case(KEY_HEADER)
    };
    let headers = request
        .headers()
        .filter(|(name, _)| forwarded(name))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    Ok(CallerRequest {
        service,
        class: read_class(request)?,
        timeout: read_timeout(request)?,
        key: read_key(request)?,
        method: request.method().to_owned(),
        path,
        headers,
        body: read_body(request)?,
    })
}

fn read_class(request: &Request) -> Result<Class, Refusal> {
    match request.header(CLASS_HEADER) {
        None | Some("interactive") => Ok(Class::Interactive),
        Some("urgent") => Ok(Class::Urgent),
        Some("batch") => Ok(Class::Batch),
        Some(_) => Err(Refusal::Class),
    }
}

fn read_timeout(request: &Request) -> Result<Option<Millis>, Refusal> {
    let Some(text) = request.header(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let millis: Millis = text.parse().map_err(|_| Refusal::Timeout)?;
    if millis < Millis(1) || millis > MAX_TIMEOUT {
        return Err(Refusal::Timeout);
    }
    Ok(Some(millis))
}

fn read_key(request: &Request) -> Result<Option<String>, Refusal> {
    match request.header(KEY_HEADER) {
        None => Ok(None),
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => Err(Refusal::Key),
        Some(key) => Ok(Some(key.to_owned())),
    }
}

/// Encodes the result of a request as an HTTP response. The class determines `Retry-After`.
#[must_use]
pub fn write(conclusion: Conclusion, class: Class) -> Response {
    match conclusion {
        Conclusion::Outcome(Outcome::Answered(answer)) => write_answer(answer),
        Conclusion::Outcome(Outcome::NotRun(Cause::Size)) => text_response(
            413,
            "not-run",
            "not run: the call is over the limit of a frame".to_owned(),
        ),
        Conclusion::Outcome(Outcome::NotRun(cause)) => {
            let response = text_response(503, "not-run", format!("not run: {cause:?}"));
            match cause {
                Cause::Expired | Cause::Cancelled => response,
                _ => with_retry_after(response, class),
            }
        }
        Conclusion::Outcome(Outcome::Unknown(unknown_cause)) => text_response(
            504,
            "unknown",
            format!("it is not known whether the request ran: {unknown_cause:?}"),
        ),
        Conclusion::Refused(refusal) => {
            let status = refusal_status(&refusal);
            let response = text_response(status, refusal_word(&refusal), refusal.to_string());
            let retryable = status == 503 || refusal == Refusal::Claim(Conflict::InFlight);
            if retryable { with_retry_after(response, class) } else { response }
        }
    }
}

fn write_answer(answer: Answer) -> Response {
    let Answer { status, headers, body } = answer;
    Response { status_code: status, headers, body }
        .with_additional_header(OUTCOME_HEADER, "answered")
}

fn refusal_status(refusal: &Refusal) -> u16 {
    match refusal {
        Refusal::Body(BodyError::TooLarge) => 413,
        Refusal::Service | Refusal::Route(route::Error::NoTarget) => 404,
        Refusal::Route(route::Error::NoneOpen)
        | Refusal::Full
        | Refusal::TableUnreachable
        | Refusal::Stopping => 503,
        Refusal::Claim(Conflict::Reused) => 422,
        Refusal::Claim(_) => 409,
        Refusal::Class | Refusal::Timeout | Refusal::Key | Refusal::Body(BodyError::Truncated) => {
            400
        }
    }
}

/// Returns the outcome of a refusal: `repeated` if an earlier request with the same key may have
/// run.
fn refusal_word(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::Claim(Conflict::NotKept | Conflict::Unknown | Conflict::InFlight) => "repeated",
        _ => "refused",
    }
}

fn with_retry_after(response: Response, class: Class) -> Response {
    let seconds = retry::caller_delay(class).0.div_ceil(1_000);
    response.with_additional_header("Retry-After", seconds.to_string())
}

fn text_response(status: u16, outcome: &'static str, text: String) -> Response {
    Response::text(text).with_status_code(status).with_additional_header(OUTCOME_HEADER, outcome)
}
