//! Jobs on healthy workers: steps run in order, gangs run together, and each task starts once.

use std::time::Duration;

use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::record::{ROLE_KEY, State};
use persimmondrift::cell::table::Table;
use standin::cell::Cell;

fn step(width: u16, accelerators: u32) -> Step {
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators };
    Step { width, need, estimate_ms: 3_000, ..Step::default() }
}

fn request(steps: Vec<Step>) -> Request {
    Request { spec: "render".to_owned(), steps, schedule: None }
}

#[test]
fn jobs_complete() {
    let mut cell = Cell::new(4);
    cell.run(Duration::from_secs(2));
    let second = Step { after: vec![0], ..step(2, 4) };
    cell.submit(Id(1), "normal", "ana", request(vec![step(6, 1), second]));
    let gang = Step { gang: true, one_rack: true, ..step(3, 8) };
    cell.submit(Id(2), "urgent", "luis", request(vec![gang]));
    let ended = cell.run_until(Duration::from_secs(20), |cell| {
        [Id(1), Id(2)].iter().all(|id| cell.state(*id) == Some(State::Completed))
    });
    assert!(ended, "{:?} {:?}", cell.state(Id(1)), cell.state(Id(2)));
    assert_eq!(cell.violations, Vec::<String>::new());
    assert_eq!((cell.starts(Id(1)), cell.starts(Id(2))), (8, 3), "a start for each task");
}

#[test]
fn step_waits_for_dependency() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    let second = Step { after: vec![0], ..step(1, 1) };
    cell.submit(Id(1), "normal", "ana", request(vec![step(1, 1), second]));
    cell.run(Duration::from_millis(2_500));
    let running: Vec<_> = (0..2).flat_map(|vm| cell.running(vm)).collect();
    assert_eq!(running.len(), 1, "{running:?}");
    assert_eq!(running[0].0.step, 0);
}

#[test]
fn gang_gets_one_rack() {
    let mut cell = Cell::new(6);
    cell.run(Duration::from_secs(2));
    // Occupies a worker of the first rack, so that only the second rack can hold the gang.
    cell.submit(Id(1), "normal", "ana", request(vec![step(1, 8)]));
    cell.run(Duration::from_millis(300));
    let gang = Step { gang: true, one_rack: true, ..step(3, 8) };
    cell.submit(Id(2), "normal", "ana", request(vec![gang]));
    cell.run(Duration::from_millis(300));
    let racks: Vec<usize> = (0..6)
        .filter(|vm| cell.running(*vm).iter().any(|(task, _)| task.job == Id(2)))
        .map(|vm| vm / 3)
        .collect();
    assert_eq!(racks.len(), 3, "{racks:?}");
    assert!(racks.iter().all(|rack| *rack == racks[0]), "{racks:?}");
}

#[test]
fn cancel_stops_tasks() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(vec![step(8, 1)]));
    cell.run(Duration::from_secs(1));
    cell.cancel(Id(1));
    assert_eq!(cell.state(Id(1)), Some(State::Cancelled));
    cell.run(Duration::from_millis(1_500));
    assert!((0..2).all(|vm| cell.running(vm).is_empty()));
    let starts = cell.starts(Id(1));
    cell.run(Duration::from_secs(5));
    assert_eq!(cell.starts(Id(1)), starts, "a cancelled job starts nothing");
}

/// A job and its progress are in two partitions, and the store refuses a batch over both. A planner
/// that removes them in one batch retries it for ever.
#[test]
fn ended_jobs_are_removed() {
    let mut cell = Cell::new(1);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(vec![step(1, 1)]));
    cell.run(Duration::from_secs(10));
    assert_eq!(cell.state(Id(1)), Some(State::Completed));
    cell.run(Duration::from_mins(2));
    assert_eq!(cell.state(Id(1)), None);
    let left = cell.rows.snapshot(Table::Jobs).rows;
    assert!(left.iter().all(|row| row.key == ROLE_KEY), "{left:?}");
    assert_eq!(cell.starts(Id(1)), 1, "a removed job does not run again");
    cell.submit(Id(2), "normal", "ana", request(vec![step(1, 1)]));
    cell.run(Duration::from_secs(10));
    assert_eq!(cell.state(Id(2)), Some(State::Completed), "the planner still places jobs");
}
