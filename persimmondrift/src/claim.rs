//! Claims of callers' idempotency keys, so that requests with the same key run at most once.
//!
//! Each key has a row in the table. The row is written before the request may run, and updated with
//! the outcome. Later requests with the same key, at any entry, get that outcome.

use serde::{Deserialize, Serialize};

use crate::admit::{Answer, Outcome};
use crate::unit::{Bytes, Mutation, Service, Version};

/// Largest response body that is stored for later requests with the same key.
pub const MAX_KEPT_BYTES: Bytes = Bytes(16 << 10);
/// Maximum number of claims in one batch.
pub const MAX_BATCH_LEN: usize = 64;
/// Prefix of the row keys in the table.
const PREFIX: &str = "claim/";

/// The value of the row of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the request; a request with another hash may not use the same key.
    pub digest: u64,
    /// Progress of the request.
    pub phase: Phase,
}

/// Progress of a request that has claimed its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The request may be running.
    Open,
    /// The request certainly did not run; the key may be claimed again.
    Free,
    /// The target answered.
    Answered(Answer),
    /// The target answered with a body larger than [`MAX_KEPT_BYTES`], which is not stored.
    Large,
    /// The request may have run, and its outcome will never be known.
    Unknown,
}

/// Next action for a request with a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Write the claim if the row still has this version; 0 if there is no row.
    Claim(Version),
    /// Return the stored answer to the earlier request.
    Replay(Answer),
    /// Wait for the outcome of the earlier request.
    Wait,
    /// Refuse the request, since the earlier one has run, may have run, or was another one.
    Refuse(Conflict),
}

/// Reason why a request with a key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Conflict {
    /// The key was used for another request.
    #[error("the key was used for another request")]
    Reused,
    /// The request has run, and its answer was too large to store.
    #[error("the request with this key has run; its answer was not kept")]
    NotKept,
    /// The request may have run; its outcome is unknown.
    #[error("it is not known whether the request with this key has run")]
    Unknown,
    /// The request is still in flight.
    #[error("the request with this key is in flight")]
    InFlight,
}

/// Returns the key of the table row for a caller's key at a service.
#[must_use]
pub fn row_key(service: &Service, key: &str) -> String {
    format!("{PREFIX}{service}/{key}")
}

/// Returns the hash that tells requests with the same key apart.
#[must_use]
pub fn digest(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut bytes = Vec::with_capacity(method.len() + path.len() + body.len() + 2);
    for part in [method.as_bytes(), path.as_bytes(), body] {
        bytes.extend_from_slice(part);
        bytes.push(0);
    }
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

/// Returns the next action for a request, given the row of its key.
#[must_use]
pub fn step(digest: u64, row: Option<(Version, Claim)>) -> Step {
    let Some((version, claim)) = row else {
        return Step::Claim(Version(0));
    };
    if claim.phase == Phase::Free {
        return Step::Claim(version);
    }
    if claim.digest != digest {
        return Step::Refuse(Conflict::Reused);
    }
    match claim.phase {
        Phase::Open | Phase::Free => Step::Wait,
        Phase::Answered(answer) => Step::Replay(answer),
        Phase::Large => Step::Refuse(Conflict::NotKept),
        Phase::Unknown => Step::Refuse(Conflict::Unknown),
    }
}

/// Returns the phase for an outcome; `None` means that the request never left the entry.
#[must_use]
pub fn phase(outcome: Option<&Outcome>) -> Phase {
    match outcome {
        None | Some(Outcome::NotRun(_)) => Phase::Free,
        Some(Outcome::Unknown(_)) => Phase::Unknown,
        Some(Outcome::Answered(answer)) => {
            let size = u64::try_from(answer.body.len()).unwrap_or(u64::MAX);
            if size > MAX_KEPT_BYTES.0 { Phase::Large } else { Phase::Answered(answer.clone()) }
        }
    }
}

/// A compare-and-set write of a claim, to be committed in a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if it must not exist.
    pub expected: Version,
    /// Id of the write, by which a later read finds out whether it was applied.
    pub mutation: Mutation,
    /// New value of the row.
    pub claim: Claim,
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The row has the new value.
    Written,
    /// Not applied: the row has another version, because another request was first.
    Lost,
    /// The write may have been applied, for example because the table service did not answer.
    Indeterminate,
}

/// Commits writes in batches by `commit`, which applies all or none of a batch, and returns a verdict
/// for each.
///
/// If a batch is refused, its halves are committed separately, so that one conflicting write does
/// not keep the others from being applied.
pub fn commit_all(
    writes: &[ClaimWrite],
    commit: &mut impl FnMut(&[ClaimWrite]) -> Verdict,
) -> Vec<Verdict> {
    writes.chunks(MAX_BATCH_LEN).flat_map(|batch| commit_batch(batch, commit)).collect()
}

fn commit_batch(
    writes: &[ClaimWrite],
    commit: &mut impl FnMut(&[ClaimWrite]) -> Verdict,
) -> Vec<Verdict> {
    match commit(writes) {
        Verdict::Lost if writes.len() > 1 => {
            let (first, second) = writes.split_at(writes.len() / 2);
            let mut verdicts = commit_batch(first, commit);
            verdicts.extend(commit_batch(second, commit));
            verdicts
        }
        verdict => vec![verdict; writes.len()],
    }
}
