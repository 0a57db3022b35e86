//! Retries: which outcomes allow one, the budget, and the places at the entry.

use persimmondrift::admit::{Answer, Cause, Doubt, Outcome};
use persimmondrift::limit::Limit;
use persimmondrift::place::Class::{Batch, Interactive, Urgent};
use persimmondrift::retry::{self, Budget, Need};

fn answered() -> Outcome {
    Outcome::Answered(Answer { status: 500, headers: Vec::new(), body: Vec::new() })
}

#[test]
fn only_a_proof_or_idempotence_allows_a_retry() {
    let cases = [
        (answered(), Need::Never, Need::Never),
        (Outcome::NotRun(Cause::Leaving), Need::Free, Need::Free),
        (Outcome::NotRun(Cause::Replaced), Need::Free, Need::Free),
        (Outcome::NotRun(Cause::QueueFull), Need::Token, Need::Token),
        (Outcome::NotRun(Cause::Overloaded), Need::Token, Need::Token),
        (Outcome::NotRun(Cause::Unreachable), Need::Token, Need::Token),
        (Outcome::NotRun(Cause::Cancelled), Need::Token, Need::Token),
        (Outcome::NotRun(Cause::Expired), Need::Never, Need::Never),
        (Outcome::NotRun(Cause::Size), Need::Never, Need::Never),
        (Outcome::Unknown(Doubt::AgentLost), Need::Token, Need::Never),
        (Outcome::Unknown(Doubt::Broken), Need::Token, Need::Never),
        (Outcome::Unknown(Doubt::Repeated), Need::Token, Need::Never),
        (Outcome::Unknown(Doubt::Late), Need::Token, Need::Never),
        (Outcome::Unknown(Doubt::Timeout), Need::Never, Need::Never),
    ];
    for (outcome, idempotent, otherwise) in cases {
        assert_eq!(retry::need(&outcome, true), idempotent, "{outcome:?}");
        assert_eq!(retry::need(&outcome, false), otherwise, "{outcome:?}");
    }
}

#[test]
fn a_proof_of_the_last_try_hides_no_earlier_doubt() {
    let unknown = Outcome::Unknown(Doubt::AgentLost);
    let not_run = Outcome::NotRun(Cause::QueueFull);
    let cases = [
        (None, not_run.clone(), not_run.clone()),
        (Some(not_run.clone()), not_run.clone(), not_run.clone()),
        (Some(unknown.clone()), not_run.clone(), unknown.clone()),
        (Some(unknown.clone()), answered(), answered()),
        (Some(not_run), unknown.clone(), unknown),
    ];
    for (earlier, last, expected) in cases {
        assert_eq!(retry::merge(earlier.clone(), last.clone()), expected, "{earlier:?} {last:?}");
    }
}

#[test]
fn retries_are_a_share_of_the_traffic() {
    let mut budget = Budget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.earn();
        retries += u32::from(budget.spend()) + u32::from(budget.spend());
    }
    assert!((1_000..=1_020).contains(&retries), "{retries}");
}

#[test]
fn less_urgent_classes_leave_places_free() {
    let mut limit = Limit::new(100);
    let mut taken = |class, most| (0..most).filter(|_| limit.take(class)).count();
    assert_eq!(taken(Batch, 100), 60);
    assert_eq!(taken(Interactive, 100), 30);
    assert_eq!(taken(Urgent, 100), 10);
    limit.give(Batch);
    assert!(limit.take(Urgent));
    assert_eq!(limit.held(), 100);
}
