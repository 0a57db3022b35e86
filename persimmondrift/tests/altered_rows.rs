//! Altered rows of the system's tables, by fixed seeds, in a simulated cell: no process ends, and other
//! jobs finish.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use persimmondrift::cell::codec::Record;
use persimmondrift::cell::job::{Id, Request, Resources, Schedule, Step};
use persimmondrift::cell::record::{
    self, End, Ending, Job, Order, Progress, Role, Running, State, Worker,
};
use persimmondrift::cell::table::{MAX_ROW_BYTES, Row, Table, Write};
use persimmondrift::unit::Epoch;
use standin::cell::Cell;

const WORKERS: usize = 3;
const SEEDS: u64 = 60;
/// Length of the entropy of a seed in bytes.
const ENTROPY: u64 = 4_096;
const ALTERATIONS: usize = 12;
/// Job that no alteration names.
const OTHER: u64 = 77;
/// The largest numbers of 64, 32 and 16 bits, as the rows' encoding has them, and odd lengths.
const EXTREMES: [&[u8]; 6] = [
    &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01],
    &[0xff, 0xff, 0xff, 0xff, 0x0f],
    &[0xff, 0xff, 0x03],
    &[0xff],
    &[0x00],
    &[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f],
];

fn request(u: &mut Unstructured<'_>) -> Result<Request> {
    let need = Resources { millicores: 1_000, mebibytes: 1_024, accelerators: 1 };
    let step = |width, after| Step {
        width,
        need,
        estimate_ms: 2_000,
        after,
        checkpoints: true,
        ..Step::default()
    };
    let mut steps = vec![step(6, Vec::new()), step(3, vec![0])];
    steps[1].gang = u.arbitrary()?;
    steps[0].long_running = u.ratio(1, 4)?;
    let schedule = Schedule { first_ms: 100_000, every_ms: 1_000, times: 3 };
    let schedule = u.arbitrary::<bool>()?.then_some(schedule);
    Ok(Request { spec: "render".to_owned(), steps, schedule })
}

/// Returns a number at an end of its range, or any.
fn number(u: &mut Unstructured<'_>) -> Result<u64> {
    let any = u.arbitrary()?;
    Ok(*u.choose(&[u64::MAX, u64::MAX - 1, 1 << 63, u64::from(u32::MAX), 0, 1, any])?)
}

fn number32(u: &mut Unstructured<'_>) -> Result<u32> {
    let any = u.arbitrary()?;
    Ok(*u.choose(&[u32::MAX, u32::MAX - 1, 1 << 31, 0, 1, any])?)
}

fn resources(u: &mut Unstructured<'_>) -> Result<Resources> {
    Ok(Resources { millicores: number32(u)?, mebibytes: number32(u)?, accelerators: number32(u)? })
}

fn alter_job(u: &mut Unstructured<'_>, job: &mut Job) -> Result<()> {
    job.accepted_ms = number(u)?;
    job.queue.priority = number32(u)?;
    job.queue.stretch_permille = number32(u)?;
    job.queue.latency_ms = number(u)?;
    if u.arbitrary()? {
        "gone".clone_into(&mut job.queue.name);
    }
    if let Some(request) = &mut job.request {
        let at = u.choose_index(request.steps.len())?;
        let step = &mut request.steps[at];
        match u.int_in_range(0..=5)? {
            0 => step.estimate_ms = number32(u)?,
            1 => step.need = resources(u)?,
            2 => step.after = vec![u.arbitrary()?, 0],
            3 => step.width = u.arbitrary()?,
            4 => request.steps = vec![Step { width: u16::MAX, ..Step::default() }; 300],
            _ => {
                let (first_ms, every_ms) = (number(u)?, number(u)?);
                request.schedule = Some(Schedule { first_ms, every_ms, times: number32(u)? });
            }
        }
    }
    Ok(())
}

fn alter_progress(u: &mut Unstructured<'_>, progress: &mut Progress) -> Result<()> {
    for task in &mut progress.tasks {
        task.run = number32(u)?;
        task.failures = u.arbitrary()?;
        task.failed_run = number32(u)?;
    }
    match u.int_in_range(0..=3)? {
        0 => progress.ended_ms = number(u)?,
        1 => progress.state = *u.choose(&[State::Queued, State::Failed, State::Cancelled])?,
        2 => progress.tasks.truncate(u.int_in_range(0..=4)?),
        _ => {}
    }
    Ok(())
}

