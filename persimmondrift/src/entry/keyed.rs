//! Requests with an idempotency key. A request claims its key in the table before it runs; later
//! requests with the key receive the recorded outcome.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use super::claim::{self as claim_store, PendingClaim};
use super::{Shared, table};
use crate::adapter::caller::{CallerRequest, Conclusion, Refusal};
use crate::admit::Outcome;
use crate::claim::{self, Claim, ClaimWrite, Conflict, Phase, Step, Verdict};
use crate::unit::{Time, Version};

/// Pause between two reads of the claim of an earlier request.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the conclusion of a request with a key. Calls `run` if the request may run.
pub fn conclude(
    shared: &Shared,
    caller_request: CallerRequest,
    key: &str,
    deadline: Time,
    run: impl FnOnce(CallerRequest) -> Conclusion,
) -> Conclusion {
    let row = claim::row_key(&caller_request.service, key);
    let digest = claim::digest(&caller_request.method, &caller_request.path, &caller_request.body);
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
                        let conclusion = run(caller_request);
                        record_conclusion(shared, &row, version.next(), digest, &conclusion);
                        return conclusion;
                    }
                    // The request does not run. If the claim was written, the claim thread
                    // releases it.
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

/// Queues the conclusion of a claimed request for writing, without waiting for the write.
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

/// Queues a claim for writing and waits for the verdict until the deadline.
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
