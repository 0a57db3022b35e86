//! Groups do not wait beside idle room: a group of which nothing runs, and that fits twice over while less
//! than half of the capacity is in use, runs within a bound.

use std::time::Duration;

use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::record::State;
use standin::cell::{Cell, Failure};

/// Time within which a group must run while there is idle room for it.
const PLACE_BOUND: Duration = Duration::from_secs(3);

fn step(width: u16, accelerators: u32) -> Step {
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators };
    Step { width, need, estimate_ms: 3_000, ..Step::default() }
}

fn request(steps: Vec<Step>) -> Request {
    Request { spec: "render".to_owned(), steps, schedule: None }
}

fn is_running(cell: &Cell, workers: usize, id: Id) -> bool {
    (0..workers).flat_map(|vm| cell.running(vm)).any(|(task, _)| task.job == id)
}

/// Submits a job whose tasks run for minutes, and waits until it runs.
fn submit_long(cell: &mut Cell, id: Id, step: Step) {
    let long = Step { estimate_ms: 300_000, ..step };
    cell.submit(id, "normal", "luis", request(vec![long]));
    cell.set_work_time(id, Duration::from_mins(5));
    cell.run(Duration::from_millis(500));
}

fn is_over(cell: &Cell, id: Id) -> bool {
    cell.state(id).is_some_and(State::is_final)
}

/// Guards against empty workers that stay reserved for urgent work while hardly anything is in use, since
/// none of the other workers is wholly empty.
#[test]
fn reserve_is_given_back() {
    let mut cell = Cell::new(6);
    cell.run(Duration::from_secs(2));
    submit_long(&mut cell, Id(1), Step { spread: Some(1), ..step(3, 1) });
    cell.submit(Id(2), "urgent", "ana", request(vec![step(3, 8)]));
    cell.run(Duration::from_millis(500));
    cell.submit(Id(3), "low", "ana", request(vec![step(1, 8)]));
    assert!(cell.run_until(Duration::from_secs(8), |cell| is_over(cell, Id(2))));
    let runs = cell.run_until(PLACE_BOUND, |cell| is_running(cell, 6, Id(3)));
    assert!(runs, "{:?}", cell.observations.last());
}

/// Guards against a group that never returns to the workers that it has failed on, although no other has
/// room for it.
#[test]
fn failed_group_returns_to_idle_workers() {
    let mut cell = Cell::new(4);
    cell.run(Duration::from_secs(2));
    submit_long(&mut cell, Id(1), step(2, 8));
    let idle: Vec<usize> = (0..4).filter(|vm| cell.running(*vm).is_empty()).collect();
    for vm in &idle {
        cell.worker(*vm).failure = Failure::Fails;
    }
    cell.submit(Id(2), "normal", "ana", request(vec![step(1, 8)]));
    assert!(cell.run_until(Duration::from_secs(5), |cell| cell.starts(Id(2)) == 2));
    cell.run(Duration::from_millis(300));
    for vm in &idle {
        cell.worker(*vm).failure = Failure::None;
    }
    cell.run(Duration::from_secs(1));
    let runs = cell.run_until(PLACE_BOUND, |cell| is_running(cell, 4, Id(2)));
    assert!(runs, "{:?} {:?}", cell.state(Id(2)), cell.observations.last());
}

/// Guards against quarantines that outlast their cause while no other worker has room.
#[test]
fn quarantined_workers_are_used() {
    let mut cell = Cell::new(4);
    cell.run(Duration::from_secs(2));
    submit_long(&mut cell, Id(1), Step { spread: Some(1), ..step(2, 1) });
    let idle: Vec<usize> = (0..4).filter(|vm| cell.running(*vm).is_empty()).collect();
    for vm in &idle {
        cell.worker(*vm).failure = Failure::Fails;
    }
    for id in 2..12 {
        cell.submit(Id(id), "normal", "ana", request(vec![step(2, 8)]));
        cell.run(Duration::from_secs(3));
    }
    for vm in &idle {
        cell.worker(*vm).failure = Failure::None;
    }
    for id in 2..12 {
        cell.cancel(Id(id));
    }
    cell.submit(Id(20), "normal", "ana", request(vec![step(1, 8)]));
    let runs = cell.run_until(PLACE_BOUND, |cell| is_running(cell, 4, Id(20)));
    assert!(runs, "{:?} {:?}", cell.state(Id(20)), cell.observations.last());
}

/// Guards against a gang that waits for one rack although each has a worker that is in use for long.
#[test]
fn gang_is_split_beside_idle_racks() {
    let mut cell = Cell::new(9);
    cell.run(Duration::from_secs(2));
    for rack in 0..3 {
        let label = Some(format!("r{rack}"));
        submit_long(&mut cell, Id(1 + rack), Step { label, ..step(1, 1) });
    }
    let gang = Step { gang: true, one_rack: true, ..step(3, 8) };
    cell.submit(Id(10), "normal", "ana", request(vec![gang]));
    let runs = cell.run_until(PLACE_BOUND, |cell| is_running(cell, 9, Id(10)));
    assert!(runs, "{:?}", cell.observations.last());
}
