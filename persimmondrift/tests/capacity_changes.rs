//! Workers whose capacity shrinks and grows while they run: no start brings one over it, what runs
//! continues, and tasks that no longer fit run elsewhere.

mod common;

use std::time::Duration;

use common::begin_next;
use persimmondrift::cell::duty::{Action, Heartbeat, Listed, Listing, Reconciler, StartAnswer};
use persimmondrift::cell::job::{Group, Id, Request, Resources, Step, Task};
use persimmondrift::cell::record::{self, Condition, Ending, Incarnation, Order, OrderTask, State};
use persimmondrift::cell::table::{Row, Snapshot, Table};
use persimmondrift::unit::{Epoch, Time, Version};
use standin::cell::{CAPACITY, Cell, Failure, MAX_LEASE, Size, Target};

const NONE: Resources = Resources { millicores: 0, mebibytes: 0, accelerators: 0 };
/// Time within which a task must run while there is capacity for it.
const PLACE_BOUND: Duration = Duration::from_secs(3);
/// Required upper bound on the start of guaranteed work.
const RECLAIM_BOUND: Duration = Duration::from_millis(2_900);
/// Time after which a start may no longer rely on the capacity before a change, with some to spare.
const GRACE: Duration = Duration::from_millis(4_200);

fn accelerators(accelerators: u32) -> Resources {
    Resources { accelerators, ..CAPACITY }
}

fn request(width: u16, accelerators: u32, gang: bool) -> Request {
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators };
    let step = Step { width, need, estimate_ms: 3_000, gang, ..Step::default() };
    Request { spec: "render".to_owned(), steps: vec![step], schedule: None }
}

fn cell(workers: usize) -> Cell {
    let mut cell = Cell::new(workers);
    cell.run(Duration::from_secs(2));
    cell
}

/// Returns a cell of two workers. The agent of the first is suspended and has an order for job 2,
/// and job 1 fills the second for a while.
fn cell_with_unstarted_order() -> Cell {
    let mut cell = cell(2);
    cell.set_frozen(0, true);
    cell.worker(0).set_capacity(accelerators(7));
    cell.set_frozen(0, false);
    cell.run(Duration::from_millis(200));
    cell.submit(Id(1), "urgent", "ana", request(1, 8, false));
    cell.run(Duration::from_millis(200));
    assert_eq!(cell.running(1).len(), 1, "only the second worker can hold job 1");
    cell.worker(0).set_capacity(CAPACITY);
    cell.run(Duration::from_millis(200));
    cell.set_frozen(0, true);
    cell.submit(Id(2), "urgent", "ana", request(1, 8, false));
    cell.run(Duration::from_millis(200));
    assert_eq!(cell.starts(Id(2)), 0);
    cell
}

fn assert_valid(cell: &Cell) {
    assert_eq!(cell.violations, Vec::<String>::new());
}

/// The stand-in itself: a start beyond the capacity is seen once the earlier capacity is out of date,
/// and what is being stopped counts.
#[test]
fn starts_over_capacity_are_seen() {
    let size = Size { need: NEED, work_ms: 60_000, checkpoints: false };
    let over = |shrunk_for: Duration| {
        let mut worker = Target::new(1, 1);
        assert_eq!(worker.start("", (task(1), 1), size, "", 5_900), StartAnswer::Started);
        worker.set_capacity(accelerators(7));
        worker.advance(shrunk_for);
        worker.stop("", (task(1), 1));
        assert_eq!(worker.start("", (task(2), 1), size, "", 9_000), StartAnswer::Started);
        worker.starts_over_capacity
    };
    assert_eq!(over(Duration::from_secs(4)), []);
    assert_eq!(over(GRACE), [(task(2), 1)]);
}

#[test]
fn running_tasks_continue() {
    let mut cell = cell(1);
    cell.submit(Id(1), "urgent", "ana", request(8, 1, false));
    cell.set_work_time(Id(1), Duration::from_secs(10));
    cell.run(Duration::from_millis(300));
    cell.worker(0).set_capacity(accelerators(2));
    cell.submit(Id(2), "urgent", "luis", request(4, 1, false));
    cell.run(Duration::from_secs(6));
    assert_eq!((cell.starts(Id(1)), cell.starts(Id(2))), (8, 0));
    let ended =
        cell.run_until(Duration::from_secs(20), |cell| cell.state(Id(2)) == Some(State::Completed));
    assert!(ended, "the tasks of job 2 run two at a time");
    assert_eq!(cell.starts(Id(1)), 8, "nothing was stopped");
    assert_valid(&cell);
}

