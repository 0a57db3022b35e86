//! Calls to a worker that got no answer and are carried out seconds later, when the worker has restarted
//! under its id.

mod common;

use std::time::Duration;

use common::{
    BEGIN, NEED, RUN, at, begin_next, heartbeat, incarnation, listing, order, request, task,
};
use fastrand::Rng;
use persimmondrift::cell::duty::{Action, Listed, Reconciler, StartAnswer};
use persimmondrift::cell::job::Id;
use persimmondrift::cell::record::{Ending, State};
use persimmondrift::cell::table::Snapshot;
use persimmondrift::unit::Fence;
use standin::cell::{Cell, Failure, MAX_LEASE, Size, Target};

const ID: &str = "i-1-1";
const JOB: Id = Id(1);
/// Time for which a worker is down between two incarnations.
const DOWN: Duration = Duration::from_millis(500);
const SHORT_WORK: Duration = Duration::from_millis(2_500);
const LONG_WORK: Duration = Duration::from_secs(14);

fn completed(cell: &Cell) -> bool {
    cell.state(JOB) == Some(State::Completed)
}

/// Runs a cell until a start of the job's only task has no answer and is to be carried out after `delay`,
/// and the task was started again by a call that was answered. Returns the cell and its worker.
fn cell_with_late_start(workers: usize, delay: Duration, work: Duration) -> (Cell, usize) {
    let mut cell = Cell::new(workers);
    // Leases end late by the clocks of the present incarnations, so the next ones do not refuse a start
    // as too late.
    cell.run(Duration::from_secs(14));
    for vm in 0..workers {
        cell.worker(vm).failure = Failure::DelayedStarts(delay);
    }
    cell.set_work_time(JOB, work);
    cell.submit(JOB, "normal", "ana", request(1));
    let is_delayed =
        |cell: &mut Cell, vm: &usize| cell.worker(*vm).delayed_starts().next().is_some();
    let late = (0..40).find_map(|_| {
        cell.run(Duration::from_millis(50));
        (0..workers).find(|vm| is_delayed(&mut cell, vm))
    });
    for vm in 0..workers {
        cell.worker(vm).failure = Failure::None;
    }
    assert!(cell.run_until(Duration::from_secs(1), |cell| cell.starts(JOB) == 1), "no start");
    (cell, late.expect("a start without an answer"))
}

/// Guards against a task that runs again after its end as done was acknowledged: a start without an answer
/// reaches the next incarnation of its worker.
#[test]
fn start_after_acknowledged_end() {
    for restarts_agent in [false, true] {
        let (mut cell, vm) = cell_with_late_start(1, Duration::from_secs(9), SHORT_WORK);
        assert!(cell.run_until(Duration::from_secs(5), completed));
        cell.worker(vm).crash_same_id(DOWN);
        if restarts_agent {
            // Neither its order nor its report names the run any more.
            cell.restart_agent(vm);
        }
        cell.run(Duration::from_secs(10));
        assert_eq!(cell.starts(JOB), 1, "restarts_agent={restarts_agent}");
        assert_eq!(cell.violations, Vec::<String>::new());
    }
}

/// Guards against two runs of a task at once: a start without an answer reaches the second next incarnation
/// of its worker, and only the next one was told to stop the run.
#[test]
fn start_in_second_next_incarnation() {
    let (mut cell, vm) = cell_with_late_start(3, Duration::from_secs(8), LONG_WORK);
    for _ in 0..2 {
        cell.run(Duration::from_millis(900));
        cell.worker(vm).crash_same_id(DOWN);
        cell.run(DOWN);
    }
    assert!(cell.run_until(Duration::from_secs(30), completed));
    assert_eq!(cell.violations, Vec::<String>::new());
}

/// Guards against two runs of a task at once: its worker was down until the lease had lapsed, and a start
/// without an answer reaches it afterwards.
#[test]
fn start_after_lapsed_lease() {
    let (mut cell, vm) = cell_with_late_start(3, Duration::from_secs(11), LONG_WORK);
    cell.worker(vm).crash_same_id(Duration::from_secs(9));
    assert!(cell.run_until(Duration::from_secs(40), completed));
    assert_eq!(cell.violations, Vec::<String>::new());
}

/// Guards against two runs of a task at once: its run was written off while the agent could not reach the
/// store, and the worker restarts twice.
#[test]
fn start_of_written_off_run() {
    let (mut cell, vm) = cell_with_late_start(3, Duration::from_secs(12), LONG_WORK);
    cell.set_store_unreachable(vm, true);
    assert!(cell.run_until(Duration::from_secs(20), |cell| cell.starts(JOB) == 2));
    cell.set_store_unreachable(vm, false);
    for _ in 0..2 {
        cell.worker(vm).crash_same_id(DOWN);
        cell.run(DOWN * 2);
    }
    assert!(cell.run_until(Duration::from_secs(40), completed));
    assert_eq!(cell.violations, Vec::<String>::new());
}

