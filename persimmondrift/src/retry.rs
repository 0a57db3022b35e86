//! Retry rules: which outcomes allow another try, the retry budget of a service, and the delay
//! suggested to callers.

use crate::admit::{Cause, Outcome, UnknownCause};
use crate::place::Class;
use crate::unit::Millis;

/// Tokens that each first try earns, in thousandths. It sets the share of traffic that retries may
/// add.
const EARN_MILLITOKENS: u32 = 100;
/// Tokens that a retry costs, in thousandths.
const RETRY_MILLITOKENS: u32 = 1_000;
/// Largest balance of tokens, in thousandths.
const MAX_MILLITOKENS: u32 = 20_000;
/// Largest number of tries of one request, including the first, without those that ended because a
/// target was leaving.
const MAX_TRIES: usize = 3;
/// Largest number of tries of a request that a leaving target has refused, including the first.
const MAX_RETURNED_TRIES: usize = 12;

/// The retry budget of one service, earned by its traffic.
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
    /// Credits a first try.
    pub fn earn(&mut self) {
        self.millitokens = (self.millitokens + EARN_MILLITOKENS).min(MAX_MILLITOKENS);
    }

    /// Takes the tokens for a retry. Returns false if there are too few.
    pub fn spend(&mut self) -> bool {
        let left = self.millitokens.checked_sub(RETRY_MILLITOKENS);
        self.millitokens = left.unwrap_or(self.millitokens);
        left.is_some()
    }
}

/// What a retry after an outcome requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// No retry is allowed.
    Never,
    /// A retry costs a token of the budget.
    Token,
    /// A retry costs nothing, because its cause occurs only a bounded number of times.
    Free,
}

/// The tries of one request so far.
#[derive(Debug, Default)]
pub struct Tries {
    made: usize,
    /// Tries that count towards [`MAX_TRIES`].
    counted: usize,
    /// Whether a leaving target has refused the request.
    returned: bool,
}

impl Tries {
    /// Returns the number of tries.
    #[must_use]
    pub fn made(&self) -> usize {
        self.made
    }

    /// Records the outcome of a try. Returns what another one requires.
    ///
    /// A target that leaves refuses all requests in its queue at once, and they meet each other in
    /// the queues of the other targets. They are few and were admitted, so a full queue costs them
    /// neither a try nor a token.
    pub fn record(&mut self, outcome: &Outcome, idempotent: bool) -> Rule {
        self.made += 1;
        let rule = rule(outcome, idempotent);
        self.returned |= matches!(outcome, Outcome::NotRun(Cause::Leaving | Cause::Replaced));
        let is_full = matches!(outcome, Outcome::NotRun(Cause::QueueFull | Cause::Overloaded));
        let is_free = rule == Rule::Free || (self.returned && is_full);
        self.counted += usize::from(!is_free);
        if self.counted >= MAX_TRIES || self.made >= MAX_RETURNED_TRIES {
            Rule::Never
        } else if is_free {
            Rule::Free
        } else {
            rule
        }
    }
}

/// Returns what a retry after an outcome requires.
#[must_use]
pub fn rule(outcome: &Outcome, idempotent: bool) -> Rule {
    match outcome {
        // An agent leaves or is replaced only once, and its next announcement reaches all entries.
        Outcome::NotRun(Cause::Leaving | Cause::Replaced) => Rule::Free,
        Outcome::Answered(_)
        | Outcome::NotRun(Cause::Expired | Cause::Size)
        | Outcome::Unknown(UnknownCause::Timeout) => Rule::Never,
        Outcome::Unknown(_) if !idempotent => Rule::Never,
        Outcome::NotRun(_) | Outcome::Unknown(_) => Rule::Token,
    }
}

/// Combines the outcome of the earlier tries with that of the last one.
///
/// Proof that the last try did not run does not settle whether an earlier try ran.
#[must_use]
pub fn merge(earlier: Option<Outcome>, last: Outcome) -> Outcome {
    match (earlier, last) {
        (Some(Outcome::Unknown(doubt)), Outcome::NotRun(_)) => Outcome::Unknown(doubt),
        (_, last) => last,
    }
}

/// Returns the delay after which a caller may retry a request that did not run.
#[must_use]
pub fn caller_delay(class: Class) -> Millis {
    match class {
        Class::Urgent => Millis(1_000),
        Class::Interactive => Millis(2_000),
        Class::Batch => Millis(15_000),
    }
}