/// Guards against tasks that wait at an agent whose worker has shrunk, beside free workers.
#[test]
fn order_that_no_longer_fits_moves() {
    let mut cell = cell_with_unstarted_order();
    cell.worker(0).set_capacity(accelerators(4));
    cell.set_frozen(0, false);
    assert!(cell.run_until(Duration::from_secs(4), |cell| cell.running(1).is_empty()
        || cell.starts(Id(2)) > 0));
    let started = cell.run_until(PLACE_BOUND, |cell| cell.starts(Id(2)) > 0);
    assert!(started, "job 2 waits beside a free worker");
    assert_valid(&cell);
}

/// Guards against an agent that starts what its predecessor was ordered without checking that it
/// fits.
#[test]
fn restarted_agent_checks_capacity() {
    let mut cell = cell_with_unstarted_order();
    cell.worker(0).set_capacity(accelerators(4));
    cell.run(GRACE);
    cell.restart_agent(0);
    cell.set_frozen(0, false);
    assert!(cell.run_until(PLACE_BOUND, |cell| cell.starts(Id(2)) > 0), "job 2 waits");
    assert!(cell.running(0).is_empty());
    assert_valid(&cell);
}

/// Guards against a start that is sent again after the worker has shrunk.
#[test]
fn lost_start_not_repeated_beyond_capacity() {
    let mut cell = cell(1);
    cell.worker(0).failure = Failure::LosesStarts;
    cell.submit(Id(1), "urgent", "ana", request(1, 8, false));
    cell.run(Duration::from_secs(1));
    cell.worker(0).set_capacity(accelerators(4));
    cell.run(GRACE);
    cell.worker(0).failure = Failure::None;
    cell.run(Duration::from_secs(2));
    assert_eq!(cell.starts(Id(1)), 0);
    cell.worker(0).set_capacity(CAPACITY);
    assert!(cell.run_until(PLACE_BOUND, |cell| cell.starts(Id(1)) > 0), "the capacity is back");
    assert_valid(&cell);
}

/// Guards against a start without an answer that keeps its job from running elsewhere.
#[test]
fn lost_start_that_no_longer_fits_moves() {
    let mut cell = cell(2);
    cell.worker(1).set_capacity(NONE);
    cell.worker(0).failure = Failure::LosesStarts;
    cell.run(Duration::from_millis(200));
    cell.submit(Id(1), "urgent", "ana", request(1, 8, false));
    cell.run(Duration::from_secs(1));
    cell.worker(0).set_capacity(accelerators(4));
    cell.worker(1).set_capacity(CAPACITY);
    assert!(cell.run_until(PLACE_BOUND, |cell| cell.starts(Id(1)) > 0));
    assert_eq!(cell.running(1).len(), 1);
    assert_valid(&cell);
}

#[test]
fn new_planner_respects_capacity() {
    let mut cell = cell(3);
    cell.submit(Id(1), "urgent", "ana", request(24, 1, false));
    cell.set_work_time(Id(1), Duration::from_secs(8));
    cell.run(Duration::from_millis(500));
    for vm in 0..2 {
        cell.worker(vm).set_capacity(accelerators(2));
    }
    for id in 2..8 {
        cell.submit(Id(id), "normal", "luis", request(4, 2, id % 2 == 0));
        cell.crash_planner();
        cell.run(Duration::from_secs(1));
    }
    let ended = cell.run_until(Duration::from_mins(1), |cell| cell.ended().len() == 7);
    assert!(ended, "{:?}", cell.ended());
    assert_valid(&cell);
}

