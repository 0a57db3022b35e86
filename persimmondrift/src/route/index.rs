//! The targets known to one entry, indexed so that a choice costs the same at any number.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use slotmap::SlotMap;

use super::health::{Health, State};
use super::tier::{Position, Tier};
use super::{Choice, Distance, Error, Facts, Key, SLOW_START, Verdict, distance, remote_cost};
use crate::member::{Load, Place};
use crate::unit::{Bytes, Node, Service, Time, Zone};

/// Time for which a target that has refused as leaving is passed over. By then its
/// announcement is heard, or it is suspected.
pub const REFUSED_FOR: Duration = Duration::from_secs(3);

/// A target and what this entry knows of it.
#[derive(Debug)]
struct Target {
    facts: Facts,
    distance: Distance,
    /// Requests of this entry that are on their way or run there.
    own: u32,
    /// Requests of other entries there, at the last report.
    others: u32,
    /// When the last report was taken in.
    reported: Time,
    /// Whether it has refused a request because it is leaving.
    refuses: bool,
    health: Health,
    open: Position,
    roomy: Position,
}

/// Targets of a service in one availability zone.
#[derive(Debug, Default)]
struct Share {
    known: usize,
    ejected: usize,
}

/// The targets of one service.
#[derive(Debug, Default)]
struct Group {
    tiers: [Tier; 3],
    zones: HashMap<Zone, Share>,
    known: usize,
    bad: usize,
    ejected: Vec<Key>,
}

/// The targets known to one entry.
#[derive(Debug)]
pub struct Index {
    place: Place,
    targets: SlotMap<Key, Target>,
    nodes: HashMap<Node, Key>,
    groups: HashMap<Service, Group>,
    /// The targets that refuse, and until when they are passed over.
    refusing: VecDeque<(Time, Key)>,
}

impl Index {
    /// Creates the index of an entry at a place.
    #[must_use]
    pub fn new(place: Place) -> Self {
        Self {
            place,
            targets: SlotMap::with_key(),
            nodes: HashMap::new(),
            groups: HashMap::new(),
            refusing: VecDeque::new(),
        }
    }

    /// Takes in what a target's agent has announced.
    pub fn learn(&mut self, now: Time, facts: Facts) {
        if let Some(&key) = self.nodes.get(&facts.node) {
            let held = &self.targets[key].facts;
            let same = held.boot == facts.boot
                && held.service == facts.service
                && held.place == facts.place;
            if same {
                self.update(now, key, facts);
                return;
            }
            self.forget(&facts.node);
        }
        let group = self.groups.entry(facts.service.clone()).or_default();
        group.known += 1;
        group.zones.entry(facts.place.zone.clone()).or_default().known += 1;
        let node = facts.node.clone();
        let target = Target {
            distance: distance(&self.place, &facts.place),
            own: 0,
            others: facts.load.running + facts.load.waiting,
            reported: now,
            refuses: false,
            health: Health::default(),
            open: None,
            roomy: None,
            facts,
        };
        let key = self.targets.insert(target);
        self.nodes.insert(node, key);
        self.relist(key);
    }

