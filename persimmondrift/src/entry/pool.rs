//! Idle connections to agents. A connection carries one request at a time, so an answer
//! that comes too late dies with its connection and cannot reach another caller.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::adapter::link;

/// Time given to connect to an agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections kept for one agent.
const IDLE: usize = 64;

/// Idle connections by agent.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<TcpStream>>>,
}

impl Pool {
    /// Takes an idle connection to an agent, if there is one.
    pub fn take(&self, to: SocketAddr) -> Option<TcpStream> {
        self.idle().get_mut(&to)?.pop()
    }

    /// Opens a new connection to an agent.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn open(to: SocketAddr) -> std::io::Result<TcpStream> {
        link::connect(to, CONNECT_TIMEOUT)
    }

    /// Gives back a connection on which no answer is owed.
    pub fn give(&self, to: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle();
        let streams = idle.entry(to).or_default();
        if streams.len() < IDLE {
            streams.push(stream);
        }
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<TcpStream>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
