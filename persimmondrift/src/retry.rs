//! Whether a request is tried again, and when its caller may.

use crate::admit::{Cause, Outcome, UnknownCause};
use crate::place::Class;
use crate::unit::Millis;

/// Tokens that each first try earns, in thousandths: the share of traffic that retries add.
const EARN_MILLITOKENS: u32 = 100;
/// Tokens that a retry costs, in thousandths.
const RETRY_MILLITOKENS: u32 = 1_000;
/// Most tokens that are saved, in thousandths.
const MAX_MILLITOKENS: u32 = 20_000;
/// Most tries of one request.
pub const MAX_TRIES: usize = 3;

/// The retries that the traffic of one service has earned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    millitokens: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self { millitokens: MAX_MILLITOKENS }
    }
}

impl Budget {
    /// Takes in a first try.
    pub fn earn(&mut self) {
        self.millitokens = (self.millitokens + EARN_MILLITOKENS).min(MAX_MILLITOKENS);
    }

    /// Spends a retry. Returns whether there was one left.
    pub fn spend(&mut self) -> bool {
        let left = self.millitokens.checked_sub(RETRY_MILLITOKENS);
        self.millitokens = left.unwrap_or(self.millitokens);
        left.is_some()
    }
}

/// What a retry after an outcome needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// The outcome is final.
    Never,
    /// A token of the budget.
    Token,
    /// Nothing: its cause is bounded by itself.
    Free,
}

/// Returns what a retry after an outcome needs.
#[must_use]
pub fn rule(outcome: &Outcome, idempotent: bool) -> Rule {
    match outcome {
        // An agent leaves or is replaced once, and the next announcement tells all entries.
        Outcome::NotRun(Cause::Leaving | Cause::Replaced) => Rule::Free,
        Outcome::Answered(_)
        | Outcome::NotRun(Cause::Expired | Cause::Size)
        | Outcome::Unknown(UnknownCause::Timeout) => Rule::Never,
        Outcome::Unknown(_) if !idempotent => Rule::Never,
        Outcome::NotRun(_) | Outcome::Unknown(_) => Rule::Token,
    }
}

/// Returns the outcome of a request from that of its earlier tries and its last one.
///
/// A proof that the last try did not run says nothing of an earlier one that may have.
#[must_use]
pub fn merge(earlier: Option<Outcome>, last: Outcome) -> Outcome {
    match (earlier, last) {
        (Some(Outcome::Unknown(doubt)), Outcome::NotRun(_)) => Outcome::Unknown(doubt),
        (_, last) => last,
    }
}

/// Returns the time after which a caller may try again a request that did not run.
#[must_use]
pub fn caller_delay(class: Class) -> Millis {
    match class {
        Class::Urgent => Millis(1_000),
        Class::Interactive => Millis(2_000),
        Class::Batch => Millis(15_000),
    }
}
