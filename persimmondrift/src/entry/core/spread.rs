//! Distribution of the configuration: presences, pushes of changes to agents, and updates from
//! other entries.

use std::net::SocketAddr;
use std::time::Duration;

use super::{Core, Effect};
use crate::config::journal::LocalState;
use crate::config::{self, Config, Record, Update};
use crate::member::{PRESENCE_INTERVAL, Presence, State};
use crate::unit::{Node, Time, Version};
use crate::wire::Body;

/// Earlier versions that each push includes, for agents that missed a push.
const PUSH_OVERLAP: u64 = 3;
/// Number of repeats of each push.
const PUSH_REPEATS: u32 = 2;
/// Pause before a push is repeated. By then agents that received it have announced its version.
const PUSH_REPEAT_DELAY: Duration = Duration::from_millis(700);
/// Largest push, in bytes. It must fit into one network packet.
const MAX_PUSH_BYTES: usize = 1_200;

impl Core {
    /// Replaces the configuration by a newer one.
    ///
    /// Drops all planner roles; they are taken again with the jobs of the new configuration.
    pub fn adopt(&mut self, config: Config) -> Vec<Effect> {
        if config.version <= self.config.version {
            return Vec::new();
        }
        crate::log!(Adopted, "version {} at {}", config.version, self.node);
        self.config = config;
        self.records.clear();
        self.roles.clear();
        let nodes: Vec<&Node> = self.agents.iter().map(|(node, _)| node).collect();
        nodes.into_iter().filter_map(|node| self.target_effect(node)).collect()
    }

    /// Records that another entry sent its configuration. The configuration counts as known if that
    /// entry knows it, or if the version held is above 0.
    pub fn record_fetch_from(&mut self, address: SocketAddr) {
        let mut senders = self.entries.iter().filter(|(_, member)| member.address == address);
        let knows = senders.any(|(_, member)| member.payload.known);
        self.config_known |= knows || self.config.version > Version(0);
    }

    /// Adds records that led to the adopted configuration, for updates to other processes.
    pub fn add_records(&mut self, records: Vec<Record>) {
        for record in records {
            config::push_record(&mut self.records, record);
        }
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Version {
        self.config.version
    }

    /// Returns the configuration and the last records that led to it.
    pub fn local_state(&self) -> LocalState<'_> {
        LocalState { config: &self.config, records: &self.records }
    }

    /// Returns the update that another entry needs after a version.
    pub fn update_for_entry(&self, version: Version) -> Update {
        config::entry_update(&self.config, &self.records, version)
    }

    /// Returns the update that an agent needs after a version.
    pub fn update_for_agent(&self, version: Version) -> Update {
        config::agent_update(&self.config, &self.records, version)
    }

    /// Returns the addresses of the other live entries and of those in the settings.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = Vec::new();
        addresses.extend(self.entries.alive().map(|(_, member)| member.address));
        for &seed in &self.seeds {
            if seed != self.address && !addresses.contains(&seed) {
                addresses.push(seed);
            }
        }
        addresses
    }

    /// Returns how many live entries come before this one in the order of names, and the number of
    /// live entries including this one.
    pub fn rank(&self) -> (usize, usize) {
        let before = self.entries.alive().filter(|(node, _)| **node < self.node).count();
        (before, self.entries.alive().count() + 1)
    }

    /// Sends new changes to all agents, and then twice more to those that still announce an older
    /// version. Agents that miss all three, or a change too large to push, fetch it after the next
    /// presence.
    pub(super) fn push(&mut self, now: Time) -> Vec<Effect> {
        let left = match self.push_repeat {
            _ if self.pushed < self.config.agent_version => PUSH_REPEATS,
            Some((last, left)) if left > 0 && now.since(last) >= PUSH_REPEAT_DELAY => left - 1,
            _ => return Vec::new(),
        };
        self.push_repeat = Some((now, left));
        let base =
            Version(self.pushed.0.min(self.config.agent_version.0).saturating_sub(PUSH_OVERLAP));
        self.pushed = self.config.version;
        let update = self.update_for_agent(base);
        if matches!(update, Update::Whole(_)) || encoded_size(&update) > MAX_PUSH_BYTES {
            return Vec::new();
        }
        let behind = |version: Version| left == PUSH_REPEATS || version < self.config.version;
        let members = self.agents.alive().filter(|(_, member)| behind(member.payload.version));
        let send = |address| Effect::Send(address, Body::Push(update.clone()));
        members.map(|(_, member)| send(member.address)).collect()
    }

    pub(super) fn announce(&mut self, now: Time) -> Vec<Effect> {
        self.last_announced = Some(now);
        let presence = self.presence();
        let mut to = self.peer_addresses();
        if self.last_sent_to_agents.is_none_or(|last| now.since(last) >= PRESENCE_INTERVAL) {
            self.last_sent_to_agents = Some(now);
            to.extend(self.agents.alive().map(|(_, member)| member.address));
        }
        to.into_iter()
            .map(|address| Effect::Send(address, Body::Presence(presence.clone())))
            .collect()
    }

    /// Returns effects that send the presence, with the version in force, to the other entries.
    pub fn notify_entries(&self) -> Vec<Effect> {
        let presence = self.presence();
        let send = |address| Effect::Send(address, Body::Presence(presence.clone()));
        self.peer_addresses().into_iter().map(send).collect()
    }

    pub(super) fn presence(&self) -> Presence {
        Presence {
            place: self.place.clone(),
            address: self.address,
            state: if self.leaving { State::Leaving } else { State::Serving },
            known: self.config_known,
            version: self.config.version,
            settled: self.config.agent_version,
        }
    }
}

fn encoded_size(update: &Update) -> usize {
    postcard::to_stdvec(update).map_or(usize::MAX, |bytes| bytes.len())
}
