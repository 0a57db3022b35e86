//! Evacuation of availability zones: which zones operators have asked to evacuate, whether an agent may
//! start something, what is moved, and how a zone returns to service.
//!
//! The load that it answers: an operator evacuates a zone while the planner is lost, the agent is cut off
//! from the store, or an order arrives late. What a planner knows may be out of date, so each agent also
//! needs a recent read of its own before it starts anything. Much work may run in the zone, and much may
//! wait when it returns, so runs move by and by, and each worker of a returned zone first starts one run a
//! round.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::job::{Group, Resources, Task};
use super::table::{Row, Snapshot};
use crate::unit::{Time, Version};

/// Part of the bound that is left for a start that is already being sent, and for the path to the worker.
const START_MARGIN: Duration = Duration::from_secs(2);
/// Lower bound of the maximum age of a proof. A read across regions takes 70 ms, and several hundred at a
/// slow store.
const MIN_PROOF_AGE: Duration = Duration::from_millis(500);
/// Part of the maximum age of a proof after which it is renewed.
const RENEWAL_DIVISOR: u32 = 2;
/// Pause after a read that failed.
const READ_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a start is prepared while a read is in flight.
pub const PREPARE_WAIT: Duration = Duration::from_millis(300);
/// Time for which starts wait for a proof before they are returned to the planner.
const PROOF_WAIT: Duration = Duration::from_millis(1_500);
/// Shortest time between two returns of starts from an evacuated zone, so that a planner that does not
/// know of the evacuation yet does not order them again at once. It learns of it within two seconds.
const RETURN_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of tasks and gangs that are moved in a round. A stop takes up to a second, and what has
/// moved competes with what waits.
const MAX_MOVES: usize = 4;
/// Time after a zone's return to service for which the starts in it are limited: as long as a planner at
/// the other side of a slow store needs for a few rounds.
pub const RETURN_PERIOD: Duration = Duration::from_secs(5);

/// A change of a zone's evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Name of the zone.
    pub zone: String,
    /// Version of the operators' row, or at which it is known to be removed.
    pub version: Version,
    /// Whether the zone is evacuated from now on.
    pub evacuated: bool,
}

/// What is known of the operators' row of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Known {
    version: Version,
    exists: bool,
}

/// The zones that operators have asked to evacuate, by the newest known version of each row.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Zones {
    known: BTreeMap<String, Known>,
}

impl Zones {
    /// Applies rows, given with the prefix of their keys; others are ignored. A removed row returns its
    /// zone to service. Only the key counts, so a malformed value evacuates the zone, too.
    pub fn apply(&mut self, prefix: &str, rows: &[Row]) -> Vec<Change> {
        let changes = rows.iter().filter_map(|row| {
            let zone = row.key.strip_prefix(prefix).filter(|zone| !zone.is_empty())?;
            self.set(zone, Known { version: row.version, exists: row.value.is_some() })
        });
        changes.collect()
    }

    /// Applies a read of all rows with a prefix. Rows that are not in it were removed.
    pub fn reset(&mut self, prefix: &str, snapshot: &Snapshot) -> Vec<Change> {
        let is_listed =
            |zone: &str| snapshot.rows.iter().any(|row| row.key.strip_prefix(prefix) == Some(zone));
        let removed: Vec<String> = self
            .evacuated()
            .map(|(zone, _)| zone)
            .filter(|zone| !is_listed(zone))
            .map(str::to_owned)
            .collect();
        let version = snapshot.version;
        let mut changes: Vec<Change> = removed
            .iter()
            .filter_map(|zone| self.set(zone, Known { version, exists: false }))
            .collect();
        changes.extend(self.apply(prefix, &snapshot.rows));
        changes
    }

    /// Returns the version of the row that evacuates a zone; `None` if the zone is in service.
    #[must_use]
    pub fn request(&self, zone: &str) -> Option<Version> {
        self.known.get(zone).filter(|known| known.exists).map(|known| known.version)
    }

    /// Returns the evacuated zones and the versions of their rows.
    pub fn evacuated(&self) -> impl Iterator<Item = (&str, Version)> {
        let existing = self.known.iter().filter(|(_, known)| known.exists);
        existing.map(|(zone, known)| (&**zone, known.version))
    }

