//! A stand-in for a caller.

use std::net::SocketAddr;
use std::time::Duration;

use persimmondrift::adapter::caller::{CLASS_HEADER, KEY_HEADER, OUTCOME_HEADER, TIMEOUT_HEADER};

/// Idle connections that a caller keeps.
const MAX_IDLE_CONNECTIONS: usize = 1_024;
/// Time that a caller waits beyond what it tells the entry.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// A caller of one entry.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    entry: SocketAddr,
}

/// A caller of any entry, as behind a balancer.
#[derive(Debug, Clone)]
pub struct Client {
    agent: ureq::Agent,
}

/// A request of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// Its own id, which the target counts.
    pub id: &'a str,
    /// The key that makes a repeated request the same one.
    pub key: Option<&'a str>,
    /// How urgent it is.
    pub class: &'a str,
    /// The time left for it.
    pub timeout: Duration,
    /// The body.
    pub body: &'a [u8],
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
    pub fn new(entry: SocketAddr, _timeout: Duration) -> Self {
        Self { client: Client::default(), entry }
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
    /// Returns the error of the client if no whole response came.
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

    /// Posts a request directly to a target at a base URL.
    ///
    /// # Errors
    ///
    /// Returns the error of the client if no whole response came.
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
