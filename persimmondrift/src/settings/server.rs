//! Limits of the HTTP servers, which bound what untrusted clients can use of a process.

use std::time::Duration;

use serde::Deserialize;

use super::check::Error;

/// Default of `max_connections` at the callers' address.
const CALLER_CONNECTIONS: u32 = 512;
/// Default of `max_connections` at the peers' address.
const PEER_CONNECTIONS: u32 = 256;
/// Default of `max_connections` at other addresses.
const OTHER_CONNECTIONS: u32 = 64;
/// Share of `max_body_bytes_held` that callers and peers leave to readiness, control and operators,
/// so that these are answered while callers or peers hold their part.
const RESERVED_DIVISOR: usize = 16;

/// A number from `LOW` to `HIGH`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(try_from = "u64")]
pub struct Bounded<const LOW: u32, const HIGH: u32>(u32);

/// A number of bytes of a head.
pub type HeadBytes = Bounded<512, 1_048_576>;
/// A number of bytes of all bodies.
pub type HeldBytes = Bounded<1_024, 1_073_741_824>;
/// A duration in milliseconds.
pub type Timeout = Bounded<1, 3_600_000>;
/// A number of connections.
pub type Connections = Bounded<1, 65_536>;

/// Settings of the HTTP servers of a process. They apply to each address, except for
/// `max_body_bytes_held`, which applies to the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Server {
    /// Maximum size of a request's head, including empty lines before it.
    pub max_head_bytes: HeadBytes,
    /// Maximum time from the first byte of a head to its end.
    pub head_timeout_ms: Timeout,
    /// Maximum time to receive a body.
    pub body_timeout_ms: Timeout,
    /// Time without a request after which a connection is closed.
    pub idle_timeout_ms: Timeout,
    /// Maximum time for which a response waits until the client has read it.
    pub write_timeout_ms: Timeout,
    /// Maximum number of open connections; the default depends on the address.
    pub max_connections: Option<Connections>,
    /// Maximum number of open connections of one client address. If absent, callers have no such limit,
    /// and others half of `max_connections`. It is not applied at the addresses of peers and of health
    /// checks.
    pub max_connections_per_peer: Option<Connections>,
    /// Maximum size of all requests and responses of the process in memory at once.
    pub max_body_bytes_held: HeldBytes,
}

/// Who connects to an address, which determines the limits of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Clients {
    /// Callers, possibly through one load balancer.
    Callers,
    /// Other processes of the system.
    Peers,
    /// Health checks.
    Readiness,
    /// Operators, monitoring or the worker beside an agent.
    Others,
}

/// Limits of one HTTP server, see [`Server`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a head.
    pub head_bytes: usize,
    /// Maximum time to receive a head.
    pub head_timeout: Duration,
    /// Maximum time to receive a body.
    pub body_timeout: Duration,
    /// Maximum time without a request.
    pub idle_timeout: Duration,
    /// Maximum time for which a response waits unread.
    pub write_timeout: Duration,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of open connections of one client address.
    pub connections_per_peer: usize,
    /// Maximum size of all requests and responses in memory, with those of the servers that share a
    /// budget with this one.
    pub held_bytes: usize,
}

impl<const LOW: u32, const HIGH: u32> TryFrom<u64> for Bounded<LOW, HIGH> {
    type Error = Error;

    fn try_from(found: u64) -> Result<Self, Error> {
        match u32::try_from(found) {
            Ok(number) if (LOW..=HIGH).contains(&number) => Ok(Self(number)),
            _ => Err(Error::Range { found, low: LOW.into(), high: HIGH.into() }),
        }
    }
}

impl<const LOW: u32, const HIGH: u32> Bounded<LOW, HIGH> {
    /// Returns the number as a count or size.
    #[must_use]
    pub fn count(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }

    /// Returns the number as a duration in milliseconds.
    #[must_use]
    pub fn millis(self) -> Duration {
        Duration::from_millis(self.0.into())
    }
}

impl Default for Server {
    fn default() -> Self {
        Self {
            max_head_bytes: Bounded(32_768),
            head_timeout_ms: Bounded(10_000),
            body_timeout_ms: Bounded(10_000),
            // Longer than load balancers keep an idle connection open.
            idle_timeout_ms: Bounded(75_000),
            write_timeout_ms: Bounded(30_000),
            max_connections: None,
            max_connections_per_peer: None,
            max_body_bytes_held: Bounded(25_165_824),
        }
    }
}

impl Server {
    /// Returns the limits of the server for these clients.
    #[must_use]
    pub fn limits(&self, clients: Clients) -> Limits {
        let default = match clients {
            Clients::Callers => CALLER_CONNECTIONS,
            Clients::Peers => PEER_CONNECTIONS,
            Clients::Readiness | Clients::Others => OTHER_CONNECTIONS,
        };
        let connections = self.max_connections.unwrap_or(Bounded(default)).count();
        let per_peer = self.max_connections_per_peer.map(Bounded::count);
        let connections_per_peer = match clients {
            Clients::Peers | Clients::Readiness => connections,
            // All callers may come through one load balancer.
            Clients::Callers => per_peer.unwrap_or(connections),
            Clients::Others => per_peer.unwrap_or(connections.div_ceil(2)),
        };
        let held_bytes = self.max_body_bytes_held.count();
        let held_bytes = match clients {
            Clients::Callers | Clients::Peers => held_bytes - held_bytes / RESERVED_DIVISOR,
            Clients::Readiness | Clients::Others => held_bytes,
        };
        Limits {
            head_bytes: self.max_head_bytes.count(),
            head_timeout: self.head_timeout_ms.millis(),
            body_timeout: self.body_timeout_ms.millis(),
            idle_timeout: self.idle_timeout_ms.millis(),
            write_timeout: self.write_timeout_ms.millis(),
            connections,
            connections_per_peer,
            held_bytes,
        }
    }
}
