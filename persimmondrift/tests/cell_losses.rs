//! Loss of processes, power or connections: accepted jobs still complete, and what an agent has
//! reported is kept.

use std::time::Duration;

use persimmondrift::cell::job::{Group, Id, Request, Resources, Step};
use persimmondrift::cell::record::State;
use standin::cell::{Cell, Failure, MAX_LEASE};

fn request(width: u16, accelerators: u32) -> Request {
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators };
    let step = Step { width, need, estimate_ms: 3_000, checkpoints: true, ..Step::default() };
    Request { spec: "render".to_owned(), steps: vec![step], schedule: None }
}

fn completes(cell: &mut Cell, id: Id) -> bool {
    cell.run_until(Duration::from_secs(30), |cell| cell.state(id) == Some(State::Completed))
}

#[test]
fn accepted_job_survives_power_loss() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(4, 2));
    cell.lose_power();
    assert!(completes(&mut cell, Id(1)));
    assert_eq!(cell.violations, Vec::<String>::new());
}

#[test]
fn cancel_survives_power_loss() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(4, 2));
    cell.run(Duration::from_secs(1));
    cell.cancel(Id(1));
    cell.lose_power();
    let starts = cell.starts(Id(1));
    cell.run(Duration::from_secs(5));
    assert_eq!(cell.state(Id(1)), Some(State::Cancelled));
    assert_eq!(cell.starts(Id(1)), starts);
}

#[test]
fn checkpoint_survives_power_loss() {
    let mut cell = Cell::new(1);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(1, 8));
    cell.run(Duration::from_millis(2_600));
    cell.lose_power();
    // At most a third of the work is left, since the checkpoint after two seconds was reported.
    let ended = cell.run_until(Duration::from_millis(2_600), |cell| {
        cell.state(Id(1)) == Some(State::Completed)
    });
    assert!(ended, "the task did not resume from its checkpoint");
}

#[test]
fn cut_off_agent_loses_lease() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(1, 8));
    cell.run(Duration::from_millis(500));
    let holder = (0..2).find(|vm| !cell.running(*vm).is_empty()).expect("the task runs");
    cell.worker(holder).failure = Failure::Hangs;
    cell.set_store_unreachable(holder, true);
    // The other worker gets the task, but only after this one's lease has lapsed.
    cell.run(MAX_LEASE.saturating_sub(Duration::from_secs(1)));
    assert!(cell.running(1 - holder).is_empty(), "the lease may still be in force");
    assert!(completes(&mut cell, Id(1)));
    assert_eq!(cell.violations, Vec::<String>::new());
}

#[test]
fn stale_order_is_not_started() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    // The agents are frozen before either of them has sent the start.
    cell.submit(Id(1), "normal", "ana", request(1, 8));
    cell.set_frozen(0, true);
    cell.set_frozen(1, true);
    cell.run(Duration::from_millis(200));
    cell.set_frozen(1, false);
    cell.run(Duration::from_secs(12));
    cell.set_frozen(0, false);
    assert!(completes(&mut cell, Id(1)));
    assert_eq!(cell.starts(Id(1)), 1, "the resumed agent started a task that had moved to another");
    assert_eq!(cell.violations, Vec::<String>::new());
}

#[test]
fn late_start_is_stopped() {
    let mut cell = Cell::new(1);
    cell.run(Duration::from_secs(2));
    cell.worker(0).failure = Failure::DelayedStarts(Duration::from_secs(4));
    cell.submit(Id(1), "normal", "ana", request(1, 8));
    cell.run(Duration::from_millis(300));
    cell.worker(0).failure = Failure::None;
    cell.cancel(Id(1));
    cell.run(Duration::from_secs(8));
    assert_eq!(cell.starts(Id(1)), 1, "only the start that was sent again may be carried out");
    assert!(cell.running(0).is_empty(), "a start was carried out after its stop");
}

#[test]
fn planner_change_restarts_no_task() {
    let mut cell = Cell::new(2);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(4, 2));
    cell.run(Duration::from_secs(1));
    for _ in 0..10 {
        cell.crash_planner();
        cell.run(Duration::from_millis(100));
    }
    assert!(completes(&mut cell, Id(1)));
    assert_eq!(cell.starts(Id(1)), 4);
}

#[test]
fn agent_restart_adopts_runs() {
    let mut cell = Cell::new(1);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(4, 2));
    cell.run(Duration::from_secs(1));
    for _ in 0..10 {
        cell.restart_agent(0);
        cell.run(Duration::from_millis(150));
    }
    assert!(completes(&mut cell, Id(1)));
    assert_eq!(cell.starts(Id(1)), 4);
}

/// An agent that begins its session before it has read its orders must keep the ends that it had
/// reported. If it drops them, done tasks run again after a power loss.
#[test]
fn reported_ends_are_kept() {
    let mut cell = Cell::new(1);
    cell.run(Duration::from_secs(2));
    cell.submit(Id(1), "normal", "ana", request(4, 2));
    let done = |cell: &Cell| {
        (0..4).any(|index| {
            cell.is_done_acked(Group { job: Id(1), occurrence: 0, step: 0 }.task(index))
        })
    };
    cell.block_takeover(true);
    assert!(!cell.run_until(Duration::from_secs(1), done));
    cell.block_takeover(false);
    cell.run(Duration::from_millis(100));
    // The agent has reported the ends and the worker may discard them, but no planner is running.
    cell.block_takeover(true);
    assert!(cell.run_until(Duration::from_secs(8), done));
    cell.lose_power();
    cell.run(Duration::from_secs(2));
    cell.block_takeover(false);
    assert!(completes(&mut cell, Id(1)));
    assert_eq!(cell.starts(Id(1)), 4);
    assert_eq!(cell.violations, Vec::<String>::new());
}
