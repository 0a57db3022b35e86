//! The table rows of planner roles and of the attempts of jobs. A planner writes both rows in one
//! batch to record an attempt, which fences off planners that have lost the role.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Shared;
use super::role::{AttemptId, Recorded};
use super::table;
use crate::member::{Judgement, State};
use crate::store::{self, Error, Outcome, Row, Write};
use crate::unit::{Attempt, Boot, Epoch, Node, Time, Version, Zone};

/// Pause before the table is asked again for a role. It doubles with each failure.
const MIN_SEEK_PAUSE: Duration = Duration::from_millis(500);
/// Upper bound of the pause before the table is asked again for a role.
const MAX_SEEK_PAUSE: Duration = Duration::from_secs(8);
/// Doublings after which the pause has reached its upper bound.
const MAX_PAUSE_DOUBLINGS: u32 = 4;

/// The row of a zone's planner role. Recording an attempt writes this row too, so that a planner
/// that has lost the role cannot record one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The entry that plans the zone.
    pub holder: Node,
    /// The incarnation of the holder's process.
    pub boot: Boot,
    /// The epoch of the role, raised each time the role is taken.
    pub epoch: Epoch,
}

/// The row of a job, which holds its last recorded attempt.
#[derive(Debug, Serialize, Deserialize)]
struct AttemptRow {
    attempt: Attempt,
    zone: Zone,
    epoch: Epoch,
    nodes: Vec<Node>,
}

/// The last known holders of planner roles, and when to ask the table for a role.
#[derive(Debug, Default)]
pub struct RoleSeeker {
    zones: BTreeMap<Zone, ZoneSearch>,
}

#[derive(Debug, Default)]
struct ZoneSearch {
    pending: bool,
    ask_after: Time,
    failures: u32,
    holder: Option<(Node, Boot)>,
}

impl RoleSeeker {
    /// Returns whether to ask the table for a role now, and marks the question as pending if so.
    /// `alive` returns whether an incarnation of an entry is alive and serving.
    pub fn should_ask(
        &mut self,
        now: Time,
        zone: &Zone,
        alive: impl Fn(&Node, Boot) -> bool,
    ) -> bool {
        let search = self.zones.entry(zone.clone()).or_default();
        let held = search.holder.as_ref().is_some_and(|(node, boot)| alive(node, *boot));
        if search.pending || held || now < search.ask_after {
            return false;
        }
        search.pending = true;
        true
    }

    /// Records the holder that the table returned, or `None` if the call failed.
    pub fn record_answer(&mut self, now: Time, zone: &Zone, holder: Option<(Node, Boot)>) {
        let search = self.zones.entry(zone.clone()).or_default();
        search.pending = false;
        search.failures = if holder.is_some() { 0 } else { search.failures + 1 };
        let pause = MIN_SEEK_PAUSE * (1 << search.failures.min(MAX_PAUSE_DOUBLINGS));
        search.ask_after = now + MAX_SEEK_PAUSE.min(pause);
        search.holder = holder;
    }
}

/// Takes the planner role of a zone, unless its holder is alive and serving.
pub fn take_role(shared: &Shared, zone: &Zone) -> Result<(), Error> {
    let result = try_take(shared, zone);
    let now = shared.now();
    let holder = result.as_ref().ok().map(|lease| (lease.holder.clone(), lease.boot));
    shared.core().role_seeker.record_answer(now, zone, holder);
    let lease = result?;
    if lease.holder == shared.settings.node && lease.boot == shared.link.boot() {
        let effects = shared.core().role_taken(now, zone, lease.epoch);
        shared.perform(effects);
    }
    Ok(())
}

fn try_take(shared: &Shared, zone: &Zone) -> Result<Lease, Error> {
    let key = lease_key(zone);
    let row = (shared.table.calls.read)(&key)?;
    let (expected, epoch) = match &row {
        Some(row) => {
            let lease: Lease = decode(row)?;
            if holder_is_serving(shared, &lease) {
                return Ok(lease);
            }
            (row.version, lease.epoch.next())
        }
        None => (Version(0), Epoch(1)),
    };
    let (holder, boot) = (shared.settings.node.clone(), shared.link.boot());
    let lease = Lease { holder, boot, epoch };
    let write = make_write(shared, key, expected, &lease)?;
    if store::commit(&shared.table.calls, &[write])? != Outcome::Applied {
        return Ok(read_lease(shared, zone)?.1);
    }
    Ok(lease)
}