    fn set(&mut self, zone: &str, new: Known) -> Option<Change> {
        let old = self.known.get(zone).copied();
        if old.is_some_and(|old| new.version <= old.version) {
            return None;
        }
        self.known.insert(zone.to_owned(), new);
        let was_evacuated = old.is_some_and(|old| old.exists);
        (was_evacuated != new.exists).then(|| Change {
            zone: zone.to_owned(),
            version: new.version,
            evacuated: new.exists,
        })
    }
}

/// The evacuated zones as a planner uses them.
#[derive(Debug, Clone, Copy)]
pub struct Evacuation<'a> {
    /// The evacuated zones.
    pub zones: &'a Zones,
    /// Time within which a zone has to be free of new starts.
    pub within: Duration,
}

/// Whether an agent may start what it has orders for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Start,
    /// A read is in flight or due, so the start may be prepared and has to wait before it is sent.
    Prepare,
    /// It may not, for now.
    Wait,
    /// It may not, and the starts are to be returned to the planner.
    Return,
}

/// The newest answer about the agent's own zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Answer {
    /// When the read was sent.
    sent: Time,
    /// Version of the store that it shows.
    version: Version,
    /// Version of the row that evacuates the zone, if there is one.
    request: Option<Version>,
}

/// An agent's proof that its zone is not evacuated: a read of its own that was sent recently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Clearance {
    max_age: Duration,
    answer: Option<Answer>,
    /// When the read was sent that is in flight.
    in_flight: Option<Time>,
    /// Earliest time of the next read.
    not_before: Time,
    /// Whether starts have relied on a proof that is to be renewed.
    is_renewal_due: bool,
    /// Since when starts have waited.
    blocked_since: Option<Time>,
    /// When starts were last returned to the planner.
    returned: Option<Time>,
}

impl Clearance {
    /// Creates the state of an agent without a proof. No start may happen later than `within` after an
    /// evacuation was requested.
    #[must_use]
    pub fn new(within: Duration) -> Self {
        Self {
            max_age: within.saturating_sub(START_MARGIN).max(MIN_PROOF_AGE).min(within),
            answer: None,
            in_flight: None,
            not_before: Time(0),
            is_renewal_due: false,
            blocked_since: None,
            returned: None,
        }
    }

    /// Returns the longest time since a read was sent for which it is a proof.
    #[must_use]
    pub fn max_age(&self) -> Duration {
        self.max_age
    }

    /// Returns the time since the newest answered read was sent; `None` before the first.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.answer.map(|answer| now.since(answer.sent))
    }

    /// Returns the version of the row that evacuates the zone, as far as is known.
    #[must_use]
    pub fn request(&self) -> Option<Version> {
        self.answer?.request
    }

    /// Returns whether a start may be sent now.
    #[must_use]
    pub fn allows_start(&self, now: Time) -> bool {
        self.request().is_none() && self.age(now).is_some_and(|age| age <= self.max_age)
    }

    /// Returns whether a read is due, given whether the agent has orders to start. An idle agent needs
    /// none.
    #[must_use]
    pub fn needs_read(&self, now: Time, has_starts: bool) -> bool {
        (has_starts || self.is_renewal_due) && self.may_read(now)
    }

    /// Returns whether a start that is prepared may soon be sent: a read is due, or has been in flight for
    /// a short time.
    #[must_use]
    pub fn is_awaited(&self, now: Time) -> bool {
        let is_young = |sent: Time| now.since(sent) < PREPARE_WAIT;
        self.request().is_none() && self.in_flight.map_or_else(|| self.may_read(now), is_young)
    }

    /// Returns whether the newest answer is old enough for a read, and none is in flight.
    fn may_read(&self, now: Time) -> bool {
        self.in_flight.is_none() && now >= self.not_before && !self.is_fresh(now)
    }

    /// Returns whether the newest answer is not to be renewed yet.
    fn is_fresh(&self, now: Time) -> bool {
        self.age(now).is_some_and(|age| age <= self.max_age / RENEWAL_DIVISOR)
    }

    /// Records that a read is sent.
    pub fn read_sent(&mut self, now: Time) {
        self.in_flight = Some(now);
        self.is_renewal_due = false;
    }

    /// Records that a read got no answer.
    pub fn read_failed(&mut self, now: Time) {
        self.in_flight = None;
        self.not_before = now + READ_PAUSE;
    }

    /// Applies the answer to a read that was sent at `sent`: the store's version, and that of the row that
    /// evacuates the zone, if there is one. An answer from before a known request is ignored. Returns
    /// whether the zone's evacuation has begun or ended.
    pub fn read_answered(
        &mut self,
        sent: Time,
        version: Version,
        request: Option<Version>,
    ) -> bool {
        self.in_flight = None;
        let known = self.answer;
        if known.is_some_and(|known| {
            sent < known.sent || known.request.is_some_and(|request| version < request)
        }) {
            return false;
        }
        self.answer = Some(Answer { sent, version, request });
        known.and_then(|known| known.request).is_some() != request.is_some()
    }

    /// Records that the agent has nothing to start.
    pub fn record_idle(&mut self) {
        self.blocked_since = None;
    }

    /// Returns whether what the agent has orders for may be started now.
    pub fn check(&mut self, now: Time) -> Verdict {
        if self.allows_start(now) {
            self.blocked_since = None;
            self.is_renewal_due |= self.may_read(now);
            return Verdict::Start;
        }
        let since = *self.blocked_since.get_or_insert(now);
        // After a return to service, an old answer still shows the request.
        let is_evacuated = self.request().is_some() && self.is_fresh(now);
        let is_due = if is_evacuated {
            self.returned.is_none_or(|at| now.since(at) >= RETURN_INTERVAL)
        } else {
            now.since(since) >= PROOF_WAIT
        };
        if is_due {
            (self.blocked_since, self.returned) = (None, Some(now));
            return Verdict::Return;
        }
        if self.is_awaited(now) { Verdict::Prepare } else { Verdict::Wait }
    }
}

