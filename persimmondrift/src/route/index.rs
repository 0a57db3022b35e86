//! The targets known to one entry, indexed so that the cost of a choice does not depend on their
//! number.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use slotmap::SlotMap;

use super::health::{Health, State};
use super::tier::{Position, Tier};
use super::{Choice, Distance, Error, Key, SLOW_START, TargetInfo, Verdict, distance, remote_cost};
use crate::member::{Load, Location};
use crate::unit::{Bytes, Node, Service, Time, Zone};

/// Time for which a target that refused a request as leaving is skipped. By then its announcement
/// has arrived, or the agent is suspected.
pub const REFUSAL_PERIOD: Duration = Duration::from_secs(3);

/// A target, its announced state and the requests that this entry sent to it.
#[derive(Debug)]
struct Target {
    info: TargetInfo,
    distance: Distance,
    /// Requests of this entry that are in flight to the target.
    own_requests: u32,
    /// Requests of other entries at the target, derived from the last report.
    other_requests: u32,
    /// When the last report arrived.
    reported_at: Time,
    /// Whether the target is skipped because it refused a request as leaving.
    refuses: bool,
    health: Health,
    open: Position,
    available: Position,
}

/// Counts of the targets of a service in one availability zone.
#[derive(Debug, Default)]
struct ZoneCounts {
    known: usize,
    ejected: usize,
}

/// The targets of one service.
#[derive(Debug, Default)]
struct Group {
    tiers: [Tier; 3],
    zones: HashMap<Zone, ZoneCounts>,
    known: usize,
    failing_count: usize,
    ejected: Vec<Key>,
}

/// The targets known to one entry.
#[derive(Debug)]
pub struct Index {
    place: Location,
    targets: SlotMap<Key, Target>,
    nodes: HashMap<Node, Key>,
    groups: HashMap<Service, Group>,
    /// Targets that refused as leaving, with the time until which they are skipped.
    refusing: VecDeque<(Time, Key)>,
}

impl Index {
    /// Creates the index of an entry at a place.
    #[must_use]
    pub fn new(place: Location) -> Self {
        Self {
            place,
            targets: SlotMap::with_key(),
            nodes: HashMap::new(),
            groups: HashMap::new(),
            refusing: VecDeque::new(),
        }
    }

    /// Adds or updates the target of an announcement. A change of incarnation, service or place
    /// replaces the target.
    pub fn upsert(&mut self, now: Time, info: TargetInfo) {
        if let Some(&key) = self.nodes.get(&info.node) {
            let known = &self.targets[key].info;
            let same = known.boot == info.boot
                && known.service == info.service
                && known.place == info.place;
            if same {
                self.update(now, key, info);
                return;
            }
            self.remove_node(&info.node);
        }
        let group = self.groups.entry(info.service.clone()).or_default();
        group.known += 1;
        group.zones.entry(info.place.zone.clone()).or_default().known += 1;
        let node = info.node.clone();
        let target = Target {
            distance: distance(&self.place, &info.place),
            own_requests: 0,
            other_requests: info.load.running + info.load.waiting,
            reported_at: now,
            refuses: false,
            health: Health::default(),
            open: None,
            available: None,
            info,
        };
        let key = self.targets.insert(target);
        self.nodes.insert(node, key);
        self.update_sets(key);
    }

    /// Removes the target of a node. Outcomes that arrive for it later are ignored.
    pub fn remove_node(&mut self, node: &Node) {
        let Some(key) = self.nodes.remove(node) else {
            return;
        };
        self.targets[key].info.open = false;
        self.update_sets(key);
        let Some(target) = self.targets.remove(key) else {
            return;
        };
        let Some(group) = self.groups.get_mut(&target.info.service) else {
            return;
        };
        group.known -= 1;
        group.failing_count -= usize::from(target.health.is_failing());
        let ejected = matches!(target.health.state(), State::Ejected(_));
        group.ejected.retain(|other| *other != key);
        if let Some(zone_counts) = group.zones.get_mut(&target.info.place.zone) {
            zone_counts.known -= 1;
            zone_counts.ejected -= usize::from(ejected);
        }
    }

