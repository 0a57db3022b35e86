//! The thread that writes claims of idempotency keys to the table, in batches.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use super::{Shared, table};
use crate::claim::{self, Claim, ClaimWrite, MAX_BATCH_LEN, Phase, Verdict};
use crate::store::{self, Error, Outcome, Write};
use crate::unit::Version;

/// Time for which claims are collected for one batch.
const BATCH_WINDOW: Duration = Duration::from_millis(4);
/// Bound on the writes kept for a retry. Further ones are dropped.
const MAX_UNSETTLED: usize = 1_024;
/// Longest wait for a claim before the stop flag is checked and unsettled writes are retried.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A queued write of a claim.
#[derive(Debug)]
pub struct PendingClaim {
    /// The row to write.
    pub claim_write: ClaimWrite,
    /// Receives the verdict; `None` if no request waits for it.
    pub reply: Option<Sender<Verdict>>,
}

/// Writes claims until the process stops.
pub fn run(shared: &Arc<Shared>, queue: &Receiver<PendingClaim>) {
    let mut unsettled = Vec::new();
    while !shared.is_stopping() {
        match queue.recv_timeout(POLL_INTERVAL) {
            Ok(first) => write_batch(shared, collect(first, queue, &mut unsettled), &mut unsettled),
            Err(RecvTimeoutError::Timeout) => retry_unsettled(shared, &mut unsettled),
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
    unsettled.extend(queue.try_iter().map(|pending| pending.claim_write));
    retry_unsettled(shared, &mut unsettled);
}

/// Writes a batch and sends the verdicts.
fn write_batch(shared: &Shared, batch: Vec<PendingClaim>, unsettled: &mut Vec<ClaimWrite>) {
    let claim_writes: Vec<ClaimWrite> =
        batch.iter().map(|pending| pending.claim_write.clone()).collect();
    let verdicts =
        claim::commit_all(&claim_writes, &mut |claim_writes| commit(shared, claim_writes));
    for (pending, verdict) in batch.into_iter().zip(verdicts) {
        if verdict == Verdict::Indeterminate {
            push_unsettled(unsettled, pending.claim_write.clone());
        }
        let Some(reply) = pending.reply else {
            continue;
        };
        // The request gave up waiting and does not run, so its key is released.
        if reply.send(verdict).is_err() && verdict == Verdict::Written {
            push_unsettled(unsettled, release_write(shared, &pending.claim_write));
        }
    }
}

/// Retries the writes whose verdict was indeterminate. Releases an open claim that turns out to be
/// written, because its request was refused and does not run.
fn retry_unsettled(shared: &Shared, unsettled: &mut Vec<ClaimWrite>) {
    let claim_writes = std::mem::take(unsettled);
    let verdicts =
        claim::commit_all(&claim_writes, &mut |claim_writes| commit(shared, claim_writes));
    for (claim_write, verdict) in claim_writes.into_iter().zip(verdicts) {
        match verdict {
            Verdict::Indeterminate => push_unsettled(unsettled, claim_write),
            Verdict::Written if claim_write.claim.phase == Phase::Open => {
                push_unsettled(unsettled, release_write(shared, &claim_write));
            }
            Verdict::Written | Verdict::Lost => {}
        }
    }
}

fn push_unsettled(unsettled: &mut Vec<ClaimWrite>, claim_write: ClaimWrite) {
    if unsettled.len() < MAX_UNSETTLED {
        unsettled.push(claim_write);
    }
}

fn release_write(shared: &Shared, claim_write: &ClaimWrite) -> ClaimWrite {
    let claim = Claim { phase: Phase::Free, ..claim_write.claim.clone() };
    let (key, expected) = (claim_write.key.clone(), claim_write.expected.next());
    ClaimWrite { key, expected, mutation: table::new_mutation(shared), claim }
}

/// Reads the claim in the row of a key, with the version of the row.
///
/// # Errors
///
/// Returns [`Error`] if the table service is unavailable or the row is malformed.
pub fn read(shared: &Shared, key: &str) -> Result<Option<(Version, Claim)>, Error> {
    let Some(row) = (shared.table.calls.read)(key)? else {
        return Ok(None);
    };
    let claim = serde_json::from_value(row.value).map_err(|_| Error::Malformed)?;
    Ok(Some((row.version, claim)))
}

/// Collects one batch, with each key at most once. A further write of the same key loses if a
/// request waits for it, and is kept for a retry otherwise.
fn collect(
    first: PendingClaim,
    queue: &Receiver<PendingClaim>,
    unsettled: &mut Vec<ClaimWrite>,
) -> Vec<PendingClaim> {
    let begin = Instant::now();
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH_LEN {
        let Ok(pending) = queue.recv_timeout(BATCH_WINDOW.saturating_sub(begin.elapsed())) else {
            return batch;
        };
        if batch.iter().any(|other| other.claim_write.key == pending.claim_write.key) {
            match pending.reply {
                Some(reply) => drop(reply.send(Verdict::Lost)),
                None => push_unsettled(unsettled, pending.claim_write),
            }
            continue;
        }
        batch.push(pending);
    }
    batch
}

fn commit(shared: &Shared, claim_writes: &[ClaimWrite]) -> Verdict {
    let mut writes = Vec::with_capacity(claim_writes.len());
    for claim_write in claim_writes {
        let Ok(value) = serde_json::to_value(&claim_write.claim) else {
            return Verdict::Indeterminate;
        };
        let (key, expected, mutation) =
            (claim_write.key.clone(), claim_write.expected, claim_write.mutation);
        writes.push(Write { key, expected, mutation, value });
    }
    match store::commit(&shared.table.calls, &writes) {
        Ok(Outcome::Applied) => Verdict::Written,
        // Only its owner overwrites an open claim, so an overtaken write never held the claim.
        Ok(Outcome::Refused | Outcome::Overtaken) => Verdict::Lost,
        Err(_) => Verdict::Indeterminate,
    }
}
