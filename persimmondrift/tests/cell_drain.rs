//! Draining workers: they get no new task, and a task that cannot end in time moves elsewhere.

use std::time::Duration;

use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::record::State;
use standin::cell::Cell;

fn request(width: u16, estimate_ms: u32) -> Request {
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators: 8 };
    let step = Step { width, need, estimate_ms, checkpoints: true, ..Step::default() };
    Request { spec: "render".to_owned(), steps: vec![step], schedule: None }
}

fn holder(cell: &Cell) -> usize {
    (0..2).find(|vm| !cell.running(*vm).is_empty()).expect("the task runs")
}

#[test]
fn draining_worker_gets_no_start() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    cell.worker(0).draining = true;
    cell.run(Duration::from_millis(200));
    let starts = cell.worker(0).starts.len();
    for id in 1..=4 {
        cell.submit(Id(id), "urgent", "ana", request(1, 3_000));
    }
    cell.run(Duration::from_secs(3));
    assert_eq!(cell.worker(0).starts.len(), starts);
}

#[test]
fn long_task_moves() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    // Declared to take longer than the three seconds that a draining worker has left.
    cell.submit(Id(1), "normal", "ana", request(1, 9_000));
    cell.run(Duration::from_millis(500));
    let first = holder(&cell);
    cell.worker(first).draining = true;
    cell.run(Duration::from_millis(1_500));
    assert_eq!(holder(&cell), 1 - first);
    assert_eq!(cell.violations, Vec::<String>::new());
}

#[test]
fn short_task_stays() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(1, 1_500));
    cell.run(Duration::from_millis(500));
    let first = holder(&cell);
    cell.worker(first).draining = true;
    let ended =
        cell.run_until(Duration::from_secs(4), |cell| cell.state(Id(1)) == Some(State::Completed));
    assert!(ended);
    assert_eq!(cell.starts(Id(1)), 1);
}
