//! An agent that cannot reach the store for longer than its grant: its runs are written off and started
//! again elsewhere, although one has ended as done.

use std::time::Duration;

use persimmondrift::cell::job::{Group, Id, Request, Resources, Step};
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

/// Guards against a done end that is acknowledged and decides nothing, since its run was written off
/// while the agent could not report. The task was started again twice after it was done.
#[test]
fn done_end_counts_after_its_run_was_written_off() {
    let (mut cell, vm) = started();
    cell.run(WORK * 7 / 8);
    cell.set_store_unreachable(vm, true);
    let again = cell.run_until(Duration::from_secs(15), |cell| cell.starts(JOB) == 2);
    assert!(again, "the run is not written off");
    cell.set_store_unreachable(vm, false);
    let completed = cell.run_until(WORK / 2, |cell| cell.state(JOB) == Some(State::Completed));
    assert!(completed, "the end of the first run decides nothing");
    let task = Group { job: JOB, occurrence: 0, step: 0 }.task(0);
    let stops = |cell: &Cell| (0..2).all(|vm| cell.running(vm).iter().all(|run| run.0 != task));
    assert!(cell.run_until(Duration::from_secs(2), stops), "the second run goes on");
    cell.run(WORK * 2);
    assert_eq!((cell.starts(JOB), &cell.violations[..]), (2, &[][..]));
}
