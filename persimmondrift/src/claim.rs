//! Claims of callers' keys, so that two requests with one key run at most once.
//!
//! A key is a row of the table. It is inserted before the request may run, and takes the
//! outcome afterwards. Requests with the same key, at any entry, are told that outcome.

use serde::{Deserialize, Serialize};

use crate::admit::{Answer, Outcome};
use crate::unit::{Bytes, Mutation, Service, Version};

/// Largest body of an answer that is kept for later requests with the same key.
pub const MAX_KEPT_BYTES: Bytes = Bytes(16 << 10);
/// Prefix of the rows' keys.
const PREFIX: &str = "claim/";

/// The row of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// What the request asks for, in short: another request may not use the same key.
    pub digest: u64,
    /// How far it has got.
    pub phase: Phase,
}

/// How far a claimed request has got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It may run now, or may have run.
    Open,
    /// It is proved that it did not run: the key may be claimed again.
    Free,
    /// The target answered.
    Answered(Answer),
    /// The target answered with a body that is too large to be kept.
    Large,
    /// It may have run, and nothing more will be known.
    Unknown,
}

/// What a request with a key does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Writes its claim over the version of the row, 0 if there is none.
    Claim(Version),
    /// Is told the answer to the earlier request.
    Replay(Answer),
    /// Waits for the outcome of the earlier request.
    Wait,
    /// Is told that the earlier request has run, or may have.
    Refuse(Conflict),
}

/// Why a request with a key does not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Conflict {
    /// The key was used for another request.
    #[error("the key was used for another request")]
    Reused,
    /// The request has run, and its answer was too large to be kept.
    #[error("the request with this key has run; its answer was not kept")]
    NotKept,
    /// The request may have run.
    #[error("it is not known whether the request with this key has run")]
    Unknown,
    /// The request is still in flight.
    #[error("the request with this key is in flight")]
    InFlight,
}

/// Returns the key of the row of a caller's key.
#[must_use]
pub fn row_key(service: &Service, key: &str) -> String {
    format!("{PREFIX}{service}/{key}")
}

/// Returns the digest of a request.
#[must_use]
pub fn digest(method: &str, path: &str, body: &[u8]) -> u64 {
    let mut bytes = Vec::with_capacity(method.len() + path.len() + body.len() + 2);
    for part in [method.as_bytes(), path.as_bytes(), body] {
        bytes.extend_from_slice(part);
        bytes.push(0);
    }
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

/// Returns what a request does, from the row that holds its key.
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

/// Returns the phase that an outcome leads to. `None` stands for a request that never left
/// the entry.
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

/// A write of a claim that waits for its batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimWrite {
    /// The key of the row.
    pub key: String,
    /// The version that the row must have.
    pub expected: Version,
    /// The id of the write.
    pub mutation: Mutation,
    /// The new value.
    pub claim: Claim,
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It was written.
    Written,
    /// The row has another version: somebody else was first.
    Lost,
    /// It is not known: the table service is away. It may have been written.
    Indeterminate,
}

/// Writes a batch of writes by `commit`, which applies all or none, and returns a verdict for
/// each. A write that loses does not spoil the others: the batch is halved around it.
pub fn commit_all(
    writes: &[ClaimWrite],
    commit: &mut impl FnMut(&[ClaimWrite]) -> Verdict,
) -> Vec<Verdict> {
    if writes.is_empty() {
        return Vec::new();
    }
    match commit(writes) {
        Verdict::Lost if writes.len() > 1 => {
            let (first, second) = writes.split_at(writes.len() / 2);
            let mut verdicts = commit_all(first, commit);
            verdicts.extend(commit_all(second, commit));
            verdicts
        }
        verdict => vec![verdict; writes.len()],
    }
}
