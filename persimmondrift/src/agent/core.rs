//! The state of an agent and its reactions, without I/O.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::work::Order;
use crate::adapter::worker::Listed;
use crate::admit::Gate;
use crate::config::Config;
use crate::gang::{Action, Holder, Phase, Started, Task};
use crate::member::{ANNOUNCE_EVERY, Announce, Load, Presence, State, View};
use crate::settings;
use crate::unit::{Boot, Node, Time, Version};
use crate::wire::{Body, Frame};

/// What the agent's process does.
#[derive(Debug)]
pub enum Effect {
    /// Sends a datagram.
    Send(SocketAddr, Body),
    /// Calls the worker.
    Work(Order),
    /// Reads the records after a version from an entry.
    Fetch(SocketAddr, Version),
}

/// What came of reading records.
#[derive(Debug)]
pub enum Fetched {
    /// The body that the entry sent.
    Body(Body),
    /// No answer.
    Nothing,
}

/// The state of an agent.
#[derive(Debug)]
pub struct Core {
    node: Node,
    announce: Announce,
    seeds: Vec<SocketAddr>,
    announced: Option<Time>,
    entries: View<Presence>,
    config: Config,
    fetching: bool,
    leaving: bool,
    planners: BTreeMap<Node, SocketAddr>,
    pub(super) gate: Gate,
    holder: Holder,
}

impl Core {
    /// Creates the state of an agent that listens at an address.
    pub fn new(settings: &settings::Agent, boot: Boot, address: SocketAddr) -> Self {
        Self {
            node: settings.node.clone(),
            announce: Announce {
                service: settings.service.clone(),
                place: settings.place.clone(),
                address,
                capacity: settings.capacity,
                load: Load::default(),
                state: State::Serving,
                version: Version(0),
                tasks: Vec::new(),
            },
            seeds: settings.entries.clone(),
            announced: None,
            entries: View::default(),
            config: Config::default(),
            fetching: false,
            leaving: false,
            planners: BTreeMap::new(),
            gate: Gate::new(settings.capacity.slots),
            holder: Holder::new(boot),
        }
    }

    /// Takes nothing new from now on.
    pub fn leave(&mut self, now: Time) -> Vec<Effect> {
        self.leaving = true;
        self.apply_state();
        self.announce(now)
    }

    /// Returns the number of requests and parts that run.
    pub fn busy(&self) -> usize {
        let requests = usize::try_from(self.gate.running()).unwrap_or(usize::MAX);
        requests + self.gate.waiting() + self.holder.holdings().len()
    }

    /// Returns whether any part is held or runs.
    pub fn runs_parts(&self) -> bool {
        !self.holder.is_empty()
    }

    /// Takes in a datagram.
    pub fn handle(&mut self, now: Time, from: SocketAddr, frame: Frame) -> Vec<Effect> {
        match frame.body {
            Body::Presence(presence) => {
                let source = (&frame.node, frame.boot, frame.sequence);
                let ahead = presence.version > self.config.version;
                let address = presence.address;
                self.entries.observe(now, from, source, presence);
                if ahead && !self.fetching {
                    self.fetching = true;
                    return vec![Effect::Fetch(address, self.config.version)];
                }
                Vec::new()
            }
            Body::Command(command) => {
                self.planners.insert(frame.node, from);
                let actions = self.holder.command(now, command);
                self.act(actions)
            }
            _ => Vec::new(),
        }
    }

    /// Takes in the records read from an entry.
    pub fn fetched(&mut self, fetched: Fetched) {
        self.fetching = false;
        match fetched {
            Fetched::Body(Body::Records(records)) => {
                for record in &records {
                    if self.config.apply(record).is_err() {
                        break;
                    }
                }
            }
            Fetched::Body(Body::Whole(config)) if config.version > self.config.version => {
                self.config = config;
            }
            _ => return,
        }
        crate::log!(InForce, "version {} at {}", self.config.version, self.node);
        self.apply_state();
    }

    /// Takes in the parts that the worker knows, as asked for at a time.
    pub fn listed(&mut self, now: Time, asked: Time, listed: &[Listed]) -> Vec<Effect> {
        let actions = self.holder.listed(now, asked, listed);
        self.act(actions)
    }

    /// Takes in what came of a call that starts a part.
    pub fn started(&mut self, now: Time, task: Task, started: Started) -> Vec<Effect> {
        let actions = self.holder.started(now, task, started);
        self.act(actions)
    }

    /// Takes in what came of a call that stops a part.
    pub fn stopped(&mut self, now: Time, task: Task, confirmed: bool) -> Vec<Effect> {
        let actions = self.holder.stopped(now, task, confirmed);
        self.act(actions)
    }

    /// Lets holds and leases lapse, and announces when it is time to.
    pub fn tick(&mut self, now: Time) -> Vec<Effect> {
        let actions = self.holder.tick(now);
        let mut effects = self.act(actions);
        self.entries.tick(now);
        if self.announced.is_none_or(|last| now.since(last) >= ANNOUNCE_EVERY) {
            effects.extend(self.announce(now));
        }
        effects
    }

    fn apply_state(&mut self) {
        let leaving = self.leaving || self.config.drained.contains(&self.node);
        self.gate.set_leaving(leaving);
        self.holder.set_leaving(leaving);
        self.announce.state = if leaving { State::Leaving } else { State::Serving };
    }

    fn announce(&mut self, now: Time) -> Vec<Effect> {
        self.announced = Some(now);
        self.announce.version = self.config.version;
        self.announce.tasks = self.holder.holdings();
        self.announce.load = Load {
            running: self.gate.running(),
            waiting: u32::try_from(self.gate.waiting()).unwrap_or(u32::MAX),
        };
        let mut addresses = self.seeds.clone();
        for (_, member) in self.entries.alive() {
            if !addresses.contains(&member.address) {
                addresses.push(member.address);
            }
        }
        let send = |to| Effect::Send(to, Body::Announce(self.announce.clone()));
        addresses.into_iter().map(send).collect()
    }

    fn act(&mut self, actions: Vec<Action>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for action in actions {
            match action {
                Action::Start { task, mask, until, spec } => {
                    effects.push(Effect::Work(Order::Start { task, mask, until, spec }));
                }
                Action::Renew { task, until } => {
                    effects.push(Effect::Work(Order::Renew { task, until }));
                }
                Action::Stop { task } => effects.push(Effect::Work(Order::Stop(task))),
                Action::Report(report) => {
                    for part in report.holdings.iter().filter(|_| !report.whole) {
                        if matches!(part.phase, Phase::Finished | Phase::Failed) {
                            crate::log!(PartEnded, "{part:?} at {}", self.node);
                        }
                    }
                    for &planner in self.planners.values() {
                        effects.push(Effect::Send(planner, Body::Report(report.clone())));
                    }
                }
            }
        }
        effects
    }
}
