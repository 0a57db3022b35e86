//! The agents that a planner talks to: their clocks, and the commands on their way.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    Command, Direction, Effect, Order, RENEW_INTERVAL, RENEW_RETRY_INTERVAL, Report, Stamp, Task,
    Term,
};
use crate::unit::{Boot, Millis, Node, Time};

/// Most directions of one command, so that it fits into a datagram.
const MAX_DIRECTIONS: usize = 256;

/// Points in time within a pause at which agents are renewed.
const RENEWAL_OFFSETS: u32 = 20;

/// An agent as its planner knows it.
#[derive(Debug, Clone)]
struct Peer {
    /// The start of its process.
    boot: Boot,
    /// Its clock as last heard.
    stamp: Stamp,
    /// When that was heard.
    received_at: Time,
    /// The parts that run there, as far as known.
    tasks: BTreeSet<Task>,
    renewed_at: Time,
}

/// All agents of the zone.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    peers: BTreeMap<Node, Peer>,
}

/// Directions that are gathered for their agents.
#[derive(Debug, Default)]
pub struct Outbox {
    directions: BTreeMap<Node, Vec<Direction>>,
}

impl Outbox {
    /// Adds a direction.
    pub fn push(&mut self, node: &Node, task: Task, order: Order) {
        let direction = Direction { task, order };
        match self.directions.get_mut(node) {
            Some(directions) => directions.push(direction),
            None => drop(self.directions.insert(node.clone(), vec![direction])),
        }
    }
}

impl Peers {
    /// Takes in a start of an agent; returns whether it is new.
    pub fn register(&mut self, now: Time, node: &Node, boot: Boot) -> bool {
        if self.peers.get(node).is_some_and(|peer| peer.boot == boot) {
            return false;
        }
        let stamp = Stamp::default();
        let tasks = BTreeSet::new();
        // Agents that appear together are renewed at different times.
        let offset = RENEW_INTERVAL / RENEWAL_OFFSETS
            * u32::try_from(self.peers.len()).unwrap_or(0).rem_euclid(RENEWAL_OFFSETS);
        let renewed_at = Time(now.0.saturating_sub(u64::try_from(offset.as_micros()).unwrap_or(0)));
        let peer = Peer { boot, stamp, received_at: now, tasks, renewed_at };
        self.peers.insert(node.clone(), peer);
        true
    }

    /// Takes in the clock of a report; returns false if the report is of another start or
    /// older than one taken before.
    pub fn update_clock(&mut self, now: Time, node: &Node, report: &Report) -> bool {
        let Some(peer) = self.peers.get_mut(node) else {
            return false;
        };
        if peer.boot != report.boot || report.sent < peer.stamp {
            return false;
        }
        if report.sent > peer.stamp {
            peer.stamp = report.sent;
            peer.received_at = now;
        }
        true
    }

    /// Notes that a part runs at an agent, or no longer does.
    pub fn set_running(&mut self, node: &Node, task: Task, runs: bool) {
        let Some(peer) = self.peers.get_mut(node) else {
            return;
        };
        if runs {
            peer.tasks.insert(task);
        } else {
            peer.tasks.remove(&task);
        }
    }

    /// Returns the parts whose renewal is due, agent by agent.
    pub fn due(&mut self, now: Time) -> Vec<(Node, Vec<Task>)> {
        let mut due = Vec::new();
        for (node, peer) in &mut self.peers {
            let answered = peer.received_at >= peer.renewed_at;
            let pause = if answered { RENEW_INTERVAL } else { RENEW_RETRY_INTERVAL };
            if !peer.tasks.is_empty() && now.since(peer.renewed_at) >= pause {
                peer.renewed_at = now;
                due.push((node.clone(), peer.tasks.iter().copied().collect()));
            }
        }
        due
    }

    /// Returns the lease that ends for an agent at `end` on the planner's clock or before.
    pub fn lease(&self, node: &Node, end: Time) -> Millis {
        let span = self.peers.get(node).map_or_else(Default::default, |p| end.since(p.received_at));
        Millis(u64::try_from(span.as_millis()).unwrap_or(0))
    }

    /// Returns the command that asks an agent for all its parts.
    pub fn survey(&self, now: Time, term: &Term, node: &Node) -> Option<Effect> {
        self.command(now, term, node, Vec::new())
    }

    /// Turns the gathered directions into commands.
    pub fn flush(&self, now: Time, term: &Term, outbox: Outbox) -> Vec<Effect> {
        let mut effects = Vec::new();
        for (node, directions) in outbox.directions {
            for chunk in directions.chunks(MAX_DIRECTIONS) {
                effects.extend(self.command(now, term, &node, chunk.to_vec()));
            }
        }
        effects
    }

    fn command(
        &self,
        now: Time,
        term: &Term,
        node: &Node,
        directions: Vec<Direction>,
    ) -> Option<Effect> {
        let peer = self.peers.get(node)?;
        let (boot, echo) = (peer.boot, peer.stamp);
        let command = Command { term: term.clone(), boot, sent: now.into(), echo, directions };
        Some(Effect::Send { node: node.clone(), command })
    }
}