#[test]
fn grown_worker_is_used_again() {
    let mut cell = cell(1);
    cell.worker(0).set_capacity(NONE);
    cell.run(GRACE);
    cell.submit(Id(1), "low", "ana", request(1, 8, false));
    cell.run(Duration::from_secs(2));
    assert_eq!(cell.starts(Id(1)), 0);
    cell.worker(0).set_capacity(CAPACITY);
    assert!(cell.run_until(PLACE_BOUND, |cell| cell.starts(Id(1)) == 1));
    assert_valid(&cell);
}

/// Guards against stops that free less than was counted, so that guaranteed work waits for a second
/// round of stops.
#[test]
fn enough_is_stopped_on_overcommitted_worker() {
    let mut cell = cell(1);
    cell.submit(Id(1), "low", "luis", request(8, 1, false));
    cell.set_work_time(Id(1), Duration::from_mins(1));
    cell.run(Duration::from_secs(1));
    assert_eq!(cell.running(0).len(), 8);
    cell.worker(0).set_capacity(accelerators(4));
    cell.run(Duration::from_millis(200));
    cell.submit(Id(2), "urgent", "ana", request(1, 4, false));
    cell.run(Duration::from_millis(150));
    assert_eq!(cell.stopping().len(), 8, "four of eight stops free nothing");
    assert!(cell.run_until(RECLAIM_BOUND, |cell| cell.starts(Id(2)) == 1));
    assert_valid(&cell);
}

/// Guards against stops under way that are counted twice on an overcommitted worker, so that
/// nothing more is stopped.
#[test]
fn stops_on_overcommitted_worker_free_less() {
    let mut cell = cell(1);
    cell.submit(Id(1), "low", "luis", request(4, 1, false));
    cell.submit(Id(2), "low", "luis", request(4, 1, false));
    for id in 1..=2 {
        cell.set_work_time(Id(id), Duration::from_mins(1));
    }
    cell.run(Duration::from_secs(1));
    cell.worker(0).set_capacity(accelerators(4));
    cell.cancel(Id(1));
    cell.run(Duration::from_millis(150));
    assert_eq!(cell.stopping().len(), 4);
    cell.submit(Id(3), "urgent", "ana", request(1, 4, false));
    cell.run(Duration::from_millis(150));
    assert_eq!(cell.stopping().len(), 8, "the stops of job 1 free nothing");
    assert!(cell.run_until(RECLAIM_BOUND, |cell| cell.starts(Id(3)) == 1));
    assert_valid(&cell);
}

/// Guards against a task that waits for ever because the only worker that can hold it is excluded and
/// the others, which have shrunk, are not.
#[test]
fn suspected_worker_used_if_others_have_shrunk() {
    let mut cell = cell(2);
    cell.worker(1).set_capacity(accelerators(4));
    cell.worker(0).failure = Failure::Fails;
    cell.run(Duration::from_millis(200));
    cell.submit(Id(1), "urgent", "ana", request(1, 8, false));
    assert!(cell.run_until(PLACE_BOUND, |cell| cell.starts(Id(1)) == 1));
    cell.run(Duration::from_millis(50));
    cell.worker(0).failure = Failure::None;
    assert!(cell.run_until(PLACE_BOUND, |cell| cell.starts(Id(1)) == 2), "it waits for a worker");
    assert_valid(&cell);
}

/// Guards against a worker without capacity that is kept empty for urgent work instead of another.
#[test]
fn worker_without_capacity_is_not_in_reserve() {
    let mut cell = cell(4);
    cell.worker(3).set_capacity(NONE);
    cell.run(Duration::from_millis(300));
    cell.submit(Id(1), "low", "luis", request(10, 1, false));
    cell.run(Duration::from_millis(300));
    cell.submit(Id(2), "low", "luis", request(12, 1, false));
    cell.run(Duration::from_millis(300));
    assert_eq!(cell.starts(Id(1)) + cell.starts(Id(2)), 16, "one of three workers stays empty");
    cell.submit(Id(3), "urgent", "ana", request(1, 8, false));
    cell.run(Duration::from_millis(300));
    assert_eq!((cell.starts(Id(3)), cell.stopping().len()), (1, 0));
    assert_valid(&cell);
}

