//! The state machine of an entry: members, configuration, drafts and planner roles. It does no
//! I/O; it returns effects that the entry's threads carry out.

mod spread;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use super::lease::RoleSeeker;
use super::role::{self, Role};
use super::table::Operation;
use crate::config::{self, Change, Config, Record};
use crate::gang::{Holding, Report};
use crate::guarantee::Supply;
use crate::intent::{self, Draft, NodeLoad};
use crate::member::{
    self, ANNOUNCE_INTERVAL, Announce, Beat, Judgement, Location, Presence, State, View,
};
use crate::place::{Eviction, Host, Policy};
use crate::route::TargetInfo;
use crate::settings;
use crate::unit::{Boot, Epoch, Node, Plan, Sequence, Time, Version, Zone};
use crate::wire::{Body, Frame};

/// Bound on the plans kept until they are confirmed.
const MAX_DRAFTS: usize = 256;
/// Time after the first tick before the entry takes planner roles. By then all agents have
/// announced themselves.
const ROLE_DELAY: std::time::Duration = std::time::Duration::from_secs(1);

/// An action for the entry's threads.
#[derive(Debug)]
pub enum Effect {
    /// Sends a datagram to an address.
    Send(SocketAddr, Body),
    /// Queues an operation for the table thread.
    Table(Operation),
    /// Wakes the log thread to read new records.
    Wake,
    /// Adds or updates a target in the router.
    UpsertTarget(Box<TargetInfo>),
    /// Removes a target from the router and closes the idle connections to its agent.
    RemoveTarget(Node, SocketAddr),
}

/// The state of an entry, shared by its threads under one lock.
#[derive(Debug)]
pub struct Core {
    pub(super) node: Node,
    pub(super) place: Location,
    policy: Policy,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    last_announced: Option<Time>,
    started: Option<Time>,
    pub(super) agents: View<Announce>,
    pub(super) entries: View<Presence>,
    pub(super) config: Config,
    pub(super) records: VecDeque<Record>,
    pub(super) drafts: BTreeMap<Plan, Draft>,
    pub(super) roles: BTreeMap<Zone, Role>,
    pub(super) role_seeker: RoleSeeker,
    /// Whether the configuration was read since the start, or reading it at startup timed out.
    pub(super) config_known: bool,
    pub(super) leaving: bool,
    pushed: Version,
    /// When the last push was sent, and how many repeats of it are left.
    push_repeat: Option<(Time, u32)>,
    /// When the presence was last sent to the agents.
    last_sent_to_agents: Option<Time>,
}

impl Core {
    /// Creates the state of an entry that listens at an address.
    pub fn new(settings: &settings::Entry, address: SocketAddr) -> Self {
        Self {
            node: settings.node.clone(),
            place: settings.place.clone(),
            policy: settings.policy.clone(),
            address,
            seeds: settings.entries.clone(),
            last_announced: None,
            started: None,
            agents: View::default(),
            entries: View::default(),
            config: Config::default(),
            records: VecDeque::new(),
            drafts: BTreeMap::new(),
            roles: BTreeMap::new(),
            role_seeker: RoleSeeker::default(),
            config_known: false,
            leaving: false,
            pushed: Version(0),
            push_repeat: None,
            last_sent_to_agents: None,
        }
    }

    /// Handles a datagram.
    pub fn handle(&mut self, now: Time, from: SocketAddr, frame: Frame) -> Vec<Effect> {
        let source = (&frame.node, frame.boot, frame.sequence);
        match frame.body {
            Body::Announce(announce) => {
                let changes = self.agents.observe(now, from, source, announce);
                let new = changes.iter().any(|change| matches!(change, member::Effect::Joined(_)));
                let mut effects = self.agents_changed(now, changes);
                if new {
                    // The agent takes no work before it knows the configuration.
                    effects.push(Effect::Send(from, Body::Presence(self.presence())));
                }
                effects
            }
            Body::Beat(beat) => self.beat(now, from, source, beat),
            Body::Presence(presence) if frame.node != self.node => {
                let ahead = presence.version > self.config.version;
                let changes = self.entries.observe(now, from, source, presence);
                log_changes(&changes);
                if ahead { vec![Effect::Wake] } else { Vec::new() }
            }
            Body::Report(report) => self.report(now, &frame.node, &report),
            Body::Ask => vec![Effect::Send(from, Body::Presence(self.presence()))],
            _ => Vec::new(),
        }
    }