/// Running work that may be moved out of an evacuated zone: a task, or a whole gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The task, or the first member of the gang.
    pub task: Task,
    /// Number of runs that move.
    pub runs: u32,
    /// Whether it does not end within the time for the evacuation.
    pub is_long: bool,
    /// Whether only one task of its group may be moved at a time.
    pub single: bool,
    /// Cost of its stop, in core-milliseconds.
    pub loss: u64,
    /// Zones of the runs.
    pub zones: BTreeSet<String>,
}

impl Candidate {
    /// Returns the candidate for a gang with these members; `None` if it ends in time.
    #[must_use]
    pub fn gang(members: Vec<Self>) -> Option<Self> {
        let is_long = members.iter().any(|member| member.is_long);
        let runs = u32::try_from(members.len()).unwrap_or(u32::MAX);
        // The cost of a member is that of the whole gang.
        let loss = members.iter().map(|member| member.loss).max()?;
        let zones = members.iter().flat_map(|member| member.zones.iter().cloned()).collect();
        let first = members.into_iter().next().filter(|_| is_long)?;
        Some(Self { runs, loss, zones, ..first })
    }
}

/// Chooses what is moved in a round: what loses least first, as far as there is room. `take` takes the room
/// of a candidate and returns whether there was enough.
pub fn choose_moves(
    mut candidates: Vec<Candidate>,
    mut take: impl FnMut(&Candidate) -> bool,
) -> Vec<Candidate> {
    candidates.sort_by_key(|candidate| (candidate.loss, candidate.task));
    let mut singles: BTreeSet<Group> = BTreeSet::new();
    let mut moved = Vec::new();
    for candidate in candidates {
        if moved.len() >= MAX_MOVES {
            break;
        }
        let group = candidate.task.group();
        let is_barred = candidate.single && singles.contains(&group);
        if !is_barred && take(&candidate) {
            if candidate.single {
                singles.insert(group);
            }
            moved.push(candidate);
        }
    }
    moved
}

/// Limits the starts of a round on the workers of a zone that was returned to service, by slot.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pacing {
    /// Starts that are left for each worker; `None` if they are not limited.
    left: Vec<Option<u32>>,
}

impl Pacing {
    /// Adds a worker. One whose zone was returned a short time ago starts one run a round, so that the zone
    /// starts no more than it has workers.
    pub fn add_slot(&mut self, has_returned: bool) {
        self.left.push(has_returned.then_some(1));
    }

    /// Returns whether a worker may start a number of runs.
    #[must_use]
    pub fn allows(&self, slot: usize, count: u32) -> bool {
        self.left[slot].is_none_or(|left| count <= left)
    }

    /// Returns how much of the free resources of a worker may be used for runs that need `need` each.
    #[must_use]
    pub fn usable(&self, slot: usize, free: Resources, need: Resources) -> Resources {
        match self.left[slot] {
            Some(left) => need.times(left.min(free.count(need))),
            None => free,
        }
    }

    /// Records that runs are started on a worker.
    pub fn record(&mut self, slot: usize, count: u32) {
        if let Some(left) = &mut self.left[slot] {
            *left = left.saturating_sub(count);
        }
    }
}
