//! Follows the operators' configuration, and verifies at intervals that none is newer.
//!
//! A watch returns changes at once, but may miss some for a while. A configuration has no limit of
//! its size, so what is done at intervals must not transfer a large one.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::{RETRY_PAUSE, Shared, clock};
use crate::cell::table::{
    self, Batch, CALL_TIMEOUT, Condition, Error, Feed, Outcome, Row, Snapshot, Table,
};
use crate::unit::{Time, Version};
use crate::{log, warn};

/// Key of the configuration in the operators' table.
const CONFIG_KEY: &str = "config";
/// Maximum wait for a change, after which the configuration is verified.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// Size of the row in bytes up to which it is read to verify it, since the store serves reads in
/// parallel. A larger one is verified by a condition on its version.
const MAX_READ_BYTES: usize = 32 << 10;
/// Duration of a condition from which on the store counts as slow. It applies transactions one
/// after the other, and those of all entries would delay the operators' own.
const SLOW_CONDITION: Duration = Duration::from_millis(250);
/// Time for which reads replace conditions after one that failed or was slow.
const CONDITION_PAUSE: Duration = Duration::from_secs(10);

/// A call that returned the configuration.
#[derive(Debug, Clone, Copy)]
struct Call {
    sent: Time,
    /// Whether no newer configuration existed when it was sent. A watch may be behind.
    is_proof: bool,
}

/// The newest row of the configuration that is known.
#[derive(Debug, Default)]
struct Known {
    /// Version of the row; 0 before the first.
    version: Version,
    /// Size of its value in bytes.
    bytes: usize,
    /// Until when conditions are not used.
    no_conditions_until: Time,
}

impl Known {
    fn prefers_condition(&self, now: Time) -> bool {
        self.bytes > MAX_READ_BYTES && now >= self.no_conditions_until
    }
}

/// Runs until the process ends.
pub(super) fn run(shared: &Arc<Shared>) {
    let mut after = None;
    let mut known = Known::default();
    loop {
        if let Some(version) = after {
            let sent = clock::now();
            match (shared.store.watch)(Table::Operator, Feed::default(), version, WATCH_WAIT) {
                Ok(Snapshot { rows, version: newest, .. }) => {
                    after = Some(newest.max(version));
                    let call = Call { sent, is_proof: false };
                    apply_newest(shared, &rows, &mut known, call);
                }
                Err(Error::Compacted) => after = None,
                Err(_) => thread::sleep(RETRY_PAUSE),
            }
        }
        match verify(shared, &mut known, after) {
            Ok(version) => after = Some(version),
            Err(error) => {
                let age = shared.lock().access.age(clock::now());
                warn!(
                    StoreFailed,
                    "call=config error=\"{error}\" proof_age_ms={} bytes={}",
                    age.as_millis(),
                    known.bytes
                );
                thread::sleep(RETRY_PAUSE);
            }
        }
    }
}

/// Verifies that the known configuration is the newest, or applies a newer one. Returns the version
/// from which the next watch starts: `after`, or that of the store if there is none.
fn verify(shared: &Shared, known: &mut Known, after: Option<Version>) -> Result<Version, Error> {
    let now = clock::now();
    if let Some(after) = after.filter(|_| known.prefers_condition(now)) {
        match check_version(shared, known) {
            Ok(()) => return Ok(after),
            Err(error) => {
                known.no_conditions_until = clock::now() + CONDITION_PAUSE;
                // Without an answer to a small call, a large one has no better chance.
                if error == Error::NoAnswer {
                    return Err(error);
                }
            }
        }
    }
    let call = Call { sent: clock::now(), is_proof: true };
    let end = table::next_key(CONFIG_KEY);
    let read = (shared.store.scan)(Table::Operator, CONFIG_KEY, &end, CALL_TIMEOUT)?;
    apply_newest(shared, &read.rows, known, call);
    Ok(after.unwrap_or(read.version))
}

/// Verifies the configuration by a transaction that only has a condition on the row's version. If
/// the condition fails, the answer has the newer row.
fn check_version(shared: &Shared, known: &mut Known) -> Result<(), Error> {
    let call = Call { sent: clock::now(), is_proof: true };
    let condition =
        Condition { table: Table::Operator, key: CONFIG_KEY.to_owned(), version: known.version };
    let batch = Batch { conditions: vec![condition], writes: Vec::new() };
    match (shared.store.commit)(&batch, CALL_TIMEOUT)? {
        Outcome::Applied(_) => {
            shared.lock().access.confirm_unchanged(call.sent);
            let now = clock::now();
            if now.since(call.sent) >= SLOW_CONDITION {
                known.no_conditions_until = now + CONDITION_PAUSE;
            }
        }
        Outcome::Refused(rows) => apply_newest(shared, &rows, known, call),
    }
    Ok(())
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
