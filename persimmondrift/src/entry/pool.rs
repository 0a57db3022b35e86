//! Pool of idle connections to agents. A connection carries one request at a time and is closed
//! if its answer does not arrive in time, so a late answer cannot reach another caller.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::adapter::link;
use crate::unit::Boot;

/// Timeout for connecting to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Bound on the idle connections kept for one agent.
const MAX_IDLE_PER_AGENT: usize = 32;

/// A connection to one incarnation of an agent.
#[derive(Debug)]
pub struct Connection {
    /// The incarnation expected at the address when the connection was opened.
    pub boot: Boot,
    /// The connected socket.
    pub stream: TcpStream,
}

/// Idle connections by the address of the agent.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Takes an idle connection to an incarnation of an agent, or opens one. Drops idle connections
    /// to other incarnations.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket. Nothing was sent in that case.
    pub fn take(&self, to: SocketAddr, boot: Boot) -> io::Result<Connection> {
        while let Some(connection) = self.pop(to) {
            if connection.boot == boot && is_idle(&connection.stream) {
                return Ok(connection);
            }
        }
        let stream = Self::open(to)?;
        Ok(Connection { boot, stream })
    }

    /// Opens a new connection to an agent.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn open(to: SocketAddr) -> io::Result<TcpStream> {
        link::connect(to, CONNECT_TIMEOUT)
    }

    /// Returns a connection on which no answer is pending. Closes it if enough are idle.
    pub fn put_back(&self, to: SocketAddr, connection: Connection) {
        let mut idle = self.idle();
        let connections = idle.entry(to).or_default();
        if connections.len() < MAX_IDLE_PER_AGENT {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to an agent that was lost or has left.
    pub fn drop_idle(&self, to: SocketAddr) {
        self.idle().remove(&to);
    }

    fn pop(&self, to: SocketAddr) -> Option<Connection> {
        self.idle().get_mut(&to)?.pop()
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a connection is open and has no unread data.
fn is_idle(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let peeked = stream.peek(&mut [0]);
    let idle = peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
    idle && stream.set_nonblocking(false).is_ok()
}
