//! What an entry tells others of the configuration, and takes over from them.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Core, Effect};
use crate::config::journal::LocalState;
use crate::config::{self, Config, Record, Update};
use crate::member::{PRESENCE_EVERY, Presence, State};
use crate::unit::{Node, Time, Version};
use crate::wire::Body;

/// Versions of the past that each push repeats, for those who missed one.
const PUSH_BACK: u64 = 3;
/// Times that a push is sent again.
const PUSH_REPEATS: u32 = 2;
/// Pause before a push is sent again. By then agents have announced that they took it.
const PUSH_AGAIN: Duration = Duration::from_millis(700);
/// Largest push, in bytes: it goes in one packet of the network.
const PUSH_BYTES: usize = 1_200;

impl Core {
    /// Takes over a whole configuration that is newer than the one held.
    ///
    /// Planner roles are taken anew, so that they see all jobs.
    pub fn adopt(&mut self, config: Config) -> Vec<Effect> {
        if config.version <= self.config.version {
            return Vec::new();
        }
        crate::log!(Adopted, "version {} at {}", config.version, self.node);
        self.config = config;
        self.records.clear();
        self.roles.clear();
        let nodes: Vec<&Node> = self.agents.iter().map(|(node, _)| node).collect();
        nodes.into_iter().filter_map(|node| self.learn(node)).collect()
    }

    /// Takes in that another entry sent what it holds: if it knows the configuration, or had
    /// any, this one knows it now.
    pub fn learn_from(&mut self, address: SocketAddr) {
        let mut from = self.entries.iter().filter(|(_, member)| member.address == address);
        let knows = from.any(|(_, member)| member.said.known);
        self.known |= knows || self.config.version > Version(0);
    }

    /// Takes in records that led to the configuration adopted.
    pub fn remember(&mut self, records: Vec<Record>) {
        for record in records {
            config::push_record(&mut self.records, record);
        }
    }

    /// Returns the configuration in force.
    pub fn version(&self) -> Version {
        self.config.version
    }

    /// Returns the configuration and the records that led to it.
    pub fn held(&self) -> LocalState<'_> {
        LocalState { config: &self.config, records: &self.records }
    }

    /// Returns what leads another entry on from a version.
    pub fn since(&self, version: Version) -> Update {
        config::entry_update(&self.config, &self.records, version)
    }

    /// Returns what leads an agent on from a version.
    pub fn follow(&self, version: Version) -> Update {
        config::agent_update(&self.config, &self.records, version)
    }

    /// Returns the addresses of the other entries, those of the settings included.
    pub fn others(&self) -> Vec<SocketAddr> {
        let mut others: Vec<SocketAddr> = Vec::new();
        others.extend(self.entries.alive().map(|(_, member)| member.address));
        for &seed in &self.seeds {
            if seed != self.address && !others.contains(&seed) {
                others.push(seed);
            }
        }
        others
    }

    /// Returns how many live entries come before this one in the order of names, and how many
    /// there are with this one.
    pub fn rank(&self) -> (usize, usize) {
        let before = self.entries.alive().filter(|(node, _)| **node < self.node).count();
        (before, self.entries.alive().count() + 1)
    }

    /// Sends what changed to the agents at once, and twice more for those who missed it. What
    /// is large, or was missed three times, they ask for at the next presence.
    pub(super) fn push(&mut self, now: Time) -> Vec<Effect> {
        let left = match self.repeat {
            _ if self.pushed < self.config.agent_version => PUSH_REPEATS,
            Some((last, left)) if left > 0 && now.since(last) >= PUSH_AGAIN => left - 1,
            _ => return Vec::new(),
        };
        self.repeat = Some((now, left));
        let base =
            Version(self.pushed.0.min(self.config.agent_version.0).saturating_sub(PUSH_BACK));
        self.pushed = self.config.version;
        let update = self.follow(base);
        if matches!(update, Update::Whole(_)) || size(&update) > PUSH_BYTES {
            return Vec::new();
        }
        let behind = |version: Version| left == PUSH_REPEATS || version < self.config.version;
        let members = self.agents.alive().filter(|(_, member)| behind(member.said.version));
        let send = |address| Effect::Send(address, Body::Push(update.clone()));
        members.map(|(_, member)| send(member.address)).collect()
    }

    pub(super) fn announce(&mut self, now: Time) -> Vec<Effect> {
        self.announced = Some(now);
        let presence = self.presence();
        let mut to = self.others();
        if self.shown.is_none_or(|last| now.since(last) >= PRESENCE_EVERY) {
            self.shown = Some(now);
            to.extend(self.agents.alive().map(|(_, member)| member.address));
        }
        to.into_iter()
            .map(|address| Effect::Send(address, Body::Presence(presence.clone())))
            .collect()
    }

    /// Tells the other entries what is in force here.
    pub fn tell_entries(&self) -> Vec<Effect> {
        let presence = self.presence();
        let send = |address| Effect::Send(address, Body::Presence(presence.clone()));
        self.others().into_iter().map(send).collect()
    }

    pub(super) fn presence(&self) -> Presence {
        Presence {
            place: self.place.clone(),
            address: self.address,
            state: if self.leaving { State::Leaving } else { State::Serving },
            known: self.known,
            version: self.config.version,
            settled: self.config.agent_version,
        }
    }
}

fn size(update: &Update) -> usize {
    postcard::to_stdvec(update).map_or(usize::MAX, |bytes| bytes.len())
}
