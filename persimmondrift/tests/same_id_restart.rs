//! Workers that restart under the id that they had. The new incarnation takes calls that were meant for
//! the one before, so a run is over only when no start that was sent can still begin it.

mod common;

use std::time::Duration;

use common::{BEGIN, RUN, at, begin_next, heartbeat, incarnation, listing, order, request, task};
use fastrand::Rng;
use persimmondrift::cell::duty::{Action, Heartbeat, Listed, Listing, Reconciler, StartAnswer};
use persimmondrift::cell::job::Id;
use persimmondrift::cell::record::{self, End, Ending, Running, State, Worker};
use persimmondrift::cell::table::Snapshot;
use persimmondrift::unit::Time;
use standin::cell::{Cell, Failure, MAX_LEASE};

const ID: &str = "i-1";
const OTHER_ID: &str = "i-2";

fn orders() -> Snapshot {
    Snapshot { rows: vec![order(1, incarnation(1, ID), false)], ..Snapshot::default() }
}

fn listed_end(started_ms: u64, ending: Ending) -> Listing {
    let finished = vec![(1, task(), RUN, ending, String::new())];
    Listing { finished, ..listing(started_ms, false) }
}

/// Creates an agent that has an order for one task, at a worker that has answered a poll.
fn agent() -> Reconciler {
    let mut agent = Reconciler::new("vm", None, BEGIN, MAX_LEASE);
    // An order that the first read shows may have been carried out by an earlier agent process.
    agent.reset_orders(&Snapshot::default());
    agent.heartbeat(BEGIN, heartbeat(1, ID));
    agent.apply_orders(&orders().rows);
    agent.report_stored(BEGIN, MAX_LEASE, Listed::default());
    agent.apply_listing(BEGIN, BEGIN, &listing(1, false));
    agent
}

fn send_start(agent: &mut Reconciler, now: Time) {
    let call = agent.next_call(now);
    assert!(matches!(call, Some(Action::Start { run: RUN, .. })), "{call:?}");
}

fn start(agent: &mut Reconciler, now: Time, answer: StartAnswer) {
    send_start(agent, now);
    agent.start_answered(now, task(), RUN, answer);
}

fn answer_stop(agent: &mut Reconciler, now: Time) {
    assert_eq!(agent.next_call(now), Some(Action::Stop { task: task(), run: RUN }));
    agent.stop_call_done(now, task(), RUN, true);
}

fn endings(agent: &Reconciler, now: Time) -> Vec<Ending> {
    agent.report(now).ends.iter().map(|end| end.ending).collect()
}

/// Checks that the run counts as one that may be running: its end is not reported, and the report
/// names the incarnation that it was ordered for, so that the planner neither writes it off nor places
/// anything else there.
fn assert_held(agent: &Reconciler, now: Time) {
    let report = agent.report(now);
    assert_eq!((report.ends, report.incarnation), (Vec::<End>::new(), incarnation(1, ID)));
}

/// Checks that the run is over and that the present incarnation is reported.
fn assert_over(agent: &Reconciler, now: Time, started_ms: u64, id: &str, ending: Ending) {
    assert_eq!(endings(agent, now), [ending]);
    assert_eq!(agent.report(now).incarnation, incarnation(started_ms, id));
}

/// Checks that the run is over once the new incarnation has answered a stop and then does not list it,
/// and no earlier.
fn assert_stopped_first(agent: &mut Reconciler, ending: Ending) {
    assert_held(agent, at(1_000));
    agent.apply_listing(at(1_000), at(1_001), &listing(2, false));
    assert_held(agent, at(1_001));
    answer_stop(agent, at(1_010));
    agent.apply_listing(at(1_005), at(1_011), &listing(2, false));
    assert_held(agent, at(1_011));
    agent.apply_listing(at(1_020), at(1_021), &listing(2, false));
    assert_over(agent, at(1_021), 2, ID, ending);
}

/// Guards against a run that starts in the new incarnation after its end was reported, since its start
/// was in flight.
#[test]
fn start_in_flight() {
    let mut agent = agent();
    send_start(&mut agent, at(100));
    begin_next(&mut agent, at(500), heartbeat(2, ID));
    assert_stopped_first(&mut agent, Ending::Lapsed);
}

