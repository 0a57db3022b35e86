//! What proves that a run on a worker has ended: an answer of the incarnation that has it, an answer of
//! another incarnation at the worker's address, or the lapse of its lease. No message that others can
//! send does.

mod common;

use std::time::Duration;

use common::{BEGIN, NEED, RUN, at, heartbeat, incarnation, listing, order, task};
use persimmondrift::cell::duty::{Action, Heartbeat, Listed, Listing, Reconciler, StartAnswer};
use persimmondrift::cell::record::{Condition, Ending};
use persimmondrift::cell::table::Snapshot;
use persimmondrift::unit::Time;
use standin::cell::MAX_LEASE;

const ID: &str = "i-1";
const OTHER_ID: &str = "i-2";
/// Start of the worker, in milliseconds since 1970.
const STARTED_MS: u64 = 1_000;

/// Creates an agent whose worker runs a task, as its listing has shown.
fn agent() -> Reconciler {
    let mut agent = Reconciler::new("vm", None, BEGIN, MAX_LEASE);
    agent.reset_orders(&Snapshot::default());
    agent.heartbeat(BEGIN, heartbeat(STARTED_MS, ID));
    agent.apply_orders(&[order(1, incarnation(STARTED_MS, ID), false)]);
    agent.report_stored(BEGIN, MAX_LEASE, Listed::default());
    agent.apply_listing(BEGIN, BEGIN, &listing(STARTED_MS, false));
    let call = agent.next_call(at(100));
    assert!(matches!(call, Some(Action::Start { run: RUN, .. })), "{call:?}");
    agent.start_answered(at(110), task(), RUN, StartAnswer::Started);
    agent.apply_listing(at(120), at(121), &listing(STARTED_MS, true));
    agent
}

fn endings(agent: &Reconciler, now: Time) -> Vec<Ending> {
    agent.report(now).ends.iter().map(|end| end.ending).collect()
}

/// Checks that the run counts as running: the report has no end, and names the incarnation that the run
/// was ordered for, so that the planner does not write it off.
fn assert_runs(agent: &Reconciler, now: Time) {
    let report = agent.report(now);
    assert_eq!((report.ends, report.incarnation), (Vec::new(), incarnation(STARTED_MS, ID)));
    assert_eq!(report.running.len(), 1);
}

/// Guards against a heartbeat of another writer that ends the runs of a worker that is up.
#[test]
fn heartbeat_of_another_writer() {
    for id in [ID, OTHER_ID] {
        let mut agent = agent();
        let foreign = Heartbeat {
            service: "other".to_owned(),
            clock_ms: 10,
            ..heartbeat(STARTED_MS + 500, id)
        };
        assert!(!agent.heartbeat(at(500), foreign));
        assert_runs(&agent, at(500));
        assert_eq!(agent.next_call(at(501)), Some(Action::Identify));
        // Nothing is renewed or acknowledged before the answer, since another incarnation may be up.
        assert_eq!((agent.renew_lease(at(502)), agent.ack_cursor(at(502))), (None, 0));
        assert!(!agent.identified(at(502), at(505), Some(&listing(STARTED_MS, true))));
        assert!(agent.renew_lease(at(506)).is_some(), "its answer shows that it is up");
        agent.apply_listing(at(510), at(511), &listing(STARTED_MS, true));
        assert_runs(&agent, at(511));
        assert!(agent.renew_lease(at(512)).is_some());
        assert_eq!(agent.next_call(at(513)), None);
    }
}

/// Guards against an answer that was requested before the heartbeat and counts as the answer to it.
#[test]
fn answer_from_before_the_heartbeat() {
    let mut agent = agent();
    agent.heartbeat(at(500), heartbeat(STARTED_MS + 500, OTHER_ID));
    agent.apply_listing(at(400), at(501), &listing(STARTED_MS, true));
    assert!(agent.is_identifying());
    assert_eq!(agent.renew_lease(at(502)), None);
}

/// The answer of the next incarnation ends the runs of the one before, and its heartbeat is in force at
/// once.
#[test]
fn answer_of_next_incarnation() {
    let next = STARTED_MS + 500;
    for by_listing in [false, true] {
        let mut agent = agent();
        agent.heartbeat(at(500), heartbeat(next, OTHER_ID));
        assert_eq!(agent.next_call(at(501)), Some(Action::Identify));
        assert!(!agent.identified(at(501), at(502), None));
        assert_eq!(agent.next_call(at(503)), None, "asked again without a pause");
        assert_eq!(agent.next_call(at(700)), Some(Action::Identify));
        assert_runs(&agent, at(700));
        let urgent = if by_listing {
            agent.apply_listing(at(701), at(702), &listing(next, false))
        } else {
            agent.identified(at(701), at(702), Some(&listing(next, false)))
        };
        assert!(urgent);
        assert_eq!(endings(&agent, at(702)), [Ending::CrashedAtStart]);
        let report = agent.report(at(702));
        assert_eq!(report.incarnation, incarnation(next, OTHER_ID));
        assert_eq!(report.capacity, NEED.times(4));
    }
}

