//! Guaranteed work starts within its bound when all workers are full.

use std::time::Duration;

use persimmondrift::cell::job::{Id, Request, Resources, Step, Task};
use persimmondrift::cell::reclaim::{Victim, select_victims};
use standin::cell::Cell;

/// Required upper bound on the start of guaranteed work.
const RECLAIM_BOUND: Duration = Duration::from_millis(2_900);

fn request(width: u16, accelerators: u32, gang: bool) -> Request {
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators };
    let step = Step { width, need, estimate_ms: 30_000, gang, ..Step::default() };
    Request { spec: "render".to_owned(), steps: vec![step], schedule: None }
}

fn room(accelerators: u32) -> Resources {
    Resources { millicores: 1_000, mebibytes: 1_024, accelerators }
}

fn victim(index: u16, accelerators: u32, loss: u64) -> Victim {
    let task = Task { job: Id(1), occurrence: 0, step: 0, index };
    Victim { task, room: room(accelerators), priority: 0, percent: 0, loss, gang: false }
}

#[test]
fn guaranteed_work_starts_on_full_workers_within_bound() {
    for (width, accelerators, gang) in [(2, 8, true), (16, 1, false), (4, 4, true)] {
        let mut cell = Cell::new(4);
        cell.run(Duration::from_secs(2));
        // More work than fits, so that no room becomes free without an eviction.
        for id in 1..=6 {
            cell.submit(Id(id), "low", "luis", request(16, 1, false));
        }
        cell.run(Duration::from_secs(1));
        cell.submit(Id(50), "urgent", "ana", request(width, accelerators, gang));
        let all = usize::from(width);
        let started = cell.run_until(RECLAIM_BOUND, |cell| cell.starts(Id(50)) == all);
        assert!(started, "{width} x {accelerators}: {} started", cell.starts(Id(50)));
        assert_eq!(cell.violations, Vec::<String>::new());
    }
}

#[test]
fn one_worker_stays_empty_for_urgent_work() {
    let mut cell = Cell::new(4);
    cell.run(Duration::from_secs(2));
    // Two and a half of four workers are busy, and the next job can wait.
    cell.submit(Id(1), "low", "luis", request(20, 1, false));
    cell.run(Duration::from_millis(300));
    cell.submit(Id(2), "low", "luis", request(12, 1, false));
    cell.run(Duration::from_millis(300));
    let busy = cell.starts(Id(1)) + cell.starts(Id(2));
    assert_eq!(busy, 24, "one worker is left empty for urgent work");
    cell.submit(Id(3), "urgent", "ana", request(1, 8, false));
    cell.run(Duration::from_millis(300));
    assert_eq!(cell.starts(Id(3)), 1, "it starts at once");
    assert_eq!((0..4).map(|vm| cell.running(vm).len()).sum::<usize>(), 25, "nothing was stopped");
}

#[test]
fn work_beyond_guarantee_waits() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "urgent", "luis", request(2, 8, true));
    cell.run(Duration::from_millis(500));
    // The first job uses its own guarantee, so that work of ana must not evict it.
    cell.submit(Id(2), "urgent", "ana", request(3, 8, true));
    cell.run(RECLAIM_BOUND);
    assert_eq!(cell.starts(Id(2)), 0);
    assert_eq!(cell.starts(Id(1)), 2, "guaranteed work was stopped");
}

#[test]
fn victims_with_least_loss_are_chosen() {
    let candidates = [victim(0, 4, 900), victim(1, 2, 100), victim(2, 2, 200), victim(3, 8, 500)];
    let chosen = select_victims(room(0), room(4), &candidates).expect("there is room");
    let indices: Vec<u16> = chosen.iter().map(|victim| victim.task.index).collect();
    assert_eq!(indices, [1, 2], "two victims of small loss suffice");
    let chosen = select_victims(room(0), room(8), &candidates).expect("there is room");
    assert_eq!(chosen.iter().map(|victim| victim.loss).sum::<u64>(), 500, "one victim suffices");
}

#[test]
fn no_victims_if_room_is_free_or_too_small() {
    assert_eq!(select_victims(room(4), room(4), &[victim(0, 8, 1)]), Some(Vec::new()));
    assert_eq!(select_victims(room(0), room(4), &[victim(0, 2, 1)]), None);
}