    /// Forgets a target. Outcomes that are still to come from it change nothing.
    pub fn forget(&mut self, node: &Node) {
        let Some(key) = self.nodes.remove(node) else {
            return;
        };
        self.targets[key].facts.open = false;
        self.relist(key);
        let Some(target) = self.targets.remove(key) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&target.facts.service) else {
            return;
        };
        group.known -= 1;
        group.bad -= usize::from(target.health.is_bad());
        let ejected = matches!(target.health.state(), State::Ejected(_));
        group.ejected.retain(|other| *other != key);
        if let Some(share) = group.zones.get_mut(&target.facts.place.zone) {
            share.known -= 1;
            share.ejected -= usize::from(ejected);
        }
    }

    /// Chooses a target for a request of some size, and counts the request there.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if no target offers the service or takes new work.
    pub fn choose(
        &mut self,
        now: Time,
        service: &Service,
        size: Bytes,
        excluded: &[Key],
        random: &mut fastrand::Rng,
    ) -> Result<Choice, Error> {
        let group = self.groups.get(service).filter(|group| group.known > 0);
        let group = group.ok_or(Error::NoTarget)?;
        let key = self.pick(group, size, excluded, random).ok_or(Error::NoneOpen)?;
        let target = &mut self.targets[key];
        target.own += 1;
        let choice = Choice {
            key,
            node: target.facts.node.clone(),
            boot: target.facts.boot,
            address: target.facts.address,
            distance: target.distance,
            load: target.load(),
            uptime: Time::from_millis(target.facts.load.uptime.0) + now.since(target.reported),
        };
        self.relist(key);
        Ok(choice)
    }

    /// Takes in that a request at a target is over.
    pub fn conclude(&mut self, now: Time, key: Key, verdict: Verdict, load: Option<Load>) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.own = target.own.saturating_sub(1);
        let was_bad = target.health.is_bad();
        target.health.record(verdict);
        let is_bad = target.health.is_bad();
        if let Some(load) = load {
            target.report(now, load);
        }
        let service = target.facts.service.clone();
        if let Some(group) = self.groups.get_mut(&service) {
            group.bad = group.bad + usize::from(is_bad) - usize::from(was_bad);
        }
        if verdict == Verdict::Bad {
            self.consider(now, key);
        }
        if verdict == Verdict::Leaving {
            self.pass_over(now, key);
        }
        self.relist(key);
    }

    /// Lets ejected targets be probed when their time is over.
    pub fn tick(&mut self, now: Time) {
        let mut probed = self.end_refusals(now);
        for group in self.groups.values_mut() {
            let (targets, zones) = (&mut self.targets, &mut group.zones);
            group.ejected.retain(|key| {
                let target = &mut targets[*key];
                if !target.health.probe(now) {
                    return true;
                }
                if let Some(share) = zones.get_mut(&target.facts.place.zone) {
                    share.ejected -= 1;
                }
                probed.push(*key);
                false
            });
        }
        for key in probed {
            self.relist(key);
        }
    }

    /// Returns the number of targets of a service that are ejected.
    #[must_use]
    pub fn ejected(&self, service: &Service) -> usize {
        self.groups.get(service).map_or(0, |group| group.ejected.len())
    }

    fn update(&mut self, now: Time, key: Key, facts: Facts) {
        let target = &mut self.targets[key];
        let held = target.facts.load;
        target.facts = Facts { load: held, ..facts };
        target.report(now, facts.load);
        self.relist(key);
    }

    /// Draws the nearest target with room, or else the one with the least wait and cost.
    fn pick(
        &self,
        group: &Group,
        size: Bytes,
        excluded: &[Key],
        random: &mut fastrand::Rng,
    ) -> Option<Key> {
        let [zone, region, remote] = &group.tiers;
        for tier in [zone, region] {
            if let Some(pair) = tier.roomy.two(excluded, random) {
                return Some(self.less_loaded(pair));
            }
        }
        let mut near = None;
        for tier in [zone, region] {
            near = near.or(tier.open.two(excluded, random).map(|pair| self.sooner(pair)));
        }
        let cost = remote_cost(size);
        let far = match remote.roomy.two(excluded, random) {
            Some(pair) => Some((Duration::ZERO, self.less_loaded(pair))),
            None => remote.open.two(excluded, random).map(|pair| self.sooner(pair)),
        };
        match (near, far) {
            (Some((wait, near)), Some((far_wait, far))) => {
                Some(if wait <= far_wait + cost { near } else { far })
            }
            (near, far) => near.or(far).map(|(_, key)| key),
        }
    }

    fn less_loaded(&self, (first, second): (Key, Key)) -> Key {
        let (a, b) = (&self.targets[first], &self.targets[second]);
        let share =
            |of: &Target, other: &Target| u64::from(of.load()) * u64::from(other.facts.slots.0);
        if share(b, a) < share(a, b) { second } else { first }
    }

    fn sooner(&self, (first, second): (Key, Key)) -> (Duration, Key) {
        let (a, b) = (self.targets[first].wait(), self.targets[second].wait());
        if b < a { (b, second) } else { (a, first) }
    }

    /// Ejects a failing target unless too many of its kind fail.
    fn consider(&mut self, now: Time, key: Key) {
        let target = &mut self.targets[key];
        let probed = matches!(target.health.state(), State::Probed(_));
        let failing = target.health.is_bad() || probed;
        if !failing || matches!(target.health.state(), State::Ejected(_)) {
            return;
        }
        let Some(group) = self.groups.get_mut(&target.facts.service) else {
            return;
        };
        let Some(share) = group.zones.get_mut(&target.facts.place.zone) else {
            return;
        };
        let spared = group.bad * 2 > group.known || (share.ejected + 1) * 2 > share.known;
        if spared {
            return;
        }
        target.health.eject(now);
        share.ejected += 1;
        group.ejected.push(key);
    }

    /// Passes a target over that has refused as leaving, also when its announcement is lost.
    fn pass_over(&mut self, now: Time, key: Key) {
        if let Some(target) = self.targets.get_mut(key)
            && !target.refuses
        {
            target.refuses = true;
            self.refusing.push_back((now + REFUSED_FOR, key));
        }
    }

    /// Returns the targets that are not passed over any longer.
    fn end_refusals(&mut self, now: Time) -> Vec<Key> {
        let mut ended = Vec::new();
        while let Some(&(until, key)) = self.refusing.front()
            && until <= now
        {
            self.refusing.pop_front();
            if let Some(target) = self.targets.get_mut(key) {
                target.refuses = false;
                ended.push(key);
            }
        }
        ended
    }

    /// Puts a target into the sets that it belongs to.
    fn relist(&mut self, key: Key) {
        let target = &self.targets[key];
        let (open, roomy) = (target.is_open(), target.has_room());
        if open == target.open.is_some() && roomy == target.roomy.is_some() {
            return;
        }
        let Some(group) = self.groups.get_mut(&target.facts.service) else {
            return;
        };
        let tier = &mut group.tiers[target.distance as usize];
        let position = target.open;
        match (open, position) {
            (true, None) => self.targets[key].open = Some(tier.open.add(key)),
            (false, Some(position)) => {
                self.targets[key].open = None;
                if let Some(moved) = tier.open.remove(position) {
                    self.targets[moved].open = Some(position);
                }
            }
            _ => {}
        }
        let position = self.targets[key].roomy;
        match (roomy, position) {
            (true, None) => self.targets[key].roomy = Some(tier.roomy.add(key)),
            (false, Some(position)) => {
                self.targets[key].roomy = None;
                if let Some(moved) = tier.roomy.remove(position) {
                    self.targets[moved].roomy = Some(position);
                }
            }
            _ => {}
        }
    }
}

