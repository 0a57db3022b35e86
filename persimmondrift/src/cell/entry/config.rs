//! Follows the operators' configuration, and verifies at intervals that none is newer.
//!
//! A watch returns changes at once, but may miss some for a while. A configuration has no limit of
//! its size, so what is done at intervals must not transfer a large one.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::{Shared, clock};
use crate::cell::agent::log_zone;
use crate::cell::evacuation::{Change, Zones};
use crate::cell::table::{
    self, Batch, CALL_TIMEOUT, Condition, Error, Feed, Outcome, Row, Snapshot, Table,
};
use crate::unit::{Time, Version};
use crate::{log, metric, warn};

/// Key of the configuration in the operators' table.
const CONFIG_KEY: &str = "config";
/// First part of the keys of evacuated zones in the operators' table; the zone's name follows.
pub(in crate::cell) const EVACUATION_PREFIX: &str = "evacuate/";
/// End of the keys of evacuated zones, excluded. It follows that of the configuration, so one read
/// returns both.
const EVACUATION_END: &str = "evacuate0";
/// Time between two verifications, for which changes are watched.
const INTERVAL: Duration = Duration::from_millis(1_200);
/// Pause after a verification that failed. The next one does not wait for a watch, since callers are
/// refused soon without one.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// Size of the row in bytes up to which it is read to verify it, since the store serves reads in
/// parallel. A larger one is verified by a condition on its version.
const MAX_READ_BYTES: usize = 32 << 10;
/// Duration of a condition from which on the store counts as slow. It applies transactions one
/// after the other, and those of all entries would delay the operators' own.
const SLOW_CONDITION: Duration = Duration::from_millis(250);
/// Time between two verifications while the store is slow.
const SLOW_INTERVAL: Duration = Duration::from_millis(2_200);
/// Time for which reads replace conditions after the store has rejected one.
const REJECTION_PAUSE: Duration = Duration::from_secs(10);

/// A call that returned the configuration.
#[derive(Debug, Clone, Copy)]
struct Call {
    sent: Time,
    /// Whether no newer configuration existed when it was sent. A watch may be behind.
    is_proof: bool,
}

/// The newest row of the configuration that is known, and how it is followed.
#[derive(Debug, Default)]
struct Known {
    /// Version of the row; 0 before the first.
    version: Version,
    /// Size of its value in bytes.
    bytes: usize,
    /// Version of the store up to which no change is missed; `None` if that is not known.
    complete_to: Option<Version>,
    /// Until when conditions are not used.
    no_conditions_until: Time,
}

impl Known {
    fn prefers_condition(&self, now: Time) -> bool {
        self.bytes > MAX_READ_BYTES && now >= self.no_conditions_until
    }

    fn advance(&mut self, version: Version) {
        self.complete_to = Some(self.complete_to.map_or(version, |known| known.max(version)));
    }
}

/// Runs until the process ends.
pub(super) fn run(shared: &Arc<Shared>) {
    let mut known = Known::default();
    loop {
        let begin = clock::now();
        let interval = match verify(shared, &mut known) {
            Ok(interval) => interval,
            Err(error) => {
                let age = shared.lock().access.age(clock::now());
                warn!(
                    StoreFailed,
                    "call=config error=\"{error}\" proof_age_ms={} bytes={}",
                    age.as_millis(),
                    known.bytes
                );
                thread::sleep(FAILURE_PAUSE);
                continue;
            }
        };
        watch_until(shared, &mut known, begin + interval);
    }
}

/// Applies changes of the configuration until a time.
fn watch_until(shared: &Shared, known: &mut Known, until: Time) {
    loop {
        let call = Call { sent: clock::now(), is_proof: false };
        let left = until.since(call.sent);
        if left.is_zero() {
            return;
        }
        let Some(after) = known.complete_to else {
            thread::sleep(left);
            return;
        };
        match (shared.store.watch)(Table::Operator, Feed::default(), after, left) {
            Ok(Snapshot { rows, version, .. }) => {
                known.advance(version);
                apply_newest(shared, &rows, known, call);
                apply_zones(shared, |zones| zones.apply(EVACUATION_PREFIX, &rows));
            }
            Err(Error::Compacted) => known.complete_to = None,
            // The verification that follows shows whether other calls fail, too.
            Err(_) => thread::sleep(FAILURE_PAUSE.min(until.since(clock::now()))),
        }
    }
}