/// Returns whether the holder of a role is alive and serving.
fn holder_is_serving(shared: &Shared, lease: &Lease) -> bool {
    let core = shared.core();
    let member = core.entries.get(&lease.holder);
    member.is_some_and(|member| {
        let serving = member.payload.state == State::Serving;
        member.boot == lease.boot && member.judgement == Judgement::Alive && serving
    })
}

/// Reads whether this process still holds the planner role of a zone under an epoch, and reports
/// the result to the role.
pub fn check_role(shared: &Shared, zone: &Zone, epoch: Epoch, asked_at: Time) -> Result<(), Error> {
    let read = read_lease(shared, zone);
    let held = match &read {
        Ok((_, lease)) => Some(lease.epoch == epoch && lease.boot == shared.link.boot()),
        Err(_) => None,
    };
    shared.core().role_checked(zone, epoch, asked_at, held);
    read.map(drop)
}

/// Writes an attempt and reports the result to the planner.
pub fn record_attempt(
    shared: &Shared,
    zone: &Zone,
    epoch: Epoch,
    attempt_id: AttemptId,
    nodes: Vec<Node>,
) -> Result<(), Error> {
    let result = try_record(shared, zone, epoch, attempt_id, nodes);
    let recorded = result.as_ref().map_or(Recorded::Unwritten, Recorded::clone);
    let now = shared.now();
    let effects = shared.core().attempt_recorded(now, zone, epoch, attempt_id, recorded);
    shared.perform(effects);
    result.map(drop)
}

/// Writes an attempt on two conditions: this process holds the role under the epoch, and the
/// table has neither this attempt of the job nor a later one.
fn try_record(
    shared: &Shared,
    zone: &Zone,
    epoch: Epoch,
    attempt_id: AttemptId,
    nodes: Vec<Node>,
) -> Result<Recorded, Error> {
    let (held, lease) = read_lease(shared, zone)?;
    if lease.epoch != epoch || lease.boot != shared.link.boot() {
        return Ok(Recorded::Unwritten);
    }
    let key = format!("attempt/{:020}", attempt_id.job.0);
    let row = (shared.table.calls.read)(&key)?;
    let mut expected = Version(0);
    if let Some(row) = &row {
        let last: AttemptRow = decode(row)?;
        if last.attempt >= attempt_id.attempt {
            let (zone, attempt, nodes) = (last.zone, last.attempt, last.nodes);
            return Ok(Recorded::Superseded { zone, attempt, nodes });
        }
        expected = row.version;
    }
    let attempt_row = AttemptRow { attempt: attempt_id.attempt, zone: zone.clone(), epoch, nodes };
    let writes = [
        make_write(shared, key, expected, &attempt_row)?,
        make_write(shared, lease_key(zone), held, &lease)?,
    ];
    match store::commit(&shared.table.calls, &writes)? {
        Outcome::Applied => Ok(Recorded::Written),
        Outcome::Refused | Outcome::Overtaken => Ok(Recorded::Unwritten),
    }
}

fn read_lease(shared: &Shared, zone: &Zone) -> Result<(Version, Lease), Error> {
    let row = (shared.table.calls.read)(&lease_key(zone))?.ok_or(Error::Malformed)?;
    Ok((row.version, decode(&row)?))
}

fn lease_key(zone: &Zone) -> String {
    format!("lease/{zone}")
}

fn decode<T: for<'a> Deserialize<'a>>(row: &Row) -> Result<T, Error> {
    T::deserialize(&row.value).map_err(|_| Error::Malformed)
}

fn make_write(
    shared: &Shared,
    key: String,
    expected: Version,
    value: &impl Serialize,
) -> Result<Write, Error> {
    let value = serde_json::to_value(value).map_err(|_| Error::Malformed)?;
    Ok(Write { key, expected, mutation: table::new_mutation(shared), value })
}
