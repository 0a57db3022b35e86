//! Answers, heartbeats and leases of a worker that do not belong to the incarnation that is up.

mod common;

use std::time::Duration;

use common::{BEGIN, NEED, RUN, at, order, task};
use persimmondrift::cell::duty::{Action, Heartbeat, Listed, Listing, Reconciler, StartAnswer};
use persimmondrift::cell::record::{Condition, Ending, Incarnation};
use persimmondrift::cell::table::{Row, Snapshot};
use standin::cell::{Failure, MAX_LEASE, Size, Target};

const ID: &str = "i-1-1000";
/// Start of the first incarnation, in milliseconds since 1970.
const STARTED_MS: u64 = 1_000;

fn incarnation(started_ms: u64) -> Incarnation {
    common::incarnation(started_ms, ID)
}

fn heartbeat(started_ms: u64, sequence: u64) -> Heartbeat {
    let clock_ms = 1_000 + sequence;
    Heartbeat { sequence, clock_ms, ..common::heartbeat(started_ms, ID) }
}

fn orders(stop: bool) -> Vec<Row> {
    vec![order(if stop { 2 } else { 1 }, incarnation(STARTED_MS), stop)]
}

fn listing(started_ms: u64, clock_ms: u64) -> Listing {
    Listing { started_ms, clock_ms, ..Listing::default() }
}

/// Creates an agent that has sent a start without an answer to a worker that answers polls.
fn agent() -> Reconciler {
    let mut agent = Reconciler::new("vm", None, BEGIN, MAX_LEASE);
    agent.reset_orders(&Snapshot::default());
    agent.heartbeat(BEGIN, heartbeat(STARTED_MS, 1));
    agent.apply_orders(&orders(false));
    agent.report_stored(BEGIN, MAX_LEASE, Listed::default());
    agent.apply_listing(BEGIN, BEGIN, &listing(STARTED_MS, 1_000));
    let call = agent.next_call(at(100));
    assert!(matches!(call, Some(Action::Start { run: RUN, .. })), "{call:?}");
    agent.start_answered(at(100), task(), RUN, StartAnswer::NoAnswer);
    agent
}

/// Lets the worker with this start time answer everything for a minute. Returns the condition and the
/// incarnation in the agent's last report.
fn settle(agent: &mut Reconciler, started_ms: u64) -> (Condition, Incarnation) {
    for step in 1..=600 {
        let now = at(1_000 + step * 100);
        agent.report_stored(now, MAX_LEASE, Listed::default());
        agent.heartbeat(now, heartbeat(started_ms, 10 + step * 100));
        if let Some(Action::Stop { task, run }) = agent.next_call(now) {
            agent.stop_call_done(now, task, run, true);
        }
        agent.apply_listing(now, now, &listing(started_ms, 1_010 + step * 100));
        agent.end_lapsed(now);
    }
    let report = agent.report(at(61_000));
    (report.condition, report.incarnation)
}

/// Guards against a stop that the earlier incarnation has answered and that counts for the next one,
/// which may still carry out the start.
#[test]
fn stop_answered_by_earlier_incarnation() {
    let mut agent = agent();
    agent.apply_orders(&orders(true));
    assert_eq!(agent.next_call(at(300)), Some(Action::Stop { task: task(), run: RUN }));
    agent.heartbeat(at(500), heartbeat(STARTED_MS + 1, 1));
    agent.stop_call_done(at(501), task(), RUN, true);
    agent.apply_listing(at(510), at(511), &listing(STARTED_MS + 1, 1_000));
    let ends: Vec<Ending> = agent.report(at(511)).ends.iter().map(|end| end.ending).collect();
    assert_eq!(ends, [], "over, though the incarnation that is up has not been told to stop it");
    let call = agent.next_call(at(512));
    assert_eq!(call, Some(Action::Stop { task: task(), run: RUN }));
}

