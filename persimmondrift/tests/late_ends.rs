//! An agent that cannot reach the store for longer than its grant: its runs are written off and started
//! again elsewhere, although one has ended as done.

use std::time::Duration;

use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::record::State;
use standin::cell::Cell;

const JOB: Id = Id(1);
/// Run time of the task.
const WORK: Duration = Duration::from_secs(8);

/// Returns a cell with a job of one task, and the VM that runs it.
fn started() -> (Cell, usize) {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators: 8 };
    let step = Step { width: 1, need, estimate_ms: 8_000, ..Step::default() };
    let request = Request { spec: "render".to_owned(), steps: vec![step], schedule: None };
    cell.set_work_time(JOB, WORK);
    cell.submit(JOB, "normal", "ana", request);
    assert!(cell.run_until(Duration::from_secs(5), |cell| cell.starts(JOB) == 1), "no start");
    let vm = (0..2).find(|vm| !cell.running(*vm).is_empty()).expect("a worker runs the task");
    (cell, vm)
}

/// Cuts the agent off until its run is written off and started again, and reconnects it.
fn reconnected() -> Cell {
    let (mut cell, vm) = started();
    cell.run(WORK * 7 / 8);
    cell.set_store_unreachable(vm, true);
    let again = cell.run_until(Duration::from_secs(15), |cell| cell.starts(JOB) == 2);
    assert!(again, "the run is not written off");
    cell.set_store_unreachable(vm, false);
    cell
}

fn is_running(cell: &Cell) -> bool {
    (0..2).any(|vm| !cell.running(vm).is_empty())
}

/// Guards against a done end that is acknowledged and decides nothing, since its run was written off
/// while the agent could not report. The task was started again twice after it was done.
#[test]
fn done_end_counts_after_its_run_was_written_off() {
    let mut cell = reconnected();
    let completed = cell.run_until(WORK / 2, |cell| cell.state(JOB) == Some(State::Completed));
    assert!(completed, "the end of the first run decides nothing");
    let stopped = cell.run_until(Duration::from_secs(2), |cell| !is_running(cell));
    assert!(stopped, "the second run goes on");
    cell.run(WORK * 2);
    assert_eq!((cell.starts(JOB), &cell.violations[..]), (2, &[][..]));
}

/// Guards against a newer run that goes on since the planner ended after it had stored that the task is
/// done and before it marked the run to be stopped.
#[test]
fn newer_run_stops_although_the_planner_ends() {
    for batches in 0..4 {
        let mut cell = reconnected();
        cell.batch_limits.entries = 3;
        cell.crash_planner_after(batches);
        let stopped = cell.run_until(WORK / 2, |cell| !is_running(cell));
        assert!(stopped, "the second run goes on after {batches} batches");
        assert_eq!(cell.state(JOB), Some(State::Completed));
    }
}