/// Verifies that the known configuration is the newest, or applies a newer one. Returns the
/// time until the next verification.
fn verify(shared: &Shared, known: &mut Known) -> Result<Duration, Error> {
    if known.prefers_condition(clock::now()) {
        match check_version(shared, known) {
            Ok(interval) => {
                if let Err(error) = read_zones(shared) {
                    // Not repeated at once, since the condition would be, too. Agents do not rely on it.
                    warn!(StoreFailed, "call=zones error=\"{error}\"");
                }
                return Ok(interval);
            }
            // A small call without an answer is soonest answered if it is sent again.
            Err(Error::NoAnswer) => return Err(Error::NoAnswer),
            Err(Error::NotDone) => {}
            Err(_) => known.no_conditions_until = clock::now() + REJECTION_PAUSE,
        }
    }
    let call = Call { sent: clock::now(), is_proof: true };
    let end = match shared.settings.evacuate_within {
        Some(_) => EVACUATION_END.to_owned(),
        None => table::next_key(CONFIG_KEY),
    };
    let read = (shared.store.scan)(Table::Operator, CONFIG_KEY, &end, CALL_TIMEOUT)?;
    known.advance(read.version);
    apply_newest(shared, &read.rows, known, call);
    apply_zones(shared, |zones| zones.reset(EVACUATION_PREFIX, &read));
    Ok(INTERVAL)
}

/// Reads which zones are evacuated, if zones are evacuated at all.
///
/// # Errors
///
/// Returns [`Error`] if the store could not be read.
pub(super) fn read_zones(shared: &Shared) -> Result<(), Error> {
    if shared.settings.evacuate_within.is_none() {
        return Ok(());
    }
    let read =
        (shared.store.scan)(Table::Operator, EVACUATION_PREFIX, EVACUATION_END, CALL_TIMEOUT)?;
    apply_zones(shared, |zones| zones.reset(EVACUATION_PREFIX, &read));
    Ok(())
}

/// Applies changes of the evacuated zones, and wakes the planner if there are any.
fn apply_zones(shared: &Shared, update: impl FnOnce(&mut Zones) -> Vec<Change>) {
    if shared.settings.evacuate_within.is_none() {
        return;
    }
    let mut state = shared.lock();
    let changes = update(Arc::make_mut(&mut state.zones));
    if changes.is_empty() {
        return;
    }
    state.changes += 1;
    metric::set_evacuated_zones(state.zones.evacuated().count());
    drop(state);
    for Change { zone, version, evacuated } in changes {
        log_zone(&zone, version, evacuated);
    }
    shared.changed.notify_all();
}

/// Verifies the configuration by a transaction that only has a condition on the row's version. If
/// the condition fails, the answer has the newer row.
fn check_version(shared: &Shared, known: &mut Known) -> Result<Duration, Error> {
    let call = Call { sent: clock::now(), is_proof: true };
    let condition =
        Condition { table: Table::Operator, key: CONFIG_KEY.to_owned(), version: known.version };
    let batch = Batch { conditions: vec![condition], writes: Vec::new() };
    match (shared.store.commit)(&batch, CALL_TIMEOUT)? {
        Outcome::Applied(version) => {
            known.advance(version);
            shared.lock().access.confirm_unchanged(call.sent);
        }
        Outcome::Refused(rows) => {
            apply_newest(shared, &rows, known, call);
            known.advance(known.version);
            return Ok(INTERVAL);
        }
    }
    let is_slow = clock::now().since(call.sent) >= SLOW_CONDITION;
    Ok(if is_slow { SLOW_INTERVAL } else { INTERVAL })
}

/// Applies the newest configuration among the rows that a call returned.
fn apply_newest(shared: &Shared, rows: &[Row], known: &mut Known, call: Call) {
    let of_config = rows.iter().filter(|row| row.key == CONFIG_KEY && row.value.is_some());
    if let Some(row) = of_config.max_by_key(|row| row.version) {
        apply(shared, row, known, call);
    }
}

fn apply(shared: &Shared, row: &Row, known: &mut Known, call: Call) {
    let proven_at = if call.is_proof { call.sent } else { Time(0) };
    if row.version <= known.version {
        if row.version == known.version {
            shared.lock().access.confirm_unchanged(proven_at);
        }
        return;
    }
    let value = row.value.as_deref().unwrap_or_default();
    let Some(config) = (shared.decode)(value) else {
        warn!(RowRefused, "key=config version={} malformed", row.version);
        return;
    };
    (known.version, known.bytes) = (row.version, value.len());
    let config = Arc::new(config);
    let took = clock::now().since(call.sent);
    let mut state = shared.lock();
    if state.access.update(&config, proven_at) {
        log!(
            InForce,
            "config={} row={} bytes={} took_ms={}",
            config.version,
            row.version,
            known.bytes,
            took.as_millis()
        );
        state.changes += 1;
        drop(state);
        shared.changed.notify_all();
    }
}
