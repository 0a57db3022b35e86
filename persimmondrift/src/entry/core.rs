//! The state of an entry and its reactions, without I/O.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use super::lease::Seeker;
use super::role::{self, Role};
use super::table::Order;
use crate::config::{Change, Config, Record};
use crate::gang::Report;
use crate::intent::{Draft, Supply};
use crate::member::{self, ANNOUNCE_EVERY, Announce, Place, Presence, State, View};
use crate::place::Outcome;
use crate::settings;
use crate::unit::{Epoch, Job, Node, Plan, Time, Version, Zone};
use crate::wire::{Body, Frame};

/// Records that are kept for those who are a little behind.
const RECORDS: usize = 1_024;
/// Plans that are kept until they are confirmed.
const DRAFTS: usize = 256;
/// Ended jobs that are remembered for operators.
const ENDED: usize = 1_024;
/// Time after the start of the process before it takes a planner role: by then all
/// agents have announced themselves.
const ROLE_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// What the entry's process does.
#[derive(Debug)]
pub enum Effect {
    /// Sends a datagram.
    Send(SocketAddr, Body),
    /// Calls the table service.
    Table(Order),
}

/// The state of an entry.
#[derive(Debug)]
pub struct Core {
    pub(super) node: Node,
    pub(super) place: Place,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    announced: Option<Time>,
    started: Option<Time>,
    pub(super) agents: View<Announce>,
    pub(super) entries: View<Presence>,
    pub(super) config: Config,
    pub(super) records: VecDeque<Record>,
    pub(super) drafts: BTreeMap<Plan, Draft>,
    pub(super) roles: BTreeMap<Zone, Role>,
    pub(super) seeker: Seeker,
    pub(super) ended: VecDeque<(Job, Outcome)>,
}

impl Core {
    /// Creates the state of an entry that listens at an address.
    pub fn new(settings: &settings::Entry, address: SocketAddr) -> Self {
        Self {
            node: settings.node.clone(),
            place: settings.place.clone(),
            address,
            seeds: settings.entries.clone(),
            announced: None,
            started: None,
            agents: View::default(),
            entries: View::default(),
            config: Config::default(),
            records: VecDeque::new(),
            drafts: BTreeMap::new(),
            roles: BTreeMap::new(),
            seeker: Seeker::default(),
            ended: VecDeque::new(),
        }
    }

    /// Takes in a datagram.
    pub fn handle(&mut self, now: Time, from: SocketAddr, frame: Frame) -> Vec<Effect> {
        let source = (&frame.node, frame.boot, frame.sequence);
        match frame.body {
            Body::Announce(announce) => {
                let changes = self.agents.observe(now, from, source, announce);
                self.agents_changed(now, changes)
            }
            Body::Presence(presence) if frame.node != self.node => {
                let changes = self.entries.observe(now, from, source, presence);
                log_changes(&changes);
                Vec::new()
            }
            Body::Report(report) => self.report(now, &frame.node, &report),
            _ => Vec::new(),
        }
    }

