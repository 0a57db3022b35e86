//! Spans of time that a job lost, and the cause of the largest.

use std::collections::BTreeMap;

use super::Cause;
use crate::line::Moment;

/// Rank of the evidence of a span. Where spans overlap, the first kind counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Evidence {
    /// Runs were stopped, lost or broken, or the result was not shown.
    Event,
    /// A line says why a group waits.
    Reason,
    /// Nothing of the job ran.
    Idle,
}

/// A span of time that a job lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Its begin.
    pub from: Moment,
    /// Its end.
    pub to: Moment,
    /// Why it was lost.
    pub cause: Cause,
    /// What this is concluded from.
    pub evidence: Evidence,
}

/// A span of time without a planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Absence {
    /// Its begin.
    pub from: Moment,
    /// Its end.
    pub to: Moment,
}

/// The begin or the end of a span.
#[derive(Debug, Clone, Copy)]
struct Change {
    time: Moment,
    /// `None` for a span without a planner.
    key: Option<(Evidence, Cause)>,
    begins: bool,
}

/// Returns the cause with the most time in `spans`, each moment counted once. The part of `took`
/// that is neither in a span nor in the job's `chain` of work is not explained. Both are in
/// milliseconds.
///
/// A lost moment without a planner counts as such: no other cause could have been ended then.
pub fn largest(spans: &[Span], absences: &[Absence], took: u64, chain: u64) -> Cause {
    let mut changes: Vec<Change> = Vec::new();
    for span in spans.iter().filter(|span| span.from < span.to) {
        let key = Some((span.evidence, span.cause));
        changes.push(Change { time: span.from, key, begins: true });
        changes.push(Change { time: span.to, key, begins: false });
    }
    for absence in absences {
        changes.push(Change { time: absence.from, key: None, begins: true });
        changes.push(Change { time: absence.to, key: None, begins: false });
    }
    changes.sort_by_key(|change| change.time);
    let mut open: BTreeMap<(Evidence, Cause), u32> = BTreeMap::new();
    let mut absent = 0_u32;
    let mut last = changes.first().map(|change| change.time).unwrap_or_default();
    let mut totals: BTreeMap<Cause, u64> = BTreeMap::new();
    let mut covered = 0;
    for Change { time, key, begins } in changes {
        if let Some(&(_, cause)) = open.keys().next() {
            let cause =
                if absent > 0 && cause != Cause::ShownLate { Cause::NoPlanner } else { cause };
            *totals.entry(cause).or_default() += time.since(last);
            covered += time.since(last);
        }
        last = time;
        match key {
            None if begins => absent += 1,
            None => absent = absent.saturating_sub(1),
            Some(key) if begins => *open.entry(key).or_default() += 1,
            Some(key) => {
                let count = open.get(&key).copied().unwrap_or(0);
                if count > 1 {
                    open.insert(key, count - 1);
                } else {
                    open.remove(&key);
                }
            }
        }
    }
    *totals.entry(Cause::Unexplained).or_default() +=
        took.saturating_sub(covered).saturating_sub(chain);
    // Of causes with the same time, the one that says more.
    let most = totals.into_iter().max_by_key(|(cause, span)| (*span, *cause != Cause::Unexplained));
    most.filter(|(_, span)| *span > 0).map_or(Cause::Unexplained, |(cause, _)| cause)
}
