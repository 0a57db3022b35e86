//! A worker's task calls: start under a lease, renew, stop, list.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gang::Task;
use crate::place;
use crate::unit::Millis;

/// Time given to one call.
pub const TIMEOUT: Duration = Duration::from_secs(1);

/// The body of a start call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The part.
    pub task: Task,
    /// The accelerators, one bit each.
    pub mask: u64,
    /// The time until the worker stops the part without a renewal.
    pub lease: Millis,
    /// What the job needs.
    pub spec: place::Spec,
}

/// The body of a renew call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// The part.
    pub task: Task,
    /// The time until the worker stops the part without a renewal.
    pub lease: Millis,
}

/// The state of a part at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It runs.
    Running,
    /// It ended well.
    Finished,
    /// It ended badly.
    Failed,
    /// It was stopped, or its lease has lapsed.
    Stopped,
}

/// A part that the worker knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTask {
    /// The part.
    pub task: Task,
    /// The accelerators, one bit each.
    pub mask: u64,
    /// Its state.
    pub state: State,
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The worker gave no answer.
    #[error("worker gave no answer")]
    NoAnswer,
    /// The worker answered with an error.
    #[error("worker answered with status {0}")]
    Status(u16),
}

/// The calls of one worker.
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

    /// Starts a part. A part that runs already goes on; one that was stopped, or whose lease
    /// has lapsed, stays stopped.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the worker refuses or gives no answer.
    pub fn start(&self, start: &Start) -> Result<(), Error> {
        self.post("/tasks/start", start).map(|_| ())
    }

    /// Renews the lease of a part; one whose lease has lapsed stays stopped.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the worker refuses or gives no answer.
    pub fn renew(&self, renew: &Renew) -> Result<(), Error> {
        self.post("/tasks/renew", renew).map(|_| ())
    }

    /// Stops a part. One that is not known yet will not start later.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the worker refuses or gives no answer.
    pub fn stop(&self, task: Task) -> Result<(), Error> {
        self.post("/tasks/stop", &task).map(|_| ())
    }

    /// Returns the parts that the worker knows.
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
