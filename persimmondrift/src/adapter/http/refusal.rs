//! Counts and logs what the servers refuse to untrusted clients.

use std::net::IpAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::metric;

/// Minimum time between two log lines of one [`Refusal`], so that clients cannot fill the log.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What is refused to a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// A connection, because the server has no room for more.
    Connection,
    /// A connection, because the client's address has too many.
    Peer,
    /// A connection that was idle or had an unfinished head was closed to make room for another one.
    Evicted,
    /// A head that is too large or malformed.
    Head,
    /// A head that was not received in time.
    HeadTimeout,
    /// A body that was not received in time.
    BodyTimeout,
    /// A request, because others hold too much memory.
    Memory,
    /// A response that the client did not read in time.
    WriteTimeout,
    /// A connection that the operating system could not accept.
    Accept,
}

/// Log lines of one kind of refusal.
struct Lines {
    last: Option<Instant>,
    /// Refusals since the last line.
    unlogged: u64,
}

static LINES: [Mutex<Lines>; metric::REFUSAL_LABELS.len()] =
    [const { Mutex::new(Lines { last: None, unlogged: 0 }) }; metric::REFUSAL_LABELS.len()];

/// Counts a refusal, and logs it unless a line of its kind was logged shortly before.
pub(super) fn report(refusal: Refusal, peer: Option<IpAddr>) {
    let index = refusal as usize;
    metric::count_http_refusal(index);
    let mut lines = LINES[index].lock().unwrap_or_else(PoisonError::into_inner);
    lines.unlogged += 1;
    if lines.last.is_some_and(|last| last.elapsed() < LOG_INTERVAL) {
        return;
    }
    let count = std::mem::take(&mut lines.unlogged);
    lines.last = Some(Instant::now());
    drop(lines);
    let peer = peer.map_or_else(|| "none".to_owned(), |peer| peer.to_string());
    crate::warn!(
        ClientRefused,
        "reason={} count={count} peer={peer}",
        metric::REFUSAL_LABELS[index]
    );
}