fn alter_worker(u: &mut Unstructured<'_>, worker: &mut Worker) -> Result<()> {
    match u.int_in_range(0..=5)? {
        0 => worker.capacity = resources(u)?,
        1 => worker.incarnation.started_ms = number(u)?,
        2 => (worker.boot, worker.sequence) = (number(u)?, number(u)?),
        3 => worker.session = number(u)?,
        4 => "10.1.0.20:99999".clone_into(&mut worker.peer),
        _ => worker.labels = vec!["x".repeat(5_000); 10],
    }
    let job = Id(u.int_in_range(1..=3)?);
    let group = record::parse_order_key(&format!("a/{job}.0.0")).expect("a key").1;
    let task = group.task(u.arbitrary()?);
    worker.running.push(Running {
        task,
        run: number32(u)?,
        percent: u.arbitrary()?,
        since_progress_ms: number32(u)?,
        age_ms: number32(u)?,
        checkpoint: "c".to_owned(),
    });
    let endings = [Ending::Done, Ending::Failed, Ending::CrashedAtStart, Ending::Lapsed];
    let ending = *u.choose(&endings)?;
    worker.ends.push(End { task, run: number32(u)?, ending, checkpoint: String::new() });
    Ok(())
}

fn alter_order(u: &mut Unstructured<'_>, order: &mut Order) -> Result<()> {
    order.epoch = Epoch(number(u)?);
    order.need = resources(u)?;
    for task in &mut order.tasks {
        match u.int_in_range(0..=2)? {
            0 => task.index = u.arbitrary()?,
            1 => task.run = number32(u)?,
            _ => task.stop = u.arbitrary()?,
        }
    }
    Ok(())
}

/// Returns the value of a row with its record altered; `None` if it has no such record.
fn altered<T: Record>(
    u: &mut Unstructured<'_>,
    value: &[u8],
    alter: impl Fn(&mut Unstructured<'_>, &mut T) -> Result<()>,
) -> Result<Option<Vec<u8>>> {
    let Some(mut record) = record::decode::<T>(value) else {
        return Ok(None);
    };
    alter(u, &mut record)?;
    Ok(Some(record::encode(&record)))
}

/// Replaces a byte of a value by an encoded extreme.
fn spliced(u: &mut Unstructured<'_>, value: &[u8]) -> Result<Vec<u8>> {
    let mut value = value.to_vec();
    let at = u.choose_index(value.len().max(1))?;
    let extreme: &[u8] = u.choose(&EXTREMES)?;
    value.splice(at..(at + 1).min(value.len()), extreme.iter().copied());
    Ok(value)
}

fn alter(u: &mut Unstructured<'_>, row: &Row) -> Result<Vec<u8>> {
    let value = row.value.as_deref().unwrap_or_default();
    if u.arbitrary()? {
        return spliced(u, value);
    }
    let new = match row.table {
        Table::Workers => altered(u, value, alter_worker)?,
        Table::Orders => altered(u, value, alter_order)?,
        _ if row.key == record::ROLE_KEY => altered(u, value, |u, role: &mut Role| {
            role.epoch = Epoch(number(u)?);
            Ok(())
        })?,
        _ if row.key.starts_with(record::JOB_PREFIX) => altered(u, value, alter_job)?,
        _ => altered(u, value, alter_progress)?,
    };
    new.map_or_else(|| spliced(u, value), Ok)
}

fn run(u: &mut Unstructured<'_>) -> Result<()> {
    let mut cell = Cell::new(WORKERS);
    cell.run(Duration::from_secs(1));
    for id in 1..=3 {
        let queue = ["urgent", "normal", "low"][u.choose_index(3)?];
        cell.submit(Id(id), queue, "ana", request(u)?);
        cell.set_work_time(Id(id), Duration::from_secs(2));
    }
    cell.run(Duration::from_millis(500));
    let other = Id(OTHER).to_string();
    for _ in 0..ALTERATIONS {
        let table = *u.choose(&[Table::Jobs, Table::Orders, Table::Workers])?;
        let mut rows = cell.rows.snapshot(table).rows;
        rows.retain(|row| !row.key.contains(&other));
        if rows.is_empty() {
            continue;
        }
        let row = &rows[u.choose_index(rows.len())?];
        let value = alter(u, row)?;
        if value.len() > MAX_ROW_BYTES {
            continue;
        }
        // Sometimes beside the row that it was made from.
        let key = if u.ratio(1, 5)? { format!("{}x", row.key) } else { row.key.clone() };
        cell.rows.write(Write { table, key, value: Some(value) });
        if u.ratio(1, 6)? {
            cell.crash_planner();
        }
        cell.run(Duration::from_millis(u.int_in_range(50..=900)?));
    }
    // What was altered may keep workers busy for ever, but may not keep others from finishing.
    for id in 1..=3 {
        cell.cancel(Id(id));
    }
    let step = Step { width: 2, estimate_ms: 1_000, ..Step::default() };
    let simple = Request { spec: String::new(), steps: vec![step], schedule: None };
    cell.submit(Id(OTHER), "normal", "luis", simple);
    cell.set_work_time(Id(OTHER), Duration::from_secs(1));
    let done = |cell: &Cell| cell.state(Id(OTHER)) == Some(State::Completed);
    let completed = cell.run_until(Duration::from_mins(1), done);
    assert!(completed, "job {OTHER} is {:?}", cell.state(Id(OTHER)));
    Ok(())
}

#[test]
fn altered_rows_end_no_process() {
    for seed in 0..SEEDS {
        println!("seed {seed}");
        arbtest(run).seed(seed << 32 | ENTROPY).run();
    }
}