#[test]
fn guaranteed_job_placed_on_shrunk_workers() {
    for (width, need, gang) in [(2, 4, true), (4, 2, false), (2, 4, false)] {
        let mut cell = cell(3);
        for id in 1..=3 {
            cell.submit(Id(id), "low", "luis", request(8, 1, false));
            cell.set_work_time(Id(id), Duration::from_mins(1));
        }
        cell.run(Duration::from_secs(2));
        for vm in 0..3 {
            cell.worker(vm).set_capacity(accelerators(4));
        }
        cell.run(Duration::from_millis(200));
        cell.submit(Id(9), "urgent", "ana", request(width, need, gang));
        let all = usize::from(width);
        let started = cell.run_until(RECLAIM_BOUND, |cell| cell.starts(Id(9)) == all);
        assert!(started, "{width} x {need}: {}", cell.starts(Id(9)));
        assert_valid(&cell);
    }
}

#[test]
fn gang_moves_as_a_whole() {
    let mut cell = cell(4);
    for vm in 2..4 {
        cell.worker(vm).set_capacity(NONE);
    }
    cell.run(Duration::from_millis(200));
    cell.set_frozen(0, true);
    cell.submit(Id(1), "urgent", "ana", request(2, 8, true));
    cell.run(Duration::from_millis(300));
    assert_eq!(cell.starts(Id(1)), 1, "one member waits for the other");
    cell.worker(0).set_capacity(accelerators(4));
    for vm in 2..4 {
        cell.worker(vm).set_capacity(CAPACITY);
    }
    cell.set_frozen(0, false);
    let both = |cell: &Cell| (0..4).filter(|vm| !cell.running(*vm).is_empty()).count() == 2;
    assert!(cell.run_until(Duration::from_secs(2), both), "within the wait of its members");
    assert!(cell.running(0).is_empty());
    assert_valid(&cell);
}

#[test]
fn each_resource_shrinks_alone() {
    for capacity in [
        Resources { millicores: 3_000, ..CAPACITY },
        Resources { mebibytes: 5_000, ..CAPACITY },
        Resources { accelerators: 1, ..CAPACITY },
    ] {
        let mut cell = cell(2);
        cell.worker(0).set_capacity(capacity);
        cell.run(GRACE);
        cell.submit(Id(1), "urgent", "ana", request(10, 1, false));
        cell.run(Duration::from_secs(1));
        assert_eq!((cell.running(0).len(), cell.running(1).len()), (1, 8), "{capacity:?}");
        let ended = cell
            .run_until(Duration::from_secs(9), |cell| cell.state(Id(1)) == Some(State::Completed));
        assert!(ended);
        assert_valid(&cell);
    }
}

#[test]
fn worker_restarts_with_less() {
    let mut cell = cell(2);
    cell.submit(Id(1), "urgent", "ana", request(2, 8, false));
    cell.run(Duration::from_millis(500));
    cell.worker(0).set_capacity(accelerators(4));
    cell.worker(0).restart();
    cell.run(Duration::from_secs(1));
    assert!(cell.running(0).is_empty());
    let ended =
        cell.run_until(Duration::from_secs(9), |cell| cell.state(Id(1)) == Some(State::Completed));
    assert!(ended);
    assert_valid(&cell);
}

const BEGIN: Time = Time(100_000_000);
const NEED: Resources = Resources { millicores: 2_000, mebibytes: 4_096, accelerators: 4 };

fn heartbeat(started_ms: u64, sequence: u64, capacity: Resources) -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation { started_ms, id: format!("w-{started_ms}") },
        sequence,
        clock_ms: 1_000,
        draining: false,
        service: "studio".to_owned(),
        labels: Vec::new(),
        capacity,
        remaining_ms: 0,
        cold_ms: 0,
    }
}

fn order(job: u64, stop: bool) -> Row {
    let task = OrderTask { index: 0, run: 1, checkpoint: String::new(), stop };
    let incarnation = Incarnation { started_ms: 1, id: "w-1".to_owned() };
    let order = Order { epoch: Epoch(1), incarnation, session: 0, need: NEED, tasks: vec![task] };
    let key = record::order_key("vm", Group { job: Id(job), occurrence: 0, step: 0 });
    let (version, value) = (Version(job * 2 + u64::from(stop)), Some(record::encode(&order)));
    Row { table: Table::Orders, key, version, value }
}