    /// Judges silent members, announces, and drives the attempts.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let started = *self.started.get_or_insert(now);
        let changes = self.agents.tick(now);
        let mut effects = self.agents_changed(now, changes);
        log_changes(&self.entries.tick(now));
        if self.announced.is_none_or(|last| now.since(last) >= ANNOUNCE_EVERY) {
            effects.extend(self.announce(now));
            if now.since(started) >= ROLE_AFTER {
                effects.extend(self.seek_roles(now));
            }
        }
        let mut asked = Vec::new();
        for role in self.roles.values_mut() {
            asked.extend(role.tick(now));
        }
        effects.extend(self.carry_out(asked));
        effects
    }

    /// Takes in accepted records, in order.
    pub fn accept(&mut self, now: Time, records: Vec<Record>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for record in records {
            match self.config.apply(&record) {
                Ok(true) => {}
                Ok(false) => continue,
                Err(error) => {
                    crate::warn!(StoreFailed, "{error}");
                    break;
                }
            }
            crate::log!(InForce, "version {} at {}", self.config.version, self.node);
            for change in &record.changes {
                if let Change::End { job, outcome } = change {
                    self.ended.push_back((*job, *outcome));
                    self.ended.truncate(ENDED);
                }
                for role in self.roles.values_mut() {
                    effects.extend(role.change(now, change));
                }
            }
            self.records.push_back(record);
            while self.records.len() > RECORDS {
                self.records.pop_front();
            }
        }
        self.carry_out(effects)
    }

    /// Takes in that this entry holds the planner role of a zone.
    pub fn role_taken(&mut self, now: Time, zone: &Zone, epoch: Epoch) -> Vec<Effect> {
        crate::log!(RoleTaken, "zone {zone}, epoch {epoch}, {}", self.node);
        let mut role = Role::new(now, zone.clone(), epoch);
        for (node, member) in self.agents.alive().filter(|(_, m)| m.said.place.zone == *zone) {
            role.put_worker(now, node, member.boot, &member.said);
        }
        for (&job, spec) in &self.config.jobs {
            role.submit(now, job, spec);
        }
        self.roles.insert(zone.clone(), role);
        Vec::new()
    }

    /// Takes in whether an attempt was written to the table.
    pub fn recorded(
        &mut self,
        now: Time,
        zone: &Zone,
        epoch: Epoch,
        task: role::Try,
        recorded: role::Recorded,
    ) -> Vec<Effect> {
        let Some(role) = self.roles.get_mut(zone).filter(|role| role.epoch() == epoch) else {
            return Vec::new();
        };
        let effects = role.recorded(now, task, recorded);
        self.carry_out(effects)
    }

    /// Takes in whether the planner role of a zone was found to be held under an epoch;
    /// `None` if the table gave no answer.
    pub fn role_checked(&mut self, zone: &Zone, epoch: Epoch, asked: Time, held: Option<bool>) {
        let Some(role) = self.roles.get_mut(zone).filter(|role| role.epoch() == epoch) else {
            return;
        };
        role.checked(asked, held == Some(true));
        if held == Some(false) {
            crate::log!(RoleLost, "zone {zone}, epoch {epoch} is over, {}", self.node);
            self.roles.remove(zone);
        }
    }

    /// Returns the records after a version, or the whole configuration.
    pub fn since(&self, version: Version) -> Body {
        if version >= self.config.version {
            return Body::Records(Vec::new());
        }
        let held = self.records.front().is_some_and(|first| first.version <= version.next());
        if !held {
            return Body::Whole(self.config.clone());
        }
        let later = self.records.iter().filter(|record| record.version > version);
        Body::Records(later.cloned().collect())
    }

    /// Keeps a plan until it is confirmed.
    pub fn keep(&mut self, draft: Draft) {
        self.drafts.insert(draft.plan, draft);
        while self.drafts.len() > DRAFTS {
            self.drafts.pop_first();
        }
    }

    /// Returns the accelerators of healthy workers.
    pub fn supply(&self) -> Supply {
        let mut supply = Supply::default();
        for (_, member) in self.agents.alive() {
            let accelerators = member.said.capacity.accelerators;
            supply.accelerators += accelerators;
            supply.largest = supply.largest.max(accelerators);
        }
        supply
    }

    fn report(&mut self, now: Time, node: &Node, report: &Report) -> Vec<Effect> {
        let Some(member) = self.agents.get(node) else {
            return Vec::new();
        };
        let zone = &member.said.place.zone;
        let Some(role) = self.roles.get_mut(zone) else {
            return Vec::new();
        };
        if report.epoch > role.epoch() {
            crate::log!(RoleLost, "zone {zone}, epoch {} is newer, {}", report.epoch, self.node);
            self.roles.remove(zone);
            return Vec::new();
        }
        let asked = role.report(now, node, report);
        self.carry_out(asked)
    }

    fn agents_changed(&mut self, now: Time, changes: Vec<member::Effect>) -> Vec<Effect> {
        log_changes(&changes);
        let mut asked = Vec::new();
        for change in changes {
            match change {
                member::Effect::Joined(node) | member::Effect::Updated(node) => {
                    if let Some(member) = self.agents.get(&node)
                        && let Some(role) = self.roles.get_mut(&member.said.place.zone)
                    {
                        role.put_worker(now, &node, member.boot, &member.said);
                    }
                }
                member::Effect::Lost(node) => {
                    for role in self.roles.values_mut() {
                        asked.extend(role.lost(now, &node));
                    }
                }
                member::Effect::Suspected(node) => {
                    self.roles.values_mut().for_each(|role| role.suspect(&node));
                }
                member::Effect::Recovered(_) => {}
            }
        }
        self.carry_out(asked)
    }

    fn announce(&mut self, now: Time) -> Vec<Effect> {
        self.announced = Some(now);
        let presence = Presence {
            place: self.place.clone(),
            address: self.address,
            state: State::Serving,
            version: self.config.version,
        };
        let mut to: Vec<SocketAddr> = Vec::new();
        to.extend(self.entries.alive().map(|(_, member)| member.address));
        for &seed in &self.seeds {
            if seed != self.address && !to.contains(&seed) {
                to.push(seed);
            }
        }
        to.extend(self.agents.alive().map(|(_, member)| member.address));
        to.into_iter()
            .map(|address| Effect::Send(address, Body::Presence(presence.clone())))
            .collect()
    }

    /// Asks for the planner role of each zone that falls to this entry.
    fn seek_roles(&mut self, now: Time) -> Vec<Effect> {
        let mut zones: Vec<Zone> = Vec::new();
        for (_, member) in self.agents.alive() {
            let zone = &member.said.place.zone;
            if !zones.contains(zone) && !self.roles.contains_key(zone) {
                zones.push(zone.clone());
            }
        }
        let stay = || self.entries.alive().filter(|(_, m)| m.said.state == State::Serving);
        let entries: Vec<&Node> = stay().map(|(node, _)| node).collect();
        let alive = |node: &Node, boot| stay().any(|(n, m)| n == node && m.boot == boot);
        zones.retain(|zone| {
            let mine = role::falls_to(zone, &self.node, &entries);
            mine && self.seeker.seeks(now, zone, alive)
        });
        zones.into_iter().map(|zone| Effect::Table(Order::TakeRole { zone })).collect()
    }

    fn carry_out(&self, asked: Vec<role::Effect>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for effect in asked {
            match effect {
                role::Effect::Send { node, command } => {
                    if let Some(member) = self.agents.get(&node) {
                        effects.push(Effect::Send(member.address, Body::Command(command)));
                    }
                }
                role::Effect::Check { zone, epoch, asked } => {
                    effects.push(Effect::Table(Order::CheckRole { zone, epoch, asked }));
                }
                role::Effect::Record { zone, epoch, task, nodes } => {
                    effects.push(Effect::Table(Order::Record { zone, epoch, task, nodes }));
                }
                role::Effect::End { job, outcome } => {
                    effects.push(Effect::Table(Order::End { job, outcome }));
                }
            }
        }
        effects
    }
}

fn log_changes(changes: &[member::Effect]) {
    for change in changes {
        match change {
            member::Effect::Joined(node) => crate::log!(MemberJoined, "{node}"),
            member::Effect::Suspected(node) => crate::warn!(MemberSuspected, "{node}"),
            member::Effect::Recovered(node) => crate::log!(MemberRecovered, "{node}"),
            member::Effect::Lost(node) => crate::warn!(MemberLost, "{node}"),
            member::Effect::Updated(_) => {}
        }
    }
}
