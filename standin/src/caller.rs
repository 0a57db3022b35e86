//! A stand-in for a caller.

use std::net::SocketAddr;
use std::time::Duration;

use persimmondrift::adapter::caller::{OUTCOME_HEADER, TIMEOUT_HEADER};

/// A caller of one entry.
#[derive(Debug, Clone)]
pub struct Caller {
    agent: ureq::Agent,
    entry: SocketAddr,
}

/// What a caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// What became of the request.
    pub outcome: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Caller {
    /// Creates a caller that waits a little longer than it tells the entry.
    #[must_use]
    pub fn new(entry: SocketAddr, timeout: Duration) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(timeout + Duration::from_secs(1)))
            .build();
        Self { agent: ureq::Agent::new_with_config(config), entry }
    }

    /// Posts a request with an id and a body.
    ///
    /// # Errors
    ///
    /// Returns the error of the client if no whole response came.
    pub fn post(
        &self,
        service: &str,
        id: &str,
        timeout: Duration,
        body: &[u8],
    ) -> Result<Reply, ureq::Error> {
        let url = format!("http://{}/{service}/run?id={id}", self.entry);
        let mut response = self
            .agent
            .post(&url)
            .header(TIMEOUT_HEADER, timeout.as_millis().to_string())
            .send(body)?;
        let outcome = response.headers().get(OUTCOME_HEADER);
        let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
        let body = response.body_mut().read_to_vec()?;
        Ok(Reply { status: response.status().as_u16(), outcome, body })
    }
}
