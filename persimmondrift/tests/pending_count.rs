//! The state of a job before and after its first start, and the count of the jobs that wait for it.

use std::time::Duration;

use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::record::State;
use standin::cell::{Cell, Failure};

const WORKERS: usize = 3;
const LONG: Duration = Duration::from_secs(30);
/// Time after which a count has to be right: an interval of reports, and a round.
const SETTLED: Duration = Duration::from_secs(2);

fn request(width: u16, accelerators: u32) -> Request {
    let need = Resources { millicores: 1_000, mebibytes: 1_024, accelerators };
    let step = Step { width, need, estimate_ms: 2_000, ..Step::default() };
    Request { spec: "render".to_owned(), steps: vec![step], schedule: None }
}

/// Creates a cell in which long jobs fill all workers but the first.
fn cell_with_one_free_worker() -> Cell {
    let mut cell = Cell::new(WORKERS);
    cell.run(Duration::from_secs(2));
    for vm in 0..WORKERS {
        let id = Id(100 + u64::try_from(vm).expect("small"));
        cell.submit(id, "normal", "ana", request(1, 8));
        cell.set_work_time(id, LONG);
    }
    cell.run(SETTLED);
    let first = cell.running(0)[0].0.job;
    cell.cancel(first);
    cell.run(SETTLED);
    assert!(cell.running(0).is_empty() && cell.pending("normal") == 0);
    cell
}

fn assert_all_complete(cell: &mut Cell, ids: std::ops::RangeInclusive<u64>) {
    let completed =
        |cell: &Cell| ids.clone().all(|id| cell.state(Id(id)) == Some(State::Completed));
    assert!(cell.run_until(Duration::from_mins(2), completed));
    assert_eq!(cell.pending("normal"), 0);
    assert!(cell.violations.is_empty(), "{:?}", cell.violations);
}

/// Guards against a count that leaves out jobs which were ordered on a lost VM and never started.
#[test]
fn ordered_on_a_lost_vm() {
    let mut cell = cell_with_one_free_worker();
    cell.set_frozen(0, true);
    cell.worker(0).crash(Duration::from_secs(20));
    for id in 1..=4 {
        cell.submit(Id(id), "normal", "ana", request(1, 2));
    }
    for _ in 0..10 {
        cell.run(Duration::from_secs(1));
        assert_eq!(cell.pending("normal"), 4);
        assert_eq!(cell.state(Id(1)), Some(State::Queued));
    }
    cell.set_frozen(0, false);
    assert_all_complete(&mut cell, 1..=4);
}

/// The same beside a planner that ends between the order and the first report of a start.
#[test]
fn planner_ends_after_the_order() {
    let mut cell = cell_with_one_free_worker();
    cell.set_frozen(0, true);
    cell.submit(Id(1), "normal", "ana", request(1, 2));
    cell.run(Duration::from_millis(500));
    cell.crash_planner();
    cell.run(Duration::from_millis(500));
    assert_eq!(cell.pending("normal"), 1);
    cell.set_frozen(0, false);
    cell.run(Duration::from_secs(1));
    assert_eq!((cell.pending("normal"), cell.state(Id(1))), (0, Some(State::Running)));
    assert_all_complete(&mut cell, 1..=1);
}

/// An order whose start gets no answer, and one that its worker returns since it drains.
#[test]
fn start_without_effect() {
    for drains in [false, true] {
        let mut cell = cell_with_one_free_worker();
        if drains {
            cell.set_frozen(0, true);
        } else {
            cell.worker(0).failure = Failure::LosesStarts;
        }
        cell.submit(Id(1), "normal", "ana", request(1, 2));
        cell.run(Duration::from_millis(500));
        cell.worker(0).draining = drains;
        cell.set_frozen(0, false);
        cell.run(SETTLED);
        assert_eq!(cell.starts(Id(1)), 0);
        assert_eq!((cell.pending("normal"), cell.state(Id(1))), (1, Some(State::Queued)));
        cell.worker(0).draining = false;
        cell.worker(0).failure = Failure::None;
        assert_all_complete(&mut cell, 1..=1);
    }
}

/// A job of which one task has begun is not counted, though others wait, also when that task has failed.
#[test]
fn one_task_has_begun() {
    let mut cell = cell_with_one_free_worker();
    cell.submit(Id(1), "normal", "ana", request(2, 8));
    cell.run(SETTLED);
    assert_eq!(cell.starts(Id(1)), 1);
    assert_eq!((cell.pending("normal"), cell.state(Id(1))), (0, Some(State::Running)));
    cell.worker(0).crash(Duration::from_secs(5));
    cell.run(SETTLED);
    assert_eq!((cell.pending("normal"), cell.state(Id(1))), (0, Some(State::Running)));
    assert_all_complete(&mut cell, 1..=1);
}

/// A run that ends before a report has shown it counts as begun.
#[test]
fn ends_between_reports() {
    let mut cell = cell_with_one_free_worker();
    cell.submit(Id(1), "normal", "ana", request(2, 8));
    cell.set_work_time(Id(1), Duration::from_millis(100));
    cell.worker(0).failure = Failure::Fails;
    let failed = |cell: &Cell| cell.starts(Id(1)) == 1;
    assert!(cell.run_until(SETTLED, failed));
    cell.run(SETTLED);
    assert_eq!(cell.pending("normal"), 0);
}
