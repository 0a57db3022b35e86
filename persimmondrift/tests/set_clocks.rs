//! Times of day that differ between VMs, or that are set, change nothing that is counted in elapsed time.

use std::time::Duration;

use persimmondrift::cell::job::{Id, Request, Resources, Step};
use persimmondrift::cell::record::State;
use standin::cell::Cell;

/// How long the rows of an ended job are kept.
const RETENTION: Duration = Duration::from_mins(2);
/// Time after the retention within which the rows of an ended job are removed.
const REMOVAL_BOUND: Duration = Duration::from_secs(1);
/// How far a wrong time of day is from true time, in milliseconds.
const SKEW_MS: i64 = 90_000;

const JOB: Id = Id(1);

fn request() -> Request {
    let need = Resources { millicores: 2_000, mebibytes: 4_096, accelerators: 1 };
    let step = Step { width: 1, need, estimate_ms: 3_000, ..Step::default() };
    Request { spec: "render".to_owned(), steps: vec![step], schedule: None }
}

/// Returns a cell in which a job has just ended, by the planner's time of day then.
fn cell_with_ended_job(skew_ms: i64) -> Cell {
    let mut cell = Cell::new(1);
    cell.planner_skew_ms = skew_ms;
    cell.run(Duration::from_secs(2));
    cell.submit(JOB, "normal", "ana", request());
    let ended =
        cell.run_until(Duration::from_secs(10), |cell| cell.state(JOB) == Some(State::Completed));
    assert!(ended);
    cell
}

/// Returns how long the state of a job that has just ended is kept, up to twice the retention.
fn time_kept(cell: &mut Cell) -> Duration {
    let begin = cell.now;
    cell.run_until(RETENTION * 2, |cell| cell.state(JOB).is_none());
    cell.now.since(begin)
}

fn assert_kept_for_retention(kept: Duration, case: &str) {
    assert!(kept >= RETENTION, "{case}: kept for {kept:?}");
    assert!(kept <= RETENTION + REMOVAL_BOUND, "{case}: kept for {kept:?}");
}

#[test]
fn ended_job_is_kept_for_retention() {
    let mut cell = cell_with_ended_job(0);
    assert_kept_for_retention(time_kept(&mut cell), "right clock");
}

/// Guards against the state of ended jobs that is removed at once, since the planner's clock is ahead.
#[test]
#[ignore = "fails, see KNOWN-RED.txt"]
fn clock_ahead_after_end() {
    let mut cell = cell_with_ended_job(0);
    cell.planner_skew_ms = SKEW_MS;
    assert_kept_for_retention(time_kept(&mut cell), "ahead");
}

/// Guards against the state of ended jobs that is kept too long, since the planner's clock is behind.
#[test]
#[ignore = "fails, see KNOWN-RED.txt"]
fn clock_behind_after_end() {
    let mut cell = cell_with_ended_job(0);
    cell.planner_skew_ms = -SKEW_MS;
    assert_kept_for_retention(time_kept(&mut cell), "behind");
}

/// Guards against a wrong clock at the end of a job that is right later.
#[test]
#[ignore = "fails, see KNOWN-RED.txt"]
fn clock_wrong_at_end() {
    for skew_ms in [SKEW_MS, -SKEW_MS] {
        let mut cell = cell_with_ended_job(skew_ms);
        cell.planner_skew_ms = 0;
        assert_kept_for_retention(time_kept(&mut cell), &format!("{skew_ms} ms at the end"));
    }
}

/// Guards against a planner that takes over with another time of day than its predecessor's.
#[test]
#[ignore = "fails, see KNOWN-RED.txt"]
fn takeover_with_another_clock() {
    for skew_ms in [SKEW_MS, -SKEW_MS] {
        let mut cell = cell_with_ended_job(0);
        let begin = cell.now;
        cell.run(RETENTION / 3);
        cell.crash_planner();
        cell.planner_skew_ms = skew_ms;
        time_kept(&mut cell);
        assert_kept_for_retention(cell.now.since(begin), &format!("{skew_ms} ms"));
    }
}
