//! A planner that ends between the batches in which it takes note of a late end as done.

use std::time::Duration;

use persimmondrift::cell::job::{Group, Id, Request, Resources, Step};
use persimmondrift::cell::split::Limits;
use standin::cell::Cell;

const JOB: Id = Id(1);
/// Run time of a task.
const WORK: Duration = Duration::from_secs(8);

/// Lets a run end as done while its agent cannot report, and a second one start. The planner ends after
/// this many batches from when the agent is back. Returns whether the second run is stopped.
fn stops_second_run(batches: usize) -> bool {
    let mut cell = Cell::new(2);
    cell.batch_limits = Limits { entries: 3, ..Limits::default() };
    cell.run(Duration::from_secs(2));
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators: 8 };
    let step = Step { width: 1, need, estimate_ms: 8_000, ..Step::default() };
    // Another task follows, so that the job is not over.
    let steps = vec![step.clone(), Step { after: vec![0], ..step }];
    let request = Request { spec: "render".to_owned(), steps, schedule: None };
    cell.set_work_time(JOB, WORK);
    cell.submit(JOB, "normal", "ana", request);
    assert!(cell.run_until(Duration::from_secs(5), |cell| cell.starts(JOB) == 1), "no start");
    let vm = (0..2).find(|vm| !cell.running(*vm).is_empty()).expect("a worker runs the task");
    cell.run(WORK * 7 / 8);
    cell.set_store_unreachable(vm, true);
    let again = cell.run_until(Duration::from_secs(15), |cell| cell.starts(JOB) == 2);
    assert!(again, "the run is not written off");
    cell.set_store_unreachable(vm, false);
    cell.crash_planner_after(batches);
    let task = Group { job: JOB, occurrence: 0, step: 0 }.task(0);
    let stopped = |cell: &Cell| (0..2).all(|vm| cell.running(vm).iter().all(|run| run.0 != task));
    cell.run_until(WORK / 2, stopped)
}

/// Guards against a run that goes on although its task is done: the planner ended after it had written
/// that, and before it wrote the stop.
#[test]
fn second_run_is_stopped_by_next_planner() {
    let going_on: Vec<usize> = (0..120).filter(|batches| !stops_second_run(*batches)).collect();
    assert_eq!(going_on, [0_usize; 0], "ended after so many batches");
}
