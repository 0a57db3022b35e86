//! Workers that fail or hang tasks while they report to be healthy do not attract waiting tasks.

use std::time::Duration;

use persimmondrift::cell::health::{Health, Trust};
use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::planner::{Fault, Observation};
use persimmondrift::cell::record::State;
use persimmondrift::unit::Time;
use standin::cell::{Cell, Failure};

fn request(width: u16, accelerators: u32) -> Request {
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators };
    let step = Step { width, need, estimate_ms: 3_000, ..Step::default() };
    Request { spec: "render".to_owned(), steps: vec![step], schedule: None }
}

#[test]
fn failing_worker_is_quarantined() {
    let mut cell = Cell::new(4);
    cell.run(Duration::from_secs(2));
    cell.worker(0).failure = Failure::Fails;
    for id in 1..=20 {
        cell.submit(Id(id), "normal", "ana", request(2, 4));
        cell.run(Duration::from_millis(300));
    }
    cell.run(Duration::from_secs(40));
    let failed = (1..=20).filter(|id| cell.state(Id(*id)) == Some(State::Failed)).count();
    assert_eq!(failed, 0, "a task may fail three times, and never twice on one worker");
    assert!(cell.worker(0).starts.len() < 12, "{} starts", cell.worker(0).starts.len());
}

#[test]
fn hung_task_is_moved() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(1, 8));
    cell.run(Duration::from_millis(600));
    let holder = (0..2).find(|vm| !cell.running(*vm).is_empty()).expect("the task runs");
    cell.worker(holder).failure = Failure::Hangs;
    let ended =
        cell.run_until(Duration::from_secs(12), |cell| cell.state(Id(1)) == Some(State::Completed));
    assert!(ended);
    assert_eq!(cell.running(1 - holder), Vec::new());
    assert_eq!(cell.violations, Vec::<String>::new());
}

#[test]
fn suspected_workers_used_when_no_others() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    for vm in 0..2 {
        cell.worker(vm).failure = Failure::Fails;
    }
    cell.submit(Id(1), "normal", "ana", request(1, 1));
    cell.submit(Id(2), "normal", "ana", request(1, 1));
    cell.run(Duration::from_secs(8));
    for vm in 0..2 {
        cell.worker(vm).failure = Failure::None;
    }
    cell.submit(Id(3), "normal", "ana", request(1, 1));
    let ended =
        cell.run_until(Duration::from_secs(8), |cell| cell.state(Id(3)) == Some(State::Completed));
    assert!(ended, "the job waits although suspected workers are available");
}

#[test]
fn success_restores_trust() {
    let mut health = Health::default();
    let at = Time::from_secs;
    assert_eq!(health.trust_level(at(1), "a"), Trust::Full);
    health.record_faults(at(1), "a", 1);
    assert_eq!(health.trust_level(at(1), "a"), Trust::Suspected);
    health.record_faults(at(1), "a", 1);
    assert_eq!(health.trust_level(at(2), "a"), Trust::Quarantined);
    assert_eq!(health.trust_level(at(60), "a"), Trust::Probed);
    health.record_success("a");
    assert_eq!(health.trust_level(at(60), "a"), Trust::Full);
}

#[test]
fn changes_of_trust_are_observed() {
    let mut cell = Cell::new(1);
    cell.run(Duration::from_secs(2));
    cell.worker(0).failure = Failure::Fails;
    cell.submit(Id(1), "normal", "ana", request(2, 4));
    cell.run(Duration::from_secs(1));
    cell.worker(0).failure = Failure::None;
    cell.submit(Id(2), "normal", "ana", request(1, 8));
    cell.submit(Id(3), "normal", "ana", request(1, 8));
    cell.run(Duration::from_secs(30));
    let quarantined = |seen: &Observation| {
        matches!(seen, Observation::Quarantined { faults: 2.., cause: Some(Fault::Failed), .. })
    };
    let taken_back = |seen: &Observation| matches!(seen, Observation::TakenBack { .. });
    let waits = |seen: &Observation| matches!(seen, Observation::Waits { exclusion, .. } if exclusion.quarantined == 1);
    let seen = &cell.observations;
    assert!(seen.iter().any(quarantined), "{seen:#?}");
    assert!(seen.iter().any(taken_back), "{seen:#?}");
    assert!(seen.iter().any(waits), "{seen:#?}");
}

// A worker that does not answer makes no progress, which is not the fault of what runs there.
#[test]
fn silence_is_no_stall() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(1, 8));
    cell.run(Duration::from_millis(600));
    let holder = (0..2).find(|vm| !cell.running(*vm).is_empty()).expect("the task runs");
    cell.worker(holder).failure = Failure::Unresponsive;
    cell.run(Duration::from_millis(2_500));
    cell.worker(holder).failure = Failure::None;
    cell.run(Duration::from_secs(12));
    assert_eq!(cell.state(Id(1)), Some(State::Completed));
    assert_eq!(cell.observations, Vec::new());
}

/// Guards against an end whose row the store rejects and which counts against its worker again.
#[test]
fn rejected_end_counts_once() {
    let mut cell = Cell::new(2);
    // The time of the end would make the row of a job that is over larger than that of one with a task.
    cell.store_has_clock = false;
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(1, 8));
    cell.run(Duration::from_millis(600));
    let holder = (0..2).find(|vm| !cell.running(*vm).is_empty()).expect("the task runs");
    // No row holds the progress of the task any more, only that of a job that is over.
    cell.max_row_bytes = 8;
    cell.worker(holder).failure = Failure::Fails;
    cell.run(Duration::from_secs(3));
    assert_eq!(cell.state(Id(1)), Some(State::Failed));
    assert_eq!(cell.observations, Vec::new());
}

#[test]
fn mass_quarantine_blocks_no_whole_worker_job() {
    let mut cell = Cell::new(6);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(100), "normal", "ana", request(1, 1));
    cell.set_work_time(Id(100), Duration::from_mins(2));
    cell.run(Duration::from_millis(500));
    for vm in (0..6).filter(|vm| cell.running(*vm).is_empty()).collect::<Vec<_>>() {
        cell.worker(vm).failure = Failure::Fails;
    }
    for id in 1..=30 {
        cell.submit(Id(id), "normal", "ana", request(2, 4));
        cell.run(Duration::from_secs(1));
    }
    for vm in 0..6 {
        cell.worker(vm).failure = Failure::None;
    }
    cell.submit(Id(200), "normal", "luis", request(1, 8));
    let started = cell.run_until(Duration::from_secs(3), |cell| cell.starts(Id(200)) > 0);
    assert!(started, "{:#?}", cell.observations.last());
}