fn task(job: u64) -> Task {
    Task { job: Id(job), occurrence: 0, step: 0, index: 0 }
}

/// Creates an agent whose worker holds two tasks and runs none.
fn agent() -> Reconciler {
    let mut agent = Reconciler::new("vm", None, BEGIN, MAX_LEASE);
    agent.reset_orders(&Snapshot::default());
    agent.heartbeat(BEGIN, heartbeat(1, 1, accelerators(8)));
    agent.report_stored(BEGIN, MAX_LEASE, Listed::default());
    let listing = Listing { started_ms: 1, clock_ms: 1_000, ..Listing::default() };
    agent.apply_listing(BEGIN, BEGIN, &listing);
    agent
}

fn started(action: Option<&Action>) -> Option<Task> {
    match action {
        Some(Action::Start { task, .. }) => Some(*task),
        _ => None,
    }
}

fn ends(agent: &Reconciler) -> Vec<(Task, Ending)> {
    agent.report(BEGIN).ends.iter().map(|end| (end.task, end.ending)).collect()
}

#[test]
fn late_heartbeat_keeps_newer_capacity() {
    let mut agent = agent();
    agent.heartbeat(BEGIN, heartbeat(1, 3, accelerators(2)));
    agent.heartbeat(BEGIN, heartbeat(1, 2, accelerators(8)));
    agent.apply_orders(&[order(1, false)]);
    assert_eq!(agent.next_call(BEGIN), None);
    begin_next(&mut agent, BEGIN, heartbeat(2, 1, accelerators(8)));
    agent.heartbeat(BEGIN, heartbeat(1, 4, accelerators(8)));
    assert_eq!(agent.report(BEGIN).incarnation.started_ms, 2, "the new incarnation counts");
    assert_eq!(agent.report(BEGIN).capacity, accelerators(8));
}

#[test]
fn restarted_agent_waits_for_heartbeat() {
    let before = agent();
    let last = before.report(BEGIN);
    assert_eq!(last.capacity, accelerators(8));
    let mut agent = Reconciler::new("vm", Some(&last), BEGIN, MAX_LEASE);
    agent.reset_orders(&Snapshot { rows: vec![order(1, false)], ..Snapshot::default() });
    agent.report_stored(BEGIN, MAX_LEASE, Listed::default());
    let listing = Listing { started_ms: 1, clock_ms: 1_000, ..Listing::default() };
    agent.apply_listing(BEGIN, BEGIN, &listing);
    assert_eq!(agent.next_call(BEGIN), None, "the stored capacity may be out of date");
    assert_eq!(agent.report(BEGIN).condition, Condition::Absent, "the planner gives it no task");
    agent.heartbeat(BEGIN, heartbeat(1, 9, accelerators(2)));
    let stop = Action::Stop { task: task(1), run: 1 };
    assert_eq!(agent.next_call(BEGIN), Some(stop), "its predecessor may have sent the start");
}

#[test]
fn starts_in_flight_count() {
    let mut agent = agent();
    let orders: Vec<Row> = (1..=2).map(|job| order(job, false)).collect();
    agent.apply_orders(&orders);
    assert_eq!(started(agent.next_call(BEGIN).as_ref()), Some(task(1)));
    agent.heartbeat(BEGIN, heartbeat(1, 2, accelerators(4)));
    assert_eq!(agent.next_call(BEGIN), None, "the start in flight takes what is left");
    assert_eq!(ends(&agent), [(task(2), Ending::Refused)]);
    agent.start_answered(BEGIN, task(1), 1, StartAnswer::Started);
    assert_eq!(agent.next_call(BEGIN), None, "what runs is not stopped");
}