impl Target {
    /// Returns the requests that run and wait there, as far as known.
    fn load(&self) -> u32 {
        self.own + self.others
    }

    fn wait(&self) -> Duration {
        self.facts.load.wait.into()
    }

    fn is_open(&self) -> bool {
        self.facts.open && !self.refuses && self.health.state() == State::In
    }

    fn has_room(&self) -> bool {
        self.facts.open && !self.refuses && self.load() < self.allowed()
    }

    /// Returns the requests that it may have at once.
    fn allowed(&self) -> u32 {
        match self.health.state() {
            State::In => self.ramp(),
            State::Probed(_) => 1,
            State::Ejected(_) => 0,
        }
    }

    fn ramp(&self) -> u32 {
        let uptime = self.facts.load.uptime.0;
        let full = u64::try_from(SLOW_START.as_millis()).unwrap_or(u64::MAX);
        let slots = self.facts.slots.0;
        if uptime >= full {
            return slots;
        }
        let part = u64::from(slots) * uptime / full;
        u32::try_from(part).unwrap_or(slots).max(1)
    }

    /// Takes in a report; older and doubled ones change nothing.
    fn report(&mut self, now: Time, load: Load) {
        if load.number <= self.facts.load.number {
            return;
        }
        self.others = (load.running + load.waiting).saturating_sub(self.own);
        self.reported = now;
        self.facts.load = load;
    }
}