#[test]
fn start_in_flight_runs_in_new_incarnation() {
    let mut agent = agent();
    send_start(&mut agent, at(100));
    begin_next(&mut agent, at(500), heartbeat(2, ID));
    agent.start_answered(at(510), task(), RUN, StartAnswer::Started);
    agent.apply_listing(at(520), at(521), &listing(2, true));
    assert_held(&agent, at(521));
    answer_stop(&mut agent, at(530));
    agent.apply_listing(at(540), at(541), &listing(2, true));
    assert_held(&agent, at(541));
    agent.apply_listing(at(900), at(901), &listed_end(2, Ending::Stopped));
    assert_over(&agent, at(901), 2, ID, Ending::Stopped);
    assert_eq!(agent.listed().number, 1, "the new incarnation may discard the end");
}

/// Guards against a done run that is started again.
#[test]
fn done_in_new_incarnation() {
    let mut agent = agent();
    send_start(&mut agent, at(100));
    begin_next(&mut agent, at(500), heartbeat(2, ID));
    agent.apply_listing(at(520), at(521), &listed_end(2, Ending::Done));
    assert_over(&agent, at(521), 2, ID, Ending::Done);
}

#[test]
fn start_in_flight_did_not_arrive() {
    for answer in [StartAnswer::NotSent, StartAnswer::OtherLife] {
        let mut agent = agent();
        send_start(&mut agent, at(100));
        begin_next(&mut agent, at(500), heartbeat(2, ID));
        assert_held(&agent, at(500));
        agent.start_answered(at(510), task(), RUN, answer);
        assert_over(&agent, at(510), 2, ID, Ending::Lapsed);
    }
}

/// Guards against a start that was chosen for one incarnation and is sent to the next.
#[test]
fn chosen_start_not_sent() {
    let mut agent = agent();
    send_start(&mut agent, at(100));
    assert!(agent.may_send_start(at(110), task(), RUN));
    begin_next(&mut agent, at(120), heartbeat(2, ID));
    assert!(!agent.may_send_start(at(130), task(), RUN));
}

/// Guards against a start that was not sent, since the worker was down, and that its next incarnation
/// took before its first heartbeat.
#[test]
fn resent_before_first_heartbeat() {
    let mut agent = agent();
    start(&mut agent, at(100), StartAnswer::NotSent);
    start(&mut agent, at(300), StartAnswer::Started);
    begin_next(&mut agent, at(310), heartbeat(2, ID));
    assert_stopped_first(&mut agent, Ending::CrashedAtStart);
}

#[test]
fn resent_before_first_listing() {
    let mut agent = agent();
    start(&mut agent, at(100), StartAnswer::NotSent);
    start(&mut agent, at(300), StartAnswer::Started);
    agent.apply_listing(at(305), at(310), &listing(2, true));
    assert_held(&agent, at(310));
    begin_next(&mut agent, at(320), heartbeat(2, ID));
    assert_stopped_first(&mut agent, Ending::CrashedAtStart);
}

/// Guards against a start without an answer that the new incarnation carries out seconds later.
#[test]
fn unanswered_start() {
    let mut agent = agent();
    start(&mut agent, at(100), StartAnswer::NoAnswer);
    begin_next(&mut agent, at(500), heartbeat(2, ID));
    assert_stopped_first(&mut agent, Ending::CrashedUnanswered);
}

/// Guards against the first of two starts, which got no answer, although the second one did.
#[test]
fn unanswered_start_of_running_task() {
    let mut agent = agent();
    start(&mut agent, at(100), StartAnswer::NoAnswer);
    start(&mut agent, at(500), StartAnswer::Started);
    agent.apply_listing(at(510), at(511), &listing(1, true));
    begin_next(&mut agent, at(900), heartbeat(2, ID));
    assert_stopped_first(&mut agent, Ending::CrashedAtStart);
}

/// A stop in one incarnation says nothing of the next one.
#[test]
fn second_restart() {
    let mut agent = agent();
    start(&mut agent, at(100), StartAnswer::NoAnswer);
    begin_next(&mut agent, at(500), heartbeat(2, ID));
    answer_stop(&mut agent, at(510));
    begin_next(&mut agent, at(520), heartbeat(3, ID));
    agent.apply_listing(at(530), at(531), &listing(3, false));
    assert_held(&agent, at(531));
    answer_stop(&mut agent, at(540));
    agent.apply_listing(at(550), at(551), &listing(3, false));
    assert_over(&agent, at(551), 3, ID, Ending::CrashedUnanswered);
}

