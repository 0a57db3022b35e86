//! HTTP client for the tasks of a worker: start under a lease, renew, stop, list.
//!
//! A task is one part of a job, run by the worker until it ends, is stopped, or its lease lapses.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gang::Task;
use crate::place;
use crate::unit::Millis;

/// Timeout of one call.
pub const TIMEOUT: Duration = Duration::from_secs(1);

/// The body of a start call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The task to start.
    pub task: Task,
    /// The accelerators that it is given, one bit for each.
    pub mask: u64,
    /// The time after which the worker stops the task unless its lease is renewed.
    pub lease: Millis,
    /// The requirements of the job.
    pub spec: place::Spec,
}

/// The body of a renew call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The task whose lease is renewed.
    pub task: Task,
    /// The time from now after which the worker stops the task unless its lease is renewed.
    pub lease: Millis,
}

/// The state of a task at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The task runs under a valid lease.
    Running,
    /// The task ended with success.
    Finished,
    /// The task ended with a failure.
    Failed,
    /// The task was stopped, or its lease has lapsed.
    Stopped,
}

/// A task as the worker lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTask {
    /// The part of the job that it runs.
    pub task: Task,
    /// The accelerators that it was given, one bit for each.
    pub mask: u64,
    /// Its state when the worker answered.
    pub state: State,
}

/// Why a call to a worker failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The worker gave no complete answer, or one that cannot be decoded.
    #[error("worker gave no answer")]
    NoAnswer,
    /// The worker answered with another status than 200.
    #[error("worker answered with status {0}")]
    Status(u16),
}

/// A client of one worker.
#[derive(Debug, Clone)]
pub struct Client {
    agent: ureq::Agent,
    base: String,
}

impl Client {
    /// Creates a client for the worker at a base URL.
    #[must_use]
    pub fn new(base: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self { agent: ureq::Agent::new_with_config(config), base: base.to_owned() }
    }

    /// Starts a task. The call is idempotent: a task that runs already is left running, and one
    /// that was stopped, or whose lease has lapsed, stays stopped.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the worker refuses or gives no answer.
    pub fn start(&self, start: &Start) -> Result<(), Error> {
        self.post("/tasks/start", start).map(|_| ())
    }

    /// Renews the lease of a task. A task whose lease has lapsed stays stopped.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the worker refuses or gives no answer.
    pub fn renew(&self, renew: &Renew) -> Result<(), Error> {
        self.post("/tasks/renew", renew).map(|_| ())
    }

    /// Stops a task. If the worker does not know it yet, a later start has no effect.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the worker refuses or gives no answer.
    pub fn stop(&self, task: Task) -> Result<(), Error> {
        self.post("/tasks/stop", &task).map(|_| ())
    }

    /// Returns all tasks that the worker knows.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the worker gives no answer.
    pub fn list(&self) -> Result<Vec<ListedTask>, Error> {
        let body = self.post("/tasks/list", &())?;
        serde_json::from_slice(&body).map_err(|_| Error::NoAnswer)
    }

    fn post(&self, path: &str, body: &impl Serialize) -> Result<Vec<u8>, Error> {
        let url = format!("{}{path}", self.base);
        let bytes = serde_json::to_vec(body).map_err(|_| Error::NoAnswer)?;
        let sent = self.agent.post(&url).content_type("application/json").send(&bytes[..]);
        let mut response = sent.map_err(|_| Error::NoAnswer)?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(Error::Status(status));
        }
        response.body_mut().read_to_vec().map_err(|_| Error::NoAnswer)
    }
}
