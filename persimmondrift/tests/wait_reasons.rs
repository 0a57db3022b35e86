//! Why a group waits is observed: what keeps it from each worker of the service.

use std::time::Duration;

use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::planner::{Exclusion, Observation, Unusable};
use standin::cell::{Cell, Failure};

fn step(width: u16, accelerators: u32) -> Step {
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators };
    Step { width, need, estimate_ms: 3_000, ..Step::default() }
}

fn request(step: Step) -> Request {
    Request { spec: "render".to_owned(), steps: vec![step], schedule: None }
}

/// Returns why the tasks of a job wait, by its last observation.
fn reasons(cell: &Cell, id: Id) -> Option<Exclusion> {
    cell.observations.iter().rev().find_map(|seen| match seen {
        Observation::Waits { group, exclusion, .. } if group.job == id => Some(*exclusion),
        _ => None,
    })
}

/// Submits a job whose tasks run for minutes.
fn submit_long(cell: &mut Cell, id: Id, queue: &str, step: Step) {
    cell.submit(id, queue, "ana", request(step));
    cell.set_work_time(id, Duration::from_mins(2));
    cell.run(Duration::from_millis(500));
}

#[test]
fn unusable_workers_are_counted() {
    let mut cell = Cell::new(3);
    cell.run(Duration::from_secs(2));
    cell.worker(0).draining = true;
    cell.worker(1).failure = Failure::Unresponsive;
    cell.run(Duration::from_millis(2_500));
    submit_long(&mut cell, Id(1), "normal", step(2, 8));
    cell.run(Duration::from_millis(2_500));
    let expected = Exclusion {
        workers: 1,
        full: 1,
        used_percent: 68,
        unusable: Unusable { draining: 1, silent: 1, ..Unusable::default() },
        ..Exclusion::default()
    };
    assert_eq!(reasons(&cell, Id(1)), Some(expected));
}

#[test]
fn reserved_workers_are_counted() {
    let mut cell = Cell::new(4);
    cell.run(Duration::from_secs(2));
    submit_long(&mut cell, Id(1), "urgent", step(2, 8));
    submit_long(&mut cell, Id(2), "low", step(2, 8));
    cell.run(Duration::from_millis(2_500));
    let expected =
        Exclusion { workers: 4, full: 3, reserved: 1, used_percent: 51, ..Exclusion::default() };
    assert_eq!(reasons(&cell, Id(2)), Some(expected));
}

#[test]
fn workers_that_fit_a_part_of_a_gang_are_counted() {
    let mut cell = Cell::new(4);
    cell.run(Duration::from_secs(2));
    submit_long(&mut cell, Id(1), "normal", step(2, 8));
    submit_long(&mut cell, Id(2), "normal", Step { gang: true, ..step(3, 8) });
    cell.run(Duration::from_millis(2_500));
    let seen = reasons(&cell, Id(2)).expect("the gang waits");
    assert_eq!((seen.workers, seen.full, seen.unplaced + seen.reserved), (4, 2, 2), "{seen:?}");
}

#[test]
fn properties_of_a_step_are_counted() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    submit_long(&mut cell, Id(1), "urgent", Step { spread: Some(1), ..step(3, 1) });
    let labeled = Step { label: Some("none".to_owned()), ..step(1, 1) };
    submit_long(&mut cell, Id(2), "urgent", labeled);
    cell.run(Duration::from_millis(2_500));
    let of = |id| reasons(&cell, id).unwrap_or_default();
    assert_eq!((of(Id(1)).workers, of(Id(1)).spread), (2, 2), "{:?}", of(Id(1)));
    assert_eq!((of(Id(2)).workers, of(Id(2)).unlabeled), (2, 2), "{:?}", of(Id(2)));
}
