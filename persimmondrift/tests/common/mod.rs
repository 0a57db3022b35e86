//! What an agent hears of its worker, an order for one task, and jobs of a cell.

#![allow(dead_code, reason = "not each test file uses all of it")]

use std::time::Duration;

use persimmondrift::cell::duty::{Heartbeat, Listing, Reconciler};
use persimmondrift::cell::job::{Group, Id, Request, Resources, Step, Task};
use persimmondrift::cell::record::{self, Incarnation, Order, OrderTask, State};
use persimmondrift::cell::table::{Row, Table};
use persimmondrift::unit::{Epoch, Time, Version};
use standin::cell::Cell;

pub const BEGIN: Time = Time(100_000_000);
/// Resources of the task.
pub const NEED: Resources = Resources { millicores: 1_000, mebibytes: 1, accelerators: 0 };
/// Number of the run that is ordered.
pub const RUN: u32 = 1;

pub fn task() -> Task {
    Group { job: Id(1), occurrence: 0, step: 0 }.task(0)
}

/// Returns a time in milliseconds after [`BEGIN`].
pub fn at(millis: u64) -> Time {
    BEGIN + Duration::from_millis(millis)
}

pub fn incarnation(started_ms: u64, id: &str) -> Incarnation {
    Incarnation { started_ms, id: id.to_owned() }
}

/// Returns the first heartbeat of an incarnation.
pub fn heartbeat(started_ms: u64, id: &str) -> Heartbeat {
    Heartbeat {
        incarnation: incarnation(started_ms, id),
        sequence: 1,
        clock_ms: 1_000,
        draining: false,
        service: "studio".to_owned(),
        labels: Vec::new(),
        capacity: NEED.times(4),
        remaining_ms: 0,
        cold_ms: 0,
    }
}

/// Returns an order for the task, or one to stop it.
pub fn order(version: u64, incarnation: Incarnation, stop: bool) -> Row {
    let order = Order {
        epoch: Epoch(1),
        incarnation,
        session: 0,
        need: NEED,
        tasks: vec![OrderTask { index: 0, run: RUN, checkpoint: String::new(), stop }],
    };
    let key = record::order_key("vm", task().group());
    let value = Some(record::encode(&order));
    Row { table: Table::Orders, key, version: Version(version), value }
}

/// Returns the listing of an incarnation that runs the task or not.
pub fn listing(started_ms: u64, runs: bool) -> Listing {
    let running = runs.then(|| (task(), RUN, String::new(), 0)).into_iter().collect();
    Listing { started_ms, clock_ms: 1_000, running, ..Listing::default() }
}

/// Applies the first heartbeat of the next incarnation, and its answer to the call that follows.
pub fn begin_next(agent: &mut Reconciler, now: Time, heartbeat: Heartbeat) {
    let started_ms = heartbeat.incarnation.started_ms;
    agent.heartbeat(now, heartbeat);
    agent.identified(now, now, Some(&listing(started_ms, false)));
}

/// Returns a job of one step.
pub fn request(width: u16) -> Request {
    let need = Resources { millicores: 4_000, mebibytes: 1_024, accelerators: 1 };
    let step = Step { width, need, estimate_ms: 3_000, ..Step::default() };
    Request { spec: "render".to_owned(), steps: vec![step], schedule: None }
}

/// Runs a cell until its jobs, from 1 to `jobs`, have ended.
///
/// # Errors
///
/// Returns what went wrong in the cell, with its seed.
pub fn finish(mut cell: Cell, jobs: u64, seed: u64) -> Result<(), String> {
    let is_final = |cell: &Cell, id: u64| cell.state(Id(id)).is_some_and(State::is_final);
    let ended =
        cell.run_until(Duration::from_mins(2), |cell| (1..=jobs).all(|id| is_final(cell, id)));
    if !cell.violations.is_empty() {
        return Err(format!("seed {seed}: {:#?}", cell.violations));
    }
    if ended { Ok(()) } else { Err(format!("seed {seed}: a job has not ended")) }
}
