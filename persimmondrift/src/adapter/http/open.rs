//! The open connections of a server and their limits.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;

use tokio::time::Instant;

use super::connection::Connection;
use super::refusal::{self, Refusal};
use crate::settings::server::Limits;

/// The open connections of a server.
#[derive(Debug, Default)]
pub(super) struct Open {
    connections: HashMap<u64, Arc<Connection>>,
    /// The number of connections by client address.
    per_peer: HashMap<IpAddr, usize>,
    next_id: u64,
}

impl Open {
    /// Adds a connection, and closes another one without a request if there is no room. Returns
    /// `None` if the new one has to be refused, as all have a request.
    pub(super) fn add(&mut self, peer: IpAddr, limits: &Limits) -> Option<(u64, Arc<Connection>)> {
        let of_peer = self.per_peer.get(&peer).copied().unwrap_or(0);
        if of_peer >= limits.connections_per_peer && !self.evict(Some(peer)) {
            refusal::report(Refusal::Peer, Some(peer));
            return None;
        }
        if self.connections.len() >= limits.connections && !self.evict(None) {
            refusal::report(Refusal::Connection, Some(peer));
            return None;
        }
        let connection = Arc::new(Connection::new(peer));
        let id = self.next_id;
        self.next_id += 1;
        self.connections.insert(id, Arc::clone(&connection));
        *self.per_peer.entry(peer).or_default() += 1;
        Some((id, connection))
    }

    /// Removes a connection, if it is not removed yet.
    pub(super) fn remove(&mut self, id: u64) -> Option<Arc<Connection>> {
        let connection = self.connections.remove(&id)?;
        if let Some(count) = self.per_peer.get_mut(&connection.peer) {
            *count -= 1;
            if *count == 0 {
                self.per_peer.remove(&connection.peer);
            }
        }
        Some(connection)
    }

    /// Closes and removes the longest-idle connection, of one peer or of all, or the one with the
    /// oldest unfinished head if none is idle. Returns whether there was one.
    fn evict(&mut self, peer: Option<IpAddr>) -> bool {
        let candidates = self.connections.iter().filter(|(_, connection)| {
            peer.is_none_or(|peer| connection.peer == peer) && !connection.is_closing()
        });
        let longest = |since: fn(&Connection) -> Option<Instant>| {
            let matching = candidates.clone();
            matching.filter_map(|(&id, connection)| Some((since(connection)?, id))).min()
        };
        // Clients that send parts of heads would otherwise keep others out for the head timeout.
        let found = longest(Connection::idle_since).or_else(|| longest(Connection::head_since));
        let Some((_, id)) = found else {
            return false;
        };
        if let Some(connection) = self.remove(id) {
            refusal::report(Refusal::Evicted, Some(connection.peer));
            connection.close();
        }
        true
    }

    /// Asks all connections to close as soon as they are idle.
    pub(super) fn close_all(&self) {
        for connection in self.connections.values() {
            connection.close();
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}