    /// Handles a heartbeat that an agent sends while nothing changes. Asks for a full announcement
    /// if the last one was lost.
    fn beat(
        &mut self,
        now: Time,
        from: SocketAddr,
        source: (&Node, Boot, Sequence),
        beat: Beat,
    ) -> Vec<Effect> {
        let known_number = self.agents.get(source.0).map(|member| member.payload.load.number);
        if known_number != Some(beat.number) {
            return vec![Effect::Send(from, Body::Ask)];
        }
        match self.agents.touch(now, source, |announce| announce.version = beat.version) {
            Some(changes) => self.agents_changed(now, changes),
            None => vec![Effect::Send(from, Body::Ask)],
        }
    }

    /// Updates the liveness of members, sends presences and pushes, and advances the planner roles.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let started = *self.started.get_or_insert(now);
        let changes = self.agents.tick(now);
        let mut effects = self.agents_changed(now, changes);
        let changes = self.entries.tick(now);
        log_changes(&changes);
        for change in &changes {
            if let member::Effect::ProbeDue(node) = change {
                effects.extend(probe(self.entries.get(node)));
            }
        }
        if self.last_announced.is_none_or(|last| now.since(last) >= ANNOUNCE_INTERVAL) {
            effects.extend(self.announce(now));
            if self.config_known && now.since(started) >= ROLE_DELAY {
                effects.extend(self.seek_roles(now));
            }
        }
        effects.extend(self.push(now));
        let mut role_effects = Vec::new();
        for role in self.roles.values_mut() {
            role_effects.extend(role.tick(now));
        }
        effects.extend(self.convert_role_effects(role_effects));
        effects
    }

    /// Applies accepted records, in order.
    pub fn accept(&mut self, now: Time, records: Vec<Record>) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut router_effects = Vec::new();
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
                if let Change::Drain { node } | Change::Undrain { node } = change {
                    router_effects.extend(self.target_effect(node));
                }
                if let Change::Evacuate { zone } | Change::Return { zone } = change {
                    let of_zone =
                        self.agents.iter().filter(|(_, it)| it.payload.place.zone == *zone);
                    let targets = of_zone.filter_map(|(node, _)| self.target_effect(node));
                    router_effects.extend(targets);
                }
                for role in self.roles.values_mut() {
                    effects.extend(role.apply_change(now, change, &self.config));
                }
            }
            config::push_record(&mut self.records, record);
        }
        router_effects.extend(self.convert_role_effects(effects));
        router_effects
    }

    /// Starts the planner role of a zone, which this entry has taken under an epoch.
    pub fn role_taken(&mut self, now: Time, zone: &Zone, epoch: Epoch) -> Vec<Effect> {
        crate::log!(RoleTaken, "zone {zone}, epoch {epoch}, {}", self.node);
        let mut role = Role::new(now, zone.clone(), epoch);
        for (node, member) in self.agents.alive().filter(|(_, m)| m.payload.place.zone == *zone) {
            role.put_worker(now, node, member.boot, &member.payload);
        }
        role.set_policy(self.policy.clone());
        role.configure(&self.config);
        for (&job, spec) in &self.config.jobs {
            role.submit(now, job, spec);
        }
        self.roles.insert(zone.clone(), role);
        Vec::new()
    }

    /// Passes the result of writing an attempt to the role, if it still has that epoch.
    pub fn attempt_recorded(
        &mut self,
        now: Time,
        zone: &Zone,
        epoch: Epoch,
        attempt_id: role::AttemptId,
        recorded: role::Recorded,
    ) -> Vec<Effect> {
        let Some(role) = self.roles.get_mut(zone).filter(|role| role.epoch() == epoch) else {
            return Vec::new();
        };
        let effects = role.attempt_recorded(now, attempt_id, recorded);
        self.convert_role_effects(effects)
    }

    /// Handles the result of a role check: whether the role is still held under the epoch, or
    /// `None` if the table call failed.
    pub fn role_checked(&mut self, zone: &Zone, epoch: Epoch, asked_at: Time, held: Option<bool>) {
        let Some(role) = self.roles.get_mut(zone).filter(|role| role.epoch() == epoch) else {
            return;
        };
        role.role_checked(asked_at, held == Some(true));
        if held == Some(false) {
            crate::log!(RoleLost, "zone {zone}, epoch {epoch} is no longer held, {}", self.node);
            self.roles.remove(zone);
        }
    }

    /// Keeps a plan until it is confirmed, or until `MAX_DRAFTS` is exceeded.
    pub fn store_draft(&mut self, draft: Draft) {
        self.drafts.insert(draft.plan, draft);
        while self.drafts.len() > MAX_DRAFTS {
            self.drafts.pop_first();
        }
    }

    /// Returns the workers of each zone whose agents are alive.
    pub fn supply(&self) -> Supply {
        let mut supply = Supply::default();
        for (node, member) in self.agents.alive() {
            let said = &member.payload;
            let host = Host {
                node: node.clone(),
                rack: said.place.rack.clone(),
                capacity: said.capacity,
                pinned: self.unevictable_mask(&said.tasks),
            };
            supply.zones.entry(said.place.zone.clone()).or_default().push(host);
        }
        supply
    }

    /// Returns the state of the members that changes of the configuration are checked against.
    pub fn observed_state(&self) -> intent::ObservedState {
        let mut nodes = std::collections::BTreeMap::new();
        let mut zones = std::collections::BTreeMap::new();
        for (node, member) in self.agents.iter() {
            let jobs = member.payload.tasks.iter().map(|holding| holding.task.job).collect();
            let service = Some(member.payload.service.clone());
            let requests = member.payload.load.running;
            zones.insert(node.clone(), member.payload.place.zone.clone());
            nodes.insert(node.clone(), NodeLoad { service, requests, jobs });
        }
        for (node, _) in self.entries.iter() {
            nodes.insert(node.clone(), NodeLoad::default());
        }
        intent::ObservedState { supply: self.supply(), nodes, zones }
    }

    /// Returns a mask of the accelerators held by jobs that cannot be evicted.
    fn unevictable_mask(&self, tasks: &[Holding]) -> u64 {
        let unevictable = |task: &&Holding| {
            let spec = self.config.jobs.get(&task.task.job);
            spec.is_some_and(|spec| spec.eviction == Eviction::Never && !spec.claim)
        };
        tasks.iter().filter(unevictable).fold(0, |mask, task| mask | task.mask)
    }

    fn report(&mut self, now: Time, node: &Node, report: &Report) -> Vec<Effect> {
        let Some(member) = self.agents.get(node) else {
            return Vec::new();
        };
        let zone = &member.payload.place.zone;
        let Some(role) = self.roles.get_mut(zone) else {
            return Vec::new();
        };
        if report.epoch > role.epoch() {
            crate::log!(RoleLost, "zone {zone}, epoch {} is newer, {}", report.epoch, self.node);
            self.roles.remove(zone);
            return Vec::new();
        }
        let role_effects = role.report(now, node, report);
        self.convert_role_effects(role_effects)
    }

    fn agents_changed(&mut self, now: Time, changes: Vec<member::Effect>) -> Vec<Effect> {
        log_changes(&changes);
        let mut role_effects = Vec::new();
        let mut effects = Vec::new();
        for change in changes {
            effects.extend(self.router_effect(&change));
            match change {
                member::Effect::Joined(node) | member::Effect::Updated(node) => {
                    if let Some(member) = self.agents.get(&node)
                        && let Some(role) = self.roles.get_mut(&member.payload.place.zone)
                    {
                        role.put_worker(now, &node, member.boot, &member.payload);
                    }
                }
                member::Effect::Lost(node) | member::Effect::Left(node) => {
                    for role in self.roles.values_mut() {
                        role_effects.extend(role.worker_lost(now, &node));
                    }
                }
                member::Effect::Suspected(node) => {
                    for role in self.roles.values_mut() {
                        role.worker_suspected(&node);
                    }
                }
                member::Effect::ProbeDue(node) => {
                    effects.extend(probe(self.agents.get(&node)));
                }
                member::Effect::Recovered(_) => {}
            }
        }
        effects.extend(self.convert_role_effects(role_effects));
        effects
    }

    /// Returns the router's update for a change of the agents, if it needs one.
    fn router_effect(&self, change: &member::Effect) -> Option<Effect> {
        match change {
            member::Effect::Lost(node) | member::Effect::Left(node) => {
                let member = self.agents.get(node)?;
                Some(Effect::RemoveTarget(node.clone(), member.payload.address))
            }
            member::Effect::Joined(node)
            | member::Effect::Updated(node)
            | member::Effect::Suspected(node)
            | member::Effect::Recovered(node) => self.target_effect(node),
            member::Effect::ProbeDue(_) => None,
        }
    }

    /// Returns the router's update for the target of a node.
    fn target_effect(&self, node: &Node) -> Option<Effect> {
        let member = self.agents.get(node)?;
        let said = &member.payload;
        let open = member.judgement == Judgement::Alive
            && said.state == State::Serving
            && !self.config.is_closed(node, &said.place.zone);
        Some(Effect::UpsertTarget(Box::new(TargetInfo {
            node: node.clone(),
            boot: member.boot,
            address: said.address,
            place: said.place.clone(),
            service: said.service.clone(),
            slots: said.capacity.slots,
            load: said.load,
            open,
        })))
    }

    /// Returns operations that take the planner roles of zones with live agents, where this entry
    /// is the preferred holder and no live holder is known.
    fn seek_roles(&mut self, now: Time) -> Vec<Effect> {
        let mut zones: Vec<Zone> = Vec::new();
        for (_, member) in self.agents.alive() {
            let zone = &member.payload.place.zone;
            if !zones.contains(zone) && !self.roles.contains_key(zone) {
                zones.push(zone.clone());
            }
        }
        let serving = || self.entries.alive().filter(|(_, m)| m.payload.state == State::Serving);
        let entries: Vec<&Node> = serving().map(|(node, _)| node).collect();
        let alive = |node: &Node, boot| serving().any(|(n, m)| n == node && m.boot == boot);
        zones.retain(|zone| {
            let preferred = role::is_preferred_holder(zone, &self.node, &entries);
            preferred && self.role_seeker.should_ask(now, zone, alive)
        });
        zones.into_iter().map(|zone| Effect::Table(Operation::TakeRole { zone })).collect()
    }

    fn convert_role_effects(&self, role_effects: Vec<role::Effect>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for effect in role_effects {
            match effect {
                role::Effect::Send { node, command } => {
                    if let Some(member) = self.agents.get(&node) {
                        effects.push(Effect::Send(member.address, Body::Command(command)));
                    }
                }
                role::Effect::Check { zone, epoch, asked_at } => {
                    effects.push(Effect::Table(Operation::CheckRole { zone, epoch, asked_at }));
                }
                role::Effect::Record { zone, epoch, attempt_id, nodes } => {
                    effects.push(Effect::Table(Operation::Record {
                        zone,
                        epoch,
                        attempt_id,
                        nodes,
                    }));
                }
                role::Effect::End { job, outcome } => {
                    effects.push(Effect::Table(Operation::End { job, outcome }));
                }
            }
        }
        effects
    }
}

/// Asks a silent member to announce itself.
fn probe<T>(member: Option<&member::Member<T>>) -> Option<Effect> {
    member.map(|member| Effect::Send(member.address, Body::Ask))
}

fn log_changes(changes: &[member::Effect]) {
    for change in changes {
        match change {
            member::Effect::Joined(node) => crate::log!(MemberJoined, "{node}"),
            member::Effect::Suspected(node) => crate::warn!(MemberSuspected, "{node}"),
            member::Effect::Recovered(node) => crate::log!(MemberRecovered, "{node}"),
            member::Effect::Lost(node) => crate::warn!(MemberLost, "{node}"),
            member::Effect::Left(node) => crate::log!(MemberLeft, "{node}"),
            member::Effect::Updated(_) | member::Effect::ProbeDue(_) => {}
        }
    }
}
