//! A stand-in for callers: HTTP clients that post requests to entries.

use std::net::SocketAddr;
use std::time::Duration;

use persimmondrift::adapter::caller::{CLASS_HEADER, KEY_HEADER, OUTCOME_HEADER, TIMEOUT_HEADER};

const MAX_IDLE_CONNECTIONS: usize = 1_024;
/// How much longer a caller waits than the timeout that it sends to the entry.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// A caller that posts to one entry.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    entry: SocketAddr,
}

/// An HTTP client for all entries, as behind a load balancer. Clones share its connections.
#[derive(Debug, Clone)]
pub struct Client {
    agent: ureq::Agent,
}

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest<'a> {
    /// Name of the service, the first part of the path.
    pub service: &'a str,
    /// Id in the query, by which the stand-in target counts runs.
    pub id: &'a str,
    /// Idempotency key, if the request has one.
    pub key: Option<&'a str>,
    /// Class of the request: `urgent`, `interactive` or `batch`.
    pub class: &'a str,
    /// Timeout sent to the entry.
    pub timeout: Duration,
    /// Request body.
    pub body: &'a [u8],
}

/// A response to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Value of the outcome header; empty if there is none, `answered` for a direct call.
    pub outcome: String,
    /// Response body.
    pub body: Vec<u8>,
}

impl Caller {
    /// Creates a caller of an entry. The timeout is unused: each request states its own.
    #[must_use]
    pub fn new(entry: SocketAddr, _timeout: Duration) -> Self {
        Self { client: Client::default(), entry }
    }

    /// Posts an `interactive` request without a key.
    ///
    /// # Errors
    ///
    /// Returns the error of the HTTP client if no complete response arrives.
    pub fn post(
        &self,
        service: &str,
        id: &str,
        timeout: Duration,
        body: &[u8],
    ) -> Result<Reply, ureq::Error> {
        let call = CallerRequest { service, id, key: None, class: "interactive", timeout, body };
        self.client.post(self.entry, &call)
    }
}

impl Default for Client {
    fn default() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(MAX_IDLE_CONNECTIONS)
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .build();
        Self { agent: ureq::Agent::new_with_config(config) }
    }
}

impl Client {
    /// Posts a request to an entry.
    ///
    /// # Errors
    ///
    /// Returns the error of the HTTP client if no complete response arrives.
    pub fn post(&self, entry: SocketAddr, call: &CallerRequest<'_>) -> Result<Reply, ureq::Error> {
        let url = format!("http://{entry}/{}/run?id={}", call.service, call.id);
        let mut request = self
            .agent
            .post(&url)
            .header(TIMEOUT_HEADER, call.timeout.as_millis().to_string())
            .header(CLASS_HEADER, call.class);
        if let Some(key) = call.key {
            request = request.header(KEY_HEADER, key);
        }
        let request = request.config().timeout_global(Some(call.timeout + TIMEOUT_MARGIN)).build();
        let mut response = request.send(call.body)?;
        let outcome = response.headers().get(OUTCOME_HEADER);
        let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
        let body = response.body_mut().read_to_vec()?;
        Ok(Reply { status: response.status().as_u16(), outcome, body })
    }

    /// Posts a request directly to a target at a base URL, without an entry.
    ///
    /// # Errors
    ///
    /// Returns the error of the HTTP client if no complete response arrives.
    pub fn post_direct(
        &self,
        target: &str,
        call: &CallerRequest<'_>,
    ) -> Result<Reply, ureq::Error> {
        let url = format!("{target}/run?id={}", call.id);
        let request = self.agent.post(&url).config().timeout_global(Some(call.timeout)).build();
        let mut response = request.send(call.body)?;
        let body = response.body_mut().read_to_vec()?;
        Ok(Reply { status: response.status().as_u16(), outcome: "answered".to_owned(), body })
    }
}