    /// Chooses a target for a request of the given size, and counts the request there.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if no target offers the service or accepts new requests.
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
        target.own_requests += 1;
        let choice = Choice {
            key,
            node: target.info.node.clone(),
            boot: target.info.boot,
            address: target.info.address,
            distance: target.distance,
            load: target.load(),
            uptime: Time::from_millis(target.info.load.uptime.0) + now.since(target.reported_at),
        };
        self.update_sets(key);
        Ok(choice)
    }

    /// Records that a request at a target has ended, with the verdict and the load that the answer
    /// carried.
    pub fn record_outcome(&mut self, now: Time, key: Key, verdict: Verdict, load: Option<Load>) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.own_requests = target.own_requests.saturating_sub(1);
        let was_failing = target.health.is_failing();
        target.health.record(verdict);
        let is_failing = target.health.is_failing();
        if let Some(load) = load {
            target.update_load(now, load);
        }
        let service = target.info.service.clone();
        if let Some(group) = self.groups.get_mut(&service) {
            group.failing_count =
                group.failing_count + usize::from(is_failing) - usize::from(was_failing);
        }
        if verdict == Verdict::Bad {
            self.maybe_eject(now, key);
        }
        if verdict == Verdict::Leaving {
            self.suspend_refusing(now, key);
        }
        self.update_sets(key);
    }

    /// Starts probing targets whose ejection has expired, and stops skipping targets that refused.
    pub fn tick(&mut self, now: Time) {
        let mut probed = self.resume_refusing(now);
        for group in self.groups.values_mut() {
            let (targets, zones) = (&mut self.targets, &mut group.zones);
            group.ejected.retain(|key| {
                let target = &mut targets[*key];
                if !target.health.probe(now) {
                    return true;
                }
                if let Some(zone_counts) = zones.get_mut(&target.info.place.zone) {
                    zone_counts.ejected -= 1;
                }
                probed.push(*key);
                false
            });
        }
        for key in probed {
            self.update_sets(key);
        }
    }

    /// Returns the number of ejected targets of a service.
    #[must_use]
    pub fn ejected(&self, service: &Service) -> usize {
        self.groups.get(service).map_or(0, |group| group.ejected.len())
    }

    fn update(&mut self, now: Time, key: Key, info: TargetInfo) {
        let target = &mut self.targets[key];
        let current = target.info.load;
        target.info = TargetInfo { load: current, ..info };
        target.update_load(now, info.load);
        self.update_sets(key);
    }

    /// Picks the nearest target with a free slot, or else the one with the lowest wait and cost.
    fn pick(
        &self,
        group: &Group,
        size: Bytes,
        excluded: &[Key],
        random: &mut fastrand::Rng,
    ) -> Option<Key> {
        let [zone, region, remote] = &group.tiers;
        for tier in [zone, region] {
            if let Some(pair) = tier.available.draw_two(excluded, random) {
                return Some(self.less_loaded(pair));
            }
        }
        let mut near = None;
        for tier in [zone, region] {
            near =
                near.or(tier.open.draw_two(excluded, random).map(|pair| self.shorter_wait(pair)));
        }
        let cost = remote_cost(size);
        let far = match remote.available.draw_two(excluded, random) {
            Some(pair) => Some((Duration::ZERO, self.less_loaded(pair))),
            None => remote.open.draw_two(excluded, random).map(|pair| self.shorter_wait(pair)),
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
            |of: &Target, other: &Target| u64::from(of.load()) * u64::from(other.info.slots.0);
        if share(b, a) < share(a, b) { second } else { first }
    }

    fn shorter_wait(&self, (first, second): (Key, Key)) -> (Duration, Key) {
        let (a, b) = (self.targets[first].wait(), self.targets[second].wait());
        if b < a { (b, second) } else { (a, first) }
    }

    /// Ejects a failing target, unless more than half of the service's targets fail or more than
    /// half of its targets in the availability zone would be ejected.
    fn maybe_eject(&mut self, now: Time, key: Key) {
        let target = &mut self.targets[key];
        let probed = matches!(target.health.state(), State::Probed(_));
        let failing = target.health.is_failing() || probed;
        if !failing || matches!(target.health.state(), State::Ejected(_)) {
            return;
        }
        let Some(group) = self.groups.get_mut(&target.info.service) else {
            return;
        };
        let Some(zone_counts) = group.zones.get_mut(&target.info.place.zone) else {
            return;
        };
        let too_many_failing = group.failing_count * 2 > group.known
            || (zone_counts.ejected + 1) * 2 > zone_counts.known;
        if too_many_failing {
            return;
        }
        target.health.eject(now);
        zone_counts.ejected += 1;
        group.ejected.push(key);
    }

    /// Skips a target that refused as leaving, because its announcement may have been lost.
    fn suspend_refusing(&mut self, now: Time, key: Key) {
        if let Some(target) = self.targets.get_mut(key)
            && !target.refuses
        {
            target.refuses = true;
            self.refusing.push_back((now + REFUSAL_PERIOD, key));
        }
    }

    /// Stops skipping the targets whose period has ended, and returns them.
    fn resume_refusing(&mut self, now: Time) -> Vec<Key> {
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

    /// Adds the target to the open and available sets of its tier, or removes it, to match its
    /// state.
    fn update_sets(&mut self, key: Key) {
        let target = &self.targets[key];
        let (open, available) = (target.is_open(), target.has_room());
        if open == target.open.is_some() && available == target.available.is_some() {
            return;
        }
        let Some(group) = self.groups.get_mut(&target.info.service) else {
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
        let position = self.targets[key].available;
        match (available, position) {
            (true, None) => self.targets[key].available = Some(tier.available.add(key)),
            (false, Some(position)) => {
                self.targets[key].available = None;
                if let Some(moved) = tier.available.remove(position) {
                    self.targets[moved].available = Some(position);
                }
            }
            _ => {}
        }
    }
}

impl Target {
    /// Returns the requests known to run or wait at the target.
    fn load(&self) -> u32 {
        self.own_requests + self.other_requests
    }

    fn wait(&self) -> Duration {
        self.info.load.wait.into()
    }

    fn is_open(&self) -> bool {
        self.info.open && !self.refuses && self.health.state() == State::Active
    }

    fn has_room(&self) -> bool {
        self.info.open && !self.refuses && self.load() < self.request_limit()
    }

    /// Returns the largest number of requests that the target may have at once.
    fn request_limit(&self) -> u32 {
        match self.health.state() {
            State::Active => self.slow_start_slots(),
            State::Probed(_) => 1,
            State::Ejected(_) => 0,
        }
    }

    fn slow_start_slots(&self) -> u32 {
        let uptime = self.info.load.uptime.0;
        let full = u64::try_from(SLOW_START.as_millis()).unwrap_or(u64::MAX);
        let slots = self.info.slots.0;
        if uptime >= full {
            return slots;
        }
        let part = u64::from(slots) * uptime / full;
        u32::try_from(part).unwrap_or(slots).max(1)
    }

    /// Updates the load from a report; older and duplicate reports are ignored.
    fn update_load(&mut self, now: Time, load: Load) {
        if load.number <= self.info.load.number {
            return;
        }
        self.other_requests = (load.running + load.waiting).saturating_sub(self.own_requests);
        self.reported_at = now;
        self.info.load = load;
    }
}
