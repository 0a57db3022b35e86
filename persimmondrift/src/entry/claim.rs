//! Writes callers' claims to the table, in batches, on a thread of their own.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use super::{Shared, table};
use crate::claim::{self, Claim, ClaimWrite, Phase, Verdict};
use crate::store::{self, Error, Outcome, Write};
use crate::unit::Version;

/// Time in which claims are collected for one batch.
const COLLECT: Duration = Duration::from_millis(4);
/// Most claims of one batch.
const BATCH: usize = 64;
/// Most writes that wait for the table service to be back.
const UNSETTLED: usize = 1_024;
/// Time a receive call waits before it looks whether the process stops.
const POLL: Duration = Duration::from_millis(100);

/// A wish, and who is told its verdict.
#[derive(Debug)]
pub struct Order {
    /// What is to be written.
    pub wish: ClaimWrite,
    /// Takes the verdict, if somebody waits for it.
    pub told: Option<Sender<Verdict>>,
}

/// Writes claims until the process stops.
pub fn run(shared: &Arc<Shared>, orders: &Receiver<Order>) {
    let mut unsettled = Vec::new();
    while !shared.stops() {
        match orders.recv_timeout(POLL) {
            Ok(first) => write(shared, collect(first, orders, &mut unsettled), &mut unsettled),
            Err(RecvTimeoutError::Timeout) => settle(shared, &mut unsettled),
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
    unsettled.extend(orders.try_iter().map(|order| order.wish));
    settle(shared, &mut unsettled);
}

/// Writes a batch and tells the verdicts.
fn write(shared: &Shared, batch: Vec<Order>, unsettled: &mut Vec<ClaimWrite>) {
    let wishes: Vec<ClaimWrite> = batch.iter().map(|order| order.wish.clone()).collect();
    let verdicts = claim::commit_all(&wishes, &mut |wishes| commit(shared, wishes));
    for (order, verdict) in batch.into_iter().zip(verdicts) {
        if verdict == Verdict::Indeterminate {
            keep(unsettled, order.wish.clone());
        }
        let Some(told) = order.told else {
            continue;
        };
        // Whoever has given up does not run.
        if told.send(verdict).is_err() && verdict == Verdict::Written {
            keep(unsettled, free(shared, &order.wish));
        }
    }
}

/// Tries again what could not be written. A claim that turns out to be written is set free:
/// its request was told that it did not run.
fn settle(shared: &Shared, unsettled: &mut Vec<ClaimWrite>) {
    let wishes = std::mem::take(unsettled);
    let verdicts = claim::commit_all(&wishes, &mut |wishes| commit(shared, wishes));
    for (wish, verdict) in wishes.into_iter().zip(verdicts) {
        match verdict {
            Verdict::Indeterminate => keep(unsettled, wish),
            Verdict::Written if wish.claim.phase == Phase::Open => {
                keep(unsettled, free(shared, &wish));
            }
            Verdict::Written | Verdict::Lost => {}
        }
    }
}

fn keep(unsettled: &mut Vec<ClaimWrite>, wish: ClaimWrite) {
    if unsettled.len() < UNSETTLED {
        unsettled.push(wish);
    }
}

fn free(shared: &Shared, wish: &ClaimWrite) -> ClaimWrite {
    let claim = Claim { phase: Phase::Free, ..wish.claim.clone() };
    let (key, expected) = (wish.key.clone(), wish.expected.next());
    ClaimWrite { key, expected, mutation: table::mutation(shared), claim }
}

/// Reads the row of a key.
///
/// # Errors
///
/// Returns [`Error`] if the table service is away.
pub fn read(shared: &Shared, key: &str) -> Result<Option<(Version, Claim)>, Error> {
    let Some(row) = (shared.table.calls.read)(key)? else {
        return Ok(None);
    };
    let claim = serde_json::from_value(row.value).map_err(|_| Error::Malformed)?;
    Ok(Some((row.version, claim)))
}

/// Collects the orders of one batch; two of the same key go into different batches.
fn collect(first: Order, orders: &Receiver<Order>, unsettled: &mut Vec<ClaimWrite>) -> Vec<Order> {
    let begin = Instant::now();
    let mut batch = vec![first];
    while batch.len() < BATCH {
        let Ok(order) = orders.recv_timeout(COLLECT.saturating_sub(begin.elapsed())) else {
            return batch;
        };
        if batch.iter().any(|other| other.wish.key == order.wish.key) {
            match order.told {
                Some(told) => drop(told.send(Verdict::Lost)),
                None => keep(unsettled, order.wish),
            }
            continue;
        }
        batch.push(order);
    }
    batch
}

fn commit(shared: &Shared, wishes: &[ClaimWrite]) -> Verdict {
    let mut writes = Vec::with_capacity(wishes.len());
    for wish in wishes {
        let Ok(value) = serde_json::to_value(&wish.claim) else {
            return Verdict::Indeterminate;
        };
        let (key, expected, mutation) = (wish.key.clone(), wish.expected, wish.mutation);
        writes.push(Write { key, expected, mutation, value });
    }
    match store::commit(&shared.table.calls, &writes) {
        Ok(Outcome::Applied) => Verdict::Written,
        // Nobody but its owner writes over an open claim: who was overtaken was never first.
        Ok(Outcome::Refused | Outcome::Overtaken) => Verdict::Lost,
        Err(_) => Verdict::Indeterminate,
    }
}
