//! The planner's view of its agents: their clocks, their running parts, and the commands to send
//! to them.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    Command, Direction, Effect, Order, RENEW_INTERVAL, RENEW_RETRY_INTERVAL, Report, Stamp, Task,
    Term,
};
use crate::unit::{Boot, Millis, Node, Time};

/// Largest number of directions in a command, so that it fits into a datagram.
const MAX_DIRECTIONS: usize = 256;

/// Number of distinct offsets within the renewal interval over which agents are spread.
const RENEWAL_OFFSETS: u32 = 20;

#[derive(Debug, Clone)]
struct Peer {
    /// The incarnation of the agent.
    boot: Boot,
    /// The agent's clock as last received.
    stamp: Stamp,
    /// When that reading was received, on the planner's clock.
    received_at: Time,
    /// The parts last reported as running there.
    tasks: BTreeSet<Task>,
    renewed_at: Time,
}

/// The agents of the zone, by node.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    peers: BTreeMap<Node, Peer>,
}

/// Directions collected for sending, by node.
#[derive(Debug, Default)]
pub struct Outbox {
    directions: BTreeMap<Node, Vec<Direction>>,
}

impl Outbox {
    pub fn push(&mut self, node: &Node, task: Task, order: Order) {
        let direction = Direction { task, order };
        match self.directions.get_mut(node) {
            Some(directions) => directions.push(direction),
            None => drop(self.directions.insert(node.clone(), vec![direction])),
        }
    }
}

impl Peers {
    /// Registers an incarnation of an agent; returns whether it is new.
    pub fn register(&mut self, now: Time, node: &Node, boot: Boot) -> bool {
        if self.peers.get(node).is_some_and(|peer| peer.boot == boot) {
            return false;
        }
        let stamp = Stamp::default();
        let tasks = BTreeSet::new();
        // Spreads the renewals of agents that register at the same time.
        let offset = RENEW_INTERVAL / RENEWAL_OFFSETS
            * u32::try_from(self.peers.len()).unwrap_or(0).rem_euclid(RENEWAL_OFFSETS);
        let renewed_at = Time(now.0.saturating_sub(u64::try_from(offset.as_micros()).unwrap_or(0)));
        let peer = Peer { boot, stamp, received_at: now, tasks, renewed_at };
        self.peers.insert(node.clone(), peer);
        true
    }

    /// Records the clock reading of a report; returns false if the report is from another
    /// incarnation or older than the last one.
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

    /// Records whether a part runs at an agent.
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

    /// Returns the parts whose renewal is due, by agent, and marks them as renewed.
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

    /// Returns the lease to grant to an agent so that it ends no later than `end` on the planner's
    /// clock.
    pub fn lease(&self, node: &Node, end: Time) -> Millis {
        let span = self.peers.get(node).map_or_else(Default::default, |p| end.since(p.received_at));
        Millis(u64::try_from(span.as_millis()).unwrap_or(0))
    }

    /// Returns the command that asks an agent for a complete report.
    pub fn survey(&self, now: Time, term: &Term, node: &Node) -> Option<Effect> {
        self.command(now, term, node, Vec::new())
    }

    /// Builds the commands for the collected directions.
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