#[test]
fn known_by_listing_first() {
    for id in [ID, OTHER_ID] {
        let mut agent = agent();
        start(&mut agent, at(100), StartAnswer::NoAnswer);
        agent.apply_listing(at(500), at(501), &listing(2, false));
        assert_held(&agent, at(501));
        begin_next(&mut agent, at(510), heartbeat(2, id));
        if id == ID {
            assert_stopped_first(&mut agent, Ending::CrashedUnanswered);
        } else {
            assert_over(&agent, at(510), 2, id, Ending::CrashedUnanswered);
        }
    }
}

/// The room of a run that may still start is not given to another.
#[test]
fn room_is_used() {
    let mut agent = agent();
    start(&mut agent, at(100), StartAnswer::NoAnswer);
    begin_next(&mut agent, at(500), heartbeat(2, ID));
    assert!(agent.is_busy() && agent.is_settling());
    assert_eq!(agent.report(at(500)).condition, record::Condition::Absent);
}

#[test]
fn nobody_answers() {
    let mut agent = agent();
    start(&mut agent, at(100), StartAnswer::NoAnswer);
    begin_next(&mut agent, at(500), heartbeat(2, ID));
    // A start that is carried out 12 s late holds a full lease, on a clock that is 2 % slow.
    let held = MAX_LEASE * 100 / 98 + Duration::from_secs(12);
    assert!(!agent.end_lapsed(at(500) + held));
    assert_held(&agent, at(500) + held);
    let lapsed = at(501) + held;
    assert!(agent.end_lapsed(lapsed));
    assert_over(&agent, lapsed, 2, ID, Ending::CrashedUnanswered);
}

/// Guards against a run that an earlier agent process may have started, when the whole VM restarts.
#[test]
fn agent_restarts_too() {
    let running = Running {
        task: task(),
        run: RUN,
        percent: 0,
        since_progress_ms: 0,
        age_ms: 400,
        checkpoint: String::new(),
    };
    for (running, ending) in [(vec![], Ending::Lapsed), (vec![running], Ending::Crashed)] {
        let last = Worker { incarnation: incarnation(1, ID), running, ..Worker::default() };
        let mut agent = Reconciler::new("vm", Some(&last), BEGIN, MAX_LEASE);
        agent.reset_orders(&orders());
        begin_next(&mut agent, at(500), heartbeat(2, ID));
        assert_stopped_first(&mut agent, ending);
    }
}

/// Guards against a start that the next incarnation takes, although a failed poll shows that the worker is
/// not up as before.
#[test]
fn no_start_after_failed_poll() {
    let mut agent = agent();
    send_start(&mut agent, at(100));
    agent.poll_failed();
    assert!(!agent.may_send_start(at(110), task(), RUN));
    agent.start_answered(at(110), task(), RUN, StartAnswer::NotSent);
    assert_eq!(agent.next_call(at(300)), None);
    agent.apply_listing(at(310), at(311), &listing(1, false));
    send_start(&mut agent, at(320));
    assert!(agent.may_send_start(at(321), task(), RUN));
}

/// Guards against ends of the next incarnation that are discarded unread, and a lease in it that ends
/// late, since a poll was meant for the incarnation before.
#[test]
fn poll_after_failed_poll() {
    let mut agent = agent();
    agent.apply_listing(at(100), at(101), &listed_end(1, Ending::Done));
    let listed = agent.listed();
    agent.report_stored(at(110), MAX_LEASE, listed);
    assert_eq!(agent.ack_cursor(at(110)), 1);
    assert!(agent.renew_lease(at(110)).is_some());
    agent.poll_failed();
    assert_eq!((agent.ack_cursor(at(120)), agent.renew_lease(at(120))), (0, None));
    agent.apply_listing(at(130), at(131), &listed_end(1, Ending::Done));
    assert_eq!(agent.ack_cursor(at(140)), 1);
    assert!(agent.renew_lease(at(140)).is_some());
}

#[test]
fn poll_after_long_silence() {
    let mut agent = agent();
    agent.apply_listing(at(100), at(101), &listed_end(1, Ending::Done));
    let listed = agent.listed();
    agent.report_stored(at(110), MAX_LEASE, listed);
    assert_eq!((agent.ack_cursor(at(1_200)), agent.renew_lease(at(1_200))), (0, None));
}