#[test]
fn stop_under_way_counts() {
    let mut agent = agent();
    agent.apply_orders(&[order(1, false)]);
    assert!(agent.next_call(BEGIN).is_some());
    agent.start_answered(BEGIN, task(1), 1, StartAnswer::Started);
    agent.apply_orders(&[order(1, true), order(2, false)]);
    agent.heartbeat(BEGIN, heartbeat(1, 2, accelerators(4)));
    assert!(matches!(agent.next_call(BEGIN), Some(Action::Stop { .. })));
    agent.stop_call_done(BEGIN, task(1), 1, true);
    assert_eq!(agent.next_call(BEGIN), None, "its end is not listed");
    assert_eq!(ends(&agent), [], "the second task fits once the first has ended");
    let finished = vec![(1, task(1), 1, Ending::Stopped, String::new())];
    let listing = Listing { started_ms: 1, clock_ms: 1_400, finished, ..Listing::default() };
    agent.apply_listing(BEGIN, BEGIN, &listing);
    assert_eq!(started(agent.next_call(BEGIN).as_ref()), Some(task(2)));
}

/// Guards against an agent that was suspended and starts a task before a heartbeat has told it that
/// the worker has shrunk meanwhile.
#[test]
fn old_heartbeat_allows_no_start() {
    let mut agent = agent();
    let now = BEGIN + GRACE;
    agent.report_stored(now, MAX_LEASE, Listed::default());
    let listing = Listing { started_ms: 1, clock_ms: 5_000, ..Listing::default() };
    agent.apply_listing(now, now, &listing);
    agent.apply_orders(&[order(1, false)]);
    assert_eq!(agent.next_call(now), None);
    agent.heartbeat(now, Heartbeat { clock_ms: 5_000, ..heartbeat(1, 2, accelerators(8)) });
    assert_eq!(started(agent.next_call(now).as_ref()), Some(task(1)));
}

/// Guards against a heartbeat from before the worker shrank that arrives late, as after a suspension
/// of the agent, and allows starts.
#[test]
fn delayed_heartbeat_allows_no_start() {
    let mut agent = agent();
    let now = BEGIN + GRACE;
    agent.report_stored(now, MAX_LEASE, Listed::default());
    agent.apply_orders(&[order(1, false)]);
    let listing = Listing { started_ms: 1, clock_ms: 5_200, ..Listing::default() };
    agent.heartbeat(now, Heartbeat { clock_ms: 1_100, ..heartbeat(1, 2, accelerators(8)) });
    agent.apply_listing(now, now, &listing);
    assert_eq!(agent.next_call(now), None);
    assert_eq!(agent.report(now).condition, Condition::Silent, "the planner gives it no task");
    agent.heartbeat(now, Heartbeat { clock_ms: 4_900, ..heartbeat(1, 3, accelerators(8)) });
    assert_eq!(agent.report(now).condition, Condition::Ready);
    assert_eq!(started(agent.next_call(now).as_ref()), Some(task(1)));
}

#[test]
fn silent_heartbeats_take_no_orders() {
    let mut agent = agent();
    let now = BEGIN + GRACE;
    let listing = Listing { started_ms: 1, clock_ms: 5_000, ..Listing::default() };
    agent.apply_listing(now, now, &listing);
    assert_eq!(agent.report(now).condition, Condition::Silent, "the planner gives it no task");
    agent.heartbeat(now, Heartbeat { clock_ms: 5_000, ..heartbeat(1, 2, accelerators(8)) });
    assert_eq!(agent.report(now).condition, Condition::Ready);
}

/// Guards against a start that was chosen before the worker shrank and is sent after it.
#[test]
fn start_checked_again_before_it_is_sent() {
    let mut agent = agent();
    agent.apply_orders(&[order(1, false), order(2, false)]);
    assert_eq!(started(agent.next_call(BEGIN).as_ref()), Some(task(1)));
    assert_eq!(started(agent.next_call(BEGIN).as_ref()), Some(task(2)));
    agent.heartbeat(BEGIN, heartbeat(1, 2, accelerators(4)));
    assert!(!agent.may_send_start(BEGIN, task(1), 1), "both starts do not fit");
    agent.start_answered(BEGIN, task(1), 1, StartAnswer::NotSent);
    assert!(agent.may_send_start(BEGIN, task(2), 1));
    assert_eq!(ends(&agent), [(task(1), Ending::Refused)]);
    agent.apply_orders(&[order(2, true)]);
    assert!(!agent.may_send_start(BEGIN, task(2), 1), "it is to be stopped");
}

