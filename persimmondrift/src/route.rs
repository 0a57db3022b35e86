//! Choosing the target of a request.

use std::fmt;
use std::net::SocketAddr;

use crate::member::{Announce, Judgement, Place, State, View};
use crate::unit::{Node, Service};

/// How far a target is from the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone.
    Zone,
    /// In the same region.
    Region,
    /// In another region.
    Remote,
}

/// A chosen target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The node of its agent.
    pub node: Node,
    /// The address of its agent.
    pub address: SocketAddr,
    /// Its distance.
    pub distance: Distance,
    /// Requests running and waiting there, as last reported.
    pub load: u32,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No target offers the service.
    #[error("no target offers this service")]
    NoTarget,
    /// All targets are leaving, silent or excluded.
    #[error("no target takes new work")]
    NoneOpen,
}

impl fmt::Display for Distance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Zone => "zone",
            Self::Region => "region",
            Self::Remote => "remote",
        };
        f.write_str(text)
    }
}

/// Returns the distance between two places.
#[must_use]
pub fn distance(from: &Place, to: &Place) -> Distance {
    if from.zone == to.zone {
        Distance::Zone
    } else if from.region == to.region {
        Distance::Region
    } else {
        Distance::Remote
    }
}

/// Chooses a target: the nearest with a free slot, the less loaded of two at random.
///
/// # Errors
///
/// Returns [`Error`] if no target offers the service or takes new work.
pub fn choose(
    agents: &View<Announce>,
    from: &Place,
    service: &Service,
    excluded: &[Node],
    random: &mut fastrand::Rng,
) -> Result<Choice, Error> {
    let mut known = false;
    let mut candidates: Vec<(bool, Choice)> = Vec::new();
    for (node, member) in agents.iter() {
        let said = &member.said;
        if said.service != *service {
            continue;
        }
        known = true;
        let open = member.judgement == Judgement::Alive && said.state == State::Serving;
        if !open || excluded.contains(node) {
            continue;
        }
        let load = said.load.running + said.load.waiting;
        let choice = Choice {
            node: node.clone(),
            address: said.address,
            distance: distance(from, &said.place),
            load,
        };
        candidates.push((load >= said.capacity.slots.0, choice));
    }
    let Some(best) = candidates.iter().map(|(full, c)| (*full, c.distance)).min() else {
        return Err(if known { Error::NoneOpen } else { Error::NoTarget });
    };
    candidates.retain(|(full, choice)| (*full, choice.distance) == best);
    let first = random.usize(..candidates.len());
    let second = random.usize(..candidates.len());
    let index = if candidates[second].1.load < candidates[first].1.load { second } else { first };
    Ok(candidates.swap_remove(index).1)
}