/// Without any answer the runs end when their lease has lapsed, and no earlier.
#[test]
fn lapse_without_an_answer() {
    let mut agent = agent();
    assert!(agent.renew_lease(at(400)).is_some());
    agent.heartbeat(at(500), heartbeat(STARTED_MS + 500, OTHER_ID));
    agent.poll_failed();
    let lapsed = BEGIN + MAX_LEASE;
    assert!(!agent.end_lapsed(lapsed));
    assert_runs(&agent, lapsed);
    assert!(agent.end_lapsed(lapsed + Duration::from_millis(1)));
    assert_eq!(endings(&agent, lapsed), [Ending::Lapsed]);
}

/// Guards against a deregistration that ends the runs of a worker: one that got no answer to it works on
/// for seconds.
#[test]
fn deregistration() {
    let mut agent = agent();
    assert!(agent.renew_lease(at(400)).is_some());
    assert!(agent.worker_left(at(500), ID, Some(STARTED_MS)));
    assert_runs(&agent, at(500));
    assert_eq!(agent.report(at(500)).condition, Condition::Draining);
    assert_eq!(agent.renew_lease(at(501)), None);
    assert_eq!(agent.next_call(at(502)), Some(Action::Stop { task: task(), run: RUN }));
    agent.stop_call_done(at(510), task(), RUN, true);
    agent.apply_listing(at(520), at(521), &listing(STARTED_MS, true));
    assert_runs(&agent, at(521));
    let finished = vec![(1, task(), RUN, Ending::Stopped, "half".to_owned())];
    agent.apply_listing(at(800), at(801), &Listing { finished, ..listing(STARTED_MS, false) });
    assert_eq!(endings(&agent, at(801)), [Ending::Stopped]);
    assert_eq!(agent.report(at(801)).ends[0].checkpoint, "half");
}

/// A worker that has deregistered and answers nothing any more: its runs end with the lease that it had.
#[test]
fn lapse_after_deregistration() {
    let mut agent = agent();
    assert!(agent.renew_lease(at(400)).is_some());
    assert!(agent.worker_left(at(500), ID, None));
    // What is granted from now on does not reach the worker.
    agent.report_stored(at(600), MAX_LEASE, Listed::default());
    agent.apply_listing(at(610), at(611), &listing(STARTED_MS, true));
    assert_eq!(agent.renew_lease(at(620)), None);
    agent.poll_failed();
    let lapsed = BEGIN + MAX_LEASE;
    assert!(!agent.end_lapsed(lapsed));
    assert!(agent.end_lapsed(lapsed + Duration::from_millis(1)));
    assert_eq!(endings(&agent, lapsed), [Ending::Lapsed]);
}

/// An order that arrives after the deregistration is returned to the planner.
#[test]
fn order_after_deregistration() {
    let mut agent = Reconciler::new("vm", None, BEGIN, MAX_LEASE);
    agent.reset_orders(&Snapshot::default());
    agent.heartbeat(BEGIN, heartbeat(STARTED_MS, ID));
    agent.report_stored(BEGIN, MAX_LEASE, Listed::default());
    agent.apply_listing(BEGIN, BEGIN, &listing(STARTED_MS, false));
    assert!(agent.worker_left(at(100), ID, Some(STARTED_MS)));
    agent.apply_orders(&[order(1, incarnation(STARTED_MS, ID), false)]);
    assert_eq!(agent.next_call(at(110)), None);
    assert_eq!(endings(&agent, at(110)), [Ending::Refused]);
}

/// The next incarnation of a worker that has left gets work, and no crash is recorded.
#[test]
fn next_after_deregistration() {
    let mut agent = agent();
    assert!(agent.worker_left(at(500), ID, Some(STARTED_MS)));
    let next = STARTED_MS + 500;
    agent.heartbeat(at(900), heartbeat(next, OTHER_ID));
    assert!(agent.identified(at(901), at(902), Some(&listing(next, false))));
    assert_eq!(endings(&agent, at(902)), [Ending::Lapsed]);
    assert_eq!(agent.take_crash(), None);
    assert_eq!(agent.report(at(902)).condition, Condition::Ready);
    assert_eq!(agent.renew_lease(at(903)), None, "it has not seen its token yet");
    agent.apply_listing(at(903), at(904), &listing(next, false));
    assert!(agent.renew_lease(at(905)).is_some());
}

/// Guards against a heartbeat that arrives after the deregistration of an incarnation whose id was not
/// known before, and brings it back into use.
#[test]
fn unnamed_worker_leaves() {
    let mut agent = agent();
    let next = STARTED_MS + 500;
    assert!(agent.apply_listing(at(500), at(501), &listing(next, false)));
    assert!(agent.worker_left(at(510), OTHER_ID, Some(next)));
    agent.heartbeat(at(520), heartbeat(next, OTHER_ID));
    agent.apply_listing(at(530), at(531), &listing(next, false));
    assert_eq!(agent.report(at(531)).condition, Condition::Draining);
    assert_eq!(agent.renew_lease(at(532)), None);
}
