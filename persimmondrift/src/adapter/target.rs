//! HTTP client of a target: sends a request and reads the complete answer.

use std::time::Duration;

use ureq::http;

use crate::admit::{Answer, BODY_LIMIT, Call, Cause, Outcome, UnknownCause};

/// Returns a client for one target that keeps up to `connections` idle connections.
#[must_use]
pub fn client(connections: usize) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(connections)
        .max_idle_connections_per_host(connections)
        .build();
    ureq::Agent::new_with_config(config)
}

/// Sends a request to the target at a base URL and waits for its complete answer.
///
/// The outcome is [`Outcome::NotRun`] only if the request was not sent.
#[must_use]
pub fn run(client: &ureq::Agent, base: &str, call: Call, timeout: Duration) -> Outcome {
    let url = format!("{base}{}", call.path);
    let mut builder = http::Request::builder().method(call.method.as_str()).uri(url);
    for (name, value) in &call.headers {
        builder = builder.header(name, value);
    }
    let Ok(request) = builder.body(call.body) else {
        return Outcome::NotRun(Cause::Unreachable);
    };
    let request = client
        .configure_request(request)
        .timeout_global(Some(timeout))
        .allow_non_standard_methods(true)
        .build();
    match client.run(request) {
        Ok(response) => read_answer(response),
        Err(error) => classify_error(&error),
    }
}

fn read_answer(mut response: http::Response<ureq::Body>) -> Outcome {
    let forwarded = ["content-type", "location", "etag", "cache-control", "retry-after"];
    let mut headers = Vec::new();
    for name in forwarded {
        if let Some(value) = response.headers().get(name).and_then(|value| value.to_str().ok()) {
            headers.push((name.to_owned(), value.to_owned()));
        }
    }
    let status = response.status().as_u16();
    match response.body_mut().with_config().limit(BODY_LIMIT.0).read_to_vec() {
        Ok(body) => Outcome::Answered(Answer { status, headers, body }),
        Err(ureq::Error::Timeout(_)) => Outcome::Unknown(UnknownCause::Timeout),
        Err(_) => Outcome::Unknown(UnknownCause::Broken),
    }
}

fn classify_error(error: &ureq::Error) -> Outcome {
    match error {
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound => Outcome::NotRun(Cause::Unreachable),
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Outcome::NotRun(Cause::Unreachable)
        }
        ureq::Error::Timeout(_) => Outcome::Unknown(UnknownCause::Timeout),
        _ => Outcome::Unknown(UnknownCause::Broken),
    }
}