/// Guards against polls that repeat an acknowledgement: any of them may be carried out seconds later.
#[test]
fn ends_acknowledged_once() {
    let mut agent = agent();
    agent.apply_listing(at(100), at(101), &listed_end(1, Ending::Done));
    let listed = agent.listed();
    agent.report_stored(at(110), MAX_LEASE, listed);
    assert_eq!(agent.ack_cursor(at(120)), 1);
    agent.apply_listing(at(120), at(121), &listing(1, false));
    assert_eq!(agent.ack_cursor(at(130)), 0);
}

/// With a new id nothing that was sent can start, so nothing waits.
#[test]
fn new_id() {
    let mut in_flight = agent();
    send_start(&mut in_flight, at(100));
    begin_next(&mut in_flight, at(500), heartbeat(2, OTHER_ID));
    assert_over(&in_flight, at(500), 2, OTHER_ID, Ending::Lapsed);
    let mut unanswered = agent();
    start(&mut unanswered, at(100), StartAnswer::NoAnswer);
    begin_next(&mut unanswered, at(500), heartbeat(2, OTHER_ID));
    assert_over(&unanswered, at(500), 2, OTHER_ID, Ending::CrashedUnanswered);
}

/// A run that the earlier incarnation is known to have started is gone with it.
#[test]
fn confirmed_run() {
    let mut agent = agent();
    start(&mut agent, at(100), StartAnswer::Started);
    agent.apply_listing(at(110), at(111), &listing(1, true));
    begin_next(&mut agent, at(500), heartbeat(2, ID));
    assert_over(&agent, at(500), 2, ID, Ending::CrashedAtStart);
}

/// Guards against a worker that leaves and returns under its id.
#[test]
fn worker_returns() {
    for id in [ID, OTHER_ID] {
        let mut agent = agent();
        start(&mut agent, at(100), StartAnswer::NoAnswer);
        assert!(agent.worker_left(at(400), ID, Some(1)));
        assert_held(&agent, at(400));
        begin_next(&mut agent, at(500), heartbeat(2, id));
        if id == ID {
            assert_stopped_first(&mut agent, Ending::Lapsed);
        } else {
            assert_over(&agent, at(500), 2, id, Ending::Lapsed);
        }
    }
}

/// Returns an agent whose worker has returned under its id.
fn returned_agent() -> Reconciler {
    let mut agent = agent();
    begin_next(&mut agent, at(500), heartbeat(2, ID));
    agent
}

/// Guards against a late deregistration of one incarnation that ends the runs of the next one.
#[test]
fn late_deregistration() {
    for started_ms in [Some(1), None] {
        let mut agent = returned_agent();
        assert!(!agent.worker_left(at(600), ID, started_ms), "{started_ms:?}");
        assert_eq!(*agent.incarnation(), incarnation(2, ID));
        assert!(!agent.worker_left(at(600), OTHER_ID, started_ms), "{started_ms:?}");
    }
}

#[test]
fn returned_worker_leaves() {
    let draining = Heartbeat { sequence: 2, draining: true, ..heartbeat(2, ID) };
    for started_ms in [Some(2), None] {
        let mut agent = returned_agent();
        agent.heartbeat(at(600), draining.clone());
        assert!(agent.worker_left(at(700), ID, started_ms), "{started_ms:?}");
        for now in [at(700), at(701)] {
            let report = agent.report(now);
            assert_eq!(report.incarnation, incarnation(2, ID));
            assert_eq!((report.condition, report.remaining_ms), (record::Condition::Draining, 0));
            assert_eq!(agent.renew_lease(now), None);
            assert!(agent.worker_left(now, ID, started_ms), "repeated: {started_ms:?}");
        }
    }
}

/// Guards against heartbeats of an incarnation that arrive after it has left, unheard of until then.
#[test]
fn unheard_worker_leaves() {
    let mut agent = agent();
    assert!(!agent.worker_left(at(400), OTHER_ID, Some(2)));
    assert_eq!(agent.next_call(at(400)), Some(Action::Identify));
    agent.identified(at(400), at(410), None);
    agent.heartbeat(at(500), heartbeat(2, OTHER_ID));
    assert_held(&agent, at(500));
    assert_eq!(agent.renew_lease(at(500)), None);
    begin_next(&mut agent, at(600), heartbeat(3, OTHER_ID));
    agent.heartbeat(at(700), heartbeat(2, OTHER_ID));
    assert!(!agent.is_identifying());
    assert_eq!(*agent.incarnation(), incarnation(3, OTHER_ID));
}

