//! Times of day that differ between VMs, or that are set, change nothing that is counted in elapsed time.

use std::time::Duration;

use persimmondrift::cell::job::{Id, Request, Resources, Schedule, Step};
use persimmondrift::cell::record::{self, Progress, State};
use persimmondrift::cell::table::{Table, Write};
use standin::cell::Cell;

/// How long the rows of an ended job are kept.
const RETENTION: Duration = Duration::from_mins(2);
/// Time after the retention within which the rows of an ended job are removed.
const REMOVAL_BOUND: Duration = Duration::from_secs(1);
/// How far a wrong time of day is from true time, in milliseconds.
const SKEW_MS: i64 = 90_000;
/// Time after which a due task must run while there is capacity for it, in milliseconds.
const MAX_DUE_DELAY_MS: i64 = 3_000;
/// Time by which a task may start before it is due where clocks are set, in milliseconds.
const MAX_EARLY_MS: i64 = 5_250;

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
    end_job(&mut cell);
    cell
}

/// Runs a job until it ends.
fn end_job(cell: &mut Cell) {
    cell.run(Duration::from_secs(2));
    cell.submit(JOB, "normal", "ana", request());
    let ended =
        cell.run_until(Duration::from_secs(10), |cell| cell.state(JOB) == Some(State::Completed));
    assert!(ended);
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
fn clock_ahead_after_end() {
    let mut cell = cell_with_ended_job(0);
    cell.planner_skew_ms = SKEW_MS;
    assert_kept_for_retention(time_kept(&mut cell), "ahead");
}

/// Guards against the state of ended jobs that is kept too long, since the planner's clock is behind.
#[test]
fn clock_behind_after_end() {
    let mut cell = cell_with_ended_job(0);
    cell.planner_skew_ms = -SKEW_MS;
    assert_kept_for_retention(time_kept(&mut cell), "behind");
}

/// Guards against a wrong clock at the end of a job that is right later.
#[test]
fn clock_wrong_at_end() {
    for skew_ms in [SKEW_MS, -SKEW_MS] {
        let mut cell = cell_with_ended_job(skew_ms);
        cell.planner_skew_ms = 0;
        assert_kept_for_retention(time_kept(&mut cell), &format!("{skew_ms} ms at the end"));
    }
}

/// Guards against a planner that takes over with another time of day than its predecessor's.
#[test]
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

/// Guards against a planner that takes over and counts from its own start.
#[test]
fn takeovers_do_not_extend_retention() {
    let mut cell = cell_with_ended_job(0);
    let begin = cell.now;
    for _ in 0..5 {
        cell.run(RETENTION / 6);
        cell.crash_planner();
    }
    time_kept(&mut cell);
    assert_kept_for_retention(cell.now.since(begin), "5 takeovers");
}

/// Without a clock of the store, the time since the planner first saw the end counts.
#[test]
fn store_without_clock() {
    for skew_ms in [SKEW_MS, -SKEW_MS] {
        let mut cell = Cell::new(1);
        cell.store_has_clock = false;
        end_job(&mut cell);
        cell.planner_skew_ms = skew_ms;
        assert_kept_for_retention(time_kept(&mut cell), &format!("{skew_ms} ms, no clock"));
    }
}

/// Guards against the state of a job that a planner of an earlier version has ended, by a time of day
/// that is far behind.
#[test]
fn end_by_earlier_version() {
    for (skew_ms, store_has_clock) in [(SKEW_MS, true), (-SKEW_MS, true), (SKEW_MS, false)] {
        let mut cell = cell_with_ended_job(0);
        let key = record::progress_key(JOB);
        let row = cell.rows.get(Table::Jobs, &key).and_then(|row| row.value).expect("progress");
        let progress: Progress = record::decode(&row).expect("readable");
        let (ended_ms, ended_at) = (progress.ended_ms.saturating_add_signed(-skew_ms), None);
        let value = Some(record::encode(&Progress { ended_ms, ended_at, ..progress }));
        cell.rows.write(Write { table: Table::Jobs, key, value });
        cell.crash_planner();
        cell.store_has_clock = store_has_clock;
        assert_kept_for_retention(time_kept(&mut cell), &format!("{skew_ms} ms"));
    }
}

/// Guards against state that is removed early or never since the store's clock was reset.
#[test]
fn store_clock_reset() {
    let mut cell = cell_with_ended_job(0);
    cell.run(RETENTION / 2);
    cell.store_start_ms = 1_000;
    cell.crash_planner();
    assert_kept_for_retention(time_kept(&mut cell), "reset");
}

/// Returns a cell whose only worker is busy, and whose planner has the given time of day.
fn busy_cell(skew_ms: i64) -> Cell {
    let mut cell = Cell::new(1);
    cell.planner_skew_ms = skew_ms;
    cell.run(Duration::from_secs(2));
    cell.submit(JOB, "urgent", "ana", whole_worker());
    cell.set_work_time(JOB, Duration::from_secs(4));
    cell.run(Duration::from_secs(1));
    assert_eq!(cell.starts(JOB), 1);
    cell
}

fn whole_worker() -> Request {
    let mut request = request();
    request.steps[0].need.accelerators = 8;
    request
}

/// Returns which of two waiting jobs starts first.
fn first_start(cell: &mut Cell, jobs: [Id; 2]) -> Option<Id> {
    cell.run_until(Duration::from_secs(20), |cell| jobs.iter().any(|id| cell.starts(*id) > 0));
    jobs.into_iter().find(|id| cell.starts(*id) > 0)
}

/// Guards against a job that counts as new, or as too late to be of use, since the clock of the entry that
/// accepted it is wrong.
#[test]
fn accepted_by_wrong_clock() {
    let (first, second) = (Id(2), Id(3));
    let started = [SKEW_MS, -SKEW_MS].map(|skew_ms| {
        let mut cell = busy_cell(0);
        cell.entry_skew_ms = skew_ms;
        cell.submit(first, "normal", "ana", whole_worker());
        cell.run(Duration::from_secs(1));
        cell.entry_skew_ms = 0;
        cell.submit(second, "normal", "ana", whole_worker());
        first_start(&mut cell, [first, second])
    });
    assert_eq!(started, [Some(first); 2], "clock ahead, clock behind");
}

/// Guards against priorities that are ignored since all jobs count as too late by the planner's clock.
#[test]
fn ranked_by_wrong_clock() {
    let (low, normal) = (Id(2), Id(3));
    let started = [SKEW_MS, -SKEW_MS].map(|skew_ms| {
        let mut cell = busy_cell(skew_ms);
        cell.submit(low, "low", "ana", whole_worker());
        cell.run(Duration::from_secs(1));
        cell.submit(normal, "normal", "ana", whole_worker());
        first_start(&mut cell, [low, normal])
    });
    assert_eq!(started, [Some(normal); 2], "clock ahead, clock behind");
}

/// Runs a job that is due in 10 s under a planner with the given time of day. Returns how long after its due
/// time it started, in milliseconds.
fn start_delay_ms(skew_ms: i64) -> i64 {
    let mut cell = Cell::new(1);
    cell.planner_skew_ms = skew_ms;
    cell.run(Duration::from_secs(2));
    let first_ms = cell.now.0 / 1_000 + 10_000;
    let schedule = Some(Schedule { first_ms, every_ms: 1_000, times: 1 });
    cell.submit(JOB, "normal", "ana", Request { schedule, ..request() });
    cell.run_until(RETENTION, |cell| cell.starts(JOB) > 0);
    i64::try_from(cell.now.0 / 1_000).expect("a short time") - first_ms.cast_signed()
}

/// Guards against a due task that waits beside a free worker, since the planner's clock is behind.
#[test]
#[ignore = "fails, see KNOWN-RED.txt"]
fn due_by_clock_behind() {
    let delay_ms = start_delay_ms(-SKEW_MS);
    assert!(delay_ms <= MAX_DUE_DELAY_MS, "{delay_ms} ms");
}

/// Guards against a task that starts before it is due, since the planner's clock is ahead.
#[test]
#[ignore = "fails, see KNOWN-RED.txt"]
fn due_by_clock_ahead() {
    let delay_ms = start_delay_ms(SKEW_MS);
    assert!(delay_ms >= -MAX_EARLY_MS, "{delay_ms} ms");
}
