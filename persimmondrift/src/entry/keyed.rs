//! Requests with a caller's key: claimed before they run, and told the earlier outcome.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use super::claim::{self as claim_store, PendingClaim};
use super::{Shared, table};
use crate::adapter::caller::{CallerRequest, Conclusion, Refusal};
use crate::admit::Outcome;
use crate::claim::{self, Claim, ClaimWrite, Conflict, Phase, Step, Verdict};
use crate::unit::{Time, Version};

/// Pause between two looks at the claim of an earlier request.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Carries a request with a key to its conclusion; `run` carries one that may run.
pub fn conclude(
    shared: &Shared,
    ask: CallerRequest,
    key: &str,
    deadline: Time,
    run: impl FnOnce(CallerRequest) -> Conclusion,
) -> Conclusion {
    let row = claim::row_key(&ask.service, key);
    let digest = claim::digest(&ask.method, &ask.path, &ask.body);
    loop {
        let Ok(held) = claim_store::read(shared, &row) else {
            return Conclusion::Refused(Refusal::TableUnreachable);
        };
        match claim::step(digest, held) {
            Step::Replay(answer) => return Conclusion::Outcome(Outcome::Answered(answer)),
            Step::Refuse(conflict) => return Conclusion::Refused(Refusal::Claim(conflict)),
            Step::Claim(version) => {
                let open = Claim { digest, phase: Phase::Open };
                match write_claim(shared, &row, version, open, deadline) {
                    Verdict::Written => {
                        let conclusion = run(ask);
                        record_conclusion(shared, &row, version.next(), digest, &conclusion);
                        return conclusion;
                    }
                    // Nothing has run. A claim that was written all the same is set free.
                    Verdict::Indeterminate => {
                        return Conclusion::Refused(Refusal::TableUnreachable);
                    }
                    Verdict::Lost => {}
                }
            }
            Step::Wait => {}
        }
        if shared.now() + POLL_INTERVAL >= deadline {
            return Conclusion::Refused(Refusal::Claim(Conflict::InFlight));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Lets it be written what became of a claimed request. Its caller does not wait for that.
fn record_conclusion(
    shared: &Shared,
    row: &str,
    version: Version,
    digest: u64,
    conclusion: &Conclusion,
) {
    let outcome = match conclusion {
        Conclusion::Outcome(outcome) => Some(outcome),
        Conclusion::Refused(_) => None,
    };
    let claim = Claim { digest, phase: claim::phase(outcome) };
    let claim_write = ClaimWrite {
        key: row.to_owned(),
        expected: version,
        mutation: table::new_mutation(shared),
        claim,
    };
    let _ = shared.claim_queue.send(PendingClaim { claim_write, reply: None });
}

/// Writes a claim and waits for the verdict until a deadline.
fn write_claim(
    shared: &Shared,
    row: &str,
    expected: Version,
    claim: Claim,
    deadline: Time,
) -> Verdict {
    let mutation = table::new_mutation(shared);
    let claim_write = ClaimWrite { key: row.to_owned(), expected, mutation, claim };
    let (reply, verdict) = mpsc::channel();
    if shared.claim_queue.send(PendingClaim { claim_write, reply: Some(reply) }).is_err() {
        return Verdict::Indeterminate;
    }
    let left = deadline.since(shared.now());
    verdict.recv_timeout(left).unwrap_or(Verdict::Indeterminate)
}
