//! Requests with a caller's key: claimed before they run, and told the earlier outcome.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use super::claim::{self as rows, Order};
use super::{Shared, table};
use crate::adapter::caller::{Ask, Conclusion, Refusal};
use crate::admit::Outcome;
use crate::claim::{self, Claim, ClaimWrite, Conflict, Phase, Step, Verdict};
use crate::unit::{Time, Version};

/// Pause between two looks at the claim of an earlier request.
const LOOK: Duration = Duration::from_millis(50);
/// Carries a request with a key to its conclusion; `run` carries one that may run.
pub fn conclude(
    shared: &Shared,
    ask: Ask,
    key: &str,
    deadline: Time,
    run: impl FnOnce(Ask) -> Conclusion,
) -> Conclusion {
    let row = claim::row_key(&ask.service, key);
    let digest = claim::digest(&ask.method, &ask.path, &ask.body);
    loop {
        let Ok(held) = rows::read(shared, &row) else {
            return Conclusion::Refused(Refusal::TableAway);
        };
        match claim::step(digest, held) {
            Step::Replay(answer) => return Conclusion::Outcome(Outcome::Answered(answer)),
            Step::Refuse(conflict) => return Conclusion::Refused(Refusal::Claim(conflict)),
            Step::Claim(version) => {
                let open = Claim { digest, phase: Phase::Open };
                match write(shared, &row, version, open, deadline) {
                    Verdict::Written => {
                        let conclusion = run(ask);
                        settle(shared, &row, version.next(), digest, &conclusion);
                        return conclusion;
                    }
                    // Nothing has run. A claim that was written all the same is set free.
                    Verdict::Indeterminate => return Conclusion::Refused(Refusal::TableAway),
                    Verdict::Lost => {}
                }
            }
            Step::Wait => {}
        }
        if shared.now() + LOOK >= deadline {
            return Conclusion::Refused(Refusal::Claim(Conflict::InFlight));
        }
        thread::sleep(LOOK);
    }
}

/// Lets it be written what became of a claimed request. Its caller does not wait for that.
fn settle(shared: &Shared, row: &str, version: Version, digest: u64, conclusion: &Conclusion) {
    let outcome = match conclusion {
        Conclusion::Outcome(outcome) => Some(outcome),
        Conclusion::Refused(_) => None,
    };
    let claim = Claim { digest, phase: claim::phase(outcome) };
    let wish = ClaimWrite {
        key: row.to_owned(),
        expected: version,
        mutation: table::mutation(shared),
        claim,
    };
    let _ = shared.claims.send(Order { wish, told: None });
}

/// Writes a claim and waits for the verdict until a deadline.
fn write(shared: &Shared, row: &str, expected: Version, claim: Claim, deadline: Time) -> Verdict {
    let mutation = table::mutation(shared);
    let wish = ClaimWrite { key: row.to_owned(), expected, mutation, claim };
    let (told, verdict) = mpsc::channel();
    if shared.claims.send(Order { wish, told: Some(told) }).is_err() {
        return Verdict::Indeterminate;
    }
    let left = deadline.since(shared.now());
    verdict.recv_timeout(left).unwrap_or(Verdict::Indeterminate)
}