/// Creates an agent whose worker has answered a poll and is to run a task.
fn agent() -> Reconciler {
    let mut agent = Reconciler::new("vm", None, BEGIN, MAX_LEASE);
    agent.reset_orders(&Snapshot::default());
    agent.heartbeat(BEGIN, heartbeat(1, ID));
    agent.apply_orders(&[order(1, incarnation(1, ID), false)]);
    agent.report_stored(BEGIN, MAX_LEASE, Listed::default());
    agent.apply_listing(BEGIN, BEGIN, &listing(1, false));
    agent
}

/// Guards against a worker that is back under its id and gets work while a call to the incarnation before
/// may still be carried out.
#[test]
fn token_rises_with_incarnation() {
    let mut agent = agent();
    let before = agent.token();
    agent.apply_listing(at(500), at(501), &listing(2, false));
    agent.heartbeat(at(502), heartbeat(2, ID));
    assert!(agent.token() > before);
    for (sent, is_renewed) in [(510, false), (520, true)] {
        assert_eq!(agent.renew_lease(at(sent)).is_some(), is_renewed);
        agent.apply_listing(at(sent), at(sent + 1), &listing(2, false));
    }
}

/// Guards against late starts that are refused although their incarnation is up: a worker that leaves calls
/// without an answer begins nothing else.
#[test]
fn token_stays_with_incarnation() {
    let mut agent = agent();
    let before = agent.token();
    agent.poll_failed();
    assert_eq!(agent.next_call(at(500)), None);
    agent.apply_listing(at(510), at(511), &listing(1, false));
    assert!(matches!(agent.next_call(at(520)), Some(Action::Start { .. })));
    assert_eq!(agent.token(), before);
}

/// Guards against a worker that is called in vain for ever, since a call with a higher token came late.
#[test]
fn fenced_poll_raises_token() {
    let mut agent = agent();
    let highest = Fence(agent.token().0 + 3_600_000);
    let polls = (1..100).find(|_| {
        agent.poll_fenced();
        agent.token() > highest
    });
    assert!(polls.is_some_and(|polls| polls < 20), "{polls:?}");
    agent.apply_listing(at(1_000), at(1_001), &listing(1, false));
    assert!(matches!(agent.next_call(at(1_010)), Some(Action::Start { .. })));
}

/// Guards against a poll without an answer that reaches the next incarnation and acknowledges an end which
/// its agent has not read: the task ran again.
#[test]
fn poll_acknowledges_unread_end() {
    let mut worker = Target::new(1, 1);
    assert_eq!(worker.incarnation(), incarnation(1, ID));
    let mut agent = agent();
    let late = agent.token();
    assert!(!worker.is_fenced(ID, late));
    worker.restart_same_id();
    let next = worker.incarnation().started_ms;
    begin_next(&mut agent, at(1_000), heartbeat(next, ID));
    assert!(!worker.is_fenced(ID, agent.token()));
    let size = Size { need: NEED, work_ms: 100, checkpoints: false };
    assert_eq!(worker.start(ID, (task(), RUN), size, "", 5_000), StartAnswer::Started);
    worker.advance(Duration::from_millis(200));
    assert!(worker.is_fenced(ID, late), "the worker would carry out the poll");
    let listing = worker.list_runs(ID, None, 0).expect("an answer");
    assert!(matches!(listing.finished[..], [(1, _, RUN, Ending::Done, _)]), "{listing:?}");
}

fn run_seed(seed: u64) -> Result<(), String> {
    const WORKERS: usize = 5;
    const JOBS: u64 = 10;
    let mut rng = Rng::with_seed(seed);
    let mut cell = Cell::new(WORKERS);
    cell.run(Duration::from_secs(14));
    for id in 1..=JOBS {
        cell.set_work_time(Id(id), Duration::from_millis(rng.u64(500..8_000)));
        cell.submit(Id(id), "normal", "ana", request(rng.u16(1..=3)));
        let vm = rng.usize(..WORKERS);
        let delay = Duration::from_millis(rng.u64(2_000..12_000));
        cell.worker(vm).failure = Failure::DelayedStarts(delay);
        cell.run(Duration::from_millis(rng.u64(50..600)));
        cell.worker(vm).failure = Failure::None;
        for _ in 0..rng.u8(..3) {
            cell.run(Duration::from_millis(rng.u64(50..3_000)));
            if rng.u8(..4) == 0 {
                cell.restart_agent(vm);
            }
            // The agent is back before the worker is.
            cell.worker(vm).crash_same_id(Duration::from_millis(rng.u64(200..1_500)));
        }
        cell.run(Duration::from_secs(2));
    }
    common::finish(cell, JOBS, seed)
}

#[test]
fn seeded_late_starts() {
    let failed: Vec<String> = (0..60).filter_map(|seed| run_seed(seed).err()).collect();
    assert!(failed.is_empty(), "{} of 60: {}", failed.len(), failed.join("\n"));
}