/// Guards against a run that is kept for ever, and a worker that gets no more work, since a heartbeat
/// named a later incarnation of the same id that is not up.
#[test]
fn later_incarnation_that_is_not_up() {
    let mut agent = agent();
    agent.heartbeat(at(200), heartbeat(STARTED_MS + 500, 1));
    agent.apply_listing(at(300), at(301), &listing(STARTED_MS, 1_300));
    let settled = settle(&mut agent, STARTED_MS);
    assert_eq!(settled, (Condition::Ready, incarnation(STARTED_MS)));
}

/// Guards against a worker that gets no more work since its next incarnation has an earlier start time:
/// the VM's clock was set back in between.
#[test]
fn incarnation_after_clock_was_set_back() {
    let mut agent = agent();
    agent.poll_failed();
    let settled = settle(&mut agent, STARTED_MS - 500);
    assert_eq!(settled, (Condition::Ready, incarnation(STARTED_MS - 500)));
}

/// The runs that such an incarnation has replaced have crashed with their worker.
#[test]
fn crash_before_clock_was_set_back() {
    let mut agent = agent();
    let running = vec![(task(), RUN, String::new(), 10)];
    agent.apply_listing(at(200), at(201), &Listing { running, ..listing(STARTED_MS, 1_200) });
    agent.poll_failed();
    agent.apply_listing(at(500), at(501), &listing(STARTED_MS - 500, 10));
    let crash = agent.take_crash().expect("a crash");
    assert_eq!((crash.incarnation, crash.runs), (incarnation(STARTED_MS), vec![(task(), RUN)]));
}

/// Guards against runs that count as over since an earlier incarnation's answer was late.
#[test]
fn late_answer_of_earlier_incarnation() {
    let mut agent = agent();
    let running = vec![(task(), RUN, String::new(), 10)];
    let known = Listing { running, ..listing(STARTED_MS, 1_200) };
    agent.apply_listing(at(200), at(201), &known);
    assert!(!agent.apply_listing(at(190), at(300), &listing(STARTED_MS - 500, 900)));
    assert_eq!(agent.renew_lease(at(301)), None, "the next answer decides");
    agent.apply_listing(at(302), at(303), &known);
    assert!(agent.renew_lease(at(304)).is_some());
    let report = agent.report(at(304));
    assert_eq!((report.ends.len(), report.incarnation), (0, incarnation(STARTED_MS)));
}

/// Guards against a run that counts as over while the next incarnation runs it: its lease counts from when
/// that incarnation became known, not from when it may have begun the run.
#[test]
fn late_start_holds_full_lease() {
    // The delay of the start, and the end of its lease by the worker's clock.
    for (delay, deadline_ms) in [(1_500, 7_000), (11_900, 40_000)] {
        assert_full_lease(Duration::from_millis(delay), deadline_ms);
    }
}

fn assert_full_lease(delay: Duration, deadline_ms: u64) {
    let mut worker = Target::new(STARTED_MS, 1);
    assert_eq!(worker.incarnation(), incarnation(STARTED_MS));
    let mut agent = agent();
    worker.failure = Failure::DelayedStarts(delay);
    let size = Size { need: NEED, work_ms: 20_000, checkpoints: false };
    let answer = worker.start(ID, (task(), RUN), size, "", deadline_ms);
    assert_eq!(answer, StartAnswer::NoAnswer);
    worker.crash_same_id(Duration::from_millis(200));
    let (mut millis, step) = (100, Duration::from_millis(10));
    while worker.is_down() {
        worker.advance(step);
        millis += 10;
    }
    // It sends heartbeats and works, but answers no calls.
    let next = worker.incarnation().started_ms;
    for sequence in 1.. {
        agent.heartbeat(at(millis), heartbeat(next, sequence));
        agent.poll_failed();
        if agent.end_lapsed(at(millis)) {
            break;
        }
        worker.advance(step);
        millis += 10;
    }
    assert_eq!(worker.starts, [(task(), RUN)], "the start is carried out late");
    assert_eq!(worker.running().next(), None, "counts as over and runs");
}
