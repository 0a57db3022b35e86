//! Adapters to the interfaces of other processes: HTTP servers for callers, operators and
//! monitoring, HTTP clients for targets, workers, the table service and the object store, and the
//! sockets between the processes of the system.

pub mod caller;
mod http;
pub mod link;
pub mod object;
pub mod operator;
pub mod table;
pub mod target;
pub mod watch;
pub mod worker;

use crate::admit::BODY_LIMIT;

pub use http::{Budget, Http, Request, Response};

/// Why the body of a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is larger than [`BODY_LIMIT`].
    #[error("body is over the limit of {BODY_LIMIT} bytes")]
    TooLarge,
    /// Fewer or more bytes than `Content-Length` were received, or reading failed.
    #[error("body is cut off")]
    Truncated,
}

/// Reads the complete body of a request, up to [`BODY_LIMIT`].
///
/// # Errors
///
/// Returns [`BodyError`] if the body is too large or truncated.
pub fn read_body(request: &Request) -> Result<Vec<u8>, BodyError> {
    request.body().map(<[u8]>::to_vec)
}
