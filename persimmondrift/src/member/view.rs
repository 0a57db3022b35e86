//! The members that one process knows, and the failure detector that judges them by their silence.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{
    DEAD_AFTER, FORGET_AFTER, MAX_TICK_GAP, PROBE_AFTER, PROBE_INTERVAL, Payload, SUSPECT_AFTER,
    State,
};
use crate::unit::{Boot, Node, Sequence, Time};

/// The liveness of a member, judged by the time since its last message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// Heard recently.
    Alive,
    /// Silent for [`SUSPECT_AFTER`]: gets no new work and keeps the work that it has.
    Suspect,
    /// Silent for [`DEAD_AFTER`]: the work that it had is given up.
    Dead,
}

/// The last known state of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member<T> {
    /// Incarnation of the process that sent the payload.
    pub boot: Boot,
    /// Sequence number of the last accepted message.
    pub sequence: Sequence,
    /// When the last message was accepted.
    pub last_heard: Time,
    /// When the member was last probed, or last sent a full announcement.
    pub last_probed: Time,
    /// The UDP address that the last full announcement came from.
    pub address: SocketAddr,
    /// Current liveness of the member.
    pub judgement: Judgement,
    /// Content of the last announcement, with the changes of later beats.
    pub payload: T,
}

/// A change in the view, or an action that it requires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A member, or a new incarnation of it, announced itself for the first time.
    Joined(Node),
    /// A member sent a newer announcement.
    Updated(Node),
    /// A member is silent and has to be probed.
    ProbeDue(Node),
    /// A member was silent for [`SUSPECT_AFTER`].
    Suspected(Node),
    /// A suspected or dead member sent a message again.
    Recovered(Node),
    /// A member that had announced its leave was declared dead or replaced by another incarnation.
    Left(Node),
    /// A serving member was declared dead or replaced by another incarnation.
    Lost(Node),
}

/// The members that one process knows.
#[derive(Debug)]
pub struct View<T> {
    members: BTreeMap<Node, Member<T>>,
    last_tick: Option<Time>,
    /// When this process last resumed after a pause.
    last_resumed: Time,
}

impl<T> Default for View<T> {
    fn default() -> Self {
        Self { members: BTreeMap::new(), last_tick: None, last_resumed: Time(0) }
    }
}

impl<T: Payload> View<T> {
    /// Applies an announcement of a member. Duplicates and older messages change nothing.
    ///
    /// A later incarnation replaces an earlier one. An earlier incarnation, which may be a late
    /// datagram or a VM whose clock was set back, replaces only a member that is not alive.
    pub fn observe(
        &mut self,
        now: Time,
        address: SocketAddr,
        source: (&Node, Boot, Sequence),
        payload: T,
    ) -> Vec<Effect> {
        let (node, boot, sequence) = source;
        let judgement = Judgement::Alive;
        let fresh = Member {
            boot,
            sequence,
            last_heard: now,
            last_probed: now,
            address,
            judgement,
            payload,
        };
        let Some(member) = self.members.get_mut(node) else {
            self.members.insert(node.clone(), fresh);
            return vec![Effect::Joined(node.clone())];
        };
        let previous = member.judgement;
        if boot < member.boot && previous == Judgement::Alive {
            return Vec::new();
        }
        if boot != member.boot {
            let departed = departure(node, member);
            *member = fresh;
            let joined = Effect::Joined(node.clone());
            // The work of a dead member was given up when it was declared dead.
            return if previous == Judgement::Dead { vec![joined] } else { vec![departed, joined] };
        }
        if sequence <= member.sequence {
            return Vec::new();
        }
        *member = fresh;
        match previous {
            Judgement::Alive => vec![Effect::Updated(node.clone())],
            Judgement::Suspect | Judgement::Dead => {
                vec![Effect::Recovered(node.clone()), Effect::Updated(node.clone())]
            }
        }
    }

    /// Records a beat of a member and applies `change` to its payload.
    ///
    /// Returns `None` if the member has to announce itself in full, because this incarnation is not
    /// known or was declared dead.
    pub fn touch(
        &mut self,
        now: Time,
        (node, boot, sequence): (&Node, Boot, Sequence),
        change: impl FnOnce(&mut T),
    ) -> Option<Vec<Effect>> {
        let member = self.members.get_mut(node).filter(|member| member.boot == boot)?;
        if member.judgement == Judgement::Dead {
            return None;
        }
        if sequence <= member.sequence {
            return Some(Vec::new());
        }
        member.sequence = sequence;
        member.last_heard = now;
        change(&mut member.payload);
        let previous = std::mem::replace(&mut member.judgement, Judgement::Alive);
        let recovered = previous == Judgement::Suspect;
        Some(if recovered { vec![Effect::Recovered(node.clone())] } else { Vec::new() })
    }

    /// Judges members by their silence, returns which have to be probed, and removes members that
    /// were silent for [`FORGET_AFTER`].
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        if self.last_tick.is_some_and(|last| now.since(last) > MAX_TICK_GAP) {
            self.last_resumed = now;
        }
        self.last_tick = Some(now);
        let mut effects = Vec::new();
        for (node, member) in &mut self.members {
            let silence = now.since(member.last_heard.max(self.last_resumed));
            if silence >= DEAD_AFTER && member.judgement != Judgement::Dead {
                member.judgement = Judgement::Dead;
                effects.push(departure(node, member));
            } else if silence >= SUSPECT_AFTER && member.judgement == Judgement::Alive {
                member.judgement = Judgement::Suspect;
                effects.push(Effect::Suspected(node.clone()));
            }
            let overdue = silence >= PROBE_AFTER && member.judgement != Judgement::Dead;
            if overdue && now.since(member.last_probed) >= PROBE_INTERVAL {
                member.last_probed = now;
                effects.push(Effect::ProbeDue(node.clone()));
            }
        }
        self.members.retain(|_, member| now.since(member.last_heard) < FORGET_AFTER);
        effects
    }
}

impl<T> View<T> {
    /// Returns a member, even if it is dead.
    #[must_use]
    pub fn get(&self, node: &Node) -> Option<&Member<T>> {
        self.members.get(node)
    }

    /// Returns all members ordered by name, including dead ones.
    pub fn iter(&self) -> impl Iterator<Item = (&Node, &Member<T>)> {
        self.members.iter()
    }

    /// Returns the members that are judged alive.
    pub fn alive(&self) -> impl Iterator<Item = (&Node, &Member<T>)> {
        self.members.iter().filter(|(_, member)| member.judgement == Judgement::Alive)
    }
}

fn departure<T: Payload>(node: &Node, member: &Member<T>) -> Effect {
    match member.payload.state() {
        State::Leaving => Effect::Left(node.clone()),
        State::Serving => Effect::Lost(node.clone()),
    }
}
