//! Repeated jobs and long-running tasks.

use std::time::Duration;

use persimmondrift::cell::job::{Id, Request, Resources, Schedule, Step};
use persimmondrift::cell::record::State;
use standin::cell::Cell;

fn step() -> Step {
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators: 1 };
    Step { width: 1, need, estimate_ms: 3_000, ..Step::default() }
}

fn wall_ms(cell: &Cell) -> u64 {
    cell.now.0 / 1_000
}

#[test]
fn due_times() {
    let schedule = Schedule { first_ms: 10_000, every_ms: 4_000, times: 3 };
    let table =
        [(0, 0), (9_999, 0), (10_000, 1), (13_999, 1), (14_000, 2), (18_000, 3), (99_000, 3)];
    for (wall, due) in table {
        assert_eq!(schedule.due(wall), due, "{wall}");
    }
    let once = Schedule { first_ms: 10_000, every_ms: 0, times: 2 };
    assert_eq!(once.due(10_000), 2, "all are due at once");
    assert_eq!(schedule.at(2), 18_000);
}

#[test]
fn occurrences_start_when_due() {
    let mut cell = Cell::new(1);
    cell.run(Duration::from_secs(2));
    let first_ms = wall_ms(&cell) + 2_000;
    let schedule = Some(Schedule { first_ms, every_ms: 1_000, times: 3 });
    let request = Request { spec: String::new(), steps: vec![step()], schedule };
    cell.submit(Id(1), "normal", "ana", request);
    cell.run(Duration::from_millis(1_900));
    assert_eq!(cell.starts(Id(1)), 0, "no occurrence starts early");
    cell.run(Duration::from_millis(400));
    assert_eq!(cell.starts(Id(1)), 1);
    // Occurrences overlap, and a change of the planner loses none.
    cell.crash_planner();
    cell.run(Duration::from_secs(2));
    assert_eq!(cell.running(0).len(), 3);
    let ended =
        cell.run_until(Duration::from_secs(10), |cell| cell.state(Id(1)) == Some(State::Completed));
    assert!(ended);
    assert_eq!(cell.starts(Id(1)), 3);
}

#[test]
fn long_running_task_restarts() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    let steps = vec![Step { long_running: true, ..step() }];
    cell.submit(Id(1), "normal", "ana", Request { spec: String::new(), steps, schedule: None });
    cell.run(Duration::from_secs(12));
    assert!(cell.starts(Id(1)) >= 3, "{} starts", cell.starts(Id(1)));
    assert_eq!(cell.state(Id(1)), Some(State::Running));
    cell.cancel(Id(1));
    cell.run(Duration::from_secs(2));
    assert!((0..2).all(|vm| cell.running(vm).is_empty()));
}
