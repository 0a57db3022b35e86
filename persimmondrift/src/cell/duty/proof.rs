//! Proof that a run on the worker is over: neither runs nor can begin. A message that anyone may send, a
//! heartbeat, a deregistration or a row, is none; it only is a reason to ask the worker.

use super::Listing;
use super::run::Run;
use crate::unit::Time;

/// Proof that a run is over. Each constructor takes what it is concluded from.
#[derive(Debug, Clone, Copy)]
pub struct Proof(());

impl Proof {
    /// The incarnation that started at `started_ms` has listed its runs and their ends itself.
    pub fn by_listing(listing: &Listing, started_ms: u64) -> Option<Self> {
        (listing.started_ms == started_ms).then_some(Self(()))
    }

    /// An incarnation that started at `answered_ms` has answered at the address of the one that started
    /// at `started_ms`.
    pub fn by_replacement(answered_ms: u64, started_ms: u64) -> Option<Self> {
        (answered_ms != started_ms).then_some(Self(()))
    }

    /// The longest lease that the worker may hold has ended.
    pub fn by_lapse(now: Time, lease_until: Time) -> Option<Self> {
        (now > lease_until).then_some(Self(()))
    }

    /// No start of the run was sent.
    pub fn unsent(run: &Run) -> Option<Self> {
        (!run.maybe_running()).then_some(Self(()))
    }

    /// The incarnation that the run was ordered for is over, and nothing that was sent to it can begin
    /// the run in the present one.
    pub fn of_leftover(run: &Run) -> Option<Self> {
        run.earlier_incarnation().map(|_| Self(()))
    }
}
