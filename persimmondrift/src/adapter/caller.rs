//! Callers' HTTP: turns a request into a call, and its conclusion into a response.

use rouille::{Request, Response};

use super::{BodyError, read_body};
use crate::admit::{Answer, Cause, Outcome};
use crate::claim::Conflict;
use crate::place::Class;
use crate::unit::{Millis, Service};
use crate::{retry, route};

/// Header with the key that makes a repeated request the same one.
pub const KEY_HEADER: &str = "Idempotency-Key";
/// Header with the class of a request: `urgent`, `interactive` or `batch`.
pub const CLASS_HEADER: &str = "Persimmon-Class";
/// Header with the time left for a request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "Persimmon-Timeout-Ms";
/// Header of a response with what became of the request.
pub const OUTCOME_HEADER: &str = "Persimmon-Outcome";
/// Longest accepted key, in bytes.
pub const MAX_KEY_BYTES: usize = 200;
/// Longest accepted timeout.
pub const MAX_TIMEOUT: Millis = Millis(600_000);

/// A request of a caller, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// The service it is for.
    pub service: Service,
    /// How urgent it is.
    pub class: Class,
    /// The time left for it, if its caller states one.
    pub timeout: Option<Millis>,
    /// The caller's key, if any.
    pub key: Option<String>,
    /// The HTTP method.
    pub method: String,
    /// The path and query at the target.
    pub path: String,
    /// The headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// What a caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Conclusion {
    /// What became of the request at an agent.
    Outcome(Outcome),
    /// It was refused before it reached an agent.
    Refused(Refusal),
}

/// Why a request was refused before it reached an agent.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The path names no service.
    #[error("the path must start with the name of a service")]
    Service,
    /// The class is unknown.
    #[error("{CLASS_HEADER} must be urgent, interactive or batch")]
    Class,
    /// The timeout is not a number in range.
    #[error("{TIMEOUT_HEADER} must be 1 to {MAX_TIMEOUT}")]
    Timeout,
    /// The key is empty or too long.
    #[error("{KEY_HEADER} must have 1 to {MAX_KEY_BYTES} characters")]
    Key,
    /// The body cannot be taken.
    #[error("{0}")]
    Body(#[from] BodyError),
    /// No target can be chosen.
    #[error("{0}")]
    Route(#[from] route::Error),
    /// Too many requests of its class are in flight at this entry.
    #[error("too many requests of this class are in flight at this entry")]
    Full,
    /// A key cannot be claimed, because the table service is away.
    #[error("the key cannot be claimed: the table service is away")]
    TableUnreachable,
    /// An earlier request with the same key is in the way.
    #[error("{0}")]
    Claim(#[from] Conflict),
    /// The entry is stopping.
    #[error("this entry is stopping")]
    Stopping,
}

impl Conclusion {
    /// Returns the word for the outcome, as its header carries it.
    #[must_use]
    pub fn word(&self) -> &'static str {
        match self {
            Self::Outcome(outcome) => outcome.word(),
            Self::Refused(_) => "refused",
        }
    }
}

impl CallerRequest {
    /// Returns whether the request may run more than once: by its method.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE")
    }
}

/// Reads a caller's request.
///
/// # Errors
///
/// Returns the [`Refusal`] that the caller is told.
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

/// Writes the response of a request of a class.
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
        Conclusion::Outcome(Outcome::Unknown(doubt)) => text_response(
            504,
            "unknown",
            format!("it is not known whether the request ran: {doubt:?}"),
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
    let mut response = Response::from_data("application/octet-stream", answer.body);
    response.status_code = answer.status;
    response.headers.clear();
    for (name, value) in answer.headers {
        response = response.with_additional_header(name, value);
    }
    response.with_additional_header(OUTCOME_HEADER, "answered")
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

/// Returns the outcome of a refusal: a request with the same key may have run.
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
