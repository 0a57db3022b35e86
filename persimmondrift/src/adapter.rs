//! Adapters, one file for each outside interface.

pub mod caller;
pub mod link;
pub mod object;
pub mod operator;
pub mod table;
pub mod target;
pub mod worker;

use std::io::Read;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;

use rouille::{Request, Response, Server};

use crate::admit::BODY_LIMIT;

/// An HTTP server that runs until it is stopped.
pub struct Http {
    /// The address it listens at.
    pub address: SocketAddr,
    thread: JoinHandle<()>,
    stop: mpsc::Sender<()>,
}

/// Reports a body that cannot be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is over the bound.
    #[error("body is over the limit of {BODY_LIMIT} bytes")]
    Size,
    /// The connection failed before its end.
    #[error("body is cut off")]
    Cut,
}

impl Http {
    /// Starts a server with a bounded pool of threads.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if it cannot listen.
    pub fn start(
        listen: SocketAddr,
        threads: usize,
        handle: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let server = Server::new(listen, handle).map_err(std::io::Error::other)?;
        let server = server.pool_size(threads);
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Ok(Self { address, thread, stop })
    }

    /// Stops accepting, and waits until what is in flight has ended.
    pub fn stop(self) {
        let _ = self.stop.send(());
        let _ = self.thread.join();
    }
}

/// Reads the whole body of a request, up to the bound.
///
/// # Errors
///
/// Returns [`BodyError`] if the body is too large or cut off.
pub fn read_body(request: &Request) -> Result<Vec<u8>, BodyError> {
    let Some(data) = request.data() else {
        return Ok(Vec::new());
    };
    let mut body = Vec::new();
    data.take(BODY_LIMIT.0 + 1).read_to_end(&mut body).map_err(|_| BodyError::Cut)?;
    let size = u64::try_from(body.len()).unwrap_or(u64::MAX);
    if size > BODY_LIMIT.0 {
        return Err(BodyError::Size);
    }
    let stated = request.header("Content-Length").and_then(|text| text.parse::<u64>().ok());
    if stated.is_some_and(|stated| stated != size) {
        return Err(BodyError::Cut);
    }
    Ok(body)
}