/// Guards against ends of a new incarnation that are acknowledged by a report of the last one.
#[test]
fn report_of_last_incarnation_acknowledges_nothing() {
    let mut agent = agent();
    let finished = vec![(9, task(1), 1, Ending::Done, String::new())];
    let listing = Listing { started_ms: 1, clock_ms: 1_000, finished, ..Listing::default() };
    agent.apply_listing(BEGIN, BEGIN, &listing);
    let listed = agent.listed();
    begin_next(&mut agent, BEGIN, heartbeat(2, 1, accelerators(8)));
    agent.report_stored(BEGIN, MAX_LEASE, listed);
    assert_eq!(agent.ack_cursor(BEGIN), 0, "ends of the new incarnation are not stored yet");
}

/// What runs at the restart of an agent counts, also while it is being stopped, on a worker that shrinks
/// and grows meanwhile.
#[test]
fn restarted_agent_counts_what_runs() {
    let mut before = agent();
    before.apply_orders(&[order(1, false)]);
    assert!(before.next_call(BEGIN).is_some());
    before.start_answered(BEGIN, task(1), 1, StartAnswer::Started);
    let last = before.report(BEGIN);
    let mut agent = Reconciler::new("vm", Some(&last), BEGIN, MAX_LEASE);
    agent.reset_orders(&Snapshot { rows: vec![order(1, false)], ..Snapshot::default() });
    agent.report_stored(BEGIN, MAX_LEASE, Listed::default());
    let running = vec![(task(1), 1, String::new(), 0)];
    let listing = Listing { started_ms: 1, clock_ms: 1_000, running, ..Listing::default() };
    agent.apply_listing(BEGIN, BEGIN, &listing);
    agent.heartbeat(BEGIN, heartbeat(1, 9, accelerators(4)));
    agent.apply_orders(&[order(2, false)]);
    assert_eq!(agent.next_call(BEGIN), None, "the first task takes all that is left");
    assert_eq!(ends(&agent), [(task(2), Ending::Refused)]);
    agent.apply_orders(&[order(1, true), order(3, false)]);
    assert!(matches!(agent.next_call(BEGIN), Some(Action::Stop { .. })));
    agent.stop_call_done(BEGIN, task(1), 1, true);
    agent.apply_listing(BEGIN, BEGIN, &listing);
    assert_eq!(agent.next_call(BEGIN), None, "the end of the first is not listed");
    agent.heartbeat(BEGIN, heartbeat(1, 10, accelerators(8)));
    assert_eq!(started(agent.next_call(BEGIN).as_ref()), Some(task(3)));
}

/// Starts without an answer that are carried out later, and stops under way, count after restarts
/// of the agent and changes of the planner.
#[test]
fn late_starts_count_after_restarts() {
    type Disturbance = fn(&mut Cell);
    let disturbances: [(&str, Disturbance); 3] = [
        ("agent", |cell| cell.restart_agent(0)),
        ("planner", Cell::crash_planner),
        ("both", |cell| {
            cell.restart_agent(0);
            cell.crash_planner();
        }),
    ];
    for (name, disturb) in disturbances {
        let mut cell = cell(1);
        for (id, width) in [(1, 3), (2, 2), (3, 2)] {
            cell.set_work_time(Id(id), Duration::from_mins(1));
            if id == 3 {
                cell.worker(0).failure = Failure::DelayedStarts(Duration::from_millis(600));
            }
            cell.submit(Id(id), "urgent", "ana", request(width, 1, false));
            cell.run(Duration::from_millis(300));
        }
        assert_eq!((cell.starts(Id(1)), cell.starts(Id(2))), (3, 2), "{name}");
        cell.worker(0).set_capacity(accelerators(5));
        cell.cancel(Id(2));
        disturb(&mut cell);
        cell.run(GRACE);
        cell.worker(0).failure = Failure::None;
        cell.submit(Id(4), "urgent", "luis", request(8, 1, false));
        cell.run(Duration::from_secs(1));
        assert!(cell.running(0).len() <= 5, "{name}: {:?}", cell.running(0));
        cell.worker(0).set_capacity(CAPACITY);
        let ended = cell
            .run_until(Duration::from_secs(30), |cell| cell.state(Id(4)) == Some(State::Completed));
        assert!(ended, "{name}: job 4 runs beside what is left");
        assert_valid(&cell);
    }
}
