//! Reports of a former process of an agent that the store applies after the next process has read the row.

use std::time::Duration;

use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::planner::{Basis, Decision};
use persimmondrift::cell::record::State;
use standin::cell::Cell;

const WORKERS: usize = 3;
/// One step of the simulation.
const STEP: Duration = Duration::from_millis(50);

fn request(width: u16) -> Request {
    let need = Resources { millicores: 4_000, mebibytes: 1_024, accelerators: 2 };
    let step = Step { width, need, estimate_ms: 8_000, ..Step::default() };
    Request { spec: "render".to_owned(), steps: vec![step], schedule: None }
}

/// Creates a cell that runs a job of long tasks on all workers.
fn busy_cell() -> Cell {
    let mut cell = Cell::new(WORKERS);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(9));
    cell.set_work_time(Id(1), Duration::from_secs(8));
    cell.run(Duration::from_secs(2));
    assert!((0..WORKERS).all(|vm| !cell.running(vm).is_empty()));
    cell
}

fn assert_completes(cell: &mut Cell, within: Duration) {
    let completed = |cell: &Cell| cell.state(Id(1)) == Some(State::Completed);
    assert!(cell.run_until(within, completed));
    assert!(cell.violations.is_empty(), "{:?}", cell.violations);
}

/// Checks that the job completes, and that each of its tasks was started once.
fn assert_runs_once(mut cell: Cell) {
    assert_completes(&mut cell, Duration::from_secs(30));
    assert_eq!(cell.starts(Id(1)), 9);
    let written_off = |decision: &&Decision| matches!(decision, Decision::Ended { basis, .. } if *basis != Basis::Listed);
    assert_eq!(cell.decisions.iter().find(written_off), None);
}

/// Guards against a session that is given up, so that running tasks are started elsewhere, since the row
/// has a report of the former process.
#[test]
fn before_first_report() {
    let mut cell = busy_cell();
    cell.hold_last_report(0);
    cell.run(STEP);
    assert!(cell.apply_held_report(0));
    assert_runs_once(cell);
}

#[test]
fn of_two_former_processes() {
    let mut cell = busy_cell();
    for _ in 0..2 {
        cell.hold_last_report(0);
        cell.run(STEP);
        assert!(cell.apply_held_report(0));
        // The next process finds the report, and stores its first one.
        cell.run(4 * STEP);
    }
    assert_runs_once(cell);
}

/// A report that arrives after the first one of the next process has no effect.
#[test]
fn after_first_report() {
    let mut cell = busy_cell();
    cell.hold_last_report(0);
    cell.run(Duration::from_secs(2));
    assert!(!cell.apply_held_report(0));
    assert_runs_once(cell);
}

/// The end in the late report may have been processed already: the run is not started again.
#[test]
fn end_in_late_report() {
    for seconds in 0..10 {
        let mut cell = busy_cell();
        cell.run(Duration::from_secs(seconds));
        cell.hold_last_report(0);
        cell.run(STEP);
        assert!(cell.apply_held_report(0));
        assert_runs_once(cell);
    }
}

/// Guards against a session that goes on although the planner has revoked it.
#[test]
fn revoked_session() {
    let mut cell = busy_cell();
    cell.set_store_unreachable(0, true);
    cell.run(Duration::from_secs(7));
    cell.restart_agent(0);
    cell.set_store_unreachable(0, false);
    assert_completes(&mut cell, Duration::from_secs(40));
    assert!(cell.decisions.iter().any(|seen| matches!(seen, Decision::Revoked { .. })));
}
