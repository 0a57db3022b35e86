//! Calls of the operators' HTTP of the entries.

use std::io::ErrorKind;
use std::net::SocketAddr;

use persimmondrift::adapter::operator::{JobStatus, Reply, Status};
use persimmondrift::config::Change;
use persimmondrift::intent::Draft;
use persimmondrift::unit::{Job, Plan, Version};
use serde::Deserialize;

use crate::argument::Request;
use crate::error::Error;

/// The entries, as one operator calls them.
pub struct Client<'a> {
    agent: ureq::Agent,
    request: &'a Request,
}

/// The body of a refusal.
#[derive(Deserialize)]
struct Refusal {
    error: String,
}

impl<'a> Client<'a> {
    /// Creates a client from what the command line asks for.
    pub fn new(request: &'a Request) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(request.timeout))
            .http_status_as_error(false)
            .build();
        Self { agent: ureq::Agent::new_with_config(config), request }
    }

    /// Asks for a plan of changes.
    pub fn plan(&self, changes: &[Change]) -> Result<Draft, Error> {
        let body = serde_json::to_vec(changes).unwrap_or_default();
        match self.first("/v1/plans", Some(&body))? {
            (_, Reply::Planned(draft)) => Ok(draft),
            (entry, _) => Err(Error::Answer(entry)),
        }
    }

    /// Confirms a plan; the plan itself is sent along if it is at hand.
    pub fn confirm(&self, plan: Plan, draft: Option<&Draft>) -> Result<Version, Error> {
        let body = draft.and_then(|draft| serde_json::to_vec(draft).ok()).unwrap_or_default();
        match self.first(&format!("/v1/plans/{plan}/confirm"), Some(&body))? {
            (_, Reply::Confirmed(version)) => Ok(version),
            (entry, _) => Err(Error::Answer(entry)),
        }
    }

    /// Returns the state as the first entry that answers sees it, with the zones of all.
    pub fn status(&self) -> Result<Status, Error> {
        let mut whole: Option<Status> = None;
        let mut failures = Vec::new();
        for &entry in &self.request.entries {
            match self.call(entry, "/v1/status", None) {
                Ok(Reply::Status(status)) => match &mut whole {
                    None => whole = Some(*status),
                    Some(whole) => merge(whole, *status),
                },
                Ok(_) => return Err(Error::Answer(entry)),
                Err(error @ (Error::NoEntry(_) | Error::Lost(..))) => {
                    failures.push(error.to_string());
                }
                Err(error) => return Err(error),
            }
        }
        whole.ok_or_else(|| Error::NoEntry(failures.join(", ")))
    }

    /// Returns what all entries know of a job.
    pub fn explain(&self, job: Job) -> Result<JobStatus, Error> {
        let mut whole: Option<JobStatus> = None;
        let mut failures = Vec::new();
        for &entry in &self.request.entries {
            match self.call(entry, &format!("/v1/jobs/{job}"), None) {
                Ok(Reply::Explained(told)) => match &mut whole {
                    None => whole = Some(*told),
                    Some(whole) => {
                        whole.outcome = whole.outcome.or(told.outcome);
                        whole.spec = whole.spec.take().or(told.spec);
                        whole.zones.extend(told.zones);
                    }
                },
                Ok(_) => return Err(Error::Answer(entry)),
                Err(error @ (Error::NoEntry(_) | Error::Lost(..))) => {
                    failures.push(error.to_string());
                }
                Err(error) => return Err(error),
            }
        }
        let told = whole.ok_or_else(|| Error::NoEntry(failures.join(", ")))?;
        if told.outcome.is_none() && told.spec.is_none() {
            return Err(Error::NoJob(job));
        }
        Ok(told)
    }

    /// Calls the entries in turn until one knows the answer.
    fn first(&self, path: &str, body: Option<&[u8]>) -> Result<(SocketAddr, Reply), Error> {
        let mut failures = Vec::new();
        let mut refusal: Option<Error> = None;
        for &entry in &self.request.entries {
            match self.call(entry, path, body) {
                Ok(told) => return Ok((entry, told)),
                Err(Error::NoEntry(text)) => failures.push(text),
                // Another entry may know the plan, or reach the table service. Asking it is
                // safe, since a plan is accepted once at most.
                Err(error) if rank(&error) > 0 => {
                    if refusal.as_ref().is_none_or(|other| rank(other) < rank(&error)) {
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
        let lost = |error: ureq::Error| match error {
            ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => no_entry(error),
            ureq::Error::Io(ref io) if io.kind() == ErrorKind::ConnectionRefused => no_entry(error),
            _ => Error::Lost(entry, error.to_string()),
        };
        let mut response = sent.map_err(lost)?;
        let status = response.status().as_u16();
        let body = response.body_mut().read_to_vec().map_err(lost)?;
        if status == 200 {
            return serde_json::from_slice(&body).map_err(|_| Error::Answer(entry));
        }
        let text = serde_json::from_slice::<Refusal>(&body)
            .map_or_else(|_| String::from_utf8_lossy(&body).into_owned(), |body| body.error);
        Err(Error::Refused { status, text })
    }
}

/// Orders the refusals after which another entry is asked by how much they leave open.
fn rank(error: &Error) -> u8 {
    match error {
        Error::Lost(..) | Error::Refused { status: 504, .. } => 3,
        Error::Refused { status: 503, .. } => 2,
        Error::Refused { status: 404, .. } => 1,
        _ => 0,
    }
}

/// Adds what another entry knows.
fn merge(whole: &mut Status, other: Status) {
    if other.config.version > whole.config.version {
        whole.config = other.config;
    }
    for zone in other.zones {
        if !whole.zones.iter().any(|(name, _)| *name == zone.0) {
            whole.zones.push(zone);
        }
    }
    for ended in other.ended {
        if !whole.ended.iter().any(|(job, _)| *job == ended.0) {
            whole.ended.push(ended);
        }
    }
}