fn delayed(cell: &mut Cell, workers: usize) -> Option<usize> {
    (0..workers).find(|vm| cell.worker(*vm).delayed_starts().next().is_some())
}

/// Runs a cell until a worker has a delayed start, and returns that worker.
fn cell_with_delayed_start() -> (Cell, usize) {
    const WORKERS: usize = 4;
    let mut cell = Cell::new(WORKERS);
    cell.run(Duration::from_secs(2));
    for vm in 0..WORKERS {
        cell.worker(vm).failure = Failure::DelayedStarts(Duration::from_millis(1_500));
    }
    cell.submit(Id(1), "normal", "ana", request(1));
    let delayed = (0..40).find_map(|_| {
        cell.run(Duration::from_millis(50));
        delayed(&mut cell, WORKERS)
    });
    (cell, delayed.expect("a delayed start"))
}

fn assert_runs_once(mut cell: Cell) {
    for vm in 0..4 {
        cell.worker(vm).failure = Failure::None;
    }
    let completed = |cell: &Cell| cell.state(Id(1)) == Some(State::Completed);
    assert!(cell.run_until(Duration::from_secs(30), completed));
    assert!(cell.violations.is_empty(), "{:?}", cell.violations);
}

/// Guards against two runs of a task at once, since a start that was sent before a crash is carried
/// out after it.
#[test]
fn late_start_in_cell() {
    let (mut cell, vm) = cell_with_delayed_start();
    cell.worker(vm).crash_same_id(Duration::from_millis(200));
    assert_runs_once(cell);
}

#[test]
fn late_start_in_cell_after_restart_of_agent() {
    let (mut cell, vm) = cell_with_delayed_start();
    cell.worker(vm).crash_same_id(Duration::from_millis(200));
    cell.restart_agent(vm);
    assert_runs_once(cell);
}

/// Guards against two runs of a task at once, since the next incarnation takes a start before it is
/// heard of.
#[test]
fn start_before_first_heartbeat_in_cell() {
    const WORKERS: usize = 4;
    let mut cell = Cell::new(WORKERS);
    cell.run(Duration::from_secs(2));
    for vm in 0..WORKERS {
        cell.worker(vm).restart_same_id();
        cell.set_unheard(vm, true);
    }
    cell.submit(Id(1), "normal", "ana", request(1));
    cell.run(Duration::from_millis(600));
    assert_eq!(cell.starts(Id(1)), 1, "no worker took the start");
    for vm in 0..WORKERS {
        cell.set_unheard(vm, false);
    }
    assert_runs_once(cell);
}

fn run_seed(seed: u64) -> Result<(), String> {
    const WORKERS: usize = 5;
    const JOBS: u64 = 12;
    let mut rng = Rng::with_seed(seed);
    let mut cell = Cell::new(WORKERS);
    cell.run(Duration::from_secs(2));
    for id in 1..=JOBS {
        cell.submit(Id(id), "normal", "ana", request(rng.u16(1..=3)));
        let vm = rng.usize(..WORKERS);
        // Answers of a call are lost and the call is delayed until a crash at most.
        let delay = Duration::from_millis(rng.u64(50..1_500));
        match rng.u8(..3) {
            0 => cell.worker(vm).failure = Failure::DelayedStarts(delay),
            1 => cell.set_unheard(vm, true),
            _ => {}
        }
        cell.run(Duration::from_millis(rng.u64(50..900)));
        let down = Duration::from_millis(rng.u64(50..800));
        match rng.u8(..4) {
            0 => cell.worker(vm).restart_same_id(),
            1 => cell.worker(vm).crash_same_id(down),
            2 => {
                cell.worker(vm).crash_same_id(down);
                cell.restart_agent(vm);
            }
            _ => cell.worker(vm).crash(down),
        }
        cell.run(Duration::from_millis(rng.u64(50..600)));
        cell.worker(vm).failure = Failure::None;
        cell.set_unheard(vm, false);
        // No call is delayed beyond two crashes.
        cell.run(Duration::from_secs(2));
    }
    common::finish(cell, JOBS, seed)
}

#[test]
fn seeded_restarts() {
    let failed: Vec<String> = (0..60).filter_map(|seed| run_seed(seed).err()).collect();
    assert!(failed.is_empty(), "{} of 60: {}", failed.len(), failed.join("\n"));
}
