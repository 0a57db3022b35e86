//! HTTP client for the operator API of the entries.

use std::io::ErrorKind;
use std::net::SocketAddr;

use persimmondrift::adapter::operator::{JobStatus, Reply, Status};
use persimmondrift::config::Change;
use persimmondrift::intent::Draft;
use persimmondrift::unit::{Job, Plan, Version};
use serde::Deserialize;

use crate::argument::Request;
use crate::error::Error;

/// Calls the entries on behalf of one operator.
pub struct Client<'a> {
    agent: ureq::Agent,
    request: &'a Request,
}

/// JSON body of a response with an error status.
#[derive(Deserialize)]
struct ErrorBody {
    error: String,
}

impl<'a> Client<'a> {
    /// Creates a client with the entries, token and timeout of a request.
    pub fn new(request: &'a Request) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(request.timeout))
            .http_status_as_error(false)
            .build();
        Self { agent: ureq::Agent::new_with_config(config), request }
    }

    /// Requests a plan of some changes.
    pub fn plan(&self, changes: &[Change]) -> Result<Draft, Error> {
        let body = serde_json::to_vec(changes).unwrap_or_default();
        match self.call_any("/v1/plans", Some(&body))? {
            (_, Reply::Planned(draft)) => Ok(draft),
            (entry, _) => Err(Error::UnexpectedAnswer(entry)),
        }
    }

    /// Confirms a plan. With `draft`, any entry can confirm it; without, only one that holds it.
    pub fn confirm(&self, plan: Plan, draft: Option<&Draft>) -> Result<Version, Error> {
        let body = draft.and_then(|draft| serde_json::to_vec(draft).ok()).unwrap_or_default();
        match self.call_any(&format!("/v1/plans/{plan}/confirm"), Some(&body))? {
            (_, Reply::Confirmed(version)) => Ok(version),
            (entry, _) => Err(Error::UnexpectedAnswer(entry)),
        }
    }

    /// Returns the status from the first entry that answers, merged with the zones, ended jobs and
    /// newest configuration of the others.
    pub fn status(&self) -> Result<Status, Error> {
        let mut merged: Option<Status> = None;
        let mut failures = Vec::new();
        for &entry in &self.request.entries {
            match self.call(entry, "/v1/status", None) {
                Ok(Reply::Status(status)) => match &mut merged {
                    None => merged = Some(*status),
                    Some(merged) => merge(merged, *status),
                },
                Ok(_) => return Err(Error::UnexpectedAnswer(entry)),
                Err(error @ (Error::NoEntry(_) | Error::IncompleteAnswer(..))) => {
                    failures.push(error.to_string());
                }
                Err(error) => return Err(error),
            }
        }
        merged.ok_or_else(|| Error::NoEntry(failures.join(", ")))
    }

    /// Returns the state of a job, merged from the answers of all entries.
    pub fn explain(&self, job: Job) -> Result<JobStatus, Error> {
        let mut merged: Option<JobStatus> = None;
        let mut failures = Vec::new();
        for &entry in &self.request.entries {
            match self.call(entry, &format!("/v1/jobs/{job}"), None) {
                Ok(Reply::Explained(reply)) => match &mut merged {
                    None => merged = Some(*reply),
                    Some(merged) => {
                        merged.outcome = merged.outcome.or(reply.outcome);
                        merged.spec = merged.spec.take().or(reply.spec);
                        merged.zones.extend(reply.zones);
                    }
                },
                Ok(_) => return Err(Error::UnexpectedAnswer(entry)),
                Err(error @ (Error::NoEntry(_) | Error::IncompleteAnswer(..))) => {
                    failures.push(error.to_string());
                }
                Err(error) => return Err(error),
            }
        }
        let reply = merged.ok_or_else(|| Error::NoEntry(failures.join(", ")))?;
        if reply.outcome.is_none() && reply.spec.is_none() {
            return Err(Error::NoJob(job));
        }
        Ok(reply)
    }

    /// Calls the entries in order and returns the first successful answer, or else the refusal with
    /// the highest [`refusal_rank`].
    fn call_any(&self, path: &str, body: Option<&[u8]>) -> Result<(SocketAddr, Reply), Error> {
        let mut failures = Vec::new();
        let mut refusal: Option<Error> = None;
        for &entry in &self.request.entries {
            match self.call(entry, path, body) {
                Ok(reply) => return Ok((entry, reply)),
                Err(Error::NoEntry(text)) => failures.push(text),
                // Another entry may know the plan or reach the table service. The retry is safe,
                // since a plan is accepted at most once.
                Err(error) if refusal_rank(&error) > 0 => {
                    if refusal
                        .as_ref()
                        .is_none_or(|other| refusal_rank(other) < refusal_rank(&error))
                    {
                        refusal = Some(error);
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Err(refusal.unwrap_or_else(|| Error::NoEntry(failures.join(", "))))
    }

    fn call(&self, entry: SocketAddr, path: &str, body: Option<&[u8]>) -> Result<Reply, Error> {
        let no_entry = |error: ureq::Error| Error::NoEntry(format!("{entry}: {error}"));
        let url = format!("http://{entry}{path}");
        let token = format!("Bearer {}", self.request.token);
        let sent = match body {
            Some(body) => self.agent.post(&url).header("Authorization", token).send(body),
            None => self.agent.get(&url).header("Authorization", token).call(),
        };
        let to_error = |error: ureq::Error| match error {
            ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => no_entry(error),
            ureq::Error::Io(ref io) if io.kind() == ErrorKind::ConnectionRefused => no_entry(error),
            _ => Error::IncompleteAnswer(entry, error.to_string()),
        };
        let mut response = sent.map_err(to_error)?;
        let status = response.status().as_u16();
        let body = response.body_mut().read_to_vec().map_err(to_error)?;
        if status == 200 {
            return serde_json::from_slice(&body).map_err(|_| Error::UnexpectedAnswer(entry));
        }
        let text = serde_json::from_slice::<ErrorBody>(&body)
            .map_or_else(|_| String::from_utf8_lossy(&body).into_owned(), |body| body.error);
        Err(Error::Refused { status, text })
    }
}

/// Ranks the errors after which another entry is called: 3 if the plan may have been accepted, 2 if
/// the table service is unavailable, 1 if the entry does not know the plan. All others are 0.
fn refusal_rank(error: &Error) -> u8 {
    match error {
        Error::IncompleteAnswer(..) | Error::Refused { status: 504, .. } => 3,
        Error::Refused { status: 503, .. } => 2,
        Error::Refused { status: 404, .. } => 1,
        _ => 0,
    }
}

/// Merges the status of another entry: its configuration if newer, and its zones and ended jobs.
fn merge(merged: &mut Status, other: Status) {
    if other.config.version > merged.config.version {
        merged.config = other.config;
    }
    for zone in other.zones {
        if !merged.zones.iter().any(|(name, _)| *name == zone.0) {
            merged.zones.push(zone);
        }
    }
    for ended in other.ended {
        if !merged.ended.iter().any(|(job, _)| *job == ended.0) {
            merged.ended.push(ended);
        }
    }
}
